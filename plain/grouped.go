package plain

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gooseberryroad/gooseberryroad/claim"
	"github.com/gooseberryroad/gooseberryroad/store"
)

// Grouped is a store whose compare-and-swaps are grouped into transactions.
// Reads and transactions pass through.
type BatchingStore struct {
	store.Store
	clock   Clock
	timeout time.Duration

	mu      sync.Mutex
	batcher *claim.Batcher
	lastID  uint64
	waiters map[uint64]chan claim.CompleteWrite
	timerAt time.Time
}

// NewGrouped returns a store that groups writes to s. The timeout bounds one
// transaction; after it the transaction's writes are unknown.
func NewBatchingStore(s store.Store, clock Clock, timeout time.Duration, o claim.BatcherOptions) *BatchingStore {
	if clock == nil {
		clock = systemClock{}
	}
	return &BatchingStore{Store: s, clock: clock, timeout: timeout, batcher: claim.NewBatcher(o), waiters: map[uint64]chan claim.CompleteWrite{}}
}

// CompareAndSwap writes in the next group. When ctx is done before the write
// was sent, it returns ErrUnavailable.
func (g *BatchingStore) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (uint64, error) {
	ch := make(chan claim.CompleteWrite, 1)
	g.mu.Lock()
	g.lastID++
	id := g.lastID
	g.waiters[id] = ch
	g.step(claim.AddWrite{Write: claim.Write{ID: id, Key: key, Value: value, Index: index}})
	g.mu.Unlock()
	select {
	case s := <-ch:
		return s.Index, settleError(s.Result)
	case <-ctx.Done():
	}
	g.mu.Lock()
	g.step(claim.CancelWrite{ID: id})
	delete(g.waiters, id)
	g.mu.Unlock()
	select {
	case s := <-ch:
		return s.Index, settleError(s.Result)
	default:
		return 0, store.ErrUnknown
	}
}

func settleError(r claim.Result) error {
	switch r {
	case claim.ResultOK:
		return nil
	case claim.ResultConflict:
		return store.ErrConflict
	case claim.ResultUnavailable:
		return store.ErrUnavailable
	}
	return store.ErrUnknown
}

// step runs the batcher with mu held.
func (g *BatchingStore) step(ev claim.BatchEvent) {
	now := g.clock.Now()
	for _, a := range g.batcher.Step(now, ev) {
		switch a := a.(type) {
		case claim.CompleteWrite:
			if ch := g.waiters[a.ID]; ch != nil {
				delete(g.waiters, a.ID)
				ch <- a
			}
		case claim.SendTxn:
			go g.send(a)
		}
	}
	if at, ok := g.batcher.NextTimer(); ok && !at.Equal(g.timerAt) {
		g.timerAt = at
		g.clock.AfterFunc(max(at.Sub(now), 0), func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.timerAt = time.Time{}
			g.step(claim.BatchTick{})
		})
	}
}

// send carries out a transaction. It does not depend on the context of one of
// its callers.
func (g *BatchingStore) send(t claim.SendTxn) {
	ctx, cancel := context.WithTimeout(context.Background(), g.timeout)
	defer cancel()
	ops := make([]store.Op, len(t.Writes))
	for i, w := range t.Writes {
		ops[i] = store.Op{Key: w.Key, Value: w.Value, Index: w.Index}
	}
	res, err := g.Txn(ctx, ops)
	ev := claim.TxnDone{Txn: t.Txn, Result: writeResult(err), Ops: make([]claim.OpDone, 0, len(res))}
	for _, r := range res {
		ev.Ops = append(ev.Ops, claim.OpDone{Index: r.Index, Conflict: r.Conflict})
	}
	if errors.Is(err, store.ErrConflict) && len(res) != len(ops) {
		ev.Ops = nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.step(ev)
}
