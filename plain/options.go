package plain

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.opentelemetry.io/otel/trace"

	"github.com/gooseberryroad/gooseberryroad/claim"
	"github.com/gooseberryroad/gooseberryroad/node"
	"github.com/gooseberryroad/gooseberryroad/quarantine"
	"github.com/gooseberryroad/gooseberryroad/store"
)

// Clock is the source of time.
type Clock interface {
	Now() time.Time
	// AfterFunc calls f in its own goroutine after d. The returned function
	// stops the timer and reports whether it did so before the call of f.
	AfterFunc(d time.Duration, f func()) (stop func() bool)
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

func (systemClock) AfterFunc(d time.Duration, f func()) func() bool {
	return time.AfterFunc(d, f).Stop
}

// Result is the result of one attempt at an upstream.
type Result struct {
	Service, Route, Version, Upstream string
	At                                time.Time
	Duration                          time.Duration
	// Status is the HTTP status of the reply, or 0 when no reply came.
	Status int
	// Unreachable is set when it is certain that no byte was sent.
	Unreachable bool
	// Lost is set when bytes may have been sent and no whole reply came back.
	Lost bool
	// ContentHash identifies the content of the call for the quarantine.
	ContentHash quarantine.Hash
}

// Options configure a Handler.
type Options struct {
	// Snapshot returns the current control state; the result is never nil.
	Snapshot func() *node.Snapshot
	Store    store.Store
	// Transport sends calls to upstreams. It must not follow redirects.
	Transport http.RoundTripper
	Clock     Clock
	// Seed seeds the random choice of upstreams and of retry pauses.
	Seed uint64
	// Nonce returns at least 128 random bits as text.
	Nonce  func() string
	Daemon string
	Logger *slog.Logger
	// Verdict returns the quarantine's verdict on a call's content; a nil
	// Verdict treats all as clear. Quarantined calls are refused; held calls are
	// refused with a Retry-After header.
	Verdict func(quarantine.Hash) quarantine.Verdict
	// StartTrial waits until a suspect may run on one of the candidates, and
	// returns its name. It returns false if that is not possible before ctx is
	// done. The handler calls done when the call has ended; completed means that
	// a whole reply came. If StartTrial is nil, suspects are refused like held
	// calls.
	StartTrial func(ctx context.Context, h quarantine.Hash, candidates []string) (upstream string, done func(completed bool), ok bool)
	// OnResult is called after each attempt at an upstream. It must not block.
	OnResult func(Result)
	// BodyLimit bounds a call's body, in bytes, in addition to the document's
	// limit. The default is 1 MiB.
	BodyLimit int64
	// ReplyBuffer bounds the part of a reply that is buffered, in bytes; a longer
	// reply is streamed to the caller as it arrives. The default is 64 KiB.
	ReplyBuffer int
	// MaxBufferedBytes bounds the bytes of bodies and replies that are buffered
	// for all calls together. The default is 64 MiB.
	MaxBufferedBytes int64
	// MaxAttempts bounds the attempts of an idempotent call. The default is 3.
	MaxAttempts int
	// StoreTimeout bounds one store call. The default is 500 ms.
	StoreTimeout time.Duration
	Claim        claim.Options
	Releases     claim.ReleaseOptions
	Tracer       trace.TracerProvider
	Metrics      *metrics.Set
}
