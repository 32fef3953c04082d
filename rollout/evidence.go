package rollout

import (
	"math"
	"slices"
	"time"
)

const (
	// crashGap is the time in which the crashes of one upstream count once: one
	// crash fails all requests in flight, which are not independent outcomes.
	crashDedupWindow = 2 * time.Second

	ringCapacity   = 128
	ringMinSamples = 20
	// ringSlow: a full ring takes one of this many latencies, so that it does not
	// follow a fault of both versions; it would hide the old version's slowness
	// at the levels where it has requests.
	fullRingStride = 16
	// ringRenew is the number of outcomes after which the quantile is computed
	// again.
	ringRecomputeEvery = 16
	// slowFactor is the slowdown that a version may have beyond the quantile; it
	// leaves room for differences of load within a level. slowFirstSlack covers the way to
	// a replica in another data centre of the region.
	slowFactor      = 1.25
	firstTokenSlack = 5 * time.Millisecond

	// maxRoutes bounds the routes that are judged apart; later ones share one.
	maxRoutes   = 16
	otherRoutes = "(other)"

	// A death of the new version is explained by one of the old version within
	// deathNear, and deaths within deathCluster are one.
	deathCorrelationWindow = 15 * time.Second
	deathClusterWindow     = 10 * time.Second
	// minDeaths deaths of the new version that are not explained, and a chance
	// below deathChance that they fell on it by the number of its requests, make
	// it bad. One death, or two, never do.
	minDeaths      = 3
	maxDeathChance = 1e-5
	// loopDeaths deaths of one replica within loopWithin are a crash loop.
	crashLoopDeaths   = 3
	crashLoopWindow   = 10 * time.Minute
	maxRecordedDeaths = 64
)

// levelEnds are the load levels' upper ends; the last level has none. A latency
// is slow against the old version's quantile at a like level, which is narrow
// enough that the load within it changes latencies by less than slowFactor.
// What is slow for its level is counted for the route: so the old version's
// answers are a control group also when its replicas have less load by now.
var loadLevelEnds = [...]float64{0.3, 0.5, 0.65, 0.8, 1}

const loadLevels = len(loadLevelEnds) + 1

func loadLevel(load float64) uint8 {
	for i, end := range loadLevelEnds {
		if load < end {
			return uint8(i)
		}
	}
	return uint8(loadLevels - 1)
}

// ring holds the last latencies of the old version and their quantile.
type latencyRing struct {
	samples  [ringCapacity]time.Duration
	added    int
	skipped  int
	quantile time.Duration
}

func (r *latencyRing) add(d time.Duration) {
	if r.added >= ringCapacity {
		if r.skipped++; r.skipped%fullRingStride != 0 {
			return
		}
	}
	r.samples[r.added%ringCapacity] = d
	r.added++
	if r.added >= ringMinSamples && (r.added%ringRecomputeEvery == 0 || r.added == ringMinSamples) {
		var buf [ringCapacity]time.Duration
		b := buf[:min(r.added, ringCapacity)]
		copy(b, r.samples[:len(b)])
		slices.Sort(b)
		r.quantile = b[int(slowQuantile*float64(len(b)-1))]
	}
}

// ready tells whether the quantile is known well enough. A daemon that started
// during the move needs a full ring: it may have started during a fault of both
// versions, and its quantile would make the old version look healthy.
func (r *latencyRing) ready(late bool) bool {
	return r.added >= ringCapacity || (r.added >= ringMinSamples && !late)
}

type levelKey struct {
	route string
	level uint8
}

// latencies are the rings of one route and level of one version.
type latencies struct{ first, between latencyRing }

type cell struct {
	old, new Counts
	// dirty: an own cell changed since it was sent.
	dirty bool
	// at is when a peer's cell was last received.
	receivedAt time.Time
}

type death struct {
	at       time.Time
	upstream string
	isNew    bool
}

// evidence is what this daemon knows about a move's versions.
type evidence struct {
	// cells are this daemon's running totals, own its tests on them.
	cells    map[string]*cell
	ownTests *testSet
	// dirty tells that some cell changed since it was sent.
	dirty bool
	// merged are the tests on the outcomes of all daemons that sent windows to
	// this one; sources holds the totals that were counted from each.
	mergedTests *testSet
	peerCells   map[source]map[string]*cell
	routes      map[string]bool

	lastCrash map[string]time.Time
	// lost tells since when upstreams are lost; an answer to a later request
	// ends it.
	lostSince map[string]time.Time
	deaths    []death
}

type source struct {
	daemon      string
	incarnation uint64
}

const (
	maxSources = 1024
	maxCells   = maxRoutes + 1
)

func newEvidence() *evidence {
	return &evidence{
		cells: map[string]*cell{}, ownTests: newTestSet(), mergedTests: newTestSet(),
		peerCells: map[source]map[string]*cell{}, routes: map[string]bool{},
		lastCrash: map[string]time.Time{}, lostSince: map[string]time.Time{},
	}
}

func (e *evidence) route(r string) string {
	if !e.routes[r] {
		if len(e.routes) >= maxRoutes {
			return otherRoutes
		}
		e.routes[r] = true
	}
	return r
}

// count adds an own outcome and returns a verdict, if there is one.
func (e *evidence) countOwn(route string, oldCounts, newCounts Counts) (testResult, bool) {
	c := e.cells[route]
	if c == nil {
		c = &cell{}
		e.cells[route] = c
	}
	c.old, c.new, c.dirty = c.old.plus(oldCounts), c.new.plus(newCounts), true
	e.dirty = true
	f, bad := e.ownTests.add(route, oldCounts, newCounts, 0)
	if g, also := e.mergedTests.add(route, oldCounts, newCounts, 0); also && !bad {
		return g, true
	}
	return f, bad
}

// lateWindow is the pause after which the next totals of a cell cover too long a
// time to count as one window.
const maxWindowGap = 15 * time.Second

// merge adds the part of a peer's totals that is new and returns a verdict, if
// there is one. share is the new version's share now.
//
// The first totals of a cell, and those after a pause, cover a time in which the
// share has grown. Counting all of the old version's outcomes of that time as
// control group would hide a short fault of both versions that came when most
// requests went to the new one. The control group is then as large as the
// present share makes it.
func (e *evidence) merge(now time.Time, w Window, share float64) (testResult, bool) {
	src := source{w.Daemon, w.Incarnation}
	cells := e.peerCells[src]
	if cells == nil {
		if len(e.peerCells) >= maxSources {
			return testResult{}, false
		}
		cells = map[string]*cell{}
		e.peerCells[src] = cells
	}
	var verdict testResult
	found := false
	for _, wc := range w.Cells {
		route := e.route(wc.Route)
		c := cells[route]
		if c == nil {
			if len(cells) >= maxCells {
				continue
			}
			c = &cell{}
			cells[route] = c
		}
		control := 0.0
		if now.Sub(c.receivedAt) > maxWindowGap {
			control = max(1-share, 0.01) / max(share, 0.01)
		}
		oldCounts, newCounts := c.old.max(wc.Old), c.new.max(wc.New)
		f, bad := e.mergedTests.add(route, oldCounts.minus(c.old), newCounts.minus(c.new), control)
		c.old, c.new, c.receivedAt = oldCounts, newCounts, now
		if bad && !found {
			verdict, found = f, true
		}
	}
	return verdict, found
}

// repeatedCrash tells whether a crash of the upstream was counted just before.
func (e *evidence) repeatedCrash(upstream string, at time.Time) bool {
	last, seen := e.lastCrash[upstream]
	if seen && at.Sub(last) < crashDedupWindow {
		return true
	}
	e.lastCrash[upstream] = at
	return false
}

// upstreamLost counts a death when the upstream had answered since its last one.
func (e *evidence) upstreamLost(upstream string, at time.Time, isNew bool) {
	if _, lost := e.lostSince[upstream]; lost {
		return
	}
	e.lostSince[upstream] = at
	if len(e.deaths) >= maxRecordedDeaths {
		e.deaths = e.deaths[1:]
	}
	e.deaths = append(e.deaths, death{at, upstream, isNew})
}

// answered notes an answer to a request that was sent at the given time.
func (e *evidence) answered(upstream string, sent time.Time) {
	if at, lost := e.lostSince[upstream]; lost && sent.After(at) {
		delete(e.lostSince, upstream)
	}
}

// deathVerdict tells whether the deaths of replicas speak against the new
// version.
func (e *evidence) deathVerdict() (upstreamDeaths int, bad bool) {
	var newDeaths, oldDeaths int
	var lastNew, lastOld time.Time
	perUpstream := map[string][]time.Time{}
	for i, d := range e.deaths {
		if !d.isNew {
			if lastOld.IsZero() || d.at.Sub(lastOld) > deathClusterWindow {
				oldDeaths++
			}
			lastOld = d.at
			continue
		}
		if e.isCorrelated(i) {
			continue
		}
		ts := append(perUpstream[d.upstream], d.at)
		perUpstream[d.upstream] = ts
		if len(ts) >= crashLoopDeaths && d.at.Sub(ts[len(ts)-crashLoopDeaths]) <= crashLoopWindow {
			return len(ts), true
		}
		if lastNew.IsZero() || d.at.Sub(lastNew) > deathClusterWindow {
			newDeaths++
		}
		lastNew = d.at
	}
	if newDeaths < minDeaths {
		return newDeaths, false
	}
	var n Counts
	var o Counts
	for _, c := range e.cells {
		n, o = n.plus(c.new), o.plus(c.old)
	}
	q := (float64(n.N) + 1) / (float64(n.N) + float64(o.N) + 2)
	return newDeaths, binomialTail(newDeaths, newDeaths+oldDeaths, q) < maxDeathChance
}

func (e *evidence) isCorrelated(i int) bool {
	for _, d := range e.deaths {
		if !d.isNew && d.at.Sub(e.deaths[i].at).Abs() <= deathCorrelationWindow {
			return true
		}
	}
	return false
}

// binomialTail is the chance of at least k successes of n with chance q each.
func binomialTail(k, n int, q float64) float64 {
	sum := 0.0
	for i := k; i <= n; i++ {
		lg := func(x int) float64 { v, _ := math.Lgamma(float64(x) + 1); return v }
		sum += math.Exp(lg(n) - lg(i) - lg(n-i) + float64(i)*math.Log(q) + float64(n-i)*math.Log1p(-q))
	}
	return sum
}
