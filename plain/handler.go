// Package plain serves calls to plain HTTP services. It authenticates the account,
// finds the route, and forwards the call to an upstream. Idempotent calls are
// retried on other upstreams; all others go through a claim and run at most once.
package plain

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/url"
	"path"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/gooseberryroad/gooseberryroad/document"
	"github.com/gooseberryroad/gooseberryroad/node"
	"github.com/gooseberryroad/gooseberryroad/quarantine"
	"github.com/gooseberryroad/gooseberryroad/refusal"
)

// Prefix is the path prefix of all services.
const Prefix = "/services/"

// Headers that callers use.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "X-Request-Id"
	HeaderTimeout        = "X-Request-Timeout-Ms"
	// HeaderReplayed is set to "true" on a reply that is the recorded outcome of
	// an earlier call.
	HeaderReplayed = "Idempotency-Replayed"
)

// Codes of refusals that do not come from a claim.
const (
	codeUnknownService = "unknown_service"
	codeUnknownRoute   = "unknown_route"
	codeBadPath        = "bad_path"
	codeBadHeader      = "bad_header"
	codeBadKey         = "invalid_api_key"
	codeTooLarge       = "body_too_large"
	codeBodyLost       = "body_incomplete"
	codeOverloaded     = "overloaded"
	codeDraining       = "draining"
	codeNoUpstream     = "no_upstream"
	codeQuarantined    = "quarantined"
	codeSuspect        = "suspect_held"
)

// maxKeyBytes bounds the length of an idempotency key, as published drafts of the
// header do, and of a caller's request ID.
const maxKeyBytes = 255

// Handler serves calls below Prefix.
type Handler struct {
	opts          Options
	tracer        trace.Tracer
	bufferedBytes atomic.Int64
	mu            sync.Mutex // guards rnd
	rnd           *rand.Rand
	recorder      outcomeRecorder
	notices       *notices
	// refusingNew is set once new calls are refused.
	refusingNew atomic.Bool
}

// StopNewCalls makes the handler refuse all further calls. The daemon calls it
// some time after it reports that it is not ready, so that the load balancer has
// stopped sending calls by then.
func (h *Handler) StopNewCalls() { h.refusingNew.Store(true) }

// New returns a handler. It panics when Snapshot, Store, Transport or Nonce is
// missing, which is a programming error.
func New(o Options) *Handler {
	if o.Snapshot == nil || o.Store == nil || o.Transport == nil || o.Nonce == nil {
		panic("plain: Snapshot, Store, Transport and Nonce are required")
	}
	if o.Clock == nil {
		o.Clock = systemClock{}
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	o.Logger = o.Logger.With("part", "plain")
	if o.OnResult == nil {
		o.OnResult = func(Result) {}
	}
	if o.BodyLimit <= 0 {
		o.BodyLimit = document.DefaultMaxBodyBytes
	}
	if o.ReplyBuffer <= 0 {
		o.ReplyBuffer = document.DefaultMaxHeldBytes
	}
	if o.MaxBufferedBytes <= 0 {
		o.MaxBufferedBytes = 64 << 20
	}
	if o.MaxAttempts <= 0 {
		o.MaxAttempts = 3
	}
	if o.StoreTimeout <= 0 {
		o.StoreTimeout = 500 * time.Millisecond
	}
	if o.Tracer == nil {
		o.Tracer = otel.GetTracerProvider()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.GetDefaultSet()
	}
	h := &Handler{
		opts:   o,
		tracer: o.Tracer.Tracer("gooseberryroad/plain"),
		rnd:    rand.New(rand.NewPCG(o.Seed, 0x706c61696e)),
		// A source of its own, because it has a lock of its own.
		notices: newNotices(rand.New(rand.NewPCG(o.Seed, 0x6e6f7465))),
	}
	h.recorder.init(h)
	return h
}

// Drain waits until the outcomes of all answered calls are recorded and the
// pending releases are written. It returns ctx's error if ctx is done earlier.
// The HTTP server must have finished its calls before.
func (h *Handler) Drain(ctx context.Context) error { return h.recorder.drain(ctx) }

// call is one call of a caller.
type call struct {
	view        *node.ServiceView
	account     *document.Account
	route       *document.Route
	method      string
	path        string // escaped path below the service, with the query
	header      http.Header
	body        []byte
	id          string
	deadline    time.Time
	contentHash quarantine.Hash
	// trialUpstream is the only upstream that the call may use if it runs as a
	// suspect's trial; otherwise it is empty.
	trialUpstream string
	// completed reports whether the last reply of an upstream was read to its end.
	completed bool
}

// ServeHTTP handles one call.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := h.opts.Clock.Now()
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := h.tracer.Start(ctx, "plain.call", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	if id := r.Header.Get(HeaderRequestID); id != "" && len(id) <= maxKeyBytes {
		w.Header().Set(HeaderRequestID, id)
	} else {
		w.Header().Set(HeaderRequestID, h.opts.Nonce())
	}
	c, ref := h.admit(r, start)
	if ref == nil {
		c.id = w.Header().Get(HeaderRequestID)
		span.SetAttributes(attribute.String("service", c.view.Doc.Name), attribute.String("route", c.route.Name),
			attribute.String("account", c.account.Name), attribute.Bool("idempotent", c.route.Idempotent))
		// The errors are ignored because the response recorder of a test has no
		// deadlines. The extra second leaves time to write a refusal at the
		// call's deadline.
		rc := http.NewResponseController(w)
		remaining := c.deadline.Sub(start)
		_ = rc.SetReadDeadline(time.Now().Add(remaining))
		_ = rc.SetWriteDeadline(time.Now().Add(remaining + time.Second))
		var release func()
		c.body, release, ref = h.readBody(r, c)
		defer release()
		_ = rc.SetReadDeadline(time.Time{})
		if ref == nil {
			c.contentHash = quarantine.HashOf(c.view.Doc.Name, c.method+" "+c.path, c.body)
			var endTrial func()
			endTrial, ref = h.checkQuarantine(ctx, c)
			defer endTrial()
		}
	}
	if ref != nil {
		h.refuse(w, span, c, *ref)
		return
	}
	if c.route.Idempotent {
		h.serveIdempotent(ctx, w, span, c)
	} else {
		h.serveNonIdempotent(ctx, w, span, c)
	}
	h.opts.Metrics.GetOrCreateHistogram(fmt.Sprintf(`gooseberryroad_plain_seconds{service=%q}`, c.view.Doc.Name)).
		Update(h.opts.Clock.Now().Sub(start).Seconds())
}

// admit finds the service, account, route and deadline of a call, or returns a
// refusal with the outcome not_run.
func (h *Handler) admit(r *http.Request, now time.Time) (*call, *refusal.Refusal) {
	reject := func(status int, code, message string, after time.Duration) (*call, *refusal.Refusal) {
		return nil, &refusal.Refusal{Status: status, Code: code, Message: message, Outcome: refusal.NotRun, RetryAfter: after}
	}
	escaped := r.URL.EscapedPath()
	remaining, ok := strings.CutPrefix(escaped, Prefix)
	name, subpath, _ := strings.Cut(remaining, "/")
	snap := h.opts.Snapshot()
	if h.refusingNew.Load() {
		return reject(http.StatusServiceUnavailable, codeDraining, "this daemon is shutting down", time.Second)
	}
	view := snap.Services[name]
	if !ok || view == nil || view.Doc == nil || view.Doc.Kind != document.KindPlain {
		return reject(http.StatusNotFound, codeUnknownService, fmt.Sprintf("there is no plain service %q", name), 0)
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	account := view.Doc.AccountFor(strings.TrimSpace(key))
	if !ok || account == nil {
		return reject(http.StatusUnauthorized, codeBadKey, "the bearer key is missing or belongs to no account of the service", 0)
	}
	subpath = "/" + subpath
	if !unambiguousPath(subpath) {
		// An upstream that normalises such a path could serve another route
		// than the one found here, such as one that must not be repeated.
		return reject(http.StatusBadRequest, codeBadPath, "the path may hold no empty or dot segments, backslashes, or escaped slashes, dots or controls", 0)
	}
	decoded, err := url.PathUnescape(subpath)
	if err != nil {
		return reject(http.StatusBadRequest, codeBadPath, "the path has a malformed escape", 0)
	}
	route := view.Doc.RouteFor(r.Method, decoded)
	if route == nil {
		return reject(http.StatusNotFound, codeUnknownRoute, fmt.Sprintf("service %s has no route for %s %s", name, r.Method, decoded), 0)
	}
	c := &call{view: view, account: account, route: route, method: r.Method, path: subpath, header: r.Header}
	if r.URL.RawQuery != "" {
		c.path += "?" + r.URL.RawQuery
	}
	timeout := route.Timeout
	if v := r.Header.Get(HeaderTimeout); v != "" {
		ms, err := strconv.ParseInt(v, 10, 32)
		if err != nil || ms <= 0 {
			return reject(http.StatusBadRequest, codeBadHeader, HeaderTimeout+" must be a whole number of milliseconds above 0", 0)
		}
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	if keys := r.Header.Values(HeaderIdempotencyKey); len(keys) > 1 || len(keys) == 1 && len(keys[0]) > maxKeyBytes {
		return reject(http.StatusBadRequest, codeBadHeader, fmt.Sprintf("%s must be given once, with at most %d bytes", HeaderIdempotencyKey, maxKeyBytes), 0)
	}
	c.deadline = now.Add(timeout)
	return c, nil
}

// unambiguousPath reports whether every server resolves the escaped path to the
// same path.
func unambiguousPath(p string) bool {
	if strings.Contains(p, "\\") || strings.Contains(p, "//") {
		return false
	}
	trimmed := p
	if len(p) > 1 {
		trimmed = strings.TrimSuffix(p, "/")
	}
	if path.Clean(p) != trimmed {
		return false
	}
	lower := strings.ToLower(p)
	for _, escape := range []string{"%2f", "%2e", "%5c", "%25", "%3b", "%3f", "%23"} {
		if strings.Contains(lower, escape) {
			return false
		}
	}
	for i := 0; i+2 < len(lower); i++ {
		if lower[i] == '%' && (lower[i+1] == '0' || lower[i+1] == '1' || lower[i+1:i+3] == "7f") {
			return false
		}
	}
	return true
}

// reserveBytes reserves n bytes of Options.MaxBufferedBytes and reports whether
// they were available.
func (h *Handler) reserveBytes(n int64) bool {
	if h.bufferedBytes.Add(n) > h.opts.MaxBufferedBytes {
		h.bufferedBytes.Add(-n)
		return false
	}
	return true
}

// readBody reads the body of a call, after reserving memory for it and for the
// reply. The returned function, which is never nil, frees the reservation.
func (h *Handler) readBody(r *http.Request, c *call) ([]byte, func(), *refusal.Refusal) {
	limit := min(h.opts.BodyLimit, c.view.Doc.Limits.MaxBodyBytes)
	if limit <= 0 {
		limit = h.opts.BodyLimit
	}
	reject := func(status int, code, message string, after time.Duration) ([]byte, func(), *refusal.Refusal) {
		return nil, func() {}, &refusal.Refusal{Status: status, Code: code, Message: message, Outcome: refusal.NotRun, RetryAfter: after}
	}
	tooLarge := fmt.Sprintf("the body may have at most %d bytes", limit)
	if r.ContentLength > limit {
		return reject(http.StatusRequestEntityTooLarge, codeTooLarge, tooLarge, 0)
	}
	// A body of unknown length is counted as the largest one.
	n := r.ContentLength
	if n < 0 {
		n = limit
	}
	n += int64(h.opts.ReplyBuffer)
	if !h.reserveBytes(n) {
		return reject(http.StatusServiceUnavailable, codeOverloaded, "this daemon holds as many calls as its memory allows", time.Second)
	}
	release := func() { h.bufferedBytes.Add(-n) }
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err == nil && int64(len(body)) <= limit {
		return body, release, nil
	}
	release()
	if err != nil {
		return reject(http.StatusBadRequest, codeBodyLost, "the body did not arrive in full", 0)
	}
	return reject(http.StatusRequestEntityTooLarge, codeTooLarge, tooLarge, 0)
}

// checkQuarantine refuses a call whose content is quarantined or held. For a
// suspect it waits for a trial and sets the upstream that the call may use.
// endTrial, which is never nil, must be called when the call has ended.
func (h *Handler) checkQuarantine(ctx context.Context, c *call) (endTrial func(), ref *refusal.Refusal) {
	endTrial = func() {}
	if h.opts.Verdict == nil {
		return endTrial, nil
	}
	switch h.opts.Verdict(c.contentHash) {
	case quarantine.Clear:
		return endTrial, nil
	case quarantine.Quarantined:
		return endTrial, &refusal.Refusal{Status: http.StatusUnprocessableEntity, Code: codeQuarantined, Outcome: refusal.NotRun,
			Message: "a call with this content crashed the upstreams that ran it; it is not run again for an hour"}
	case quarantine.Suspect:
		if h.opts.StartTrial == nil {
			break
		}
		var names []string
		for i := range c.view.Upstreams {
			if u := &c.view.Upstreams[i]; usable(c.view, u) && (u.State == node.UpstreamAlive || u.State == node.UpstreamUnknown) {
				names = append(names, u.Name)
			}
		}
		ctx, cancel := h.withDeadline(ctx, c.deadline)
		defer cancel()
		upstream, done, ok := h.opts.StartTrial(ctx, c.contentHash, names)
		if !ok {
			break
		}
		c.trialUpstream = upstream
		return func() { done(c.completed) }, nil
	}
	return endTrial, &refusal.Refusal{Status: http.StatusServiceUnavailable, Code: codeSuspect, Outcome: refusal.NotRun,
		RetryAfter: 2 * time.Second, Message: "an upstream crashed while it ran a call with this content"}
}

// refuse sends a refusal and counts it. The call is nil if it was not admitted.
func (h *Handler) refuse(w http.ResponseWriter, span trace.Span, c *call, ref refusal.Refusal) {
	service := ""
	if c != nil {
		service = c.view.Doc.Name
	}
	span.SetAttributes(attribute.String("code", ref.Code), attribute.String("outcome", string(ref.Outcome)))
	h.opts.Metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberryroad_plain_refusals_total{service=%q,code=%q,outcome=%q}`,
		service, ref.Code, ref.Outcome)).Inc()
	ref.Write(w)
}

// withDeadline is like context.WithDeadline, but uses the handler's clock.
func (h *Handler) withDeadline(ctx context.Context, at time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := h.opts.Clock.AfterFunc(at.Sub(h.opts.Clock.Now()), func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}

// wait returns true after d, or false as soon as ctx is done.
func (h *Handler) wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	done := make(chan struct{})
	stop := h.opts.Clock.AfterFunc(d, func() { close(done) })
	defer stop()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}
