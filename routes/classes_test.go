package routes_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/routes"
)

var _ = Describe("Classes of requests", func() {
	// Guards against daemons that shed the urgent requests of a service because they have not
	// seen its other requests, and against classes of streams or of routes without traffic.
	It("are those of the routes to a service and of the accounts with a priority", func() {
		seven := 7
		to := func(kind routes.Kind, priority, weight int) routes.Route {
			return routes.Route{Kind: kind, Priority: priority, TargetLatency: 200 * time.Millisecond, Shares: []routes.Share{{Service: "s", Weight: weight}}}
		}
		t := routes.NewTable(routes.Config{
			Routes: []routes.Route{
				to(routes.NonIdempotent, 2, 1), to(routes.Idempotent, 2, 1), to(routes.Idempotent, 2, 3), to(routes.Stream, 1, 1), to(routes.Idempotent, 4, 0),
			},
			Accounts: []routes.Account{{Name: "a", Priority: &seven}, {Name: "b"}},
		})
		class := func(priority int, repeatable bool) routes.RequestClass {
			return routes.RequestClass{Priority: priority, Repeatable: repeatable, TargetLatency: 200 * time.Millisecond}
		}
		// The ranks of requests for s are 1 and 2 of the routes without an account, and 7 with one
		// of each.
		Expect(t.RequestClasses("s")).To(ConsistOf(class(1, false), class(3, false), class(1, true), class(3, true)))
		Expect(t.RequestClasses("other")).To(BeEmpty())
	})
})
