package plain

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/gooseberryroad/gooseberryroad/claim"
	"github.com/gooseberryroad/gooseberryroad/node"
	"github.com/gooseberryroad/gooseberryroad/refusal"
)

// hopByHop are the headers that end at a hop (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns a copy without the headers of the hop.
func endToEnd(in http.Header) http.Header {
	out := in.Clone()
	for _, line := range in.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// reply is an upstream's reply whose first part is held.
type reply struct {
	status int
	header http.Header
	head   []byte
	// rest is the part that is not held; nil when head is the whole body.
	rest   io.ReadCloser
	cancel context.CancelFunc
	result Result
}

func (r *reply) close() {
	if r.rest != nil {
		_ = r.rest.Close()
	}
	r.cancel()
}

// attemptError is a failed attempt at an upstream.
type attemptError struct {
	err error
	// notSent is set when certainly no byte reached the upstream.
	notSent bool
}

func (e *attemptError) Error() string { return e.err.Error() }

// attempt sends the call to one upstream and reads the reply up to the bound.
func (h *Handler) attempt(ctx context.Context, c *call, u *node.UpstreamView, n int) (*reply, *attemptError) {
	ctx, span := h.tracer.Start(ctx, "plain.attempt", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("upstream", u.Name), attribute.String("version", u.Version), attribute.Int("attempt", n)))
	defer span.End()
	start := h.o.Clock.Now()
	rep, aerr := h.send(ctx, c, u)
	res := Result{Service: c.view.Doc.Name, Route: c.route.Name, Version: u.Version, Upstream: u.Name, ContentHash: c.content,
		At: start, Duration: h.o.Clock.Now().Sub(start)}
	result := "reply"
	if aerr != nil {
		res.Unreachable, res.Lost = aerr.notSent, !aerr.notSent
		result = "lost"
		if aerr.notSent {
			result = "unreachable"
		}
		span.SetStatus(codes.Error, aerr.Error())
	} else {
		res.Status = rep.status
		rep.result = res
		c.completed = rep.rest == nil
		span.SetAttributes(attribute.Int("status", rep.status))
	}
	h.o.Metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberryroad_plain_attempts_total{service=%q,result=%q}`, res.Service, result)).Inc()
	h.o.OnResult(res)
	return rep, aerr
}

func (h *Handler) send(ctx context.Context, c *call, u *node.UpstreamView) (*reply, *attemptError) {
	ctx, cancel := h.withDeadline(ctx, c.deadline)
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	resp, err := h.o.Transport.RoundTrip(h.request(ctx, c, u))
	if err != nil {
		cancel()
		var op *net.OpError
		dial := errors.As(err, &op) && op.Op == "dial"
		return nil, &attemptError{err: err, notSent: dial && !connected.Load()}
	}
	head, err := io.ReadAll(io.LimitReader(resp.Body, int64(h.o.ReplyBuffer)+1))
	if err != nil {
		_ = resp.Body.Close()
		cancel()
		return nil, &attemptError{err: err}
	}
	rep := &reply{status: resp.StatusCode, header: endToEnd(resp.Header), head: head, cancel: cancel}
	if len(head) > h.o.ReplyBuffer {
		rep.rest = resp.Body
		return rep, nil
	}
	_ = resp.Body.Close()
	cancel()
	return rep, nil
}

func (h *Handler) request(ctx context.Context, c *call, u *node.UpstreamView) *http.Request {
	target, err := url.ParseRequestURI(c.path)
	if err != nil {
		// The server parsed the same text.
		target = &url.URL{Path: "/"}
	}
	target.Scheme, target.Host = "http", u.Address
	header := endToEnd(c.header)
	// The account's key is the daemon's business, and the daemon has read the
	// body that the caller was asked to wait with.
	for _, name := range []string{"Authorization", "Expect", "Content-Length", HeaderTimeout} {
		header.Del(name)
	}
	header.Set(HeaderRequestID, c.id)
	header.Set("X-Account", c.account.Name)
	if header.Get("User-Agent") == "" {
		header["User-Agent"] = []string{""}
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(header))
	req := &http.Request{Method: c.method, URL: target, Host: u.Address, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	if len(c.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(c.body))
		req.ContentLength = int64(len(c.body))
	}
	if !c.route.Idempotent {
		neverReplay(req)
	}
	return req.WithContext(ctx)
}

// neverReplay keeps net/http.Transport from sending a request a second time by
// itself. When a reused connection breaks before a reply, the transport repeats
// requests whose body it can get again or that have none, if the method is GET,
// HEAD, OPTIONS or TRACE or if an idempotency key is in the header.
func neverReplay(req *http.Request) {
	req.GetBody = nil
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if v, ok := req.Header[name]; ok {
			// The transport looks for the canonical spelling only; on the wire
			// names have no case.
			delete(req.Header, name)
			req.Header[strings.ToLower(name)] = v
		}
	}
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		if req.Body == nil {
			// A body that is not known to be empty is never repeated. The
			// transport finds it empty and sends none.
			req.Body = io.NopCloser(strings.NewReader(""))
		}
	}
}

// repeatable forwards an idempotent call, on other upstreams when one fails.
func (h *Handler) repeatable(ctx context.Context, w http.ResponseWriter, span trace.Span, c *call) {
	tried := map[string]bool{}
	ran := refusal.NotRun
	refusals := 0
	var last *attemptError
	for n := 1; n <= h.o.MaxAttempts; n++ {
		if n > 1 && !h.wait(ctx, h.retryPause(n, c)) {
			break
		}
		if !h.o.Clock.Now().Before(c.deadline) || ctx.Err() != nil {
			break
		}
		u := h.pick(c, tried)
		if u == nil {
			break
		}
		tried[u.Name] = true
		rep, aerr := h.attempt(ctx, c, u, n)
		if aerr != nil {
			last = aerr
			if !aerr.notSent {
				ran = refusal.MayHaveRun
			}
			continue
		}
		again := false
		switch rep.status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			// Upstreams that shed load are asked once more in all: retries
			// would add to the load that they shed.
			refusals++
			again = refusals == 1
		case http.StatusBadGateway, http.StatusGatewayTimeout:
			again = true
		}
		if again && n < h.o.MaxAttempts && h.pick(c, tried) != nil && h.o.Clock.Now().Before(c.deadline) {
			rep.close()
			ran = refusal.MayHaveRun
			continue
		}
		h.pass(w, c, rep)
		return
	}
	switch {
	case last == nil && len(tried) == 0 && h.o.Clock.Now().Before(c.deadline) && ctx.Err() == nil:
		h.refuse(w, span, c, refusal.Refusal{Status: http.StatusServiceUnavailable, Code: codeNoUpstream,
			Message: errNoUpstream.Error(), Outcome: ran, RetryAfter: time.Second})
	case !h.o.Clock.Now().Before(c.deadline):
		h.refuse(w, span, c, refusal.Refusal{Status: http.StatusGatewayTimeout, Code: claim.CodeDeadline,
			Message: "no upstream replied within the deadline", Outcome: ran})
	case ran == refusal.NotRun:
		h.refuse(w, span, c, refusal.Refusal{Status: http.StatusServiceUnavailable, Code: claim.CodeUpstreamUnreachable,
			Message: "no upstream could be reached", Outcome: ran, RetryAfter: time.Second})
	default:
		h.refuse(w, span, c, refusal.Refusal{Status: http.StatusBadGateway, Code: claim.CodeReplyLost,
			Message: "the reply was lost on every upstream that was tried", Outcome: ran})
	}
}

// retryPause returns the pause before attempt n: 10 ms doubled, with full
// jitter, so that calls that failed together do not come back together.
func (h *Handler) retryPause(n int, c *call) time.Duration {
	most := min(10*time.Millisecond<<min(n-1, 6), c.deadline.Sub(h.o.Clock.Now()))
	return time.Duration(h.random() * float64(max(most, 0)))
}

// pass sends a reply to the caller and returns the length of the body. When
// the upstream breaks off in the middle, complete is false and the caller's
// connection must be cut so that the reply does not look whole.
func (h *Handler) pass(w http.ResponseWriter, c *call, rep *reply) {
	if _, complete := h.copyReply(w, c, rep); !complete {
		abort(w)
	}
}

// abort cuts the caller's connection. The write deadline makes sure that a
// recovery middleware that takes the panic cannot end the reply in order.
func abort(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0))
	panic(http.ErrAbortHandler)
}

func (h *Handler) copyReply(w http.ResponseWriter, c *call, rep *reply) (int64, bool) {
	defer rep.close()
	h.o.Metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberryroad_plain_replies_total{service=%q,class="%dxx"}`,
		c.view.Doc.Name, rep.status/100)).Inc()
	setHeaders(w, rep.header)
	if rep.rest == nil && rep.status != http.StatusNoContent && rep.status != http.StatusNotModified && c.method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.Itoa(len(rep.head)))
	}
	w.WriteHeader(rep.status)
	// A caller that is gone does not stop the reading: the outcome of a claim
	// is recorded whether or not the caller hears it.
	_, _ = w.Write(rep.head)
	n := int64(len(rep.head))
	if rep.rest == nil {
		return n, true
	}
	m, err := io.CopyBuffer(lenient{w}, struct{ io.Reader }{rep.rest}, make([]byte, 16<<10))
	c.completed = err == nil
	if err != nil {
		rep.result.Lost = true
		h.o.OnResult(rep.result)
	}
	return n + m, err == nil
}

// lenient is a writer that takes everything, also when the caller is gone.
type lenient struct{ w io.Writer }

func (l lenient) Write(b []byte) (int, error) {
	_, _ = l.w.Write(b)
	return len(b), nil
}

// setHeaders copies an upstream's headers. The request ID stays the daemon's.
func setHeaders(w http.ResponseWriter, header http.Header) {
	for name, values := range header {
		if name != HeaderRequestID {
			w.Header()[name] = values
		}
	}
}
