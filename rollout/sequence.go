package rollout

import "math"

// The sequential test compares, for each route and kind of fault, the rate of bad outcomes of the new version with that of the old one. It is
// Wald's log-likelihood ratio of the rate p1 against p0, restarted whenever it
// falls to zero (Page's CUSUM), so that a version that turns bad later is found
// as fast as one that is bad at once.
const (
	// FalseAlarmRate bounds the chance that a move of a good version is rolled
	// back; MissRate bounds the chance that a bad version (a rate of bad outcomes
	// at least badStep above the old version's, on a route with enough requests)
	// is not. Seeded trials check both.
	FalseAlarmRate = 0.005
	MissRate       = 0.005

	// baseBound is the score that gives a verdict. exp(-baseBound) = 1e-6 is the
	// chance of a false verdict in one run of one test; it leaves room for
	// thousands of runs on tens of tests within FalseAlarmRate.
	baseBound = 13.8
	// boundGrows is the number of outcomes after which the bound rises with the
	// logarithm of the outcomes judged, because a long move restarts the test
	// more often.
	boundGrows = 2000

	// errorFloor is the least rate of errors that the old version is credited
	// with. It makes one verdict need at least 5 bad outcomes.
	errorFloor = 0.005
	// badStep is the excess of the error rate that the test is tuned to. Errors
	// above about a third of it are found too, after more outcomes.
	badStep = 0.08
	// slowQuantile is the old version's quantile that makes an answer slow.
	slowQuantile = 0.9
	// slowFloor and slowStep play the same part for slow answers.
	slowFloor = 1 - slowQuantile
	slowStep  = 0.25

	// controlBound is the least likelihood ratio (log) of two different rates
	// against one common rate that the outcomes of both versions since the run
	// began must show. A fault that hits both versions shows in the old one's.
	controlBound = 9
	// scoreRoom bounds the score above the bound, so that a score that waits for
	// a control group falls soon after the fault has ended.
	scoreRoom = 1
	// commonMin bad outcomes of the old version, at a rate within commonRatio of
	// the new one's, show a fault of both.
	commonMin   = 3
	commonRatio = 1.5
	// A verdict in a trial needs controlMin outcomes of the old version, or one
	// for each controlPart of the new version when there are few.
	controlMin  = 20
	controlPart = 4
	// A trial of at least trialMin outcomes of each version with a contrast below
	// trialClear ends the suspicion.
	trialMin   = 16
	trialClear = 1
	// suspicion is the part of the bound from which a larger control group is
	// asked for.
	suspicion = 0.75
	// longMemory and shortMemory are the old-version outcomes that the
	// estimates of the old rate rest on. The short one follows a fault that hits
	// both versions, the long one remembers a rate that is too low to show in it.
	longMemory  = 2000
	shortMemory = 40
	// runMemory is the number of new-version outcomes that a run is judged by.
	runMemory = 300
)

// kind is a kind of fault that is tested on its own.
type kind int

const (
	kindFailed kind = iota
	kindCrashed
	kindTruncated
	kindEmpty
	kindFirst
	kindBetween
	kinds
)

func (k kind) String() string {
	return [...]string{"errors", "crashes", "truncated answers", "empty answers",
		"slow first tokens", "slow tokens"}[k]
}

// outcomes returns the number of outcomes that count for the kind and the
// number of bad ones.
func (c Counts) outcomes(k kind) (n, bad uint32) {
	switch k {
	case kindFailed:
		return c.N, c.Failed
	case kindCrashed:
		return c.N, c.Crashed
	case kindTruncated:
		return c.N, c.Truncated
	case kindEmpty:
		return c.N, c.Empty
	case kindFirst:
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

// minus returns c - d; c must not be below d anywhere.
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

// memory estimates a rate from the latest outcomes.
type memory struct{ n, bad float64 }

// add fades what is remembered and adds n outcomes; a large batch counts as no
// more than size of them.
func (m *memory) add(n, bad float64, size float64) {
	keep := math.Exp(-n / size)
	added := size * (1 - keep)
	m.n = m.n*keep + added
	m.bad = m.bad*keep + added*bad/n
}

// sequence is the test of one kind on one route.
type sequence struct {
	long, short memory
	// The run is what was seen since the score was last zero.
	n, bad, oldN, oldBad float64
	// The trial is what was seen since the score became suspicious without a
	// control group that explains it. Outcomes from before it do not count in
	// it: a fault of both versions may have ended when the control group began.
	inTrial                                  bool
	trialN, trialBad, trialOldN, trialOldBad float64

	total float64
	score float64
}

func (s *sequence) addOld(n, bad uint32) {
	if n == 0 {
		return
	}
	s.long.add(float64(n), float64(bad), longMemory)
	s.short.add(float64(n), float64(bad), shortMemory)
	if s.n > 0 {
		s.oldN += float64(n)
		s.oldBad += float64(bad)
	}
	if s.inTrial {
		s.trialOldN += float64(n)
		s.trialOldBad += float64(bad)
	}
}

func (s *sequence) addNew(n, bad uint32) {
	if n == 0 {
		return
	}
	// Both versions' outcomes fade with the new version's, so that they are
	// weighed alike in time while the share grows.
	keep := math.Exp(-float64(n) / runMemory)
	s.n, s.bad, s.oldN, s.oldBad = s.n*keep, s.bad*keep, s.oldN*keep, s.oldBad*keep
	s.n += float64(n)
	s.bad += float64(bad)
	if s.inTrial {
		s.trialN += float64(n)
		s.trialBad += float64(bad)
	}
	s.total += float64(n)
}

// judge adds new outcomes to the score. The rate of the old version is the
// largest of its estimates at the time, so that a fault of both versions lowers
// the score while it lasts.
func (s *sequence) judge(k kind, n, bad uint32, prior float64) {
	if n == 0 {
		return
	}
	floor, step := errorFloor, badStep
	if k >= kindFirst {
		floor, step = slowFloor, slowStep
	}
	prior = max(prior, floor)
	rate := func(m memory) float64 { return (m.bad + prior) / (m.n + 1) }
	p0 := min(0.95, max(floor, rate(s.long), rate(s.short), rate(memory{s.oldN, s.oldBad})))
	p1 := p0 + step*(1-p0)
	s.score += float64(bad)*math.Log(p1/p0) + float64(n-bad)*math.Log((1-p1)/(1-p0))
	s.score = min(s.score, s.bound()+scoreRoom)
	if s.score <= 0 || (s.suspicious() && s.common()) {
		*s = sequence{long: s.long, short: s.short, total: s.total}
	}
}

// common tells that the old version is as bad, or nearly, in the same time.
// The run then ends at once, because the score it has gathered would take
// hundreds of outcomes to fall.
func (s *sequence) common() bool {
	return s.oldBad >= commonMin && s.bad*s.oldN <= commonRatio*s.oldBad*s.n
}

func (s *sequence) bound() float64 {
	return baseBound + math.Log(max(1, s.total/boundGrows))
}

// suspicious tells that the score asks for a larger control group.
func (s *sequence) suspicious() bool { return s.score >= suspicion*s.bound() }

// verdict tells whether the new version is bad, and starts or ends a trial.
func (s *sequence) verdict() bool {
	if s.inTrial {
		c := contrast(s.trialN, s.trialBad, s.trialOldN, s.trialOldBad)
		if s.trialN >= trialMin && s.trialOldN >= trialMin && c < trialClear {
			*s = sequence{long: s.long, short: s.short, total: s.total}
			return false
		}
		return s.score >= s.bound() && s.trialOldN >= min(controlMin, s.trialN/controlPart) && c >= controlBound
	}
	if s.score < s.bound() {
		return false
	}
	// A control group smaller than the new version's outcomes may come from
	// another time than the bad ones.
	if s.oldN >= s.n && contrast(s.n, s.bad, s.oldN, s.oldBad) >= controlBound {
		return true
	}
	s.inTrial = true
	return false
}

// contrast is the log-likelihood ratio of two rates against a common one; 0 when
// the new version's rate is not the larger one.
func contrast(n, bad, oldN, oldBad float64) float64 {
	if oldN == 0 || bad*oldN <= oldBad*n {
		return 0
	}
	return loglik(bad, n) + loglik(oldBad, oldN) - loglik(bad+oldBad, n+oldN)
}

// loglik is the log-likelihood of bad outcomes of n at their own rate.
func loglik(bad, n float64) float64 {
	l := 0.0
	if bad > 0 {
		l += bad * math.Log(bad/n)
	}
	if bad < n {
		l += (n - bad) * math.Log((n-bad)/n)
	}
	return l
}

// tester judges cells. It is fed with differences of running totals.
type tester struct {
	tests map[string]*[kinds]sequence
	// all counts the old version's outcomes of all routes, the prior of a route
	// with few of its own.
	all    Counts
	judged uint32
}

func newTester() *tester { return &tester{tests: map[string]*[kinds]sequence{}} }

func (t *tester) at(k string) *[kinds]sequence {
	s := t.tests[k]
	if s == nil {
		s = &[kinds]sequence{}
		t.tests[k] = s
	}
	return s
}

// finding is a test's result.
type finding struct {
	route string
	kind  kind
	seq   sequence
}

// add feeds new outcomes of a cell and returns a verdict, if there is one.
// control bounds the old version's outcomes that are taken as control group, in
// outcomes for each one of the new version; 0 means no bound.
func (t *tester) add(route string, old, neu Counts, control float64) (finding, bool) {
	t.all = t.all.plus(old)
	t.judged += neu.N
	tests := t.at(route)
	var verdict finding
	found := false
	for k := range kinds {
		s := &tests[k]
		on, ob := old.outcomes(k)
		nn, nb := neu.outcomes(k)
		if on+nn == 0 {
			continue
		}
		runN, runBad := s.oldN, s.oldBad
		s.addOld(on, ob)
		// Outcomes of one window are judged together, so the order in which they
		// are fed does not matter, but the run must exist before its control
		// group is counted.
		if s.n == 0 && nn > 0 {
			s.oldN, s.oldBad = float64(on), float64(ob)
		}
		if limit := control * float64(nn); control > 0 && float64(on) > limit {
			s.oldN, s.oldBad = runN+limit, runBad+min(limit, float64(ob))
		}
		s.addNew(nn, nb)
		prior := 0.0
		if an, ab := t.all.outcomes(k); an > 0 {
			prior = float64(ab) / float64(an)
		}
		s.judge(k, nn, nb, prior)
		if !found && s.verdict() {
			verdict, found = finding{route, k, *s}, true
		}
	}
	return verdict, found
}

// suspicious tells whether any test asks for a larger control group.
func (t *tester) suspicious() bool {
	for _, tests := range t.tests {
		for k := range tests {
			if tests[k].suspicious() {
				return true
			}
		}
	}
	return false
}

// nearest returns the test of the route that is nearest to its bound.
func (t *tester) nearest(route string) (finding, bool) {
	best, found := finding{}, false
	tests := t.tests[route]
	if tests == nil {
		return best, false
	}
	for k := range kinds {
		if s := tests[k]; !found || s.score/s.bound() > best.seq.score/best.seq.bound() {
			best, found = finding{route, k, s}, true
		}
	}
	return best, found
}
