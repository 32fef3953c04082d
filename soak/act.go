package soak

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gooseberryroad/gooseberryroad/internal/pause"
	"github.com/gooseberryroad/gooseberryroad/platform/platformtest"
)

const (
	// registrationTTL is how long the registration of a crashed upstream stays in
	// the store.
	registrationTTL = time.Second
	// upstreamDrainTimeout is how long a draining upstream waits for its running
	// requests.
	upstreamDrainTimeout = 5 * time.Second
	// reregistrationTime is the time after the return of the store in which all
	// expired registrations are renewed. The users state about two seconds.
	reregistrationTime = 1800 * time.Millisecond
)

// recordError records that a fault could not be injected.
func (s *Soak) recordError(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultErr = errors.Join(s.faultErr, err)
}

// injectFault injects one fault and returns after its end.
func (s *Soak) injectFault(ctx context.Context, f Fault) {
	waitLength := func() { pause.For(ctx, f.Length) }
	began := time.Now()
	recordFault := func(component ComponentType, number int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.observed.faults.add(component, number, interval{began, time.Now()})
	}
	s.mu.Lock()
	s.faultsInjected++
	s.mu.Unlock()
	switch f.Component {
	case Upstreams:
		s.injectUpstreamFault(ctx, f)
	case StoreLinks, ClientLinks, PeerLinks, ControlLinks:
		links := map[ComponentType][]*link{StoreLinks: s.storeLinks, ClientLinks: s.clientLinks, PeerLinks: s.peerLinks, ControlLinks: s.controlLinks}
		end := links[f.Component][f.Target].fault(f.Kind)
		waitLength()
		end()
		recordFault(f.Component, f.Target)
	case Daemons:
		if f.Kind == BurstBodies {
			s.sendBurst(ctx, f.Target)
			return
		}
		if f.Kind == StopAnswering {
			defer s.keepAnswering(ctx, f.Target)()
			pause.For(ctx, busyTime)
		}
		s.injectDaemonFaults(ctx, f, f.Target)
	case StoreServer:
		if f.Kind == RestoreCopy {
			if s.options.Restores > 0 {
				s.restoreAndRestart(ctx, f)
				return
			}
			s.restoreStore(ctx, f)
			recordFault(StoreServer, 0)
			return
		}
		if f.Kind == ExpireRegistrations {
			s.expireRegistrations(ctx, f)
			recordFault(StoreServer, 0)
			return
		}
		toggle := &s.store.Refuse
		if f.Kind == LoseResponse {
			toggle = &s.store.LoseResponses
		}
		// The first of two overlapping faults to end also ends the other. The
		// recorded intervals are then longer than the faults were.
		toggle.Store(true)
		waitLength()
		toggle.Store(false)
		recordFault(StoreServer, 0)
	case ControlServer:
		toggle := map[FaultKind]*atomic.Bool{TurnAway: &s.control.TurnAway, RefuseCalls: &s.control.Refuse, LoseResponse: &s.control.LoseResponses}[f.Kind]
		toggle.Store(true)
		waitLength()
		toggle.Store(false)
	case WholeSystem:
		switch f.Kind {
		case RotateKey:
			s.rotateKey()
		case RestoreAndRestart:
			s.restoreAndRestart(ctx, f)
		case RollStops:
			s.rollStops(ctx, f)
		case SendPoisonRequest:
			s.sendPoisonRequest(ctx)
		case MoveGood, MoveBad, MoveAfterRevert:
			s.runMoves(ctx, f.Kind)
		case KillAll:
			all := make([]int, len(s.daemons))
			for i := range all {
				all[i] = i
			}
			s.injectDaemonFaults(ctx, Fault{Kind: Kill, Length: f.Length}, all...)
		case CrashDataCentre:
			var group sync.WaitGroup
			// A seed crashes the same data centre each time, because on the users'
			// sites the engines of one data centre crash repeatedly.
			zone := dataCentres[s.seed%uint64(len(dataCentres))]
			for i, u := range s.upstreams {
				if u.zone == zone {
					group.Go(func() { s.injectUpstreamFault(ctx, Fault{Kind: Crash, Target: i, Length: f.Length}) })
				}
			}
			group.Wait()
		}
	}
}

// expireRegistrations removes the registrations of all upstreams while the store
// refuses calls, and renews them one after the other after its return. It leaves out
// upstreams that crash or drain at that time, because those faults register them
// again.
func (s *Soak) expireRegistrations(ctx context.Context, f Fault) {
	s.store.Refuse.Store(true)
	for _, u := range s.upstreams {
		s.store.Unregister(u.ID())
	}
	pause.For(ctx, f.Length)
	s.store.Refuse.Store(false)
	for _, u := range s.upstreams {
		pause.For(ctx, reregistrationTime/time.Duration(len(s.upstreams)))
		if u.processMu.TryLock() {
			s.register(u, "ready")
			u.processMu.Unlock()
		}
	}
}

// restoreStore makes the store return to a copy as old as the fault is long. Upstreams and
// the operator write again what was lost within the time that the users state.
func (s *Soak) restoreStore(ctx context.Context, f Fault) {
	older := s.store.Copy()
	pause.For(ctx, f.Length)
	writeAgain := s.store.Restore(older)
	pause.For(ctx, min(f.Length, reregistrationTime))
	writeAgain(platformtest.OperatorKeys)
	writeAgain(platformtest.ReplicaKeys)
}

// injectUpstreamFault injects one fault into an upstream or its link and returns
// after its end. A crash or drain is skipped while another one lasts.
func (s *Soak) injectUpstreamFault(ctx context.Context, f Fault) {
	u := s.upstreams[f.Target]
	if f.Kind == AskPause {
		s.askForPause(ctx, f)
		return
	}
	if f.Kind == NameLimit {
		s.nameLimit(ctx, f)
		return
	}
	if f.Kind != Crash && f.Kind != Drain && f.Kind != Announce {
		began := time.Now()
		end := u.link.fault(f.Kind)
		pause.For(ctx, f.Length)
		end()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.observed.faults.add(Upstreams, f.Target, interval{began, time.Now()})
		return
	}
	if !u.processMu.TryLock() {
		return // the process is down or draining
	}
	defer u.processMu.Unlock()
	drainStart := time.Time{}
	if f.Kind == Drain || f.Kind == Announce {
		atLeast := f.Length
		if f.Kind == Drain {
			s.register(u, "draining")
		} else {
			u.Set(func(b *platformtest.Behaviour) { b.Leaving = true })
			// It stays for a time in which it must not get requests any more.
			atLeast += maxDrainDelay
		}
		drainStart = time.Now()
		for time.Since(drainStart) < upstreamDrainTimeout && (time.Since(drainStart) < atLeast || u.RunningRequests() > 0) && pause.For(ctx, pollInterval) {
		}
		s.store.Unregister(u.ID())
	}
	began := time.Now()
	u.Crash()
	pause.For(ctx, min(f.Length, registrationTTL))
	if f.Kind == Crash && f.Length > registrationTTL {
		s.store.Unregister(u.ID())
		pause.For(ctx, f.Length-registrationTTL)
	}
	u.starts++
	old := u.ID()
	u.Set(func(b *platformtest.Behaviour) { b.ID, b.StartedMs, b.Leaving = u.id(), time.Now().UnixMilli(), false })
	if err := u.Start(); err != nil {
		s.recordError(err)
		return
	}
	s.register(u, "ready")
	s.store.Unregister(old)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observed.faults.add(Upstreams, f.Target, interval{began, time.Now()})
	switch d := (drain{upstream: f.Target, at: drainStart, replacedAt: time.Now()}); f.Kind {
	case Drain:
		s.observed.drains = append(s.observed.drains, d)
	case Announce:
		s.observed.announcements = append(s.observed.announcements, d)
	}
}

// injectDaemonFaults injects a fault into several daemons at once, except for those
// on which another fault acts.
func (s *Soak) injectDaemonFaults(ctx context.Context, f Fault, targets ...int) {
	var running sync.WaitGroup
	for _, i := range targets {
		running.Go(func() {
			if !s.daemonMu[i].TryLock() {
				return
			}
			defer s.daemonMu[i].Unlock()
			began := time.Now()
			if err := s.injectDaemonFault(ctx, f, s.daemons[i]); err != nil {
				s.recordError(err)
				return
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			switch {
			case isPlannedStop(f.Kind):
				s.observed.plannedStops.add(Daemons, i, interval{began, time.Now()})
			case f.Kind == Kill, f.Kind == Pause:
				s.observed.faults.add(Daemons, i, interval{began, time.Now()})
			}
			if f.Kind == Pause {
				s.observed.pauses[i] = append(s.observed.pauses[i], interval{began, time.Now()})
			}
		})
	}
	running.Wait()
}

// injectDaemonFault injects one fault into a daemon; after a kill or a planned stop
// it starts the daemon again and waits until it is ready.
func (s *Soak) injectDaemonFault(ctx context.Context, f Fault, d *daemon) error {
	switch f.Kind {
	case Reload:
		return d.reload(f.Length > maxFault/2)
	case Pause:
		d.signal(syscall.SIGSTOP, false)
		pause.For(ctx, f.Length)
		d.signal(syscall.SIGCONT, false)
		return nil
	case Kill:
		d.kill()
		pause.For(ctx, f.Length)
	default:
		s.stopDaemon(ctx, f, d)
	}
	err := d.start()
	s.awaitReady(ctx, d)
	return err
}
