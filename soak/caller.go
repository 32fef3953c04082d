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
	// steadyKey is allowed by every configuration of a run.
	steadyKey = "k0"
	// callerPause is the longest time between two requests of a caller.
	callerPause = 100 * time.Millisecond
	// maxTries bounds how often a caller takes up a stream that was cut.
	maxTries = 4
	// maxAnswerBytes bounds what is read of a plain answer.
	maxAnswerBytes = 1 << 20
)

// caller sends requests one after the other over kept connections.
type caller struct {
	number int
	s      *Soak
	random *rand.Rand
	client *http.Client
	sent   int
	seen   []attempt
}

func newCaller(s *Soak, number int) *caller {
	t := &http.Transport{MaxIdleConnsPerHost: 1}
	return &caller{number: number, s: s, random: rand.New(rand.NewPCG(s.seed, uint64(number+1))), client: &http.Client{Transport: t}}
}

// work sends requests until the context ends.
func (c *caller) work(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		call := platformtest.Call{Key: steadyKey, Timeout: 5 * time.Second, Kind: platformtest.Stream, Body: fmt.Sprintf("subject %d of caller %d", c.sent, c.number)}
		leave := time.Duration(0)
		// Every other caller sends small requests only, so that some are always at
		// work when a fault comes.
		switch n := c.random.IntN(100); {
		case n < 5:
			call.Kind, call.Key = platformtest.Order, "never"
		case n < 15:
			leave = time.Duration(c.random.Int64N(int64(time.Second)))
		case c.number%2 == 0:
			call.Timeout = 12 * time.Second
		case n < 60:
			call.Kind = platformtest.Order
		default:
			call.Kind = platformtest.LookUp
		}
		c.call(ctx, call, leave)
		time.Sleep(time.Duration(c.random.Int64N(int64(callerPause))))
	}
}

// call sends a request; a stream that was cut is taken up where it ended. After
// an end without an answer the caller waits, because its daemon may be down.
func (c *caller) call(ctx context.Context, call platformtest.Call, leave time.Duration) {
	for range maxTries {
		c.sent++
		call.ID = fmt.Sprintf("c%d-%d", c.number, c.sent)
		a := c.try(ctx, call, c.random.IntN(len(c.s.daemons)), leave)
		if a == nil {
			return
		}
		c.seen = append(c.seen, *a)
		if a.cut {
			time.Sleep(callerPause)
		}
		if call.Kind != platformtest.Stream || !a.cut || a.left {
			return
		}
		call.LastEventID = a.LastEventID
	}
}

// try sends one attempt; nil when no connection to the daemon was made.
func (c *caller) try(ctx context.Context, call platformtest.Call, daemon int, leave time.Duration) *attempt {
	a := &attempt{Call: call, daemon: daemon, atWork: -1}
	// The caller outlasts its own wait a little, so that late answers are seen.
	patience := call.Timeout + 2*answerSlack
	if leave > 0 {
		patience = leave
	}
	connected := false
	ctx, cancel := context.WithTimeout(httptrace.WithClientTrace(context.WithoutCancel(ctx), &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { connected, a.reused = true, i.Reused },
	}), patience)
	defer cancel()
	r, err := call.Request(ctx, c.s.clients[daemon].address())
	if err != nil {
		panic(err) // the address is a proxy's
	}
	// Without it the transport would send a request again over a new connection.
	r.GetBody = nil
	a.sent = time.Now()
	res, err := c.client.Do(r)
	if err == nil {
		a.status = res.StatusCode
		err = c.read(a, res)
		_ = res.Body.Close()
	}
	a.ended = time.Now()
	switch {
	case !connected:
		return nil
	case err == nil:
	case errors.Is(err, context.DeadlineExceeded):
		a.left = leave > 0
		cancel()
		time.Sleep(goneWithin)
		a.atWork = c.s.worker(a.ID)
	default:
		a.cut = true
	}
	return a
}

// read checks an answer as it arrives. After becomes the last event.
func (c *caller) read(a *attempt, res *http.Response) error {
	id, sealed := platformtest.DecodeResponseHeader(res.Header)
	if id != "" && id != a.ID {
		a.wrong = "the answer is to " + id
	}
	if res.StatusCode != http.StatusOK || a.Kind != platformtest.Stream {
		body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
		if err == nil && res.StatusCode == http.StatusOK && (!sealed || !bytes.HasSuffix(body, []byte(" to "+a.ID))) {
			a.wrong = fmt.Sprintf("the body is %q", body)
		}
		return err
	}
	last := time.Now()
	events := sse.NewRawReader(res.Body)
	for {
		e, err := events.Next()
		now := time.Now()
		if now.Sub(last) > a.gap {
			a.gap, a.gapEnd = now.Sub(last), now
		}
		last = now
		if errors.Is(err, io.EOF) {
			if a.LastEventID != streamEvents {
				a.wrong = fmt.Sprintf("the stream ends as complete after event %d", a.LastEventID)
			}
			return nil
		}
		if err != nil {
			return err
		}
		a.LastEventID++
		if string(e.Bytes) != platformtest.EncodeEvent(a.LastEventID, piece(a.Body, a.LastEventID)) {
			a.wrong = fmt.Sprintf("event %d is %q", a.LastEventID, e.Bytes)
		}
	}
}
