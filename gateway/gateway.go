package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/cutover"
	"github.com/gooseberryroad/gooseberryroad/directory"
	"github.com/gooseberryroad/gooseberryroad/drain"
	"github.com/gooseberryroad/gooseberryroad/headroom"
	"github.com/gooseberryroad/gooseberryroad/internal/clientconn"
	"github.com/gooseberryroad/gooseberryroad/placement"
	"github.com/gooseberryroad/gooseberryroad/quarantine"
	"github.com/gooseberryroad/gooseberryroad/registry"
	"github.com/gooseberryroad/gooseberryroad/retrybudget"
	"github.com/gooseberryroad/gooseberryroad/sizing"
)

// Gateway is the http.Handler that serves the requests of clients.
type Gateway struct {
	o       Options
	started time.Time
	// drainPlan is nil until the daemon is asked to stop.
	drainPlan atomic.Pointer[drain.Plan]
	// stopEnds ends when the requests that still run in a stop have to be answered.
	stopEnds  context.Context
	endOfStop context.CancelFunc
	// runningStreams is the number of streams that are being served.
	runningStreams atomic.Int64
	heldBodies     byteLimiter
	demand         demandMeter

	mu      sync.Mutex
	rnd     *rand.Rand
	tracker *placement.Tracker
	budgets map[string]*retrybudget.Budget
	// headroom estimates times to the first event. pacedAt is when an upstream of a service
	// last reported a pace. lines order the streams that wait for the retry budget.
	headroom *headroom.Tracker
	pacedAt  map[string]time.Time
	lines    map[string]*headroom.Line
	// cutovers holds the moves between versions, by service.
	cutovers map[string]*cutover.Cutover
	// rejected holds the versions that get no requests because an earlier order reverted
	// them, by service; verdicts holds this daemon's part of it, and rejectedInStore what is
	// noted in the store.
	rejected, verdicts, rejectedInStore map[string]cutover.Rejected
	// unconfirmed says of which services the order is in force although the store lost it.
	unconfirmed map[string]bool
	// meters measure the traffic of each service.
	meters map[string]*cutover.Meter
	// usualLatency is the moving average of each route's latency: to the complete
	// response, or to the first event of a stream.
	usualLatency map[string]time.Duration
	// gates decide what part of the requests for a plain service are sent, for the services
	// whose upstreams reported a pace.
	gates map[string]*serviceGate
	// crashes counts the upstreams that crashed as they began to run the same
	// content.
	crashes *quarantine.CrashLog
	// partCrashes finds parts of prompts that crash upstreams. partReportRevisions
	// holds the revisions of the reports of other daemons that it has.
	partCrashes         *quarantine.PartLog
	partReportRevisions map[string]uint64
	// partCrashesResumed is set once the crashes that an earlier process of this daemon
	// published are taken over.
	partCrashesResumed bool
	// adopted holds the engines that are used in place of registered ones at the
	// same address. adoptionsRunning holds the IDs of registered engines for which
	// adopt is running.
	adopted          registry.Takeovers
	adoptionsRunning map[string]bool
	// backgroundStops holds the runs that are being stopped in the background.
	backgroundStops map[backgroundStopKey]backgroundStop

	// forwarder is nil if requests are not forwarded to other daemons.
	forwarder *forwarder
	// runningForwarded is the number of requests of other daemons that are being served.
	runningForwarded atomic.Int64
}

// New returns a gateway that has no view of the directory yet.
func New(o Options) *Gateway {
	stopEnds, endOfStop := context.WithCancel(context.Background())
	g := &Gateway{
		o: o, started: time.Now(), rnd: o.Rand, stopEnds: stopEnds, endOfStop: endOfStop,
		tracker:  placement.NewTracker(o.DataCentre, o.Rand),
		headroom: headroom.NewTracker(), pacedAt: map[string]time.Time{}, lines: map[string]*headroom.Line{},
		demand:  demandMeter{meter: sizing.NewMeter(o.DataCentre, time.Now())},
		budgets: map[string]*retrybudget.Budget{}, cutovers: map[string]*cutover.Cutover{},
		verdicts:    map[string]cutover.Rejected{},
		meters:      map[string]*cutover.Meter{},
		gates:       map[string]*serviceGate{},
		heldBodies:  byteLimiter{limit: o.MaxHeldBodyBytes, headLimit: o.MaxHeldHeadBytes},
		crashes:     quarantine.NewCrashLog(quarantine.CrashLogOptions{}),
		partCrashes: quarantine.NewPartLog(quarantine.PartLogOptions{}), partReportRevisions: map[string]uint64{},
		adoptionsRunning: map[string]bool{}, backgroundStops: map[backgroundStopKey]backgroundStop{}, usualLatency: map[string]time.Duration{},
	}
	if o.Forward != nil {
		g.forwarder = newForwarder(g, *o.Forward)
	}
	return g
}

// Memory returns the account of what is held for clients.
func (g *Gateway) Memory() clientconn.Memory { return &g.heldBodies }

// Drain makes the gateway close each client connection after the response to the last
// request that has arrived on it, admit only the requests that the plan allows, and answer
// those that still run before their connections are cut. It is called once.
func (g *Gateway) Drain(p drain.Plan) {
	g.drainPlan.Store(&p)
	time.AfterFunc(time.Until(p.AnswerBy()), g.endOfStop)
}

// errStopEnds ends the requests that still run at the end of a stop.
var errStopEnds = eris.New("the stop of the daemon ends")

// endWithStop returns a context of a request that is cancelled at the end of a stop, when
// requests that still run have to be answered, if mayEnd returns true then. The caller must
// call the returned function when the request has ended.
func (g *Gateway) endWithStop(ctx context.Context, mayEnd func() bool) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	unregister := context.AfterFunc(g.stopEnds, func() {
		if mayEnd() {
			cancel(errStopEnds)
		}
	})
	return ctx, func() {
		unregister()
		cancel(nil)
	}
}

// RunningStreams returns the number of streams that are being served.
func (g *Gateway) RunningStreams() int { return int(g.runningStreams.Load()) }

// SetRetryBudget changes the options of the fleet's retry budget.
func (g *Gateway) SetRetryBudget(o retrybudget.Options) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.o.Budget = o
	for _, b := range g.budgets {
		b.SetOptions(o)
	}
}

// OnView updates the gateway from a new view: the registered upstreams, the
// cutover orders and the crash counts of other daemons.
func (g *Gateway) OnView(v *directory.View) {
	g.forwarder.onView(v)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.SetRegistered(v.All)
	g.tracker.SetDaemons(v.Peers, g.o.Name, time.Now())
	g.tracker.DropNotices(v.All, time.Now())
	limitedUpstreams.Set(float64(g.tracker.LimitedUpstreams()))
	g.updateCutovers(v, time.Now())
	g.updateGates(v)
	g.forgetRemovedRoutes(v)
	g.retainHeadroom(v)
	g.adopted.DropUnregistered(v.All)
	g.crashes.Merge(v.Crashes, time.Now())
	g.updatePartReports(v)
}

// forgetRemovedRoutes deletes the latencies and rates of routes that are no longer
// configured. The caller holds g.mu.
func (g *Gateway) forgetRemovedRoutes(v *directory.View) {
	for name := range g.usualLatency {
		if v.Table == nil || !v.Table.HasRoute(name) {
			delete(g.usualLatency, name)
		}
	}
	for service, m := range g.meters {
		m.Retain(func(route string) bool { return v.Table != nil && v.Table.Sends(route, service) })
	}
}

func (g *Gateway) randomFloat() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rnd.Float64()
}

// rank returns the usable upstreams of the request's service and version, best
// first, without the excluded ones.
func (g *Gateway) rank(r *request, excluded map[string]bool) []placement.Ranked {
	all := g.o.Directory.View().Upstreams[r.service]
	g.mu.Lock()
	defer g.mu.Unlock()
	candidates := g.adopted.Apply(g.ofVersion(r, all))
	if len(excluded) > 0 {
		candidates = slices.DeleteFunc(slices.Clone(candidates), func(in registry.Instance) bool { return excluded[in.ID] })
	}
	now := time.Now()
	g.countWithdrawn(candidates, now)
	return g.tracker.Rank(candidates, r.remoteBias(), now)
}

// withTracker calls f with g.mu held.
func (g *Gateway) withTracker(f func(*placement.Tracker)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.tracker)
}

func (g *Gateway) budget(service string) *retrybudget.Budget {
	b := g.budgets[service]
	if b == nil {
		b = retrybudget.New(g.o.Budget)
		g.budgets[service] = b
	}
	return b
}

// countRequest counts a client's request for the retry budget.
func (g *Gateway) countRequest(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(service).Request(time.Since(g.started))
}

// allowRetry reports whether the retry budget allows a retry, and counts the
// retry if so.
func (g *Gateway) allowRetry(service string, purpose retrybudget.Purpose) bool {
	daemons := g.o.Directory.View().Daemons
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget(service).Allow(time.Since(g.started), daemons, purpose)
}
