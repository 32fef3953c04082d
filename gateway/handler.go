package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/gooseberryroad/gooseberryroad/directory"
	"github.com/gooseberryroad/gooseberryroad/drain"
	"github.com/gooseberryroad/gooseberryroad/internal/clientconn"
	"github.com/gooseberryroad/gooseberryroad/quarantine"
	"github.com/gooseberryroad/gooseberryroad/registry"
	"github.com/gooseberryroad/gooseberryroad/routes"
	"github.com/gooseberryroad/gooseberryroad/shedding"
)

var tracer = otel.Tracer("gooseberryroad/gateway")

// startAttempt starts the span of one attempt at one upstream.
func startAttempt(ctx context.Context, in registry.Instance) (context.Context, trace.Span) {
	return tracer.Start(ctx, "gateway.attempt", trace.WithAttributes(
		attribute.String("upstream", in.ID), attribute.String("data_centre", in.DataCentre)))
}

// request is a client's request with what admission found out about it.
type request struct {
	*Call
	route   *routes.Route
	service string
	engine  *routes.Engine
	account string
	// priority is 0 for the most urgent requests. sendsPriority says that engines are told it.
	priority      int
	sendsPriority bool
	arrivedAt     time.Time
	// deadline is when the gateway must respond to the client.
	deadline time.Time
	version  int64
	// cachedHash is computed by contentHash when it is first needed.
	cachedHash *quarantine.Hash
	// cachedParts is computed by sharedParts when it is first needed.
	cachedParts []quarantine.Hash
	// heldResponseBytes is what is reserved for responses until the request ends.
	heldResponseBytes int64
	// shedClass decides whether the request gives way to others of its service.
	shedClass shedding.Class
	// useTargetVersion says that the request goes to the version to which its
	// service is being moved.
	useTargetVersion bool
	// reported says that Options.OnBegan was called for the request.
	reported bool
	// sized says that the request counts for the number of replicas of its service.
	sized bool
	// begun says that the request was counted for the retry budget.
	begun bool
	// forwardAgainAt is when the request may be offered to other daemons again.
	forwardAgainAt time.Time
}

func (r *request) timeLeft(now time.Time) time.Duration { return r.deadline.Sub(now) }

// lastSend is the time after which the request is not sent to an upstream any more.
func (r *request) lastSend() time.Time { return r.deadline.Add(-minAttemptTime) }

func (r *request) remoteBias() float64 {
	if r.engine != nil {
		return remoteEngineBias
	}
	return remoteBias
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	// Only other daemons forward requests.
	hr.Header.Del(forwardHeader)
	g.serve(w, hr, nil)
}

// serve serves a request of a client, or one that another daemon forwards.
func (g *Gateway) serve(w http.ResponseWriter, hr *http.Request, f *forwardMark) {
	arrived := time.Now()
	original := g.originalHeader(hr, f)
	call := g.o.Protocol.DecodeRequest(hr)
	call.connection = clientconn.FromContext(hr.Context())
	call.original, call.forwarded = original, f
	if f != nil {
		call.Timeout = f.timeLeft
	}
	plan := g.drainPlan.Load()
	view := g.o.Directory.View()
	if !view.Ready && plan == nil {
		g.awaitReady(hr.Context(), startHold(call.Timeout))
		view = g.o.Directory.View()
	}
	r, refusal := g.admit(view, &call, arrived)
	if refusal == nil && plan != nil {
		refusal = r.admitWhileDraining(plan, g.usualTime(r.route), arrived)
	}
	if refusal == nil {
		if f == nil {
			g.countDemand(r)
		}
		var held int64
		held, refusal = g.readBody(w, hr, view.Table, r)
		defer g.heldBodies.release(held)
	}
	if refusal == nil {
		refusal = g.refuseQuarantined(r)
	}
	if refusal == nil && !g.cutOff(r) {
		refusal = g.shed(r, view.Table)
	}
	if refusal != nil {
		g.refuseWithUnreadBody(w, hr, &call, *refusal)
		g.logRefusal(&call, r, *refusal)
		return
	}
	ctx, cancel := context.WithDeadline(hr.Context(), r.deadline)
	defer cancel()
	ctx, span := tracer.Start(ctx, "gateway.request", trace.WithAttributes(
		attribute.String("request.id", r.ID), attribute.String("route", r.route.Name), attribute.Int64("config.version", r.version)))
	defer span.End()
	if r.route.Kind == routes.Stream {
		g.runningStreams.Add(1)
		defer g.runningStreams.Add(-1)
		g.serveStream(ctx, w, r)
		return
	}
	defer func() { g.heldBodies.release(r.heldResponseBytes) }()
	ctx, ended := g.endWithStop(ctx, func() bool { return true })
	defer ended()
	g.serveBuffered(ctx, w, r)
}

// begin counts a request that this daemon is about to send to upstreams itself, and chooses
// its version. A forwarded request is counted by one daemon only: the retry budget is a part of
// the fleet's requests.
func (g *Gateway) begin(r *request) {
	if r.begun {
		return
	}
	r.begun = true
	if r.forwarded == nil || !r.forwarded.counted {
		g.countRequest(r.service)
	}
	g.chooseVersion(r)
}

// reportBegan reports that an upstream began a request of a client account.
func (g *Gateway) reportBegan(r *request, at time.Time) {
	if g.o.OnBegan == nil || r.account == "" || r.reported {
		return
	}
	r.reported = true
	g.o.OnBegan(r.account, at)
}

// startHoldShare is the part of a client's timeout for which a daemon that has just
// started holds a request until it knows the configuration. After the loss of all
// daemons that takes about a second, and a client that is refused by two starting
// daemons does not come again. Clients whose time is short are told to come back.
const startHoldShare = 1.0 / 12

// maxStartHold bounds it for clients that wait for minutes.
const maxStartHold = 2 * time.Second

// startHold returns how long a request of a client with the given timeout is held.
func startHold(clientTimeout time.Duration) time.Duration {
	return min(time.Duration(startHoldShare*float64(clientTimeout)), maxStartHold)
}

// awaitReady waits until the configuration and the upstreams are known, at most for
// the given time.
func (g *Gateway) awaitReady(ctx context.Context, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-g.o.Directory.Ready():
	case <-timer.C:
	case <-ctx.Done():
	}
}

// admit finds the route, the account and the service of a request and sets its
// deadline. The returned request is nil if there is no configuration or no
// matching route.
func (g *Gateway) admit(view *directory.View, call *Call, arrived time.Time) (*request, *refusal) {
	if view.Table == nil {
		return nil, &refusal{status: http.StatusServiceUnavailable, code: "no_configuration", retryAfter: time.Second}
	}
	route, ok := view.Table.Match(call.Host, call.Path)
	if !ok {
		return nil, &refusal{status: http.StatusNotFound, code: "no_route"}
	}
	r := &request{Call: call, route: route, arrivedAt: arrived, version: view.Table.Version()}
	if view.Table.NeedsAccount(route) {
		if r.account, ok = view.Table.Account(call.Key); !ok {
			return r, &refusal{status: http.StatusUnauthorized, code: "unknown_key"}
		}
	} else if name, known := view.Table.Account(call.Key); known {
		r.account = name
	}
	if call.ID == "" {
		return r, &refusal{status: http.StatusBadRequest, code: "no_request_id"}
	}
	r.service = route.Choose(g.randomFloat())
	if s, ok := view.Table.Service(r.service); ok {
		r.engine = s.Engine
		r.sized = s.Scaling != nil && route.Kind == routes.Stream
	}
	r.priority = view.Table.Priority(route, r.account)
	r.sendsPriority = r.engine != nil && view.Table.RanksRequests(r.service)
	r.deadline = deadline(call.Timeout, route.Timeout, arrived)
	return r, nil
}

// refuseQuarantined refuses a request whose content, or a part of whose prompt,
// crashed too many upstreams.
func (g *Gateway) refuseQuarantined(r *request) *refusal {
	timeLeft, cause := g.quarantineTimeLeft(r)
	if timeLeft == 0 {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, code: codeQuarantined, retryAfter: timeLeft, cause: cause}
}

// usualTime returns the time within which requests of a route are usually answered.
func (g *Gateway) usualTime(route *routes.Route) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(route.TargetLatency, g.usualLatency[route.Name])
}

// admitWhileDraining refuses a request that the stop of the daemon would cut, and one
// that would have less than twice the usual time of its route. If the deadline of
// another request that is not a stream is later than the end of the plan, it becomes
// the end of the plan.
func (r *request) admitWhileDraining(plan *drain.Plan, usualTime time.Duration, now time.Time) *refusal {
	isStream := r.route.Kind == routes.Stream
	if !plan.Accepts(isStream, now) || !isStream && !plan.LeavesTime(2*usualTime, now) {
		return &refusal{status: http.StatusServiceUnavailable, code: codeStopping, retryAfter: stopRetryAfter}
	}
	if !isStream && plan.AnswerBy().Before(r.deadline) {
		r.deadline = plan.AnswerBy()
	}
	return nil
}

// deadline returns the time by which the gateway must respond: after the
// shorter of the client's and the route's timeout, or after defaultTimeout if
// neither sets one, less replyMargin.
func deadline(clientTimeout, routeTimeout time.Duration, arrived time.Time) time.Time {
	limit := defaultTimeout
	if clientTimeout > 0 {
		limit = clientTimeout
	}
	if routeTimeout > 0 {
		limit = min(limit, routeTimeout)
	}
	return arrived.Add(limit - replyMargin)
}

// readBody reads the body into the request. It returns the number of reserved
// bytes, which the caller must release.
func (g *Gateway) readBody(w http.ResponseWriter, hr *http.Request, table *routes.Table, r *request) (int64, *refusal) {
	if hr.ContentLength == 0 {
		return 0, nil
	}
	limit := table.MaxBodyBytes()
	if limit <= 0 {
		limit = maxResponseBytes
	}
	if hr.ContentLength > limit {
		return 0, &refusal{status: http.StatusRequestEntityTooLarge, code: "body_too_large"}
	}
	rc := http.NewResponseController(w)
	// The error is ignored: only the connections of tests lack deadlines, and the
	// deadline only bounds slow senders.
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout))
	// At the end of a stop a client that still sends gets an answer, like the others.
	stopWaiting := context.AfterFunc(g.stopEnds, func() { _ = rc.SetReadDeadline(time.Now()) })
	defer stopWaiting()
	body, reserved, err := g.heldBodies.readRequest(http.MaxBytesReader(w, hr.Body, limit), hr.ContentLength, limit)
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errNoMemory):
		return 0, &refusal{status: http.StatusServiceUnavailable, code: "memory", retryAfter: time.Second}
	case errors.As(err, &tooLarge), errors.Is(err, errTooLong):
		return 0, &refusal{status: http.StatusRequestEntityTooLarge, code: "body_too_large"}
	case err != nil && g.stopEnds.Err() != nil:
		return 0, &refusal{status: http.StatusServiceUnavailable, code: codeStopping, retryAfter: stopRetryAfter, cause: err}
	case err != nil:
		return 0, &refusal{status: http.StatusBadRequest, code: "body_not_read", cause: err}
	}
	r.Body = body
	return reserved, nil
}
