package node

import (
	"encoding/json"
	"sort"
	"time"

	"github.com/gooseberryroad/gooseberryroad/quarantine"
)

const (
	// aliveAfter is how long after a broken connection a load report must come
	// to prove that the engine survived. An earlier one may have been made
	// before the connection broke.
	aliveAfter = 500 * time.Millisecond
	// unknownAfter is when a loss is given up whose cause did not show. Until
	// then a request whose trial ended with it waits, and its caller may wait
	// 4 s.
	unknownAfter = 3 * time.Second
	// A daemon tells others of maxCrashNotices crashes in crashNoticeWindow. If
	// a third of 2,500 engines dies with 30 requests each, telling of each
	// request would send 25,000 notices to each of 350 daemons. Crashes that come
	// together prove nothing, so that those left out are not missed.
	maxCrashNotices   = 16
	crashNoticeWindow = 10 * time.Second
	// maxLosses bounds the losses that wait for a load report.
	maxLosses = 256
	// maxLossHashes bounds the requests of one loss, as quarantine does.
	maxLossHashes = 256
	// maxQuarantineNotice bounds a notice that is read: a crash with its
	// hashes in hexadecimal.
	maxQuarantineNotice = 64 << 10
)

// loss is what traffic lost at one incarnation of an upstream. It counts as a
// crash once the upstream is known to have died.
type loss struct {
	addr, dataCentre, version, incarnation string

	at     time.Time
	hashes []quarantine.Hash
}

// quarantineNotice is the body of a notice of TopicQuarantine; one field is
// set. Sent and Number make repeats differ, because notices with the same body
// go out only once.
type quarantineNotice struct {
	From       string                       `json:"from"`
	Sent       time.Time                    `json:"sent"`
	Number     uint64                       `json:"number"`
	Crash      *quarantine.CrashNotice      `json:"crash,omitempty"`
	Trial      *quarantine.TrialNotice      `json:"trial,omitempty"`
	Cleared    *quarantine.ClearedNotice    `json:"cleared,omitempty"`
	Quarantine *quarantine.QuarantineNotice `json:"quarantine,omitempty"`
}

func (q quarantineNotice) notice() quarantine.Notice {
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
	b := quarantineNotice{From: n.o.Name, Sent: now, Number: n.quarantineSent}
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
		panic("node: notice of the quarantine does not encode: " + err.Error())
	}
	return Notice{Topic: TopicQuarantine, Body: body}
}

// crashed takes a broken connection. It is no proof of a death; a poll decides.
func (n *Node) crashed(now time.Time, ev Crash) []Action {
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
		l = &loss{addr: addr, dataCentre: u.DataCentre, version: u.Version, incarnation: incarnation, at: now}
		n.losses[key] = l
	}
	for _, h := range ev.InFlight {
		if len(l.hashes) < maxLossHashes {
			l.hashes = append(l.hashes, h)
		}
	}
	return out
}

// judgeLosses decides the losses whose cause has shown.
func (n *Node) judgeLosses(now time.Time) []Action {
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
			out = append(out, n.quarantineStep(now, quarantine.UpstreamCrashed{Upstream: l.addr, DataCentre: l.dataCentre,
				Version: l.version, Incarnation: l.incarnation, InFlight: l.hashes})...)
		case reported.Sub(l.at) > aliveAfter, now.Sub(l.at) > unknownAfter:
			for _, h := range l.hashes {
				out = append(out, n.quarantineStep(now, quarantine.TrialEnded{Hash: h})...)
			}
		default:
			continue
		}
		delete(n.losses, key)
	}
	return out
}

// trialRequested answers for one request. Upstreams are known to the
// quarantine by address, because services name them independently.
func (n *Node) trialRequested(now time.Time, ev TrialRequested) []Action {
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
				out = append(out, n.quarantineAction(now, a)...)
			}
		}
	}
	return append(out, answer)
}

// quarantineStep steps the quarantine and translates its actions.
func (n *Node) quarantineStep(now time.Time, ev quarantine.Event) []Action {
	var out []Action
	for _, a := range n.quarantine.Step(now, ev) {
		out = append(out, n.quarantineAction(now, a)...)
	}
	return out
}

func (n *Node) quarantineAction(now time.Time, a quarantine.Action) []Action {
	switch a := a.(type) {
	case quarantine.Notify:
		if _, ok := a.Notice.(quarantine.CrashNotice); ok {
			if now.Sub(n.crashNoticesFrom) > crashNoticeWindow {
				n.crashNoticesFrom, n.crashNotices = now, 0
			}
			if n.crashNotices++; n.crashNotices > maxCrashNotices {
				return nil
			}
		}
		return n.notice(now, n.encodeQuarantine(now, a.Notice), "")
	case quarantine.VerdictChanged:
		n.verdicts, n.urgent = true, true
		return []Action{Explain{Subject: "request/" + a.Hash.String(), Text: "the request is " + a.Verdict.String() + ": " + a.Reason}}
	}
	return nil
}

// quarantineNoticed takes a notice of another daemon. The name of its author is
// in the body, because other daemons pass it on.
func (n *Node) quarantineNoticed(now time.Time, body []byte) []Action {
	var q quarantineNotice
	if len(body) > maxQuarantineNotice || json.Unmarshal(body, &q) != nil || q.notice() == nil || q.From == n.o.Name {
		return nil
	}
	return n.quarantineStep(now, quarantine.PeerNotice{From: q.From, Notice: q.notice()})
}

// quarantinePeerUp tells a new peer what is quarantined.
func (n *Node) quarantinePeerUp(now time.Time, peer string) []Action {
	var out []Action
	for _, a := range n.quarantine.Step(now, quarantine.PeerUp{}) {
		if a, ok := a.(quarantine.Notify); ok {
			out = append(out, SendPeer{To: peer, Msg: n.encodeQuarantine(now, a.Notice)})
			continue
		}
		out = append(out, n.quarantineAction(now, a)...)
	}
	return out
}

// tickQuarantine lets time pass.
func (n *Node) tickQuarantine(now time.Time) []Action {
	at, ok := n.quarantine.NextTimer()
	if !ok || now.Before(at) {
		return nil
	}
	// Entries expire without an action.
	n.verdicts, n.changed = true, true
	return n.quarantineStep(now, quarantine.Tick{})
}

// publishVerdicts returns the verdicts for a snapshot, nil when there are none.
func (n *Node) publishVerdicts(now time.Time) map[quarantine.Hash]quarantine.Verdict {
	if !n.verdicts {
		return n.snap.Quarantine
	}
	n.verdicts = false
	if v := n.quarantine.Verdicts(now); len(v) > 0 {
		return v
	}
	return nil
}
