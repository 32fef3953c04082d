package placement

import (
	"time"

	"github.com/gooseberryroad/gooseberryroad/registry"
)

// limitLogInterval is the least time between two reports that an upstream changed its
// limit. An upstream may name another one in each answer.
const limitLogInterval = time.Second

// limitMemory is how long a limit is remembered after the upstream named none any more, so
// that one that is named again at once goes on from what was sent before.
const limitMemory = 10 * time.Second

// limit is the number of requests that an upstream takes from all daemons together.
type limit struct {
	// startUnixMilli tells apart the processes that have the same ID.
	startUnixMilli int64
	// rate is in requests a second.
	rate float64
	// heardAt is when the last answer that names the limit came.
	heardAt time.Time
	// endedAt is when the upstream named no limit any more; zero while it names one.
	endedAt time.Time
	// reportedAt is when a change was last reported.
	reportedAt time.Time
	// unreadable is set from an answer whose limit cannot be read to one without such.
	unreadable bool
	// unregisteredAt is when the upstream was first seen to be no longer registered.
	unregisteredAt time.Time
}

func (l *limit) named() bool { return !l.heardAt.IsZero() && l.endedAt.IsZero() }

// LimitNews says what an answer changes in what is known of an upstream's limit.
type LimitNews int

// The changes of a limit.
const (
	LimitUnchanged LimitNews = iota
	LimitNamed
	LimitChanged
	LimitEnded
	LimitUnreadable
)

// limitOf returns the limit that the upstream names; nil if it names none. What another
// process with the same ID said does not count.
func (t *Tracker) limitOf(in registry.Instance) *limit {
	if l := t.limits[in.ID]; l != nil && l.startUnixMilli == in.StartUnixMilli && l.named() {
		return l
	}
	return nil
}

func (t *Tracker) addLimit(in registry.Instance) *limit {
	l := t.limits[in.ID]
	if l == nil || l.startUnixMilli != in.StartUnixMilli {
		l = &limit{startUnixMilli: in.StartUnixMilli}
		t.limits[in.ID] = l
	}
	return l
}

// SaidLimit records that an upstream named a limit in requests a second.
func (t *Tracker) SaidLimit(in registry.Instance, rate float64, now time.Time) LimitNews {
	l := t.addLimit(in)
	news := LimitUnchanged
	switch {
	case !l.named():
		news = LimitNamed
	case l.rate != rate && now.Sub(l.reportedAt) >= limitLogInterval:
		news = LimitChanged
	}
	if news != LimitUnchanged {
		l.reportedAt = now
	}
	l.rate, l.heardAt, l.endedAt, l.unreadable = rate, now, time.Time{}, false
	return news
}

// SaidUnreadableLimit records an answer whose limit cannot be read. What was known of the
// limit stays.
func (t *Tracker) SaidUnreadableLimit(in registry.Instance) LimitNews {
	l := t.addLimit(in)
	if l.unreadable {
		return LimitUnchanged
	}
	l.unreadable = true
	return LimitUnreadable
}

// SaidNoLimit records an answer that names no limit, to a request that was sent at sentAt.
// An answer to a request that was sent before the limit was heard says nothing of it.
func (t *Tracker) SaidNoLimit(in registry.Instance, sentAt, now time.Time) LimitNews {
	l := t.limitOf(in)
	if l == nil || !sentAt.After(l.heardAt) {
		return LimitUnchanged
	}
	l.endedAt = now
	return LimitEnded
}

// LimitedUpstreams returns the number of upstreams that name a limit.
func (t *Tracker) LimitedUpstreams() int {
	n := 0
	for _, l := range t.limits {
		if l.named() {
			n++
		}
	}
	return n
}

// dropLimits forgets the limits of upstreams that are no longer registered or have started
// anew, and those that ended. known holds the start of each registered upstream.
func (t *Tracker) dropLimits(known map[string]int64, now time.Time) {
	for id, l := range t.limits {
		start, registered := known[id]
		switch {
		case registered:
			l.unregisteredAt = time.Time{}
		case l.unregisteredAt.IsZero():
			l.unregisteredAt = now
		}
		switch {
		case registered && start != l.startUnixMilli,
			!l.unregisteredAt.IsZero() && now.Sub(l.unregisteredAt) > leavingMemory,
			!l.endedAt.IsZero() && now.Sub(l.endedAt) > limitMemory:
			delete(t.limits, id)
		}
	}
}
