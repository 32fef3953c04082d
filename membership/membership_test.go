package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/engine"
	"github.com/gooseberryroad/gooseberryroad/membership"
	"github.com/gooseberryroad/gooseberryroad/vmlist"
)

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "membership")
}

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func fleet(rnd *rand.Rand, daemons, dcs int) []membership.Member {
	out := make([]membership.Member, daemons)
	for i := range out {
		out[i] = membership.Member{Name: fmt.Sprintf("d%03d-%04x", i, rnd.IntN(1<<16)), DataCentre: fmt.Sprint("dc", i%dcs),
			Address: fmt.Sprintf("127.0.0.1:%d", 1000+i), Incarnation: 1, Heartbeat: 1}
	}
	return out
}

// links returns the links of one daemon that knows the given ones.
func links(self membership.Member, known []membership.Member) []membership.Member {
	m := membership.NewMembers(membership.MemberOptions{Self: self})
	for _, k := range known {
		m.Merge(start, k)
	}
	return m.Links(start)
}

// components counts the connected components of the graph of links between live
// daemons.
func components(live []membership.Member, links map[string][]membership.Member) int {
	at := map[string]int{}
	for i, m := range live {
		at[m.Name] = i
	}
	root := make([]int, len(live))
	for i := range root {
		root[i] = i
	}
	var find func(int) int
	find = func(i int) int {
		if root[i] != i {
			root[i] = find(root[i])
		}
		return root[i]
	}
	n := len(live)
	for _, m := range live {
		for _, l := range links[m.Name] {
			j, ok := at[l.Name]
			if !ok {
				continue
			}
			if a, b := find(at[m.Name]), find(j); a != b {
				root[a] = b
				n--
			}
		}
	}
	return n
}

var _ = Describe("Links", func() {
	// Guards against daemons that no document reaches because the graph of links is
	// not connected, and against a daemon with too many links.
	DescribeTable("connect all daemons within the limits", func(daemons, dcs, seeds int) {
		for seed := range seeds {
			rnd := rand.New(rand.NewPCG(uint64(seed), 1))
			all := fleet(rnd, daemons, dcs)
			graph := map[string][]membership.Member{}
			for _, m := range all {
				ls := links(m, all)
				inside := 0
				for _, l := range ls {
					Expect(l.Name).NotTo(Equal(m.Name))
					if l.DataCentre == m.DataCentre {
						inside++
					}
				}
				Expect(inside).To(BeNumerically("<=", 3))
				Expect(len(ls) - inside).To(BeNumerically("<=", 2))
				graph[m.Name] = ls
			}
			Expect(components(all, graph)).To(Equal(1), "seed %d", seed)
		}
	},
		Entry("6 daemons alone in 6 data centres", 6, 6, 2000),
		Entry("9 daemons, 4 data centres", 9, 4, 200),
		Entry("9 daemons, 1 data centre", 9, 1, 200),
		Entry("350 daemons, 9 data centres", 350, 9, 5),
	)

	// Guards against a graph that is connected by chance only: rendezvous
	// hashing alone leaves it unconnected about once in 100,000 fleets of 6
	// daemons in 6 data centres, too rarely for the random fleets above to show it.
	It("include the next daemon of the data centre and one of the next data centre", func() {
		all := fleet(rand.New(rand.NewPCG(1, 3)), 36, 4)
		for i, m := range all {
			ls := links(m, all)
			Expect(ls).To(ContainElement(all[(i+4)%36]), "the next daemon of the data centre")
			Expect(ls).To(ContainElement(HaveField("DataCentre", fmt.Sprint("dc", (i+1)%4))), "the next data centre")
		}
	})

	// Guards against a graph that falls apart while a tenth of the daemons
	// restart and the others have not noticed all of it.
	DescribeTable("stay connected while views of the fleet differ", func(daemons, dcs, seeds int) {
		for seed := range seeds {
			rnd := rand.New(rand.NewPCG(uint64(seed), 2))
			all := fleet(rnd, daemons, dcs)
			gone := map[string]bool{}
			for range max(1, daemons/10) {
				gone[all[rnd.IntN(len(all))].Name] = true
			}
			var live []membership.Member
			for _, m := range all {
				if !gone[m.Name] {
					live = append(live, m)
				}
			}
			graph := map[string][]membership.Member{}
			for _, m := range live {
				var known []membership.Member
				for _, k := range all {
					if !gone[k.Name] || rnd.IntN(2) == 0 {
						known = append(known, k)
					}
				}
				graph[m.Name] = links(m, known)
			}
			Expect(components(live, graph)).To(Equal(1), "seed %d", seed)
		}
	},
		Entry("9 daemons, 4 data centres", 9, 4, 200),
		Entry("350 daemons, 9 data centres", 350, 9, 5),
	)
})

var _ = Describe("Members", func() {
	self := membership.Member{Name: "d1", DataCentre: "dc1", Address: "a1", Incarnation: 5}
	other := membership.Member{Name: "d2", DataCentre: "dc1", Address: "a2", Incarnation: 5, Heartbeat: 1}
	names := func(ms []membership.Member) (out []string) {
		for _, m := range ms {
			out = append(out, m.Name)
		}
		return out
	}

	// Guards against a daemon that counts as alive because peers still exchange
	// old descriptions of it.
	It("counts a daemon as alive only while its heartbeat rises", func() {
		m := membership.NewMembers(membership.MemberOptions{Self: self})
		Expect(m.Merge(start, other)).To(BeTrue())
		Expect(m.Merge(start.Add(4*time.Second), other)).To(BeFalse())
		Expect(names(m.Live(start.Add(4 * time.Second)))).To(Equal([]string{"d1", "d2"}))
		Expect(names(m.Live(start.Add(6 * time.Second)))).To(Equal([]string{"d1"}))
		By("a restarted daemon counts as alive again, whatever its heartbeat")
		other := other
		other.Incarnation, other.Heartbeat = 6, 0
		Expect(m.Merge(start.Add(7*time.Second), other)).To(BeTrue())
		Expect(names(m.Live(start.Add(7 * time.Second)))).To(Equal([]string{"d1", "d2"}))
	})

	It("counts a daemon as dead sooner when it is missing from the list of VMs", func() {
		m := membership.NewMembers(membership.MemberOptions{Self: self})
		m.Merge(start, other)
		m.UpdateVMs(start, []vmlist.VM{{Name: "d3", Address: "a3", Role: "daemon"}})
		Expect(names(m.Live(start.Add(4 * time.Second)))).To(Equal([]string{"d1"}))
	})

	// Guards against a daemon whose clock went back at a restart and whose
	// heartbeats are ignored as old.
	It("raises its incarnation above that of an earlier run", func() {
		m := membership.NewMembers(membership.MemberOptions{Self: self})
		m.Merge(start, membership.Member{Name: "d1", Incarnation: 9, Heartbeat: 100})
		Expect(m.Self().Incarnation).To(Equal(uint64(10)))
	})

	// Guards against the halves of a healed partition that never find each
	// other again.
	It("probes listed, remembered and configured daemons that are not alive", func() {
		m := membership.NewMembers(membership.MemberOptions{Self: self, Seeds: []string{"a1", "a2", "a4"}})
		m.Merge(start, other)
		m.UpdateVMs(start, []vmlist.VM{{Name: "d3", Address: "a3", Role: "daemon"}, {Name: "e1", Address: "a9", Role: "upstream"}})
		found := map[string]bool{}
		rnd := rand.New(rand.NewPCG(1, 0))
		for range 100 {
			c, ok := m.PickProbe(start, rnd)
			Expect(ok).To(BeTrue())
			found[c.Address] = true
		}
		Expect(found).To(Equal(map[string]bool{"a3": true, "a4": true}))
		for range 100 {
			c, _ := m.PickProbe(start.Add(time.Minute), rnd)
			found[c.Address] = true
		}
		Expect(found).To(HaveKey("a2"))
	})

	// Guards against a data centre whose watchers cannot reach the store while
	// others can, and against one without watchers.
	It("elects two watchers per data centre and passes over those that cannot watch", func() {
		all := fleet(rand.New(rand.NewPCG(1, 0)), 12, 2)
		watchers := func() (out []string) {
			for _, s := range all {
				m := membership.NewMembers(membership.MemberOptions{Self: s})
				for _, k := range all {
					m.Merge(start, k)
				}
				if m.IsWatcher(start) {
					out = append(out, s.Name)
				}
			}
			return out
		}
		first := watchers()
		Expect(first).To(HaveLen(4))
		for i := range all {
			if all[i].Name == first[0] {
				all[i].StoreDown = true
			}
		}
		Expect(watchers()).To(HaveLen(4))
		Expect(watchers()).NotTo(ContainElement(first[0]))
		for i := range all {
			all[i].StoreDown = true
		}
		Expect(watchers()).To(HaveLen(4))
	})

	// Guards against heartbeats that exceed the byte limit of large fleets.
	It("sends heartbeats less often in a large fleet", func() {
		m := membership.NewMembers(membership.MemberOptions{Self: self})
		for _, k := range fleet(rand.New(rand.NewPCG(1, 0)), 350, 9) {
			m.Merge(start, k)
		}
		m.AdvanceHeartbeat(start, 0, false, false)
		Expect(m.HeartbeatInterval()).To(BeNumerically(">", 20*time.Second))
		heartbeat := m.Self().Heartbeat
		m.AdvanceHeartbeat(start.Add(time.Second), 0, false, false)
		Expect(m.Self().Heartbeat).To(Equal(heartbeat))
		m.AdvanceHeartbeat(start.Add(2*time.Second), 0, true, false)
		Expect(m.Self().Heartbeat).To(Equal(heartbeat + 1))
	})
})

var _ = Describe("Upstreams", func() {
	const addr = "127.0.0.1:1"
	var u *membership.Upstreams
	BeforeEach(func() {
		u = membership.NewUpstreams(membership.UpstreamOptions{})
		u.SetKnown([]membership.KnownUpstream{{Name: "e1", Address: addr}})
	})
	load := func(inc string) engine.Load { return engine.Load{Incarnation: inc} }

	It("is unknown, alive and silent by its reports", func() {
		Expect(u.State(start, addr)).To(Equal(membership.UpstreamUnknown))
		u.ApplyReport(start, addr, load("i1"))
		Expect(u.State(start.Add(2*time.Second), addr)).To(Equal(membership.UpstreamAlive))
		Expect(u.State(start.Add(4*time.Second), addr)).To(Equal(membership.UpstreamSilent))
	})

	// Guards against an upstream that never answers and stays a candidate.
	It("is silent when polls fail from the start", func() {
		u.ApplyPollFailure(start, addr, false)
		Expect(u.State(start, addr)).To(Equal(membership.UpstreamUnknown))
		Expect(u.State(start.Add(4*time.Second), addr)).To(Equal(membership.UpstreamSilent))
	})

	// Guards against work that waits for an engine process that is gone.
	It("counts a new incarnation as the death of the former one and tells peers", func() {
		u.ApplyReport(start, addr, load("i1"))
		Expect(u.ApplyReport(start.Add(time.Second), addr, load("i2"))).To(Equal(
			[]membership.Mark{{Address: addr, Incarnation: "i1", State: membership.UpstreamDead}}))
		Expect(u.State(start.Add(time.Second), addr)).To(Equal(membership.UpstreamAlive))
	})

	It("is dead after a refused connection until it reports again", func() {
		u.ApplyReport(start, addr, load("i1"))
		Expect(u.ApplyPollFailure(start, addr, true)).To(HaveLen(1))
		Expect(u.ApplyPollFailure(start, addr, true)).To(BeEmpty(), "peers are told once")
		Expect(u.State(start, addr)).To(Equal(membership.UpstreamDead))
		u.ApplyReport(start.Add(time.Second), addr, load("i1"))
		Expect(u.State(start.Add(time.Second), addr)).To(Equal(membership.UpstreamAlive))
	})

	// Guards against a leaving upstream that gets new work because one of its
	// sources is late, and against one that is never used again.
	DescribeTable("is leaving as soon as one source says so", func(leave func()) {
		u.ApplyReport(start, addr, load("i1"))
		leave()
		Expect(u.State(start, addr)).To(Equal(membership.UpstreamLeaving))
		By("a late report and a late list do not clear the state")
		u.ApplyReport(start.Add(time.Second), addr, load("i1"))
		u.UpdateVMs(start.Add(time.Second), []vmlist.VM{{Name: "e1", Address: addr, Role: "upstream"}})
		Expect(u.State(start.Add(time.Second), addr)).To(Equal(membership.UpstreamLeaving))
		By("a new process at the address is not leaving")
		u.ApplyReport(start.Add(2*time.Second), addr, load("i2"))
		Expect(u.State(start.Add(2*time.Second), addr)).To(Equal(membership.UpstreamAlive))
	},
		Entry("load report", func() {
			Expect(u.ApplyReport(start, addr, engine.Load{Incarnation: "i1", Leaving: true})).To(HaveLen(1))
		}),
		Entry("list of VMs, by name", func() {
			Expect(u.UpdateVMs(start, []vmlist.VM{{Name: "e1", Address: "other", Role: "upstream", Leaving: true}})).To(HaveLen(1))
		}),
		Entry("refusal", func() { Expect(u.ApplyRefusal(start, addr, "i1", true)).To(HaveLen(1)) }),
		Entry("peer", func() {
			Expect(u.ApplyMark(start, membership.Mark{Address: addr, Incarnation: "i1", State: membership.UpstreamLeaving})).To(BeTrue())
		}),
		Entry("peer that did not know the incarnation", func() {
			Expect(u.ApplyMark(start, membership.Mark{Address: addr, State: membership.UpstreamLeaving})).To(BeTrue())
		}),
	)

	It("is leaving while the document says so", func() {
		u.SetKnown([]membership.KnownUpstream{{Name: "e1", Address: addr, Leaving: true}})
		Expect(u.State(start, addr)).To(Equal(membership.UpstreamLeaving))
		u.SetKnown([]membership.KnownUpstream{{Name: "e1", Address: addr}})
		Expect(u.State(start, addr)).To(Equal(membership.UpstreamUnknown))
	})

	// Guards against a mark of an earlier process that keeps new work from the
	// process that replaced it.
	It("applies a mark only to its own incarnation", func() {
		u.ApplyReport(start, addr, load("i2"))
		u.ApplyMark(start, membership.Mark{Address: addr, Incarnation: "i1", State: membership.UpstreamLeaving})
		u.ApplyMark(start, membership.Mark{Address: addr, Incarnation: "i1", State: membership.UpstreamDead})
		Expect(u.State(start, addr)).To(Equal(membership.UpstreamAlive))
	})

	It("is no longer leaving when it reports so after LeavingHold", func() {
		u.ApplyReport(start, addr, engine.Load{Incarnation: "i1", Leaving: true})
		u.ApplyReport(start.Add(31*time.Second), addr, load("i1"))
		Expect(u.State(start.Add(31*time.Second), addr)).To(Equal(membership.UpstreamAlive))
	})

	It("bounds the incarnations that have marks", func() {
		for i := range 100 {
			u.ApplyReport(start.Add(time.Duration(i)*time.Second), addr, load(fmt.Sprint(i)))
		}
		Expect(u.State(start.Add(99*time.Second), addr)).To(Equal(membership.UpstreamAlive))
		Expect(u.MarkedIncarnations(addr)).To(BeNumerically("<=", 16))
	})
})
