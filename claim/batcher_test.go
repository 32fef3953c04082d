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
	// txn returns the only SendTxn among the actions.
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
	// secondTxn sends one write, queues n more and returns the transaction of
	// the second interval.
	secondTxn := func(b *claim.Batcher, n int) claim.SendTxn {
		firstTxn := txn(b.Step(t0, write(1000)))
		b.Step(t0, claim.TxnDone{Txn: firstTxn.Txn, Result: claim.ResultOK, Ops: make([]claim.OpDone, 1)})
		for i := range n {
			Expect(b.Step(t0, write(i))).To(BeEmpty())
		}
		at, ok := b.NextTimer()
		Expect(ok).To(BeTrue())
		Expect(at).To(Equal(t0.Add(50 * time.Millisecond)))
		return txn(b.Step(at, claim.BatchTick{}))
	}

	// Guards the store's limits on the operations of a transaction and on the
	// rate of writes.
	It("sends at most 64 writes in an interval, and the first at once", func() {
		b := claim.NewBatcher(claim.BatcherOptions{})
		Expect(secondTxn(b, 100).Writes).To(HaveLen(64))
		Expect(b.Step(t0.Add(99*time.Millisecond), claim.BatchTick{})).To(BeEmpty())
		Expect(txn(b.Step(t0.Add(100*time.Millisecond), claim.BatchTick{})).Writes).To(HaveLen(36))
	})

	// Guards against one conflicting key failing the claims of the 63 other calls
	// in its transaction.
	It("splits off conflicting writes and sends the rest again at once", func() {
		b := claim.NewBatcher(claim.BatcherOptions{})
		t := secondTxn(b, 4)
		acts := b.Step(t0, claim.TxnDone{Txn: t.Txn, Result: claim.ResultConflict, Ops: []claim.OpDone{{}, {Conflict: true}, {}, {Conflict: true}}})
		Expect(acts).To(ContainElements(claim.CompleteWrite{ID: 1, Result: claim.ResultConflict}, claim.CompleteWrite{ID: 3, Result: claim.ResultConflict}))
		t = txn(acts)
		Expect(t.Writes).To(HaveLen(2))
		Expect(b.Step(t0, claim.TxnDone{Txn: t.Txn, Result: claim.ResultOK, Ops: []claim.OpDone{{Index: 7}, {Index: 8}}})).To(ConsistOf(
			claim.CompleteWrite{ID: 0, Result: claim.ResultOK, Index: 7}, claim.CompleteWrite{ID: 2, Result: claim.ResultOK, Index: 8}))
	})

	// Guards against taking a lost answer for success or failure.
	DescribeTable("completes every write once when the transaction has no results for single writes", func(r, want claim.Result) {
		b := claim.NewBatcher(claim.BatcherOptions{})
		t := secondTxn(b, 3)
		Expect(b.Step(t0, claim.TxnDone{Txn: t.Txn, Result: r})).To(ConsistOf(
			claim.CompleteWrite{ID: 0, Result: want}, claim.CompleteWrite{ID: 1, Result: want}, claim.CompleteWrite{ID: 2, Result: want}))
		Expect(b.Step(t0, claim.TxnDone{Txn: t.Txn, Result: claim.ResultOK})).To(BeEmpty(), "each write has one result")
	},
		Entry("lost answer: the result of all writes is unknown", claim.ResultUnknown, claim.ResultUnknown),
		Entry("store unreachable", claim.ResultUnavailable, claim.ResultUnavailable),
		Entry("success without indexes", claim.ResultOK, claim.ResultUnknown),
		Entry("conflict that names no write", claim.ResultConflict, claim.ResultConflict),
	)

	It("does not repeat a transaction whose conflict names no write", func() {
		b := claim.NewBatcher(claim.BatcherOptions{})
		t := secondTxn(b, 2)
		Expect(b.Step(t0, claim.TxnDone{Txn: t.Txn, Result: claim.ResultConflict, Ops: make([]claim.OpDone, 2)})).To(ConsistOf(
			claim.CompleteWrite{ID: 0, Result: claim.ResultConflict}, claim.CompleteWrite{ID: 1, Result: claim.ResultConflict}))
	})

	It("sends two writes of one key in different transactions", func() {
		b := claim.NewBatcher(claim.BatcherOptions{})
		b.Step(t0, write(1000))
		for _, id := range []int{1, 2} {
			b.Step(t0, claim.AddWrite{Write: claim.Write{ID: uint64(id), Key: "same"}})
		}
		Expect(txn(b.Step(t0.Add(time.Second), claim.BatchTick{})).Writes).To(HaveLen(1))
		Expect(txn(b.Step(t0.Add(2*time.Second), claim.BatchTick{})).Writes).To(HaveLen(1))
	})

	It("bounds the queue, the transactions in flight and the bytes of a batch", func() {
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
		Expect(b.Step(t0, claim.CancelWrite{ID: 1000})).To(BeEmpty(), "a sent write is not withdrawn")
	})

	// Guards the figures of the capacity page: the store calls per request fall
	// in proportion to the batch size.
	DescribeTable("takes 2/size store calls per request in batches of the given size", func(size int) {
		b := claim.NewBatcher(claim.BatcherOptions{})
		requests := 20 * size
		calls, claimed, done := 0, 0, 0
		now := t0
		id := 0
		completeTxns := func(acts []claim.BatchAction) {
			for len(acts) > 0 {
				a := acts[0]
				acts = acts[1:]
				if t, ok := a.(claim.SendTxn); ok {
					calls++
					acts = append(acts, b.Step(now, claim.TxnDone{Txn: t.Txn, Result: claim.ResultOK, Ops: make([]claim.OpDone, len(t.Writes))})...)
				}
			}
		}
		// In each interval, as many claims or outcomes as the batch size arrive.
		for claimed < requests || done < requests {
			now = now.Add(25 * time.Millisecond)
			n := 0
			for ; n < size && claimed < requests && claimed-done < size; n++ {
				id++
				claimed++
				completeTxns(b.Step(now, write(id)))
			}
			for ; n < size && done < claimed; n++ {
				id++
				done++
				completeTxns(b.Step(now, write(id)))
			}
			if at, ok := b.NextTimer(); ok && at.After(now) {
				now = at
			}
			completeTxns(b.Step(now, claim.BatchTick{}))
		}
		perRequest := float64(calls) / float64(requests)
		AddReportEntry("calls per request", perRequest)
		// The first write is sent alone.
		Expect(perRequest).To(BeNumerically("~", claim.StoreWritesPerRequest(size), 3/float64(requests)))
	}, Entry("1", 1), Entry("8", 8), Entry("64", 64))

	// Guards against a write without a result or with two, and against a result
	// that contradicts what the store did.
	It("gives every write exactly one correct result under random faults", func() {
		for i := range uint64(300) {
			seed := baseSeed()<<20 + i
			rnd := rand.New(rand.NewPCG(seed, 3))
			b := claim.NewBatcher(claim.BatcherOptions{MaxOps: 8, MaxQueued: 30})
			index := map[string]uint64{}
			lastWriter := map[string]uint64{}
			results := map[uint64]claim.CompleteWrite{}
			writes := map[uint64]claim.Write{}
			var openTxns []claim.SendTxn
			now, lastIndex := t0, uint64(0)
			collect := func(acts []claim.BatchAction) {
				for _, a := range acts {
					switch a := a.(type) {
					case claim.SendTxn:
						Expect(len(a.Writes)).To(And(BeNumerically(">", 0), BeNumerically("<=", 8)))
						openTxns = append(openTxns, a)
					case claim.CompleteWrite:
						Expect(results).NotTo(HaveKey(a.ID), "seed %d: second result", seed)
						results[a.ID] = a
					}
				}
			}
			finishOldest := func(faults bool) {
				t := openTxns[0]
				openTxns = openTxns[1:]
				ev := claim.TxnDone{Txn: t.Txn, Result: claim.ResultOK, Ops: make([]claim.OpDone, len(t.Writes))}
				if faults && rnd.IntN(10) == 0 {
					collect(b.Step(now, claim.TxnDone{Txn: t.Txn, Result: claim.ResultUnavailable}))
					return
				}
				for j, w := range t.Writes {
					if index[w.Key] != w.Index {
						ev.Result, ev.Ops[j].Conflict = claim.ResultConflict, true
					}
				}
				if ev.Result == claim.ResultOK {
					for j, w := range t.Writes {
						lastIndex++
						index[w.Key], lastWriter[w.Key], ev.Ops[j].Index = lastIndex, w.ID, lastIndex
					}
				}
				if faults && rnd.IntN(6) == 0 {
					ev = claim.TxnDone{Txn: t.Txn, Result: claim.ResultUnknown}
				}
				collect(b.Step(now, ev))
			}
			for id := uint64(1); id <= 120; id++ {
				w := claim.Write{ID: id, Key: fmt.Sprint(rnd.IntN(40))}
				if rnd.IntN(4) == 0 {
					w.Index = index[w.Key]
				}
				writes[id] = w
				collect(b.Step(now, claim.AddWrite{Write: w}))
				now = now.Add(time.Duration(rnd.IntN(12)) * time.Millisecond)
				collect(b.Step(now, claim.BatchTick{}))
				if len(openTxns) > 0 && rnd.IntN(3) > 0 {
					finishOldest(true)
				}
				if rnd.IntN(20) == 0 {
					collect(b.Step(now, claim.CancelWrite{ID: 1 + rnd.Uint64N(id)}))
				}
			}
			for range 200 {
				now = now.Add(50 * time.Millisecond)
				collect(b.Step(now, claim.BatchTick{}))
				for len(openTxns) > 0 {
					finishOldest(false)
				}
			}
			Expect(results).To(HaveLen(120), "seed %d", seed)
			for key, id := range lastWriter {
				Expect(results[id].Result).To(BeElementOf(claim.ResultOK, claim.ResultUnknown), "seed %d: key %s took effect", seed, key)
			}
			for id, s := range results {
				if s.Result == claim.ResultOK {
					Expect(s.Index).To(BeNumerically(">", writes[id].Index), "seed %d", seed)
				}
			}
		}
	})
})
