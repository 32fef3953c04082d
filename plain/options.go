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
	// stops the timer.
	AfterFunc(d time.Duration, f func()) (stop func() bool)
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

func (systemClock) AfterFunc(d time.Duration, f func()) func() bool {
	return time.AfterFunc(d, f).Stop
}

// Result tells what became of one attempt at an upstream.
type Result struct {
	Service, Route, Version, Upstream string
	At                                time.Time
	Duration                          time.Duration
	// Status is 0 when no reply came.
	Status int
	// Unreachable is set when no byte was sent.
	Unreachable bool
	// Lost is set when bytes were sent and no whole reply came back.
	Lost bool
	// Content identifies the call for the quarantine.
	ContentHash quarantine.Hash
}

// Options configure a Handler.
type Options struct {
	// Snapshot returns the current control state; it is never nil.
	Snapshot func() *node.Snapshot
	Store    store.Store
	// Transport sends calls to upstreams. It must not follow redirects.
	Transport http.RoundTripper
	Clock     Clock
	// Seed seeds the choice of upstreams, pauses and nonces' fallback.
	Seed uint64
	// Nonce returns 128 random bits or more as text.
	Nonce  func() string
	Daemon string
	Logger *slog.Logger
	// Verdict returns the quarantine's verdict on a call's content; nil means
	// that all are clear. Quarantined calls are refused, held ones are asked to
	// come back.
	Verdict func(quarantine.Hash) quarantine.Verdict
	// Trial waits until a suspect may run on one of the candidates, and returns
	// which. It returns false if that is not soon enough for ctx. The call's
	// end is reported with done; completed means that a whole reply came.
	// Suspects are asked to come back while Trial is nil.
	StartTrial func(ctx context.Context, h quarantine.Hash, candidates []string) (upstream string, done func(completed bool), ok bool)
	// OnResult is called after each attempt at an upstream. It must not block.
	OnResult func(Result)
	// BodyLimit bounds a call's body in bytes, besides the document's limit.
	BodyLimit int64
	// ReplyBuffer bounds the part of a reply that is held, in bytes; a longer
	// reply is passed on as it arrives. The default is 64 KiB.
	ReplyBuffer int
	// MaxBuffered bounds the bytes of bodies and replies held for all calls
	// together. The default is 64 MiB.
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
