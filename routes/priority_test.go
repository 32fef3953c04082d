package routes_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/routes"
)

var _ = Describe("Priority", func() {
	to := func(name string, priority int, service string) routes.Route {
		return routes.Route{Name: name, Priority: priority, Shares: []routes.Share{{Service: service, Weight: 1}}}
	}
	one := 1

	// A service whose requests all have the same priority must be served as if there were
	// no priorities.
	It("differs only within a service that has requests of several priorities", func() {
		t := routes.NewTable(routes.Config{Routes: []routes.Route{to("a", 0, "engines"), to("b", 2, "engines"), to("c", 2, "orders"), to("d", 2, "orders")}})
		Expect(t.RanksRequests("engines")).To(BeTrue())
		Expect(t.RanksRequests("orders")).To(BeFalse())
		Expect(t.RanksRequests("unknown")).To(BeFalse())
	})

	It("is that of the account, if it has one", func() {
		c := routes.Config{
			Routes:   []routes.Route{to("a", 3, "s")},
			Accounts: []routes.Account{{Name: "first", Priority: &one}, {Name: "second"}},
		}
		t := routes.NewTable(c)
		Expect(t.Priority(&c.Routes[0], "first")).To(Equal(1))
		Expect(t.Priority(&c.Routes[0], "second")).To(Equal(3))
		Expect(t.Priority(&c.Routes[0], "")).To(Equal(3))
		Expect(t.RanksRequests("s")).To(BeTrue())
	})

	// Accounts that all have one priority hide the priorities of the routes.
	It("does not differ where all accounts have the same one", func() {
		t := routes.NewTable(routes.Config{
			Routes:   []routes.Route{to("a", 3, "s"), to("b", 4, "s")},
			Accounts: []routes.Account{{Name: "first", Priority: &one}, {Name: "second", Priority: &one}},
		})
		Expect(t.RanksRequests("s")).To(BeFalse())
	})
})
