package recovery

import (
	"slices"
	"time"
)

// PacerOptions bound the continuations of one daemon.
type PacerOptions struct {
	// Rate is the number of continuations a second after the burst.
	Rate float64
	// Burst is the number of continuations that may begin at once.
	Burst int
}

// Ticket asks for a turn.
type PacerRequest struct {
	ID uint64
	// Began is when the generation began.
	Began time.Time
	// Tokens is the number of tokens delivered.
	Tokens int
}

// Pacer spreads the continuations after a mass loss, so that their prefills do
// not overload the engines that are left. Oldest work goes first; among work
// that began in the same second, the one with most tokens. It is shared by the
// generations of a daemon, and the caller serializes its methods.
type Pacer struct {
	o      PacerOptions
	tokens float64
	at     time.Time
	queue  []PacerRequest // in order of turns
}

// NewPacer returns a pacer with a full burst.
func NewPacer(now time.Time, o PacerOptions) *Pacer {
	if o.Rate <= 0 {
		o.Rate = 40
	}
	if o.Burst <= 0 {
		o.Burst = 16
	}
	return &Pacer{o: o, tokens: float64(o.Burst), at: now}
}

// Ask queues a ticket.
func (p *Pacer) Enqueue(t PacerRequest) {
	i, _ := slices.BinarySearchFunc(p.queue, t, compareTickets)
	p.queue = slices.Insert(p.queue, i, t)
}

func compareTickets(a, b PacerRequest) int {
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

// Withdraw removes the ticket of a generation that ended.
func (p *Pacer) Remove(id uint64) {
	p.queue = slices.DeleteFunc(p.queue, func(t PacerRequest) bool { return t.ID == id })
}

// Grant returns the tickets whose turn has come.
func (p *Pacer) Grant(now time.Time) []uint64 {
	if now.After(p.at) {
		p.tokens = min(float64(p.o.Burst), p.tokens+now.Sub(p.at).Seconds()*p.o.Rate)
		p.at = now
	}
	n := min(int(p.tokens+1e-6), len(p.queue))
	if n == 0 {
		return nil
	}
	ids := make([]uint64, n)
	for i, t := range p.queue[:n] {
		ids[i] = t.ID
	}
	p.queue = slices.Delete(p.queue, 0, n)
	p.tokens -= float64(n)
	return ids
}

// NextTimer returns when Grant has a turn to give, if tickets wait.
func (p *Pacer) NextTimer() (time.Time, bool) {
	if len(p.queue) == 0 {
		return time.Time{}, false
	}
	missing := max(0, 1-p.tokens) / p.o.Rate
	return p.at.Add(time.Duration(missing * float64(time.Second))), true
}

// Waiting returns the number of queued tickets.
func (p *Pacer) Waiting() int { return len(p.queue) }

// Budget limits retries of requests of which nothing was delivered to a share
// of the requests that began, so that retries cannot multiply an overload.
// The caller serializes its methods.
type RetryBudget struct {
	share, limit, tokens float64
}

// NewBudget allows share retries per request and a burst of limit.
func NewRetryBudget(share float64, limit int) *RetryBudget {
	return &RetryBudget{share: share, limit: float64(limit), tokens: float64(limit)}
}

// Began counts a new request.
func (b *RetryBudget) CountRequest() { b.tokens = min(b.limit, b.tokens+b.share) }

// Spend takes a retry from the budget if one is left.
func (b *RetryBudget) TrySpend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
