package headroom

import (
	"slices"
	"time"
)

// Estimate is the estimated time to the first event of a request at an engine, with the
// parts of it.
type Estimate struct {
	// Known says that the engine's speed and its load are known.
	Known bool
	// Reported says that the engine's load is known.
	Reported bool
	// Time is the sum: the tokens that are read before the request and its own, by the
	// speed, and the wait for a slot.
	Time time.Duration
	// Ahead is the number of prompt tokens that are read before the request, Own that of the
	// request, and Held the part of its prompt that the engine still holds.
	Ahead, Own float64
	Held       int
	// Speed is in prompt tokens a millisecond.
	Speed float64
	// SlotWait is the time for which the wait for a slot outlasts the reading of the prompts
	// ahead.
	SlotWait time.Duration
	// planned is Time without the correction by the real times of earlier requests.
	planned time.Duration
	// Idle says that the engine has a free slot and no prompt to read before this one.
	Idle bool
	// Requests is the number of requests that run or wait at the engine.
	Requests int
	// Full says that all slots are taken, none of them by a less urgent run.
	Full bool
	// MemoryWait is the time for which the wait for room in the KV cache outlasts the other
	// waits. Preempts says that there is no room and that the engine would make some by
	// preempting a less urgent run.
	MemoryWait time.Duration
	Preempts   bool
}

// load returns the load of an engine with the requests that this daemon sent since its
// last report.
func (t *Tracker) load(e *engine) Load {
	l := e.report.Listed
	if e.report.Current != nil {
		l = *e.report.Current
	}
	for _, x := range e.sent {
		// Without a current load the report may have been made before a request of the last
		// MaxReportAge arrived.
		if x.at.After(e.reportAt) || e.report.Current == nil && e.reportAt.Sub(x.at) < MaxReportAge && !e.lists(x.request.ID) {
			l.Running++
		}
	}
	if slots := e.report.Slots; slots > 0 && l.Running > slots {
		l.Waiting += l.Running - slots
		l.Running = slots
	}
	return l
}

// lists reports whether the last report of an engine lists a run.
func (e *engine) lists(id string) bool {
	return slices.ContainsFunc(e.report.Runs, func(r Run) bool { return r.ID == id })
}

// Estimate returns the estimate for a request at an engine.
func (t *Tracker) Estimate(id string, r Request, now time.Time) Estimate {
	e, s := t.engines[id], t.service(r.Service)
	var est Estimate
	est.Speed = t.speed(e, s)
	est.Held = t.held(e, r.Parts, now)
	tokens := float64(r.Tokens)
	if r.Tokens == 0 {
		tokens = s.read
	}
	est.Own = max(tokens-float64(est.Held), 0)
	if e == nil || e.reportAt.IsZero() || now.Sub(e.reportAt) > maxKnownAge {
		return est
	}
	est.Reported = true
	known, waiting, hasLessUrgent := t.tokensAhead(e, s, r, now)
	l := t.load(e)
	est.Requests = l.Running + l.Waiting
	slotsTaken := e.report.Slots > 0 && l.Running >= e.report.Slots
	est.Full = slotsTaken && !hasLessUrgent
	est.Idle = known == 0 && !slotsTaken
	est.Ahead = known
	if !est.Idle {
		est.Ahead += t.unseen(e, s, r, now)
	}
	if est.Speed <= 0 || tokens <= 0 {
		return est
	}
	est.Known = true
	ahead := milliseconds(est.Ahead / est.Speed)
	if output := s.outputTime(e, now); est.Full && output > 0 {
		hold := output + milliseconds(s.read/est.Speed)
		wait := time.Duration((waiting + 1) * float64(hold) / float64(e.report.Slots))
		est.SlotWait = max(wait-ahead, 0)
	}
	own := milliseconds(est.Own / est.Speed)
	if wait, fits := t.memoryWait(e, s, r, tokens, now); !fits {
		est.Idle = false
		if hasLessUrgent {
			// The preempted run is read once more, which costs about as much as this prompt. An
			// engine with room is better.
			est.Preempts = true
			est.MemoryWait = own / 2
		} else {
			est.MemoryWait = max(wait-ahead-est.SlotWait, 0)
		}
	}
	est.Time = ahead + own + est.SlotWait + est.MemoryWait
	if !est.Idle {
		est.Time = time.Duration(float64(est.Time) / (1 - t.moreUrgentShare(s, r, est, e.report.Slots)))
	}
	est.planned = est.Time
	if !est.Idle {
		est.Time = time.Duration(float64(est.Time) * max(s.correction, minCorrection))
	}
	return est
}

// outputTime returns the time for which runs of a service generate output: the mean, or, as
// long as none has ended, at least that of the runs which have not.
func (s *service) outputTime(e *engine, now time.Time) time.Duration {
	if s.output > 0 {
		return s.output
	}
	longest := time.Duration(0)
	for _, x := range e.sent {
		if !x.firstEventAt.IsZero() {
			longest = max(longest, now.Sub(x.firstEventAt))
		}
	}
	return longest
}

// tokensAhead returns the tokens of the prompts that an engine reads before that of the
// request, how many of them belong to requests that wait for a slot, and whether a less
// urgent run has a slot, which the engine would give to the request.
func (t *Tracker) tokensAhead(e *engine, s *service, r Request, now time.Time) (tokens, waiting float64, hasLessUrgent bool) {
	own := map[string]*sent{}
	for _, x := range e.sent {
		own[x.request.ID] = x
	}
	listed := map[string]bool{}
	halfRead := false
	rest := s.read
	if rest == 0 {
		rest = float64(r.Tokens)
	}
	// What the engine has read since its report.
	progress := t.speed(e, s) * float64(now.Sub(e.reportAt)) / float64(time.Millisecond)
	for _, run := range e.report.Runs {
		x := own[run.ID]
		if x != nil {
			listed[run.ID] = true
		}
		if run.Priority > r.Priority {
			hasLessUrgent = true
			continue
		}
		switch {
		case run.Events > 0 || x != nil && !x.firstEventAt.IsZero():
		case x != nil:
			tokens += x.read
		case rest > 0:
			left := rest - float64(run.Tokens)
			if left < rest/10 {
				// The engine lists the memory that it keeps for the prompt. It reads one at a
				// time, which is half read on average.
				left = rest
				if !halfRead {
					left, halfRead = rest/2, true
				}
			}
			tokens += left
		}
	}
	tokens = max(tokens-progress, 0)
	// The requests of this daemon that the report does not list.
	unlisted, ownAhead := 0.0, 0.0
	for _, x := range e.sent {
		if listed[x.request.ID] || !x.firstEventAt.IsZero() {
			continue
		}
		if !x.at.After(e.reportAt) {
			unlisted++
		}
		if x.request.Priority <= r.Priority {
			tokens += x.read
			ownAhead++
		}
	}
	// Those of other daemons: waiting ones, and those that are not listed.
	l := e.report.Listed
	if e.report.Current != nil {
		l = *e.report.Current
	}
	waiting = float64(l.Waiting)
	// A run that the list lacks has not made an event yet, or arrived since.
	arrived := max(float64(l.Running-len(e.report.Runs)), 0)
	waiting, unlisted = max(waiting-unlisted, 0), max(unlisted-waiting, 0)
	arrived = max(arrived-unlisted, 0)
	share := t.urgentShare(s, r.Priority)
	if hasLessUrgent {
		// A waiting request that is as urgent as this one would have that run's slot.
		waiting = 0
	}
	ahead := min(waiting*share+ownAhead, float64(t.load(e).Waiting))
	return tokens + (waiting+arrived)*share*rest, ahead, hasLessUrgent
}

// urgentShare returns the part of the requests of a service that are as urgent as the given
// priority or more, by the prompts that engines list as being read, or by the runs that
// generate output for engines that list runs from their first event on.
func (t *Tracker) urgentShare(s *service, priority int) float64 {
	for _, mix := range [][priorities]float64{s.reading, s.generating} {
		urgent, all := 0.0, 0.0
		for p, n := range mix {
			all += n
			if p <= priority {
				urgent += n
			}
		}
		if all >= minMix {
			return urgent / all
		}
	}
	return 1
}

// minMix is the mean number of listed runs from which their priorities tell that of others.
const minMix = 0.05

// unseen returns the tokens of prompts that were sent to an engine since its report was made.
func (t *Tracker) unseen(e *engine, s *service, r Request, now time.Time) float64 {
	age := now.Sub(e.reportAt)
	if e.report.Current == nil {
		age += MaxReportAge
	}
	return float64(age) / float64(time.Millisecond) * t.tokenRate(s, r.Priority)
}

// tokenRate returns the prompt tokens a millisecond that arrive at an engine with the given
// priority or a more urgent one: by Little's law from the runs that generate output and the
// time for which they do. The rate at which this daemon sends would be the rate of too few
// requests.
func (t *Tracker) tokenRate(s *service, priority int) float64 {
	if s.output <= 0 {
		return 0
	}
	runs := 0.0
	for p := 0; p <= min(priority, priorities-1); p++ {
		runs += s.generating[p]
	}
	return runs * s.read / (float64(s.output) / float64(time.Millisecond))
}

// maxMoreUrgentShare bounds the share of an engine that more urgent requests are taken to
// need.
const maxMoreUrgentShare = 0.8

// moreUrgentShare returns the share of an engine's speed, or of its slots if they are all
// taken, that more urgent requests use, which arrive while a request waits and are served
// before it.
func (t *Tracker) moreUrgentShare(s *service, r Request, est Estimate, slots int) float64 {
	share := t.tokenRate(s, r.Priority-1) / est.Speed
	if est.Full && slots > 0 {
		runs := 0.0
		for p := 0; p < min(r.Priority, priorities); p++ {
			runs += s.generating[p] + s.reading[p]
		}
		share = max(share, runs/float64(slots))
	}
	return min(share, maxMoreUrgentShare)
}

// speed returns the learnt speed of an engine, shrunk towards the mean of its service; 0 is
// unknown.
func (t *Tracker) speed(e *engine, s *service) float64 {
	if e == nil || e.samples == 0 {
		return s.speed
	}
	return (e.samples*e.speed + priorSamples*s.speed) / (e.samples + priorSamples)
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
