package plain

import (
	"context"
	"sync"
	"time"

	"github.com/gooseberryroad/gooseberryroad/claim"
)

// maxSettling bounds the outcomes that are recorded in the background. Above
// it a call's own goroutine records, which slows the calls down.
const maxSettling = 1024

// settler records outcomes and releases claims after the caller's answer.
type settler struct {
	h       *Handler
	slots   chan struct{}
	running sync.WaitGroup

	mu        sync.Mutex
	releases  *claim.ReleaseQueue
	releasing bool
}

func (s *settler) init(h *Handler) {
	s.h = h
	s.slots = make(chan struct{}, maxSettling)
	s.releases = claim.NewReleaseQueue(h.o.Releases)
	h.o.Metrics.GetOrCreateGauge("gooseberryroad_claim_releases_pending", func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return float64(s.releases.Len())
	})
}

// settle runs a claim to its end.
func (s *settler) settle(m *claim.Claim, acts []claim.Action) {
	if m.Ended() {
		return
	}
	select {
	case s.slots <- struct{}{}:
		s.running.Add(1)
		go func() {
			defer func() {
				<-s.slots
				s.running.Done()
			}()
			s.record(m, acts)
		}()
	default:
		s.record(m, acts)
	}
}

func (s *settler) record(m *claim.Claim, acts []claim.Action) {
	ctx := context.Background()
	for {
		var ev claim.Event = claim.Tick{}
		for _, a := range acts {
			ev = s.h.storeOp(ctx, s.farOff(), a)
		}
		if len(acts) == 0 {
			at, ok := m.NextTimer()
			if !ok {
				return
			}
			s.h.wait(ctx, at.Sub(s.h.o.Clock.Now()))
		}
		acts = m.Step(s.h.o.Clock.Now(), ev)
		if m.Ended() {
			return
		}
	}
}

func (s *settler) farOff() time.Time { return s.h.o.Clock.Now().Add(time.Hour) }

// release puts a claim on the list of pending releases. The goroutine that
// works on the list ends when the list is empty.
func (s *settler) release(p claim.PendingRelease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.releases.Add(s.h.o.Clock.Now(), p) {
		s.h.o.Metrics.GetOrCreateCounter("gooseberryroad_claim_releases_dropped_total").Inc()
		s.h.o.Logger.Error("list of pending releases is full; a claim that never ran stays claimed", "key", p.Key)
	}
	if s.releasing {
		return
	}
	s.releasing = true
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		s.work()
	}()
}

func (s *settler) work() {
	ctx := context.Background()
	var acts []claim.Action
	for {
		var ev claim.Event = claim.Tick{}
		for _, a := range acts {
			ev = s.h.storeOp(ctx, s.farOff(), a)
		}
		if len(acts) == 0 {
			s.mu.Lock()
			at, ok := s.releases.NextTimer()
			s.releasing = ok
			s.mu.Unlock()
			if !ok {
				return
			}
			s.h.wait(ctx, at.Sub(s.h.o.Clock.Now()))
		}
		s.mu.Lock()
		acts = s.releases.Step(s.h.o.Clock.Now(), ev)
		s.mu.Unlock()
	}
}

func (s *settler) drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		s.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
