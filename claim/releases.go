package claim

import "time"

// Pending is a claim that never ran and is to be released.
type PendingRelease struct {
	Key, Nonce, BodyHash, Daemon string
	// Index is the index of the claimed record, or 0 if it is not known
	// whether the claim's write took effect.
	Index uint64
	// Base is the index that the unresolved write expected.
	ExpectedIndex uint64
}

// ReleaseOptions bound the list of pending releases.
type ReleaseOptions struct {
	// MaxPending bounds the list; the default is 1024. Above it the new entry
	// is dropped and counted: its claim may stay claimed, so that repeats get
	// may_have_run although nothing ran.
	MaxPending int
	// PauseFirst and PauseMax bound the pauses after a failure, which double.
	// The defaults are 200 ms and 10 s.
	PauseFirst, PauseMax time.Duration
}

// Releases is the list of claims that are to be released. It works on one
// entry at a time, so that an outage of the store is not followed by a burst.
type ReleaseQueue struct {
	opts    ReleaseOptions
	queue   []PendingRelease
	dropped int

	op, lastOp int
	writing    bool
	pause      time.Duration
	retryAt    time.Time
}

// NewReleases returns an empty list.
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
func (l *ReleaseQueue) Len() int { return len(l.queue) }

// Dropped returns the number of entries that the list had no room for.
func (l *ReleaseQueue) Dropped() int { return l.dropped }

// Add puts a claim on the list. The next Tick works on it. It returns false if
// the list has no room.
func (l *ReleaseQueue) Add(now time.Time, p PendingRelease) bool {
	if len(l.queue) >= l.opts.MaxPending {
		l.dropped++
		return false
	}
	l.queue = append(l.queue, p)
	if len(l.queue) == 1 {
		l.retryAt = now
	}
	return true
}

// NextTimer returns when the list needs a Tick.
func (l *ReleaseQueue) NextTimer() (time.Time, bool) {
	return l.retryAt, len(l.queue) > 0 && l.op == 0
}

// Step handles Read, Written and Tick. Its actions are ReadRecord and
// WriteRecord; at most one is under way.
func (l *ReleaseQueue) Step(now time.Time, ev Event) []Action {
	if len(l.queue) == 0 {
		return nil
	}
	switch ev := ev.(type) {
	case Tick:
		if l.op != 0 || now.Before(l.retryAt) {
			return nil
		}
		return l.next()
	case Written:
		if l.op == 0 || ev.Op != l.op || !l.writing {
			return nil
		}
		l.op = 0
		return l.written(now, ev)
	case Read:
		if l.op == 0 || ev.Op != l.op || l.writing {
			return nil
		}
		l.op = 0
		return l.read(now, ev)
	}
	return nil
}

func (l *ReleaseQueue) written(now time.Time, ev Written) []Action {
	switch ev.Result {
	case ResultOK:
		return l.done(now)
	case ResultConflict:
		// A known claim changes only by an earlier write of this release. An
		// unresolved one is read again.
		if l.queue[0].Index != 0 {
			return l.done(now)
		}
		return l.startRead()
	}
	l.backOff(now)
	return nil
}

func (l *ReleaseQueue) read(now time.Time, ev Read) []Action {
	p := &l.queue[0]
	switch ev.Result {
	case ResultOK:
	case ResultNotFound:
		if p.ExpectedIndex != 0 {
			// The write expected a record that no longer exists.
			return l.done(now)
		}
		return l.write(0)
	case ResultUnreadable:
		return l.done(now)
	default:
		l.backOff(now)
		return nil
	}
	switch {
	case ev.Record.State == StateClaimed && ev.Record.Nonce == p.Nonce:
		p.Index = ev.Index
		return l.write(ev.Index)
	case ev.Record.State == StateReleased && ev.Index == p.ExpectedIndex:
		// The unresolved write may still arrive; a new index makes it fail.
		return l.write(ev.Index)
	}
	return l.done(now)
}

func (l *ReleaseQueue) done(now time.Time) []Action {
	l.queue = append(l.queue[:0], l.queue[1:]...)
	l.pause = 0
	l.retryAt = now
	if len(l.queue) == 0 {
		return nil
	}
	return l.next()
}

func (l *ReleaseQueue) backOff(now time.Time) {
	l.pause = min(max(2*l.pause, l.opts.PauseFirst), l.opts.PauseMax)
	l.retryAt = now.Add(l.pause)
}

func (l *ReleaseQueue) next() []Action {
	if i := l.queue[0].Index; i != 0 {
		return l.write(i)
	}
	return l.startRead()
}

func (l *ReleaseQueue) startRead() []Action {
	l.lastOp++
	l.op, l.writing = l.lastOp, false
	return []Action{ReadRecord{Op: l.op, Key: l.queue[0].Key}}
}

func (l *ReleaseQueue) write(index uint64) []Action {
	p := l.queue[0]
	l.lastOp++
	l.op, l.writing = l.lastOp, true
	return []Action{WriteRecord{Op: l.op, Key: p.Key, Index: index, Record: Record{
		State: StateReleased, BodyHash: p.BodyHash, Nonce: p.Nonce, Daemon: p.Daemon,
	}}}
}
