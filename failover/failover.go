package failover

import "time"

// Options sets the patience of a stream.
type Options struct {
	// FirstEventProbe is the silence before the first event after which the
	// upstream is asked whether it runs the stream. Reading a long prompt takes
	// about a second.
	FirstEventProbeDelay time.Duration
	// GapProbe is the silence between events after which the upstream is asked.
	GapProbeDelay time.Duration
	// ProbeTimeout is how long the upstream may take to answer the question.
	ProbeTimeout time.Duration
	// ProbeEvery is the pause between two questions to an upstream that answers.
	ProbeInterval time.Duration
	// MaxFirstEvent is the silence before the first event after which the stream
	// is moved, whatever the upstream says, while it may still be in time.
	FirstEventTimeout time.Duration
	// MaxGap is the silence between events after which the stream is moved,
	// whatever the upstream says.
	GapTimeout time.Duration
	// ReportLag is the age that a report may have. A run that made its first event
	// later may be missing in it.
	MaxReportAge time.Duration
	// MaxRuns is the number of upstreams that the stream may run on.
	MaxRuns int
	// Resumable streams may run on more than one upstream.
	Resumable bool
}

// DefaultOptions suit engines that make an event every 30 to 200 ms.
func DefaultOptions() Options {
	return Options{
		FirstEventProbeDelay: 1200 * time.Millisecond,
		GapProbeDelay:        220 * time.Millisecond, // above the pause that the reading of one long prompt adds
		ProbeTimeout:         150 * time.Millisecond,
		ProbeInterval:        300 * time.Millisecond,
		FirstEventTimeout:    8 * time.Second,
		GapTimeout:           3 * time.Second,
		MaxReportAge:         800 * time.Millisecond,
		MaxRuns:              5,
	}
}

// Verdict is the answer to a probe.
type Verdict int

const (
	// Unreachable upstreams did not answer in time.
	Unreachable Verdict = iota
	// Unknown answers do not tell whether the stream is there.
	Unknown
	// Holds answers list the stream.
	Holds
	// Lacks answers list everything the upstream runs, without the stream. A
	// stream is listed from its first event on.
	Lacks
	// Idle upstreams run nothing and have nothing waiting.
	Idle
)

// Step is what the owner does next.
type Step int

const (
	// Wait for the next event, until Wake.
	Wait Step = iota
	// Probe the upstream and report the verdict.
	Probe
	// Restore closes the attempt and goes on at the upstream that holds a copy.
	Restore
	// Restart closes the attempt and goes on at any other upstream, which reads
	// the prompt again.
	Restart
	// GiveUp closes the attempt; the stream cannot go on.
	GiveUp
)

// String returns the name used in logs.
func (v Verdict) String() string {
	return [...]string{"unreachable", "unknown", "holds", "lacks", "idle"}[v]
}

// String returns the name used in logs.
func (s Step) String() string {
	return [...]string{"wait", "probe", "restore", "restart", "give_up"}[s]
}

// Stream is the state of one stream.
type Stream struct {
	o Options
	// runs counts the upstreams that may have run the stream.
	runs    int
	events  int
	started bool
	copied  bool
	// firstAt is when the current run's first event was delivered.
	firstAt  time.Time
	lastSign time.Time
	// probeDue is when the next probe is due.
	probeDue time.Time
	probing  bool
}

// New returns the state of a stream that was not sent yet.
func New(o Options) *Stream { return &Stream{o: o} }

// Sent notes that the stream was sent to an upstream; copied says that another
// upstream receives a copy of its memory.
func (s *Stream) Sent(now time.Time, copied bool) {
	s.runs++
	s.copied = copied
	s.started = false
	s.probing = false
	s.lastSign = now
	s.probeDue = now.Add(s.o.FirstEventProbeDelay)
}

// Delivered notes an event of the current run.
func (s *Stream) Delivered(now time.Time) {
	s.events++
	if !s.started {
		s.started, s.firstAt = true, now
	}
	s.lastSign = now
	s.probing = false
	s.probeDue = now.Add(s.o.GapProbeDelay)
}

// Events is the number of events delivered over all runs.
func (s *Stream) Events() int { return s.events }

// Lost notes that the run broke off, and says how to go on. A run without
// events has no copy yet: its memory is copied from the first event on.
func (s *Stream) Lost() Step {
	if !s.o.Resumable || s.runs >= s.o.MaxRuns {
		return GiveUp
	}
	if s.copied && s.started {
		return Restore
	}
	return Restart
}

// sparedRuns is how many of its last runs a stream spends on sound upstreams
// only. A crashed engine can use up a run within a millisecond, while one that is
// full has a place soon.
const sparedRuns = 2

// Careful reports whether the stream has few runs left after it lost some, so
// that it is better to wait for a place than to try an upstream that failed
// lately.
func (s *Stream) FewRunsLeft() bool { return s.runs > 0 && s.runs+sparedRuns >= s.o.MaxRuns }

// riskPause is how long a stream waits for a sound upstream before it tries one
// that failed lately. Crashed engines are back after one to a few seconds.
const riskPause = time.Second

// MayRisk reports whether a stream that lost an upstream may try another one that
// failed lately.
func (s *Stream) MayTryRecentlyFailed(now time.Time) bool { return now.Sub(s.lastSign) >= riskPause }

// NotRun notes that the upstream refused the run, so that it does not count.
// A refused restore had no copy: the stream is read again elsewhere.
func (s *Stream) NotRun() {
	s.runs--
	s.copied = false
}

// SetCopied notes that the current run gained or lost its copy.
func (s *Stream) SetCopied(copied bool) { s.copied = copied }

// Tick says what silence asks for.
func (s *Stream) Tick(now time.Time) Step {
	silence := now.Sub(s.lastSign)
	limit := s.o.FirstEventTimeout
	if s.started {
		limit = s.o.GapTimeout
	}
	if silence >= limit && s.o.Resumable && s.runs < s.o.MaxRuns {
		return s.Lost()
	}
	if !s.probing && !now.Before(s.probeDue) && s.o.Resumable {
		s.probing = true
		return Probe
	}
	return Wait
}

// Probed notes the verdict of a probe.
func (s *Stream) Probed(v Verdict, now time.Time) Step {
	if !s.probing {
		// An event arrived meanwhile.
		return Wait
	}
	s.probing = false
	listed := s.started && now.Sub(s.firstAt) >= s.o.MaxReportAge
	gone := v == Unreachable || v == Idle || v == Lacks && listed
	if gone && s.runs < s.o.MaxRuns {
		return s.Lost()
	}
	s.probeDue = now.Add(s.o.ProbeInterval)
	return Wait
}

// Wake is when Tick is due next.
func (s *Stream) NextTick() time.Time {
	limit := s.o.FirstEventTimeout
	if s.started {
		limit = s.o.GapTimeout
	}
	wake := s.lastSign.Add(limit)
	if !s.probing && s.probeDue.Before(wake) {
		wake = s.probeDue
	}
	return wake
}
