// Package drain decides which requests a stopping daemon still accepts and when
// it closes its listener. The balancer sends requests to a stopping daemon only if
// no other is ready, as in a rolling stop that reaches all daemons before their
// streams end. Requests that can be answered before the daemon is killed are served
// then, and only the others are refused.
//
//gooseberryroad:pure
package drain

import (
	"time"

	"github.com/gooseberryroad/gooseberryroad/internal/bounds"
)

const (
	// StreamAcceptPeriod is how long after the request to stop new streams are still
	// accepted: the balancer needs two failed checks, one second apart, before it
	// stops sending requests to the daemon.
	StreamAcceptPeriod = 2500 * time.Millisecond
	// closingPeriod is the time before the deadline in which no request is accepted,
	// once StreamAcceptPeriod is over. Short requests are answered within 300 ms, or
	// within a second including a retry.
	closingPeriod = time.Second
	// killMargin is the last part of the grace, reserved for closing connections.
	killMargin = 400 * time.Millisecond
	// unusedPeriod is how long a connection on which no request has arrived is kept after
	// it was opened or the last answer was sent: a request may be on its way.
	unusedPeriod = time.Second
	// answerMargin is the time between the last answer and the deadline, at which open
	// connections are cut: an answer has to be written and sent.
	answerMargin = 250 * time.Millisecond
)

// Plan is the schedule of a stop that has begun.
type Plan struct {
	Began time.Time
	// Grace is the time from the request to stop until the process is killed.
	Grace time.Duration
}

// Deadline returns the time at which connections that are still open are cut. It is
// never earlier than StreamAcceptPeriod after Began, even if the grace is shorter.
func (p Plan) Deadline() time.Time { return p.Began.Add(max(p.Grace-killMargin, StreamAcceptPeriod)) }

// Accepts reports whether a request that arrives now is served. Stream says that it is
// a stream, which may last longer than the stop.
func (p Plan) Accepts(stream bool, now time.Time) bool {
	if now.Before(p.Began.Add(StreamAcceptPeriod)) {
		return true
	}
	return !stream && now.Before(p.Deadline().Add(-closingPeriod))
}

// AnswerBy returns the time by which each request other than a stream is answered,
// if necessary with an error.
func (p Plan) AnswerBy() time.Time { return p.Deadline().Add(-answerMargin) }

// LeavesTime reports whether a request that needs some time and arrives now can be
// answered. Until the balancer has noticed the stop, other daemons may not be
// reachable, and each request is tried.
func (p Plan) LeavesTime(need time.Duration, now time.Time) bool {
	return now.Before(p.Began.Add(StreamAcceptPeriod)) || !now.Add(need).After(p.AnswerBy())
}

// ShouldClose reports whether the listener should be closed now. Without running
// streams it is closed early, so that the daemon restarts sooner.
func (p Plan) ShouldClose(streams int, now time.Time) bool {
	if now.Before(p.Began.Add(StreamAcceptPeriod)) {
		return false
	}
	return streams == 0 || !now.Before(p.Deadline().Add(-closingPeriod))
}

// Connection is what is known of a client's connection.
type Connection struct {
	// Unanswered says that a request has arrived, at least in part, and is not answered.
	// Answering says that one was taken and is being answered.
	Unanswered, Answering bool
	// UnusedSince is when the connection was opened or last carried a byte.
	UnusedSince time.Time
}

// Unused reports whether no request has arrived on the connection that is not answered, and
// none is likely to be on its way.
func (c Connection) Unused(now time.Time) bool {
	return !c.Unanswered && now.Sub(c.UnusedSince) >= unusedPeriod
}

// ClosesConnection reports whether a connection is closed now. One on which a request has
// arrived is never closed before the deadline: the request would be lost. Until the balancer
// has noticed the stop, unused ones are kept too: their clients use most of them soon, and
// the answer tells them to open another one, while a close may cross a request.
func (p Plan) ClosesConnection(c Connection, now time.Time) bool {
	return c.Unused(now) && !now.Before(p.Began.Add(StreamAcceptPeriod))
}

// Chain returns what a stop does at least, one after the other, before the process is
// killed at the end of the grace.
func Chain(grace time.Duration) bounds.Chain {
	return bounds.Chain{Promise: "stop", Bound: grace, Links: []bounds.Link{
		{Name: "streams are accepted", Longest: StreamAcceptPeriod},
		{Name: "connections are closed", Longest: killMargin},
	}}
}
