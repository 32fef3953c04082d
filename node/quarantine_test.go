package node

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/engine"
	"github.com/gooseberryroad/gooseberryroad/quarantine"
	"github.com/gooseberryroad/gooseberryroad/revision"
)

var _ = Describe("Quarantine in a fleet", func() {
	var s *sim
	var ns []*simNode
	hash := quarantine.HashOf("a", "chat", []byte("poison"))
	address := func(i int) string { return fmt.Sprint("127.0.0.1:", i+1) }
	BeforeEach(func() {
		s = newSim(exampleSeed)
		var b strings.Builder
		fmt.Fprint(&b, "[service]\nname = a\nteam = t\nmodel = m\n[versions]\nserving = v1\n")
		for i := range 8 {
			s.engines[address(i)] = &engine.Load{Incarnation: "i"}
			fmt.Fprintf(&b, "[upstream.e%d]\naddress = %s\ndatacentre = dc%d\nregion = r\nversion = v1\n", i, address(i), i%4)
		}
		ns = cluster(s, 9, 4)
		s.put("config/a", revision.Envelope{Team: "t", Document: b.String()}.Encode())
		s.run(10 * time.Second)
	})
	verdicts := func() (out []quarantine.Verdict) {
		for _, n := range ns {
			out = append(out, n.Snapshot().Quarantine[hash])
		}
		return out
	}
	lose := func(n *simNode, i int) {
		s.step(n, Crash{Service: "a", Upstream: fmt.Sprint("e", i), Incarnation: "i", At: s.now, InFlight: []quarantine.Hash{hash}})
	}
	crash := func(n *simNode, i int) {
		s.refused[address(i)] = true
		lose(n, i)
	}
	// trial asks until the answer names an upstream.
	trial := func(n *simNode) int {
		GinkgoHelper()
		var candidates []string
		for i := range 8 {
			if !s.refused[address(i)] {
				candidates = append(candidates, address(i))
			}
		}
		for range 10 {
			n.acts = nil
			s.step(n, TrialRequested{ID: 7, Hash: hash, Candidates: candidates})
			for _, a := range n.acts {
				if a, ok := a.(TrialAnswered); ok && a.Address != "" {
					Expect(a.ID).To(Equal(uint64(7)))
					for i := range 8 {
						if address(i) == a.Address {
							return i
						}
					}
				}
			}
			s.run(100 * time.Millisecond)
		}
		Fail("no trial was granted")
		return 0
	}

	It("publishes nothing without a crash", func() {
		Expect(ns[0].Snapshot().Quarantine).To(BeNil())
	})

	// Guards against a daemon that runs a request which crashed engines at
	// another daemon.
	It("refuses a request everywhere after a crash during its trial", func() {
		crash(ns[2], 0)
		s.run(500 * time.Millisecond)
		Expect(verdicts()).To(HaveEach(quarantine.Suspect))
		crash(ns[5], trial(ns[5]))
		s.run(3 * time.Second)
		Expect(verdicts()).To(HaveEach(quarantine.Quarantined))

		By("a daemon that joins learns it")
		ns = append(ns, s.start("late", "dc0", "addr-d0"))
		s.run(10 * time.Second)
		Expect(verdicts()).To(HaveEach(quarantine.Quarantined))

		By("and asking for a trial does not help")
		n := ns[len(ns)-1]
		n.acts = nil
		s.step(n, TrialRequested{ID: 8, Hash: hash, Candidates: []string{address(7)}})
		Expect(n.acts).To(ContainElement(HaveField("Verdict", quarantine.Quarantined)))
	})

	// Guards against a broken connection to a living engine that counts as a
	// crash, and against its trial that never ends.
	It("takes a broken connection for no crash while the engine lives", func() {
		crash(ns[2], 0)
		s.run(500 * time.Millisecond)
		lose(ns[5], trial(ns[5]))
		s.run(4 * time.Second)
		Expect(verdicts()).To(HaveEach(quarantine.Suspect))
		Expect(ns[5].losses).To(BeEmpty())
		trial(ns[5])
	})

	// Guards against a crash that is missed because the engine was back before
	// the poll.
	It("takes a new incarnation for a crash", func() {
		s.engines[address(0)] = &engine.Load{Incarnation: "j"}
		lose(ns[2], 0)
		s.run(3 * time.Second)
		Expect(verdicts()).To(HaveEach(quarantine.Suspect))
		s.step(ns[4], RequestCompleted{Hash: hash})
		s.run(500 * time.Millisecond)
		Expect(verdicts()).To(HaveEach(quarantine.Clear))
	})

	// Guards against a trial that waits for ever for an engine that neither
	// answers nor refuses.
	It("gives up a loss whose cause does not show", func() {
		s.engines[address(0)] = nil
		lose(ns[2], 0)
		s.run(4 * time.Second)
		Expect(ns[2].losses).To(BeEmpty())
		Expect(verdicts()).To(HaveEach(quarantine.Clear))
	})

	// Guards against a loss of many engines that floods the fleet with notices.
	It("bounds the crashes that one daemon tells of", func() {
		n, sent := ns[2], 0
		for i := range 100 {
			for _, a := range n.quarantineStep(s.now, quarantine.UpstreamCrashed{Upstream: fmt.Sprint(i), InFlight: []quarantine.Hash{hash}}) {
				if m, ok := a.(SendPeer); ok && m.Msg.(Notice).Topic == TopicQuarantine && m.To == n.linkNames()[0] {
					sent++
				}
			}
		}
		Expect(sent).To(Equal(maxCrashNotices))
	})
})
