package membership_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/membership"
)

var _ = Describe("A heartbeat that overtakes a changed description", func() {
	// Guards against an old description under a new heartbeat: the change was
	// then taken for older and lost, so that a fleet elected watchers that could
	// not reach the store.
	It("is not known until the description arrives", func() {
		now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
		m := membership.NewMembers(membership.MemberOptions{Self: membership.Member{Name: "d0", Incarnation: 1}})
		reachable := membership.Member{Name: "d1", DataCentre: "dc1", Incarnation: 1, Heartbeat: 1}
		m.Merge(now, reachable)
		down := reachable
		down.StoreDown, down.Heartbeat = true, 2
		Expect(m.MergeHeartbeat(now, down.ID(), 3, 0)).To(BeFalse())
		Expect(m.Merge(now, down)).To(BeTrue())
		Expect(m.MergeHeartbeat(now, down.ID(), 4, 0)).To(BeTrue())
		got, ok := m.ByID(down.ID())
		Expect(ok).To(BeTrue())
		Expect(got.StoreDown).To(BeTrue())
	})
})
