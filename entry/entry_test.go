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

// client has small buffers, so that the daemon notices soon when a test does not
// read. The receive buffer of the default transport holds megabytes.
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

// post sends a streamed chat request; fields are added to its body or replace those
// of the default body.
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
	if ctx.Value(fastClientKey{}) != nil {
		c = fastClient
	}
	resp, err := c.Do(r)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(resp.Body.Close)
	return resp
}

// event is one server-sent event.
type event struct{ id, name, data string }

type eventStream struct {
	r           *bufio.Reader
	conn        net.Conn
	text        string
	lastEventID string
}

func openStream(resp *http.Response) *eventStream {
	GinkgoHelper()
	if resp.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(resp.Body)
		Fail(fmt.Sprintf("status %d: %s", resp.StatusCode, b))
	}
	conn, _ := resp.Request.Context().Value(connKey{}).(*net.Conn)
	return &eventStream{r: bufio.NewReaderSize(resp.Body, 1024), conn: *conn}
}

// readFast enlarges the receive buffer, so that the connection transfers at full
// speed again.
func (s *eventStream) readFast() *eventStream {
	GinkgoHelper()
	Expect(s.conn.(*net.TCPConn).SetReadBuffer(1 << 20)).To(Succeed())
	return s
}

type (
	connKey struct{}
	// fastClientKey is the context key that selects fastClient.
	fastClientKey struct{}
)

// fastClient uses the system's default receive buffer.
var fastClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func (s *eventStream) next() (event, error) {
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
			return ev, s.appendText(ev)
		case "id":
			ev.id, s.lastEventID = value, value
		case "event":
			ev.name = value
		case "data":
			ev.data = value
		}
	}
}

func (s *eventStream) appendText(ev event) error {
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

// expectTokens reads n events, each of which must have a cursor and a token.
func (s *eventStream) expectTokens(n int) {
	GinkgoHelper()
	for range n {
		ev, err := s.next()
		Expect(err).NotTo(HaveOccurred())
		Expect(ev.id).NotTo(BeEmpty())
		Expect(ev.name).To(BeEmpty())
	}
}

// readRest reads to the end of the stream and returns the last event other than
// [DONE]. done reports whether [DONE] was read.
func (s *eventStream) readRest() (last event, done bool) {
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

func decodeRefusal(resp *http.Response) refusalBody {
	GinkgoHelper()
	var b refusalBody
	Expect(json.NewDecoder(resp.Body).Decode(&b)).To(Succeed())
	Expect(b.Error.Message).NotTo(BeEmpty())
	Expect(b.Error.Type).NotTo(BeEmpty())
	return b
}

// runningEngine returns the index of the only engine that runs a generation.
func runningEngine(f *fakeEngines, n int) int {
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
	It("arrives complete with a cursor on each event", func() {
		d := newDaemon(newFakeEngines(2, 50), snapshot(2, nil), nil)
		resp := d.post(ctx, map[string]string{"X-Request-Id": "r-1"}, nil)
		Expect(resp.Header.Get("X-Request-Id")).To(Equal("r-1"))
		s := openStream(resp)
		s.expectTokens(50)
		last, done := s.readRest()
		Expect(done).To(BeTrue())
		Expect(last.data).To(ContainSubstring(`"finish_reason":"stop"`))
		Expect(s.text).To(Equal(answerText("v1", 50)))
		Eventually(d.outcomes).Should(Equal([]string{entry.OutcomeComplete}))
	})

	// Guards against missing or repeated tokens (promise P1 in docs/proof.md) and
	// against a change of version within one answer (promise P2) when an engine
	// dies.
	It("continues at another engine with the delivered prefix", func() {
		f := newFakeEngines(2, 50)
		for i := range 2 {
			f.at(address(i)).set(func(e *fakeEngine) { e.allowedTokens = 20 })
		}
		d := newDaemon(f, snapshot(2, nil), nil)
		s := openStream(d.post(ctx, nil, nil))
		s.expectTokens(20)
		first := runningEngine(f, 2)
		second := f.at(address(1 - first))
		f.at(address(first)).kill()
		second.set(func(e *fakeEngine) { e.allowedTokens = 50 })
		_, done := s.readRest()
		Expect(done).To(BeTrue())
		Expect(s.text).To(Equal(answerText("v1", 50)))
		Expect(second.starts).To(HaveLen(1))
		Expect(second.starts[0].Prefix).To(Equal(answerText("v1", 20)))
		Expect(second.starts[0].PrefixTokens).To(Equal(20))
		Expect(second.starts[0].Priority).To(BeNumerically("<", 10))
		Eventually(d.outcomes).Should(Equal([]string{entry.OutcomeLost, entry.OutcomeComplete}))
	})

	// Guards against an answer that waits for an engine paused in the middle of its
	// output, and against an attempt that goes on there after the pause: it must be
	// cancelled once the engine continues.
	It("moves away from a paused engine within 4 s and cancels the attempt there later", func() {
		f := newFakeEngines(2, 50)
		for i := range 2 {
			f.at(address(i)).set(func(e *fakeEngine) { e.allowedTokens = 20 })
		}
		d := newDaemon(f, snapshot(2, nil), nil)
		s := openStream(d.post(ctx, nil, nil))
		s.expectTokens(20)
		first := runningEngine(f, 2)
		paused := f.at(address(first))
		paused.set(func(e *fakeEngine) { e.paused = true })
		f.at(address(1 - first)).set(func(e *fakeEngine) { e.allowedTokens = 50 })
		began := time.Now()
		s.expectTokens(1)
		Expect(time.Since(began)).To(BeNumerically("<", waitTimeout))
		paused.set(func(e *fakeEngine) { e.paused, e.allowedTokens = false, 50 })
		_, done := s.readRest()
		Expect(done).To(BeTrue())
		Expect(s.text).To(Equal(answerText("v1", 50)))
		Eventually(func() int { return paused.get(func(e *fakeEngine) int { return len(e.cancels) }) }, waitTimeout).Should(Equal(1))
	})

	// Guards against requests that each wait for the same paused engine. A paused
	// engine has the least load, so without the avoidance it would be chosen most
	// often.
	It("keeps other requests away from an engine that was lost", func() {
		f := newFakeEngines(2, 50)
		for i := range 2 {
			f.at(address(i)).set(func(e *fakeEngine) { e.allowedTokens = 20 })
		}
		d := newDaemon(f, snapshot(2, nil), nil)
		s := openStream(d.post(ctx, nil, nil))
		s.expectTokens(20)
		first := runningEngine(f, 2)
		paused := f.at(address(first))
		paused.set(func(e *fakeEngine) { e.paused = true })
		f.at(address(1 - first)).set(func(e *fakeEngine) { e.allowedTokens = 50 })
		_, done := s.readRest()
		Expect(done).To(BeTrue())
		for range 5 {
			_, done := openStream(d.post(ctx, nil, nil)).readRest()
			Expect(done).To(BeTrue())
		}
		Expect(paused.get(func(e *fakeEngine) int { return e.startCalls })).To(Equal(1))
	})

	// Guards against a second generation when only the connection was lost.
	It("resumes at the same engine when a connection goes silent", func() {
		f := newFakeEngines(2, 50)
		for i := range 2 {
			f.at(address(i)).set(func(e *fakeEngine) { e.allowedTokens = 20 })
		}
		d := newDaemon(f, snapshot(2, nil), nil)
		s := openStream(d.post(ctx, nil, nil))
		s.expectTokens(20)
		e := f.at(address(runningEngine(f, 2)))
		e.set(func(e *fakeEngine) { e.silentConns, e.allowedTokens = e.connCount, 50 })
		_, done := s.readRest()
		Expect(done).To(BeTrue())
		Expect(s.text).To(Equal(answerText("v1", 50)))
		Expect(e.starts).To(HaveLen(1))
		Expect(e.resumes).To(Equal(1))
	})
})

var _ = Describe("reconnecting", func() {
	var f *fakeEngines
	var d1, d2 *daemon
	var s *eventStream
	BeforeEach(func() {
		f = newFakeEngines(2, 50)
		for i := range 2 {
			f.at(address(i)).set(func(e *fakeEngine) { e.allowedTokens = 20 })
		}
		adopted := func(daemon, generation string) {
			if daemon == "d1" {
				d1.GenerationAdopted(generation)
			}
		}
		d1 = newDaemon(f, snapshot(2, nil), nil)
		d2 = newDaemon(f, snapshot(2, nil), func(o *entry.Options) { o.Daemon, o.OnAdopted = "d2", adopted })
		lost, lose := context.WithCancel(ctx)
		s = openStream(d1.post(lost, nil, nil))
		s.expectTokens(15)
		lose()
		for i := range 2 {
			f.at(address(i)).set(func(e *fakeEngine) { e.allowedTokens = 50 })
		}
	})

	// Guards against lost or repeated tokens when the VM of the daemon dies.
	It("continues the running generation at another daemon", func() {
		again := openStream(d2.post(ctx, map[string]string{"Last-Event-ID": s.lastEventID}, nil))
		_, done := again.readRest()
		Expect(done).To(BeTrue())
		Expect(s.text + again.text).To(Equal(answerText("v1", 50)))
		n := len(f.at(address(0)).starts) + len(f.at(address(1)).starts)
		Expect(n).To(Equal(1))
	})

	// Guards against cursors that work only once: the running hash of the delivered
	// text must be continued by the next daemon.
	It("continues twice, the second time with the delivered text", func() {
		for i := range 2 {
			f.at(address(i)).set(func(e *fakeEngine) { e.allowedTokens = 30 })
		}
		lost, lose := context.WithCancel(ctx)
		second := openStream(d2.post(lost, map[string]string{"Last-Event-ID": s.lastEventID}, nil))
		second.expectTokens(10)
		lose()
		f.at(address(runningEngine(f, 2))).kill()
		for i := range 2 {
			f.at(address(i)).set(func(e *fakeEngine) { e.allowedTokens = 50 })
		}
		third := openStream(d1.post(ctx, map[string]string{"Last-Event-ID": second.lastEventID}, map[string]any{"delivered_text": s.text + second.text}))
		_, done := third.readRest()
		Expect(done).To(BeTrue())
		Expect(s.text + second.text + third.text).To(Equal(answerText("v1", 50)))
	})

	// Guards against two daemons that run one generation: the first one could lose
	// its connection to the engine, move the generation and cancel the attempt that
	// the second one continues.
	It("closes the old connection at any daemon without cancelling the attempt", func() {
		for _, second := range []*daemon{d1, d2} {
			f := f
			for i := range 2 {
				f.at(address(i)).set(func(e *fakeEngine) { e.allowedTokens, e.running, e.cancels = 20, map[string]*fakeGeneration{}, nil })
			}
			old := openStream(d1.post(ctx, nil, nil))
			old.expectTokens(15)
			e := f.at(address(runningEngine(f, 2)))
			e.set(func(e *fakeEngine) { e.allowedTokens = 25 })
			again := openStream(second.post(ctx, map[string]string{"Last-Event-ID": old.lastEventID}, nil))
			again.expectTokens(10)
			Eventually(d1.Running).Should(Equal(map[bool]int{true: 1, false: 0}[second == d1]))
			e.set(func(e *fakeEngine) { e.allowedTokens = 50 })
			_, done := again.readRest()
			Expect(done).To(BeTrue())
			Expect(answerText("v1", 50)).To(HaveSuffix(again.text))
			Expect(e.cancels).To(BeEmpty())
		}
	})

	// Guards against an answer that consists of the beginning of one generation and
	// the end of another.
	It("is refused when the engine is gone and no text is returned", func() {
		f.at(address(runningEngine(f, 2))).kill()
		resp := d2.post(ctx, map[string]string{"Last-Event-ID": s.lastEventID}, nil)
		Expect(resp.StatusCode).To(Equal(http.StatusGone))
		b := decodeRefusal(resp)
		Expect(b.Error.Code).To(Equal("generation_lost"))
		Expect(b.Error.Outcome).To(Equal("may_have_run"))
	})

	// Guards against a continuation of text that was not delivered, of another
	// request or of another account.
	DescribeTable("is refused for", func(header map[string]string, fields map[string]any, status int, code string) {
		h := map[string]string{"Last-Event-ID": s.lastEventID}
		for k, v := range header {
			h[k] = v
		}
		resp := d2.post(ctx, h, fields)
		Expect(resp.StatusCode).To(Equal(status))
		b := decodeRefusal(resp)
		Expect(b.Error.Code).To(Equal(code))
		Expect(b.Error.Outcome).To(Equal("may_have_run"))
	},
		Entry("text that was not delivered", nil, map[string]any{"delivered_text": "something else"}, 409, "delivered_text_mismatch"),
		Entry("another body", nil, map[string]any{"max_tokens": 7}, 409, "cursor_mismatch"),
		Entry("another account", map[string]string{"Authorization": "Bearer other key"}, nil, 400, "bad_cursor"),
		Entry("an invalid cursor", map[string]string{"Last-Event-ID": "abc"}, nil, 400, "bad_cursor"),
	)
})

var _ = Describe("an answer that is not streamed", func() {
	// Guards against an answer in which the loss of an engine is visible.
	It("is complete after the loss of an engine", func() {
		f := newFakeEngines(2, 30)
		for i := range 2 {
			f.at(address(i)).set(func(e *fakeEngine) { e.allowedTokens = 10 })
		}
		d := newDaemon(f, snapshot(2, nil), nil)
		go func() {
			defer GinkgoRecover()
			Eventually(func() int { return int(d.Held().Total) }, waitTimeout).Should(BeNumerically(">", 0))
			f.at(address(runningEngine(f, 2))).kill()
			for i := range 2 {
				f.at(address(i)).set(func(e *fakeEngine) { e.allowedTokens = 30 })
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
	// Guards against answers that are incomplete (promise P1), mix versions
	// (promise P2) or belong to another request (promise P4) when, twice, one
	// engine dies and another is paused.
	It("get their own complete answers while two engines at a time are lost", func() {
		const n, total = 40, 150
		f := newFakeEngines(5, total)
		each := func(change func(e *fakeEngine)) {
			for i := range 5 {
				f.at(address(i)).set(change)
			}
		}
		each(func(e *fakeEngine) { e.allowedTokens = 10 })
		d := newDaemon(f, snapshot(5, nil), nil)
		var wg sync.WaitGroup
		texts := make([]string, n)
		for i := range n {
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer GinkgoRecover()
				body := fmt.Sprintf(`{"model":"dedication-7b","stream":true,"prompt":"#%d"}`, i)
				s := openStream(d.send(ctx, "/v1/completions", nil, []byte(body)))
				last, done := s.readRest()
				Expect(done).To(BeTrue(), last.data)
				texts[i] = s.text
			}()
		}
		pace := time.NewTicker(20 * time.Millisecond)
		defer pace.Stop()
		for step := 10; step <= total; step++ {
			<-pace.C
			each(func(e *fakeEngine) { e.allowedTokens = step })
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
	// Guards against a refusal without a type or with a wrong outcome.
	DescribeTable("have the status, code and outcome of their cause", func(header map[string]string, body string, status int, code string) {
		f := newFakeEngines(1, 5)
		d := newDaemon(f, snapshot(1, nil), nil)
		resp := d.send(ctx, "/v1/chat/completions", header, []byte(body))
		Expect(resp.StatusCode).To(Equal(status))
		b := decodeRefusal(resp)
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

	// Guards against the outcome not_run after an engine may have begun
	// (promise P5), and against may_have_run when it is known that no engine began.
	DescribeTable("after attempts", func(change func(e *fakeEngine), header map[string]string, status int, code, outcome string) {
		f := newFakeEngines(1, 5)
		f.at(address(0)).set(change)
		d := newDaemon(f, snapshot(1, nil), nil)
		resp := d.post(ctx, header, nil)
		Expect(resp.StatusCode).To(Equal(status))
		b := decodeRefusal(resp)
		Expect(b.Error.Code).To(Equal(code))
		Expect(b.Error.Outcome).To(Equal(outcome))
	},
		Entry("the engine refuses connections", func(e *fakeEngine) { e.refusesConnections = true }, nil, 503, "retries_exhausted", "not_run"),
		Entry("the engine rejects the request", func(e *fakeEngine) { e.refusal = &engine.RefusedError{Status: 400, NotRun: true} }, nil, 400, "engine_refused", "not_run"),
		Entry("the engine gives nothing until the deadline", func(e *fakeEngine) { e.allowedTokens = 0 },
			map[string]string{"X-Request-Timeout-Ms": "200"}, 504, "deadline_exceeded", "may_have_run"),
	)
})

var _ = Describe("draining", func() {
	// Guards against requests that a planned stop interrupts (promise P8), and
	// against a refusal without the outcome not_run.
	It("lets running requests finish and refuses new ones", func() {
		f := newFakeEngines(1, 50)
		f.at(address(0)).set(func(e *fakeEngine) { e.allowedTokens = 20 })
		d := newDaemon(f, snapshot(1, nil), nil)
		s := openStream(d.post(ctx, nil, nil))
		s.expectTokens(20)
		drained := make(chan struct{})
		go func() { d.Drain(ctx); close(drained) }()
		Eventually(func() int { return d.post(ctx, nil, nil).StatusCode }).Should(Equal(503))
		b := decodeRefusal(d.post(ctx, nil, nil))
		Expect(b.Error.Code).To(Equal("draining"))
		Expect(b.Error.Outcome).To(Equal("not_run"))
		Consistently(drained, "100ms").ShouldNot(BeClosed())
		f.at(address(0)).set(func(e *fakeEngine) { e.allowedTokens = 50 })
		_, done := s.readRest()
		Expect(done).To(BeTrue())
		Expect(s.text).To(Equal(answerText("v1", 50)))
		Eventually(drained).Should(BeClosed())
	})

	// Guards against an answer without cursors that the drain deadline interrupts
	// (promise P8).
	It("lets answers that are not streamed finish after the deadline", func() {
		f := newFakeEngines(1, 50)
		f.at(address(0)).set(func(e *fakeEngine) { e.allowedTokens = 20 })
		d := newDaemon(f, snapshot(1, nil), nil)
		expired, cancel := context.WithCancel(ctx)
		cancel()
		go func() {
			defer GinkgoRecover()
			Eventually(func() int { return f.at(address(0)).get(func(e *fakeEngine) int { return len(e.starts) }) }, waitTimeout).Should(Equal(1))
			go d.Drain(expired)
			Eventually(func() int { return d.post(ctx, nil, nil).StatusCode }, waitTimeout).Should(Equal(503))
			f.at(address(0)).set(func(e *fakeEngine) { e.allowedTokens = 50 })
		}()
		resp := d.post(ctx, nil, map[string]any{"stream": false})
		Expect(resp.StatusCode).To(Equal(200))
	})

	// Guards against an answer that ends without an error: a caller without cursors
	// must be told the true outcome, and its attempt must be cancelled.
	It("refuses a request that is not streamed when EndAll interrupts it", func() {
		f := newFakeEngines(1, 50)
		f.at(address(0)).set(func(e *fakeEngine) { e.allowedTokens = 20 })
		d := newDaemon(f, snapshot(1, nil), nil)
		go func() {
			defer GinkgoRecover()
			Eventually(func() int { return f.at(address(0)).get(func(e *fakeEngine) int { return len(e.starts) }) }, waitTimeout).Should(Equal(1))
			d.EndAll()
		}()
		resp := d.post(ctx, nil, map[string]any{"stream": false})
		Expect(resp.StatusCode).To(Equal(503))
		b := decodeRefusal(resp)
		Expect(b.Error.Code).To(Equal("draining"))
		Expect(b.Error.Outcome).To(Equal("may_have_run"))
		Eventually(func() int { return f.at(address(0)).get(func(e *fakeEngine) int { return len(e.cancels) }) }, waitTimeout).Should(Equal(1))
	})

	// Guards against a stream that a graceful shutdown interrupts for good
	// (promise P8).
	It("hands streams over at the deadline without missing tokens", func() {
		f := newFakeEngines(1, 50)
		f.at(address(0)).set(func(e *fakeEngine) { e.allowedTokens = 20 })
		d1 := newDaemon(f, snapshot(1, nil), nil)
		d2 := newDaemon(f, snapshot(1, nil), nil)
		s := openStream(d1.post(ctx, nil, nil))
		s.expectTokens(20)
		expired, cancel := context.WithCancel(ctx)
		cancel()
		d1.Drain(expired)
		last, done := s.readRest()
		Expect(done).To(BeFalse())
		Expect(last.name).To(Equal("reconnect"))
		f.at(address(0)).set(func(e *fakeEngine) { e.allowedTokens = 50 })
		again := openStream(d2.post(ctx, map[string]string{"Last-Event-ID": last.id}, nil))
		_, done = again.readRest()
		Expect(done).To(BeTrue())
		Expect(s.text + again.text).To(Equal(answerText("v1", 50)))
		Expect(f.at(address(0)).starts).To(HaveLen(1))
	})
})

var _ = Describe("a caller that disconnects", func() {
	// Guards against an attempt that goes on although its caller does not return, and
	// against one that is cancelled although its caller reconnected.
	It("has its attempt cancelled after the grace period unless it reconnects", func() {
		f := newFakeEngines(1, 50)
		f.at(address(0)).set(func(e *fakeEngine) { e.allowedTokens = 20 })
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
		s := openStream(d.post(go1, nil, nil))
		s.expectTokens(20)
		leave1()
		Eventually(waiting, waitTimeout).Should(Equal(1))
		go2, leave2 := context.WithCancel(ctx)
		f.at(address(0)).set(func(e *fakeEngine) { e.allowedTokens = 25 })
		openStream(d.post(go2, map[string]string{"Last-Event-ID": s.lastEventID}, nil)).expectTokens(5)
		timers[0]()
		Consistently(cancels, "50ms").Should(Equal(0))
		leave2()
		Eventually(waiting, waitTimeout).Should(Equal(2))
		timers[1]()
		Eventually(cancels, waitTimeout).Should(Equal(1))
	})
})
