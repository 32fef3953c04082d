package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/gooseberryroad/gooseberryroad/fleet"
	"github.com/gooseberryroad/gooseberryroad/rollout"
)

// watchInterval is how often the state of the fleet is sampled. It bounds the
// error of the time at which a verdict is seen.
const watchInterval = 50 * time.Millisecond

// afterShown is how long after the first verdict a bad version may still get
// requests.
const afterShown = 2 * time.Second

// Sample is the state of the fleet at one time, for plots.
type Sample struct {
	AtSeconds float64
	// NewShare is the largest share of the next version at any daemon.
	NextShare float64
	// HeldBytes is held by all daemons together, TokensAgain is computed again
	// since the start.
	HeldBytes            int64
	TokensPrefilledAgain int64
}

// moveState follows one version move.
type moveState struct {
	began    time.Time
	deadline time.Time
	bad      bool
	// later is set when the version turns bad during the move.
	later bool
	// atBegin and atTurn are counts of requests; atTurn when it turned bad.
	atBegin, atTurn, atVerdict, atShown versionCounts
	verdict                             time.Time
	shown                               bool
	ended                               time.Time
	phase                               rollout.Phase
}

// versionCounts are requests that engines received.
type versionCounts struct{ next, all int64 }

type watch struct {
	mu          sync.Mutex
	samples     []Sample
	largestHeld int64
	// daemonHeld is the most that one daemon held at a time.
	daemonHeld int64
	// peakResident is the largest mean resident memory of daemons that are
	// processes, peakStreams the most requests that engines held at a time.
	peakResident float64
	peakStreams  int
	move         *moveState
}

// startWatch samples the fleet until the returned function is called.
func (r *run) startWatch(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		t := time.NewTicker(watchInterval)
		defer t.Stop()
		for {
			r.look(time.Now())
			select {
			case <-t.C:
			case <-ctx.Done():
				return
			}
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

func (r *run) versionCounts() versionCounts {
	var c versionCounts
	for _, e := range r.f.Engines {
		for v, n := range e.Stats().RequestsByVersion {
			c.all += n
			if v == "v2" {
				c.next += n
			}
		}
	}
	return c
}

func (r *run) look(now time.Time) {
	s := Sample{AtSeconds: now.Sub(r.began).Seconds()}
	var largest, most int64
	var alarm time.Time
	phases := map[rollout.Phase]int{}
	daemons := r.f.LiveDaemons()
	for _, d := range daemons {
		held := d.Entry().Held()
		s.HeldBytes += held.Total
		largest, most = max(largest, held.Largest), max(most, held.Total)
		view := d.Loop().Snapshot().Services[fleet.ModelService]
		if view == nil {
			continue
		}
		s.NextShare = max(s.NextShare, view.Shares["v2"])
		phases[view.Move.Phase]++
		if a := view.Move.Alarm; a != nil && (alarm.IsZero() || a.At.Before(alarm)) {
			alarm = a.At
		}
		if view.Move.Phase == rollout.PhaseRolledBack && alarm.IsZero() {
			alarm = now
		}
	}
	streams := 0
	for _, e := range r.f.Engines {
		st := e.Stats()
		s.TokensPrefilledAgain += st.PrefilledAgain
		streams += st.Running + st.Waiting
	}
	resident := r.resident()
	r.watch.mu.Lock()
	defer r.watch.mu.Unlock()
	w := &r.watch
	w.samples = append(w.samples, s)
	w.largestHeld, w.daemonHeld = max(w.largestHeld, largest), max(w.daemonHeld, most)
	w.peakResident, w.peakStreams = max(w.peakResident, resident), max(w.peakStreams, streams)
	m := w.move
	if m == nil {
		return
	}
	if !alarm.IsZero() && m.verdict.IsZero() {
		m.verdict, m.atVerdict = alarm, r.versionCounts()
	}
	if !m.verdict.IsZero() && !m.shown && now.Sub(m.verdict) >= afterShown {
		m.shown, m.atShown = true, r.versionCounts()
	}
	for _, p := range []rollout.Phase{rollout.PhaseDone, rollout.PhaseRolledBack} {
		if len(daemons) > 0 && phases[p] == len(daemons) && m.ended.IsZero() {
			m.ended, m.phase = now, p
		}
	}
}

// resident is the mean resident memory of daemons that are processes.
func (r *run) resident() float64 {
	if r.procs == nil {
		return 0
	}
	var sum float64
	for _, d := range r.procs.all {
		if _, rss, err := readProcess(d.cmd.Process.Pid); err == nil {
			sum += rss
		}
	}
	return sum / float64(len(r.procs.all))
}

// summariseWatch adds what the watch saw to the report.
func (r *run) summariseWatch() {
	r.watch.mu.Lock()
	defer r.watch.mu.Unlock()
	w := &r.watch
	r.report.Samples = w.samples
	if q := r.smallFirst.quantiles(); q.Count > 0 {
		r.extra["small_accounts_first_token_ms_p50"] = q.P50
		r.extra["small_accounts_first_token_ms_p95"] = q.P95
		r.extra["small_accounts_first_token_ms_max"] = q.Max
	}
	if q := r.smallBefore.quantiles(); q.Count > 0 {
		r.extra["small_accounts_first_token_ms_p95_before"] = q.P95
	}
	if r.procs == nil {
		r.extra["slow_reader_bytes_max"] = float64(w.largestHeld)
		r.extra["daemon_held_bytes_max"] = float64(w.daemonHeld)
	}
	if m := w.move; m != nil {
		r.summariseMove(m)
	}
	r.report.Extra = r.extra
	r.report.LoadAverage = loadAverage()
}

func (r *run) summariseMove(m *moveState) {
	x := r.extra
	end := r.versionCounts()
	if !m.ended.IsZero() {
		x["move_seconds"] = m.ended.Sub(m.began).Seconds()
	}
	if !m.bad {
		x["good_moves"] = 1
		x["good_moves_in_time"] = 0
		if m.phase == rollout.PhaseDone && !m.ended.After(m.deadline) {
			x["good_moves_in_time"] = 1
		}
		return
	}
	x["bad_moves"] = 1
	x["bad_moves_taken_back"] = 0
	if m.phase == rollout.PhaseRolledBack {
		x["bad_moves_taken_back"] = 1
	}
	until := end
	if !m.verdict.IsZero() {
		until = m.atVerdict
		x["verdict_seconds"] = m.verdict.Sub(m.began).Seconds()
		x["bad_requests_after_shown"] = 0
		if m.shown {
			x["bad_requests_after_shown"] = float64(end.next - m.atShown.next)
		}
	}
	if m.later {
		// The share of all requests since the move began that the version got
		// while it was bad, and its share while it was bad.
		x["bad_later_share_max"] = ratio(until.next-m.atTurn.next, until.all-m.atBegin.all)
		x["bad_later_share_while_bad"] = ratio(until.next-m.atTurn.next, until.all-m.atTurn.all)
		x["bad_requests"] = float64(until.next - m.atTurn.next)
		return
	}
	x["bad_share_max"] = ratio(until.next-m.atBegin.next, until.all-m.atBegin.all)
	x["bad_requests"] = float64(until.next - m.atBegin.next)
}

func ratio(part, all int64) float64 {
	if all == 0 {
		return 0
	}
	return float64(part) / float64(all)
}

// controlBytes returns the bytes on peer links of each live daemon.
func (r *run) controlBytes(ctx context.Context) map[string]float64 {
	out := map[string]float64{}
	for _, d := range r.f.LiveDaemons() {
		var sum float64
		for _, direction := range []string{"in", "out"} {
			v, ok := r.f.Metric(ctx, d, fmt.Sprintf("gooseberryroad_peer_bytes_total{direction=%q}", direction))
			if !ok {
				sum = -1
				break
			}
			sum += v
		}
		if sum >= 0 {
			out[d.OperatorAddress()] = sum
		}
	}
	return out
}

func (r *run) summariseControl(ctx context.Context, before map[string]float64, storeCalls int64, elapsed time.Duration) {
	// The run's own time may be used up.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	n, sum := 0, 0.0
	for address, now := range r.controlBytes(ctx) {
		if was, ok := before[address]; ok {
			sum += now - was
			n++
		}
	}
	if n > 0 {
		r.report.ControlBytesPerSecond = sum / float64(n) / elapsed.Seconds()
	}
	r.report.StoreCallsPerSecond = float64(r.f.Store.Stats().Calls()-storeCalls) / elapsed.Seconds()
}
