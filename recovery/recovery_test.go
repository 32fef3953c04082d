package recovery_test

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/recovery"
)

func TestRecovery(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "recovery")
}

// driver passes events to a Generation and checks every invariant after each one.
type driver struct {
	g     *recovery.Generation
	check *checker
	now   time.Time
	last  []recovery.Action
}

func newDriver(r recovery.Request, o recovery.Options) *driver {
	GinkgoHelper()
	return newSeededDriver(r, o, 1)
}

func newSeededDriver(r recovery.Request, o recovery.Options, seed uint64) *driver {
	GinkgoHelper()
	d := &driver{now: simStart, check: newChecker(r)}
	d.g, d.last = recovery.New(d.now, r, o, rand.New(rand.NewPCG(seed, 2)))
	Expect(d.check.after(d.now, nil, d.last)).To(Succeed())
	return d
}

func (d *driver) step(ev recovery.Event) []recovery.Action {
	GinkgoHelper()
	d.last = d.g.Step(d.now, ev)
	Expect(d.check.after(d.now, ev, d.last)).To(Succeed())
	return d.last
}

func (d *driver) advance(t time.Duration) { d.now = d.now.Add(t) }

// tick advances to the next timer, sends Tick and returns how long the wait was.
func (d *driver) tick() time.Duration {
	GinkgoHelper()
	at, ok := d.g.NextTimer()
	Expect(ok).To(BeTrue())
	wait := max(0, at.Sub(d.now))
	d.now = d.now.Add(wait)
	d.step(recovery.Tick{})
	return wait
}

// newDecodingDriver returns a driver whose generation has received n tokens from e0,
// 29 ms apart.
func newDecodingDriver(r recovery.Request, o recovery.Options, n int) *driver {
	GinkgoHelper()
	d := newDriver(r, o)
	d.step(recovery.Placed{Attempt: 1, Upstream: "e0", Version: "v1"})
	d.step(recovery.Opened{Attempt: 1, Conn: 1})
	d.tokens(1, 1, n, 29*time.Millisecond)
	return d
}

// tokens sends the next n tokens on a connection, gap apart.
func (d *driver) tokens(attempt, conn, n int, gap time.Duration) {
	GinkgoHelper()
	for range n {
		d.advance(gap)
		Expect(d.step(recovery.Token{Attempt: attempt, Conn: conn, Index: d.g.Delivered(), Text: "x"})).
			To(ContainElement(BeAssignableToTypeOf(recovery.Deliver{})))
	}
}

var resumable = recovery.Request{Resumes: true, Cursors: true}
var notResumable = recovery.Request{}

// containFail matches actions with a Fail of the code and outcome.
func containFail(code string, outcome recovery.Outcome) OmegaMatcher {
	return ContainElement(SatisfyAll(HaveField("Code", code), HaveField("Outcome", outcome)))
}

// containPlace matches actions with a Place of the attempt.
func containPlace(attempt int) OmegaMatcher {
	return ContainElement(SatisfyAll(BeAssignableToTypeOf(recovery.Place{}), HaveField("Attempt", attempt)))
}

var _ = Describe("silence", func() {
	// Guards against a second generation when a resume is enough, and against
	// detection that is too slow for the documented resume latency of 1 s at p95
	// and 4 s at most.
	It("causes a resume, then a move, within half a second at 29 ms between tokens", func() {
		d := newDecodingDriver(resumable, recovery.Options{}, 20)
		waited := d.tick()
		Expect(d.last).To(Equal([]recovery.Action{recovery.Resume{Attempt: 1, Conn: 2, Upstream: "e0", After: 20}}))
		waited += d.tick()
		Expect(d.last).To(HaveLen(4))
		Expect(d.last).To(ContainElements(recovery.CloseConn{Attempt: 1, Conn: 1}, recovery.CloseConn{Attempt: 1, Conn: 2}, recovery.CancelAttempt{Attempt: 1, Upstream: "e0"}))
		Expect(d.last).To(containPlace(2))
		Expect(waited).To(BeNumerically("<=", 500*time.Millisecond))
		actions := d.step(recovery.Placed{Attempt: 2, Upstream: "e1", Version: "v1"})
		Expect(actions).To(Equal([]recovery.Action{recovery.Start{
			Attempt: 2, Conn: 3, Upstream: "e1", Version: "v1", Prefix: strings.Repeat("x", 20), PrefixTokens: 20,
		}}))
		Expect(d.g.Stats().PrefixTokens).To(Equal(20))
	})

	// Guards against a false alarm that costs more than one connection.
	It("that ends before the probe gives a token costs only the probe", func() {
		d := newDecodingDriver(resumable, recovery.Options{}, 20)
		d.tick()
		d.step(recovery.Opened{Attempt: 1, Conn: 2})
		actions := d.step(recovery.Token{Attempt: 1, Conn: 1, Index: 20, Text: "x"})
		Expect(actions).To(Equal([]recovery.Action{recovery.CloseConn{Attempt: 1, Conn: 2}, recovery.Deliver{Attempt: 1, Index: 20, Text: "x"}}))
		Expect(d.step(recovery.Token{Attempt: 1, Conn: 2, Index: 20, Text: "x"})).To(BeEmpty())
		Expect(d.g.Stats()).To(Equal(recovery.Stats{Starts: 1, Resumes: 1, FalseAlarms: 1, StaleTokens: 1}))
	})

	// Guards against waiting on a dead connection while a new one works, and
	// against tokens of the old connection when it works again.
	It("of a connection closes it when the new one gives a token", func() {
		d := newDecodingDriver(resumable, recovery.Options{}, 20)
		d.tick()
		d.step(recovery.Opened{Attempt: 1, Conn: 2})
		Expect(d.step(recovery.Token{Attempt: 1, Conn: 2, Index: 20, Text: "y"})).
			To(Equal([]recovery.Action{recovery.CloseConn{Attempt: 1, Conn: 1}, recovery.Deliver{Attempt: 1, Index: 20, Text: "y"}}))
		Expect(d.step(recovery.Token{Attempt: 1, Conn: 1, Index: 21, Text: "z"})).To(BeEmpty())
		Expect(d.g.Stats().StaleTokens).To(Equal(1))
	})

	// Guards against one timeout for all streams: a slow stream must not be
	// probed as early as a fast one, nor a fast one as late as a slow one.
	DescribeTable("has a timeout that follows the stream's own gaps between tokens", func(gap, least, most time.Duration) {
		d := newDecodingDriver(resumable, recovery.Options{}, 4)
		d.tokens(1, 1, 20, gap)
		waited := d.tick()
		Expect(waited).To(BeNumerically(">=", least))
		Expect(waited).To(BeNumerically("<=", most))
	},
		Entry("5 ms between tokens", 5*time.Millisecond, 200*time.Millisecond, 200*time.Millisecond),
		Entry("100 ms between tokens", 100*time.Millisecond, 250*time.Millisecond, 400*time.Millisecond),
		Entry("300 ms between tokens", 300*time.Millisecond, 700*time.Millisecond, time.Second),
	)

	// Guards against a prefill that is taken for a loss: before the first token
	// no gap is known, and long prompts take long.
	DescribeTable("has a timeout that depends on the phase", func(prompt int, opened bool, least time.Duration) {
		r := resumable
		r.PromptBytes = prompt
		d := newDriver(r, recovery.Options{})
		d.step(recovery.Placed{Attempt: 1, Upstream: "e0", Version: "v1"})
		if opened {
			d.step(recovery.Opened{Attempt: 1, Conn: 1})
		}
		Expect(d.tick()).To(BeNumerically(">=", least))
		Expect(d.last).To(ContainElement(BeAssignableToTypeOf(recovery.Resume{})))
		// The engine holds the request, so it is not moved at once.
		d.step(recovery.Opened{Attempt: 1, Conn: 2})
		Expect(d.tick()).To(BeNumerically(">=", 5*time.Second))
	},
		Entry("queued", 0, false, 800*time.Millisecond),
		Entry("prefill", 0, true, time.Second),
		Entry("prefill of 400 KB", 400_000, true, 3*time.Second),
	)

	// Guards against a continuation that waits a second for an engine that has just
	// been paused.
	It("of an engine that does not accept a continuation is detected within 0.7 s", func() {
		d := newDecodingDriver(resumable, recovery.Options{}, 20)
		d.step(recovery.UnknownGeneration{Attempt: 1, Conn: 1})
		d.step(recovery.Placed{Attempt: 2, Upstream: "e1", Version: "v1"})
		Expect(d.tick() + d.tick()).To(BeNumerically("<=", 700*time.Millisecond))
		Expect(d.last).To(containPlace(3))
	})

	// Guards against detection, placement and prefill that take more than 4 s with
	// the slowest stream and an engine that accepts the probe but gives no token.
	It("leaves 1 s of the 4 s for the prefill in the worst case", func() {
		d := newDecodingDriver(resumable, recovery.Options{}, 2)
		d.tokens(1, 1, 20, 600*time.Millisecond)
		waited := d.tick()
		d.step(recovery.Opened{Attempt: 1, Conn: 2})
		waited += d.tick()
		Expect(d.last).To(containPlace(2))
		Expect(waited).To(BeNumerically("<=", 3*time.Second))
	})

	// Guards against probes of all streams after the daemon itself was paused, and
	// against a second late tick that hides a real loss.
	It("is excused once after a pause of the daemon", func() {
		d := newDecodingDriver(resumable, recovery.Options{}, 20)
		d.advance(5 * time.Second)
		Expect(d.step(recovery.Tick{})).To(BeEmpty())
		Expect(d.g.Stats().Pauses).To(Equal(1))
		d.advance(5 * time.Second)
		Expect(d.step(recovery.Tick{})).To(ContainElement(BeAssignableToTypeOf(recovery.Resume{})))
	})

	// Guards against a move at the first short silence of an engine that cannot
	// resume, where each false alarm costs a second generation.
	It("has a longer timeout at an engine that cannot resume", func() {
		d := newDecodingDriver(notResumable, recovery.Options{}, 20)
		Expect(d.tick()).To(BeNumerically(">=", 700*time.Millisecond))
		Expect(d.last).To(containPlace(2))
	})
})

var _ = Describe("a lost connection", func() {
	// Guards against a second generation when only the connection broke.
	It("is resumed at the same engine, and moved when that cannot be reached", func() {
		d := newDecodingDriver(resumable, recovery.Options{}, 20)
		Expect(d.step(recovery.Broken{Attempt: 1, Conn: 1})).To(Equal([]recovery.Action{recovery.Resume{Attempt: 1, Conn: 2, Upstream: "e0", After: 20}}))
		Expect(d.step(recovery.Broken{Attempt: 1, Conn: 2, NotRun: true})).To(containPlace(2))
	})

	// Guards against an endless loop with an engine that accepts each resume and
	// gives no token.
	It("is resumed a bounded number of times", func() {
		d := newDecodingDriver(resumable, recovery.Options{}, 20)
		conn := 1
		for range 10 {
			d.step(recovery.Broken{Attempt: 1, Conn: conn})
			if len(d.check.open) == 0 {
				break
			}
			conn++
			d.step(recovery.Opened{Attempt: 1, Conn: conn})
		}
		Expect(d.last).To(containPlace(2))
	})

	// Guards against tokens of a paused engine that continues after its attempt was
	// superseded.
	It("adds nothing to the answer when it works again", func() {
		d := newDecodingDriver(resumable, recovery.Options{}, 20)
		d.tick()
		d.tick()
		Expect(d.step(recovery.Token{Attempt: 1, Conn: 1, Index: 20, Text: "old"})).To(BeEmpty())
		d.step(recovery.Placed{Attempt: 2, Upstream: "e1", Version: "v1"})
		Expect(d.step(recovery.Token{Attempt: 1, Conn: 1, Index: 20, Text: "old"})).To(BeEmpty())
		d.step(recovery.Opened{Attempt: 2, Conn: 3})
		d.step(recovery.Token{Attempt: 2, Conn: 3, Index: 20, Text: "new"})
		Expect(d.g.Text()).To(HaveSuffix("xnew"))
	})

	// Guards against a continuation that begins again at token 0 and would be
	// appended to the delivered text.
	DescribeTable("is not continued by an engine whose tokens do not follow the prefix", func(index int) {
		d := newDecodingDriver(resumable, recovery.Options{}, 20)
		d.step(recovery.UnknownGeneration{Attempt: 1, Conn: 1})
		d.step(recovery.Placed{Attempt: 2, Upstream: "e1", Version: "v1"})
		d.step(recovery.Opened{Attempt: 2, Conn: 2})
		Expect(d.step(recovery.Token{Attempt: 2, Conn: 2, Index: index, Text: "x"})).To(containPlace(3))
		Expect(d.last).To(ContainElement(recovery.CancelAttempt{Attempt: 2, Upstream: "e1"}))
	}, Entry("token 0", 0), Entry("a gap", 21))

	// Guards against delivering tokens again that a resume repeats.
	It("may repeat tokens when it is resumed", func() {
		d := newDecodingDriver(resumable, recovery.Options{}, 20)
		d.step(recovery.Broken{Attempt: 1, Conn: 1})
		Expect(d.step(recovery.Token{Attempt: 1, Conn: 2, Index: 19, Text: "x"})).To(BeEmpty())
		Expect(d.step(recovery.Token{Attempt: 1, Conn: 2, Index: 20, Text: "x"})).To(HaveLen(1))
	})

	// Guards against a continuation of an answer that already has its maximum
	// length.
	It("completes an answer that has its maximum number of tokens", func() {
		r := resumable
		r.MaxTokens = 20
		d := newDecodingDriver(r, recovery.Options{}, 20)
		Expect(d.step(recovery.UnknownGeneration{Attempt: 1, Conn: 1})).To(ContainElement(recovery.Complete{Reason: "length"}))
	})

	// Guards against a second generation because of a dead report that is older
	// than the attempt.
	It("is verified when its upstream is reported dead", func() {
		d := newDecodingDriver(resumable, recovery.Options{}, 20)
		Expect(d.step(recovery.UpstreamState{Upstream: "e0", State: recovery.StateDead})).
			To(Equal([]recovery.Action{recovery.Resume{Attempt: 1, Conn: 2, Upstream: "e0", After: 20}}))
		d = newDecodingDriver(notResumable, recovery.Options{}, 20)
		Expect(d.step(recovery.UpstreamState{Upstream: "e0", State: recovery.StateDead})).To(BeEmpty())
		Expect(d.tick()).To(Equal(200 * time.Millisecond))
		Expect(d.last).To(containPlace(2))
	})
})

var _ = Describe("placing another attempt", func() {
	// Guards against retries at an upstream that reported an overload, even when no
	// other is left.
	DescribeTable("avoids an overloaded upstream until its Retry-After has passed", func(status int) {
		d := newDriver(resumable, recovery.Options{})
		d.step(recovery.Placed{Attempt: 1, Upstream: "e0", Version: "v1"})
		d.step(recovery.Refused{Attempt: 1, Conn: 1, Status: status, RetryAfter: 2 * time.Second, NotRun: true})
		Expect(d.last).To(Equal([]recovery.Action{
			recovery.CloseConn{Attempt: 1, Conn: 1},
			recovery.Place{Attempt: 2, Exclude: []string{"e0"}, Retry: true},
		}))
		d.step(recovery.NoUpstream{Attempt: 2})
		d.tick()
		Expect(d.last).To(Equal([]recovery.Action{recovery.Place{Attempt: 3, Exclude: []string{"e0"}, Retry: true}}))
		d.advance(2 * time.Second)
		d.step(recovery.NoUpstream{Attempt: 3})
		d.tick()
		Expect(d.last).To(Equal([]recovery.Action{recovery.Place{Attempt: 4, Retry: true}}))
	}, Entry("429", 429), Entry("503", 503))

	// Guards against a failed upstream that is never tried again although it
	// is the only one.
	It("returns to a failed upstream when no other is left", func() {
		d := newDecodingDriver(resumable, recovery.Options{}, 3)
		d.step(recovery.UnknownGeneration{Attempt: 1, Conn: 1})
		Expect(d.last).To(ContainElement(HaveField("Exclude", []string{"e0"})))
		d.step(recovery.NoUpstream{Attempt: 2})
		d.tick()
		Expect(d.last).To(Equal([]recovery.Action{recovery.Place{Attempt: 3, Version: "v1", Recovery: true}}))
	})

	// Guards against new work for an upstream that is leaving.
	It("never returns to an upstream that is leaving", func() {
		d := newDecodingDriver(resumable, recovery.Options{}, 3)
		Expect(d.step(recovery.UpstreamState{Upstream: "e0", State: recovery.StateLeaving})).To(BeEmpty())
		d.step(recovery.UnknownGeneration{Attempt: 1, Conn: 1})
		d.step(recovery.NoUpstream{Attempt: 2})
		d.tick()
		Expect(d.last).To(ContainElement(HaveField("Exclude", []string{"e0"})))
	})

	// Guards against a request that fails although an engine of another version
	// could run it from the start.
	It("allows any version while nothing was delivered", func() {
		d := newDriver(resumable, recovery.Options{})
		d.step(recovery.Placed{Attempt: 1, Upstream: "e0", Version: "v1"})
		d.step(recovery.Refused{Attempt: 1, Conn: 1, Status: 500})
		Expect(d.last).To(ContainElement(recovery.Place{Attempt: 2, Exclude: []string{"e0"}, Retry: true}))
		Expect(d.step(recovery.Placed{Attempt: 2, Upstream: "e1", Version: "v2"})).To(HaveLen(1))
		d.step(recovery.Opened{Attempt: 2, Conn: 2})
		d.tokens(2, 2, 1, time.Millisecond)
		Expect(d.step(recovery.UnknownGeneration{Attempt: 2, Conn: 2})).To(ContainElement(HaveField("Version", "v2")))
	})

	// Guards against two versions in one answer (promise P2 in docs/proof.md), and
	// against an unbounded wait.
	It("waits a bounded time for the version of a begun answer, then fails with may_have_run", func() {
		d := newDecodingDriver(resumable, recovery.Options{}, 3)
		d.step(recovery.UnknownGeneration{Attempt: 1, Conn: 1})
		began := d.now
		Expect(d.step(recovery.Placed{Attempt: 2, Upstream: "e1", Version: "v2"})).To(BeEmpty())
		for d.check.end == nil {
			d.tick()
			d.step(recovery.NoUpstream{Attempt: d.check.lastPlaced, VersionGone: true})
		}
		Expect(d.last).To(containFail(recovery.CodeVersionGone, recovery.OutcomeMayHaveRun))
		Expect(d.now.Sub(began)).To(BeNumerically("~", 3*time.Second, time.Second))
	})

	// Guards against retries that are synchronized between requests or unbounded.
	It("backs off with jitter and gives up after a bounded number of attempts", func() {
		first, second := map[time.Duration]bool{}, map[time.Duration]bool{}
		for seed := range uint64(20) {
			var waits []time.Duration
			d := newSeededDriver(resumable, recovery.Options{}, seed)
			for attempt := 1; d.check.end == nil; attempt++ {
				d.step(recovery.Placed{Attempt: d.check.lastPlaced, Upstream: "e0", Version: "v1"})
				d.step(recovery.Broken{Attempt: d.check.lastStarted, Conn: d.check.lastConn, NotRun: true})
				if d.check.end == nil && d.check.lastPlaced == attempt {
					waits = append(waits, d.tick())
				}
			}
			Expect(d.last).To(containFail(recovery.CodeRetries, recovery.OutcomeNotRun))
			Expect(d.g.Stats().Starts).To(Equal(4))
			Expect(waits).To(HaveLen(2))
			Expect(waits[0]).To(BeNumerically("~", 37500*time.Microsecond, 12500*time.Microsecond))
			Expect(waits[1]).To(BeNumerically("~", 75*time.Millisecond, 25*time.Millisecond))
			first[waits[0]], second[waits[1]] = true, true
		}
		Expect(len(first)).To(BeNumerically(">=", 15))
		Expect(len(second)).To(BeNumerically(">=", 15))
	})

	// Guards against a request that crashes engines one after the other and gets
	// a few tokens each time.
	It("bounds the number of attempts that gave few tokens", func() {
		d := newDecodingDriver(resumable, recovery.Options{}, 1)
		for d.check.end == nil {
			d.step(recovery.UnknownGeneration{Attempt: d.check.lastStarted, Conn: d.check.lastConn})
			if d.check.end != nil {
				break
			}
			d.step(recovery.Placed{Attempt: d.check.lastPlaced, Upstream: "e0", Version: "v1"})
			d.step(recovery.Opened{Attempt: d.check.lastStarted, Conn: d.check.lastConn})
			d.tokens(d.check.lastStarted, d.check.lastConn, 1, time.Millisecond)
		}
		Expect(d.last).To(containFail(recovery.CodeRetries, recovery.OutcomeMayHaveRun))
		Expect(d.g.Stats().Starts).To(Equal(8))
	})

	// Guards against a bound that ends a long answer that outlives many engines.
	It("does not bound attempts that make progress", func() {
		d := newDecodingDriver(resumable, recovery.Options{}, 40)
		for range 30 {
			d.step(recovery.UnknownGeneration{Attempt: d.check.lastStarted, Conn: d.check.lastConn})
			d.step(recovery.Placed{Attempt: d.check.lastPlaced, Upstream: "e0", Version: "v1"})
			d.step(recovery.Opened{Attempt: d.check.lastStarted, Conn: d.check.lastConn})
			d.tokens(d.check.lastStarted, d.check.lastConn, 40, time.Millisecond)
		}
		Expect(d.check.end).To(BeNil())
	})

	// Guards against the outcome not_run after an engine may have begun
	// (promise P5).
	DescribeTable("fails with the outcome that tells whether an engine may have run the request", func(ev recovery.Event, outcome recovery.Outcome) {
		d := newDriver(resumable, recovery.Options{MaxStartsWithoutToken: 1})
		d.step(recovery.Placed{Attempt: 1, Upstream: "e0", Version: "v1"})
		d.step(ev)
		for d.check.end == nil {
			d.tick()
		}
		Expect(d.last).To(ContainElement(HaveField("Outcome", outcome)))
	},
		Entry("never reached", recovery.Broken{Attempt: 1, Conn: 1, NotRun: true}, recovery.OutcomeNotRun),
		Entry("refused before it ran", recovery.Refused{Attempt: 1, Conn: 1, Status: 429, NotRun: true}, recovery.OutcomeNotRun),
		Entry("refused after it may have begun", recovery.Refused{Attempt: 1, Conn: 1, Status: 500}, recovery.OutcomeMayHaveRun),
		Entry("connection broken", recovery.Broken{Attempt: 1, Conn: 1}, recovery.OutcomeMayHaveRun),
	)

	// Guards against an invalid request that is sent to one engine after the other.
	DescribeTable("fails at once when the engine rejects the request as invalid", func(status int) {
		d := newDriver(resumable, recovery.Options{})
		d.step(recovery.Placed{Attempt: 1, Upstream: "e0", Version: "v1"})
		d.step(recovery.Refused{Attempt: 1, Conn: 1, Status: status, NotRun: true})
		Expect(d.last).To(ContainElement(recovery.Fail{Outcome: recovery.OutcomeNotRun, Code: recovery.CodeRefused, Status: status}))
	}, Entry("400", 400), Entry("413", 413), Entry("422", 422))

	// Guards against retries that multiply an overload.
	It("fails when the retry budget is exhausted", func() {
		d := newDriver(resumable, recovery.Options{})
		d.step(recovery.Placed{Attempt: 1, Upstream: "e0", Version: "v1"})
		d.step(recovery.Refused{Attempt: 1, Conn: 1, Status: 503, NotRun: true})
		Expect(d.step(recovery.NoBudget{Attempt: 2, RetryAfter: time.Second})).To(containFail(recovery.CodeRetryBudget, recovery.OutcomeNotRun))
	})

	// Guards against a generation that outlives its caller's deadline.
	It("ends at the deadline in every state", func() {
		r := resumable
		r.Deadline = simStart.Add(10 * time.Second)
		for _, prepare := range []func() *driver{
			func() *driver { return newDriver(r, recovery.Options{}) },
			func() *driver { return newDecodingDriver(r, recovery.Options{}, 20) },
			func() *driver {
				d := newDecodingDriver(r, recovery.Options{}, 20)
				d.step(recovery.CallerStalled{})
				return d
			},
			func() *driver {
				d := newDriver(r, recovery.Options{})
				d.step(recovery.NoUpstream{Attempt: 1})
				return d
			},
		} {
			d := prepare()
			d.now = r.Deadline
			d.step(recovery.Tick{})
			Expect(d.last).To(ContainElement(HaveField("Code", recovery.CodeDeadline)))
		}
	})
})

var _ = Describe("an adopted generation", func() {
	adopt := func(r recovery.Request, haveText bool) *driver {
		GinkgoHelper()
		r.Adopt = &recovery.Adoption{Attempt: 3, Upstream: "e0", Version: "v1", Delivered: 2, Text: "ab", HaveText: haveText}
		if !haveText {
			r.Adopt.Text = ""
		}
		return newDriver(r, recovery.Options{})
	}

	// Guards against work that is repeated when an entry VM fails.
	It("is resumed after the delivered tokens", func() {
		d := adopt(resumable, false)
		Expect(d.last).To(Equal([]recovery.Action{recovery.Resume{Attempt: 3, Conn: 1, Upstream: "e0", After: 2}}))
		d.step(recovery.Opened{Attempt: 3, Conn: 1})
		d.tokens(3, 1, 5, time.Millisecond)
		Expect(d.step(recovery.Finished{Attempt: 3, Conn: 1, Reason: "stop"})).To(ContainElement(recovery.Complete{Reason: "stop"}))
	})

	// Guards against the text of a second generation appended to that of the first.
	It("is lost with its engine unless the caller returned the text", func() {
		d := adopt(resumable, false)
		Expect(d.step(recovery.UnknownGeneration{Attempt: 3, Conn: 1})).To(containFail(recovery.CodeGenerationLost, recovery.OutcomeMayHaveRun))
		d = adopt(resumable, true)
		Expect(d.step(recovery.UnknownGeneration{Attempt: 3, Conn: 1})).To(containPlace(4))
		actions := d.step(recovery.Placed{Attempt: 4, Upstream: "e1", Version: "v1"})
		Expect(actions).To(Equal([]recovery.Action{recovery.Start{Attempt: 4, Conn: 2, Upstream: "e1", Version: "v1", Prefix: "ab", PrefixTokens: 2}}))
	})

	// Guards against an answer that is given up because its engine was paused or
	// overloaded for a moment, and against an unbounded wait.
	DescribeTable("is resumed for a while when its text is not known", func(answer func(d *driver)) {
		d := adopt(resumable, false)
		resumed := 0
		for d.check.end == nil {
			if _, ok := d.last[len(d.last)-1].(recovery.Resume); ok {
				resumed++
				answer(d)
				if d.check.end != nil {
					break
				}
			}
			d.tick()
			if len(d.last) == 0 {
				d.tick()
			}
		}
		Expect(d.last).To(containFail(recovery.CodeGenerationLost, recovery.OutcomeMayHaveRun))
		Expect(d.now.Sub(simStart)).To(BeNumerically("~", 3500*time.Millisecond, 500*time.Millisecond))
		Expect(resumed).To(And(BeNumerically(">=", 3), BeNumerically("<=", 12)))
	},
		Entry("silent", func(*driver) {}),
		Entry("overloaded", func(d *driver) {
			Expect(d.step(recovery.Refused{Attempt: 3, Conn: d.check.lastConn, Status: 503})).NotTo(ContainElement(BeAssignableToTypeOf(recovery.Resume{})))
		}),
		Entry("connection broken", func(d *driver) {
			Expect(d.step(recovery.Broken{Attempt: 3, Conn: d.check.lastConn})).NotTo(ContainElement(BeAssignableToTypeOf(recovery.Resume{})))
		}),
	)

	// Guards against waiting for an engine that is known to have lost the
	// generation: the caller should send its delivered text soon.
	It("is given up at once when its engine is gone", func() {
		d := adopt(resumable, false)
		Expect(d.step(recovery.Broken{Attempt: 3, Conn: 1, NotRun: true})).To(containFail(recovery.CodeGenerationLost, recovery.OutcomeMayHaveRun))
	})

	// Guards against an attempt that keeps running at an engine that cannot resume.
	It("is moved at once when its engine cannot resume", func() {
		d := adopt(notResumable, true)
		Expect(d.last).To(ContainElement(recovery.CancelAttempt{Attempt: 3, Upstream: "e0"}))
		Expect(d.last).To(containPlace(4))
	})
})

var _ = Describe("a caller that stalls", func() {
	// Guards against memory held for a caller that does not read, and against
	// losing the engine's work meanwhile.
	It("is disconnected from an engine that resumes until it reads", func() {
		d := newDecodingDriver(resumable, recovery.Options{}, 20)
		Expect(d.step(recovery.CallerStalled{})).To(Equal([]recovery.Action{recovery.CloseConn{Attempt: 1, Conn: 1}}))
		_, timer := d.g.NextTimer()
		Expect(timer).To(BeFalse())
		d.advance(time.Minute)
		Expect(d.step(recovery.CallerReading{Room: 1000})).To(Equal([]recovery.Action{recovery.Resume{Attempt: 1, Conn: 2, Upstream: "e0", After: 20}}))
	})

	// Guards against an unbounded backlog, and against a backlog that is lost or
	// sent out of order.
	It("has a bounded backlog when the engine cannot resume", func() {
		d := newDecodingDriver(notResumable, recovery.Options{MaxHeldBytes: 2048}, 1)
		d.step(recovery.CallerStalled{})
		n := 0
		for ; len(d.check.open) > 0; n++ {
			d.advance(time.Millisecond)
			d.step(recovery.Token{Attempt: 1, Conn: 1, Index: 1 + n, Text: "abcd"})
			Expect(d.g.BacklogSize()).To(BeNumerically("<=", 2048+1024))
		}
		Expect(d.last).To(ContainElement(recovery.CancelAttempt{Attempt: 1, Upstream: "e0"}))
		Expect(d.step(recovery.CallerReading{Room: 10})).To(HaveLen(2))
		Expect(d.g.Stalled()).To(BeTrue())
		Expect(d.step(recovery.CallerReading{Room: 1 << 20})).To(HaveLen(n - 2 + 1))
		Expect(d.last).To(containPlace(2))
		Expect(d.step(recovery.Placed{Attempt: 2, Upstream: "e0", Version: "v1"})).To(ContainElement(HaveField("PrefixTokens", n+1)))
	})

	// Guards against an answer that completes before the caller has all of it.
	It("gets its backlog before the end of the answer", func() {
		d := newDecodingDriver(notResumable, recovery.Options{}, 1)
		d.step(recovery.CallerStalled{})
		d.step(recovery.Token{Attempt: 1, Conn: 1, Index: 1, Text: "abcd"})
		Expect(d.step(recovery.Finished{Attempt: 1, Conn: 1, Reason: "stop"})).To(Equal([]recovery.Action{recovery.CloseConn{Attempt: 1, Conn: 1}}))
		Expect(d.step(recovery.CallerReading{Room: 100})).To(Equal([]recovery.Action{
			recovery.Deliver{Attempt: 1, Index: 1, Text: "abcd"}, recovery.Complete{Reason: "stop"},
		}))
	})

	// Guards against an attempt that is begun, or awaited with a timer, while its
	// caller does not read.
	It("drops a placement in progress", func() {
		for _, waiting := range []bool{false, true} {
			d := newDecodingDriver(resumable, recovery.Options{}, 1)
			d.step(recovery.UnknownGeneration{Attempt: 1, Conn: 1})
			if waiting {
				d.step(recovery.NoUpstream{Attempt: 2})
			}
			Expect(d.step(recovery.CallerStalled{})).To(BeEmpty())
			Expect(d.step(recovery.Placed{Attempt: 2, Upstream: "e1", Version: "v1"})).To(BeEmpty())
			_, timer := d.g.NextTimer()
			Expect(timer).To(BeFalse())
			Expect(d.step(recovery.CallerReading{Room: 100})).To(containPlace(3))
		}
	})

	// Guards against an attempt that is begun for a caller that does not read.
	It("gets no new attempt before it reads", func() {
		d := newDecodingDriver(notResumable, recovery.Options{}, 1)
		d.step(recovery.CallerStalled{})
		Expect(d.step(recovery.Broken{Attempt: 1, Conn: 1})).To(Equal([]recovery.Action{recovery.CancelAttempt{Attempt: 1, Upstream: "e0"}}))
		Expect(d.step(recovery.CallerReading{Room: 100})).To(containPlace(2))
	})
})

var _ = Describe("a caller that goes away", func() {
	// Guards against engine work that no caller waits for, and against cancelling
	// work whose caller may reconnect.
	DescribeTable("has its attempt", func(r recovery.Request, tokens int, want recovery.Action) {
		d := newDecodingDriver(r, recovery.Options{}, tokens)
		Expect(d.step(recovery.CallerGone{})).To(Equal([]recovery.Action{recovery.CloseConn{Attempt: 1, Conn: 1}, want}))
	},
		Entry("abandoned with a grace period when it has a cursor", resumable, 3, recovery.Abandon{Attempt: 1, Upstream: "e0"}),
		Entry("cancelled when it received no token", resumable, 0, recovery.CancelAttempt{Attempt: 1, Upstream: "e0"}),
		Entry("cancelled when it gets no cursors", recovery.Request{Resumes: true}, 3, recovery.CancelAttempt{Attempt: 1, Upstream: "e0"}),
		Entry("cancelled when the engine cannot resume", recovery.Request{Cursors: true}, 3, recovery.CancelAttempt{Attempt: 1, Upstream: "e0"}),
	)
})

var _ = Describe("Pacer", func() {
	// Guards against many prefills at once after the loss of many engines, and
	// against a wrong order of the queued continuations.
	It("grants the oldest generation first, then the one with most tokens, at its rate", func() {
		p := recovery.NewPacer(simStart, recovery.PacerOptions{Rate: 10, Burst: 2})
		at := func(s int) time.Time { return simStart.Add(time.Duration(s) * time.Second) }
		p.Enqueue(recovery.PacerRequest{ID: 1, Began: at(-1), Tokens: 10})
		p.Enqueue(recovery.PacerRequest{ID: 2, Began: at(-60), Tokens: 5})
		p.Enqueue(recovery.PacerRequest{ID: 3, Began: at(-60), Tokens: 500})
		p.Enqueue(recovery.PacerRequest{ID: 4, Began: at(-30), Tokens: 1})
		p.Enqueue(recovery.PacerRequest{ID: 5, Began: at(-90), Tokens: 1})
		p.Remove(5)
		Expect(p.Grant(simStart)).To(Equal([]uint64{3, 2}))
		Expect(p.Grant(simStart)).To(BeEmpty())
		next, ok := p.NextTimer()
		Expect(ok).To(BeTrue())
		Expect(next.Sub(simStart)).To(BeNumerically("~", 100*time.Millisecond, time.Millisecond))
		Expect(p.Grant(next)).To(Equal([]uint64{4}))
		Expect(p.Grant(simStart.Add(time.Second))).To(Equal([]uint64{1}))
		_, ok = p.NextTimer()
		Expect(ok).To(BeFalse())
	})

	// Guards against a queue that takes longer than the 4 s of resume latency: the
	// default rate must grant 100 lost generations of one daemon in time.
	It("grants 100 continuations within 3 s by default", func() {
		p := recovery.NewPacer(simStart, recovery.PacerOptions{})
		for id := range uint64(100) {
			p.Enqueue(recovery.PacerRequest{ID: id, Began: simStart})
		}
		now, granted := simStart, 0
		for granted < 100 {
			granted += len(p.Grant(now))
			if at, ok := p.NextTimer(); ok {
				now = at
			}
		}
		Expect(now.Sub(simStart)).To(BeNumerically("<=", 3*time.Second))
	})
})

var _ = Describe("RetryBudget", func() {
	// Guards against retries that grow with the failures instead of with the
	// requests.
	It("allows a burst, then a share of the requests", func() {
		b := recovery.NewRetryBudget(0.5, 2)
		Expect([]bool{b.TrySpend(), b.TrySpend(), b.TrySpend()}).To(Equal([]bool{true, true, false}))
		b.CountRequest()
		Expect(b.TrySpend()).To(BeFalse())
		b.CountRequest()
		Expect(b.TrySpend()).To(BeTrue())
		Expect(b.TrySpend()).To(BeFalse())
	})
})
