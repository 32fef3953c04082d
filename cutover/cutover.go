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
	"fmt"
	"maps"
	"slices"
	"strings"
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

// Counts are numbers of good and bad outcomes.
type Counts struct {
	Good int `json:"good"`
	Bad  int `json:"bad"`
}

func (c Counts) total() int { return c.Good + c.Bad }

// rate returns the rate of bad outcomes. Two good outcomes are added, so that one
// bad outcome alone does not give a rate of 1.
func (c Counts) rate() float64 { return float64(c.Bad) / float64(c.total()+2) }

// Cell holds the outcomes on one route, of the target and of all other versions.
type Cell struct {
	Target Counts `json:"target"`
	Others Counts `json:"others"`
}

// Evidence holds the outcomes that one daemon has seen, by route.
type Evidence struct {
	// Order is the revision of the order that the evidence belongs to.
	Order uint64          `json:"order"`
	Cells map[string]Cell `json:"cells"`
}

const (
	// trialShare is the target's share until it is examined. It holds within the
	// bounds of exposureShare and exposureRequests.
	trialShare = 0.3
	// minBadOutcomes is the minimum number of the target's bad outcomes on a route
	// for a verdict.
	minBadOutcomes = 3
	// rateMargin is how much higher the target's rate of bad outcomes must be than
	// that of the other versions, which are hit by the same faults of machines and
	// networks.
	rateMargin = 0.2
	// slowFactor is the multiple of the usual time above which an answer counts as
	// bad. Bad versions are several times slower than usual.
	slowFactor = 3
	// exposureShare and exposureRequests bound the requests to a target that was
	// not examined: a share of the service's requests plus a fixed number. The limit
	// for a bad target is a tenth of all requests plus fifty; the difference is left
	// for the time between completion and deadline.
	exposureShare    = 0.08
	exposureRequests = 30
	// minExaminedOutcomes is the least number of the target's outcomes with which a
	// route counts as examined. When half of the answers are bad, the probability of
	// fewer than minBadOutcomes bad ones among them is about one in fifty.
	minExaminedOutcomes = 12
	// rareRouteShare is the share of requests below which a route need not be
	// examined.
	rareRouteShare = 0.02
	// completeFraction is the fraction of the time limit after which the move is
	// reported as completed. completeUnexaminedFraction is the same for a target
	// that was not examined; it is later, because all requests go to the target from
	// then on, and only those before the deadline count towards the limit for a bad
	// target.
	completeFraction           = 0.92
	completeUnexaminedFraction = 0.97
	// rankDelay is how long each daemon waits for the one ranked before it to write
	// a status, before it writes the status itself.
	rankDelay = 600 * time.Millisecond
	// publishInterval is the minimum time between two publications of a daemon,
	// because calls to the store have a cost.
	publishInterval = 400 * time.Millisecond
	// writeRetry and maxWriteRetry are the first and the longest pause after failed
	// writes; the pause doubles in between. Refused calls have a cost too, and the
	// status must be written within a second after an outage of the store.
	writeRetry    = 200 * time.Millisecond
	maxWriteRetry = 800 * time.Millisecond
)

// growthSchedule is the schedule of an examined target: its share from each
// fraction of the time limit on.
var growthSchedule = []struct{ from, share float64 }{{0.5, 0.15}, {0.6, 0.3}, {0.7, 0.6}, {0.8, 1}}

// examinedShare is the share of an examined target before growth. It is below a
// tenth, which is what a version that turns bad later may get.
const examinedShare = 0.07

// Cutover is the state of one order at one daemon. It is not safe for
// concurrent use.
type Cutover struct {
	order     Order
	status    Status
	startedAt time.Time
	// requests counts the service's requests at this daemon since the order, and
	// targetRequests those that the daemon sent to the target.
	requests       int
	targetRequests int
	// roundingDraw rounds this daemon's part of the exposure (see New).
	roundingDraw float64
	// ownEvidence was last published at publishedAt; unpublished is set when it
	// holds outcomes of the target that were not published yet.
	ownEvidence Evidence
	publishedAt time.Time
	unpublished bool
	// retry paces the writes after one that failed.
	retry        backoff.Backoff
	peerEvidence map[string]Evidence
	// badRoute is the route on which the target was found bad, at judgedAt.
	badRoute string
	judgedAt time.Time
}

// New returns the state of an order that was read at now. roundingDraw is drawn
// uniformly from [0, 1) for each daemon: a daemon whose part of the exposure is a
// fraction of a request sends one request with that probability.
func New(o Order, roundingDraw float64, now time.Time) *Cutover {
	return &Cutover{
		order: o, startedAt: now, roundingDraw: roundingDraw, ownEvidence: Evidence{Order: o.Revision, Cells: map[string]Cell{}},
		peerEvidence: map[string]Evidence{}, retry: backoff.Backoff{Initial: writeRetry, Max: maxWriteRetry},
	}
}

// Order returns the order.
func (c *Cutover) Order() Order { return c.order }

// SetStatus sets the status in the store. One that is older than the order
// belongs to an earlier order and is ignored except for its revision.
func (c *Cutover) SetStatus(s Status) { c.status = s.forOrder(c.order) }

// State returns the state in the store; empty when there is none for this order.
func (c *Cutover) State() State { return c.status.State }

// SetEvidence sets what another daemon published and judges the target again.
// Evidence of another order is ignored.
func (c *Cutover) SetEvidence(daemon string, e Evidence, now time.Time) {
	if e.Order == c.order.Revision {
		c.peerEvidence[daemon] = e
		c.judge(now)
	}
}

// Choose decides whether a new request goes to the target. draw is uniform in
// [0, 1), and daemons is the number of daemons that take requests. Until the
// target is examined, each daemon limits the target to exposureShare of its own
// requests plus its part of exposureRequests, so that no count of all daemons'
// requests is needed.
func (c *Cutover) Choose(draw float64, now time.Time, daemons int) bool {
	c.requests++
	if draw >= c.Share(now) {
		return false
	}
	if c.status.State != Completed && !c.examined() {
		limit := exposureShare*float64(c.requests) + exposureRequests/float64(max(daemons, 1))
		if c.targetRequests >= int(limit+c.roundingDraw) {
			return false
		}
	}
	c.targetRequests++
	return true
}

// IsSlow reports whether took, the time that an answer took or has been awaited for
// so far, is more than slowFactor times the usual time; usual is 0 when it is not
// known.
func IsSlow(took, usual time.Duration) bool { return usual > 0 && took > slowFactor*usual }

// RecordOutcome counts an answer and judges the target again. bad is set for an
// answer that failed or was slow.
func (c *Cutover) RecordOutcome(route, version string, bad bool, now time.Time) {
	cell := c.ownEvidence.Cells[route]
	if version == c.order.Target {
		cell.Target = count(cell.Target, bad)
		c.unpublished = true
	} else {
		cell.Others = count(cell.Others, bad)
	}
	c.ownEvidence.Cells[route] = cell
	c.judge(now)
}

func count(c Counts, bad bool) Counts {
	if bad {
		c.Bad++
	} else {
		c.Good++
	}
	return c
}

// judge looks for a route on which the target fails more often than the other
// versions. A verdict is final.
func (c *Cutover) judge(now time.Time) {
	if c.badRoute != "" {
		return
	}
	for route, cell := range c.sum() {
		if cell.Target.Bad >= minBadOutcomes && cell.Target.rate() >= cell.Others.rate()+rateMargin {
			c.badRoute, c.judgedAt = route, now
			return
		}
	}
}

// sum returns the outcomes of all daemons by route.
func (c *Cutover) sum() map[string]Cell {
	sum := map[string]Cell{}
	for route, cell := range c.ownEvidence.Cells {
		sum[route] = cell
	}
	for _, e := range c.peerEvidence {
		for route, cell := range e.Cells {
			s := sum[route]
			s.Target = Counts{s.Target.Good + cell.Target.Good, s.Target.Bad + cell.Target.Bad}
			s.Others = Counts{s.Others.Good + cell.Others.Good, s.Others.Bad + cell.Others.Bad}
			sum[route] = s
		}
	}
	return sum
}

// examined reports whether the target has enough outcomes on every route that is
// not rare.
func (c *Cutover) examined() bool {
	sum := c.sum()
	all := 0
	for _, cell := range sum {
		all += cell.Target.total() + cell.Others.total()
	}
	for _, cell := range sum {
		rare := float64(cell.Target.total()+cell.Others.total()) < rareRouteShare*float64(all)
		if !rare && cell.Target.total() < minExaminedOutcomes {
			return false
		}
	}
	return all > 0
}

// Outcomes returns the outcomes of all daemons by route, for logs: the numbers of bad
// and of all outcomes of the target and of the other versions.
func (c *Cutover) Outcomes() string {
	sum := c.sum()
	var b strings.Builder
	for i, route := range slices.Sorted(maps.Keys(sum)) {
		if i > 0 {
			b.WriteString("; ")
		}
		cell := sum[route]
		fmt.Fprintf(&b, "%s target %d/%d others %d/%d", route, cell.Target.Bad, cell.Target.total(), cell.Others.Bad, cell.Others.total())
	}
	return b.String()
}

// RequestsSeen returns the numbers of requests of the service at this daemon since
// the order, and of those that it sent to the target.
func (c *Cutover) RequestsSeen() (all, target int) { return c.requests, c.targetRequests }

// BadRoute returns the route on which the target was found bad; empty if it was not
// found bad.
func (c *Cutover) BadRoute() string { return c.badRoute }

// elapsedFraction returns the fraction of the time limit that has passed.
func (c *Cutover) elapsedFraction(now time.Time) float64 {
	if c.order.TimeLimit <= 0 {
		return 1
	}
	return float64(now.Sub(c.startedAt)) / float64(c.order.TimeLimit)
}

// Share returns the target's share of new requests. A target that is not examined
// gets less than that when its exposure is used up (see Choose).
func (c *Cutover) Share(now time.Time) float64 {
	switch {
	case c.status.State == Completed:
		return 1
	case c.status.State == Reverted, c.badRoute != "":
		return 0
	}
	share := trialShare
	if c.examined() {
		elapsed := c.elapsedFraction(now)
		share = examinedShare
		for _, g := range growthSchedule {
			if elapsed >= g.from {
				share = g.share
			}
		}
	}
	return share
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
	if !c.retry.Ready(now) {
		return w
	}
	delay := time.Duration(rank) * rankDelay
	complete := completeUnexaminedFraction
	if c.examined() {
		complete = completeFraction
	}
	switch {
	case c.status.State == Completed || c.status.State == Reverted:
	case c.badRoute != "" && now.Sub(c.judgedAt) >= delay:
		w.State = Reverted
	case c.badRoute == "" && now.Sub(c.startedAt) >= time.Duration(complete*float64(c.order.TimeLimit))+delay:
		w.State = Completed
	case c.status.State == "" && now.Sub(c.startedAt) >= delay:
		w.State = Running
	}
	if c.unpublished && now.Sub(c.publishedAt) >= publishInterval && c.status.State != Completed && c.status.State != Reverted {
		e := Evidence{Order: c.ownEvidence.Order, Cells: make(map[string]Cell, len(c.ownEvidence.Cells))}
		for route, cell := range c.ownEvidence.Cells {
			e.Cells[route] = cell
		}
		w.Evidence = &e
		c.publishedAt, c.unpublished = now, false
	}
	return w
}

// WriteFailed notes that a write failed. evidence tells whether it held evidence,
// which must then be published again.
func (c *Cutover) WriteFailed(now time.Time, evidence bool) {
	c.retry.Failed(now)
	c.unpublished = c.unpublished || evidence
}

// WriteSucceeded notes that a write succeeded.
func (c *Cutover) WriteSucceeded() { c.retry.Succeeded() }
