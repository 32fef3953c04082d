package entry

import (
	"context"
	"log/slog"
	mathrand "math/rand/v2"
	"net/http"
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
	if e.held.sum() > e.o.MaxHeldBytes {
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
		e.o.OnAdopted(cl.cursor.Daemon, g.generation)
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
		r.Adopt = &recovery.Adoption{
			Attempt: cur.Attempt, Upstream: cur.Upstream, Version: cur.Version,
			Delivered: cur.Next, Text: g.call.text, HaveText: g.call.haveText,
		}
		g.adopt(cur)
	}
	// From here on only the machine holds the text.
	g.call.text = ""
	o := g.e.o.Recovery
	if o.MaxHeldBytes == 0 {
		// Logs hold up to an eighth more than their tokens.
		o.MaxHeldBytes = max((int(g.call.view.Doc.Limits.MaxHeldBytes)-bufferBytes)*8/9-g.e.o.WindowBytes-minWindow, minWindow)
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
			g.e.pacer.ask(recovery.PacerRequest{ID: g.id, Began: g.began, Tokens: g.machine.Delivered()}, g.turn)
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
	n := g.machine.BacklogSize() + g.machine.DeliveredTextSize()
	if g.win != nil {
		n += g.win.size()
	}
	if g.out != nil && g.out.started() {
		n += bufferBytes
	}
	g.hold(int64(n))
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
