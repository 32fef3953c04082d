package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/engine"
	"github.com/gooseberryroad/gooseberryroad/store"
	"github.com/gooseberryroad/gooseberryroad/vmlist"
)

func TestNode(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "node")
}

// cluster starts daemons d0, d1, ... in turn in the data centres dc0, dc1, ...
// All have d0 as their seed.
func cluster(s *sim, daemons, dcs int) []*simNode {
	var out []*simNode
	for i := range daemons {
		out = append(out, s.start(fmt.Sprint("d", i), fmt.Sprint("dc", i%dcs), "addr-d0"))
	}
	return out
}

func revisions(ns []*simNode, service string) (out []uint64) {
	for _, n := range ns {
		out = append(out, n.revs.RevisionOf(service))
	}
	return out
}

// allEqual matches a list that holds only the given revision.
func allEqual(rev uint64) OmegaMatcher { return HaveEach(rev) }

// inForceBound is the time in which an accepted document must be in force
// everywhere.
const inForceBound = 9 * time.Second

var _ = Describe("Node", func() {
	var s *sim
	BeforeEach(func() { s = newSim(exampleSeed) })

	// Guards against changes that take the interval of a watch or a digest per
	// hop instead of being passed on at once.
	It("puts a document in force everywhere within 2 s", func() {
		ns := cluster(s, 9, 4)
		s.run(10 * time.Second)
		rev := s.put("config/a", simDoc("a", "v1"))
		s.run(2 * time.Second)
		Expect(revisions(ns, "a")).To(allEqual(rev))
	})

	// Guards against changes that wait for the next digest on every hop.
	// Seven of the nine daemons hold no watch.
	It("announces a new document at once", func() {
		ns := cluster(s, 9, 1)
		s.run(10 * time.Second)
		rev := s.put("config/a", simDoc("a", "v1"))
		s.run(300 * time.Millisecond)
		Expect(revisions(ns, "a")).To(allEqual(rev))
	})

	// Guards against a fleet that calls a failing or stale store at every tick.
	DescribeTable("pauses between calls that fail", func(fault func()) {
		cluster(s, 4, 2)
		for i := range 20 {
			s.put("config/a", simDoc("a", fmt.Sprint("v", i)))
			s.run(time.Second)
		}
		fault()
		s.run(10 * time.Second)
		before := s.listCalls
		s.run(30 * time.Second)
		// Four daemons, two prefixes, at least half of maxBackoff between calls.
		Expect(s.listCalls - before).To(BeNumerically("<=", 4*2*30))
	},
		Entry("outage", func() { s.storeCut[""] = true }),
		Entry("stale lists", func() { s.staleRate, s.history = 1, s.history[:10] }),
	)

	// Guards against a daemon that waits for chosen peers that it cannot reach
	// while others can be reached.
	It("links to other daemons when the chosen ones cannot be reached", func() {
		ns := cluster(s, 9, 1)
		s.run(30 * time.Second)
		chosen := func(n *simNode) (out []string) {
			for _, m := range n.members.Links(s.now) {
				out = append(out, m.Name)
			}
			return out
		}
		var only *simNode
		for _, n := range ns[1:] {
			if !slices.Contains(chosen(ns[0]), n.name) && !slices.Contains(chosen(n), "d0") {
				only = n
			}
		}
		Expect(only).NotTo(BeNil())
		for _, n := range ns[1:] {
			if n != only {
				s.setCut("d0", n.name, true)
			}
		}
		// Shorter than the time after which the unreachable daemons count as dead.
		s.run(3 * time.Second)
		Expect(ns[0].links).To(HaveKey(only.name))
	})

	// Guards against a member that stays unknown because the message that
	// described it was lost.
	It("asks for members that it knows only by a heartbeat", func() {
		ns := cluster(s, 3, 1)
		s.run(5 * time.Second)
		acts := ns[0].Step(s.now, PeerMessage{From: "d1", Msg: Digest{Hash: ns[0].hash(), Members: []MemberUpdate{{ID: 12345, Heartbeat: 1}}}})
		Expect(acts).To(ContainElement(SendPeer{To: "d1", Msg: Want{Members: []uint32{12345}}}))
		d2 := ns[1].members.All()[2]
		acts = ns[1].Step(s.now, PeerMessage{From: "d0", Msg: Want{Members: []uint32{d2.ID()}}})
		Expect(acts).To(HaveLen(1))
		Expect(acts[0].(SendPeer).Msg.(Digest).Members).To(HaveExactElements(MemberUpdate{Full: &d2}))
	})

	// Guards against an entry that does not arrive because the peer that was
	// asked for it is silent.
	It("asks another peer for an entry that did not arrive", func() {
		ns := cluster(s, 3, 1)
		s.run(5 * time.Second)
		n := ns[0]
		digest := Digest{Hash: n.hash(), Revisions: []KeyRevision{{"config/a", 50}}}
		Expect(n.Step(s.now, PeerMessage{From: "d1", Msg: digest})).To(ContainElement(SendPeer{To: "d1", Msg: Want{Keys: []string{"config/a"}}}))
		Expect(n.Step(s.now, PeerMessage{From: "d2", Msg: digest})).To(BeEmpty(), "the entry was asked for already")
		var askedAgain []string
		for range 20 {
			s.now = s.now.Add(wantRetryDelay)
			for _, a := range n.Step(s.now, Tick{}) {
				if sp, ok := a.(SendPeer); ok {
					if w, ok := sp.Msg.(Want); ok && len(w.Keys) > 0 {
						askedAgain = append(askedAgain, sp.To)
					}
				}
			}
		}
		Expect(askedAgain).To(ContainElements("d1", "d2"))
	})

	// Guards against a status that never says that a document is in force
	// everywhere. The simulation checks after every event that it does not say so
	// too early.
	It("knows at every daemon within the bound that all have a document", func() {
		ns := cluster(s, 9, 4)
		s.run(10 * time.Second)
		rev := s.put("config/a", simDoc("a", "v1"))
		s.run(inForceBound)
		for _, n := range ns {
			Expect(n.Snapshot().Members).To(HaveLen(9))
			Expect(n.Snapshot().Members).To(HaveEach(HaveField("Applied", BeNumerically(">=", rev))))
		}
	})

	// Guards against all daemons holding watches, or none in a data centre.
	It("holds two watches per data centre and prefix", func() {
		cluster(s, 9, 2)
		s.run(20 * time.Second)
		for _, n := range s.nodes {
			// While the store is down, traffic refuses calls that must not be repeated.
			Expect(n.Snapshot().StoreReachable).To(BeTrue(), "a daemon without a watch must not report the store as down")
		}
		before := s.listCalls
		s.run(30 * time.Second)
		// Two prefixes, four watchers, one watch call every 3 s and one list every
		// 6 s.
		Expect(s.listCalls - before).To(BeNumerically("~", 2*4*(10+5), 24))
	})

	// Guards against a daemon that keeps an old document while it cannot reach
	// the store.
	It("takes documents from peers while cut off from the store", func() {
		ns := cluster(s, 9, 4)
		s.run(10 * time.Second)
		s.storeCut["d3"], s.storeCut["d7"] = true, true
		s.run(5 * time.Second)
		rev := s.put("config/a", simDoc("a", "v1"))
		s.run(2 * time.Second)
		Expect(revisions(ns, "a")).To(allEqual(rev))
	})

	// Guards against a data centre in which both watchers lost the store and no
	// other daemon takes over.
	It("moves the watch when watchers lose the store and peers outside are cut off too", func() {
		ns := cluster(s, 9, 3)
		s.run(10 * time.Second)
		watchers := ns[0].members.Watchers(s.now, "dc0")
		Expect(watchers).To(HaveLen(2))
		for _, w := range watchers {
			s.storeCut[w] = true
		}
		for _, n := range ns {
			for _, o := range ns {
				if n.opts.DataCentre == "dc0" && o.opts.DataCentre != "dc0" {
					s.setCut(n.name, o.name, true)
				}
			}
		}
		rev := s.put("config/a", simDoc("a", "v1"))
		s.run(inForceBound)
		Expect(revisions(ns, "a")).To(allEqual(rev))
	})

	// Guards against a fleet that lost the store and elects only daemons that
	// still cannot reach it.
	It("finds the one daemon that reaches the store again", func() {
		ns := cluster(s, 9, 1)
		s.run(10 * time.Second)
		s.storeCut[""] = true
		s.run(time.Minute)
		for _, n := range ns {
			Expect(n.storeDown).To(BeTrue(), n.name)
			s.storeCut[n.name] = true
		}
		elected := ns[0].members.Watchers(s.now, "dc0")
		for _, n := range ns {
			if !slices.Contains(elected, n.name) {
				s.storeCut[n.name] = false
				break
			}
		}
		s.storeCut[""] = false
		rev := s.put("config/a", simDoc("a", "v1"))
		s.run(inForceBound)
		Expect(revisions(ns, "a")).To(allEqual(rev))
	})

	// Guards against a daemon that starts during an outage of the store and
	// serves nothing, or says that it is ready before it has all documents.
	It("configures a daemon that starts during an outage from its peers", func() {
		cluster(s, 6, 3)
		s.run(5 * time.Second)
		for i := range 20 {
			s.put(fmt.Sprint("config/s", i), simDoc(fmt.Sprint("s", i), "v1"))
		}
		s.run(5 * time.Second)
		s.storeCut[""] = true
		late := s.start("d9", "dc1", "addr-d0")
		s.checkNode = func(n *simNode) {
			if n == late && n.Snapshot().Configured {
				Expect(n.Snapshot().Services).To(HaveLen(20))
			}
		}
		s.run(5 * time.Second)
		Expect(late.Snapshot().Configured).To(BeTrue())
		By("equal hashes alone do not configure daemons without any document")
		s = newSim(1)
		s.storeCut[""] = true
		ns := cluster(s, 4, 2)
		s.run(30 * time.Second)
		for _, n := range ns {
			Expect(n.Snapshot().Configured).To(BeFalse())
			Expect(n.Snapshot().StoreReachable).To(BeFalse())
		}
	})

	It("brings a restarted daemon up to date", func() {
		ns := cluster(s, 5, 2)
		s.run(5 * time.Second)
		s.put("config/a", simDoc("a", "v1"))
		s.run(2 * time.Second)
		s.kill(ns[3])
		rev := s.put("config/a", simDoc("a", "v2"))
		s.run(time.Second)
		s.start("d3", "dc1", "addr-d0")
		s.run(inForceBound)
		Expect(revisions(ns, "a")).To(allEqual(rev))
	})

	// Guards against a watch that waits forever on a silent connection. All
	// watches are silent, so no peer has the document either.
	It("opens silent watches again within the bound", func() {
		ns := cluster(s, 4, 2)
		s.run(10 * time.Second)
		for _, n := range ns {
			s.silentStore[n.name] = true
		}
		rev := s.put("config/a", simDoc("a", "v1"))
		s.run(100 * time.Millisecond)
		for _, n := range ns {
			// Open connections stay silent; new ones work.
			s.silentStore[n.name] = false
		}
		for _, w := range s.waiting {
			w.closed = true
		}
		s.run(inForceBound)
		Expect(revisions(ns, "a")).To(allEqual(rev))
	})

	// Guards against watches that return in time and miss changes. All watches
	// do, so no peer has the document either.
	It("lists often enough to repair watches that miss changes", func() {
		ns := cluster(s, 4, 2)
		s.run(10 * time.Second)
		for _, n := range ns {
			s.missesChanges[n.name] = true
		}
		rev := s.put("config/a", simDoc("a", "v1"))
		s.run(inForceBound)
		Expect(revisions(ns, "a")).To(allEqual(rev))
	})

	// Guards against calls that are refused because one connection went silent or
	// one list was stale.
	It("does not count the store as down for a silent watch or a stale list", func() {
		n := cluster(s, 1, 1)[0]
		s.put("config/a", simDoc("a", "v1"))
		s.run(5 * time.Second)
		s.checkNode = func(n *simNode) { Expect(n.Snapshot().StoreReachable).To(BeTrue()) }
		for _, w := range s.waiting {
			w.closed = true
		}
		s.run(10 * time.Second)
		s.step(n, StoreListed{Prefix: "config/", Watch: n.watches["config/"].callID, Index: 1})
		s.run(time.Second)
	})

	// Guards against a daemon that stays behind after a message was lost on a link
	// that stays up.
	It("repairs lost messages by comparing hashes", func() {
		ns := cluster(s, 4, 2)
		s.run(10 * time.Second)
		for _, n := range ns[1:] {
			s.storeCut[n.name] = true
		}
		s.lossRate = 1
		rev := s.put("config/a", simDoc("a", "v1"))
		s.run(1500 * time.Millisecond)
		Expect(revisions(ns[1:], "a")).To(HaveEach(uint64(0)))
		s.lossRate = 0
		s.run(inForceBound - 1500*time.Millisecond)
		Expect(revisions(ns, "a")).To(allEqual(rev))
	})

	// Guards against halves of a partition that stay apart after it heals.
	It("joins the halves of a partition again", func() {
		ns := cluster(s, 6, 2)
		s.run(10 * time.Second)
		split := func(cut bool) {
			for _, n := range ns {
				for _, o := range ns {
					if n.opts.DataCentre < o.opts.DataCentre {
						s.setCut(n.name, o.name, cut)
					}
				}
			}
		}
		split(true)
		s.run(2 * time.Minute)
		Expect(ns[0].Snapshot().Peers).To(HaveLen(3))
		for _, n := range ns {
			s.storeCut[n.name] = n.opts.DataCentre == "dc1"
		}
		split(false)
		rev := s.put("config/a", simDoc("a", "v1"))
		s.run(inForceBound)
		Expect(revisions(ns, "a")).To(allEqual(rev))
		Expect(ns[0].Snapshot().Peers).To(HaveLen(6))
	})

	// Guards against links of probes that are never closed.
	It("keeps only links that at least one side has chosen", func() {
		ns := cluster(s, 9, 3)
		s.run(time.Minute)
		for _, n := range ns {
			for peer := range n.links {
				Expect(n.peers.chosen[peer] || s.nodes[peer].peers.chosen[n.name]).To(BeTrue(), n.name+" to "+peer)
			}
		}
	})

	Describe("upstreams", func() {
		const addr = "127.0.0.1:1"
		var ns []*simNode
		BeforeEach(func() {
			s.engines[addr] = &engine.Load{Incarnation: "i1"}
			ns = cluster(s, 9, 4)
			s.run(5 * time.Second)
			s.put("config/a", simDoc("a", "v1"))
			s.run(5 * time.Second)
		})
		states := func() (out []UpstreamState) {
			for _, n := range ns {
				out = append(out, n.Snapshot().Services["a"].Upstreams[0].State)
			}
			return out
		}

		// Guards against new work at a leaving upstream while the list of VMs and
		// the load report of the upstream are late; the bound is 3 s.
		It("are leaving everywhere at once after one refusal", func() {
			s.vms = []vmlist.VM{{Name: "e1", Address: addr, Role: "upstream"}}
			Expect(states()).To(HaveEach(UpstreamAlive))
			s.step(ns[4], UpstreamRefused{Service: "a", Upstream: "e1", Incarnation: "i1", Leaving: true})
			s.run(500 * time.Millisecond)
			Expect(states()).To(HaveEach(UpstreamLeaving))
			s.run(10 * time.Second)
			Expect(states()).To(HaveEach(UpstreamLeaving))
		})

		// Guards against an urgent message that a full queue dropped.
		It("are leaving everywhere within 3 s when the urgent message is lost", func() {
			s.lossRate = 1
			s.step(ns[4], UpstreamRefused{Service: "a", Upstream: "e1", Incarnation: "i1", Leaving: true})
			s.lossRate = 0
			s.run(3 * time.Second)
			Expect(states()).To(HaveEach(UpstreamLeaving))
		})

		// Guards against a daemon that starts or links after the marks were sent.
		It("are leaving at a daemon that starts later", func() {
			s.step(ns[4], UpstreamRefused{Service: "a", Upstream: "e1", Incarnation: "i1", Leaving: true})
			s.run(5 * time.Second)
			late := s.start("d9", "dc1", "addr-d0")
			s.run(6 * time.Second)
			Expect(late.Snapshot().Services["a"].Upstreams[0].State).To(Equal(UpstreamLeaving))
		})

		It("are leaving everywhere when one daemon sees the list of VMs", func() {
			s.step(ns[2], VMsListed{VMs: []vmlist.VM{{Name: "e1", Address: addr, Role: "upstream", Leaving: true}}})
			s.run(500 * time.Millisecond)
			Expect(states()).To(HaveEach(UpstreamLeaving))
		})

		// Guards against traffic that waits for a process that is gone.
		It("are dead after a refused connection and alive with a new incarnation", func() {
			s.refused[addr] = true
			s.step(ns[4], UpstreamRefused{Service: "a", Upstream: "e1", Incarnation: "i1"})
			s.run(500 * time.Millisecond)
			Expect(states()).To(HaveEach(UpstreamDead))
			s.refused[addr], s.engines[addr] = false, &engine.Load{Incarnation: "i2"}
			s.run(3 * time.Second)
			Expect(states()).To(HaveEach(UpstreamAlive))
			for _, n := range ns {
				Expect(n.Snapshot().Services["a"].Upstreams[0].Incarnation).To(Equal("i2"))
			}
		})

		// Guards against a broken connection whose cause stays unknown until the
		// next regular poll.
		It("are polled at once after a crash", func() {
			s.run(200 * time.Millisecond)
			acts := ns[4].Step(s.now, Crash{Service: "a", Upstream: "e1", Incarnation: "i1"})
			Expect(acts).To(ContainElement(PollLoad{Driver: "engine.completions", Address: addr}))
		})

		It("are silent when reports stop", func() {
			s.engines[addr] = nil
			s.run(6 * time.Second)
			Expect(states()).To(HaveEach(UpstreamSilent))
		})

		// Guards against a poll whose result was dropped and that is never made
		// again.
		It("are polled again when a result was lost", func() {
			for _, n := range ns {
				for _, p := range n.polls {
					p.outstanding, p.issuedAt = true, s.now
				}
			}
			s.run(6 * time.Second)
			Expect(states()).To(HaveEach(UpstreamAlive))
		})
	})

	// Guards against notices that loop or miss a daemon.
	It("passes a notice to every daemon once", func() {
		ns := cluster(s, 9, 4)
		s.run(10 * time.Second)
		s.step(ns[5], Publish{Notice{Topic: TopicAlarm, Body: []byte("v2 is bad")}})
		s.run(time.Second)
		for i, n := range ns {
			got := 0
			for _, a := range n.actions {
				if r, ok := a.(DeliverMessage); ok && string(r.Body) == "v2 is bad" {
					got++
				}
			}
			Expect(got).To(Equal(map[bool]int{true: 0, false: 1}[i == 5]))
		}
	})

	It("passes moves on like documents", func() {
		ns := cluster(s, 5, 2)
		s.run(10 * time.Second)
		s.storeCut["d4"] = true
		rev := s.put("moves/a", []byte("{}"))
		s.run(2 * time.Second)
		for _, n := range ns {
			Expect(n.moveEntries["moves/a"].Index).To(Equal(rev))
		}
	})

	// Guards against a snapshot that is written after it was published.
	It("shares the views of services that did not change", func() {
		n := cluster(s, 1, 1)[0]
		s.put("config/a", simDoc("a", "v1"))
		s.run(2 * time.Second)
		old := n.Snapshot()
		s.step(n, StoreWrote{Key: "config/b", Value: simDoc("b", "v1"), Index: 99})
		Expect(old.Services).NotTo(HaveKey("b"))
		Expect(n.Snapshot().Services["a"]).To(BeIdenticalTo(old.Services["a"]))
		Expect(n.Snapshot().Services["b"].Shares).To(Equal(map[string]float64{"v1": 1}))
		s.step(n, StoreWrote{Key: "config/b", Index: 100, Err: store.ErrConflict, Value: simDoc("b", "v2")})
		Expect(n.Snapshot().Services["b"].Revision).To(Equal(uint64(99)))
	})
})

// exampleSeed is the seed of the simulation in the examples. The property tests
// use many seeds.
const exampleSeed = 11
