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
	// Lost reports a connection that broke while a request ran.
	ConnectionLost(service, upstream, incarnation string, h quarantine.Hash)
	// Ran reports that a suspect, or a request that lost an engine, completed.
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
	untriedLosses = 1
	// trialAgain is when a request for a trial is repeated without an answer.
	trialAgain = time.Second
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
	untriedAt  string
	untriedFor int
	// attempt is the placement that waits for an answer, 0 if none does.
	attempt int
	// askAt is when the answer is asked for again.
	askAt time.Time
	// running is the number of the attempt that is on trial, 0 if none is.
	running int
	answers chan node.TrialAnswered

	mu     sync.Mutex
	closed bool
}

// quarantinedOnArrival refuses a request that is quarantined.
func (e *Entry) quarantinedOnArrival(cl *call) *refusal {
	if e.o.Quarantine == nil || cl.cursor != nil || e.verdict(cl) != quarantine.Quarantined {
		return nil
	}
	e.o.Quarantine.Refused(cl.content)
	return &refusal{Status: http.StatusUnprocessableEntity, Code: codeQuarantined, Outcome: recovery.OutcomeNotRun, Message: quarantinedMessage}
}

func (e *Entry) verdict(cl *call) quarantine.Verdict {
	return e.o.Snapshot().Quarantine[cl.content]
}

// onTrial reports whether the next attempt must wait for a trial.
func (g *generation) onTrial() bool {
	if g.e.o.Quarantine == nil {
		return false
	}
	return g.trial.suspect || g.trial.losses > untriedLosses || g.trial.losses == 0 && g.e.verdict(g.call) != quarantine.Clear
}

// askTrial asks for an upstream for the last Place.
func (g *generation) askTrial() {
	p := g.place
	if g.e.verdict(g.call) == quarantine.Quarantined {
		g.failQuarantined()
		return
	}
	g.leaveTrial()
	view := g.e.o.Snapshot().Services[g.call.view.Doc.Name]
	candidates := g.trialCandidates(view)
	if len(candidates) == 0 {
		g.trial.attempt = 0
		g.step(recovery.NoUpstream{Attempt: p.Attempt, VersionGone: view == nil || p.Version != "" && !routing.HasVersion(view, p.Version)})
		return
	}
	g.trial.attempt, g.trial.askAt = p.Attempt, g.e.o.Now().Add(trialAgain)
	answers := g.trial.answers
	g.e.o.Quarantine.RequestTrial(g.call.content, candidates, func(a node.TrialAnswered) {
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
			g.e.o.Quarantine.TrialEnded(g.call.content)
		}
	})
}

// leaveTrial ends the trial of an attempt that another one follows. The state
// would defer the next trial of the content until this one has ended.
func (g *generation) leaveTrial() {
	number := g.trial.running
	g.trial.running = 0
	t := g.tries[number]
	switch {
	case t == nil || t.broke:
	case t.status != 0 || t.notRun:
		g.e.o.Quarantine.TrialEnded(g.call.content)
	default:
		// The engine went silent; it may have died.
		g.broke(number)
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

// trialAnswered places the request, or waits.
func (g *generation) trialAnswered(a node.TrialAnswered) {
	waits := g.trial.attempt != 0 && g.trial.attempt == g.place.Attempt
	if a.Address == "" {
		switch {
		case !waits:
		case a.Verdict == quarantine.Quarantined:
			g.failQuarantined()
		default:
			g.trial.askAt = g.e.o.Now().Add(a.After)
		}
		return
	}
	var u *node.UpstreamView
	if view := g.e.o.Snapshot().Services[g.call.view.Doc.Name]; view != nil && waits {
		for i := range view.Upstreams {
			if view.Upstreams[i].Address == a.Address {
				u = &view.Upstreams[i]
			}
		}
	}
	if u == nil {
		g.e.o.Quarantine.TrialEnded(g.call.content)
		return
	}
	g.trial.running, g.trial.attempt = g.place.Attempt, 0
	g.choice = routing.Choice{Upstream: u.Name, Address: u.Address, Version: u.Version}
	g.queue.End()
	g.step(recovery.Placed{Attempt: g.place.Attempt, Upstream: u.Name, Version: u.Version})
}

// tickTrial asks again when the time has come.
func (g *generation) tickTrial() {
	if g.trial.attempt == 0 || g.result != nil {
		return
	}
	if number, _, _ := g.machine.Attempt(); number != g.trial.attempt {
		g.trial.attempt = 0
		return
	}
	if !g.e.o.Now().Before(g.trial.askAt) {
		g.askTrial()
	}
}

func (g *generation) failQuarantined() {
	g.trial.attempt = 0
	g.e.o.Quarantine.Refused(g.call.content)
	g.result = &ending{fail: &recovery.Fail{Outcome: g.machine.Outcome(), Code: codeQuarantined, Status: http.StatusUnprocessableEntity}}
}

// broke reports an attempt whose connection broke. The load poll that this
// causes tells whether the engine died.
func (g *generation) broke(number int) {
	t := g.tries[number]
	if g.e.o.Quarantine == nil || t == nil || t.broke {
		return
	}
	t.broke = true
	g.trial.losses++
	g.e.o.Quarantine.ConnectionLost(g.call.view.Doc.Name, t.upstream, t.incarnation, g.call.content)
}

// endUntried ends the count of a suspect that runs without a trial.
func (g *generation) endUntried() {
	if g.trial.untriedAt != "" {
		g.e.suspects.add(g.trial.untriedAt, -1)
		g.trial.untriedAt = ""
	}
}

// endTrial closes the trial of an attempt. That of one that broke off is
// decided by the load poll.
func (g *generation) endTrial(t *try, outcome string) {
	if g.e.o.Quarantine == nil {
		return
	}
	if t.number == g.trial.untriedFor {
		g.endUntried()
	}
	trial := g.trial.running == t.number
	if trial {
		g.trial.running = 0
	}
	switch {
	case outcome == OutcomeComplete:
		if trial || g.trial.losses > 0 || g.e.verdict(g.call) != quarantine.Clear {
			g.e.o.Quarantine.Completed(g.call.content)
		}
	case trial && !t.broke:
		g.e.o.Quarantine.TrialEnded(g.call.content)
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
			g.e.o.Quarantine.TrialEnded(g.call.content)
		}
	default:
	}
}
