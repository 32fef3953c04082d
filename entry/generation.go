package entry

import (
	"context"
	"errors"
	"log/slog"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/gooseberryroad/gooseberryroad/cursor"
	"github.com/gooseberryroad/gooseberryroad/engine"
	"github.com/gooseberryroad/gooseberryroad/node"
	"github.com/gooseberryroad/gooseberryroad/quarantine"
	"github.com/gooseberryroad/gooseberryroad/recovery"
	"github.com/gooseberryroad/gooseberryroad/routing"
)

// generation runs one request. All fields are owned by the goroutine of run,
// except where noted.
type generation struct {
	e          *Entry
	id         uint64
	generation string
	call       *call
	client     engine.Client
	log        *slog.Logger
	rnd        *mathrand.Rand
	// lineage names the attempts begun by this daemon: two daemons that run
	// the same generation for a moment must not use the same engine ID.
	lineage string

	ctx      context.Context // of the entry span
	machine  *recovery.Generation
	events   chan recovery.Event
	turn     chan struct{}
	handOver chan struct{} // set by endSoon
	// adoptedElsewhere is set by Entry.adopted.
	adoptedElsewhere chan struct{}
	conns            map[int]context.CancelFunc // by connection number
	tries            map[int]*try               // by attempt number
	last             *try                       // the last attempt begun
	moves            int                        // at the last Place
	place            recovery.Place             // the last one
	choice           routing.Choice             // the last one
	trial            trial
	queue            trace.Span
	snap             *node.Snapshot
	stalled          bool
	taken            time.Time // when the caller last took something
	full             time.Time // when the window became full, zero if it is not
	win              *window   // win and out are nil when the answer is not streamed
	out              *output
	result           *ending
	gone             bool
	began            time.Time

	heldNow    int64
	lastToken  time.Time      // zero after a stall
	delivering recovery.Stats // at the last delivered token
	seen       recovery.Stats
}

// try is what is known of one attempt.
type try struct {
	attempt
	ctx         context.Context
	span        trace.Span
	incarnation string
	state       node.UpstreamState
	started     time.Time // zero when it began elsewhere
	first, last time.Time
	tokens      int
	status      int // of the engine's refusal, 0 if it did not refuse
	held        *holding
	broke       bool // the connection broke while the request ran
	notRun      bool // no connection was made
}

// outcome is that of an attempt that another one follows.
func (t *try) outcome() string {
	if t.status != 0 {
		return OutcomeRefused
	}
	return OutcomeLost
}

// eventBuffer is the number of events that connections may queue. It is small
// since a full queue slows the engine's connection, not the engine.
const eventBuffer = 32

// upstreamCheck is how often a waiting generation looks at the snapshot.
const upstreamCheck = 100 * time.Millisecond

func (e *Entry) serve(c *gin.Context, rt route) {
	id := requestID(c)
	c.Header("X-Request-Id", id)
	parent := propagation.TraceContext{}.Extract(c.Request.Context(), propagation.HeaderCarrier(c.Request.Header))
	ctx, span := e.tracer.Start(parent, "entry", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("request.id", id), attribute.String("route", string(rt))))
	defer span.End()
	deny := func(r refusal) {
		span.SetAttributes(attribute.String("code", r.Code))
		e.answered(r.Code)
		refuse(c, r)
	}
	if e.draining.Load() {
		deny(drainRefusal)
		return
	}
	cl, r := e.parse(c, rt)
	if r == nil {
		r = e.quarantinedOnArrival(cl)
	}
	if r != nil {
		deny(*r)
		return
	}
	doc := cl.view.Doc
	span.SetAttributes(attribute.String("service", doc.Name), attribute.String("account", cl.account))
	client := e.o.Clients[doc.Driver]
	if client == nil {
		deny(refusal{Status: http.StatusServiceUnavailable, Code: "no_driver", Outcome: recovery.OutcomeNotRun, Message: "this daemon lacks the engine driver of the service"})
		return
	}
	if e.held.sum() > e.o.HeldBytes {
		deny(refusal{Status: http.StatusServiceUnavailable, Code: "held_bytes", Outcome: recovery.OutcomeNotRun, RetryAfter: 2 * time.Second,
			Message: "this daemon holds as many bytes for slow callers as it may"})
		return
	}
	g := &generation{
		e: e, id: e.ids.Add(1), generation: newID(), lineage: newID(), call: cl, client: client, ctx: ctx,
		events: make(chan recovery.Event, eventBuffer), turn: make(chan struct{}, 1), handOver: make(chan struct{}, 1), adoptedElsewhere: make(chan struct{}, 1),
		conns: map[int]context.CancelFunc{}, tries: map[int]*try{}, queue: trace.SpanFromContext(context.Background()), began: e.o.Now(),
	}
	g.trial.answers = make(chan node.TrialAnswered, 1)
	g.trial.suspect = cl.cursor == nil && e.o.Quarantine != nil && e.verdict(cl) != quarantine.Clear
	if cl.cursor != nil {
		g.generation = cl.cursor.Generation
		g.lineage = cl.cursor.Generation + "-" + g.lineage
	} else {
		g.lineage = g.generation
	}
	g.rnd = e.random(g.id)
	g.log = e.log.With("request", id, "generation", g.generation, "service", doc.Name)
	if !e.enter(g) {
		deny(drainRefusal)
		return
	}
	defer e.leave(g)
	// A generation that is continued here runs already and waits for nobody.
	if cl.cursor == nil {
		release, r := e.gates.admit(c.Request.Context(), g.id, cl)
		if r != nil {
			deny(*r)
			return
		}
		defer release()
	}
	e.exportAccount(cl.account)
	if cl.cursor == nil {
		e.began()
	} else {
		e.m.adoptions.Inc()
		e.adopted(g.generation, g.id)
		e.o.Adopted(cl.cursor.Daemon, g.generation)
	}
	g.serve(c)
}

var drainRefusal = refusal{Status: http.StatusServiceUnavailable, Code: "draining", Outcome: recovery.OutcomeNotRun,
	Message: "this daemon shuts down; send the request again", RetryAfter: time.Second}

// serve runs the generation and answers the caller.
func (g *generation) serve(c *gin.Context) {
	defer g.hold(0)
	r := recovery.Request{
		Resumes: g.call.view.Doc.Capabilities.Resumes, Cursors: g.call.stream, MaxTokens: g.call.base.MaxTokens,
		PromptBytes: g.call.promptBytes, Deadline: g.call.deadline,
	}
	if g.call.stream {
		w, err := g.newWriter(c)
		if err != nil {
			g.log.Error("cannot make a cursor sealer", "err", err)
			refuse(c, refusal{Status: http.StatusInternalServerError, Code: "internal", Outcome: recovery.OutcomeNotRun, Message: "internal error"})
			return
		}
		g.out = &output{w: w, header: c.Writer.Header()}
		g.win = w.win
	}
	if cur := g.call.cursor; cur != nil {
		r.Adopt = &recovery.Adopt{
			Attempt: cur.Attempt, Upstream: cur.Upstream, Version: cur.Version,
			Delivered: cur.Next, Text: g.call.text, HaveText: g.call.haveText,
		}
		g.adopt(cur)
	}
	// From here on only the machine holds the text.
	g.call.text = ""
	o := g.e.o.Recovery
	if o.HeldLimit == 0 {
		// Logs hold up to an eighth more than their tokens.
		o.HeldLimit = max((int(g.call.view.Doc.Limits.MaxHeldBytes)-bufferBytes)*8/9-g.e.o.WindowBytes-minWindow, minWindow)
	}
	machine, actions := recovery.New(g.e.o.Now(), r, o, g.rnd)
	g.machine = machine
	g.do(actions)
	g.run(c.Request.Context())
	g.close()
	g.answer(c)
}

func (g *generation) newWriter(c *gin.Context) (*writer, error) {
	sealer, err := g.e.o.Sealer.Stream(g.call.account)
	if err != nil {
		return nil, err
	}
	doc := g.call.view.Doc
	w := &writer{
		w: c.Writer, rc: http.NewResponseController(c.Writer), win: newWindow(), sealer: sealer, now: g.e.o.Now,
		timeout: g.e.o.WriteTimeout, lifetime: g.e.o.CursorLifetime, route: g.call.route,
		id: g.generation, model: doc.Model, created: g.began.Unix(), first: true,
		position: cursor.Cursor{Generation: g.generation, Service: doc.Name, Daemon: g.e.o.Daemon, BodyHash: g.call.bodyHash},
	}
	if cur := g.call.cursor; cur != nil {
		w.position.Next, w.position.Delivered, w.first = cur.Next, cur.Delivered, cur.Next == 0
	}
	return w, nil
}

// adopt records the attempt that a cursor names.
func (g *generation) adopt(cur *cursor.Cursor) {
	t := &try{attempt: attempt{number: cur.Attempt, upstream: cur.Upstream, version: cur.Version, engineID: cur.EngineID}}
	if u := g.call.view.Upstream(cur.Upstream); u != nil {
		t.address, t.incarnation, t.state = u.Address, u.Incarnation, u.State
	}
	g.begin(t, attribute.Bool("adopted", true))
}

// delivered is the number of tokens that the caller holds.
func (g *generation) delivered() int {
	switch {
	case g.machine != nil:
		return g.machine.Delivered()
	case g.call.cursor != nil:
		return g.call.cursor.Next
	}
	return 0
}

// begin opens the accounts of an attempt.
func (g *generation) begin(t *try, attrs ...attribute.KeyValue) {
	t.ctx, t.span = g.e.tracer.Start(g.ctx, "upstream", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(append(attrs,
		attribute.String("upstream", t.upstream), attribute.String("version", t.version), attribute.Int("attempt", t.number))...))
	g.e.inflight.add(t.upstream, 1)
	t.held = g.e.gates.hold(g.call, t.upstream, g.delivered())
	g.tries[t.number] = t
	g.last = t
	if g.win != nil {
		g.win.move(&t.attempt)
	}
}

// end closes the accounts of an attempt and reports it.
func (g *generation) end(t *try, outcome string) {
	delete(g.tries, t.number)
	g.e.inflight.add(t.upstream, -1)
	g.endTrial(t, outcome)
	g.e.gates.drop(t.held)
	t.span.SetAttributes(attribute.String("outcome", outcome), attribute.Int("tokens", t.tokens))
	t.span.End()
	r := Result{
		Service: g.call.view.Doc.Name, Version: t.version, Route: string(g.call.route), Upstream: t.upstream,
		Account: g.call.account, Outcome: outcome, At: g.e.o.Now(), Tokens: t.tokens, BodyHash: g.call.bodyHash,
		Truncated: outcome == OutcomeLost && t.tokens > 0, Empty: outcome == OutcomeComplete && t.tokens == 0 && !t.started.IsZero(),
		UpstreamLost: outcome == OutcomeLost, Status: t.status,
	}
	if !t.started.IsZero() && !t.first.IsZero() {
		r.FirstToken = t.first.Sub(t.started)
	}
	if t.tokens > 1 {
		r.BetweenTokens = t.last.Sub(t.first) / time.Duration(t.tokens-1)
	}
	g.e.o.Report(r)
}

// run feeds the machine until it ended or the caller is gone.
func (g *generation) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for g.result == nil {
		wait := upstreamCheck
		if at, ok := g.machine.NextTimer(); ok {
			wait = min(wait, at.Sub(g.e.o.Now()))
		}
		if g.trial.attempt != 0 {
			wait = min(wait, g.trial.askAt.Sub(g.e.o.Now()))
		}
		events := g.events
		if !g.full.IsZero() {
			// The silence of a connection that is not read means nothing.
			events, wait = nil, g.stallDue().Sub(g.e.o.Now())
		}
		timer.Reset(max(wait, 0))
		var changed chan struct{}
		if g.win != nil {
			changed = g.win.changed
		}
		select {
		case ev := <-events:
			g.event(ev)
		case <-ctx.Done():
			g.leave()
		case <-changed:
			if err := g.win.failed(); err != nil {
				g.log.Info("caller cannot be written to", "err", err)
				g.leave()
			} else {
				g.reading()
			}
		case <-g.turn:
			g.choose()
		case a := <-g.trial.answers:
			g.trialAnswered(a)
		case <-g.adoptedElsewhere:
			g.step(recovery.HandOver{})
			g.gone = true
			g.result = &ending{reconnect: true}
		case <-g.handOver:
			g.step(recovery.HandOver{})
			g.result = &ending{reconnect: true}
		case <-timer.C:
			if !g.full.IsZero() {
				if !g.e.o.Now().Before(g.stallDue()) {
					g.stall()
				}
				continue
			}
			// Events that arrived before the timer are older than it.
			select {
			case ev := <-g.events:
				g.event(ev)
				continue
			default:
			}
			if at, ok := g.machine.NextTimer(); ok && !g.e.o.Now().Before(at) {
				g.step(recovery.Tick{})
			}
		}
		g.observeUpstream()
		g.tickTrial()
		g.observeMachine()
	}
}

func (g *generation) leave() {
	g.step(recovery.CallerGone{})
	g.gone = true
	g.result = &ending{}
}

// event records what an attempt did and passes the event on.
func (g *generation) event(ev recovery.Event) {
	switch ev := ev.(type) {
	case recovery.Token:
		if t := g.tries[ev.Attempt]; t != nil {
			t.last = g.e.o.Now()
			t.held.produced()
			if t.broke {
				// A new connection continues the attempt: the engine lives.
				t.broke = false
				g.trial.losses--
			}
			if t.tokens++; t.tokens == 1 {
				t.first = t.last
			}
		}
	case recovery.Refused:
		if t := g.tries[ev.Attempt]; t != nil {
			t.status = ev.Status
		}
	case recovery.Broken:
		if t := g.tries[ev.Attempt]; t != nil && ev.NotRun {
			t.notRun = true
		} else if g.conns[ev.Conn] != nil {
			g.broke(ev.Attempt)
		}
	}
	g.step(ev)
}

func (g *generation) step(ev recovery.Event) {
	g.do(g.machine.Step(g.e.o.Now(), ev))
}

// do carries out actions in order.
func (g *generation) do(actions []recovery.Action) {
	for _, a := range actions {
		g.act(a)
	}
	if g.win != nil && !g.stalled && g.full.IsZero() && g.win.used() > g.windowLimit() {
		g.full = g.e.o.Now()
		g.taken = g.full
	}
}

// A caller counts as stalled when its window is full and it takes nothing for
// stallAfter, or when the window stays full for stallAlways. Until then the
// engine's connection is only read no further: a log that is resumed comes
// faster than any caller reads, and a new connection for each full window
// would send most of it several times. The second bound is there since the
// kernel goes on to buffer what the engine sends.
const (
	stallAfter  = 250 * time.Millisecond
	stallAlways = time.Second
)

// stallDue returns when the caller of a full window counts as stalled.
func (g *generation) stallDue() time.Time {
	at, always := g.taken.Add(stallAfter), g.full.Add(stallAlways)
	if always.Before(at) {
		return always
	}
	return at
}

// stall detaches the engine from a caller that does not read.
func (g *generation) stall() {
	g.full = time.Time{}
	g.stalled = true
	g.e.m.stalls.Inc()
	g.step(recovery.CallerStalled{})
}

// bufferBytes is what a connection to a caller holds besides the window: the
// kernel's send buffer, the buffers of net/http (4 KB and 2 KB) and the events
// of one write.
const bufferBytes = 2*sendBuffer + 6<<10 + batchBytes

// minWindow keeps a stream going however little it may hold.
const minWindow = 2 << 10

// windowLimit is smaller when the delivered text leaves little of what one
// caller may cost, and while the daemon holds more than half of what it may.
func (g *generation) windowLimit() int {
	limit := min(g.e.o.WindowBytes, int(g.call.view.Doc.Limits.MaxHeldBytes)-bufferBytes-g.machine.LogSize())
	if g.e.held.sum() > g.e.o.HeldBytes/2 {
		limit = min(limit, g.e.o.WindowBytes/4)
	}
	return max(limit, minWindow)
}

// reading resumes a stalled generation once most of its window is written.
// Waiting for a quarter keeps a slow reader from reconnecting to the engine
// for each token.
func (g *generation) reading() {
	limit := g.windowLimit()
	n := g.win.used()
	g.taken = g.e.o.Now()
	if n <= limit/2 {
		g.full = time.Time{}
	}
	if !g.stalled || n > limit/4 {
		return
	}
	g.stalled = false
	g.lastToken = time.Time{}
	g.step(recovery.CallerReading{Room: limit - n})
	g.stalled = g.machine.Stalled()
}

func (g *generation) act(a recovery.Action) {
	switch a := a.(type) {
	case recovery.Place:
		g.noteLoss()
		g.queue.End()
		_, g.queue = g.e.tracer.Start(g.ctx, "queue", trace.WithAttributes(attribute.Int("attempt", a.Attempt)))
		g.place = a
		switch {
		case a.Recovery:
			g.e.pacer.withdraw(g.id)
			select {
			case <-g.turn: // of an earlier placement
			default:
			}
			g.e.pacer.ask(recovery.Ticket{ID: g.id, Began: g.began, Tokens: g.machine.Delivered()}, g.turn)
		case a.Retry && !g.e.retry():
			g.step(recovery.NoBudget{Attempt: a.Attempt, RetryAfter: time.Second})
		default:
			g.choose()
		}
	case recovery.Start:
		g.start(a)
	case recovery.Resume:
		g.resume(a)
	case recovery.CloseConn:
		if cancel := g.conns[a.Conn]; cancel != nil {
			cancel()
			delete(g.conns, a.Conn)
		}
	case recovery.CancelAttempt:
		if t := g.tries[a.Attempt]; t != nil && t.address != "" {
			g.e.cancels.cancel(g.client, t.address, t.engineID)
		}
	case recovery.Abandon:
		if t := g.tries[a.Attempt]; t != nil && t.address != "" {
			client, address, id := g.client, t.address, t.engineID
			g.e.abandon(g.generation, func() { g.e.cancels.cancel(client, address, id) })
		}
	case recovery.Deliver:
		g.deliver(a)
	case recovery.Complete:
		g.result = &ending{reason: a.Reason}
	case recovery.Fail:
		g.result = &ending{fail: &a}
	}
}

// noteLoss lets other requests avoid the upstream that just lost an attempt.
func (g *generation) noteLoss() {
	moves := g.machine.Stats().Moves
	if moves == g.moves {
		return
	}
	g.moves = moves
	if g.last != nil && g.last.status == 0 {
		g.e.avoided.add(g.last.upstream, g.e.o.Now().Add(avoidFor))
	}
}

// choose answers the last Place.
func (g *generation) choose() {
	p := g.place
	if g.onTrial() {
		g.askTrial()
		return
	}
	view := g.e.o.Snapshot().Services[g.call.view.Doc.Name]
	if view == nil {
		g.step(recovery.NoUpstream{Attempt: p.Attempt, VersionGone: true})
		return
	}
	r := routing.Request{
		DataCentre: g.e.o.DataCentre, Region: g.e.o.Region, Version: p.Version, Sent: g.e.inflight.get,
		Exclude: g.e.avoided.names(g.e.o.Now(), p.Exclude),
	}
	full := g.e.gates.full(g.call, p.Recovery)
	r.Exclude = append(slices.Clone(r.Exclude), full...)
	var c routing.Choice
	var ok bool
	if g.trial.losses > 0 {
		// Each request that lost an engine goes to another one, as long as there
		// are any, so that a second loss tells them apart.
		g.endUntried()
		c, ok = g.e.suspects.reserve(r.Exclude, func(exclude []string) (routing.Choice, bool) {
			apart := r
			apart.Exclude = exclude
			return routing.Pick(g.rnd, view, apart)
		})
		if ok {
			g.trial.untriedAt, g.trial.untriedFor = c.Upstream, p.Attempt
		}
	} else {
		c, ok = routing.Pick(g.rnd, view, r)
	}
	if !ok && len(r.Exclude) > len(p.Exclude)+len(full) {
		r.Exclude = append(slices.Clone(p.Exclude), full...)
		c, ok = routing.Pick(g.rnd, view, r)
	}
	if !ok {
		g.step(recovery.NoUpstream{Attempt: p.Attempt, VersionGone: p.Version != "" && !routing.HasVersion(view, p.Version)})
		return
	}
	g.choice = c
	g.queue.End()
	g.step(recovery.Placed{Attempt: p.Attempt, Upstream: c.Upstream, Version: c.Version})
}

func (g *generation) start(a recovery.Start) {
	t := &try{
		attempt: attempt{number: a.Attempt, upstream: a.Upstream, address: g.choice.Address, version: a.Version,
			engineID: g.lineage + "-" + strconv.Itoa(a.Attempt)},
		started: g.e.o.Now(),
	}
	if v := g.e.o.Snapshot().Services[g.call.view.Doc.Name]; v != nil {
		if u := v.Upstream(a.Upstream); u != nil {
			t.incarnation, t.state = u.Incarnation, u.State
		}
	}
	for _, old := range g.tries {
		g.end(old, old.outcome())
	}
	g.begin(t)
	if g.trial.losses > 0 && g.trial.running != t.number && g.trial.untriedAt == "" {
		g.trial.untriedAt, g.trial.untriedFor = t.upstream, t.number
		g.e.suspects.add(t.upstream, 1)
	}
	r := g.call.base
	r.ID, r.Version, r.Prefix, r.PrefixTokens, r.Priority = t.engineID, a.Version, a.Prefix, a.PrefixTokens, a.Priority
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(t.ctx, carrier)
	r.TraceParent = carrier.Get("traceparent")
	g.open(a.Attempt, a.Conn, func(ctx context.Context) (engine.Stream, error) {
		return g.client.Start(ctx, t.address, r)
	})
}

func (g *generation) resume(a recovery.Resume) {
	t := g.tries[a.Attempt]
	if t.address == "" {
		// The document no longer names the upstream of the cursor.
		g.step(recovery.UnknownGeneration{Attempt: a.Attempt, Conn: a.Conn})
		return
	}
	g.open(a.Attempt, a.Conn, func(ctx context.Context) (engine.Stream, error) {
		return g.client.Resume(ctx, t.address, t.engineID, a.After)
	})
}

// open runs a connection, whose events are posted until it is closed.
func (g *generation) open(attempt, conn int, dial func(context.Context) (engine.Stream, error)) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(g.tries[attempt].ctx))
	g.conns[conn] = cancel
	post := func(ev recovery.Event) {
		select {
		case g.events <- ev:
		case <-ctx.Done():
		}
	}
	go func() {
		s, err := dial(ctx)
		if err != nil {
			post(failure(attempt, conn, err))
			return
		}
		defer s.Close()
		// Next may not return when ctx ends; Close makes it.
		stop := context.AfterFunc(ctx, func() { s.Close() })
		defer stop()
		post(recovery.Opened{Attempt: attempt, Conn: conn})
		for ctx.Err() == nil {
			t, err := s.Next(ctx)
			if err != nil {
				post(failure(attempt, conn, err))
				return
			}
			post(recovery.Token{Attempt: attempt, Conn: conn, Index: t.Index, Text: t.Text})
		}
	}()
}

// failure is the event for the error that ended a connection.
func failure(attempt, conn int, err error) recovery.Event {
	var finished *engine.FinishedError
	var refused *engine.RefusedError
	var dial *net.OpError
	switch {
	case errors.As(err, &finished):
		return recovery.Finished{Attempt: attempt, Conn: conn, Reason: finished.Reason}
	case errors.Is(err, engine.ErrUnknownGeneration):
		return recovery.UnknownGeneration{Attempt: attempt, Conn: conn}
	case errors.As(err, &dial) && dial.Op == "dial":
		// A driver may also call this a refusal. It is no answer of an
		// overloaded engine: no connection was made.
		return recovery.Broken{Attempt: attempt, Conn: conn, NotRun: true}
	case errors.As(err, &refused):
		return recovery.Refused{Attempt: attempt, Conn: conn, Status: refused.Status, RetryAfter: refused.RetryAfter, NotRun: refused.NotRun}
	}
	return recovery.Broken{Attempt: attempt, Conn: conn}
}

func (g *generation) deliver(a recovery.Deliver) {
	now := g.e.o.Now()
	s := g.machine.Stats()
	switch {
	case g.lastToken.IsZero() && a.Index == 0:
		g.e.m.firstToken.Update(now.Sub(g.began).Seconds())
	case !g.lastToken.IsZero() && (s.Moves != g.delivering.Moves || s.Resumes != g.delivering.Resumes):
		g.e.m.resumeLatency.Update(now.Sub(g.lastToken).Seconds())
	}
	g.lastToken, g.delivering = now, s
	g.e.m.tokens.Inc()
	if g.win == nil {
		return
	}
	g.win.push(&g.tries[a.Attempt].attempt, a.Text)
	g.out.start()
}

// observeUpstream tells the machine when the upstream of its attempt changed.
func (g *generation) observeUpstream() {
	snap := g.e.o.Snapshot()
	if snap == g.snap {
		return
	}
	g.snap = snap
	number, name, _ := g.machine.Attempt()
	t := g.tries[number]
	view := snap.Services[g.call.view.Doc.Name]
	if t == nil || view == nil || t.upstream != name {
		return
	}
	u := view.Upstream(name)
	if u == nil {
		return
	}
	leaving := u.Leaving || u.State == node.UpstreamLeaving
	restarted := t.incarnation != "" && u.Incarnation != "" && u.Incarnation != t.incarnation
	switch {
	case restarted || u.State == node.UpstreamDead && t.state != node.UpstreamDead:
		g.step(recovery.UpstreamState{Upstream: name, State: recovery.StateDead})
	case leaving && t.state != node.UpstreamLeaving:
		g.step(recovery.UpstreamState{Upstream: name, State: recovery.StateLeaving})
	}
	t.state = u.State
	if leaving {
		t.state = node.UpstreamLeaving
	}
	if u.Incarnation != "" {
		t.incarnation = u.Incarnation
	}
}

// observeMachine counts what the machine did and what is held.
func (g *generation) observeMachine() {
	s, m := g.machine.Stats(), &g.e.m
	m.resumes.Add(s.Resumes - g.seen.Resumes)
	m.moves.Add(s.Moves - g.seen.Moves)
	m.falseAlarms.Add(s.FalseAlarms - g.seen.FalseAlarms)
	m.pauses.Add(s.Pauses - g.seen.Pauses)
	m.staleTokens.Add(s.StaleTokens - g.seen.StaleTokens)
	m.prefixTokens.Add(s.PrefixTokens - g.seen.PrefixTokens)
	g.seen = s
	n := g.machine.BacklogSize() + g.machine.LogSize()
	if g.win != nil {
		n += g.win.size()
	}
	if g.out != nil && g.out.started() {
		n += bufferBytes
	}
	g.hold(int64(n))
}

func (g *generation) hold(n int64) {
	g.e.held.set(g.call.account, g.heldNow, n)
	g.heldNow = n
}

// close ends all connections and accounts.
func (g *generation) close() {
	g.closeTrials()
	for _, cancel := range g.conns {
		cancel()
	}
	defer g.endUntried()
	g.e.pacer.withdraw(g.id)
	g.queue.End()
	for _, t := range g.tries {
		number, _, _ := g.machine.Attempt()
		switch {
		case t.number != number || t.status != 0:
			g.end(t, t.outcome())
		case g.result.reconnect:
			g.end(t, OutcomeHandedOver)
		case g.gone:
			g.end(t, OutcomeCancelled)
		case g.result.fail != nil:
			g.end(t, OutcomeLost)
		default:
			g.end(t, OutcomeComplete)
		}
	}
	g.observeMachine()
}

// endSoon asks for the end of the stream with a cursor. It may be called by
// any goroutine.
func (g *generation) endSoon() { signal(g.handOver) }

// answer ends the answer to the caller.
func (g *generation) answer(c *gin.Context) {
	if g.gone {
		g.e.answered("caller_gone")
		if g.out != nil {
			g.out.abort()
		}
		return
	}
	r := g.result
	switch {
	case r.fail != nil:
		g.e.answered(r.fail.Code)
		g.log.Info("request failed", "code", r.fail.Code, "outcome", r.fail.Outcome, "delivered", g.machine.Delivered())
	case r.reconnect:
		g.e.answered("handed_over")
		g.e.m.handovers.Inc()
	default:
		g.e.answered("complete")
	}
	if g.out != nil && (g.out.started() || r.fail == nil && (!r.reconnect || g.machine.Running())) {
		g.out.start()
		g.win.finish(*r)
		g.flush(c.Request.Context())
		return
	}
	rc := http.NewResponseController(c.Writer)
	if err := rc.SetWriteDeadline(g.e.o.Now().Add(g.e.o.WriteTimeout)); err == nil {
		defer func() { _ = rc.SetWriteDeadline(time.Time{}) }()
	}
	switch {
	case r.fail != nil:
		refuse(c, failRefusal(*r.fail))
	case r.reconnect:
		d := drainRefusal
		d.Outcome = g.machine.Outcome()
		refuse(c, d)
	default:
		c.JSON(http.StatusOK, whole(g.call.route, g.generation, g.call.view.Doc.Model, g.began.Unix(), g.machine.Text(), r.reason, g.machine.Delivered()))
	}
}

// handOverGrace is how long a caller may take to read the event that sends it
// to another daemon.
const handOverGrace = time.Second

// flush waits until the writer wrote the rest, or the caller or the request's
// time is gone.
func (g *generation) flush(ctx context.Context) {
	timer := time.NewTimer(g.call.deadline.Sub(g.e.o.Now()))
	defer timer.Stop()
	if g.result.reconnect {
		timer.Reset(handOverGrace)
	}
	for {
		select {
		case <-g.out.done:
			// The connection may carry another request.
			if err := g.out.w.rc.SetWriteDeadline(time.Time{}); err != nil {
				g.log.Debug("cannot clear a write deadline", "err", err)
			}
			return
		case <-g.win.changed:
			g.observeMachine()
			continue
		case <-g.handOver:
			g.win.finish(ending{reconnect: true})
			timer.Reset(handOverGrace)
			continue
		case <-g.adoptedElsewhere:
		case <-ctx.Done():
		case <-timer.C:
		}
		g.out.abort()
		return
	}
}

// output starts and stops the writer of a streamed answer.
type output struct {
	w      *writer
	header http.Header
	done   chan struct{} // nil until started
}

func (o *output) started() bool { return o.done != nil }

// start sends the header and begins to write. Until then a failure can still
// be answered with a status of its own.
func (o *output) start() {
	if o.done != nil {
		return
	}
	o.header.Set("Content-Type", "text/event-stream")
	o.header.Set("Cache-Control", "no-store")
	o.done = make(chan struct{})
	go func() {
		defer close(o.done)
		o.w.run()
	}()
}

// abort ends a write that may be blocked and waits for the writer.
func (o *output) abort() {
	if o.done == nil {
		return
	}
	o.w.win.close()
	if err := o.w.rc.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		o.w.win.fail(err)
	}
	<-o.done
}
