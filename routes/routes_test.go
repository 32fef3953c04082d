package routes_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/routes"
)

func TestRoutes(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "routes")
}

var _ = Describe("Table", func() {
	table := routes.NewTable(routes.Config{
		Version: 7,
		Routes: []routes.Route{
			{Name: "short", Host: "A.example", Prefix: "/a/"},
			{Name: "long", Host: "a.example", Prefix: "/a/b/"},
			{Name: "open", Host: "a.example", Prefix: "/open/", Anonymous: true},
			{Name: "other", Host: "b.example", Prefix: "/a/"},
		},
		Accounts: []routes.Account{{Name: "park", Keys: []string{"k1", "k2"}}},
	})

	match := func(host, path string) string {
		r, ok := table.Match(host, path)
		if !ok {
			return ""
		}
		return r.Name
	}

	// Guards against a request that reaches the service of a shorter prefix, of
	// another host, or of a path that only begins with the same letters.
	DescribeTable("finds the longest prefix of the host",
		func(host, path, want string) { Expect(match(host, path)).To(Equal(want)) },
		Entry("longest", "a.example", "/a/b/c", "long"),
		Entry("prefix itself", "a.example", "/a/b/", "long"),
		Entry("no slash after the prefix", "a.example", "/a/b", "short"),
		Entry("same letters", "a.example", "/a/bc", "short"),
		Entry("port and case", "A.Example:8080", "/a/x", "short"),
		Entry("other host", "b.example", "/a/b/c", "other"),
		Entry("unknown host", "c.example", "/a/b", ""),
		Entry("unknown path", "a.example", "/z/", ""),
		Entry("no path", "a.example", "", ""),
	)

	// Guards against a revoked or empty key that still finds an account.
	It("knows accounts by their keys only", func() {
		name, ok := table.Account("k2")
		Expect(ok).To(BeTrue())
		Expect(name).To(Equal("park"))
		for _, key := range []string{"", "k3", "park"} {
			_, ok := table.Account(key)
			Expect(ok).To(BeFalse(), key)
		}
	})

	It("needs an account unless the route is anonymous or there are no accounts", func() {
		closed, _ := table.Match("a.example", "/a/")
		open, _ := table.Match("a.example", "/open/")
		Expect(table.NeedsAccount(closed)).To(BeTrue())
		Expect(table.NeedsAccount(open)).To(BeFalse())
		Expect(routes.NewTable(routes.Config{}).NeedsAccount(closed)).To(BeFalse())
	})
})

var _ = Describe("ServesOnly", func() {
	engine := func(name string, models ...string) routes.Service {
		return routes.Service{Name: name, Engine: &routes.Engine{Models: models}}
	}

	// Guards against work for an engine of another service that has taken the
	// address of a crashed one.
	It("tells a service by a model that no other service has", func() {
		t := routes.NewTable(routes.Config{Services: []routes.Service{
			engine("a", "m1", "shared"), engine("b", "m2", "shared"), {Name: "plain"},
		}})
		Expect(t.UniquelyServes("a", []string{"m1"})).To(BeTrue())
		Expect(t.UniquelyServes("a", []string{"shared"})).To(BeFalse())
		Expect(t.UniquelyServes("a", []string{"m2"})).To(BeFalse())
		Expect(t.UniquelyServes("plain", []string{"m1"})).To(BeFalse())
		Expect(t.UniquelyServes("a", nil)).To(BeFalse())
	})
})

var _ = Describe("Route", func() {
	// Guards against a split whose last part gets nothing or whose weight of zero
	// gets requests.
	It("splits by weight", func() {
		r := routes.Route{Shares: []routes.Share{{Service: "a", Weight: 9}, {Service: "none"}, {Service: "b", Weight: 1}}}
		counts := map[string]int{}
		for i := range 1000 {
			counts[r.Choose(float64(i)/1000)]++
		}
		Expect(counts).To(Equal(map[string]int{"a": 900, "b": 100}))
	})

	// Guards against a stream that may not be resumed and runs twice.
	It("repeats idempotent requests and resumable streams only", func() {
		Expect((&routes.Route{Kind: routes.Idempotent}).Repeatable()).To(BeTrue())
		Expect((&routes.Route{Kind: routes.Stream, Resumable: true}).Repeatable()).To(BeTrue())
		Expect((&routes.Route{Kind: routes.Stream}).Repeatable()).To(BeFalse())
		Expect((&routes.Route{Kind: routes.NonIdempotent, Resumable: true}).Repeatable()).To(BeFalse())
		Expect((&routes.Route{Timeout: time.Second}).Repeatable()).To(BeFalse())
	})
})
