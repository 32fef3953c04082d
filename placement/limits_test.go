package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/placement"
	"github.com/gooseberryroad/gooseberryroad/ratelimit"
	"github.com/gooseberryroad/gooseberryroad/registry"
)

var _ = Describe("What is known of the limits of upstreams", func() {
	now := time.Date(2026, 12, 6, 9, 0, 0, 0, time.UTC)
	in := registry.Instance{ID: "up0", Service: "tags", DataCentre: "here", StartUnixMilli: 100}
	var tracker *placement.Tracker
	BeforeEach(func() { tracker = placement.NewTracker("here", rand.New(rand.NewPCG(5, 6))) })

	// An answer that was on its way when the upstream named the limit would end it.
	It("ends a limit only by an answer to a later request", func() {
		Expect(tracker.SaidLimit(in, 2, false, now)).To(Equal(placement.LimitNamed))
		Expect(tracker.SaidLimit(in, 2, false, now)).To(Equal(placement.LimitUnchanged))
		Expect(tracker.SaidNoLimit(in, now.Add(-time.Millisecond), now.Add(time.Second))).To(Equal(placement.LimitUnchanged))
		Expect(tracker.SaidNoLimit(in, time.Time{}, now.Add(time.Second))).To(Equal(placement.LimitUnchanged), "a control call")
		Expect(tracker.LimitedUpstreams()).To(Equal(1))
		Expect(tracker.SaidNoLimit(in, now.Add(time.Second), now.Add(time.Second))).To(Equal(placement.LimitEnded))
		Expect(tracker.LimitedUpstreams()).To(BeZero())
	})

	// An upstream that names another limit in each answer would fill the log.
	It("reports changes and unreadable limits at most once a second", func() {
		tracker.SaidLimit(in, 2, false, now)
		news := 0
		for i := range 100 {
			if tracker.SaidLimit(in, float64(i), false, now.Add(time.Duration(i)*10*time.Millisecond+time.Second/2)) != placement.LimitUnchanged {
				news++
			}
		}
		Expect(news).To(Equal(1))
		Expect(tracker.SaidUnreadableLimit(in)).To(Equal(placement.LimitUnreadable))
		Expect(tracker.SaidUnreadableLimit(in)).To(Equal(placement.LimitUnchanged))
		Expect(tracker.LimitedUpstreams()).To(Equal(1), "what was known stays")
	})

	// The next process under the ID, or a table that only grows.
	It("forgets the limits of other processes and of upstreams that are gone", func() {
		tracker.SaidLimit(in, 2, false, now)
		restarted := in
		restarted.StartUnixMilli = 200
		tracker.DropNotices([]registry.Instance{restarted}, now)
		Expect(tracker.LimitedUpstreams()).To(BeZero())
		tracker.SaidLimit(in, 2, false, now)
		tracker.DropNotices(nil, now)
		tracker.DropNotices([]registry.Instance{in}, now.Add(time.Second))
		Expect(tracker.LimitedUpstreams()).To(Equal(1), "the registration was missing for a moment")
		tracker.DropNotices(nil, now.Add(2*time.Second))
		tracker.DropNotices(nil, now.Add(2*time.Minute))
		Expect(tracker.LimitedUpstreams()).To(BeZero())
	})

	const limit = 2.0
	fleetOf := func(n int) []*placement.Tracker {
		var names []string
		for i := range n {
			names = append(names, fmt.Sprint("d", i))
		}
		var out []*placement.Tracker
		for i := range n {
			t := placement.NewTracker("here", rand.New(rand.NewPCG(uint64(i), 1)))
			t.SetDaemons(names, names[i], now)
			t.SaidLimit(in, limit, false, now)
			out = append(out, t)
		}
		return out
	}
	takeAll := func(t *placement.Tracker, at time.Time) int {
		n := 0
		for t.TakePermit(in, at) {
			n++
		}
		return n
	}

	// Guards against daemons that each send the whole limit, and against two requests that
	// ranked an upstream at the same moment and take the same permit.
	It("shares a limit among the daemons, and gives a permit once", func() {
		for _, n := range []int{1, 6, 9, 295} {
			sent := 0
			for _, t := range fleetOf(n) {
				Expect(t.TakePermit(registry.Instance{ID: "other"}, now)).To(BeTrue())
				for at := now; at.Before(now.Add(4 * time.Second)); at = at.Add(10 * time.Millisecond) {
					sent += takeAll(t, at)
				}
			}
			Expect(sent).To(BeNumerically("<=", int(ratelimit.Allowed(limit))), "%d daemons", n)
			Expect(sent).To(BeNumerically(">=", 4), "%d daemons", n)
		}
	})

	// Guards against a daemon of a large fleet that can use few of the engines that it asks
	// for their load, because they name a limit in the answer.
	It("permits one stream to an engine that named its limit when it was asked", func() {
		for _, asked := range []bool{true, false} {
			permits := 0
			for _, t := range fleetOf(295) {
				engine := registry.Instance{ID: "e0"}
				t.SaidLimit(engine, limit, asked, now)
				for t.TakePermit(engine, now.Add(10*time.Millisecond)) {
					permits++
				}
			}
			if asked {
				Expect(permits).To(Equal(295))
			} else {
				Expect(permits).To(BeNumerically("<=", int(ratelimit.Allowed(limit))))
			}
		}
	})

	// Guards against requests, and queries of the load, to an upstream whose part is used up.
	It("leaves out an upstream while this daemon has no permit", func() {
		t := fleetOf(6)[0]
		other := registry.Instance{ID: "up1", Service: "tags", DataCentre: "here"}
		ranked := func(at time.Time) []string {
			var ids []string
			for _, r := range t.Rank([]registry.Instance{in, other}, 0, at) {
				Expect(r.Limited).To(Equal(r.ID == in.ID))
				ids = append(ids, r.ID)
			}
			return ids
		}
		Expect(ranked(now)).To(ConsistOf("up0", "up1"))
		for t.Reserve(in, now) {
		}
		Expect(ranked(now)).To(ConsistOf("up1"))
		reason, until := t.Withheld(in, now)
		Expect(reason).To(Equal(placement.NoticeLimit))
		Expect(ranked(until)).To(ConsistOf("up0", "up1"))
		_, _, every := t.AllWithdrawn([]registry.Instance{in, other}, now)
		Expect(every).To(BeFalse())
		soonest, why, every := t.AllWithdrawn([]registry.Instance{in}, now)
		Expect(every).To(BeTrue())
		Expect(why).To(Equal(placement.NoticeLimit))
		Expect(soonest).To(Equal(until))
	})

	// Guards against requests that all wait for the same permit, and against one that waits
	// for an upstream that leaves.
	It("reserves the next permits in turn, at upstreams that take work", func() {
		t := fleetOf(6)[0]
		leaving := registry.Instance{ID: "up1", Service: "tags", DataCentre: "here"}
		t.SaidLimit(leaving, 100, false, now)
		t.SaidLeaving(leaving)
		all := []registry.Instance{in, leaving}
		takeAll(t, now)
		next, _ := t.Limited(in, now)
		_, _, ok := t.ReservePermit(all, now, next.Add(-time.Millisecond))
		Expect(ok).To(BeFalse())
		from, first, ok := t.ReservePermit(all, now, now.Add(time.Minute))
		Expect(ok).To(BeTrue())
		Expect(from).To(Equal(in))
		Expect(first).To(Equal(next))
		_, second, ok := t.ReservePermit(all, now, now.Add(time.Minute))
		Expect(ok).To(BeTrue())
		Expect(second).To(BeTemporally(">", first.Add(time.Second)))
		Expect(t.TakePermit(in, first)).To(BeFalse(), "it is reserved")
	})

	// Guards against new permits for a limit that ends and is named again at once.
	It("goes on from what was sent when a limit is named again", func() {
		t := fleetOf(6)[0]
		Expect(takeAll(t, now)).To(BeNumerically(">", 0))
		t.SaidNoLimit(in, now.Add(time.Millisecond), now.Add(time.Millisecond))
		Expect(t.TakePermit(in, now.Add(2*time.Millisecond))).To(BeTrue())
		t.SaidLimit(in, limit, false, now.Add(3*time.Millisecond))
		Expect(t.TakePermit(in, now.Add(4*time.Millisecond))).To(BeFalse())
		restarted := in
		restarted.StartUnixMilli = 200
		Expect(takeAll(t, now)).To(BeZero())
		Expect(t.TakePermit(restarted, now)).To(BeTrue(), "it named no limit")
	})

	// Guards against a fleet in which each daemon sends a request at once whenever an engine
	// names its limit anew.
	It("permits one stream outside the slots in the life of an engine, not with each limit that it names", func() {
		engine := registry.Instance{ID: "e0", Service: "llm"}
		later := 0
		for _, t := range fleetOf(295) {
			t.SaidLimit(engine, limit, true, now)
			Expect(t.TakePermit(engine, now.Add(10*time.Millisecond))).To(BeTrue())
			t.SaidNoLimit(engine, now.Add(time.Second), now.Add(time.Second))
			t.DropNotices([]registry.Instance{engine}, now.Add(20*time.Second))
			t.SaidLimit(engine, limit, true, now.Add(21*time.Second))
			for t.TakePermit(engine, now.Add(21*time.Second+10*time.Millisecond)) {
				later++
			}
		}
		Expect(later).To(BeNumerically("<=", int(ratelimit.Allowed(limit))))
	})

	// Guards against larger parts for the others while a daemon is restarted, which then
	// sends as well.
	It("counts a daemon that was registered a moment ago", func() {
		t := fleetOf(2)[0]
		alone := fleetOf(1)[0]
		t.SetDaemons(nil, "d0", now.Add(time.Second))
		Expect(takeAll(t, now.Add(time.Second))).To(BeNumerically("<", takeAll(alone, now.Add(time.Second))))
		t.SetDaemons(nil, "d0", now.Add(time.Minute))
		Expect(takeAll(t, now.Add(time.Minute))).To(Equal(takeAll(alone, now.Add(time.Minute))))
	})

	// Guards against daemons that each take a whole limit, because the list of daemons was lost
	// for a moment after a time in which it had not changed.
	It("shares a limit among the daemons of the last list when that came long ago", func() {
		sent := 0
		for _, t := range fleetOf(9) {
			at := now.Add(time.Minute)
			t.SetDaemons(nil, "d0", at)
			for ; at.Before(now.Add(time.Minute + 4*time.Second)); at = at.Add(10 * time.Millisecond) {
				sent += takeAll(t, at)
			}
		}
		Expect(sent).To(BeNumerically("<=", int(ratelimit.Allowed(limit))))
	})

	// Guards against streams that all go to the few engines without a limit in a large fleet,
	// in which a daemon has permits for few of the others.
	It("asks engines with a limit for their load by their share of all", func() {
		var ranked []placement.Ranked
		for i := range 40 {
			ranked = append(ranked, placement.Ranked{
				Instance: registry.Instance{ID: fmt.Sprint("up", i), Address: fmt.Sprint("10.0.0.", i), DataCentre: []string{"here", "there"}[i%2]},
				Limited:  i >= 36,
			})
		}
		asked := func(share float64, ranked []placement.Ranked) (limited, others int) {
			plan := placement.NewProbePlan(ranked, "prompt", "here")
			plan.ForLimits(share)
			for _, in := range plan.Next() {
				if slices.ContainsFunc(ranked, func(r placement.Ranked) bool { return r.ID == in.ID && r.Limited }) {
					limited++
				} else {
					others++
				}
			}
			return limited, others
		}
		limited, others := asked(0.7, ranked)
		Expect([]int{limited, others}).To(Equal([]int{4, 1}))
		limited, others = asked(0.7, ranked[:37])
		Expect([]int{limited, others}).To(Equal([]int{1, 4}), "there is one permit")
		_, others = asked(0, ranked[:36])
		Expect(others).To(Equal(5))
	})

	// Guards against a choice between one engine, because the others that were asked named a
	// limit in their answers.
	It("asks further engines when limits leave no choice", func() {
		var ranked []placement.Ranked
		for i := range 20 {
			ranked = append(ranked, placement.Ranked{Instance: registry.Instance{ID: fmt.Sprint("up", i), Address: fmt.Sprint("10.0.0.", i), DataCentre: "here"}})
		}
		plan := placement.NewProbePlan(ranked, "prompt", "here")
		for _, in := range plan.Next() {
			plan.Answered(in)
		}
		first := func(n int) func([]registry.Instance) []placement.Ranked {
			return func(of []registry.Instance) []placement.Ranked {
				var out []placement.Ranked
				for _, in := range of[:min(n, len(of))] {
					out = append(out, placement.Ranked{Instance: in})
				}
				return out
			}
		}
		Expect(plan.FoundFreeSlot(first(1))).To(BeFalse())
		Expect(plan.FoundFreeSlot(first(3))).To(BeTrue())
	})
})
