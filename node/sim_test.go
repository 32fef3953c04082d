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

// sim drives nodes with typed messages in virtual time: an in-memory transport
// that loses, delays and reorders, and a model of the store with outages,
// stale lists, silent watches and lost answers.
type sim struct {
	rnd *rand.Rand
	now time.Time
	// tick is the interval of the Tick event.
	tick  time.Duration
	queue simQueue
	seq   int
	nodes map[string]*simNode
	// store model
	index   uint64
	entries map[string]store.Entry
	history [][]store.Entry
	waiting []*simWatch
	// latest is the last revision of each service whose document is good.
	latest map[string]uint64
	// faults
	loss     float64
	maxDelay time.Duration
	cut      map[[2]string]bool
	storeCut map[string]bool
	silent   map[string]bool
	// blind watches return unchanged whatever happens; lists work.
	blind     map[string]bool
	stale     float64
	vms       []vmlist.VM
	engines   map[string]*engine.Load
	refused   map[string]bool
	check     func(*simNode)
	bytes     func(Msg) int
	sent      map[string]int
	listCalls int
}

type simNode struct {
	*Node
	name  string
	alive bool
	// links counts the sessions to each peer; dialed marks the ones that this
	// node keeps up.
	links, dialed map[string]bool
	acts          []Action
	last          map[string]uint64
}

type simWatch struct {
	n      *simNode
	a      WatchStore
	life   *Node
	closed bool
}

type simItem struct {
	at  time.Time
	seq int
	run func()
}

type simQueue []simItem

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simItem)) }
func (q *simQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func newSim(seed uint64) *sim {
	return &sim{rnd: rand.New(rand.NewPCG(seed, 7)), now: simStart, nodes: map[string]*simNode{}, index: 1, tick: TickInterval,
		entries: map[string]store.Entry{}, latest: map[string]uint64{}, cut: map[[2]string]bool{},
		storeCut: map[string]bool{}, silent: map[string]bool{}, blind: map[string]bool{}, engines: map[string]*engine.Load{},
		refused: map[string]bool{}, sent: map[string]int{}, maxDelay: 5 * time.Millisecond}
}

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, simItem{s.now.Add(d), s.seq, f})
}

func (s *sim) delay() time.Duration {
	return time.Millisecond + time.Duration(s.rnd.Int64N(int64(s.maxDelay)))
}

// run lets virtual time pass.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		it := heap.Pop(&s.queue).(simItem)
		s.now = it.at
		it.run()
	}
	s.now = end
}

// start adds a daemon, or a new life of one that died.
func (s *sim) start(name, dc string, seeds ...string) *simNode {
	n := s.nodes[name]
	if n == nil {
		n = &simNode{name: name}
		s.nodes[name] = n
	}
	n.Node = New(Options{Name: name, DataCentre: dc, Region: "r", PeerAddress: "addr-" + name, Seeds: seeds,
		Incarnation: uint64(s.now.UnixMilli()), Rand: rand.New(rand.NewPCG(s.rnd.Uint64(), 0)), VMs: true})
	n.alive, n.links, n.dialed, n.last = true, map[string]bool{}, map[string]bool{}, map[string]uint64{}
	life := n.Node
	var tick func()
	tick = func() {
		if n.alive && n.Node == life {
			s.step(n, Tick{})
			s.after(s.tick, tick)
		}
	}
	s.after(time.Duration(s.rnd.Int64N(int64(TickInterval))), tick)
	return n
}

func (s *sim) kill(n *simNode) {
	n.alive = false
	for _, name := range s.names() {
		if p := s.nodes[name]; n.links[name] {
			s.after(s.delay(), func() { s.down(p, n.name) })
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

func (s *sim) down(n *simNode, peer string) {
	if n.alive && n.links[peer] {
		delete(n.links, peer)
		s.step(n, PeerDown{Peer: peer})
		if n.dialed[peer] {
			s.after(500*time.Millisecond, func() { s.link(n, peer, true) })
		}
	}
}

// setCut separates or joins two daemons. The links break at once.
func (s *sim) setCut(a, b string, cut bool) {
	s.cut[[2]string{a, b}], s.cut[[2]string{b, a}] = cut, cut
	if cut {
		s.down(s.nodes[a], b)
		s.down(s.nodes[b], a)
	}
}

func (s *sim) link(n *simNode, peer string, keep bool) {
	p := s.nodes[peer]
	if !n.alive || keep && !n.dialed[peer] || n.links[peer] || peer == n.name {
		return
	}
	if p == nil || !p.alive || s.cut[[2]string{n.name, peer}] {
		s.step(n, LinkFailed{Peer: peer})
		if keep && n.dialed[peer] {
			s.after(500*time.Millisecond, func() { s.link(n, peer, true) })
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
	life := n.Node
	for _, a := range n.Step(s.now, ev) {
		s.execute(n, life, a)
	}
	for _, name := range n.revs.Names() {
		rev := n.revs.RevisionOf(name)
		if rev < n.last[name] {
			panic(fmt.Sprintf("daemon %s: revision of %s went back from %d to %d", n.name, name, n.last[name], rev))
		}
		n.last[name] = rev
		if v := n.Snapshot().Services[name]; v != nil && v.Revision != rev {
			panic(fmt.Sprintf("daemon %s: snapshot of %s has revision %d instead of %d", n.name, name, v.Revision, rev))
		}
	}
	for name, rev := range s.latest {
		if rev <= n.applied && n.revs.RevisionOf(name) < rev {
			panic(fmt.Sprintf("daemon %s claims all documents up to %d and has revision %d of %s instead of %d",
				n.name, n.applied, n.revs.RevisionOf(name), name, rev))
		}
	}
	if s.check != nil {
		s.check(n)
	}
}

func (s *sim) execute(n *simNode, life *Node, a Action) {
	post := func(d time.Duration, ev Event) {
		s.after(d, func() {
			if n.Node == life {
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
		s.after(s.delay(), func() {
			if n.Node == life {
				s.link(n, peer, !a.Once)
			}
		})
	case UnlinkPeer:
		delete(n.dialed, a.Peer)
		p := s.nodes[a.Peer]
		s.after(s.delay(), func() {
			if n.Node == life && n.links[a.Peer] && !p.dialed[n.name] {
				s.down(n, a.Peer)
				s.down(p, n.name)
			}
		})
	case SendPeer:
		if s.bytes != nil {
			s.sent[n.name] += s.bytes(a.Msg)
			s.sent[a.To] += s.bytes(a.Msg)
		}
		if s.rnd.Float64() < s.loss {
			return
		}
		s.after(s.delay(), func() {
			if p := s.nodes[a.To]; p != nil && p.links[n.name] && !s.cut[[2]string{n.name, a.To}] {
				s.step(p, PeerMessage{From: n.name, Msg: a.Msg})
			}
		})
	case WatchStore:
		s.listCalls++
		s.list(&simWatch{n: n, a: a, life: life})
	case WriteStore:
		s.after(s.delay(), func() {
			if s.storeCut[n.name] || s.storeCut[""] {
				post(s.delay(), StoreWrote{Key: a.Key, Value: a.Value, Err: store.ErrUnavailable})
				return
			}
			ev := StoreWrote{Key: a.Key, Value: a.Value, Err: store.ErrConflict}
			if s.entries[a.Key].Index == a.Index {
				ev.Index, ev.Err = s.put(a.Key, a.Value), nil
			}
			if s.rnd.Float64() < s.loss {
				ev.Index, ev.Err = 0, store.ErrUnknown
			}
			post(s.delay(), ev)
		})
	case ReadStore:
		s.after(s.delay(), func() {
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
		n.acts = append(n.acts, a)
	}
}

// list answers a List of the store.
func (s *sim) list(w *simWatch) {
	if s.silent[w.n.name] {
		return
	}
	post := func(d time.Duration, ev StoreListed) {
		s.after(d, func() {
			if w.n.Node == w.life {
				s.step(w.n, ev)
			}
		})
	}
	if s.storeCut[w.n.name] || s.storeCut[""] {
		post(s.delay(), StoreListed{Prefix: w.a.Prefix, Watch: w.a.Watch, Err: store.ErrUnavailable})
		return
	}
	if len(s.history) > 0 && s.rnd.Float64() < s.stale {
		old := s.history[s.rnd.IntN(len(s.history))]
		post(s.delay(), s.answer(w, old))
		return
	}
	if cur := s.answer(w, s.current()); w.a.Index == 0 || cur.Index > w.a.Index && !s.blind[w.n.name] {
		post(s.delay(), cur)
		return
	}
	s.waiting = append(s.waiting, w)
	s.after(w.a.Wait, func() {
		if !w.closed {
			w.closed = true
			if s.silent[w.n.name] {
				return
			}
			if s.storeCut[w.n.name] || s.storeCut[""] {
				post(0, StoreListed{Prefix: w.a.Prefix, Watch: w.a.Watch, Err: store.ErrUnavailable})
				return
			}
			ev := s.answer(w, s.current())
			if s.blind[w.n.name] {
				ev.Entries, ev.Index = nil, w.a.Index
			}
			post(0, ev)
		}
	})
}

func (s *sim) current() []store.Entry {
	var out []store.Entry
	for _, e := range s.entries {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

func (s *sim) answer(w *simWatch, entries []store.Entry) StoreListed {
	ev := StoreListed{Prefix: w.a.Prefix, Watch: w.a.Watch, Index: 1}
	for _, e := range entries {
		if strings.HasPrefix(e.Key, w.a.Prefix) {
			ev.Entries = append(ev.Entries, e)
			ev.Index = max(ev.Index, e.Index)
		}
	}
	return ev
}

// put writes an entry to the store by compare-and-swap at its present index.
func (s *sim) put(key string, value []byte) uint64 {
	s.history = append(s.history, s.current())
	s.index += 1 + uint64(s.rnd.IntN(3))
	s.entries[key] = store.Entry{Key: key, Value: value, Index: s.index}
	waiting := s.waiting
	s.waiting = nil
	for _, w := range waiting {
		switch {
		case w.closed:
		case !strings.HasPrefix(key, w.a.Prefix) || s.blind[w.n.name] || s.silent[w.n.name] || s.storeCut[w.n.name] || s.storeCut[""]:
			s.waiting = append(s.waiting, w)
		default:
			w.closed = true
			ev := s.answer(w, s.current())
			s.after(s.delay(), func() {
				if w.n.Node == w.life {
					s.step(w.n, ev)
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

// expected is the revision of each service that must be in force in the end.
func (s *sim) expected(good map[string]uint64) func(*simNode) error {
	return func(n *simNode) error {
		for name, rev := range good {
			if got := n.revs.RevisionOf(name); got < rev {
				return fmt.Errorf("daemon %s has revision %d of %s instead of %d", n.name, got, name, rev)
			}
		}
		return nil
	}
}

// BytesPerSecond runs a fleet with 0.14 changes a second (12,000 a day) of 20
// documents and returns the bytes that a daemon sends and receives per second
// on average and of the daemon with the most, and the least number of live
// daemons that a daemon sees in the end.
func BytesPerSecond(seed uint64, daemons, dcs int, size func(Msg) int) (mean, highest float64, least int) {
	s := newSim(seed)
	// Nothing that is sent depends on the finer interval.
	s.tick = 5 * TickInterval
	for i := range daemons {
		s.start(fmt.Sprintf("rio-plata-%03d", i), fmt.Sprint("dc", i%dcs), "addr-rio-plata-000")
	}
	s.run(10 * time.Second)
	s.bytes = size
	// Longer than the 25 s between two heartbeats of one daemon at this size.
	const seconds = 28
	for i := range seconds / 7 {
		name := fmt.Sprint("s", i)
		s.put("config/"+name, simDoc(name, "v1"))
		s.run(7 * time.Second)
	}
	total := 0
	for _, n := range s.sent {
		total += n
		highest = max(highest, float64(n)/seconds)
	}
	least = daemons
	for _, name := range s.names() {
		least = min(least, len(s.nodes[name].members.Live(s.now)))
	}
	return float64(total) / float64(daemons) / seconds, highest, least
}
