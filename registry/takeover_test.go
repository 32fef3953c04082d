package registry_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/registry"
)

// Engines that crash during an outage of the store must not be left out until
// its end (soak seed 2163098154), and upstreams of another service or version at
// their addresses must not be used.
var _ = DescribeTable("An upstream at the address of a registered one",
	func(t registry.Takeover, adoptable bool) { Expect(t.Adoptable()).To(Equal(adoptable)) },
	Entry("is used while the store is unavailable", registry.Takeover{Engine: true}, true),
	Entry("is not adopted while the store confirms the registrations", registry.Takeover{Engine: true, StoreUpToDate: true}, false),
	Entry("is not adopted while the service is being moved, because its version is unknown", registry.Takeover{Engine: true, Moving: true}, false),
	Entry("is not adopted when it is not an engine, because it cannot be recognised", registry.Takeover{}, false),
)

var _ = Describe("Takeovers", func() {
	instance := func(id string) registry.Instance { return registry.Instance{ID: id, Address: "10.0.0.1:80"} }
	other := registry.Instance{ID: "b", Address: "10.0.0.2:80"}

	// An engine that crashes twice during an outage was left out from the second
	// crash on (soak seed 2163098154).
	It("follow an address through several crashes", func() {
		var t registry.Takeovers
		t.Adopt(instance("a"), instance("a2"))
		t.Adopt(instance("a2"), instance("a3"))
		Expect(t.Apply([]registry.Instance{instance("a"), other})).To(Equal([]registry.Instance{instance("a3"), other}))
	})

	It("end when the store reports what is at the address", func() {
		var t registry.Takeovers
		t.Adopt(instance("a"), instance("a2"))
		t.Adopt(instance("a2"), instance("a3"))
		t.DropUnregistered([]registry.Instance{instance("a3"), other})
		Expect(t.Apply([]registry.Instance{instance("a3"), other})).To(Equal([]registry.Instance{instance("a3"), other}))
		t.DropUnregistered([]registry.Instance{instance("a")})
		Expect(t.Apply([]registry.Instance{instance("a")})).To(Equal([]registry.Instance{instance("a")}))
	})
})
