package cutover

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// minBadOutcomes is the minimum number of the target's bad outcomes on a route
	// for a verdict.
	minBadOutcomes = 3
	// rateMargin is how much higher the target's rate of bad outcomes must be than
	// that of the other versions, which are hit by the same faults of machines and
	// networks.
	rateMargin = 0.2
	// maxMarginChance is the largest probability with which such an excess may come
	// about at the rate of the other versions. A smaller excess, of at least
	// smallRateMargin, counts up to maxChance.
	maxMarginChance = 1e-3
	smallRateMargin = 0.05
	maxChance       = 1e-4
	// A target with an excess that is less certain is not found bad, but not completed
	// either: to stay with the old version costs less than a bad one.
	minSuspectOutcomes = 2
	maxSuspectChance   = 2e-3
	// A target is not completed either if it was less than minGoodLikelihood (a natural
	// logarithm) likelier to be seen so of a good version than of one that fails worseBy of
	// the requests that others answer.
	worseBy           = 0.15
	minGoodLikelihood = 1.0
	// slowFactor is the multiple of the usual time above which an answer counts as
	// bad. Bad versions are several times slower than usual.
	slowFactor = 3
	// minExaminedOutcomes is the least number of the target's outcomes with which a
	// route counts as examined. When half of the answers are bad, the probability of
	// fewer than minBadOutcomes bad ones among them is about one in fifty.
	minExaminedOutcomes = 12
	// minCleanOutcomes is the same if none of them is bad. When half of the answers
	// are bad, the probability of this is one in sixteen.
	minCleanOutcomes = 4
	// rareRouteShare is the share of requests below which a route need not be
	// examined.
	rareRouteShare = 0.02
	// noisyRouteRate is the rate of bad outcomes of the other versions from which on a
	// request of a route tells little of the target.
	noisyRouteRate = 0.1
	// brokenRouteRate is the rate of bad outcomes of the other versions from which on
	// a route cannot tell whether the target is bad.
	brokenRouteRate = 0.5
	// overdueShare is the share of the requests to the target that may wait for an
	// outcome when the order is completed; more say that the target is slow.
	overdueShare = 0.2
	// minRehearsalOutcomes is the least number of the target's outcomes since the
	// rehearsal began, if twice as many requests can be expected.
	minRehearsalOutcomes = 3
	// minRateWindow is the least time over which a rate of requests is taken.
	minRateWindow = 2 * time.Second
	// priorRateWindow is the weight of the rates before the order, as a time.
	priorRateWindow = 10 * time.Second
)

// phaseStarts are the fractions of the time limit at which the phases of an order
// begin. Outcomes are kept by the phase in which their request was sent, because a
// version may turn bad, or be bad under load only: its earlier good outcomes must
// not hide that. The last phase is the only one whose requests may still be waiting
// for an ordinary answer when the order is completed.
var phaseStarts = [...]float64{0, 0.25, rehearsalFraction, 0.7}

// rehearsalPhase is the first phase of the rehearsal.
const rehearsalPhase = 2

// phase returns the phase of the order at a time.
func (c *Cutover) phase(at time.Time) int {
	elapsed := c.elapsedFraction(at)
	phase := 0
	for i, start := range phaseStarts {
		if elapsed >= start {
			phase = i
		}
	}
	return phase
}

// Counts are numbers of good and bad outcomes.
type Counts struct {
	Good int `json:"good"`
	Bad  int `json:"bad"`
}

func (c Counts) total() int { return c.Good + c.Bad }

// plus returns the sum of c and n times o.
func (c Counts) plus(o Counts, n int) Counts { return Counts{c.Good + n*o.Good, c.Bad + n*o.Bad} }

// rate returns the rate of bad outcomes. Two good outcomes are added, so that one
// bad outcome alone does not give a rate of 1.
func (c Counts) rate() float64 { return float64(c.Bad) / float64(c.total()+2) }

func count(c Counts, bad bool) Counts {
	if bad {
		c.Bad++
	} else {
		c.Good++
	}
	return c
}

// Cell holds the outcomes on one route, of the target and of all other versions.
type Cell struct {
	Target Counts `json:"target"`
	Others Counts `json:"others"`
	// Waiting is the number of requests to the target that have no outcome yet.
	Waiting int `json:"waiting,omitempty"`
}

// plus returns the sum of c and n times o.
func (c Cell) plus(o Cell, n int) Cell {
	return Cell{Target: c.Target.plus(o.Target, n), Others: c.Others.plus(o.Others, n), Waiting: c.Waiting + n*o.Waiting}
}

// exceeds reports whether the target has clearly more bad outcomes than can be
// expected at the rate that the other versions have. In a part of the outcomes,
// few of them do not suffice for that.
func (c Counts) exceeds(expected float64, part bool) bool {
	if c.Bad < minBadOutcomes || c.rate() < expected+smallRateMargin {
		return false
	}
	p := chance(c.total(), c.Bad, expected)
	return p < maxChance || !part && c.rate() >= expected+rateMargin && p < maxMarginChance
}

// chance returns the probability of at least bad outcomes among n if each is bad
// with probability p, which is above 0 and below 1.
func chance(n, bad int, p float64) float64 {
	term := math.Pow(1-p, float64(n))
	below := 0.0
	for k := range bad {
		below += term
		term *= float64(n-k) / float64(k+1) * p / (1 - p)
	}
	return 1 - below
}

// Evidence holds what one daemon has seen.
type Evidence struct {
	// Order is the revision of the order that the evidence belongs to.
	Order uint64 `json:"order"`
	// Phases holds the outcomes by the phase in which their request was sent, and by
	// route.
	Phases []map[string]Cell `json:"phases"`
	// Rates holds the requests per second of each route.
	Rates map[string]float64 `json:"rates"`
	// ElapsedMs is how long the daemon had known the order when it published the
	// evidence, in milliseconds.
	ElapsedMs int64 `json:"elapsed_ms"`
}

func newEvidence(order uint64) Evidence {
	e := Evidence{Order: order, Phases: make([]map[string]Cell, len(phaseStarts)), Rates: map[string]float64{}}
	for i := range e.Phases {
		e.Phases[i] = map[string]Cell{}
	}
	return e
}

func (e Evidence) clone() Evidence {
	out := newEvidence(e.Order)
	out.add(e, 1)
	return out
}

// add adds n times the evidence o. Phases that this build does not know are added to
// the last one.
func (e Evidence) add(o Evidence, n int) {
	for i, cells := range o.Phases {
		own := e.Phases[min(i, len(e.Phases)-1)]
		for route, cell := range cells {
			own[route] = own[route].plus(cell, n)
		}
	}
	for route, rate := range o.Rates {
		e.Rates[route] += float64(n) * rate
	}
}

// since returns the outcomes by route from a phase on.
func (e Evidence) since(phase int) map[string]Cell {
	out := map[string]Cell{}
	for _, cells := range e.Phases[phase:] {
		for route, cell := range cells {
			out[route] = out[route].plus(cell, 1)
		}
	}
	return out
}

// badRoute returns a route on which the target fails more often than the other
// versions, over the whole order or since the start of a phase; empty if there is
// none.
func (e Evidence) badRoute() string {
	return e.findRoute(func(target Counts, expected float64, part bool) bool { return target.exceeds(expected, part) })
}

// suspectRoute returns a route on which the target may be bad.
func (e Evidence) suspectRoute() string {
	return e.findRoute(func(target Counts, expected float64, _ bool) bool {
		return target.Bad >= minSuspectOutcomes && chance(target.total(), target.Bad, expected) < maxSuspectChance
	})
}

// findRoute returns a route for which matches holds over the whole order, or since
// the start of a phase (part), given the rate of bad outcomes to expect.
func (e Evidence) findRoute(matches func(target Counts, expected float64, part bool) bool) string {
	all := e.since(0)
	maps.DeleteFunc(all, func(_ string, cell Cell) bool { return cell.Target.Bad < minSuspectOutcomes })
	if len(all) == 0 {
		return ""
	}
	for phase := range e.Phases {
		for route, cell := range e.since(phase) {
			if all[route].Target.Bad > 0 && matches(cell.Target, max(all[route].Others.baseRate(), cell.Others.rate()), phase > 0) {
				return route
			}
		}
	}
	return ""
}

// seemsWorse reports whether the target's outcomes, on all routes together, are not
// clearly those of a good version. A fault that grows with the load shows in a few more
// failures on each route, which are not certain on any.
func (e Evidence) seemsWorse() bool {
	likelihood, bad := 0.0, 0
	for _, cell := range e.since(0) {
		expected := max(cell.Others.baseRate(), cell.Others.rate())
		if expected >= brokenRouteRate {
			continue
		}
		worse := expected + worseBy*(1-expected)
		likelihood += float64(cell.Target.Bad)*math.Log(expected/worse) + float64(cell.Target.Good)*math.Log((1-expected)/(1-worse))
		bad += cell.Target.Bad
	}
	return bad >= minBadOutcomes && likelihood < minGoodLikelihood
}

// baseRate returns the rate of bad outcomes to expect of a good version. It is never
// 0: a version without a bad outcome so far may have one.
func (c Counts) baseRate() float64 { return (float64(c.Bad) + 0.5) / float64(c.total()+20) }

// examination tells which routes are not examined.
type examination struct {
	// rates holds the requests per second of each route, rate those of the service.
	rates map[string]float64
	rate  float64
	// unexamined holds the routes on which too little is known of the target.
	unexamined map[string]bool
	// noisy holds the routes that are left out of the rehearsal; rehearsedRate is the
	// requests per second of the others.
	noisy         map[string]bool
	rehearsedRate float64
}

func (e examination) done() bool { return len(e.unexamined) == 0 }

// examine finds the routes on which the target has too few outcomes. Rare routes,
// and those on which the other versions fail too, need none.
func (e Evidence) examine() examination {
	out := examination{rates: e.Rates, unexamined: map[string]bool{}, noisy: map[string]bool{}}
	for _, rate := range e.Rates {
		out.rate += rate
	}
	cells := e.since(0)
	for route, rate := range e.Rates {
		target, others := cells[route].Target, cells[route].Others
		noisy := others.Bad >= minBadOutcomes && others.rate() >= noisyRouteRate
		examined := target.total() >= minExaminedOutcomes || target.total() >= minCleanOutcomes && target.Bad == 0 && !noisy
		broken := others.Bad >= minBadOutcomes && others.rate() >= brokenRouteRate
		if rate >= rareRouteShare*out.rate && !examined && !broken {
			out.unexamined[route] = true
		}
		if noisy {
			out.noisy[route] = true
		} else {
			out.rehearsedRate += rate
		}
	}
	if out.rehearsedRate < out.rate/2 {
		out.noisy, out.rehearsedRate = map[string]bool{}, out.rate
	}
	return out
}

// answersOverdue reports whether many requests that were sent to the target before
// the last phase still wait for an outcome.
func (e Evidence) answersOverdue() bool {
	before := map[string]Cell{}
	for _, cells := range e.Phases[:len(e.Phases)-1] {
		for route, cell := range cells {
			before[route] = before[route].plus(cell, 1)
		}
	}
	for _, cell := range before {
		if cell.Waiting >= minBadOutcomes && float64(cell.Waiting) >= overdueShare*float64(cell.Waiting+cell.Target.total()) {
			return true
		}
	}
	return false
}

// rehearsed reports whether the target has outcomes of requests that were sent since
// the rehearsal began; length is how long it lasts. A service with too few requests
// needs none.
func (e Evidence) rehearsed(length time.Duration) bool {
	rate, outcomes := 0.0, 0
	for _, r := range e.Rates {
		rate += r
	}
	for _, cell := range e.since(rehearsalPhase) {
		outcomes += cell.Target.total()
	}
	expected := rate * length.Seconds()
	return outcomes >= minRehearsalOutcomes || expected < 2*minRehearsalOutcomes
}

// String lists the numbers of bad and of all outcomes by route.
func (e Evidence) String() string {
	cells := e.since(0)
	var b strings.Builder
	for i, route := range slices.Sorted(maps.Keys(cells)) {
		if i > 0 {
			b.WriteString("; ")
		}
		c := cells[route]
		fmt.Fprintf(&b, "%s target %d/%d waiting %d others %d/%d", route, c.Target.Bad, c.Target.total(), c.Waiting, c.Others.Bad, c.Others.total())
	}
	return b.String()
}
