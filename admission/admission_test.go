package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/admission"
)

func TestAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admission")
}

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func queue(slots int, accounts ...admission.AccountLimit) *admission.Queue {
	q := admission.New(admission.DefaultOptions())
	q.Step(start, admission.Limits{Accounts: accounts, Daemons: 1})
	q.Step(start, admission.Capacity{Slots: slots})
	return q
}

func admitted(actions []admission.Action) []uint64 {
	var ids []uint64
	for _, a := range actions {
		if a, ok := a.(admission.Admit); ok {
			ids = append(ids, a.ID)
		}
	}
	return ids
}

var _ = Describe("Queue", func() {
	// Guards against a large account that delays small ones by its whole backlog.
	It("serves a small account next while a large one floods", func() {
		q := queue(1, admission.AccountLimit{Name: "large", Weight: 1}, admission.AccountLimit{Name: "small", Weight: 1})
		for id := uint64(1); id <= 50; id++ {
			q.Step(start, admission.Arrived{ID: id, Account: "large", Cost: 100})
		}
		q.Step(start, admission.Arrived{ID: 100, Account: "small", Cost: 100})
		Expect(admitted(q.Step(start, admission.Finished{ID: 1}))).To(Equal([]uint64{100}))
	})

	// Guards against idle accounts that save up credit and then shut others out.
	It("gives no credit for idle time", func() {
		q := queue(1)
		q.Step(start, admission.Arrived{ID: 1, Account: "busy", Cost: 1000})
		q.Step(start, admission.Finished{ID: 1})
		q.Step(start, admission.Arrived{ID: 2, Account: "busy", Cost: 1000})
		q.Step(start, admission.Arrived{ID: 3, Account: "late", Cost: 1})
		q.Step(start, admission.Arrived{ID: 4, Account: "late", Cost: 1000})
		q.Step(start, admission.Arrived{ID: 5, Account: "busy", Cost: 1})
		q.Step(start, admission.Finished{ID: 2})
		Expect(admitted(q.Step(start, admission.Finished{ID: 3}))).To(HaveLen(1))
	})

	// Guards against limits that count per daemon instead of over all of them.
	DescribeTable("divides an account's limit between daemons",
		func(limit, daemons, elsewhere, want int) {
			q := queue(100)
			q.Step(start, admission.Limits{Daemons: daemons, Accounts: []admission.AccountLimit{{Name: "a", Weight: 1, MaxInFlight: limit}}})
			if elsewhere >= 0 {
				q.Step(start, admission.Usage{Account: "a", InFlightElsewhere: elsewhere, At: start})
			}
			n := 0
			for id := uint64(1); id <= 100; id++ {
				n += len(admitted(q.Step(start, admission.Arrived{ID: id, Account: "a", Cost: 1})))
			}
			Expect(n).To(Equal(want))
		},
		Entry("evenly without reports", 30, 3, -1, 10),
		Entry("rounded up so that no account is locked out", 2, 9, -1, 1),
		Entry("half of what the others leave free", 30, 3, 0, 20),
		Entry("evenly when the others use their share", 30, 3, 20, 10),
	)

	// Guards against requests that wait for a start that cannot come in time.
	It("refuses early when the queue ahead is longer than the deadline", func() {
		q := queue(1)
		now := start
		for id := uint64(11); id <= 13; id++ {
			q.Step(now, admission.Arrived{ID: id, Account: "a", Cost: 100})
			now = now.Add(2 * time.Second)
			q.Step(now, admission.Finished{ID: id})
		}
		q.Step(now, admission.Arrived{ID: 2, Account: "a", Cost: 100})
		q.Step(now, admission.Arrived{ID: 3, Account: "a", Cost: 100})
		got := q.Step(now, admission.Arrived{ID: 4, Account: "a", Cost: 100, Deadline: now.Add(time.Second)})
		Expect(got).To(HaveLen(1))
		Expect(got[0]).To(BeAssignableToTypeOf(admission.Refuse{}))
		Expect(got[0].(admission.Refuse).Code).To(Equal(admission.CodeOverloaded))
	})

	// Guards against an idle service that refuses most of its first requests:
	// the estimate once began far too low.
	It("refuses nothing by an estimate that is not known yet", func() {
		q := queue(2)
		now, refused := start, 0
		for id := uint64(1); id <= 10; id++ {
			for _, a := range q.Step(now, admission.Arrived{ID: id, Account: "a", Cost: 20}) {
				if _, ok := a.(admission.Refuse); ok {
					refused++
				}
			}
			now = now.Add(10 * time.Millisecond)
			if id%2 == 0 {
				q.Step(now, admission.Finished{ID: id / 2})
			}
		}
		Expect(refused).To(BeZero())
	})

	// Guards against lost slots, double answers and overruns of any limit.
	It("keeps its invariants under random events", func() {
		for seed := uint64(1); seed <= 50; seed++ {
			checkRandom(seed)
		}
	})
})

func checkRandom(seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 0))
	limits := []admission.AccountLimit{{Name: "a0", Weight: 1, MaxInFlight: 3}, {Name: "a1", Weight: 4}, {Name: "a2", Weight: 1, MaxInFlight: 1}}
	q := queue(4, limits...)
	now, nextID := start, uint64(0)
	account := map[uint64]string{}
	running := map[uint64]bool{}
	waiting := map[uint64]bool{}
	for range 400 {
		now = now.Add(time.Duration(rnd.IntN(200)) * time.Millisecond)
		var ev admission.Event = admission.Tick{}
		switch rnd.IntN(4) {
		case 0, 1:
			nextID++
			account[nextID] = fmt.Sprintf("a%d", rnd.IntN(3))
			waiting[nextID] = true
			ev = admission.Arrived{ID: nextID, Account: account[nextID], Cost: float64(rnd.IntN(100)), Deadline: now.Add(time.Duration(rnd.IntN(6000)) * time.Millisecond)}
		case 2:
			for id := uint64(1); id <= nextID; id++ {
				if running[id] {
					delete(running, id)
					ev = admission.Finished{ID: id}
					break
				}
			}
		case 3:
			if id := uint64(rnd.IntN(int(nextID) + 1)); waiting[id] {
				delete(waiting, id)
				ev = admission.Abandoned{ID: id}
			}
		}
		for _, a := range q.Step(now, ev) {
			switch a := a.(type) {
			case admission.Admit:
				Expect(waiting).To(HaveKey(a.ID), "seed %d", seed)
				delete(waiting, a.ID)
				running[a.ID] = true
			case admission.Refuse:
				Expect(waiting).To(HaveKey(a.ID), "seed %d", seed)
				delete(waiting, a.ID)
			}
		}
		Expect(q.InFlight()).To(Equal(len(running)), "seed %d", seed)
		Expect(q.Queued()).To(Equal(len(waiting)), "seed %d", seed)
		Expect(len(running)).To(BeNumerically("<=", 4), "seed %d", seed)
		counts := map[string]int{}
		for id := range running {
			counts[account[id]]++
		}
		Expect(counts["a0"]).To(BeNumerically("<=", 3), "seed %d", seed)
		Expect(counts["a2"]).To(BeNumerically("<=", 1), "seed %d", seed)
	}
}
