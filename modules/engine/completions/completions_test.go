package completions_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/engine"
	"github.com/gooseberryroad/gooseberryroad/kernel"
	"github.com/gooseberryroad/gooseberryroad/modules/engine/completions"
	"github.com/gooseberryroad/gooseberryroad/standin"
)

func TestCompletions(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "completions")
}

// limit bounds each spec, so that one whose stream sends nothing fails.
const limit = 20 * time.Second

// read reads a stream to its end and returns the error that ended it.
func read(ctx context.Context, s engine.Stream) (text string, tokens []engine.Token, err error) {
	var b strings.Builder
	for {
		t, err := s.Next(ctx)
		if err != nil {
			return b.String(), tokens, err
		}
		tokens = append(tokens, t)
		b.WriteString(t.Text)
	}
}

func finished(err error) string {
	var f *engine.FinishedError
	Expect(errors.As(err, &f)).To(BeTrue(), "%v", err)
	return f.Reason
}

func refusal(err error) *engine.RefusedError {
	var r *engine.RefusedError
	Expect(errors.As(err, &r)).To(BeTrue(), "%v", err)
	return r
}

var _ = Describe("Client", func() {
	var (
		ctx  context.Context
		c    engine.Client
		e    *standin.Engine
		addr string
		o    standin.EngineOptions
	)
	BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), limit)
		DeferCleanup(cancel)
		o = standin.EngineOptions{Step: time.Millisecond, LoadInterval: 5 * time.Millisecond, LoadLag: 5 * time.Millisecond}
		var err error
		c, err = kernel.Load[engine.Client](completions.ID, kernel.Options{})
		Expect(err).NotTo(HaveOccurred())
	})
	JustBeforeEach(func() {
		var err error
		e, err = standin.StartEngine(ctx, o)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(e.Close)
		addr = e.Address()
	})
	request := func(id string) engine.Request {
		return engine.Request{ID: id, Model: "model", Version: "v1", Prompt: "write a dedication", MaxTokens: 40}
	}
	check := func(text string, tokens int) {
		GinkgoHelper()
		Expect(standin.CheckAnswer(text, standin.ExpectedAnswer{
			Model: "model", Version: "v1", Prompt: "write a dedication", Tokens: tokens,
		}).Err()).NotTo(HaveOccurred())
	}

	// Guards against tokens that the driver loses, repeats or misnumbers.
	It("reads a whole answer with its token indexes and finish reason", func() {
		s, err := c.Start(ctx, addr, request("a"))
		Expect(err).NotTo(HaveOccurred())
		text, tokens, err := read(ctx, s)
		Expect(finished(err)).To(Equal(engine.FinishLength))
		check(text, 40)
		for i, t := range tokens {
			Expect(t.Index).To(Equal(i))
		}
	})

	// Guards against a wrong finish reason for an answer that ends before MaxTokens.
	It("distinguishes the finish reasons stop and length", func() {
		r := request("a")
		r.Prompt = "write stop=3"
		s, err := c.Start(ctx, addr, r)
		Expect(err).NotTo(HaveOccurred())
		_, tokens, err := read(ctx, s)
		Expect(finished(err)).To(Equal(engine.FinishStop))
		Expect(tokens).To(HaveLen(3))
	})

	// Guards against chat requests that are sent as an empty prompt.
	It("sends the messages of a chat request", func() {
		r := request("a")
		r.Prompt, r.Messages = "", []engine.Message{{Role: "user", Content: "hello"}}
		s, err := c.Start(ctx, addr, r)
		Expect(err).NotTo(HaveOccurred())
		text, _, err := read(ctx, s)
		Expect(finished(err)).To(Equal(engine.FinishLength))
		prompt := standin.PromptOf([]standin.Message{{Role: "user", Content: "hello"}})
		Expect(standin.CheckAnswer(text, standin.ExpectedAnswer{Model: "model", Version: "v1", Prompt: prompt, Tokens: 40}).Err()).NotTo(HaveOccurred())
	})

	// Guards against a continuation that repeats or skips tokens (promise P1 in
	// docs/proof.md).
	It("continues an answer after a prefix", func() {
		r := request("a")
		r.Prefix, r.PrefixTokens = standin.NewAnswerText("model", "v1", r.Prompt).Prefix(15), 15
		s, err := c.Start(ctx, addr, r)
		Expect(err).NotTo(HaveOccurred())
		text, tokens, err := read(ctx, s)
		Expect(finished(err)).To(Equal(engine.FinishLength))
		Expect(tokens[0].Index).To(Equal(15))
		check(r.Prefix+text, 40)
		Expect(e.Stats().BadPrefixes).To(BeZero())
	})

	// Guards against work that is lost with a connection (promise P1): the resumed
	// stream must continue with the token after the last one that was received.
	It("resumes on a new connection while the old one does not respond", func() {
		e.SetFaults(standin.EngineFaults{HangAfterTokens: 5})
		s, err := c.Start(ctx, addr, request("a"))
		Expect(err).NotTo(HaveOccurred())
		var text string
		for range 5 {
			t, err := s.Next(ctx)
			Expect(err).NotTo(HaveOccurred())
			text += t.Text
		}
		silent, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err = s.Next(silent)
		Expect(errors.Is(err, context.DeadlineExceeded)).To(BeTrue(), "%v", err)
		resumed, err := c.Resume(ctx, addr, "a", 5)
		Expect(err).NotTo(HaveOccurred())
		rest, _, err := read(ctx, resumed)
		Expect(finished(err)).To(Equal(engine.FinishLength))
		check(text+rest, 40)
		Expect(e.Stats().Generated).To(Equal(int64(40)))
		Expect(s.Close()).To(Succeed())
	})

	// Guards against a Resume over a pooled connection: all open connections
	// may have stopped responding for good.
	It("resumes, cancels and sends orders when all older connections have stopped responding", func() {
		_, err := c.Load(ctx, addr) // leaves a pooled connection
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Start(ctx, addr, request("a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(e.HangOpenConnections()).To(BeNumerically(">=", 1))
		s, err := c.Resume(ctx, addr, "a", 0)
		Expect(err).NotTo(HaveOccurred())
		text, _, err := read(ctx, s)
		Expect(finished(err)).To(Equal(engine.FinishLength))
		check(text, 40)
		Expect(c.Cancel(ctx, addr, "a")).To(Succeed())
		Expect(c.Order(ctx, addr, engine.Order{Fence: 1, Model: "model", Version: "v1"})).To(Succeed())
	})

	// Guards against a pooled connection that stopped responding and makes the load
	// reports of a live engine fail for more than one call.
	It("reads load reports on a new connection after one that stopped responding", func() {
		c = completions.New(completions.Options{HeaderTimeout: 500 * time.Millisecond})
		_, err := c.Load(ctx, addr)
		Expect(err).NotTo(HaveOccurred())
		e.HangOpenConnections()
		_, err = c.Load(ctx, addr)
		Expect(err).To(HaveOccurred())
		l, err := c.Load(ctx, addr)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Version).To(Equal("v1"))
	})

	It("reports an unknown generation as unknown, and cancels it without an error", func() {
		_, err := c.Resume(ctx, addr, "nothing", 0)
		Expect(errors.Is(err, engine.ErrUnknownGeneration)).To(BeTrue(), "%v", err)
		Expect(c.Cancel(ctx, addr, "nothing")).To(Succeed())
	})

	// Guards against generations that continue after they were cancelled.
	It("cancels a running generation", func() {
		r := request("a")
		r.MaxTokens = 100000
		s, err := c.Start(ctx, addr, r)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Cancel(ctx, addr, "a")).To(Succeed())
		_, _, err = read(ctx, s)
		Expect(err).To(MatchError(ContainSubstring("cancelled")))
		Expect(e.Stats().Running).To(BeZero())
	})

	// Guards against an error that says not run although the request may have run, or
	// that does not say so when nothing was sent (promise P5).
	Describe("the failure to start or resume a generation", func() {
		It("says not run when the connection is refused", func() {
			e.Stop()
			_, err := c.Start(ctx, addr, request("a"))
			Expect(refusal(err).NotRun).To(BeTrue())
			_, err = c.Resume(ctx, addr, "a", 0)
			Expect(refusal(err).NotRun).To(BeTrue())
		})
		It("says not run when the context ended before the connection was opened", func() {
			done, cancel := context.WithCancel(ctx)
			cancel()
			_, err := c.Start(done, addr, request("a"))
			Expect(refusal(err).NotRun).To(BeTrue())
			Expect(errors.Is(err, context.Canceled)).To(BeTrue())
		})
		It("does not say not run when no response arrives after the request was sent", func() {
			e.HangAcceptedConnections(1)
			c = completions.New(completions.Options{HeaderTimeout: 100 * time.Millisecond})
			_, err := c.Start(ctx, addr, request("a"))
			Expect(err).To(HaveOccurred())
			var r *engine.RefusedError
			Expect(errors.As(err, &r)).To(BeFalse(), "%v", err)
		})
		It("says not run when the engine says so", func() {
			e.SetFaults(standin.EngineFaults{Leaving: standin.LeavingRefuses})
			_, err := c.Start(ctx, addr, request("a"))
			r := refusal(err)
			Expect(r.NotRun).To(BeTrue())
			Expect(r.Status).To(Equal(http.StatusServiceUnavailable))
			Expect(r.RetryAfter).To(Equal(time.Second))
		})
		It("says not run when the engine serves another version", func() {
			r := request("a")
			r.Version = "v2"
			_, err := c.Start(ctx, addr, r)
			Expect(refusal(err).NotRun).To(BeTrue())
		})
		It("does not say not run when the ID is in use or the engine failed", func() {
			_, err := c.Start(ctx, addr, request("a"))
			Expect(err).NotTo(HaveOccurred())
			_, err = c.Start(ctx, addr, request("a"))
			Expect(refusal(err).NotRun).To(BeFalse())
			e.SetFaults(standin.EngineFaults{BadVersions: map[string]standin.BadVersion{"v1": {Mode: standin.BadFails}}})
			_, err = c.Start(ctx, addr, request("b"))
			Expect(refusal(err).NotRun).To(BeFalse())
		})
	})

	// Guards against an answer that ends early and is taken for a whole one
	// (promise P1).
	DescribeTable("reports an answer that ends early as broken",
		func(f standin.EngineFaults) {
			e.SetFaults(f)
			s, err := c.Start(ctx, addr, request("a"))
			Expect(err).NotTo(HaveOccurred())
			_, tokens, err := read(ctx, s)
			Expect(err).To(HaveOccurred())
			var fin *engine.FinishedError
			Expect(errors.As(err, &fin)).To(BeFalse(), "%v", err)
			Expect(len(tokens)).To(BeNumerically("<", 40))
			_, again := s.Next(ctx)
			Expect(again).To(Equal(err))
		},
		Entry("when the engine process dies", standin.EngineFaults{DieAfterTokens: 10}),
		Entry("with [DONE] but without a finish reason", standin.EngineFaults{BadVersions: map[string]standin.BadVersion{"v1": {Mode: standin.BadTruncated}}}),
		Entry("with an error event", standin.EngineFaults{BadVersions: map[string]standin.BadVersion{"v1": {Mode: standin.BadBreaks}}}),
	)

	// Guards against a crash that counts as a refusal before the run (promise P5):
	// the engine may die before or after the header of its response.
	It("reports a request that crashes the engine as broken", func() {
		e.SetFaults(standin.EngineFaults{CrashMarker: "dedication"})
		s, err := c.Start(ctx, addr, request("a"))
		if err == nil {
			_, _, err = read(ctx, s)
		}
		var fin *engine.FinishedError
		var ref *engine.RefusedError
		Expect(err).To(HaveOccurred())
		Expect(errors.As(err, &fin) || errors.As(err, &ref)).To(BeFalse(), "%v", err)
		Eventually(func() int64 { return e.Stats().Crashes }).Should(Equal(int64(1)))
	})

	// Guards against a Next that cannot be ended on a connection that stopped
	// responding.
	It("ends a blocked Next when its context ends and on Close", func() {
		for _, end := range []func(engine.Stream, context.CancelFunc){
			func(s engine.Stream, _ context.CancelFunc) { _ = s.Close() },
			func(_ engine.Stream, cancel context.CancelFunc) { cancel() },
		} {
			r := request(fmt.Sprint(time.Now().UnixNano()))
			r.MaxTokens = 100000
			s, err := c.Start(ctx, addr, r)
			Expect(err).NotTo(HaveOccurred())
			_, err = s.Next(ctx)
			Expect(err).NotTo(HaveOccurred())
			e.Pause()
			next, cancel := context.WithCancel(ctx)
			done := make(chan error, 1)
			go func() {
				for {
					if _, err := s.Next(next); err != nil {
						done <- err
						return
					}
				}
			}()
			Consistently(done, "50ms").ShouldNot(Receive())
			end(s, cancel)
			Eventually(done).Should(Receive(HaveOccurred()))
			e.Continue()
			cancel()
		}
	})

	// Guards against a stream that ends with the context that bounds its opening.
	It("continues a stream after the context that opened it has ended", func() {
		open, cancel := context.WithCancel(ctx)
		s, err := c.Start(open, addr, request("a"))
		Expect(err).NotTo(HaveOccurred())
		cancel()
		text, _, err := read(ctx, s)
		Expect(finished(err)).To(Equal(engine.FinishLength))
		check(text, 40)
	})

	Describe("Order", func() {
		order := func(fence uint64, version string) error {
			return c.Order(ctx, addr, engine.Order{Fence: fence, Model: "model", Version: version})
		}
		// Guards against a former owner of a move that overrides the current one.
		It("reports an old fencing number that an engine refuses", func() {
			Expect(order(5, "v2")).To(Succeed())
			Expect(order(5, "v2")).To(Succeed())
			Expect(errors.Is(order(4, "v1"), engine.ErrStaleFence)).To(BeTrue())
			Eventually(func(g Gomega) {
				l, err := c.Load(ctx, addr)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(l.Version).To(Equal("v2"))
			}).Should(Succeed())
		})
		It("takes effect with an old fencing number on an engine that ignores fencing numbers", func() {
			e.SetFaults(standin.EngineFaults{Fencing: standin.FencingIgnores})
			Expect(order(5, "v2")).To(Succeed())
			Expect(order(4, "v1")).To(Succeed())
			Expect(e.Stats().Version).To(Equal("v1"))
		})
	})

	It("reads load reports and reports their refusal", func() {
		e.SetFaults(standin.EngineFaults{Leaving: standin.LeavingReported})
		Eventually(func(g Gomega) {
			l, err := c.Load(ctx, addr)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(l.Leaving).To(BeTrue())
			g.Expect(l.Incarnation).To(Equal(e.Stats().Incarnation))
			g.Expect(l.MemoryBytes).To(Equal(int64(4 << 30)))
		}).Should(Succeed())
		e.SetFaults(standin.EngineFaults{Load: standin.LoadLost})
		_, err := c.Load(ctx, addr)
		Expect(refusal(err).Status).To(Equal(http.StatusServiceUnavailable))
	})
})

var _ = Describe("Client with an engine that violates the protocol", func() {
	serve := func(body string) string {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(body))
		}))
		DeferCleanup(srv.Close)
		return srv.Listener.Addr().String()
	}
	// Guards against an engine that stops in the middle of its answer, which then seems to
	// be complete.
	It("takes no stream for finished that is cut off at any place before its finish reason", func() {
		answer := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n" +
			"id: 0\ndata: {\"choices\":[{\"text\":\"a \"}]}\n\ndata: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\n"
		var sent atomic.Int64
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, answer[:sent.Load()])
			_ = conn.Close()
		}))
		DeferCleanup(srv.Close)
		try := func(n int) error {
			sent.Store(int64(n))
			s, err := completions.New(completions.Options{}).Start(context.Background(), srv.Listener.Addr().String(), engine.Request{ID: "a"})
			if err != nil {
				return err
			}
			_, _, err = read(context.Background(), s)
			return err
		}
		var f *engine.FinishedError
		for n := range len(answer) - len("\n\n") {
			err := try(n)
			Expect(err).To(HaveOccurred(), "%q", answer[:n])
			Expect(errors.As(err, &f)).To(BeFalse(), "%q", answer[:n])
		}
		Expect(finished(try(len(answer)))).To(Equal(engine.FinishStop))
	})

	// Guards against a token at the wrong position in the answer (promise P1).
	DescribeTable("reports a stream as broken on",
		func(body, message string) {
			ctx := context.Background()
			s, err := completions.New(completions.Options{}).Start(ctx, serve(body), engine.Request{ID: "a"})
			Expect(err).NotTo(HaveOccurred())
			_, _, err = read(ctx, s)
			Expect(err).To(MatchError(ContainSubstring(message)))
		},
		Entry("a gap in the token indexes", "id: 0\ndata: {\"choices\":[{\"text\":\"a \"}]}\n\nid: 2\ndata: {\"choices\":[{\"text\":\"b \"}]}\n\n", "token 2 where 1 was expected"),
		Entry("a repeated token index", "id: 0\ndata: {\"choices\":[{\"text\":\"a \"}]}\n\nid: 0\ndata: {\"choices\":[{\"text\":\"a \"}]}\n\n", "token 0 where 1 was expected"),
		Entry("a token without an id", "data: {\"choices\":[{\"text\":\"a \"}]}\n\n", "no id"),
		Entry("data that is not JSON", "id: 0\ndata: {\n\n", "not valid JSON"),
		Entry("an unknown finish reason", "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"abort\"}]}\n\n", "abort"),
		Entry("an end without a finish reason", "id: 0\ndata: {\"choices\":[{\"text\":\"a \"}]}\n\n", "unexpected EOF"),
		Entry("a line that is too long", strings.Repeat("x", 100<<10), "longer than"),
	)
	It("accepts comments, CR LF, several data lines and a finish reason in the event of the last token", func() {
		ctx := context.Background()
		body := ": keep-alive\r\n\r\nid: 0\r\ndata: {\"choices\":\r\ndata: [{\"text\":\"a \",\"finish_reason\":\"stop\"}]}\r\n\r\n"
		s, err := completions.New(completions.Options{}).Start(ctx, serve(body), engine.Request{ID: "a"})
		Expect(err).NotTo(HaveOccurred())
		text, _, err := read(ctx, s)
		Expect(finished(err)).To(Equal(engine.FinishStop))
		Expect(text).To(Equal("a "))
	})
	// Guards against a call that blocks for minutes on an engine which accepts the
	// connection but sends no response.
	It("bounds the time until the response header", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		c := completions.New(completions.Options{HeaderTimeout: 50 * time.Millisecond})
		_, err = c.Start(context.Background(), ln.Addr().String(), engine.Request{ID: "a"})
		Expect(err).To(MatchError(ContainSubstring("timeout")))
	})
})
