package routes_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/routes"
)

var _ = Describe("Priority", func() {
	to := func(name string, priority int, service string) routes.Route {
		return routes.Route{Name: name, Priority: priority, Shares: []routes.Share{{Service: service, Weight: 1}}}
	}
	zero, one := 0, 1

	// A service whose requests all have the same priority must be served as if there were
	// no priorities.
	It("differs only within a service that has requests of several priorities", func() {
		t := routes.NewTable(routes.Config{
			Routes:   []routes.Route{to("a", 0, "engines"), to("b", 2, "engines"), to("c", 2, "others"), to("d", 2, "others")},
			Services: []routes.Service{{Name: "engines", Engine: &routes.Engine{}}, {Name: "others", Engine: &routes.Engine{}}},
		})
		Expect(t.RanksRequests("engines")).To(BeTrue())
		Expect(t.RanksRequests("others")).To(BeFalse())
		Expect(t.RanksRequests("unknown")).To(BeFalse())
		Expect(t.RanksStreams()).To(BeTrue())
	})

	// Routes that are configured and not used have the most urgent priority where the operators
	// state none, so a difference between routes of a plain service says nothing.
	It("differs only for services of engines", func() {
		t := routes.NewTable(routes.Config{
			Routes:   []routes.Route{to("unused", 0, "orders"), to("order", 2, "orders")},
			Services: []routes.Service{{Name: "orders"}},
		})
		Expect(t.RanksRequests("orders")).To(BeFalse())
		Expect(t.RanksStreams()).To(BeFalse())
	})

	// Where all accounts have a priority, those of the routes must still order requests, and a
	// request of an urgent account goes before all others.
	It("orders requests by the account first and by the route among equal accounts", func() {
		c := routes.Config{
			Routes: []routes.Route{to("urgent", 0, "s"), to("other", 2, "s"), to("elsewhere", 1, "t")},
			Accounts: []routes.Account{
				{Name: "first", Priority: &zero}, {Name: "second", Priority: &one}, {Name: "third", Priority: &one},
			},
		}
		t := routes.NewTable(c)
		urgent, other, elsewhere := &c.Routes[0], &c.Routes[1], &c.Routes[2]
		Expect(t.Priority(urgent, "first")).To(Equal(0))
		Expect(t.Priority(other, "first")).To(BeNumerically(">", t.Priority(urgent, "first")))
		Expect(t.Priority(urgent, "second")).To(BeNumerically(">", t.Priority(other, "first")))
		Expect(t.Priority(other, "second")).To(BeNumerically(">", t.Priority(urgent, "second")))
		Expect(t.Priority(other, "second")).To(Equal(t.Priority(other, "third")))
		Expect(t.Priority(elsewhere, "first")).To(Equal(0))
	})

	It("is that of the route without an account", func() {
		c := routes.Config{Routes: []routes.Route{to("a", 7, "s"), to("b", 3, "s")}}
		t := routes.NewTable(c)
		Expect(t.Priority(&c.Routes[1], "")).To(Equal(0))
		Expect(t.Priority(&c.Routes[0], "unknown")).To(Equal(1))
	})

	It("stays within the range that upstreams understand", func() {
		var c routes.Config
		for p := range 10 {
			c.Routes = append(c.Routes, to(fmt.Sprint(p), p, "s"))
		}
		c.Accounts = []routes.Account{{Name: "x", Priority: &one}}
		t := routes.NewTable(c)
		Expect(t.Priority(&c.Routes[9], "")).To(Equal(routes.MaxPriority))
	})

	// Accounts have priorities in deployments whose routes have one each, which must be served
	// as before.
	It("does not count accounts as a difference between requests", func() {
		t := routes.NewTable(routes.Config{
			Routes:   []routes.Route{to("a", 3, "s"), to("b", 3, "s")},
			Accounts: []routes.Account{{Name: "first", Priority: &zero}, {Name: "second", Priority: &one}},
		})
		Expect(t.RanksRequests("s")).To(BeFalse())
	})
})
