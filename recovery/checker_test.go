package recovery_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/gooseberryroad/gooseberryroad/recovery"
)

// checker checks every invariant of the design page after every event. The letters (a)
// to (f) in its errors name invariants. It sees only the events and actions, not the
// state of the Generation.
type checker struct {
	text       string
	next       int
	lastPlaced int
	lastConn   int
	// starts holds the Start of each attempt. Attempts that are settled need no
	// CancelAttempt.
	starts           map[int]recovery.Start
	settled          map[int]bool
	notRun           map[int]bool
	open             map[int]int // attempt of each open connection
	lastStarted      int         // last attempt that was started or adopted
	refusedUntil     map[string]time.Time
	deliveredVersion string // version of delivered tokens
	backlog          []string
	ended            bool
	end              recovery.Action
	adopted          bool
	textUnknown      bool // the text delivered before the adoption is not known
	opened           map[int]bool
	// reconnectable is set when the caller can continue a running attempt at another
	// daemon.
	reconnectable bool
	handedOver    bool
}

func newChecker(r recovery.Request) *checker {
	a := r.Adopt
	c := &checker{
		reconnectable: r.Resumes && r.Cursors,
		starts:        map[int]recovery.Start{}, settled: map[int]bool{}, notRun: map[int]bool{},
		open: map[int]int{}, opened: map[int]bool{}, refusedUntil: map[string]time.Time{},
	}
	if a != nil {
		c.text, c.next, c.adopted = a.Text, a.Delivered, true
		c.textUnknown = a.Delivered > 0 && !a.HaveText
		c.lastPlaced, c.lastStarted = a.Attempt, a.Attempt
		c.starts[a.Attempt] = recovery.Start{Attempt: a.Attempt, Upstream: a.Upstream, Version: a.Version}
		if a.Delivered > 0 {
			c.deliveredVersion = a.Version
		}
	}
	return c
}

// inUse reports whether an event of the connection may have an effect.
func (c *checker) inUse(attempt, conn int) bool {
	a, ok := c.open[conn]
	return ok && a == attempt && attempt == c.lastStarted && !c.ended
}

// after checks the actions that an event caused.
func (c *checker) after(now time.Time, ev recovery.Event, actions []recovery.Action) (err error) {
	fail := func(format string, args ...any) {
		if err == nil {
			err = fmt.Errorf("after %T%+v: "+format, append([]any{ev, ev}, args...)...)
		}
	}
	if c.ended && len(actions) > 0 {
		fail("(f) actions %+v after the end", actions)
	}
	switch ev := ev.(type) {
	case recovery.Opened:
		c.opened[ev.Conn] = c.opened[ev.Conn] || c.inUse(ev.Attempt, ev.Conn)
	case recovery.Token:
		c.opened[ev.Conn] = c.opened[ev.Conn] || c.inUse(ev.Attempt, ev.Conn)
	}
	expect := "" // text of the token that may be delivered now
	switch ev := ev.(type) {
	case recovery.Token:
		if !c.inUse(ev.Attempt, ev.Conn) {
			if len(actions) > 0 {
				fail("(b) a token of a closed connection caused %+v", actions)
			}
		} else if ev.Index == c.next+len(c.backlog) {
			expect = ev.Text
		}
	case recovery.Refused:
		if c.inUse(ev.Attempt, ev.Conn) {
			if ev.NotRun && c.notAccepted(ev.Attempt, ev.Conn) {
				c.notRun[ev.Attempt], c.settled[ev.Attempt] = true, true
			}
			if ev.Status == 429 || ev.Status == 503 {
				c.refusedUntil[c.starts[ev.Attempt].Upstream] = now.Add(max(ev.RetryAfter, time.Second))
			}
		}
	case recovery.Broken:
		if c.inUse(ev.Attempt, ev.Conn) && ev.NotRun && c.notAccepted(ev.Attempt, ev.Conn) {
			c.notRun[ev.Attempt], c.settled[ev.Attempt] = true, true
		}
	case recovery.Finished:
		if c.inUse(ev.Attempt, ev.Conn) {
			c.settled[ev.Attempt] = true
		}
	}
	// After its last event a connection is closed and needs no CloseConn.
	switch ev := ev.(type) {
	case recovery.Refused:
		c.connectionEnded(ev.Attempt, ev.Conn)
	case recovery.Broken:
		c.connectionEnded(ev.Attempt, ev.Conn)
	case recovery.UnknownGeneration:
		c.connectionEnded(ev.Attempt, ev.Conn)
	case recovery.Finished:
		c.connectionEnded(ev.Attempt, ev.Conn)
	}
	delivered := 0
	for _, a := range actions {
		if c.ended {
			fail("(f) %T after the end", a)
		}
		switch a := a.(type) {
		case recovery.Deliver:
			delivered++
			if a.Index != c.next {
				fail("(a) delivered index %d, want %d", a.Index, c.next)
			}
			want := expect
			if len(c.backlog) > 0 {
				want, c.backlog = c.backlog[0], c.backlog[1:]
			} else {
				expect = "delivered"
			}
			if a.Text != want {
				fail("(b) delivered %q, want %q", a.Text, want)
			}
			v := c.starts[c.lastStarted].Version
			if c.deliveredVersion == "" {
				c.deliveredVersion = v
			}
			if v != c.deliveredVersion {
				fail("(c) version %q after %q", v, c.deliveredVersion)
			}
			c.text += a.Text
			c.next++
		case recovery.Place:
			if a.Attempt <= c.lastPlaced {
				fail("attempt %d placed after %d", a.Attempt, c.lastPlaced)
			}
			c.lastPlaced = a.Attempt
			if c.next > 0 && a.Version != c.deliveredVersion {
				fail("(c) placement of version %q after tokens of %q", a.Version, c.deliveredVersion)
			}
			if c.next > 0 != a.Recovery {
				fail("continuation with %d tokens has Recovery %v", c.next, a.Recovery)
			}
			for name, until := range c.refusedUntil {
				if until.After(now) && !slices.Contains(a.Exclude, name) {
					fail("upstream %s refused until %s and is not excluded", name, until)
				}
			}
			if len(c.open) > 0 {
				fail("connections %v are open while an attempt is placed", c.open)
			}
			failOn(c.checkCancelled(), fail)
		case recovery.Start:
			if a.Attempt != c.lastPlaced || a.Conn <= c.lastConn {
				fail("start %+v after attempt %d and connection %d", a, c.lastPlaced, c.lastConn)
			}
			c.lastConn, c.lastStarted = a.Conn, a.Attempt
			c.starts[a.Attempt] = a
			c.open[a.Conn] = a.Attempt
			if c.next > 0 && a.Version != c.deliveredVersion {
				fail("(c) start of version %q after tokens of %q", a.Version, c.deliveredVersion)
			}
			if a.Prefix != c.text || a.PrefixTokens != c.next {
				fail("(d) prefix of %d tokens %q, delivered %d tokens %q", a.PrefixTokens, a.Prefix, c.next, c.text)
			}
			if c.textUnknown {
				fail("(d) start without the delivered text")
			}
			if len(c.backlog) > 0 {
				fail("(d) start while %d tokens are not delivered", len(c.backlog))
			}
		case recovery.Resume:
			if a.Attempt != c.lastStarted || a.Conn <= c.lastConn || a.Upstream != c.starts[a.Attempt].Upstream {
				fail("resume %+v of attempt %d", a, c.lastStarted)
			}
			if a.After != c.next {
				fail("resume after %d, delivered %d", a.After, c.next)
			}
			if c.settled[a.Attempt] {
				fail("resume of an attempt that was cancelled or ended")
			}
			c.lastConn = a.Conn
			c.open[a.Conn] = a.Attempt
			if len(c.open) > 2 {
				fail("%d connections are open", len(c.open))
			}
		case recovery.CloseConn:
			delete(c.open, a.Conn)
		case recovery.CancelAttempt:
			if c.settled[a.Attempt] {
				fail("attempt %d is cancelled twice or after its end", a.Attempt)
			}
			if a.Upstream != c.starts[a.Attempt].Upstream {
				fail("attempt %d is cancelled at %s", a.Attempt, a.Upstream)
			}
			c.settled[a.Attempt] = true
		case recovery.Abandon:
			if !c.reconnectable {
				fail("attempt %d keeps running for a caller that cannot reconnect", a.Attempt)
			}
			c.settled[a.Attempt] = true
		case recovery.Complete:
			c.ended, c.end = true, a
			if len(c.backlog) > 0 {
				fail("(a) complete while %d tokens are not delivered", len(c.backlog))
			}
		case recovery.Fail:
			c.ended, c.end = true, a
			mayHaveRun := c.adopted
			for n := range c.starts {
				mayHaveRun = mayHaveRun || !c.notRun[n]
			}
			if (a.Outcome == recovery.OutcomeNotRun) == mayHaveRun {
				fail("(e) outcome %s with starts %v, not run %v", a.Outcome, c.starts, c.notRun)
			}
		}
	}
	switch ev := ev.(type) {
	case recovery.CallerGone:
		c.ended = true
	case recovery.HandOver:
		c.ended, c.handedOver = true, c.handedOver || !c.ended
	case recovery.Token:
		if expect != "" && expect != "delivered" && delivered == 0 {
			c.backlog = append(c.backlog, ev.Text)
		}
	}
	if c.ended {
		if len(c.open) > 0 {
			fail("connections %v are open after the end", c.open)
		}
		if !c.handedOver || !c.reconnectable {
			failOn(c.checkCancelled(), fail)
		}
	}
	return err
}

// connectionEnded records that a connection was closed by its last event.
func (c *checker) connectionEnded(attempt, conn int) {
	if c.inUse(attempt, conn) {
		delete(c.open, conn)
	}
}

// failOn reports err, if any, with fail.
func failOn(err error, fail func(string, ...any)) {
	if err != nil {
		fail("%v", err)
	}
}

// notAccepted reports whether the connection is the one of Start and the engine has not
// accepted the request. Only then can the request be known not to have run.
func (c *checker) notAccepted(attempt, conn int) bool {
	return c.starts[attempt].Conn == conn && !c.opened[conn]
}

// checkCancelled returns an error if an attempt may still run at its engine although
// its tokens are not wanted.
func (c *checker) checkCancelled() error {
	var left []string
	for n := range c.starts {
		if !c.settled[n] {
			left = append(left, fmt.Sprint(n))
		}
	}
	if len(left) > 0 {
		slices.Sort(left)
		return fmt.Errorf("attempts %s are superseded and not cancelled", strings.Join(left, ", "))
	}
	return nil
}
