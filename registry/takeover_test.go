package registry_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/registry"
)

// Guards against engines that crash during an outage of the store and are left
// out until it returns (soak seed 2163098154), and against upstreams of another
// service or version at their addresses.
var _ = DescribeTable("An upstream at the address of a registered one",
	func(t registry.Takeover, adoptable bool) { Expect(t.Adoptable()).To(Equal(adoptable)) },
	Entry("is used while the store is away", registry.Takeover{Engine: true}, true),
	Entry("is left to the store while it answers", registry.Takeover{Engine: true, StoreUpToDate: true}, false),
	Entry("has an unknown version while the service moves", registry.Takeover{Engine: true, Moving: true}, false),
	Entry("cannot be recognised when it is no engine", registry.Takeover{}, false),
)

var _ = Describe("Takeovers", func() {
	up := func(id string) registry.Instance { return registry.Instance{ID: id, Address: "10.0.0.1:80"} }
	other := registry.Instance{ID: "b", Address: "10.0.0.2:80"}

	// Guards against an engine that crashes twice during an outage and is left out
	// from the second crash on (soak seed 2163098154).
	It("follow an address through several crashes", func() {
		var t registry.Takeovers
		t.Adopt(up("a"), up("a2"))
		t.Adopt(up("a2"), up("a3"))
		Expect(t.Apply([]registry.Instance{up("a"), other})).To(Equal([]registry.Instance{up("a3"), other}))
	})

	It("end when the store tells what is at the address", func() {
		var t registry.Takeovers
		t.Adopt(up("a"), up("a2"))
		t.Adopt(up("a2"), up("a3"))
		t.DropUnregistered([]registry.Instance{up("a3"), other})
		Expect(t.Apply([]registry.Instance{up("a3"), other})).To(Equal([]registry.Instance{up("a3"), other}))
		t.DropUnregistered([]registry.Instance{up("a")})
		Expect(t.Apply([]registry.Instance{up("a")})).To(Equal([]registry.Instance{up("a")}))
	})
})
