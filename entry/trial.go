package entry

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gooseberryroad/gooseberryroad/node"
	"github.com/gooseberryroad/gooseberryroad/quarantine"
	"github.com/gooseberryroad/gooseberryroad/recovery"
	"github.com/gooseberryroad/gooseberryroad/routing"
)

// Quarantine is the part of the control state that knows which requests crash
// engines. Its methods do not block.
type Quarantine interface {
	// ConnectionLost reports a connection that broke while a request ran.
	ConnectionLost(service, upstream, incarnation string, h quarantine.Hash)
	// Completed reports that a suspect, or a request that lost an engine, completed.
	Completed(quarantine.Hash)
	// TrialEnded reports a trial that ended without completion or crash.
	TrialEnded(quarantine.Hash)
	// Refused reports that a quarantined request was sent again.
	Refused(quarantine.Hash)
	// RequestTrial asks on which of the upstreams, by address, a suspect may
	// run. It returns false, and reply is never called, when the request is lost.
	RequestTrial(h quarantine.Hash, candidates []string, reply func(node.TrialAnswered)) bool
}

// codeQuarantined is the code of requests that crash engines.
const codeQuarantined = "quarantined"

const (
	quarantinedMessage = "engines crashed each time that they ran this request; it is not run again"
	// untriedLosses is how many engines a generation may lose before it
	// continues on trial only. The first continuation does not wait for a trial:
	// after the loss of an engine nearly all of its requests are innocent, and
	// the answer must go on within a second.
	lossesBeforeTrial = 1
	// trialAgain is when a request for a trial is repeated without an answer.
	trialRequestInterval = time.Second
)

// trial is what a generation knows of its trials. Replies come from another
// goroutine.
type trial struct {
	// suspect is set when the request was a suspect on arrival.
	suspect bool
	// losses counts the attempts that broke off while they ran.
	losses int
	// untriedAt is the upstream at which the generation counts as a suspect that
	// runs without a trial, empty if it does not; untriedFor is the attempt.
	untriedUpstream string
	untriedAttempt  int
	// attempt is the placement that awaited for an answer, 0 if none does.
	awaitingAttempt int
	// askAt is when the answer is asked for again.
	nextRequestAt time.Time
	// running is the number of the attempt that is on trial, 0 if none is.
	runningAttempt int
	answers        chan node.TrialAnswered

	mu     sync.Mutex
	closed bool
}

// quarantinedOnArrival refuses a request that is quarantined.
func (e *Entry) refuseQuarantined(req *parsedRequest) *refusal {
	if e.o.Quarantine == nil || req.cursor != nil || e.verdict(req) != quarantine.Quarantined {
		return nil
	}
	e.o.Quarantine.Refused(req.contentHash)
	return &refusal{Status: http.StatusUnprocessableEntity, Code: codeQuarantined, Outcome: recovery.OutcomeNotRun, Message: quarantinedMessage}
}

func (e *Entry) verdict(req *parsedRequest) quarantine.Verdict {
	return e.o.Snapshot().Quarantine[req.contentHash]
}

// onTrial reports whether the next attempt must wait for a trial.
func (g *generation) needsTrial() bool {
	if g.e.o.Quarantine == nil {
		return false
	}
	return g.trial.suspect || g.trial.losses > lossesBeforeTrial || g.trial.losses == 0 && g.e.verdict(g.request) != quarantine.Clear
}

// askTrial asks for an upstream for the last Place.
func (g *generation) requestTrial() {
	p := g.place
	if g.e.verdict(g.request) == quarantine.Quarantined {
		g.failQuarantined()
		return
	}
	g.endPreviousTrial()
	view := g.e.o.Snapshot().Services[g.request.view.Doc.Name]
	candidates := g.trialCandidates(view)
	if len(candidates) == 0 {
		g.trial.awaitingAttempt = 0
		g.step(recovery.NoUpstream{Attempt: p.Attempt, VersionGone: view == nil || p.Version != "" && !routing.HasVersion(view, p.Version)})
		return
	}
	g.trial.awaitingAttempt, g.trial.nextRequestAt = p.Attempt, g.e.o.Now().Add(trialRequestInterval)
	answers := g.trial.answers
	g.e.o.Quarantine.RequestTrial(g.request.contentHash, candidates, func(a node.TrialAnswered) {
		g.trial.mu.Lock()
		defer g.trial.mu.Unlock()
		select {
		case answers <- a:
			if !g.trial.closed {
				return
			}
			<-answers
		default:
		}
		// Nobody takes the answer any more.
		if a.Address != "" {
			g.e.o.Quarantine.TrialEnded(g.request.contentHash)
		}
	})
}

// leaveTrial ends the trial of an attempt that another one follows. The state
// would defer the next trial of the content until this one has ended.
func (g *generation) endPreviousTrial() {
	number := g.trial.runningAttempt
	g.trial.runningAttempt = 0
	rec := g.attempts[number]
	switch {
	case rec == nil || rec.connectionBroke:
	case rec.refusalStatus != 0 || rec.notRun:
		g.e.o.Quarantine.TrialEnded(g.request.contentHash)
	default:
		// The engine went silent; it may have died.
		g.reportBroken(number)
	}
}

// trialCandidates are the addresses at which the request may run.
func (g *generation) trialCandidates(view *node.ServiceView) []string {
	if view == nil {
		return nil
	}
	var out []string
	for i := range view.Upstreams {
		u := &view.Upstreams[i]
		switch {
		case u.Leaving || u.State == node.UpstreamLeaving || u.State == node.UpstreamDead || u.State == node.UpstreamSilent,
			slices.Contains(g.place.Exclude, u.Name),
			g.place.Version != "" && u.Version != g.place.Version,
			g.place.Version == "" && view.Shares[u.Version] == 0,
			view.Replicas[u.Version] != nil && !slices.Contains(view.Replicas[u.Version], u.Name):
			continue
		}
		out = append(out, u.Address)
	}
	return out
}

// trialAnswered places the request, or awaited.
func (g *generation) handleTrialAnswer(a node.TrialAnswered) {
	awaited := g.trial.awaitingAttempt != 0 && g.trial.awaitingAttempt == g.place.Attempt
	if a.Address == "" {
		switch {
		case !awaited:
		case a.Verdict == quarantine.Quarantined:
			g.failQuarantined()
		default:
			g.trial.nextRequestAt = g.e.o.Now().Add(a.After)
		}
		return
	}
	var u *node.UpstreamView
	if view := g.e.o.Snapshot().Services[g.request.view.Doc.Name]; view != nil && awaited {
		for i := range view.Upstreams {
			if view.Upstreams[i].Address == a.Address {
				u = &view.Upstreams[i]
			}
		}
	}
	if u == nil {
		g.e.o.Quarantine.TrialEnded(g.request.contentHash)
		return
	}
	g.trial.runningAttempt, g.trial.awaitingAttempt = g.place.Attempt, 0
	g.choice = routing.Choice{Upstream: u.Name, Address: u.Address, Version: u.Version}
	g.queueSpan.End()
	g.step(recovery.Placed{Attempt: g.place.Attempt, Upstream: u.Name, Version: u.Version})
}

// tickTrial asks again when the time has come.
func (g *generation) repeatTrialRequest() {
	if g.trial.awaitingAttempt == 0 || g.result != nil {
		return
	}
	if number, _, _ := g.machine.Attempt(); number != g.trial.awaitingAttempt {
		g.trial.awaitingAttempt = 0
		return
	}
	if !g.e.o.Now().Before(g.trial.nextRequestAt) {
		g.requestTrial()
	}
}

func (g *generation) failQuarantined() {
	g.trial.awaitingAttempt = 0
	g.e.o.Quarantine.Refused(g.request.contentHash)
	g.result = &ending{fail: &recovery.Fail{Outcome: g.machine.Outcome(), Code: codeQuarantined, Status: http.StatusUnprocessableEntity}}
}

// broke reports an attempt whose connection broke. The load poll that this
// causes tells whether the engine died.
func (g *generation) reportBroken(number int) {
	rec := g.attempts[number]
	if g.e.o.Quarantine == nil || rec == nil || rec.connectionBroke {
		return
	}
	rec.connectionBroke = true
	g.trial.losses++
	g.e.o.Quarantine.ConnectionLost(g.request.view.Doc.Name, rec.upstream, rec.incarnation, g.request.contentHash)
}

// endUntried ends the count of a suspect that runs without a trial.
func (g *generation) endUntriedRun() {
	if g.trial.untriedUpstream != "" {
		g.e.suspects.add(g.trial.untriedUpstream, -1)
		g.trial.untriedUpstream = ""
	}
}

// endTrial closes the trial of an attempt. That of one that broke off is
// decided by the load poll.
func (g *generation) endTrial(rec *attemptRecord, outcome string) {
	if g.e.o.Quarantine == nil {
		return
	}
	if rec.number == g.trial.untriedAttempt {
		g.endUntriedRun()
	}
	onTrial := g.trial.runningAttempt == rec.number
	if onTrial {
		g.trial.runningAttempt = 0
	}
	switch {
	case outcome == OutcomeComplete:
		if onTrial || g.trial.losses > 0 || g.e.verdict(g.request) != quarantine.Clear {
			g.e.o.Quarantine.Completed(g.request.contentHash)
		}
	case onTrial && !rec.connectionBroke:
		g.e.o.Quarantine.TrialEnded(g.request.contentHash)
	}
}

// closeTrials gives back what was granted too late.
func (g *generation) closeTrials() {
	g.trial.mu.Lock()
	defer g.trial.mu.Unlock()
	g.trial.closed = true
	select {
	case a := <-g.trial.answers:
		if a.Address != "" {
			g.e.o.Quarantine.TrialEnded(g.request.contentHash)
		}
	default:
	}
}
