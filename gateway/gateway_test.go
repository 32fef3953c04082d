package gateway

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/drain"
	"github.com/gooseberryroad/gooseberryroad/placement"
	"github.com/gooseberryroad/gooseberryroad/registry"
	"github.com/gooseberryroad/gooseberryroad/routes"
	"github.com/gooseberryroad/gooseberryroad/sse"
	"github.com/gooseberryroad/gooseberryroad/upstream"
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
		func(clientTimeout, routeTimeout, want time.Duration) {
			Expect(deadline(clientTimeout, routeTimeout, now)).To(Equal(now.Add(want - replyMargin)))
		},
		ginkgo.Entry("client", 2*time.Second, 3*time.Second, 2*time.Second),
		ginkgo.Entry("route", 5*time.Second, 3*time.Second, 3*time.Second),
		ginkgo.Entry("route without timeout", 5*time.Second, time.Duration(0), 5*time.Second),
		ginkgo.Entry("client without timeout", time.Duration(0), 3*time.Second, 3*time.Second),
		ginkgo.Entry("neither", time.Duration(0), time.Duration(0), defaultTimeout),
	)

	// Guards against clients that wait for a daemon that never becomes ready.
	ginkgo.It("is held at a starting daemon for a small part of its client's time", func() {
		Expect(startHold(1200 * time.Millisecond)).To(Equal(100 * time.Millisecond))
		Expect(startHold(0)).To(BeZero())
		Expect(startHold(time.Hour)).To(Equal(2 * time.Second))
	})

	// Guards against a stop that cuts requests, and against streams that are
	// admitted although the stop will cut them.
	ginkgo.It("ends before the daemon stops, or is refused as not run", func() {
		plan := &drain.Plan{Began: now, Grace: 8 * time.Second}
		late := now.Add(5 * time.Second)
		short := &request{Call: &Call{}, route: &routes.Route{Kind: routes.NonIdempotent}, deadline: late.Add(time.Minute)}
		Expect(short.admitWhileDraining(plan, 300*time.Millisecond, late)).To(BeNil())
		Expect(short.deadline).To(Equal(plan.AnswerBy()))
		Expect(plan.AnswerBy()).To(BeTemporally("<", plan.Deadline()), "connections are cut at the deadline")
		long := &request{Call: &Call{}, route: &routes.Route{Kind: routes.Stream}}
		refused := long.admitWhileDraining(plan, 300*time.Millisecond, late)
		Expect(refused.outcome()).To(Equal("not_run"))
		Expect(refused.retryAfter).To(BeNumerically(">", 0))
	})

	// Guards against orders that are sent to an upstream so late in a stop that their
	// outcome is not known at its end.
	ginkgo.It("is refused late in a stop when requests of its route usually take longer than the rest", func() {
		plan := &drain.Plan{Began: now, Grace: 8 * time.Second}
		order := &request{Call: &Call{}, route: &routes.Route{Kind: routes.NonIdempotent}, deadline: now.Add(time.Minute)}
		Expect(order.admitWhileDraining(plan, 2*time.Second, plan.AnswerBy().Add(-4*time.Second))).To(BeNil())
		refused := order.admitWhileDraining(plan, 2*time.Second, plan.AnswerBy().Add(-4*time.Second+time.Millisecond))
		Expect(refused.outcome()).To(Equal("not_run"))
		Expect(order.admitWhileDraining(plan, time.Minute, now.Add(time.Second))).To(BeNil(), "the balancer has not noticed the stop")
	})

	// Guards against different contents with the same hash, and against a content
	// whose hash differs at another daemon or in another attempt of the client.
	ginkgo.It("has the same content hash as another only if account, method, host, target, prompt part and body are equal", func() {
		of := func(change func(*request)) string {
			r := &request{Call: &Call{ID: "1", Method: "POST", Host: "h", Target: "/a", PromptPartID: "p", Body: []byte("b")}, account: "x"}
			change(r)
			return r.contentHash().String()
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

var _ = ginkgo.Describe("A search for an upstream", func() {
	g := &Gateway{rnd: rand.New(rand.NewPCG(1, 2)), tracker: placement.NewTracker("a", rand.New(rand.NewPCG(1, 2)))}
	search := func(left time.Duration) *upstreamSearch {
		r := &request{Call: &Call{}, route: &routes.Route{TargetLatency: 300 * time.Millisecond}, deadline: time.Now().Add(left)}
		return &upstreamSearch{g: g, r: r, stopReason: "no_upstream"}
	}

	// Guards against a promise that a request has not run when it may have.
	ginkgo.It("promises that a request has not run only if that is known", func() {
		t := search(time.Second)
		t.outcomeUnknown = true
		Expect(t.refusal().status).To(Equal(http.StatusBadGateway))
		Expect(t.refusal().outcome()).To(Equal("unknown"))
		t = search(0)
		t.outcomeUnknown = true
		Expect(t.refusal().status).To(Equal(http.StatusGatewayTimeout))
		Expect(t.refusal().outcome()).To(Equal("unknown"))
		refused := search(time.Second).refusal()
		Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.outcome()).To(Equal("not_run"))
	})

	// Guards against a client that is told that the outcome is unknown at the end of a stop,
	// although its request was still waiting for a connection.
	ginkgo.It("knows that a request has not run that was cancelled before it was sent", func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		g := New(Options{Logger: slog.New(slog.DiscardHandler), Rand: rand.New(rand.NewPCG(1, 2))})
		for err, want := range map[error]string{
			errors.Join(upstream.ErrNotSent, context.Canceled): "not_run",
			context.Canceled: "unknown",
		} {
			t := search(time.Second)
			t.g, t.excluded = g, map[string]bool{}
			v := verdictOfError(ctx, err)
			Expect(v).To(Equal(verdictCanceled))
			t.recordAttempt(registry.Instance{ID: "a"}, v, err, time.Now())
			Expect(t.refusal().outcome()).To(Equal(want))
		}
	})

	// Guards against clients that were refused together and return together, and
	// against a Retry-After beyond the latency objective.
	ginkgo.It("gives refused clients different Retry-After times within the latency objective", func() {
		seen := map[time.Duration]bool{}
		for range 50 {
			after := search(time.Second).refusal().retryAfter
			Expect(after).To(And(BeNumerically(">=", 75*time.Millisecond), BeNumerically("<=", 225*time.Millisecond)))
			seen[after.Truncate(10*time.Millisecond)] = true
		}
		Expect(len(seen)).To(BeNumerically(">", 8))
	})

	// Guards against a non-repeatable request that abandons its upstream early, and
	// against an idempotent one that leaves no time for another upstream.
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

// zeros is a body that does not end.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) { clear(b); return len(b), nil }

var _ = ginkgo.Describe("A response body", func() {
	// Guards against an upstream in trouble that sends a body without end: the daemon
	// would be killed because it uses too much memory.
	ginkgo.It("is given up if it does not end or does not fit into the memory", func() {
		l := byteLimiter{limit: 40 << 20}
		_, reserved, err := l.readResponse(zeros{})
		Expect(err).To(HaveOccurred())
		Expect(reserved).To(BeNumerically("<=", 2*maxResponseBytes))
		_, more, err := l.readResponse(zeros{})
		Expect(err).To(HaveOccurred())
		Expect(l.held.Load()).To(Equal(reserved + more))
		Expect(l.held.Load()).To(BeNumerically("<=", l.limit))
		l.release(reserved + more)
		l.limit = 100 << 10
		_, reserved, err = l.readResponse(zeros{})
		Expect(err).To(HaveOccurred())
		Expect(reserved).To(BeNumerically("<=", l.limit))
	})

	// Guards against sound responses that are given up or changed.
	ginkgo.It("is read whole up to the limit, and without a reservation when it is short", func() {
		l := byteLimiter{limit: 40 << 20}
		for _, size := range []int{0, 800, freeResponseBytes, freeResponseBytes + 1, 3*freeResponseBytes + 7, maxResponseBytes} {
			want := strings.Repeat("ab", size/2+1)[:size]
			b, reserved, err := l.readResponse(strings.NewReader(want))
			Expect(err).NotTo(HaveOccurred(), "size %d", size)
			Expect(string(b) == want).To(BeTrue(), "size %d", size)
			Expect(reserved > 0).To(Equal(size > freeResponseBytes), "size %d", size)
			l.release(reserved)
		}
		Expect(l.held.Load()).To(BeZero())
	})
})

var _ = ginkgo.Describe("Held bodies", func() {
	// Guards against a daemon that is killed because it uses too much memory.
	ginkgo.It("stay within the limit and are counted until they are released", func() {
		m := byteLimiter{limit: 100}
		Expect(m.reserve(60, m.limit)).To(BeTrue())
		Expect(m.reserve(60, m.limit)).To(BeFalse())
		m.release(60)
		Expect(m.reserve(60, m.limit)).To(BeTrue())
	})
})

var _ = ginkgo.Describe("The queue of a stream's events", func() {
	event := func(size int) runMessage {
		return runMessage{event: sse.RawEvent{ID: 1, Bytes: make([]byte, size)}}
	}
	fill := func(q *eventQueue, size int) (queued int) {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		for q.send(ctx, event(size)) {
			queued++
		}
		return queued
	}

	// Guards against a daemon that runs out of memory because an upstream sends large
	// events without end, more than the client reads.
	ginkgo.It("holds a bounded number of bytes, whatever the size of events", func() {
		for _, size := range []int{1, 800, 3000, 20 << 10, sse.MaxRawEventBytes} {
			queued := fill(newEventQueue(), size)
			Expect(queued).To(BeNumerically(">=", 1), "size %d", size)
			Expect(queued*size).To(BeNumerically("<=", sse.MaxRawEventBytes), "size %d", size)
		}
		Expect(fill(newEventQueue(), 800)).To(Equal(maxQueuedEvents), "ordinary events are read ahead")
	})

	ginkgo.It("takes more when messages are taken, and the end of a run at any time", func() {
		q := newEventQueue()
		for range 3 * maxQueuedEvents {
			Expect(q.send(context.Background(), event(sse.MaxRawEventBytes))).To(BeTrue())
			Expect(q.send(context.Background(), runMessage{end: true})).To(BeTrue())
			for range 2 {
				q.taken(<-q.messages)
			}
		}
	})
})
