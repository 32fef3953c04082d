package usage

import (
	"maps"
	"time"
)

const (
	// sendShare is the part of a window after which changed counts are sent again.
	sendShare = 0.1
	// keepFor is how long after the end of a window its counts are kept: as long as its
	// report may be sent.
	keepFor = 60 * time.Second
)

// Message holds the counts of all windows of a daemon's process that are not decided yet. It
// replaces the earlier messages of the process.
type Message struct {
	Daemon string `json:"daemon"`
	// Process is a random text that differs between processes of the daemon.
	Process string `json:"process"`
	// Sequence grows with each message of a process.
	Sequence uint64 `json:"sequence"`
	// AtMs is when the message was made, in milliseconds since the start of 1970.
	AtMs int64 `json:"at_ms"`
	// Final says that the process ends and counts no more.
	Final bool `json:"final,omitempty"`
	// Complete is the first window that began after the process did. Of earlier ones, an
	// earlier process of the daemon may have counted a part.
	Complete Window `json:"complete"`
	// Windows holds the counts of each window from the oldest that is not decided to the
	// present one, with no counts for a window without requests.
	Windows map[Window]Counts `json:"windows"`
}

// Counter counts the requests of one daemon.
type Counter struct {
	daemon, process string
	length          time.Duration
	first           Window
	// decided is the newest window that is known to be decided.
	decided Window
	counts  map[Window]Counts
	// changes counts the changes, sequence the messages.
	changes, sequence uint64
	// sentChanges is the value of changes in the last message that arrived, at the
	// recipient sentTo, and sentIn the window in which it was made; triedAt is when the last
	// message was made.
	sentChanges uint64
	sentIn      Window
	sentTo      string
	triedAt     time.Time
}

// NewCounter returns the counter of a process that starts at now, with windows of the given
// length. All times are steady times of day.
func NewCounter(daemon, process string, length time.Duration, now time.Time) *Counter {
	return &Counter{daemon: daemon, process: process, length: length, first: WindowAt(now, length), counts: map[Window]Counts{}}
}

// Began counts a request that an upstream began at the given time. It returns false if the
// window is decided already.
func (c *Counter) Began(account string, at time.Time) bool {
	w := WindowAt(at, c.length)
	if w <= c.decided {
		return false
	}
	if c.counts[w] == nil {
		c.counts[w] = Counts{}
	}
	c.counts[w][account]++
	c.changes++
	return true
}

// Decided says that all windows up to w are decided.
func (c *Counter) Decided(w Window) {
	c.decided = max(c.decided, w)
	maps.DeleteFunc(c.counts, func(w Window, _ Counts) bool { return w <= c.decided })
}

// Unsent reports whether a recipient lacks counts: the counts have changed since the last
// message that arrived there, a window has ended since, so that the recipient does not know
// whether it hears from this daemon, or it is a new one.
func (c *Counter) Unsent(recipient string, now time.Time) bool {
	return recipient != c.sentTo || c.changes != c.sentChanges || c.sentIn < WindowAt(now, c.length)
}

// Due reports whether a message must be sent to a recipient now.
func (c *Counter) Due(recipient string, now time.Time) bool {
	if !c.Unsent(recipient, now) {
		return false
	}
	return now.Sub(c.triedAt) >= time.Duration(sendShare*float64(c.length)) || now.Before(c.triedAt)
}

// Message returns the counts to send. The returned function must be called if they arrived
// at the recipient.
func (c *Counter) Message(recipient string, now time.Time) (m Message, arrived func()) {
	c.triedAt = now
	c.sequence++
	m = Message{Daemon: c.daemon, Process: c.process, Sequence: c.sequence, AtMs: now.UnixMilli(), Complete: c.first + 1, Windows: map[Window]Counts{}}
	present := WindowAt(now, c.length)
	oldest := max(c.decided+1, c.first, WindowAt(now.Add(-keepFor), c.length))
	maps.DeleteFunc(c.counts, func(w Window, _ Counts) bool { return w < oldest })
	for w := oldest; w <= present; w++ {
		m.Windows[w] = maps.Clone(c.counts[w])
		if m.Windows[w] == nil {
			m.Windows[w] = Counts{}
		}
	}
	// Counts of a time of day that was ahead.
	for w, counts := range c.counts {
		if w > present {
			m.Windows[w] = maps.Clone(counts)
		}
	}
	changes := c.changes
	return m, func() {
		if recipient == c.sentTo {
			changes = max(changes, c.sentChanges)
		}
		c.sentChanges, c.sentTo, c.sentIn = changes, recipient, present
	}
}
