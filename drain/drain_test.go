package drain_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/drain"
)

func TestDrain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "drain")
}

var _ = Describe("Plan", func() {
	began := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	plan := drain.Plan{Began: began, Grace: 8 * time.Second}
	at := func(d time.Duration) time.Time { return began.Add(d) }

	// Guards against a fleet without any listener: if all daemons are stopped before the
	// streams of the first have ended, clients would find only closed ports.
	It("leaves a daemon that serves short requests at any moment of a fast rolling stop", func() {
		const restart = 500 * time.Millisecond
		var plans []drain.Plan
		for i := range 6 {
			plans = append(plans, drain.Plan{Began: at(time.Duration(i) * time.Second), Grace: 8 * time.Second})
		}
		for t := time.Duration(0); t < 14*time.Second; t += 10 * time.Millisecond {
			served := false
			for _, p := range plans {
				back := p.Deadline().Add(restart)
				running := at(t).Before(p.Began) || !at(t).Before(back)
				served = served || running || !p.ShouldClose(1, at(t)) && p.Accepts(false, at(t))
			}
			Expect(served).To(BeTrue(), t.String())
		}
	})

	// Guards against streams that are cut off at the end of the grace.
	It("accepts streams only until the balancer has noticed the stop", func() {
		Expect(plan.Accepts(true, at(2499*time.Millisecond))).To(BeTrue())
		Expect(plan.Accepts(true, at(2500*time.Millisecond))).To(BeFalse())
	})

	It("leaves each accepted request a second, and ends before the process is killed", func() {
		Expect(plan.Deadline()).To(BeTemporally("<", at(plan.Grace)))
		Expect(plan.Accepts(false, plan.Deadline().Add(-time.Second-time.Millisecond))).To(BeTrue())
		Expect(plan.Accepts(false, plan.Deadline().Add(-time.Second))).To(BeFalse())
		Expect(plan.ShouldClose(1, plan.Deadline().Add(-time.Second))).To(BeTrue())
	})

	// Guards against requests whose connection is cut in the moment in which they are
	// answered at the end of the stop.
	It("leaves time to send the last answers before connections are cut", func() {
		Expect(plan.AnswerBy()).To(BeTemporally("<=", plan.Deadline().Add(-200*time.Millisecond)))
		Expect(plan.LeavesTime(time.Second, plan.AnswerBy().Add(-time.Second))).To(BeTrue())
		Expect(plan.LeavesTime(time.Second, plan.AnswerBy().Add(-time.Second+time.Millisecond))).To(BeFalse())
		Expect(plan.LeavesTime(time.Hour, at(2499*time.Millisecond))).To(BeTrue())
	})

	It("closes the listener early when no stream runs", func() {
		Expect(plan.ShouldClose(0, at(2499*time.Millisecond))).To(BeFalse())
		Expect(plan.ShouldClose(0, at(2500*time.Millisecond))).To(BeTrue())
		Expect(plan.ShouldClose(1, at(2500*time.Millisecond))).To(BeFalse())
	})

	It("accepts requests until the balancer has noticed the stop, even if the grace is shorter", func() {
		short := drain.Plan{Began: began, Grace: time.Second}
		Expect(short.Accepts(true, at(2*time.Second))).To(BeTrue())
		Expect(short.ShouldClose(1, at(2500*time.Millisecond))).To(BeTrue())
		Expect(short.Accepts(false, at(2500*time.Millisecond))).To(BeFalse())
	})

	// Guards against requests that are dropped with their connection: they have arrived, or
	// are on their way on a connection that was just opened.
	It("keeps a connection while a request is unanswered, and one that was just opened or used", func() {
		now := at(3 * time.Second)
		unused := func(unanswered bool, since time.Duration) bool {
			return plan.ClosesConnection(drain.Connection{Unanswered: unanswered, UnusedSince: now.Add(-since)}, now)
		}
		Expect(unused(true, time.Hour)).To(BeFalse())
		Expect(unused(false, 999*time.Millisecond)).To(BeFalse())
		Expect(unused(false, time.Second)).To(BeTrue())
		now = at(2499 * time.Millisecond)
		Expect(unused(false, time.Hour)).To(BeFalse(), "the balancer may not have noticed the stop")
	})
})
