// Package retrybudget limits the retries that one daemon sends to a service, so
// that all daemons together stay within the fleet's budget without communicating:
// each daemon may use the ratio of its own requests and an equal part of the slack.
// A retry is any further sending of a request, including the continuation of a stream at
// another upstream.
//
//gooseberryroad:pure
package retrybudget

import "time"

// buckets is the number of equal parts of the window that are counted separately.
const buckets = 10

// unsentBeforePause is the number of attempts in a row without a connection after
// which a request pauses. The upstreams of a data centre, which fail together, are
// a few dozen, and each attempt costs a connection.
const unsentBeforePause = 8

// Options describes the fleet's budget.
type Options struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Slack is the number of retries that the fleet may send in a window in
	// addition to the ratio.
	Slack float64
	// Window is the time over which requests and retries are counted.
	Window time.Duration
}

// UsableShare is the part of the budget that is used. The rest allows for windows
// that the daemons count from different moments, and for a wrong number of daemons.
const UsableShare = 0.75

// ContinuationShare is the part of the usable budget that is reserved for
// continuations. When the engines are full, new requests that search for one would
// otherwise use up the retries that running streams need when they lose their
// engine.
const ContinuationShare = 0.3

// Purpose says what a retry is for.
type Purpose int

const (
	// PurposeSearch is a retry of a request that searches for an upstream: its client
	// has received nothing yet.
	PurposeSearch Purpose = iota
	// PurposeContinuation continues a stream of which the client already has a part.
	PurposeContinuation
)

// Budget counts the requests and retries of one service. It is not safe for
// concurrent use.
type Budget struct {
	o           Options
	bucketWidth time.Duration
	bucket      int64
	requests    [buckets]float64
	retries     [buckets]float64
}

// New returns an empty budget.
func New(o Options) *Budget {
	return &Budget{o: o, bucketWidth: max(o.Window/buckets, time.Millisecond)}
}

// SetOptions changes the budget. The counts are kept unless the window changes.
func (b *Budget) SetOptions(o Options) {
	if o.Window != b.o.Window {
		*b = *New(o)
		return
	}
	b.o = o
}

// Request counts a client's request; now is the time since an arbitrary fixed moment.
func (b *Budget) Request(now time.Duration) {
	b.advance(now)
	b.requests[b.bucket%buckets]++
}

// Allow counts a retry and returns true if the budget allows it. Daemons is the
// number of daemons that share the slack.
func (b *Budget) Allow(now time.Duration, daemons int, purpose Purpose) bool {
	b.advance(now)
	limit := UsableShare * (b.o.Ratio*sum(b.requests) + b.o.Slack/float64(max(daemons, 1)))
	if purpose == PurposeSearch {
		limit *= 1 - ContinuationShare
	}
	if sum(b.retries)+1 > limit {
		return false
	}
	b.retries[b.bucket%buckets]++
	return true
}

// AttemptTracker records whether the next attempt of one request needs a retry from
// the budget. The budget bounds what arrives at upstreams: the first arrival of a
// request is free, and a granted retry that did not arrive still covers the next
// attempt. The zero value is for a request without attempts.
type AttemptTracker struct {
	arrived, granted bool
	unsent           int
}

// NeedsBudget reports whether the next attempt needs a retry from the budget.
func (a *AttemptTracker) NeedsBudget() bool { return a.arrived && !a.granted }

// BudgetGranted records that the budget allowed a retry.
func (a *AttemptTracker) BudgetGranted() { a.granted = true }

// Attempted records the end of an attempt; arrived says that the request was sent to
// an upstream, whether or not it ran there.
func (a *AttemptTracker) Attempted(arrived bool) {
	if !arrived {
		a.unsent++
		return
	}
	*a = AttemptTracker{arrived: true}
}

// TakePause reports whether the caller should pause before the next attempt because
// unsentBeforePause attempts in a row did not arrive, and restarts their count if so.
// The budget does not bound such attempts.
func (a *AttemptTracker) TakePause() bool {
	if a.unsent < unsentBeforePause {
		return false
	}
	a.unsent = 0
	return true
}

func (b *Budget) advance(now time.Duration) {
	current := int64(now / b.bucketWidth)
	if current-b.bucket >= buckets {
		b.requests, b.retries = [buckets]float64{}, [buckets]float64{}
		b.bucket = current
	}
	for b.bucket < current {
		b.bucket++
		b.requests[b.bucket%buckets], b.retries[b.bucket%buckets] = 0, 0
	}
}

func sum(a [buckets]float64) float64 {
	total := 0.0
	for _, v := range a {
		total += v
	}
	return total
}
