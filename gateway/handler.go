package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/gooseberryroad/gooseberryroad/directory"
	"github.com/gooseberryroad/gooseberryroad/drain"
	"github.com/gooseberryroad/gooseberryroad/quarantine"
	"github.com/gooseberryroad/gooseberryroad/registry"
	"github.com/gooseberryroad/gooseberryroad/routes"
)

var tracer = otel.Tracer("gooseberryroad/gateway")

// startAttempt begins the span of one request to one upstream.
func startAttempt(ctx context.Context, in registry.Instance) (context.Context, trace.Span) {
	return tracer.Start(ctx, "gateway.attempt", trace.WithAttributes(
		attribute.String("upstream", in.ID), attribute.String("data_centre", in.DataCentre)))
}

// request is one client's request on its way.
type request struct {
	*Call
	route   *routes.Route
	service string
	engine  *routes.Engine
	account string
	arrived time.Time
	// deadline is when the client must have our answer.
	deadline time.Time
	version  int64
	// hash is the content's, once it is needed.
	hash *quarantine.Hash
	// onTarget requests go to the version that is moved in.
	onTarget bool
}

func (r *request) left(now time.Time) time.Duration { return r.deadline.Sub(now) }

func (r *request) remoteBias() float64 {
	if r.engine != nil {
		return remoteEngineBias
	}
	return remoteBias
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	arrived := time.Now()
	call := g.o.Protocol.DecodeRequest(hr)
	stop := g.stop.Load()
	view := g.o.Directory.View()
	r, refusal := g.admit(view, &call, arrived)
	if refusal == nil && stop != nil {
		refusal = r.fitInto(stop, arrived)
	}
	if refusal == nil {
		var held int64
		held, refusal = g.readBody(w, hr, view.Table, r)
		defer g.bodies.release(held)
	}
	if refusal == nil {
		refusal = g.refuseQuarantined(r)
	}
	if refusal != nil {
		g.refuseUnread(w, hr, &call, *refusal)
		g.logRefusal(&call, r, *refusal)
		return
	}
	g.countRequest(r.service)
	g.chooseVersion(r)
	ctx, cancel := context.WithDeadline(hr.Context(), r.deadline)
	defer cancel()
	ctx, span := tracer.Start(ctx, "gateway.request", trace.WithAttributes(
		attribute.String("request.id", r.ID), attribute.String("route", r.route.Name), attribute.Int64("config.version", r.version)))
	defer span.End()
	if r.route.Kind == routes.Stream {
		g.streams.Add(1)
		defer g.streams.Add(-1)
		g.serveStream(ctx, w, r)
		return
	}
	g.serveWhole(ctx, w, r)
}

// admit finds the route and the account of a request.
func (g *Gateway) admit(view *directory.View, call *Call, arrived time.Time) (*request, *refusal) {
	if view.Table == nil {
		return nil, &refusal{status: http.StatusServiceUnavailable, code: "no_configuration", retryAfter: time.Second}
	}
	route, ok := view.Table.Match(call.Host, call.Path)
	if !ok {
		return nil, &refusal{status: http.StatusNotFound, code: "no_route"}
	}
	r := &request{Call: call, route: route, arrived: arrived, version: view.Table.Version()}
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
	r.service = route.Choose(g.pick())
	if s, ok := view.Table.Service(r.service); ok {
		r.engine = s.Engine
	}
	r.deadline = deadline(call.Timeout, route.Timeout, arrived)
	return r, nil
}

// refuseQuarantined refuses a request whose content crashed too many upstreams.
func (g *Gateway) refuseQuarantined(r *request) *refusal {
	left := g.quarantined(r)
	if left == 0 {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, code: codeQuarantined, retryAfter: left}
}

// fitInto ends a short request before the daemon stops, and refuses one that the
// stop would cut.
func (r *request) fitInto(stop *drain.Plan, now time.Time) *refusal {
	long := r.route.Kind == routes.Stream
	if !stop.Accepts(long, now) {
		return &refusal{status: http.StatusServiceUnavailable, code: "stopping", retryAfter: stopRetryAfter}
	}
	if !long && stop.Deadline().Before(r.deadline) {
		r.deadline = stop.Deadline()
	}
	return nil
}

// deadline is the earlier of the client's own and the route's.
func deadline(wait, timeout time.Duration, arrived time.Time) time.Time {
	limit := defaultWait
	if wait > 0 {
		limit = wait
	}
	if timeout > 0 {
		limit = min(limit, timeout)
	}
	return arrived.Add(limit - replyMargin)
}

// readBody reads the body and returns the bytes that it keeps reserved.
func (g *Gateway) readBody(w http.ResponseWriter, hr *http.Request, table *routes.Table, r *request) (int64, *refusal) {
	if hr.ContentLength == 0 {
		return 0, nil
	}
	limit := table.MaxBodyBytes()
	if limit <= 0 {
		limit = maxAnswerBytes
	}
	size := hr.ContentLength
	if size < 0 {
		size = unknownBodyBytes
	}
	if hr.ContentLength > limit {
		return 0, &refusal{status: http.StatusRequestEntityTooLarge, code: "body_too_large"}
	}
	if !g.bodies.reserve(size) {
		return 0, &refusal{status: http.StatusServiceUnavailable, code: "memory", retryAfter: time.Second}
	}
	rc := http.NewResponseController(w)
	// A connection without deadlines is a test's; the deadline only bounds slow
	// senders.
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, hr.Body, limit))
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return size, &refusal{status: http.StatusRequestEntityTooLarge, code: "body_too_large"}
	case err != nil:
		return size, &refusal{status: http.StatusBadRequest, code: "body_not_read", cause: err}
	}
	r.Body = body
	return size, nil
}
