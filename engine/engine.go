// Package engine is the interface between the daemon and model engines. A
// driver implements Client for one wire protocol and lives in its own folder
// below modules/engine.
package engine

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Message is one turn of a chat request.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request asks an engine to start a generation.
type Request struct {
	// ID names the generation at the engine, so that it can be resumed and
	// cancelled.
	ID      string
	Model   string
	Version string
	Prompt  string
	// Messages is set instead of Prompt for chat requests.
	Messages []Message
	// Prefix is the text that was already delivered to the caller. The engine
	// continues after it and numbers its first token PrefixTokens.
	Prefix       string
	PrefixTokens int
	// MaxTokens bounds the whole answer, the prefix included.
	MaxTokens int
	// Priority orders requests waiting at the engine; lower values run first.
	Priority int
	// TraceParent is a W3C trace context header value, or empty.
	TraceParent string
}

// Token is one token of an answer.
type Token struct {
	// Index counts from 0 over the whole answer, a prefix included.
	Index int
	Text  string
}

// Finish reasons as engines report them.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// Stream yields the tokens of one generation over one connection. It is used
// by one goroutine; Close may be called from another and ends a blocked Next.
type Stream interface {
	// Next returns the next token. It returns a *FinishedError after the last
	// one, and any other error when the connection broke before the end.
	Next(ctx context.Context) (Token, error)
	Close() error
}

// Client talks to engines of one kind. It is safe for concurrent use. The
// address is HOST:PORT.
type Client interface {
	// Start begins a generation. It returns a *RefusedError when the engine
	// answered that it does not take the request.
	Start(ctx context.Context, addr string, r Request) (Stream, error)
	// Resume opens a new connection to a running or recently finished
	// generation, after the given number of tokens. It returns
	// ErrUnknownGeneration when the engine does not hold it.
	Resume(ctx context.Context, addr, id string, after int) (Stream, error)
	// Cancel ends a generation. Cancelling an unknown one is no error.
	Cancel(ctx context.Context, addr, id string) error
	// Load reads the engine's last load report, which may lag.
	Load(ctx context.Context, addr string) (Load, error)
	// Order changes what the engine serves. It returns ErrStaleFence when the
	// engine has seen a higher fencing number.
	Order(ctx context.Context, addr string, o Order) error
}

// Load is an engine's own report of its state.
type Load struct {
	// At is the time the report was made, by the engine's clock.
	At          time.Time `json:"at"`
	Running     int       `json:"running"`
	Waiting     int       `json:"waiting"`
	HeldBytes   int64     `json:"held_bytes"`
	MemoryBytes int64     `json:"memory_bytes"`
	Version     string    `json:"version"`
	Leaving     bool      `json:"leaving"`
	// Incarnation changes whenever the engine process starts.
	Incarnation string `json:"incarnation"`
	// CacheSeq is the sequence number of the last prefix cache event.
	CacheSeq uint64 `json:"cache_seq"`
}

// Order tells an engine what to serve. Orders are level-triggered: the same
// order may be sent any number of times.
type Order struct {
	Fence   uint64 `json:"fence"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version"`
	Role    string `json:"role,omitempty"`
}

// ErrUnknownGeneration reports that an engine does not hold a generation.
var ErrUnknownGeneration = errors.New("engine does not hold this generation")

// ErrStaleFence reports that an engine has seen a higher fencing number.
var ErrStaleFence = errors.New("engine refused an order with an old fencing number")

// FinishedError ends a stream after its last token.
type FinishedError struct {
	// Reason is FinishStop or FinishLength.
	Reason string
}

func (e *FinishedError) Error() string { return "generation finished: " + e.Reason }

// RefusedError is an engine's answer that it does not take a request.
type RefusedError struct {
	// Status is the HTTP status code or its nearest equivalent.
	Status     int
	RetryAfter time.Duration
	// NotRun is true when the engine is known not to have started the request.
	NotRun  bool
	Message string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine refused the request with status %d: %s", e.Status, e.Message)
}
