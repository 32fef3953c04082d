package failover_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/failover"
)

func TestFailover(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "failover")
}

var _ = Describe("Stream", func() {
	start := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	o := failover.DefaultOptions()
	o.Resumable = true
	var s *failover.Stream
	var now time.Time
	BeforeEach(func() {
		now = start
		s = failover.New(o)
		s.Sent(now, true)
	})
	// event advances the time by d and delivers an event.
	event := func(d time.Duration) {
		now = now.Add(d)
		s.Delivered(now)
	}
	// waitForStep advances the time by up to maxWait until Tick returns another step
	// than StepWait.
	waitForStep := func(maxWait time.Duration) failover.Step {
		for end := now.Add(maxWait); now.Before(end); {
			now = now.Add(10 * time.Millisecond)
			if step := s.Tick(now); step != failover.StepWait {
				return step
			}
		}
		return failover.StepWait
	}

	// Guards against a stream that waits for seconds on a dead connection while its
	// upstream reports that it makes events.
	DescribeTable("moves once three probes in a row show events that do not arrive", func(events int, want failover.Step, within time.Duration) {
		for range events {
			event(50 * time.Millisecond)
		}
		began := now
		for range 2 {
			Expect(waitForStep(2 * time.Second)).To(Equal(failover.StepProbe))
			Expect(s.ProbedMissing(now)).To(Equal(failover.StepWait))
		}
		Expect(waitForStep(2 * time.Second)).To(Equal(failover.StepProbe))
		Expect(s.ProbedMissing(now)).To(Equal(want))
		Expect(now.Sub(began)).To(BeNumerically("<", within))
	},
		Entry("in the middle", 20, failover.StepRestore, time.Second),
		Entry("before the first event", 0, failover.StepRestart, 2*time.Second),
	)

	// Guards against a stream that is moved because its events are late.
	It("stays where events arrive between the probes", func() {
		event(50 * time.Millisecond)
		for range 4 {
			for range 2 {
				Expect(waitForStep(time.Second)).To(Equal(failover.StepProbe))
				Expect(s.ProbedMissing(now)).To(Equal(failover.StepWait))
			}
			event(10 * time.Millisecond)
			Expect(s.ProbedMissing(now)).To(Equal(failover.StepWait), "the answer came after the event")
		}
		for range 4 {
			Expect(waitForStep(time.Second)).To(Equal(failover.StepProbe))
			Expect(s.ProbedMissing(now)).To(Equal(failover.StepWait))
			Expect(waitForStep(time.Second)).To(Equal(failover.StepProbe))
			Expect(s.Probed(failover.VerdictHolds, now)).To(Equal(failover.StepWait))
		}
	})

	// Guards against a stream that uses up all its runs within 60 ms at two crashed
	// engines while the others are full and would have capacity soon.
	It("reports few runs left only for its last two runs", func() {
		one := failover.New(o)
		Expect(one.FewRunsLeft()).To(BeFalse())
		for range o.MaxRuns - 2 {
			Expect(one.FewRunsLeft()).To(BeFalse())
			one.Sent(now, false)
			Expect(one.Lost()).To(Equal(failover.StepRestart))
		}
		Expect(one.FewRunsLeft()).To(BeTrue())
		one.Sent(now, false)
		one.NotRun()
		Expect(one.FewRunsLeft()).To(BeTrue())
	})

	// Guards against a stream that uses up its runs within 80 ms at the only engine
	// that its daemon knows, which crashed but still accepts connections.
	It("may try an engine that failed recently 1 s after its last activity", func() {
		s.Sent(now, false)
		s.Lost()
		Expect(s.MayTryRecentlyFailed(now.Add(990 * time.Millisecond))).To(BeFalse())
		Expect(s.MayTryRecentlyFailed(now.Add(time.Second))).To(BeTrue())
	})

	// Guards against load queries of waiting runs that make most of the work in an overload, and
	// against an engine that is lost without a sign and not found. Load: a run that is expected
	// to wait for 8 s.
	It("probes a run that is expected to wait less often, and others as before", func() {
		probes := func(expected time.Duration) (first time.Duration, n int) {
			now = start
			s = failover.New(o)
			s.Sent(now, false)
			s.Expected(expected)
			for ; now.Before(start.Add(7 * time.Second)); now = now.Add(10 * time.Millisecond) {
				if s.Tick(now) != failover.StepProbe {
					continue
				}
				if n++; n == 1 {
					first = now.Sub(start)
				}
				Expect(s.Probed(failover.VerdictLacks, now)).To(Equal(failover.StepWait))
			}
			return first, n
		}
		usualFirst, usual := probes(0)
		first, n := probes(time.Second)
		Expect(first).To(Equal(usualFirst))
		Expect(n).To(Equal(usual))
		first, n = probes(8 * time.Second)
		Expect(first).To(Equal(2 * time.Second))
		Expect(n).To(And(BeNumerically(">=", 4), BeNumerically("<=", usual/3)))
		Expect(s.NextTick()).To(BeTemporally("<=", now.Add(time.Second)))
		s.Delivered(now)
		now = now.Add(o.GapProbeDelay)
		Expect(s.Tick(now)).To(Equal(failover.StepProbe), "between events as before")
		s.Probed(failover.VerdictHolds, now)
		Expect(s.NextTick()).To(Equal(now.Add(o.ProbeInterval)))
	})

	// Guards against a run that still reads its prompt and is taken for lost: the
	// engine does not list it yet, and a restore would be refused.
	It("does not move a run that is not listed before its first event", func() {
		Expect(waitForStep(2 * time.Second)).To(Equal(failover.StepProbe))
		Expect(s.Probed(failover.VerdictLacks, now)).To(Equal(failover.StepWait))
		Expect(waitForStep(time.Second)).To(Equal(failover.StepProbe))
		Expect(s.Probed(failover.VerdictUnknown, now)).To(Equal(failover.StepWait))
	})

	// Guards against a run that has just been moved and is taken for lost because it
	// is missing from a report that is some hundred milliseconds old.
	It("does not move a run whose first event is younger than the report may be", func() {
		event(time.Second)
		Expect(waitForStep(time.Second)).To(Equal(failover.StepProbe))
		Expect(s.Probed(failover.VerdictLacks, now)).To(Equal(failover.StepWait))
		event(10 * time.Millisecond)
		event(o.MaxReportAge)
		Expect(waitForStep(time.Second)).To(Equal(failover.StepProbe))
		Expect(s.Probed(failover.VerdictLacks, now)).To(Equal(failover.StepRestore))
	})

	// Guards against a restore at an engine that crashed and lost its copy.
	It("restarts when the copy is lost, and restores when there is a copy again", func() {
		event(time.Second)
		s.SetCopied(false)
		Expect(s.Lost()).To(Equal(failover.StepRestart))
		s.SetCopied(true)
		Expect(s.Lost()).To(Equal(failover.StepRestore))
	})

	// Guards against waiting for an engine that crashed silently before the first event.
	DescribeTable("restarts at another engine when the engine is gone before the first event",
		func(v failover.Verdict) {
			Expect(waitForStep(2 * time.Second)).To(Equal(failover.StepProbe))
			Expect(s.Probed(v, now)).To(Equal(failover.StepRestart))
		},
		Entry("no answer", failover.VerdictUnreachable),
		Entry("restarted and empty", failover.VerdictIdle),
	)

	// Guards against a pause above the routes' objective of 700 ms after a silent
	// crash: the loss must be detected within 400 ms.
	It("restores from the copy within 400 ms of the last event of a dead engine", func() {
		event(time.Second)
		event(50 * time.Millisecond)
		last := now
		Expect(waitForStep(time.Second)).To(Equal(failover.StepProbe))
		now = now.Add(o.ProbeTimeout)
		Expect(s.Probed(failover.VerdictUnreachable, now)).To(Equal(failover.StepRestore))
		Expect(now.Sub(last)).To(BeNumerically("<=", 400*time.Millisecond))
	})

	// Guards against a second run beside that of an engine whose process stands still for a
	// moment: it does not notice the end of its connection before it goes on.
	DescribeTable("stays at an engine that stands still for a moment, and leaves it after a second",
		func(events int, want failover.Step) {
			for range events {
				event(time.Second)
			}
			began := now
			for {
				Expect(waitForStep(2 * time.Second)).To(Equal(failover.StepProbe))
				if events == 0 && began.Equal(start) {
					began = now
				}
				now = now.Add(o.ProbeTimeout)
				if step := s.Probed(failover.VerdictSilent, now); step != failover.StepWait {
					Expect(step).To(Equal(want))
					break
				}
			}
			Expect(now.Sub(began)).To(And(BeNumerically(">=", time.Second), BeNumerically("<=", 1050*time.Millisecond)))
		},
		Entry("in the middle", 2, failover.StepRestore),
		Entry("before the first event", 0, failover.StepRestart),
	)

	// Guards against standstills that are added up.
	It("counts a standstill from the last answer", func() {
		event(time.Second)
		for range 3 {
			for range 2 {
				Expect(waitForStep(time.Second)).To(Equal(failover.StepProbe))
				now = now.Add(o.ProbeTimeout)
				Expect(s.Probed(failover.VerdictSilent, now)).To(Equal(failover.StepWait))
			}
			event(time.Millisecond)
		}
	})

	// Guards against a second run beside one that is only slow.
	It("stays at an engine that still lists the run", func() {
		event(time.Second)
		for range 5 {
			Expect(waitForStep(time.Second)).To(Equal(failover.StepProbe))
			Expect(s.Probed(failover.VerdictHolds, now)).To(Equal(failover.StepWait))
		}
		event(10 * time.Millisecond)
		Expect(waitForStep(o.GapProbeDelay - 20*time.Millisecond)).To(Equal(failover.StepWait))
	})

	// Guards against acting on a verdict that arrives after the next event.
	It("ignores the verdict of a probe when an event arrived before it", func() {
		event(time.Second)
		Expect(waitForStep(time.Second)).To(Equal(failover.StepProbe))
		event(time.Millisecond)
		Expect(s.Probed(failover.VerdictUnreachable, now)).To(Equal(failover.StepWait))
	})

	// Guards against an engine that answers probes but produces no event.
	It("restores from the copy when an engine is silent for GapTimeout whatever it answers", func() {
		event(time.Second)
		last := now
		for {
			step := waitForStep(time.Second)
			if step != failover.StepProbe {
				Expect(step).To(Equal(failover.StepRestore))
				break
			}
			s.Probed(failover.VerdictHolds, now)
		}
		Expect(now.Sub(last)).To(BeNumerically("~", o.GapTimeout, 20*time.Millisecond))
	})

	// Guards against a second restore although there was no copy, and against a
	// refusal that uses up a run.
	It("restarts after a refused restore", func() {
		event(time.Second)
		Expect(s.Lost()).To(Equal(failover.StepRestore))
		s.Sent(now, true)
		s.NotRun()
		Expect(s.Lost()).To(Equal(failover.StepRestart))
	})

	// Guards against a run that is not stopped after its client left in the middle of a silence,
	// and against a call for each client that leaves.
	It("is silent once a probe is due, and not between events", func() {
		Expect(s.Silent(now.Add(o.FirstEventProbeDelay - time.Millisecond))).To(BeFalse())
		Expect(s.Silent(now.Add(o.FirstEventProbeDelay))).To(BeTrue())
		event(time.Second)
		Expect(s.Silent(now.Add(o.GapProbeDelay - time.Millisecond))).To(BeFalse())
		Expect(waitForStep(time.Second)).To(Equal(failover.StepProbe))
		Expect(s.Probed(failover.VerdictHolds, now)).To(Equal(failover.StepWait))
		Expect(s.Silent(now)).To(BeTrue(), "an answer is no event")
	})

	// Guards against more runs than the route allows.
	It("gives up after MaxRuns runs", func() {
		for range o.MaxRuns - 1 {
			event(10 * time.Millisecond)
			Expect(s.Lost()).To(Equal(failover.StepRestore))
			s.Sent(now, true)
		}
		Expect(s.Lost()).To(Equal(failover.StepGiveUp))
	})

	// Guards against a stream that runs twice although it is not resumable.
	It("never repeats a stream that is not resumable", func() {
		once := o
		once.Resumable = false
		s = failover.New(once)
		s.Sent(now, false)
		Expect(waitForStep(time.Minute)).To(Equal(failover.StepWait))
		Expect(s.Lost()).To(Equal(failover.StepGiveUp))
	})
})
