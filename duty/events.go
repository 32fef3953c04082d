package duty

import "time"

// Event is an input of a Machine.
type Event interface{ event() }

// Action is an output of a Machine: a call to make or a change to log.
type Action interface{ action() }

// Outcome is the outcome of a call to the store.
type Outcome int

const (
	// Done says that the call took effect.
	Done Outcome = iota
	// Conflict says that a condition of the transaction did not hold, or that its lease had
	// expired.
	Conflict
	// Failed says that the call had no effect.
	Failed
	// Unknown says that the call may have taken effect, or may yet.
	Unknown
	// Expired says that the lease does not exist any more.
	Expired
)

// String returns the name that is used in logs.
func (o Outcome) String() string {
	return [...]string{"done", "conflict", "failed", "unknown", "expired"}[o]
}

type (
	// Subjects are the subjects that this daemon may hold.
	Subjects struct{ Names []string }
	// Candidates are the registered daemons. This daemon need not be among them.
	Candidates struct{ List []Candidate }
	// Candidate is a daemon that may hold subjects.
	Candidate struct {
		Name string
		// NarrowLink says that daemons without narrow links go first.
		NarrowLink bool
	}
	// Observed are the keys of a subject at a revision of the store.
	Observed struct {
		Subject string
		// Era rises by one each time the store is restored from an older copy. Revisions
		// can be compared only within an era.
		Era, Revision uint64
		// Record is the key under the holder's lease, Last the key that stays.
		Record, Last Seen
	}
	// EraSeen is the newest era that any response of the store named. Content of older eras
	// is out of date.
	EraSeen struct{ Era uint64 }
	// AcquireEnded is the outcome of Acquire.
	AcquireEnded struct {
		Subject, Nonce string
		// SentAt is when the lease was asked for, Lease its ID, and Revision the store's
		// revision at the transaction.
		SentAt          time.Time
		Lease, Revision uint64
		Outcome         Outcome
	}
	// ReadEnded is the outcome of ReadBack.
	ReadEnded struct {
		Subject, Nonce string
		Record         Seen
		// OK says that the record was read, or read as missing.
		OK bool
	}
	// RenewEnded is the outcome of Renew.
	RenewEnded struct {
		Subject string
		Lease   uint64
		SentAt  time.Time
		Outcome Outcome
	}
	// CallEnded is the outcome of a call to the control service; there is one at a time
	// for a subject. OK says that the service answered.
	CallEnded struct {
		Subject string
		SentAt  time.Time
		OK      bool
	}
	// Stop says that this daemon stops: it takes no subject any more.
	Stop struct{}
	// Release says that a stopping daemon makes no more calls for a subject.
	Release struct{ Subject string }
	// Resign says that the holder lacks what it needs to act and makes no call now.
	Resign struct{ Subject string }
	// Tick says that time has passed. It is due every tenth of a second.
	Tick struct{}
)

func (Subjects) event()     {}
func (Candidates) event()   {}
func (Observed) event()     {}
func (EraSeen) event()      {}
func (AcquireEnded) event() {}
func (ReadEnded) event()    {}
func (RenewEnded) event()   {}
func (CallEnded) event()    {}
func (Stop) event()         {}
func (Release) event()      {}
func (Resign) event()       {}
func (Tick) event()         {}

type (
	// Acquire asks for a lease and then for a transaction that writes Record to both keys
	// of the subject, the first one under the lease, if both keys have the given revisions.
	Acquire struct {
		Subject string
		Record  Record
		// RecordRevision and LastRevision are the revisions that the keys must have in
		// the given era; 0 says that the key must not exist.
		Era, RecordRevision, LastRevision uint64
	}
	// ReadBack asks for the record of a subject, because the outcome of the transaction
	// with the nonce is not known.
	ReadBack struct{ Subject, Nonce string }
	// Renew asks for the renewal of a lease.
	Renew struct {
		Subject string
		Lease   uint64
	}
	// Revoke asks for the end of a lease.
	Revoke struct {
		Subject string
		Lease   uint64
	}
	// Taken says that this daemon now holds the subject.
	Taken struct {
		Subject string
		Token   uint64
		// Previous is the last holder, Waited the time since its record was seen to have
		// ended.
		Previous Holder
		Waited   time.Duration
		// Renewed says that the daemon held the subject without a break.
		Renewed bool
	}
	// Lost says that this daemon does not hold the subject any more.
	Lost struct {
		Subject string
		Token   uint64
		Reason  Reason
		// Held is how long the daemon held the subject.
		Held time.Duration
	}
	// NotTaken says that Acquire did not succeed.
	NotTaken struct {
		Subject string
		Outcome Outcome
	}
)

func (Acquire) action()  {}
func (ReadBack) action() {}
func (Renew) action()    {}
func (Revoke) action()   {}
func (Taken) action()    {}
func (Lost) action()     {}
func (NotTaken) action() {}

// Reason says why a daemon does not hold a subject any more.
type Reason string

// The reasons of Lost.
const (
	// ReasonDeadline is a lease that was not renewed in time, by the daemon's own clock.
	ReasonDeadline Reason = "deadline"
	// ReasonExpired is a lease that the store does not have any more.
	ReasonExpired Reason = "expired"
	// ReasonReplaced is a record that is gone from the store or was written by another
	// process.
	ReasonReplaced Reason = "replaced"
	// ReasonCalls is a control service that does not answer this daemon.
	ReasonCalls Reason = "calls_fail"
	// ReasonResigned is a holder that lacks what it needs to act.
	ReasonResigned Reason = "resigned"
	// ReasonStop is a planned stop.
	ReasonStop Reason = "stop"
	// ReasonUnwanted is a subject that does not exist any more.
	ReasonUnwanted Reason = "no_subject"
)
