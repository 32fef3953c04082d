package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/gooseberryroad/gooseberryroad/internal/pause"
	"github.com/gooseberryroad/gooseberryroad/platform/platformtest"
)

const (
	// poisonSends is how often a poison request is sent and poisonInterval the time
	// between two sends: together well above settleTime.
	poisonSends    = 8
	poisonInterval = 400 * time.Millisecond
	// poisonTimeout is how long the caller of a poison request waits.
	poisonTimeout = 400 * time.Millisecond
	// restartDelay is the time after which an upstream that a poison request crashed
	// runs again.
	restartDelay = 300 * time.Millisecond
	// maxCrashes is the number of crashes after which a request counts as a poison
	// request, maxPartCrashes the same for a part of a prompt that different requests
	// share. Runs later than settleTime after the last of these crashes are late; the
	// users' rules allow at most maxLateRuns of them.
	maxCrashes     = 3
	maxPartCrashes = 5
	maxLateRuns    = 3
)

// poisonRequest is a request that crashes each upstream that runs it.
type poisonRequest struct {
	// body is the body of each send, or what it begins with if part is set.
	body string
	// part is a part of the prompts that crashes upstreams; the sends differ in
	// everything else. It is empty if all sends are the same.
	part     string
	from, to time.Time
	// runs are the attempts that reached upstreams, in the order of time.
	runs []poisonRun
}

// poisonRun is one run of a poison request on an upstream.
type poisonRun struct {
	at time.Time
	// daemon is the number of the daemon that sent the request to the upstream.
	daemon int
}

// maxCrashes returns the number of crashes after which the runs of a poison request
// can be late.
func (p poisonRequest) maxCrashes() int {
	if p.part != "" {
		return maxPartCrashes
	}
	return maxCrashes
}

// sendPoisonRequest sends a poison request poisonSends times, each time to a random
// daemon: by turns the same request, and requests that share a part of their prompts
// only. It does nothing while another poison request is sent.
func (s *Soak) sendPoisonRequest(ctx context.Context) {
	if !s.poisonMu.TryLock() {
		return
	}
	defer s.poisonMu.Unlock()
	s.poisonRequests++
	p := poisonRequest{body: fmt.Sprintf("crash %d of seed %d", s.poisonRequests, s.seed), from: time.Now()}
	if s.poisonRequests%2 == 0 {
		p.part = fmt.Sprintf("bad%d", s.poisonRequests)
	}
	for _, u := range s.upstreams {
		u.Set(func(b *platformtest.Behaviour) {
			b.RestartDelay = restartDelay
			if p.part == "" {
				b.CrashOn = p.body
			} else {
				b.CrashOnPart = p.part
			}
		})
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	random := rand.New(rand.NewPCG(s.seed, uint64(s.poisonRequests)))
	daemons := map[string]int{}
	for i := range poisonSends {
		call := platformtest.Call{
			ID: fmt.Sprintf("p%d-%d", s.poisonRequests, i), Kind: platformtest.Stream, Key: permanentKey, Body: p.body, Timeout: poisonTimeout,
		}
		if p.part != "" {
			call.Body = fmt.Sprint(p.body, ", send ", i)
			call.Prompt = fmt.Sprintf("first:200,%s:60,own%d:800", p.part, i)
		}
		within, cancel := context.WithTimeout(ctx, call.Timeout)
		daemons[call.ID] = random.IntN(len(s.daemons))
		s.sendIgnoringAnswer(within, client, call, daemons[call.ID])
		cancel()
		if !pause.For(ctx, poisonInterval) {
			break
		}
	}
	p.to = time.Now()
	for _, u := range s.upstreams {
		u.Set(func(b *platformtest.Behaviour) { b.CrashOn, b.CrashOnPart = "", "" })
		for _, received := range u.ReceivedRequests() {
			if received.Body == p.body || p.part != "" && strings.HasPrefix(received.Body, p.body+", ") {
				p.runs = append(p.runs, poisonRun{received.At, daemons[received.ID()]})
			}
		}
	}
	slices.SortFunc(p.runs, func(a, b poisonRun) int { return a.at.Compare(b.at) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observed.poisonRequests = append(s.observed.poisonRequests, p)
}

// sendIgnoringAnswer sends a call to a daemon and discards its answer or error.
func (s *Soak) sendIgnoringAnswer(ctx context.Context, client *http.Client, call platformtest.Call, daemon int) {
	r, err := call.Request(ctx, s.clientLinks[daemon].address())
	if err != nil {
		panic(err) // cannot happen: the address is that of a proxy
	}
	res, err := client.Do(r)
	if err != nil {
		return // its upstream crashed, or a fault acts on its daemon
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
}

// recordPoisonCrashes adds the crashes that poison requests caused to the faults.
func (s *Soak) recordPoisonCrashes() {
	for i, u := range s.upstreams {
		for _, at := range u.Crashes() {
			s.observed.faults.add(Upstreams, i, interval{at, at.Add(restartDelay)})
		}
	}
}

// checkPoisonRequest returns how the runs of a poison request break the users' rule,
// or "" when they don't. It checks nothing when a fault acted on the store, on a daemon
// that sent one of the runs or its link to the store, or on any link between daemons,
// because that daemon may not have learnt of the crashes.
func (obs *observations) checkPoisonRequest(p poisonRequest) string {
	if !obs.storeUnaffected(p.from, p.to) || len(p.runs) <= p.maxCrashes() {
		return ""
	}
	knownAt := p.runs[p.maxCrashes()-1].at.Add(settleTime)
	late := 0
	for _, r := range p.runs {
		if !obs.daemonConnected(r.daemon, p) {
			return ""
		}
		if r.at.After(knownAt) {
			late++
		}
	}
	if late > maxLateRuns {
		return fmt.Sprintf("it ran %d times, %d of them long after it had crashed %d upstreams", len(p.runs), late, p.maxCrashes())
	}
	return ""
}

// daemonConnected reports whether no fault acted on a daemon, its link to the store
// or any link between daemons while a poison request was sent.
func (obs *observations) daemonConnected(daemon int, p poisonRequest) bool {
	for i := range obs.daemons {
		if !obs.faults.unaffected(PeerLinks, i, p.from, p.to) {
			return false
		}
	}
	return obs.faults.unaffected(Daemons, daemon, p.from, p.to) && obs.plannedStops.unaffected(Daemons, daemon, p.from, p.to) &&
		obs.faults.unaffected(StoreLinks, daemon, p.from, p.to)
}
