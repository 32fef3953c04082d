package headroom

import "time"

// memoryWait returns the wait until the KV cache of an engine has room for a request: 0 if it
// has, or if its size is not known. fits is false if there is no room. An engine that takes
// more than fits preempts a run later, whose prompt is read once more.
func (t *Tracker) memoryWait(e *engine, s *service, r Request, tokens float64, now time.Time) (wait time.Duration, fits bool) {
	if e.report.TotalTokens <= 0 {
		return 0, true
	}
	l := t.load(e)
	prompt := s.prompt
	if prompt == 0 {
		prompt = tokens
	}
	size := prompt + s.outputTokens
	// What the runs still generate: half of it on average.
	needed := float64(e.report.UsedTokens) + float64(len(e.report.Runs))*s.outputTokens/2
	// Requests that the report does not count as using the cache: those that wait, and those
	// of this daemon that it does not list.
	unlisted := float64(l.Waiting)
	for _, x := range e.sent {
		if x.at.After(e.reportAt.Add(-MaxReportAge)) && !e.lists(x.request.ID) {
			unlisted++
		}
	}
	needed += unlisted * size
	short := needed + tokens + float64(r.OutputTokens) - float64(e.report.TotalTokens)
	if short <= 0 {
		return 0, true
	}
	running := max(float64(l.Running), 1)
	hold := s.outputTime(e, now) + milliseconds(s.read/max(t.speed(e, s), 0.001))
	return time.Duration(short / max(size, 1) * float64(hold) / running), false
}

// countSize records the size of a request, for requests of which only the number is known.
func (s *service) countSize(r Request) {
	if r.Tokens <= 0 {
		return
	}
	if s.prompt == 0 {
		s.prompt, s.outputTokens = float64(r.Tokens), float64(r.OutputTokens)
		return
	}
	s.prompt += sampleWeight * (float64(r.Tokens) - s.prompt)
	s.outputTokens += sampleWeight * (float64(r.OutputTokens) - s.outputTokens)
}

// refusalWeight is the weight of the newest request in the share of refused ones: it follows
// about the last twenty.
const refusalWeight = 0.05

// countDecision records whether a request that was not begun was refused.
func (s *service) countDecision(refused bool) {
	x := 0.0
	if refused {
		x = 1
	}
	s.refused += refusalWeight * (x - s.refused)
}

// maxCopyShare is the part of an engine's KV cache up to which it is asked to keep copies of
// other engines' runs. A copy takes as much room as a run, so beyond that it costs the place
// of a request that could be served.
const maxCopyShare = 0.5

// RoomForCopy reports whether an engine has room for a copy of a request's run beside its own
// work, by a report that is not too old.
func (t *Tracker) RoomForCopy(id string, r Request, now time.Time) bool {
	e := t.engines[id]
	if e == nil || e.reportAt.IsZero() || now.Sub(e.reportAt) > maxKnownAge || e.report.TotalTokens <= 0 {
		return false
	}
	return float64(e.report.UsedTokens+r.Tokens+r.OutputTokens) <= maxCopyShare*float64(e.report.TotalTokens)
}
