package bench

import (
	"slices"
	"time"

	"github.com/gooseberryroad/gooseberryroad/client"
)

// daemonLoss is the loss of the daemon with a caller address.
type daemonLoss struct {
	address string
	at      time.Time
}

// lateTokens is how long after a fault tokens that were on their way may still
// arrive. A pause that begins within it belongs to the fault.
const lateTokenTime = 500 * time.Millisecond

// markHits notes which requests a fault hits, before it begins.
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

// resumeGaps returns the pauses that faults caused in an answer. A broken
// connection that no known fault explains counts as well.
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

// gapAt returns the longest time without output that overlaps a fault, and
// false when the answer had ended or had not begun. Before the first token the
// time counts from the fault.
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
