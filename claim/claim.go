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
	// ResultUnreadable means that a read found a value that is no record.
	ResultUnreadable
)

func (r Result) String() string {
	return [...]string{"ok", "not found", "conflict", "unavailable", "unknown", "unreadable"}[r]
}

// Ran is what a refusal says about this call.
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
	// BodyHash covers method, path, query and body.
	BodyHash string
	// Nonce is unique to this call: 128 random bits or more.
	Nonce string
	// Daemon is the name of this daemon.
	Daemon string
	// Deadline is when the caller must have an answer.
	Deadline time.Time
}

// Options are the times of a claim.
type Options struct {
	// PollFirst and PollMax bound the pauses between reads, which double. The
	// defaults are 50 ms and 1 s: a waiting call costs at most one read a
	// second in the long run.
	PollFirst, PollMax time.Duration
	// RecordFor is how long the outcome's write is tried. The default is 10 s.
	RecordTimeout time.Duration
	// MaxRecordBody bounds the stored body, in bytes.
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

// Read is the result of ReadRecord.
type Read struct {
	Op     int
	Result Result
	Record Record
	Index  uint64
}

// Written is the result of WriteRecord.
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

// Tick reports that the time of NextTimer has come.
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

// ReadRecord asks for a read of the record; the result is a Read event. At
// most one read or write of a claim is under way, unless its deadline passed.
type ReadRecord struct {
	Op  int
	Key string
}

// WriteRecord asks for a compare-and-swap; the result is a Written event.
type WriteRecord struct {
	Op     int
	Key    string
	Record Record
	Index  uint64
}

// Run asks to send the request to an upstream. It is emitted at most once, and
// only while the record is known to hold this call's nonce in state claimed.
type Run struct{}

// Answer gives the caller an outcome.
type Answer struct {
	Outcome Outcome
	// Recorded is set when the outcome is that of an earlier call.
	Recorded bool
}

// Refuse gives the caller a refusal.
type Refuse struct {
	RunStatus  RunStatus
	Code       string
	RetryAfter time.Duration
}

// Release hands a claim that never ran to the list of pending releases.
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

// Claim is the claim of one call. It is owned by the goroutine of the call.
type Claim struct {
	req   Request
	opts  Options
	key   string
	phase phase

	// op numbers the operation that is under way; 0 means none.
	op, lastOp int
	writing    bool
	base       uint64
	// uncertain is set while a claim write of this call, with base index
	// uncertainBase, may take effect without this call knowing.
	uncertain     bool
	uncertainBase uint64
	// repeat is set while the record is known to be another call's, seen or
	// inferred from a conflict.
	repeat bool

	// rounds counts the writes after reads that found the key free; rested is
	// set after the pause before the next one.
	rounds int
	rested bool

	pause    time.Duration
	retryAt  time.Time
	index    uint64 // index of the record while running or recording
	outcome  Outcome
	recordBy time.Time
}

// New returns the claim of a call. The first event must be Start.
func New(now time.Time, r Request, o Options) *Claim {
	return &Claim{req: r, opts: o.withDefaults(), key: StoreKey(r.Service, r.Account, r.Key)}
}

// Ended tells whether the claim needs no more events.
func (c *Claim) Ended() bool { return c.phase == phaseEnded }

// NextTimer returns when the claim needs a Tick.
func (c *Claim) NextTimer() (time.Time, bool) {
	switch c.phase {
	case phaseClaiming, phaseWaiting:
		if c.op == 0 && c.retryAt.Before(c.req.Deadline) {
			return c.retryAt, true
		}
		return c.req.Deadline, true
	case phaseRecording:
		if c.op == 0 && c.retryAt.Before(c.recordBy) {
			return c.retryAt, true
		}
		return c.recordBy, true
	}
	return time.Time{}, false
}

// Step handles one event. After the end it returns nothing, so that a late
// store result cannot run a call that was refused.
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
		return c.write(0)
	case Read:
		if ev.Op != c.op || c.op == 0 || c.writing {
			return nil
		}
		c.op = 0
		return c.read(now, ev)
	case Written:
		if ev.Op != c.op || c.op == 0 || !c.writing {
			return nil
		}
		c.op = 0
		return c.written(now, ev)
	case Replied:
		if c.phase != phaseRunning {
			return nil
		}
		c.phase = phaseRecording
		c.outcome = ev.Outcome.bounded(c.opts.MaxRecordBody)
		c.recordBy = now.Add(c.opts.RecordTimeout)
		c.pause = 0
		return append([]Action{Answer{Outcome: ev.Outcome}}, c.record()...)
	case ReplyLost:
		if c.phase != phaseRunning {
			return nil
		}
		return c.refuse(MayHaveRun, CodeReplyLost, 0)
	case NotSent:
		if c.phase != phaseRunning {
			return nil
		}
		return append(c.release(c.index), c.refuse(NotRun, CodeUpstreamUnreachable, time.Second)...)
	case Tick:
		return c.tick(now)
	}
	return nil
}

func (c *Claim) tick(now time.Time) []Action {
	switch c.phase {
	case phaseClaiming, phaseWaiting:
		if !now.Before(c.req.Deadline) {
			return c.deadline()
		}
		if c.op == 0 && !now.Before(c.retryAt) {
			return c.startRead()
		}
	case phaseRecording:
		if !now.Before(c.recordBy) {
			// The record stays claimed: a repeat gets may_have_run.
			c.phase = phaseEnded
			return nil
		}
		if c.op == 0 && !now.Before(c.retryAt) {
			return c.record()
		}
	}
	return nil
}

// deadline ends a claim that is not running.
func (c *Claim) deadline() []Action {
	if c.op != 0 && c.writing {
		c.setUncertain()
	}
	if c.repeat {
		return c.refuse(MayHaveRun, CodeClaimRunning, time.Second)
	}
	if c.uncertain {
		return append(c.release(0), c.refuse(NotRun, CodeClaimUnresolved, time.Second)...)
	}
	return c.refuse(NotRun, CodeDeadline, time.Second)
}

func (c *Claim) setUncertain() { c.uncertain, c.uncertainBase = true, c.base }

func (c *Claim) written(now time.Time, ev Written) []Action {
	if c.phase == phaseRecording {
		switch ev.Result {
		case ResultOK, ResultConflict:
			// Only this call changes its record, so a conflict means that an
			// earlier write of the same outcome took effect.
			c.phase = phaseEnded
			return nil
		}
		c.backOff(now)
		return nil
	}
	switch ev.Result {
	case ResultOK:
		return c.won(now, ev.Index)
	case ResultConflict:
		c.repeat = !c.uncertain
		return c.startRead()
	case ResultUnknown:
		c.setUncertain()
		return c.startRead()
	default:
		return c.storeLost(now)
	}
}

func (c *Claim) read(now time.Time, ev Read) []Action {
	switch ev.Result {
	case ResultOK:
	case ResultNotFound:
		c.repeat = false
		c.phase = phaseClaiming
		return c.claimAgain(now, 0)
	case ResultUnreadable:
		return c.refuse(MayHaveRun, CodeClaimUnreadable, 0)
	default:
		return c.storeLost(now)
	}
	r := ev.Record
	if r.State == StateClaimed && r.Nonce == c.req.Nonce {
		return c.won(now, ev.Index)
	}
	if r.State == StateReleased {
		// Nobody ran, whatever body the released call had.
		c.repeat = false
		c.phase = phaseClaiming
		return c.claimAgain(now, ev.Index)
	}
	// Another call's record. A write of this call expected an older index and
	// can no longer take effect.
	c.uncertain = false
	c.repeat = true
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
		return c.deadline()
	}
	c.backOff(now)
	return nil
}

// won handles the knowledge that the record holds this call's nonce.
func (c *Claim) won(now time.Time, index uint64) []Action {
	c.uncertain = false
	if !now.Before(c.req.Deadline) {
		return append(c.release(index), c.refuse(NotRun, CodeDeadline, time.Second)...)
	}
	c.phase = phaseRunning
	c.index = index
	return []Action{Run{}}
}

// storeLost handles a store that is out of reach. Only an unresolved write is
// worth waiting for: without one the call is refused at once.
func (c *Claim) storeLost(now time.Time) []Action {
	if !now.Before(c.req.Deadline) {
		return c.deadline()
	}
	switch {
	case c.phase == phaseWaiting || c.uncertain:
		c.backOff(now)
		return nil
	case c.repeat:
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
	c.op, c.writing = c.lastOp, false
	return []Action{ReadRecord{Op: c.op, Key: c.key}}
}

// claimAgain writes once more after a read found the key free. Stale reads, or
// many calls that release the key in turn, could make writes and reads follow
// each other without end, so from the third time on each round has a pause.
func (c *Claim) claimAgain(now time.Time, index uint64) []Action {
	if !now.Before(c.req.Deadline) {
		return c.deadline()
	}
	if c.rounds >= 2 && !c.rested {
		c.rested = true
		c.backOff(now)
		return nil
	}
	c.rounds++
	c.rested = false
	return c.write(index)
}

func (c *Claim) write(index uint64) []Action {
	c.lastOp++
	c.op, c.writing, c.base = c.lastOp, true, index
	return []Action{WriteRecord{Op: c.op, Key: c.key, Index: index, Record: Record{
		State: StateClaimed, BodyHash: c.req.BodyHash, Nonce: c.req.Nonce, Daemon: c.req.Daemon,
	}}}
}

func (c *Claim) record() []Action {
	c.lastOp++
	c.op, c.writing = c.lastOp, true
	o := c.outcome
	return []Action{WriteRecord{Op: c.op, Key: c.key, Index: c.index, Record: Record{
		State: StateDone, BodyHash: c.req.BodyHash, Nonce: c.req.Nonce, Daemon: c.req.Daemon, Outcome: &o,
	}}}
}

func (c *Claim) refuse(ran RunStatus, code string, retryAfter time.Duration) []Action {
	c.phase = phaseEnded
	return []Action{Refuse{RunStatus: ran, Code: code, RetryAfter: retryAfter}}
}

// release gives the claim up. With index 0 it is not known whether the record
// holds this call's nonce.
func (c *Claim) release(index uint64) []Action {
	c.phase = phaseEnded
	return []Action{Release{Pending: PendingRelease{
		Key: c.key, Nonce: c.req.Nonce, BodyHash: c.req.BodyHash, Daemon: c.req.Daemon,
		Index: index, ExpectedIndex: c.uncertainBase,
	}}}
}
