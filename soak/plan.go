package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of fault. Those of a link act on the proxy before an upstream, before
// a daemon's clients or other daemons, or before the store for one daemon.
const (
	Crash               Kind = "crash"      // an upstream ends and starts again under a new ID
	Leave               Kind = "leave"      // an upstream says that it leaves, and ends later
	Reset               Kind = "reset"      // all connections of a link are reset
	Delay               Kind = "delay"      // a link passes bytes on late
	DropToServer        Kind = "cut-forth"  // bytes towards the server vanish
	DropFromServer      Kind = "cut-back"   // bytes from the server vanish
	DropBoth            Kind = "silence"    // bytes both ways vanish, connections stay open
	RefuseCalls         Kind = "refuse"     // the store refuses every call
	LoseResponse        Kind = "lose"       // the store runs calls and cuts the connection
	Kill                Kind = "kill"       // a daemon is killed and started again
	Pause               Kind = "pause"      // a daemon is stopped and continued
	Terminate           Kind = "terminate"  // a daemon is asked to stop and started again
	Reload              Kind = "reload"     // a daemon's settings file changes, with SIGHUP
	RotateKey           Kind = "configure"  // the operator replaces the key of the account
	KillAll             Kind = "kill-all"   // all daemons are killed at once
	CrashDataCentre     Kind = "crash-zone" // all upstreams of a data centre crash at once
	MoveGood            Kind = "move-good"  // the operator moves a service to a version that works
	MoveBad             Kind = "move-bad"   // the operator moves a service to a version that fails
	ExpireRegistrations Kind = "lapse"      // the store is away, and the upstreams' entries lapse
	SendPoisonRequest   Kind = "crash-each" // a request that crashes each upstream is sent again and again
)

// Part is what a fault acts on.
type Component string

// The parts of the system.
const (
	Upstreams   Component = "upstream"
	StoreLinks  Component = "store-link"
	ClientLinks Component = "client-link"
	PeerLinks   Component = "peer-link"
	Daemons     Component = "daemon"
	StoreServer Component = "store"
	WholeSystem Component = "all"
)

type faultType struct {
	component Component
	kind      Kind
}

// choices are the faults that a plan draws from. Those that occur in most
// deployments every day stand more than once. Each list is drawn from a sequence
// of its own: kinds that are added get a new list, so that the seeds that are
// kept still play their faults.
var faultTypes = [][]faultType{
	{
		{Upstreams, Crash}, {Upstreams, Crash}, {Upstreams, Crash}, {Upstreams, Leave}, {Upstreams, Leave}, {Upstreams, Reset},
		{Upstreams, Delay}, {Upstreams, DropToServer}, {Upstreams, DropFromServer}, {Upstreams, DropBoth}, {Upstreams, DropBoth},
		{StoreLinks, Reset}, {StoreLinks, Delay}, {StoreLinks, DropToServer}, {StoreLinks, DropFromServer}, {StoreLinks, DropBoth},
		{ClientLinks, Reset}, {ClientLinks, Delay}, {ClientLinks, DropBoth},
		{Daemons, Kill}, {Daemons, Pause}, {Daemons, Terminate}, {Daemons, Terminate}, {Daemons, Reload}, {Daemons, Reload},
		{StoreServer, RefuseCalls}, {StoreServer, LoseResponse},
		{WholeSystem, RotateKey}, {WholeSystem, RotateKey}, {WholeSystem, KillAll}, {WholeSystem, CrashDataCentre}, {WholeSystem, CrashDataCentre},
	},
	{
		{PeerLinks, Reset}, {PeerLinks, Delay}, {PeerLinks, DropToServer}, {PeerLinks, DropFromServer}, {PeerLinks, DropBoth}, {PeerLinks, DropBoth},
		{StoreServer, ExpireRegistrations}, {StoreServer, ExpireRegistrations},
	},
	{{WholeSystem, MoveGood}, {WholeSystem, MoveGood}, {WholeSystem, MoveBad}, {WholeSystem, MoveBad}},
	{{WholeSystem, SendPoisonRequest}, {WholeSystem, SendPoisonRequest}, {WholeSystem, SendPoisonRequest}, {WholeSystem, SendPoisonRequest}},
}

// Fault is one fault of a plan.
type Fault struct {
	Component Component
	Kind      Kind
	// Target is the number of the part; faults of the whole have none.
	Target int
	// At counts from the start of the run.
	At, Length time.Duration
}

func (f Fault) String() string {
	return fmt.Sprintf("%s %s %d at %.1f s for %.1f s", f.Kind, f.Component, f.Target, f.At.Seconds(), f.Length.Seconds())
}

const (
	// minFault and maxFault bound the length of one fault. Crashes on the users'
	// sites last 1.2 s.
	minFault = 300 * time.Millisecond
	maxFault = 2500 * time.Millisecond
	// warmUp is the time before the first fault.
	warmUp = time.Second
	// DefaultRate is the number of faults in a second; those of the mean length
	// overlap with it.
	DefaultRate = 1.5
	// seriesShare is the share of faults that come again on the same part at once.
	repeatShare = 0.2
)

// Draw returns the faults of a seed, in the order of time. The same seed always
// gives the same plan.
func DrawPlan(seed uint64, o Options) []Fault {
	var plan []Fault
	for i, list := range faultTypes {
		share := float64(len(list)) / float64(len(faultTypes[0]))
		plan = append(plan, drawFaults(rand.New(rand.NewPCG(seed, uint64(i))), list, o.Rate*share, o)...)
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}

func drawFaults(random *rand.Rand, from []faultType, rate float64, o Options) []Fault {
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(max(high-low, 1))))
	}
	count := map[Component]int{Upstreams: o.engines() + o.PlainReplicas, StoreLinks: o.Daemons, ClientLinks: o.Daemons, PeerLinks: o.Daemons, Daemons: o.Daemons, StoreServer: 1, WholeSystem: 1}
	var plan []Fault
	for range int(rate * o.Length.Seconds()) {
		c := from[random.IntN(len(from))]
		f := Fault{Component: c.component, Kind: c.kind, Target: random.IntN(count[c.component]), At: between(warmUp, o.Length), Length: between(minFault, maxFault)}
		plan = append(plan, f)
		for random.Float64() < repeatShare {
			f.At += f.Length + between(0, minFault)
			if f.At < o.Length {
				plan = append(plan, f)
			}
		}
	}
	return plan
}
