package rollout

import "math"

// The sequential test compares, for each route and kind of fault, the rate of bad
// outcomes of the new version with that of the old one. Its score is Wald's
// log-likelihood ratio of the rate p1 against p0, restarted whenever it falls to
// zero (Page's CUSUM), so that a version that turns bad later is found as fast as
// one that is bad at once.
const (
	// FalseAlarmRate bounds the chance that a move of a good version is rolled
	// back; MissRate bounds the chance that a bad version (a rate of bad outcomes
	// at least errorRateStep above the old version's, on a route with enough
	// requests) is not. Seeded trials check both.
	FalseAlarmRate = 0.005
	MissRate       = 0.005

	// baseScoreBound is the score that gives a verdict. exp(-baseScoreBound) = 1e-6
	// is the chance of a false verdict in one run of one test, so that thousands of
	// runs of tens of tests stay within FalseAlarmRate.
	baseScoreBound = 13.8
	// boundGrowthStart is the number of new-version outcomes above which the bound
	// rises with the logarithm of their number, because a long move restarts the
	// test more often.
	boundGrowthStart = 2000

	// errorRateFloor is the minimum error rate that the old version is assumed to
	// have. Because of it, a verdict needs at least 5 bad outcomes.
	errorRateFloor = 0.005
	// errorRateStep is the excess of the error rate for which the test is designed.
	// An excess above about a third of it is found too, after more outcomes.
	errorRateStep = 0.08
	// slowQuantile is the quantile of the old version's latencies from which the
	// limit for slow answers is computed.
	slowQuantile = 0.9
	// slowRateFloor and slowRateStep are to slow answers what errorRateFloor and
	// errorRateStep are to errors.
	slowRateFloor = 1 - slowQuantile
	slowRateStep  = 0.25

	// contrastBound is the minimum contrast that a verdict needs: the log-likelihood
	// ratio of two different rates against one common rate, over both versions'
	// outcomes in the run or trial. It prevents a verdict on a fault that hits both
	// versions, because that fault shows in the old version's outcomes.
	contrastBound = 9
	// scoreHeadroom is how far the score may exceed the bound, so that a score that
	// waits for a control group falls soon after the fault has ended.
	scoreHeadroom = 1
	// At least commonMinBad bad outcomes of the old version, while the new version's
	// rate is at most commonRatio times the old one's, show a fault of both.
	commonMinBad = 3
	commonRatio  = 1.5
	// A verdict in a trial needs controlMinOutcomes outcomes of the old version, or
	// one for every controlDivisor outcomes of the new version if that is less.
	controlMinOutcomes = 20
	controlDivisor     = 4
	// A trial with at least trialMinOutcomes outcomes of each version and a contrast
	// below trialClearContrast resets the test.
	trialMinOutcomes   = 16
	trialClearContrast = 1
	// suspiciousFraction is the fraction of the bound at which the test begins to
	// ask for a larger control group.
	suspiciousFraction = 0.75
	// longRateWindow and shortRateWindow are the numbers of old-version outcomes
	// that the two estimates of the old rate rest on. The short one follows a fault
	// that hits both versions; the long one shows a rate that is too low to be seen
	// in the short one.
	longRateWindow  = 2000
	shortRateWindow = 40
	// runWindow is the number of new-version outcomes after which the weight of
	// earlier outcomes in a run has fallen to 1/e.
	runWindow = 300
)

// faultKind is a kind of fault that has a test of its own.
type faultKind int

const (
	kindFailed faultKind = iota
	kindCrashed
	kindTruncated
	kindEmpty
	kindSlowFirstToken
	kindSlowBetweenTokens
	numFaultKinds
)

func (k faultKind) String() string {
	return [...]string{"errors", "crashes", "truncated answers", "empty answers",
		"slow first tokens", "slow tokens"}[k]
}

// outcomes returns the number of outcomes that are judged for the kind, and the
// number of bad ones among them.
func (c Counts) outcomes(k faultKind) (n, bad uint32) {
	switch k {
	case kindFailed:
		return c.N, c.Failed
	case kindCrashed:
		return c.N, c.Crashed
	case kindTruncated:
		return c.N, c.Truncated
	case kindEmpty:
		return c.N, c.Empty
	case kindSlowFirstToken:
		return c.FirstN, c.SlowFirst
	default:
		return c.BetweenN, c.SlowBetween
	}
}

func (c Counts) plus(d Counts) Counts {
	return Counts{c.N + d.N, c.Failed + d.Failed, c.Crashed + d.Crashed, c.Truncated + d.Truncated,
		c.Empty + d.Empty, c.FirstN + d.FirstN, c.SlowFirst + d.SlowFirst,
		c.BetweenN + d.BetweenN, c.SlowBetween + d.SlowBetween}
}

// minus returns c - d; no counter of c may be below that of d.
func (c Counts) minus(d Counts) Counts {
	return Counts{c.N - d.N, c.Failed - d.Failed, c.Crashed - d.Crashed, c.Truncated - d.Truncated,
		c.Empty - d.Empty, c.FirstN - d.FirstN, c.SlowFirst - d.SlowFirst,
		c.BetweenN - d.BetweenN, c.SlowBetween - d.SlowBetween}
}

// max returns the larger value of each counter.
func (c Counts) max(d Counts) Counts {
	return Counts{max(c.N, d.N), max(c.Failed, d.Failed), max(c.Crashed, d.Crashed), max(c.Truncated, d.Truncated),
		max(c.Empty, d.Empty), max(c.FirstN, d.FirstN), max(c.SlowFirst, d.SlowFirst),
		max(c.BetweenN, d.BetweenN), max(c.SlowBetween, d.SlowBetween)}
}

// decayingRate estimates a rate of bad outcomes with exponentially decaying
// weights.
type decayingRate struct{ n, bad float64 }

// add reduces the weight of earlier outcomes and adds n outcomes, of which bad are
// bad. size is the number of outcomes that the estimate rests on; a larger batch
// counts as no more than that.
func (m *decayingRate) add(n, bad float64, size float64) {
	keep := math.Exp(-n / size)
	added := size * (1 - keep)
	m.n = m.n*keep + added
	m.bad = m.bad*keep + added*bad/n
}

// sequentialTest is the test of one kind of fault on one route.
type sequentialTest struct {
	longRate, shortRate decayingRate
	// The run is the outcomes since the score was last zero.
	n, bad, oldN, oldBad float64
	// The trial is the outcomes since the score reached the bound while the run's
	// control group gave no verdict. Earlier outcomes do not count in it,
	// because a fault of both versions may have ended before the control group was
	// there.
	inTrial                                  bool
	trialN, trialBad, trialOldN, trialOldBad float64

	totalNew float64
	score    float64
}

func (s *sequentialTest) addOld(n, bad uint32) {
	if n == 0 {
		return
	}
	s.longRate.add(float64(n), float64(bad), longRateWindow)
	s.shortRate.add(float64(n), float64(bad), shortRateWindow)
	if s.n > 0 {
		s.oldN += float64(n)
		s.oldBad += float64(bad)
	}
	if s.inTrial {
		s.trialOldN += float64(n)
		s.trialOldBad += float64(bad)
	}
}

func (s *sequentialTest) addNew(n, bad uint32) {
	if n == 0 {
		return
	}
	// The weights of both versions' outcomes decay with the number of new-version
	// outcomes, so that outcomes of the same time have the same weight while the
	// share grows.
	keep := math.Exp(-float64(n) / runWindow)
	s.n, s.bad, s.oldN, s.oldBad = s.n*keep, s.bad*keep, s.oldN*keep, s.oldBad*keep
	s.n += float64(n)
	s.bad += float64(bad)
	if s.inTrial {
		s.trialN += float64(n)
		s.trialBad += float64(bad)
	}
	s.totalNew += float64(n)
}

// updateScore adds new-version outcomes to the score. The rate of the old version
// is the largest of its estimates at the time, so that a fault of both versions
// lowers the score while it lasts. prior is the old version's rate over all routes.
func (s *sequentialTest) updateScore(k faultKind, n, bad uint32, prior float64) {
	if n == 0 {
		return
	}
	floor, step := errorRateFloor, errorRateStep
	if k >= kindSlowFirstToken {
		floor, step = slowRateFloor, slowRateStep
	}
	prior = max(prior, floor)
	rate := func(m decayingRate) float64 { return (m.bad + prior) / (m.n + 1) }
	p0 := min(0.95, max(floor, rate(s.longRate), rate(s.shortRate), rate(decayingRate{s.oldN, s.oldBad})))
	p1 := p0 + step*(1-p0)
	s.score += float64(bad)*math.Log(p1/p0) + float64(n-bad)*math.Log((1-p1)/(1-p0))
	s.score = min(s.score, s.bound()+scoreHeadroom)
	if s.score <= 0 || (s.suspicious() && s.isCommonFault()) {
		*s = sequentialTest{longRate: s.longRate, shortRate: s.shortRate, totalNew: s.totalNew}
	}
}

// isCommonFault reports whether the old version is as bad, or nearly as bad, in the
// same run. The run then ends at once, because its score would take hundreds of
// outcomes to fall.
func (s *sequentialTest) isCommonFault() bool {
	return s.oldBad >= commonMinBad && s.bad*s.oldN <= commonRatio*s.oldBad*s.n
}

// bound returns the score that gives a verdict.
func (s *sequentialTest) bound() float64 {
	return baseScoreBound + math.Log(max(1, s.totalNew/boundGrowthStart))
}

// suspicious reports whether the score is high enough to ask for a larger control
// group.
func (s *sequentialTest) suspicious() bool { return s.score >= suspiciousFraction*s.bound() }

// verdict reports whether the new version is bad, and starts or ends a trial.
func (s *sequentialTest) verdict() bool {
	if s.inTrial {
		c := contrast(s.trialN, s.trialBad, s.trialOldN, s.trialOldBad)
		if s.trialN >= trialMinOutcomes && s.trialOldN >= trialMinOutcomes && c < trialClearContrast {
			*s = sequentialTest{longRate: s.longRate, shortRate: s.shortRate, totalNew: s.totalNew}
			return false
		}
		return s.score >= s.bound() && s.trialOldN >= min(controlMinOutcomes, s.trialN/controlDivisor) && c >= contrastBound
	}
	if s.score < s.bound() {
		return false
	}
	// A control group smaller than the number of new-version outcomes may come from
	// another time than the bad outcomes.
	if s.oldN >= s.n && contrast(s.n, s.bad, s.oldN, s.oldBad) >= contrastBound {
		return true
	}
	s.inTrial = true
	return false
}

// contrast returns the log-likelihood ratio of two different rates against a common
// one; 0 when the new version's rate is not the larger one.
func contrast(n, bad, oldN, oldBad float64) float64 {
	if oldN == 0 || bad*oldN <= oldBad*n {
		return 0
	}
	return logLikelihood(bad, n) + logLikelihood(oldBad, oldN) - logLikelihood(bad+oldBad, n+oldN)
}

// logLikelihood returns the log-likelihood of bad outcomes among n at the rate
// bad/n.
func logLikelihood(bad, n float64) float64 {
	l := 0.0
	if bad > 0 {
		l += bad * math.Log(bad/n)
	}
	if bad < n {
		l += (n - bad) * math.Log((n-bad)/n)
	}
	return l
}

// testSet holds the sequential tests of all routes and kinds of fault. It takes the
// increments of running totals.
type testSet struct {
	tests map[string]*[numFaultKinds]sequentialTest
	// oldTotals are the old version's outcomes on all routes. Their rates are the
	// prior for a route with few old-version outcomes.
	oldTotals Counts
	// newOutcomes is the number of outcomes of the new version.
	newOutcomes uint32
}

func newTestSet() *testSet { return &testSet{tests: map[string]*[numFaultKinds]sequentialTest{}} }

// at returns the tests of the route and creates them if there are none.
func (t *testSet) at(route string) *[numFaultKinds]sequentialTest {
	s := t.tests[route]
	if s == nil {
		s = &[numFaultKinds]sequentialTest{}
		t.tests[route] = s
	}
	return s
}

// testResult is the state of one test, with its route and kind of fault.
type testResult struct {
	route string
	kind  faultKind
	test  sequentialTest
}

// add adds new outcomes on a route and returns a verdict, if there is one.
// controlRatio bounds the old version's outcomes that are taken as control group,
// as a multiple of the new version's outcomes; 0 means no bound.
func (t *testSet) add(route string, oldCounts, newCounts Counts, controlRatio float64) (testResult, bool) {
	t.oldTotals = t.oldTotals.plus(oldCounts)
	t.newOutcomes += newCounts.N
	tests := t.at(route)
	var verdict testResult
	found := false
	for k := range numFaultKinds {
		s := &tests[k]
		oldN, oldBad := oldCounts.outcomes(k)
		newN, newBad := newCounts.outcomes(k)
		if oldN+newN == 0 {
			continue
		}
		earlierOldN, earlierOldBad := s.oldN, s.oldBad
		s.addOld(oldN, oldBad)
		// Outcomes of one window are judged together, so their order does not
		// matter, but the run must exist before its control group is counted:
		// addOld does not count it for a run without new-version outcomes.
		if s.n == 0 && newN > 0 {
			s.oldN, s.oldBad = float64(oldN), float64(oldBad)
		}
		if limit := controlRatio * float64(newN); controlRatio > 0 && float64(oldN) > limit {
			s.oldN, s.oldBad = earlierOldN+limit, earlierOldBad+min(limit, float64(oldBad))
		}
		s.addNew(newN, newBad)
		prior := 0.0
		if allN, allBad := t.oldTotals.outcomes(k); allN > 0 {
			prior = float64(allBad) / float64(allN)
		}
		s.updateScore(k, newN, newBad, prior)
		if !found && s.verdict() {
			verdict, found = testResult{route, k, *s}, true
		}
	}
	return verdict, found
}

// suspicious reports whether any test asks for a larger control group.
func (t *testSet) suspicious() bool {
	for _, tests := range t.tests {
		for k := range tests {
			if tests[k].suspicious() {
				return true
			}
		}
	}
	return false
}

// nearest returns the test of the route whose score is nearest to its bound.
func (t *testSet) nearest(route string) (testResult, bool) {
	best, found := testResult{}, false
	tests := t.tests[route]
	if tests == nil {
		return best, false
	}
	for k := range numFaultKinds {
		if s := tests[k]; !found || s.score/s.bound() > best.test.score/best.test.bound() {
			best, found = testResult{route, k, s}, true
		}
	}
	return best, found
}
