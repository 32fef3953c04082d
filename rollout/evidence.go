package rollout

import (
	"math"
	"slices"
	"time"
)

const (
	// crashDedupWindow is the time in which the crashes of one upstream count
	// once: one crash fails all requests in flight, which are not independent
	// outcomes.
	crashDedupWindow = 2 * time.Second

	// ringCapacity is the number of latencies that a latencyRing holds.
	// ringMinSamples is the least number of them that a quantile is computed from.
	ringCapacity   = 128
	ringMinSamples = 20
	// fullRingStride: a full ring takes only every fullRingStride-th latency, so
	// that its quantile does not follow a fault that slows down both versions. A
	// quantile that followed the fault would hide the old version's slowness at the
	// load levels where the old version has requests.
	fullRingStride = 16
	// ringRecomputeEvery is the number of added latencies after which the quantile
	// is computed again.
	ringRecomputeEvery = 16
	// slowFactor is the slowdown beyond the quantile that does not yet count as
	// slow; it allows for differences of load within a level. firstTokenSlack is
	// added for first tokens, for the network latency to a replica in another data
	// centre of the region.
	slowFactor      = 1.25
	firstTokenSlack = 5 * time.Millisecond

	// maxRoutes bounds the number of routes that are judged separately; any others
	// are judged together as otherRoutes.
	maxRoutes   = 16
	otherRoutes = "(other)"

	// A death is the loss of a replica. Deaths of new-version replicas within
	// deathCorrelationWindow before or after a death of an old-version replica do
	// not count, because they probably have a common cause. Deaths of one version
	// within deathClusterWindow of each other count as one.
	deathCorrelationWindow = 15 * time.Second
	deathClusterWindow     = 10 * time.Second
	// The new version is bad when at least minDeaths deaths of it count, and the
	// probability that this many of all deaths fall on it by chance, given its part
	// of the requests, is below maxDeathChance. One death, or two, are never enough.
	minDeaths      = 3
	maxDeathChance = 1e-5
	// crashLoopDeaths deaths of one replica within crashLoopWindow are a crash
	// loop, which is a verdict by itself.
	crashLoopDeaths = 3
	crashLoopWindow = 10 * time.Minute
	// maxRecordedDeaths bounds the deaths that are remembered; the oldest are
	// dropped first.
	maxRecordedDeaths = 64
)

// loadLevelEnds are the upper ends of the load levels (Sample.Load); the last
// level has none. A latency is compared with the old version's quantile at a
// similar level. The levels are narrow enough that the load within one changes
// latencies by less than slowFactor. Slow answers are then counted per route over
// all levels, so the old version's answers still serve as a control group when
// its replicas have less load than the new version's.
var loadLevelEnds = [...]float64{0.3, 0.5, 0.65, 0.8, 1}

const loadLevels = len(loadLevelEnds) + 1

// loadLevel returns the index of the load level that holds the load.
func loadLevel(load float64) uint8 {
	for i, end := range loadLevelEnds {
		if load < end {
			return uint8(i)
		}
	}
	return uint8(loadLevels - 1)
}

// latencyRing holds the latest latencies of one version and their slowQuantile.
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

// ready reports whether the quantile rests on enough latencies. A daemon that
// learned of the move late needs a full ring: it may have started during a fault
// of both versions, and a quantile from that time would make the old version look
// healthy.
func (r *latencyRing) ready(late bool) bool {
	return r.added >= ringCapacity || (r.added >= ringMinSamples && !late)
}

type levelKey struct {
	route string
	level uint8
}

// latencies are the rings of one version at one route and load level: the times
// to the first token and the mean times between tokens.
type latencies struct{ first, between latencyRing }

// cell holds the totals of both versions on one route.
type cell struct {
	old, new Counts
	// dirty is set when a cell of this daemon changed since it was last sent to
	// the owner.
	dirty bool
	// receivedAt is when a peer's cell was last received.
	receivedAt time.Time
}

// death is the loss of a replica.
type death struct {
	at       time.Time
	upstream string
	isNew    bool
}

// evidence holds the outcomes of a move's two versions that this daemon knows.
type evidence struct {
	// cells are this daemon's running totals by route; ownTests are the tests on
	// them.
	cells    map[string]*cell
	ownTests *testSet
	// dirty is set when some cell changed since it was last sent.
	dirty bool
	// mergedTests are the tests on the outcomes of this daemon and of all daemons
	// that sent windows to it; peerCells holds the totals that were counted from
	// each of those, by route.
	mergedTests *testSet
	peerCells   map[source]map[string]*cell
	routes      map[string]bool

	// lastCrash is when the last counted crash of each upstream happened.
	lastCrash map[string]time.Time
	// lostSince tells since when each lost upstream is lost; an answer to a later
	// request removes it.
	lostSince map[string]time.Time
	deaths    []death
}

// source identifies one run of a daemon.
type source struct {
	daemon      string
	incarnation uint64
}

// maxSources and maxCells bound the memory that windows of peers can take.
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

// route returns the route under which outcomes of r are counted.
func (e *evidence) route(r string) string {
	if !e.routes[r] {
		if len(e.routes) >= maxRoutes {
			return otherRoutes
		}
		e.routes[r] = true
	}
	return r
}

// countOwn adds an outcome that this daemon saw and returns a verdict, if there
// is one.
func (e *evidence) countOwn(route string, oldCounts, newCounts Counts) (testResult, bool) {
	c := e.cells[route]
	if c == nil {
		c = &cell{}
		e.cells[route] = c
	}
	c.old, c.new, c.dirty = c.old.plus(oldCounts), c.new.plus(newCounts), true
	e.dirty = true
	result, bad := e.ownTests.add(route, oldCounts, newCounts, 0)
	if merged, also := e.mergedTests.add(route, oldCounts, newCounts, 0); also && !bad {
		return merged, true
	}
	return result, bad
}

// maxWindowGap is the time without totals of a cell after which the next ones
// cover too long a time to be judged as one window.
const maxWindowGap = 15 * time.Second

// merge adds the outcomes by which a peer's totals have grown and returns a
// verdict, if there is one. share is the largest share that the schedule has
// given the new version so far.
//
// The first totals of a cell, and those after a gap of more than maxWindowGap,
// cover a time in which the share has grown. If all of the old version's outcomes
// of that time counted as control group, they would hide a short fault of both
// versions that came when most requests went to the new one. The control group
// is therefore limited to the ratio of old to new outcomes that share gives.
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
		controlRatio := 0.0
		if now.Sub(c.receivedAt) > maxWindowGap {
			controlRatio = max(1-share, 0.01) / max(share, 0.01)
		}
		oldCounts, newCounts := c.old.max(wc.Old), c.new.max(wc.New)
		result, bad := e.mergedTests.add(route, oldCounts.minus(c.old), newCounts.minus(c.new), controlRatio)
		c.old, c.new, c.receivedAt = oldCounts, newCounts, now
		if bad && !found {
			verdict, found = result, true
		}
	}
	return verdict, found
}

// repeatedCrash reports whether a crash of the upstream was counted less than
// crashDedupWindow ago; if not, it notes this one.
func (e *evidence) repeatedCrash(upstream string, at time.Time) bool {
	last, seen := e.lastCrash[upstream]
	if seen && at.Sub(last) < crashDedupWindow {
		return true
	}
	e.lastCrash[upstream] = at
	return false
}

// upstreamLost records a death, unless the upstream has not answered since its
// last one.
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

// answered notes an answer to a request that was sent at the given time. An
// answer to a request sent before the loss does not show that the upstream is
// back.
func (e *evidence) answered(upstream string, sent time.Time) {
	if at, lost := e.lostSince[upstream]; lost && sent.After(at) {
		delete(e.lostSince, upstream)
	}
}

// deathVerdict returns the number of deaths that are counted against the new
// version (for a crash loop, those of one replica), and whether they make it bad.
func (e *evidence) deathVerdict() (counted int, bad bool) {
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

// isCorrelated reports whether a replica of the old version died at about the same
// time as the one of e.deaths[i].
func (e *evidence) isCorrelated(i int) bool {
	for _, d := range e.deaths {
		if !d.isNew && d.at.Sub(e.deaths[i].at).Abs() <= deathCorrelationWindow {
			return true
		}
	}
	return false
}

// binomialTail is the probability of at least k successes in n trials with the
// success probability q each.
func binomialTail(k, n int, q float64) float64 {
	sum := 0.0
	for i := k; i <= n; i++ {
		lg := func(x int) float64 { v, _ := math.Lgamma(float64(x) + 1); return v }
		sum += math.Exp(lg(n) - lg(i) - lg(n-i) + float64(i)*math.Log(q) + float64(n-i)*math.Log1p(-q))
	}
	return sum
}
