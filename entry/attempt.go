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
		Account: g.call.account, Outcome: outcome, EndedAt: g.e.o.Now(), Tokens: t.tokens, BodyHash: g.call.bodyHash,
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
		DataCentre: g.e.o.DataCentre, Region: g.e.o.Region, Version: p.Version, OwnInFlight: g.e.inflight.get,
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
