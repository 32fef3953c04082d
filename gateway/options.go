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
	// defaultWait bounds a request whose client and route name no time.
	defaultWait = 30 * time.Second
	// replyMargin is kept back from a request's time, so that our own answer
	// reaches the client before its deadline.
	replyMargin = 40 * time.Millisecond
	// minOffer is the least time for which an upstream is worth asking.
	minOffer = 20 * time.Millisecond
	// bodyTimeout bounds the reading of a request's body.
	bodyTimeout = 15 * time.Second
	// stopRetryAfter is the Retry-After of a stopping daemon. Clients reach it only
	// while no other is ready; the balancer finds one that is back within a second.
	stopRetryAfter = time.Second
	// maxDrainBytes and drainTimeout bound the reading of a refused request's
	// body: a client on 10 Mbit/s sends the bytes within the time.
	maxDrainBytes = 1 << 20
	drainTimeout  = time.Second
	// remoteBias and remoteEngineBias are the loads, in requests, at which an
	// upstream of another data centre is preferred. A stream lasts long enough to
	// be hit when the data centre is cut off.
	remoteBias       = 0.5
	remoteEngineBias = 2
	// maxAnswerBytes bounds an answer that is held until it is complete.
	maxAnswerBytes = 8 << 20
	// nonIdempotentMaxIdle is the longest idle time of a connection that carries a
	// request which may not be repeated: a connection that the upstream drops as
	// the request is sent leaves its outcome unknown.
	nonIdempotentMaxIdle = 500 * time.Millisecond
	// repeatPause is the first pause after all upstreams refused; it doubles.
	repeatPause = 20 * time.Millisecond
	// maxRepeatPause bounds the pause.
	maxRepeatPause = 160 * time.Millisecond
)

// Options configure a Gateway.
type Options struct {
	// Name is the daemon's own.
	Name       string
	Directory  *directory.Follower
	Protocol   Protocol
	Pool       *upstream.Pool
	Logger     *slog.Logger
	DataCentre string
	Rand       *rand.Rand
	Failover   failover.Options
	Budget     retrybudget.Options
	// BodyBytes bounds the bodies that are held at once, in bytes; 0 is no bound.
	MaxHeldBodyBytes int64
}
