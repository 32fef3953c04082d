package usage

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// decideDelay is the time after the end of a window at which it is decided: the counts
	// of its last moments need a message, and requests their answers.
	decideDelay = 1500 * time.Millisecond
	// gatherTime is how long a new holder waits for the counts of the daemons, which learn
	// of it through the directory.
	gatherTime = 2 * time.Second
	// dueMargin is how long before a report is due the holder stops waiting for the last
	// counts: the decision has to be written and the report sent.
	dueMargin = 500 * time.Millisecond
	// minCoverage is the part of the registered daemons whose counts a holder needs for a
	// window that ended before it took over.
	minCoverage = 0.9
	// minHeard is the part of the registered daemons from which a holder must have heard
	// after the end of a window to decide it. Daemons that crashed stay registered for
	// minutes, so it cannot be near 1; a holder that hears less is probably cut off.
	minHeard = 0.5
	// resignDelay is how long after the time of the decision the holder waits for them.
	resignDelay = 1500 * time.Millisecond
	// maxGap bounds the windows that are named as left out after a long break.
	maxGap = 10 * time.Minute
	// maxStored is the number of decided windows that the store keeps.
	maxStored = 6
	// minRetryDelay and maxRetryDelay bound the pause before a report is sent again, which
	// doubles; retryJitter is the part of it by which it varies.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	retryJitter   = 0.3
	// rejectedDelay is the pause before a report is sent again that the control service
	// does not accept; other windows go first.
	rejectedDelay = 2 * time.Second
	// maxProcesses, maxWindows and maxAccounts bound what is kept of the messages, so that
	// a faulty daemon cannot fill the memory. They are several times what the largest
	// planned deployment has: 350 daemons, 13 windows and 1,400 accounts.
	maxProcesses = 2000
	maxWindows   = 64
	maxAccounts  = 10_000
)

// Stored is what the store keeps of the reports.
type Stored struct {
	// Newest is the newest window that was decided or left out. An older window that is
	// not in Windows is done.
	Newest  Window            `json:"newest"`
	Windows map[Window]Counts `json:"windows"`
}

// Tenure says since when a daemon is the holder.
type Tenure struct {
	Since time.Time
	// EraRoseAt is when the store was last restored from an older copy; zero is never.
	EraRoseAt time.Time
	// Lonely says that the daemon resigned lately because it did not hear from the others,
	// and holds the duty again: no other one hears more.
	Lonely bool
}

// Proposal is a decision that takes effect once Stored is written.
type Proposal struct {
	Stored Stored
	// Decided and LeftOut are the windows that the proposal adds.
	Decided, LeftOut []Window
}

// Report is a report to send.
type Report struct {
	Window Window
	Counts Counts
	// Attempt counts from 1.
	Attempt int
}

// Outcome is the outcome of a report that was sent.
type Outcome int

const (
	// Accepted says that the control service has the report.
	Accepted Outcome = iota
	// Rejected says that it answered that the report is wrong.
	Rejected
	// Unanswered says that it may or may not have the report, or takes it later.
	Unanswered
)

type process struct {
	message Message
	at      time.Time
}

// delivery is the state of a decided window.
type delivery struct {
	counts    Counts
	done      bool
	attempts  int
	notBefore time.Time
}

// Collector has the counts of all daemons, and the windows that were decided by any holder.
// All times are steady times of day.
type Collector struct {
	length time.Duration
	// due is the time after the end of a window within which its report has to arrive; 0 is
	// unknown.
	due       time.Duration
	processes map[string]process
	newest    Window
	decided   map[Window]*delivery
	failures  int
	notBefore time.Time
}

// NewCollector returns a collector for windows of the given length whose reports are due
// some time after their end.
func NewCollector(length, due time.Duration) *Collector {
	return &Collector{length: length, due: due, processes: map[string]process{}, decided: map[Window]*delivery{}}
}

// Merge takes a message in place of the earlier ones of the same process. An earlier message
// that arrives late is ignored.
func (c *Collector) Merge(m Message, now time.Time) error {
	if err := m.check(); err != nil {
		return err
	}
	old, known := c.processes[m.Process]
	if known && old.message.Sequence >= m.Sequence {
		return nil
	}
	c.forget(now)
	if !known && len(c.processes) >= maxProcesses {
		return eris.New("usage: too many processes")
	}
	c.processes[m.Process] = process{message: m, at: now}
	return nil
}

func (m Message) check() error {
	if m.Daemon == "" || m.Process == "" {
		return eris.New("usage: the message has no daemon or no process")
	}
	if len(m.Windows) > maxWindows {
		return eris.Errorf("usage: the message has %d windows", len(m.Windows))
	}
	for w, counts := range m.Windows {
		if len(counts) > maxAccounts {
			return eris.Errorf("usage: window %d has %d accounts", w, len(counts))
		}
		for account, n := range counts {
			if account == "" || n < 0 || n > math.MaxInt32 {
				return eris.Errorf("usage: window %d has %d requests for account %.50q", w, n, account)
			}
		}
	}
	return nil
}

// forget drops the messages of processes that ended, and decided windows whose reports are
// not sent any more.
func (c *Collector) forget(now time.Time) {
	maps.DeleteFunc(c.processes, func(_ string, p process) bool {
		return now.Sub(p.at) > keepFor+2*c.length && !slices.ContainsFunc(slices.Collect(maps.Keys(p.message.Windows)), func(w Window) bool {
			return now.Sub(w.End(c.length)) <= keepFor
		})
	})
	maps.DeleteFunc(c.decided, func(w Window, _ *delivery) bool { return now.Sub(w.End(c.length)) > keepFor+c.length })
}

// Seen takes what the store has. Counts that were decided earlier are kept, also if the store
// has others or has lost them. It returns the number of windows with other counts.
func (c *Collector) Seen(s Stored) (differing int) {
	for w, counts := range s.Windows {
		if d := c.decided[w]; d == nil {
			c.decided[w] = &delivery{counts: counts}
		} else if !maps.Equal(d.counts, counts) {
			differing++
		}
	}
	if s.Newest >= c.newest {
		// A window that the holder no longer keeps is done. A store that was restored has an
		// older newest window and says nothing.
		for w, d := range c.decided {
			if _, kept := s.Windows[w]; !kept && w <= s.Newest {
				d.done = true
			}
		}
		c.newest = s.Newest
	}
	return differing
}

// Newest returns the newest window that was decided or left out.
func (c *Collector) Newest() Window { return c.newest }

// Decide returns what to write to the store, if a window is to be decided. daemons are the
// names of the registered daemons.
func (c *Collector) Decide(now time.Time, t Tenure, daemons []string) (Proposal, bool) {
	oldest := c.oldest(now, t)
	last := min(WindowAt(now.Add(-decideDelay), c.length)-1, c.lastHeard(oldest, now, t, daemons))
	if last < oldest || now.Before(t.Since.Add(gatherTime)) && c.coverage(oldest, daemons, true) < 1 && !c.mustDecide(oldest, last, daemons, now) {
		return Proposal{}, false
	}
	c.forget(now)
	p := Proposal{Stored: Stored{Newest: last, Windows: map[Window]Counts{}}}
	for w, d := range c.decided {
		if !d.done && now.Sub(w.End(c.length)) <= keepFor {
			p.Stored.Windows[w] = d.counts
		}
	}
	for w := oldest; w <= last; w++ {
		if !c.mayDecide(w, t, daemons, now) {
			p.LeftOut = append(p.LeftOut, w)
			continue
		}
		p.Decided = append(p.Decided, w)
		p.Stored.Windows[w] = c.sum(w)
	}
	kept := slices.Sorted(maps.Keys(p.Stored.Windows))
	for _, w := range kept[:max(len(kept)-maxStored, 0)] {
		delete(p.Stored.Windows, w)
		p.LeftOut = append(p.LeftOut, w)
		p.Decided = slices.DeleteFunc(p.Decided, func(d Window) bool { return d == w })
	}
	return p, true
}

// mustDecide reports whether a window from oldest to last would be reported too late if the
// holder went on waiting, and it has enough counts of it.
func (c *Collector) mustDecide(oldest, last Window, daemons []string, now time.Time) bool {
	for w := max(oldest, WindowAt(now.Add(-c.due), c.length)); w <= last; w++ {
		left := w.End(c.length).Add(c.due).Sub(now)
		if left > 0 && left <= dueMargin && c.coverage(w, daemons, true) >= minCoverage {
			return true
		}
	}
	return false
}

// lastHeard returns the newest window up to which the holder has heard from enough daemons.
func (c *Collector) lastHeard(oldest Window, now time.Time, t Tenure, daemons []string) Window {
	present := WindowAt(now, c.length)
	for w := oldest; w < present && !t.Lonely; w++ {
		if now.Sub(w.End(c.length)) <= keepFor && c.coverage(w, daemons, false) < minHeard {
			return w - 1
		}
	}
	return present - 1
}

// ShouldResign reports whether the holder does not hear from the other daemons.
func (c *Collector) ShouldResign(now time.Time, t Tenure, daemons []string) bool {
	w := c.lastHeard(c.oldest(now, t), now, t, daemons) + 1
	overdue := now.Sub(w.End(c.length)) >= decideDelay+resignDelay
	return overdue && now.Sub(t.Since) >= gatherTime+resignDelay
}

// oldest returns the oldest window that was not decided or left out and may be: before the
// first report of the deployment, the first one in which a daemon counted.
func (c *Collector) oldest(now time.Time, t Tenure) Window {
	if c.newest == 0 {
		first := WindowAt(t.Since, c.length)
		for _, p := range c.processes {
			for w := range p.message.Windows {
				first = min(first, w)
			}
		}
		return max(first, WindowAt(now.Add(-keepFor), c.length))
	}
	return max(c.newest+1, WindowAt(now.Add(-maxGap), c.length))
}

// mayDecide reports whether the holder knows enough of a window.
func (c *Collector) mayDecide(w Window, t Tenure, daemons []string, now time.Time) bool {
	end := w.End(c.length)
	if now.Sub(end) > keepFor {
		return false
	}
	if !t.EraRoseAt.IsZero() && end.Before(t.EraRoseAt) && end.Before(t.Since) {
		// Another holder may have decided the window, and the store lost it.
		return false
	}
	return !end.Before(t.Since) || c.coverage(w, daemons, true) >= minCoverage
}

// coverage returns the part of the daemons' counts of a window that the holder has. If counts
// have to be complete, daemons of whose earlier processes counts may be missing do not count.
func (c *Collector) coverage(w Window, daemons []string, complete bool) float64 {
	if len(daemons) == 0 {
		return 1
	}
	byDaemon := map[string][]Message{}
	for _, p := range c.processes {
		byDaemon[p.message.Daemon] = append(byDaemon[p.message.Daemon], p.message)
	}
	var sum float64
	for _, d := range daemons {
		sum += c.known(w, byDaemon[d], complete)
	}
	return sum / float64(len(daemons))
}

// known returns the part of a window for which the holder has the counts of a daemon. The last
// message of a process that crashed was made during the window.
func (c *Collector) known(w Window, messages []Message, complete bool) float64 {
	var oldest, newest *Message
	for i := range messages {
		m := &messages[i]
		if oldest == nil || m.Complete < oldest.Complete {
			oldest = m
		}
		if newest == nil || m.AtMs > newest.AtMs {
			newest = m
		}
	}
	if newest == nil {
		return 0
	}
	// Before the first report of the deployment, no earlier process can have counted.
	if complete && c.newest != 0 {
		_, listed := oldest.Windows[w]
		if oldest.Complete > w || !listed && !oldest.Final {
			return 0
		}
		if newest != oldest && !oldest.Final {
			newest = oldest
		}
	}
	if newest.Final {
		return 1
	}
	left := w.End(c.length).Sub(time.UnixMilli(newest.AtMs))
	return max(0, min(1-float64(left)/float64(c.length), 1))
}

func (c *Collector) sum(w Window) Counts {
	out := Counts{}
	for _, p := range c.processes {
		for account, n := range p.message.Windows[w] {
			if n > 0 {
				out[account] += n
			}
		}
	}
	return out
}

// Messages returns the last messages of all processes, for the next holder: it does not get
// them from processes that ended.
func (c *Collector) Messages() []Message {
	out := make([]Message, 0, len(c.processes))
	for _, name := range slices.Sorted(maps.Keys(c.processes)) {
		out = append(out, c.processes[name].message)
	}
	return out
}

// Written says that a proposal took effect.
func (c *Collector) Written(p Proposal) {
	for w, d := range c.decided {
		if _, kept := p.Stored.Windows[w]; !kept {
			d.done = true
		}
	}
	for _, w := range p.Decided {
		// The directory may have been faster than the response of the store.
		if c.decided[w] == nil {
			c.decided[w] = &delivery{counts: p.Stored.Windows[w]}
		}
	}
	c.newest = max(c.newest, p.Stored.Newest)
}

// Next returns the report to send next, if one is due: the oldest window first.
func (c *Collector) Next(now time.Time) (Report, bool) {
	if now.Before(c.notBefore) {
		return Report{}, false
	}
	for _, w := range slices.Sorted(maps.Keys(c.decided)) {
		d := c.decided[w]
		if d.done || now.Before(d.notBefore) || now.Sub(w.End(c.length)) > keepFor {
			continue
		}
		return Report{Window: w, Counts: d.counts, Attempt: d.attempts + 1}, true
	}
	return Report{}, false
}

// Sent takes the outcome of a report. random is between 0 and 1. It returns the pause before
// the next report.
func (c *Collector) Sent(w Window, o Outcome, now time.Time, random float64) time.Duration {
	d := c.decided[w]
	if d == nil {
		return 0
	}
	d.attempts++
	switch o {
	case Accepted:
		d.done = true
		c.failures, c.notBefore = 0, time.Time{}
		return 0
	case Rejected:
		c.failures, c.notBefore = 0, time.Time{}
		d.notBefore = now.Add(rejectedDelay)
		return rejectedDelay
	}
	pause := min(minRetryDelay<<min(c.failures, 8), maxRetryDelay)
	pause = time.Duration(float64(pause) * (1 - retryJitter*random))
	c.failures++
	c.notBefore = now.Add(pause)
	return pause
}

// Expired returns the decided windows whose reports were not accepted in time, and drops
// them.
func (c *Collector) Expired(now time.Time) []Window {
	var out []Window
	for _, w := range slices.Sorted(maps.Keys(c.decided)) {
		if d := c.decided[w]; !d.done && now.Sub(w.End(c.length)) > keepFor {
			d.done = true
			out = append(out, w)
		}
	}
	return out
}
