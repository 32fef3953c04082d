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

var _ = Describe("Board", func() {
	now := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	var b *placement.Tracker
	var all []registry.Instance
	BeforeEach(func() {
		b = placement.NewTracker("here", rand.New(rand.NewPCG(3, 4)))
		all = nil
		for i := range 6 {
			all = append(all, registry.Instance{ID: fmt.Sprint("here", i), Service: "llm", DataCentre: "here", Slots: 64})
			all = append(all, registry.Instance{ID: fmt.Sprint("there", i), Service: "llm", DataCentre: "there", Slots: 64})
		}
		b.SetRegistered(all)
	})
	first := func(remote float64) placement.Ranked { return b.Rank(all, remote, now)[0] }
	send := func(remote float64) registry.Instance {
		in := first(remote).Instance
		b.Begin(in)
		return in
	}

	It("prefers the own data centre until it is busier by the bias", func() {
		for range 12 {
			Expect(send(2).DataCentre).To(Equal("here"))
		}
		b.Begin(all[0])
		counts := map[string]int{}
		for range 24 {
			counts[send(2).DataCentre]++
		}
		Expect(counts["there"]).To(BeNumerically(">", 6))
	})

	// Guards against full engines that are taken for crashed ones by a stream that
	// has few runs left.
	It("tells upstreams that failed from those that are full", func() {
		b.Failed(all[0], now)
		b.Refused(all[1].ID, now)
		sound := placement.WithoutFailed(b.Rank(all, 0, now))
		Expect(sound).To(HaveLen(len(all) - 1))
		for _, r := range sound {
			Expect(r.ID).NotTo(Equal(all[0].ID))
		}
		Expect(placement.WithoutFailed(b.Rank(all[:1], 0, now.Add(5*time.Second)))).To(HaveLen(1))
	})

	// Guards against streams that ask full upstreams every few milliseconds and use
	// up the fleet's retry budget within a tenth of a second.
	It("asks a full upstream less and less, and again when a place is free", func() {
		one := all[:1]
		asked := 0
		for at := now; at.Before(now.Add(2 * time.Second)); at = at.Add(10 * time.Millisecond) {
			if len(placement.WithoutFull(b.Rank(one, 0, at))) > 0 {
				asked++
				b.Refused(one[0].ID, at)
				b.Refused(one[0].ID, at)
			}
		}
		Expect(asked).To(BeNumerically("<=", 9))
		Expect(asked).To(BeNumerically(">=", 6))
		at := now.Add(2 * time.Second)
		b.Refused(one[0].ID, at)
		Expect(placement.WithoutFull(b.Rank(one, 0, at))).To(BeEmpty())
		b.SlotFreed(one[0].ID)
		Expect(placement.WithoutFull(b.Rank(one, 0, at))).To(HaveLen(1))
		b.Accepted(one[0].ID)
		b.Refused(one[0].ID, at)
		Expect(placement.WithoutFull(b.Rank(one, 0, at.Add(50*time.Millisecond)))).To(HaveLen(1))
	})

	// Guards against the load of a zone crash: all streams of the data centre
	// restart on the one engine that is left there.
	It("leaves a data centre whose upstreams fail together, the survivor too", func() {
		for i := range 5 {
			b.Failed(registry.Instance{ID: fmt.Sprint("here", i), Service: "llm", DataCentre: "here"}, now)
		}
		answered := []registry.Instance{all[10], all[1], all[3]}
		Expect(all[10].ID).To(Equal("here5"))
		Expect(b.Rank(answered, 2, now)[0].DataCentre).To(Equal("there"))
		now := now.Add(10 * time.Second)
		Expect(b.Rank(answered, 2, now)[0].ID).To(Equal("here5"))
	})

	// Guards against a single crash that empties its data centre.
	It("does not leave a data centre for one failure", func() {
		b.Failed(all[0], now)
		Expect(first(2).DataCentre).To(Equal("here"))
		Expect(first(2).ID).NotTo(Equal(all[0].ID))
	})

	// Guards against a burst of long prompts that queue at one engine while others
	// have none to read.
	It("weighs prompts that are being read", func() {
		two := []registry.Instance{all[0], all[2]}
		b.Begin(all[0])
		b.AddPrefills(all[0].ID, 1)
		b.Begin(all[2])
		b.Begin(all[2])
		Expect(b.Rank(two, 0, now)[0].ID).To(Equal(all[2].ID))
		b.AddPrefills(all[0].ID, -1)
		Expect(b.Rank(two, 0, now)[0].ID).To(Equal(all[0].ID))
	})

	// Guards against a slow upstream that gets the same share as the others, and
	// against one that never gets a request with which it could show recovery.
	It("sends little to a slow upstream", func() {
		services := []registry.Instance{{ID: "a", Slots: 6, DataCentre: "here"}, {ID: "b", Slots: 6, DataCentre: "here"}}
		for range 20 {
			b.Succeeded("a", 60*time.Millisecond)
			b.Succeeded("b", 300*time.Millisecond)
		}
		counts := map[string]int{}
		for range 12 {
			in := b.Rank(services, 0, now)[0].Instance
			b.Begin(in)
			counts[in.ID]++
		}
		Expect(counts["a"]).To(BeNumerically(">", 7))
		Expect(counts["b"]).To(BeNumerically(">", 0))
	})

	// Guards against repeated requests to an upstream that was replaced while the
	// store could not say so: they used up the retry budget.
	It("leaves out an upstream that is gone", func() {
		b.Replaced(all[0].ID, now)
		for _, r := range b.Rank(all, 0, now) {
			Expect(r.ID).NotTo(Equal(all[0].ID))
		}
	})

	// Guards against requests of a data centre that is cut off: each waited for a
	// timeout at every upstream of the others before it was refused.
	It("lets one request at a time find out whether a cut upstream is back", func() {
		one := all[:1]
		at := now
		tries := 0
		for ; at.Sub(now) < 6*time.Second; at = at.Add(50 * time.Millisecond) {
			if len(b.Rank(one, 0, at)) > 0 {
				tries++
				b.ConnectTimedOut(one[0], at.Add(40*time.Millisecond))
			}
		}
		Expect(tries).To(BeNumerically("<=", 8))
		Expect(tries).To(BeNumerically(">=", 5))
		b.Succeeded(one[0].ID, time.Millisecond)
		Expect(b.Rank(one, 0, at)).To(HaveLen(1))
	})

	// Guards against a retry budget that is used up at once: eleven streams lost
	// their engine in the same moment and asked four full ones 25 times.
	It("lets streams ask an upstream that was full lately one by one", func() {
		for _, in := range all {
			b.Refused(in.ID, now)
			b.Accepted(in.ID)
		}
		later := now.Add(3 * time.Second)
		asked := 0
		for range 11 {
			for _, r := range placement.WithoutFull(b.Rank(all, 0, later)) {
				b.StreamSent(r.ID, later)
				asked++
			}
		}
		Expect(asked).To(Equal(len(all)))
		Expect(placement.WithoutFull(b.Rank(all, 0, later.Add(30*time.Millisecond)))).To(HaveLen(len(all)))
		after := now.Add(11 * time.Second)
		b.StreamSent(all[0].ID, after)
		Expect(placement.WithoutFull(b.Rank(all, 0, after))).To(HaveLen(len(all)), "the refusal is long ago")
	})

	// Guards against streams that are refused while an engine has half of its places
	// free: the few that were asked for their load were full and tried first.
	It("prefers upstreams that were not asked to those that say that they are full", func() {
		for i := range all {
			all[i].Slots = 8
		}
		rank := func(of []registry.Instance) []placement.Ranked { return b.Rank(of, 0, now.Add(5*time.Millisecond)) }
		scouts := placement.NewProbePlan(rank(all), "prompt", "here")
		asked := scouts.Next()
		b.SetLoad(asked[0].ID, placement.Load{Running: 8}, now)
		b.SetLoad(asked[1].ID, placement.Load{Running: 7}, now)
		scouts.Answered(asked[0])
		scouts.Answered(asked[1])
		order := scouts.Order(rank)
		Expect(order).To(HaveLen(len(all) - len(asked) + 2))
		Expect(order[0].ID).To(Equal(asked[1].ID))
		Expect(order[len(order)-1].ID).To(Equal(asked[0].ID))
		Expect(b.Rank(asked[:1], 0, now.Add(time.Second))[0].SlotsTaken).To(BeFalse(), "the report is old")
	})

	// Guards against streams that are refused because a few blind tries at full
	// engines used up the daemon's repeats, while one that was not asked had places
	// (soak seed 416698179). Questions cost no repeat.
	It("asks further engines when all that answered are full", func() {
		for i := range all {
			all[i].Slots = 8
			b.SetLoad(all[i].ID, placement.Load{Running: 8}, now)
		}
		rank := func(of []registry.Instance) []placement.Ranked { return b.Rank(of, 0, now.Add(5*time.Millisecond)) }
		scouts := placement.NewProbePlan(rank(all), "prompt", "here")
		first := scouts.Next()
		Expect(first).To(HaveLen(5))
		for _, in := range first {
			scouts.Answered(in)
		}
		Expect(scouts.FoundFreeSlot(rank)).To(BeFalse())
		second := scouts.Next()
		Expect(second).To(HaveLen(5))
		Expect(first).NotTo(ContainElements(second))
		b.SetLoad(second[3].ID, placement.Load{Running: 6}, now)
		for _, in := range second {
			scouts.Answered(in)
		}
		Expect(scouts.FoundFreeSlot(rank)).To(BeTrue())
		Expect(scouts.Order(rank)[0].ID).To(Equal(second[3].ID))
		scouts.Next()
		Expect(scouts.Next()).To(BeEmpty(), "a full service is not asked as a whole")
	})

	// Guards against streams that come together, as after the crash of a daemon, and
	// all take the last place of the engine that each found best.
	It("gives the last place to one of several that look at the same time", func() {
		in := all[0]
		in.Slots = 8
		b.SetLoad(in.ID, placement.Load{Running: 7}, now)
		at := now.Add(time.Millisecond)
		Expect(b.Reserve(in, at)).To(BeTrue())
		Expect(b.Reserve(in, at)).To(BeFalse())
		Expect(b.Inflight(in.ID)).To(Equal(1))
		b.End(in.ID)
		Expect(b.Reserve(in, at)).To(BeTrue())
	})

	// Guards against thousands of tries at closed ports while a whole service is
	// away: 24 streams that wait asked each of 24 upstreams every 20 ms.
	It("asks a closed port less and less, for all waiting requests together", func() {
		tries := 0
		for at := now; at.Sub(now) < 2*time.Second; at = at.Add(20 * time.Millisecond) {
			for range 24 {
				for _, r := range b.Rank(all, 0, at) {
					tries++
					b.ConnectRefused(r.Instance, at)
				}
			}
		}
		Expect(tries).To(BeNumerically("<=", 8*len(all)))
		Expect(b.Rank(all, 0, now.Add(2400*time.Millisecond))).To(HaveLen(len(all)), "each is asked again within 400 ms")
	})

	// Guards against a herd: all upstreams of a service crashed, one is registered
	// half a second before the others, and 41 streams queue there while the others
	// stay idle. The last waited 13 s.
	It("sends one prompt to the first upstream that is back, and spreads the rest", func() {
		for _, in := range all {
			b.ConnectRefused(in, now)
		}
		back := registry.Instance{ID: "back", Service: all[0].Service, DataCentre: all[0].DataCentre}
		at := now.Add(50 * time.Millisecond)
		usable := func(of []registry.Instance) []placement.Ranked { return placement.WithoutFull(b.Rank(of, 0, at)) }
		registered := append(slices.Clone(all), back)
		Expect(usable(registered)).To(HaveLen(1))
		b.Begin(back)
		b.AddPrefills(back.ID, 1)
		Expect(usable(registered)).To(BeEmpty())
		b.AddPrefills(back.ID, -1)
		Expect(usable(registered)).To(HaveLen(1), "it has read the prompt")
		b.AddPrefills(back.ID, 1)
		registered = []registry.Instance{back}
		for i := range all {
			registered = append(registered, registry.Instance{ID: fmt.Sprint("new", i), Service: back.Service, DataCentre: back.DataCentre})
		}
		Expect(usable(registered)).To(HaveLen(len(registered)), "all are back")
		Expect(usable(registered)[0].ID).NotTo(Equal("back"))
	})

	It("uses failed upstreams when there are no others, and forgets success and failure of others", func() {
		one := all[:1]
		b.Failed(one[0], now)
		r := b.Rank(one, 0, now)
		Expect(r).To(HaveLen(1))
		Expect(r[0].Paused).To(BeTrue())
		b.Succeeded(one[0].ID, time.Second)
		Expect(b.Rank(one, 0, now)[0].Paused).To(BeFalse())
		b.SetRegistered(nil)
		Expect(b.Inflight(one[0].ID)).To(BeZero())
	})

	// Guards against a report of long ago that keeps an idle upstream unused.
	It("trusts reports less as they age", func() {
		two := []registry.Instance{all[0], all[2]}
		b.SetLoad(all[0].ID, placement.Load{Running: 20}, now)
		b.Begin(all[2])
		Expect(b.Rank(two, 0, now)[0].ID).To(Equal(all[2].ID))
		Expect(b.Rank(two, 0, now.Add(3*time.Second))[0].ID).To(Equal(all[0].ID))
	})
})
