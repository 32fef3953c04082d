package claim

import "time"

// PendingRelease is a claim that never ran and is to be released.
type PendingRelease struct {
	Key, Nonce, BodyHash, Daemon string
	// Index is the index of the claimed record, or 0 if it is not known
	// whether the claim's write took effect.
	Index uint64
	// ExpectedIndex is the index that the unresolved write expected.
	ExpectedIndex uint64
}

// ReleaseOptions configure a ReleaseQueue. Values of 0 or less take the defaults.
type ReleaseOptions struct {
	// MaxPending bounds the queue; the default is 1024. A new entry above it is
	// dropped and counted: its record may stay claimed, so that repeated calls
	// get may_have_run although nothing ran.
	MaxPending int
	// PauseFirst is the first pause after a failure and PauseMax the longest;
	// the pauses double. The defaults are 200 ms and 10 s.
	PauseFirst, PauseMax time.Duration
}

// ReleaseQueue is the queue of claims that are to be released. It processes one
// entry at a time, so that an outage of the store is not followed by a burst of
// writes.
type ReleaseQueue struct {
	opts    ReleaseOptions
	queue   []PendingRelease
	dropped int

	pendingOp, lastOp int
	writing           bool
	pause             time.Duration
	retryAt           time.Time
}

// NewReleaseQueue returns an empty queue.
func NewReleaseQueue(o ReleaseOptions) *ReleaseQueue {
	if o.MaxPending <= 0 {
		o.MaxPending = 1024
	}
	if o.PauseFirst <= 0 {
		o.PauseFirst = 200 * time.Millisecond
	}
	if o.PauseMax <= 0 {
		o.PauseMax = 10 * time.Second
	}
	return &ReleaseQueue{opts: o}
}

// Len returns the number of pending releases.
func (q *ReleaseQueue) Len() int { return len(q.queue) }

// Dropped returns the number of entries that were dropped because the queue was
// full.
func (q *ReleaseQueue) Dropped() int { return q.dropped }

// Add appends a claim to the queue. If it is the only entry, the next Tick
// starts its release. Add returns false if the queue is full.
func (q *ReleaseQueue) Add(now time.Time, p PendingRelease) bool {
	if len(q.queue) >= q.opts.MaxPending {
		q.dropped++
		return false
	}
	q.queue = append(q.queue, p)
	if len(q.queue) == 1 {
		q.retryAt = now
	}
	return true
}

// NextTimer returns when the queue needs a Tick, and false if it needs none.
func (q *ReleaseQueue) NextTimer() (time.Time, bool) {
	return q.retryAt, len(q.queue) > 0 && q.pendingOp == 0
}

// Step handles the events Read, Written and Tick. Its actions are ReadRecord and
// WriteRecord; at most one is in flight.
func (q *ReleaseQueue) Step(now time.Time, ev Event) []Action {
	if len(q.queue) == 0 {
		return nil
	}
	switch ev := ev.(type) {
	case Tick:
		if q.pendingOp != 0 || now.Before(q.retryAt) {
			return nil
		}
		return q.startCurrent()
	case Written:
		if q.pendingOp == 0 || ev.Op != q.pendingOp || !q.writing {
			return nil
		}
		q.pendingOp = 0
		return q.onWritten(now, ev)
	case Read:
		if q.pendingOp == 0 || ev.Op != q.pendingOp || q.writing {
			return nil
		}
		q.pendingOp = 0
		return q.onRead(now, ev)
	}
	return nil
}

func (q *ReleaseQueue) onWritten(now time.Time, ev Written) []Action {
	switch ev.Result {
	case ResultOK:
		return q.finishCurrent(now)
	case ResultConflict:
		// A record known to be claimed by this call is changed only by an
		// earlier write of this release. Otherwise the record is read again.
		if q.queue[0].Index != 0 {
			return q.finishCurrent(now)
		}
		return q.startRead()
	}
	q.backOff(now)
	return nil
}

func (q *ReleaseQueue) onRead(now time.Time, ev Read) []Action {
	p := &q.queue[0]
	switch ev.Result {
	case ResultOK:
	case ResultNotFound:
		if p.ExpectedIndex != 0 {
			// The unresolved write expected a record that no longer exists.
			return q.finishCurrent(now)
		}
		return q.writeReleased(0)
	case ResultUnreadable:
		return q.finishCurrent(now)
	default:
		q.backOff(now)
		return nil
	}
	switch {
	case ev.Record.State == StateClaimed && ev.Record.Nonce == p.Nonce:
		p.Index = ev.Index
		return q.writeReleased(ev.Index)
	case ev.Record.State == StateReleased && ev.Index == p.ExpectedIndex:
		// The unresolved write may still reach the store; a new index makes it
		// fail.
		return q.writeReleased(ev.Index)
	}
	return q.finishCurrent(now)
}

func (q *ReleaseQueue) finishCurrent(now time.Time) []Action {
	q.queue = append(q.queue[:0], q.queue[1:]...)
	q.pause = 0
	q.retryAt = now
	if len(q.queue) == 0 {
		return nil
	}
	return q.startCurrent()
}

func (q *ReleaseQueue) backOff(now time.Time) {
	q.pause = min(max(2*q.pause, q.opts.PauseFirst), q.opts.PauseMax)
	q.retryAt = now.Add(q.pause)
}

func (q *ReleaseQueue) startCurrent() []Action {
	if i := q.queue[0].Index; i != 0 {
		return q.writeReleased(i)
	}
	return q.startRead()
}

func (q *ReleaseQueue) startRead() []Action {
	q.lastOp++
	q.pendingOp, q.writing = q.lastOp, false
	return []Action{ReadRecord{Op: q.pendingOp, Key: q.queue[0].Key}}
}

func (q *ReleaseQueue) writeReleased(index uint64) []Action {
	p := q.queue[0]
	q.lastOp++
	q.pendingOp, q.writing = q.lastOp, true
	return []Action{WriteRecord{Op: q.pendingOp, Key: p.Key, Index: index, Record: Record{
		State: StateReleased, BodyHash: p.BodyHash, Nonce: p.Nonce, Daemon: p.Daemon,
	}}}
}
