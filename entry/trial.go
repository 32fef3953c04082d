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

// Quarantine is the part of the control state that records which requests crash
// engines. Its methods do not block.
type Quarantine interface {
	// ConnectionLost reports that the connection of a request to an engine broke
	// or went silent while the request ran.
	ConnectionLost(service, upstream, incarnation string, h quarantine.Hash)
	// Completed reports that a suspect, or a request that lost an engine, completed.
	Completed(quarantine.Hash)
	// TrialEnded reports that a trial ended without completion or crash.
	TrialEnded(quarantine.Hash)
	// Refused reports that a quarantined request was sent again.
	Refused(quarantine.Hash)
	// RequestTrial asks on which of the candidates, which are addresses of
	// upstreams, a suspect may run. If the question cannot be queued, it returns
	// false and reply is never called.
	RequestTrial(h quarantine.Hash, candidates []string, reply func(node.TrialAnswered)) bool
}

// codeQuarantined is the error code for requests that crash engines.
const codeQuarantined = "quarantined"

const (
	quarantinedMessage = "engines crashed each time that they ran this request; it is not run again"
	// lossesBeforeTrial is how many engines a generation may lose before it may
	// only continue on trial. The first continuation does not wait for a trial,
	// because nearly all requests of a lost engine did not cause the crash and
	// their answers must continue within a second.
	lossesBeforeTrial = 1
	// trialRequestInterval is the time after which an unanswered request for a trial
	// is repeated.
	trialRequestInterval = time.Second
)

// trial is the state of a generation's trials. Replies to RequestTrial come from
// another goroutine.
type trial struct {
	// suspect is set when the request was a suspect on arrival.
	suspect bool
	// losses counts the attempts whose connection broke while they ran, except
	// those that a new connection resumed.
	losses int
	// untriedUpstream is the upstream at which the generation is counted in
	// Entry.suspects because it runs without a trial after a loss, empty if it is
	// not counted. untriedAttempt is the number of that attempt.
	untriedUpstream string
	untriedAttempt  int
	// awaitingAttempt is the number of the attempt that waits for a trial; 0 if none
	// does.
	awaitingAttempt int
	// nextRequestAt is when the trial is requested again.
	nextRequestAt time.Time
	// runningAttempt is the number of the attempt that is on trial; 0 if none is.
	runningAttempt int
	answers        chan node.TrialAnswered

	mu     sync.Mutex
	closed bool // the generation takes no more answers; guarded by mu
}

// refuseQuarantined returns a refusal if the request is quarantined, otherwise nil.
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

// needsTrial reports whether the next attempt must wait for a trial.
func (g *generation) needsTrial() bool {
	if g.e.o.Quarantine == nil {
		return false
	}
	return g.trial.suspect || g.trial.losses > lossesBeforeTrial || g.trial.losses == 0 && g.e.verdict(g.request) != quarantine.Clear
}

// requestTrial answers the last Place by requesting a trial.
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
		// The generation has ended or has not yet taken an earlier answer.
		if a.Address != "" {
			g.e.o.Quarantine.TrialEnded(g.request.contentHash)
		}
	})
}

// endPreviousTrial ends the trial of an attempt that is superseded. Until it has
// ended, the control state defers further trials of the same content.
func (g *generation) endPreviousTrial() {
	number := g.trial.runningAttempt
	g.trial.runningAttempt = 0
	rec := g.attempts[number]
	switch {
	case rec == nil || rec.connectionBroke:
	case rec.refusalStatus != 0 || rec.notRun:
		g.e.o.Quarantine.TrialEnded(g.request.contentHash)
	default:
		// The engine went silent and may have died.
		g.reportBroken(number)
	}
}

// trialCandidates returns the addresses of the upstreams at which the request may
// run.
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

// handleTrialAnswer starts the attempt at the granted upstream, fails the request
// if it is quarantined, or schedules the next request for a trial.
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

// repeatTrialRequest requests the trial again once nextRequestAt has passed.
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

// reportBroken reports an attempt whose connection broke. The load poll that the
// report triggers shows whether the engine died.
func (g *generation) reportBroken(number int) {
	rec := g.attempts[number]
	if g.e.o.Quarantine == nil || rec == nil || rec.connectionBroke {
		return
	}
	rec.connectionBroke = true
	g.trial.losses++
	g.e.o.Quarantine.ConnectionLost(g.request.view.Doc.Name, rec.upstream, rec.incarnation, g.request.contentHash)
}

// endUntriedRun removes the generation from Entry.suspects.
func (g *generation) endUntriedRun() {
	if g.trial.untriedUpstream != "" {
		g.e.suspects.add(g.trial.untriedUpstream, -1)
		g.trial.untriedUpstream = ""
	}
}

// endTrial ends the trial of an attempt. If the attempt's connection broke, the
// load poll decides the result instead.
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

// closeTrials ends a trial that was granted too late to be used and stops taking
// answers.
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
