// Package retrybudget limits the repeats that one daemon sends to a service, so
// that all daemons together stay within the fleet's budget without talking to
// each other: each takes the ratio of its own requests and an equal part of the
// slack.
//
//gooseberryroad:pure
package retrybudget

import "time"

// steps is the number of parts that the window is counted in.
const steps = 10

// unsentBurst is the number of upstreams without a connection that a request
// tries before it pauses. The upstreams of a data centre, which fail together,
// are a few dozen, and each costs a connection.
const unsentBurst = 8

// Options describes the fleet's budget.
type Options struct {
	// Ratio is the number of repeats allowed per request.
	Ratio float64
	// Slack is the number of repeats in a window that the fleet may send without
	// requests.
	Slack float64
	// Window is the span over which both are counted.
	Window time.Duration
}

// SafetyShare is the part of the budget that is used. The rest covers windows
// that the daemons see at other moments, and daemons that were counted wrong.
const UsableShare = 0.75

// ReservedShare is the part of the budget in use that only continuations get. On
// engines that are full, new requests that look for a place would otherwise use
// up the repeats that running streams need when they lose their engine.
const ContinuationShare = 0.3

// Use is what a repeat is for.
type Purpose int

const (
	// Search looks for an upstream for a request without an answer.
	Search Purpose = iota
	// Continuation goes on with a stream whose client has a part of it.
	Continuation
)

// Budget counts the requests and repeats of one service.
type Budget struct {
	o        Options
	step     time.Duration
	at       int64
	requests [steps]float64
	repeats  [steps]float64
}

// New returns an empty budget.
func New(o Options) *Budget {
	return &Budget{o: o, step: max(o.Window/steps, time.Millisecond)}
}

// SetOptions changes the budget. The counts stay unless the window changes.
func (b *Budget) SetOptions(o Options) {
	if o.Window != b.o.Window {
		*b = *New(o)
		return
	}
	b.o = o
}

// Request counts a request of a client; now is the time since any fixed moment.
func (b *Budget) Request(now time.Duration) {
	b.advance(now)
	b.requests[b.at%steps]++
}

// Allow counts a repeat if the budget has room for it. Daemons is the number of
// daemons that share the slack.
func (b *Budget) Allow(now time.Duration, daemons int, use Purpose) bool {
	b.advance(now)
	limit := UsableShare * (b.o.Ratio*sum(b.requests) + b.o.Slack/float64(max(daemons, 1)))
	if use == Search {
		limit *= 1 - ContinuationShare
	}
	if sum(b.repeats)+1 > limit {
		return false
	}
	b.repeats[b.at%steps]++
	return true
}

// Account is what one request owes the budget. The budget bounds what arrives at
// upstreams: the first arrival of a request is free, and a repeat that found no
// connection still covers the next one.
type AttemptTracker struct {
	arrived, paid bool
	unsent        int
}

// Owes reports whether the next try needs a repeat from the budget.
func (a *AttemptTracker) NeedsBudget() bool { return a.arrived && !a.paid }

// Pay notes that the budget allowed a repeat.
func (a *AttemptTracker) BudgetGranted() { a.paid = true }

// Tried notes the end of a try; arrived says that something was sent.
func (a *AttemptTracker) Attempted(arrived bool) {
	if !arrived {
		a.unsent++
		return
	}
	*a = AttemptTracker{arrived: true}
}

// TakePause reports once that so many upstreams in a row could not be reached
// that the next try waits. The budget does not bound such tries.
func (a *AttemptTracker) TakePause() bool {
	if a.unsent < unsentBurst {
		return false
	}
	a.unsent = 0
	return true
}

func (b *Budget) advance(now time.Duration) {
	at := int64(now / b.step)
	if at-b.at >= steps {
		b.requests, b.repeats = [steps]float64{}, [steps]float64{}
		b.at = at
	}
	for b.at < at {
		b.at++
		b.requests[b.at%steps], b.repeats[b.at%steps] = 0, 0
	}
}

func sum(a [steps]float64) float64 {
	total := 0.0
	for _, v := range a {
		total += v
	}
	return total
}
