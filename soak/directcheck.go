package soak

import (
	"fmt"
	"time"

	"github.com/gooseberryroad/gooseberryroad/platform/platformtest"
)

const (
	// lossSlack is the time after the last byte of a request within which a daemon may
	// close its connection without an answer if no upstream got the request, as on the
	// users' sites.
	lossSlack = 200 * time.Millisecond
	// lateRequest is the time after SIGTERM after which a daemon may not cut a request
	// at the end of its grace.
	lateRequest = 3 * time.Second
)

// directAttempt is a request of a direct client. Its field sent is the time of its first
// byte, ended the end of its answer or of its connection.
type directAttempt struct {
	attempt
	style directStyle
	// lastByte is when the last byte was written. whole is unset if writing failed.
	lastByte time.Time
	whole    bool
	// turn is when the client began to wait for this answer: after the last byte, or
	// after the answer before it on the connection.
	turn time.Time
}

// maxWait is the longest time that the client and the route allow for an answer.
func (a attempt) maxWait() time.Duration { return min(a.Timeout, timeouts[a.Kind]) }

// directOutcome is the result of the checks of direct requests; see Outcome.
type directOutcome struct {
	violations            []string
	sent, judged, crossed int
}

// checkDirect checks the requests of direct clients.
func (obs *observations) checkDirect() directOutcome {
	var out directOutcome
	ran := map[string][]run{}
	for _, r := range obs.directRuns {
		ran[r.id] = append(ran[r.id], r)
	}
	for _, a := range obs.direct {
		runs := ran[a.ID]
		delete(ran, a.ID)
		violations := append(a.checkAnswer(runs), obs.checkContinuation(a.attempt, runs)...)
		if a.whole {
			out.sent++
		}
		if a.whole && obs.faults.unaffected(Daemons, a.daemon, a.sent, a.ended) {
			out.judged++
			switch {
			case a.abandoned && a.ended.Sub(a.turn) > a.maxWait()+answerSlack:
				violations = append(violations, "late: no answer on an open connection")
			case !a.cut:
			case a.crossed(runs):
				out.crossed++
			case obs.mustBeWhole(a, runs):
				violations = append(violations, fmt.Sprintf("lost: %d runs", len(runs)))
			}
		}
		for _, v := range violations {
			out.violations = append(out.violations, fmt.Sprintf("direct: %s: %s (%s) of daemon %d%s, sent %s in %.2f s, %q, ended %.2f s after its last byte, status %d, event %d",
				v, a.ID, a.style, a.daemon, obs.sinceStop(a), a.sent.Format("15:04:05.000"), a.lastByte.Sub(a.sent).Seconds(), a.Body, a.ended.Sub(a.lastByte).Seconds(), a.status, a.LastEventID))
		}
	}
	for id := range ran {
		out.violations = append(out.violations, fmt.Sprintf("direct: unasked: an upstream ran %s, which no client sent", id))
	}
	return out
}

// crossed reports whether a request met the close of its connection: no upstream got it,
// and the connection ended without an answer within lossSlack.
func (a directAttempt) crossed(runs []run) bool {
	return len(runs) == 0 && a.status == 0 && a.ended.Sub(a.lastByte) <= lossSlack
}

// mustBeWhole reports whether a request that was cut should have got a whole answer.
func (obs *observations) mustBeWhole(a directAttempt, runs []run) bool {
	if a.status == 0 && a.reused && obs.ranSoundly(a, runs) {
		return true
	}
	if a.ended.Sub(a.lastByte) >= a.maxWait() {
		return false
	}
	if a.status == 0 || a.Kind != platformtest.Stream {
		return true // a lost upstream is no reason to send no answer
	}
	return !obs.cutAtEndOfGrace(a, runs) && obs.faults.countAffectedUpstreams(obs.engines, a.sent, a.ended) <= toleratedEngineFaults
}

// ranSoundly reports whether an upstream that no fault affected got a request.
func (obs *observations) ranSoundly(a directAttempt, runs []run) bool {
	for _, r := range runs {
		if obs.faults.unaffected(Upstreams, r.upstream, a.sent, a.ended) {
			return true
		}
	}
	return false
}

// cutAtEndOfGrace reports whether an upstream still worked on a request at the end of the
// grace of a stop, and the request was sent early enough to be cut then.
func (obs *observations) cutAtEndOfGrace(a directAttempt, runs []run) bool {
	for _, stop := range obs.plannedStops[componentID{Daemons, a.daemon}] {
		end := stop.from.Add(time.Duration(protectedGraceShare * float64(obs.grace)))
		if a.lastByte.After(stop.from.Add(lateRequest)) || a.ended.Before(end) || !a.sent.Before(stop.to) || !stop.from.Before(a.ended) {
			continue
		}
		for _, r := range runs {
			if r.at.Before(a.ended) && (r.ended.IsZero() || !r.ended.Before(end)) {
				return true
			}
		}
	}
	return false
}

// sinceStop says when the daemon of a request was asked to stop before the request's end.
func (obs *observations) sinceStop(a directAttempt) string {
	for _, stop := range obs.plannedStops[componentID{Daemons, a.daemon}] {
		if stop.from.Before(a.ended) && a.sent.Before(stop.to) {
			return fmt.Sprintf(", which began to stop %.2f s before the end", a.ended.Sub(stop.from).Seconds())
		}
	}
	return ""
}
