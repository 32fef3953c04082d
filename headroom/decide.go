package headroom

import (
	"slices"
	"time"
)

// MaxRounds is the number of rounds of queries for one request while it waits.
const MaxRounds = 3

const (
	// safetyShare is the part of the objective that an estimate must leave: the network, and
	// requests of other daemons that were sent at the same moment.
	safetyShare = 0.1
	// closeShare is the part of the objective within which estimates count as equal. Daemons
	// that read the same reports would otherwise all choose the same engine.
	closeShare = 0.05
	// minRetryAfter and maxRetryAfter bound the time after which a refused client returns.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// Verdict is what is done with a request.
type Verdict int

const (
	// Unknown means that nothing is known by which to decide.
	Unknown Verdict = iota
	// Place means that the request is sent to the engine of the decision.
	Place
	// Query means that further engines are asked.
	Query
	// Refuse means that the request is refused now.
	Refuse
)

// String returns the name that is used in logs and metrics.
func (v Verdict) String() string { return [...]string{"unknown", "place", "query", "refuse"}[v] }

// Candidate is an engine that was asked.
type Candidate struct {
	Engine string
	// Local engines are in the daemon's data centre. They are preferred among those with
	// estimates that are close.
	Local bool
}

// Question is a request to decide about.
type Question struct {
	Request Request
	// Begun requests were begun: the client has events, or an engine ran them. They are never
	// refused.
	Begun bool
	// Objective is the time from Arrived to the first event; ClientDeadline is when the
	// client's time ends.
	Objective               time.Duration
	Arrived, ClientDeadline time.Time
	Candidates              []Candidate
	// Rounds is the number of rounds of queries that were made, and CanQuery says that there
	// are further engines to ask.
	Rounds   int
	CanQuery bool
	Fleet    Fleet
}

// Decision is the answer to a question.
type Decision struct {
	Verdict Verdict
	// Engine has the estimate Estimate; if the request is refused it is the one with the
	// smallest.
	Engine     string
	Estimate   Estimate
	RetryAfter time.Duration
}

// Decide decides about a request. draw is uniform in [0, 1).
func (t *Tracker) Decide(q Question, now time.Time, draw float64) Decision {
	type option struct {
		Candidate
		est Estimate
	}
	var options []option
	smallest := -1
	var full *option
	for _, c := range q.Candidates {
		est := t.Estimate(c.Engine, q.Request, q.Fleet, now)
		if !est.Known {
			continue
		}
		if est.Full && t.service(q.Request.Service).refusesWhenFull {
			if full == nil || est.Time < full.est.Time {
				full = &option{c, est}
			}
			continue
		}
		options = append(options, option{c, est})
		if smallest < 0 || est.Time < options[smallest].est.Time {
			smallest = len(options) - 1
		}
	}
	canQuery := q.CanQuery && q.Rounds < MaxRounds
	if smallest < 0 {
		switch {
		case canQuery && (full == nil || q.Rounds < 2):
			return Decision{Verdict: Query}
		case full != nil && !q.Begun:
			return Decision{Verdict: Refuse, Engine: full.Engine, Estimate: full.est, RetryAfter: retryAfter(q, full.est, now, draw)}
		}
		return Decision{Verdict: Unknown}
	}
	best := options[smallest]
	limit := q.Objective - now.Sub(q.Arrived) - time.Duration(safetyShare*float64(q.Objective))
	// An idle engine is used also if the prompt is too long for the objective: a refusal would
	// only leave it idle.
	idle := slices.ContainsFunc(options, func(o option) bool { return o.est.Idle })
	if !q.Begun && best.est.Time > limit && !idle {
		// One more round after the first one, by the rule: a request that is refused must
		// cost little.
		if canQuery && q.Rounds < 2 {
			return Decision{Verdict: Query, Engine: best.Engine, Estimate: best.est}
		}
		return Decision{Verdict: Refuse, Engine: best.Engine, Estimate: best.est, RetryAfter: retryAfter(q, best.est, now, draw)}
	}
	if best.est.Time > limit && idle && !best.est.Idle {
		for _, o := range options {
			if o.est.Idle && (!best.est.Idle || o.est.Time < best.est.Time) {
				best = o
			}
		}
	}
	var local, all []option
	bound := best.est.Time + time.Duration(closeShare*float64(q.Objective))
	for _, o := range options {
		if o.est.Time > bound || best.est.Idle && !o.est.Idle {
			continue
		}
		all = append(all, o)
		if o.Local {
			local = append(local, o)
		}
	}
	if len(local) > 0 {
		all = local
	}
	chosen := all[min(int(draw*float64(len(all))), len(all)-1)]
	return Decision{Verdict: Place, Engine: chosen.Engine, Estimate: chosen.est}
}

// retryAfter returns the time after which the client of a refused request comes again. It
// grows with the queue, is shorter for urgent requests, and is at most a third of the time
// that the client has left, so that it can come twice more.
func retryAfter(q Question, est Estimate, now time.Time, draw float64) time.Duration {
	queue := est.SlotWait
	if est.Speed > 0 {
		queue += milliseconds(est.Ahead / est.Speed)
	}
	urgency := 0.5 + 0.5*float64(clampPriority(q.Request.Priority))/(priorities-1)
	mean := urgency * float64(max(queue, minRetryAfter))
	wait := min(max(time.Duration(mean*(0.5+draw)), minRetryAfter), maxRetryAfter)
	if limit := q.ClientDeadline.Sub(now) / 3; wait > limit {
		// The spread remains where the client has little time.
		wait = time.Duration(float64(max(limit, 0)) * (0.5 + 0.5*draw))
	}
	return wait
}
