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
	// event passes d and delivers an event.
	event := func(d time.Duration) {
		now = now.Add(d)
		s.Delivered(now)
	}
	// silence passes time until the stream asks for a step.
	silence := func(most time.Duration) failover.Step {
		for end := now.Add(most); now.Before(end); {
			now = now.Add(10 * time.Millisecond)
			if step := s.Tick(now); step != failover.Wait {
				return step
			}
		}
		return failover.Wait
	}

	// Guards against a stream that uses up all its runs within 60 ms on two crashed
	// engines while the others are full and would have a place soon.
	It("is careful with its last runs, and only after it lost one", func() {
		one := failover.New(o)
		Expect(one.FewRunsLeft()).To(BeFalse())
		for range o.MaxRuns - 2 {
			Expect(one.FewRunsLeft()).To(BeFalse())
			one.Sent(now, false)
			Expect(one.Lost()).To(Equal(failover.Restart))
		}
		Expect(one.FewRunsLeft()).To(BeTrue())
		one.Sent(now, false)
		one.NotRun()
		Expect(one.FewRunsLeft()).To(BeTrue())
	})

	// Guards against a stream that uses up its runs within 80 ms on the only engine
	// that its daemon knows, which crashed and takes connections in vain.
	It("tries an engine that failed lately a second after the last sign of life", func() {
		s.Sent(now, false)
		s.Lost()
		Expect(s.MayTryRecentlyFailed(now.Add(990 * time.Millisecond))).To(BeFalse())
		Expect(s.MayTryRecentlyFailed(now.Add(time.Second))).To(BeTrue())
	})

	// Guards against a run that only reads its prompt and is taken for lost: it is
	// not in the engine's list yet, and its restore would be refused.
	It("does not move a run that is not listed before its first event", func() {
		Expect(silence(2 * time.Second)).To(Equal(failover.Probe))
		Expect(s.Probed(failover.Lacks, now)).To(Equal(failover.Wait))
		Expect(silence(time.Second)).To(Equal(failover.Probe))
		Expect(s.Probed(failover.Unknown, now)).To(Equal(failover.Wait))
	})

	// Guards against a run that was moved a moment ago and is missing in the report,
	// which is some hundred milliseconds old.
	It("does not move a run whose first event is younger than the report", func() {
		event(time.Second)
		Expect(silence(time.Second)).To(Equal(failover.Probe))
		Expect(s.Probed(failover.Lacks, now)).To(Equal(failover.Wait))
		event(10 * time.Millisecond)
		event(o.MaxReportAge)
		Expect(silence(time.Second)).To(Equal(failover.Probe))
		Expect(s.Probed(failover.Lacks, now)).To(Equal(failover.Restore))
	})

	// Guards against a restore from an engine that crashed meanwhile.
	It("reads again when the copy is lost, and restores from the next one", func() {
		event(time.Second)
		s.SetCopied(false)
		Expect(s.Lost()).To(Equal(failover.Restart))
		s.SetCopied(true)
		Expect(s.Lost()).To(Equal(failover.Restore))
	})

	// Guards against an engine that crashed without a word before the first event.
	DescribeTable("reads the prompt again elsewhere when the engine is gone",
		func(v failover.Verdict) {
			Expect(silence(2 * time.Second)).To(Equal(failover.Probe))
			Expect(s.Probed(v, now)).To(Equal(failover.Restart))
		},
		Entry("no answer", failover.Unreachable),
		Entry("restarted and empty", failover.Idle),
	)

	// Guards against a pause above the stream's objective after a silent crash:
	// the loss must be known within 400 ms, well before the 700 ms of the routes.
	It("goes on from the copy within 400 ms of the last event of a dead engine", func() {
		event(time.Second)
		event(50 * time.Millisecond)
		last := now
		Expect(silence(time.Second)).To(Equal(failover.Probe))
		now = now.Add(o.ProbeTimeout)
		Expect(s.Probed(failover.Unreachable, now)).To(Equal(failover.Restore))
		Expect(now.Sub(last)).To(BeNumerically("<=", 400*time.Millisecond))
	})

	// Guards against a second run beside one that is merely slow.
	It("stays with an engine that still holds the run", func() {
		event(time.Second)
		for range 5 {
			Expect(silence(time.Second)).To(Equal(failover.Probe))
			Expect(s.Probed(failover.Holds, now)).To(Equal(failover.Wait))
		}
		event(10 * time.Millisecond)
		Expect(silence(o.GapProbeDelay - 20*time.Millisecond)).To(Equal(failover.Wait))
	})

	// Guards against a verdict that arrives after the event it doubted.
	It("ignores a probe that an event has overtaken", func() {
		event(time.Second)
		Expect(silence(time.Second)).To(Equal(failover.Probe))
		event(time.Millisecond)
		Expect(s.Probed(failover.Unreachable, now)).To(Equal(failover.Wait))
	})

	// Guards against an engine that answers probes and never makes an event.
	It("gives up an engine that is silent for too long whatever it says", func() {
		event(time.Second)
		last := now
		for {
			step := silence(time.Second)
			if step != failover.Probe {
				Expect(step).To(Equal(failover.Restore))
				break
			}
			s.Probed(failover.Holds, now)
		}
		Expect(now.Sub(last)).To(BeNumerically("~", o.GapTimeout, 20*time.Millisecond))
	})

	// Guards against a restore that is tried again although there was no copy, and
	// against a refusal that uses up an attempt.
	It("restarts after a refused restore", func() {
		event(time.Second)
		Expect(s.Lost()).To(Equal(failover.Restore))
		s.Sent(now, true)
		s.NotRun()
		Expect(s.Lost()).To(Equal(failover.Restart))
	})

	// Guards against more runs than the route allows.
	It("gives up after the route's attempts", func() {
		for range o.MaxRuns - 1 {
			event(10 * time.Millisecond)
			Expect(s.Lost()).To(Equal(failover.Restore))
			s.Sent(now, true)
		}
		Expect(s.Lost()).To(Equal(failover.GiveUp))
	})

	// Guards against a stream that runs twice although it may not be resumed.
	It("never repeats a stream that cannot be resumed", func() {
		once := o
		once.Resumable = false
		s = failover.New(once)
		s.Sent(now, false)
		Expect(silence(time.Minute)).To(Equal(failover.Wait))
		Expect(s.Lost()).To(Equal(failover.GiveUp))
	})
})
