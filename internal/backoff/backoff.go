// Package backoff tracks the exponential pauses between repeated calls that fail.
//
//gooseberryroad:pure
package backoff

import "time"

// maxDoublings keeps the pause from overflowing; Max bounds it well before that.
const maxDoublings = 16

// Backoff is an exponential backoff: the pause after a failure is Initial, doubles
// with each further failure in a row and never exceeds Max.
type Backoff struct {
	Initial, Max time.Duration
	failures     int
	until        time.Time
}

// Failed records a failure; the pause starts now.
func (b *Backoff) Failed(now time.Time) {
	b.until = now.Add(min(b.Initial<<min(b.failures, maxDoublings), b.Max))
	b.failures++
}

// Succeeded records a success, so that the pause after the next failure is Initial.
func (b *Backoff) Succeeded() { b.failures = 0 }

// Ready reports whether the pause is over, so that the call may be repeated.
func (b *Backoff) Ready(now time.Time) bool { return !now.Before(b.until) }
