package bench

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/gooseberryroad/gooseberryroad/fleet"
)

var scenarios = []Scenario{
	{
		Name: "steady", Help: "Load without faults.",
		Duration: 10 * time.Second, Fleet: standardFleet, Workload: standardLoad,
	},
	{
		Name: "engine-loss", Help: "One engine dies every two seconds and comes back a second later.",
		Duration: 15 * time.Second, Fleet: standardFleet, Workload: standardLoad,
		Faults: engineLosses,
	},
	{
		Name: "mass-loss", Help: "A third of the engines die at once.",
		Duration: 15 * time.Second, Fleet: standardFleet, Workload: standardLoad,
		Faults: massLoss,
	},
	{
		Name: "entry-loss", Help: "One daemon is killed every three seconds and another takes its place.",
		Duration: 15 * time.Second, Fleet: standardFleet, Workload: standardLoad,
		Faults: entryLosses,
	},
	{
		Name: "silent-connection", Help: "All open connections of one engine go silent every two seconds; new ones work.",
		Duration: 15 * time.Second, Fleet: standardFleet, Workload: standardLoad,
		Faults: silentConnections,
	},
	{
		Name: "paused-engine", Help: "One engine pauses for six seconds, then goes on.",
		Duration: 15 * time.Second, Fleet: standardFleet, Workload: standardLoad,
		Faults: pausedEngine,
	},
}

func init() {
	scenarios = append(append(append(scenarios, moveScenarios()...), trafficScenarios()...), quietNightScenario())
}

// standardFleet has the size of one of today's deployments.
var standardFleet = fleet.Options{Daemons: 6, Engines: 25, DataCentres: 4, Accounts: 10}

// standardLoad has a few large accounts among ten, and 8% long generations.
var standardLoad = Workload{
	PerSecond: 40, ShortTokens: 60, LongTokens: 800, LongShare: 0.08, PromptWords: 40,
	Weights: []float64{10, 8, 5, 1, 1, 1, 1, 1, 1, 1},
}

// Names returns the names of all scenarios in order.
func ScenarioNames() []string {
	var names []string
	for _, s := range scenarios {
		names = append(names, s.Name)
	}
	sort.Strings(names)
	return names
}

// Describe returns one line for each scenario.
func DescribeScenarios() []string {
	var lines []string
	for _, s := range scenarios {
		lines = append(lines, fmt.Sprintf("%-22s %s", s.Name, s.Help))
	}
	return lines
}

func find(name string) (Scenario, bool) {
	for _, s := range scenarios {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

func engineLosses(r *run, d time.Duration) []fault {
	var out []fault
	for at := 2 * time.Second; at < d; at += 2 * time.Second {
		e := r.f.Engines[r.rnd.IntN(len(r.f.Engines))]
		out = append(out,
			fault{at: at, name: "engine " + e.Name + " dies", do: func(context.Context) error { e.Crash("bench"); return nil }, engines: []*fleet.Engine{e}},
			fault{at: at + time.Second, name: "engine " + e.Name + " starts", do: func(context.Context) error { return e.Start() }})
	}
	return out
}

func massLoss(r *run, d time.Duration) []fault {
	var lost []*fleet.Engine
	for i := 0; i < len(r.f.Engines); i += 3 {
		lost = append(lost, r.f.Engines[i])
	}
	return []fault{{at: d / 3, name: "a third of the engines die", engines: lost, do: func(context.Context) error {
		for _, e := range lost {
			e.Crash("bench")
		}
		return nil
	}}}
}

func entryLosses(r *run, d time.Duration) []fault {
	var out []fault
	for i, at := 0, 3*time.Second; at < d; i, at = i+1, at+3*time.Second {
		out = append(out, fault{at: at, name: fmt.Sprintf("daemon %d is killed", i), daemon: r.f.CallerAddresses(i)[0], do: func(ctx context.Context) error {
			r.f.KillDaemon(i)
			_, err := r.f.AddDaemon(ctx)
			return err
		}})
	}
	return out
}

func silentConnections(r *run, d time.Duration) []fault {
	var out []fault
	for at := 2 * time.Second; at < d; at += 2 * time.Second {
		e := r.f.Engines[r.rnd.IntN(len(r.f.Engines))]
		out = append(out, fault{at: at, name: "connections of " + e.Name + " go silent", engines: []*fleet.Engine{e}, do: func(context.Context) error { e.HangOpenConnections(); return nil }})
	}
	return out
}

func pausedEngine(r *run, d time.Duration) []fault {
	e := r.f.Engines[0]
	return []fault{
		{at: d / 3, name: "engine " + e.Name + " pauses", engines: []*fleet.Engine{e}, do: func(context.Context) error { e.Pause(); return nil }},
		{at: d/3 + 6*time.Second, name: "engine " + e.Name + " goes on", do: func(context.Context) error { e.Continue(); return nil }},
	}
}
