package rollout

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/gooseberryroad/gooseberryroad/document"
)

// Phase is the state of a move.
type Phase int

const (
	// PhaseNone means that there is no move.
	PhaseNone Phase = iota
	// PhaseProbing: the new version gets at most MaxProbeShare of the requests on
	// average while it is examined.
	PhaseProbing
	// PhaseGrowing: the share grows on the schedule.
	PhaseGrowing
	// PhaseDone: the move is complete; the old version stays ready for the
	// document's warm time.
	PhaseDone
	// PhaseRolledBack: the new version gets no requests until the versions in the
	// document change.
	PhaseRolledBack
)

func (p Phase) String() string {
	if p < PhaseNone || p > PhaseRolledBack {
		return fmt.Sprintf("phase(%d)", int(p))
	}
	return [...]string{"none", "probing", "growing", "done", "rolled back"}[p]
}

// Sample is the outcome of one request at one upstream.
type Sample struct {
	Service, Version, Route, Upstream string
	At                                time.Time
	// Failed: the upstream answered with an error that the caller did not cause.
	Failed bool
	// Crashed: the engine process died while the request ran.
	Crashed bool
	// Truncated: the answer broke off before its regular end or its length limit.
	Truncated bool
	// Empty: the answer ended regularly without a token.
	Empty bool
	// FirstToken is the time to the first token, BetweenTokens the mean time
	// between tokens. They are 0 when they were not measured.
	FirstToken, BetweenTokens time.Duration
	// Load is the work in flight at the replica when the request was sent,
	// relative to what the replica can hold (0 to 1, above 1 when overloaded).
	Load float64
	// Poison: the request is suspected of crashing any version and does not count
	// as evidence.
	Poison bool
	// UpstreamLost: the replica became unreachable (VM, rack, data centre,
	// network) while the request ran.
	UpstreamLost bool
}

// Move is the record moves/SERVICE in the store.
type Move struct {
	Service string `json:"service"`
	From    string `json:"from"`
	To      string `json:"to"`
	// DocRevision is the revision of the document that the record was written for.
	DocRevision uint64    `json:"doc_revision"`
	Deadline    time.Time `json:"deadline"`
	Phase       Phase     `json:"phase"`
	// Share is the share of To when the record was written. Until the move is
	// final, the share in force is ShareAt.
	Share float64 `json:"share"`
	// Owner is the daemon that wrote the record.
	Owner string `json:"owner"`
	// Fence rises by one with every write of the key.
	Fence  uint64 `json:"fence"`
	Reason string `json:"reason"`
	// PhaseSince is when the phase began.
	PhaseSince time.Time `json:"since"`
	// Began is the fence of the record that began the move. It identifies the move
	// in alarms and windows.
	Began uint64 `json:"began"`
	// Started is when the move began; the schedule runs from Started to
	// Deadline.
	Started time.Time `json:"started"`
	// Versions is the section of the document that the record was written for.
	Versions document.Versions `json:"versions"`
	// Replicas is the number of old replicas when the move began. From it, all
	// daemons compute the same share for the load of one replica.
	Replicas int `json:"replicas"`
	// Examined: enough outcomes of the new version were seen. A move that is done
	// without them leaves half of the requests on the old version until they are
	// seen or the warm time ends.
	Examined bool `json:"examined"`
}

// Key returns the store key of a service's move.
func Key(service string) string { return "moves/" + service }

// Encode returns the record's value in the store.
func (m Move) Encode() ([]byte, error) { return json.Marshal(m) }

// DecodeMove reads a record written by Encode.
func DecodeMove(b []byte) (Move, error) {
	var m Move
	err := json.Unmarshal(b, &m)
	return m, err
}

// Alarm is one daemon's verdict that a version is bad.
type Alarm struct {
	Service string
	// To is the bad version and Began identifies its move (see Move.Began).
	To     string
	Began  uint64
	Daemon string
	At     time.Time
	Route  string
	Reason string
}

// Counts are numbers of outcomes of one version. Running totals of them never
// fall.
type Counts struct {
	// N is the number of judged outcomes.
	N, Failed, Crashed, Truncated, Empty uint32
	// FirstN is the number of outcomes whose time to the first token was compared
	// with the limit from the old version's quantile, and SlowFirst the number above
	// it. BetweenN and SlowBetween are the same for the time between tokens.
	FirstN, SlowFirst, BetweenN, SlowBetween uint32
}

// Cell holds the outcomes of both versions on one route.
type Cell struct {
	Route    string
	Old, New Counts
}

// Window is a report of one daemon to the owner: the running totals of the cells
// that changed. Totals never fall, so the owner takes the larger value, and a
// window that is repeated, late or out of order counts once.
type Window struct {
	Service string
	Began   uint64
	Daemon  string
	// Incarnation differs between runs of one daemon; the totals of each run start
	// at 0.
	Incarnation uint64
	Cells       []Cell
}

// Event is an input of a Mover.
type Event interface{ isEvent() }

// DocumentAccepted carries the document in force and its revision. A revision that
// is not above the last one is ignored.
type DocumentAccepted struct {
	Service  *document.Service
	Revision uint64
}

// StoredRecord carries the record in the store: from a watch, a read, a peer that
// read it, or a write that took effect. Index is its store index; 0 with a zero
// Move means that the key does not exist. With Err set, the result of a write or
// read is unknown, whatever the cause, and the Mover reads the record back.
type StoredRecord struct {
	Move  Move
	Index uint64
	Err   error
}

// LocalSample carries an outcome that this daemon saw itself.
type LocalSample struct{ Sample Sample }

// PeerWindow carries a window of another daemon.
type PeerWindow struct{ Window Window }

// PeerAlarm carries an alarm of another daemon.
type PeerAlarm struct{ Alarm Alarm }

// OwnerElected names the daemon that owns the move. Daemons is the number of live
// daemons (0 if unknown); the time between windows grows with it, so that the
// owner's traffic stays bounded.
type OwnerElected struct {
	Owner   string
	Daemons int
}

// UsableUpstreams names the upstreams that can take work now. Without this event,
// or with nil, all upstreams of the document that are not leaving count as usable.
// It affects only the choice of replicas for a small share.
type UsableUpstreams struct{ Upstreams []string }

// Tick only advances the time.
type Tick struct{}

func (DocumentAccepted) isEvent() {}
func (StoredRecord) isEvent()     {}
func (LocalSample) isEvent()      {}
func (PeerWindow) isEvent()       {}
func (PeerAlarm) isEvent()        {}
func (OwnerElected) isEvent()     {}
func (UsableUpstreams) isEvent()  {}
func (Tick) isEvent()             {}

// Action is an output of a Mover.
type Action interface{ isAction() }

// WriteMove asks for a compare-and-swap of Key(Move.Service) at Index (0
// creates the key). The result comes back as StoredRecord.
type WriteMove struct {
	Move  Move
	Index uint64
}

// ReadMove asks to read Key(Service). The result comes back as StoredRecord.
type ReadMove struct{ Service string }

// AnnounceAlarm asks to send the alarm to all peers. It is repeated until the
// rollback is recorded; peers must get the repeats.
type AnnounceAlarm struct{ Alarm Alarm }

// SendWindow asks to send the window to the owner.
type SendWindow struct {
	To     string
	Window Window
}

// SetShare sets the share of new requests that the version gets at this daemon.
// Replicas limits the version to the named upstreams; nil means all.
type SetShare struct {
	Service, Version string
	Share            float64
	Replicas         []string
}

// Explain describes a change for the log.
type Explain struct{ Text string }

func (WriteMove) isAction()     {}
func (ReadMove) isAction()      {}
func (AnnounceAlarm) isAction() {}
func (SendWindow) isAction()    {}
func (SetShare) isAction()      {}
func (Explain) isAction()       {}

// Report is the state of a move for operators.
type Report struct {
	Service, From, To string
	Phase             Phase
	// Share is the share of To at this daemon now.
	Share    float64
	Reason   string
	Owner    string
	Fence    uint64
	Deadline time.Time
	// GrowsAt and FinishesAt are the scheduled ends of probing and growing.
	GrowsAt, FinishesAt time.Time
	// WarmUntil is zero until the move is done.
	WarmUntil time.Time
	Alarm     *Alarm
	// Merged is set when Routes holds the windows of all daemons (at the
	// owner), and not only this daemon's samples.
	Merged bool
	Routes []RouteEvidence
	// Text describes the same state in sentences.
	Text string
}

// RouteEvidence is the evidence on one route.
type RouteEvidence struct {
	Route    string
	Old, New Counts
	// Test is the kind of fault whose test is nearest to its bound, Score the
	// test's log-likelihood ratio, and Bound the score that gives a verdict.
	Test         string
	Score, Bound float64
}
