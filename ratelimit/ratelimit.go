// Package ratelimit keeps the requests that all daemons together send to one upstream
// below a limit that the upstream names, without messages between the daemons: each of
// them keeps to a part that follows from their number.
//
// In a small fleet each daemon has an equal rate and may send one request or more at
// once. In a large fleet one request of each daemon at the same moment would already be
// too many. There the time is divided into slots; each slot belongs to one daemon in turn,
// which may send one request within a short time after its slot begins.
//
//gooseberryroad:pure
package ratelimit

import (
	"math"
	"time"
)

// The users' bound: in any Window an upstream gets at most allowedRatio times what its
// limit allows, and allowedSlack requests (their rule for limits).
const (
	Window       = 4 * time.Second
	allowedRatio = 1.5
	allowedSlack = 5
)

// maxDue keeps what is carried over within the range of a duration.
const maxDue = 24 * time.Hour

const (
	// span is the window with an allowance for requests that are sent at different times
	// and arrive together.
	span = Window + 500*time.Millisecond
	// firstPermit is how long the permit that PermitFirst gives can be used. The users' bound
	// holds for a daemon from half a second after it heard of a limit.
	firstPermit = 300 * time.Millisecond
	// maxSaved is the time whose permits a daemon may save. An upstream in need should not
	// get at once all that its limit allows in a window.
	maxSaved = 2 * time.Second
	// minLimit and maxLimit bound a limit, in requests a second. An upstream that takes
	// nothing gets a request now and then, because only its answer tells when that ends.
	minLimit = 0.1
	maxLimit = 1e6
	// minEqualShare is the least part of the limit that equal rates must leave usable;
	// below it, slots are used.
	minEqualShare = 0.4
	// slotShare is the part of the limit that the slots use. Fewer slots leave each of
	// them more time, which helps daemons that seldom have a request.
	slotShare = 0.75
	// slotLimitStep is the ratio of two limits with different slots. Slots of daemons agree
	// only if their limits do, and an upstream may name another one in each answer.
	slotLimitStep = 1.12
	// slotDeviations sets how many more requests than the mean an upstream may get in a
	// window, in square roots of the mean: four standard deviations when the clocks of
	// three tenths of the daemons are wrong.
	slotDeviations = 2.6
)

// Allowed returns how many requests an upstream with the given limit, in requests a
// second, may get in a Window.
func Allowed(limit float64) float64 {
	return allowedRatio*limit*Window.Seconds() + allowedSlack
}

// Fleet is the place of this daemon among all that send to an upstream.
type Fleet struct {
	// Daemons is the number of daemons, this one included.
	Daemons int
	// Index is the place of this daemon in an order that is the same at all daemons, from
	// 0 on. It should differ from one upstream to the other.
	Index int
}

// Limiter gives the permits of one daemon for one upstream. It is not safe for concurrent
// use.
type Limiter struct {
	epoch time.Time
	// firstUntil is until when the permit given by PermitFirst can be used.
	firstUntil time.Time
	limit      float64
	fleet      Fleet
	// interval is the time between two permits.
	interval time.Duration
	// credit is how much earlier than interval allows a permit may be used: equal rates
	// only.
	credit time.Duration
	// due is when the next permit is earned: equal rates only.
	due time.Time
	// slot is the length of a slot, 0 with equal rates; validity is the time after the
	// beginning of a slot in which it may be used.
	slot, validity time.Duration
	// usedTurn is the number of the last own slot that was used.
	usedTurn int64
	// changed says that due was carried over from another limit or fleet, and may be far
	// off after a fall of the limit.
	changed bool
	// lastUse is when the last permit is or will be used; zero if none was.
	lastUse time.Time
	// before is the state before the last permit was taken; nil once the limit or the fleet
	// has changed since.
	before *permitState
}

// permitState is what taking a permit changes.
type permitState struct {
	due, lastUse time.Time
	usedTurn     int64
	changed      bool
}

// New returns a limiter for a limit in requests a second. The slots are counted by the
// time of day at epoch, and the time that passed since: a clock that is set later does not
// move them. Slots agree as far as the daemons' clocks did at their epochs.
func New(limit float64, f Fleet, epoch, now time.Time) *Limiter {
	l := &Limiter{epoch: epoch, limit: limit, fleet: f, due: now}
	l.plan()
	return l
}

// PermitFirst permits one request outside the slots for a moment, unless one was sent: that
// for whose choice the upstream was asked for its load, and named the limit in its answer.
// Without it, a daemon of a large fleet could not use most of the engines that it asks.
func (l *Limiter) PermitFirst(heardAt time.Time) { l.firstUntil = heardAt.Add(firstPermit) }

// plan computes the rate from the limit and the fleet.
func (l *Limiter) plan() {
	limit := min(max(l.limit, minLimit), maxLimit)
	daemons := float64(max(l.fleet.Daemons, 1))
	allowed := Allowed(limit)
	l.slot, l.validity, l.credit, l.usedTurn = 0, 0, 0, math.MinInt64
	if rate := min(limit, (allowed-daemons)/span.Seconds()); rate >= minEqualShare*limit {
		// In a span a daemon sends at most burst + span x rate / daemons.
		burst := (allowed - rate*span.Seconds()) / daemons
		burst = min(burst, 1+maxSaved.Seconds()*rate/daemons)
		l.interval = seconds(daemons / rate)
		l.credit = seconds((burst - 1) * daemons / rate)
		return
	}
	// The mean number of requests in a span, for which mean + slotDeviations x root of the
	// mean is what is allowed. The slots that may be used in a span began in it, or at most
	// validity before it.
	limit = math.Pow(slotLimitStep, math.Floor(math.Log(limit)/math.Log(slotLimitStep)))
	root := math.Sqrt(slotDeviations*slotDeviations/4+Allowed(limit)) - slotDeviations/2
	rate := slotShare * limit
	l.slot = seconds(1 / rate)
	l.validity = seconds((root*root-1)/rate) - span
	l.interval = l.slot * time.Duration(max(l.fleet.Daemons, 1))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Set changes the limit and the fleet.
func (l *Limiter) Set(limit float64, f Fleet, now time.Time) {
	if limit == l.limit && f == l.fleet {
		return
	}
	wasSlotted, usedPermits := l.slot > 0, max(float64(l.due.Sub(now))/float64(l.interval), 0)
	old := *l
	l.limit, l.fleet, l.before = limit, f, nil
	l.plan()
	if wasSlotted && l.slot == old.slot && f == old.fleet {
		l.usedTurn = old.usedTurn
		return
	}
	switch {
	case !wasSlotted:
		l.due = now.Add(seconds(min(usedPermits*l.interval.Seconds(), maxDue.Seconds())))
		l.changed = true
	case l.lastUse.IsZero():
		l.due = now
	default:
		l.due = l.lastUse.Add(l.interval)
	}
}

// Next returns when the next permit can be used, at the earliest now.
func (l *Limiter) Next(now time.Time) time.Time {
	if l.slot == 0 {
		at := l.due.Add(-l.credit)
		if quiet := l.lastUse.Add(span); l.changed && quiet.Before(at) {
			at = quiet
		}
		return later(now, at)
	}
	if l.lastUse.IsZero() && now.Before(l.firstUntil) {
		return now
	}
	at := now
	if !l.lastUse.IsZero() {
		// Holds also when the order of the daemons or their number changes.
		at = later(at, l.lastUse.Add(l.interval-l.validity))
	}
	turn := max(l.turn(at), l.usedTurn+1)
	if begin := l.begin(turn); at.Before(begin.Add(l.validity)) {
		return later(at, begin)
	}
	return l.begin(turn + 1)
}

// Reserve takes the next permit, if it can be used at latest or before, and returns when
// it can be used.
func (l *Limiter) Reserve(now, latest time.Time) (time.Time, bool) {
	at := l.Next(now)
	if at.After(latest) {
		return at, false
	}
	l.before = &permitState{l.due, l.lastUse, l.usedTurn, l.changed}
	if l.changed && !at.Before(l.lastUse.Add(span)) {
		// What was sent before is older than a window.
		l.due, l.changed = at, false
	}
	l.due = later(l.due, at).Add(l.interval)
	l.lastUse = at
	if l.slot > 0 {
		l.usedTurn = l.turn(at)
	}
	return at, true
}

// Cancel gives back a permit that Reserve returned for the given time, and that was not
// used, if no other was taken since.
func (l *Limiter) Cancel(at time.Time) {
	if b := l.before; b != nil && l.lastUse.Equal(at) {
		l.due, l.lastUse, l.usedTurn, l.changed, l.before = b.due, b.lastUse, b.usedTurn, b.changed, nil
	}
}

// turn returns the number of the own slot that began last before t.
func (l *Limiter) turn(t time.Time) int64 {
	since := l.epoch.UnixNano() + int64(t.Sub(l.epoch)) - int64(l.slot)*int64(l.fleet.Index)
	turn := since / int64(l.interval)
	if since < turn*int64(l.interval) {
		turn-- // the division truncates toward zero
	}
	return turn
}

// begin returns when the own slot with the given number begins.
func (l *Limiter) begin(turn int64) time.Time {
	at := turn*int64(l.interval) + int64(l.slot)*int64(l.fleet.Index)
	return l.epoch.Add(time.Duration(at - l.epoch.UnixNano()))
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
