package gateway

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/gooseberryroad/gooseberryroad/directory"
	"github.com/gooseberryroad/gooseberryroad/failover"
	"github.com/gooseberryroad/gooseberryroad/retrybudget"
	"github.com/gooseberryroad/gooseberryroad/upstream"
)

const (
	// defaultTimeout bounds a request for which neither the client nor the route
	// sets a timeout.
	defaultTimeout = 30 * time.Second
	// replyMargin is subtracted from a request's timeout, so that the gateway's own
	// response reaches the client before the client's deadline.
	replyMargin = 40 * time.Millisecond
	// minAttemptTime is the least remaining time with which a request is sent to an
	// upstream.
	minAttemptTime = 20 * time.Millisecond
	// bodyTimeout bounds the time in which a client must send the request's body.
	bodyTimeout = 15 * time.Second
	// stopRetryAfter is the Retry-After that a stopping daemon sends. Clients reach
	// a stopping daemon only while no other daemon is ready, and the balancer
	// detects within a second that a daemon is ready again.
	stopRetryAfter = time.Second
	// maxDiscardBytes and discardTimeout bound how much of a refused request's body
	// is read and discarded, and for how long. A client with 10 Mbit/s can send
	// that many bytes within the time.
	maxDiscardBytes = 1 << 20
	discardTimeout  = time.Second
	// remoteBias and remoteEngineBias are the additional load, in requests, that a
	// local upstream may have before an upstream of another data centre is
	// preferred. The bias for engines is larger because streams run long enough to
	// be cut when a data centre is disconnected.
	remoteBias       = 0.5
	remoteEngineBias = 2
	// maxResponseBytes bounds a response that is buffered until it is complete. It
	// also bounds request bodies if the configuration sets no limit.
	maxResponseBytes = 8 << 20
	// nonIdempotentMaxIdle bounds how long a connection may have been idle before
	// it carries a request that must not be repeated. If the upstream closes the
	// connection while the request is being sent, the outcome is unknown.
	nonIdempotentMaxIdle = 500 * time.Millisecond
	// initialRetryPause is the pause before upstreams are tried again after all of
	// them refused, which doubles with each round. It is also the pause after
	// several upstreams in a row could not be reached.
	initialRetryPause = 20 * time.Millisecond
	// maxRetryPause bounds the pause as it doubles, and the pause between two
	// attempts of a stream to take a retry from the budget.
	maxRetryPause = 160 * time.Millisecond
)

// Options configure a Gateway.
type Options struct {
	// Name is the name of this daemon.
	Name       string
	Directory  *directory.Follower
	Protocol   Protocol
	Pool       *upstream.Pool
	Logger     *slog.Logger
	DataCentre string
	Rand       *rand.Rand
	Failover   failover.Options
	Budget     retrybudget.Options
	// MaxHeldBodyBytes bounds the total size of the request bodies that are held at
	// once; 0 is no limit.
	MaxHeldBodyBytes int64
	// OnBegan, if it is set, is called once for each request of a client account that an
	// upstream began: for a stream at its first event, for another request with the time at
	// which it was sent to the upstream that answered.
	OnBegan func(account string, at time.Time)
	// MaxHeldHeadBytes bounds the total size of the heads of requests that have not arrived
	// completely; 0 is no limit.
	MaxHeldHeadBytes int64
	// Forward lets requests go through other daemons while this one reaches no upstream; nil
	// if the deployment's daemons have no addresses for each other.
	Forward *ForwardOptions
}
