package failover

import "time"

// Options are the timeouts and limits of a stream.
type Options struct {
	// FirstEventProbeDelay is the silence before the first event of a run after
	// which the upstream is probed: it is asked whether it runs the stream.
	// Reading a long prompt takes about a second.
	FirstEventProbeDelay time.Duration
	// GapProbeDelay is the silence between events after which the upstream is probed.
	GapProbeDelay time.Duration
	// ProbeTimeout is how long the upstream may take to answer a probe.
	ProbeTimeout time.Duration
	// ProbeInterval is the time from the answer to a probe until the next probe.
	ProbeInterval time.Duration
	// FirstEventTimeout is the silence before the first event of a run after which
	// the stream is moved, whatever the upstream answers, while another run may
	// still be in time.
	FirstEventTimeout time.Duration
	// GapTimeout is the silence between events after which the stream is moved,
	// whatever the upstream answers.
	GapTimeout time.Duration
	// StandstillTimeout is how long an upstream that accepts connections and answers nothing
	// keeps its stream.
	StandstillTimeout time.Duration
	// MaxReportAge is the maximum age of an upstream's report. A run whose first
	// event is younger than that may be missing from the report.
	MaxReportAge time.Duration
	// MaxRuns is the maximum number of runs of the stream, each at one upstream.
	MaxRuns int
	// Resumable allows the stream to run more than once.
	Resumable bool
}

// DefaultOptions returns options for engines that produce an event every 30 to 200 ms.
func DefaultOptions() Options {
	return Options{
		FirstEventProbeDelay: 1200 * time.Millisecond,
		GapProbeDelay:        220 * time.Millisecond, // above the pause that an engine makes between events to read one long prompt
		ProbeTimeout:         150 * time.Millisecond,
		ProbeInterval:        300 * time.Millisecond,
		FirstEventTimeout:    8 * time.Second,
		GapTimeout:           3 * time.Second,
		StandstillTimeout:    time.Second, // a healthy engine may stand still for about that long
		MaxReportAge:         800 * time.Millisecond,
		MaxRuns:              5,
	}
}

// Verdict is the answer to a probe.
type Verdict int

const (
	// VerdictUnreachable means that no new connection to the upstream could be opened, or
	// that it ended without an answer.
	VerdictUnreachable Verdict = iota
	// VerdictUnknown means that the answer does not show whether the upstream runs
	// the stream.
	VerdictUnknown
	// VerdictHolds means that the upstream lists the stream among its runs.
	VerdictHolds
	// VerdictLacks means that the upstream lists all its runs and the stream is not
	// among them. An upstream lists a stream from its first event on.
	VerdictLacks
	// VerdictIdle means that the upstream runs nothing and nothing waits there.
	VerdictIdle
	// VerdictSilent means that the upstream accepted a new connection and did not answer in
	// time. Its process may stand still for a moment, and has not noticed then that a connection
	// was closed: a run there ends only when it goes on.
	VerdictSilent
)

// Step is what the owner of a Stream does next.
type Step int

const (
	// StepWait means to wait for the next event until NextTick.
	StepWait Step = iota
	// StepProbe means to probe the upstream and to report the verdict with Probed.
	StepProbe
	// StepRestore means to close the attempt and to continue at the upstream that
	// holds a copy of the stream's KV cache.
	StepRestore
	// StepRestart means to close the attempt and to continue at any other upstream,
	// which reads the prompt again.
	StepRestart
	// StepGiveUp means to close the attempt because the stream cannot continue.
	StepGiveUp
)

// String returns the name used in logs.
func (v Verdict) String() string {
	return [...]string{"unreachable", "unknown", "holds", "lacks", "idle", "silent"}[v]
}

// String returns the name used in logs.
func (s Step) String() string {
	return [...]string{"wait", "probe", "restore", "restart", "give_up"}[s]
}

// Stream is the failover state of one stream. A run is one attempt to produce the
// stream at one upstream. Stream is not safe for concurrent use.
type Stream struct {
	o Options
	// runs counts the runs that an upstream may have begun.
	runs           int
	events         int
	firstEventSeen bool
	hasCopy        bool
	// firstEventAt is when the current run's first event was delivered.
	firstEventAt time.Time
	lastActivity time.Time
	// probeDue is when the next probe is due.
	probeDue      time.Time
	probeInFlight bool
	// firstEventInterval is the time between probes before the run's first event; 0 is that
	// of the options.
	firstEventInterval time.Duration
	// missing counts the probes in a row that showed events which have not arrived.
	missing int
	// silentSince is when the upstream may have begun to stand still; zero if it does not.
	silentSince time.Time
}

// New returns the state of a stream that was not sent to an upstream yet.
func New(o Options) *Stream { return &Stream{o: o} }

// Sent records that the stream was sent to an upstream. copied is set when another
// upstream receives a copy of the run's KV cache.
func (s *Stream) Sent(now time.Time, copied bool) {
	s.runs++
	s.hasCopy = copied
	s.firstEventSeen = false
	s.probeInFlight, s.missing, s.silentSince = false, 0, time.Time{}
	s.lastActivity = now
	s.probeDue = now.Add(s.o.FirstEventProbeDelay)
	s.firstEventInterval = 0
}

const (
	// maxFirstProbeDelay bounds the time until the first probe of a run that is expected to
	// wait: an upstream that was lost without a sign is found by probes only.
	maxFirstProbeDelay = 2 * time.Second
	// maxFirstEventInterval bounds the time between the probes of such a run.
	maxFirstEventInterval = time.Second
)

// Expected records the time in which the first event of the run that was just sent is expected.
// A run that waits behind others needs fewer probes: in an overload those of all waiting runs are
// most of the load queries.
func (s *Stream) Expected(firstEvent time.Duration) {
	if firstEvent <= s.o.FirstEventProbeDelay {
		return
	}
	s.probeDue = s.lastActivity.Add(min(firstEvent, max(maxFirstProbeDelay, s.o.FirstEventProbeDelay)))
	s.firstEventInterval = min(max(firstEvent/4, s.o.ProbeInterval), max(maxFirstEventInterval, s.o.ProbeInterval))
}

// probeInterval returns the time until the next probe.
func (s *Stream) probeInterval() time.Duration {
	if !s.firstEventSeen && s.firstEventInterval > 0 {
		return s.firstEventInterval
	}
	return s.o.ProbeInterval
}

// Delivered records an event of the current run.
func (s *Stream) Delivered(now time.Time) {
	s.events++
	if !s.firstEventSeen {
		s.firstEventSeen, s.firstEventAt = true, now
	}
	s.lastActivity = now
	s.probeInFlight, s.missing, s.silentSince = false, 0, time.Time{}
	s.probeDue = now.Add(s.o.GapProbeDelay)
}

// Events returns the number of events delivered in all runs.
func (s *Stream) Events() int { return s.events }

// Lost returns how to continue after the current run was lost. A run without events
// has no copy yet, because its KV cache is copied from the first event on.
func (s *Stream) Lost() Step {
	if !s.o.Resumable || s.runs >= s.o.MaxRuns {
		return StepGiveUp
	}
	if s.hasCopy && s.firstEventSeen {
		return StepRestore
	}
	return StepRestart
}

// reservedRuns is how many of its last runs a stream keeps for upstreams that did not
// fail recently. A crashed engine can use up a run within a millisecond, while a full
// engine soon has capacity again.
const reservedRuns = 2

// FewRunsLeft reports whether the stream was sent before and has at most reservedRuns
// runs left. It is better then to wait for capacity than to try an upstream that failed
// recently.
func (s *Stream) FewRunsLeft() bool { return s.runs > 0 && s.runs+reservedRuns >= s.o.MaxRuns }

// recentlyFailedDelay is how long after its last activity a stream waits for an
// upstream that did not fail recently before it tries one that did. Crashed engines work
// again after one to a few seconds.
const recentlyFailedDelay = time.Second

// MayTryRecentlyFailed reports whether a stream that lost an upstream may try another
// one that failed recently.
func (s *Stream) MayTryRecentlyFailed(now time.Time) bool {
	return now.Sub(s.lastActivity) >= recentlyFailedDelay
}

// NotRun records that the upstream refused the run, so that the run does not count. A
// refused restore means that there was no copy: the next run reads the prompt again.
func (s *Stream) NotRun() {
	s.runs--
	s.hasCopy = false
}

// SetCopied records whether a copy of the current run's KV cache exists.
func (s *Stream) SetCopied(copied bool) { s.hasCopy = copied }

// Tick returns the step that the current silence requires.
func (s *Stream) Tick(now time.Time) Step {
	silence := now.Sub(s.lastActivity)
	limit := s.o.FirstEventTimeout
	if s.firstEventSeen {
		limit = s.o.GapTimeout
	}
	if silence >= limit && s.o.Resumable && s.runs < s.o.MaxRuns {
		return s.Lost()
	}
	if !s.probeInFlight && !now.Before(s.probeDue) && s.o.Resumable {
		s.probeInFlight = true
		return StepProbe
	}
	return StepWait
}

// Probed records the verdict of a probe and returns the next step.
func (s *Stream) Probed(v Verdict, now time.Time) Step {
	if !s.probeInFlight {
		// An event arrived after the probe was sent.
		return StepWait
	}
	s.probeInFlight, s.missing = false, 0
	if v == VerdictSilent {
		return s.probedSilent(now)
	}
	s.silentSince = time.Time{}
	listed := s.firstEventSeen && now.Sub(s.firstEventAt) >= s.o.MaxReportAge
	gone := v == VerdictUnreachable || v == VerdictIdle || v == VerdictLacks && listed
	if gone && s.runs < s.o.MaxRuns {
		return s.Lost()
	}
	s.probeDue = now.Add(s.probeInterval())
	return StepWait
}

// probedSilent records that the upstream stands still. The last probe ends with
// StandstillTimeout.
func (s *Stream) probedSilent(now time.Time) Step {
	if s.silentSince.IsZero() {
		s.silentSince = now.Add(-s.o.ProbeTimeout)
		if s.firstEventSeen {
			s.silentSince = s.lastActivity
		}
	}
	if now.Sub(s.silentSince) >= s.o.StandstillTimeout && s.runs < s.o.MaxRuns {
		return s.Lost()
	}
	s.probeDue = now.Add(s.o.ProbeInterval)
	if last := s.silentSince.Add(s.o.StandstillTimeout - s.o.ProbeTimeout); last.Before(s.probeDue) {
		s.probeDue = last
	}
	return StepWait
}

// missingProbes is the number of probes in a row after which a connection counts as dead,
// although the upstream can be reached over others: it has made events that do not arrive.
// An upstream's report is some hundred milliseconds old, and a slow network delivers what is
// missing between two probes.
const missingProbes = 3

// ProbedMissing records that the upstream runs the stream and has made events of it that
// have not arrived, and returns the next step.
func (s *Stream) ProbedMissing(now time.Time) Step {
	if !s.probeInFlight {
		// An event arrived after the probe was sent.
		return StepWait
	}
	s.probeInFlight, s.silentSince = false, time.Time{}
	s.missing++
	if s.missing >= missingProbes && s.runs < s.o.MaxRuns {
		return s.Lost()
	}
	s.probeDue = now.Add(s.o.ProbeInterval)
	return StepWait
}

// Silent reports whether the current run has sent nothing for so long that its upstream is
// probed.
func (s *Stream) Silent(now time.Time) bool {
	delay := s.o.FirstEventProbeDelay
	if s.firstEventSeen {
		delay = s.o.GapProbeDelay
	}
	return now.Sub(s.lastActivity) >= delay
}

// NextTick returns when Tick is due next.
func (s *Stream) NextTick() time.Time {
	limit := s.o.FirstEventTimeout
	if s.firstEventSeen {
		limit = s.o.GapTimeout
	}
	next := s.lastActivity.Add(limit)
	if !s.probeInFlight && s.probeDue.Before(next) {
		next = s.probeDue
	}
	return next
}
