package node

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/membership"
	"github.com/gooseberryroad/gooseberryroad/rollout"
)

var _ = Describe("Notices of alarms", func() {
	// Guards against alarm traffic that grows with the square of the number of
	// daemons: every daemon repeats an alarm, and a repeat with a body of its own
	// is a new notice that crosses all links.
	It("are the same for all daemons that repeat an alarm within the same interval", func() {
		now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
		body := func(name string, at time.Time) string {
			n := New(Options{Name: name, DataCentre: "dc1", Rand: rand.New(rand.NewPCG(1, 0))})
			n.Step(at, PeerUp{Peer: membership.Member{Name: "other", DataCentre: "dc1", Incarnation: 1}})
			acts := n.sendAlarm(at, rollout.Alarm{Service: "s", To: "v2", Began: 3, Daemon: "d7"})
			Expect(acts).To(HaveLen(1))
			return string(acts[0].(SendPeer).Msg.(Notice).Body)
		}
		Expect(body("d1", now.Add(10*time.Millisecond))).To(Equal(body("d2", now.Add(90*time.Millisecond))))
		Expect(body("d1", now)).NotTo(Equal(body("d1", now.Add(time.Second))))
	})
})
