package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of fault. Faults of a link act on a proxy: the one between the daemons
// and an upstream, the one through which clients or other daemons reach a daemon, or
// the one between a daemon and the store or the control service.
const (
	Crash               FaultKind = "crash"           // an upstream crashes and starts again under a new ID
	Drain               FaultKind = "leave"           // an upstream registers as draining and stops later
	Announce            FaultKind = "announce"        // an upstream says in its answers that it leaves, and stops later
	AskPause            FaultKind = "ask-pause"       // an upstream turns requests away and asks for a pause
	NameLimit           FaultKind = "limit"           // an upstream names in its answers how many requests a second it takes
	Reset               FaultKind = "reset"           // all connections of a link are reset
	Delay               FaultKind = "delay"           // a link forwards bytes late
	DropToServer        FaultKind = "cut-forth"       // bytes towards the server are dropped
	DropFromServer      FaultKind = "cut-back"        // bytes from the server are dropped
	DropBoth            FaultKind = "silence"         // bytes in both directions are dropped, connections stay open
	SilenceOpen         FaultKind = "mute"            // the open connections of a link go silent, new ones work
	RefuseCalls         FaultKind = "refuse"          // the store refuses every call
	LoseResponse        FaultKind = "lose"            // the store executes calls and cuts the connection
	Kill                FaultKind = "kill"            // a daemon is killed and started again
	Pause               FaultKind = "pause"           // a daemon gets SIGSTOP and later SIGCONT
	Terminate           FaultKind = "terminate"       // a daemon gets SIGTERM and is started again
	Reload              FaultKind = "reload"          // a daemon's settings file changes and it gets SIGHUP
	RotateKey           FaultKind = "configure"       // the operator replaces one of the account's two keys
	KillAll             FaultKind = "kill-all"        // all daemons are killed at once
	CrashDataCentre     FaultKind = "crash-zone"      // all upstreams of a data centre crash at once
	MoveGood            FaultKind = "move-good"       // the operator moves a service to a version that works
	MoveBad             FaultKind = "move-bad"        // the operator moves a service to a version that fails
	MoveAfterRevert     FaultKind = "move-again"      // a version that fails is reverted and stays registered during the next move
	BurstBodies         FaultKind = "bodies"          // a daemon gets long bodies without a length, more than its memory holds
	ExpireRegistrations FaultKind = "lapse"           // the store refuses calls, and the upstreams' registrations expire
	TurnAway            FaultKind = "turn-away"       // the control service answers every call with 429
	RestoreCopy         FaultKind = "restore"         // the store returns to an older copy, and what was lost is written again later
	SendPoisonRequest   FaultKind = "crash-each"      // a poison request, which crashes each upstream that runs it, is sent repeatedly
	RestoreAndRestart   FaultKind = "restore-restart" // as RestoreCopy, while daemons restart and links are cut
)

// ComponentType is a type of component of the system that faults act on.
type ComponentType string

// The types of component. WholeSystem stands for faults of several components.
const (
	Upstreams   ComponentType = "upstream"
	StoreLinks  ComponentType = "store-link"
	ClientLinks ComponentType = "client-link"
	PeerLinks   ComponentType = "peer-link"
	Daemons     ComponentType = "daemon"
	StoreServer ComponentType = "store"
	// ControlServer is the control service, ControlLinks are the daemons' ways to it.
	ControlServer ComponentType = "control"
	ControlLinks  ComponentType = "control-link"
	// StoreContent is what was written to the store, from a copy until all that a restore
	// lost was written again.
	StoreContent ComponentType = "store-content"
	WholeSystem  ComponentType = "all"
)

// faultType is a kind of fault of a type of component.
type faultType struct {
	component ComponentType
	kind      FaultKind
}

// faultTypes are the faults that a plan draws from. Those that occur in most
// deployments every day are listed more than once. Each list has a random sequence
// of its own. New kinds go into a new list, so that the seeds in testdata still give
// the same faults.
var faultTypes = [][]faultType{
	{
		{Upstreams, Crash}, {Upstreams, Crash}, {Upstreams, Crash}, {Upstreams, Drain}, {Upstreams, Drain}, {Upstreams, Reset},
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
	{{Upstreams, SilenceOpen}, {Upstreams, SilenceOpen}, {PeerLinks, SilenceOpen}, {StoreLinks, SilenceOpen}},
	{{WholeSystem, MoveAfterRevert}, {WholeSystem, MoveAfterRevert}, {Daemons, BurstBodies}, {Daemons, BurstBodies}},
	{{Upstreams, Announce}, {Upstreams, Announce}, {Upstreams, AskPause}, {Upstreams, AskPause}},
	{{Upstreams, NameLimit}, {Upstreams, NameLimit}},
	{{StoreServer, RestoreCopy}},
	{
		{ControlServer, TurnAway}, {ControlServer, RefuseCalls}, {ControlServer, LoseResponse},
		{ControlLinks, Reset}, {ControlLinks, Delay}, {ControlLinks, DropToServer}, {ControlLinks, DropFromServer}, {ControlLinks, DropBoth},
	},
}

// Fault is one fault of a plan.
type Fault struct {
	Component ComponentType
	Kind      FaultKind
	// Target is the number of the component; faults of the whole system ignore it.
	Target int
	// At is when the fault begins, counted from the start of the run, and Length how
	// long it lasts.
	At, Length time.Duration
}

func (f Fault) String() string {
	return fmt.Sprintf("%s %s %d at %.1f s for %.1f s", f.Kind, f.Component, f.Target, f.At.Seconds(), f.Length.Seconds())
}

const (
	// minFault and maxFault bound the length of one fault. A crash on the users' sites
	// lasts 1.2 s, which lies between them.
	minFault = 300 * time.Millisecond
	maxFault = 2500 * time.Millisecond
	// warmUp is the time before the first fault.
	warmUp = time.Second
	// DefaultRate is the number of faults per second. At this rate, faults of the mean
	// length overlap.
	DefaultRate = 1.5
	// repeatShare is the probability that a fault is repeated on the same component
	// soon after its end.
	repeatShare = 0.2
	// plannedSequence is the random sequence of planned work; lists of faultTypes have
	// those from 0. restoreSequence is that of restores, operatorSequence that of the
	// operator's changes, seedSequence that of the daemons' seeds.
	plannedSequence  = 1 << 20
	restoreSequence  = plannedSequence + 1
	operatorSequence = plannedSequence + 2
	seedSequence     = plannedSequence + 3
)

// DrawPlan returns the faults of a seed in the order of time. The same seed always
// gives the same plan.
func DrawPlan(seed uint64, o Options) []Fault {
	var plan []Fault
	for i, list := range faultTypes {
		share := float64(len(list)) / float64(len(faultTypes[0]))
		plan = append(plan, drawFaults(rand.New(rand.NewPCG(seed, uint64(i))), list, o.Rate*share, o)...)
	}
	plan = append(plan, drawFaults(rand.New(rand.NewPCG(seed, plannedSequence)), plannedWork, o.PlannedRate, o)...)
	plan = append(plan, drawFaults(rand.New(rand.NewPCG(seed, restoreSequence)), restoreWork, o.Restores, o)...)
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}

// drawFaults draws faults at a rate, in faults per second, from one list of types.
func drawFaults(random *rand.Rand, types []faultType, rate float64, o Options) []Fault {
	count := map[ComponentType]int{Upstreams: o.engines() + o.PlainReplicas, StoreLinks: o.Daemons, ClientLinks: o.Daemons, PeerLinks: o.Daemons, Daemons: o.Daemons, StoreServer: 1, ControlServer: 1, ControlLinks: o.Daemons, WholeSystem: 1}
	var plan []Fault
	for range int(rate * o.Length.Seconds()) {
		t := types[random.IntN(len(types))]
		f := Fault{Component: t.component, Kind: t.kind, Target: random.IntN(count[t.component]), At: randomTime(random, warmUp, o.Length), Length: randomTime(random, minFault, maxFault)}
		plan = append(plan, f)
		for random.Float64() < repeatShare {
			f.At += f.Length + randomTime(random, 0, minFault)
			if f.At < o.Length {
				plan = append(plan, f)
			}
		}
	}
	return plan
}
