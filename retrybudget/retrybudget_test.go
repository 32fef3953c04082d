package retrybudget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/retrybudget"
)

func TestRetryBudget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retrybudget")
}

var options = retrybudget.Options{Ratio: 0.8, Slack: 150, Window: 10 * time.Second}

var _ = Describe("Budget", func() {
	// Guards against a retry storm, in which many daemons each retry whatever fails.
	// Every window of the budget's length is checked.
	It("keeps the fleet within its budget in any window", func() {
		const daemons = 9
		rnd := rand.New(rand.NewPCG(1, 2))
		budgets := make([]*retrybudget.Budget, daemons)
		for i := range budgets {
			budgets[i] = retrybudget.New(options)
		}
		var requests, retries []time.Duration
		for at := time.Duration(0); at < time.Minute; at += 5 * time.Millisecond {
			b := budgets[rnd.IntN(daemons)]
			if rnd.Float64() < 0.3 {
				b.Request(at)
				requests = append(requests, at)
			}
			for range 3 {
				if b.Allow(at, daemons, retrybudget.Purpose(rnd.IntN(2))) {
					retries = append(retries, at)
				}
			}
		}
		for from := time.Duration(0); from < 50*time.Second; from += 100 * time.Millisecond {
			limit := options.Ratio*float64(countInWindow(requests, from)) + options.Slack
			Expect(float64(countInWindow(retries, from))).To(BeNumerically("<=", limit))
		}
		Expect(retries).NotTo(BeEmpty())
	})

	// Guards against streams that fail after all upstreams of their service crashed:
	// each stream finds 24 closed ports within milliseconds, which must not use up the
	// retries that it needs two seconds later, when the upstreams are back.
	It("is not used up by upstreams that cannot be reached", func() {
		b := retrybudget.New(retrybudget.Options{Slack: 150, Window: 10 * time.Second})
		const daemons, streams, upstreams = 9, 5, 24
		for range streams {
			tracker := &retrybudget.AttemptTracker{}
			tracker.Attempted(true)
			for range upstreams {
				if tracker.NeedsBudget() {
					Expect(b.Allow(time.Millisecond, daemons, retrybudget.PurposeContinuation)).To(BeTrue())
					tracker.BudgetGranted()
				}
				tracker.Attempted(false)
			}
			Expect(tracker.NeedsBudget()).To(BeFalse(), "the granted retry covers the attempt that arrives")
			tracker.Attempted(true)
			Expect(tracker.NeedsBudget()).To(BeTrue())
		}
		Expect(b.Allow(2*time.Second, daemons, retrybudget.PurposeContinuation)).To(BeTrue())
	})

	It("charges nothing for a request's first arrival, however many attempts it takes", func() {
		tracker := &retrybudget.AttemptTracker{}
		for range 30 {
			Expect(tracker.NeedsBudget()).To(BeFalse())
			tracker.Attempted(false)
		}
		tracker.Attempted(true)
		Expect(tracker.NeedsBudget()).To(BeTrue())
	})

	// Guards against a request that opens connections to hundreds of closed ports
	// without a pause.
	It("asks for a pause after every eight upstreams that cannot be reached", func() {
		tracker := &retrybudget.AttemptTracker{}
		pauses := 0
		for range 400 {
			tracker.Attempted(false)
			if tracker.TakePause() {
				pauses++
			}
		}
		Expect(pauses).To(Equal(50))
		tracker.Attempted(true)
		Expect(tracker.TakePause()).To(BeFalse())
	})

	// Guards against a change of the options that discards the counted retries.
	It("keeps its counts when the slack changes", func() {
		b := retrybudget.New(retrybudget.Options{Slack: 4, Window: 10 * time.Second})
		for b.Allow(0, 1, retrybudget.PurposeContinuation) {
		}
		b.SetOptions(retrybudget.Options{Slack: 3, Window: 10 * time.Second})
		Expect(b.Allow(0, 1, retrybudget.PurposeContinuation)).To(BeFalse())
		b.SetOptions(retrybudget.Options{Slack: 40, Window: 10 * time.Second})
		Expect(b.Allow(0, 1, retrybudget.PurposeContinuation)).To(BeTrue())
	})

	// Guards against streams that fail when their engine crashes while all engines are
	// full, because new requests that search for an engine used up the budget.
	It("reserves a part for the continuation of streams", func() {
		b := retrybudget.New(retrybudget.Options{Slack: 100, Window: 10 * time.Second})
		searches := 0
		for b.Allow(0, 1, retrybudget.PurposeSearch) {
			searches++
		}
		continuations := 0
		for b.Allow(0, 1, retrybudget.PurposeContinuation) {
			continuations++
		}
		Expect(searches).To(BeNumerically(">", 2*continuations))
		Expect(continuations).To(BeNumerically(">=", 20))
		Expect(b.Allow(time.Second, 1, retrybudget.PurposeSearch)).To(BeFalse())
	})

	// Guards against counts that are kept longer than the window, also after a long
	// time without requests.
	It("forgets retries that are older than the window", func() {
		b := retrybudget.New(retrybudget.Options{Slack: 4, Window: 10 * time.Second})
		for b.Allow(0, 1, retrybudget.PurposeContinuation) {
		}
		Expect(b.Allow(9*time.Second, 1, retrybudget.PurposeContinuation)).To(BeFalse())
		Expect(b.Allow(11*time.Second, 1, retrybudget.PurposeContinuation)).To(BeTrue())
		Expect(b.Allow(time.Hour, 1, retrybudget.PurposeContinuation)).To(BeTrue())
	})
})

func countInWindow(times []time.Duration, from time.Duration) int {
	n := 0
	for _, t := range times {
		if t >= from && t < from+options.Window {
			n++
		}
	}
	return n
}
