package standin_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/standin"
)

// limit ends specs that wait for output that does not come.
const limit = 20 * time.Second

var _ = Describe("Engine", func() {
	var (
		ctx    context.Context
		client *http.Client
		e      *standin.Engine
	)
	BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), limit)
		DeferCleanup(cancel)
		client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	})
	start := func(o standin.EngineOptions) {
		GinkgoHelper()
		if o.Step == 0 {
			o.Step = time.Millisecond
		}
		var err error
		e, err = standin.StartEngine(ctx, o)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(e.Close)
	}
	send := func(method, path, id, body string) (*http.Response, error) {
		req, err := http.NewRequestWithContext(ctx, method, "http://"+e.Address()+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("X-Request-Id", id)
		return client.Do(req)
	}
	body := func(prompt string, tokens int, more string) string {
		b, err := json.Marshal(prompt)
		Expect(err).NotTo(HaveOccurred())
		return fmt.Sprintf(`{"model":"model","prompt":%s,"max_tokens":%d,"stream":true%s}`, b, tokens, more)
	}
	begin := func(id, prompt string, tokens int, more string) *bufio.Scanner {
		GinkgoHelper()
		res, err := send(http.MethodPost, "/v1/completions", id, body(prompt, tokens, more))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(res.Body.Close)
		Expect(res.StatusCode).To(Equal(http.StatusOK))
		return bufio.NewScanner(res.Body)
	}
	// text reads up to n tokens of a stream.
	text := func(s *bufio.Scanner, n int) string {
		var b strings.Builder
		for n > 0 && s.Scan() {
			data, ok := strings.CutPrefix(s.Text(), "data: ")
			if !ok || data == "[DONE]" {
				continue
			}
			var ev struct{ Choices []struct{ Text string } }
			Expect(json.Unmarshal([]byte(data), &ev)).To(Succeed())
			if len(ev.Choices) == 1 && ev.Choices[0].Text != "" {
				b.WriteString(ev.Choices[0].Text)
				n--
			}
		}
		return b.String()
	}
	whole := func(prompt string, tokens int) standin.ExpectedAnswer {
		return standin.ExpectedAnswer{Model: "model", Version: "v1", Prompt: prompt, Tokens: tokens}
	}

	It("answers a request that is not streamed", func() {
		start(standin.EngineOptions{})
		res, err := send(http.MethodPost, "/v1/completions", "a", `{"model":"model","prompt":"p","max_tokens":7}`)
		Expect(err).NotTo(HaveOccurred())
		defer res.Body.Close()
		var a struct {
			Choices []struct {
				Text         string
				FinishReason string `json:"finish_reason"`
			}
		}
		Expect(json.NewDecoder(res.Body).Decode(&a)).To(Succeed())
		Expect(a.Choices[0].FinishReason).To(Equal("length"))
		Expect(standin.CheckAnswer(a.Choices[0].Text, whole("p", 7)).Err()).NotTo(HaveOccurred())
	})

	// Guards against a stand-in that makes recovery look better than it is: a
	// generation must go on without a connection, and be lost with the engine.
	It("goes on when the connection closes, and forgets when it dies", func() {
		start(standin.EngineOptions{})
		res, err := send(http.MethodPost, "/v1/completions", "a", body("p", 30, ""))
		Expect(err).NotTo(HaveOccurred())
		res.Body.Close()
		Eventually(func() int64 { return e.Stats().Finished }).Should(Equal(int64(1)))
		res, err = send(http.MethodGet, "/v1/completions/a?starting_after=20", "", "")
		Expect(err).NotTo(HaveOccurred())
		rest := text(bufio.NewScanner(res.Body), 100)
		res.Body.Close()
		prefix := standin.NewAnswerText("model", "v1", "p").Prefix(20)
		Expect(standin.CheckAnswer(prefix+rest, whole("p", 30)).Err()).NotTo(HaveOccurred())

		before := e.Stats().Incarnation
		e.Stop()
		_, err = send(http.MethodGet, "/v1/completions/a", "", "")
		Expect(err).To(MatchError(ContainSubstring("refused")))
		Expect(e.Start()).To(Succeed())
		res, err = send(http.MethodGet, "/v1/completions/a", "", "")
		Expect(err).NotTo(HaveOccurred())
		res.Body.Close()
		Expect(res.StatusCode).To(Equal(http.StatusNotFound))
		Expect(e.Stats().Incarnation).NotTo(Equal(before))
	})

	// Guards against generations and tokens that are kept without a bound.
	It("forgets finished generations and old tokens", func() {
		start(standin.EngineOptions{Retention: 30 * time.Millisecond, RetainTokens: 10, LoadInterval: 5 * time.Millisecond})
		s := begin("a", "p", 40, "")
		Expect(text(s, 40)).NotTo(BeEmpty())
		res, err := send(http.MethodGet, "/v1/completions/a?starting_after=5", "", "")
		Expect(err).NotTo(HaveOccurred())
		res.Body.Close()
		Expect(res.StatusCode).To(BeElementOf(http.StatusGone, http.StatusNotFound))
		Eventually(func() int {
			res, err := send(http.MethodGet, "/v1/completions/a?starting_after=40", "", "")
			Expect(err).NotTo(HaveOccurred())
			res.Body.Close()
			return res.StatusCode
		}).Should(Equal(http.StatusNotFound))
	})

	It("stops all output in a pause, accepts connections that hang, and goes on", func() {
		start(standin.EngineOptions{})
		s := begin("a", "p", 50, "")
		got := text(s, 5)
		e.Pause()
		conn, err := net.Dial("tcp", e.Address())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = io.WriteString(conn, "GET /load HTTP/1.1\r\nHost: x\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			_, _ = conn.Read(make([]byte, 1))
		}()
		// One step may have been under way.
		n := e.Stats().Generated
		Consistently(func() int64 { return e.Stats().Generated }, "60ms").Should(BeNumerically("<=", n+1))
		Expect(answered).NotTo(BeClosed())
		e.Continue()
		Eventually(answered).Should(BeClosed())
		got += text(s, 50)
		Expect(standin.CheckAnswer(got, whole("p", 50)).Err()).NotTo(HaveOccurred())
	})

	It("pauses after a number of tokens and goes on where it stopped", func() {
		start(standin.EngineOptions{Faults: standin.EngineFaults{PauseAfterTokens: 5}})
		s := begin("a", "p", 20, "")
		Eventually(func() int64 { return e.Stats().Generated }).Should(Equal(int64(5)))
		Consistently(func() int64 { return e.Stats().Generated }, "30ms").Should(Equal(int64(5)))
		e.Continue()
		Expect(standin.CheckAnswer(text(s, 20), whole("p", 20)).Err()).NotTo(HaveOccurred())
	})
	It("hangs the connection of one generation only", func() {
		start(standin.EngineOptions{})
		begin("a", "p", 100000, "")
		other := begin("b", "p", 100, "")
		Expect(e.HangConnection("a")).To(Succeed())
		Expect(e.HangConnection("none")).To(MatchError(standin.ErrNotStreaming))
		Expect(standin.CheckAnswer(text(other, 100), whole("p", 100)).Err()).NotTo(HaveOccurred())
	})

	// Guards against a stand-in that no load can slow down. The bounds leave
	// room for late timers; a step can be late but never early.
	It("takes longer for each token with a larger batch, more prefill and a slow factor", func() {
		start(standin.EngineOptions{Step: 2 * time.Millisecond, StepPerRequest: time.Millisecond, Prefill: time.Millisecond, CacheTokens: -1})
		took := func(f func()) time.Duration {
			began := time.Now()
			f()
			return time.Since(began)
		}
		Expect(took(func() { text(begin("one", "p", 10, ""), 10) })).To(BeNumerically(">=", 20*time.Millisecond))
		Expect(took(func() {
			var streams []*bufio.Scanner
			for i := range 9 {
				streams = append(streams, begin(fmt.Sprint("batch", i), "p", 10, ""))
			}
			for _, s := range streams {
				text(s, 10)
			}
		})).To(BeNumerically(">=", 60*time.Millisecond))
		Expect(took(func() { text(begin("prompt", strings.Repeat("w ", 100), 1, ""), 1) })).To(BeNumerically(">=", 100*time.Millisecond))
		e.SetFaults(standin.EngineFaults{Slow: 5})
		Expect(took(func() { text(begin("slow", "p", 10, ""), 10) })).To(BeNumerically(">=", 100*time.Millisecond))
	})

	// Guards against wrong figures of tokens computed again.
	It("caches prompt prefixes and counts tokens prefilled again", func() {
		start(standin.EngineOptions{CacheTokens: 1024, CacheDelay: time.Millisecond})
		prompt := strings.Repeat("word ", 64)
		text(begin("a", prompt, 4, ""), 4)
		Expect(e.Stats().Prefilled).To(Equal(int64(64)))
		text(begin("b", prompt+"more", 4, ""), 4)
		st := e.Stats()
		Expect(st.Cached).To(Equal(int64(64)))
		Expect(st.Prefilled).To(Equal(int64(65)))
		Expect(st.PrefilledAgain).To(BeZero())
		prefix := standin.NewAnswerText("model", "v1", "other").Prefix(20)
		text(begin("c", "other", 24, fmt.Sprintf(`,"prefix":%q,"continue_tokens":20`, prefix)), 4)
		st = e.Stats()
		Expect(st.PrefilledAgain).To(Equal(int64(20)))
		Expect(st.BadPrefixes).To(BeZero())
		text(begin("d", "other", 24, `,"prefix":"x ","continue_tokens":20`), 4)
		Expect(e.Stats().BadPrefixes).To(Equal(int64(1)))
	})
	It("evicts prefixes when its cache is full, and publishes events late and with gaps", func() {
		start(standin.EngineOptions{CacheTokens: 64, CacheGap: 4, CacheDelay: time.Millisecond})
		for i := range 4 {
			text(begin(fmt.Sprint(i), strings.Repeat(fmt.Sprint("w", i, " "), 32), 1, ""), 1)
		}
		text(begin("again", strings.Repeat("w0 ", 32), 1, ""), 1)
		Expect(e.Stats().Cached).To(BeZero())
		var events struct{ Events []standin.CacheEvent }
		Eventually(func(g Gomega) {
			res, err := send(http.MethodGet, "/cache/events?after=0", "", "")
			g.Expect(err).NotTo(HaveOccurred())
			defer res.Body.Close()
			g.Expect(json.NewDecoder(res.Body).Decode(&events)).To(Succeed())
			g.Expect(events.Events).To(ContainElement(HaveField("Kind", "removed")))
			for _, ev := range events.Events {
				g.Expect(ev.Seq % 4).NotTo(BeZero())
			}
		}).Should(Succeed())
	})

	// Guards against continuations that wait behind new requests.
	It("runs waiting requests by priority", func() {
		start(standin.EngineOptions{MaxBatch: 1})
		begin("first", "p", 100000, "")
		begin("low", "p", 100000, `,"priority":9`)
		high := begin("high", "p", 100000, `,"priority":1`)
		res, err := send(http.MethodPost, "/v1/completions/first/cancel", "", "")
		Expect(err).NotTo(HaveOccurred())
		res.Body.Close()
		Expect(text(high, 3)).NotTo(BeEmpty())
		st := e.Stats()
		Expect(st.Running).To(Equal(1))
		Expect(st.Waiting).To(Equal(1))
	})

	// Guards against overload that has no effect on the stand-in.
	It("crashes when held requests outgrow its memory", func() {
		died := make(chan string, 1)
		start(standin.EngineOptions{MemoryBytes: 100 << 10, BytesPerToken: 1 << 10, OnCrash: func(r string) { died <- r }})
		s := begin("a", "p", 100000, "")
		text(s, 100000)
		Eventually(died).Should(Receive(Equal("out of memory")))
		Expect(e.Stats().Crashes).To(Equal(int64(1)))
		_, err := send(http.MethodGet, "/load", "", "")
		Expect(err).To(MatchError(ContainSubstring("refused")))
	})

	It("dies after a number of tokens, and starts again without the fault", func() {
		start(standin.EngineOptions{Faults: standin.EngineFaults{DieAfterTokens: 10}})
		got := text(begin("a", "p", 50, ""), 50)
		Expect(len(strings.Fields(got))).To(BeNumerically("<=", 10))
		Expect(e.Stats().Generated).To(Equal(int64(10)))
		Expect(e.Start()).To(Succeed())
		Expect(standin.CheckAnswer(text(begin("a", "p", 50, ""), 50), whole("p", 50)).Err()).NotTo(HaveOccurred())
	})

	Describe("load reports", func() {
		load := func() (l standin.EngineLoad) {
			GinkgoHelper()
			res, err := send(http.MethodGet, "/load", "", "")
			Expect(err).NotTo(HaveOccurred())
			defer res.Body.Close()
			Expect(json.NewDecoder(res.Body).Decode(&l)).To(Succeed())
			return l
		}
		// Guards against reports that are fresher than those of real engines,
		// which would hide herding onto one replica.
		It("lag", func() {
			start(standin.EngineOptions{LoadLag: time.Hour, LoadInterval: time.Millisecond})
			text(begin("a", "p", 100000, ""), 20)
			Expect(e.Stats().Running).To(Equal(1))
			Expect(load().Running).To(BeZero())
		})
		It("stay the same when new ones are lost", func() {
			start(standin.EngineOptions{LoadLag: time.Millisecond, LoadInterval: time.Millisecond})
			begin("a", "p", 100000, "")
			Eventually(func() int { return load().Running }).Should(Equal(1))
			e.SetFaults(standin.EngineFaults{Load: standin.LoadStale})
			begin("b", "p", 100000, "")
			Expect(e.Stats().Requests).To(Equal(int64(2)))
			Consistently(func() int { l := load(); return l.Running + l.Waiting }, "20ms").Should(Equal(1))
		})
	})

	It("refuses requests while it loads a version, and says that they did not run", func() {
		start(standin.EngineOptions{VersionLoadTime: time.Hour})
		res, err := send(http.MethodPost, "/orders", "", `{"fence":1,"model":"model","version":"v2"}`)
		Expect(err).NotTo(HaveOccurred())
		res.Body.Close()
		res, err = send(http.MethodPost, "/v1/completions", "a", body("p", 1, ""))
		Expect(err).NotTo(HaveOccurred())
		defer res.Body.Close()
		b, err := io.ReadAll(res.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(res.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(string(b)).To(ContainSubstring(`"outcome":"not_run"`))
	})

	Describe("a bad version", func() {
		status := func(id string) int {
			res, err := send(http.MethodPost, "/v1/completions", id, body("p", 5, ""))
			Expect(err).NotTo(HaveOccurred())
			defer res.Body.Close()
			_, _ = io.Copy(io.Discard, res.Body)
			return res.StatusCode
		}
		bad := func(b standin.BadVersion) standin.EngineOptions {
			return standin.EngineOptions{Faults: standin.EngineFaults{BadVersions: map[string]standin.BadVersion{"v1": b}}}
		}
		It("turns bad after a number of requests", func() {
			start(bad(standin.BadVersion{Mode: standin.BadFails, AfterRequests: 2}))
			Expect([]int{status("a"), status("b"), status("c")}).To(Equal([]int{200, 200, 500}))
		})
		It("turns bad above a load", func() {
			start(bad(standin.BadVersion{Mode: standin.BadFails, AboveLoad: 1}))
			begin("a", "p", 10000, "")
			Expect(status("b")).To(Equal(200))
			begin("c", "p", 10000, "")
			Expect(status("d")).To(Equal(500))
		})
		// Guards against a version that is bad on one route only and fails all.
		It("leaves the other route alone", func() {
			start(bad(standin.BadVersion{Mode: standin.BadFails, Route: standin.RouteChat}))
			Expect(status("a")).To(Equal(200))
			res, err := send(http.MethodPost, "/v1/completions", "b", `{"model":"model","messages":[{"role":"user","content":"p"}],"max_tokens":1}`)
			Expect(err).NotTo(HaveOccurred())
			res.Body.Close()
			Expect(res.StatusCode).To(Equal(500))
		})
		It("leaves other versions alone", func() {
			start(bad(standin.BadVersion{Mode: standin.BadFails}))
			Expect(status("a")).To(Equal(500))
			res, err := send(http.MethodPost, "/orders", "", `{"fence":1,"model":"model","version":"v2"}`)
			Expect(err).NotTo(HaveOccurred())
			res.Body.Close()
			Expect(status("b")).To(Equal(200))
		})
		It("answers with nothing or too little", func() {
			start(bad(standin.BadVersion{Mode: standin.BadEmpty}))
			Expect(text(begin("a", "p", 50, ""), 50)).To(BeEmpty())
			e.SetFaults(bad(standin.BadVersion{Mode: standin.BadShort, Tokens: 4}).Faults)
			Expect(standin.CheckAnswer(text(begin("b", "p", 50, ""), 50), whole("p", 4)).Err()).NotTo(HaveOccurred())
		})
	})

	// Guards against fault injection over HTTP that differs from the Go API.
	It("takes faults over HTTP while it is paused", func() {
		start(standin.EngineOptions{})
		control := func(path, body string) {
			res, err := client.Post("http://"+e.ControlAddress()+"/control/"+path, "application/json", bytes.NewBufferString(body))
			Expect(err).NotTo(HaveOccurred())
			defer res.Body.Close()
			Expect(res.StatusCode).To(Equal(http.StatusOK))
		}
		control("pause", "")
		control("faults", `{"leaving":"refuses","bad_versions":{"v2":{"mode":"slow"}}}`)
		control("continue", "")
		Expect(e.Faults().Leaving).To(Equal(standin.LeavingRefuses))
		res, err := send(http.MethodPost, "/v1/completions", "a", body("p", 1, ""))
		Expect(err).NotTo(HaveOccurred())
		res.Body.Close()
		Expect(res.StatusCode).To(Equal(http.StatusServiceUnavailable))
		control("die", "")
		Expect(e.Stats().Alive).To(BeFalse())
		control("start", "")
		Expect(e.Stats().Alive).To(BeTrue())
	})

	// Guards against generations of an old incarnation that reach a new one.
	It("survives deaths and starts at any moment", func() {
		start(standin.EngineOptions{Faults: standin.EngineFaults{DieAfterTokens: 20}})
		done := make(chan struct{})
		go func() {
			defer close(done)
			for i := range 60 {
				res, err := send(http.MethodPost, "/v1/completions", fmt.Sprint(i), body("p", 20, ""))
				if err == nil {
					res.Body.Close()
				}
			}
		}()
		for range 30 {
			e.Crash("test")
			Expect(e.Start()).To(Succeed())
			e.SetFaults(standin.EngineFaults{DieAfterTokens: 5})
		}
		Eventually(done, limit).Should(BeClosed())
		e.Stop()
		Expect(e.Start()).To(Succeed())
		e.SetFaults(standin.EngineFaults{})
		Expect(standin.CheckAnswer(text(begin("last", "p", 20, ""), 20), whole("p", 20)).Err()).NotTo(HaveOccurred())
	})
})
