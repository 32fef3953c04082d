package placement

import (
	"time"

	"github.com/gooseberryroad/gooseberryroad/membership"
	"github.com/gooseberryroad/gooseberryroad/ratelimit"
	"github.com/gooseberryroad/gooseberryroad/registry"
)

// limitLogInterval is the least time between two reports that an upstream changed its
// limit. An upstream may name another one in each answer.
const limitLogInterval = time.Second

// daemonMemory is how long a daemon counts after it was last registered. One that is
// restarted, or seen again, sends as much as before.
const daemonMemory = 10 * time.Second

// fleet holds the daemons that share the limits of upstreams.
type fleet struct {
	self string
	// epoch is when the first list of daemons came. Slots are counted from it.
	epoch time.Time
	// registeredAt is when each daemon was last registered, listed the last list of them.
	registeredAt map[string]time.Time
	listed       []string
	// version counts the changes of the list.
	version int
}

// place returns the place of this daemon among those that send to an upstream. The order
// differs from one upstream to the other, so that the turns of a daemon are spread.
func (f *fleet) place(upstream string) ratelimit.Fleet {
	out := ratelimit.Fleet{Daemons: max(len(f.registeredAt), 1)}
	own := membership.RendezvousWeight(upstream, f.self)
	for name := range f.registeredAt {
		if name != f.self && membership.RendezvousWeight(upstream, name) < own {
			out.Index++
		}
	}
	return out
}

// SetDaemons sets the names of the registered daemons, which share the limits of
// upstreams, and that of this one.
func (t *Tracker) SetDaemons(names []string, self string, now time.Time) {
	f := &t.fleet
	if f.epoch.IsZero() {
		f.epoch, f.registeredAt = now, map[string]time.Time{}
	}
	changed := f.self != self
	f.self = self
	// A list comes only when something has changed: until now the last one was in force.
	for _, name := range f.listed {
		f.registeredAt[name] = now
	}
	f.listed = append([]string{self}, names...)
	for _, name := range f.listed {
		if _, known := f.registeredAt[name]; !known {
			changed = true
		}
		f.registeredAt[name] = now
	}
	for name, at := range f.registeredAt {
		if now.Sub(at) > daemonMemory {
			delete(f.registeredAt, name)
			changed = true
		}
	}
	if changed {
		f.version++
	}
}

// limit is the number of requests that an upstream takes from all daemons together.
type limit struct {
	// startUnixMilli tells apart the processes that have the same ID.
	startUnixMilli int64
	// rate is in requests a second.
	rate float64
	// heardAt is when the last answer that names the limit came.
	heardAt time.Time
	// askedAt is when the limit was heard in the answer to a query, if that was first; zero if
	// a request was answered.
	askedAt time.Time
	// endedAt is when the upstream named no limit any more; zero while it names one.
	endedAt time.Time
	// reportedAt is when a change was last reported.
	reportedAt time.Time
	// limiter gives this daemon's permits, for the limit and the fleet of fleetVersion.
	limiter      *ratelimit.Limiter
	fleetVersion int
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

// SaidLimit records that an upstream named a limit in requests a second. asked says that it
// did so in the answer to a query, not to a request.
func (t *Tracker) SaidLimit(in registry.Instance, rate float64, asked bool, now time.Time) LimitNews {
	l := t.addLimit(in)
	news := LimitUnchanged
	switch {
	case !l.named():
		news = LimitNamed
		if asked {
			l.askedAt = now
		}
	case l.rate != rate && now.Sub(l.reportedAt) >= limitLogInterval:
		news = LimitChanged
	}
	if news != LimitUnchanged {
		l.reportedAt = now
	}
	if l.rate != rate {
		l.fleetVersion = -1
	}
	l.rate, l.heardAt, l.endedAt, l.unreadable = rate, now, time.Time{}, false
	return news
}

// limiterOf returns the limiter of an upstream; nil if the upstream names no limit.
func (t *Tracker) limiterOf(in registry.Instance, now time.Time) *ratelimit.Limiter {
	l := t.limitOf(in)
	if l == nil {
		return nil
	}
	if t.fleet.epoch.IsZero() {
		t.fleet.epoch = now
	}
	switch {
	case l.limiter == nil:
		l.limiter = ratelimit.New(l.rate, t.fleet.place(in.ID), t.fleet.epoch, now)
		if !l.askedAt.IsZero() {
			l.limiter.PermitFirst(l.askedAt)
		}
	case l.fleetVersion != t.fleet.version:
		l.limiter.Set(l.rate, t.fleet.place(in.ID), now)
	}
	l.fleetVersion = t.fleet.version
	return l.limiter
}

// Limited reports whether an upstream names a limit, and when this daemon may next send a
// request to it.
func (t *Tracker) Limited(in registry.Instance, now time.Time) (next time.Time, limited bool) {
	l := t.limiterOf(in, now)
	if l == nil {
		return now, false
	}
	return l.Next(now), true
}

// LimitedShare returns the part of the candidates that name a limit.
func (t *Tracker) LimitedShare(candidates []registry.Instance) float64 {
	if len(t.limits) == 0 || len(candidates) == 0 {
		return 0
	}
	limited := 0
	for _, in := range candidates {
		if t.limitOf(in) != nil {
			limited++
		}
	}
	return float64(limited) / float64(len(candidates))
}

// TakePermit reports whether a request may be sent to an upstream now, and takes a permit
// for it if the upstream names a limit.
func (t *Tracker) TakePermit(in registry.Instance, now time.Time) bool {
	_, ok := t.ReservePermitAt(in, now, now)
	return ok
}

// ReservePermitAt returns when a request may be sent to an upstream, at latest or before,
// and takes a permit for it if the upstream names a limit.
func (t *Tracker) ReservePermitAt(in registry.Instance, now, latest time.Time) (at time.Time, ok bool) {
	l := t.limiterOf(in, now)
	if l == nil {
		return now, true
	}
	return l.Reserve(now, latest)
}

// ReservePermit takes the first permit of all candidates that can be used at latest or
// before, and returns the upstream and when it can be used. Upstreams that get no work for
// another reason are passed over, and so are those without a limit, for which nothing has
// to be reserved.
func (t *Tracker) ReservePermit(candidates []registry.Instance, now, latest time.Time) (first registry.Instance, at time.Time, ok bool) {
	if len(t.limits) == 0 {
		return registry.Instance{}, time.Time{}, false
	}
	for _, in := range candidates {
		next, limited := t.Limited(in, now)
		if !limited || next.After(latest) || ok && !next.Before(at) || t.unavailable(in, now) {
			continue
		}
		if reason, _ := t.Notice(in, now); reason == NoNotice {
			first, at, ok = in, next, true
		}
	}
	if ok {
		at, ok = t.ReservePermitAt(first, now, latest)
	}
	return first, at, ok
}

// CancelPermit gives back a permit that was reserved for the given time and not used.
func (t *Tracker) CancelPermit(in registry.Instance, at time.Time) {
	if l := t.limitOf(in); l != nil && l.limiter != nil {
		l.limiter.Cancel(at)
	}
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
// anew. One that ended is kept: if the upstream names a limit again, this daemon goes on from
// what it sent before. known holds the start of each registered upstream.
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
			!l.unregisteredAt.IsZero() && now.Sub(l.unregisteredAt) > leavingMemory:
			delete(t.limits, id)
		}
	}
}
