package node

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/revision"
)

// runFaults runs a fleet under random faults and returns its daemons and the
// revision of each service that must be in force once the faults have ended.
func runFaults(s *sim, daemons int) (ns []*simNode, good map[string]uint64) {
	good = map[string]uint64{}
	dcs := 1 + s.rnd.IntN(4)
	ns = cluster(s, daemons, dcs)
	s.lossRate = s.rnd.Float64() * 0.4
	s.maxDelay = time.Duration(1+s.rnd.IntN(400)) * time.Millisecond
	s.staleRate = s.rnd.Float64() * 0.4
	pick := func() *simNode { return ns[s.rnd.IntN(len(ns))] }
	for i := range 60 {
		s.run(time.Duration(s.rnd.IntN(1000)) * time.Millisecond)
		switch s.rnd.IntN(10) {
		case 0, 1, 2, 3:
			name := fmt.Sprint("s", s.rnd.IntN(3))
			value, ok := simDoc(name, fmt.Sprint("v", i)), true
			switch s.rnd.IntN(6) {
			case 0:
				value, ok = []byte("junk"), false
			case 1:
				value = revision.Envelope{Team: "t", Deleted: true}.Encode()
			}
			if s.storeCut[""] {
				continue
			}
			rev := s.put("config/"+name, value)
			delete(s.latestGood, name)
			if ok {
				good[name], s.latestGood[name] = rev, rev
			}
			// The result of the write may be lost, or its event dropped.
			if n := pick(); s.rnd.IntN(2) == 0 && !s.storeCut[n.name] {
				s.step(n, StoreWrote{Key: "config/" + name, Value: value, Index: rev})
			}
		case 4:
			n := pick()
			s.kill(n)
			if s.rnd.IntN(3) > 0 {
				s.start(n.name, n.opts.DataCentre, "addr-d0", "addr-d1")
			}
		case 5:
			s.storeCut[""] = !s.storeCut[""]
		case 6:
			n := pick()
			s.storeCut[n.name] = !s.storeCut[n.name]
		case 7:
			n := pick()
			s.silentStore[n.name] = !s.silentStore[n.name]
		default:
			if a, b := pick(), pick(); a != b {
				s.setCut(a.name, b.name, s.rnd.IntN(3) > 0)
			}
		}
	}
	return ns, good
}

// endFaults ends all faults. Connections that went silent stay so. A revision that
// a writer outside the API replaced by a document with mistakes, before any
// living daemon saw it, no longer exists anywhere and is not expected.
func endFaults(s *sim, ns []*simNode, good map[string]uint64) {
	for name, rev := range good {
		if s.entries["config/"+name].Index == rev {
			continue
		}
		held := uint64(0)
		for _, n := range ns {
			if n.alive {
				held = max(held, n.revs.RevisionOf(name))
			}
		}
		good[name] = min(rev, held)
	}
	s.lossRate, s.staleRate, s.maxDelay = 0, 0, 5*time.Millisecond
	for _, w := range s.waiting {
		w.closed = w.closed || s.silentStore[w.node.name]
	}
	clear(s.storeCut)
	clear(s.silentStore)
	clear(s.linkCut)
	for _, n := range ns {
		if !n.alive {
			s.start(n.name, n.opts.DataCentre, "addr-d0", "addr-d1")
		}
	}
}

var _ = Describe("A fleet under faults", func() {
	// Guards against a daemon that returns to an older revision while it runs
	// (checked after every event) and against daemons that stay behind once faults
	// end.
	It("never returns to an older revision and agrees within the bound once faults end", func() {
		for seed := range uint64(120) {
			s := newSim(seed)
			ns, good := runFaults(s, 3+int(seed%7))
			endFaults(s, ns, good)
			s.run(inForceBound)
			for _, n := range ns {
				Expect(s.hasRevisions(good)(n)).To(Succeed(), "seed %d", seed)
				Expect(n.Snapshot().Configured).To(BeTrue(), "seed %d: %s", seed, n.name)
			}
		}
	})

	// Guards against daemons that only the store can bring up to date: after the
	// faults only one daemon reaches it.
	It("agrees through peers while one daemon reaches the store", func() {
		for seed := range uint64(60) {
			s := newSim(1000 + seed)
			ns, good := runFaults(s, 3+int(seed%7))
			endFaults(s, ns, good)
			for _, n := range ns[1:] {
				s.storeCut[n.name] = true
			}
			s.run(inForceBound)
			for _, n := range ns {
				Expect(s.hasRevisions(good)(n)).To(Succeed(), "seed %d", seed)
			}
		}
	})
})
