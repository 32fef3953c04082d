package gateway

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/cutover"
	"github.com/gooseberryroad/gooseberryroad/directory"
	"github.com/gooseberryroad/gooseberryroad/registry"
	"github.com/gooseberryroad/gooseberryroad/routes"
)

var _ = ginkgo.Describe("A request to a service that is being moved to another version", func() {
	var (
		old    = registry.Instance{ID: "a", Service: "s", Version: "v1"}
		target = registry.Instance{ID: "b", Service: "s", Version: "v2"}
		g      *Gateway
		r      *request
	)

	ginkgo.BeforeEach(func() {
		g = New(Options{Logger: slog.New(slog.DiscardHandler), Rand: rand.New(rand.NewPCG(1, 2))})
		order := cutover.Order{Service: "s", Target: "v2", TimeLimit: 10 * time.Second, Revision: 5}
		g.cutovers["s"] = cutover.New(order, nil, 0, time.Now())
		r = &request{Call: &Call{}, service: "s", route: &routes.Route{Name: "r", TargetLatency: 300 * time.Millisecond}, useTargetVersion: true}
	})
	chosen := func() []string {
		g.mu.Lock()
		defer g.mu.Unlock()
		var ids []string
		for _, in := range g.ofVersion(r, []registry.Instance{old, target}) {
			ids = append(ids, in.ID)
		}
		return ids
	}

	// Guards against a caller whose request fails at one upstream of a bad version
	// after the other although the old version would answer it.
	ginkgo.It("is repeated at the other versions after it got no answer at the target", func() {
		Expect(chosen()).To(Equal([]string{"b"}))
		g.leaveTrial(r, old)
		Expect(chosen()).To(Equal([]string{"b"}))
		g.leaveTrial(r, target)
		Expect(chosen()).To(Equal([]string{"a"}))
	})

	// Guards against a slow version that counts as good at a daemon that has not seen
	// an ordinary response on the route yet.
	ginkgo.It("counts as slow beyond the objective while the usual latency is unknown", func() {
		g.recordOutcome(r, target, false, time.Now().Add(-400*time.Millisecond))
		Expect(g.cutovers["s"].Outcomes(time.Now())).To(ContainSubstring("target 1/1"))
		g.recordOutcome(r, target, false, time.Now())
		Expect(g.cutovers["s"].Outcomes(time.Now())).To(ContainSubstring("target 1/2"))
	})

	// Guards against a target that is never completed because requests that it did not
	// run seem to wait for its answer.
	ginkgo.It("waits for an outcome only until its attempt ends", func() {
		began := time.Now()
		g.recordSent(r, target, began)
		g.recordSent(r, old, began)
		Expect(g.cutovers["s"].Outcomes(began)).To(ContainSubstring("waiting 1"))
		g.recordSettled(r, target, began)
		g.recordSettled(r, old, began)
		Expect(g.cutovers["s"].Outcomes(began)).To(ContainSubstring("waiting 0"))
	})
})

var _ = ginkgo.Describe("A version that was reverted", func() {
	var (
		v1 = registry.Instance{ID: "a", Service: "s", Version: "v1"}
		v2 = registry.Instance{ID: "b", Service: "s", Version: "v2"}
		v3 = registry.Instance{ID: "c", Service: "s", Version: "v3"}

		second = cutover.Order{Service: "s", Target: "v2", TimeLimit: 10 * time.Second, Revision: 5}
		third  = cutover.Order{Service: "s", Target: "v3", TimeLimit: 10 * time.Second, Revision: 9}
		all    = []registry.Instance{v1, v2, v3}
	)
	newGateway := func() *Gateway {
		return New(Options{Logger: slog.New(slog.DiscardHandler), Rand: rand.New(rand.NewPCG(1, 2))})
	}
	show := func(g *Gateway, v directory.View) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.updateCutovers(&v, time.Now())
	}
	ordered := func(o cutover.Order, state cutover.State) map[string]directory.Cutover {
		return map[string]directory.Cutover{"s": {Order: o, Status: cutover.Status{Target: o.Target, State: state, Revision: o.Revision + 1}}}
	}
	usable := func(g *Gateway, registered []registry.Instance, toTarget bool) []string {
		g.mu.Lock()
		defer g.mu.Unlock()
		r := &request{Call: &Call{}, service: "s", route: &routes.Route{Name: "r"}, useTargetVersion: toTarget}
		ids := []string{}
		for _, in := range g.ofVersion(r, registered) {
			ids = append(ids, in.ID)
		}
		return ids
	}

	// Guards against a bad version that gets the requests of the next order because it
	// counts as one of the old versions until its upstreams have drained.
	ginkgo.It("gets no requests of the next order", func() {
		g := newGateway()
		show(g, directory.View{All: all, Cutovers: ordered(second, cutover.Reverted)})
		show(g, directory.View{All: all, Cutovers: ordered(third, cutover.Running)})
		Expect(usable(g, all, false)).To(Equal([]string{"a"}))
		Expect(usable(g, all, true)).To(Equal([]string{"c"}))
	})

	ginkgo.It("gets none either if the next order came before the status was written", func() {
		g := newGateway()
		show(g, directory.View{All: all, Cutovers: ordered(second, cutover.Running)})
		r := &request{Call: &Call{}, service: "s", route: &routes.Route{Name: "r"}}
		for range 60 {
			g.recordOutcome(r, v1, false, time.Now())
			g.recordOutcome(r, v2, true, time.Now())
		}
		Expect(g.cutovers["s"].BadRoute()).To(Equal("r"))
		show(g, directory.View{All: all, Cutovers: ordered(third, cutover.Running)})
		Expect(usable(g, all, false)).To(Equal([]string{"a"}))
	})

	// Guards against a daemon that starts after the verdict and sees the next order only.
	ginkgo.It("is noted in the store with the status, for daemons that start later", func() {
		g := newGateway()
		first := func(string) int { return 0 }
		show(g, directory.View{All: all, Cutovers: ordered(second, cutover.Reverted)})
		show(g, directory.View{All: all, Cutovers: ordered(third, "")})
		w := g.PendingCutoverWrites(first)
		Expect(w).To(HaveLen(1))
		Expect(w[0].Rejected).To(Equal(cutover.Rejected{"v2": 5}))
		later := newGateway()
		show(later, directory.View{All: all, Cutovers: ordered(third, ""), Rejected: map[string]cutover.Rejected{"s": w[0].Rejected}})
		Expect(usable(later, all, false)).To(Equal([]string{"a"}))
		w = later.PendingCutoverWrites(first)
		Expect(w[0].Rejected).To(BeNil(), "the store holds it already")
	})

	ginkgo.It("gets requests again when an operator orders it again", func() {
		g := newGateway()
		again := second
		again.Revision = 12
		show(g, directory.View{All: all, Cutovers: ordered(second, cutover.Reverted)})
		show(g, directory.View{All: all, Cutovers: ordered(third, cutover.Running)})
		show(g, directory.View{All: all, Cutovers: ordered(again, cutover.Running), Rejected: map[string]cutover.Rejected{"s": {"v2": 5}}})
		Expect(usable(g, all, true)).To(Equal([]string{"b"}))
		w := g.PendingCutoverWrites(func(string) int { return 0 })
		for _, p := range w {
			Expect(p.Rejected.Has("v2")).To(BeFalse())
		}
	})

	ginkgo.It("is forgotten with its last upstream", func() {
		g := newGateway()
		show(g, directory.View{All: all, Cutovers: ordered(second, cutover.Reverted)})
		show(g, directory.View{All: all, Cutovers: ordered(third, cutover.Running)})
		show(g, directory.View{All: []registry.Instance{v1, v3}, Cutovers: ordered(third, cutover.Running)})
		show(g, directory.View{All: all, Cutovers: ordered(third, cutover.Running)})
		Expect(usable(g, all, false)).To(Equal([]string{"a", "b"}))
	})

	// Guards against a service that is refused although the operator has taken the order
	// back and nothing else is left.
	ginkgo.It("serves without an order if no other version is left", func() {
		g := newGateway()
		show(g, directory.View{All: all, Cutovers: ordered(second, cutover.Reverted)})
		show(g, directory.View{All: all})
		Expect(usable(g, all, false)).To(Equal([]string{"a", "c"}))
		Expect(usable(g, []registry.Instance{v2}, false)).To(Equal([]string{"b"}))
		show(g, directory.View{All: all, Cutovers: ordered(third, cutover.Running)})
		Expect(usable(g, []registry.Instance{v2}, false)).To(BeEmpty())
	})
})
