package recovery

import "time"

// Event is an input of a Generation. In events and actions, Attempt numbers the attempts
// of a generation and Conn its connections; both numbers only increase.
type Event interface{ event() }

// Placed answers Place with the chosen upstream and its version.
type Placed struct {
	Attempt  int
	Upstream string
	Version  string
}

// NoUpstream answers Place when no upstream can be chosen.
type NoUpstream struct {
	Attempt int
	// VersionGone is set when no replica of the version is left, not even among
	// the excluded upstreams.
	VersionGone bool
	RetryAfter  time.Duration
}

// NoBudget answers Place when the daemon's retry budget is exhausted.
type NoBudget struct {
	Attempt    int
	RetryAfter time.Duration
}

// Opened reports that the engine accepted Start or Resume.
type Opened struct{ Attempt, Conn int }

// Token is one token received on a connection. Index counts from the start of the
// answer, over all attempts.
type Token struct {
	Attempt, Conn int
	Index         int
	Text          string
}

// Finished reports that the engine sent the end of the answer, with its finish
// reason.
type Finished struct {
	Attempt, Conn int
	Reason        string
}

// Broken reports that a connection could not be made or failed before the end of
// the answer.
type Broken struct {
	Attempt, Conn int
	// NotRun is set when the engine cannot have received the request because no
	// connection was made.
	NotRun bool
}

// Refused reports that the engine rejected the request with an HTTP status.
type Refused struct {
	Attempt, Conn int
	Status        int
	RetryAfter    time.Duration
	// NotRun is set when the engine is known not to have started the request.
	NotRun bool
}

// UnknownGeneration reports that the engine does not hold the attempt that Resume
// named.
type UnknownGeneration struct{ Attempt, Conn int }

// State is the state of an upstream as the daemon knows it.
type State int

const (
	// StateAlive means that the upstream may be chosen again.
	StateAlive State = iota
	// StateLeaving means that the upstream finishes its work and is not chosen
	// again.
	StateLeaving
	// StateDead means that the upstream refused connections or restarted.
	StateDead
)

// UpstreamState reports a change of an upstream's state.
type UpstreamState struct {
	Upstream string
	State    State
}

// CallerStalled reports that the window of tokens for the caller stays full because
// the caller reads too slowly.
type CallerStalled struct{}

// CallerReading reports that the window has room for Room bytes of text. The owner
// sends it again whenever more room appears while Generation.Stalled is true.
type CallerReading struct{ Room int }

// CallerGone reports that the caller's connection was closed.
type CallerGone struct{}

// HandOver ends the generation at this daemon because the caller continues it at
// another one.
type HandOver struct{}

// Tick reports that the time returned by Generation.NextTimer has passed.
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

// Place asks the owner to choose an upstream for an attempt.
type Place struct {
	Attempt int
	// Version is the only version allowed; empty allows any.
	Version string
	// Exclude names upstreams that failed this generation or refused it.
	Exclude []string
	// Recovery is set for a continuation, an attempt that continues delivered
	// tokens. A Pacer limits the rate of continuations.
	Recovery bool
	// Retry is set for an attempt after the first when no token was delivered.
	// Each one takes a retry from the daemon's retry budget.
	Retry bool
}

// Start begins an attempt on a new connection. Prefix is the text delivered so far,
// PrefixTokens its number of tokens.
type Start struct {
	Attempt, Conn int
	Upstream      string
	Version       string
	Prefix        string
	PrefixTokens  int
	Priority      int
}

// Resume opens a new connection to a running attempt, which sends the tokens from
// index After on.
type Resume struct {
	Attempt, Conn int
	Upstream      string
	After         int
}

// CloseConn closes a connection. Later events of the connection are ignored.
type CloseConn struct{ Attempt, Conn int }

// CancelAttempt cancels an attempt at its engine because its tokens are no longer
// wanted. The owner retries the call, since the engine may be paused.
type CancelAttempt struct {
	Attempt  int
	Upstream string
}

// Abandon cancels an attempt after a grace period unless its caller reconnects
// within it.
type Abandon struct {
	Attempt  int
	Upstream string
}

// Deliver sends a token to the caller.
type Deliver struct {
	Attempt int
	Index   int
	Text    string
}

// Complete ends the whole answer with its finish reason.
type Complete struct{ Reason string }

// Fail ends the generation before the answer is whole. Status is an HTTP status.
type Fail struct {
	Outcome    Outcome
	Code       string
	Status     int
	RetryAfter time.Duration
}

// Outcome reports to the caller whether an engine may have run the request.
type Outcome string

const (
	// OutcomeNotRun means that no engine started the request.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeMayHaveRun is used in all other cases.
	OutcomeMayHaveRun Outcome = "may_have_run"
)

// Values of Fail.Code.
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
