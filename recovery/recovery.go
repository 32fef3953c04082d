package recovery

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gooseberryroad/gooseberryroad/tokenlog"
)

// Request describes one generation.
type Request struct {
	// Resumes is the capability of the service's engines.
	Resumes bool
	// Cursors is set when the caller gets cursors, so that it may reconnect.
	Cursors bool
	// MaxTokens bounds the whole answer; 0 means no bound.
	MaxTokens int
	// PromptBytes is the length of the prompt; long prompts get a longer time
	// to the first token before an engine counts as silent.
	PromptBytes int
	// Deadline ends the generation.
	Deadline time.Time
	// Adopt is set when the generation began at another daemon.
	Adopt *Adoption
}

// Adopt describes a running generation that a caller brings along.
type Adoption struct {
	Attempt  int
	Upstream string
	Version  string
	// Delivered is the number of tokens that the caller holds.
	Delivered int
	// Text is the text of these tokens. Without HaveText the generation
	// cannot continue at another engine.
	Text     string
	HaveText bool
}

// Options are the bounds of recovery. Zero fields take their defaults.
type Options struct {
	// QueuedSilence bounds the wait for an engine to accept Start before it is
	// probed; continuations wait half of it.
	AcceptTimeout time.Duration
	// PrefillSilence and PrefillPerByte of prompt and prefix bound the wait
	// for the first token of an attempt before the engine is probed.
	PrefillTimeout        time.Duration
	PrefillTimeoutPerByte time.Duration
	// DecodeFirst is the bound between tokens until enough gaps are known;
	// DecodeMin and DecodeMax limit the bound that follows the stream's rate.
	TokenTimeoutInitial time.Duration
	TokenTimeoutMin     time.Duration
	TokenTimeoutMax     time.Duration
	// ProbeOpen bounds the wait for the engine to accept Resume.
	ProbeAcceptTimeout time.Duration
	// ProbeSilenceMin and ProbeSilenceMax bound the wait for a token after the
	// engine accepted Resume: it lives and holds the generation, so more
	// patience is cheaper than a second generation.
	ProbeTokenTimeoutMin time.Duration
	ProbeTokenTimeoutMax time.Duration
	// QueuePatience is the same for requests of which nothing was delivered.
	ProbeFirstTokenTimeout time.Duration
	// BackoffMin and BackoffMax bound the jittered wait between attempts
	// without progress; the first retry is immediate.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// ExcludeFor is how long an upstream that failed this generation is
	// avoided.
	ExclusionTime time.Duration
	// PlaceWait bounds the wait for any upstream.
	PlacementTimeout time.Duration
	// FruitlessStarts bounds attempts in a row that gave no token, ShortStarts
	// all attempts that gave few. Attempts that made progress are not bounded:
	// a generation of many minutes may outlive many engines.
	MaxStartsWithoutToken int
	MaxShortAttempts      int
	// HeldLimit bounds the backlog of a stalled caller of an engine that does
	// not resume, together with the delivered text, in bytes of memory.
	MaxHeldBytes int
	// PriorityNew and PriorityRecovery are engine priorities; lower runs
	// first.
	PriorityNew      int
	PriorityRecovery int
}

// The defaults fit detection, probe, re-dispatch and prefill in 4 s at worst:
// 1 s DecodeMax + 1.5 s ProbeSilenceMax + 1 s PrefillSilence. For an engine
// that vanishes at 29 ms between tokens they give 0.2 s + 0.3 s + prefill,
// below the 1 s that resume latency may take at p95.
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

// lateTick is how late a Tick may come before the machine takes the delay for
// a pause of the daemon itself. After such a pause all streams look silent,
// and moving them all would load the engines with second generations.
const lateTick = 250 * time.Millisecond

// phase is what the engine does for the current attempt.
type phase int

const (
	queued phase = iota
	prefill
	decode
)

// status is what the machine waits for.
type status int

const (
	placing  status = iota // for Placed
	backoff                // for placeAt
	running                // for the engine
	parked                 // for the caller to read, no attempt or connection open
	draining               // for the caller to read, the answer is complete
	ended
)

// Stats counts what recovery did.
type Stats struct {
	Starts, Resumes, Moves int
	// FalseAlarms are probes that the probed connection outran.
	FalseAlarms int
	// Pauses are late ticks taken for pauses of the daemon.
	Pauses int
	// StaleTokens are tokens dropped since they came from an older attempt or
	// connection, or were repeated: work that was computed again.
	StaleTokens int
	// PrefixTokens are delivered tokens that a continuation read again.
	PrefixTokens int
}

// Generation is the state machine of one generation.
type Generation struct {
	o   Options
	r   Request
	rnd *rand.Rand

	status  status
	phase   phase
	attempt int
	// version is the version of the current attempt; once a token was
	// delivered it never changes.
	version  string
	upstream string
	// started is set while the current attempt may run at its engine.
	started bool
	// maybeRun counts attempts that are not known to have been refused unrun.
	maybeRun int
	// fruitless counts attempts in a row, and resumes connections in a row,
	// that gave no token.
	fruitless int
	resumes   int
	waits     int
	// short counts attempts that gave fewer than shortTokens, tokens those
	// that the current attempt gave.
	short, tokens int

	lastConn    int
	conn, probe int // 0: none
	// fresh is set while conn is the connection of Start.
	fresh       bool
	probeOpened bool
	heard       time.Time // last sign of progress
	limit       time.Time // earlier bound of the silence, or zero
	probeUntil  time.Time
	forgiven    bool
	gaps        gaps

	placeAt   time.Time
	reattach  bool // resume at placeAt instead of placing
	waitSince time.Time
	exclude   map[string]exclusion
	leaving   map[string]bool

	next int // index of the next token from the engine
	// text is what was delivered, here and before, if it is known.
	text      tokenlog.Text
	known     bool
	stalled   bool
	backlog   tokenlog.Log
	delivered int
	reason    string
	stats     Stats
}

type exclusion struct {
	until time.Time
	// firm exclusions hold even when no other upstream is left.
	firm bool
}

// New returns a machine and its first actions.
func New(now time.Time, r Request, o Options, rnd *rand.Rand) (*Generation, []Action) {
	g := &Generation{o: o.withDefaults(), r: r, rnd: rnd, known: true, heard: now, exclude: map[string]exclusion{}, leaving: map[string]bool{}}
	a := r.Adopt
	if a == nil {
		return g, g.place(now, nil)
	}
	g.attempt, g.upstream, g.version = a.Attempt, a.Upstream, a.Version
	g.next, g.delivered = a.Delivered, a.Delivered
	g.known = a.HaveText || a.Delivered == 0
	g.text.Append(a.Text)
	g.started, g.maybeRun = true, 1
	g.status, g.phase = running, decode
	if a.Delivered == 0 {
		g.phase = prefill
	}
	if !r.Resumes {
		return g, g.move(now, nil)
	}
	return g, g.startProbe(now, nil)
}

// Step applies an event.
func (g *Generation) Step(now time.Time, ev Event) []Action {
	if t, ok := ev.(Token); ok && !g.current(t.Attempt, t.Conn) {
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
		if g.current(ev.Attempt, ev.Conn) {
			return g.move(now, nil)
		}
	case UpstreamState:
		return g.onUpstream(now, ev)
	case CallerStalled:
		return g.onStalled()
	case CallerReading:
		return g.onReading(now, ev)
	case CallerGone:
		return g.onGone()
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

// NextTimer returns when Tick is wanted next.
func (g *Generation) NextTimer() (time.Time, bool) {
	if g.status == ended {
		return time.Time{}, false
	}
	at := g.r.Deadline
	if t := g.due(); !t.IsZero() && (at.IsZero() || t.Before(at)) {
		at = t
	}
	return at, !at.IsZero()
}

// due returns when the current wait ends, or zero.
func (g *Generation) due() time.Time {
	switch {
	case g.status == backoff:
		return g.placeAt
	case g.status == running && g.probe != 0:
		return g.probeUntil
	case g.status == running:
		at := g.heard.Add(g.patience())
		if !g.limit.IsZero() && g.limit.Before(at) {
			at = g.limit
		}
		return at
	}
	return time.Time{}
}

// Stats returns the counters of the generation.
func (g *Generation) Stats() Stats { return g.stats }

// Delivered returns the number of tokens delivered to the caller.
func (g *Generation) Delivered() int { return g.delivered }

// Text returns the delivered text, as far as it is known here.
func (g *Generation) Text() string { return g.text.String() }

// Attempt returns the current attempt with its upstream and version.
func (g *Generation) Attempt() (attempt int, upstream, version string) {
	return g.attempt, g.upstream, g.version
}

// Running tells whether the current attempt may run at its engine, so that a
// cursor to it is of use.
func (g *Generation) Running() bool { return g.started }

// Stalled tells whether the machine waits for CallerReading.
func (g *Generation) Stalled() bool { return g.stalled }

// BacklogSize returns the bytes held for a stalled caller.
func (g *Generation) BacklogSize() int { return g.backlog.Size() }

// LogSize returns the bytes of delivered text held for continuations.
func (g *Generation) DeliveredTextSize() int { return g.text.Size() }

// current tells whether an event comes from a connection in use. Events of
// older attempts and of closed connections are dropped by it.
func (g *Generation) current(attempt, conn int) bool {
	return g.status == running && attempt == g.attempt && conn != 0 && (conn == g.conn || conn == g.probe)
}

// Outcome tells whether an engine may have run the request.
func (g *Generation) Outcome() Outcome {
	if g.maybeRun > 0 {
		return OutcomeMayHaveRun
	}
	return OutcomeNotRun
}

// place asks for an upstream for a new attempt.
func (g *Generation) place(now time.Time, out []Action) []Action {
	g.attempt++
	g.started = false
	g.status = placing
	version := g.version
	if g.next == 0 {
		// Nothing was delivered, so any version may run the request: a
		// version whose replicas all fail must not fail its callers.
		version = ""
	}
	return append(out, Place{
		Attempt: g.attempt, Version: version, Exclude: g.excluded(now),
		Recovery: g.next > 0, Retry: g.next == 0 && g.stats.Starts > 0,
	})
}

func (g *Generation) excluded(now time.Time) []string {
	var names []string
	for name, x := range g.exclude {
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

func (g *Generation) avoid(now time.Time, name string, until time.Time, firm bool) {
	x := g.exclude[name]
	if x.until.After(now) && (x.firm && !firm || x.firm == firm && x.until.After(until)) {
		return
	}
	g.exclude[name] = exclusion{until, firm}
}

func (g *Generation) onPlaced(now time.Time, ev Placed) []Action {
	if g.status != placing || ev.Attempt != g.attempt {
		return nil
	}
	if g.next > 0 && ev.Version != g.version {
		// Another version must not continue an answer that was begun.
		return g.onNoUpstream(now, NoUpstream{Attempt: ev.Attempt, VersionGone: true})
	}
	g.version, g.upstream = ev.Version, ev.Upstream
	g.started = true
	g.maybeRun++
	g.waitSince, g.waits = time.Time{}, 0
	g.status, g.phase = running, queued
	g.heard, g.limit, g.forgiven = now, time.Time{}, false
	g.gaps = gaps{}
	g.stats.Starts++
	g.fruitless++
	g.short++
	g.tokens, g.resumes = 0, 0
	g.lastConn++
	g.conn, g.probe, g.fresh = g.lastConn, 0, true
	priority := g.o.PriorityNew
	if g.next > 0 {
		priority = g.o.PriorityRecovery
		g.stats.PrefixTokens += g.next
	}
	return []Action{Start{
		Attempt: g.attempt, Conn: g.conn, Upstream: g.upstream, Version: g.version,
		Prefix: g.text.String(), PrefixTokens: g.next, Priority: priority,
	}}
}

func (g *Generation) onNoUpstream(now time.Time, ev NoUpstream) []Action {
	if g.status != placing || ev.Attempt != g.attempt {
		return nil
	}
	if g.waitSince.IsZero() {
		g.waitSince = now
	}
	if now.Sub(g.waitSince) >= g.o.PlacementTimeout {
		code := CodeNoUpstream
		if ev.VersionGone && g.next > 0 {
			code = CodeVersionGone
		}
		return g.fail(nil, code, 503, max(ev.RetryAfter, time.Second))
	}
	// A replica that failed before may be back, and is better than none.
	for name, x := range g.exclude {
		if !x.firm {
			delete(g.exclude, name)
		}
	}
	g.waits++
	return g.wait(now, g.waits, nil)
}

// wait schedules the next placement after a jittered exponential backoff.
func (g *Generation) wait(now time.Time, n int, out []Action) []Action {
	d := g.o.BackoffMax
	if n <= 16 {
		d = min(d, g.o.BackoffMin<<(n-1))
	}
	g.status = backoff
	g.placeAt = now.Add(d/2 + time.Duration(g.rnd.Int64N(int64(d/2)+1)))
	return out
}

func (g *Generation) onOpened(now time.Time, ev Opened) []Action {
	if !g.current(ev.Attempt, ev.Conn) {
		return nil
	}
	if ev.Conn == g.probe {
		if !g.probeOpened {
			g.probeOpened = true
			g.probeUntil = now.Add(g.probePatience())
		}
		return nil
	}
	if g.phase != queued {
		return nil
	}
	g.phase, g.heard, g.limit = prefill, now, time.Time{}
	return g.dropProbe(nil)
}

// dropProbe closes the probe after the older connection spoke first.
func (g *Generation) dropProbe(out []Action) []Action {
	if g.probe == 0 {
		return out
	}
	g.stats.FalseAlarms++
	out = append(out, CloseConn{g.attempt, g.probe})
	g.probe = 0
	return out
}

func (g *Generation) onToken(now time.Time, ev Token) []Action {
	if ev.Index != g.next {
		if ev.Index < g.next && (ev.Conn == g.probe || !g.fresh) {
			// A resumed connection may repeat tokens of the same attempt.
			g.stats.StaleTokens++
			return nil
		}
		// After a gap, or a continuation that ignores its prefix, the rest of
		// this attempt does not fit what was delivered.
		return g.move(now, nil)
	}
	var out []Action
	if ev.Conn == g.probe {
		if g.conn != 0 {
			out = append(out, CloseConn{g.attempt, g.conn})
		}
		g.conn, g.probe, g.fresh = g.probe, 0, false
	} else {
		out = g.dropProbe(out)
		if g.phase == decode {
			g.gaps.add(now.Sub(g.heard))
		}
	}
	g.phase, g.heard, g.limit, g.forgiven = decode, now, time.Time{}, false
	g.fruitless, g.resumes, g.waits = 0, 0, 0
	g.next++
	if g.tokens++; g.tokens == shortTokens {
		g.short--
	}
	if g.stalled {
		g.backlog.Append(ev.Text)
		if g.backlog.Size()+g.text.Size() > g.o.MaxHeldBytes {
			out = g.cancel(g.closeConns(out))
			g.status = parked
		}
		return out
	}
	return g.deliver(out, ev.Text)
}

func (g *Generation) deliver(out []Action, text string) []Action {
	out = append(out, Deliver{Attempt: g.attempt, Index: g.delivered, Text: text})
	g.delivered++
	if g.known {
		g.text.Append(text)
	}
	return out
}

func (g *Generation) onFinished(ev Finished) []Action {
	if !g.current(ev.Attempt, ev.Conn) {
		return nil
	}
	g.started = false
	return g.finish(g.closeConns(nil), ev.Reason)
}

// finish completes the answer once the caller has all of it.
func (g *Generation) finish(out []Action, reason string) []Action {
	if g.backlog.Len() > 0 {
		g.status, g.reason = draining, reason
		return out
	}
	g.status = ended
	return append(out, Complete{Reason: reason})
}

func (g *Generation) onBroken(now time.Time, ev Broken) []Action {
	if !g.current(ev.Attempt, ev.Conn) {
		return nil
	}
	if ev.Conn == g.conn {
		if ev.NotRun && g.fresh && g.phase == queued {
			g.notRun()
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
	case g.conn == 0 && opened && g.resumes < maxResumes:
		return g.startProbe(now, nil)
	case ev.NotRun:
		// No connection was made: the engine is gone.
		return g.move(now, nil)
	}
	return g.lose(now)
}

// maxResumes bounds resumed connections in a row that gave no token.
const maxResumes = 2

// shortTokens is the number of tokens from which an attempt counts as progress,
// about a second of output.
const shortTokens = 32

// notRun records that the engine never began the current attempt.
func (g *Generation) notRun() {
	g.maybeRun--
	g.started = false
}

func (g *Generation) onRefused(now time.Time, ev Refused) []Action {
	if !g.current(ev.Attempt, ev.Conn) {
		return nil
	}
	if ev.Conn == g.conn && g.fresh && g.phase == queued && ev.NotRun {
		g.notRun()
	}
	switch ev.Status {
	case 400, 413, 422:
		if ev.Conn == g.conn && g.next == 0 {
			return g.fail(g.closeConns(nil), CodeRefused, ev.Status, 0)
		}
	case 429, 503:
		// An overloaded engine is not asked again at once, not even when no
		// other is left: retries there would add to the overload.
		g.avoid(now, g.upstream, now.Add(max(ev.RetryAfter, time.Second)), true)
		if ev.Conn == g.probe {
			return g.lose(now)
		}
	}
	return g.move(now, nil)
}

// startProbe resumes the attempt on a new connection and keeps the old one
// until the new one speaks: it may only be slow.
func (g *Generation) startProbe(now time.Time, out []Action) []Action {
	g.lastConn++
	g.probe, g.probeOpened = g.lastConn, false
	g.probeUntil = now.Add(g.o.ProbeAcceptTimeout)
	g.resumes++
	g.stats.Resumes++
	return append(out, Resume{Attempt: g.attempt, Conn: g.probe, Upstream: g.upstream, After: g.next})
}

// lose gives up an engine that is silent or overloaded. Without the delivered
// text the attempt cannot be replaced, so it is resumed again for a while.
func (g *Generation) lose(now time.Time) []Action {
	if g.known || now.Sub(g.heard) >= g.o.PlacementTimeout {
		return g.move(now, nil)
	}
	g.reattach = true
	g.waits++
	return g.wait(now, g.waits, g.closeConns(nil))
}

// move gives up the current attempt and begins another one elsewhere.
func (g *Generation) move(now time.Time, out []Action) []Action {
	out = g.cancel(g.closeConns(out))
	g.stats.Moves++
	g.avoid(now, g.upstream, now.Add(g.o.ExclusionTime), false)
	switch {
	case g.r.MaxTokens > 0 && g.next >= g.r.MaxTokens:
		return g.finish(out, "length")
	case !g.known:
		return g.fail(out, CodeGenerationLost, 410, 0)
	case g.stalled:
		g.status = parked
		return out
	}
	fruitless := g.o.MaxStartsWithoutToken
	if g.next > 0 {
		fruitless *= 2
	}
	switch {
	case g.fruitless >= fruitless || g.short >= g.o.MaxShortAttempts:
		return g.fail(out, CodeRetries, 503, time.Second)
	case g.fruitless <= 1:
		return g.place(now, out)
	}
	return g.wait(now, g.fruitless-1, out)
}

// cancel cancels the current attempt unless the engine is known not to run it.
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

func (g *Generation) onUpstream(now time.Time, ev UpstreamState) []Action {
	switch ev.State {
	case StateAlive:
		delete(g.leaving, ev.Upstream)
		if !g.exclude[ev.Upstream].firm {
			delete(g.exclude, ev.Upstream)
		}
	case StateLeaving:
		g.leaving[ev.Upstream] = true
	case StateDead:
		g.avoid(now, ev.Upstream, now.Add(g.o.ExclusionTime), false)
		if g.status != running || ev.Upstream != g.upstream || g.probe != 0 {
			return nil
		}
		if g.r.Resumes {
			return g.startProbe(now, nil)
		}
		// The report may be older than this attempt: a token soon proves it
		// wrong.
		g.limit = now.Add(g.o.TokenTimeoutMin)
	}
	return nil
}

func (g *Generation) onStalled() []Action {
	if g.stalled {
		return nil
	}
	g.stalled = true
	g.text.Compress()
	switch {
	case g.status == placing || g.status == backoff:
		g.status, g.reattach = parked, false
	case g.status == running && g.r.Resumes:
		// The engine goes on into its own log.
		out := g.closeConns(nil)
		g.status = parked
		return out
	}
	return nil
}

func (g *Generation) onReading(now time.Time, ev CallerReading) []Action {
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
	case draining:
		return g.finish(out, g.reason)
	case parked:
		if !g.started {
			return g.place(now, out)
		}
		g.status, g.heard, g.forgiven = running, now, false
		return g.startProbe(now, out)
	}
	return out
}

func (g *Generation) onGone() []Action {
	out := g.closeConns(nil)
	if g.started && g.r.Resumes && g.r.Cursors && g.delivered > 0 {
		// The caller holds a cursor and may reconnect to any daemon.
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
	due := g.due()
	if due.IsZero() || now.Before(due) {
		return nil
	}
	if g.status == backoff {
		if g.reattach {
			g.reattach, g.status = false, running
			return g.startProbe(now, nil)
		}
		return g.place(now, nil)
	}
	if now.Sub(due) > lateTick && !g.forgiven {
		g.forgiven = true
		g.stats.Pauses++
		g.heard, g.limit = now, time.Time{}
		if g.probe != 0 {
			g.probeUntil = now.Add(g.o.ProbeAcceptTimeout)
			if g.probeOpened {
				g.probeUntil = now.Add(g.probePatience())
			}
		}
		return nil
	}
	if g.probe != 0 || !g.r.Resumes {
		return g.lose(now)
	}
	return g.startProbe(now, nil)
}

// patience is how long the current connection may be silent. Without resume
// the only remedy is a second generation, so it is longer then.
func (g *Generation) patience() time.Duration {
	var d, extra time.Duration
	switch g.phase {
	case queued:
		d, extra = g.o.AcceptTimeout, g.o.ProbeFirstTokenTimeout
		if g.next > 0 {
			// The caller of a continuation has waited before.
			d, extra = d/2, g.o.ProbeTokenTimeoutMax
		}
	case prefill:
		d = g.o.PrefillTimeout + time.Duration(g.r.PromptBytes+g.text.Len())*g.o.PrefillTimeoutPerByte
		extra = g.o.ProbeTokenTimeoutMin
		if g.next == 0 {
			extra = g.o.ProbeFirstTokenTimeout
		}
	case decode:
		d = g.gaps.bound(g.o)
		extra = g.o.ProbeTokenTimeoutMin
	}
	if !g.r.Resumes {
		d += extra
	}
	return d
}

// probePatience is how long a probe may be silent after the engine accepted
// it.
func (g *Generation) probePatience() time.Duration {
	if g.phase != decode && g.next == 0 {
		return g.o.ProbeFirstTokenTimeout
	}
	if g.phase != decode {
		return g.o.ProbeTokenTimeoutMax
	}
	return min(max(3*g.patience(), g.o.ProbeTokenTimeoutMin), g.o.ProbeTokenTimeoutMax)
}

// gaps holds the recent times between tokens of one attempt.
type gaps struct {
	ring [32]time.Duration
	n    int
}

// minGaps is the number of gaps from which the rate counts as known, and
// gapFactor is how much longer than the longest recent gap a silence must be.
// The longest gap is used since engines that send several tokens at a time
// have a mean far below it.
const (
	minGaps   = 8
	gapFactor = 3
)

func (g *gaps) add(d time.Duration) {
	g.ring[g.n%len(g.ring)] = d
	g.n++
}

func (g *gaps) bound(o Options) time.Duration {
	if g.n < minGaps {
		return o.TokenTimeoutInitial
	}
	return min(max(gapFactor*slices.Max(g.ring[:]), o.TokenTimeoutMin), o.TokenTimeoutMax)
}
