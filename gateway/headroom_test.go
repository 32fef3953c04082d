package gateway

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/directory"
	"github.com/gooseberryroad/gooseberryroad/failover"
	"github.com/gooseberryroad/gooseberryroad/placement"
	"github.com/gooseberryroad/gooseberryroad/retrybudget"
	"github.com/gooseberryroad/gooseberryroad/routes"
)

// newSearchingGateway returns a gateway whose retry budget is used up.
func newSearchingGateway() *Gateway {
	return New(Options{
		Name: "d", Directory: directory.NewFollower(directory.Options{}), Rand: rand.New(rand.NewPCG(1, 2)),
		Budget: retrybudget.Options{Window: 10 * time.Second},
	})
}

// newSearchingStream returns a stream that lost its engine after some events; 0 is none.
func newSearchingStream(g *Gateway, priority int, events int64) *stream {
	r := &request{Call: &Call{}, service: "s", engine: &routes.Engine{}, route: &routes.Route{Name: "r", TargetLatency: 4 * time.Second},
		priority: priority, sendsPriority: true, arrivedAt: time.Now(), deadline: time.Now().Add(time.Minute)}
	s := &stream{g: g, r: r, state: failover.New(failover.Options{}), lastEventID: events}
	s.search = &headroomSearch{s: s}
	s.attemptTracker.Attempted(true)
	if events > 0 {
		s.headSent.Store(true)
		s.lastEventAt = time.Now()
	}
	return s
}

// Guards against a stream with much work done that is cut because others took the retries that
// the budget allows. Load: three streams that lost their engines, and one retry for all.
func TestRetriesByPriorityAndWork(t *testing.T) {
	o := NewWithT(t)
	g := newSearchingGateway()
	waiting := func() int {
		g.mu.Lock()
		defer g.mu.Unlock()
		if l := g.lines["s"]; l != nil {
			return l.Len()
		}
		return 0
	}
	streams := []*stream{newSearchingStream(g, 0, 0), newSearchingStream(g, 0, 5), newSearchingStream(g, 0, 50)}
	granted := make(chan int, len(streams))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i, s := range streams {
		go func() {
			if s.awaitRetryBudget(ctx) {
				granted <- i
				return
			}
			granted <- -1
		}()
		o.Eventually(waiting).Should(Equal(i + 1))
	}
	g.SetRetryBudget(retrybudget.Options{Slack: 2, Window: 10 * time.Second})
	o.Eventually(granted).Should(Receive(Equal(2)))
	cancel()
	o.Eventually(granted).Should(Receive(Equal(-1)))
	o.Eventually(granted).Should(Receive(Equal(-1)))
	o.Eventually(waiting).Should(BeZero())
	o.Expect(g.lines).To(BeEmpty())
}

// Guards against estimates for services that do not ask for them, and against a service that is
// treated differently for ever after one report with a pace.
func TestServicesWithHeadroom(t *testing.T) {
	o := NewWithT(t)
	g := newSearchingGateway()
	r := newSearchingStream(g, 0, 0).r
	o.Expect(g.usesHeadroom(r)).To(BeTrue())
	r.sendsPriority = false
	o.Expect(g.usesHeadroom(r)).To(BeFalse())
	g.recordPace("s", placement.Load{Running: 1, Slots: 8})
	o.Expect(g.usesHeadroom(r)).To(BeFalse())
	g.recordPace("s", placement.Load{Pace: 90})
	o.Expect(g.usesHeadroom(r)).To(BeTrue())
	g.mu.Lock()
	o.Expect(g.paced("s", time.Now().Add(pacedFor))).To(BeFalse())
	g.mu.Unlock()
	r.route.TargetLatency = 0
	o.Expect(g.usesHeadroom(r)).To(BeFalse(), "without an objective")
	r.route.TargetLatency, r.engine = time.Second, nil
	o.Expect(g.usesHeadroom(r)).To(BeFalse(), "without engines")
}
