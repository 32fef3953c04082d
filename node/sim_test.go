package node

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/gooseberryroad/gooseberryroad/engine"
	"github.com/gooseberryroad/gooseberryroad/revision"
	"github.com/gooseberryroad/gooseberryroad/store"
	"github.com/gooseberryroad/gooseberryroad/vmlist"
)

var simStart = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// sim runs nodes in virtual time over an in-memory transport that loses, delays
// and reorders messages, and a model of the store with outages, stale lists,
// silent watches and lost results of writes.
type sim struct {
	rnd *rand.Rand
	now time.Time
	// tick is the interval of the Tick event.
	tick  time.Duration
	queue simQueue
	seq   int
	nodes map[string]*simNode
	// The store: its index, its current and former entries, and open watches.
	index   uint64
	entries map[string]store.Entry
	history [][]store.Entry
	waiting []*simWatch
	// latestGood is the last revision of each service, unless its document has
	// mistakes.
	latestGood map[string]uint64
	// Faults. Rates are probabilities. Maps are by daemon; storeCut[""] is an
	// outage for all daemons.
	lossRate    float64
	maxDelay    time.Duration
	linkCut     map[[2]string]bool
	storeCut    map[string]bool
	silentStore map[string]bool
	// missesChanges marks daemons whose watches return unchanged whatever
	// happens; lists work.
	missesChanges map[string]bool
	staleRate     float64
	vms           []vmlist.VM
	// engines and refused are by address; an engine without a load does not
	// answer.
	engines map[string]*engine.Load
	refused map[string]bool
	// checkNode is called after every event of a daemon.
	checkNode    func(*simNode)
	messageSize  func(Msg) int
	trafficBytes map[string]int
	listCalls    int
}

type simNode struct {
	*Node
	name  string
	alive bool
	// links holds the linked peers, dialed the ones whose links this node keeps
	// up.
	links, dialed map[string]bool
	actions       []Action
	lastRevisions map[string]uint64
}

type simWatch struct {
	node     *simNode
	action   WatchStore
	instance *Node
	closed   bool
}

type simEvent struct {
	at  time.Time
	seq int
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func newSim(seed uint64) *sim {
	return &sim{rnd: rand.New(rand.NewPCG(seed, 7)), now: simStart, nodes: map[string]*simNode{}, index: 1, tick: TickInterval,
		entries: map[string]store.Entry{}, latestGood: map[string]uint64{}, linkCut: map[[2]string]bool{},
		storeCut: map[string]bool{}, silentStore: map[string]bool{}, missesChanges: map[string]bool{}, engines: map[string]*engine.Load{},
		refused: map[string]bool{}, trafficBytes: map[string]int{}, maxDelay: 5 * time.Millisecond}
}

func (s *sim) schedule(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{s.now.Add(d), s.seq, f})
}

func (s *sim) delay() time.Duration {
	return time.Millisecond + time.Duration(s.rnd.Int64N(int64(s.maxDelay)))
}

// run advances the virtual time by d and runs the events that are due until then.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		ev := heap.Pop(&s.queue).(simEvent)
		s.now = ev.at
		ev.run()
	}
	s.now = end
}

// start adds a daemon, or restarts one that died.
func (s *sim) start(name, dc string, seeds ...string) *simNode {
	n := s.nodes[name]
	if n == nil {
		n = &simNode{name: name}
		s.nodes[name] = n
	}
	n.Node = New(Options{Name: name, DataCentre: dc, Region: "r", PeerAddress: "addr-" + name, Seeds: seeds,
		Incarnation: uint64(s.now.UnixMilli()), Rand: rand.New(rand.NewPCG(s.rnd.Uint64(), 0)), VMs: true})
	n.alive, n.links, n.dialed, n.lastRevisions = true, map[string]bool{}, map[string]bool{}, map[string]uint64{}
	instance := n.Node
	var tick func()
	tick = func() {
		if n.alive && n.Node == instance {
			s.step(n, Tick{})
			s.schedule(s.tick, tick)
		}
	}
	s.schedule(time.Duration(s.rnd.Int64N(int64(TickInterval))), tick)
	return n
}

func (s *sim) kill(n *simNode) {
	n.alive = false
	for _, name := range s.names() {
		if p := s.nodes[name]; n.links[name] {
			s.schedule(s.delay(), func() { s.dropLink(p, n.name) })
		}
	}
	n.links = map[string]bool{}
}

func (s *sim) names() []string {
	var out []string
	for name := range s.nodes {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

func (s *sim) dropLink(n *simNode, peer string) {
	if n.alive && n.links[peer] {
		delete(n.links, peer)
		s.step(n, PeerDown{Peer: peer})
		if n.dialed[peer] {
			s.schedule(500*time.Millisecond, func() { s.link(n, peer, true) })
		}
	}
}

// setCut separates or joins two daemons. The links break at once.
func (s *sim) setCut(a, b string, cut bool) {
	s.linkCut[[2]string{a, b}], s.linkCut[[2]string{b, a}] = cut, cut
	if cut {
		s.dropLink(s.nodes[a], b)
		s.dropLink(s.nodes[b], a)
	}
}

func (s *sim) link(n *simNode, peer string, keep bool) {
	p := s.nodes[peer]
	if !n.alive || keep && !n.dialed[peer] || n.links[peer] || peer == n.name {
		return
	}
	if p == nil || !p.alive || s.linkCut[[2]string{n.name, peer}] {
		s.step(n, LinkFailed{Peer: peer})
		if keep && n.dialed[peer] {
			s.schedule(500*time.Millisecond, func() { s.link(n, peer, true) })
		}
		return
	}
	n.links[peer], p.links[n.name] = true, true
	s.step(n, PeerUp{Peer: p.members.Self(), Dialed: true})
	s.step(p, PeerUp{Peer: n.members.Self()})
}

func (s *sim) step(n *simNode, ev Event) {
	if !n.alive {
		return
	}
	instance := n.Node
	for _, a := range n.Step(s.now, ev) {
		s.execute(n, instance, a)
	}
	for _, name := range n.revs.Names() {
		rev := n.revs.RevisionOf(name)
		if rev < n.lastRevisions[name] {
			panic(fmt.Sprintf("daemon %s: revision of %s went back from %d to %d", n.name, name, n.lastRevisions[name], rev))
		}
		n.lastRevisions[name] = rev
		if v := n.Snapshot().Services[name]; v != nil && v.Revision != rev {
			panic(fmt.Sprintf("daemon %s: snapshot of %s has revision %d instead of %d", n.name, name, v.Revision, rev))
		}
	}
	for name, rev := range s.latestGood {
		if rev <= n.applied && n.revs.RevisionOf(name) < rev {
			panic(fmt.Sprintf("daemon %s claims all documents up to %d and has revision %d of %s instead of %d",
				n.name, n.applied, n.revs.RevisionOf(name), name, rev))
		}
	}
	if s.checkNode != nil {
		s.checkNode(n)
	}
}

func (s *sim) execute(n *simNode, instance *Node, a Action) {
	post := func(d time.Duration, ev Event) {
		s.schedule(d, func() {
			if n.Node == instance {
				s.step(n, ev)
			}
		})
	}
	switch a := a.(type) {
	case LinkPeer:
		peer := a.Peer
		if peer == "" {
			peer = strings.TrimPrefix(a.Address, "addr-")
		}
		if !a.Once {
			n.dialed[peer] = true
		}
		s.schedule(s.delay(), func() {
			if n.Node == instance {
				s.link(n, peer, !a.Once)
			}
		})
	case UnlinkPeer:
		delete(n.dialed, a.Peer)
		p := s.nodes[a.Peer]
		s.schedule(s.delay(), func() {
			if n.Node == instance && n.links[a.Peer] && !p.dialed[n.name] {
				s.dropLink(n, a.Peer)
				s.dropLink(p, n.name)
			}
		})
	case SendPeer:
		if s.messageSize != nil {
			s.trafficBytes[n.name] += s.messageSize(a.Msg)
			s.trafficBytes[a.To] += s.messageSize(a.Msg)
		}
		if s.rnd.Float64() < s.lossRate {
			return
		}
		s.schedule(s.delay(), func() {
			if p := s.nodes[a.To]; p != nil && p.links[n.name] && !s.linkCut[[2]string{n.name, a.To}] {
				s.step(p, PeerMessage{From: n.name, Msg: a.Msg})
			}
		})
	case WatchStore:
		s.listCalls++
		s.answerList(&simWatch{node: n, action: a, instance: instance})
	case WriteStore:
		s.schedule(s.delay(), func() {
			if s.storeCut[n.name] || s.storeCut[""] {
				post(s.delay(), StoreWrote{Key: a.Key, Value: a.Value, Err: store.ErrUnavailable})
				return
			}
			ev := StoreWrote{Key: a.Key, Value: a.Value, Err: store.ErrConflict}
			if s.entries[a.Key].Index == a.Index {
				ev.Index, ev.Err = s.put(a.Key, a.Value), nil
			}
			if s.rnd.Float64() < s.lossRate {
				ev.Index, ev.Err = 0, store.ErrUnknown
			}
			post(s.delay(), ev)
		})
	case ReadStore:
		s.schedule(s.delay(), func() {
			ev := StoreRead{Key: a.Key, Entry: s.entries[a.Key]}
			if s.storeCut[n.name] || s.storeCut[""] {
				ev = StoreRead{Key: a.Key, Err: store.ErrUnavailable}
			}
			post(s.delay(), ev)
		})
	case ListVMs:
		post(s.delay(), VMsListed{VMs: slices.Clone(s.vms)})
	case PollLoad:
		switch l := s.engines[a.Address]; {
		case s.refused[a.Address]:
			post(s.delay(), LoadReported{Address: a.Address, Err: errors.New("refused"), Refused: true})
		case l == nil:
			post(time.Second, LoadReported{Address: a.Address, Err: errors.New("no answer")})
		default:
			post(s.delay(), LoadReported{Address: a.Address, Load: *l})
		}
	default:
		n.actions = append(n.actions, a)
	}
}

// answerList answers a List call of the store.
func (s *sim) answerList(w *simWatch) {
	if s.silentStore[w.node.name] {
		return
	}
	post := func(d time.Duration, ev StoreListed) {
		s.schedule(d, func() {
			if w.node.Node == w.instance {
				s.step(w.node, ev)
			}
		})
	}
	if s.storeCut[w.node.name] || s.storeCut[""] {
		post(s.delay(), StoreListed{Prefix: w.action.Prefix, Watch: w.action.Watch, Err: store.ErrUnavailable})
		return
	}
	if len(s.history) > 0 && s.rnd.Float64() < s.staleRate {
		old := s.history[s.rnd.IntN(len(s.history))]
		post(s.delay(), s.listResult(w, old))
		return
	}
	if cur := s.listResult(w, s.storeEntries()); w.action.Index == 0 || cur.Index > w.action.Index && !s.missesChanges[w.node.name] {
		post(s.delay(), cur)
		return
	}
	s.waiting = append(s.waiting, w)
	s.schedule(w.action.Wait, func() {
		if !w.closed {
			w.closed = true
			if s.silentStore[w.node.name] {
				return
			}
			if s.storeCut[w.node.name] || s.storeCut[""] {
				post(0, StoreListed{Prefix: w.action.Prefix, Watch: w.action.Watch, Err: store.ErrUnavailable})
				return
			}
			ev := s.listResult(w, s.storeEntries())
			if s.missesChanges[w.node.name] {
				ev.Entries, ev.Index = nil, w.action.Index
			}
			post(0, ev)
		}
	})
}

func (s *sim) storeEntries() []store.Entry {
	var out []store.Entry
	for _, e := range s.entries {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

func (s *sim) listResult(w *simWatch, entries []store.Entry) StoreListed {
	ev := StoreListed{Prefix: w.action.Prefix, Watch: w.action.Watch, Index: 1}
	for _, e := range entries {
		if strings.HasPrefix(e.Key, w.action.Prefix) {
			ev.Entries = append(ev.Entries, e)
			ev.Index = max(ev.Index, e.Index)
		}
	}
	return ev
}

// put writes an entry to the store and returns its new index.
func (s *sim) put(key string, value []byte) uint64 {
	s.history = append(s.history, s.storeEntries())
	s.index += 1 + uint64(s.rnd.IntN(3))
	s.entries[key] = store.Entry{Key: key, Value: value, Index: s.index}
	waiting := s.waiting
	s.waiting = nil
	for _, w := range waiting {
		switch {
		case w.closed:
		case !strings.HasPrefix(key, w.action.Prefix) || s.missesChanges[w.node.name] || s.silentStore[w.node.name] || s.storeCut[w.node.name] || s.storeCut[""]:
			s.waiting = append(s.waiting, w)
		default:
			w.closed = true
			ev := s.listResult(w, s.storeEntries())
			s.schedule(s.delay(), func() {
				if w.node.Node == w.instance {
					s.step(w.node, ev)
				}
			})
		}
	}
	return s.index
}

func simDoc(name, version string) []byte {
	return revision.Envelope{Team: "t", Document: "[service]\nname = " + name + "\nteam = t\nmodel = m\n[versions]\nserving = " + version +
		"\n[upstream.e1]\naddress = 127.0.0.1:1\ndatacentre = dc0\nregion = r\nversion = " + version + "\n"}.Encode()
}

// hasRevisions returns a check that a daemon has at least the given revision of
// each service.
func (s *sim) hasRevisions(good map[string]uint64) func(*simNode) error {
	return func(n *simNode) error {
		for name, rev := range good {
			if got := n.revs.RevisionOf(name); got < rev {
				return fmt.Errorf("daemon %s has revision %d of %s instead of %d", n.name, got, name, rev)
			}
		}
		return nil
	}
}

// BytesPerSecond runs a fleet with 0.14 changes a second (12,000 a day) and
// returns the bytes per second that daemons send and receive, as the mean of all
// daemons and the figure of the highest one, and the smallest number of live
// daemons that any daemon sees in the end.
func BytesPerSecond(seed uint64, daemons, dcs int, size func(Msg) int) (mean, highest float64, fewestLive int) {
	s := newSim(seed)
	// Ticks are less frequent to save time; no message depends on the finer
	// interval.
	s.tick = 5 * TickInterval
	for i := range daemons {
		s.start(fmt.Sprintf("rio-plata-%03d", i), fmt.Sprint("dc", i%dcs), "addr-rio-plata-000")
	}
	s.run(10 * time.Second)
	s.messageSize = size
	// Longer than the 25 s between two heartbeats of one daemon at this size.
	const seconds = 28
	for i := range seconds / 7 {
		name := fmt.Sprint("s", i)
		s.put("config/"+name, simDoc(name, "v1"))
		s.run(7 * time.Second)
	}
	total := 0
	for _, n := range s.trafficBytes {
		total += n
		highest = max(highest, float64(n)/seconds)
	}
	fewestLive = daemons
	for _, name := range s.names() {
		fewestLive = min(fewestLive, len(s.nodes[name].members.Live(s.now)))
	}
	return float64(total) / float64(daemons) / seconds, highest, fewestLive
}
