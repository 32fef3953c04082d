// Package engine defines the interface between the daemon and model engines. A
// driver implements Client for one wire protocol and has its own folder below
// modules/engine.
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
	// ID identifies the generation at the engine, so that it can be resumed and
	// cancelled.
	ID      string
	Model   string
	Version string
	Prompt  string
	// Messages is set instead of Prompt for chat requests.
	Messages []Message
	// Prefix is the text that was already delivered to the caller; it has
	// PrefixTokens tokens. The engine continues after it, and the index of its first
	// token is PrefixTokens.
	Prefix       string
	PrefixTokens int
	// MaxTokens is the maximum number of tokens of the whole answer, the prefix
	// included.
	MaxTokens int
	// Priority orders requests waiting at the engine; lower values run first.
	Priority int
	// TraceParent is a W3C trace context header value, or empty.
	TraceParent string
}

// Token is one token of an answer.
type Token struct {
	// Index is the token's position in the whole answer, a prefix included, from 0.
	Index int
	Text  string
}

// Finish reasons as engines report them.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// Stream reads the tokens of one generation from one connection. Next must be
// called by one goroutine at a time; Close may be called by another goroutine and
// ends a blocked Next.
type Stream interface {
	// Next returns the next token. It returns a *FinishedError after the last
	// token, and any other error when the stream ended before the answer was
	// complete.
	Next(ctx context.Context) (Token, error)
	Close() error
}

// Client calls engines that share a wire protocol. It is safe for concurrent use.
// The argument addr is the address of an engine as HOST:PORT.
type Client interface {
	// Start begins a generation. It returns a *RefusedError when the engine refused
	// the request or no connection to it could be opened.
	Start(ctx context.Context, addr string, r Request) (Stream, error)
	// Resume opens a new connection to a running or recently finished generation.
	// The first token of the stream is the one with the index after. It returns
	// ErrUnknownGeneration when the engine does not hold the generation, or no longer
	// holds the tokens that follow.
	Resume(ctx context.Context, addr, id string, after int) (Stream, error)
	// Cancel ends a generation. It returns nil for an unknown generation.
	Cancel(ctx context.Context, addr, id string) error
	// Load returns the engine's last load report, which may be out of date.
	Load(ctx context.Context, addr string) (Load, error)
	// Order tells the engine what to serve. It returns ErrStaleFence when the engine
	// has seen a higher fencing number.
	Order(ctx context.Context, addr string, o Order) error
}

// Load is an engine's own report of its state.
type Load struct {
	// At is when the report was made, by the engine's clock.
	At          time.Time `json:"at"`
	Running     int       `json:"running"`
	Waiting     int       `json:"waiting"`
	HeldBytes   int64     `json:"held_bytes"`
	MemoryBytes int64     `json:"memory_bytes"`
	Version     string    `json:"version"`
	Leaving     bool      `json:"leaving"`
	// Incarnation identifies a run of the engine process; each start changes it.
	Incarnation string `json:"incarnation"`
	// CacheSeq is the sequence number of the last prefix cache event.
	CacheSeq uint64 `json:"cache_seq"`
}

// Order tells an engine what to serve. An order states the desired state, so it may
// be sent any number of times.
type Order struct {
	// Fence is the fencing number. An engine refuses an order with a lower fencing
	// number than it has seen, unless it ignores fencing numbers.
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

// FinishedError reports that a stream ended after the last token of the answer.
type FinishedError struct {
	// Reason is FinishStop or FinishLength.
	Reason string
}

func (e *FinishedError) Error() string { return "generation finished: " + e.Reason }

// RefusedError reports that an engine refused a request, or that no connection to
// the engine could be opened.
type RefusedError struct {
	// Status is the HTTP status code or its nearest equivalent.
	Status int
	// RetryAfter is how long the engine asks to wait; 0 is unknown.
	RetryAfter time.Duration
	// NotRun says that the engine certainly did not start the request.
	NotRun  bool
	Message string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine refused the request with status %d: %s", e.Status, e.Message)
}
