// Package completions is the driver of engines that speak the completions
// convention over HTTP with server-sent events.
package completions

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/engine"
	"github.com/gooseberryroad/gooseberryroad/kernel"
	"github.com/gooseberryroad/gooseberryroad/sse"
)

// ID is the module ID of this driver.
const ID = "engine.completions"

func init() {
	kernel.Register(kernel.Module{ID: ID, New: func(o kernel.Options) (any, error) {
		return newFromParams(o.Params)
	}})
}

// Options configure a Client. A zero field has the default.
type Options struct {
	// DialTimeout bounds the opening of a connection. The default is 1.5 s,
	// which leaves room for one lost SYN that is sent again after 1 s.
	DialTimeout time.Duration
	// HeaderTimeout bounds the time from the request to the header of its
	// answer. An engine sends the header when it accepts a request, before
	// the prefill. The default of 2 s leaves time for another engine within
	// the 4 s that a caller waits after a loss.
	HeaderTimeout time.Duration
}

// maxAnswerBytes bounds answers that are not streams.
const maxAnswerBytes = 1 << 20

// Client implements engine.Client.
type Client struct {
	// fresh opens one connection for each call. A pooled connection may have
	// gone silent for good while new ones work.
	fresh *http.Transport
	// pooled serves the frequent load reports. A call that times out closes
	// its connection, so the next one opens another.
	pooled *http.Transport
	header time.Duration
}

var _ engine.Client = (*Client)(nil)

// New makes a client.
func New(o Options) *Client {
	if o.DialTimeout <= 0 {
		o.DialTimeout = 1500 * time.Millisecond
	}
	if o.HeaderTimeout <= 0 {
		o.HeaderTimeout = 2 * time.Second
	}
	transport := func() *http.Transport {
		return &http.Transport{
			DialContext:           (&net.Dialer{Timeout: o.DialTimeout}).DialContext,
			ResponseHeaderTimeout: o.HeaderTimeout,
			DisableCompression:    true,
			// A daemon holds one connection for each generation, and a token
			// is about 100 bytes on the wire.
			ReadBufferSize:      sse.ReadBufferBytes,
			WriteBufferSize:     sse.ReadBufferBytes,
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     30 * time.Second,
		}
	}
	c := &Client{fresh: transport(), pooled: transport(), header: o.HeaderTimeout}
	c.fresh.DisableKeepAlives = true
	return c
}

func newFromParams(params map[string]string) (*Client, error) {
	var o Options
	err := kernel.ParseDurations(params, map[string]*time.Duration{"dial_timeout": &o.DialTimeout, "header_timeout": &o.HeaderTimeout})
	if err != nil {
		return nil, err
	}
	return New(o), nil
}

// startBody is the request of POST /v1/completions.
type startBody struct {
	Model          string           `json:"model"`
	Version        string           `json:"version,omitempty"`
	Prompt         string           `json:"prompt,omitempty"`
	Messages       []engine.Message `json:"messages,omitempty"`
	Prefix         string           `json:"prefix,omitempty"`
	ContinueTokens int              `json:"continue_tokens,omitempty"`
	MaxTokens      int              `json:"max_tokens,omitempty"`
	Priority       int              `json:"priority,omitempty"`
	Stream         bool             `json:"stream"`
}

// Start implements engine.Client. The context bounds only the opening of the
// stream. A *engine.RefusedError with NotRun set is returned when no
// connection was made.
func (c *Client) Start(ctx context.Context, addr string, r engine.Request) (engine.Stream, error) {
	b, err := json.Marshal(startBody{
		Model: r.Model, Version: r.Version, Prompt: r.Prompt, Messages: r.Messages,
		Prefix: r.Prefix, ContinueTokens: r.PrefixTokens, MaxTokens: r.MaxTokens,
		Priority: r.Priority, Stream: true,
	})
	if err != nil {
		return nil, eris.Wrap(err, "encode the request")
	}
	header := http.Header{"Content-Type": {"application/json"}, "X-Request-Id": {r.ID}}
	if r.TraceParent != "" {
		header.Set("Traceparent", r.TraceParent)
	}
	return c.open(ctx, http.MethodPost, addr, "/v1/completions", nil, header, b, r.PrefixTokens, refused)
}

// Resume implements engine.Client. It always opens a new connection. The
// context bounds only the opening of the stream.
func (c *Client) Resume(ctx context.Context, addr, id string, after int) (engine.Stream, error) {
	q := url.Values{"starting_after": {strconv.Itoa(after)}}
	return c.open(ctx, http.MethodGet, addr, "/v1/completions/"+id, q, http.Header{}, nil, after, func(res *http.Response) error {
		// 410 means that the engine holds the generation but no longer the
		// tokens that were asked for.
		if res.StatusCode == http.StatusNotFound || res.StatusCode == http.StatusGone {
			return engine.ErrUnknownGeneration
		}
		return refused(res)
	})
}

// open makes a streaming call on a new connection.
func (c *Client) open(ctx context.Context, method, addr, path string, q url.Values, header http.Header, body []byte, next int, fail func(*http.Response) error) (engine.Stream, error) {
	if err := ctx.Err(); err != nil {
		return nil, notConnected(err)
	}
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	res, err := do(streamCtx, c.fresh, method, addr, path, q, header, body)
	if err == nil && res.StatusCode != http.StatusOK {
		err = fail(res)
		res.Body.Close()
	}
	if !stop() && err == nil {
		res.Body.Close()
		err = eris.Wrap(ctx.Err(), "open the stream")
	}
	if err != nil {
		cancel()
		return nil, err
	}
	return &stream{cancel: cancel, body: res.Body, events: sse.NewReader(res.Body), next: next}, nil
}

// Cancel implements engine.Client.
func (c *Client) Cancel(ctx context.Context, addr, id string) error {
	return c.call(ctx, c.fresh, http.MethodPost, addr, "/v1/completions/"+id+"/cancel", nil, func(res *http.Response) error {
		if res.StatusCode == http.StatusNotFound {
			return nil
		}
		return refused(res)
	}, nil)
}

// Load implements engine.Client.
func (c *Client) Load(ctx context.Context, addr string) (engine.Load, error) {
	var l engine.Load
	err := c.call(ctx, c.pooled, http.MethodGet, addr, "/load", nil, refused, &l)
	return l, err
}

// Order implements engine.Client.
func (c *Client) Order(ctx context.Context, addr string, o engine.Order) error {
	b, err := json.Marshal(o)
	if err != nil {
		return eris.Wrap(err, "encode the order")
	}
	return c.call(ctx, c.fresh, http.MethodPost, addr, "/orders", b, func(res *http.Response) error {
		if res.StatusCode == http.StatusConflict {
			return engine.ErrStaleFence
		}
		return refused(res)
	}, nil)
}

// call makes a call with a short answer and decodes it into out if that is
// not nil.
func (c *Client) call(ctx context.Context, t *http.Transport, method, addr, path string, body []byte, fail func(*http.Response) error, out any) error {
	ctx, cancel := context.WithTimeout(ctx, 2*c.header)
	defer cancel()
	header := http.Header{}
	if body != nil {
		header.Set("Content-Type", "application/json")
	}
	res, err := do(ctx, t, method, addr, path, nil, header, body)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode/100 != 2 {
		return fail(res)
	}
	b, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return eris.Wrap(err, "read the engine's answer")
	}
	if out != nil {
		if err := json.Unmarshal(b, out); err != nil {
			return eris.Wrap(err, "engine's answer is not valid JSON")
		}
	}
	return nil
}

// do sends one request. The error says NotRun when no connection was made,
// because no byte was sent then.
func do(ctx context.Context, t *http.Transport, method, addr, path string, q url.Values, header http.Header, body []byte) (*http.Response, error) {
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// The transport asks for another connection only when nothing was
		// sent on the one before.
		GetConn: func(string) { connected = false },
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	u := url.URL{Scheme: "http", Host: addr, Path: path, RawQuery: q.Encode()}
	var rd io.Reader
	if body != nil {
		rd = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, u.String(), rd)
	if err != nil {
		return nil, eris.Wrap(err, "make the request")
	}
	req.Header = header
	res, err := t.RoundTrip(req)
	if err == nil {
		return res, nil
	}
	if !connected {
		return nil, notConnected(err)
	}
	return nil, eris.Wrap(err, "connection to the engine broke")
}

func notConnected(cause error) error {
	return &dialError{RefusedError: &engine.RefusedError{
		Status: http.StatusServiceUnavailable, NotRun: true, Message: cause.Error(),
	}, cause: cause}
}

// dialError is a refusal because no connection was made. It keeps the cause
// for errors.Is.
type dialError struct {
	*engine.RefusedError
	cause error
}

func (e *dialError) Error() string {
	return fmt.Sprintf("connect to the engine: %v", e.cause)
}

func (e *dialError) Unwrap() []error { return []error{e.RefusedError, e.cause} }

// refused reads an answer that is no success. It says NotRun when the engine
// says so, or with a status that is defined as a rejection of the request.
func refused(res *http.Response) error {
	e := &engine.RefusedError{Status: res.StatusCode}
	if s, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil && s >= 0 && s < 1<<31 {
		e.RetryAfter = time.Duration(s) * time.Second
	}
	b, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		e.Message = err.Error()
	}
	parseRefusal(b, e)
	return e
}

func parseRefusal(b []byte, e *engine.RefusedError) {
	var body struct {
		Error errorBody `json:"error"`
	}
	if json.Unmarshal(b, &body) == nil {
		if body.Error.Message != "" {
			e.Message = body.Error.Message
		}
		switch body.Error.Outcome {
		case "not_run":
			e.NotRun = true
			return
		case "may_have_run":
			return
		}
	}
	if e.Message == "" {
		e.Message = http.StatusText(e.Status)
	}
	switch e.Status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound,
		http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge, http.StatusUnsupportedMediaType,
		http.StatusTooManyRequests:
		e.NotRun = true
	}
}

// errClosed is returned by Next after Close.
var errClosed = errors.New("stream is closed")

// stream implements engine.Stream.
type stream struct {
	cancel   context.CancelFunc
	body     io.ReadCloser
	events   *sse.Reader
	next     int
	finished string
	err      error
}

// Next implements engine.Stream. The end of ctx closes the stream.
func (s *stream) Next(ctx context.Context) (engine.Token, error) {
	if s.err != nil {
		return engine.Token{}, s.err
	}
	if s.finished != "" {
		return engine.Token{}, s.end(&engine.FinishedError{Reason: s.finished})
	}
	stop := context.AfterFunc(ctx, s.cancel)
	defer stop()
	for {
		c, err := s.read()
		switch {
		case err != nil && ctx.Err() != nil:
			return engine.Token{}, s.end(eris.Wrap(ctx.Err(), "read the stream"))
		case err != nil:
			return engine.Token{}, s.end(err)
		case c.done:
			return engine.Token{}, s.end(eris.New("engine ended the stream without a finish reason"))
		case c.hasToken && c.index != s.next:
			return engine.Token{}, s.end(eris.Errorf("engine sent token %d where %d was due", c.index, s.next))
		case c.hasToken:
			s.next++
			s.finished = c.finish
			return engine.Token{Index: c.index, Text: c.text}, nil
		case c.finish != "":
			// [DONE] adds nothing to the finish reason, so it is not waited for.
			return engine.Token{}, s.end(&engine.FinishedError{Reason: c.finish})
		}
	}
}

func (s *stream) read() (chunk, error) {
	ev, err := s.events.Next()
	if err != nil {
		if errors.Is(err, context.Canceled) {
			return chunk{}, errClosed
		}
		return chunk{}, eris.Wrap(err, "connection to the engine broke")
	}
	return parseChunk(ev)
}

// end records the error that all later calls return and frees the connection.
func (s *stream) end(err error) error {
	s.err = err
	s.Close()
	return err
}

// Close implements engine.Stream.
func (s *stream) Close() error {
	s.cancel()
	return s.body.Close()
}
