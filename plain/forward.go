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

// hopByHop lists the hop-by-hop headers (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEndHeaders returns a copy of the headers without those that are
// hop-by-hop or named by the Connection header.
func endToEndHeaders(in http.Header) http.Header {
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

// reply is an upstream's reply, of which up to Options.ReplyBuffer bytes of the
// body are buffered.
type reply struct {
	status   int
	header   http.Header
	buffered []byte
	// remaining is the part of the body after buffered; nil when buffered is the
	// whole body.
	remaining io.ReadCloser
	cancel    context.CancelFunc
	result    Result
}

func (r *reply) close() {
	if r.remaining != nil {
		_ = r.remaining.Close()
	}
	r.cancel()
}

// attemptError is a failed attempt at an upstream.
type attemptError struct {
	err error
	// notSent is set when it is certain that no byte reached the upstream.
	notSent bool
}

func (e *attemptError) Error() string { return e.err.Error() }

// attempt sends the call to one upstream, reads the reply up to
// Options.ReplyBuffer, and reports the result. n counts the attempts from 1.
func (h *Handler) attempt(ctx context.Context, c *call, u *node.UpstreamView, n int) (*reply, *attemptError) {
	ctx, span := h.tracer.Start(ctx, "plain.attempt", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("upstream", u.Name), attribute.String("version", u.Version), attribute.Int("attempt", n)))
	defer span.End()
	start := h.opts.Clock.Now()
	h.notices.begin(u)
	rep, aerr := h.send(ctx, c, u)
	if aerr == nil {
		h.noteReply(c, u, rep)
	}
	h.notices.end(u, aerr == nil && rep.status != http.StatusServiceUnavailable)
	res := Result{Service: c.view.Doc.Name, Route: c.route.Name, Version: u.Version, Upstream: u.Name, ContentHash: c.contentHash,
		At: start, Duration: h.opts.Clock.Now().Sub(start)}
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
		c.completed = rep.remaining == nil
		span.SetAttributes(attribute.Int("status", rep.status))
	}
	h.opts.Metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberryroad_plain_attempts_total{service=%q,result=%q}`, res.Service, result)).Inc()
	h.opts.OnResult(res)
	return rep, aerr
}

func (h *Handler) send(ctx context.Context, c *call, u *node.UpstreamView) (*reply, *attemptError) {
	ctx, cancel := h.withDeadline(ctx, c.deadline)
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	resp, err := h.opts.Transport.RoundTrip(h.upstreamRequest(ctx, c, u))
	if err != nil {
		cancel()
		var opErr *net.OpError
		dial := errors.As(err, &opErr) && opErr.Op == "dial"
		return nil, &attemptError{err: err, notSent: dial && !connected.Load()}
	}
	head, err := io.ReadAll(io.LimitReader(resp.Body, int64(h.opts.ReplyBuffer)+1))
	if err != nil {
		_ = resp.Body.Close()
		cancel()
		return nil, &attemptError{err: err}
	}
	rep := &reply{status: resp.StatusCode, header: endToEndHeaders(resp.Header), buffered: head, cancel: cancel}
	if len(head) > h.opts.ReplyBuffer {
		rep.remaining = resp.Body
		return rep, nil
	}
	_ = resp.Body.Close()
	cancel()
	return rep, nil
}

func (h *Handler) upstreamRequest(ctx context.Context, c *call, u *node.UpstreamView) *http.Request {
	target, err := url.ParseRequestURI(c.path)
	if err != nil {
		// Not expected: the HTTP server has already parsed this path.
		target = &url.URL{Path: "/"}
	}
	target.Scheme, target.Host = "http", u.Address
	header := endToEndHeaders(c.header)
	// The account's key is meant for the daemon only. Expect no longer applies,
	// because the daemon has already read the body.
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
		preventTransportRetry(req)
	}
	return req.WithContext(ctx)
}

// preventTransportRetry keeps net/http.Transport from sending a request a second
// time on its own. When a reused connection breaks before a reply, the transport
// repeats requests that have no body or whose body it can get again, if the
// method is GET, HEAD, OPTIONS or TRACE or the header has an idempotency key.
func preventTransportRetry(req *http.Request) {
	req.GetBody = nil
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if v, ok := req.Header[name]; ok {
			// The transport looks only for the canonical spelling; on the wire
			// header names are case-insensitive.
			delete(req.Header, name)
			req.Header[strings.ToLower(name)] = v
		}
	}
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		if req.Body == nil {
			// The transport never repeats a request whose body is not known to
			// be empty. When it sends this one, it finds the body empty and
			// sends none.
			req.Body = io.NopCloser(strings.NewReader(""))
		}
	}
}

// serveIdempotent forwards an idempotent call and tries other upstreams when one
// fails, with at most Options.MaxAttempts attempts.
func (h *Handler) serveIdempotent(ctx context.Context, w http.ResponseWriter, span trace.Span, c *call) {
	tried := map[string]bool{}
	outcome := refusal.NotRun
	refusals := 0
	var lastErr *attemptError
	for n := 1; n <= h.opts.MaxAttempts; n++ {
		if n > 1 && !h.wait(ctx, h.retryPause(n, c)) {
			break
		}
		if !h.opts.Clock.Now().Before(c.deadline) || ctx.Err() != nil {
			break
		}
		u := h.pick(c, tried)
		if u == nil {
			break
		}
		tried[u.Name] = true
		rep, aerr := h.attempt(ctx, c, u, n)
		if aerr != nil {
			lastErr = aerr
			if !aerr.notSent {
				outcome = refusal.MayHaveRun
			}
			continue
		}
		retry := false
		switch rep.status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			// Only one refusal of this kind is retried for each call, because
			// retries add load to a service that is shedding it.
			refusals++
			retry = refusals == 1
		case http.StatusBadGateway, http.StatusGatewayTimeout:
			retry = true
		}
		if retry && n < h.opts.MaxAttempts && h.pick(c, tried) != nil && h.opts.Clock.Now().Before(c.deadline) {
			rep.close()
			outcome = refusal.MayHaveRun
			continue
		}
		h.sendReply(w, c, rep)
		return
	}
	retryAfter, withdrawn := h.allWithdrawn(c)
	switch {
	case withdrawn && outcome == refusal.NotRun && h.opts.Clock.Now().Before(c.deadline) && ctx.Err() == nil:
		h.refuse(w, span, c, refusalWhileWithdrawn(retryAfter))
	case lastErr == nil && len(tried) == 0 && h.opts.Clock.Now().Before(c.deadline) && ctx.Err() == nil:
		h.refuse(w, span, c, refusal.Refusal{Status: http.StatusServiceUnavailable, Code: codeNoUpstream,
			Message: errNoUpstream.Error(), Outcome: outcome, RetryAfter: time.Second})
	case !h.opts.Clock.Now().Before(c.deadline):
		h.refuse(w, span, c, refusal.Refusal{Status: http.StatusGatewayTimeout, Code: claim.CodeDeadline,
			Message: "no upstream replied within the deadline", Outcome: outcome})
	case outcome == refusal.NotRun:
		h.refuse(w, span, c, refusal.Refusal{Status: http.StatusServiceUnavailable, Code: claim.CodeUpstreamUnreachable,
			Message: "no upstream could be reached", Outcome: outcome, RetryAfter: time.Second})
	default:
		h.refuse(w, span, c, refusal.Refusal{Status: http.StatusBadGateway, Code: claim.CodeReplyLost,
			Message: "the reply was lost on every upstream that was tried", Outcome: outcome})
	}
}

// retryPause returns the pause before attempt n, which is 2 or more. It is random
// between 0 and a maximum (full jitter), so that calls that failed together are
// not retried together. The maximum is 20 ms before attempt 2 and doubles with
// each attempt, up to 640 ms and at most until the call's deadline.
func (h *Handler) retryPause(n int, c *call) time.Duration {
	maxPause := min(10*time.Millisecond<<min(n-1, 6), c.deadline.Sub(h.opts.Clock.Now()))
	return time.Duration(h.random() * float64(max(maxPause, 0)))
}

// sendReply sends a reply to the caller. If the upstream breaks off in the middle
// of the body, it aborts the caller's connection, so that the reply does not
// look complete.
func (h *Handler) sendReply(w http.ResponseWriter, c *call, rep *reply) {
	if _, complete := h.copyReply(w, c, rep); !complete {
		abort(w)
	}
}

// abort closes the caller's connection. The write deadline ensures that a recovery
// middleware that catches the panic cannot end the reply as if it were complete.
func abort(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0))
	panic(http.ErrAbortHandler)
}

// copyReply sends a reply to the caller. It returns the length of the body and
// whether the upstream sent all of it.
func (h *Handler) copyReply(w http.ResponseWriter, c *call, rep *reply) (int64, bool) {
	defer rep.close()
	h.opts.Metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberryroad_plain_replies_total{service=%q,class="%dxx"}`,
		c.view.Doc.Name, rep.status/100)).Inc()
	setHeaders(w, rep.header)
	if rep.remaining == nil && rep.status != http.StatusNoContent && rep.status != http.StatusNotModified && c.method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.Itoa(len(rep.buffered)))
	}
	w.WriteHeader(rep.status)
	// The reply is read to its end even if the caller has disconnected, because
	// the outcome of a claim is recorded in any case.
	_, _ = w.Write(rep.buffered)
	n := int64(len(rep.buffered))
	if rep.remaining == nil {
		return n, true
	}
	m, err := io.CopyBuffer(errorIgnoringWriter{w}, struct{ io.Reader }{rep.remaining}, make([]byte, 16<<10))
	c.completed = err == nil
	if err != nil {
		rep.result.Lost = true
		h.opts.OnResult(rep.result)
	}
	return n + m, err == nil
}

// errorIgnoringWriter is a writer that reports success for every write, also when
// the caller has disconnected.
type errorIgnoringWriter struct{ w io.Writer }

func (l errorIgnoringWriter) Write(b []byte) (int, error) {
	_, _ = l.w.Write(b)
	return len(b), nil
}

// setHeaders copies an upstream's headers, except for the request ID, which the
// daemon has set.
func setHeaders(w http.ResponseWriter, header http.Header) {
	for name, values := range header {
		if name != HeaderRequestID {
			w.Header()[name] = values
		}
	}
}
