package soak

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/gooseberryroad/gooseberryroad/internal/pause"
	"github.com/gooseberryroad/gooseberryroad/platform/platformtest"
)

const (
	// burstRequests long bodies have more bytes together than a daemon holds of bodies:
	// 30% of maxDaemonMB.
	burstRequests  = 40
	burstBodyBytes = 2 << 20
	burstTimeout   = 3 * time.Second
	// firstBurstCaller is the number of the first caller of a burst; the other callers
	// have lower numbers.
	firstBurstCaller = 1 << 20
	// memoryInterval is the time between two samples of a daemon's memory in a burst.
	memoryInterval = 20 * time.Millisecond
)

// sendBurst sends orders with long bodies, whose length is not stated, to a daemon at
// once, and samples the memory of its process until all have ended. The orders are judged
// as those of other callers.
func (s *Soak) sendBurst(ctx context.Context, daemon int) {
	body := strings.Repeat("subject of a burst. ", burstBodyBytes/20)
	began := time.Now()
	first := firstBurstCaller + int(s.bursts.Add(burstRequests))
	attempts := make([]*attempt, burstRequests)
	var sending sync.WaitGroup
	for i := range attempts {
		sending.Go(func() {
			c := newCaller(s, first+i)
			c.chunkedBodies = true
			defer c.client.CloseIdleConnections()
			call := platformtest.Call{ID: c.nextID(), Key: permanentKey, Kind: platformtest.Order, Timeout: burstTimeout, Body: body}
			attempts[i] = c.sendOnce(ctx, call, daemon, 0)
		})
	}
	sampling, stop := context.WithCancel(ctx)
	go func() {
		for pause.For(sampling, memoryInterval) {
			s.daemons[daemon].sampleMemory()
		}
	}()
	sending.Wait()
	stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observed.bursts.add(Daemons, daemon, interval{began, time.Now()})
	for _, a := range attempts {
		if a != nil {
			s.observed.attempts = append(s.observed.attempts, *a)
		}
	}
}
