package claim

import "time"

// Write is one compare-and-swap that is sent in a transaction with others. ID
// identifies it to its caller, and Index is the index that Key must have.
type Write struct {
	ID    uint64
	Key   string
	Value []byte
	Index uint64
}

// BatcherOptions configure a Batcher. Values of 0 or less take the defaults.
type BatcherOptions struct {
	// Interval is the minimum time between two batches. The default is 50 ms,
	// which makes 20 transactions a second. The rest of a batch that met a
	// conflict is sent again at once.
	Interval time.Duration
	// MaxOps bounds the writes of a batch and MaxBytes the bytes of their
	// values. The defaults are 64, which is also the maximum, and 512 KiB. A
	// single value above MaxBytes is sent in a batch of its own.
	MaxOps, MaxBytes int
	// MaxQueued bounds the writes that wait. The default is 1280, which full
	// batches send in one second. A write above it completes as unavailable, so
	// that its call is refused with not_run.
	MaxQueued int
	// MaxTxns bounds the transactions in flight. The default is 4.
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

// StoreWritesPerRequest returns the number of store calls per request, for a
// first call with its key and without faults, when its claim and its outcome
// are each written in a batch of the given size. It is 2 without batching and
// 1/32 in batches of 64.
func StoreWritesPerRequest(batchSize int) float64 { return 2 / float64(max(batchSize, 1)) }

// BatchEvent is an input of Batcher.Step.
type BatchEvent interface{ batchEvent() }

// AddWrite queues a write.
type AddWrite struct{ Write Write }

// CancelWrite withdraws a write that has not been sent. It has no effect on a
// write that was sent.
type CancelWrite struct{ ID uint64 }

// TxnDone is the result of the SendTxn with the same Txn. Result is ResultOK,
// ResultConflict, ResultUnavailable or ResultUnknown.
type TxnDone struct {
	Txn    int
	Result Result
	// Ops holds the outcome of each write, in the order of SendTxn.Writes, if
	// Result is ResultOK or ResultConflict.
	Ops []OpDone
}

// OpDone is the outcome of one write of a transaction: the new index of its
// key, or that the key had another index than the write expected.
type OpDone struct {
	Index    uint64
	Conflict bool
}

// BatchTick reports that the time returned by Batcher.NextTimer has come.
type BatchTick struct{}

func (AddWrite) batchEvent()    {}
func (CancelWrite) batchEvent() {}
func (TxnDone) batchEvent()     {}
func (BatchTick) batchEvent()   {}

// BatchAction is an output of Batcher.Step.
type BatchAction interface{ batchAction() }

// SendTxn asks for a transaction that applies all writes or none; the result is
// a TxnDone with the same Txn.
type SendTxn struct {
	Txn    int
	Writes []Write
}

// CompleteWrite reports the result of one write. Each write gets exactly one.
type CompleteWrite struct {
	ID     uint64
	Result Result
	Index  uint64
}

func (SendTxn) batchAction()       {}
func (CompleteWrite) batchAction() {}

// Batcher batches the writes of several calls into transactions.
type Batcher struct {
	opts    BatcherOptions
	queue   []Write
	txns    map[int][]Write
	lastTxn int
	nextAt  time.Time
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
		acts = b.onTxnDone(ev)
	}
	return append(acts, b.sendBatch(now)...)
}

// sendBatch sends a batch unless the interval since the last one is still
// running or MaxTxns are in flight. The first write after an idle interval is
// sent at once.
func (b *Batcher) sendBatch(now time.Time) []BatchAction {
	if len(b.queue) == 0 || len(b.txns) >= b.opts.MaxTxns || now.Before(b.nextAt) {
		return nil
	}
	var batch, remaining []Write
	keys := map[string]bool{}
	size := 0
	for _, w := range b.queue {
		full := len(batch) == b.opts.MaxOps || len(batch) > 0 && size+len(w.Value) > b.opts.MaxBytes
		// At most one of two writes of a key can succeed; the other would make
		// the whole transaction fail.
		if full || keys[w.Key] {
			remaining = append(remaining, w)
			continue
		}
		keys[w.Key] = true
		size += len(w.Value)
		batch = append(batch, w)
	}
	b.queue = remaining
	b.nextAt = now.Add(b.opts.Interval)
	return b.startTxn(batch)
}

func (b *Batcher) startTxn(batch []Write) []BatchAction {
	b.lastTxn++
	b.txns[b.lastTxn] = batch
	return []BatchAction{SendTxn{Txn: b.lastTxn, Writes: batch}}
}

func (b *Batcher) onTxnDone(ev TxnDone) []BatchAction {
	batch, ok := b.txns[ev.Txn]
	if !ok {
		return nil
	}
	delete(b.txns, ev.Txn)
	var acts []BatchAction
	var retry []Write
	for i, w := range batch {
		switch {
		case ev.Result == ResultOK && i < len(ev.Ops):
			acts = append(acts, CompleteWrite{ID: w.ID, Result: ResultOK, Index: ev.Ops[i].Index})
		case ev.Result == ResultOK:
			// The write took effect, but its index is not known.
			acts = append(acts, CompleteWrite{ID: w.ID, Result: ResultUnknown})
		case ev.Result == ResultConflict && (i >= len(ev.Ops) || ev.Ops[i].Conflict):
			acts = append(acts, CompleteWrite{ID: w.ID, Result: ResultConflict})
		case ev.Result == ResultConflict:
			retry = append(retry, w)
		default:
			acts = append(acts, CompleteWrite{ID: w.ID, Result: ev.Result})
		}
	}
	switch {
	case len(retry) == len(batch):
		// The conflict names no write: the same transaction would fail for ever.
		for _, w := range retry {
			acts = append(acts, CompleteWrite{ID: w.ID, Result: ResultConflict})
		}
	case len(retry) > 0:
		acts = append(acts, b.startTxn(retry)...)
	}
	return acts
}
