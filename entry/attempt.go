package entry

import (
	"context"
	"errors"
	"net"
	"slices"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/gooseberryroad/gooseberryroad/engine"
	"github.com/gooseberryroad/gooseberryroad/node"
	"github.com/gooseberryroad/gooseberryroad/recovery"
	"github.com/gooseberryroad/gooseberryroad/routing"
)

// attemptRecord is the state of one attempt.
type attemptRecord struct {
	attempt
	ctx                       context.Context
	span                      trace.Span
	incarnation               string
	state                     node.UpstreamState
	started                   time.Time // zero if it began at another daemon
	firstTokenAt, lastTokenAt time.Time
	tokens                    int
	refusalStatus             int // HTTP status of the engine's refusal; 0 if it did not refuse
	reservation               *reservation
	connectionBroke           bool // the connection broke while the request may have run
	notRun                    bool // no connection to the engine was made
}

// outcome returns the outcome of an attempt that is superseded by another one.
func (rec *attemptRecord) outcome() string {
	if rec.refusalStatus != 0 {
		return OutcomeRefused
	}
	return OutcomeLost
}

// beginAttempt starts the span of an attempt and counts it at its upstream.
func (g *generation) beginAttempt(rec *attemptRecord, attrs ...attribute.KeyValue) {
	rec.ctx, rec.span = g.e.tracer.Start(g.ctx, "upstream", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(append(attrs,
		attribute.String("upstream", rec.upstream), attribute.String("version", rec.version), attribute.Int("attempt", rec.number))...))
	g.e.inflight.add(rec.upstream, 1)
	rec.reservation = g.e.admission.reserve(g.request, rec.upstream, g.delivered())
	g.attempts[rec.number] = rec
	g.latestAttempt = rec
	if g.window != nil {
		g.window.moveTo(&rec.attempt)
	}
}

// endAttempt ends what beginAttempt began and reports the attempt.
func (g *generation) endAttempt(rec *attemptRecord, outcome string) {
	delete(g.attempts, rec.number)
	g.e.inflight.add(rec.upstream, -1)
	g.endTrial(rec, outcome)
	g.e.admission.release(rec.reservation)
	rec.span.SetAttributes(attribute.String("outcome", outcome), attribute.Int("tokens", rec.tokens))
	rec.span.End()
	r := Result{
		Service: g.request.view.Doc.Name, Version: rec.version, Route: string(g.request.route), Upstream: rec.upstream,
		Account: g.request.account, Outcome: outcome, EndedAt: g.e.o.Now(), Tokens: rec.tokens, BodyHash: g.request.bodyHash,
		Truncated: outcome == OutcomeLost && rec.tokens > 0, Empty: outcome == OutcomeComplete && rec.tokens == 0 && !rec.started.IsZero(),
		UpstreamLost: outcome == OutcomeLost, Status: rec.refusalStatus,
	}
	if !rec.started.IsZero() && !rec.firstTokenAt.IsZero() {
		r.FirstToken = rec.firstTokenAt.Sub(rec.started)
	}
	if rec.tokens > 1 {
		r.BetweenTokens = rec.lastTokenAt.Sub(rec.firstTokenAt) / time.Duration(rec.tokens-1)
	}
	g.e.o.Report(r)
}

// avoidLostUpstream makes other requests avoid the upstream of the latest attempt
// if that attempt was lost since the last Place.
func (g *generation) avoidLostUpstream() {
	moves := g.machine.Stats().Moves
	if moves == g.movesAtPlace {
		return
	}
	g.movesAtPlace = moves
	if g.latestAttempt != nil && g.latestAttempt.refusalStatus == 0 {
		g.e.avoided.add(g.latestAttempt.upstream, g.e.o.Now().Add(avoidFor))
	}
}

// chooseUpstream answers the last Place.
func (g *generation) chooseUpstream() {
	p := g.place
	if g.needsTrial() {
		g.requestTrial()
		return
	}
	view := g.e.o.Snapshot().Services[g.request.view.Doc.Name]
	if view == nil {
		g.step(recovery.NoUpstream{Attempt: p.Attempt, VersionGone: true})
		return
	}
	r := routing.Request{
		DataCentre: g.e.o.DataCentre, Region: g.e.o.Region, Version: p.Version, OwnInFlight: g.e.inflight.get,
		Exclude: g.e.avoided.names(g.e.o.Now(), p.Exclude),
	}
	full := g.e.admission.fullUpstreams(g.request, p.Recovery)
	r.Exclude = append(slices.Clone(r.Exclude), full...)
	var c routing.Choice
	var ok bool
	if g.trial.losses > 0 {
		// Requests that lost an engine go to different engines as long as there are
		// enough, so that a second crash shows which of them causes it.
		g.endUntriedRun()
		c, ok = g.e.suspects.reserve(r.Exclude, func(exclude []string) (routing.Choice, bool) {
			narrowed := r
			narrowed.Exclude = exclude
			return routing.Pick(g.rnd, view, narrowed)
		})
		if ok {
			g.trial.untriedUpstream, g.trial.untriedAttempt = c.Upstream, p.Attempt
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
	g.queueSpan.End()
	g.step(recovery.Placed{Attempt: p.Attempt, Upstream: c.Upstream, Version: c.Version})
}

func (g *generation) startAttempt(a recovery.Start) {
	rec := &attemptRecord{
		attempt: attempt{number: a.Attempt, upstream: a.Upstream, address: g.choice.Address, version: a.Version,
			engineID: g.engineIDPrefix + "-" + strconv.Itoa(a.Attempt)},
		started: g.e.o.Now(),
	}
	if v := g.e.o.Snapshot().Services[g.request.view.Doc.Name]; v != nil {
		if u := v.Upstream(a.Upstream); u != nil {
			rec.incarnation, rec.state = u.Incarnation, u.State
		}
	}
	for _, old := range g.attempts {
		g.endAttempt(old, old.outcome())
	}
	g.beginAttempt(rec)
	if g.trial.losses > 0 && g.trial.runningAttempt != rec.number && g.trial.untriedUpstream == "" {
		g.trial.untriedUpstream, g.trial.untriedAttempt = rec.upstream, rec.number
		g.e.suspects.add(rec.upstream, 1)
	}
	r := g.request.engineRequest
	r.ID, r.Version, r.Prefix, r.PrefixTokens, r.Priority = rec.engineID, a.Version, a.Prefix, a.PrefixTokens, a.Priority
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(rec.ctx, carrier)
	r.TraceParent = carrier.Get("traceparent")
	g.openConnection(a.Attempt, a.Conn, func(ctx context.Context) (engine.Stream, error) {
		return g.client.Start(ctx, rec.address, r)
	})
}

func (g *generation) resumeAttempt(a recovery.Resume) {
	rec := g.attempts[a.Attempt]
	if rec.address == "" {
		// The service's document no longer lists the upstream that the cursor
		// names.
		g.step(recovery.UnknownGeneration{Attempt: a.Attempt, Conn: a.Conn})
		return
	}
	g.openConnection(a.Attempt, a.Conn, func(ctx context.Context) (engine.Stream, error) {
		return g.client.Resume(ctx, rec.address, rec.engineID, a.After)
	})
}

// openConnection opens a connection to an engine in a new goroutine, which posts
// the connection's events until it ends or is closed.
func (g *generation) openConnection(attempt, conn int, dial func(context.Context) (engine.Stream, error)) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(g.attempts[attempt].ctx))
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
			post(connectionEnd(attempt, conn, err))
			return
		}
		defer s.Close()
		// Next may still block after ctx has ended; Close makes it return.
		stop := context.AfterFunc(ctx, func() { s.Close() })
		defer stop()
		post(recovery.Opened{Attempt: attempt, Conn: conn})
		for ctx.Err() == nil {
			token, err := s.Next(ctx)
			if err != nil {
				post(connectionEnd(attempt, conn, err))
				return
			}
			post(recovery.Token{Attempt: attempt, Conn: conn, Index: token.Index, Text: token.Text})
		}
	}()
}

// connectionEnd returns the event for the error that ended a connection.
func connectionEnd(attempt, conn int, err error) recovery.Event {
	var finished *engine.FinishedError
	var refused *engine.RefusedError
	var dial *net.OpError
	switch {
	case errors.As(err, &finished):
		return recovery.Finished{Attempt: attempt, Conn: conn, Reason: finished.Reason}
	case errors.Is(err, engine.ErrUnknownGeneration):
		return recovery.UnknownGeneration{Attempt: attempt, Conn: conn}
	case errors.As(err, &dial) && dial.Op == "dial":
		// Drivers may return a RefusedError as well. This must not count as the
		// answer of an overloaded engine, because no connection was made.
		return recovery.Broken{Attempt: attempt, Conn: conn, NotRun: true}
	case errors.As(err, &refused):
		return recovery.Refused{Attempt: attempt, Conn: conn, Status: refused.Status, RetryAfter: refused.RetryAfter, NotRun: refused.NotRun}
	}
	return recovery.Broken{Attempt: attempt, Conn: conn}
}
