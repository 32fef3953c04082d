package plain

import (
	"context"
	"sync"
	"time"

	"github.com/gooseberryroad/gooseberryroad/claim"
)

// maxBackgroundRecords bounds the outcomes that are recorded in the background at
// the same time. Above it a call's own goroutine records the outcome, which slows
// the callers down.
const maxBackgroundRecords = 1024

// outcomeRecorder records outcomes and releases claims after the caller has been
// answered.
type outcomeRecorder struct {
	handler *Handler
	slots   chan struct{}
	workers sync.WaitGroup

	mu        sync.Mutex
	releases  *claim.ReleaseQueue
	releasing bool
}

func (s *outcomeRecorder) init(h *Handler) {
	s.handler = h
	s.slots = make(chan struct{}, maxBackgroundRecords)
	s.releases = claim.NewReleaseQueue(h.opts.Releases)
	h.opts.Metrics.GetOrCreateGauge("gooseberryroad_claim_releases_pending", func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return float64(s.releases.Len())
	})
}

// finish runs a claim to its end, in the background if a slot is free. acts are
// the actions that are still to be carried out.
func (s *outcomeRecorder) finish(m *claim.Claim, acts []claim.Action) {
	if m.Ended() {
		return
	}
	select {
	case s.slots <- struct{}{}:
		s.workers.Add(1)
		go func() {
			defer func() {
				<-s.slots
				s.workers.Done()
			}()
			s.runToEnd(m, acts)
		}()
	default:
		s.runToEnd(m, acts)
	}
}

func (s *outcomeRecorder) runToEnd(m *claim.Claim, acts []claim.Action) {
	ctx := context.Background()
	for {
		var ev claim.Event = claim.Tick{}
		for _, a := range acts {
			ev = s.handler.storeOp(ctx, s.noDeadline(), a)
		}
		if len(acts) == 0 {
			at, ok := m.NextTimer()
			if !ok {
				return
			}
			s.handler.wait(ctx, at.Sub(s.handler.opts.Clock.Now()))
		}
		acts = m.Step(s.handler.opts.Clock.Now(), ev)
		if m.Ended() {
			return
		}
	}
}

// noDeadline returns a time that is later than any store timeout.
func (s *outcomeRecorder) noDeadline() time.Time { return s.handler.opts.Clock.Now().Add(time.Hour) }

// release adds a claim to the queue of pending releases, and starts a goroutine
// that processes the queue if none is running. It ends when the queue is empty.
func (s *outcomeRecorder) release(p claim.PendingRelease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.releases.Add(s.handler.opts.Clock.Now(), p) {
		s.handler.opts.Metrics.GetOrCreateCounter("gooseberryroad_claim_releases_dropped_total").Inc()
		s.handler.opts.Logger.Error("queue of pending releases is full; the claim of a call that never ran stays claimed", "key", p.Key)
	}
	if s.releasing {
		return
	}
	s.releasing = true
	s.workers.Add(1)
	go func() {
		defer s.workers.Done()
		s.runReleases()
	}()
}

func (s *outcomeRecorder) runReleases() {
	ctx := context.Background()
	var acts []claim.Action
	for {
		var ev claim.Event = claim.Tick{}
		for _, a := range acts {
			ev = s.handler.storeOp(ctx, s.noDeadline(), a)
		}
		if len(acts) == 0 {
			s.mu.Lock()
			at, ok := s.releases.NextTimer()
			s.releasing = ok
			s.mu.Unlock()
			if !ok {
				return
			}
			s.handler.wait(ctx, at.Sub(s.handler.opts.Clock.Now()))
		}
		s.mu.Lock()
		acts = s.releases.Step(s.handler.opts.Clock.Now(), ev)
		s.mu.Unlock()
	}
}

func (s *outcomeRecorder) drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		s.workers.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
