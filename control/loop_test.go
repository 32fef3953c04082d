package control_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/control"
	"github.com/gooseberryroad/gooseberryroad/engine"
	"github.com/gooseberryroad/gooseberryroad/node"
	"github.com/gooseberryroad/gooseberryroad/revision"
	"github.com/gooseberryroad/gooseberryroad/store"
)

func TestControl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "control")
}

const text = `[service]
name = tags
team = registro
model = m
[versions]
serving = v1
[upstream.e1]
address = 127.0.0.1:1
datacentre = dc1
region = r
version = v1
`

// listed is one List call as the fake store sees it.
type listed struct {
	client int
	prefix string
	index  uint64
	ctx    context.Context
	answer chan listAnswer
}

type listAnswer struct {
	entries []store.Entry
	index   uint64
	err     error
}

// silentStore answers no read; the watches under test use OpenStore.
type silentStore struct{ store.Store }

func (silentStore) Get(context.Context, string) (store.Entry, error) {
	return store.Entry{}, store.ErrUnavailable
}

// fakeStore hands each List call to the test. Each client stands for one
// connection.
type fakeStore struct {
	store.Store
	client int
	calls  chan listed
	closed chan int
}

func (f *fakeStore) List(ctx context.Context, prefix string, index uint64, _ time.Duration) ([]store.Entry, uint64, error) {
	call := listed{f.client, prefix, index, ctx, make(chan listAnswer, 1)}
	select {
	case f.calls <- call:
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
	select {
	case a := <-call.answer:
		return a.entries, a.index, a.err
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

func (f *fakeStore) Close() error { f.closed <- f.client; return nil }

type fakeEngine struct {
	engine.Client
	polls chan string
}

func (f *fakeEngine) Load(_ context.Context, addr string) (engine.Load, error) {
	f.polls <- addr
	return engine.Load{Incarnation: "i1", Running: 4}, nil
}

// clock is a virtual clock; the loop's ticks are sent by the test.
type clock struct {
	mu    sync.Mutex
	now   time.Time
	ticks chan time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	for ; d > 0; d -= node.TickInterval {
		c.mu.Lock()
		c.now = c.now.Add(node.TickInterval)
		now := c.now
		c.mu.Unlock()
		c.ticks <- now
	}
}

var _ = Describe("Loop", func() {
	var (
		c      *clock
		calls  chan listed
		closed chan int
		eng    *fakeEngine
		loop   *control.Loop
		run    func()
		set    *metrics.Set
	)
	BeforeEach(func() {
		c = &clock{now: time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC), ticks: make(chan time.Time)}
		calls, closed = make(chan listed, 64), make(chan int, 64)
		eng = &fakeEngine{polls: make(chan string, 1024)}
		var mu sync.Mutex
		clients := 0
		set = metrics.NewSet()
		loop = control.New(control.Options{
			Metrics: set,
			Node:    node.Options{Name: "d1", DataCentre: "dc1", Rand: rand.New(rand.NewPCG(1, 0))},
			Store:   silentStore{},
			OpenStore: func() (store.Store, error) {
				mu.Lock()
				defer mu.Unlock()
				clients++
				return &fakeStore{client: clients, calls: calls, closed: closed}, nil
			},
			Engine: func(string) (engine.Client, error) { return eng, nil },
			Now:    c.Now, Ticks: c.ticks, QueueSize: 64,
		})
		run = func() {
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				defer GinkgoRecover()
				defer close(done)
				Expect(loop.Run(ctx)).To(Succeed())
			}()
			DeferCleanup(func() {
				cancel()
				Eventually(done).Should(BeClosed())
			})
		}
	})

	config := func() listed {
		for {
			var call listed
			Eventually(calls).Should(Receive(&call))
			if call.prefix == revision.Prefix {
				return call
			}
		}
	}
	doc := func(index uint64) []store.Entry {
		return []store.Entry{{Key: "config/tags", Index: index, Value: revision.Envelope{Team: "registro", Document: text}.Encode()}}
	}

	It("publishes documents from the store and polls their upstreams", func() {
		run()
		call := config()
		Expect(call.index).To(BeZero())
		call.answer <- listAnswer{doc(5), 5, nil}
		Eventually(func() *node.ServiceView { return loop.Snapshot().Services["tags"] }).ShouldNot(BeNil())
		Expect(loop.Snapshot().Services["tags"].Shares).To(Equal(map[string]float64{"v1": 1}))
		c.advance(node.TickInterval)
		Eventually(eng.polls).Should(Receive(Equal("127.0.0.1:1")))
		Eventually(func() node.UpstreamState {
			c.advance(node.TickInterval)
			return loop.Snapshot().Services["tags"].Upstreams[0].State
		}).Should(Equal(node.UpstreamAlive))
		Expect(loop.Events().List("service/tags", 0)).NotTo(BeEmpty())
		By("the watch goes on at the index of the list, on the same connection")
		next := config()
		Expect(next.index).To(Equal(uint64(5)))
		Expect(next.client).To(Equal(call.client))
	})

	// Guards against a daemon that waits for ever on a connection that went
	// silent while new ones work.
	It("gives up a watch that returns nothing and opens it again on a new connection", func() {
		run()
		first := config()
		c.advance(2*time.Second + 2*node.TickInterval)
		second := config()
		Expect(second.client).NotTo(Equal(first.client))
		Eventually(first.ctx.Done()).Should(BeClosed())
		second.answer <- listAnswer{doc(5), 5, nil}
		Eventually(func() *node.ServiceView { return loop.Snapshot().Services["tags"] }).ShouldNot(BeNil())
		Eventually(closed).Should(Receive(Equal(first.client)))
	})

	// Guards against a traffic goroutine that blocks on the control goroutine,
	// and against a drop that nobody sees.
	It("drops events when its queue is full and counts them", func() {
		for i := range 64 {
			Expect(loop.Post(node.DrainRequested{})).To(BeTrue(), fmt.Sprint(i))
		}
		Expect(loop.Post(node.DrainRequested{})).To(BeFalse())
		Expect(set.GetOrCreateCounter("gooseberryroad_control_events_dropped_total").Get()).To(Equal(uint64(1)))
		run()
		Eventually(func() bool { return loop.Snapshot().Draining }).Should(BeTrue())
	})
})

var _ = Describe("Ring", func() {
	It("keeps the last events and selects by subject and sequence", func() {
		r := control.NewRing(3)
		for i := range 5 {
			r.Add(time.Time{}, fmt.Sprint("s", i%2), fmt.Sprint(i))
		}
		Expect(r.List("", 0)).To(HaveLen(3))
		Expect(r.List("s0", 0)).To(HaveLen(2))
		Expect(r.List("", 4)).To(HaveExactElements(HaveField("Text", "4")))
	})
})
