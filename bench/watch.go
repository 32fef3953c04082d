package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/gooseberryroad/gooseberryroad/fleet"
	"github.com/gooseberryroad/gooseberryroad/rollout"
)

// sampleInterval is the time between two samples of the fleet's state. It bounds
// the delay with which a verdict and the end of a move are observed.
const sampleInterval = 50 * time.Millisecond

// verdictGrace is how long after the first verdict a bad version may still receive
// requests.
const verdictGrace = 2 * time.Second

// Sample is the state of the fleet at one time, for plots.
type Sample struct {
	AtSeconds float64
	// NextShare is the largest share of the next version at any daemon.
	NextShare float64
	// HeldBytes is the memory that all daemons together hold for callers.
	// TokensPrefilledAgain counts the tokens that all engines have prefilled again
	// since the fleet started.
	HeldBytes            int64
	TokensPrefilledAgain int64
}

// moveState records the observed progress of one version move.
type moveState struct {
	startedAt time.Time
	deadline  time.Time
	bad       bool
	// turnsBadLater is set when the version turns bad during the move.
	turnsBadLater bool
	// Request counts when the move started, when the version turned bad, at the
	// first verdict, and verdictGrace after it.
	atStart, atTurnBad, atVerdict, atGraceEnd versionCounts
	verdictAt                                 time.Time
	graceOver                                 bool
	endedAt                                   time.Time
	phase                                     rollout.Phase
}

// versionCounts are the numbers of requests that engines received for the next
// version and for all versions.
type versionCounts struct{ next, all int64 }

// observations are what sampleFleet has observed during a run.
type observations struct {
	mu      sync.Mutex
	samples []Sample
	// largestRequestHeld is the most memory in bytes that a daemon held for one
	// request, largestDaemonHeld the most that one daemon held for all its requests
	// at a time.
	largestRequestHeld int64
	largestDaemonHeld  int64
	// peakResidentBytes is the largest mean resident memory of daemons that run as
	// processes, peakStreams the most requests that engines held at a time.
	peakResidentBytes float64
	peakStreams       int
	move              *moveState
}

// startSampling samples the fleet periodically until the returned function is
// called.
func (r *run) startSampling(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		t := time.NewTicker(sampleInterval)
		defer t.Stop()
		for {
			r.sampleFleet(time.Now())
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
	for _, e := range r.fleet.Engines {
		for v, n := range e.Stats().RequestsByVersion {
			c.all += n
			if v == "v2" {
				c.next += n
			}
		}
	}
	return c
}

func (r *run) sampleFleet(now time.Time) {
	s := Sample{AtSeconds: now.Sub(r.startedAt).Seconds()}
	var largestRequest, largestDaemon int64
	var alarm time.Time
	phases := map[rollout.Phase]int{}
	daemons := r.fleet.LiveDaemons()
	for _, d := range daemons {
		held := d.Entry().Held()
		s.HeldBytes += held.Total
		largestRequest, largestDaemon = max(largestRequest, held.Largest), max(largestDaemon, held.Total)
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
	for _, e := range r.fleet.Engines {
		st := e.Stats()
		s.TokensPrefilledAgain += st.PrefilledAgain
		streams += st.Running + st.Waiting
	}
	resident := r.meanResidentBytes()
	r.observed.mu.Lock()
	defer r.observed.mu.Unlock()
	obs := &r.observed
	obs.samples = append(obs.samples, s)
	obs.largestRequestHeld, obs.largestDaemonHeld = max(obs.largestRequestHeld, largestRequest), max(obs.largestDaemonHeld, largestDaemon)
	obs.peakResidentBytes, obs.peakStreams = max(obs.peakResidentBytes, resident), max(obs.peakStreams, streams)
	m := obs.move
	if m == nil {
		return
	}
	if !alarm.IsZero() && m.verdictAt.IsZero() {
		m.verdictAt, m.atVerdict = alarm, r.versionCounts()
	}
	if !m.verdictAt.IsZero() && !m.graceOver && now.Sub(m.verdictAt) >= verdictGrace {
		m.graceOver, m.atGraceEnd = true, r.versionCounts()
	}
	for _, p := range []rollout.Phase{rollout.PhaseDone, rollout.PhaseRolledBack} {
		if len(daemons) > 0 && phases[p] == len(daemons) && m.endedAt.IsZero() {
			m.endedAt, m.phase = now, p
		}
	}
}

// meanResidentBytes returns the mean resident memory of daemons that run as
// processes, and 0 if there are none.
func (r *run) meanResidentBytes() float64 {
	if r.processes == nil {
		return 0
	}
	var sum float64
	for _, d := range r.processes.all {
		if _, rss, err := readProcess(d.cmd.Process.Pid); err == nil {
			sum += rss
		}
	}
	return sum / float64(len(r.processes.all))
}

// summariseSamples adds the observations of the run to the report.
func (r *run) summariseSamples() {
	r.observed.mu.Lock()
	defer r.observed.mu.Unlock()
	obs := &r.observed
	r.report.Samples = obs.samples
	if q := r.smallFirstToken.quantiles(); q.Count > 0 {
		r.extra["small_accounts_first_token_ms_p50"] = q.P50
		r.extra["small_accounts_first_token_ms_p95"] = q.P95
		r.extra["small_accounts_first_token_ms_max"] = q.Max
	}
	if q := r.smallFirstTokenBefore.quantiles(); q.Count > 0 {
		r.extra["small_accounts_first_token_ms_p95_before"] = q.P95
	}
	if r.processes == nil {
		r.extra["slow_reader_bytes_max"] = float64(obs.largestRequestHeld)
		r.extra["daemon_held_bytes_max"] = float64(obs.largestDaemonHeld)
	}
	if m := obs.move; m != nil {
		r.summariseMove(m)
	}
	r.report.Extra = r.extra
	r.report.LoadAverage = loadAverage()
}

func (r *run) summariseMove(m *moveState) {
	x := r.extra
	end := r.versionCounts()
	if !m.endedAt.IsZero() {
		x["move_seconds"] = m.endedAt.Sub(m.startedAt).Seconds()
	}
	if !m.bad {
		x["good_moves"] = 1
		x["good_moves_in_time"] = 0
		if m.phase == rollout.PhaseDone && !m.endedAt.After(m.deadline) {
			x["good_moves_in_time"] = 1
		}
		return
	}
	x["bad_moves"] = 1
	x["bad_moves_taken_back"] = 0
	if m.phase == rollout.PhaseRolledBack {
		x["bad_moves_taken_back"] = 1
	}
	atVerdictOrEnd := end
	if !m.verdictAt.IsZero() {
		atVerdictOrEnd = m.atVerdict
		x["verdict_seconds"] = m.verdictAt.Sub(m.startedAt).Seconds()
		x["bad_requests_after_shown"] = 0
		if m.graceOver {
			x["bad_requests_after_shown"] = float64(end.next - m.atGraceEnd.next)
		}
	}
	if m.turnsBadLater {
		// bad_later_share_max: the requests that the version received while it was
		// bad, as a share of all requests since the move began.
		// bad_later_share_while_bad: the same, as a share of all requests while it was
		// bad.
		x["bad_later_share_max"] = ratio(atVerdictOrEnd.next-m.atTurnBad.next, atVerdictOrEnd.all-m.atStart.all)
		x["bad_later_share_while_bad"] = ratio(atVerdictOrEnd.next-m.atTurnBad.next, atVerdictOrEnd.all-m.atTurnBad.all)
		x["bad_requests"] = float64(atVerdictOrEnd.next - m.atTurnBad.next)
		return
	}
	x["bad_share_max"] = ratio(atVerdictOrEnd.next-m.atStart.next, atVerdictOrEnd.all-m.atStart.all)
	x["bad_requests"] = float64(atVerdictOrEnd.next - m.atStart.next)
}

func ratio(part, all int64) float64 {
	if all == 0 {
		return 0
	}
	return float64(part) / float64(all)
}

// controlBytes returns the bytes that each live daemon has received and sent on
// peer links, by operator address. Daemons without the metric are left out.
func (r *run) controlBytes(ctx context.Context) map[string]float64 {
	out := map[string]float64{}
	for _, d := range r.fleet.LiveDaemons() {
		var sum float64
		for _, direction := range []string{"in", "out"} {
			v, ok := r.fleet.Metric(ctx, d, fmt.Sprintf("gooseberryroad_peer_bytes_total{direction=%q}", direction))
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

func (r *run) summariseControlTraffic(ctx context.Context, before map[string]float64, storeCalls int64, elapsed time.Duration) {
	// The run's own deadline may have passed.
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
	r.report.StoreCallsPerSecond = float64(r.fleet.Store.Stats().Calls()-storeCalls) / elapsed.Seconds()
}
