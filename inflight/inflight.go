package inflight

import "time"

// Shares of an upstream's memory; see the package comment. The rest, 0.2 M, is
// slack: at least the excess of B/4 = 0.15 M.
const (
	BudgetShare = 0.6
	FloorShare  = 0.2
)

// MaxReportAge is the age after which a load report no longer allows growth.
// Reports are polled about twice a second, so this is several lost ones.
const MaxReportAge = 3 * time.Second

// MaxReportLag is how far a report may lag behind what it describes. Own work
// sent within this time before a report arrived counts as not reported yet.
const MaxReportLag = 2 * time.Second

// Report is a load report as it arrived.
type Report struct {
	// HeldBytes and MemoryBytes are the upstream's own figures.
	HeldBytes   int64
	MemoryBytes int64
}

// Limiter belongs to one upstream and one goroutine.
type Limiter struct {
	daemons int
	memory  int64
	held    int64 // own bytes in flight

	report   Report
	reported time.Time // arrival of the last report; zero if none
	// base is the least that this daemon held during MaxReportLag before the
	// last report arrived: growth counts from there, because the report may
	// describe any moment in between.
	base int64
	// history holds own in-flight bytes at past changes, oldest first.
	history []sample
}

type sample struct {
	at   time.Time
	held int64
}

// New returns a limiter for an upstream with the given memory in bytes; 0 means
// unknown until the first report.
func New(memoryBytes int64) *Limiter {
	return &Limiter{daemons: 1, memory: memoryBytes}
}

// SetDaemons sets how many live daemons send work to the upstream.
func (l *Limiter) SetDaemons(n int) { l.daemons = max(n, 1) }

// Observe takes a load report that arrived now.
func (l *Limiter) Observe(now time.Time, r Report) {
	l.trim(now)
	l.report = r
	l.reported = now
	if r.MemoryBytes > 0 {
		l.memory = r.MemoryBytes
	}
	l.base = l.held
	for _, s := range l.history {
		l.base = min(l.base, s.held)
	}
}

// Limit returns how many bytes this daemon may hold in flight. The second
// result is false when the memory is unknown, so that no limit applies.
func (l *Limiter) Limit(now time.Time) (int64, bool) {
	if l.memory <= 0 {
		return 0, false
	}
	n := int64(l.daemons)
	floor := int64(FloorShare*float64(l.memory)) / n
	if l.reported.IsZero() || now.Sub(l.reported) > MaxReportAge {
		return max(floor, l.base), true
	}
	growth := max(int64(BudgetShare*float64(l.memory))-l.report.HeldBytes, 0) / n
	return max(floor, l.base+growth), true
}

// Fits reports whether the limit allows a request that will hold the given
// bytes.
func (l *Limiter) Fits(now time.Time, bytes int64) bool {
	limit, known := l.Limit(now)
	return !known || l.held+bytes <= limit || l.fitsAlone(now, bytes)
}

// Acquire adds a request that will hold the given bytes. It returns false, and
// changes nothing, when the limit does not allow it.
func (l *Limiter) Acquire(now time.Time, bytes int64) bool {
	if !l.Fits(now, bytes) {
		return false
	}
	l.Add(now, bytes)
	return true
}

// Add counts a request without asking the limit, for one that runs already or
// that the caller has checked.
func (l *Limiter) Add(now time.Time, bytes int64) {
	l.record(now)
	l.held += bytes
}

// soloDaemons is how many daemons may start a large request on the same report
// before the budget is used up.
const soloDaemons = 2

// fitsAlone allows one request that is larger than this daemon's part when the
// daemon holds nothing and a fresh report shows room for soloDaemons of them.
// Without it no daemon could ever run such a request. It is the one exception
// from the package's bound: more than soloDaemons daemons that start one on the
// same report use the slack.
func (l *Limiter) fitsAlone(now time.Time, bytes int64) bool {
	return l.held == 0 && !l.reported.IsZero() && now.Sub(l.reported) <= MaxReportAge &&
		l.report.HeldBytes+bytes*int64(min(l.daemons, soloDaemons)) <= int64(BudgetShare*float64(l.memory))
}

// Release returns the bytes of a finished request.
func (l *Limiter) Release(now time.Time, bytes int64) {
	l.record(now)
	l.held = max(l.held-bytes, 0)
	// Freed bytes of a stale upstream are not given out again above the floor,
	// because others may have grown into them.
	if now.Sub(l.reported) > MaxReportAge {
		l.base = min(l.base, l.held)
	}
}

// Held returns the bytes in flight.
func (l *Limiter) Held() int64 { return l.held }

// historySpacing bounds the history to MaxReportLag / historySpacing samples.
const historySpacing = 50 * time.Millisecond

func (l *Limiter) record(now time.Time) {
	if n := len(l.history); n > 0 && now.Sub(l.history[n-1].at) < historySpacing {
		l.history[n-1].held = min(l.history[n-1].held, l.held)
		return
	}
	l.trim(now)
	l.history = append(l.history, sample{at: now, held: l.held})
}

func (l *Limiter) trim(now time.Time) {
	i := 0
	for i < len(l.history) && now.Sub(l.history[i].at) > MaxReportLag {
		i++
	}
	l.history = append(l.history[:0], l.history[i:]...)
}
