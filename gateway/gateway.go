package gateway

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryroad/gooseberryroad/cutover"
	"github.com/gooseberryroad/gooseberryroad/directory"
	"github.com/gooseberryroad/gooseberryroad/drain"
	"github.com/gooseberryroad/gooseberryroad/placement"
	"github.com/gooseberryroad/gooseberryroad/quarantine"
	"github.com/gooseberryroad/gooseberryroad/registry"
	"github.com/gooseberryroad/gooseberryroad/retrybudget"
)

// Gateway is an http.Handler for the requests of clients.
type Gateway struct {
	o       Options
	started time.Time
	// stop is nil until the daemon is asked to stop.
	stop atomic.Pointer[drain.Plan]
	// streams is the number of running streams.
	streams atomic.Int64
	bodies  memory

	mu      sync.Mutex
	rnd     *rand.Rand
	board   *placement.Tracker
	budgets map[string]*retrybudget.Budget
	// cutovers holds the moves between versions, by service.
	cutovers map[string]*cutover.Cutover
	// usual is the usual latency of each route: to the whole answer, or to the
	// first event of a stream.
	usual map[string]time.Duration
	// crashes counts the upstreams that a content crashed.
	crashes *quarantine.CrashLog
	// adopted holds the engines that are used at the addresses of registered ones,
	// adopting the IDs of those for which a successor is looked for.
	adopted  registry.Takeovers
	adopting map[string]bool
}

// New returns a gateway.
func New(o Options) *Gateway {
	return &Gateway{
		o: o, started: time.Now(), rnd: o.Rand,
		board:   placement.NewTracker(o.DataCentre, o.Rand),
		budgets: map[string]*retrybudget.Budget{}, cutovers: map[string]*cutover.Cutover{},
		bodies:   memory{limit: o.MaxHeldBodyBytes},
		crashes:  quarantine.NewCrashLog(quarantine.CrashLogOptions{}),
		adopting: map[string]bool{}, usual: map[string]time.Duration{},
	}
}

// Stop makes the gateway close each connection after its answer and take only
// what the plan takes.
func (g *Gateway) Drain(p drain.Plan) { g.stop.Store(&p) }

// closeWhenStopping makes an answer that has not begun the last one of its
// connection.
func (g *Gateway) closeWhenStopping(h http.Header) {
	if g.stop.Load() != nil {
		h.Set("Connection", "close")
	}
}

// Streams returns the number of running streams.
func (g *Gateway) RunningStreams() int { return int(g.streams.Load()) }

// SetBudget changes the fleet's retry budget.
func (g *Gateway) SetBudget(o retrybudget.Options) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.o.Budget = o
	for _, b := range g.budgets {
		b.SetOptions(o)
	}
}

// OnView takes the registered upstreams, the orders and the crashes of a new view.
func (g *Gateway) OnView(v *directory.View) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.board.SetRegistered(v.All)
	g.followCutovers(v, time.Now())
	g.forgetRoutes(v)
	g.adopted.DropUnregistered(v.All)
	g.crashes.Merge(v.Crashes, time.Now())
}

// forgetRoutes drops the latencies of routes that were removed. The lock is
// held.
func (g *Gateway) forgetRoutes(v *directory.View) {
	for name := range g.usual {
		if v.Table == nil || !v.Table.HasRoute(name) {
			delete(g.usual, name)
		}
	}
}

func (g *Gateway) pick() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rnd.Float64()
}

// rank orders the usable upstreams of a service, without the excluded ones.
func (g *Gateway) rank(r *request, excluded map[string]bool) []placement.Ranked {
	all := g.o.Directory.View().Upstreams[r.service]
	g.mu.Lock()
	defer g.mu.Unlock()
	candidates := g.adopted.Apply(g.ofVersion(r, all))
	if len(excluded) > 0 {
		candidates = slices.DeleteFunc(slices.Clone(candidates), func(in registry.Instance) bool { return excluded[in.ID] })
	}
	return g.board.Rank(candidates, r.remoteBias(), time.Now())
}

// onBoard runs f with the board locked.
func (g *Gateway) onBoard(f func(*placement.Tracker)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.board)
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

// allowRepeat takes a repeat from the retry budget.
func (g *Gateway) allowRepeat(service string, use retrybudget.Purpose) bool {
	daemons := g.o.Directory.View().Daemons
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget(service).Allow(time.Since(g.started), daemons, use)
}
