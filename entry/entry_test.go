package entry_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/cursor"
	"github.com/gooseberryroad/gooseberryroad/document"
	"github.com/gooseberryroad/gooseberryroad/engine"
	"github.com/gooseberryroad/gooseberryroad/entry"
	"github.com/gooseberryroad/gooseberryroad/node"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "entry")
}

// daemon is an Entry behind an HTTP server on loopback.
type daemon struct {
	*entry.Entry
	url string

	mu      sync.Mutex
	results []entry.Result
}

func snapshot(engines int, change func(d *document.Service)) *node.Snapshot {
	doc := &document.Service{
		Name: "dedication", Team: "registro", Kind: document.KindModel, Driver: "engine.fake", Model: "dedication-7b",
		Capabilities: document.Capabilities{Resumes: true, Priorities: true},
		Versions:     document.Versions{Serving: "v1"},
		Accounts: []document.Account{
			{Name: "crew", KeySHA256: document.HashKey("crew key")},
			{Name: "other", KeySHA256: document.HashKey("other key")},
		},
		Limits: document.Limits{MaxBodyBytes: 4096, MaxHeldBytes: 64 << 10, MaxTokens: 1 << 20, MaxDuration: time.Minute},
	}
	if change != nil {
		change(doc)
	}
	view := &node.ServiceView{Doc: doc, Shares: map[string]float64{"v1": 1}}
	for i := range engines {
		view.Upstreams = append(view.Upstreams, node.UpstreamView{
			Upstream: document.Upstream{Name: fmt.Sprintf("e%d", i), Address: address(i), DataCentre: "dc1", Region: "r1", Version: "v1"},
			State:    node.UpstreamAlive,
		})
	}
	return &node.Snapshot{Services: map[string]*node.ServiceView{doc.Name: view}}
}

func newDaemon(f engine.Client, snap *node.Snapshot, change func(o *entry.Options)) *daemon {
	GinkgoHelper()
	sealer, err := cursor.NewSealer("key of the fleet", rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	d := &daemon{}
	o := entry.Options{
		Daemon: "d1", DataCentre: "dc1", Region: "r1",
		Snapshot: func() *node.Snapshot { return snap },
		Clients:  map[string]engine.Client{"engine.fake": f},
		Sealer:   sealer, Seed: 1,
		Report: func(r entry.Result) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.results = append(d.results, r)
		},
	}
	if change != nil {
		change(&o)
	}
	d.Entry = entry.New(o)
	srv := httptest.NewUnstartedServer(d.Handler())
	srv.Config.ConnContext = d.ConnContext
	srv.Start()
	DeferCleanup(srv.Close)
	DeferCleanup(srv.CloseClientConnections)
	d.url = srv.URL
	return d
}

func (d *daemon) outcomes() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for _, r := range d.results {
		out = append(out, r.Outcome)
	}
	return out
}

// Small connections make a caller that does not read visible at once: the
// receive buffer of the default transport takes megabytes.
var client = &http.Client{Transport: &http.Transport{
	DisableKeepAlives: true,
	ReadBufferSize:    1024,
	DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return c, c.(*net.TCPConn).SetReadBuffer(4096)
	},
}}

// post sends a chat request; fields override those of the body.
func (d *daemon) post(ctx context.Context, header map[string]string, fields map[string]any) *http.Response {
	GinkgoHelper()
	body := map[string]any{"model": "dedication-7b", "stream": true, "messages": []map[string]string{{"role": "user", "content": "a dedication"}}}
	for k, v := range fields {
		body[k] = v
	}
	b, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	return d.send(ctx, "/v1/chat/completions", header, b)
}

func (d *daemon) send(ctx context.Context, path string, header map[string]string, b []byte) *http.Response {
	GinkgoHelper()
	conn := new(net.Conn)
	ctx = context.WithValue(ctx, connKey{}, conn)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { *conn = i.Conn }})
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, d.url+path, bytes.NewReader(b))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Authorization", "Bearer crew key")
	for k, v := range header {
		r.Header.Set(k, v)
	}
	c := client
	if ctx.Value(fastKey{}) != nil {
		c = fastClient
	}
	resp, err := c.Do(r)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(resp.Body.Close)
	return resp
}

// event is one server-sent event.
type event struct{ id, name, data string }

type events struct {
	r    *bufio.Reader
	conn net.Conn
	text string
	last string // event ID
}

func read(resp *http.Response) *events {
	GinkgoHelper()
	if resp.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(resp.Body)
		Fail(fmt.Sprintf("status %d: %s", resp.StatusCode, b))
	}
	conn, _ := resp.Request.Context().Value(connKey{}).(*net.Conn)
	return &events{r: bufio.NewReaderSize(resp.Body, 1024), conn: *conn}
}

// fast lets a connection transfer at full speed again.
func (s *events) fast() *events {
	GinkgoHelper()
	Expect(s.conn.(*net.TCPConn).SetReadBuffer(1 << 20)).To(Succeed())
	return s
}

type (
	connKey struct{}
	// fastKey selects fastClient.
	fastKey struct{}
)

// fastClient has the receive buffer of the system.
var fastClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func (s *events) next() (event, error) {
	var ev event
	for {
		line, err := s.r.ReadString('\n')
		if err != nil {
			return ev, err
		}
		line = strings.TrimSuffix(line, "\n")
		switch name, value, _ := strings.Cut(line, ": "); name {
		case "":
			if ev.data == "" {
				continue
			}
			return ev, s.add(ev)
		case "id":
			ev.id, s.last = value, value
		case "event":
			ev.name = value
		case "data":
			ev.data = value
		}
	}
}

func (s *events) add(ev event) error {
	if ev.name != "" || ev.data == "[DONE]" {
		return nil
	}
	var chunk struct {
		Choices []struct {
			Delta struct{ Content string } `json:"delta"`
			Text  string                   `json:"text"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(ev.data), &chunk); err != nil {
		return err
	}
	s.text += chunk.Choices[0].Delta.Content + chunk.Choices[0].Text
	return nil
}

// tokens reads n events.
func (s *events) tokens(n int) {
	GinkgoHelper()
	for range n {
		ev, err := s.next()
		Expect(err).NotTo(HaveOccurred())
		Expect(ev.id).NotTo(BeEmpty())
		Expect(ev.name).To(BeEmpty())
	}
}

// rest reads to the end and returns the last event before [DONE], or the
// event that ended the stream otherwise.
func (s *events) rest() (last event, done bool) {
	GinkgoHelper()
	for {
		ev, err := s.next()
		if err == io.EOF {
			return last, done
		}
		Expect(err).NotTo(HaveOccurred())
		if ev.data == "[DONE]" {
			done = true
			continue
		}
		Expect(ev.id).NotTo(BeEmpty())
		last = ev
	}
}

type refusalBody struct {
	Error struct{ Message, Type, Code, Outcome string } `json:"error"`
}

func refused(resp *http.Response) refusalBody {
	GinkgoHelper()
	var b refusalBody
	Expect(json.NewDecoder(resp.Body).Decode(&b)).To(Succeed())
	Expect(b.Error.Message).NotTo(BeEmpty())
	Expect(b.Error.Type).NotTo(BeEmpty())
	return b
}

// running returns the index of the only engine with a running generation.
func running(f *fleet, n int) int {
	GinkgoHelper()
	found := -1
	for i := range n {
		if f.at(address(i)).get(func(e *fakeEngine) int { return len(e.running) }) > 0 {
			Expect(found).To(Equal(-1))
			found = i
		}
	}
	Expect(found).NotTo(Equal(-1))
	return found
}

var ctx = context.Background()

var _ = Describe("a streamed answer", func() {
	// Guards against tokens that are lost, repeated or sent without a cursor.
	It("arrives whole with a cursor on each event", func() {
		d := newDaemon(newFleet(2, 50), snapshot(2, nil), nil)
		resp := d.post(ctx, map[string]string{"X-Request-Id": "r-1"}, nil)
		Expect(resp.Header.Get("X-Request-Id")).To(Equal("r-1"))
		s := read(resp)
		s.tokens(50)
		last, done := s.rest()
		Expect(done).To(BeTrue())
		Expect(last.data).To(ContainSubstring(`"finish_reason":"stop"`))
		Expect(s.text).To(Equal(answerText("v1", 50)))
		Eventually(d.outcomes).Should(Equal([]string{entry.OutcomeComplete}))
	})

	// Guards against P1 and P2 broken by an engine that dies.
	It("continues at another engine with the delivered prefix", func() {
		f := newFleet(2, 50)
		for i := range 2 {
			f.at(address(i)).set(func(e *fakeEngine) { e.allowed = 20 })
		}
		d := newDaemon(f, snapshot(2, nil), nil)
		s := read(d.post(ctx, nil, nil))
		s.tokens(20)
		first := running(f, 2)
		second := f.at(address(1 - first))
		f.at(address(first)).kill()
		second.set(func(e *fakeEngine) { e.allowed = 50 })
		_, done := s.rest()
		Expect(done).To(BeTrue())
		Expect(s.text).To(Equal(answerText("v1", 50)))
		Expect(second.starts).To(HaveLen(1))
		Expect(second.starts[0].Prefix).To(Equal(answerText("v1", 20)))
		Expect(second.starts[0].PrefixTokens).To(Equal(20))
		Expect(second.starts[0].Priority).To(BeNumerically("<", 10))
		Eventually(d.outcomes).Should(Equal([]string{entry.OutcomeLost, entry.OutcomeComplete}))
	})

	// Guards against an engine that is paused mid-output: its attempt must be
	// cancelled once it wakes up.
	It("moves away from a paused engine within 4 s and cancels there later", func() {
		f := newFleet(2, 50)
		for i := range 2 {
			f.at(address(i)).set(func(e *fakeEngine) { e.allowed = 20 })
		}
		d := newDaemon(f, snapshot(2, nil), nil)
		s := read(d.post(ctx, nil, nil))
		s.tokens(20)
		first := running(f, 2)
		paused := f.at(address(first))
		paused.set(func(e *fakeEngine) { e.paused = true })
		f.at(address(1 - first)).set(func(e *fakeEngine) { e.allowed = 50 })
		began := time.Now()
		s.tokens(1)
		Expect(time.Since(began)).To(BeNumerically("<", patience))
		paused.set(func(e *fakeEngine) { e.paused, e.allowed = false, 50 })
		_, done := s.rest()
		Expect(done).To(BeTrue())
		Expect(s.text).To(Equal(answerText("v1", 50)))
		Eventually(func() int { return paused.get(func(e *fakeEngine) int { return len(e.cancels) }) }, patience).Should(Equal(1))
	})

	// Guards against each request finding out by itself that an engine is
	// paused: it has the least load then and would be chosen most.
	It("keeps other requests away from an engine that was lost", func() {
		f := newFleet(2, 50)
		for i := range 2 {
			f.at(address(i)).set(func(e *fakeEngine) { e.allowed = 20 })
		}
		d := newDaemon(f, snapshot(2, nil), nil)
		s := read(d.post(ctx, nil, nil))
		s.tokens(20)
		first := running(f, 2)
		paused := f.at(address(first))
		paused.set(func(e *fakeEngine) { e.paused = true })
		f.at(address(1 - first)).set(func(e *fakeEngine) { e.allowed = 50 })
		_, done := s.rest()
		Expect(done).To(BeTrue())
		for range 5 {
			_, done := read(d.post(ctx, nil, nil)).rest()
			Expect(done).To(BeTrue())
		}
		Expect(paused.get(func(e *fakeEngine) int { return e.dials })).To(Equal(1))
	})

	// Guards against a second generation when only the connection died.
	It("resumes at the same engine when a connection goes silent", func() {
		f := newFleet(2, 50)
		for i := range 2 {
			f.at(address(i)).set(func(e *fakeEngine) { e.allowed = 20 })
		}
		d := newDaemon(f, snapshot(2, nil), nil)
		s := read(d.post(ctx, nil, nil))
		s.tokens(20)
		e := f.at(address(running(f, 2)))
		e.set(func(e *fakeEngine) { e.muted, e.allowed = e.conns, 50 })
		_, done := s.rest()
		Expect(done).To(BeTrue())
		Expect(s.text).To(Equal(answerText("v1", 50)))
		Expect(e.starts).To(HaveLen(1))
		Expect(e.resumes).To(Equal(1))
	})
})

var _ = Describe("reconnecting", func() {
	var f *fleet
	var d1, d2 *daemon
	var s *events
	BeforeEach(func() {
		f = newFleet(2, 50)
		for i := range 2 {
			f.at(address(i)).set(func(e *fakeEngine) { e.allowed = 20 })
		}
		adopted := func(daemon, generation string) {
			if daemon == "d1" {
				d1.GenerationAdopted(generation)
			}
		}
		d1 = newDaemon(f, snapshot(2, nil), nil)
		d2 = newDaemon(f, snapshot(2, nil), func(o *entry.Options) { o.Daemon, o.OnAdopted = "d2", adopted })
		lost, lose := context.WithCancel(ctx)
		s = read(d1.post(lost, nil, nil))
		s.tokens(15)
		lose()
		for i := range 2 {
			f.at(address(i)).set(func(e *fakeEngine) { e.allowed = 50 })
		}
	})

	// Guards against lost or repeated tokens when an entry VM dies.
	It("continues the running generation at another daemon", func() {
		again := read(d2.post(ctx, map[string]string{"Last-Event-ID": s.last}, nil))
		_, done := again.rest()
		Expect(done).To(BeTrue())
		Expect(s.text + again.text).To(Equal(answerText("v1", 50)))
		n := len(f.at(address(0)).starts) + len(f.at(address(1)).starts)
		Expect(n).To(Equal(1))
	})

	// Guards against cursors that work only once: the running hash must go on
	// at the next daemon.
	It("continues twice, the second time with the delivered text", func() {
		for i := range 2 {
			f.at(address(i)).set(func(e *fakeEngine) { e.allowed = 30 })
		}
		lost, lose := context.WithCancel(ctx)
		second := read(d2.post(lost, map[string]string{"Last-Event-ID": s.last}, nil))
		second.tokens(10)
		lose()
		f.at(address(running(f, 2))).kill()
		for i := range 2 {
			f.at(address(i)).set(func(e *fakeEngine) { e.allowed = 50 })
		}
		third := read(d1.post(ctx, map[string]string{"Last-Event-ID": second.last}, map[string]any{"delivered_text": s.text + second.text}))
		_, done := third.rest()
		Expect(done).To(BeTrue())
		Expect(s.text + second.text + third.text).To(Equal(answerText("v1", 50)))
	})

	// Guards against two daemons that run one generation: the first may lose
	// the engine, move the generation and cancel the attempt under the second.
	It("ends the old connection, wherever it is, without a cancel", func() {
		for _, second := range []*daemon{d1, d2} {
			f := f
			for i := range 2 {
				f.at(address(i)).set(func(e *fakeEngine) { e.allowed, e.running, e.cancels = 20, map[string]*fakeGeneration{}, nil })
			}
			old := read(d1.post(ctx, nil, nil))
			old.tokens(15)
			e := f.at(address(running(f, 2)))
			e.set(func(e *fakeEngine) { e.allowed = 25 })
			again := read(second.post(ctx, map[string]string{"Last-Event-ID": old.last}, nil))
			again.tokens(10)
			Eventually(d1.Running).Should(Equal(map[bool]int{true: 1, false: 0}[second == d1]))
			e.set(func(e *fakeEngine) { e.allowed = 50 })
			_, done := again.rest()
			Expect(done).To(BeTrue())
			Expect(answerText("v1", 50)).To(HaveSuffix(again.text))
			Expect(e.cancels).To(BeEmpty())
		}
	})

	// Guards against a second generation appended to the first.
	It("is refused when the engine is gone and no text is returned", func() {
		f.at(address(running(f, 2))).kill()
		resp := d2.post(ctx, map[string]string{"Last-Event-ID": s.last}, nil)
		Expect(resp.StatusCode).To(Equal(http.StatusGone))
		b := refused(resp)
		Expect(b.Error.Code).To(Equal("generation_lost"))
		Expect(b.Error.Outcome).To(Equal("may_have_run"))
	})

	// Guards against a continuation of text that was not delivered, of another
	// request or of another account.
	DescribeTable("is refused for", func(header map[string]string, fields map[string]any, status int, code string) {
		h := map[string]string{"Last-Event-ID": s.last}
		for k, v := range header {
			h[k] = v
		}
		resp := d2.post(ctx, h, fields)
		Expect(resp.StatusCode).To(Equal(status))
		b := refused(resp)
		Expect(b.Error.Code).To(Equal(code))
		Expect(b.Error.Outcome).To(Equal("may_have_run"))
	},
		Entry("text that was not delivered", nil, map[string]any{"delivered_text": "something else"}, 409, "delivered_text_mismatch"),
		Entry("another body", nil, map[string]any{"max_tokens": 7}, 409, "cursor_mismatch"),
		Entry("another account", map[string]string{"Authorization": "Bearer other key"}, nil, 400, "bad_cursor"),
		Entry("no cursor", map[string]string{"Last-Event-ID": "abc"}, nil, 400, "bad_cursor"),
	)
})

var _ = Describe("an answer that is not streamed", func() {
	// Guards against a loss that shows in the answer.
	It("is whole after the loss of an engine", func() {
		f := newFleet(2, 30)
		for i := range 2 {
			f.at(address(i)).set(func(e *fakeEngine) { e.allowed = 10 })
		}
		d := newDaemon(f, snapshot(2, nil), nil)
		go func() {
			defer GinkgoRecover()
			Eventually(func() int { return int(d.Held().Total) }, patience).Should(BeNumerically(">", 0))
			f.at(address(running(f, 2))).kill()
			for i := range 2 {
				f.at(address(i)).set(func(e *fakeEngine) { e.allowed = 30 })
			}
		}()
		resp := d.send(ctx, "/v1/completions", nil, []byte(`{"model":"dedication-7b","prompt":"a dedication"}`))
		var b struct {
			Choices []struct {
				Text         string
				FinishReason string `json:"finish_reason"`
			}
		}
		Expect(json.NewDecoder(resp.Body).Decode(&b)).To(Succeed())
		Expect(b.Choices[0].Text).To(Equal(answerText("v1", 30)))
		Expect(b.Choices[0].FinishReason).To(Equal("stop"))
	})
})

var _ = Describe("many requests", func() {
	// Guards against answers that are crossed, cut or mixed (P1, P2, P4) while
	// one engine dies and another is paused, twice.
	It("get their own whole answers while two engines are lost at a time", func() {
		const n, total = 40, 150
		f := newFleet(5, total)
		each := func(change func(e *fakeEngine)) {
			for i := range 5 {
				f.at(address(i)).set(change)
			}
		}
		each(func(e *fakeEngine) { e.allowed = 10 })
		d := newDaemon(f, snapshot(5, nil), nil)
		var wg sync.WaitGroup
		texts := make([]string, n)
		for i := range n {
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer GinkgoRecover()
				body := fmt.Sprintf(`{"model":"dedication-7b","stream":true,"prompt":"#%d"}`, i)
				s := read(d.send(ctx, "/v1/completions", nil, []byte(body)))
				last, done := s.rest()
				Expect(done).To(BeTrue(), last.data)
				texts[i] = s.text
			}()
		}
		pace := time.NewTicker(20 * time.Millisecond)
		defer pace.Stop()
		for step := 10; step <= total; step++ {
			<-pace.C
			each(func(e *fakeEngine) { e.allowed = step })
			switch step {
			case 30:
				f.at(address(0)).kill()
				f.at(address(1)).set(func(e *fakeEngine) { e.paused = true })
			case 90:
				f.at(address(1)).set(func(e *fakeEngine) { e.paused = false })
				f.at(address(2)).kill()
				f.at(address(3)).set(func(e *fakeEngine) { e.paused = true })
			}
		}
		wg.Wait()
		for i, text := range texts {
			Expect(text).To(Equal(answerText(fmt.Sprintf("v1#%d", i), total)))
		}
	})
})

var _ = Describe("refusals", func() {
	// Guards against a refusal without a type, or with a false outcome.
	DescribeTable("say what happened", func(header map[string]string, body string, status int, code string) {
		f := newFleet(1, 5)
		d := newDaemon(f, snapshot(1, nil), nil)
		resp := d.send(ctx, "/v1/chat/completions", header, []byte(body))
		Expect(resp.StatusCode).To(Equal(status))
		b := refused(resp)
		Expect(b.Error.Code).To(Equal(code))
		Expect(b.Error.Outcome).To(Equal("not_run"))
		Expect(f.at(address(0)).starts).To(BeEmpty())
	},
		Entry("no key", map[string]string{"Authorization": ""}, `{}`, 401, "no_key"),
		Entry("unknown key", map[string]string{"Authorization": "Bearer x"}, `{}`, 401, "invalid_api_key"),
		Entry("no JSON", nil, `x`, 400, "bad_body"),
		Entry("unknown model", nil, `{"model":"x"}`, 404, "unknown_model"),
		Entry("no messages", nil, `{"model":"dedication-7b"}`, 400, "bad_body"),
		Entry("too many tokens", nil, `{"model":"dedication-7b","max_tokens":9999999,"messages":[{"role":"user","content":"a"}]}`, 400, "bad_max_tokens"),
		Entry("a body over the limit", nil, `{"model":"dedication-7b","messages":[{"role":"user","content":"`+strings.Repeat("a", 5000)+`"}]}`, 413, "body_too_large"),
		Entry("a bad timeout", map[string]string{"X-Request-Timeout-Ms": "-1"}, `{"model":"dedication-7b","messages":[{"role":"user","content":"a"}]}`, 400, "bad_timeout"),
		Entry("text without a cursor", nil, `{"model":"dedication-7b","delivered_text":"a","messages":[{"role":"user","content":"a"}]}`, 400, "bad_body"),
	)

	// Guards against not_run said after an engine began (P5), and the reverse
	// where the engine is known not to have begun.
	DescribeTable("after attempts", func(change func(e *fakeEngine), header map[string]string, status int, code, outcome string) {
		f := newFleet(1, 5)
		f.at(address(0)).set(change)
		d := newDaemon(f, snapshot(1, nil), nil)
		resp := d.post(ctx, header, nil)
		Expect(resp.StatusCode).To(Equal(status))
		b := refused(resp)
		Expect(b.Error.Code).To(Equal(code))
		Expect(b.Error.Outcome).To(Equal(outcome))
	},
		Entry("the engine refuses connections", func(e *fakeEngine) { e.dead = true }, nil, 503, "retries_exhausted", "not_run"),
		Entry("the engine rejects the request", func(e *fakeEngine) { e.refusal = &engine.RefusedError{Status: 400, NotRun: true} }, nil, 400, "engine_refused", "not_run"),
		Entry("the engine gives nothing until the deadline", func(e *fakeEngine) { e.allowed = 0 },
			map[string]string{"X-Request-Timeout-Ms": "200"}, 504, "deadline_exceeded", "may_have_run"),
	)
})

var _ = Describe("draining", func() {
	// Guards against P8 broken by a planned stop, and against a refusal that
	// is not marked not_run.
	It("lets running work finish and refuses new work", func() {
		f := newFleet(1, 50)
		f.at(address(0)).set(func(e *fakeEngine) { e.allowed = 20 })
		d := newDaemon(f, snapshot(1, nil), nil)
		s := read(d.post(ctx, nil, nil))
		s.tokens(20)
		drained := make(chan struct{})
		go func() { d.Drain(ctx); close(drained) }()
		Eventually(func() int { return d.post(ctx, nil, nil).StatusCode }).Should(Equal(503))
		b := refused(d.post(ctx, nil, nil))
		Expect(b.Error.Code).To(Equal("draining"))
		Expect(b.Error.Outcome).To(Equal("not_run"))
		Consistently(drained, "100ms").ShouldNot(BeClosed())
		f.at(address(0)).set(func(e *fakeEngine) { e.allowed = 50 })
		_, done := s.rest()
		Expect(done).To(BeTrue())
		Expect(s.text).To(Equal(answerText("v1", 50)))
		Eventually(drained).Should(BeClosed())
	})

	// Guards against an answer without cursors that the drain deadline cuts (P8).
	It("lets what is not streamed end after the deadline", func() {
		f := newFleet(1, 50)
		f.at(address(0)).set(func(e *fakeEngine) { e.allowed = 20 })
		d := newDaemon(f, snapshot(1, nil), nil)
		expired, cancel := context.WithCancel(ctx)
		cancel()
		go func() {
			defer GinkgoRecover()
			Eventually(func() int { return f.at(address(0)).get(func(e *fakeEngine) int { return len(e.starts) }) }, patience).Should(Equal(1))
			go d.Drain(expired)
			Eventually(func() int { return d.post(ctx, nil, nil).StatusCode }, patience).Should(Equal(503))
			f.at(address(0)).set(func(e *fakeEngine) { e.allowed = 50 })
		}()
		resp := d.post(ctx, nil, map[string]any{"stream": false})
		Expect(resp.StatusCode).To(Equal(200))
	})

	// Guards against an answer that is cut without a word: a caller without
	// cursors is told the truth, and its attempt does not run on.
	It("refuses what is not streamed when it is cut", func() {
		f := newFleet(1, 50)
		f.at(address(0)).set(func(e *fakeEngine) { e.allowed = 20 })
		d := newDaemon(f, snapshot(1, nil), nil)
		go func() {
			defer GinkgoRecover()
			Eventually(func() int { return f.at(address(0)).get(func(e *fakeEngine) int { return len(e.starts) }) }, patience).Should(Equal(1))
			d.EndAll()
		}()
		resp := d.post(ctx, nil, map[string]any{"stream": false})
		Expect(resp.StatusCode).To(Equal(503))
		b := refused(resp)
		Expect(b.Error.Code).To(Equal("draining"))
		Expect(b.Error.Outcome).To(Equal("may_have_run"))
		Eventually(func() int { return f.at(address(0)).get(func(e *fakeEngine) int { return len(e.cancels) }) }, patience).Should(Equal(1))
	})

	// Guards against a request that a graceful shutdown cuts (P8).
	It("hands streams over at the deadline without a gap", func() {
		f := newFleet(1, 50)
		f.at(address(0)).set(func(e *fakeEngine) { e.allowed = 20 })
		d1 := newDaemon(f, snapshot(1, nil), nil)
		d2 := newDaemon(f, snapshot(1, nil), nil)
		s := read(d1.post(ctx, nil, nil))
		s.tokens(20)
		expired, cancel := context.WithCancel(ctx)
		cancel()
		d1.Drain(expired)
		last, done := s.rest()
		Expect(done).To(BeFalse())
		Expect(last.name).To(Equal("reconnect"))
		f.at(address(0)).set(func(e *fakeEngine) { e.allowed = 50 })
		again := read(d2.post(ctx, map[string]string{"Last-Event-ID": last.id}, nil))
		_, done = again.rest()
		Expect(done).To(BeTrue())
		Expect(s.text + again.text).To(Equal(answerText("v1", 50)))
		Expect(f.at(address(0)).starts).To(HaveLen(1))
	})
})

var _ = Describe("a caller that goes away", func() {
	// Guards against an attempt that runs for no one, and against one that is
	// cancelled although its caller reconnected.
	It("has its attempt cancelled after the grace unless it is adopted", func() {
		f := newFleet(1, 50)
		f.at(address(0)).set(func(e *fakeEngine) { e.allowed = 20 })
		var mu sync.Mutex
		var timers []func()
		d := newDaemon(f, snapshot(1, nil), func(o *entry.Options) {
			o.AfterFunc = func(wait time.Duration, f func()) func() bool {
				mu.Lock()
				defer mu.Unlock()
				if wait == 15*time.Second {
					timers = append(timers, f)
				}
				return func() bool { return true }
			}
		})
		waiting := func() int { mu.Lock(); defer mu.Unlock(); return len(timers) }
		cancels := func() int { return f.at(address(0)).get(func(e *fakeEngine) int { return len(e.cancels) }) }
		go1, leave1 := context.WithCancel(ctx)
		s := read(d.post(go1, nil, nil))
		s.tokens(20)
		leave1()
		Eventually(waiting, patience).Should(Equal(1))
		go2, leave2 := context.WithCancel(ctx)
		f.at(address(0)).set(func(e *fakeEngine) { e.allowed = 25 })
		read(d.post(go2, map[string]string{"Last-Event-ID": s.last}, nil)).tokens(5)
		timers[0]()
		Consistently(cancels, "50ms").Should(Equal(0))
		leave2()
		Eventually(waiting, patience).Should(Equal(2))
		timers[1]()
		Eventually(cancels, patience).Should(Equal(1))
	})
})
