package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/gooseberryroad/gooseberryroad/platform/platformtest"
	"github.com/gooseberryroad/gooseberryroad/sse"
)

const (
	// permanentKey is an account key that every configuration of a run accepts.
	permanentKey = "k0"
	// maxCallerPause is the longest time between two requests of a caller.
	maxCallerPause = 100 * time.Millisecond
	// maxStreamAttempts bounds the attempts of one request; a caller sends further
	// ones to resume a stream that was cut.
	maxStreamAttempts = 4
	// maxAnswerBytes bounds the bytes read of the body of a plain answer or refusal.
	maxAnswerBytes = 1 << 20
)

// caller sends requests one after the other over keep-alive connections.
type caller struct {
	number   int
	s        *Soak
	random   *rand.Rand
	client   *http.Client
	sent     int
	attempts []attempt
	// chunkedBodies sends bodies in chunks, without their length.
	chunkedBodies bool
}

func newCaller(s *Soak, number int) *caller {
	t := &http.Transport{MaxIdleConnsPerHost: 1}
	return &caller{number: number, s: s, random: rand.New(rand.NewPCG(s.seed, uint64(number+1))), client: &http.Client{Transport: t}}
}

// sendRequests sends requests until the context ends.
func (c *caller) sendRequests(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		call := platformtest.Call{Key: permanentKey, Timeout: 5 * time.Second, Kind: platformtest.Stream, Body: fmt.Sprintf("subject %d of caller %d", c.sent, c.number)}
		abandonAfter := time.Duration(0)
		// Callers with odd numbers send mostly plain requests, so that some are
		// always running when a fault begins.
		switch n := c.random.IntN(100); {
		case n < 5:
			call.Kind, call.Key = platformtest.Order, "never"
		case n < 15:
			abandonAfter = time.Duration(c.random.Int64N(int64(time.Second)))
		case c.number%2 == 0:
			call.Timeout = 12 * time.Second
		case n < 60:
			call.Kind = platformtest.Order
		default:
			call.Kind = platformtest.LookUp
		}
		c.sendAndResume(ctx, call, abandonAfter)
		time.Sleep(time.Duration(c.random.Int64N(int64(maxCallerPause))))
	}
}

// sendAndResume sends a request and resumes a stream that was cut after its last
// event. It waits after an answer that was cut, because the daemon may be down.
func (c *caller) sendAndResume(ctx context.Context, call platformtest.Call, abandonAfter time.Duration) {
	for range maxStreamAttempts {
		call.ID = c.nextID()
		a := c.sendOnce(ctx, call, c.random.IntN(len(c.s.daemons)), abandonAfter)
		if a == nil {
			return
		}
		c.attempts = append(c.attempts, *a)
		if a.cut {
			time.Sleep(maxCallerPause)
		}
		if call.Kind != platformtest.Stream || !a.cut || a.abandoned {
			return
		}
		call.LastEventID = a.LastEventID
	}
}

// nextID returns the ID of the caller's next attempt.
func (c *caller) nextID() string {
	c.sent++
	return fmt.Sprintf("c%d-%d", c.number, c.sent)
}

// sendOnce sends one attempt. It returns nil when no connection to the daemon could
// be made. abandonAfter is when the caller gives up; 0 for not before its timeout.
func (c *caller) sendOnce(ctx context.Context, call platformtest.Call, daemon int, abandonAfter time.Duration) *attempt {
	a := &attempt{Call: call, daemon: daemon, stillRunningOn: -1}
	// The caller waits longer than the timeout that it states, so that late answers
	// are observed.
	timeout := call.Timeout + 2*answerSlack
	if abandonAfter > 0 {
		timeout = abandonAfter
	}
	connected := false
	ctx, cancel := context.WithTimeout(httptrace.WithClientTrace(context.WithoutCancel(ctx), &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { connected, a.reused = true, i.Reused },
	}), timeout)
	defer cancel()
	r, err := call.Request(ctx, c.s.clientLinks[daemon].address())
	if err != nil {
		panic(err) // cannot happen: the address is that of a proxy
	}
	// With GetBody set, the transport would send the request again over a new
	// connection by itself.
	r.GetBody = nil
	if c.chunkedBodies {
		r.ContentLength = -1
	}
	a.sent = time.Now()
	res, err := c.client.Do(r)
	if err == nil {
		a.status = res.StatusCode
		err = a.readAnswer(res)
		_ = res.Body.Close()
	}
	a.ended = time.Now()
	switch {
	case !connected:
		return nil
	case err == nil:
	case errors.Is(err, context.DeadlineExceeded):
		a.abandoned = abandonAfter > 0
		cancel()
		time.Sleep(maxCancelTime)
		a.stillRunningOn = c.s.upstreamRunning(a.ID)
	default:
		a.cut = true
	}
	return a
}

// readAnswer checks an answer as it arrives. It sets LastEventID to the number of
// the last event received.
func (a *attempt) readAnswer(res *http.Response) error {
	id, sealed := platformtest.DecodeResponseHeader(res.Header)
	if id != "" && id != a.ID {
		a.mismatch = "the answer is to " + id
	}
	if res.StatusCode != http.StatusOK || a.Kind != platformtest.Stream {
		body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
		if err == nil && res.StatusCode == http.StatusOK && (!sealed || !bytes.HasSuffix(body, []byte(" to "+a.ID))) {
			a.mismatch = fmt.Sprintf("the body is %q", body)
		}
		return err
	}
	last := time.Now()
	events := sse.NewRawReader(res.Body)
	for {
		e, err := events.Next()
		now := time.Now()
		if now.Sub(last) > a.longestGap {
			a.longestGap, a.gapEnd = now.Sub(last), now
		}
		last = now
		if errors.Is(err, io.EOF) {
			if a.LastEventID != streamEvents {
				a.mismatch = fmt.Sprintf("the stream ends as complete after event %d", a.LastEventID)
			}
			return nil
		}
		if err != nil {
			return err
		}
		a.LastEventID++
		if string(e.Bytes) != platformtest.EncodeEvent(a.LastEventID, eventText(a.Body, a.LastEventID)) {
			a.mismatch = fmt.Sprintf("event %d is %q", a.LastEventID, e.Bytes)
		}
	}
}
