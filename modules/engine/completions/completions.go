// Package completions is the driver for engines that serve the completions
// protocol over HTTP and stream tokens as server-sent events.
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

// Options configure a Client. A field that is zero or negative takes its default.
type Options struct {
	// DialTimeout bounds the time to open a connection. The default is 1.5 s,
	// which is enough when one SYN is lost and sent again after 1 s.
	DialTimeout time.Duration
	// HeaderTimeout bounds the time from the request to the header of its
	// response. An engine sends the header when it accepts a request, before
	// the prefill. The default is 2 s, which leaves time to try another engine
	// within the 4 s that a caller waits after a loss.
	HeaderTimeout time.Duration
}

// maxResponseBytes bounds responses that are not streams.
const maxResponseBytes = 1 << 20

// Client implements engine.Client.
type Client struct {
	// unpooled opens a connection for each call, because a pooled connection may
	// have stopped responding for good while new ones work.
	unpooled *http.Transport
	// pooled keeps one idle connection to each engine for the frequent load
	// reports. A call that times out closes its connection, so the next one
	// opens another.
	pooled        *http.Transport
	headerTimeout time.Duration
}

var _ engine.Client = (*Client)(nil)

// New returns a client.
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
			// The buffers are small because a daemon holds one connection for
			// each generation, and a token is about 100 bytes on the wire.
			ReadBufferSize:      sse.ReadBufferBytes,
			WriteBufferSize:     sse.ReadBufferBytes,
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     30 * time.Second,
		}
	}
	c := &Client{unpooled: transport(), pooled: transport(), headerTimeout: o.HeaderTimeout}
	c.unpooled.DisableKeepAlives = true
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

// startBody is the body of POST /v1/completions.
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
// stream. Start also returns a *engine.RefusedError, with NotRun set, when no
// connection could be opened.
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
	return c.openStream(ctx, http.MethodPost, addr, "/v1/completions", nil, header, b, r.PrefixTokens, decodeRefusal)
}

// Resume implements engine.Client. It always opens a new connection. The
// context bounds only the opening of the stream.
func (c *Client) Resume(ctx context.Context, addr, id string, after int) (engine.Stream, error) {
	q := url.Values{"starting_after": {strconv.Itoa(after)}}
	return c.openStream(ctx, http.MethodGet, addr, "/v1/completions/"+id, q, http.Header{}, nil, after, func(res *http.Response) error {
		// 410 means that the engine holds the generation but no longer the
		// tokens that were asked for.
		if res.StatusCode == http.StatusNotFound || res.StatusCode == http.StatusGone {
			return engine.ErrUnknownGeneration
		}
		return decodeRefusal(res)
	})
}

// openStream makes a streaming call on a new connection. The first token of the
// stream must have the index firstIndex. The function statusError decodes a
// response with a status other than 200.
func (c *Client) openStream(ctx context.Context, method, addr, path string, q url.Values, header http.Header, body []byte, firstIndex int, statusError func(*http.Response) error) (engine.Stream, error) {
	if err := ctx.Err(); err != nil {
		return nil, newDialError(err)
	}
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	res, err := do(streamCtx, c.unpooled, method, addr, path, q, header, body)
	if err == nil && res.StatusCode != http.StatusOK {
		err = statusError(res)
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
	return &stream{cancel: cancel, body: res.Body, events: sse.NewReader(res.Body), nextIndex: firstIndex}, nil
}

// Cancel implements engine.Client.
func (c *Client) Cancel(ctx context.Context, addr, id string) error {
	return c.call(ctx, c.unpooled, http.MethodPost, addr, "/v1/completions/"+id+"/cancel", nil, func(res *http.Response) error {
		if res.StatusCode == http.StatusNotFound {
			return nil
		}
		return decodeRefusal(res)
	}, nil)
}

// Load implements engine.Client.
func (c *Client) Load(ctx context.Context, addr string) (engine.Load, error) {
	var l engine.Load
	err := c.call(ctx, c.pooled, http.MethodGet, addr, "/load", nil, decodeRefusal, &l)
	return l, err
}

// Order implements engine.Client.
func (c *Client) Order(ctx context.Context, addr string, o engine.Order) error {
	b, err := json.Marshal(o)
	if err != nil {
		return eris.Wrap(err, "encode the order")
	}
	return c.call(ctx, c.unpooled, http.MethodPost, addr, "/orders", b, func(res *http.Response) error {
		if res.StatusCode == http.StatusConflict {
			return engine.ErrStaleFence
		}
		return decodeRefusal(res)
	}, nil)
}

// call makes a call that is not a stream and decodes the response into out if out
// is not nil. The function statusError decodes a response that is not a success.
func (c *Client) call(ctx context.Context, t *http.Transport, method, addr, path string, body []byte, statusError func(*http.Response) error, out any) error {
	ctx, cancel := context.WithTimeout(ctx, 2*c.headerTimeout)
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
		return statusError(res)
	}
	b, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return eris.Wrap(err, "read the engine's response")
	}
	if out != nil {
		if err := json.Unmarshal(b, out); err != nil {
			return eris.Wrap(err, "engine's response is not valid JSON")
		}
	}
	return nil
}

// do sends one request. If no connection was opened, the error is a
// *engine.RefusedError with NotRun set, because no byte was sent.
func do(ctx context.Context, t *http.Transport, method, addr, path string, q url.Values, header http.Header, body []byte) (*http.Response, error) {
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// The transport asks for another connection only if it sent nothing on
		// the previous one.
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
		return nil, newDialError(err)
	}
	return nil, eris.Wrap(err, "connection to the engine broke")
}

func newDialError(cause error) error {
	return &dialError{RefusedError: &engine.RefusedError{
		Status: http.StatusServiceUnavailable, NotRun: true, Message: cause.Error(),
	}, cause: cause}
}

// dialError is the refusal of a request for which no connection was opened. It
// wraps the cause, so that errors.Is finds it.
type dialError struct {
	*engine.RefusedError
	cause error
}

func (e *dialError) Error() string {
	return fmt.Sprintf("connect to the engine: %v", e.cause)
}

func (e *dialError) Unwrap() []error { return []error{e.RefusedError, e.cause} }

// decodeRefusal decodes a response that is not a success as a
// *engine.RefusedError. NotRun is set if the engine says so, or if it does not say
// and the status is one with which a server rejects a request.
func decodeRefusal(res *http.Response) error {
	e := &engine.RefusedError{Status: res.StatusCode}
	if s, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil && s >= 0 && s < 1<<31 {
		e.RetryAfter = time.Duration(s) * time.Second
	}
	b, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		e.Message = err.Error()
	}
	parseRefusal(b, e)
	return e
}

// parseRefusal sets Message and NotRun of e from the body b of the response.
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

// errStreamClosed is returned by Next after Close.
var errStreamClosed = errors.New("stream is closed")

// stream implements engine.Stream.
type stream struct {
	cancel       context.CancelFunc
	body         io.ReadCloser
	events       *sse.Reader
	nextIndex    int
	finishReason string
	err          error
}

// Next implements engine.Stream. The end of ctx during the call closes the stream.
func (s *stream) Next(ctx context.Context) (engine.Token, error) {
	if s.err != nil {
		return engine.Token{}, s.err
	}
	if s.finishReason != "" {
		return engine.Token{}, s.end(&engine.FinishedError{Reason: s.finishReason})
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
		case c.hasToken && c.index != s.nextIndex:
			return engine.Token{}, s.end(eris.Errorf("engine sent token %d where %d was expected", c.index, s.nextIndex))
		case c.hasToken:
			s.nextIndex++
			s.finishReason = c.finishReason
			return engine.Token{Index: c.index, Text: c.text}, nil
		case c.finishReason != "":
			// The generation is complete, so Next does not wait for [DONE].
			return engine.Token{}, s.end(&engine.FinishedError{Reason: c.finishReason})
		}
	}
}

func (s *stream) read() (chunk, error) {
	ev, err := s.events.Next()
	if err != nil {
		if errors.Is(err, context.Canceled) {
			return chunk{}, errStreamClosed
		}
		return chunk{}, eris.Wrap(err, "connection to the engine broke")
	}
	return parseChunk(ev)
}

// end records the error that all later calls of Next return, and closes the
// connection.
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
