// Package client implements a caller of gooseberryroad. It sends completion
// requests, reconnects with the resume cursor when a connection breaks, and measures
// what the caller observes. The packages bench, demo and scenario use it. It depends
// only on the public HTTP interface of the daemon.
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
	// Addresses are the addresses (HOST:PORT) of the daemons. A request is sent to
	// the first one and, after a failed connection, to the next.
	Addresses []string
	// Key is the account's bearer key.
	Key string
	// SilenceTimeout is how long a stream may be silent before the client closes the
	// connection and reconnects; 0 means 4 s, the time that callers wait.
	SilenceTimeout time.Duration
	// MaxReconnects limits the reconnections of one request; 0 means 10.
	MaxReconnects int
	// ReturnDeliveredText makes the client send the text that it has received when
	// it reconnects, so that an answer can be continued after both its engine and
	// its daemon are lost.
	ReturnDeliveredText bool
	// OnToken is called after each token, before the next event is read. A slow
	// OnToken makes the client a slow reader.
	OnToken func(i int, text string)
	// ReceiveBuffer limits the kernel's receive buffer in bytes, so that the daemon
	// notices a slow reader soon; 0 leaves the size to the system.
	ReceiveBuffer int
}

// Request is one generation.
type Request struct {
	Model     string
	Prompt    string
	MaxTokens int
	// Chat makes the client send the prompt as one user message to the chat route.
	Chat           bool
	IdempotencyKey string
	Timeout        time.Duration // sent as X-Request-Timeout-Ms; 0 omits the header
	// DropConnection makes the client close the connection each time a value is
	// received from it. The client then continues at the next daemon.
	DropConnection <-chan struct{}
}

// Answer is what the caller received and measured.
type Answer struct {
	Text         string
	FinishReason string
	// RequestID is the X-Request-Id of the last response that was not a refusal.
	RequestID string
	// FirstToken is the time from sending the request to the first token.
	FirstToken time.Duration
	// SentAt is when the request was first sent.
	SentAt time.Time
	// TokenGaps are the times between successive tokens.
	TokenGaps []time.Duration
	// Reconnects counts connections after the first.
	Reconnects int
	// ResumeGaps are the times from the break of a connection to the next token, for
	// breaks after the first token.
	ResumeGaps []time.Duration
	// ServedBy are the addresses that served the answer, in order.
	ServedBy []string
	// AddressesTried are the addresses that the request was sent to, in order, also
	// those that did not respond.
	AddressesTried []string
}

// Refusal is an error response of a daemon.
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

// Client sends requests to daemons. It is safe for concurrent use.
type Client struct {
	o         Options
	transport *http.Transport
}

// New returns a client. Close closes its connections.
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
		// The buffer must be set before the connection is made, because the TCP
		// window is negotiated then.
		d.Control = func(_, _ string, c syscall.RawConn) error {
			var sockErr error
			if err := c.Control(func(fd uintptr) {
				sockErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			}); err != nil {
				return err
			}
			return sockErr
		}
	}
	return d
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// errReconnect means that the connection ended before the answer and that the
// client should reconnect.
var errReconnect = errors.New("connection ended before the answer was complete")

// Complete sends a request for a streamed generation and reads the answer to its
// end, with reconnections as needed. With an error, it also returns the part that was
// received; the error is a *Refusal if a daemon refused the request.
func (c *Client) Complete(ctx context.Context, r Request) (*Answer, error) {
	s := &session{c: c, request: r, answer: &Answer{}, sentAt: time.Now()}
	s.answer.SentAt = s.sentAt
	for attempt := 0; ; attempt++ {
		addr := c.o.Addresses[attempt%len(c.o.Addresses)]
		err := s.connect(ctx, addr)
		if err == nil {
			s.answer.Text = s.text.String()
			return s.answer, nil
		}
		if !s.mayRetry(err) || attempt >= c.o.MaxReconnects || ctx.Err() != nil {
			s.answer.Text = s.text.String()
			return s.answer, err
		}
		if s.brokenAt.IsZero() && s.tokens > 0 {
			s.brokenAt = time.Now()
		}
		s.answer.Reconnects++
		if err := sleep(ctx, s.retryDelay(err, attempt)); err != nil {
			return s.answer, err
		}
	}
}

type session struct {
	c           *Client
	request     Request
	answer      *Answer
	text        strings.Builder
	tokens      int
	cursor      string
	sentAt      time.Time
	lastTokenAt time.Time // arrival of the last token
	brokenAt    time.Time // when the connection broke; zero after the next token
	// watchdog closes a silent connection. It is stopped during OnToken.
	watchdog *time.Timer
}

// mayRetry reports whether the request may be sent again after err. A refusal ends
// the request unless its status is 503 and its outcome not_run, and either the daemon
// is draining or the client holds a cursor, which stays valid for the rest of the
// answer.
func (s *session) mayRetry(err error) bool {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal.Status == http.StatusServiceUnavailable && refusal.Outcome == "not_run" &&
			(refusal.Code == "draining" || s.cursor != "")
	}
	return true
}

// retryDelay returns how long to wait before the next connection. The first
// len(Addresses) reconnections follow at once. Later ones wait for the Retry-After of
// a refusal, or for an exponential delay of at most 1 s after a broken connection.
func (s *session) retryDelay(err error, attempt int) time.Duration {
	var refusal *Refusal
	if errors.As(err, &refusal) && attempt >= len(s.c.o.Addresses) {
		return refusal.RetryAfter
	}
	if attempt < len(s.c.o.Addresses) {
		return 0
	}
	return min(50*time.Millisecond<<min(attempt-len(s.c.o.Addresses), 5), time.Second)
}

func sleep(ctx context.Context, d time.Duration) error {
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

// connect posts the request to one daemon and reads events until the answer or the
// connection ends.
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
		done, err := s.handleEvent(ev)
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

// handleEvent applies one event; done is true at the end of the answer.
func (s *session) handleEvent(ev sse.Event) (done bool, err error) {
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
		s.recordToken(text)
	}
	return false, nil
}

func (s *session) recordToken(text string) {
	now := time.Now()
	switch {
	case s.tokens == 0:
		s.answer.FirstToken = now.Sub(s.sentAt)
	default:
		s.answer.TokenGaps = append(s.answer.TokenGaps, now.Sub(s.lastTokenAt))
	}
	if !s.brokenAt.IsZero() {
		s.answer.ResumeGaps = append(s.answer.ResumeGaps, now.Sub(s.brokenAt))
		s.brokenAt = time.Time{}
	}
	s.lastTokenAt = now
	s.text.WriteString(text)
	if s.c.o.OnToken != nil {
		s.watchdog.Stop()
		s.c.o.OnToken(s.tokens, text)
		s.watchdog.Reset(s.c.o.SilenceTimeout)
	}
	s.tokens++
}

// maxRefusalBytes limits how much of a refusal's body is read.
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
