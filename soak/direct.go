package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/gooseberryroad/gooseberryroad/internal/pause"
	"github.com/gooseberryroad/gooseberryroad/platform/platformtest"
)

// directStyle is how a direct client uses its connections.
type directStyle string

// The styles of direct clients.
const (
	keptStyle        directStyle = "kept"        // many requests on a connection, one at a time
	freshStyle       directStyle = "fresh"       // a new connection for each request
	piecesStyle      directStyle = "pieces"      // as kept, each request sent in pieces, some in chunks
	earlyStyle       directStyle = "early"       // a connection is opened long before its first request
	pipelinedStyle   directStyle = "pipelined"   // several requests are sent before the first answer
	freshStream      directStyle = "stream"      // a new connection for each stream
	keptStream       directStyle = "kept-stream" // many streams on a connection, one at a time
	answeringStyle   directStyle = "busy"        // as kept, without a time between requests
	directPrefix                 = 'd'           // begins the IDs of direct clients' requests
	directWorkFormat             = "work %d ms"  // begins the bodies of direct clients' requests
)

// directStyles are assigned to direct clients in turn.
var directStyles = []directStyle{keptStyle, pipelinedStyle, freshStyle, freshStream, piecesStyle, earlyStyle, keptStream}

// DefaultDirect is the default of Options.Direct.
const DefaultDirect = 14

const (
	// maxDirectPause is the longest time between two requests of a direct client, and
	// maxEarly that between opening a connection and its first request.
	maxDirectPause = 400 * time.Millisecond
	maxEarly       = 3 * time.Second
	// maxPieceDelay is the longest time between two pieces of a request.
	maxPieceDelay = 400 * time.Millisecond
	// maxPipelined bounds the requests that are sent before the first answer.
	maxPipelined = 4
	// maxDirectWork is the longest time that a plain request of a direct client takes
	// beyond plainProcessingTime, maxFirstEvent the longest to the first event of a
	// stream.
	maxDirectWork = 320 * time.Millisecond
	maxFirstEvent = 6 * time.Second
	// slowStreamShare is the part of streams whose first event is late.
	slowStreamShare = 0.4
	// maxRetryAfter bounds the time that a client waits because an answer says so.
	maxRetryAfter = 2 * time.Second
	// closeCheck is the time in which a client looks whether an idle connection was
	// closed.
	closeCheck = time.Millisecond
)

// directWork returns the time of work that a body asks for; 0 if it is not that of a
// direct client.
func directWork(body string) time.Duration {
	work, _ := parseDirect(body)
	return work
}

// isDirect reports whether a body is that of a direct client. Plain requests of these
// clients take no slots, so that other callers find the slots that they had without them.
func isDirect(body string) bool {
	_, direct := parseDirect(body)
	return direct
}

func parseDirect(body string) (work time.Duration, direct bool) {
	ms := 0
	_, err := fmt.Sscanf(body, directWorkFormat, &ms)
	return time.Duration(ms) * time.Millisecond, err == nil
}

// directClient sends requests to the daemons' own addresses over TCP connections that it
// handles itself.
type directClient struct {
	s      *Soak
	number int
	style  directStyle
	random *rand.Rand
	sent   int
}

func newDirectClient(s *Soak, number int, style directStyle) *directClient {
	return &directClient{s: s, number: number, style: style, random: rand.New(rand.NewPCG(s.seed, uint64(1<<32+number)))}
}

// upTo returns a random duration.
func (c *directClient) upTo(limit time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(limit)))
}

// sendRequests opens connections to daemons in rotation and sends requests until the
// context ends.
func (c *directClient) sendRequests(ctx context.Context) {
	for ctx.Err() == nil {
		c.useConnection(ctx, c.s.rotation.pick(c.random))
		pause.For(ctx, c.upTo(maxDirectPause))
	}
}

// useConnection opens a connection to a daemon and sends requests over it, until one of
// the two closes it or the context ends.
func (c *directClient) useConnection(ctx context.Context, daemon int) {
	conn, err := net.DialTimeout("tcp4", c.s.daemons[daemon].ClientAddress, dialTimeout)
	if err != nil {
		return // the daemon is down or takes no connections
	}
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	if c.style == earlyStyle {
		pause.For(ctx, c.upTo(maxEarly))
	}
	for reused := false; ctx.Err() == nil; reused = true {
		if (reused || c.style == earlyStyle) && closedByPeer(conn, in) {
			return
		}
		attempts, open, wait := c.exchange(conn, in, daemon, reused)
		c.s.mu.Lock()
		c.s.observed.direct = append(c.s.observed.direct, attempts...)
		c.s.mu.Unlock()
		pause.For(ctx, min(wait, maxRetryAfter))
		if !open || c.style == freshStyle || c.style == freshStream {
			return
		}
		if c.style != answeringStyle {
			pause.For(ctx, c.upTo(maxDirectPause))
		}
	}
}

// closedByPeer reports whether an idle connection was closed by the other side, or has
// bytes that belong to no request.
func closedByPeer(conn net.Conn, in *bufio.Reader) bool {
	_ = conn.SetReadDeadline(time.Now().Add(closeCheck)) // an error shows in Peek
	_, err := in.Peek(1)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// exchange sends one request, or a batch of pipelined ones, and reads the answers. open
// reports whether the connection may be used again, wait the longest time that an answer
// asked for before the next request.
func (c *directClient) exchange(conn net.Conn, in *bufio.Reader, daemon int, reused bool) (attempts []directAttempt, open bool, wait time.Duration) {
	count := 1
	if c.style == pipelinedStyle {
		count = 2 + c.random.IntN(maxPipelined-1)
	}
	var out bytes.Buffer
	requests := make([]*http.Request, count)
	for i := range requests {
		a := directAttempt{attempt: attempt{Call: c.draw(), daemon: daemon, reused: reused || i > 0, stillRunningOn: -1}, style: c.style}
		r, err := a.Request(context.Background(), c.s.daemons[daemon].ClientAddress)
		if err != nil {
			panic(err) // cannot happen: the address is that of a listener
		}
		r.Close = c.style == freshStyle && c.random.IntN(2) == 0
		if c.style == piecesStyle && c.random.IntN(2) == 0 {
			r.ContentLength = -1 // sends the body in chunks
		}
		if err := r.Write(&out); err != nil {
			panic(err) // cannot happen: the buffer takes all bytes
		}
		attempts, requests[i] = append(attempts, a), r
	}
	sent := time.Now()
	err := c.write(conn, out.Bytes())
	turn := time.Now()
	open = err == nil
	for i := range attempts {
		a := &attempts[i]
		a.sent, a.whole, a.lastByte = sent, err == nil, turn
	}
	var failure error
	for i := range attempts {
		a := &attempts[i]
		if a.turn = turn; failure == nil {
			var pauseAsked time.Duration
			var last bool
			pauseAsked, last, failure = a.read(conn, in, requests[i])
			wait = max(wait, pauseAsked)
			open = open && failure == nil && !last
		}
		turn = time.Now()
		a.ended = turn
		a.abandoned = errors.Is(failure, os.ErrDeadlineExceeded)
		a.cut = failure != nil && !a.abandoned
	}
	return attempts, open, wait
}

// draw returns the next request of a client.
func (c *directClient) draw() platformtest.Call {
	c.sent++
	call := platformtest.Call{ID: fmt.Sprintf("%c%d-%d", directPrefix, c.number, c.sent), Kind: platformtest.Order, Key: permanentKey, Timeout: 5 * time.Second}
	work := c.upTo(maxDirectWork)
	switch {
	case c.style == freshStream || c.style == keptStream:
		call.Kind, call.Timeout, work = platformtest.Stream, 12*time.Second, 0
		if c.random.Float64() < slowStreamShare {
			work = c.upTo(maxFirstEvent)
		}
	case c.random.IntN(4) == 0:
		call.Kind = platformtest.LookUp
	}
	call.Body = fmt.Sprintf(directWorkFormat+" for %s", work.Milliseconds(), call.ID)
	return call
}

// write sends bytes, in the style of pieces in three parts: two of them end in the head,
// and the last bytes come late.
func (c *directClient) write(conn net.Conn, b []byte) error {
	_ = conn.SetWriteDeadline(time.Now().Add(timeouts[platformtest.Order])) // an error shows in Write
	parts := [][]byte{b}
	if c.style == piecesStyle {
		const lastBytes = 3
		middle := 1 + c.random.IntN(len(b)/2)
		parts = [][]byte{b[:middle], b[middle : len(b)-lastBytes], b[len(b)-lastBytes:]}
	}
	for i, p := range parts {
		if i > 0 {
			time.Sleep(c.upTo(maxPieceDelay))
		}
		if _, err := conn.Write(p); err != nil {
			return err
		}
	}
	return nil
}

// read reads the answer to an attempt. wait is the time for which the answer asks before
// the next request; last is set if the answer is the last one on the connection.
func (a *directAttempt) read(conn net.Conn, in *bufio.Reader, r *http.Request) (wait time.Duration, last bool, err error) {
	// An answer may be late; it is still observed.
	_ = conn.SetReadDeadline(a.turn.Add(a.maxWait() + 2*answerSlack)) // an error shows in ReadResponse
	res, err := http.ReadResponse(in, r)
	if err != nil {
		return 0, true, err
	}
	defer func() { _ = res.Body.Close() }()
	a.status = res.StatusCode
	return platformtest.RetryAfter(res.Header), res.Close, a.readAnswer(res)
}
