package bench

import (
	"context"
	"time"

	"github.com/gooseberryroad/gooseberryroad/fleet"
	"github.com/gooseberryroad/gooseberryroad/rollout"
	"github.com/gooseberryroad/gooseberryroad/standin"
)

// moveFleet has about as many engines of the next version as of the serving one.
var moveFleet = fleet.Options{Daemons: 6, Engines: 13, NextEngines: 12, DataCentres: 4, Accounts: 10}

// moveLoad sends enough requests to judge, within seconds, a version that gets a
// share of a few percent.
var moveLoad = Workload{
	PerSecond: 120, ShortTokens: 25, LongTokens: 200, LongShare: 0.05, PromptWords: 40,
	Weights: standardLoad.Weights, ChatShare: 0.5,
}

const (
	// moveTimeLimit is the time from the start of a move to its deadline; a run
	// lasts a little longer.
	moveTimeLimit   = 20 * time.Second
	moveRunDuration = 23 * time.Second
	moveStart       = time.Second
	// turnsBadAt is when a version turns bad in the scenario bad-move-later. It lies
	// in the growth phase, which begins after six tenths of the move.
	turnsBadAt = moveStart + moveTimeLimit*3/4
)

func moveScenarios() []Scenario {
	move := func(name, help string, bad *standin.BadVersion, later bool) Scenario {
		return Scenario{
			Name: name, Help: help, Duration: moveRunDuration, Fleet: moveFleet, Workload: moveLoad,
			Faults: func(r *run, _ time.Duration) []fault { return moveFaults(r, bad, later) },
			Finish: awaitMove,
		}
	}
	return []Scenario{
		move("good-move", "A good version takes over.", nil, false),
		move("bad-move-fails", "The next version fails every request.", &standin.BadVersion{Mode: standin.BadFails}, false),
		move("bad-move-slow", "The next version is four times as slow.", &standin.BadVersion{Mode: standin.BadSlow}, false),
		move("bad-move-later", "The next version fails every request once it gets a larger share.", &standin.BadVersion{Mode: standin.BadFails}, true),
		move("bad-move-under-load", "The next version fails while an engine holds more than one request.", &standin.BadVersion{Mode: standin.BadFails, AboveLoad: 1}, false),
		move("bad-move-one-route", "The next version fails on the chat route only.", &standin.BadVersion{Mode: standin.BadFails, Route: standin.RouteChat}, false),
	}
}

func moveFaults(r *run, bad *standin.BadVersion, later bool) []fault {
	m := &moveState{bad: bad != nil, turnsBadLater: later}
	setBadVersion := func() {
		if bad == nil {
			return
		}
		for _, e := range r.fleet.Engines {
			e.SetFaults(standin.EngineFaults{BadVersions: map[string]standin.BadVersion{"v2": *bad}})
		}
	}
	out := []fault{{at: moveStart, name: "move to v2 is asked for", inject: func(ctx context.Context) error {
		if !later {
			setBadVersion()
		}
		// Deadlines in documents have a resolution of one second, so it is rounded up.
		m.startedAt = time.Now()
		m.deadline = m.startedAt.Add(moveTimeLimit).Truncate(time.Second).Add(time.Second)
		m.atStart = r.versionCounts()
		r.observed.mu.Lock()
		r.observed.move = m
		r.observed.mu.Unlock()
		return r.fleet.Apply(ctx, fleet.ModelService, r.fleet.Document(fleet.Versions{Serving: "v1", Next: "v2", Deadline: m.deadline, Warm: time.Second}))
	}}}
	if later {
		out = append(out, fault{at: turnsBadAt, name: "v2 turns bad", inject: func(context.Context) error {
			r.observed.mu.Lock()
			m.atTurnBad = r.versionCounts()
			r.observed.mu.Unlock()
			setBadVersion()
			return nil
		}})
	}
	return out
}

// awaitMove waits until all daemons report the end of the move and, unless it was
// completed, until verdictGrace after the verdict. It waits at most 8 s.
func awaitMove(ctx context.Context, r *run) error {
	ctx, cancel := context.WithTimeout(ctx, 8*time.Second)
	defer cancel()
	// A move that does not end is a result, not an error of the run.
	_ = r.fleet.WaitFor(ctx, func() bool {
		r.observed.mu.Lock()
		defer r.observed.mu.Unlock()
		m := r.observed.move
		return m != nil && !m.endedAt.IsZero() && (m.phase == rollout.PhaseDone || m.graceOver)
	})
	return nil
}
