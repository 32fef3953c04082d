package claim

import "time"

// Result is the result of a store operation.
type Result int

const (
	// ResultOK means that the operation took effect.
	ResultOK Result = iota
	// ResultNotFound means that a read found no record.
	ResultNotFound
	// ResultConflict means that a write found another index and had no effect.
	ResultConflict
	// ResultUnavailable means that the operation had no effect.
	ResultUnavailable
	// ResultUnknown means that a write may have taken effect, or may do so
	// later.
	ResultUnknown
	// ResultUnreadable means that a read found a value that is not a record.
	ResultUnreadable
)

func (r Result) String() string {
	return [...]string{"ok", "not found", "conflict", "unavailable", "unknown", "unreadable"}[r]
}

// RunStatus is what a refusal says about whether this call ran.
type RunStatus string

const (
	// NotRun means that this call did not run and never will, and that the
	// daemon knows of no other call with the same key and body.
	NotRun RunStatus = "not_run"
	// MayHaveRun means that this call or another with the same key may have run.
	MayHaveRun RunStatus = "may_have_run"
)

// Codes of refusals.
const (
	CodeKeyRequired         = "idempotency_key_required"
	CodeKeyReused           = "idempotency_key_reused"
	CodeStoreUnreachable    = "store_unreachable"
	CodeClaimUnresolved     = "claim_unresolved"
	CodeClaimRunning        = "claim_running"
	CodeClaimUnreadable     = "claim_unreadable"
	CodeReplyLost           = "reply_lost"
	CodeUpstreamUnreachable = "upstream_unreachable"
	CodeDeadline            = "deadline_exceeded"
)

// Request is a call on a non-idempotent route.
type Request struct {
	Account, Service string
	// Key is the caller's idempotency key.
	Key string
	// BodyHash is a hash over method, path, query, content type and body. A
	// request with another hash under the same key is refused.
	BodyHash string
	// Nonce identifies this call; it holds at least 128 random bits.
	Nonce string
	// Daemon is the name of this daemon.
	Daemon string
	// Deadline is when the caller must have an answer.
	Deadline time.Time
}

// Options configure a claim. Values of 0 or less take the defaults.
type Options struct {
	// PollFirst is the first pause before the record is read or written again
	// and PollMax the longest; the pauses double. The defaults are 50 ms and
	// 1 s, so a waiting call costs at most one read a second in the long run.
	PollFirst, PollMax time.Duration
	// RecordTimeout is how long the claim tries to write the outcome. The
	// default is 10 s.
	RecordTimeout time.Duration
	// MaxRecordBody bounds the stored body, in bytes. The default is
	// DefaultMaxRecordBody.
	MaxRecordBody int
}

func (o Options) withDefaults() Options {
	if o.PollFirst <= 0 {
		o.PollFirst = 50 * time.Millisecond
	}
	if o.PollMax <= 0 {
		o.PollMax = time.Second
	}
	if o.RecordTimeout <= 0 {
		o.RecordTimeout = 10 * time.Second
	}
	if o.MaxRecordBody <= 0 {
		o.MaxRecordBody = DefaultMaxRecordBody
	}
	return o
}

// Event is an input of Claim.Step.
type Event interface{ event() }

// Start is the first event.
type Start struct{}

// Read is the result of the ReadRecord with the same Op.
type Read struct {
	Op     int
	Result Result
	Record Record
	Index  uint64
}

// Written is the result of the WriteRecord with the same Op.
type Written struct {
	Op     int
	Result Result
	// Index is the new index of the record if Result is ResultOK.
	Index uint64
}

// Replied reports the upstream's whole reply, or its status and headers and
// the length of a body that is too large to store.
type Replied struct{ Outcome Outcome }

// ReplyLost reports that bytes were sent and no whole reply came back.
type ReplyLost struct{}

// NotSent reports that no byte was sent to any upstream.
type NotSent struct{}

// Tick reports that the time returned by NextTimer has come.
type Tick struct{}

func (Start) event()     {}
func (Read) event()      {}
func (Written) event()   {}
func (Replied) event()   {}
func (ReplyLost) event() {}
func (NotSent) event()   {}
func (Tick) event()      {}

// Action is an output of Claim.Step.
type Action interface{ action() }

// ReadRecord asks for a read of the record; the result is a Read event. Unless
// its deadline passed, a claim has at most one read or write in flight.
type ReadRecord struct {
	Op  int
	Key string
}

// WriteRecord asks for a compare-and-swap of the record, which must have the
// given index; the result is a Written event.
type WriteRecord struct {
	Op     int
	Key    string
	Record Record
	Index  uint64
}

// Run asks to send the request to an upstream. It is emitted at most once, and
// only while the record is known to hold this call's nonce in state claimed.
type Run struct{}

// Answer asks to send an outcome to the caller.
type Answer struct {
	Outcome Outcome
	// Recorded is set when the outcome is that of an earlier call.
	Recorded bool
}

// Refuse asks to send a refusal to the caller.
type Refuse struct {
	RunStatus  RunStatus
	Code       string
	RetryAfter time.Duration
}

// Release asks to add a claim that never ran to the ReleaseQueue.
type Release struct{ Pending PendingRelease }

func (ReadRecord) action()  {}
func (WriteRecord) action() {}
func (Run) action()         {}
func (Answer) action()      {}
func (Refuse) action()      {}
func (Release) action()     {}

type phase int

const (
	phaseNew phase = iota
	phaseClaiming
	phaseWaiting
	phaseRunning
	phaseRecording
	phaseEnded
)

// Claim is the state machine of one call's claim. It is not safe for concurrent
// use.
type Claim struct {
	req   Request
	opts  Options
	key   string
	phase phase

	// pendingOp is the number of the store operation in flight; 0 means none.
	// writing is set if it is a write.
	pendingOp, lastOp int
	writing           bool
	writeIndex        uint64
	// unresolved is set while it is not known whether a claim write of this
	// call, which expects unresolvedIndex, took or will take effect.
	unresolved      bool
	unresolvedIndex uint64
	// ownedByOther is set while the record is known to belong to another call,
	// because it was read or because a write met a conflict.
	ownedByOther bool

	// claimRetries counts the claim writes that followed a read which found the
	// key free. pausedBeforeRetry is set once the pause before the next one has
	// been scheduled.
	claimRetries      int
	pausedBeforeRetry bool

	pause          time.Duration
	retryAt        time.Time
	recordIndex    uint64 // index of the record while running or recording
	outcome        Outcome
	recordDeadline time.Time
}

// New returns the claim of a call. The first event passed to Step must be Start.
func New(now time.Time, r Request, o Options) *Claim {
	return &Claim{req: r, opts: o.withDefaults(), key: StoreKey(r.Service, r.Account, r.Key)}
}

// Ended reports whether the claim needs no more events.
func (c *Claim) Ended() bool { return c.phase == phaseEnded }

// NextTimer returns when the claim needs a Tick, and false if it needs none.
func (c *Claim) NextTimer() (time.Time, bool) {
	switch c.phase {
	case phaseClaiming, phaseWaiting:
		if c.pendingOp == 0 && c.retryAt.Before(c.req.Deadline) {
			return c.retryAt, true
		}
		return c.req.Deadline, true
	case phaseRecording:
		if c.pendingOp == 0 && c.retryAt.Before(c.recordDeadline) {
			return c.retryAt, true
		}
		return c.recordDeadline, true
	}
	return time.Time{}, false
}

// Step handles one event and returns the actions that follow. Once the claim has
// ended it returns none, so that a late store result cannot run a call that was
// refused.
func (c *Claim) Step(now time.Time, ev Event) []Action {
	if c.phase == phaseEnded {
		return nil
	}
	switch ev := ev.(type) {
	case Start:
		if c.phase != phaseNew {
			return nil
		}
		if c.req.Key == "" {
			return c.refuse(NotRun, CodeKeyRequired, 0)
		}
		c.phase = phaseClaiming
		if !now.Before(c.req.Deadline) {
			return c.refuse(NotRun, CodeDeadline, 0)
		}
		return c.writeClaim(0)
	case Read:
		if ev.Op != c.pendingOp || c.pendingOp == 0 || c.writing {
			return nil
		}
		c.pendingOp = 0
		return c.onRead(now, ev)
	case Written:
		if ev.Op != c.pendingOp || c.pendingOp == 0 || !c.writing {
			return nil
		}
		c.pendingOp = 0
		return c.onWritten(now, ev)
	case Replied:
		if c.phase != phaseRunning {
			return nil
		}
		c.phase = phaseRecording
		c.outcome = ev.Outcome.truncated(c.opts.MaxRecordBody)
		c.recordDeadline = now.Add(c.opts.RecordTimeout)
		c.pause = 0
		return append([]Action{Answer{Outcome: ev.Outcome}}, c.writeOutcome()...)
	case ReplyLost:
		if c.phase != phaseRunning {
			return nil
		}
		return c.refuse(MayHaveRun, CodeReplyLost, 0)
	case NotSent:
		if c.phase != phaseRunning {
			return nil
		}
		return append(c.release(c.recordIndex), c.refuse(NotRun, CodeUpstreamUnreachable, time.Second)...)
	case Tick:
		return c.onTick(now)
	}
	return nil
}

func (c *Claim) onTick(now time.Time) []Action {
	switch c.phase {
	case phaseClaiming, phaseWaiting:
		if !now.Before(c.req.Deadline) {
			return c.onDeadline()
		}
		if c.pendingOp == 0 && !now.Before(c.retryAt) {
			return c.startRead()
		}
	case phaseRecording:
		if !now.Before(c.recordDeadline) {
			// The record stays claimed: a repeated call gets may_have_run.
			c.phase = phaseEnded
			return nil
		}
		if c.pendingOp == 0 && !now.Before(c.retryAt) {
			return c.writeOutcome()
		}
	}
	return nil
}

// onDeadline ends a claim whose deadline passed before it ran.
func (c *Claim) onDeadline() []Action {
	if c.pendingOp != 0 && c.writing {
		c.markUnresolved()
	}
	if c.ownedByOther {
		return c.refuse(MayHaveRun, CodeClaimRunning, time.Second)
	}
	if c.unresolved {
		return append(c.release(0), c.refuse(NotRun, CodeClaimUnresolved, time.Second)...)
	}
	return c.refuse(NotRun, CodeDeadline, time.Second)
}

func (c *Claim) markUnresolved() { c.unresolved, c.unresolvedIndex = true, c.writeIndex }

func (c *Claim) onWritten(now time.Time, ev Written) []Action {
	if c.phase == phaseRecording {
		switch ev.Result {
		case ResultOK, ResultConflict:
			// Only this call changes its claimed record, so a conflict means
			// that an earlier write of the same outcome took effect.
			c.phase = phaseEnded
			return nil
		}
		c.backOff(now)
		return nil
	}
	switch ev.Result {
	case ResultOK:
		return c.onClaimed(now, ev.Index)
	case ResultConflict:
		c.ownedByOther = !c.unresolved
		return c.startRead()
	case ResultUnknown:
		c.markUnresolved()
		return c.startRead()
	default:
		return c.onStoreUnavailable(now)
	}
}

func (c *Claim) onRead(now time.Time, ev Read) []Action {
	switch ev.Result {
	case ResultOK:
	case ResultNotFound:
		c.ownedByOther = false
		c.phase = phaseClaiming
		return c.retryClaim(now, 0)
	case ResultUnreadable:
		return c.refuse(MayHaveRun, CodeClaimUnreadable, 0)
	default:
		return c.onStoreUnavailable(now)
	}
	r := ev.Record
	if r.State == StateClaimed && r.Nonce == c.req.Nonce {
		return c.onClaimed(now, ev.Index)
	}
	if r.State == StateReleased {
		// No call has run under this key, so the body hash need not match.
		c.ownedByOther = false
		c.phase = phaseClaiming
		return c.retryClaim(now, ev.Index)
	}
	// The record belongs to another call. An unresolved write of this call
	// expected an older index and can no longer take effect.
	c.unresolved = false
	c.ownedByOther = true
	if r.BodyHash != c.req.BodyHash {
		return c.refuse(NotRun, CodeKeyReused, 0)
	}
	if r.State == StateDone {
		c.phase = phaseEnded
		return []Action{Answer{Outcome: *r.Outcome, Recorded: true}}
	}
	if c.phase != phaseWaiting {
		c.phase = phaseWaiting
		c.pause = 0
	}
	if !now.Before(c.req.Deadline) {
		return c.onDeadline()
	}
	c.backOff(now)
	return nil
}

// onClaimed handles a record that is known to be claimed with this call's nonce,
// at the given index.
func (c *Claim) onClaimed(now time.Time, index uint64) []Action {
	c.unresolved = false
	if !now.Before(c.req.Deadline) {
		return append(c.release(index), c.refuse(NotRun, CodeDeadline, time.Second)...)
	}
	c.phase = phaseRunning
	c.recordIndex = index
	return []Action{Run{}}
}

// onStoreUnavailable handles a failed store operation. The claim tries again if
// it waits for another call's outcome or has an unresolved write; otherwise the
// call is refused at once.
func (c *Claim) onStoreUnavailable(now time.Time) []Action {
	if !now.Before(c.req.Deadline) {
		return c.onDeadline()
	}
	switch {
	case c.phase == phaseWaiting || c.unresolved:
		c.backOff(now)
		return nil
	case c.ownedByOther:
		return c.refuse(MayHaveRun, CodeStoreUnreachable, time.Second)
	default:
		return c.refuse(NotRun, CodeStoreUnreachable, time.Second)
	}
}

func (c *Claim) backOff(now time.Time) {
	c.pause = min(max(2*c.pause, c.opts.PollFirst), c.opts.PollMax)
	c.retryAt = now.Add(c.pause)
}

func (c *Claim) startRead() []Action {
	c.lastOp++
	c.pendingOp, c.writing = c.lastOp, false
	return []Action{ReadRecord{Op: c.pendingOp, Key: c.key}}
}

// retryClaim writes the claim after a read found the key free. Stale reads, or
// many calls that release the key in turn, could make writes and reads follow
// each other without end, so from the third retry on it pauses and reads again
// before each write.
func (c *Claim) retryClaim(now time.Time, index uint64) []Action {
	if !now.Before(c.req.Deadline) {
		return c.onDeadline()
	}
	if c.claimRetries >= 2 && !c.pausedBeforeRetry {
		c.pausedBeforeRetry = true
		c.backOff(now)
		return nil
	}
	c.claimRetries++
	c.pausedBeforeRetry = false
	return c.writeClaim(index)
}

func (c *Claim) writeClaim(index uint64) []Action {
	c.lastOp++
	c.pendingOp, c.writing, c.writeIndex = c.lastOp, true, index
	return []Action{WriteRecord{Op: c.pendingOp, Key: c.key, Index: index, Record: Record{
		State: StateClaimed, BodyHash: c.req.BodyHash, Nonce: c.req.Nonce, Daemon: c.req.Daemon,
	}}}
}

func (c *Claim) writeOutcome() []Action {
	c.lastOp++
	c.pendingOp, c.writing = c.lastOp, true
	o := c.outcome
	return []Action{WriteRecord{Op: c.pendingOp, Key: c.key, Index: c.recordIndex, Record: Record{
		State: StateDone, BodyHash: c.req.BodyHash, Nonce: c.req.Nonce, Daemon: c.req.Daemon, Outcome: &o,
	}}}
}

func (c *Claim) refuse(status RunStatus, code string, retryAfter time.Duration) []Action {
	c.phase = phaseEnded
	return []Action{Refuse{RunStatus: status, Code: code, RetryAfter: retryAfter}}
}

// release ends the claim and asks to release its record. The index is that of
// the claimed record, or 0 if it is not known whether the record holds this
// call's nonce.
func (c *Claim) release(index uint64) []Action {
	c.phase = phaseEnded
	return []Action{Release{Pending: PendingRelease{
		Key: c.key, Nonce: c.req.Nonce, BodyHash: c.req.BodyHash, Daemon: c.req.Daemon,
		Index: index, ExpectedIndex: c.unresolvedIndex,
	}}}
}
