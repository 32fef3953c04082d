package bench

import (
	"context"
	"time"

	"github.com/gooseberryroad/gooseberryroad/fleet"
	"github.com/gooseberryroad/gooseberryroad/rollout"
	"github.com/gooseberryroad/gooseberryroad/standin"
)

// moveFleet has as many engines of the next version as of the serving one.
var moveFleet = fleet.Options{Daemons: 6, Engines: 13, NextEngines: 12, DataCentres: 4, Accounts: 10}

// moveLoad is enough for evidence on a share of a few percent within seconds.
var moveLoad = Workload{
	PerSecond: 120, ShortTokens: 25, LongTokens: 200, LongShare: 0.05, PromptWords: 40,
	Weights: standardLoad.Weights, ChatShare: 0.5,
}

const (
	// moveTime is the time that a move has; a run lasts a little longer.
	moveTime     = 20 * time.Second
	moveDuration = 23 * time.Second
	moveBegins   = time.Second
	// turnsBad is when a version turns bad later: during growth, which begins
	// after six tenths of the move.
	turnsBad = moveBegins + moveTime*3/4
)

func moveScenarios() []Scenario {
	move := func(name, help string, bad *standin.BadVersion, later bool) Scenario {
		return Scenario{
			Name: name, Help: help, Duration: moveDuration, Fleet: moveFleet, Workload: moveLoad,
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
	m := &moveState{bad: bad != nil, later: later}
	spoil := func() {
		if bad == nil {
			return
		}
		for _, e := range r.f.Engines {
			e.SetFaults(standin.EngineFaults{BadVersions: map[string]standin.BadVersion{"v2": *bad}})
		}
	}
	out := []fault{{at: moveBegins, name: "move to v2 is asked for", do: func(ctx context.Context) error {
		if !later {
			spoil()
		}
		// The document holds whole seconds.
		m.began = time.Now()
		m.deadline = m.began.Add(moveTime).Truncate(time.Second).Add(time.Second)
		m.atBegin = r.versionCounts()
		r.watch.mu.Lock()
		r.watch.move = m
		r.watch.mu.Unlock()
		return r.f.Apply(ctx, fleet.ModelService, r.f.Document(fleet.Versions{Serving: "v1", Next: "v2", Deadline: m.deadline, Warm: time.Second}))
	}}}
	if later {
		out = append(out, fault{at: turnsBad, name: "v2 turns bad", do: func(context.Context) error {
			r.watch.mu.Lock()
			m.atTurn = r.versionCounts()
			r.watch.mu.Unlock()
			spoil()
			return nil
		}})
	}
	return out
}

// awaitMove waits until all daemons agree on the end of the move, and for the
// time after a verdict in which requests of a bad version are counted.
func awaitMove(ctx context.Context, r *run) error {
	ctx, cancel := context.WithTimeout(ctx, 8*time.Second)
	defer cancel()
	// A move that does not end is a result and no failure of the run.
	_ = r.f.WaitFor(ctx, func() bool {
		r.watch.mu.Lock()
		defer r.watch.mu.Unlock()
		m := r.watch.move
		return m != nil && !m.ended.IsZero() && (m.phase == rollout.PhaseDone || m.shown)
	})
	return nil
}
