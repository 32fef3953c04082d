package usage

import "time"

// Window is the number of a window, counted from the start of 1970.
type Window int64

// WindowAt returns the window of the given length that contains t.
func WindowAt(t time.Time, length time.Duration) Window {
	return Window(t.UnixNano() / int64(length))
}

// End returns when the window ends and the next one begins.
func (w Window) End(length time.Duration) time.Time {
	return time.Unix(0, (int64(w)+1)*int64(length))
}

// Counts holds numbers of requests by account.
type Counts map[string]int64

// Sum returns the number of requests of all accounts.
func (c Counts) Sum() int64 {
	var n int64
	for _, v := range c {
		n += v
	}
	return n
}

const (
	// jumpDelay is how long the time of day must differ from the steady one until it is
	// accepted.
	jumpDelay = 60 * time.Second
	// jitterBound is the difference that is not taken for a jump: reading two clocks one
	// after the other.
	jitterBound = 5 * time.Millisecond
)

// Clock is a time of day that does not jump: that of the start of the process, advanced by a
// monotonic clock.
type Clock struct {
	// offset is the time of day at the zero of the monotonic clock.
	offset time.Duration
	// differsSince is when the time of day began to differ from the steady one, on the
	// monotonic clock.
	differs      bool
	differsSince time.Time
}

// NewClock returns a clock. Both arguments are the same moment.
func NewClock(timeOfDay, monotonic time.Time) *Clock {
	return &Clock{offset: difference(timeOfDay, monotonic)}
}

// difference ignores the monotonic readings of the arguments.
func difference(a, b time.Time) time.Duration { return time.Duration(a.UnixNano() - b.UnixNano()) }

// Now returns the steady time of day. Both arguments are the same moment. A time of day that
// differs for a minute is accepted; jumped is then the difference.
func (c *Clock) Now(timeOfDay, monotonic time.Time) (now time.Time, jumped time.Duration) {
	diff := difference(timeOfDay, monotonic) - c.offset
	switch {
	case diff.Abs() <= jitterBound:
		c.differs = false
	case !c.differs:
		c.differs, c.differsSince = true, monotonic
	case difference(monotonic, c.differsSince) >= jumpDelay:
		c.offset += diff
		c.differs, jumped = false, diff
	}
	return time.Unix(0, monotonic.UnixNano()+int64(c.offset)), jumped
}
