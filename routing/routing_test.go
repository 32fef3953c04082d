package routing_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/document"
	"github.com/gooseberryroad/gooseberryroad/node"
	"github.com/gooseberryroad/gooseberryroad/routing"
)

func TestRouting(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "routing")
}

func up(name, dc, version string, state node.UpstreamState, running int) node.UpstreamView {
	return node.UpstreamView{
		Upstream: document.Upstream{Name: name, Address: "127.0.0.1:1", DataCentre: dc, Region: "r1", Version: version},
		State:    state, Running: running,
	}
}

func view(us ...node.UpstreamView) *node.ServiceView {
	return &node.ServiceView{Shares: map[string]float64{"v1": 1}, Upstreams: us}
}

var _ = Describe("Pick", func() {
	var rnd *rand.Rand
	BeforeEach(func() { rnd = rand.New(rand.NewPCG(1, 2)) })

	picks := func(v *node.ServiceView, r routing.Request) map[string]int {
		n := map[string]int{}
		for range 1000 {
			if c, ok := routing.Pick(rnd, v, r); ok {
				n[c.Upstream]++
			}
		}
		return n
	}

	// Guards against work for an upstream that must not get any, and against
	// needless traffic between data centres.
	DescribeTable("candidates", func(v *node.ServiceView, r routing.Request, want ...string) {
		r.DataCentre, r.Region = "dc1", "r1"
		got := picks(v, r)
		Expect(got).To(HaveLen(len(want)))
		for _, w := range want {
			Expect(got).To(HaveKey(w))
		}
	},
		Entry("prefer the own data centre", view(up("a", "dc1", "v1", node.UpstreamAlive, 9), up("b", "dc2", "v1", node.UpstreamAlive, 0)), routing.Request{}, "a"),
		Entry("overflow when the own data centre is excluded", view(up("a", "dc1", "v1", node.UpstreamAlive, 0), up("b", "dc2", "v1", node.UpstreamAlive, 0)), routing.Request{Exclude: []string{"a"}}, "b"),
		Entry("leave out leaving ones", view(up("a", "dc1", "v1", node.UpstreamLeaving, 0), up("b", "dc1", "v1", node.UpstreamAlive, 0)), routing.Request{}, "b"),
		Entry("leave out dead ones", view(up("a", "dc1", "v1", node.UpstreamDead, 0)), routing.Request{}),
		Entry("take silent ones only when no other is left", view(up("a", "dc1", "v1", node.UpstreamSilent, 0), up("b", "dc2", "v1", node.UpstreamUnknown, 0)), routing.Request{}, "b"),
		Entry("take silent ones when no other is left", view(up("a", "dc1", "v1", node.UpstreamSilent, 0)), routing.Request{}, "a"),
		Entry("keep to a pinned version", view(up("a", "dc1", "v1", node.UpstreamAlive, 0), up("b", "dc1", "v2", node.UpstreamAlive, 0)), routing.Request{Version: "v2"}, "b"),
		Entry("give nothing to a version without a share", view(up("a", "dc1", "v1", node.UpstreamAlive, 0), up("b", "dc1", "v2", node.UpstreamAlive, 0)), routing.Request{}, "a"),
	)

	// Guards against a new version that spreads beyond its replicas.
	It("limits a version to its replicas", func() {
		v := view(up("a", "dc1", "v1", node.UpstreamAlive, 0), up("b", "dc1", "v1", node.UpstreamAlive, 0))
		v.Replicas = map[string][]string{"v1": {"b"}}
		Expect(picks(v, routing.Request{DataCentre: "dc1"})).To(Equal(map[string]int{"b": 1000}))
	})

	// Guards against a share that is not kept.
	It("follows the shares of versions", func() {
		v := view(up("a", "dc1", "v1", node.UpstreamAlive, 0), up("b", "dc1", "v2", node.UpstreamAlive, 0))
		v.Shares = map[string]float64{"v1": 0.9, "v2": 0.1}
		Expect(picks(v, routing.Request{DataCentre: "dc1"})["b"]).To(BeNumerically("~", 100, 40))
	})

	// Guards against herding between two reports: own work that no report
	// shows yet must count.
	It("counts reported load and own work", func() {
		v := view(up("a", "dc1", "v1", node.UpstreamAlive, 1), up("b", "dc1", "v1", node.UpstreamAlive, 0))
		Expect(picks(v, routing.Request{DataCentre: "dc1"})).To(Equal(map[string]int{"b": 1000}))
		sent := func(name string) int { return map[string]int{"b": 5}[name] }
		Expect(picks(v, routing.Request{DataCentre: "dc1", OwnInFlight: sent})).To(Equal(map[string]int{"a": 1000}))
	})
})
