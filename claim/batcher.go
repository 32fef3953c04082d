package claim

import "time"

// Write is one compare-and-swap that is grouped with others.
type Write struct {
	ID    uint64
	Key   string
	Value []byte
	Index uint64
}

// BatcherOptions bound groups. Zero values take the defaults.
type BatcherOptions struct {
	// Interval is the least time between two groups; 50 ms, which makes 20
	// transactions a second.
	Interval time.Duration
	// MaxOps and MaxBytes bound one group; 64 and 512 KiB. A larger single
	// value has a group of its own.
	MaxOps, MaxBytes int
	// MaxQueued bounds the writes that wait; 1280, a second's worth. Above it a
	// write ends as unavailable, so that its call is refused with not_run.
	MaxQueued int
	// MaxTxns bounds the transactions under way; 4.
	MaxTxns int
}

func (o BatcherOptions) withDefaults() BatcherOptions {
	if o.Interval <= 0 {
		o.Interval = 50 * time.Millisecond
	}
	if o.MaxOps <= 0 || o.MaxOps > 64 {
		o.MaxOps = 64
	}
	if o.MaxBytes <= 0 {
		o.MaxBytes = 512 << 10
	}
	if o.MaxQueued <= 0 {
		o.MaxQueued = 1280
	}
	if o.MaxTxns <= 0 {
		o.MaxTxns = 4
	}
	return o
}

// StoreWritesPerRequest returns the store calls that a first call without
// faults costs when its claim and its outcome are each written in a group of
// the given size. It is 2 without groups and 1/32 in full ones.
func StoreWritesPerRequest(group int) float64 { return 2 / float64(max(group, 1)) }

// BatchEvent is an input of Batcher.Step.
type BatchEvent interface{ batchEvent() }

// Add asks for a write.
type AddWrite struct{ Write Write }

// Cancel withdraws a write that has not been sent. A write that was sent stays.
type CancelWrite struct{ ID uint64 }

// TxnDone is the result of SendTxn. Result is ResultOK, ResultConflict,
// ResultUnavailable or ResultUnknown.
type TxnDone struct {
	Txn    int
	Result Result
	// Ops has the outcome of each write if Result is ResultOK or
	// ResultConflict.
	Ops []OpDone
}

// OpDone is the outcome of one write of a transaction.
type OpDone struct {
	Index    uint64
	Conflict bool
}

// BatchTick reports that the time of NextTimer has come.
type BatchTick struct{}

func (AddWrite) batchEvent()    {}
func (CancelWrite) batchEvent() {}
func (TxnDone) batchEvent()     {}
func (BatchTick) batchEvent()   {}

// BatchAction is an output of Batcher.Step.
type BatchAction interface{ batchAction() }

// SendTxn asks for a transaction of all writes or none; the result is TxnDone.
type SendTxn struct {
	Txn    int
	Writes []Write
}

// Settle gives a write its own result. Each write gets exactly one.
type CompleteWrite struct {
	ID     uint64
	Result Result
	Index  uint64
}

func (SendTxn) batchAction()       {}
func (CompleteWrite) batchAction() {}

// Batcher groups the writes of several calls into transactions.
type Batcher struct {
	opts   BatcherOptions
	queue  []Write
	txns   map[int][]Write
	last   int
	nextAt time.Time
}

// NewBatcher returns an empty batcher.
func NewBatcher(o BatcherOptions) *Batcher {
	return &Batcher{opts: o.withDefaults(), txns: map[int][]Write{}}
}

// NextTimer returns when the batcher needs a BatchTick.
func (b *Batcher) NextTimer() (time.Time, bool) {
	return b.nextAt, len(b.queue) > 0 && len(b.txns) < b.opts.MaxTxns
}

// Step handles one event.
func (b *Batcher) Step(now time.Time, ev BatchEvent) []BatchAction {
	var acts []BatchAction
	switch ev := ev.(type) {
	case AddWrite:
		if len(b.queue) >= b.opts.MaxQueued {
			return []BatchAction{CompleteWrite{ID: ev.Write.ID, Result: ResultUnavailable}}
		}
		b.queue = append(b.queue, ev.Write)
	case CancelWrite:
		for i, w := range b.queue {
			if w.ID == ev.ID {
				b.queue = append(b.queue[:i:i], b.queue[i+1:]...)
				return []BatchAction{CompleteWrite{ID: ev.ID, Result: ResultUnavailable}}
			}
		}
	case TxnDone:
		acts = b.done(ev)
	}
	return append(acts, b.send(now)...)
}

// send starts a group if the interval since the last one is over. The first
// write after a pause is sent at once.
func (b *Batcher) send(now time.Time) []BatchAction {
	if len(b.queue) == 0 || len(b.txns) >= b.opts.MaxTxns || now.Before(b.nextAt) {
		return nil
	}
	var group, rest []Write
	keys := map[string]bool{}
	size := 0
	for _, w := range b.queue {
		full := len(group) == b.opts.MaxOps || len(group) > 0 && size+len(w.Value) > b.opts.MaxBytes
		// Two writes of one key exclude each other, and one of them would make
		// the whole transaction fail.
		if full || keys[w.Key] {
			rest = append(rest, w)
			continue
		}
		keys[w.Key] = true
		size += len(w.Value)
		group = append(group, w)
	}
	b.queue = rest
	b.nextAt = now.Add(b.opts.Interval)
	return b.start(group)
}

func (b *Batcher) start(group []Write) []BatchAction {
	b.last++
	b.txns[b.last] = group
	return []BatchAction{SendTxn{Txn: b.last, Writes: group}}
}

func (b *Batcher) done(ev TxnDone) []BatchAction {
	group, ok := b.txns[ev.Txn]
	if !ok {
		return nil
	}
	delete(b.txns, ev.Txn)
	var acts []BatchAction
	var again []Write
	for i, w := range group {
		switch {
		case ev.Result == ResultOK && i < len(ev.Ops):
			acts = append(acts, CompleteWrite{ID: w.ID, Result: ResultOK, Index: ev.Ops[i].Index})
		case ev.Result == ResultOK:
			// The write took effect at an index that is not known.
			acts = append(acts, CompleteWrite{ID: w.ID, Result: ResultUnknown})
		case ev.Result == ResultConflict && (i >= len(ev.Ops) || ev.Ops[i].Conflict):
			acts = append(acts, CompleteWrite{ID: w.ID, Result: ResultConflict})
		case ev.Result == ResultConflict:
			again = append(again, w)
		default:
			acts = append(acts, CompleteWrite{ID: w.ID, Result: ev.Result})
		}
	}
	switch {
	case len(again) == len(group):
		// A conflict that names nobody would be repeated for ever.
		for _, w := range again {
			acts = append(acts, CompleteWrite{ID: w.ID, Result: ResultConflict})
		}
	case len(again) > 0:
		acts = append(acts, b.start(again)...)
	}
	return acts
}
