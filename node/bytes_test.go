package node_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/node"
	"github.com/gooseberryroad/gooseberryroad/peer"
)

var _ = Describe("The messages between daemons", Label("large"), func() {
	// Guards against digests that grow with the fleet: the limit at the target
	// size is 4 KB/s per daemon, sent and received together.
	It("take at most 4 KB/s per daemon at 350 daemons", func() {
		mean, highest, fewestLive := node.BytesPerSecond(1, 350, 9, peer.EncodedSize)
		AddReportEntry("bytes per second per daemon", map[string]float64{"mean": mean, "highest": highest})
		Expect(fewestLive).To(Equal(350), "every daemon must know all others, or the figure is not that of a whole fleet")
		Expect(highest).To(BeNumerically("<=", 4096))
	})
})
