// Package cutover moves a service's traffic to another version when the
// operator orders it through the store, and reports whether the move is
// completed or reverted.
//
// It differs from package rollout, which serves the teams' own documents: an
// order gives seconds instead of minutes, and a bad version may get a number of
// requests besides a share. Every daemon runs one Cutover per order. Daemons
// publish their counts in the store, and each judges the sum, so the verdict
// needs no owner; who writes the status is decided by rank and time.
//
//gooseberryroad:pure
package cutover

import (
	"time"

	"github.com/gooseberryroad/gooseberryroad/internal/backoff"
)

// State is what the operator reads back.
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
	// Over is the time in which the move has to be completed or reverted.
	TimeLimit time.Duration
	// Revision is the store's revision of the order.
	Revision uint64
}

// Status is what the store says about an order.
type Status struct {
	Target string
	State  State
	// Revision is the store's revision of the status; 0 is no status.
	Revision uint64
}

// Open reports whether the order is neither completed nor reverted by a status.
func (o Order) Open(s Status) bool {
	s = s.of(o)
	return s.State != Completed && s.State != Reverted
}

// of drops a status that belongs to an earlier order.
func (s Status) of(o Order) Status {
	if s.Target != o.Target || s.Revision < o.Revision {
		return Status{Revision: s.Revision}
	}
	return s
}

// Counts are judged outcomes.
type Counts struct {
	Good int `json:"good"`
	Bad  int `json:"bad"`
}

func (c Counts) total() int { return c.Good + c.Bad }

// rate is the share of bad outcomes; a few good ones are assumed, so that one
// bad outcome of one is not a rate of one.
func (c Counts) rate() float64 { return float64(c.Bad) / float64(c.total()+2) }

// Cell holds the outcomes on one route.
type Cell struct {
	Target Counts `json:"target"`
	Others Counts `json:"others"`
}

// Evidence is what one daemon has seen, by route.
type Evidence struct {
	// Order is the revision of the order that it belongs to.
	Order uint64          `json:"order"`
	Cells map[string]Cell `json:"cells"`
}

const (
	// trialShare is the target's share before it is judged. What a service with few
	// requests gets besides is bounded by exposureRequests.
	trialShare = 0.3
	// minBad is the number of bad outcomes on a route without which there is no
	// verdict.
	minBad = 3
	// rateMargin is how much more often the target must fail than the others,
	// which meet the same faults of machines and networks.
	rateMargin = 0.2
	// slowFactor is how much slower than usual an answer counts as bad. Bad
	// versions are several times slower.
	slowFactor = 3
	// exposureShare and exposureRequests bound what a target gets that was not
	// examined. A bad one may get a tenth of all requests and fifty besides; the
	// rest is for the time between the completion and the deadline.
	exposureShare    = 0.08
	exposureRequests = 30
	// examinedMin is the number of the target's outcomes on a route that count as
	// an examination. With half of them bad, fewer than minBad are a case of one in
	// fifty.
	examinedMin = 12
	// rareRoute is the share of requests below which a route need not be examined.
	rareRoute = 0.02
	// completeAt is the part of the time at which the move is reported as
	// completed, completeUnexaminedAt that for a target that was not examined: all
	// requests go to it from then on, and only the rest of the time counts.
	completeAt           = 0.92
	completeUnexaminedAt = 0.97
	// rankDelay is the time after which the next daemon writes a status that the
	// one before it should have written.
	rankDelay = 600 * time.Millisecond
	// publishEvery is the least time between two publications of a daemon. Calls
	// to the store are counted.
	publishEvery = 400 * time.Millisecond
	// writeRetry and maxWriteRetry bound the pause after a write that failed, as it
	// doubles. Refused calls are priced too, and the status has to be there within a
	// second of the store's return.
	writeRetry    = 200 * time.Millisecond
	maxWriteRetry = 800 * time.Millisecond
)

// growth is the schedule of an examined target: from a part of the time on, at
// least a share.
var growth = []struct{ from, share float64 }{{0.5, 0.15}, {0.6, 0.3}, {0.7, 0.6}, {0.8, 1}}

// examinedShare is the share of an examined target before growth: below the
// tenth that a version may get that turns bad later.
const examinedShare = 0.07

// Cutover is the state of one order at one daemon. It is not safe for
// concurrent use.
type Cutover struct {
	order  Order
	status Status
	since  time.Time
	// requests counts the service's requests at this daemon since the order, and
	// onTarget those that it sent to the target.
	requests  int
	onTarget  int
	round     float64
	own       Evidence
	published time.Time
	dirty     bool
	// retry is the pause after writes that failed.
	retry    backoff.Backoff
	others   map[string]Evidence
	badRoute string
	judgedAt time.Time
}

// New returns the state of an order that was read at now. Round is uniform in
// [0, 1) and drawn for each daemon: a daemon whose part of the exposure is less
// than one request sends one with that chance.
func New(o Order, round float64, now time.Time) *Cutover {
	return &Cutover{
		order: o, since: now, round: round, own: Evidence{Order: o.Revision, Cells: map[string]Cell{}},
		others: map[string]Evidence{}, retry: backoff.Backoff{Initial: writeRetry, Max: maxWriteRetry},
	}
}

// Order returns the order.
func (c *Cutover) Order() Order { return c.order }

// SetStatus takes the status in the store. One that is older than the order
// belongs to an earlier order.
func (c *Cutover) SetStatus(s Status) { c.status = s.of(c.order) }

// State is the state in the store; empty when there is none for this order.
func (c *Cutover) State() State { return c.status.State }

// SetEvidence takes what another daemon published.
func (c *Cutover) SetEvidence(daemon string, e Evidence, now time.Time) {
	if e.Order == c.order.Revision {
		c.others[daemon] = e
		c.judge(now)
	}
}

// Choose decides whether a new request goes to the target; pick is uniform in
// [0, 1), and daemons is the number of daemons that take requests. Until the
// target is examined, each daemon keeps to the exposure for its own requests and
// to its part of the slack, so that no count of the fleet's requests is needed.
func (c *Cutover) Choose(pick float64, now time.Time, daemons int) bool {
	c.requests++
	if pick >= c.Share(now) {
		return false
	}
	if c.status.State != Completed && !c.examined() {
		limit := exposureShare*float64(c.requests) + exposureRequests/float64(max(daemons, 1))
		if c.onTarget >= int(limit+c.round) {
			return false
		}
	}
	c.onTarget++
	return true
}

// IsSlow reports whether an answer that took so long, or is still awaited, is
// several times slower than usual; usual is 0 when it is not known.
func IsSlow(took, usual time.Duration) bool { return usual > 0 && took > slowFactor*usual }

// Outcome notes an answer. Bad ones failed or were slow.
func (c *Cutover) RecordOutcome(route, version string, bad bool, now time.Time) {
	cell := c.own.Cells[route]
	if version == c.order.Target {
		cell.Target = count(cell.Target, bad)
		c.dirty = true
	} else {
		cell.Others = count(cell.Others, bad)
	}
	c.own.Cells[route] = cell
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

// judge looks for a route on which the target fails more often than the others.
// A verdict is final.
func (c *Cutover) judge(now time.Time) {
	if c.badRoute != "" {
		return
	}
	for route, cell := range c.sum() {
		if cell.Target.Bad >= minBad && cell.Target.rate() >= cell.Others.rate()+rateMargin {
			c.badRoute, c.judgedAt = route, now
			return
		}
	}
}

// sum adds the outcomes of all daemons.
func (c *Cutover) sum() map[string]Cell {
	sum := map[string]Cell{}
	for route, cell := range c.own.Cells {
		sum[route] = cell
	}
	for _, e := range c.others {
		for route, cell := range e.Cells {
			s := sum[route]
			s.Target = Counts{s.Target.Good + cell.Target.Good, s.Target.Bad + cell.Target.Bad}
			s.Others = Counts{s.Others.Good + cell.Others.Good, s.Others.Bad + cell.Others.Bad}
			sum[route] = s
		}
	}
	return sum
}

// examined reports whether the target was seen on all routes that matter.
func (c *Cutover) examined() bool {
	sum := c.sum()
	all := 0
	for _, cell := range sum {
		all += cell.Target.total() + cell.Others.total()
	}
	for _, cell := range sum {
		rare := float64(cell.Target.total()+cell.Others.total()) < rareRoute*float64(all)
		if !rare && cell.Target.total() < examinedMin {
			return false
		}
	}
	return all > 0
}

// BadRoute is the route on which the target was found bad; empty if it was not.
func (c *Cutover) BadRoute() string { return c.badRoute }

func (c *Cutover) part(now time.Time) float64 {
	if c.order.TimeLimit <= 0 {
		return 1
	}
	return float64(now.Sub(c.since)) / float64(c.order.TimeLimit)
}

// Share is the target's share of new requests. A target that is not examined
// gets less where its exposure is used up.
func (c *Cutover) Share(now time.Time) float64 {
	switch {
	case c.status.State == Completed:
		return 1
	case c.status.State == Reverted, c.badRoute != "":
		return 0
	}
	share := trialShare
	if c.examined() {
		part := c.part(now)
		share = examinedShare
		for _, g := range growth {
			if part >= g.from {
				share = g.share
			}
		}
	}
	return share
}

// Write is what this daemon has to write now.
type Write struct {
	// State is empty when there is no status to write.
	State State
	// StatusRevision is the revision that the status must still have.
	StatusRevision uint64
	// Evidence is nil when there is nothing to publish.
	Evidence *Evidence
}

// Due returns what to write; rank is this daemon's place among those that write
// the status.
func (c *Cutover) NextWrite(now time.Time, rank int) Write {
	w := Write{StatusRevision: c.status.Revision}
	if !c.retry.Ready(now) {
		return w
	}
	late := time.Duration(rank) * rankDelay
	complete := completeUnexaminedAt
	if c.examined() {
		complete = completeAt
	}
	switch {
	case c.status.State == Completed || c.status.State == Reverted:
	case c.badRoute != "" && now.Sub(c.judgedAt) >= late:
		w.State = Reverted
	case c.badRoute == "" && now.Sub(c.since) >= time.Duration(complete*float64(c.order.TimeLimit))+late:
		w.State = Completed
	case c.status.State == "" && now.Sub(c.since) >= late:
		w.State = Running
	}
	if c.dirty && now.Sub(c.published) >= publishEvery && c.status.State != Completed && c.status.State != Reverted {
		e := Evidence{Order: c.own.Order, Cells: make(map[string]Cell, len(c.own.Cells))}
		for route, cell := range c.own.Cells {
			e.Cells[route] = cell
		}
		w.Evidence = &e
		c.published, c.dirty = now, false
	}
	return w
}

// WriteFailed notes that a write did not reach the store. Evidence in it is due
// again.
func (c *Cutover) WriteFailed(now time.Time, evidence bool) {
	c.retry.Failed(now)
	c.dirty = c.dirty || evidence
}

// Written notes that the store took a write.
func (c *Cutover) WriteSucceeded() { c.retry.Succeeded() }
