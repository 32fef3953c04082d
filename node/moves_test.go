package node

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/engine"
	"github.com/gooseberryroad/gooseberryroad/revision"
	"github.com/gooseberryroad/gooseberryroad/rollout"
)

// movingDoc asks for a move from v1 to v2 with four replicas each.
func movingDoc(deadline time.Time) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "[service]\nname = a\nteam = t\nmodel = m\n[versions]\nserving = v1\nnext = v2\ndeadline = %s\n", deadline.Format(time.RFC3339))
	for i := range 8 {
		fmt.Fprintf(&b, "[upstream.e%d]\naddress = 127.0.0.1:%d\ndatacentre = dc0\nregion = r\nversion = v%d\n", i, i+1, 1+i/4)
	}
	return revision.Envelope{Team: "t", Document: b.String()}.Encode()
}

var _ = Describe("Version moves in a fleet", func() {
	var s *sim
	var ns []*simNode
	BeforeEach(func() {
		s = newSim(exampleSeed)
		for i := range 8 {
			s.engines[fmt.Sprint("127.0.0.1:", i+1)] = &engine.Load{Incarnation: "i"}
		}
		ns = cluster(s, 9, 4)
		s.run(10 * time.Second)
	})
	share := func(n *simNode) float64 { return n.Snapshot().Services["a"].Shares["v2"] }
	// traffic is one second of outcomes at a daemon; v2 fails when bad.
	traffic := func(n *simNode, bad bool) {
		for i := range 20 {
			sample := Sample{Service: "a", Version: "v1", Upstream: "e0", At: s.now, FirstToken: 100 * time.Millisecond, BetweenTokens: 20 * time.Millisecond}
			if i < 6 {
				sample.Version, sample.Upstream, sample.Failed = "v2", "e4", bad
			}
			s.step(n, OutcomeSampled{Sample: sample})
		}
	}

	It("ends by the deadline without traffic", func() {
		s.put("config/a", movingDoc(s.now.Add(2*time.Minute)))
		s.run(2*time.Minute + 10*time.Second)
		for _, n := range ns {
			Expect(n.Snapshot().Services["a"].Move.Phase).To(Equal(rollout.PhaseDone), n.name)
		}
	})

	// Guards against a bad version that keeps requests at daemons that have not
	// seen its fault, and against a verdict that needs the store.
	It("gives a bad version no share anywhere within 2 s of the verdict, without the store", func() {
		s.put("config/a", movingDoc(s.now.Add(10*time.Minute)))
		s.run(3 * time.Minute)
		for _, n := range ns {
			Expect(share(n)).To(BeNumerically(">", 0), n.name)
		}
		s.storeCut[""] = true
		for range 60 {
			traffic(ns[3], true)
			if share(ns[3]) == 0 {
				break
			}
			s.run(time.Second)
		}
		Expect(share(ns[3])).To(BeZero())
		s.run(2 * time.Second)
		for _, n := range ns {
			Expect(share(n)).To(BeZero(), n.name)
		}
		By("the store is back and records the verdict")
		s.storeCut[""] = false
		s.run(30 * time.Second)
		for _, n := range ns {
			Expect(n.Snapshot().Services["a"].Move.Phase).To(Equal(rollout.PhaseRolledBack), n.name)
			Expect(share(n)).To(BeZero(), n.name)
		}
	})

	// Guards against a move that stalls when its owner dies.
	It("goes on under another owner", func() {
		s.put("config/a", movingDoc(s.now.Add(3*time.Minute)))
		s.run(20 * time.Second)
		owner := ns[0].Snapshot().Services["a"].Move.Owner
		Expect(owner).NotTo(BeEmpty())
		s.kill(s.nodes[owner])
		s.run(3 * time.Minute)
		for _, n := range ns {
			if n.name != owner {
				Expect(n.Snapshot().Services["a"].Move.Phase).To(Equal(rollout.PhaseDone), n.name)
				Expect(n.Snapshot().Services["a"].Move.Owner).NotTo(Equal(owner))
			}
		}
	})

	// Guards against a move that stalls while its owner is alive and cannot
	// write the record.
	It("goes on under an owner that reaches the store", func() {
		s.put("config/a", movingDoc(s.now.Add(3*time.Minute)))
		s.run(20 * time.Second)
		owner := ns[0].Snapshot().Services["a"].Move.Owner
		s.storeCut[owner] = true
		s.run(3*time.Minute + 20*time.Second)
		for _, n := range ns {
			Expect(n.Snapshot().Services["a"].Move.Phase).To(Equal(rollout.PhaseDone), n.name)
		}
		rec, err := rollout.DecodeMove(s.entries["moves/a"].Value)
		Expect(err).NotTo(HaveOccurred())
		Expect(rec.Phase).To(Equal(rollout.PhaseDone))
		Expect(rec.Owner).NotTo(Equal(owner))
	})

	// Guards against evidence that stays at the daemons that saw it: each sees
	// too little for a verdict of its own. Most of the 24 daemons have no link to
	// the owner.
	It("brings the samples of all daemons to the owner", func() {
		for i := 9; i < 24; i++ {
			ns = append(ns, s.start(fmt.Sprint("d", i), fmt.Sprint("dc", i%4), "addr-d0"))
		}
		s.run(10 * time.Second)
		s.put("config/a", movingDoc(s.now.Add(10*time.Minute)))
		s.run(30 * time.Second)
		owner := s.nodes[ns[0].Snapshot().Services["a"].Move.Owner]
		for range 10 {
			for _, n := range ns {
				if n != owner {
					traffic(n, false)
				}
			}
			s.run(time.Second)
		}
		s.run(10 * time.Second)
		report := owner.Snapshot().Services["a"].Move
		Expect(report.Merged).To(BeTrue())
		Expect(report.Routes).NotTo(BeEmpty())
		// 23 daemons, 10 s, 6 outcomes a second each; windows take some seconds.
		Expect(report.Routes[0].New.N).To(BeNumerically(">=", 23*10*6/2))
	})
})
