package standin_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/standin"
)

var _ = Describe("Service", func() {
	var (
		ctx    context.Context
		client *http.Client
		s      *standin.Service
		died   chan string
	)
	BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), specTimeout)
		DeferCleanup(cancel)
		client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		// The service may call OnCrash after its spec has ended, so the callback
		// captures the channel of its own spec instead of the shared variable.
		reasons := make(chan string, 1)
		died = reasons
		var err error
		s, err = standin.StartService(ctx, standin.ServiceOptions{OnCrash: func(r string) { reasons <- r }})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Close)
	})
	post := func(key, body string) (int, string, error) {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Address()+"/tags", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Idempotency-Key", key)
		res, err := client.Do(req)
		if err != nil {
			return 0, "", err
		}
		defer res.Body.Close()
		b, err := io.ReadAll(res.Body)
		return res.StatusCode, string(b), err
	}

	// Guards against a record of runs that misses a second run of a key (promise P6
	// in docs/proof.md), and against an answer that does not show which call it
	// belongs to (promise P4).
	It("counts how often each key ran and names the call in its answer", func() {
		status, answer, err := post("k1", "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		Expect(answer).To(ContainSubstring(`"key":"k1"`))
		_, _, err = post("k2", "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Runs().Repeated()).To(BeEmpty())
		_, _, err = post("k1", "b")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Runs().Times("k1")).To(Equal(2))
		Expect(s.Runs().Repeated()).To(HaveLen(2))
	})

	// Guards against a stand-in that does not say what its faults name.
	It("says in its answers that it leaves, and for how long it wants no calls", func() {
		header := func() http.Header {
			res, err := client.Get("http://" + s.Address() + "/tags")
			Expect(err).NotTo(HaveOccurred())
			Expect(res.Body.Close()).To(Succeed())
			return res.Header
		}
		Expect(header()).NotTo(Or(HaveKey("X-Upstream-Leaving"), HaveKey("Retry-After")))
		s.SetFaults(standin.ServiceFaults{SayLeaving: true, Pause: "1.5"})
		Expect(header().Get("X-Upstream-Leaving")).To(Equal("1"))
		Expect(header().Get("Retry-After")).To(Equal("1.5"))
	})

	DescribeTable("loses, refuses and fails calls before or after they run",
		func(f standin.ServiceFaults, fails bool, status, runs int) {
			s.SetFaults(f)
			got, _, err := post("k", "crash")
			Expect(err != nil).To(Equal(fails), "%v", err)
			Expect(got).To(Equal(status))
			Expect(s.Runs().Times("k")).To(Equal(runs))
		},
		Entry("answer lost", standin.ServiceFaults{LoseAnswers: 1}, true, 0, 1),
		Entry("call lost", standin.ServiceFaults{LoseCalls: 1}, true, 0, 0),
		Entry("error before", standin.ServiceFaults{Status: 500}, false, 500, 0),
		Entry("error after", standin.ServiceFaults{StatusAfter: 502}, false, 502, 1),
		Entry("leaving", standin.ServiceFaults{Leaving: true}, false, 503, 0),
		Entry("says that it leaves", standin.ServiceFaults{SayLeaving: true}, false, 200, 1),
		Entry("asks for a pause", standin.ServiceFaults{Pause: "1.5"}, false, 503, 0),
		Entry("death before", standin.ServiceFaults{DieBefore: 1}, true, 0, 0),
		Entry("death after", standin.ServiceFaults{DieAfter: 1}, true, 0, 1),
		Entry("crash marker", standin.ServiceFaults{CrashMarker: "crash"}, true, 0, 0),
	)

	It("refuses after a death and works again after a start", func() {
		s.SetFaults(standin.ServiceFaults{DieAfter: 2})
		_, _, err := post("a", "")
		Expect(err).NotTo(HaveOccurred())
		_, _, err = post("b", "")
		Expect(err).To(HaveOccurred())
		Eventually(died).Should(Receive())
		_, _, err = post("c", "")
		Expect(err).To(MatchError(ContainSubstring("refused")))
		Expect(s.Start()).To(Succeed())
		_, _, err = post("c", "")
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a stand-in that drops a call when its caller times out, which
	// would hide a second run after the timeout.
	It("runs a delayed call although its caller gave up", func() {
		s.SetFaults(standin.ServiceFaults{DelayBefore: standin.Duration(100 * time.Millisecond)})
		client.Timeout = 20 * time.Millisecond
		_, _, err := post("late", "")
		Expect(err).To(HaveOccurred())
		Expect(s.Runs().Times("late")).To(BeZero())
		Eventually(func() int { return s.Runs().Times("late") }).Should(Equal(1))
	})
})

var _ = Describe("Store", func() {
	var (
		ctx context.Context
		s   *standin.Store
	)
	BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), specTimeout)
		DeferCleanup(cancel)
		var err error
		s, err = standin.StartStore(ctx, standin.StoreOptions{ReadsPerSecond: -1, WritesPerSecond: -1})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Close)
	})
	call := func(method, path, body string) (int, string, http.Header) {
		GinkgoHelper()
		req, err := http.NewRequestWithContext(ctx, method, "http://"+s.Address()+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		res, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer res.Body.Close()
		b, err := io.ReadAll(res.Body)
		Expect(err).NotTo(HaveOccurred())
		return res.StatusCode, strings.TrimSpace(string(b)), res.Header
	}

	// Guards against a stand-in that deviates from the published API where drivers
	// rely on it.
	It("writes and deletes with compare-and-swap as the published API does", func() {
		_, out, _ := call(http.MethodPut, "/v1/kv/a?cas=0", "1")
		Expect(out).To(Equal("true"))
		_, out, _ = call(http.MethodPut, "/v1/kv/a?cas=0", "2")
		Expect(out).To(Equal("false"))
		status, out, h := call(http.MethodGet, "/v1/kv/a", "")
		Expect(status).To(Equal(http.StatusOK))
		Expect(out).To(Equal(fmt.Sprintf(`[{"LockIndex":0,"Key":"a","Flags":0,"Value":"MQ==","CreateIndex":%[1]s,"ModifyIndex":%[1]s}]`, h.Get("X-Consul-Index"))))
		_, out, _ = call(http.MethodGet, "/v1/kv/a?raw", "")
		Expect(out).To(Equal("1"))
		_, out, _ = call(http.MethodDelete, "/v1/kv/a?cas=1", "")
		Expect(out).To(Equal("false"))
		_, out, _ = call(http.MethodDelete, "/v1/kv/a", "")
		Expect(out).To(Equal("true"))
		status, _, h = call(http.MethodGet, "/v1/kv/a", "")
		Expect(status).To(Equal(http.StatusNotFound))
		Expect(h.Get("X-Consul-Index")).To(Equal("3"))
	})
	It("rolls back all operations of a failed transaction", func() {
		s.Put("a", []byte("1"))
		index := s.Stats().Index
		status, out, _ := call(http.MethodPut, "/v1/txn",
			`[{"KV":{"Verb":"set","Key":"a","Value":"Mg=="}},{"KV":{"Verb":"delete","Key":"a"}},{"KV":{"Verb":"cas","Key":"b","Index":9}}]`)
		Expect(status).To(Equal(http.StatusConflict))
		Expect(out).To(ContainSubstring(`"OpIndex":2`))
		v, _ := s.Value("a")
		Expect(string(v)).To(Equal("1"))
		Expect(s.Stats().Index).To(Equal(index))
	})
	// Guards against a watch that always returns at once because its keys do not
	// exist, which would make the count of calls worthless.
	It("keeps a watch on a prefix without keys waiting while other keys change", func() {
		done := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(done)
			status, _, _ := call(http.MethodGet, "/v1/kv/none/?recurse&index=1&wait=1m", "")
			Expect(status).To(Equal(http.StatusOK))
		}()
		Eventually(func() int { return s.Stats().Waiting }).Should(Equal(1))
		s.Put("other", nil)
		Consistently(done, "50ms").ShouldNot(BeClosed())
		s.Put("none/key", nil)
		Eventually(done).Should(BeClosed())
		Expect(s.Stats().Watches).To(Equal(int64(1)))
	})
	It("counts calls by kind and applies a slow write after its caller gave up", func() {
		Expect(s.SetFaults(standin.StoreFaults{Slow: standin.Duration(100 * time.Millisecond)})).To(Succeed())
		short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		req, err := http.NewRequestWithContext(short, http.MethodPut, "http://"+s.Address()+"/v1/kv/late", strings.NewReader("x"))
		Expect(err).NotTo(HaveOccurred())
		_, err = http.DefaultClient.Do(req)
		Expect(err).To(HaveOccurred())
		Eventually(func() uint64 { _, i := s.Value("late"); return i }).ShouldNot(BeZero())
		Expect(s.Stats().Puts).To(Equal(int64(1)))
	})
})
