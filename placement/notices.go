package placement

import (
	"time"

	"github.com/gooseberryroad/gooseberryroad/registry"
)

const (
	// MaxPause bounds the pause that an upstream may ask for.
	MaxPause = 30 * time.Second
	// pauseSpread is the share of a pause by which daemons return later, at random, so
	// that they are not in step.
	pauseSpread = 0.1
	// resumeInflight is how many requests a daemon has in flight at an upstream after a
	// pause until the upstream has accepted one.
	resumeInflight = 2
	// leavingMemory is how long it is remembered that an upstream leaves after its
	// registration has ended. Content of another daemon may still hold the registration.
	leavingMemory = time.Minute
)

// notice is what an upstream said of itself in its answers.
type notice struct {
	// startUnixMilli tells apart the processes that have the same ID.
	startUnixMilli int64
	leaving        bool
	pausedUntil    time.Time
	// resuming is set from a pause on until the upstream has accepted a request.
	resuming bool
	// unregisteredAt is when the upstream was first seen to be no longer registered.
	unregisteredAt time.Time
}

// NoticeReason says why an upstream gets no work.
type NoticeReason string

// The reasons for which an upstream gets no work at its own request.
const (
	NoNotice      NoticeReason = ""
	NoticeLeaving NoticeReason = "leaving"
	NoticePause   NoticeReason = "pause"
	NoticeLimit   NoticeReason = "limit"
)

// noticeOf returns what the upstream said; nil if it said nothing. What another
// process with the same ID said does not count.
func (t *Tracker) noticeOf(in registry.Instance) *notice {
	n := t.notices[in.ID]
	if n == nil || n.startUnixMilli != in.StartUnixMilli {
		return nil
	}
	return n
}

func (t *Tracker) addNotice(in registry.Instance) *notice {
	n := t.noticeOf(in)
	if n == nil {
		n = &notice{startUnixMilli: in.StartUnixMilli}
		t.notices[in.ID] = n
	}
	return n
}

// SaidLeaving records that an upstream said that it leaves. It reports whether that
// is news.
func (t *Tracker) SaidLeaving(in registry.Instance) bool {
	n := t.addNotice(in)
	news := !n.leaving
	n.leaving = true
	return news
}

// AskedPause records that an upstream asked for a pause. It returns when the pause
// ends for this daemon, and whether the upstream was not paused before.
func (t *Tracker) AskedPause(in registry.Instance, pause time.Duration, now time.Time) (until time.Time, news bool) {
	n := t.addNotice(in)
	news = !now.Before(n.pausedUntil)
	pause = min(pause, MaxPause)
	until = now.Add(pause + time.Duration(pauseSpread*t.rnd.Float64()*float64(pause)))
	if until.After(n.pausedUntil) {
		n.pausedUntil = until
	}
	n.resuming = true
	return n.pausedUntil, news
}

// Notice returns why an upstream gets no work now at its own request, and until when if
// it is paused.
func (t *Tracker) Notice(in registry.Instance, now time.Time) (NoticeReason, time.Time) {
	n := t.noticeOf(in)
	switch {
	case n == nil:
		return NoNotice, time.Time{}
	case n.leaving:
		return NoticeLeaving, time.Time{}
	case now.Before(n.pausedUntil):
		return NoticePause, n.pausedUntil
	case n.resuming && t.Inflight(in.ID) >= resumeInflight:
		return NoticePause, now
	}
	return NoNotice, time.Time{}
}

// Withheld returns why an upstream gets no request now: its notice, or its limit if this
// daemon has no permit. The time is when that ends, and zero if it leaves.
func (t *Tracker) Withheld(in registry.Instance, now time.Time) (NoticeReason, time.Time) {
	if reason, until := t.Notice(in, now); reason != NoNotice {
		return reason, until
	}
	if next, _ := t.Limited(in, now); next.After(now) {
		return NoticeLimit, next
	}
	return NoNotice, time.Time{}
}

// AllWithdrawn reports whether all candidates get no work at their own request: the soonest
// end of a pause or of the wait for a permit and which of both it is, or the zero time if
// all of them leave.
func (t *Tracker) AllWithdrawn(candidates []registry.Instance, now time.Time) (soonest time.Time, reason NoticeReason, all bool) {
	if !t.HasNotices() || len(candidates) == 0 {
		return time.Time{}, NoNotice, false
	}
	reason = NoticeLeaving
	for _, in := range candidates {
		r, until := t.Withheld(in, now)
		switch {
		case r == NoNotice:
			return time.Time{}, NoNotice, false
		case r != NoticeLeaving && (soonest.IsZero() || until.Before(soonest)):
			soonest, reason = until, r
		}
	}
	return soonest, reason, true
}

// HasNotices reports whether an upstream leaves, asked for a pause or named a limit.
func (t *Tracker) HasNotices() bool { return len(t.notices) > 0 || len(t.limits) > 0 }

// resumed notes that an upstream accepted a request.
func (t *Tracker) resumed(id string) {
	if n := t.notices[id]; n != nil {
		n.resuming = false
	}
}

// DropNotices forgets what upstreams said that are no longer registered, that have
// started anew, or whose pause or limit is over.
func (t *Tracker) DropNotices(registered []registry.Instance, now time.Time) {
	if len(t.notices) == 0 && len(t.limits) == 0 {
		return
	}
	known := make(map[string]int64, len(registered))
	for _, in := range registered {
		known[in.ID] = in.StartUnixMilli
	}
	t.dropLimits(known, now)
	for id, n := range t.notices {
		start, ok := known[id]
		switch {
		case ok && start != n.startUnixMilli:
			delete(t.notices, id)
		case ok:
			n.unregisteredAt = time.Time{}
		case n.unregisteredAt.IsZero():
			n.unregisteredAt = now
		}
		over := !n.leaving && !n.resuming && !now.Before(n.pausedUntil)
		if over || !n.unregisteredAt.IsZero() && now.Sub(n.unregisteredAt) > max(leavingMemory, MaxPause) {
			delete(t.notices, id)
		}
	}
}
