package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/gooseberryroad/gooseberryroad/internal/pause"
	"github.com/gooseberryroad/gooseberryroad/platform/platformtest"
)

const (
	// crashSends is how often a request that crashes upstreams is sent, and
	// crashPause the time between two sends: together well above stableWindow.
	crashSends = 8
	crashPause = 400 * time.Millisecond
	// crashWait is how long the caller of such a request waits.
	crashWait = 400 * time.Millisecond
	// backAfterCrash is when an upstream that a request crashed is back.
	backAfterCrash = 300 * time.Millisecond
	// crashesAllowed is the number of crashes after which a request may run
	// lateRunsAllowed times more, from stableWindow on: the users' rule.
	crashesAllowed  = 3
	lateRunsAllowed = 3
)

// crasher is a request that crashes each upstream that runs it.
type crasher struct {
	body     string
	from, to time.Time
	// runs are those that reached upstreams, in the order of time.
	runs []crasherRun
}

type crasherRun struct {
	at time.Time
	// daemon sent it.
	daemon int
}

// crashEach sends a request that crashes each engine that runs it to one daemon
// after the other.
func (s *Soak) crashEach(ctx context.Context) {
	if !s.crashing.TryLock() {
		return
	}
	defer s.crashing.Unlock()
	s.crashers++
	c := crasher{body: fmt.Sprintf("crash %d of seed %d", s.crashers, s.seed), from: time.Now()}
	for _, u := range s.upstreams {
		u.Set(func(b *platformtest.Behaviour) { b.CrashOn, b.RestartDelay = c.body, backAfterCrash })
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	random := rand.New(rand.NewPCG(s.seed, uint64(s.crashers)))
	daemons := map[string]int{}
	for i := range crashSends {
		call := platformtest.Call{
			ID: fmt.Sprintf("p%d-%d", s.crashers, i), Kind: platformtest.Stream, Key: steadyKey, Body: c.body, Timeout: crashWait,
		}
		within, cancel := context.WithTimeout(ctx, call.Timeout)
		daemons[call.ID] = random.IntN(len(s.daemons))
		s.send(within, client, call, daemons[call.ID])
		cancel()
		if !pause.For(ctx, crashPause) {
			break
		}
	}
	c.to = time.Now()
	for _, u := range s.upstreams {
		u.Set(func(b *platformtest.Behaviour) { b.CrashOn = "" })
		for _, seen := range u.ReceivedRequests() {
			if seen.Body == c.body {
				c.runs = append(c.runs, crasherRun{seen.At, daemons[seen.ID()]})
			}
		}
	}
	slices.SortFunc(c.runs, func(a, b crasherRun) int { return a.at.Compare(b.at) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.played.crashers = append(s.played.crashers, c)
}

// send sends a call whose answer does not matter.
func (s *Soak) send(ctx context.Context, client *http.Client, call platformtest.Call, daemon int) {
	r, err := call.Request(ctx, s.clients[daemon].address())
	if err != nil {
		panic(err) // the address is a proxy's
	}
	res, err := client.Do(r)
	if err != nil {
		return // its upstream crashed, or its daemon is in trouble
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
}

// noteCrashes counts the crashes that a request caused among the troubles.
func (s *Soak) noteCrashes() {
	for i, u := range s.upstreams {
		for _, at := range u.Crashes() {
			s.played.troubles.add(Upstreams, i, span{at, at.Add(backAfterCrash)})
		}
	}
}

// judgeCrasher says what is wrong with the runs of a request that crashes its
// upstreams; empty for nothing. Runs count that were sent by a daemon in touch
// while those that had sent the earlier ones could tell of them.
func (l *ledger) judgeCrasher(c crasher) string {
	if !l.troubles.calm(StoreServer, 0, c.from, c.to) || len(c.runs) <= crashesAllowed {
		return ""
	}
	known := c.runs[crashesAllowed-1].at.Add(stableWindow)
	late := 0
	for _, r := range c.runs {
		if !l.inTouch(r.daemon, c) {
			return ""
		}
		if r.at.After(known) {
			late++
		}
	}
	if late > lateRunsAllowed {
		return fmt.Sprintf("it ran %d times, %d of them long after it had crashed %d upstreams", len(c.runs), late, crashesAllowed)
	}
	return ""
}

// inTouch reports whether a daemon and its ways to the store and to the daemons
// that it may follow were in no trouble while a request was sent again and again.
func (l *ledger) inTouch(daemon int, c crasher) bool {
	for i := range l.daemons {
		if !l.troubles.calm(PeerLinks, i, c.from, c.to) {
			return false
		}
	}
	return l.troubles.calm(Daemons, daemon, c.from, c.to) && l.stops.calm(Daemons, daemon, c.from, c.to) &&
		l.troubles.calm(StoreLinks, daemon, c.from, c.to)
}
