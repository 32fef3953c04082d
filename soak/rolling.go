package soak

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/gooseberryroad/gooseberryroad/internal/pause"
)

// The kinds of planned work. They come at the rate Options.PlannedRate.
const (
	RollStops      FaultKind = "roll"       // all daemons are stopped in turn and started again; several are down at once
	HangUpAndStop  FaultKind = "hup-term"   // a daemon gets a burst of SIGHUPs and then SIGTERM
	SignalStopping FaultKind = "term-again" // a daemon that stops gets SIGHUPs and a second SIGTERM
	StopAnswering  FaultKind = "term-busy"  // a daemon is stopped while it answers many requests
)

// plannedWork lists the planned work that a plan draws from.
var plannedWork = []faultType{
	{WholeSystem, RollStops}, {Daemons, HangUpAndStop}, {Daemons, SignalStopping}, {Daemons, StopAnswering}, {Daemons, Terminate}, {WholeSystem, RotateKey},
}

// DefaultPlannedRate is the default of Options.PlannedRate.
const DefaultPlannedRate = 0.25

const (
	// minRollGap and maxRollGap bound the time between two stops of a roll, maxRoll the
	// time between its first and its last stop.
	minRollGap = 200 * time.Millisecond
	maxRollGap = 1500 * time.Millisecond
	maxRoll    = 10 * time.Second
	// minHangUps and maxHangUps bound the SIGHUPs of one burst.
	minHangUps = 10
	maxHangUps = 300
	// busyCallers is the number of direct clients that keep a daemon answering while it
	// is stopped, busyTime how long they send before SIGTERM.
	busyCallers = 8
	busyTime    = 400 * time.Millisecond
	// firstBusyClient is the number of the first of these clients in a run; other direct
	// clients have lower numbers.
	firstBusyClient = 1 << 20
)

// scale maps the length of a fault, which lies between minFault and maxFault, to the range
// from low to high.
func scale(length time.Duration, low, high float64) float64 {
	return low + (high-low)*float64(length-minFault)/float64(maxFault-minFault)
}

// isPlannedStop reports whether a kind of fault stops a daemon with SIGTERM.
func isPlannedStop(k FaultKind) bool {
	return k == Terminate || k == HangUpAndStop || k == SignalStopping || k == StopAnswering
}

// rollStops stops all daemons in turn and returns when all are ready again.
func (s *Soak) rollStops(ctx context.Context, f Fault) {
	gap := min(time.Duration(scale(f.Length, float64(minRollGap), float64(maxRollGap))), maxRoll/time.Duration(len(s.daemons)))
	var stops sync.WaitGroup
	for i := range s.daemons {
		stops.Go(func() { s.injectDaemonFaults(ctx, Fault{Kind: Terminate}, i) })
		if !pause.For(ctx, gap) {
			break
		}
	}
	stops.Wait()
}

// stopDaemon stops a daemon with SIGTERM, with what its kind of planned work adds to that.
func (s *Soak) stopDaemon(ctx context.Context, f Fault, d *daemon) {
	switch f.Kind {
	case HangUpAndStop:
		d.terminate(slices.Repeat([]syscall.Signal{syscall.SIGHUP}, int(scale(f.Length, minHangUps, maxHangUps)))...)
		return
	case SignalStopping:
		var signals sync.WaitGroup
		defer signals.Wait()
		signals.Go(func() {
			for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
				pause.For(ctx, f.Length/3)
				d.signalStopping(sig)
			}
		})
	}
	d.terminate()
}

// keepAnswering lets busyCallers clients send requests to a daemon until it closes their
// connections. The returned function waits for their end.
func (s *Soak) keepAnswering(ctx context.Context, daemon int) (wait func()) {
	ctx, stop := context.WithCancel(ctx)
	var clients sync.WaitGroup
	for range busyCallers {
		c := newDirectClient(s, firstBusyClient+int(s.busyClients.Add(1)), answeringStyle)
		clients.Go(func() { c.useConnection(ctx, daemon) })
	}
	return func() {
		stop()
		clients.Wait()
	}
}

// signalStopping sends a signal to the process if it has been asked to stop.
func (d *daemon) signalStopping(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil && d.stopRequested {
		_ = d.cmd.Process.Signal(sig) // wait records how a process ended
	}
}
