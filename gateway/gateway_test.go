package gateway

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/drain"
	"github.com/gooseberryroad/gooseberryroad/placement"
	"github.com/gooseberryroad/gooseberryroad/routes"
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "gateway")
}

var _ = ginkgo.Describe("A request", func() {
	now := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

	// Guards against upstreams that work for longer than the client or the operator
	// waits.
	ginkgo.DescribeTable("ends at the earlier of the client's deadline and the route's timeout",
		func(wait, timeout, want time.Duration) {
			Expect(deadline(wait, timeout, now)).To(Equal(now.Add(want - replyMargin)))
		},
		ginkgo.Entry("client", 2*time.Second, 3*time.Second, 2*time.Second),
		ginkgo.Entry("route", 5*time.Second, 3*time.Second, 3*time.Second),
		ginkgo.Entry("route without timeout", 5*time.Second, time.Duration(0), 5*time.Second),
		ginkgo.Entry("client that names no time", time.Duration(0), 3*time.Second, 3*time.Second),
		ginkgo.Entry("neither", time.Duration(0), time.Duration(0), defaultWait),
	)

	// Guards against a stop that cuts short requests or takes streams that it cuts.
	ginkgo.It("fits into what is left of a stop, or is refused as not run", func() {
		plan := &drain.Plan{Began: now, Grace: 8 * time.Second}
		late := now.Add(5 * time.Second)
		short := &request{Call: &Call{}, route: &routes.Route{Kind: routes.NonIdempotent}, deadline: late.Add(time.Minute)}
		Expect(short.fitInto(plan, late)).To(BeNil())
		Expect(short.deadline).To(Equal(plan.Deadline()))
		long := &request{Call: &Call{}, route: &routes.Route{Kind: routes.Stream}}
		refused := long.fitInto(plan, late)
		Expect(refused.outcome()).To(Equal("not_run"))
		Expect(refused.retryAfter).To(BeNumerically(">", 0))
	})

	// Guards against contents that are taken for one another, and one that is not
	// known again at another daemon or in another client attempt.
	ginkgo.It("has the same content as another with the same path, account and body only", func() {
		of := func(change func(*request)) string {
			r := &request{Call: &Call{ID: "1", Method: "POST", Host: "h", Target: "/a", PromptPartID: "p", Body: []byte("b")}, account: "x"}
			change(r)
			return r.content().String()
		}
		same := of(func(*request) {})
		Expect(of(func(r *request) { r.ID, r.LastEventID, r.Key = "2", 5, "another key" })).To(Equal(same))
		for _, change := range []func(*request){
			func(r *request) { r.account = "y" }, func(r *request) { r.Target = "/b" }, func(r *request) { r.Body = []byte("c") },
			func(r *request) { r.Method = "PUT" }, func(r *request) { r.Host = "i" }, func(r *request) { r.PromptPartID = "q" },
		} {
			Expect(of(change)).NotTo(Equal(same))
		}
	})
})

var _ = ginkgo.Describe("The end of a search for an upstream", func() {
	g := &Gateway{rnd: rand.New(rand.NewPCG(1, 2)), board: placement.NewTracker("a", rand.New(rand.NewPCG(1, 2)))}
	search := func(left time.Duration) *tries {
		r := &request{Call: &Call{}, route: &routes.Route{TargetLatency: 300 * time.Millisecond}, deadline: time.Now().Add(left)}
		return &tries{g: g, r: r, stopped: "no_upstream"}
	}

	// Guards against a promise that a request has not run when it may have.
	ginkgo.It("promises that a request has not run only if that is known", func() {
		t := search(time.Second)
		t.unknown = true
		Expect(t.refusal().status).To(Equal(http.StatusBadGateway))
		Expect(t.refusal().outcome()).To(Equal("unknown"))
		t = search(0)
		t.unknown = true
		Expect(t.refusal().status).To(Equal(http.StatusGatewayTimeout))
		Expect(t.refusal().outcome()).To(Equal("unknown"))
		refused := search(time.Second).refusal()
		Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.outcome()).To(Equal("not_run"))
	})

	// Guards against clients that were refused together and come back together, and
	// against a Retry-After beyond the latency objective.
	ginkgo.It("spreads the return of refused clients within the latency objective", func() {
		seen := map[time.Duration]bool{}
		for range 50 {
			after := search(time.Second).refusal().retryAfter
			Expect(after).To(And(BeNumerically(">=", 75*time.Millisecond), BeNumerically("<=", 225*time.Millisecond)))
			seen[after.Truncate(10*time.Millisecond)] = true
		}
		Expect(len(seen)).To(BeNumerically(">", 8))
	})

	// Guards against a request that may not be repeated and leaves its upstream
	// early, and an idempotent one that leaves another upstream no time.
	ginkgo.It("leaves time for another upstream only if the request may be repeated", func() {
		t := search(2 * time.Second)
		t.r.route.Kind, t.r.route.MaxAttempts = routes.NonIdempotent, 2
		Expect(t.timeout()).To(BeNumerically("~", 2*time.Second, 100*time.Millisecond))
		t.r.route.Kind = routes.Idempotent
		Expect(t.timeout()).To(BeNumerically("~", 800*time.Millisecond, 100*time.Millisecond))
		t.runs = 1
		Expect(t.timeout()).To(BeNumerically("~", 2*time.Second, 100*time.Millisecond))
	})
})

var _ = ginkgo.Describe("Held bodies", func() {
	// Guards against a daemon that is killed for its memory.
	ginkgo.It("stay within their bound, and are counted until they are released", func() {
		m := memory{limit: 100}
		Expect(m.reserve(60)).To(BeTrue())
		Expect(m.reserve(60)).To(BeFalse())
		m.release(60)
		Expect(m.reserve(60)).To(BeTrue())
	})
})
