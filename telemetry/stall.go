package telemetry

import (
	"context"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// stallCheckInterval is the time between two checks whether the process runs.
	stallCheckInterval = 100 * time.Millisecond
	// minStall is the shortest delay of a check that counts as a stall. Collections of
	// garbage and a busy scheduler cause shorter ones.
	minStall = 100 * time.Millisecond
)

// StallMessage is the message of the log line that tells of a stall. The line has the
// attributes from, the time at which the process should have run, and length.
const StallMessage = "process stalled"

var (
	stalls       = metrics.NewCounter("gooseberryroad_process_stalls_total")
	stallSeconds = metrics.NewFloatCounter("gooseberryroad_process_stall_seconds_total")
)

// Stall is a time in which this process did not run although a timer had expired: it
// was stopped, the machine was suspended, or other work took its processors. Timeouts
// that end in it are noticed late, and bounds that the process keeps with timers do not
// hold.
type Stall struct {
	From   time.Time
	Length time.Duration
}

// stallDetector finds stalls from the times of checks that are due every
// stallCheckInterval.
type stallDetector struct{ last time.Time }

// check records a check and returns the stall since the one before, if there was one.
func (d *stallDetector) check(now time.Time) (Stall, bool) {
	due := d.last.Add(stallCheckInterval)
	first := d.last.IsZero()
	d.last = now
	if first || now.Sub(due) < minStall {
		return Stall{}, false
	}
	return Stall{From: due, Length: now.Sub(due)}, true
}

// WatchStalls calls report after each stall of the process until ctx ends.
func WatchStalls(ctx context.Context, report func(Stall)) {
	t := time.NewTicker(stallCheckInterval)
	defer t.Stop()
	d := stallDetector{last: time.Now()}
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if s, ok := d.check(time.Now()); ok {
				report(s)
			}
		}
	}
}

// RecordStalls returns a function for WatchStalls that logs and counts stalls.
func RecordStalls(l *slog.Logger) func(Stall) {
	return func(s Stall) {
		stalls.Inc()
		stallSeconds.Add(s.Length.Seconds())
		l.Warn(StallMessage, "from", s.From, "length", s.Length)
	}
}
