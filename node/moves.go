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

// serviceMove is the version move of one service, with the shares, replicas and
// owner that were decided last.
type serviceMove struct {
	mover    *rollout.Mover
	shares   map[string]float64
	replicas map[string][]string
	owner    rollout.OwnerElected
}

// maxPendingDirects bounds the direct messages that wait for a link; the oldest
// is dropped. Windows hold running totals and adoptions are sent again, so a
// later message makes up for a lost one.
const maxPendingDirects = 256

// pendingDirect is a direct message that waits for a link to its receiver.
type pendingDirect struct {
	to  string
	msg Direct
}

// alarmRepeatInterval is the interval within which all repeats of one alarm are
// the same notice.
const alarmRepeatInterval = 500 * time.Millisecond

// alarmNotice is the body of a notice of TopicAlarm. Sent makes repeats differ,
// because a notice with a known body is not forwarded again. It is truncated to
// alarmRepeatInterval, so that the repeats of all daemons that repeat an alarm
// are one notice and not one for each daemon.
type alarmNotice struct {
	Alarm rollout.Alarm `json:"alarm"`
	Sent  time.Time     `json:"sent"`
}

// handleAcceptedDocument passes a document that came into force to the Mover of
// its service. It creates the Mover, or removes it when the service was deleted.
func (n *Node) handleAcceptedDocument(now time.Time, r *revision.Record) []Action {
	if r.Deleted() || r.Doc == nil {
		delete(n.movers, r.Service)
		return nil
	}
	m := n.movers[r.Service]
	if m == nil {
		rnd := rand.New(rand.NewPCG(n.opts.Rand.Uint64(), n.opts.Rand.Uint64()))
		m = &serviceMove{
			mover:  rollout.New(n.opts.Name, rollout.Options{Service: r.Service}, rnd),
			shares: map[string]float64{}, replicas: map[string][]string{},
		}
		n.movers[r.Service] = m
	}
	out := n.stepMover(now, r.Service, rollout.DocumentAccepted{Service: r.Doc, Revision: r.Revision})
	if e, ok := n.moveEntries[rollout.Key(r.Service)]; ok {
		out = append(out, n.handleMoveEntry(now, e)...)
	} else if n.movesListed {
		out = append(out, n.stepMover(now, r.Service, rollout.StoredRecord{})...)
	}
	return out
}

// handleMoveEntry passes a move record, from the store or from a peer, to its
// Mover.
func (n *Node) handleMoveEntry(now time.Time, e store.Entry) []Action {
	service := e.Key[len(MovesPrefix):]
	if n.movers[service] == nil {
		return nil
	}
	rec, err := rollout.DecodeMove(e.Value)
	if err != nil {
		return []Action{Explain{Subject: "move/" + service, Text: "the move record cannot be decoded and is ignored: " + err.Error()}}
	}
	return n.stepMover(now, service, rollout.StoredRecord{Move: rec, Index: e.Index})
}

// handleMissingMoves tells the Movers whose record is not in a complete list of
// moves/ that they have none.
func (n *Node) handleMissingMoves(now time.Time) []Action {
	n.movesListed = true
	var out []Action
	for _, service := range n.moverNames() {
		if _, ok := n.moveEntries[rollout.Key(service)]; !ok {
			out = append(out, n.stepMover(now, service, rollout.StoredRecord{})...)
		}
	}
	return out
}

// handleMoveStoreError tells the Mover that a write or read of its record did not
// succeed. A write may have taken effect all the same.
func (n *Node) handleMoveStoreError(now time.Time, key string, err error) []Action {
	service := key[len(MovesPrefix):]
	if n.movers[service] == nil {
		return nil
	}
	return n.stepMover(now, service, rollout.StoredRecord{Err: err})
}

// handleStoreRead handles the result of a ReadStore action.
func (n *Node) handleStoreRead(now time.Time, ev StoreRead) []Action {
	service := ev.Key[len(MovesPrefix):]
	switch {
	case n.movers[service] == nil:
		return nil
	case ev.Err != nil:
		return n.handleMoveStoreError(now, ev.Key, ev.Err)
	case ev.Entry.Index == 0:
		return n.stepMover(now, service, rollout.StoredRecord{})
	}
	if out := n.offerMoveEntry(now, ev.Entry, ""); out != nil {
		return out
	}
	return n.handleMoveEntry(now, ev.Entry)
}

// handleSample passes an outcome that traffic observed to the Mover of the
// service.
func (n *Node) handleSample(now time.Time, s Sample) []Action {
	if n.movers[s.Service] == nil {
		return nil
	}
	return n.stepMover(now, s.Service, rollout.LocalSample{Sample: s})
}

// handlePeerAlarm handles an alarm of another daemon.
func (n *Node) handlePeerAlarm(now time.Time, body []byte) []Action {
	var a alarmNotice
	if json.Unmarshal(body, &a) != nil || n.movers[a.Alarm.Service] == nil {
		return nil
	}
	return n.stepMover(now, a.Alarm.Service, rollout.PeerAlarm{Alarm: a.Alarm})
}

// handlePeerWindow handles a window of samples of another daemon.
func (n *Node) handlePeerWindow(now time.Time, body []byte) []Action {
	var w rollout.Window
	if json.Unmarshal(body, &w) != nil || n.movers[w.Service] == nil {
		return nil
	}
	return n.stepMover(now, w.Service, rollout.PeerWindow{Window: w})
}

// tickMoves elects the owners of moves, tells the Movers once a second which
// upstreams are usable, and runs the timers that are due.
func (n *Node) tickMoves(now time.Time) []Action {
	var out []Action
	live := n.members.Live(now)
	for _, service := range n.moverNames() {
		m := n.movers[service]
		if elected := electOwner(service, live); elected != m.owner {
			m.owner = elected
			out = append(out, n.stepMover(now, service, elected)...)
		}
		if now.Before(n.nextUsableAt) {
			continue
		}
		out = append(out, n.stepMover(now, service, rollout.UsableUpstreams{Upstreams: n.usableUpstreams(now, service)})...)
	}
	if !now.Before(n.nextUsableAt) {
		n.nextUsableAt = now.Add(time.Second)
	}
	for _, service := range n.moverNames() {
		if at, ok := n.movers[service].mover.NextTimer(); ok && !now.Before(at) {
			out = append(out, n.stepMover(now, service, rollout.Tick{})...)
		}
	}
	return out
}

// electOwner picks the daemon that owns a service's move by rendezvous hashing.
// Daemons that reach the store are preferred, because only they can write the
// record.
func electOwner(service string, live []membership.Member) rollout.OwnerElected {
	elected := rollout.OwnerElected{Daemons: len(live)}
	var best uint64
	for _, reachable := range []bool{true, false} {
		for _, m := range live {
			if m.StoreDown == reachable {
				continue
			}
			if weight := membership.RendezvousWeight(service, m.Name); elected.Owner == "" || weight > best {
				elected.Owner, best = m.Name, weight
			}
		}
		if elected.Owner != "" {
			break
		}
	}
	return elected
}

// usableUpstreams returns the names of the upstreams of a service that can take
// new work.
func (n *Node) usableUpstreams(now time.Time, service string) []string {
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

// stepMover steps one Mover and translates its actions.
func (n *Node) stepMover(now time.Time, service string, ev rollout.Event) []Action {
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

func (n *Node) setShare(service string, m *serviceMove, a rollout.SetShare) {
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
		panic("node: cannot encode the record of a move: " + err.Error())
	}
	return []Action{WriteStore{Key: rollout.Key(a.Move.Service), Value: b, Index: a.Index}}
}

func (n *Node) sendAlarm(now time.Time, a rollout.Alarm) []Action {
	b, err := json.Marshal(alarmNotice{Alarm: a, Sent: now.UTC().Truncate(alarmRepeatInterval)})
	if err != nil {
		panic("node: cannot encode an alarm: " + err.Error())
	}
	return n.forwardNotice(now, Notice{Topic: TopicAlarm, Body: b}, "")
}

// sendWindow sends a window of samples to the owner of the move, over a temporary
// link if there is none. Windows go directly to the owner, because forwarding
// them from daemon to daemon would make each daemon carry the windows of all.
func (n *Node) sendWindow(now time.Time, a rollout.SendWindow) []Action {
	b, err := json.Marshal(a.Window)
	if err != nil {
		panic("node: cannot encode a window: " + err.Error())
	}
	return n.sendDirect(now, a.To, Direct{Topic: TopicSamples, Body: b})
}

// sendDirect sends a message to one daemon. Without a link it asks for a
// temporary one and keeps the message until the link is up.
func (n *Node) sendDirect(now time.Time, to string, msg Direct) []Action {
	if l := n.peers.links[to]; l != nil {
		l.upAt = now // a temporary link is kept for another probeLinkLifetime
		return []Action{SendPeer{To: to, Msg: msg}}
	}
	for _, m := range n.members.Live(now) {
		if m.Name != to {
			continue
		}
		if len(n.pendingDirects) == maxPendingDirects {
			n.pendingDirects = n.pendingDirects[1:]
		}
		n.pendingDirects = append(n.pendingDirects, pendingDirect{to: to, msg: msg})
		return []Action{LinkPeer{Peer: m.Name, Address: m.Address, Once: true}}
	}
	return nil
}

// sendPendingDirects sends the messages that waited for a link to the peer.
func (n *Node) sendPendingDirects(peer string) []Action {
	var out []Action
	kept := n.pendingDirects[:0]
	for _, p := range n.pendingDirects {
		if p.to != peer {
			kept = append(kept, p)
			continue
		}
		out = append(out, SendPeer{To: peer, Msg: p.msg})
	}
	n.pendingDirects = kept
	return out
}

// sendAdoption tells the daemon at which a generation began that this one
// continues it.
func (n *Node) sendAdoption(now time.Time, ev GenerationAdopted) []Action {
	return n.sendDirect(now, ev.Daemon, Direct{Topic: TopicAdopted, Body: []byte(ev.Generation)})
}
