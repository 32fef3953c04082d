package node

import (
	"encoding/json"
	"sort"
	"time"

	"github.com/gooseberryroad/gooseberryroad/quarantine"
)

const (
	// minSurvivalReportDelay is how long after a broken connection a load report
	// must arrive to prove that the engine survived. An earlier one may have been
	// made before the connection broke.
	minSurvivalReportDelay = 500 * time.Millisecond
	// lossTimeout is how long a loss waits for its cause to become known. A
	// request whose trial ended with the loss waits as long, and the wait of its
	// caller is limited to 4 s.
	lossTimeout = 3 * time.Second
	// A daemon sends at most maxCrashNotices crash notices in crashNoticeWindow.
	// If a third of 2,500 engines dies with 30 requests each, a notice for each
	// request would make 25,000 notices to each of 350 daemons. Crashes that
	// coincide are no evidence against a request, so the omitted notices are not
	// needed.
	maxCrashNotices   = 16
	crashNoticeWindow = 10 * time.Second
	// maxLosses bounds the losses whose cause is not known yet.
	maxLosses = 256
	// maxLossHashes bounds the requests of one loss, as package quarantine does.
	maxLossHashes = 256
	// maxQuarantineNotice bounds the bytes of a notice that is decoded. The
	// largest is a crash with its hashes in hexadecimal.
	maxQuarantineNotice = 64 << 10
)

// connectionLoss holds the requests whose connections to one incarnation of an
// upstream broke. It counts as a crash once the upstream is known to have died.
type connectionLoss struct {
	addr, dataCentre, version, incarnation string

	at     time.Time
	hashes []quarantine.Hash
}

// quarantineNotice is the body of a notice of TopicQuarantine; one field is
// set. Sent and Number make repeats differ, because a notice with a known body is
// not forwarded again.
type quarantineNotice struct {
	From       string                       `json:"from"`
	Sent       time.Time                    `json:"sent"`
	Number     uint64                       `json:"number"`
	Crash      *quarantine.CrashNotice      `json:"crash,omitempty"`
	Trial      *quarantine.TrialNotice      `json:"trial,omitempty"`
	Cleared    *quarantine.ClearedNotice    `json:"cleared,omitempty"`
	Quarantine *quarantine.QuarantineNotice `json:"quarantine,omitempty"`
}

func (q quarantineNotice) decoded() quarantine.Notice {
	switch {
	case q.Crash != nil:
		return *q.Crash
	case q.Trial != nil:
		return *q.Trial
	case q.Cleared != nil:
		return *q.Cleared
	case q.Quarantine != nil:
		return *q.Quarantine
	}
	return nil
}

func (n *Node) encodeQuarantine(now time.Time, qn quarantine.Notice) Notice {
	n.quarantineSent++
	b := quarantineNotice{From: n.opts.Name, Sent: now, Number: n.quarantineSent}
	switch qn := qn.(type) {
	case quarantine.CrashNotice:
		b.Crash = &qn
	case quarantine.TrialNotice:
		b.Trial = &qn
	case quarantine.ClearedNotice:
		b.Cleared = &qn
	case quarantine.QuarantineNotice:
		b.Quarantine = &qn
	}
	body, err := json.Marshal(b)
	if err != nil {
		panic("node: cannot encode a quarantine notice: " + err.Error())
	}
	return Notice{Topic: TopicQuarantine, Body: body}
}

// handleCrash handles a broken connection. That does not prove that the engine
// died, so the upstream is polled and resolveLosses decides.
func (n *Node) handleCrash(now time.Time, ev Crash) []Action {
	addr, ok := n.addressOf(ev.Service, ev.Upstream)
	if !ok {
		return nil
	}
	out := n.pollNow(now, addr)
	if len(ev.InFlight) == 0 {
		return out
	}
	incarnation := ev.Incarnation
	if incarnation == "" {
		_, incarnation, _ = n.ups.LastReport(addr)
	}
	key := addr + "\x00" + incarnation
	l := n.losses[key]
	if l == nil {
		if len(n.losses) >= maxLosses {
			return out
		}
		u := n.revs.InForce(ev.Service).Doc.UpstreamNamed(ev.Upstream)
		l = &connectionLoss{addr: addr, dataCentre: u.DataCentre, version: u.Version, incarnation: incarnation, at: now}
		n.losses[key] = l
	}
	for _, h := range ev.InFlight {
		if len(l.hashes) < maxLossHashes {
			l.hashes = append(l.hashes, h)
		}
	}
	return out
}

// resolveLosses ends the losses whose cause is known, and those older than
// lossTimeout. A dead upstream or a new incarnation is a crash; otherwise the
// trials of the requests end without a result.
func (n *Node) resolveLosses(now time.Time) []Action {
	if len(n.losses) == 0 {
		return nil
	}
	keys := make([]string, 0, len(n.losses))
	for key := range n.losses {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	var out []Action
	for _, key := range keys {
		l := n.losses[key]
		_, incarnation, reported := n.ups.LastReport(l.addr)
		switch {
		case n.ups.State(now, l.addr) == UpstreamDead, incarnation != "" && l.incarnation != "" && l.incarnation != incarnation:
			out = append(out, n.stepQuarantine(now, quarantine.UpstreamCrashed{Upstream: l.addr, DataCentre: l.dataCentre,
				Version: l.version, Incarnation: l.incarnation, InFlight: l.hashes})...)
		case reported.Sub(l.at) > minSurvivalReportDelay, now.Sub(l.at) > lossTimeout:
			for _, h := range l.hashes {
				out = append(out, n.stepQuarantine(now, quarantine.TrialEnded{Hash: h})...)
			}
		default:
			continue
		}
		delete(n.losses, key)
	}
	return out
}

// handleTrialRequest answers a TrialRequested event. The quarantine knows
// upstreams by address, because each service has its own names for them.
func (n *Node) handleTrialRequest(now time.Time, ev TrialRequested) []Action {
	answer := TrialAnswered{ID: ev.ID, Verdict: n.quarantine.Verdict(now, ev.Hash), After: TickInterval}
	var out []Action
	if answer.Verdict != quarantine.Quarantined {
		for _, a := range n.quarantine.Step(now, quarantine.TrialRequested{Hash: ev.Hash, Candidates: ev.Candidates}) {
			switch a := a.(type) {
			case quarantine.StartTrial:
				answer.Address = a.Upstream
			case quarantine.DeferTrial:
				answer.After = a.RetryAfter
			default:
				out = append(out, n.executeQuarantineAction(now, a)...)
			}
		}
	}
	return append(out, answer)
}

// stepQuarantine steps the quarantine and translates its actions.
func (n *Node) stepQuarantine(now time.Time, ev quarantine.Event) []Action {
	var out []Action
	for _, a := range n.quarantine.Step(now, ev) {
		out = append(out, n.executeQuarantineAction(now, a)...)
	}
	return out
}

func (n *Node) executeQuarantineAction(now time.Time, a quarantine.Action) []Action {
	switch a := a.(type) {
	case quarantine.Notify:
		if _, ok := a.Notice.(quarantine.CrashNotice); ok {
			if now.Sub(n.crashNoticesSince) > crashNoticeWindow {
				n.crashNoticesSince, n.crashNotices = now, 0
			}
			if n.crashNotices++; n.crashNotices > maxCrashNotices {
				return nil
			}
		}
		return n.forwardNotice(now, n.encodeQuarantine(now, a.Notice), "")
	case quarantine.VerdictChanged:
		n.verdictsChanged, n.urgent = true, true
		return []Action{Explain{Subject: "request/" + a.Hash.String(), Text: "the request is " + a.Verdict.String() + ": " + a.Reason}}
	}
	return nil
}

// handleQuarantineNotice handles a notice of another daemon. The name of its
// author is in the body, because other daemons forward it.
func (n *Node) handleQuarantineNotice(now time.Time, body []byte) []Action {
	var q quarantineNotice
	if len(body) > maxQuarantineNotice || json.Unmarshal(body, &q) != nil || q.decoded() == nil || q.From == n.opts.Name {
		return nil
	}
	return n.stepQuarantine(now, quarantine.PeerNotice{From: q.From, Notice: q.decoded()})
}

// sendQuarantineToPeer tells a newly linked peer which requests are quarantined.
func (n *Node) sendQuarantineToPeer(now time.Time, peer string) []Action {
	var out []Action
	for _, a := range n.quarantine.Step(now, quarantine.PeerUp{}) {
		if a, ok := a.(quarantine.Notify); ok {
			out = append(out, SendPeer{To: peer, Msg: n.encodeQuarantine(now, a.Notice)})
			continue
		}
		out = append(out, n.executeQuarantineAction(now, a)...)
	}
	return out
}

// tickQuarantine runs the timer of the quarantine when it is due.
func (n *Node) tickQuarantine(now time.Time) []Action {
	at, ok := n.quarantine.NextTimer()
	if !ok || now.Before(at) {
		return nil
	}
	// Entries expire without an action, so the verdicts must be read again.
	n.verdictsChanged, n.changed = true, true
	return n.stepQuarantine(now, quarantine.Tick{})
}

// snapshotVerdicts returns the verdicts for the next snapshot, nil when there are
// none.
func (n *Node) snapshotVerdicts(now time.Time) map[quarantine.Hash]quarantine.Verdict {
	if !n.verdictsChanged {
		return n.snap.Quarantine
	}
	n.verdictsChanged = false
	if v := n.quarantine.Verdicts(now); len(v) > 0 {
		return v
	}
	return nil
}
