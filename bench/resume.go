package bench

import (
	"slices"
	"time"

	"github.com/gooseberryroad/gooseberryroad/client"
)

// daemonLoss records when the daemon with the given caller address was killed.
type daemonLoss struct {
	address string
	at      time.Time
}

// lateTokenTime is how long after a fault tokens that were already in transit may
// still arrive. A gap that begins within this time is attributed to the fault.
const lateTokenTime = 500 * time.Millisecond

// recordAffected records which requests a fault affects. It must be called before
// the fault is injected, or for a dead engine before it is started again.
func (r *run) recordAffected(f fault) {
	var prompts []string
	for _, e := range f.engines {
		prompts = append(prompts, e.HeldPrompts()...)
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range prompts {
		r.faultTimesByPrompt[p] = append(r.faultTimesByPrompt[p], now)
	}
	if f.daemon != "" {
		r.lostDaemons = append(r.lostDaemons, daemonLoss{address: f.daemon, at: now})
	}
}

// resumeGaps returns the gaps that faults caused in an answer. If no injected
// fault caused one, it returns the gaps after the connection breaks that the
// client saw.
func (r *run) resumeGaps(prompt string, a *client.Answer) []time.Duration {
	r.mu.Lock()
	faults := append([]time.Time(nil), r.faultTimesByPrompt[prompt]...)
	for _, l := range r.lostDaemons {
		if slices.Contains(a.AddressesTried, l.address) {
			faults = append(faults, l.at)
		}
	}
	r.mu.Unlock()
	var out []time.Duration
	for _, at := range faults {
		if gap, ok := longestGapAt(a.SentAt, a.FirstToken, a.TokenGaps, at); ok {
			out = append(out, gap)
		}
	}
	if len(out) == 0 {
		out = a.ResumeGaps
	}
	return out
}

// longestGapAt returns the longest time without output that overlaps a fault. For
// a fault before the first token this is the time from the fault to that token.
// It returns false if the fault came before the request or after the end of the
// answer, or if there was no first token.
func longestGapAt(sent time.Time, firstToken time.Duration, gaps []time.Duration, faultAt time.Time) (time.Duration, bool) {
	if faultAt.Before(sent) || firstToken == 0 {
		return 0, false
	}
	gapStart := sent.Add(firstToken)
	if faultAt.Before(gapStart) {
		return gapStart.Sub(faultAt), true
	}
	var longest time.Duration
	for _, g := range gaps {
		gapEnd := gapStart.Add(g)
		if gapEnd.After(faultAt) && gapStart.Before(faultAt.Add(lateTokenTime)) {
			longest = max(longest, g)
		}
		gapStart = gapEnd
	}
	return longest, longest > 0
}
