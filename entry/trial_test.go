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

// fakeQuarantine records calls and answers trials as the test says.
type fakeQuarantine struct {
	mu     sync.Mutex
	calls  []string
	asked  [][]string
	answer func(n int, candidates []string) node.TrialAnswered
}

func (q *fakeQuarantine) note(s string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.calls = append(q.calls, s)
}

func (q *fakeQuarantine) ConnectionLost(_, _, _ string, _ quarantine.Hash) { q.note("lost") }
func (q *fakeQuarantine) Completed(quarantine.Hash)                        { q.note("ran") }
func (q *fakeQuarantine) TrialEnded(quarantine.Hash)                       { q.note("trial ended") }
func (q *fakeQuarantine) Refused(quarantine.Hash)                          { q.note("refused") }

func (q *fakeQuarantine) RequestTrial(_ quarantine.Hash, candidates []string, reply func(node.TrialAnswered)) bool {
	q.mu.Lock()
	q.calls = append(q.calls, "trial")
	q.asked = append(q.asked, candidates)
	n := len(q.asked)
	q.mu.Unlock()
	if a := q.answer(n, candidates); a.Address != "" || a.After != 0 || a.Verdict != quarantine.Clear {
		go reply(a)
	}
	return true
}

func (q *fakeQuarantine) seen() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return append([]string(nil), q.calls...)
}

func grant(_ int, candidates []string) node.TrialAnswered {
	return node.TrialAnswered{Address: candidates[len(candidates)-1]}
}

// contentOfPost is the hash of the body that post sends.
func contentOfPost() quarantine.Hash {
	body := `chat` + "\x00" + `{"messages":[{"content":"a dedication","role":"user"}],"model":"dedication-7b","stream":true}`
	sum := sha256.Sum256([]byte(body))
	return quarantine.HashOf("dedication", "chat", sum[:16])
}

var _ = Describe("Requests that crash engines", func() {
	const engines, tokens = 5, 40
	var f *fleet
	var q *fakeQuarantine
	var snap *node.Snapshot
	var d *daemon
	var hash quarantine.Hash
	BeforeEach(func() {
		f = newFleet(engines, tokens)
		q = &fakeQuarantine{answer: grant}
		snap = snapshot(engines, nil)
		d = newDaemon(f, snap, func(o *entry.Options) { o.Quarantine = q })
		hash = contentOfPost()
	})
	starts := func() (n int) {
		for i := range engines {
			n += f.at(address(i)).get(func(e *fakeEngine) int { return len(e.starts) })
		}
		return n
	}
	// serving returns the engine with a running attempt.
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
		}).WithTimeout(patience).ShouldNot(BeNil())
		return found
	}
	allow := func(n int) {
		for i := range engines {
			f.at(address(i)).set(func(e *fakeEngine) { e.allowed = n })
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

	// Guards against a quarantined request that is started.
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
		Expect(q.seen()).To(Equal([]string{"refused"}))

		By("while another request is answered")
		s := read(d.post(context.Background(), nil, map[string]any{"max_tokens": 7}))
		_, done := s.rest()
		Expect(done).To(BeTrue())
	})

	// Guards against a quarantined request that takes a place in the queue of
	// those that may run.
	It("are refused without waiting for capacity", func() {
		allow(5)
		for i := range engines {
			snap.Services["dedication"].Upstreams[i].MaxInFlight = 1
		}
		for i := range engines {
			read(d.post(context.Background(), nil, map[string]any{"max_tokens": 10 + i})).tokens(5)
		}
		snap.Quarantine = map[quarantine.Hash]quarantine.Verdict{hash: quarantine.Quarantined}
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		resp := d.post(ctx, nil, nil)
		defer resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusUnprocessableEntity))
	})

	// Guards against a trial that an engine refused and that defers the next
	// one of the same request for ever.
	It("end a trial that an engine refused before they ask for another", func() {
		snap.Quarantine = map[quarantine.Hash]quarantine.Verdict{hash: quarantine.Suspect}
		f.at(address(3)).set(func(e *fakeEngine) { e.refusal = &engine.RefusedError{Status: 503, NotRun: true} })
		q.answer = func(n int, _ []string) node.TrialAnswered {
			return node.TrialAnswered{Address: address(4 - min(n, 2))}
		}
		_, done := read(d.post(context.Background(), nil, nil)).rest()
		Expect(done).To(BeTrue())
		Eventually(q.seen).WithTimeout(patience).Should(Equal([]string{"trial", "trial ended", "trial", "ran"}))
	})

	// Guards against a cut connection to a living engine that counts as a loss.
	It("do not count a connection that is opened again", func() {
		allow(5)
		s := read(d.post(context.Background(), nil, nil))
		s.tokens(5)
		serving().set(func(e *fakeEngine) { e.cut = e.conns })
		allow(10)
		s.tokens(5)
		serving().kill()
		allow(tokens)
		_, done := s.rest()
		Expect(done).To(BeTrue())
		Eventually(q.seen).WithTimeout(patience).Should(Equal([]string{"lost", "lost", "ran"}))
	})

	// Guards against a suspect that runs beside another one, or whose
	// completion does not clear it.
	It("run only where their trial is granted while they are suspects", func() {
		snap.Quarantine = map[quarantine.Hash]quarantine.Verdict{hash: quarantine.Suspect}
		q.answer = func(n int, _ []string) node.TrialAnswered {
			if n == 1 {
				return node.TrialAnswered{After: 10 * time.Millisecond}
			}
			return node.TrialAnswered{Address: address(3)}
		}
		s := read(d.post(context.Background(), nil, nil))
		_, done := s.rest()
		Expect(done).To(BeTrue())
		Expect(starts()).To(Equal(1))
		Expect(f.at(address(3)).get(func(e *fakeEngine) int { return len(e.starts) })).To(Equal(1))
		Eventually(q.seen).WithTimeout(patience).Should(Equal([]string{"trial", "trial", "ran"}))
	})

	// Guards against a trial that keeps the answer of an innocent waiting after
	// the loss of one engine, and against a second continuation without one.
	It("continue at once after the first loss, and on trial after the second", func() {
		allow(5)
		s := read(d.post(context.Background(), nil, nil))
		s.tokens(5)
		serving().kill()
		allow(10)
		s.tokens(5)
		Expect(q.seen()).To(Equal([]string{"lost"}))
		serving().kill()
		allow(tokens)
		_, done := s.rest()
		Expect(done).To(BeTrue())
		Eventually(q.seen).WithTimeout(patience).Should(Equal([]string{"lost", "lost", "trial", "ran"}))
		Expect(q.asked[0]).To(HaveLen(engines-2), "those that were lost are no candidates")
	})

	// Guards against a continuation that goes on crashing engines.
	It("end with a typed failure when they become quarantined", func() {
		q.answer = func(int, []string) node.TrialAnswered { return node.TrialAnswered{Verdict: quarantine.Quarantined} }
		allow(5)
		s := read(d.post(context.Background(), nil, nil))
		s.tokens(5)
		serving().kill()
		allow(10)
		s.tokens(5)
		serving().kill()
		ev, err := s.next()
		Expect(err).NotTo(HaveOccurred())
		Expect(ev.name).To(Equal("error"))
		p := decode([]byte(ev.data))
		Expect(p.Error.Code).To(Equal("quarantined"))
		Expect(p.Error.Outcome).To(Equal("may_have_run"))
		Expect(starts()).To(Equal(2))
	})

	// Guards against a trial that blocks its upstream after its caller left.
	It("give a trial back when the caller leaves", func() {
		snap.Quarantine = map[quarantine.Hash]quarantine.Verdict{hash: quarantine.Suspect}
		allow(5)
		ctx, cancel := context.WithCancel(context.Background())
		s := read(d.post(ctx, nil, nil))
		s.tokens(5)
		cancel()
		Eventually(q.seen).WithTimeout(patience).Should(Equal([]string{"trial", "trial ended"}))
	})

	// Guards against two suspects of one crash that share an engine while
	// others have none, so that the next crash cannot tell them apart.
	It("continue on engines of their own after a loss", func() {
		allow(5)
		e0 := f.at(address(0))
		for i := 1; i < engines; i++ {
			snap.Services["dedication"].Upstreams[i].State = node.UpstreamDead
		}
		var streams []*events
		for range 4 {
			s := read(d.post(context.Background(), nil, nil))
			s.tokens(5)
			streams = append(streams, s)
		}
		for i := 1; i < engines; i++ {
			u := &snap.Services["dedication"].Upstreams[i]
			u.State = node.UpstreamAlive
			if i > 1 {
				// By load alone, e1 would take most of them.
				u.Running = 50
			}
		}
		e0.kill()
		allow(10)
		for _, s := range streams {
			s.tokens(5)
		}
		for i := 1; i < engines; i++ {
			Expect(f.at(address(i)).get(func(e *fakeEngine) int { return len(e.running) })).To(Equal(1))
		}
		allow(tokens)
		for _, s := range streams {
			_, done := s.rest()
			Expect(done).To(BeTrue())
		}
	})
})
