// Package client is a caller of gooseberryroad: it sends completion requests,
// reconnects with the resume cursor when a connection breaks, and measures
// what a caller sees. The bench, the demo and the scenarios use it; it follows
// the public HTTP conventions and knows nothing of the daemon's insides.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/gooseberryroad/gooseberryroad/sse"
)

// Options configure a Client.
type Options struct {
	// Addresses are the daemons (HOST:PORT) behind the balancer. A request
	// starts at the first and moves to the next after a failed connection.
	Addresses []string
	// Key is the account's bearer key.
	Key string
	// Silence is how long a stream may be silent before the caller gives the
	// connection up and reconnects; 0 means 4 s, as long as callers wait.
	SilenceTimeout time.Duration
	// MaxReconnects bounds reconnections of one request; 0 means 10.
	MaxReconnects int
	// HoldText makes the client return the text it holds when it reconnects,
	// so that an answer survives the loss of the engine and the daemon together.
	ReturnDeliveredText bool
	// OnToken is called after each token; a slow one makes a slow reader.
	OnToken func(i int, text string)
	// ReceiveBuffer bounds what the kernel holds for the client, in bytes, so
	// that a slow reader soon stalls its daemon; 0 leaves it to the system.
	ReceiveBuffer int
}

// Request is one generation.
type Request struct {
	Model     string
	Prompt    string
	MaxTokens int
	// Chat sends the prompt as one user message to the chat route.
	Chat           bool
	IdempotencyKey string
	Timeout        time.Duration // sent as X-Request-Timeout-Ms; 0 sends none
	// Drop closes the connection each time it yields a value; the client then
	// goes on at the next daemon.
	DropConnection <-chan struct{}
}

// Answer is what the caller received.
type Answer struct {
	Text         string
	FinishReason string
	// RequestID is the daemon's name for the request.
	RequestID string
	// FirstToken is the time from sending the request to the first token.
	FirstToken time.Duration
	// Sent is when the request was sent first.
	SentAt time.Time
	// Gaps are the times between tokens.
	TokenGaps []time.Duration
	// Reconnects counts connections after the first.
	Reconnects int
	// ResumeGaps are the times from a connection that broke after the first
	// token to the next token.
	ResumeGaps []time.Duration
	// Daemons are the addresses that served the answer, in order.
	ServedBy []string
	// Asked are the addresses that the request was sent to, in order, also when
	// nothing came back.
	AddressesTried []string
}

// Refusal is a typed refusal of a daemon.
type Refusal struct {
	Status     int
	Code       string
	Outcome    string
	Message    string
	RetryAfter time.Duration
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("refused with status %d, %s (%s): %s", r.Status, r.Code, r.Outcome, r.Message)
}

// Client is safe for concurrent use.
type Client struct {
	o         Options
	transport *http.Transport
}

// New returns a client. Close frees its connections.
func New(o Options) *Client {
	if o.SilenceTimeout == 0 {
		o.SilenceTimeout = 4 * time.Second
	}
	if o.MaxReconnects == 0 {
		o.MaxReconnects = 10
	}
	return &Client{o: o, transport: &http.Transport{
		DialContext:         dialer(o.ReceiveBuffer).DialContext,
		MaxIdleConnsPerHost: 64,
	}}
}

func dialer(receiveBuffer int) *net.Dialer {
	d := &net.Dialer{Timeout: time.Second}
	if receiveBuffer > 0 {
		// The buffer must be set before the connection is made, because the
		// window is negotiated then.
		d.Control = func(_, _ string, c syscall.RawConn) error {
			var failed error
			if err := c.Control(func(fd uintptr) {
				failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			}); err != nil {
				return err
			}
			return failed
		}
	}
	return d
}

// Close drops idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// errReconnect marks an end of a connection after which the answer goes on
// elsewhere.
var errReconnect = errors.New("connection ended before the answer was whole")

// Complete runs one streamed generation to its end. It returns what was
// received so far together with an error, a *Refusal if a daemon refused.
func (c *Client) Complete(ctx context.Context, r Request) (*Answer, error) {
	s := &session{c: c, request: r, answer: &Answer{}, sent: time.Now()}
	s.answer.SentAt = s.sent
	for try := 0; ; try++ {
		addr := c.o.Addresses[try%len(c.o.Addresses)]
		err := s.connect(ctx, addr)
		if err == nil {
			s.answer.Text = s.text.String()
			return s.answer, nil
		}
		if !s.retries(err) || try >= c.o.MaxReconnects || ctx.Err() != nil {
			s.answer.Text = s.text.String()
			return s.answer, err
		}
		if s.broken.IsZero() && s.tokens > 0 {
			s.broken = time.Now()
		}
		s.answer.Reconnects++
		if err := pause(ctx, s.delay(err, try)); err != nil {
			return s.answer, err
		}
	}
}

type session struct {
	c       *Client
	request Request
	answer  *Answer
	text    strings.Builder
	tokens  int
	cursor  string
	sent    time.Time
	last    time.Time // arrival of the last token
	broken  time.Time // when the connection broke, zero while it works
	// watchdog ends a silent connection. It rests during OnToken.
	watchdog *time.Timer
}

// retries reports whether the request may be sent again after err. A refusal
// ends it, except by a daemon that shuts down, and except while the rest of an
// answer is fetched: the caller keeps its cursor.
func (s *session) retries(err error) bool {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal.Status == http.StatusServiceUnavailable && refusal.Outcome == "not_run" &&
			(refusal.Code == "draining" || s.cursor != "")
	}
	return true
}

// delay waits for Retry-After of a refusal; a broken connection is followed by
// the next daemon at once, later ones after a short pause.
func (s *session) delay(err error, try int) time.Duration {
	var refusal *Refusal
	if errors.As(err, &refusal) && try >= len(s.c.o.Addresses) {
		return refusal.RetryAfter
	}
	if try < len(s.c.o.Addresses) {
		return 0
	}
	return min(50*time.Millisecond<<min(try-len(s.c.o.Addresses), 5), time.Second)
}

func pause(ctx context.Context, d time.Duration) error {
	if d == 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// connect posts the request once and reads tokens until the end of the answer
// or of the connection.
func (s *session) connect(ctx context.Context, addr string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(s.c.o.SilenceTimeout, cancel)
	defer watchdog.Stop()
	go func() {
		select {
		case <-s.request.DropConnection:
			cancel()
		case <-ctx.Done():
		}
	}()
	s.watchdog = watchdog
	req, err := s.newRequest(ctx, addr)
	if err != nil {
		return err
	}
	s.answer.AddressesTried = append(s.answer.AddressesTried, addr)
	res, err := s.c.transport.RoundTrip(req)
	if err != nil {
		return errors.Join(errReconnect, err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return readRefusal(res)
	}
	s.answer.RequestID = res.Header.Get("X-Request-Id")
	s.answer.ServedBy = append(s.answer.ServedBy, addr)
	events := sse.NewReader(res.Body)
	for {
		ev, err := events.Next()
		if err != nil {
			return errors.Join(errReconnect, err)
		}
		watchdog.Reset(s.c.o.SilenceTimeout)
		done, err := s.event(ev)
		if done || err != nil {
			return err
		}
	}
}

func (s *session) newRequest(ctx context.Context, addr string) (*http.Request, error) {
	body := map[string]any{"model": s.request.Model, "max_tokens": s.request.MaxTokens, "stream": true}
	path := "/v1/completions"
	if s.request.Chat {
		path = "/v1/chat/completions"
		body["messages"] = Messages(s.request.Prompt)
	} else {
		body["prompt"] = s.request.Prompt
	}
	if s.cursor != "" && s.c.o.ReturnDeliveredText {
		body["delivered_text"] = s.text.String()
	}
	b, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+s.c.o.Key)
	if s.cursor != "" {
		req.Header.Set("Last-Event-ID", s.cursor)
	}
	if s.request.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", s.request.IdempotencyKey)
	}
	if s.request.Timeout > 0 {
		req.Header.Set("X-Request-Timeout-Ms", strconv.FormatInt(s.request.Timeout.Milliseconds(), 10))
	}
	return req, nil
}

// Message is one message of a chat request.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Messages returns the messages that a chat request sends for a prompt.
func Messages(prompt string) []Message { return []Message{{Role: "user", Content: prompt}} }

type chunk struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Error *refusalBody `json:"error"`
}

type refusalBody struct {
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
	Message string `json:"message"`
}

// event takes one event; done is true at the end of the answer.
func (s *session) event(ev sse.Event) (done bool, err error) {
	if string(ev.Data) == "[DONE]" {
		return true, nil
	}
	if ev.Name == "reconnect" {
		if ev.HasID {
			s.cursor = ev.ID
		}
		return false, errReconnect
	}
	var c chunk
	if err := json.Unmarshal(ev.Data, &c); err != nil {
		return false, fmt.Errorf("event is not valid JSON: %w", err)
	}
	if c.Error != nil {
		return false, &Refusal{Status: http.StatusOK, Code: c.Error.Code, Outcome: c.Error.Outcome, Message: c.Error.Message}
	}
	if len(c.Choices) == 0 {
		return false, nil
	}
	if ev.HasID {
		s.cursor = ev.ID
	}
	if c.Choices[0].FinishReason != nil {
		s.answer.FinishReason = *c.Choices[0].FinishReason
	}
	if text := c.Choices[0].Text + c.Choices[0].Delta.Content; text != "" {
		s.token(text)
	}
	return false, nil
}

func (s *session) token(text string) {
	now := time.Now()
	switch {
	case s.tokens == 0:
		s.answer.FirstToken = now.Sub(s.sent)
	default:
		s.answer.TokenGaps = append(s.answer.TokenGaps, now.Sub(s.last))
	}
	if !s.broken.IsZero() {
		s.answer.ResumeGaps = append(s.answer.ResumeGaps, now.Sub(s.broken))
		s.broken = time.Time{}
	}
	s.last = now
	s.text.WriteString(text)
	if s.c.o.OnToken != nil {
		s.watchdog.Stop()
		s.c.o.OnToken(s.tokens, text)
		s.watchdog.Reset(s.c.o.SilenceTimeout)
	}
	s.tokens++
}

// maxRefusalBytes bounds the body of a refusal that is read.
const maxRefusalBytes = 64 << 10

func readRefusal(res *http.Response) error {
	b, err := io.ReadAll(io.LimitReader(res.Body, maxRefusalBytes))
	if err != nil {
		return errors.Join(errReconnect, err)
	}
	r := &Refusal{Status: res.StatusCode, Message: strings.TrimSpace(string(b))}
	var body struct {
		Error refusalBody `json:"error"`
	}
	if json.Unmarshal(b, &body) == nil && body.Error.Code != "" {
		r.Code, r.Outcome, r.Message = body.Error.Code, body.Error.Outcome, body.Error.Message
	}
	if n, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil {
		r.RetryAfter = time.Duration(n) * time.Second
	}
	return r
}
