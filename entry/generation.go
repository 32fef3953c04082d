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

// generation runs one request. Only the goroutine of run uses its fields, except
// where noted.
type generation struct {
	e            *Entry
	id           uint64
	generationID string
	request      *parsedRequest
	client       engine.Client
	log          *slog.Logger
	rnd          *mathrand.Rand
	// engineIDPrefix begins the engine IDs of the attempts that this daemon
	// starts. It differs between daemons, because two daemons can briefly run the
	// same generation and must not use the same engine ID.
	engineIDPrefix string

	ctx               context.Context      // of the entry span
	machine           *recovery.Generation // the state machine of this request
	events            chan recovery.Event  // from the goroutines of connections
	pacerTurn         chan struct{}        // receives when the pacer grants a continuation
	handOverRequested chan struct{}        // receives from requestHandOver
	// adoptedElsewhere receives from Entry.adoptedExcept when another connection
	// continues the generation.
	adoptedElsewhere chan struct{}
	conns            map[int]context.CancelFunc // by connection number
	attempts         map[int]*attemptRecord     // by attempt number; those not yet ended
	latestAttempt    *attemptRecord             // the attempt that began last
	movesAtPlace     int                        // machine.Stats().Moves at the last Place
	place            recovery.Place             // the last Place action
	choice           routing.Choice             // the upstream chosen last
	trial            trial
	queueSpan        trace.Span
	seenSnapshot     *node.Snapshot // the last one that observeUpstream examined
	stalled          bool           // the state machine waits for CallerReading
	takenAt          time.Time      // when the writer last took tokens from the full window
	fullSince        time.Time      // when the window became full; zero if it is not full
	window           *window        // window and output are nil when the answer is not streamed
	output           *output
	result           *ending // nil while the generation runs
	callerGone       bool    // nothing more can be written to the caller
	began            time.Time

	heldBytes       int64          // counted in Entry.held
	lastTokenAt     time.Time      // of the last delivered token; zero after a stall
	statsAtDelivery recovery.Stats // at the last delivered token
	countedStats    recovery.Stats // already added to the metrics
}

// eventBuffer is the number of events that connections may queue. A small number
// is enough, because a full queue only delays reading from the engine's connection
// and does not slow the engine.
const eventBuffer = 32

// upstreamCheckInterval is how often a generation that receives no events checks
// the snapshot for changes of its upstream.
const upstreamCheckInterval = 100 * time.Millisecond

func (e *Entry) serve(c *gin.Context, rt route) {
	id := requestID(c)
	c.Header("X-Request-Id", id)
	parent := propagation.TraceContext{}.Extract(c.Request.Context(), propagation.HeaderCarrier(c.Request.Header))
	ctx, span := e.tracer.Start(parent, "entry", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("request.id", id), attribute.String("route", string(rt))))
	defer span.End()
	deny := func(r refusal) {
		span.SetAttributes(attribute.String("code", r.Code))
		e.countAnswer(r.Code)
		refuse(c, r)
	}
	if e.draining.Load() {
		deny(drainRefusal)
		return
	}
	req, r := e.parse(c, rt)
	if r == nil {
		r = e.refuseQuarantined(req)
	}
	if r != nil {
		deny(*r)
		return
	}
	doc := req.view.Doc
	span.SetAttributes(attribute.String("service", doc.Name), attribute.String("account", req.account))
	client := e.o.Clients[doc.Driver]
	if client == nil {
		deny(refusal{Status: http.StatusServiceUnavailable, Code: "no_driver", Outcome: recovery.OutcomeNotRun, Message: "this daemon lacks the engine driver of the service"})
		return
	}
	if e.held.totalBytes() > e.o.MaxHeldBytes {
		deny(refusal{Status: http.StatusServiceUnavailable, Code: "held_bytes", Outcome: recovery.OutcomeNotRun, RetryAfter: 2 * time.Second,
			Message: "this daemon holds as many bytes for slow callers as it may"})
		return
	}
	g := &generation{
		e: e, id: e.ids.Add(1), generationID: newID(), engineIDPrefix: newID(), request: req, client: client, ctx: ctx,
		events: make(chan recovery.Event, eventBuffer), pacerTurn: make(chan struct{}, 1), handOverRequested: make(chan struct{}, 1), adoptedElsewhere: make(chan struct{}, 1),
		conns: map[int]context.CancelFunc{}, attempts: map[int]*attemptRecord{}, queueSpan: trace.SpanFromContext(context.Background()), began: e.o.Now(),
	}
	g.trial.answers = make(chan node.TrialAnswered, 1)
	g.trial.suspect = req.cursor == nil && e.o.Quarantine != nil && e.verdict(req) != quarantine.Clear
	if req.cursor != nil {
		g.generationID = req.cursor.Generation
		g.engineIDPrefix = req.cursor.Generation + "-" + g.engineIDPrefix
	} else {
		g.engineIDPrefix = g.generationID
	}
	g.rnd = e.random(g.id)
	g.log = e.log.With("request", id, "generation", g.generationID, "service", doc.Name)
	if !e.addRunning(g) {
		deny(drainRefusal)
		return
	}
	defer e.removeRunning(g)
	// A generation that is continued here already runs at an engine, so it does
	// not wait for admission.
	if req.cursor == nil {
		release, r := e.admission.admit(c.Request.Context(), g.id, req)
		if r != nil {
			deny(*r)
			return
		}
		defer release()
	}
	e.exportAccount(req.account)
	if req.cursor == nil {
		e.countRequest()
	} else {
		e.counters.adoptions.Inc()
		e.adoptedExcept(g.generationID, g.id)
		e.o.OnAdopted(req.cursor.Daemon, g.generationID)
	}
	g.serve(c)
}

var drainRefusal = refusal{Status: http.StatusServiceUnavailable, Code: "draining", Outcome: recovery.OutcomeNotRun,
	Message: "this daemon shuts down; send the request again", RetryAfter: time.Second}

// serve runs the generation and writes the answer to the caller.
func (g *generation) serve(c *gin.Context) {
	defer g.setHeldBytes(0)
	r := recovery.Request{
		Resumes: g.request.view.Doc.Capabilities.Resumes, Cursors: g.request.stream, MaxTokens: g.request.engineRequest.MaxTokens,
		PromptBytes: g.request.promptBytes, Deadline: g.request.deadline,
	}
	if g.request.stream {
		w, err := g.newWriter(c)
		if err != nil {
			g.log.Error("cannot create the cursor sealer of the stream", "err", err)
			refuse(c, refusal{Status: http.StatusInternalServerError, Code: "internal", Outcome: recovery.OutcomeNotRun, Message: "internal error"})
			return
		}
		g.output = &output{w: w, header: c.Writer.Header()}
		g.window = w.window
	}
	if cur := g.request.cursor; cur != nil {
		r.Adopt = &recovery.Adoption{
			Attempt: cur.Attempt, Upstream: cur.Upstream, Version: cur.Version,
			Delivered: cur.Next, Text: g.request.deliveredText, HaveText: g.request.hasDeliveredText,
		}
		g.adopt(cur)
	}
	// From here on only the state machine keeps the delivered text.
	g.request.deliveredText = ""
	o := g.e.o.Recovery
	if o.MaxHeldBytes == 0 {
		// Token logs use up to an eighth more memory than their tokens.
		o.MaxHeldBytes = max((int(g.request.view.Doc.Limits.MaxHeldBytes)-connectionBufferBytes)*8/9-g.e.o.WindowBytes-minWindowBytes, minWindowBytes)
	}
	machine, actions := recovery.New(g.e.o.Now(), r, o, g.rnd)
	g.machine = machine
	g.perform(actions)
	g.run(c.Request.Context())
	g.close()
	g.answer(c)
}

func (g *generation) newWriter(c *gin.Context) (*writer, error) {
	sealer, err := g.e.o.Sealer.Stream(g.request.account)
	if err != nil {
		return nil, err
	}
	doc := g.request.view.Doc
	w := &writer{
		w: c.Writer, rc: http.NewResponseController(c.Writer), window: newWindow(), sealer: sealer, now: g.e.o.Now,
		timeout: g.e.o.WriteTimeout, lifetime: g.e.o.CursorLifetime, route: g.request.route,
		id: g.generationID, model: doc.Model, created: g.began.Unix(), firstChunk: true,
		position: cursor.Cursor{Generation: g.generationID, Service: doc.Name, Daemon: g.e.o.Daemon, BodyHash: g.request.bodyHash},
	}
	if cur := g.request.cursor; cur != nil {
		w.position.Next, w.position.Delivered, w.firstChunk = cur.Next, cur.Delivered, cur.Next == 0
	}
	return w, nil
}

// adopt records the attempt that the caller's cursor names.
func (g *generation) adopt(cur *cursor.Cursor) {
	rec := &attemptRecord{attempt: attempt{number: cur.Attempt, upstream: cur.Upstream, version: cur.Version, engineID: cur.EngineID}}
	if u := g.request.view.Upstream(cur.Upstream); u != nil {
		rec.address, rec.incarnation, rec.state = u.Address, u.Incarnation, u.State
	}
	g.beginAttempt(rec, attribute.Bool("adopted", true))
}

// delivered returns the number of tokens that the caller has received.
func (g *generation) delivered() int {
	switch {
	case g.machine != nil:
		return g.machine.Delivered()
	case g.request.cursor != nil:
		return g.request.cursor.Next
	}
	return 0
}

// run passes events to the state machine until the generation ends, the caller
// disconnects or the generation is handed over.
func (g *generation) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for g.result == nil {
		wait := upstreamCheckInterval
		if at, ok := g.machine.NextTimer(); ok {
			wait = min(wait, at.Sub(g.e.o.Now()))
		}
		if g.trial.awaitingAttempt != 0 {
			wait = min(wait, g.trial.nextRequestAt.Sub(g.e.o.Now()))
		}
		events := g.events
		if !g.fullSince.IsZero() {
			// Events are not read while the window is full, so timeouts for
			// silent connections must not be applied.
			events, wait = nil, g.stallDue().Sub(g.e.o.Now())
		}
		timer.Reset(max(wait, 0))
		var changed chan struct{}
		if g.window != nil {
			changed = g.window.changed
		}
		select {
		case ev := <-events:
			g.handleEvent(ev)
		case <-ctx.Done():
			g.callerLeft()
		case <-changed:
			if err := g.window.writeError(); err != nil {
				g.log.Info("cannot write to the caller", "err", err)
				g.callerLeft()
			} else {
				g.callerRead()
			}
		case <-g.pacerTurn:
			g.chooseUpstream()
		case a := <-g.trial.answers:
			g.handleTrialAnswer(a)
		case <-g.adoptedElsewhere:
			g.step(recovery.HandOver{})
			g.callerGone = true
			g.result = &ending{reconnect: true}
		case <-g.handOverRequested:
			g.step(recovery.HandOver{})
			g.result = &ending{reconnect: true}
		case <-timer.C:
			if !g.fullSince.IsZero() {
				if !g.e.o.Now().Before(g.stallDue()) {
					g.stall()
				}
				continue
			}
			// Events that arrived before the timer fired take precedence.
			select {
			case ev := <-g.events:
				g.handleEvent(ev)
				continue
			default:
			}
			if at, ok := g.machine.NextTimer(); ok && !g.e.o.Now().Before(at) {
				g.step(recovery.Tick{})
			}
		}
		g.observeUpstream()
		g.repeatTrialRequest()
		g.observeMachine()
	}
}

func (g *generation) callerLeft() {
	g.step(recovery.CallerGone{})
	g.callerGone = true
	g.result = &ending{}
}

// handleEvent updates the records of attempts and passes the event to the state
// machine.
func (g *generation) handleEvent(ev recovery.Event) {
	switch ev := ev.(type) {
	case recovery.Token:
		if rec := g.attempts[ev.Attempt]; rec != nil {
			rec.lastTokenAt = g.e.o.Now()
			rec.reservation.countToken()
			if rec.connectionBroke {
				// A new connection continues the attempt, so the engine did not crash.
				rec.connectionBroke = false
				g.trial.losses--
			}
			if rec.tokens++; rec.tokens == 1 {
				rec.firstTokenAt = rec.lastTokenAt
			}
		}
	case recovery.Refused:
		if rec := g.attempts[ev.Attempt]; rec != nil {
			rec.refusalStatus = ev.Status
		}
	case recovery.Broken:
		if rec := g.attempts[ev.Attempt]; rec != nil && ev.NotRun {
			rec.notRun = true
		} else if g.conns[ev.Conn] != nil {
			g.reportBroken(ev.Attempt)
		}
	}
	g.step(ev)
}

func (g *generation) step(ev recovery.Event) {
	g.perform(g.machine.Step(g.e.o.Now(), ev))
}

// perform carries out the actions in order, then records whether the window is
// full.
func (g *generation) perform(actions []recovery.Action) {
	for _, a := range actions {
		g.performAction(a)
	}
	if g.window != nil && !g.stalled && g.fullSince.IsZero() && g.window.used() > g.windowLimit() {
		g.fullSince = g.e.o.Now()
		g.takenAt = g.fullSince
	}
}

func (g *generation) performAction(a recovery.Action) {
	switch a := a.(type) {
	case recovery.Place:
		g.avoidLostUpstream()
		g.queueSpan.End()
		_, g.queueSpan = g.e.tracer.Start(g.ctx, "queue", trace.WithAttributes(attribute.Int("attempt", a.Attempt)))
		g.place = a
		switch {
		case a.Recovery:
			g.e.pacer.remove(g.id)
			select {
			case <-g.pacerTurn: // granted to an earlier Place
			default:
			}
			g.e.pacer.enqueue(recovery.PacerRequest{ID: g.id, Began: g.began, Tokens: g.machine.Delivered()}, g.pacerTurn)
		case a.Retry && !g.e.trySpendRetry():
			g.step(recovery.NoBudget{Attempt: a.Attempt, RetryAfter: time.Second})
		default:
			g.chooseUpstream()
		}
	case recovery.Start:
		g.startAttempt(a)
	case recovery.Resume:
		g.resumeAttempt(a)
	case recovery.CloseConn:
		if cancel := g.conns[a.Conn]; cancel != nil {
			cancel()
			delete(g.conns, a.Conn)
		}
	case recovery.CancelAttempt:
		if rec := g.attempts[a.Attempt]; rec != nil && rec.address != "" {
			g.e.cancels.cancel(g.client, rec.address, rec.engineID)
		}
	case recovery.Abandon:
		if rec := g.attempts[a.Attempt]; rec != nil && rec.address != "" {
			client, address, id := g.client, rec.address, rec.engineID
			g.e.cancelAfterGrace(g.generationID, func() { g.e.cancels.cancel(client, address, id) })
		}
	case recovery.Deliver:
		g.deliver(a)
	case recovery.Complete:
		g.result = &ending{reason: a.Reason}
	case recovery.Fail:
		g.result = &ending{fail: &a}
	}
}

// observeUpstream tells the state machine when the upstream of its attempt died,
// restarted or began to leave.
func (g *generation) observeUpstream() {
	snap := g.e.o.Snapshot()
	if snap == g.seenSnapshot {
		return
	}
	g.seenSnapshot = snap
	number, name, _ := g.machine.Attempt()
	rec := g.attempts[number]
	view := snap.Services[g.request.view.Doc.Name]
	if rec == nil || view == nil || rec.upstream != name {
		return
	}
	u := view.Upstream(name)
	if u == nil {
		return
	}
	leaving := u.Leaving || u.State == node.UpstreamLeaving
	restarted := rec.incarnation != "" && u.Incarnation != "" && u.Incarnation != rec.incarnation
	switch {
	case restarted || u.State == node.UpstreamDead && rec.state != node.UpstreamDead:
		g.step(recovery.UpstreamState{Upstream: name, State: recovery.StateDead})
	case leaving && rec.state != node.UpstreamLeaving:
		g.step(recovery.UpstreamState{Upstream: name, State: recovery.StateLeaving})
	}
	rec.state = u.State
	if leaving {
		rec.state = node.UpstreamLeaving
	}
	if u.Incarnation != "" {
		rec.incarnation = u.Incarnation
	}
}

// observeMachine updates the metrics and the held bytes from the
// state machine.
func (g *generation) observeMachine() {
	s, m := g.machine.Stats(), &g.e.counters
	m.resumes.Add(s.Resumes - g.countedStats.Resumes)
	m.moves.Add(s.Moves - g.countedStats.Moves)
	m.falseAlarms.Add(s.FalseAlarms - g.countedStats.FalseAlarms)
	m.pauses.Add(s.Pauses - g.countedStats.Pauses)
	m.staleTokens.Add(s.StaleTokens - g.countedStats.StaleTokens)
	m.prefixTokens.Add(s.PrefixTokens - g.countedStats.PrefixTokens)
	g.countedStats = s
	n := g.machine.BacklogSize() + g.machine.DeliveredTextSize()
	if g.window != nil {
		n += g.window.memorySize()
	}
	if g.output != nil && g.output.started() {
		n += connectionBufferBytes
	}
	g.setHeldBytes(int64(n))
}

// close ends all connections, attempts and trials of the generation.
func (g *generation) close() {
	g.closeTrials()
	for _, cancel := range g.conns {
		cancel()
	}
	defer g.endUntriedRun()
	g.e.pacer.remove(g.id)
	g.queueSpan.End()
	for _, rec := range g.attempts {
		number, _, _ := g.machine.Attempt()
		switch {
		case rec.number != number || rec.refusalStatus != 0:
			g.endAttempt(rec, rec.outcome())
		case g.result.reconnect:
			g.endAttempt(rec, OutcomeHandedOver)
		case g.callerGone:
			g.endAttempt(rec, OutcomeCancelled)
		case g.result.fail != nil:
			g.endAttempt(rec, OutcomeLost)
		default:
			g.endAttempt(rec, OutcomeComplete)
		}
	}
	g.observeMachine()
}
