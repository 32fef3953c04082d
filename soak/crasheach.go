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
	poisonSends    = 8
	poisonInterval = 400 * time.Millisecond
	// crashWait is how long the caller of such a request waits.
	poisonTimeout = 400 * time.Millisecond
	// backAfterCrash is when an upstream that a request crashed is back.
	restartDelay = 300 * time.Millisecond
	// crashesAllowed is the number of crashes after which a request may run
	// lateRunsAllowed times more, from stableWindow on: the users' rule.
	maxCrashes  = 3
	maxLateRuns = 3
)

// crasher is a request that crashes each upstream that runs it.
type poisonRequest struct {
	body     string
	from, to time.Time
	// runs are those that reached upstreams, in the order of time.
	runs []poisonRun
}

type poisonRun struct {
	at time.Time
	// daemon sent it.
	daemon int
}

// crashEach sends a request that crashes each engine that runs it to one daemon
// after the other.
func (s *Soak) sendPoisonRequest(ctx context.Context) {
	if !s.poisonMu.TryLock() {
		return
	}
	defer s.poisonMu.Unlock()
	s.poisonRequests++
	c := poisonRequest{body: fmt.Sprintf("crash %d of seed %d", s.poisonRequests, s.seed), from: time.Now()}
	for _, u := range s.upstreams {
		u.Set(func(b *platformtest.Behaviour) { b.CrashOn, b.BackAfter = c.body, restartDelay })
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	random := rand.New(rand.NewPCG(s.seed, uint64(s.poisonRequests)))
	daemons := map[string]int{}
	for i := range poisonSends {
		call := platformtest.Call{
			ID: fmt.Sprintf("p%d-%d", s.poisonRequests, i), Kind: platformtest.Stream, Key: permanentKey, Body: c.body, Wait: poisonTimeout,
		}
		within, cancel := context.WithTimeout(ctx, call.Wait)
		daemons[call.ID] = random.IntN(len(s.daemons))
		s.sendIgnoringAnswer(within, client, call, daemons[call.ID])
		cancel()
		if !pause.For(ctx, poisonInterval) {
			break
		}
	}
	c.to = time.Now()
	for _, u := range s.upstreams {
		u.Set(func(b *platformtest.Behaviour) { b.CrashOn = "" })
		for _, seen := range u.Requests() {
			if seen.Body == c.body {
				c.runs = append(c.runs, poisonRun{seen.At, daemons[seen.ID()]})
			}
		}
	}
	slices.SortFunc(c.runs, func(a, b poisonRun) int { return a.at.Compare(b.at) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observed.poisonRequests = append(s.observed.poisonRequests, c)
}

// send sends a call whose answer does not matter.
func (s *Soak) sendIgnoringAnswer(ctx context.Context, client *http.Client, call platformtest.Call, daemon int) {
	r, err := call.Request(ctx, s.clientLinks[daemon].address())
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
func (s *Soak) recordPoisonCrashes() {
	for i, u := range s.upstreams {
		for _, at := range u.Crashes() {
			s.observed.faults.add(Upstreams, i, interval{at, at.Add(restartDelay)})
		}
	}
}

// judgeCrasher says what is wrong with the runs of a request that crashes its
// upstreams; empty for nothing. Runs count that were sent by a daemon in touch
// while those that had sent the earlier ones could tell of them.
func (l *observations) checkPoisonRequest(c poisonRequest) string {
	if !l.faults.unaffected(StoreServer, 0, c.from, c.to) || len(c.runs) <= maxCrashes {
		return ""
	}
	known := c.runs[maxCrashes-1].at.Add(settleTime)
	late := 0
	for _, r := range c.runs {
		if !l.daemonConnected(r.daemon, c) {
			return ""
		}
		if r.at.After(known) {
			late++
		}
	}
	if late > maxLateRuns {
		return fmt.Sprintf("it ran %d times, %d of them long after it had crashed %d upstreams", len(c.runs), late, maxCrashes)
	}
	return ""
}

// inTouch reports whether a daemon and its ways to the store and to the daemons
// that it may follow were in no trouble while a request was sent again and again.
func (l *observations) daemonConnected(daemon int, c poisonRequest) bool {
	for i := range l.daemons {
		if !l.faults.unaffected(PeerLinks, i, c.from, c.to) {
			return false
		}
	}
	return l.faults.unaffected(Daemons, daemon, c.from, c.to) && l.plannedStops.unaffected(Daemons, daemon, c.from, c.to) &&
		l.faults.unaffected(StoreLinks, daemon, c.from, c.to)
}
