package headroom

import (
	"slices"
	"time"
)

// MaxRounds is the number of rounds of queries for one request while it waits.
const MaxRounds = 3

const (
	// An estimate must leave the time of one prompt, because another daemon may send one to the
	// same engine at the same moment, but at least minSafetyShare and at most maxSafetyShare of
	// the objective.
	minSafetyShare, maxSafetyShare = 0.1, 0.2
	// maxWaitShare is the part of the objective that a request may wait at an engine before its
	// prompt is read. A longer queue adds no throughput, makes small errors of the estimates
	// late answers, and takes as long to drain after a burst.
	maxWaitShare = 0.5
	// recentAge is how old reports may be that take the place of a round of queries. In that
	// time an engine reads less than one prompt.
	recentAge = 250 * time.Millisecond
	// minRecent is the number of such reports, and minRecentUnasked that for a refusal without
	// any query.
	minRecent, minRecentUnasked = 5, 10
	// closeShare is the part of the objective within which estimates count as equal, so that
	// the number of requests decides, and then chance.
	closeShare = 0.05
	// maxRefusedShare bounds the effect of the share of refused requests.
	maxRefusedShare = 0.8
	// remoteRequests is how many requests fewer an engine of another data centre must have to be
	// preferred. All streams of a busy data centre in its own engines are lost together.
	remoteRequests = 2
	// minRetryAfter and maxRetryAfter bound the time after which a refused client returns,
	// shortestRetryAfter that of one with hardly any time left.
	minRetryAfter      = 100 * time.Millisecond
	maxRetryAfter      = 10 * time.Second
	shortestRetryAfter = 10 * time.Millisecond
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
	// Wait means that all engines that were asked are full and do not queue requests, but
	// may soon have a free slot.
	Wait
)

// String returns the name that is used in logs and metrics.
func (v Verdict) String() string {
	return [...]string{"unknown", "place", "query", "refuse", "wait"}[v]
}

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
	// Engines are the IDs of all engines that may get the request, Candidates those that were
	// asked.
	Engines    []string
	Candidates []Candidate
	// Rounds is the number of rounds of queries that were made, and CanQuery says that there
	// are further engines to ask.
	Rounds   int
	CanQuery bool
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
	d := t.decide(q, now, draw)
	if !q.Begun && (d.Verdict == Place || d.Verdict == Refuse) {
		t.service(q.Request.Service).countDecision(d.Verdict == Refuse)
	}
	return d
}

func (t *Tracker) decide(q Question, now time.Time, draw float64) Decision {
	type option struct {
		Candidate
		est Estimate
	}
	var options []option
	smallest := -1
	var full *option
	for _, c := range q.Candidates {
		est := t.Estimate(c.Engine, q.Request, now)
		if !est.Known {
			continue
		}
		if est.Full && t.service(q.Request.Service).refusesWhenFull(now) {
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
		case full != nil && (q.Begun || canQuery && full.est.Time <= q.limit(full.est, now, t.service(q.Request.Service).read)):
			return Decision{Verdict: Wait, Engine: full.Engine, Estimate: full.est}
		case full != nil:
			return Decision{Verdict: Refuse, Engine: full.Engine, Estimate: full.est, RetryAfter: retryAfter(q, full.est, t.service(q.Request.Service).refused, now, draw)}
		}
		return Decision{Verdict: Unknown}
	}
	best := options[smallest]
	limit := q.limit(best.est, now, t.service(q.Request.Service).read)
	// An idle engine is used also if the prompt is too long for the objective: a refusal would
	// only leave it idle.
	idle := slices.ContainsFunc(options, func(o option) bool { return o.est.Idle })
	if !q.Begun && best.est.Time > limit && !idle {
		// One more round after the first one, by the rule: a request that is refused must
		// cost little.
		if canQuery && q.Rounds < 2 && !t.othersLate(q, minRecent, now) {
			return Decision{Verdict: Query, Engine: best.Engine, Estimate: best.est}
		}
		return Decision{Verdict: Refuse, Engine: best.Engine, Estimate: best.est, RetryAfter: retryAfter(q, best.est, t.service(q.Request.Service).refused, now, draw)}
	}
	if best.est.Time > limit && idle && !best.est.Idle {
		for _, o := range options {
			if o.est.Idle && (!best.est.Idle || o.est.Time < best.est.Time) {
				best = o
			}
		}
	}
	// An engine with fewer requests generates output faster, and one of another data centre has
	// to have remoteRequests fewer. Daemons that read the same reports would all choose the
	// same one of several equals.
	var all []option
	fewest := 0
	bound := best.est.Time + time.Duration(closeShare*float64(q.Objective))
	for _, o := range options {
		if o.est.Time > bound || best.est.Idle && !o.est.Idle {
			continue
		}
		requests := o.est.Requests
		if !o.Local {
			requests += remoteRequests
		}
		if len(all) == 0 || requests < fewest {
			all, fewest = all[:0], requests
		}
		if requests == fewest {
			all = append(all, o)
		}
	}
	chosen := all[min(int(draw*float64(len(all))), len(all)-1)]
	return Decision{Verdict: Place, Engine: chosen.Engine, Estimate: chosen.est}
}

// DecideUnasked decides before the first round of queries: Refuse if many engines reported a
// short time ago and leave the request no time, or if its client gives up before an idle
// engine could have read its prompt; else Query.
func (t *Tracker) DecideUnasked(q Question, now time.Time, draw float64) Decision {
	d := t.decideUnasked(q, now, draw)
	if d.Verdict == Refuse {
		t.service(q.Request.Service).countDecision(true)
	}
	return d
}

func (t *Tracker) decideUnasked(q Question, now time.Time, draw float64) Decision {
	s := t.service(q.Request.Service)
	if q.Begun || s.speed <= 0 || q.Request.Tokens == 0 {
		return Decision{Verdict: Query}
	}
	held := 0
	var best *Estimate
	engine := ""
	for _, id := range q.Engines {
		e := t.engines[id]
		if e == nil {
			continue
		}
		held = max(held, t.held(e, q.Request.Parts, now))
		if now.Sub(e.reportAt) > recentAge {
			continue
		}
		if est := t.Estimate(id, q.Request, now); est.Known && (best == nil || est.Time < best.Time) {
			best, engine = &est, id
		}
	}
	own := milliseconds(float64(max(q.Request.Tokens-held, 0)) / s.speed)
	if left := q.ClientDeadline.Sub(now); own > left && now.Sub(s.learntAt) < speedAge {
		est := Estimate{Time: own, Own: float64(q.Request.Tokens - held), Held: held, Speed: s.speed}
		return Decision{Verdict: Refuse, Estimate: est, RetryAfter: retryAfter(q, est, s.refused, now, draw)}
	}
	if best != nil && t.othersLate(q, minRecentUnasked, now) {
		return Decision{Verdict: Refuse, Engine: engine, Estimate: *best, RetryAfter: retryAfter(q, *best, s.refused, now, draw)}
	}
	return Decision{Verdict: Query}
}

// limit returns the largest estimate with which a request is placed, relative to now. A request
// whose client gives up before the first event is work without use too.
func (q Question) limit(est Estimate, now time.Time, read float64) time.Duration {
	left := min(q.Objective-now.Sub(q.Arrived), q.ClientDeadline.Sub(now))
	prompt := milliseconds(read / max(est.Speed, 0.001))
	objective := float64(q.Objective)
	inTime := left - min(max(prompt, time.Duration(minSafetyShare*objective)), time.Duration(maxSafetyShare*objective))
	own := milliseconds(est.Own / max(est.Speed, 0.001))
	return min(inTime, own+time.Duration(maxWaitShare*objective))
}

// othersLate reports whether enough engines that are no candidates reported a short time ago
// and leave the request no time either, so that a further round would find nothing.
func (t *Tracker) othersLate(q Question, least int, now time.Time) bool {
	asked := map[string]bool{}
	for _, c := range q.Candidates {
		asked[c.Engine] = true
	}
	late := 0
	for _, id := range q.Engines {
		e := t.engines[id]
		if asked[id] || e == nil || now.Sub(e.reportAt) > recentAge {
			continue
		}
		est := t.Estimate(id, q.Request, now)
		if !est.Known || est.Idle || est.Time <= q.limit(est, now, t.service(q.Request.Service).read) {
			return false
		}
		late++
	}
	return late >= least
}

// retryAfter returns the time after which the client of a refused request comes again. It
// grows with the queue and with the share of requests that are refused, is shorter for urgent
// requests, and is at most a third of the time that the client has left, so that it can come
// twice more.
func retryAfter(q Question, est Estimate, refused float64, now time.Time, draw float64) time.Duration {
	queue := est.SlotWait + est.MemoryWait
	if est.Speed > 0 {
		queue += milliseconds(est.Ahead / est.Speed)
	}
	// Of the clients that come back while a share is refused, as many are refused again.
	queue = time.Duration(float64(queue) / (1 - min(refused, maxRefusedShare)))
	urgency := 0.5 + 0.5*float64(clampPriority(q.Request.Priority))/(priorities-1)
	mean := urgency * float64(max(queue, minRetryAfter))
	wait := min(max(time.Duration(mean*(0.5+draw)), minRetryAfter), maxRetryAfter)
	if limit := q.ClientDeadline.Sub(now) / 3; wait > limit {
		// The spread remains where the client has little time.
		wait = time.Duration(float64(max(limit, shortestRetryAfter)) * (0.75 + 0.25*draw))
	}
	return wait
}
