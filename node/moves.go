package node

import (
	"encoding/json"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/gooseberryroad/gooseberryroad/membership"
	"github.com/gooseberryroad/gooseberryroad/revision"
	"github.com/gooseberryroad/gooseberryroad/rollout"
	"github.com/gooseberryroad/gooseberryroad/store"
)

// move is the version move of one service with what it decided last.
type move struct {
	mover    *rollout.Mover
	shares   map[string]float64
	replicas map[string][]string
	owner    rollout.OwnerElected
}

// maxHeld bounds messages that wait for a link. Windows hold running totals and
// adoptions are sent again, so a lost message is made good by a later one.
const maxHeld = 256

// heldDirect waits for a link.
type heldDirect struct {
	to  string
	msg Direct
}

// alarmRepeat is the least time between two notices of one alarm.
const alarmRepeat = 500 * time.Millisecond

// alarmNotice is the body of a notice of TopicAlarm. Sent makes repeats differ,
// because notices with the same body go out only once. It is cut to
// alarmRepeat, so that the repeats of all daemons that pass one alarm on are
// one notice and not one for each daemon.
type alarmNotice struct {
	Alarm rollout.Alarm `json:"alarm"`
	Sent  time.Time     `json:"sent"`
}

// moveAccepted hands a document in force to the Mover of its service.
func (n *Node) moveAccepted(now time.Time, r *revision.Record) []Action {
	if r.Deleted() || r.Doc == nil {
		delete(n.movers, r.Service)
		return nil
	}
	m := n.movers[r.Service]
	if m == nil {
		rnd := rand.New(rand.NewPCG(n.o.Rand.Uint64(), n.o.Rand.Uint64()))
		m = &move{
			mover:  rollout.New(n.o.Name, rollout.Options{Service: r.Service}, rnd),
			shares: map[string]float64{}, replicas: map[string][]string{},
		}
		n.movers[r.Service] = m
	}
	out := n.moveStep(now, r.Service, rollout.DocumentAccepted{Service: r.Doc, Revision: r.Revision})
	if e, ok := n.moves[rollout.Key(r.Service)]; ok {
		out = append(out, n.moveStored(now, e)...)
	} else if n.movesListed {
		out = append(out, n.moveStep(now, r.Service, rollout.StoredRecord{})...)
	}
	return out
}

// moveStored hands a record, from whatever source, to its Mover.
func (n *Node) moveStored(now time.Time, e store.Entry) []Action {
	service := e.Key[len(MovesPrefix):]
	if n.movers[service] == nil {
		return nil
	}
	rec, err := rollout.DecodeMove(e.Value)
	if err != nil {
		return []Action{Explain{Subject: "move/" + service, Text: "the record in the store cannot be read and is ignored: " + err.Error()}}
	}
	return n.moveStep(now, service, rollout.StoredRecord{Move: rec, Index: e.Index})
}

// movesAbsent tells Movers that a whole list of moves/ has no record of theirs.
func (n *Node) movesAbsent(now time.Time) []Action {
	n.movesListed = true
	var out []Action
	for _, service := range n.moverNames() {
		if _, ok := n.moves[rollout.Key(service)]; !ok {
			out = append(out, n.moveStep(now, service, rollout.StoredRecord{})...)
		}
	}
	return out
}

// moveFailed hands a write or read without a certain result to its Mover.
func (n *Node) moveFailed(now time.Time, key string, err error) []Action {
	service := key[len(MovesPrefix):]
	if n.movers[service] == nil {
		return nil
	}
	return n.moveStep(now, service, rollout.StoredRecord{Err: err})
}

// moveRead takes the result of a ReadStore action.
func (n *Node) moveRead(now time.Time, ev StoreRead) []Action {
	service := ev.Key[len(MovesPrefix):]
	switch {
	case n.movers[service] == nil:
		return nil
	case ev.Err != nil:
		return n.moveFailed(now, ev.Key, ev.Err)
	case ev.Entry.Index == 0:
		return n.moveStep(now, service, rollout.StoredRecord{})
	}
	if out := n.offerMove(now, ev.Entry, ""); out != nil {
		return out
	}
	return n.moveStored(now, ev.Entry)
}

// sampled hands an outcome that traffic saw to the Mover of the service.
func (n *Node) sampled(now time.Time, s Sample) []Action {
	if n.movers[s.Service] == nil {
		return nil
	}
	return n.moveStep(now, s.Service, rollout.LocalSample{Sample: s})
}

// alarmed takes an alarm of another daemon.
func (n *Node) alarmed(now time.Time, body []byte) []Action {
	var a alarmNotice
	if json.Unmarshal(body, &a) != nil || n.movers[a.Alarm.Service] == nil {
		return nil
	}
	return n.moveStep(now, a.Alarm.Service, rollout.PeerAlarm{Alarm: a.Alarm})
}

// observed takes the window of another daemon.
func (n *Node) observed(now time.Time, body []byte) []Action {
	var w rollout.Window
	if json.Unmarshal(body, &w) != nil || n.movers[w.Service] == nil {
		return nil
	}
	return n.moveStep(now, w.Service, rollout.PeerWindow{Window: w})
}

// tickMoves elects owners, names the usable upstreams and lets time pass.
func (n *Node) tickMoves(now time.Time) []Action {
	var out []Action
	live := n.members.Live(now)
	for _, service := range n.moverNames() {
		m := n.movers[service]
		if elect := electOwner(service, live); elect != m.owner {
			m.owner = elect
			out = append(out, n.moveStep(now, service, elect)...)
		}
		if now.Before(n.nextUsable) {
			continue
		}
		out = append(out, n.moveStep(now, service, rollout.UsableUpstreams{Upstreams: n.usable(now, service)})...)
	}
	if !now.Before(n.nextUsable) {
		n.nextUsable = now.Add(time.Second)
	}
	for _, service := range n.moverNames() {
		if at, ok := n.movers[service].mover.NextTimer(); ok && !now.Before(at) {
			out = append(out, n.moveStep(now, service, rollout.Tick{})...)
		}
	}
	return out
}

// electOwner picks the daemon that owns a service's move by rendezvous hashing.
// One that reaches the store goes first, because only it can write the record.
func electOwner(service string, live []membership.Member) rollout.OwnerElected {
	elect := rollout.OwnerElected{Daemons: len(live)}
	var best uint64
	for _, reachable := range []bool{true, false} {
		for _, m := range live {
			if m.StoreDown == reachable {
				continue
			}
			if w := membership.RendezvousWeight(service, m.Name); elect.Owner == "" || w > best {
				elect.Owner, best = m.Name, w
			}
		}
		if elect.Owner != "" {
			break
		}
	}
	return elect
}

// usable names the upstreams of a service that can take work.
func (n *Node) usable(now time.Time, service string) []string {
	names := []string{}
	r := n.revs.InForce(service)
	if r == nil || r.Doc == nil {
		return names
	}
	for _, u := range r.Doc.Upstreams {
		switch n.ups.State(now, u.Address) {
		case UpstreamAlive, UpstreamUnknown:
			if !u.Leaving {
				names = append(names, u.Name)
			}
		}
	}
	return names
}

func (n *Node) moverNames() []string {
	names := make([]string, 0, len(n.movers))
	for name := range n.movers {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// moveStep steps one Mover and translates its actions.
func (n *Node) moveStep(now time.Time, service string, ev rollout.Event) []Action {
	m := n.movers[service]
	var out []Action
	acts := m.mover.Step(now, ev)
	if len(acts) > 0 {
		// The status in the snapshot changed, not only the shares.
		n.dirty[service] = true
	}
	for _, a := range acts {
		switch a := a.(type) {
		case rollout.SetShare:
			n.setShare(service, m, a)
		case rollout.WriteMove:
			out = append(out, writeMove(a)...)
		case rollout.ReadMove:
			out = append(out, ReadStore{Key: rollout.Key(service)})
		case rollout.AnnounceAlarm:
			out = append(out, n.sendAlarm(now, a.Alarm)...)
		case rollout.SendWindow:
			out = append(out, n.sendWindow(now, a)...)
		case rollout.Explain:
			out = append(out, Explain{Subject: "move/" + service, Text: a.Text})
		}
	}
	return out
}

func (n *Node) setShare(service string, m *move, a rollout.SetShare) {
	m.shares[a.Version] = a.Share
	if a.Replicas == nil {
		delete(m.replicas, a.Version)
	} else {
		m.replicas[a.Version] = a.Replicas
	}
	n.dirty[service], n.urgent = true, true
}

func writeMove(a rollout.WriteMove) []Action {
	b, err := a.Move.Encode()
	if err != nil {
		// A record has no field that can fail to encode.
		panic("node: record of a move does not encode: " + err.Error())
	}
	return []Action{WriteStore{Key: rollout.Key(a.Move.Service), Value: b, Index: a.Index}}
}

func (n *Node) sendAlarm(now time.Time, a rollout.Alarm) []Action {
	b, err := json.Marshal(alarmNotice{Alarm: a, Sent: now.UTC().Truncate(alarmRepeat)})
	if err != nil {
		panic("node: alarm does not encode: " + err.Error())
	}
	return n.notice(now, Notice{Topic: TopicAlarm, Body: b}, "")
}

// sendWindow sends a window to the owner of the move. Without a link it opens
// one for a while: windows go straight to the owner, because passing them from
// daemon to daemon would cost each one the traffic of all.
func (n *Node) sendWindow(now time.Time, a rollout.SendWindow) []Action {
	b, err := json.Marshal(a.Window)
	if err != nil {
		panic("node: window does not encode: " + err.Error())
	}
	return n.sendDirect(now, a.To, Direct{Topic: TopicSamples, Body: b})
}

// sendDirect sends a message to one daemon. Without a link it asks for one and
// holds the message until the link is up.
func (n *Node) sendDirect(now time.Time, to string, msg Direct) []Action {
	if l := n.peers.links[to]; l != nil {
		l.upAt = now // keeps a link that was opened for this
		return []Action{SendPeer{To: to, Msg: msg}}
	}
	for _, m := range n.members.Live(now) {
		if m.Name != to {
			continue
		}
		if len(n.held) == maxHeld {
			n.held = n.held[1:]
		}
		n.held = append(n.held, heldDirect{to: to, msg: msg})
		return []Action{LinkPeer{Peer: m.Name, Address: m.Address, Once: true}}
	}
	return nil
}

// flushHeld sends what waited for a link.
func (n *Node) flushHeld(peer string) []Action {
	var out []Action
	kept := n.held[:0]
	for _, h := range n.held {
		if h.to != peer {
			kept = append(kept, h)
			continue
		}
		out = append(out, SendPeer{To: peer, Msg: h.msg})
	}
	n.held = kept
	return out
}

// adopted tells a daemon that another one continues its generation.
func (n *Node) adopted(now time.Time, ev GenerationAdopted) []Action {
	return n.sendDirect(now, ev.Daemon, Direct{Topic: TopicAdopted, Body: []byte(ev.Generation)})
}
