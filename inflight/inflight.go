package inflight

import "time"

// BudgetShare and FloorShare are shares of an upstream's memory M; see the package
// comment. The rest, 0.2 M, is slack, which covers the largest excess of
// B/4 = 0.15 M.
const (
	BudgetShare = 0.6
	FloorShare  = 0.2
)

// MaxReportAge is the age after which a load report no longer allows growth.
// Reports are polled about twice a second, so several have been lost by then.
const MaxReportAge = 3 * time.Second

// MaxReportLag is the longest time by which a report may lag behind the state that
// it describes. Requests that this daemon sent within this time before a report
// arrived count as not yet reported.
const MaxReportLag = 2 * time.Second

// Report is a load report of an upstream.
type Report struct {
	// HeldBytes is the memory that requests of all daemons hold and MemoryBytes the
	// memory for such requests, both as the upstream counts them. A MemoryBytes
	// of 0 leaves the known memory unchanged.
	HeldBytes   int64
	MemoryBytes int64
}

// Limiter limits one daemon's bytes in flight at one upstream. It is not safe for
// concurrent use.
type Limiter struct {
	daemons     int
	memoryBytes int64
	heldBytes   int64 // this daemon's bytes in flight

	report     Report
	reportedAt time.Time // arrival of the last report; zero if none
	// baseline is the least that this daemon held during MaxReportLag before the
	// last report arrived. Growth counts from there, because the report may
	// describe any moment in that time.
	baseline int64
	// history holds this daemon's bytes in flight before recent changes, oldest
	// first.
	history []sample
}

type sample struct {
	at        time.Time
	heldBytes int64
}

// New returns a limiter for an upstream with the given memory in bytes; 0 means
// that the memory is unknown until the first report.
func New(memoryBytes int64) *Limiter {
	return &Limiter{daemons: 1, memoryBytes: memoryBytes}
}

// SetDaemons sets how many live daemons send work to the upstream.
func (l *Limiter) SetDaemons(n int) { l.daemons = max(n, 1) }

// Observe applies a load report that arrived now.
func (l *Limiter) Observe(now time.Time, r Report) {
	l.trim(now)
	l.report = r
	l.reportedAt = now
	if r.MemoryBytes > 0 {
		l.memoryBytes = r.MemoryBytes
	}
	l.baseline = l.heldBytes
	for _, s := range l.history {
		l.baseline = min(l.baseline, s.heldBytes)
	}
}

// Limit returns how many bytes this daemon may hold in flight. The second
// result is false when the memory is unknown; then no limit applies.
func (l *Limiter) Limit(now time.Time) (int64, bool) {
	if l.memoryBytes <= 0 {
		return 0, false
	}
	n := int64(l.daemons)
	floor := int64(FloorShare*float64(l.memoryBytes)) / n
	if l.reportedAt.IsZero() || now.Sub(l.reportedAt) > MaxReportAge {
		return max(floor, l.baseline), true
	}
	growth := max(int64(BudgetShare*float64(l.memoryBytes))-l.report.HeldBytes, 0) / n
	return max(floor, l.baseline+growth), true
}

// Fits reports whether the limit allows a request that will hold the given
// bytes, or whether the exception for one large request applies (see fitsAlone).
func (l *Limiter) Fits(now time.Time, bytes int64) bool {
	limit, known := l.Limit(now)
	return !known || l.heldBytes+bytes <= limit || l.fitsAlone(now, bytes)
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

// Add counts a request without checking the limit, for one that already runs or
// that the caller has checked.
func (l *Limiter) Add(now time.Time, bytes int64) {
	l.record(now)
	l.heldBytes += bytes
}

// maxSoloDaemons is how many daemons may each start a large request on the same
// report without exceeding the budget.
const maxSoloDaemons = 2

// fitsAlone allows one request that is larger than this daemon's part when the
// daemon holds nothing and a fresh report shows room for maxSoloDaemons of them.
// Otherwise no daemon could ever run such a request. It is the one exception to
// the package's bound: if more than maxSoloDaemons daemons start one on the same
// report, they use the slack.
func (l *Limiter) fitsAlone(now time.Time, bytes int64) bool {
	return l.heldBytes == 0 && !l.reportedAt.IsZero() && now.Sub(l.reportedAt) <= MaxReportAge &&
		l.report.HeldBytes+bytes*int64(min(l.daemons, maxSoloDaemons)) <= int64(BudgetShare*float64(l.memoryBytes))
}

// Release subtracts the bytes of a finished request.
func (l *Limiter) Release(now time.Time, bytes int64) {
	l.record(now)
	l.heldBytes = max(l.heldBytes-bytes, 0)
	// Without a fresh report, freed bytes above the floor are not used again,
	// because other daemons may have taken them.
	if now.Sub(l.reportedAt) > MaxReportAge {
		l.baseline = min(l.baseline, l.heldBytes)
	}
}

// Held returns the bytes in flight.
func (l *Limiter) Held() int64 { return l.heldBytes }

// historySpacing is the shortest time between two samples. It bounds the history
// to about MaxReportLag/historySpacing samples.
const historySpacing = 50 * time.Millisecond

func (l *Limiter) record(now time.Time) {
	if n := len(l.history); n > 0 && now.Sub(l.history[n-1].at) < historySpacing {
		l.history[n-1].heldBytes = min(l.history[n-1].heldBytes, l.heldBytes)
		return
	}
	l.trim(now)
	l.history = append(l.history, sample{at: now, heldBytes: l.heldBytes})
}

func (l *Limiter) trim(now time.Time) {
	i := 0
	for i < len(l.history) && now.Sub(l.history[i].at) > MaxReportLag {
		i++
	}
	l.history = append(l.history[:0], l.history[i:]...)
}
