package plain_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/gooseberryroad/gooseberryroad/claim"
	"github.com/gooseberryroad/gooseberryroad/document"
	"github.com/gooseberryroad/gooseberryroad/node"
	"github.com/gooseberryroad/gooseberryroad/plain"
	"github.com/gooseberryroad/gooseberryroad/quarantine"
	"github.com/gooseberryroad/gooseberryroad/store"
)

func TestPlain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "plain")
}

// memStore is an in-memory store. If fault is set, it is called for each operation
// with its name and number; err replaces the result, and applied is whether the
// write takes effect.
type memStore struct {
	mu      sync.Mutex
	entries map[string]store.Entry
	index   uint64
	calls   int
	fault   func(op string, n int) (err error, applied bool)
}

func newMemStore() *memStore { return &memStore{entries: map[string]store.Entry{}} }

func (s *memStore) injectFault(op string) (error, bool) {
	s.calls++
	if s.fault == nil {
		return nil, true
	}
	return s.fault(op, s.calls)
}

func (s *memStore) Get(_ context.Context, key string) (store.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err, _ := s.injectFault("get"); err != nil {
		return store.Entry{}, err
	}
	e, ok := s.entries[key]
	if !ok {
		return store.Entry{}, store.ErrNotFound
	}
	return e, nil
}

func (s *memStore) List(_ context.Context, prefix string, _ uint64, _ time.Duration) ([]store.Entry, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []store.Entry
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, s.index, nil
}

func (s *memStore) CompareAndSwap(_ context.Context, key string, value []byte, index uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	err, applied := s.injectFault("cas")
	if applied {
		if s.entries[key].Index != index {
			if err == nil {
				err = store.ErrConflict
			}
			return 0, err
		}
		s.index++
		s.entries[key] = store.Entry{Key: key, Value: value, Index: s.index}
	}
	if err != nil {
		return 0, err
	}
	return s.index, nil
}

func (s *memStore) Txn(_ context.Context, ops []store.Op) ([]store.OpResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	err, applied := s.injectFault("txn")
	res := make([]store.OpResult, len(ops))
	if !applied {
		return nil, err
	}
	conflict := false
	for i, op := range ops {
		if s.entries[op.Key].Index != op.Index {
			res[i].Conflict, conflict = true, true
		}
	}
	if conflict && err == nil {
		return res, store.ErrConflict
	}
	if !conflict {
		for i, op := range ops {
			s.index++
			res[i].Index = s.index
			s.entries[op.Key] = store.Entry{Key: op.Key, Value: op.Value, Index: s.index}
		}
	}
	return res, err
}

// fixture is a handler that is served by an HTTP server and forwards to HTTP
// upstreams.
type fixture struct {
	store     *memStore
	snap      atomic.Pointer[node.Snapshot]
	handler   *plain.Handler
	server    *httptest.Server
	transport *http.Transport
	// callerGone receives a value when the server notices that a caller has
	// disconnected.
	callerGone chan struct{}
	mu         sync.Mutex
	results    []plain.Result
}

const shopDocument = `
[service]
name = shop
team = bertolasi
kind = plain
[versions]
serving = v1
[route.order]
path = /orders
methods = POST
timeout = 2s
[route.touch]
path = /touch
methods = GET
timeout = 2s
[route.catalogue]
path = /catalogue/*
idempotent = true
timeout = 2s
[account.apiary]
key_sha256 = KEY
[limits]
max_body_bytes = 2048
`

func newFixture(change func(*plain.Options), upstreams ...string) *fixture {
	f := &fixture{store: newMemStore(), transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	doc, problems := document.Parse("shop", []byte(strings.ReplaceAll(shopDocument, "KEY", document.HashKey("secret"))))
	Expect(problems).To(BeEmpty())
	view := &node.ServiceView{Doc: doc, Shares: map[string]float64{"v1": 1}}
	for i, address := range upstreams {
		u := document.Upstream{Name: fmt.Sprintf("u%d", i), Address: address, Version: "v1", DataCentre: "dc1"}
		view.Upstreams = append(view.Upstreams, node.UpstreamView{Upstream: u, State: node.UpstreamAlive})
	}
	f.snap.Store(&node.Snapshot{Services: map[string]*node.ServiceView{"shop": view}, StoreReachable: true})
	var nonce atomic.Int64
	o := plain.Options{
		Snapshot: f.snap.Load, Store: f.store, Transport: f.transport, Seed: 1, Daemon: "d1",
		Nonce:   func() string { return fmt.Sprintf("nonce-%d", nonce.Add(1)) },
		Metrics: metrics.NewSet(),
		OnResult: func(r plain.Result) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.results = append(f.results, r)
		},
	}
	if change != nil {
		change(&o)
	}
	f.handler = plain.New(o)
	f.callerGone = make(chan struct{}, 1)
	f.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		stop := context.AfterFunc(r.Context(), func() {
			select {
			case f.callerGone <- struct{}{}:
			default:
			}
		})
		defer stop()
		f.handler.ServeHTTP(w, r)
	}))
	DeferCleanup(func() {
		f.server.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		Expect(f.handler.Drain(ctx)).To(Succeed())
		f.transport.CloseIdleConnections()
	})
	return f
}

// recordedResults returns the results of all attempts so far.
func (f *fixture) recordedResults() []plain.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]plain.Result(nil), f.results...)
}

type response struct {
	status  int
	header  http.Header
	body    string
	code    string
	outcome string
}

func (f *fixture) call(method, path, body string, header ...string) (response, error) {
	req, err := http.NewRequest(method, f.server.URL+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer secret")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	a := response{status: resp.StatusCode, header: resp.Header, body: string(b)}
	var e struct {
		Error struct{ Code, Outcome string }
	}
	if json.Unmarshal(b, &e) == nil {
		a.code, a.outcome = e.Error.Code, e.Error.Outcome
	}
	return a, err
}

func (f *fixture) mustCall(method, path, body string, header ...string) response {
	GinkgoHelper()
	a, err := f.call(method, path, body, header...)
	Expect(err).NotTo(HaveOccurred())
	return a
}

// newUpstream starts an upstream that serves h and counts its requests.
func newUpstream(h http.HandlerFunc) (address string, count *atomic.Int64) {
	count = &atomic.Int64{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		h(w, r)
	}))
	DeferCleanup(s.Close)
	return s.Listener.Addr().String(), count
}

// closedAddress returns an address where nothing listens.
func closedAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func createOrder(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	w.Header().Set("X-Order", "17")
	w.WriteHeader(http.StatusCreated)
	_, _ = fmt.Fprintf(w, "ordered %s", b)
}

func breakConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

var _ = Describe("a non-idempotent route", func() {
	// Guards promise P6 of docs/proof.md (at most one run per key): the second call
	// must not reach the upstream.
	It("runs once per key and replays the outcome", func() {
		address, count := newUpstream(createOrder)
		f := newFixture(nil, address)
		a := f.mustCall("POST", "/services/shop/orders", "honey", "Idempotency-Key", "k1")
		Expect(a.status).To(Equal(201))
		Expect(a.body).To(Equal("ordered honey"))
		Eventually(func() string {
			a = f.mustCall("POST", "/services/shop/orders", "honey", "Idempotency-Key", "k1")
			return a.header.Get(plain.HeaderReplayed)
		}).Should(Equal("true"))
		Expect(a.status).To(Equal(201))
		Expect(a.body).To(Equal("ordered honey"))
		Expect(a.header.Get("X-Order")).To(Equal("17"))
		Expect(count.Load()).To(Equal(int64(1)))

		a = f.mustCall("POST", "/services/shop/orders", "wax", "Idempotency-Key", "k1")
		Expect(a.status).To(Equal(422))
		Expect(a.outcome).To(Equal("not_run"))
		a = f.mustCall("POST", "/services/shop/orders", "wax")
		Expect(a.status).To(Equal(400))
		Expect(a.outcome).To(Equal("not_run"))
		Expect(a.body).To(ContainSubstring(plain.HeaderIdempotencyKey))
		Expect(count.Load()).To(Equal(int64(1)))
	})

	// Guards promise P6 (at most one run per key) with concurrent calls.
	It("runs once when many calls with the same key arrive at the same time", func() {
		address, count := newUpstream(createOrder)
		f := newFixture(nil, address)
		var wg sync.WaitGroup
		statuses := make([]int, 20)
		for i := range statuses {
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer GinkgoRecover()
				statuses[i] = f.mustCall("POST", "/services/shop/orders", "honey", "Idempotency-Key", "k1").status
			}()
		}
		wg.Wait()
		Expect(statuses).To(HaveEach(201))
		Expect(count.Load()).To(Equal(int64(1)))
	})

	// Guards promise P6 (at most one run per key): after a lost reply, the call
	// must not be retried on another upstream, and a repeated call must not run.
	It("is refused with may_have_run when the reply is lost, and never runs again", func() {
		a1, c1 := newUpstream(breakConnection)
		a2, c2 := newUpstream(breakConnection)
		f := newFixture(nil, a1, a2)
		for range 2 {
			a := f.mustCall("POST", "/services/shop/orders", "honey", "Idempotency-Key", "k1", "X-Request-Timeout-Ms", "300")
			Expect(a.outcome).To(Equal("may_have_run"))
		}
		Expect(c1.Load() + c2.Load()).To(Equal(int64(1)))
	})

	// Guards against a reply whose upstream stopped in the middle of its head or body and
	// that reaches the caller as a whole one.
	It("is refused with may_have_run wherever the reply is cut off", func() {
		for _, reply := range []string{
			"HTTP/1.1 201 Created\r\nX-Order: 17\r\nContent-Length: 7\r\n\r\nordered",
			"HTTP/1.1 201 Created\r\nX-Order: 17\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nordered\r\n0\r\n\r\n",
			"HTTP/1.1 201 Created\r\nX-Order: 17\r\nConnection: close\r\n\r\n",
		} {
			var sent atomic.Int64
			address, _ := newUpstream(func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					return
				}
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, reply[:sent.Load()])
				_ = c.Close()
			})
			f := newFixture(nil, address)
			for n := range int64(len(reply)) {
				sent.Store(n)
				a := f.mustCall("POST", "/services/shop/orders", "honey", "Idempotency-Key", fmt.Sprint("k", n), "X-Request-Timeout-Ms", "2000")
				Expect(a.outcome).To(Equal("may_have_run"), "%q", reply[:n])
				Expect(a.header.Get("X-Order")).To(BeEmpty(), "%q", reply[:n])
			}
			sent.Store(int64(len(reply)))
			Expect(f.mustCall("POST", "/services/shop/orders", "honey", "Idempotency-Key", "whole").status).To(Equal(201))
		}
	})

	// Guards promise P6 (at most one run per key) against net/http.Transport, which
	// repeats a request on its own when a reused connection breaks and the method
	// is GET or the header has an idempotency key.
	DescribeTable("is not repeated by the transport on a broken reused connection", func(method, path, body string) {
		var breaking atomic.Bool
		address, count := newUpstream(func(w http.ResponseWriter, r *http.Request) {
			if breaking.Load() {
				panic(http.ErrAbortHandler)
			}
			createOrder(w, r)
		})
		f := newFixture(nil, address)
		Expect(f.mustCall(method, path, body, "Idempotency-Key", "k1").status).To(Equal(201))
		breaking.Store(true)
		a := f.mustCall(method, path, body, "Idempotency-Key", "k2")
		Expect(a.outcome).To(Equal("may_have_run"))
		Expect(count.Load()).To(Equal(int64(2)), "one request for each key")
	},
		Entry("POST with a body", "POST", "/services/shop/orders", "honey"),
		Entry("POST without a body", "POST", "/services/shop/orders", ""),
		Entry("GET", "GET", "/services/shop/touch", ""),
	)

	// Guards promise P5 (not_run is true) and the release of the claim: the key
	// must stay usable.
	It("releases the claim when no upstream can be reached", func() {
		f := newFixture(nil, closedAddress(), closedAddress())
		a := f.mustCall("POST", "/services/shop/orders", "honey", "Idempotency-Key", "k1")
		Expect(a.status).To(Equal(503))
		Expect(a.code).To(Equal(claim.CodeUpstreamUnreachable))
		Expect(a.outcome).To(Equal("not_run"))
		address, count := newUpstream(createOrder)
		snap := *f.snap.Load()
		view := *snap.Services["shop"]
		view.Upstreams = []node.UpstreamView{{Upstream: document.Upstream{Name: "u9", Address: address, Version: "v1"}}}
		snap.Services = map[string]*node.ServiceView{"shop": &view}
		f.snap.Store(&snap)
		Expect(f.mustCall("POST", "/services/shop/orders", "honey", "Idempotency-Key", "k1").status).To(Equal(201))
		Expect(count.Load()).To(Equal(int64(1)))
	})

	It("tries another upstream while no byte was sent", func() {
		address, count := newUpstream(createOrder)
		f := newFixture(nil, closedAddress(), closedAddress(), address)
		Expect(f.mustCall("POST", "/services/shop/orders", "honey", "Idempotency-Key", "k1").status).To(Equal(201))
		Expect(count.Load()).To(Equal(int64(1)))
	})

	// Guards promise P5 (not_run is true) while the store is unreachable.
	It("is refused at once with not_run when the store is unreachable", func() {
		address, count := newUpstream(createOrder)
		f := newFixture(nil, address)
		f.store.fault = func(string, int) (error, bool) { return store.ErrUnavailable, false }
		a := f.mustCall("POST", "/services/shop/orders", "honey", "Idempotency-Key", "k1")
		Expect(a.status).To(Equal(503))
		Expect(a.outcome).To(Equal("not_run"))
		Expect(count.Load()).To(BeZero())
	})

	// Guards against taking a lost answer of the store for success or failure.
	DescribeTable("reads the record and runs once when the answer to the claim write is lost", func(applied bool) {
		address, count := newUpstream(createOrder)
		f := newFixture(nil, address)
		f.store.fault = func(op string, n int) (error, bool) {
			if n == 1 {
				return store.ErrUnknown, applied
			}
			return nil, true
		}
		Expect(f.mustCall("POST", "/services/shop/orders", "honey", "Idempotency-Key", "k1").status).To(Equal(201))
		Expect(count.Load()).To(Equal(int64(1)))
	}, Entry("and the write took effect", true), Entry("and it did not", false))

	// Guards promise P6 (at most one run per key) against treating an undecodable
	// record as absent.
	It("does not run when the record cannot be decoded", func() {
		address, count := newUpstream(createOrder)
		f := newFixture(nil, address)
		_, err := f.store.CompareAndSwap(context.Background(), claim.StoreKey("shop", "apiary", "k1"), []byte("?"), 0)
		Expect(err).NotTo(HaveOccurred())
		a := f.mustCall("POST", "/services/shop/orders", "honey", "Idempotency-Key", "k1")
		Expect(a.status).To(Equal(500))
		Expect(a.outcome).To(Equal("may_have_run"))
		Expect(count.Load()).To(BeZero())
	})

	// Guards against losing the outcome when the caller disconnects.
	It("records the outcome of a call whose caller has disconnected", func() {
		entered, leave := make(chan struct{}), make(chan struct{})
		address, count := newUpstream(func(w http.ResponseWriter, r *http.Request) {
			close(entered)
			<-leave
			createOrder(w, r)
		})
		f := newFixture(nil, address)
		ctx, cancel := context.WithCancel(context.Background())
		req, _ := http.NewRequestWithContext(ctx, "POST", f.server.URL+"/services/shop/orders", strings.NewReader("honey"))
		req.Header.Set("Authorization", "Bearer secret")
		req.Header.Set("Idempotency-Key", "k1")
		failed := make(chan error)
		go func() {
			_, err := http.DefaultClient.Do(req)
			failed <- err
		}()
		<-entered
		cancel()
		Expect(<-failed).To(HaveOccurred())
		Eventually(f.callerGone).Should(Receive())
		close(leave)
		a := f.mustCall("POST", "/services/shop/orders", "honey", "Idempotency-Key", "k1")
		Expect(a.status).To(Equal(201))
		Expect(a.header.Get(plain.HeaderReplayed)).To(Equal("true"))
		Expect(count.Load()).To(Equal(int64(1)))
	})

	// Guards against replaying a truncated or empty body as the upstream's reply.
	It("says that a large reply was not stored when the call is repeated", func() {
		large := strings.Repeat("x", 300<<10)
		address, count := newUpstream(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, large) })
		f := newFixture(nil, address)
		a := f.mustCall("POST", "/services/shop/orders", "honey", "Idempotency-Key", "k1")
		Expect(a.body == large).To(BeTrue())
		a = f.mustCall("POST", "/services/shop/orders", "honey", "Idempotency-Key", "k1")
		Expect(a.status).To(Equal(200))
		Expect(a.body).To(ContainSubstring(`"body_stored":false,"body_bytes":307200`))
		Expect(count.Load()).To(Equal(int64(1)))
	})

	// Guards against a truncated reply that looks complete.
	It("closes the caller's connection when the upstream breaks off a large reply", func() {
		address, count := newUpstream(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", 300<<10))
			panic(http.ErrAbortHandler)
		})
		f := newFixture(nil, address)
		_, err := f.call("POST", "/services/shop/orders", "honey", "Idempotency-Key", "k1")
		Expect(err).To(HaveOccurred())
		a := f.mustCall("POST", "/services/shop/orders", "honey", "Idempotency-Key", "k1", "X-Request-Timeout-Ms", "200")
		Expect(a.outcome).To(Equal("may_have_run"))
		Expect(count.Load()).To(Equal(int64(1)))
	})
})

var _ = Describe("an idempotent route", func() {
	// Guards against callers seeing the failure of a single upstream.
	It("is retried on another upstream after a lost reply", func() {
		a1, c1 := newUpstream(breakConnection)
		a2, c2 := newUpstream(createOrder)
		f := newFixture(nil, a1, a2)
		for range 8 {
			Expect(f.mustCall("GET", "/services/shop/catalogue/1", "").status).To(Equal(201))
		}
		Expect(c1.Load()).To(BeNumerically(">", 0))
		Expect(c2.Load()).To(Equal(int64(8)))
	})

	// Guards against retries that add load to a service that is shedding it.
	DescribeTable("is sent to two upstreams at most when they reply 429 or 503", func(status int) {
		var addresses []string
		var total []*atomic.Int64
		for range 5 {
			a, c := newUpstream(func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(status) })
			addresses, total = append(addresses, a), append(total, c)
		}
		f := newFixture(func(o *plain.Options) { o.MaxAttempts = 5 }, addresses...)
		Expect(f.mustCall("GET", "/services/shop/catalogue/1", "").status).To(Equal(status))
		sum := int64(0)
		for _, c := range total {
			sum += c.Load()
		}
		Expect(sum).To(Equal(int64(2)))
	}, Entry("429", 429), Entry("503", 503))

	// Guards against calls to upstreams that asked for a pause or leave, and against callers
	// that are not told when to come back.
	It("keeps away from upstreams that ask for a pause or leave", func() {
		says := atomic.Pointer[[2]string]{}
		says.Store(&[2]string{"Retry-After", "20"})
		turnedAway, away := newUpstream(func(w http.ResponseWriter, r *http.Request) {
			header := says.Load()
			w.Header().Set(header[0], header[1])
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		f := newFixture(nil, turnedAway)
		Expect(f.mustCall("GET", "/services/shop/catalogue/1", "").status).To(Equal(503))
		for range 3 {
			a := f.mustCall("GET", "/services/shop/catalogue/1", "")
			Expect([]any{a.status, a.code, a.outcome}).To(Equal([]any{503, "upstreams_paused", "not_run"}))
			Expect(strconv.Atoi(a.header.Get("Retry-After"))).To(And(BeNumerically(">=", 19), BeNumerically("<=", 22)))
		}
		a := f.mustCall("POST", "/services/shop/orders", "order", "Idempotency-Key", "k1")
		Expect([]any{a.status, a.code, a.outcome}).To(Equal([]any{503, "upstreams_paused", "not_run"}))
		Expect(away.Load()).To(Equal(int64(1)))

		leaving, calls := newUpstream(func(w http.ResponseWriter, r *http.Request) { w.Header().Set(plain.HeaderLeaving, "1") })
		f = newFixture(nil, leaving)
		a = f.mustCall("GET", "/services/shop/catalogue/1", "")
		Expect(a.status).To(Equal(200))
		Expect(a.header).NotTo(HaveKey(plain.HeaderLeaving))
		a = f.mustCall("GET", "/services/shop/catalogue/1", "")
		Expect([]any{a.status, a.code, a.outcome, a.header.Get("Retry-After")}).To(Equal([]any{503, "upstreams_paused", "not_run", "1"}))
		Expect(calls.Load()).To(Equal(int64(1)))
	})

	DescribeTable("is refused with the true outcome when all attempts fail", func(reachable bool, outcome string) {
		var a []string
		for range 3 {
			if reachable {
				address, _ := newUpstream(breakConnection)
				a = append(a, address)
			} else {
				a = append(a, closedAddress())
			}
		}
		f := newFixture(nil, a...)
		r := f.mustCall("GET", "/services/shop/catalogue/1", "")
		Expect(r.status).To(BeNumerically(">=", 502))
		Expect(r.outcome).To(Equal(outcome))
		Expect(f.recordedResults()).To(HaveLen(3))
	}, Entry("nothing sent", false, "not_run"), Entry("replies lost", true, "may_have_run"))

	// Guards the call's deadline, which bounds all attempts together.
	It("ends at the deadline", func() {
		stop := make(chan struct{})
		address, _ := newUpstream(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-stop:
			case <-r.Context().Done():
			}
		})
		DeferCleanup(func() { close(stop) })
		f := newFixture(nil, address)
		a := f.mustCall("GET", "/services/shop/catalogue/1", "", "X-Request-Timeout-Ms", "100")
		Expect(a.status).To(Equal(504))
		Expect(a.outcome).To(Equal("may_have_run"))
	})
})

var _ = Describe("call admission", func() {
	DescribeTable("refuses an invalid call with its status, a code and not_run", func(method, path, body string, status int, header ...string) {
		address, count := newUpstream(createOrder)
		f := newFixture(func(o *plain.Options) { o.BodyLimit = 1024 }, address)
		a := f.mustCall(method, path, body, header...)
		Expect(a.status).To(Equal(status), a.body)
		Expect(a.outcome).To(Equal("not_run"))
		Expect(a.code).NotTo(BeEmpty())
		Expect(count.Load()).To(BeZero())
	},
		Entry("wrong key", "GET", "/services/shop/catalogue/1", "", 401, "Authorization", "Bearer no"),
		Entry("no key", "GET", "/services/shop/catalogue/1", "", 401, "Authorization", ""),
		Entry("unknown service", "GET", "/services/none/x", "", 404),
		Entry("unknown route", "GET", "/services/shop/none", "", 404),
		Entry("wrong method", "DELETE", "/services/shop/orders", "", 404),
		// The catalogue route is idempotent. An upstream that normalises these
		// paths would run an order on a call that may be repeated.
		Entry("escaped dot segments", "POST", "/services/shop/catalogue/%2e%2e/orders", "x", 400),
		Entry("escaped slash", "POST", "/services/shop/catalogue/..%2forders", "x", 400),
		Entry("empty segment", "POST", "/services/shop/catalogue//orders", "x", 400),
		Entry("large body", "POST", "/services/shop/orders", strings.Repeat("x", 1025), 413, "Idempotency-Key", "k"),
		Entry("bad timeout", "GET", "/services/shop/catalogue/1", "", 400, "X-Request-Timeout-Ms", "soon"),
		Entry("long key", "POST", "/services/shop/orders", "x", 400, "Idempotency-Key", strings.Repeat("k", 256)),
	)

	It("refuses calls above the memory limit and frees the memory of refused and ended calls", func() {
		address, _ := newUpstream(createOrder)
		f := newFixture(func(o *plain.Options) { o.MaxBufferedBytes, o.ReplyBuffer = 1500, 1000 }, address)
		for range 3 {
			Expect(f.mustCall("POST", "/services/shop/orders", strings.Repeat("x", 600), "Idempotency-Key", "k").code).To(Equal("overloaded"))
			Expect(f.mustCall("GET", "/services/shop/catalogue/1", strings.Repeat("x", 400)).status).To(Equal(201))
		}
	})

	It("refuses calls after StopNewCalls, but not during the drain notice", func() {
		f := newFixture(nil)
		snap := *f.snap.Load()
		snap.Draining = true
		f.snap.Store(&snap)
		// During the drain notice the load balancer still sends calls.
		Expect(f.mustCall("GET", "/services/shop/catalogue/1", "").code).NotTo(Equal("draining"))
		f.handler.StopNewCalls()
		Expect(f.mustCall("GET", "/services/shop/catalogue/1", "").code).To(Equal("draining"))
	})
})

var _ = Describe("quarantine", func() {
	// Guards against running content that crashes upstreams when it is sent again
	// under another key.
	DescribeTable("refuses quarantined, held and suspect content with not_run", func(v quarantine.Verdict, status int, code string) {
		address, count := newUpstream(createOrder)
		bad := quarantine.HashOf("shop", "POST /orders", []byte("poison"))
		f := newFixture(func(o *plain.Options) {
			o.Verdict = func(h quarantine.Hash) quarantine.Verdict {
				if h == bad {
					return v
				}
				return quarantine.Clear
			}
		}, address)
		for _, key := range []string{"k1", "k2"} {
			a := f.mustCall("POST", "/services/shop/orders", "poison", "Idempotency-Key", key)
			Expect(a.status).To(Equal(status))
			Expect(a.code).To(Equal(code))
			Expect(a.outcome).To(Equal("not_run"))
		}
		Expect(count.Load()).To(BeZero())
		Expect(f.mustCall("POST", "/services/shop/orders", "honey", "Idempotency-Key", "k3").status).To(Equal(201))
		Expect(f.recordedResults()[0].ContentHash).To(Equal(quarantine.HashOf("shop", "POST /orders", []byte("honey"))))
	},
		Entry("quarantined", quarantine.Quarantined, 422, "quarantined"),
		Entry("held", quarantine.Held, 503, "suspect_held"),
		Entry("suspect without trials", quarantine.Suspect, 503, "suspect_held"),
	)

	// Guards against a suspect that runs on another upstream than that of its
	// trial, and against a trial that never ends.
	DescribeTable("runs a suspect only on the upstream of its trial", func(method, path string, lost bool) {
		var counts []*atomic.Int64
		var addresses []string
		for range 4 {
			a, c := newUpstream(func(w http.ResponseWriter, r *http.Request) {
				if lost {
					breakConnection(w, r)
				}
				createOrder(w, r)
			})
			addresses, counts = append(addresses, a), append(counts, c)
		}
		ended := make(chan bool, 8)
		f := newFixture(func(o *plain.Options) {
			o.Verdict = func(quarantine.Hash) quarantine.Verdict { return quarantine.Suspect }
			o.StartTrial = func(_ context.Context, _ quarantine.Hash, names []string) (string, func(bool), bool) {
				if len(names) != 4 {
					return "", nil, false
				}
				return "u2", func(completed bool) { ended <- completed }, true
			}
		}, addresses...)
		for i := range 4 {
			a := f.mustCall(method, path, "x", "Idempotency-Key", fmt.Sprint(i))
			Expect(a.status == 201).To(Equal(!lost))
			Eventually(ended).Should(Receive(Equal(!lost)))
		}
		for i, c := range counts {
			Expect(c.Load()).To(Equal(map[bool]int64{true: 4, false: 0}[i == 2]))
		}
	},
		Entry("idempotent", "GET", "/services/shop/catalogue/1", false),
		Entry("idempotent, lost", "GET", "/services/shop/catalogue/1", true),
		Entry("non-idempotent", "POST", "/services/shop/orders", false),
		Entry("non-idempotent, lost", "POST", "/services/shop/orders", true),
	)
})

var _ = Describe("telemetry", func() {
	// Guards against attempts that cannot be distinguished in a trace, and against
	// a trace that ends at the daemon.
	It("has a span for the call and one for each attempt, and propagates the trace to upstreams", func() {
		var parents []string
		var mu sync.Mutex
		record := func(next http.HandlerFunc) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				parents = append(parents, r.Header.Get("Traceparent"))
				mu.Unlock()
				next(w, r)
			}
		}
		a1, _ := newUpstream(record(breakConnection))
		a2, _ := newUpstream(record(breakConnection))
		rec := tracetest.NewSpanRecorder()
		var set *metrics.Set
		f := newFixture(func(o *plain.Options) {
			o.Tracer = sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(rec))
			set = o.Metrics
		}, a1, a2)
		f.mustCall("GET", "/services/shop/catalogue/1", "")
		Eventually(func() int { return len(rec.Ended()) }).Should(Equal(3))
		spans := rec.Ended()
		mu.Lock()
		defer mu.Unlock()
		Expect([]string{spans[0].Name(), spans[1].Name(), spans[2].Name()}).To(Equal([]string{"plain.attempt", "plain.attempt", "plain.call"}))
		for i := range 2 {
			Expect(spans[i].Parent().SpanID()).To(Equal(spans[2].SpanContext().SpanID()))
			Expect(parents[i]).To(ContainSubstring(spans[i].SpanContext().SpanID().String()))
		}
		var text strings.Builder
		set.WritePrometheus(&text)
		Expect(text.String()).To(ContainSubstring(`gooseberryroad_plain_attempts_total{service="shop",result="lost"} 2`))
		Expect(text.String()).To(ContainSubstring(`gooseberryroad_plain_refusals_total{service="shop",code="reply_lost",outcome="may_have_run"} 1`))
	})
})

var _ = Describe("headers", func() {
	// Guards against forwarding the account's key or hop-by-hop headers.
	It("are forwarded except for hop-by-hop headers and the account's key", func() {
		var got http.Header
		address, _ := newUpstream(func(w http.ResponseWriter, r *http.Request) {
			got = r.Header.Clone()
			w.Header().Set("Connection", "X-Private")
			w.Header().Set("X-Private", "1")
			w.Header().Set("X-Public", "1")
			createOrder(w, r)
		})
		f := newFixture(nil, address)
		a := f.mustCall("POST", "/services/shop/orders?n=1", "honey", "Idempotency-Key", "k1", "Connection", "X-Hop",
			"X-Hop", "1", "Te", "trailers", "X-End", "1", "X-Request-Id", "id-7")
		Expect(a.status).To(Equal(201))
		Expect(got).NotTo(HaveKey("Authorization"))
		Expect(got).NotTo(HaveKey("X-Hop"))
		Expect(got).NotTo(HaveKey("Te"))
		Expect(got.Get("X-End")).To(Equal("1"))
		Expect(got.Get("Idempotency-Key")).To(Equal("k1"))
		Expect(got.Get("X-Account")).To(Equal("apiary"))
		Expect(got.Get("X-Request-Id")).To(Equal("id-7"))
		Expect(a.header).NotTo(HaveKey("X-Private"))
		Expect(a.header.Get("X-Public")).To(Equal("1"))
		Expect(a.header.Get("X-Request-Id")).To(Equal("id-7"))
	})
})
