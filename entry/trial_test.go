package entry_test

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/engine"
	"github.com/gooseberryroad/gooseberryroad/entry"
	"github.com/gooseberryroad/gooseberryroad/node"
	"github.com/gooseberryroad/gooseberryroad/quarantine"
)

// fakeQuarantine records calls and answers requests for trials with the function
// answer, which gets the number of the request. A zero answer is not sent.
type fakeQuarantine struct {
	mu         sync.Mutex
	calls      []string
	candidates [][]string
	answer     func(n int, candidates []string) node.TrialAnswered
}

func (q *fakeQuarantine) record(s string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.calls = append(q.calls, s)
}

func (q *fakeQuarantine) ConnectionLost(_, _, _ string, _ quarantine.Hash) { q.record("lost") }
func (q *fakeQuarantine) Completed(quarantine.Hash)                        { q.record("ran") }
func (q *fakeQuarantine) TrialEnded(quarantine.Hash)                       { q.record("trial ended") }
func (q *fakeQuarantine) Refused(quarantine.Hash)                          { q.record("refused") }

func (q *fakeQuarantine) RequestTrial(_ quarantine.Hash, candidates []string, reply func(node.TrialAnswered)) bool {
	q.mu.Lock()
	q.calls = append(q.calls, "trial")
	q.candidates = append(q.candidates, candidates)
	n := len(q.candidates)
	q.mu.Unlock()
	if a := q.answer(n, candidates); a.Address != "" || a.After != 0 || a.Verdict != quarantine.Clear {
		go reply(a)
	}
	return true
}

func (q *fakeQuarantine) recorded() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return append([]string(nil), q.calls...)
}

func grantLastCandidate(_ int, candidates []string) node.TrialAnswered {
	return node.TrialAnswered{Address: candidates[len(candidates)-1]}
}

// postContentHash returns the content hash of the request that post sends.
func postContentHash() quarantine.Hash {
	body := `chat` + "\x00" + `{"messages":[{"content":"a dedication","role":"user"}],"model":"dedication-7b","stream":true}`
	sum := sha256.Sum256([]byte(body))
	return quarantine.HashOf("dedication", "chat", sum[:16])
}

var _ = Describe("Requests that crash engines", func() {
	const engines, tokens = 5, 40
	var f *fakeEngines
	var q *fakeQuarantine
	var snap *node.Snapshot
	var d *daemon
	var hash quarantine.Hash
	BeforeEach(func() {
		f = newFakeEngines(engines, tokens)
		q = &fakeQuarantine{answer: grantLastCandidate}
		snap = snapshot(engines, nil)
		d = newDaemon(f, snap, func(o *entry.Options) { o.Quarantine = q })
		hash = postContentHash()
	})
	starts := func() (n int) {
		for i := range engines {
			n += f.at(address(i)).get(func(e *fakeEngine) int { return len(e.starts) })
		}
		return n
	}
	// serving waits for an engine with a running attempt and returns it.
	serving := func() *fakeEngine {
		GinkgoHelper()
		var found *fakeEngine
		Eventually(func() *fakeEngine {
			for i := range engines {
				if e := f.at(address(i)); e.get(func(e *fakeEngine) int { return len(e.running) }) > 0 {
					found = e
				}
			}
			return found
		}).WithTimeout(waitTimeout).ShouldNot(BeNil())
		return found
	}
	allow := func(n int) {
		for i := range engines {
			f.at(address(i)).set(func(e *fakeEngine) { e.allowedTokens = n })
		}
	}
	type problem struct {
		Error struct{ Code, Outcome string }
	}
	decode := func(b []byte) (p problem) {
		GinkgoHelper()
		Expect(json.Unmarshal(b, &p)).To(Succeed())
		return p
	}

	// Guards against a quarantined request that is sent to an engine.
	It("are refused on arrival once they are quarantined", func() {
		snap.Quarantine = map[quarantine.Hash]quarantine.Verdict{hash: quarantine.Quarantined}
		resp := d.post(context.Background(), nil, nil)
		defer resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusUnprocessableEntity))
		b, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		p := decode(b)
		Expect(p.Error.Code).To(Equal("quarantined"))
		Expect(p.Error.Outcome).To(Equal("not_run"))
		Expect(starts()).To(BeZero())
		Expect(q.recorded()).To(Equal([]string{"refused"}))

		By("while another request is answered")
		s := openStream(d.post(context.Background(), nil, map[string]any{"max_tokens": 7}))
		_, done := s.readRest()
		Expect(done).To(BeTrue())
	})

	// Guards against a quarantined request that waits in the admission queue, where
	// it would take the place of another one.
	It("are refused without waiting for capacity", func() {
		allow(5)
		for i := range engines {
			snap.Services["dedication"].Upstreams[i].MaxInFlight = 1
		}
		for i := range engines {
			openStream(d.post(context.Background(), nil, map[string]any{"max_tokens": 10 + i})).expectTokens(5)
		}
		snap.Quarantine = map[quarantine.Hash]quarantine.Verdict{hash: quarantine.Quarantined}
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		resp := d.post(ctx, nil, nil)
		defer resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusUnprocessableEntity))
	})

	// Guards against a trial that an engine refused and that is never ended: the next
	// trial of the same request would be deferred for ever.
	It("end a trial that an engine refused before they request another", func() {
		snap.Quarantine = map[quarantine.Hash]quarantine.Verdict{hash: quarantine.Suspect}
		f.at(address(3)).set(func(e *fakeEngine) { e.refusal = &engine.RefusedError{Status: 503, NotRun: true} })
		q.answer = func(n int, _ []string) node.TrialAnswered {
			return node.TrialAnswered{Address: address(4 - min(n, 2))}
		}
		_, done := openStream(d.post(context.Background(), nil, nil)).readRest()
		Expect(done).To(BeTrue())
		Eventually(q.recorded).WithTimeout(waitTimeout).Should(Equal([]string{"trial", "trial ended", "trial", "ran"}))
	})

	// Guards against a broken connection to an engine that still runs and that counts
	// as a lost engine: a later loss would then lead to a trial.
	It("do not count a broken connection that is resumed as a loss", func() {
		allow(5)
		s := openStream(d.post(context.Background(), nil, nil))
		s.expectTokens(5)
		serving().set(func(e *fakeEngine) { e.brokenConns = e.connCount })
		allow(10)
		s.expectTokens(5)
		serving().kill()
		allow(tokens)
		_, done := s.readRest()
		Expect(done).To(BeTrue())
		Eventually(q.recorded).WithTimeout(waitTimeout).Should(Equal([]string{"lost", "lost", "ran"}))
	})

	// Guards against a suspect that runs at an engine where no trial was granted, or
	// whose completion is not reported.
	It("run only where their trial is granted while they are suspects", func() {
		snap.Quarantine = map[quarantine.Hash]quarantine.Verdict{hash: quarantine.Suspect}
		q.answer = func(n int, _ []string) node.TrialAnswered {
			if n == 1 {
				return node.TrialAnswered{After: 10 * time.Millisecond}
			}
			return node.TrialAnswered{Address: address(3)}
		}
		s := openStream(d.post(context.Background(), nil, nil))
		_, done := s.readRest()
		Expect(done).To(BeTrue())
		Expect(starts()).To(Equal(1))
		Expect(f.at(address(3)).get(func(e *fakeEngine) int { return len(e.starts) })).To(Equal(1))
		Eventually(q.recorded).WithTimeout(waitTimeout).Should(Equal([]string{"trial", "trial", "ran"}))
	})

	// Guards against a trial that delays the answer of a request after the loss of one
	// engine, which another request probably caused, and against a continuation
	// without a trial after a second loss.
	It("continue at once after the first loss, and on trial after the second", func() {
		allow(5)
		s := openStream(d.post(context.Background(), nil, nil))
		s.expectTokens(5)
		serving().kill()
		allow(10)
		s.expectTokens(5)
		Expect(q.recorded()).To(Equal([]string{"lost"}))
		serving().kill()
		allow(tokens)
		_, done := s.readRest()
		Expect(done).To(BeTrue())
		Eventually(q.recorded).WithTimeout(waitTimeout).Should(Equal([]string{"lost", "lost", "trial", "ran"}))
		Expect(q.candidates[0]).To(HaveLen(engines-2), "lost engines must not be candidates")
	})

	// Guards against a generation that is continued although it crashes engines.
	It("end with the error quarantined when they become quarantined", func() {
		q.answer = func(int, []string) node.TrialAnswered { return node.TrialAnswered{Verdict: quarantine.Quarantined} }
		allow(5)
		s := openStream(d.post(context.Background(), nil, nil))
		s.expectTokens(5)
		serving().kill()
		allow(10)
		s.expectTokens(5)
		serving().kill()
		ev, err := s.next()
		Expect(err).NotTo(HaveOccurred())
		Expect(ev.name).To(Equal("error"))
		p := decode([]byte(ev.data))
		Expect(p.Error.Code).To(Equal("quarantined"))
		Expect(p.Error.Outcome).To(Equal("may_have_run"))
		Expect(starts()).To(Equal(2))
	})

	// Guards against a trial that still reserves its upstream after its caller
	// disconnected.
	It("end their trial when the caller disconnects", func() {
		snap.Quarantine = map[quarantine.Hash]quarantine.Verdict{hash: quarantine.Suspect}
		allow(5)
		ctx, cancel := context.WithCancel(context.Background())
		s := openStream(d.post(ctx, nil, nil))
		s.expectTokens(5)
		cancel()
		Eventually(q.recorded).WithTimeout(waitTimeout).Should(Equal([]string{"trial", "trial ended"}))
	})

	// Guards against two suspects of one crash that run on the same engine while
	// other engines have none: after the next crash it would still be unknown which
	// of them caused it.
	It("continue on separate engines after a loss", func() {
		allow(5)
		e0 := f.at(address(0))
		for i := 1; i < engines; i++ {
			snap.Services["dedication"].Upstreams[i].State = node.UpstreamDead
		}
		var streams []*eventStream
		for range 4 {
			s := openStream(d.post(context.Background(), nil, nil))
			s.expectTokens(5)
			streams = append(streams, s)
		}
		for i := 1; i < engines; i++ {
			u := &snap.Services["dedication"].Upstreams[i]
			u.State = node.UpstreamAlive
			if i > 1 {
				// By load alone, e1 would be chosen for most of them.
				u.Running = 50
			}
		}
		e0.kill()
		allow(10)
		for _, s := range streams {
			s.expectTokens(5)
		}
		for i := 1; i < engines; i++ {
			Expect(f.at(address(i)).get(func(e *fakeEngine) int { return len(e.running) })).To(Equal(1))
		}
		allow(tokens)
		for _, s := range streams {
			_, done := s.readRest()
			Expect(done).To(BeTrue())
		}
	})
})
