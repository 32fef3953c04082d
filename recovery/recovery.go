package recovery

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gooseberryroad/gooseberryroad/tokenlog"
)

// Request describes one generation.
type Request struct {
	// Resumes is set when the service's engines can resume an attempt on a new
	// connection.
	Resumes bool
	// Cursors is set when the caller gets cursors, with which it may reconnect to
	// any daemon.
	Cursors bool
	// MaxTokens bounds the length of the whole answer; 0 means no bound.
	MaxTokens int
	// PromptBytes is the length of the prompt. The timeout for the first token
	// grows with it.
	PromptBytes int
	// Deadline is when the generation fails; the zero time means no deadline.
	Deadline time.Time
	// Adopt is set when the caller reconnects with the cursor of a running
	// generation, such as one that began at another daemon.
	Adopt *Adoption
}

// Adoption describes the running generation that a caller's cursor names.
type Adoption struct {
	Attempt  int
	Upstream string
	Version  string
	// Delivered is the number of tokens that the caller has received.
	Delivered int
	// Text is the text of these tokens if HaveText is set. Without it the
	// generation cannot continue at another engine.
	Text     string
	HaveText bool
}

// Options are the timeouts and limits of recovery. A zero field takes the default of
// withDefaults. A probe is a Resume of the current attempt on a new connection.
// Engines that cannot resume are not probed: they get a longer timeout instead, see
// silenceTimeout.
type Options struct {
	// AcceptTimeout bounds the wait for an engine to accept Start before it is
	// probed. Continuations use half of it.
	AcceptTimeout time.Duration
	// PrefillTimeout, plus PrefillTimeoutPerByte for each byte of prompt and
	// prefix, bounds the wait for the first token of an accepted attempt before
	// the engine is probed.
	PrefillTimeout        time.Duration
	PrefillTimeoutPerByte time.Duration
	// TokenTimeoutInitial bounds the time between tokens until minGaps gaps were
	// measured. TokenTimeoutMin and TokenTimeoutMax limit the timeout that is then
	// derived from the measured gaps.
	TokenTimeoutInitial time.Duration
	TokenTimeoutMin     time.Duration
	TokenTimeoutMax     time.Duration
	// ProbeAcceptTimeout bounds the wait for an engine to accept a probe.
	ProbeAcceptTimeout time.Duration
	// ProbeTokenTimeoutMin and ProbeTokenTimeoutMax limit the wait for a token after
	// the engine accepted a probe. The engine is alive and holds the attempt then,
	// so waiting longer is cheaper than a second generation.
	ProbeTokenTimeoutMin time.Duration
	ProbeTokenTimeoutMax time.Duration
	// ProbeFirstTokenTimeout is the same wait for a generation that has no token
	// yet.
	ProbeFirstTokenTimeout time.Duration
	// BackoffMin and BackoffMax limit the jittered exponential backoff between
	// attempts that gave no token. The first retry is immediate.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// ExclusionTime is how long an upstream that failed this generation is
	// excluded from placement.
	ExclusionTime time.Duration
	// PlacementTimeout bounds the wait for an upstream while none can be chosen. It
	// also bounds the time for which an attempt whose delivered text is not known
	// is resumed without progress.
	PlacementTimeout time.Duration
	// MaxStartsWithoutToken bounds the attempts in a row that gave no token; once a
	// token was received, twice as many are allowed. MaxShortAttempts bounds all
	// attempts that gave fewer than progressTokens tokens. Attempts that gave more
	// are not bounded, because a generation of many minutes may outlive many
	// engines.
	MaxStartsWithoutToken int
	MaxShortAttempts      int
	// MaxHeldBytes bounds the memory in bytes of the delivered text and the backlog
	// of a stalled caller together, for engines that cannot resume.
	MaxHeldBytes int
	// PriorityNew and PriorityRecovery are the priorities sent to the engine for
	// new requests and for continuations; a lower value runs first.
	PriorityNew      int
	PriorityRecovery int
}

// withDefaults sets zero fields to their defaults. With the defaults, detection,
// probe, placement and prefill take at most 4 s: 1 s TokenTimeoutMax + 1.5 s
// ProbeTokenTimeoutMax + 1 s PrefillTimeout. After the loss of an engine that
// stops responding at 29 ms between tokens they take 0.2 s TokenTimeoutMin + 0.3 s
// ProbeAcceptTimeout + the prefill, which is below the 1 s that the resume latency
// may take at p95.
func (o Options) withDefaults() Options {
	duration := func(d *time.Duration, def time.Duration) {
		if *d == 0 {
			*d = def
		}
	}
	number := func(n *int, def int) {
		if *n == 0 {
			*n = def
		}
	}
	duration(&o.AcceptTimeout, 800*time.Millisecond)
	duration(&o.PrefillTimeout, time.Second)
	duration(&o.PrefillTimeoutPerByte, 5*time.Microsecond)
	duration(&o.TokenTimeoutInitial, 500*time.Millisecond)
	duration(&o.TokenTimeoutMin, 200*time.Millisecond)
	duration(&o.TokenTimeoutMax, time.Second)
	duration(&o.ProbeAcceptTimeout, 300*time.Millisecond)
	duration(&o.ProbeTokenTimeoutMin, 600*time.Millisecond)
	duration(&o.ProbeTokenTimeoutMax, 1500*time.Millisecond)
	duration(&o.ProbeFirstTokenTimeout, 5*time.Second)
	duration(&o.BackoffMin, 50*time.Millisecond)
	duration(&o.BackoffMax, time.Second)
	duration(&o.ExclusionTime, 5*time.Second)
	duration(&o.PlacementTimeout, 3*time.Second)
	number(&o.MaxStartsWithoutToken, 4)
	number(&o.MaxShortAttempts, 8)
	number(&o.MaxHeldBytes, 24<<10)
	number(&o.PriorityNew, 10)
	return o
}

// daemonPauseThreshold is how late a Tick may be. A later one means that the daemon
// itself was paused. After such a pause all streams look silent, and moving them all
// would load the engines with second generations.
const daemonPauseThreshold = 250 * time.Millisecond

// phase is the phase of the current attempt at its engine.
type phase int

const (
	queued  phase = iota // the engine has not accepted Start
	prefill              // accepted, no token received
	decode               // tokens are received
)

// status is what the state machine waits for.
type status int

const (
	placing    status = iota // for Placed, NoUpstream or NoBudget
	backoff                  // for backoffUntil
	running                  // for an event of the engine
	suspended                // for the caller to read; no connection is open, no placement is pending
	completing               // for the caller to read the backlog; the engine has sent the whole answer
	ended
)

// Stats are the counters of one generation.
type Stats struct {
	// Starts counts attempts, Resumes new connections to a running attempt and
	// Moves attempts that were given up.
	Starts, Resumes, Moves int
	// FalseAlarms counts probes that were closed because the older connection
	// made progress first.
	FalseAlarms int
	// Pauses counts late ticks that were taken for pauses of the daemon.
	Pauses int
	// StaleTokens counts tokens that were dropped because they came from an older
	// attempt or a closed connection, or were repeated. Some of them were computed
	// twice.
	StaleTokens int
	// PrefixTokens counts delivered tokens that continuations had to read again.
	PrefixTokens int
}

// Generation is the state machine of one generation. It is not safe for concurrent
// use.
type Generation struct {
	o   Options
	r   Request
	rnd *rand.Rand

	status  status
	phase   phase
	attempt int
	// version is the version of the current attempt. It never changes once a
	// token was received.
	version  string
	upstream string
	// started is set while the current attempt may run at its engine.
	started bool
	// mayHaveRun counts the attempts that an engine may have run.
	mayHaveRun int
	// startsWithoutToken counts the attempts in a row, and resumesWithoutToken the
	// resumed connections in a row, that gave no token.
	startsWithoutToken  int
	resumesWithoutToken int
	backoffs            int // backoffs in a row, see startBackoff
	// shortAttempts counts the attempts that gave fewer than progressTokens tokens,
	// attemptTokens the tokens that the current attempt gave.
	shortAttempts, attemptTokens int

	lastConn    int
	conn, probe int // numbers of the open connections, 0 for none
	// onStartConn is set while conn is the connection of Start.
	onStartConn     bool
	probeOpened     bool      // the engine accepted the probe
	lastProgress    time.Time // start of the current silence
	silenceDeadline time.Time // ends the wait before silenceTimeout does; zero if unset
	probeUntil      time.Time // the probe has failed if it is silent until then
	lateTickExcused bool      // a late Tick was excused since the last token or start
	gaps            tokenGaps

	backoffUntil       time.Time
	resumeAfterBackoff bool      // resume at backoffUntil instead of placing
	noUpstreamSince    time.Time // first NoUpstream since the last Placed, or zero
	exclusions         map[string]exclusion
	leaving            map[string]bool // upstreams in StateLeaving

	nextIndex int // index of the next token expected from the engine
	// text is the text delivered by this daemon and before it, if textKnown is set.
	text         tokenlog.Text
	textKnown    bool
	stalled      bool
	backlog      tokenlog.Log
	delivered    int
	finishReason string
	stats        Stats
}

// exclusion keeps an upstream out of placement.
type exclusion struct {
	until time.Time
	// mandatory is set when the exclusion holds even if no other upstream is left.
	mandatory bool
}

// New returns the state machine of a generation and its first actions. rnd supplies
// the jitter of the backoff.
func New(now time.Time, r Request, o Options, rnd *rand.Rand) (*Generation, []Action) {
	g := &Generation{o: o.withDefaults(), r: r, rnd: rnd, textKnown: true, lastProgress: now, exclusions: map[string]exclusion{}, leaving: map[string]bool{}}
	a := r.Adopt
	if a == nil {
		return g, g.place(now, nil)
	}
	g.attempt, g.upstream, g.version = a.Attempt, a.Upstream, a.Version
	g.nextIndex, g.delivered = a.Delivered, a.Delivered
	g.textKnown = a.HaveText || a.Delivered == 0
	g.text.Append(a.Text)
	g.started, g.mayHaveRun = true, 1
	g.status, g.phase = running, decode
	if a.Delivered == 0 {
		g.phase = prefill
	}
	if !r.Resumes {
		return g, g.move(now, nil)
	}
	return g, g.startProbe(now, nil)
}

// Step applies an event and returns the actions to carry out, in order.
func (g *Generation) Step(now time.Time, ev Event) []Action {
	if t, ok := ev.(Token); ok && !g.isCurrent(t.Attempt, t.Conn) {
		g.stats.StaleTokens++
		return nil
	}
	if g.status == ended {
		return nil
	}
	switch ev := ev.(type) {
	case Placed:
		return g.onPlaced(now, ev)
	case NoUpstream:
		return g.onNoUpstream(now, ev)
	case NoBudget:
		if g.status == placing && ev.Attempt == g.attempt {
			return g.fail(nil, CodeRetryBudget, 503, ev.RetryAfter)
		}
	case Opened:
		return g.onOpened(now, ev)
	case Token:
		return g.onToken(now, ev)
	case Finished:
		return g.onFinished(ev)
	case Broken:
		return g.onBroken(now, ev)
	case Refused:
		return g.onRefused(now, ev)
	case UnknownGeneration:
		if g.isCurrent(ev.Attempt, ev.Conn) {
			return g.move(now, nil)
		}
	case UpstreamState:
		return g.onUpstreamState(now, ev)
	case CallerStalled:
		return g.onCallerStalled()
	case CallerReading:
		return g.onCallerReading(now, ev)
	case CallerGone:
		return g.onCallerGone()
	case HandOver:
		out := g.closeConns(nil)
		if !g.r.Resumes || !g.r.Cursors {
			out = g.cancel(out)
		}
		g.status = ended
		return out
	case Tick:
		return g.onTick(now)
	}
	return nil
}

// NextTimer returns when Tick is due next; false means that no timer is needed.
func (g *Generation) NextTimer() (time.Time, bool) {
	if g.status == ended {
		return time.Time{}, false
	}
	at := g.r.Deadline
	if t := g.waitEnd(); !t.IsZero() && (at.IsZero() || t.Before(at)) {
		at = t
	}
	return at, !at.IsZero()
}

// waitEnd returns when the current wait ends, or the zero time if it has no limit.
func (g *Generation) waitEnd() time.Time {
	switch {
	case g.status == backoff:
		return g.backoffUntil
	case g.status == running && g.probe != 0:
		return g.probeUntil
	case g.status == running:
		at := g.lastProgress.Add(g.silenceTimeout())
		if !g.silenceDeadline.IsZero() && g.silenceDeadline.Before(at) {
			at = g.silenceDeadline
		}
		return at
	}
	return time.Time{}
}

// Stats returns the counters of the generation.
func (g *Generation) Stats() Stats { return g.stats }

// Delivered returns the number of tokens delivered to the caller.
func (g *Generation) Delivered() int { return g.delivered }

// Text returns the delivered text. It lacks what was delivered before an adoption
// without text.
func (g *Generation) Text() string { return g.text.String() }

// Attempt returns the number of the current attempt with its upstream and version.
func (g *Generation) Attempt() (attempt int, upstream, version string) {
	return g.attempt, g.upstream, g.version
}

// Running reports whether the current attempt may run at its engine. Only then is a
// cursor that names it useful.
func (g *Generation) Running() bool { return g.started }

// Stalled reports whether the generation waits for CallerReading.
func (g *Generation) Stalled() bool { return g.stalled }

// BacklogSize returns the memory in bytes that is held for a stalled caller.
func (g *Generation) BacklogSize() int { return g.backlog.Size() }

// DeliveredTextSize returns the memory in bytes that holds the delivered text for
// continuations.
func (g *Generation) DeliveredTextSize() int { return g.text.Size() }

// isCurrent reports whether a connection is in use. Events of older attempts and of
// closed connections are dropped.
func (g *Generation) isCurrent(attempt, conn int) bool {
	return g.status == running && attempt == g.attempt && conn != 0 && (conn == g.conn || conn == g.probe)
}

// Outcome reports whether an engine may have run the request.
func (g *Generation) Outcome() Outcome {
	if g.mayHaveRun > 0 {
		return OutcomeMayHaveRun
	}
	return OutcomeNotRun
}

// place begins a new attempt by asking for an upstream.
func (g *Generation) place(now time.Time, out []Action) []Action {
	g.attempt++
	g.started = false
	g.status = placing
	version := g.version
	if g.nextIndex == 0 {
		// No token was received, so any version may run the request: the callers
		// of a version whose replicas all fail must not fail with it.
		version = ""
	}
	return append(out, Place{
		Attempt: g.attempt, Version: version, Exclude: g.excluded(now),
		Recovery: g.nextIndex > 0, Retry: g.nextIndex == 0 && g.stats.Starts > 0,
	})
}

// excluded returns the sorted names of the upstreams that Place must not choose.
func (g *Generation) excluded(now time.Time) []string {
	var names []string
	for name, x := range g.exclusions {
		if x.until.After(now) {
			names = append(names, name)
		}
	}
	for name := range g.leaving {
		names = append(names, name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// exclude keeps an upstream out of placement until a time. It does not replace a
// mandatory exclusion in force by one that is not, nor one of the same kind that ends
// later.
func (g *Generation) exclude(now time.Time, name string, until time.Time, mandatory bool) {
	x := g.exclusions[name]
	if x.until.After(now) && (x.mandatory && !mandatory || x.mandatory == mandatory && x.until.After(until)) {
		return
	}
	g.exclusions[name] = exclusion{until, mandatory}
}

func (g *Generation) onPlaced(now time.Time, ev Placed) []Action {
	if g.status != placing || ev.Attempt != g.attempt {
		return nil
	}
	if g.nextIndex > 0 && ev.Version != g.version {
		// Another version must not continue an answer after tokens of it were received.
		return g.onNoUpstream(now, NoUpstream{Attempt: ev.Attempt, VersionGone: true})
	}
	g.version, g.upstream = ev.Version, ev.Upstream
	g.started = true
	g.mayHaveRun++
	g.noUpstreamSince, g.backoffs = time.Time{}, 0
	g.status, g.phase = running, queued
	g.lastProgress, g.silenceDeadline, g.lateTickExcused = now, time.Time{}, false
	g.gaps = tokenGaps{}
	g.stats.Starts++
	g.startsWithoutToken++
	g.shortAttempts++
	g.attemptTokens, g.resumesWithoutToken = 0, 0
	g.lastConn++
	g.conn, g.probe, g.onStartConn = g.lastConn, 0, true
	priority := g.o.PriorityNew
	if g.nextIndex > 0 {
		priority = g.o.PriorityRecovery
		g.stats.PrefixTokens += g.nextIndex
	}
	return []Action{Start{
		Attempt: g.attempt, Conn: g.conn, Upstream: g.upstream, Version: g.version,
		Prefix: g.text.String(), PrefixTokens: g.nextIndex, Priority: priority,
	}}
}

func (g *Generation) onNoUpstream(now time.Time, ev NoUpstream) []Action {
	if g.status != placing || ev.Attempt != g.attempt {
		return nil
	}
	if g.noUpstreamSince.IsZero() {
		g.noUpstreamSince = now
	}
	if now.Sub(g.noUpstreamSince) >= g.o.PlacementTimeout {
		code := CodeNoUpstream
		if ev.VersionGone && g.nextIndex > 0 {
			code = CodeVersionGone
		}
		return g.fail(nil, code, 503, max(ev.RetryAfter, time.Second))
	}
	// A replica that failed earlier may work again, and is better than none.
	for name, x := range g.exclusions {
		if !x.mandatory {
			delete(g.exclusions, name)
		}
	}
	g.backoffs++
	return g.startBackoff(now, g.backoffs, nil)
}

// startBackoff waits for a jittered exponential backoff before the next placement or
// resume. n counts the waits in a row from 1.
func (g *Generation) startBackoff(now time.Time, n int, out []Action) []Action {
	d := g.o.BackoffMax
	if n <= 16 {
		d = min(d, g.o.BackoffMin<<(n-1))
	}
	g.status = backoff
	g.backoffUntil = now.Add(d/2 + time.Duration(g.rnd.Int64N(int64(d/2)+1)))
	return out
}

func (g *Generation) onOpened(now time.Time, ev Opened) []Action {
	if !g.isCurrent(ev.Attempt, ev.Conn) {
		return nil
	}
	if ev.Conn == g.probe {
		if !g.probeOpened {
			g.probeOpened = true
			g.probeUntil = now.Add(g.probeTokenTimeout())
		}
		return nil
	}
	if g.phase != queued {
		return nil
	}
	g.phase, g.lastProgress, g.silenceDeadline = prefill, now, time.Time{}
	return g.closeProbe(nil)
}

// closeProbe closes the probe after the older connection made progress first.
func (g *Generation) closeProbe(out []Action) []Action {
	if g.probe == 0 {
		return out
	}
	g.stats.FalseAlarms++
	out = append(out, CloseConn{g.attempt, g.probe})
	g.probe = 0
	return out
}

func (g *Generation) onToken(now time.Time, ev Token) []Action {
	if ev.Index != g.nextIndex {
		if ev.Index < g.nextIndex && (ev.Conn == g.probe || !g.onStartConn) {
			// A resumed connection may repeat tokens of its attempt.
			g.stats.StaleTokens++
			return nil
		}
		// After a gap in the indexes, or when a continuation ignores its prefix,
		// the rest of this attempt does not continue the tokens received so far.
		return g.move(now, nil)
	}
	var out []Action
	if ev.Conn == g.probe {
		if g.conn != 0 {
			out = append(out, CloseConn{g.attempt, g.conn})
		}
		g.conn, g.probe, g.onStartConn = g.probe, 0, false
	} else {
		out = g.closeProbe(out)
		if g.phase == decode {
			g.gaps.add(now.Sub(g.lastProgress))
		}
	}
	g.phase, g.lastProgress, g.silenceDeadline, g.lateTickExcused = decode, now, time.Time{}, false
	g.startsWithoutToken, g.resumesWithoutToken, g.backoffs = 0, 0, 0
	g.nextIndex++
	if g.attemptTokens++; g.attemptTokens == progressTokens {
		g.shortAttempts--
	}
	if g.stalled {
		g.backlog.Append(ev.Text)
		if g.backlog.Size()+g.text.Size() > g.o.MaxHeldBytes {
			out = g.cancel(g.closeConns(out))
			g.status = suspended
		}
		return out
	}
	return g.deliver(out, ev.Text)
}

func (g *Generation) deliver(out []Action, text string) []Action {
	out = append(out, Deliver{Attempt: g.attempt, Index: g.delivered, Text: text})
	g.delivered++
	if g.textKnown {
		g.text.Append(text)
	}
	return out
}

func (g *Generation) onFinished(ev Finished) []Action {
	if !g.isCurrent(ev.Attempt, ev.Conn) {
		return nil
	}
	g.started = false
	return g.finish(g.closeConns(nil), ev.Reason)
}

// finish completes the answer once the backlog is delivered.
func (g *Generation) finish(out []Action, reason string) []Action {
	if g.backlog.Len() > 0 {
		g.status, g.finishReason = completing, reason
		return out
	}
	g.status = ended
	return append(out, Complete{Reason: reason})
}

func (g *Generation) onBroken(now time.Time, ev Broken) []Action {
	if !g.isCurrent(ev.Attempt, ev.Conn) {
		return nil
	}
	if ev.Conn == g.conn {
		if ev.NotRun && g.onStartConn && g.phase == queued {
			g.recordNotRun()
			return g.move(now, nil)
		}
		g.conn = 0
		if g.probe != 0 {
			return nil
		}
		if !g.r.Resumes {
			return g.move(now, nil)
		}
		return g.startProbe(now, nil)
	}
	opened := g.probeOpened
	g.probe = 0
	switch {
	case g.conn == 0 && opened && g.resumesWithoutToken < maxResumesWithoutToken:
		return g.startProbe(now, nil)
	case ev.NotRun:
		// No connection could be made, so the engine is gone.
		return g.move(now, nil)
	}
	return g.onEngineLost(now)
}

// maxResumesWithoutToken bounds the resumed connections in a row that gave no token.
const maxResumesWithoutToken = 2

// progressTokens is the number of tokens from which an attempt counts as progress,
// about a second of output.
const progressTokens = 32

// recordNotRun records that the engine never began the current attempt.
func (g *Generation) recordNotRun() {
	g.mayHaveRun--
	g.started = false
}

func (g *Generation) onRefused(now time.Time, ev Refused) []Action {
	if !g.isCurrent(ev.Attempt, ev.Conn) {
		return nil
	}
	if ev.Conn == g.conn && g.onStartConn && g.phase == queued && ev.NotRun {
		g.recordNotRun()
	}
	switch ev.Status {
	case 400, 413, 422:
		if ev.Conn == g.conn && g.nextIndex == 0 {
			return g.fail(g.closeConns(nil), CodeRefused, ev.Status, 0)
		}
	case 429, 503:
		// An overloaded engine is not asked again at once, not even when no other
		// is left, because retries would add to its load.
		g.exclude(now, g.upstream, now.Add(max(ev.RetryAfter, time.Second)), true)
		if ev.Conn == g.probe {
			return g.onEngineLost(now)
		}
	}
	return g.move(now, nil)
}

// startProbe resumes the attempt on a new connection. The old connection stays open
// until the new one gives a token, because it may only be slow.
func (g *Generation) startProbe(now time.Time, out []Action) []Action {
	g.lastConn++
	g.probe, g.probeOpened = g.lastConn, false
	g.probeUntil = now.Add(g.o.ProbeAcceptTimeout)
	g.resumesWithoutToken++
	g.stats.Resumes++
	return append(out, Resume{Attempt: g.attempt, Conn: g.probe, Upstream: g.upstream, After: g.nextIndex})
}

// onEngineLost gives up an engine that is silent or overloaded. Without the
// delivered text another engine cannot continue the answer, so the attempt is
// resumed again until PlacementTimeout has passed without progress.
func (g *Generation) onEngineLost(now time.Time) []Action {
	if g.textKnown || now.Sub(g.lastProgress) >= g.o.PlacementTimeout {
		return g.move(now, nil)
	}
	g.resumeAfterBackoff = true
	g.backoffs++
	return g.startBackoff(now, g.backoffs, g.closeConns(nil))
}

// move gives up the current attempt and begins another one, at another upstream if
// there is one.
func (g *Generation) move(now time.Time, out []Action) []Action {
	out = g.cancel(g.closeConns(out))
	g.stats.Moves++
	g.exclude(now, g.upstream, now.Add(g.o.ExclusionTime), false)
	switch {
	case g.r.MaxTokens > 0 && g.nextIndex >= g.r.MaxTokens:
		return g.finish(out, "length")
	case !g.textKnown:
		return g.fail(out, CodeGenerationLost, 410, 0)
	case g.stalled:
		g.status = suspended
		return out
	}
	maxStarts := g.o.MaxStartsWithoutToken
	if g.nextIndex > 0 {
		maxStarts *= 2
	}
	switch {
	case g.startsWithoutToken >= maxStarts || g.shortAttempts >= g.o.MaxShortAttempts:
		return g.fail(out, CodeRetries, 503, time.Second)
	case g.startsWithoutToken <= 1:
		return g.place(now, out)
	}
	return g.startBackoff(now, g.startsWithoutToken-1, out)
}

// cancel cancels the current attempt at its engine unless the engine is known not to
// run it.
func (g *Generation) cancel(out []Action) []Action {
	if g.started {
		out = append(out, CancelAttempt{g.attempt, g.upstream})
		g.started = false
	}
	return out
}

func (g *Generation) closeConns(out []Action) []Action {
	for _, c := range []int{g.conn, g.probe} {
		if c != 0 {
			out = append(out, CloseConn{g.attempt, c})
		}
	}
	g.conn, g.probe = 0, 0
	return out
}

func (g *Generation) fail(out []Action, code string, status int, retryAfter time.Duration) []Action {
	out = g.cancel(g.closeConns(out))
	g.status = ended
	return append(out, Fail{Outcome: g.Outcome(), Code: code, Status: status, RetryAfter: retryAfter})
}

func (g *Generation) onUpstreamState(now time.Time, ev UpstreamState) []Action {
	switch ev.State {
	case StateAlive:
		delete(g.leaving, ev.Upstream)
		if !g.exclusions[ev.Upstream].mandatory {
			delete(g.exclusions, ev.Upstream)
		}
	case StateLeaving:
		g.leaving[ev.Upstream] = true
	case StateDead:
		g.exclude(now, ev.Upstream, now.Add(g.o.ExclusionTime), false)
		if g.status != running || ev.Upstream != g.upstream || g.probe != 0 {
			return nil
		}
		if g.r.Resumes {
			return g.startProbe(now, nil)
		}
		// The report may be older than this attempt. If so, a token arrives soon
		// and clears the earlier deadline.
		g.silenceDeadline = now.Add(g.o.TokenTimeoutMin)
	}
	return nil
}

func (g *Generation) onCallerStalled() []Action {
	if g.stalled {
		return nil
	}
	g.stalled = true
	g.text.Compress()
	switch {
	case g.status == placing || g.status == backoff:
		g.status, g.resumeAfterBackoff = suspended, false
	case g.status == running && g.r.Resumes:
		// The engine goes on generating and keeps the tokens; a resume reads them.
		out := g.closeConns(nil)
		g.status = suspended
		return out
	}
	return nil
}

func (g *Generation) onCallerReading(now time.Time, ev CallerReading) []Action {
	if !g.stalled {
		return nil
	}
	var out []Action
	for room := ev.Room; g.backlog.Len() > 0 && g.backlog.FirstLen() <= room; {
		text, _ := g.backlog.Shift()
		room -= len(text)
		out = g.deliver(out, text)
	}
	if g.backlog.Len() > 0 {
		return out
	}
	g.stalled = false
	switch g.status {
	case completing:
		return g.finish(out, g.finishReason)
	case suspended:
		if !g.started {
			return g.place(now, out)
		}
		g.status, g.lastProgress, g.lateTickExcused = running, now, false
		return g.startProbe(now, out)
	}
	return out
}

func (g *Generation) onCallerGone() []Action {
	out := g.closeConns(nil)
	if g.started && g.r.Resumes && g.r.Cursors && g.delivered > 0 {
		// The caller has a cursor and may reconnect to any daemon.
		g.started = false
		out = append(out, Abandon{g.attempt, g.upstream})
	}
	out = g.cancel(out)
	g.status = ended
	return out
}

func (g *Generation) onTick(now time.Time) []Action {
	if !g.r.Deadline.IsZero() && !now.Before(g.r.Deadline) {
		return g.fail(nil, CodeDeadline, 504, 0)
	}
	due := g.waitEnd()
	if due.IsZero() || now.Before(due) {
		return nil
	}
	if g.status == backoff {
		if g.resumeAfterBackoff {
			g.resumeAfterBackoff, g.status = false, running
			return g.startProbe(now, nil)
		}
		return g.place(now, nil)
	}
	if now.Sub(due) > daemonPauseThreshold && !g.lateTickExcused {
		g.lateTickExcused = true
		g.stats.Pauses++
		g.lastProgress, g.silenceDeadline = now, time.Time{}
		if g.probe != 0 {
			g.probeUntil = now.Add(g.o.ProbeAcceptTimeout)
			if g.probeOpened {
				g.probeUntil = now.Add(g.probeTokenTimeout())
			}
		}
		return nil
	}
	if g.probe != 0 || !g.r.Resumes {
		return g.onEngineLost(now)
	}
	return g.startProbe(now, nil)
}

// silenceTimeout returns how long the current connection may be silent. It is longer
// for engines that cannot resume, because a second generation is the only remedy
// there.
func (g *Generation) silenceTimeout() time.Duration {
	var d, extra time.Duration
	switch g.phase {
	case queued:
		d, extra = g.o.AcceptTimeout, g.o.ProbeFirstTokenTimeout
		if g.nextIndex > 0 {
			// The caller of a continuation has waited already.
			d, extra = d/2, g.o.ProbeTokenTimeoutMax
		}
	case prefill:
		d = g.o.PrefillTimeout + time.Duration(g.r.PromptBytes+g.text.Len())*g.o.PrefillTimeoutPerByte
		extra = g.o.ProbeTokenTimeoutMin
		if g.nextIndex == 0 {
			extra = g.o.ProbeFirstTokenTimeout
		}
	case decode:
		d = g.gaps.timeout(g.o)
		extra = g.o.ProbeTokenTimeoutMin
	}
	if !g.r.Resumes {
		d += extra
	}
	return d
}

// probeTokenTimeout returns how long a probe may be silent after the engine accepted
// it.
func (g *Generation) probeTokenTimeout() time.Duration {
	if g.phase != decode && g.nextIndex == 0 {
		return g.o.ProbeFirstTokenTimeout
	}
	if g.phase != decode {
		return g.o.ProbeTokenTimeoutMax
	}
	return min(max(3*g.silenceTimeout(), g.o.ProbeTokenTimeoutMin), g.o.ProbeTokenTimeoutMax)
}

// tokenGaps holds the most recent times between tokens of one attempt.
type tokenGaps struct {
	ring [32]time.Duration
	n    int
}

// minGaps is the number of measured gaps from which the timeout is derived from them,
// and gapFactor is the ratio of the timeout to the longest recent gap. The longest
// gap is used because engines that send several tokens at a time have a mean gap far
// below it.
const (
	minGaps   = 8
	gapFactor = 3
)

func (g *tokenGaps) add(d time.Duration) {
	g.ring[g.n%len(g.ring)] = d
	g.n++
}

// timeout returns how long the wait for the next token may last.
func (g *tokenGaps) timeout(o Options) time.Duration {
	if g.n < minGaps {
		return o.TokenTimeoutInitial
	}
	return min(max(gapFactor*slices.Max(g.ring[:]), o.TokenTimeoutMin), o.TokenTimeoutMax)
}
