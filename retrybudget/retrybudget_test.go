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
	// Guards against a retry storm: many daemons that each repeat whatever fails,
	// seen over any window of the budget's length.
	It("keeps the fleet within its budget in any window", func() {
		const daemons = 9
		rnd := rand.New(rand.NewPCG(1, 2))
		budgets := make([]*retrybudget.Budget, daemons)
		for i := range budgets {
			budgets[i] = retrybudget.New(options)
		}
		var requests, repeats []time.Duration
		for at := time.Duration(0); at < time.Minute; at += 5 * time.Millisecond {
			b := budgets[rnd.IntN(daemons)]
			if rnd.Float64() < 0.3 {
				b.Request(at)
				requests = append(requests, at)
			}
			for range 3 {
				if b.Allow(at, daemons, retrybudget.Purpose(rnd.IntN(2))) {
					repeats = append(repeats, at)
				}
			}
		}
		for from := time.Duration(0); from < 50*time.Second; from += 100 * time.Millisecond {
			limit := options.Ratio*float64(within(requests, from)) + options.Slack
			Expect(float64(within(repeats, from))).To(BeNumerically("<=", limit))
		}
		Expect(repeats).NotTo(BeEmpty())
	})

	// Guards against streams that end because their service crashed as a whole: each
	// finds 24 closed ports within milliseconds, which used up the repeats that
	// they need two seconds later, when the upstreams are back.
	It("is not used up by upstreams that cannot be reached", func() {
		b := retrybudget.New(retrybudget.Options{Slack: 150, Window: 10 * time.Second})
		const daemons, streams, upstreams = 9, 5, 24
		for range streams {
			a := &retrybudget.AttemptTracker{}
			a.Attempted(true)
			for range upstreams {
				if a.NeedsBudget() {
					Expect(b.Allow(time.Millisecond, daemons, retrybudget.Continuation)).To(BeTrue())
					a.BudgetGranted()
				}
				a.Attempted(false)
			}
			Expect(a.NeedsBudget()).To(BeFalse(), "the repeat that was paid covers the one that arrives")
			a.Attempted(true)
			Expect(a.NeedsBudget()).To(BeTrue())
		}
		Expect(b.Allow(2*time.Second, daemons, retrybudget.Continuation)).To(BeTrue())
	})

	It("lets a request's first arrival be free, however many tries it takes", func() {
		a := &retrybudget.AttemptTracker{}
		for range 30 {
			Expect(a.NeedsBudget()).To(BeFalse())
			a.Attempted(false)
		}
		a.Attempted(true)
		Expect(a.NeedsBudget()).To(BeTrue())
	})

	// Guards against a request that opens connections to hundreds of closed ports
	// without a pause.
	It("asks for a pause after each few upstreams that cannot be reached", func() {
		a := &retrybudget.AttemptTracker{}
		pauses := 0
		for range 400 {
			a.Attempted(false)
			if a.TakePause() {
				pauses++
			}
		}
		Expect(pauses).To(Equal(50))
		a.Attempted(true)
		Expect(a.TakePause()).To(BeFalse())
	})

	// Guards against a changed budget that forgets the repeats of the moment before.
	It("keeps its counts when the limits change", func() {
		b := retrybudget.New(retrybudget.Options{Slack: 4, Window: 10 * time.Second})
		for b.Allow(0, 1, retrybudget.Continuation) {
		}
		b.SetOptions(retrybudget.Options{Slack: 3, Window: 10 * time.Second})
		Expect(b.Allow(0, 1, retrybudget.Continuation)).To(BeFalse())
		b.SetOptions(retrybudget.Options{Slack: 40, Window: 10 * time.Second})
		Expect(b.Allow(0, 1, retrybudget.Continuation)).To(BeTrue())
	})

	// Guards against streams that are cut when their engine crashes while all
	// engines are full, because new requests that look for a place used the budget.
	It("keeps a part for running streams", func() {
		b := retrybudget.New(retrybudget.Options{Slack: 100, Window: 10 * time.Second})
		searches := 0
		for b.Allow(0, 1, retrybudget.Search) {
			searches++
		}
		continuations := 0
		for b.Allow(0, 1, retrybudget.Continuation) {
			continuations++
		}
		Expect(searches).To(BeNumerically(">", 2*continuations))
		Expect(continuations).To(BeNumerically(">=", 20))
		Expect(b.Allow(time.Second, 1, retrybudget.Search)).To(BeFalse())
	})

	// Guards against counts that outlive their window, also after a long pause.
	It("forgets what is older than the window", func() {
		b := retrybudget.New(retrybudget.Options{Slack: 4, Window: 10 * time.Second})
		for b.Allow(0, 1, retrybudget.Continuation) {
		}
		Expect(b.Allow(9*time.Second, 1, retrybudget.Continuation)).To(BeFalse())
		Expect(b.Allow(11*time.Second, 1, retrybudget.Continuation)).To(BeTrue())
		Expect(b.Allow(time.Hour, 1, retrybudget.Continuation)).To(BeTrue())
	})
})

func within(times []time.Duration, from time.Duration) int {
	n := 0
	for _, t := range times {
		if t >= from && t < from+options.Window {
			n++
		}
	}
	return n
}
