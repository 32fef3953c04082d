// Package entry is the front end for callers of model services. For each
// request, one goroutine passes events to a recovery.Generation and performs the
// actions that it returns; a second goroutine writes a streamed answer to the
// caller.
package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gin-gonic/gin"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/gooseberryroad/gooseberryroad/cursor"
	"github.com/gooseberryroad/gooseberryroad/engine"
	"github.com/gooseberryroad/gooseberryroad/node"
	"github.com/gooseberryroad/gooseberryroad/recovery"
	"github.com/gooseberryroad/gooseberryroad/routing"
)

// Options configure an Entry. Snapshot, Clients and Sealer are required.
type Options struct {
	// Daemon, DataCentre and Region name this process and where it runs.
	Daemon     string
	DataCentre string
	Region     string
	Snapshot   func() *node.Snapshot
	// Clients holds the engine drivers by module ID.
	Clients map[string]engine.Client
	Sealer  *cursor.Sealer
	// CursorLifetime is how long a caller may reconnect with a cursor; default
	// 10 min.
	CursorLifetime time.Duration
	Logger         *slog.Logger
	// Report is called with the result of each attempt. It must not block.
	Report func(Result)
	// OnAdopted is called when a caller continues, at this daemon, a generation
	// that began at the named daemon. The named daemon should then call
	// Entry.GenerationAdopted. Optional.
	OnAdopted func(daemon, generation string)
	// Now and AfterFunc replace the clock; the defaults are those of package time.
	Now       func() time.Time
	AfterFunc func(time.Duration, func()) (stop func() bool)
	// Seed makes the random choices of upstreams and backoff repeatable.
	Seed uint64
	// MaxHeldBytes limits the bytes held for all callers. A request that arrives
	// above the limit is refused. Default 64 MB.
	MaxHeldBytes int64
	// WindowBytes limits the bytes of tokens that are received from an engine but
	// not yet written to the caller; default 8 KB, about a minute of output.
	WindowBytes int
	// WriteTimeout is how long one write to a caller may block before the
	// connection is closed; default 2 min. The caller may reconnect with its
	// cursor.
	WriteTimeout time.Duration
	// AbandonGrace is how long an attempt keeps running after its caller
	// disconnected, so that the caller may reconnect; default 15 s.
	AbandonGrace time.Duration
	Recovery     recovery.Options
	Pacer        recovery.PacerOptions
	// RetryShare and RetryBurst limit retries of requests of which nothing was
	// delivered: each request adds RetryShare retries to the budget, which holds
	// at most RetryBurst. Defaults 0.1 and 32.
	RetryShare float64
	RetryBurst int
	Tracer     trace.TracerProvider
	// Quarantine prevents requests that crash engines from running again; nil
	// disables it.
	Quarantine Quarantine
}

// Result describes one attempt at one upstream.
type Result struct {
	Service, Version, Route, Upstream, Account string
	// Outcome is one of the Outcome constants.
	Outcome string
	// Status is the HTTP status of the engine's refusal; 0 if it did not refuse.
	Status  int
	EndedAt time.Time
	// FirstToken is the time from the start of the attempt to its first token;
	// zero if no token came or the attempt began at another daemon.
	FirstToken time.Duration
	// BetweenTokens is the mean time between tokens; zero for fewer than two
	// tokens.
	BetweenTokens time.Duration
	Tokens        int
	// Truncated is set when the attempt was lost after some of its tokens, Empty
	// when a complete answer has no token.
	Truncated, Empty bool
	// UpstreamLost is set when the outcome is OutcomeLost, for example because
	// the engine went silent, closed the connection or no longer knew the
	// generation.
	UpstreamLost bool
	// Poison marks requests that crash upstreams. Entry never sets it.
	Poison bool
	// BodyHash identifies the content of the request; see hashBody.
	BodyHash [16]byte
}

// Outcomes of an attempt. OutcomeCancelled means that the caller disconnected,
// OutcomeHandedOver that the caller continues the generation at another daemon.
const (
	OutcomeComplete   = "complete"
	OutcomeLost       = "lost"
	OutcomeRefused    = "refused"
	OutcomeCancelled  = "cancelled"
	OutcomeHandedOver = "handed_over"
)

// Entry serves callers of model services. It is safe for concurrent use.
type Entry struct {
	o        Options
	log      *slog.Logger
	tracer   trace.Tracer
	set      *metrics.Set
	counters counters

	ids      atomic.Uint64
	draining atomic.Bool
	held     heldBytes
	inflight attemptCounts
	// suspects counts, by upstream, the requests that lost an engine and run
	// without a trial.
	suspects  attemptCounts
	admission serviceAdmissions
	avoided   avoidedUpstreams
	pacer     pacer
	cancels   canceller

	mu          sync.Mutex
	budget      *recovery.RetryBudget
	generations map[uint64]*generation
	abandoned   map[string]func() bool // stops the grace timer, by generation ID
	idle        chan struct{}          // closed when draining and nothing runs
}

// New returns an Entry.
func New(o Options) *Entry {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.AfterFunc == nil {
		o.AfterFunc = func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop }
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Report == nil {
		o.Report = func(Result) {}
	}
	if o.OnAdopted == nil {
		o.OnAdopted = func(string, string) {}
	}
	if o.Tracer == nil {
		o.Tracer = noop.NewTracerProvider()
	}
	orDefault(&o.CursorLifetime, 10*time.Minute)
	orDefault(&o.MaxHeldBytes, 64<<20)
	orDefault(&o.WindowBytes, 8<<10)
	orDefault(&o.WriteTimeout, 2*time.Minute)
	orDefault(&o.AbandonGrace, 15*time.Second)
	orDefault(&o.RetryShare, 0.1)
	orDefault(&o.RetryBurst, 32)
	e := &Entry{
		o: o, log: o.Logger.With("part", "entry"), tracer: o.Tracer.Tracer("gooseberryroad/entry"),
		set:         metrics.NewSet(),
		budget:      recovery.NewRetryBudget(o.RetryShare, o.RetryBurst),
		generations: map[uint64]*generation{},
		abandoned:   map[string]func() bool{},
		idle:        make(chan struct{}),
	}
	e.held.accounts = map[string]int64{}
	e.inflight.byUpstream = map[string]int{}
	e.suspects.byUpstream = map[string]int{}
	e.admission = serviceAdmissions{e: e, services: map[string]*serviceAdmission{}}
	e.avoided.until = map[string]time.Time{}
	e.pacer = pacer{e: e, inner: recovery.NewPacer(o.Now(), o.Pacer), waiting: map[uint64]chan<- struct{}{}}
	e.cancels.e = e
	e.counters.init(e)
	return e
}

func orDefault[T comparable](dst *T, def T) {
	var zero T
	if *dst == zero {
		*dst = def
	}
}

// Register adds the routes of model services to r.
func (e *Entry) Register(r gin.IRouter) {
	r.POST("/v1/chat/completions", func(c *gin.Context) { e.serve(c, routeChat) })
	r.POST("/v1/completions", func(c *gin.Context) { e.serve(c, routeCompletions) })
}

// Handler returns a handler that serves only the routes of Register.
func (e *Entry) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	r := gin.New()
	r.HandleMethodNotAllowed = true
	r.NoRoute(func(c *gin.Context) {
		refuse(c, refusal{Status: http.StatusNotFound, Code: "unknown_route", Outcome: recovery.OutcomeNotRun, Message: "no such route"})
	})
	r.NoMethod(func(c *gin.Context) {
		refuse(c, refusal{Status: http.StatusMethodNotAllowed, Code: "unknown_method", Outcome: recovery.OutcomeNotRun, Message: "no such method on this route"})
	})
	e.Register(r)
	return r
}

// sendBufferBytes is the send buffer requested for each caller connection; Linux
// allocates twice as much. The default buffer grows to megabytes for a caller
// that does not read.
const sendBufferBytes = 8 << 10

// ConnContext limits the kernel's send buffer of a caller connection. Set it as
// http.Server.ConnContext.
func (e *Entry) ConnContext(ctx context.Context, c net.Conn) context.Context {
	if tcp, ok := c.(interface{ SetWriteBuffer(int) error }); ok {
		if err := tcp.SetWriteBuffer(sendBufferBytes); err != nil {
			e.log.Warn("cannot limit the send buffer of a caller connection", "err", err)
		}
	}
	return ctx
}

// Metrics returns the metrics of this Entry.
func (e *Entry) Metrics() *metrics.Set { return e.set }

// Drain refuses new requests and returns once none runs. If ctx ends first, it
// ends the remaining streams with a cursor, so that their callers continue at
// other daemons. Answers that are not streamed have no cursor; they run until
// they end, at the latest at the service's time limit, or until EndAll.
func (e *Entry) Drain(ctx context.Context) {
	e.mu.Lock()
	if !e.draining.Swap(true) && len(e.generations) == 0 {
		close(e.idle)
	}
	e.mu.Unlock()
	select {
	case <-e.idle:
		return
	case <-ctx.Done():
	}
	e.endWhere(func(g *generation) bool { return g.request.stream })
	<-e.idle
}

// EndAll ends all running requests: streams with a cursor, other answers with a
// refusal. A running Drain then returns.
func (e *Entry) EndAll() { e.endWhere(func(*generation) bool { return true }) }

func (e *Entry) endWhere(which func(*generation) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range e.generations {
		if which(g) {
			g.requestHandOver()
		}
	}
}

// Running returns the number of requests that run or wait for admission.
func (e *Entry) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.generations)
}

// addRunning counts a request as running; it returns false while draining.
func (e *Entry) addRunning(g *generation) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining.Load() {
		return false
	}
	e.generations[g.id] = g
	return true
}

func (e *Entry) removeRunning(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.generations, g.id)
	if e.draining.Load() && len(e.generations) == 0 {
		close(e.idle)
	}
}

// GenerationAdopted must be called when another daemon continues a generation of
// this daemon. Its attempt is then no longer cancelled here, and a connection of its
// caller that is still open here is closed. Otherwise this daemon might move the
// generation and cancel the attempt that the other daemon continues.
func (e *Entry) GenerationAdopted(generation string) { e.adoptedExcept(generation, 0) }

// adoptedExcept does what GenerationAdopted does, but leaves the request with the
// given ID running.
func (e *Entry) adoptedExcept(generation string, except uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if stop, ok := e.abandoned[generation]; ok {
		stop()
		delete(e.abandoned, generation)
	}
	for id, g := range e.generations {
		if id != except && g.generationID == generation {
			signal(g.adoptedElsewhere)
		}
	}
}

// cancelAfterGrace calls cancel after AbandonGrace unless the generation is
// adopted before.
func (e *Entry) cancelAfterGrace(generation string, cancel func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abandoned[generation] = e.o.AfterFunc(e.o.AbandonGrace, func() {
		e.mu.Lock()
		_, ok := e.abandoned[generation]
		delete(e.abandoned, generation)
		e.mu.Unlock()
		if ok {
			cancel()
		}
	})
}

// trySpendRetry takes a retry from the budget and reports whether one was left.
func (e *Entry) trySpendRetry() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget.TrySpend()
}

func (e *Entry) countRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget.CountRequest()
}

func (e *Entry) random(id uint64) *mathrand.Rand {
	return mathrand.New(mathrand.NewPCG(e.o.Seed, id))
}

// newID returns a random ID that is unique among all daemons.
func newID() string {
	var b [8]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// attemptCounts counts this daemon's attempts by upstream. Upstreams without
// attempts have no entry.
type attemptCounts struct {
	mu         sync.Mutex
	byUpstream map[string]int
}

func (f *attemptCounts) add(upstream string, d int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byUpstream[upstream] += d; f.byUpstream[upstream] == 0 {
		delete(f.byUpstream, upstream)
	}
}

func (f *attemptCounts) get(upstream string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byUpstream[upstream]
}

// reserve picks an upstream without counted attempts, or any other if there is
// none, and counts an attempt there under the same lock, so that two concurrent
// requests cannot both pick it as free. The function pick must choose an upstream
// that is not in the list passed to it.
func (f *attemptCounts) reserve(exclude []string, pick func(exclude []string) (routing.Choice, bool)) (routing.Choice, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	names := slices.Clone(exclude)
	for name := range f.byUpstream {
		names = append(names, name)
	}
	c, ok := pick(names)
	if !ok {
		c, ok = pick(exclude)
	}
	if ok {
		f.byUpstream[c.Upstream]++
	}
	return c, ok
}

// avoidFor is how long this daemon's other requests avoid an upstream that lost an
// attempt. It covers the delay until load reports show the upstream's state.
const avoidFor = 2 * time.Second

// avoidedUpstreams holds the upstreams that lost an attempt less than avoidFor ago.
type avoidedUpstreams struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (a *avoidedUpstreams) add(upstream string, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.until[upstream] = until
}

// names returns exclude together with the upstreams to avoid now.
func (a *avoidedUpstreams) names(now time.Time, exclude []string) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	names := exclude
	for name, until := range a.until {
		if until.After(now) {
			names = append(names[:len(names):len(names)], name)
		} else {
			delete(a.until, name)
		}
	}
	return names
}

// pacer shares one recovery.Pacer between all generations of the daemon.
type pacer struct {
	e        *Entry
	mu       sync.Mutex
	inner    *recovery.Pacer
	waiting  map[uint64]chan<- struct{}
	timerSet bool
}

// enqueue adds a request to the pacer. When the request is granted, a value is
// sent on turn, which must have room for it.
func (p *pacer) enqueue(r recovery.PacerRequest, turn chan<- struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inner.Enqueue(r)
	p.waiting[r.ID] = turn
	p.grant()
}

func (p *pacer) remove(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inner.Remove(id)
	delete(p.waiting, id)
}

func (p *pacer) grant() {
	now := p.e.o.Now()
	for _, id := range p.inner.Grant(now) {
		if turn, ok := p.waiting[id]; ok {
			turn <- struct{}{}
			delete(p.waiting, id)
		}
	}
	if at, ok := p.inner.NextTimer(); ok && !p.timerSet {
		p.timerSet = true
		p.e.o.AfterFunc(at.Sub(now), func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.timerSet = false
			p.grant()
		})
	}
}

// canceller cancels superseded attempts at their engines. It repeats failed
// calls, because an engine that is paused or unreachable would otherwise go on
// with the attempt when it comes back.
type canceller struct {
	e       *Entry
	pending atomic.Int64 // cancels that have neither succeeded nor been given up
}

const (
	cancelTimeout    = 2 * time.Second
	cancelBackoff    = 250 * time.Millisecond
	cancelAttempts   = 12 // spread over about 2 min, timeouts included
	cancelMaxBackoff = 15 * time.Second
	// maxPendingCancels limits the memory used by cancels for engines that do not
	// answer.
	maxPendingCancels = 10_000
)

func (c *canceller) cancel(client engine.Client, addr, id string) {
	if c.pending.Add(1) > maxPendingCancels {
		c.pending.Add(-1)
		c.e.counters.cancelsDropped.Inc()
		return
	}
	go c.send(client, addr, id, 0)
}

func (c *canceller) send(client engine.Client, addr, id string, n int) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	err := client.Cancel(ctx, addr, id)
	stop()
	if err == nil || n+1 == cancelAttempts {
		if err != nil {
			c.e.log.Warn("gave up cancelling a superseded attempt", "upstream", addr, "id", id, "err", err)
		}
		c.pending.Add(-1)
		return
	}
	c.e.o.AfterFunc(min(cancelBackoff<<n, cancelMaxBackoff), func() { go c.send(client, addr, id, n+1) })
}
