// Package cutover moves a service's traffic to another version when the
// operator orders it through the store, and reports whether the move is
// completed or reverted.
//
// It differs from package rollout, which carries out the teams' own documents: an
// order allows seconds instead of minutes, and the limit for a bad version is a
// share of the requests plus a fixed number of requests. Every daemon runs one
// Cutover per order. Daemons publish their counts in the store, and each judges
// the sum, so the verdict needs no owner. Rank and time decide which daemon writes
// the status.
//
//gooseberryroad:pure
package cutover

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/gooseberryroad/gooseberryroad/internal/backoff"
)

// State is the state of an order that the operator reads back.
type State string

// The states of an order.
const (
	Running   State = "running"
	Completed State = "completed"
	Reverted  State = "reverted"
)

// Order is the operator's request to move a service.
type Order struct {
	Service string
	Target  string
	// TimeLimit is the time within which the move must be completed or reverted.
	TimeLimit time.Duration
	// Revision is the store's revision of the order.
	Revision uint64
}

// Status is the status of an order in the store.
type Status struct {
	Target string
	State  State
	// Revision is the store's revision of the status; 0 means that there is none.
	Revision uint64
	// Lost says that the store lost the status when it was restored from an older copy, so
	// that it has to be written again.
	Lost bool
}

// Open reports whether the status s neither completes nor reverts the order. A
// status of an earlier order does not count.
func (o Order) Open(s Status) bool {
	s = s.forOrder(o)
	return s.State != Completed && s.State != Reverted
}

// forOrder returns the status, or one with only the revision if s belongs to an
// earlier order.
func (s Status) forOrder(o Order) Status {
	if s.Target != o.Target || s.Revision < o.Revision {
		return Status{Revision: s.Revision}
	}
	return s
}

const (
	// examinationFraction is the fraction of the time limit within which each route
	// should be examined; it decides the target's share on a route until then.
	examinationFraction = 0.35
	// trickleShare is the target's share on an examined route until the rehearsal.
	trickleShare = 0.03
	// rehearsalFraction is the fraction of the time limit after which an examined target
	// is rehearsed under load (see rehearsalUpstreams). minRehearsalLoad is the least load
	// of its upstreams then, as a multiple of their mean load after completion: load varies.
	// Where more is known, they are loaded until maxRehearsalOccupancy of their slots are
	// taken: a fault of concurrent requests shows there within fewer requests.
	rehearsalFraction     = 0.5
	minRehearsalLoad      = 2
	maxRehearsalOccupancy = 0.75
	// lateExposureShare is the share of the exposure that is kept for the last phase,
	// because a version may turn bad late.
	lateExposureShare = 0.25
	// The exposure of a target before it is completed is bounded by a fixed number of
	// requests and shares of the service's requests: of those that can be expected
	// within the time limit, which leaves enough for the rehearsal, and of those so
	// far, which lasts until the end. The limit for a bad target is a tenth of all
	// requests plus fifty; the difference is left for requests that daemons send before
	// they know that it is bad.
	exposureRequests      = 42
	expectedExposureShare = 0.045
	exposureShare         = 0.03
	// The examination may use less, of the requests so far.
	examinationRequests = 30
	examinationShare    = 0.08
	// finalLead is the time before the end of the time limit at which the move is reported
	// as completed, or as reverted if too little is known of the target. It leaves time for
	// the write and for an order that was read late. All requests go to a completed target,
	// and until the end they count towards its exposure.
	finalLead = 450 * time.Millisecond
	// rankDelay is how long each daemon waits for the one ranked before it to write
	// a status, before it writes the status itself; finalRankDelay is the same for the
	// status at the end of the time limit.
	rankDelay      = 600 * time.Millisecond
	finalRankDelay = 100 * time.Millisecond
	// publishInterval is the minimum time between two publications of a daemon,
	// because calls to the store have a cost.
	publishInterval = 400 * time.Millisecond
	// agePublishers daemons publish at least every agePublishInterval, so that daemons
	// which restart learn the age of the order.
	agePublishers      = 3
	agePublishInterval = time.Second
	// writeRetry and maxWriteRetry are the first and the longest pause after failed
	// writes; the pause doubles in between. Refused calls have a cost too, and the
	// status must be written within a second after an outage of the store.
	writeRetry    = 200 * time.Millisecond
	maxWriteRetry = 800 * time.Millisecond
)

// Cutover is the state of one order at one daemon. It is not safe for
// concurrent use.
type Cutover struct {
	order     Order
	status    Status
	startedAt time.Time
	// requests counts the service's requests at this daemon since the order, by
	// route; targetRequests counts those that were chosen for the target.
	requests, targetRequests map[string]int
	// priorRates holds the requests per second of each route at this daemon before
	// the order.
	priorRates map[string]float64
	// roundingDraw rounds this daemon's part of the exposure (see New).
	roundingDraw float64
	// ownEvidence was last published at publishedAt; unpublished is set when it
	// holds something that was not published yet.
	ownEvidence Evidence
	publishedAt time.Time
	unpublished bool
	// retry paces the writes after one that failed.
	retry backoff.Backoff
	// peerEvidence holds what other daemons published, and peerSum its sum.
	peerEvidence map[string]Evidence
	peerSum      Evidence
	// lostAt is when NextWrite first found that the store lost the status, and lostWrites
	// how often it returned the status since.
	lostAt     time.Time
	lostWrites int
	// badRoute is the route on which the target was found bad, at judgedAt.
	badRoute string
	judgedAt time.Time
}

// New returns the state of an order that was read at now. before holds the traffic
// of the service's routes at this daemon before the order. roundingDraw is drawn
// uniformly from [0, 1) for each daemon: a daemon whose part of the exposure is a
// fraction of a request sends one request with that probability.
func New(o Order, before map[string]Traffic, roundingDraw float64, now time.Time) *Cutover {
	c := &Cutover{
		order: o, startedAt: now, roundingDraw: roundingDraw, ownEvidence: newEvidence(o.Revision),
		requests: map[string]int{}, targetRequests: map[string]int{}, priorRates: map[string]float64{}, unpublished: len(before) > 0,
		peerEvidence: map[string]Evidence{}, peerSum: newEvidence(o.Revision), retry: backoff.Backoff{Initial: writeRetry, Max: maxWriteRetry},
	}
	for route, t := range before {
		c.priorRates[route] = t.PerSecond
		c.ownEvidence.Phases[0][route] = Cell{Others: t.Outcomes}
	}
	return c
}

// Order returns the order.
func (c *Cutover) Order() Order { return c.order }

// SetStatus sets the status in the store. One that is older than the order
// belongs to an earlier order and is ignored except for its revision.
func (c *Cutover) SetStatus(s Status) { c.status = s.forOrder(c.order) }

// State returns the state in the store; empty when there is none for this order.
func (c *Cutover) State() State { return c.status.State }

// ended reports whether the store has a final state for the order.
func (c *Cutover) ended() bool { return !c.order.Open(c.status) }

// SetEvidence sets what another daemon published and judges the target again.
// Evidence of another order is ignored.
func (c *Cutover) SetEvidence(daemon string, e Evidence, now time.Time) {
	if e.Order == c.order.Revision {
		c.peerSum.add(c.peerEvidence[daemon], -1)
		c.peerSum.add(e, 1)
		c.peerEvidence[daemon] = e
		c.startedBefore(e, now)
		c.judge(now)
	}
}

// startedBefore takes over the age of the order from evidence that was read at now,
// if another daemon or an earlier process has known the order for longer.
func (c *Cutover) startedBefore(e Evidence, now time.Time) {
	if at := now.Add(-time.Duration(e.ElapsedMs) * time.Millisecond); at.Before(c.startedAt) {
		c.startedAt = at
	}
}

// Resume takes over the evidence that an earlier process of this daemon published,
// which the evidence of this process replaces in the store. Its outcomes also count
// towards the exposure. It has to be called before the first request.
func (c *Cutover) Resume(e Evidence, now time.Time) {
	if e.Order != c.order.Revision {
		return
	}
	c.startedBefore(e, now)
	c.ownEvidence.add(e, 1)
	for _, cells := range c.ownEvidence.Phases {
		for route, cell := range cells {
			// These requests ended with the process.
			cell.Waiting = 0
			cells[route] = cell
		}
	}
	for route, cell := range c.ownEvidence.since(0) {
		c.targetRequests[route] += cell.Target.total()
		c.requests[route] += cell.Target.total()
	}
	for route, rate := range e.Rates {
		if _, known := c.priorRates[route]; !known {
			c.priorRates[route] = rate
		}
	}
	c.unpublished = true
	c.judge(now)
}

// Fleet is what a daemon knows of the system when it chooses a version.
type Fleet struct {
	// Daemons is the number of daemons that take requests, Targets the number of
	// upstreams that run the target.
	Daemons, Targets int
	// Slots is the number of requests that all upstreams of the target run at once; 0 is
	// unknown.
	Slots int
	// Latency is the usual time to the complete answer on each route. Routes on which it
	// is not known are missing.
	Latency map[string]time.Duration
}

// rehearsalLoad returns the load of the upstreams in the rehearsal, as a multiple of
// their mean load after completion.
func (f Fleet) rehearsalLoad(e examination) float64 {
	running := 0.0
	for route, rate := range e.rates {
		latency, known := f.Latency[route]
		switch {
		case e.noisy[route]:
		case known:
			running += rate * latency.Seconds()
		case rate >= rareRouteShare*e.rate:
			return minRehearsalLoad
		}
	}
	if running == 0 {
		return minRehearsalLoad
	}
	return max(min(maxRehearsalOccupancy*float64(f.Slots)/running, float64(f.Targets)), minRehearsalLoad)
}

// Choose decides whether a new request of a route goes to the target. draw is
// uniform in [0, 1). Until the target is completed, each daemon limits it to a share
// of its own requests plus its part of a fixed number, so that no count of all
// daemons' requests is needed.
func (c *Cutover) Choose(route string, draw float64, now time.Time, f Fleet) bool {
	c.requests[route]++
	e := c.sum(now).examine()
	if draw >= c.share(route, e, now, f) {
		return false
	}
	if c.status.State != Completed && c.targetRequests[route] >= c.exposureLimit(route, e, now, f.Daemons) {
		return false
	}
	c.targetRequests[route]++
	return true
}

// exposureLimit returns the number of requests of a route that this daemon may send
// to a target that is not completed. The routes that are not examined yet share
// equally what the examined ones leave, so that a frequent route does not use up the
// exposure that a rare one needs for its examination.
func (c *Cutover) exposureLimit(route string, e examination, now time.Time, daemons int) int {
	limit, parts := 0.0, 1
	if e.done() {
		ownRate := 0.0
		for _, rate := range c.rates(now) {
			ownRate += rate
		}
		limit = exposureRequests/float64(max(daemons, 1)) + expectedExposureShare*ownRate*c.order.TimeLimit.Seconds() +
			exposureShare*float64(total(c.requests))
		if c.phase(now) < len(phaseStarts)-1 {
			limit *= 1 - lateExposureShare
		}
	} else {
		limit = examinationRequests/float64(max(daemons, 1)) + examinationShare*float64(total(c.requests))
	}
	if e.unexamined[route] {
		parts = len(e.unexamined)
	}
	for r, n := range c.targetRequests {
		if r != route && !(e.unexamined[route] && e.unexamined[r]) {
			limit -= float64(n)
		}
	}
	return int(limit/float64(parts) + c.roundingDraw)
}

// IsSlow reports whether took, the time that an answer took or has been awaited for
// so far, is more than slowFactor times the usual time; usual is 0 when it is not
// known.
func IsSlow(took, usual time.Duration) bool { return usual > 0 && took > slowFactor*usual }

// Sent notes that a request was sent to an upstream of a version. Settled has to
// follow with the same time.
func (c *Cutover) Sent(route, version string, sentAt time.Time) {
	c.addWaiting(route, version, sentAt, 1)
}

// Settled notes that a request has its outcome or will not get one, for example
// because the upstream did not run it.
func (c *Cutover) Settled(route, version string, sentAt time.Time) {
	c.addWaiting(route, version, sentAt, -1)
}

func (c *Cutover) addWaiting(route, version string, sentAt time.Time, n int) {
	if version != c.order.Target {
		return
	}
	cells := c.ownEvidence.Phases[c.phase(sentAt)]
	cell := cells[route]
	cell.Waiting += n
	cells[route] = cell
	c.unpublished = true
}

// RecordOutcome counts an answer to a request that was sent at sentAt, and judges
// the target again. bad is set for an answer that failed or was slow.
func (c *Cutover) RecordOutcome(route, version string, bad bool, sentAt, now time.Time) {
	cells := c.ownEvidence.Phases[c.phase(sentAt)]
	cell := cells[route]
	if version == c.order.Target {
		cell.Target = count(cell.Target, bad)
		c.unpublished = true
	} else {
		cell.Others = count(cell.Others, bad)
		// The other daemons need to know at once that a fault is not the target's alone.
		c.unpublished = c.unpublished || bad
	}
	cells[route] = cell
	c.judge(now)
}

// judge looks for a route on which the target fails more often than the other
// versions. A verdict is final.
func (c *Cutover) judge(now time.Time) {
	if c.badRoute != "" {
		return
	}
	if route := c.sum(now).badRoute(); route != "" {
		c.badRoute, c.judgedAt = route, now
	}
}

// sum returns the evidence of all daemons.
func (c *Cutover) sum(now time.Time) Evidence {
	sum := newEvidence(c.order.Revision)
	sum.add(c.ownEvidence, 1)
	sum.add(c.peerSum, 1)
	for route, rate := range c.rates(now) {
		sum.Rates[route] += rate
	}
	return sum
}

// RetainRoutes forgets the traffic of routes that no longer send requests to the
// service, so that they need no examination.
func (c *Cutover) RetainRoutes(sends func(route string) bool) {
	drop := func(route string) bool { return !sends(route) }
	before := len(c.priorRates) + len(c.requests)
	maps.DeleteFunc(c.priorRates, func(route string, _ float64) bool { return drop(route) })
	maps.DeleteFunc(c.requests, func(route string, _ int) bool { return drop(route) })
	c.unpublished = c.unpublished || len(c.priorRates)+len(c.requests) != before
}

// rates returns the requests per second of each route at this daemon.
func (c *Cutover) rates(now time.Time) map[string]float64 {
	rates := map[string]float64{}
	prior, seconds := priorRateWindow.Seconds(), now.Sub(c.startedAt).Seconds()
	if len(c.priorRates) == 0 {
		prior, seconds = 0, max(seconds, minRateWindow.Seconds())
	}
	for route, rate := range c.priorRates {
		rates[route] = rate * prior / (prior + seconds)
	}
	for route, n := range c.requests {
		rates[route] += float64(n) / (prior + seconds)
	}
	return rates
}

// Outcomes returns the outcomes of all daemons by route, for logs: the numbers of bad
// and of all outcomes of the target and of the other versions.
func (c *Cutover) Outcomes(now time.Time) string { return c.sum(now).String() }

// Unexamined returns the routes on which too little is known of the target.
func (c *Cutover) Unexamined(now time.Time) []string {
	return slices.Sorted(maps.Keys(c.sum(now).examine().unexamined))
}

// RequestsSeen returns the numbers of requests of the service at this daemon since
// the order, and of those that were chosen for the target.
func (c *Cutover) RequestsSeen() (all, target int) { return total(c.requests), total(c.targetRequests) }

func total(byRoute map[string]int) int {
	sum := 0
	for _, n := range byRoute {
		sum += n
	}
	return sum
}

// BadRoute returns the route on which the target was found bad; empty if it was not
// found bad.
func (c *Cutover) BadRoute() string { return c.badRoute }

// decisionTime returns the age of the order at which it ends without a verdict.
func (c *Cutover) decisionTime() time.Duration { return max(c.order.TimeLimit-finalLead, 0) }

// elapsedFraction returns the fraction of the time limit that has passed.
func (c *Cutover) elapsedFraction(now time.Time) float64 {
	if c.order.TimeLimit <= 0 {
		return 1
	}
	return float64(now.Sub(c.startedAt)) / float64(c.order.TimeLimit)
}

// Share returns the target's share of the new requests of a route. The target gets
// less than that when its exposure is used up (see Choose).
func (c *Cutover) Share(route string, now time.Time, f Fleet) float64 {
	return c.share(route, c.sum(now).examine(), now, f)
}

// Stopped reports whether the target gets no new requests.
func (c *Cutover) Stopped() bool {
	return c.status.State == Reverted || c.status.State != Completed && c.badRoute != ""
}

func (c *Cutover) share(route string, e examination, now time.Time, f Fleet) float64 {
	switch {
	case c.Stopped():
		return 0
	case c.status.State == Completed:
		return 1
	case e.unexamined[route]:
		expected := e.rates[route] * examinationFraction * c.order.TimeLimit.Seconds()
		return min(max(minExaminedOutcomes/max(expected, 1), trickleShare), 1)
	case c.rehearsing(e, now) && !e.noisy[route]:
		return min(f.rehearsalLoad(e)*float64(c.rehearsalUpstreams(e, f))/float64(max(f.Targets, 1)), 1)
	default:
		return trickleShare
	}
}

// rehearsing reports whether an examined target is rehearsed under load.
func (c *Cutover) rehearsing(e examination, now time.Time) bool {
	return c.status.State != Completed && e.done() && c.elapsedFraction(now) >= rehearsalFraction
}

// UsableTargets returns how many of the upstreams that run the target may get requests
// now. All daemons have to choose the same ones.
func (c *Cutover) UsableTargets(f Fleet, now time.Time) int {
	e := c.sum(now).examine()
	if !c.rehearsing(e, now) {
		return f.Targets
	}
	return c.rehearsalUpstreams(e, f)
}

// rehearsalUpstreams returns the number of upstreams that are rehearsed: a version may
// be bad under load only, and the exposure of a busy service does not suffice to load
// all of them.
func (c *Cutover) rehearsalUpstreams(e examination, f Fleet) int {
	limit := c.order.TimeLimit.Seconds()
	planned := exposureRequests/2 + expectedExposureShare*e.rate*limit
	expected := e.rehearsedRate * (c.decisionTime().Seconds() - rehearsalFraction*limit)
	share := min(planned/max(expected, 1), 1)
	return min(f.Targets, int(math.Ceil(share*float64(f.Targets)/f.rehearsalLoad(e))))
}

// Write is what a daemon has to write to the store now.
type Write struct {
	// State is empty when there is no status to write.
	State State
	// StatusRevision is the revision that the status in the store must still have.
	StatusRevision uint64
	// Evidence is nil when there is nothing to publish.
	Evidence *Evidence
}

// NextWrite returns what to write now. rank is this daemon's place among the daemons
// that may write the status, from 0.
func (c *Cutover) NextWrite(now time.Time, rank int) Write {
	w := Write{StatusRevision: c.status.Revision}
	delay := time.Duration(rank) * rankDelay
	if !c.status.Lost {
		c.lostAt, c.lostWrites = time.Time{}, 0
	} else if c.lostAt.IsZero() {
		c.lostAt = now
	}
	if !c.retry.Ready(now) {
		return w
	}
	// The pause leaves the directory time to read what was written.
	if c.status.Lost && now.Sub(c.lostAt) >= delay+time.Duration(c.lostWrites)*maxWriteRetry {
		w.State = c.status.State
		c.lostWrites++
	}
	if c.ended() {
		return w
	}
	elapsed := now.Sub(c.startedAt)
	elapsedAtEnd := elapsed - time.Duration(rank)*finalRankDelay
	switch {
	case c.badRoute != "":
		if now.Sub(c.judgedAt) >= delay {
			w.State = Reverted
		}
	case elapsedAtEnd >= c.decisionTime():
		w.State = Reverted
		if c.mayComplete(now) {
			w.State = Completed
		}
	case c.status.State == "" && elapsed >= delay:
		w.State = Running
	}
	tellAge := rank < agePublishers && now.Sub(c.publishedAt) >= agePublishInterval
	if c.unpublished && now.Sub(c.publishedAt) >= publishInterval || tellAge {
		e := c.ownEvidence.clone()
		e.Rates, e.ElapsedMs = c.rates(now), now.Sub(c.startedAt).Milliseconds()
		w.Evidence = &e
		c.publishedAt, c.unpublished = now, false
	}
	return w
}

// mayComplete reports whether enough is known of the target to move all requests
// to it.
func (c *Cutover) mayComplete(now time.Time) bool {
	sum := c.sum(now)
	rehearsal := c.decisionTime() - time.Duration(rehearsalFraction*float64(c.order.TimeLimit))
	return sum.examine().done() && sum.rehearsed(rehearsal) &&
		sum.suspectRoute() == "" && !sum.seemsWorse() && !sum.answersOverdue()
}

// WriteFailed notes that a write failed. evidence tells whether it held evidence,
// which must then be published again.
func (c *Cutover) WriteFailed(now time.Time, evidence bool) {
	c.retry.Failed(now)
	c.unpublished = c.unpublished || evidence
}

// StatusLost reports whether the store lost the status when it was restored from an older
// copy.
func (c *Cutover) StatusLost() bool { return c.status.Lost }

// PublishAgain notes that the store lost what was published.
func (c *Cutover) PublishAgain() { c.unpublished = true }

// WriteSucceeded notes that a write succeeded.
func (c *Cutover) WriteSucceeded() { c.retry.Succeeded() }
