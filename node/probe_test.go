package node_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/node"
)

var _ = Describe("A node without links", func() {
	// Guards against a restarted daemon that has no configuration for longer than
	// the 9 s of a change, because some seeds are dead and it tries only one seed
	// every 2 s.
	It("tries each of its seeds several times within two seconds", func() {
		for seed := uint64(1); seed <= 20; seed++ {
			n := node.New(node.Options{Name: "d1", DataCentre: "dc1", PeerAddress: "127.0.0.1:1",
				Seeds: []string{"127.0.0.1:2", "127.0.0.1:3"}, Rand: rand.New(rand.NewPCG(seed, 0))})
			tried := map[string]int{}
			now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
			for end := now.Add(2 * time.Second); now.Before(end); now = now.Add(node.TickInterval) {
				for _, a := range n.Step(now, node.Tick{}) {
					if l, ok := a.(node.LinkPeer); ok {
						tried[l.Address]++
					}
				}
			}
			Expect(tried).To(HaveLen(2), "seed %d", seed)
		}
	})
})
