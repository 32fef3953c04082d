package placement_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/placement"
	"github.com/gooseberryroad/gooseberryroad/registry"
)

var _ = Describe("What upstreams say of themselves", func() {
	now := time.Date(2026, 12, 5, 9, 0, 0, 0, time.UTC)
	var tracker *placement.Tracker
	var all []registry.Instance
	BeforeEach(func() {
		tracker = placement.NewTracker("here", rand.New(rand.NewPCG(5, 6)))
		all = nil
		for i := range 3 {
			all = append(all, registry.Instance{ID: fmt.Sprint("up", i), Service: "tags", DataCentre: "here", Slots: 6, StartUnixMilli: 100})
		}
		tracker.SetRegistered(all)
	})
	ranked := func(at time.Time) []string {
		var ids []string
		for _, r := range tracker.Rank(all, 0, at) {
			ids = append(ids, r.ID)
		}
		return ids
	}

	// A replica that leaves said so in its answers, and got requests until its
	// registration changed.
	It("leaves out an upstream that said that it leaves, also when it is the last one", func() {
		Expect(tracker.SaidLeaving(all[0])).To(BeTrue())
		Expect(tracker.SaidLeaving(all[0])).To(BeFalse(), "it is known")
		Expect(ranked(now)).To(ConsistOf("up1", "up2"))
		tracker.SaidLeaving(all[1])
		tracker.SaidLeaving(all[2])
		Expect(ranked(now.Add(time.Hour))).To(BeEmpty())
		soonest, _, every := tracker.AllWithdrawn(all, now)
		Expect(every).To(BeTrue())
		Expect(soonest).To(BeZero())
	})

	// An upstream that started again under its name, or another one at its address,
	// would never get a request.
	It("judges another process by what it says itself", func() {
		tracker.SaidLeaving(all[0])
		tracker.AskedPause(all[1], 20*time.Second, now)
		all[0].StartUnixMilli, all[1].StartUnixMilli = 200, 200
		Expect(ranked(now)).To(HaveLen(3))
		tracker.SaidLeaving(all[0])
		Expect(ranked(now)).To(HaveLen(2))
	})

	// Content of another daemon may lack a registration and have it again.
	It("remembers that an upstream leaves while its registration is missing for a moment", func() {
		tracker.SaidLeaving(all[0])
		tracker.DropNotices(all[1:], now)
		tracker.DropNotices(all, now.Add(time.Second))
		Expect(ranked(now.Add(time.Second))).To(HaveLen(2))
		tracker.DropNotices(all[1:], now.Add(2*time.Second))
		tracker.DropNotices(all[1:], now.Add(2*time.Minute))
		Expect(tracker.HasNotices()).To(BeFalse(), "state of upstreams that are gone")
	})

	It("sends nothing to an upstream until its pause is over, also when it is renewed", func() {
		until, news := tracker.AskedPause(all[0], 2*time.Second, now)
		Expect(news).To(BeTrue())
		Expect(until).To(And(BeTemporally(">=", now.Add(2*time.Second)), BeTemporally("<=", now.Add(2200*time.Millisecond))))
		_, news = tracker.AskedPause(all[0], 3*time.Second, now.Add(time.Second))
		Expect(news).To(BeFalse())
		tracker.AskedPause(all[0], 100*time.Millisecond, now.Add(1100*time.Millisecond))
		Expect(ranked(now.Add(3990*time.Millisecond))).To(HaveLen(2), "a shorter pause does not end a longer one")
		Expect(ranked(now.Add(4400 * time.Millisecond))).To(HaveLen(3))
	})

	It("bounds a pause", func() {
		until, _ := tracker.AskedPause(all[0], 24*time.Hour, now)
		Expect(until).To(BeTemporally("<=", now.Add(placement.MaxPause+placement.MaxPause/10)))
	})

	// All daemons that were turned away together return together, and the upstream
	// turns them away again.
	It("returns after a pause at different times, with a few requests first", func() {
		ends := map[time.Time]bool{}
		for seed := range uint64(20) {
			t := placement.NewTracker("here", rand.New(rand.NewPCG(seed, 1)))
			until, _ := t.AskedPause(all[0], 2*time.Second, now)
			ends[until.Truncate(10*time.Millisecond)] = true
		}
		Expect(len(ends)).To(BeNumerically(">", 8))
		tracker.AskedPause(all[0], time.Second, now)
		later := now.Add(2 * time.Second)
		tracker.Begin(all[0])
		Expect(ranked(later)).To(ContainElement("up0"))
		tracker.Begin(all[0])
		Expect(ranked(later)).NotTo(ContainElement("up0"))
		tracker.Succeeded("up0", time.Millisecond)
		Expect(ranked(later)).To(ContainElement("up0"))
	})

	// A request that waits for an upstream that is known to turn it away only waits.
	It("tells when the first of all paused upstreams takes work again", func() {
		for i, in := range all {
			_, _, every := tracker.AllWithdrawn(all, now)
			Expect(every).To(BeFalse())
			tracker.AskedPause(in, time.Duration(5-i)*time.Second, now)
		}
		soonest, _, every := tracker.AllWithdrawn(all, now)
		Expect(every).To(BeTrue())
		Expect(soonest).To(And(BeTemporally(">=", now.Add(3*time.Second)), BeTemporally("<=", now.Add(3300*time.Millisecond))))
		_, _, every = tracker.AllWithdrawn(nil, now)
		Expect(every).To(BeFalse())
	})
})
