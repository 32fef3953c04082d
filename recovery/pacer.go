package recovery

import (
	"slices"
	"time"
)

// PacerOptions limit the continuations of one daemon.
type PacerOptions struct {
	// Rate is the number of continuations per second after the burst; 0 means 40.
	Rate float64
	// Burst is the number of continuations that may begin at once; 0 means 16.
	Burst int
}

// PacerRequest asks a Pacer for permission to begin a continuation.
type PacerRequest struct {
	ID uint64
	// Began is the time at which the generation began.
	Began time.Time
	// Tokens is the number of tokens delivered to the caller.
	Tokens int
}

// Pacer is a token bucket that spreads the continuations after the loss of many
// engines, so that their prefills do not overload the engines that are left. The
// oldest generation goes first; among those that began in the same second, the one
// with the most delivered tokens. The generations of a daemon share one Pacer, and
// the caller serializes its methods.
type Pacer struct {
	o          PacerOptions
	tokens     float64
	lastRefill time.Time
	queue      []PacerRequest // in the order in which they are granted
}

// NewPacer returns a pacer whose full burst is available.
func NewPacer(now time.Time, o PacerOptions) *Pacer {
	if o.Rate <= 0 {
		o.Rate = 40
	}
	if o.Burst <= 0 {
		o.Burst = 16
	}
	return &Pacer{o: o, tokens: float64(o.Burst), lastRefill: now}
}

// Enqueue adds a request to the queue.
func (p *Pacer) Enqueue(r PacerRequest) {
	i, _ := slices.BinarySearchFunc(p.queue, r, comparePacerRequests)
	p.queue = slices.Insert(p.queue, i, r)
}

func comparePacerRequests(a, b PacerRequest) int {
	if c := a.Began.Truncate(time.Second).Compare(b.Began.Truncate(time.Second)); c != 0 {
		return c
	}
	if a.Tokens != b.Tokens {
		return b.Tokens - a.Tokens
	}
	if a.ID < b.ID {
		return -1
	}
	if a.ID > b.ID {
		return 1
	}
	return 0
}

// Remove drops the request of a generation that ended.
func (p *Pacer) Remove(id uint64) {
	p.queue = slices.DeleteFunc(p.queue, func(r PacerRequest) bool { return r.ID == id })
}

// Grant removes the requests that may begin now from the queue and returns their
// IDs.
func (p *Pacer) Grant(now time.Time) []uint64 {
	if now.After(p.lastRefill) {
		p.tokens = min(float64(p.o.Burst), p.tokens+now.Sub(p.lastRefill).Seconds()*p.o.Rate)
		p.lastRefill = now
	}
	n := min(int(p.tokens+1e-6), len(p.queue))
	if n == 0 {
		return nil
	}
	ids := make([]uint64, n)
	for i, r := range p.queue[:n] {
		ids[i] = r.ID
	}
	p.queue = slices.Delete(p.queue, 0, n)
	p.tokens -= float64(n)
	return ids
}

// NextTimer returns when Grant can grant the next request; false means that none is
// queued.
func (p *Pacer) NextTimer() (time.Time, bool) {
	if len(p.queue) == 0 {
		return time.Time{}, false
	}
	missing := max(0, 1-p.tokens) / p.o.Rate
	return p.lastRefill.Add(time.Duration(missing * float64(time.Second))), true
}

// Waiting returns the number of queued requests.
func (p *Pacer) Waiting() int { return len(p.queue) }

// RetryBudget limits the retries of requests of which nothing was delivered to a
// share of the requests that began, so that retries cannot multiply an overload.
// The caller serializes its methods.
type RetryBudget struct {
	retriesPerRequest, burst, tokens float64
}

// NewRetryBudget returns a budget that gains retriesPerRequest retries with each
// request and holds at most burst. It begins with burst retries.
func NewRetryBudget(retriesPerRequest float64, burst int) *RetryBudget {
	return &RetryBudget{retriesPerRequest: retriesPerRequest, burst: float64(burst), tokens: float64(burst)}
}

// CountRequest adds the retries that a new request gives to the budget.
func (b *RetryBudget) CountRequest() { b.tokens = min(b.burst, b.tokens+b.retriesPerRequest) }

// TrySpend takes a retry from the budget and reports whether one was left.
func (b *RetryBudget) TrySpend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
