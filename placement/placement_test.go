package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/placement"
	"github.com/gooseberryroad/gooseberryroad/registry"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

var _ = Describe("Tracker", func() {
	now := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	var tracker *placement.Tracker
	var all []registry.Instance
	BeforeEach(func() {
		tracker = placement.NewTracker("here", rand.New(rand.NewPCG(3, 4)))
		all = nil
		for i := range 6 {
			all = append(all, registry.Instance{ID: fmt.Sprint("here", i), Service: "llm", DataCentre: "here", Slots: 64})
			all = append(all, registry.Instance{ID: fmt.Sprint("there", i), Service: "llm", DataCentre: "there", Slots: 64})
		}
		tracker.SetRegistered(all)
	})
	first := func(remotePenalty float64) placement.Ranked { return tracker.Rank(all, remotePenalty, now)[0] }
	send := func(remotePenalty float64) registry.Instance {
		in := first(remotePenalty).Instance
		tracker.Begin(in)
		return in
	}

	It("prefers the daemon's data centre until its upstreams have more additional requests than the remote penalty", func() {
		for range 12 {
			Expect(send(2).DataCentre).To(Equal("here"))
		}
		tracker.Begin(all[0])
		counts := map[string]int{}
		for range 24 {
			counts[send(2).DataCentre]++
		}
		Expect(counts["there"]).To(BeNumerically(">", 6))
	})

	// A stream that has few attempts left must not mistake full engines for crashed
	// ones.
	It("distinguishes upstreams that failed from those that are full", func() {
		tracker.Failed(all[0], now)
		tracker.Refused(all[1].ID, now)
		notFailed := placement.WithoutFailed(tracker.Rank(all, 0, now))
		Expect(notFailed).To(HaveLen(len(all) - 1))
		for _, r := range notFailed {
			Expect(r.ID).NotTo(Equal(all[0].ID))
		}
		Expect(placement.WithoutFailed(tracker.Rank(all[:1], 0, now.Add(5*time.Second)))).To(HaveLen(1))
	})

	// Streams that try full upstreams every few milliseconds use up the fleet's
	// retry budget within a tenth of a second.
	It("tries a full upstream after growing pauses, and at once when a slot is free", func() {
		one := all[:1]
		asked := 0
		for at := now; at.Before(now.Add(2 * time.Second)); at = at.Add(10 * time.Millisecond) {
			if len(placement.WithoutFull(tracker.Rank(one, 0, at))) > 0 {
				asked++
				tracker.Refused(one[0].ID, at)
				tracker.Refused(one[0].ID, at)
			}
		}
		Expect(asked).To(BeNumerically("<=", 9))
		Expect(asked).To(BeNumerically(">=", 6))
		at := now.Add(2 * time.Second)
		tracker.Refused(one[0].ID, at)
		Expect(placement.WithoutFull(tracker.Rank(one, 0, at))).To(BeEmpty())
		tracker.SlotFreed(one[0].ID)
		Expect(placement.WithoutFull(tracker.Rank(one, 0, at))).To(HaveLen(1))
		tracker.Accepted(one[0].ID)
		tracker.Refused(one[0].ID, at)
		Expect(placement.WithoutFull(tracker.Rank(one, 0, at.Add(50*time.Millisecond)))).To(HaveLen(1))
	})

	// When a data centre crashes, all its streams would restart on the one engine
	// that is left there and overload it.
	It("avoids a data centre whose upstreams fail together, including the upstream that still works", func() {
		for i := range 5 {
			tracker.Failed(registry.Instance{ID: fmt.Sprint("here", i), Service: "llm", DataCentre: "here"}, now)
		}
		answered := []registry.Instance{all[10], all[1], all[3]}
		Expect(all[10].ID).To(Equal("here5"))
		Expect(tracker.Rank(answered, 2, now)[0].DataCentre).To(Equal("there"))
		now := now.Add(10 * time.Second)
		Expect(tracker.Rank(answered, 2, now)[0].ID).To(Equal("here5"))
	})

	// A single crash must not empty its data centre.
	It("does not avoid a data centre because of one failure", func() {
		tracker.Failed(all[0], now)
		Expect(first(2).DataCentre).To(Equal("here"))
		Expect(first(2).ID).NotTo(Equal(all[0].ID))
	})

	// A burst of long prompts must not queue at one engine while others have no
	// prompt to prefill.
	It("counts a prefill for more than a running stream", func() {
		two := []registry.Instance{all[0], all[2]}
		tracker.Begin(all[0])
		tracker.AddPrefills(all[0].ID, 1)
		tracker.Begin(all[2])
		tracker.Begin(all[2])
		Expect(tracker.Rank(two, 0, now)[0].ID).To(Equal(all[2].ID))
		tracker.AddPrefills(all[0].ID, -1)
		Expect(tracker.Rank(two, 0, now)[0].ID).To(Equal(all[0].ID))
	})

	// A slow upstream must not get the same share as the others, but it must get
	// some requests, which can show that it has recovered.
	It("sends fewer requests to a slow upstream", func() {
		services := []registry.Instance{{ID: "a", Slots: 6, DataCentre: "here"}, {ID: "b", Slots: 6, DataCentre: "here"}}
		for range 20 {
			tracker.Succeeded("a", 60*time.Millisecond)
			tracker.Succeeded("b", 300*time.Millisecond)
		}
		counts := map[string]int{}
		for range 12 {
			in := tracker.Rank(services, 0, now)[0].Instance
			tracker.Begin(in)
			counts[in.ID]++
		}
		Expect(counts["a"]).To(BeNumerically(">", 7))
		Expect(counts["b"]).To(BeNumerically(">", 0))
	})

	// Repeated requests to an upstream that was replaced while the store could not
	// report it used up the retry budget.
	It("leaves out an upstream that was replaced at its address", func() {
		tracker.Replaced(all[0].ID, now)
		for _, r := range tracker.Rank(all, 0, now) {
			Expect(r.ID).NotTo(Equal(all[0].ID))
		}
	})

	// Without the pause, each request of a data centre that is cut off waits for a
	// timeout at every upstream of the other data centres before it is refused.
	It("lets one request after each pause find out whether an unreachable upstream is back", func() {
		one := all[:1]
		at := now
		tries := 0
		for ; at.Sub(now) < 6*time.Second; at = at.Add(50 * time.Millisecond) {
			if len(tracker.Rank(one, 0, at)) > 0 {
				tries++
				tracker.ConnectTimedOut(one[0], at.Add(40*time.Millisecond))
			}
		}
		Expect(tries).To(BeNumerically("<=", 8))
		Expect(tries).To(BeNumerically(">=", 5))
		tracker.Succeeded(one[0].ID, time.Millisecond)
		Expect(tracker.Rank(one, 0, at)).To(HaveLen(1))
	})

	// Eleven streams that lost their engine at the same moment tried four full
	// engines 25 times, which used up the retry budget at once.
	It("lets streams try an upstream that was full lately one at a time", func() {
		for _, in := range all {
			tracker.Refused(in.ID, now)
			tracker.Accepted(in.ID)
		}
		later := now.Add(3 * time.Second)
		asked := 0
		for range 11 {
			for _, r := range placement.WithoutFull(tracker.Rank(all, 0, later)) {
				tracker.StreamSent(r.ID, later)
				asked++
			}
		}
		Expect(asked).To(Equal(len(all)))
		Expect(placement.WithoutFull(tracker.Rank(all, 0, later.Add(30*time.Millisecond)))).To(HaveLen(len(all)))
		after := now.Add(11 * time.Second)
		tracker.StreamSent(all[0].ID, after)
		Expect(placement.WithoutFull(tracker.Rank(all, 0, after))).To(HaveLen(len(all)), "the refusal is older than the window")
	})

	// Streams were refused while an engine had half of its slots free: the few
	// engines that were asked for their load were full and were tried first.
	It("prefers upstreams that were not asked for their load to those that reported that they are full", func() {
		for i := range all {
			all[i].Slots = 8
		}
		rank := func(of []registry.Instance) []placement.Ranked {
			return tracker.Rank(of, 0, now.Add(5*time.Millisecond))
		}
		plan := placement.NewProbePlan(rank(all), "prompt", "here")
		asked := plan.Next()
		tracker.SetLoad(asked[0].ID, placement.Load{Running: 8}, now)
		tracker.SetLoad(asked[1].ID, placement.Load{Running: 7}, now)
		plan.Answered(asked[0])
		plan.Answered(asked[1])
		order := plan.Order(rank)
		Expect(order).To(HaveLen(len(all) - len(asked) + 2))
		Expect(order[0].ID).To(Equal(asked[1].ID))
		Expect(order[len(order)-1].ID).To(Equal(asked[0].ID))
		Expect(tracker.Rank(asked[:1], 0, now.Add(time.Second))[0].SlotsTaken).To(BeFalse(), "the load report is old")
	})

	// Streams were refused because a few attempts at full engines whose load was not
	// known used up the daemon's repeats, while an engine that was not asked had
	// free slots (soak seed 416698179). Asking for the load costs no repeat.
	It("asks further engines for their load when all that answered are full", func() {
		for i := range all {
			all[i].Slots = 8
			tracker.SetLoad(all[i].ID, placement.Load{Running: 8}, now)
		}
		rank := func(of []registry.Instance) []placement.Ranked {
			return tracker.Rank(of, 0, now.Add(5*time.Millisecond))
		}
		plan := placement.NewProbePlan(rank(all), "prompt", "here")
		first := plan.Next()
		Expect(first).To(HaveLen(5))
		for _, in := range first {
			plan.Answered(in)
		}
		Expect(plan.FoundFreeSlot(rank)).To(BeFalse())
		second := plan.Next()
		Expect(second).To(HaveLen(5))
		Expect(first).NotTo(ContainElements(second))
		tracker.SetLoad(second[3].ID, placement.Load{Running: 6}, now)
		for _, in := range second {
			plan.Answered(in)
		}
		Expect(plan.FoundFreeSlot(rank)).To(BeTrue())
		Expect(plan.Order(rank)[0].ID).To(Equal(second[3].ID))
		plan.Next()
		Expect(plan.Next()).To(BeEmpty(), "not all engines of a full service are asked")
	})

	// Guards against a stream that uses up the retry budget at engines that are full,
	// each of which is the only one left while the others pause after a refusal.
	It("asks an engine that is the only choice for its load if a refusal counts as a repeat", func() {
		rank := func(of []registry.Instance) []placement.Ranked { return tracker.Rank(of, 0, now) }
		only := rank(all[:1])
		Expect(placement.NewProbePlan(only, "prompt", "here").Next()).To(BeEmpty())
		plan := placement.NewProbePlan(only, "prompt", "here")
		plan.ForRepeat()
		Expect(plan.Next()).To(HaveLen(1))
		Expect(plan.Next()).To(BeEmpty())
	})

	// Streams that arrive together, as after the crash of a daemon, must not all
	// take the last slot of the engine that each of them ranked best.
	It("gives the last slot to only one of several concurrent requests", func() {
		in := all[0]
		in.Slots = 8
		tracker.SetLoad(in.ID, placement.Load{Running: 7}, now)
		at := now.Add(time.Millisecond)
		Expect(tracker.Reserve(in, at)).To(BeTrue())
		Expect(tracker.Reserve(in, at)).To(BeFalse())
		Expect(tracker.Inflight(in.ID)).To(Equal(1))
		tracker.End(in.ID)
		Expect(tracker.Reserve(in, at)).To(BeTrue())
	})

	// While a whole service was down, 24 waiting streams tried each of its 24
	// upstreams every 20 ms: thousands of attempts at closed ports.
	It("tries a closed port after growing pauses that all waiting requests share", func() {
		tries := 0
		for at := now; at.Sub(now) < 2*time.Second; at = at.Add(20 * time.Millisecond) {
			for range 24 {
				for _, r := range tracker.Rank(all, 0, at) {
					tries++
					tracker.ConnectRefused(r.Instance, at)
				}
			}
		}
		Expect(tries).To(BeNumerically("<=", 8*len(all)))
		Expect(tracker.Rank(all, 0, now.Add(2400*time.Millisecond))).To(HaveLen(len(all)), "each is tried again within 400 ms")
	})

	// Guards against an upstream of an overloaded service that is back and gets nothing for the
	// seconds for which it is ranked last, while requests are refused.
	It("puts an upstream first, where that is asked for, once its connections are due for another try", func() {
		tracker.ConnectRefused(all[0], now)
		tracker.Failed(all[1], now)
		Expect(tracker.Rank(all, 0, now)).To(HaveLen(len(all) - 1))
		ranked := tracker.Rank(all, 0, now.Add(150*time.Millisecond))
		Expect(ranked[0].ID).NotTo(Equal(all[0].ID))
		placement.ReconnectFirst(ranked)
		Expect(ranked).To(HaveLen(len(all)))
		Expect(ranked[0].ID).To(Equal(all[0].ID))
		Expect(ranked[len(ranked)-1].ID).To(Equal(all[1].ID), "it failed in another way")
		tracker.Succeeded(all[0].ID, 0)
		for _, r := range tracker.Rank(all, 0, now.Add(200*time.Millisecond)) {
			Expect(r.Reconnect).To(BeFalse())
		}
	})

	// After all upstreams of a service crashed, one registered half a second before
	// the others. 41 streams queued there while the others stayed idle, and the last
	// stream waited 13 s.
	It("sends one prompt to the first upstream that is back, and spreads the others once all are back", func() {
		for _, in := range all {
			tracker.ConnectRefused(in, now)
		}
		back := registry.Instance{ID: "back", Service: all[0].Service, DataCentre: all[0].DataCentre}
		at := now.Add(50 * time.Millisecond)
		usable := func(of []registry.Instance) []placement.Ranked { return placement.WithoutFull(tracker.Rank(of, 0, at)) }
		registered := append(slices.Clone(all), back)
		Expect(usable(registered)).To(HaveLen(1))
		tracker.Begin(back)
		tracker.AddPrefills(back.ID, 1)
		Expect(usable(registered)).To(BeEmpty())
		tracker.AddPrefills(back.ID, -1)
		Expect(usable(registered)).To(HaveLen(1), "it has prefilled the prompt")
		tracker.AddPrefills(back.ID, 1)
		registered = []registry.Instance{back}
		for i := range all {
			registered = append(registered, registry.Instance{ID: fmt.Sprint("new", i), Service: back.Service, DataCentre: back.DataCentre})
		}
		Expect(usable(registered)).To(HaveLen(len(registered)), "all are back")
		Expect(usable(registered)[0].ID).NotTo(Equal("back"))
	})

	It("uses a failed upstream when there is no other, and forgets upstreams that are not registered", func() {
		one := all[:1]
		tracker.Failed(one[0], now)
		r := tracker.Rank(one, 0, now)
		Expect(r).To(HaveLen(1))
		Expect(r[0].Paused).To(BeTrue())
		tracker.Succeeded(one[0].ID, time.Second)
		Expect(tracker.Rank(one, 0, now)[0].Paused).To(BeFalse())
		tracker.SetRegistered(nil)
		Expect(tracker.Inflight(one[0].ID)).To(BeZero())
	})

	// An old load report must not keep an idle upstream unused.
	It("gives load reports less weight as they age", func() {
		two := []registry.Instance{all[0], all[2]}
		tracker.SetLoad(all[0].ID, placement.Load{Running: 20}, now)
		tracker.Begin(all[2])
		Expect(tracker.Rank(two, 0, now)[0].ID).To(Equal(all[2].ID))
		Expect(tracker.Rank(two, 0, now.Add(3*time.Second))[0].ID).To(Equal(all[0].ID))
	})
})
