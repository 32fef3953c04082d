// Package drain decides which requests a stopping daemon still takes and when
// it closes its listener. The balancer leaves a stopping daemon alone unless no
// other is ready, as in a rolling stop that is faster than the streams end:
// requests that fit into the rest of the stop are served then, and only the
// others are refused.
//
//gooseberryroad:pure
package drain

import "time"

const (
	// LongFor is how long after the request to stop streams are taken: the balancer
	// needs two failed checks, one second apart, to leave the daemon alone.
	StreamAcceptPeriod = 2500 * time.Millisecond
	// shortTail is the part before the end in which no request is taken. Short
	// requests are answered within 300 ms, a repeat included within a second.
	shortTail = time.Second
	// killMargin is kept back from the grace for closing connections.
	killMargin = 400 * time.Millisecond
)

// Plan is a stop that has begun.
type Plan struct {
	Began time.Time
	// Grace is the time from the request to stop until the process is killed.
	Grace time.Duration
}

// End is the time by which each request must be answered.
func (p Plan) Deadline() time.Time { return p.Began.Add(max(p.Grace-killMargin, StreamAcceptPeriod)) }

// Takes reports whether a request that arrives now is served; long is for a
// stream, which may last longer than the stop.
func (p Plan) Accepts(long bool, now time.Time) bool {
	if now.Before(p.Began.Add(StreamAcceptPeriod)) {
		return true
	}
	return !long && now.Before(p.Deadline().Add(-shortTail))
}

// Closes reports whether the listener closes now. Without streams to wait for
// the stop ends early, so that the daemon is back sooner.
func (p Plan) ShouldClose(streams int, now time.Time) bool {
	if now.Before(p.Began.Add(StreamAcceptPeriod)) {
		return false
	}
	return streams == 0 || !now.Before(p.Deadline().Add(-shortTail))
}
