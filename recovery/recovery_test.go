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

// driver feeds a machine and checks every invariant after every event.
type driver struct {
	g     *recovery.Generation
	check *checker
	now   time.Time
	last  []recovery.Action
}

func drive(r recovery.Request, o recovery.Options) *driver {
	GinkgoHelper()
	return driveSeed(r, o, 1)
}

func driveSeed(r recovery.Request, o recovery.Options, seed uint64) *driver {
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

func (d *driver) pass(t time.Duration) { d.now = d.now.Add(t) }

// tick goes to the next timer and returns how long that took.
func (d *driver) tick() time.Duration {
	GinkgoHelper()
	at, ok := d.g.NextTimer()
	Expect(ok).To(BeTrue())
	wait := max(0, at.Sub(d.now))
	d.now = d.now.Add(wait)
	d.step(recovery.Tick{})
	return wait
}

// begun returns a generation that decodes at e0 with n tokens, 29 ms apart.
func begun(r recovery.Request, o recovery.Options, n int) *driver {
	GinkgoHelper()
	d := drive(r, o)
	d.step(recovery.Placed{Attempt: 1, Upstream: "e0", Version: "v1"})
	d.step(recovery.Opened{Attempt: 1, Conn: 1})
	d.tokens(1, 1, n, 29*time.Millisecond)
	return d
}

// tokens gives the next n tokens on a connection.
func (d *driver) tokens(attempt, conn, n int, gap time.Duration) {
	GinkgoHelper()
	for range n {
		d.pass(gap)
		Expect(d.step(recovery.Token{Attempt: attempt, Conn: conn, Index: d.g.Delivered(), Text: "x"})).
			To(ContainElement(BeAssignableToTypeOf(recovery.Deliver{})))
	}
}

var resumes = recovery.Request{Resumes: true, Cursors: true}
var plain = recovery.Request{}

func fails(code string, outcome recovery.Outcome) OmegaMatcher {
	return ContainElement(SatisfyAll(HaveField("Code", code), HaveField("Outcome", outcome)))
}

func placesFor(attempt int) OmegaMatcher {
	return ContainElement(SatisfyAll(BeAssignableToTypeOf(recovery.Place{}), HaveField("Attempt", attempt)))
}

var _ = Describe("silence", func() {
	// Guards against a second generation when a resume is enough, and against
	// a detection too slow for the 4 s and 1 s that the page states.
	It("is answered by a resume, then by a move, within half a second at 29 ms between tokens", func() {
		d := begun(resumes, recovery.Options{}, 20)
		waited := d.tick()
		Expect(d.last).To(Equal([]recovery.Action{recovery.Resume{Attempt: 1, Conn: 2, Upstream: "e0", After: 20}}))
		waited += d.tick()
		Expect(d.last).To(HaveLen(4))
		Expect(d.last).To(ContainElements(recovery.CloseConn{Attempt: 1, Conn: 1}, recovery.CloseConn{Attempt: 1, Conn: 2}, recovery.CancelAttempt{Attempt: 1, Upstream: "e0"}))
		Expect(d.last).To(placesFor(2))
		Expect(waited).To(BeNumerically("<=", 500*time.Millisecond))
		actions := d.step(recovery.Placed{Attempt: 2, Upstream: "e1", Version: "v1"})
		Expect(actions).To(Equal([]recovery.Action{recovery.Start{
			Attempt: 2, Conn: 3, Upstream: "e1", Version: "v1", Prefix: strings.Repeat("x", 20), PrefixTokens: 20,
		}}))
		Expect(d.g.Stats().PrefixTokens).To(Equal(20))
	})

	// Guards against a false alarm that costs more than a connection.
	It("that ends by itself costs the new connection only", func() {
		d := begun(resumes, recovery.Options{}, 20)
		d.tick()
		d.step(recovery.Opened{Attempt: 1, Conn: 2})
		actions := d.step(recovery.Token{Attempt: 1, Conn: 1, Index: 20, Text: "x"})
		Expect(actions).To(Equal([]recovery.Action{recovery.CloseConn{Attempt: 1, Conn: 2}, recovery.Deliver{Attempt: 1, Index: 20, Text: "x"}}))
		Expect(d.step(recovery.Token{Attempt: 1, Conn: 2, Index: 20, Text: "x"})).To(BeEmpty())
		Expect(d.g.Stats()).To(Equal(recovery.Stats{Starts: 1, Resumes: 1, FalseAlarms: 1, StaleTokens: 1}))
	})

	// Guards against a connection that is dead while new ones work, and
	// against its tokens when it comes back.
	It("of one connection ends when the new one speaks", func() {
		d := begun(resumes, recovery.Options{}, 20)
		d.tick()
		d.step(recovery.Opened{Attempt: 1, Conn: 2})
		Expect(d.step(recovery.Token{Attempt: 1, Conn: 2, Index: 20, Text: "y"})).
			To(Equal([]recovery.Action{recovery.CloseConn{Attempt: 1, Conn: 1}, recovery.Deliver{Attempt: 1, Index: 20, Text: "y"}}))
		Expect(d.step(recovery.Token{Attempt: 1, Conn: 1, Index: 21, Text: "z"})).To(BeEmpty())
		Expect(d.g.Stats().StaleTokens).To(Equal(1))
	})

	// Guards against one bound for all streams: a slow stream must not be
	// probed at the pace of a fast one, and a fast one not at that of a slow.
	DescribeTable("is judged by the stream's own rate", func(gap, least, most time.Duration) {
		d := begun(resumes, recovery.Options{}, 4)
		d.tokens(1, 1, 20, gap)
		waited := d.tick()
		Expect(waited).To(BeNumerically(">=", least))
		Expect(waited).To(BeNumerically("<=", most))
	},
		Entry("5 ms between tokens", 5*time.Millisecond, 200*time.Millisecond, 200*time.Millisecond),
		Entry("100 ms between tokens", 100*time.Millisecond, 250*time.Millisecond, 400*time.Millisecond),
		Entry("300 ms between tokens", 300*time.Millisecond, 700*time.Millisecond, time.Second),
	)

	// Guards against a prefill that is taken for a loss: before the first
	// token there is no rate, and long prompts take long.
	DescribeTable("is judged by the phase", func(prompt int, opened bool, least time.Duration) {
		r := resumes
		r.PromptBytes = prompt
		d := drive(r, recovery.Options{})
		d.step(recovery.Placed{Attempt: 1, Upstream: "e0", Version: "v1"})
		if opened {
			d.step(recovery.Opened{Attempt: 1, Conn: 1})
		}
		Expect(d.tick()).To(BeNumerically(">=", least))
		Expect(d.last).To(ContainElement(BeAssignableToTypeOf(recovery.Resume{})))
		// The engine holds the request: it is not moved at once.
		d.step(recovery.Opened{Attempt: 1, Conn: 2})
		Expect(d.tick()).To(BeNumerically(">=", 5*time.Second))
	},
		Entry("queued", 0, false, 800*time.Millisecond),
		Entry("prefill", 0, true, time.Second),
		Entry("prefill of 400 KB", 400_000, true, 3*time.Second),
	)

	// Guards against a continuation that waits a second for an engine that was
	// paused a moment ago.
	It("of an engine that does not accept a continuation is noticed in 0.7 s", func() {
		d := begun(resumes, recovery.Options{}, 20)
		d.step(recovery.UnknownGeneration{Attempt: 1, Conn: 1})
		d.step(recovery.Placed{Attempt: 2, Upstream: "e1", Version: "v1"})
		Expect(d.tick() + d.tick()).To(BeNumerically("<=", 700*time.Millisecond))
		Expect(d.last).To(placesFor(3))
	})

	// Guards against detection, re-dispatch and prefill beyond 4 s even for
	// the slowest stream and an engine that answers but gives no token.
	It("leaves a second for the prefill in the worst case", func() {
		d := begun(resumes, recovery.Options{}, 2)
		d.tokens(1, 1, 20, 600*time.Millisecond)
		waited := d.tick()
		d.step(recovery.Opened{Attempt: 1, Conn: 2})
		waited += d.tick()
		Expect(d.last).To(placesFor(2))
		Expect(waited).To(BeNumerically("<=", 3*time.Second))
	})

	// Guards against a mass of probes after the daemon itself was paused, and
	// against a second pause that hides a real loss.
	It("during a pause of the daemon is forgiven once", func() {
		d := begun(resumes, recovery.Options{}, 20)
		d.pass(5 * time.Second)
		Expect(d.step(recovery.Tick{})).To(BeEmpty())
		Expect(d.g.Stats().Pauses).To(Equal(1))
		d.pass(5 * time.Second)
		Expect(d.step(recovery.Tick{})).To(ContainElement(BeAssignableToTypeOf(recovery.Resume{})))
	})

	// Guards against a move at the first short silence of an engine without
	// resume, where each false alarm costs a second generation.
	It("of an engine that does not resume is given more time", func() {
		d := begun(plain, recovery.Options{}, 20)
		Expect(d.tick()).To(BeNumerically(">=", 700*time.Millisecond))
		Expect(d.last).To(placesFor(2))
	})
})

var _ = Describe("a lost connection", func() {
	// Guards against a second generation when only the connection broke.
	It("is resumed at the same engine, and moved when that is refused", func() {
		d := begun(resumes, recovery.Options{}, 20)
		Expect(d.step(recovery.Broken{Attempt: 1, Conn: 1})).To(Equal([]recovery.Action{recovery.Resume{Attempt: 1, Conn: 2, Upstream: "e0", After: 20}}))
		Expect(d.step(recovery.Broken{Attempt: 1, Conn: 2, NotRun: true})).To(placesFor(2))
	})

	// Guards against an endless loop with an engine that accepts each resume
	// and gives nothing.
	It("is not resumed for ever", func() {
		d := begun(resumes, recovery.Options{}, 20)
		conn := 1
		for range 10 {
			d.step(recovery.Broken{Attempt: 1, Conn: conn})
			if len(d.check.open) == 0 {
				break
			}
			conn++
			d.step(recovery.Opened{Attempt: 1, Conn: conn})
		}
		Expect(d.last).To(placesFor(2))
	})

	// Guards against tokens of a paused engine that wakes up after its attempt
	// was superseded.
	It("gives nothing to the answer when it comes back", func() {
		d := begun(resumes, recovery.Options{}, 20)
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
	DescribeTable("is not continued by an engine that does not fit the prefix", func(index int) {
		d := begun(resumes, recovery.Options{}, 20)
		d.step(recovery.UnknownGeneration{Attempt: 1, Conn: 1})
		d.step(recovery.Placed{Attempt: 2, Upstream: "e1", Version: "v1"})
		d.step(recovery.Opened{Attempt: 2, Conn: 2})
		Expect(d.step(recovery.Token{Attempt: 2, Conn: 2, Index: index, Text: "x"})).To(placesFor(3))
		Expect(d.last).To(ContainElement(recovery.CancelAttempt{Attempt: 2, Upstream: "e1"}))
	}, Entry("token 0", 0), Entry("a gap", 21))

	// Guards against tokens of the same attempt that a resume repeats.
	It("may repeat tokens when it is resumed", func() {
		d := begun(resumes, recovery.Options{}, 20)
		d.step(recovery.Broken{Attempt: 1, Conn: 1})
		Expect(d.step(recovery.Token{Attempt: 1, Conn: 2, Index: 19, Text: "x"})).To(BeEmpty())
		Expect(d.step(recovery.Token{Attempt: 1, Conn: 2, Index: 20, Text: "x"})).To(HaveLen(1))
	})

	// Guards against a continuation of an answer that is already as long as it
	// may be.
	It("completes an answer that has all its tokens", func() {
		r := resumes
		r.MaxTokens = 20
		d := begun(r, recovery.Options{}, 20)
		Expect(d.step(recovery.UnknownGeneration{Attempt: 1, Conn: 1})).To(ContainElement(recovery.Complete{Reason: "length"}))
	})

	// Guards against a report of a death that is older than the attempt: it
	// must not cost a second generation.
	It("is checked, not assumed, when its upstream is reported dead", func() {
		d := begun(resumes, recovery.Options{}, 20)
		Expect(d.step(recovery.UpstreamState{Upstream: "e0", State: recovery.StateDead})).
			To(Equal([]recovery.Action{recovery.Resume{Attempt: 1, Conn: 2, Upstream: "e0", After: 20}}))
		d = begun(plain, recovery.Options{}, 20)
		Expect(d.step(recovery.UpstreamState{Upstream: "e0", State: recovery.StateDead})).To(BeEmpty())
		Expect(d.tick()).To(Equal(200 * time.Millisecond))
		Expect(d.last).To(placesFor(2))
	})
})

var _ = Describe("choosing again", func() {
	// Guards against retries at an upstream that said it is overloaded, even
	// when no other is left.
	DescribeTable("spares an overloaded upstream", func(status int) {
		d := drive(resumes, recovery.Options{})
		d.step(recovery.Placed{Attempt: 1, Upstream: "e0", Version: "v1"})
		d.step(recovery.Refused{Attempt: 1, Conn: 1, Status: status, RetryAfter: 2 * time.Second, NotRun: true})
		Expect(d.last).To(Equal([]recovery.Action{
			recovery.CloseConn{Attempt: 1, Conn: 1},
			recovery.Place{Attempt: 2, Exclude: []string{"e0"}, Retry: true},
		}))
		d.step(recovery.NoUpstream{Attempt: 2})
		d.tick()
		Expect(d.last).To(Equal([]recovery.Action{recovery.Place{Attempt: 3, Exclude: []string{"e0"}, Retry: true}}))
		d.pass(2 * time.Second)
		d.step(recovery.NoUpstream{Attempt: 3})
		d.tick()
		Expect(d.last).To(Equal([]recovery.Action{recovery.Place{Attempt: 4, Retry: true}}))
	}, Entry("429", 429), Entry("503", 503))

	// Guards against a failed upstream that is never tried again although it
	// is the only one.
	It("returns to a failed upstream when no other is left", func() {
		d := begun(resumes, recovery.Options{}, 3)
		d.step(recovery.UnknownGeneration{Attempt: 1, Conn: 1})
		Expect(d.last).To(ContainElement(HaveField("Exclude", []string{"e0"})))
		d.step(recovery.NoUpstream{Attempt: 2})
		d.tick()
		Expect(d.last).To(Equal([]recovery.Action{recovery.Place{Attempt: 3, Version: "v1", Recovery: true}}))
	})

	// Guards against new work for an upstream that leaves.
	It("never returns to an upstream that leaves", func() {
		d := begun(resumes, recovery.Options{}, 3)
		Expect(d.step(recovery.UpstreamState{Upstream: "e0", State: recovery.StateLeaving})).To(BeEmpty())
		d.step(recovery.UnknownGeneration{Attempt: 1, Conn: 1})
		d.step(recovery.NoUpstream{Attempt: 2})
		d.tick()
		Expect(d.last).To(ContainElement(HaveField("Exclude", []string{"e0"})))
	})

	// Guards against a request that fails although another version could run
	// it from the start.
	It("takes any version when nothing was delivered", func() {
		d := drive(resumes, recovery.Options{})
		d.step(recovery.Placed{Attempt: 1, Upstream: "e0", Version: "v1"})
		d.step(recovery.Refused{Attempt: 1, Conn: 1, Status: 500})
		Expect(d.last).To(ContainElement(recovery.Place{Attempt: 2, Exclude: []string{"e0"}, Retry: true}))
		Expect(d.step(recovery.Placed{Attempt: 2, Upstream: "e1", Version: "v2"})).To(HaveLen(1))
		d.step(recovery.Opened{Attempt: 2, Conn: 2})
		d.tokens(2, 2, 1, time.Millisecond)
		Expect(d.step(recovery.UnknownGeneration{Attempt: 2, Conn: 2})).To(ContainElement(HaveField("Version", "v2")))
	})

	// Guards against two versions in one answer (P2), and against a wait
	// without an end.
	It("waits a bounded time for the version of a begun answer, then fails with may_have_run", func() {
		d := begun(resumes, recovery.Options{}, 3)
		d.step(recovery.UnknownGeneration{Attempt: 1, Conn: 1})
		began := d.now
		Expect(d.step(recovery.Placed{Attempt: 2, Upstream: "e1", Version: "v2"})).To(BeEmpty())
		for d.check.end == nil {
			d.tick()
			d.step(recovery.NoUpstream{Attempt: d.check.lastPlace, VersionGone: true})
		}
		Expect(d.last).To(fails(recovery.CodeVersionGone, recovery.OutcomeMayHaveRun))
		Expect(d.now.Sub(began)).To(BeNumerically("~", 3*time.Second, time.Second))
	})

	// Guards against retries in step, without a bound, or beyond the budget.
	It("backs off with jitter and gives up after a bounded number of attempts", func() {
		first, second := map[time.Duration]bool{}, map[time.Duration]bool{}
		for seed := range uint64(20) {
			var waits []time.Duration
			d := driveSeed(resumes, recovery.Options{}, seed)
			for attempt := 1; d.check.end == nil; attempt++ {
				d.step(recovery.Placed{Attempt: d.check.lastPlace, Upstream: "e0", Version: "v1"})
				d.step(recovery.Broken{Attempt: d.check.last, Conn: d.check.lastConn, NotRun: true})
				if d.check.end == nil && d.check.lastPlace == attempt {
					waits = append(waits, d.tick())
				}
			}
			Expect(d.last).To(fails(recovery.CodeRetries, recovery.OutcomeNotRun))
			Expect(d.g.Stats().Starts).To(Equal(4))
			Expect(waits).To(HaveLen(2))
			Expect(waits[0]).To(BeNumerically("~", 37500*time.Microsecond, 12500*time.Microsecond))
			Expect(waits[1]).To(BeNumerically("~", 75*time.Millisecond, 25*time.Millisecond))
			first[waits[0]], second[waits[1]] = true, true
		}
		Expect(len(first)).To(BeNumerically(">=", 15))
		Expect(len(second)).To(BeNumerically(">=", 15))
	})

	// Guards against a request that crashes engines one after the other with
	// some progress each time.
	It("bounds all attempts together", func() {
		d := begun(resumes, recovery.Options{}, 1)
		for d.check.end == nil {
			d.step(recovery.UnknownGeneration{Attempt: d.check.last, Conn: d.check.lastConn})
			if d.check.end != nil {
				break
			}
			d.step(recovery.Placed{Attempt: d.check.lastPlace, Upstream: "e0", Version: "v1"})
			d.step(recovery.Opened{Attempt: d.check.last, Conn: d.check.lastConn})
			d.tokens(d.check.last, d.check.lastConn, 1, time.Millisecond)
		}
		Expect(d.last).To(fails(recovery.CodeRetries, recovery.OutcomeMayHaveRun))
		Expect(d.g.Stats().Starts).To(Equal(8))
	})

	// Guards against a bound that ends a long answer which outlives many
	// engines.
	It("does not bound attempts that make progress", func() {
		d := begun(resumes, recovery.Options{}, 40)
		for range 30 {
			d.step(recovery.UnknownGeneration{Attempt: d.check.last, Conn: d.check.lastConn})
			d.step(recovery.Placed{Attempt: d.check.lastPlace, Upstream: "e0", Version: "v1"})
			d.step(recovery.Opened{Attempt: d.check.last, Conn: d.check.lastConn})
			d.tokens(d.check.last, d.check.lastConn, 40, time.Millisecond)
		}
		Expect(d.check.end).To(BeNil())
	})

	// Guards against not_run said after an engine may have begun (P5).
	DescribeTable("fails with a true outcome", func(ev recovery.Event, outcome recovery.Outcome) {
		d := drive(resumes, recovery.Options{MaxStartsWithoutToken: 1})
		d.step(recovery.Placed{Attempt: 1, Upstream: "e0", Version: "v1"})
		d.step(ev)
		for d.check.end == nil {
			d.tick()
		}
		Expect(d.last).To(ContainElement(HaveField("Outcome", outcome)))
	},
		Entry("never reached", recovery.Broken{Attempt: 1, Conn: 1, NotRun: true}, recovery.OutcomeNotRun),
		Entry("refused unrun", recovery.Refused{Attempt: 1, Conn: 1, Status: 429, NotRun: true}, recovery.OutcomeNotRun),
		Entry("refused after it may have begun", recovery.Refused{Attempt: 1, Conn: 1, Status: 500}, recovery.OutcomeMayHaveRun),
		Entry("broken off", recovery.Broken{Attempt: 1, Conn: 1}, recovery.OutcomeMayHaveRun),
	)

	// Guards against a faulty request that is sent to one engine after the
	// other.
	DescribeTable("passes on that the request itself is at fault", func(status int) {
		d := drive(resumes, recovery.Options{})
		d.step(recovery.Placed{Attempt: 1, Upstream: "e0", Version: "v1"})
		d.step(recovery.Refused{Attempt: 1, Conn: 1, Status: status, NotRun: true})
		Expect(d.last).To(ContainElement(recovery.Fail{Outcome: recovery.OutcomeNotRun, Code: recovery.CodeRefused, Status: status}))
	}, Entry("400", 400), Entry("413", 413), Entry("422", 422))

	// Guards against retries that multiply an overload.
	It("fails when the retry budget is used up", func() {
		d := drive(resumes, recovery.Options{})
		d.step(recovery.Placed{Attempt: 1, Upstream: "e0", Version: "v1"})
		d.step(recovery.Refused{Attempt: 1, Conn: 1, Status: 503, NotRun: true})
		Expect(d.step(recovery.NoBudget{Attempt: 2, RetryAfter: time.Second})).To(fails(recovery.CodeRetryBudget, recovery.OutcomeNotRun))
	})

	// Guards against a generation that outlives its caller's deadline.
	It("ends at the deadline in every state", func() {
		r := resumes
		r.Deadline = simStart.Add(10 * time.Second)
		for _, prepare := range []func() *driver{
			func() *driver { return drive(r, recovery.Options{}) },
			func() *driver { return begun(r, recovery.Options{}, 20) },
			func() *driver {
				d := begun(r, recovery.Options{}, 20)
				d.step(recovery.CallerStalled{})
				return d
			},
			func() *driver {
				d := drive(r, recovery.Options{})
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

var _ = Describe("a generation from another daemon", func() {
	adopt := func(r recovery.Request, haveText bool) *driver {
		GinkgoHelper()
		r.Adopt = &recovery.Adoption{Attempt: 3, Upstream: "e0", Version: "v1", Delivered: 2, Text: "ab", HaveText: haveText}
		if !haveText {
			r.Adopt.Text = ""
		}
		return drive(r, recovery.Options{})
	}

	// Guards against work that is done again when an entry VM dies.
	It("is resumed after the delivered tokens", func() {
		d := adopt(resumes, false)
		Expect(d.last).To(Equal([]recovery.Action{recovery.Resume{Attempt: 3, Conn: 1, Upstream: "e0", After: 2}}))
		d.step(recovery.Opened{Attempt: 3, Conn: 1})
		d.tokens(3, 1, 5, time.Millisecond)
		Expect(d.step(recovery.Finished{Attempt: 3, Conn: 1, Reason: "stop"})).To(ContainElement(recovery.Complete{Reason: "stop"}))
	})

	// Guards against a second generation appended to the first.
	It("is lost with its engine unless the caller returned the text", func() {
		d := adopt(resumes, false)
		Expect(d.step(recovery.UnknownGeneration{Attempt: 3, Conn: 1})).To(fails(recovery.CodeGenerationLost, recovery.OutcomeMayHaveRun))
		d = adopt(resumes, true)
		Expect(d.step(recovery.UnknownGeneration{Attempt: 3, Conn: 1})).To(placesFor(4))
		actions := d.step(recovery.Placed{Attempt: 4, Upstream: "e1", Version: "v1"})
		Expect(actions).To(Equal([]recovery.Action{recovery.Start{Attempt: 4, Conn: 2, Upstream: "e1", Version: "v1", Prefix: "ab", PrefixTokens: 2}}))
	})

	// Guards against an answer that is given up since its engine was paused or
	// overloaded for a moment, and against a wait without an end.
	DescribeTable("is resumed for a while when its text is not known", func(answer func(d *driver)) {
		d := adopt(resumes, false)
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
		Expect(d.last).To(fails(recovery.CodeGenerationLost, recovery.OutcomeMayHaveRun))
		Expect(d.now.Sub(simStart)).To(BeNumerically("~", 3500*time.Millisecond, 500*time.Millisecond))
		Expect(resumed).To(And(BeNumerically(">=", 3), BeNumerically("<=", 12)))
	},
		Entry("silent", func(*driver) {}),
		Entry("overloaded", func(d *driver) {
			Expect(d.step(recovery.Refused{Attempt: 3, Conn: d.check.lastConn, Status: 503})).NotTo(ContainElement(BeAssignableToTypeOf(recovery.Resume{})))
		}),
		Entry("broken off", func(d *driver) {
			Expect(d.step(recovery.Broken{Attempt: 3, Conn: d.check.lastConn})).NotTo(ContainElement(BeAssignableToTypeOf(recovery.Resume{})))
		}),
	)

	// Guards against a wait for an engine that is known to have lost the
	// generation: the caller should return its text soon.
	It("is given up at once when its engine is gone", func() {
		d := adopt(resumes, false)
		Expect(d.step(recovery.Broken{Attempt: 3, Conn: 1, NotRun: true})).To(fails(recovery.CodeGenerationLost, recovery.OutcomeMayHaveRun))
	})

	// Guards against an attempt that runs on at an engine without resume.
	It("is moved at once when its engine does not resume", func() {
		d := adopt(plain, true)
		Expect(d.last).To(ContainElement(recovery.CancelAttempt{Attempt: 3, Upstream: "e0"}))
		Expect(d.last).To(placesFor(4))
	})
})

var _ = Describe("a caller that stalls", func() {
	// Guards against tokens held for a caller that does not read, and against
	// engine work that is lost by waiting.
	It("is detached from an engine that resumes", func() {
		d := begun(resumes, recovery.Options{}, 20)
		Expect(d.step(recovery.CallerStalled{})).To(Equal([]recovery.Action{recovery.CloseConn{Attempt: 1, Conn: 1}}))
		_, timer := d.g.NextTimer()
		Expect(timer).To(BeFalse())
		d.pass(time.Minute)
		Expect(d.step(recovery.CallerReading{Room: 1000})).To(Equal([]recovery.Action{recovery.Resume{Attempt: 1, Conn: 2, Upstream: "e0", After: 20}}))
	})

	// Guards against a backlog without a bound, and against a backlog that is
	// lost or sent out of order.
	It("costs an engine that does not resume a bounded backlog", func() {
		d := begun(plain, recovery.Options{MaxHeldBytes: 2048}, 1)
		d.step(recovery.CallerStalled{})
		n := 0
		for ; len(d.check.open) > 0; n++ {
			d.pass(time.Millisecond)
			d.step(recovery.Token{Attempt: 1, Conn: 1, Index: 1 + n, Text: "abcd"})
			Expect(d.g.BacklogSize()).To(BeNumerically("<=", 2048+1024))
		}
		Expect(d.last).To(ContainElement(recovery.CancelAttempt{Attempt: 1, Upstream: "e0"}))
		Expect(d.step(recovery.CallerReading{Room: 10})).To(HaveLen(2))
		Expect(d.g.Stalled()).To(BeTrue())
		Expect(d.step(recovery.CallerReading{Room: 1 << 20})).To(HaveLen(n - 2 + 1))
		Expect(d.last).To(placesFor(2))
		Expect(d.step(recovery.Placed{Attempt: 2, Upstream: "e0", Version: "v1"})).To(ContainElement(HaveField("PrefixTokens", n+1)))
	})

	// Guards against an answer that ends before the caller has all of it.
	It("gets its backlog before the end of the answer", func() {
		d := begun(plain, recovery.Options{}, 1)
		d.step(recovery.CallerStalled{})
		d.step(recovery.Token{Attempt: 1, Conn: 1, Index: 1, Text: "abcd"})
		Expect(d.step(recovery.Finished{Attempt: 1, Conn: 1, Reason: "stop"})).To(Equal([]recovery.Action{recovery.CloseConn{Attempt: 1, Conn: 1}}))
		Expect(d.step(recovery.CallerReading{Room: 100})).To(Equal([]recovery.Action{
			recovery.Deliver{Attempt: 1, Index: 1, Text: "abcd"}, recovery.Complete{Reason: "stop"},
		}))
	})

	// Guards against an attempt that is begun, or waited for, while its caller
	// does not read.
	It("drops a placement that is under way", func() {
		for _, waiting := range []bool{false, true} {
			d := begun(resumes, recovery.Options{}, 1)
			d.step(recovery.UnknownGeneration{Attempt: 1, Conn: 1})
			if waiting {
				d.step(recovery.NoUpstream{Attempt: 2})
			}
			Expect(d.step(recovery.CallerStalled{})).To(BeEmpty())
			Expect(d.step(recovery.Placed{Attempt: 2, Upstream: "e1", Version: "v1"})).To(BeEmpty())
			_, timer := d.g.NextTimer()
			Expect(timer).To(BeFalse())
			Expect(d.step(recovery.CallerReading{Room: 100})).To(placesFor(3))
		}
	})

	// Guards against an attempt begun for a caller that does not read.
	It("gets no new attempt before it reads", func() {
		d := begun(plain, recovery.Options{}, 1)
		d.step(recovery.CallerStalled{})
		Expect(d.step(recovery.Broken{Attempt: 1, Conn: 1})).To(Equal([]recovery.Action{recovery.CancelAttempt{Attempt: 1, Upstream: "e0"}}))
		Expect(d.step(recovery.CallerReading{Room: 100})).To(placesFor(2))
	})
})

var _ = Describe("a caller that goes away", func() {
	// Guards against work for no one, and against work cancelled under a
	// caller that may reconnect.
	DescribeTable("lets its attempt", func(r recovery.Request, tokens int, want recovery.Action) {
		d := begun(r, recovery.Options{}, tokens)
		Expect(d.step(recovery.CallerGone{})).To(Equal([]recovery.Action{recovery.CloseConn{Attempt: 1, Conn: 1}, want}))
	},
		Entry("run for a while when it holds a cursor", resumes, 3, recovery.Abandon{Attempt: 1, Upstream: "e0"}),
		Entry("be cancelled when it holds nothing", resumes, 0, recovery.CancelAttempt{Attempt: 1, Upstream: "e0"}),
		Entry("be cancelled when it gets no cursors", recovery.Request{Resumes: true}, 3, recovery.CancelAttempt{Attempt: 1, Upstream: "e0"}),
		Entry("be cancelled when the engine does not resume", recovery.Request{Cursors: true}, 3, recovery.CancelAttempt{Attempt: 1, Upstream: "e0"}),
	)
})

var _ = Describe("Pacer", func() {
	// Guards against a mass of prefills at once after a mass loss, and against
	// the wrong order among what waits.
	It("grants the oldest work first, then the longest, at its rate", func() {
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

	// Guards against a loss that waits longer than the 4 s: the default rate
	// must pass a loss of 100 generations at one daemon in time.
	It("passes 100 continuations in 3 s by default", func() {
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

var _ = Describe("Budget", func() {
	// Guards against retries that grow with an overload instead of with the
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
