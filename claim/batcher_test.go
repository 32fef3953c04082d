package claim_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/claim"
)

var _ = Describe("Batcher", func() {
	write := func(id int) claim.AddWrite {
		return claim.AddWrite{Write: claim.Write{ID: uint64(id), Key: fmt.Sprint("k", id), Value: []byte("v")}}
	}
	// txn returns the only transaction among the actions.
	txn := func(acts []claim.BatchAction) claim.SendTxn {
		GinkgoHelper()
		var out []claim.SendTxn
		for _, a := range acts {
			if t, ok := a.(claim.SendTxn); ok {
				out = append(out, t)
			}
		}
		Expect(out).To(HaveLen(1))
		return out[0]
	}
	// group fills a batcher and returns the transaction of the second interval.
	group := func(b *claim.Batcher, n int) claim.SendTxn {
		first := txn(b.Step(t0, write(1000)))
		b.Step(t0, claim.TxnDone{Txn: first.Txn, Result: claim.ResultOK, Ops: make([]claim.OpDone, 1)})
		for i := range n {
			Expect(b.Step(t0, write(i))).To(BeEmpty())
		}
		at, ok := b.NextTimer()
		Expect(ok).To(BeTrue())
		Expect(at).To(Equal(t0.Add(50 * time.Millisecond)))
		return txn(b.Step(at, claim.BatchTick{}))
	}

	// Guards the store's limits of operations in a transaction and of writes.
	It("sends at most 64 writes in an interval, and the first at once", func() {
		b := claim.NewBatcher(claim.BatcherOptions{})
		Expect(group(b, 100).Writes).To(HaveLen(64))
		Expect(b.Step(t0.Add(99*time.Millisecond), claim.BatchTick{})).To(BeEmpty())
		Expect(txn(b.Step(t0.Add(100*time.Millisecond), claim.BatchTick{})).Writes).To(HaveLen(36))
	})

	// Guards against one taken key that fails the claims of 63 other calls.
	It("splits off conflicting writes and sends the rest again at once", func() {
		b := claim.NewBatcher(claim.BatcherOptions{})
		t := group(b, 4)
		acts := b.Step(t0, claim.TxnDone{Txn: t.Txn, Result: claim.ResultConflict, Ops: []claim.OpDone{{}, {Conflict: true}, {}, {Conflict: true}}})
		Expect(acts).To(ContainElements(claim.CompleteWrite{ID: 1, Result: claim.ResultConflict}, claim.CompleteWrite{ID: 3, Result: claim.ResultConflict}))
		t = txn(acts)
		Expect(t.Writes).To(HaveLen(2))
		Expect(b.Step(t0, claim.TxnDone{Txn: t.Txn, Result: claim.ResultOK, Ops: []claim.OpDone{{Index: 7}, {Index: 8}}})).To(ConsistOf(
			claim.CompleteWrite{ID: 0, Result: claim.ResultOK, Index: 7}, claim.CompleteWrite{ID: 2, Result: claim.ResultOK, Index: 8}))
	})

	// Guards against a lost answer that is taken for success or failure.
	DescribeTable("gives every waiter the result of a failed transaction", func(r, want claim.Result) {
		b := claim.NewBatcher(claim.BatcherOptions{})
		t := group(b, 3)
		Expect(b.Step(t0, claim.TxnDone{Txn: t.Txn, Result: r})).To(ConsistOf(
			claim.CompleteWrite{ID: 0, Result: want}, claim.CompleteWrite{ID: 1, Result: want}, claim.CompleteWrite{ID: 2, Result: want}))
		Expect(b.Step(t0, claim.TxnDone{Txn: t.Txn, Result: claim.ResultOK})).To(BeEmpty(), "one result for each")
	},
		Entry("lost answer: all read back", claim.ResultUnknown, claim.ResultUnknown),
		Entry("store out of reach", claim.ResultUnavailable, claim.ResultUnavailable),
		Entry("success without indexes", claim.ResultOK, claim.ResultUnknown),
		Entry("conflict that names nobody", claim.ResultConflict, claim.ResultConflict),
	)

	It("does not repeat a conflict that names nobody", func() {
		b := claim.NewBatcher(claim.BatcherOptions{})
		t := group(b, 2)
		Expect(b.Step(t0, claim.TxnDone{Txn: t.Txn, Result: claim.ResultConflict, Ops: make([]claim.OpDone, 2)})).To(ConsistOf(
			claim.CompleteWrite{ID: 0, Result: claim.ResultConflict}, claim.CompleteWrite{ID: 1, Result: claim.ResultConflict}))
	})

	It("keeps two writes of one key in different transactions", func() {
		b := claim.NewBatcher(claim.BatcherOptions{})
		b.Step(t0, write(1000))
		for _, id := range []int{1, 2} {
			b.Step(t0, claim.AddWrite{Write: claim.Write{ID: uint64(id), Key: "same"}})
		}
		Expect(txn(b.Step(t0.Add(time.Second), claim.BatchTick{})).Writes).To(HaveLen(1))
		Expect(txn(b.Step(t0.Add(2*time.Second), claim.BatchTick{})).Writes).To(HaveLen(1))
	})

	It("bounds the queue, the transactions under way and the bytes", func() {
		b := claim.NewBatcher(claim.BatcherOptions{MaxQueued: 3, MaxTxns: 1, MaxBytes: 10})
		b.Step(t0, write(1000))
		for i := range 3 {
			b.Step(t0, claim.AddWrite{Write: claim.Write{ID: uint64(i), Key: fmt.Sprint(i), Value: make([]byte, 6)}})
		}
		Expect(b.Step(t0, write(4))).To(ConsistOf(claim.CompleteWrite{ID: 4, Result: claim.ResultUnavailable}))
		Expect(b.Step(t0.Add(time.Second), claim.BatchTick{})).To(BeEmpty(), "one transaction at a time")
		t := txn(b.Step(t0.Add(time.Second), claim.TxnDone{Txn: 1, Result: claim.ResultUnknown}))
		Expect(t.Writes).To(HaveLen(1))
	})

	// Guards not_run for a call that stops waiting: its write must not be sent.
	It("withdraws a write that was not sent", func() {
		b := claim.NewBatcher(claim.BatcherOptions{})
		b.Step(t0, write(1000))
		b.Step(t0, write(1))
		Expect(b.Step(t0, claim.CancelWrite{ID: 1})).To(ConsistOf(claim.CompleteWrite{ID: 1, Result: claim.ResultUnavailable}))
		Expect(b.Step(t0.Add(time.Second), claim.BatchTick{})).To(BeEmpty())
		Expect(b.Step(t0, claim.CancelWrite{ID: 1000})).To(BeEmpty(), "a sent write keeps its result")
	})

	// Guards the figures of the capacity page: the cost of a request falls with
	// the size of the groups.
	DescribeTable("costs 2/group store writes for a request", func(size int) {
		b := claim.NewBatcher(claim.BatcherOptions{})
		requests := 20 * size
		calls, claimed, done := 0, 0, 0
		now := t0
		id := 0
		carry := func(acts []claim.BatchAction) {
			for len(acts) > 0 {
				a := acts[0]
				acts = acts[1:]
				if t, ok := a.(claim.SendTxn); ok {
					calls++
					acts = append(acts, b.Step(now, claim.TxnDone{Txn: t.Txn, Result: claim.ResultOK, Ops: make([]claim.OpDone, len(t.Writes))})...)
				}
			}
		}
		// In each interval size claims or size outcomes arrive.
		for claimed < requests || done < requests {
			now = now.Add(25 * time.Millisecond)
			n := 0
			for ; n < size && claimed < requests && claimed-done < size; n++ {
				id++
				claimed++
				carry(b.Step(now, write(id)))
			}
			for ; n < size && done < claimed; n++ {
				id++
				done++
				carry(b.Step(now, write(id)))
			}
			if at, ok := b.NextTimer(); ok && at.After(now) {
				now = at
			}
			carry(b.Step(now, claim.BatchTick{}))
		}
		perRequest := float64(calls) / float64(requests)
		AddReportEntry("calls per request", perRequest)
		// The first write after the start is sent alone.
		Expect(perRequest).To(BeNumerically("~", claim.StoreWritesPerRequest(size), 3/float64(requests)))
	}, Entry("1", 1), Entry("8", 8), Entry("64", 64))

	// Guards against a write without a result or with two, and against a result
	// that differs from what the store did.
	It("gives every write exactly one true result under random faults", func() {
		for i := range uint64(300) {
			seed := baseSeed()<<20 + i
			rnd := rand.New(rand.NewPCG(seed, 3))
			b := claim.NewBatcher(claim.BatcherOptions{MaxOps: 8, MaxQueued: 30})
			index := map[string]uint64{}
			owner := map[string]uint64{}
			got := map[uint64]claim.CompleteWrite{}
			writes := map[uint64]claim.Write{}
			var open []claim.SendTxn
			now, last := t0, uint64(0)
			handle := func(acts []claim.BatchAction) {
				for _, a := range acts {
					switch a := a.(type) {
					case claim.SendTxn:
						Expect(len(a.Writes)).To(And(BeNumerically(">", 0), BeNumerically("<=", 8)))
						open = append(open, a)
					case claim.CompleteWrite:
						Expect(got).NotTo(HaveKey(a.ID), "seed %d: second result", seed)
						got[a.ID] = a
					}
				}
			}
			finish := func(faults bool) {
				t := open[0]
				open = open[1:]
				ev := claim.TxnDone{Txn: t.Txn, Result: claim.ResultOK, Ops: make([]claim.OpDone, len(t.Writes))}
				if faults && rnd.IntN(10) == 0 {
					handle(b.Step(now, claim.TxnDone{Txn: t.Txn, Result: claim.ResultUnavailable}))
					return
				}
				for j, w := range t.Writes {
					if index[w.Key] != w.Index {
						ev.Result, ev.Ops[j].Conflict = claim.ResultConflict, true
					}
				}
				if ev.Result == claim.ResultOK {
					for j, w := range t.Writes {
						last++
						index[w.Key], owner[w.Key], ev.Ops[j].Index = last, w.ID, last
					}
				}
				if faults && rnd.IntN(6) == 0 {
					ev = claim.TxnDone{Txn: t.Txn, Result: claim.ResultUnknown}
				}
				handle(b.Step(now, ev))
			}
			for id := uint64(1); id <= 120; id++ {
				w := claim.Write{ID: id, Key: fmt.Sprint(rnd.IntN(40))}
				if rnd.IntN(4) == 0 {
					w.Index = index[w.Key]
				}
				writes[id] = w
				handle(b.Step(now, claim.AddWrite{Write: w}))
				now = now.Add(time.Duration(rnd.IntN(12)) * time.Millisecond)
				handle(b.Step(now, claim.BatchTick{}))
				if len(open) > 0 && rnd.IntN(3) > 0 {
					finish(true)
				}
				if rnd.IntN(20) == 0 {
					handle(b.Step(now, claim.CancelWrite{ID: 1 + rnd.Uint64N(id)}))
				}
			}
			for range 200 {
				now = now.Add(50 * time.Millisecond)
				handle(b.Step(now, claim.BatchTick{}))
				for len(open) > 0 {
					finish(false)
				}
			}
			Expect(got).To(HaveLen(120), "seed %d", seed)
			for key, id := range owner {
				Expect(got[id].Result).To(BeElementOf(claim.ResultOK, claim.ResultUnknown), "seed %d: key %s took effect", seed, key)
			}
			for id, s := range got {
				if s.Result == claim.ResultOK {
					Expect(s.Index).To(BeNumerically(">", writes[id].Index), "seed %d", seed)
				}
			}
		}
	})
})
