// Package entry is the front end for callers of model services. Each request
// runs in one goroutine that feeds a recovery.Generation and carries out its
// actions; a second goroutine writes to the caller.
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
	// Daemon, DataCentre and Region are those of this process.
	Daemon     string
	DataCentre string
	Region     string
	Snapshot   func() *node.Snapshot
	// Clients are the engine drivers by module ID.
	Clients map[string]engine.Client
	Sealer  *cursor.Sealer
	// CursorLifetime is how long a caller may reconnect; default 10 min.
	CursorLifetime time.Duration
	Logger         *slog.Logger
	// Report receives one result for each attempt. It must not block.
	Report func(Result)
	// Adopted is called when a caller continues here a generation that began
	// at the named daemon, which should then call Entry.Adopted. Optional.
	OnAdopted func(daemon, generation string)
	// Now and AfterFunc are the clock; defaults are those of package time.
	Now       func() time.Time
	AfterFunc func(time.Duration, func()) (stop func() bool)
	// Seed makes choices and backoff repeatable.
	Seed uint64
	// HeldBytes bounds the bytes held for all callers; default 64 MB.
	MaxHeldBytes int64
	// WindowBytes bounds the tokens between an engine stream and its caller;
	// default 8 KB, which is a minute of output.
	WindowBytes int
	// WriteTimeout ends the connection of a caller that reads nothing for so
	// long; default 2 min. The caller may reconnect with its cursor.
	WriteTimeout time.Duration
	// AbandonGrace is how long the attempt of a caller that went away keeps
	// running so that the caller may reconnect; default 15 s.
	AbandonGrace time.Duration
	Recovery     recovery.Options
	Pacer        recovery.PacerOptions
	// RetryShare and RetryBurst bound retries of requests of which nothing
	// was delivered; defaults 0.1 for each request and 32.
	RetryShare float64
	RetryBurst int
	Tracer     trace.TracerProvider
	// Quarantine keeps requests that crash engines from running again; nil for
	// none.
	Quarantine Quarantine
}

// Result describes one attempt at one upstream.
type Result struct {
	Service, Version, Route, Upstream, Account string
	// Outcome is one of the constants below.
	Outcome string
	// Status is the engine's answer when the outcome is OutcomeRefused.
	Status  int
	EndedAt time.Time
	// FirstToken is the time from Start to the first token, zero if none came
	// or the attempt began elsewhere.
	FirstToken time.Duration
	// BetweenTokens is the mean time between tokens, zero below two tokens.
	BetweenTokens time.Duration
	Tokens        int
	// Truncated is set when the connection ended before the answer did, Empty
	// when a complete answer has no token.
	Truncated, Empty bool
	// UpstreamLost is set when the engine went silent, broke off or forgot
	// the generation.
	UpstreamLost bool
	// Poison is set by the quarantine for requests that crash upstreams.
	Poison bool
	// BodyHash identifies the content of the request.
	BodyHash [16]byte
}

// Outcomes of an attempt.
const (
	OutcomeComplete   = "complete"
	OutcomeLost       = "lost"
	OutcomeRefused    = "refused"
	OutcomeCancelled  = "cancelled"
	OutcomeHandedOver = "handed_over"
)

// Entry serves callers. It is safe for concurrent use.
type Entry struct {
	o      Options
	log    *slog.Logger
	tracer trace.Tracer
	set    *metrics.Set
	m      counters

	ids      atomic.Uint64
	draining atomic.Bool
	held     heldBytes
	inflight attemptCounts
	// suspects counts requests that lost an engine and run without a trial.
	suspects attemptCounts
	gates    gates
	avoided  avoided
	pacer    pacer
	cancels  canceller

	mu          sync.Mutex
	budget      *recovery.RetryBudget
	generations map[uint64]*generation
	abandoned   map[string]func() bool // generation ID to the stop of its timer
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
	e.inflight.n = map[string]int{}
	e.suspects.n = map[string]int{}
	e.gates = gates{e: e, by: map[string]*gate{}}
	e.avoided.until = map[string]time.Time{}
	e.pacer = pacer{e: e, p: recovery.NewPacer(o.Now(), o.Pacer), waiting: map[uint64]chan<- struct{}{}}
	e.cancels.e = e
	e.m.init(e)
	return e
}

func orDefault[T comparable](dst *T, def T) {
	var zero T
	if *dst == zero {
		*dst = def
	}
}

// Register adds the routes for model services.
func (e *Entry) Register(r gin.IRouter) {
	r.POST("/v1/chat/completions", func(c *gin.Context) { e.serve(c, routeChat) })
	r.POST("/v1/completions", func(c *gin.Context) { e.serve(c, routeCompletions) })
}

// Handler returns a handler with the routes of Register alone.
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

// sendBuffer is asked of the kernel for each caller connection; Linux doubles
// it. The default grows to megabytes for a caller that does not read.
const sendBuffer = 8 << 10

// ConnContext bounds the kernel buffer of a caller connection. It belongs in
// http.Server.ConnContext.
func (e *Entry) ConnContext(ctx context.Context, c net.Conn) context.Context {
	if tcp, ok := c.(interface{ SetWriteBuffer(int) error }); ok {
		if err := tcp.SetWriteBuffer(sendBuffer); err != nil {
			e.log.Warn("cannot bound the send buffer of a caller", "err", err)
		}
	}
	return ctx
}

// Metrics returns the metrics of this Entry.
func (e *Entry) Metrics() *metrics.Set { return e.set }

// Drain refuses new work and returns once nothing runs. When ctx ends first,
// it ends the streams that are left with a cursor, so that their callers
// continue at other daemons. Answers that are not streamed have no cursor and
// run to their end, which the service's time limit bounds, or until Cut.
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
	e.end(func(g *generation) bool { return g.call.stream })
	<-e.idle
}

// Cut ends everything that still runs: streams with a cursor, other answers
// with a refusal. It makes a running Drain return.
func (e *Entry) EndAll() { e.end(func(*generation) bool { return true }) }

func (e *Entry) end(which func(*generation) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range e.generations {
		if which(g) {
			g.endSoon()
		}
	}
}

// Running returns the number of requests that run.
func (e *Entry) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.generations)
}

// enter counts a request as running; it returns false while draining.
func (e *Entry) enter(g *generation) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining.Load() {
		return false
	}
	e.generations[g.id] = g
	return true
}

func (e *Entry) leave(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.generations, g.id)
	if e.draining.Load() && len(e.generations) == 0 {
		close(e.idle)
	}
}

// Adopted tells that another daemon continues a generation. Its attempt is not
// cancelled here any more, and a connection of its caller that is still open
// here ends: otherwise this daemon might move the generation and cancel the
// attempt that the other one continues.
func (e *Entry) GenerationAdopted(generation string) { e.adopted(generation, 0) }

// adopted does the same but for the request with the given ID.
func (e *Entry) adopted(generation string, except uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if stop, ok := e.abandoned[generation]; ok {
		stop()
		delete(e.abandoned, generation)
	}
	for id, g := range e.generations {
		if id != except && g.generation == generation {
			signal(g.adoptedElsewhere)
		}
	}
}

// abandon cancels an attempt after the grace unless the generation is adopted.
func (e *Entry) abandon(generation string, cancel func()) {
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

// retry takes a retry from the budget.
func (e *Entry) retry() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget.TrySpend()
}

func (e *Entry) began() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget.CountRequest()
}

func (e *Entry) random(id uint64) *mathrand.Rand {
	return mathrand.New(mathrand.NewPCG(e.o.Seed, id))
}

// newID returns an ID that is unique in the fleet.
func newID() string {
	var b [8]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// attemptCounts counts this daemon's attempts by upstream.
type attemptCounts struct {
	mu sync.Mutex
	n  map[string]int
}

func (f *attemptCounts) add(upstream string, d int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.n[upstream] += d; f.n[upstream] == 0 {
		delete(f.n, upstream)
	}
}

func (f *attemptCounts) get(upstream string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.n[upstream]
}

// reserve picks an upstream without attempts, or any if there is none, and
// counts it in the same step, so that two requests cannot pick the same one at
// the same time. The function picks one that is not among the names given.
func (f *attemptCounts) reserve(exclude []string, pick func(exclude []string) (routing.Choice, bool)) (routing.Choice, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	names := slices.Clone(exclude)
	for name := range f.n {
		names = append(names, name)
	}
	c, ok := pick(names)
	if !ok {
		c, ok = pick(exclude)
	}
	if ok {
		f.n[c.Upstream]++
	}
	return c, ok
}

// avoidFor is how long an upstream that lost an attempt of this daemon is
// avoided by its other requests: the reports that show its state come later.
const avoidFor = 2 * time.Second

// avoided holds the upstreams that lost an attempt a moment ago.
type avoided struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (a *avoided) add(upstream string, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.until[upstream] = until
}

// names returns the upstreams to avoid now, with those given.
func (a *avoided) names(now time.Time, exclude []string) []string {
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

// pacer shares a recovery.Pacer between the generations.
type pacer struct {
	e       *Entry
	mu      sync.Mutex
	p       *recovery.Pacer
	waiting map[uint64]chan<- struct{}
	armed   bool
}

// ask queues a ticket; the channel, which must have room, is sent a value when
// the turn comes.
func (p *pacer) ask(t recovery.PacerRequest, turn chan<- struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.p.Enqueue(t)
	p.waiting[t.ID] = turn
	p.grant()
}

func (p *pacer) withdraw(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.p.Remove(id)
	delete(p.waiting, id)
}

func (p *pacer) grant() {
	now := p.e.o.Now()
	for _, id := range p.p.Grant(now) {
		if turn, ok := p.waiting[id]; ok {
			turn <- struct{}{}
			delete(p.waiting, id)
		}
	}
	if at, ok := p.p.NextTimer(); ok && !p.armed {
		p.armed = true
		p.e.o.AfterFunc(at.Sub(now), func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.armed = false
			p.grant()
		})
	}
}

// canceller cancels attempts at their engines. An engine that is paused or cut
// off is asked again, since it would go on with the superseded attempt when it
// comes back.
type canceller struct {
	e       *Entry
	pending atomic.Int64
}

const (
	cancelTimeout  = 2 * time.Second
	cancelBackoff  = 250 * time.Millisecond
	cancelAttempts = 12 // about 2 min with the backoff capped at 15 s
	cancelCap      = 15 * time.Second
	// maxCancels bounds the memory for cancels to engines that are gone.
	maxCancels = 10_000
)

func (c *canceller) cancel(client engine.Client, addr, id string) {
	if c.pending.Add(1) > maxCancels {
		c.pending.Add(-1)
		c.e.m.cancelsDropped.Inc()
		return
	}
	go c.try(client, addr, id, 0)
}

func (c *canceller) try(client engine.Client, addr, id string, n int) {
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
	c.e.o.AfterFunc(min(cancelBackoff<<n, cancelCap), func() { go c.try(client, addr, id, n+1) })
}
