package recovery

import "time"

// Event is an input of a Generation.
type Event interface{ event() }

// Placed answers Place.
type Placed struct {
	Attempt  int
	Upstream string
	Version  string
}

// NoUpstream answers Place when nothing can be chosen.
type NoUpstream struct {
	Attempt int
	// VersionGone is set when no replica of the version is left, excluded
	// ones counted.
	VersionGone bool
	RetryAfter  time.Duration
}

// NoBudget answers Place when the retry budget of the daemon is used up.
type NoBudget struct {
	Attempt    int
	RetryAfter time.Duration
}

// Opened reports that the engine accepted Start or Resume.
type Opened struct{ Attempt, Conn int }

// Token is one token from a connection.
type Token struct {
	Attempt, Conn int
	Index         int
	Text          string
}

// Finished reports the end of the answer on a connection.
type Finished struct {
	Attempt, Conn int
	Reason        string
}

// Broken reports that a connection failed before the end of the answer.
type Broken struct {
	Attempt, Conn int
	// NotRun is set when the engine cannot have received the request.
	NotRun bool
}

// Refused reports an engine's answer that it does not take the request.
type Refused struct {
	Attempt, Conn int
	Status        int
	RetryAfter    time.Duration
	// NotRun is set when the engine is known not to have started it.
	NotRun bool
}

// UnknownGeneration answers Resume when the engine does not hold the attempt.
type UnknownGeneration struct{ Attempt, Conn int }

// State is what the daemon learned about an upstream.
type State int

const (
	// StateAlive upstreams may be chosen again.
	StateAlive State = iota
	// StateLeaving upstreams finish their work and are not chosen again.
	StateLeaving
	// StateDead upstreams refused connections or started again.
	StateDead
)

// UpstreamState reports a change of an upstream's state.
type UpstreamState struct {
	Upstream string
	State    State
}

// CallerStalled reports that the window to the caller is full.
type CallerStalled struct{}

// CallerReading reports that the window has room for so many bytes again. It
// is sent again whenever room appears while Backlog is not empty.
type CallerReading struct{ Room int }

// CallerGone reports that the caller's connection ended.
type CallerGone struct{}

// HandOver ends the generation here because the caller is told to continue at
// another daemon.
type HandOver struct{}

// Tick reports that the time of NextTimer has come.
type Tick struct{}

func (Placed) event()            {}
func (NoUpstream) event()        {}
func (NoBudget) event()          {}
func (Opened) event()            {}
func (Token) event()             {}
func (Finished) event()          {}
func (Broken) event()            {}
func (Refused) event()           {}
func (UnknownGeneration) event() {}
func (UpstreamState) event()     {}
func (CallerStalled) event()     {}
func (CallerReading) event()     {}
func (CallerGone) event()        {}
func (HandOver) event()          {}
func (Tick) event()              {}

// Action is an output of a Generation.
type Action interface{ action() }

// Place asks for an upstream.
type Place struct {
	Attempt int
	// Version pins the version; empty means any.
	Version string
	// Exclude names upstreams that failed this generation or refused it.
	Exclude []string
	// Recovery is set for continuations, which are paced by a Pacer.
	Recovery bool
	// Retry is set for later attempts of a request of which nothing was
	// delivered; they spend the retry budget of the daemon.
	Retry bool
}

// Start begins an attempt on a new connection.
type Start struct {
	Attempt, Conn int
	Upstream      string
	Version       string
	Prefix        string
	PrefixTokens  int
	Priority      int
}

// Resume opens a new connection to a running attempt.
type Resume struct {
	Attempt, Conn int
	Upstream      string
	After         int
}

// CloseConn closes a connection; its later events are ignored.
type CloseConn struct{ Attempt, Conn int }

// CancelAttempt cancels a superseded attempt at its engine. It is retried by
// the runner, since the engine may be paused.
type CancelAttempt struct {
	Attempt  int
	Upstream string
}

// Abandon cancels an attempt later, unless its caller reconnects before.
type Abandon struct {
	Attempt  int
	Upstream string
}

// Deliver passes a token to the caller.
type Deliver struct {
	Attempt int
	Index   int
	Text    string
}

// Complete ends the answer.
type Complete struct{ Reason string }

// Fail ends the generation without the whole answer.
type Fail struct {
	Outcome    Outcome
	Code       string
	Status     int
	RetryAfter time.Duration
}

// Outcome tells the caller whether an engine may have run the request.
type Outcome string

const (
	// OutcomeNotRun is only said when no engine started the request.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeMayHaveRun is said in all other cases.
	OutcomeMayHaveRun Outcome = "may_have_run"
)

// Codes of Fail.
const (
	CodeNoUpstream     = "no_upstream"
	CodeVersionGone    = "version_gone"
	CodeRetryBudget    = "retry_budget"
	CodeRetries        = "retries_exhausted"
	CodeDeadline       = "deadline_exceeded"
	CodeGenerationLost = "generation_lost"
	CodeRefused        = "engine_refused"
)

func (Place) action()         {}
func (Start) action()         {}
func (Resume) action()        {}
func (CloseConn) action()     {}
func (CancelAttempt) action() {}
func (Abandon) action()       {}
func (Deliver) action()       {}
func (Complete) action()      {}
func (Fail) action()          {}
