// Package backoff paces repeated calls that fail.
//
//gooseberryroad:pure
package backoff

import "time"

// maxDoublings keeps the pause from overflowing; Most bounds it long before.
const maxDoublings = 16

// Backoff is the pause after failures: it begins with First, doubles with each
// failure in a row and stays at Most.
type Backoff struct {
	Initial, Max time.Duration
	failures     int
	until        time.Time
}

// Failed notes a failure.
func (b *Backoff) Failed(now time.Time) {
	b.until = now.Add(min(b.Initial<<min(b.failures, maxDoublings), b.Max))
	b.failures++
}

// Succeeded notes a success: the next failure pauses for First.
func (b *Backoff) Succeeded() { b.failures = 0 }

// Ready reports whether the pause is over.
func (b *Backoff) Ready(now time.Time) bool { return !now.Before(b.until) }
