package registry

import (
	"slices"
	"strings"
	"time"
)

// ReregisterGrace is how long after the store becomes available again an
// upstream whose entry lapsed is still used, regardless of when the entry was
// seen to vanish. The platform states that live upstreams have registered again
// within about two seconds, and that one which is still missing then is gone.
const ReregisterGrace = 2 * time.Second

// Instance is one run of an upstream's process.
type Instance struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Version    string
	// Slots is the number of requests that run at once; 0 is unknown.
	Slots int
	// Draining upstreams get no new work.
	Draining bool
	// StartUnixMilli is the start of the process in Unix milliseconds; 0 is unknown.
	// An upstream that starts again under the same ID has another value.
	StartUnixMilli int64
}

type entry struct {
	Instance
	// lapsed is set for an entry that vanished during an outage of the store or
	// shortly after it.
	lapsed bool
}

// Registry holds the registered upstreams. It is not safe for concurrent use.
type Registry struct {
	entries map[string]*entry
	// byAddress holds the ID of the upstream that registered last at each address.
	byAddress map[string]string
	storeDown bool
	// recoveredAt is when the store last became available again.
	recoveredAt time.Time
	changed     bool
}

// New returns an empty registry.
func New() *Registry { return &Registry{entries: map[string]*entry{}, byAddress: map[string]string{}} }

// StoreUnavailable records that the store does not answer.
func (r *Registry) StoreUnavailable() { r.storeDown = true }

// StoreAvailable records that the store answers. After an outage it starts the
// grace period.
func (r *Registry) StoreAvailable(now time.Time) {
	if r.storeDown {
		r.storeDown = false
		r.recoveredAt = now
	}
}

// RemoteOutage records that content comes from a daemon whose entries may be
// incomplete because of an outage. It starts the grace period; one that has
// begun is not prolonged.
func (r *Registry) RemoteOutage(now time.Time) {
	if r.storeDown || !r.NearOutage(now) {
		r.storeDown = false
		r.recoveredAt = now
	}
}

// RemoteConfirmed records that content comes from a daemon that sees the store,
// so that entries missing from it are gone.
func (r *Registry) RemoteConfirmed() {
	r.storeDown = false
	r.recoveredAt = time.Time{}
}

// Put adds or replaces an entry.
func (r *Registry) Put(in Instance) {
	old := r.entries[in.ID]
	if old != nil && old.Instance == in && !old.lapsed {
		return
	}
	// An address belongs to one process: the upstream that had it before is gone,
	// even if its lease has not ended. An older start does not replace a newer one.
	if occupant := r.entries[r.byAddress[in.Address]]; occupant != nil && in.Address != "" && occupant.ID != in.ID && occupant.StartUnixMilli <= in.StartUnixMilli {
		delete(r.entries, occupant.ID)
	}
	r.byAddress[in.Address] = in.ID
	r.entries[in.ID] = &entry{Instance: in}
	r.changed = true
}

// Remove records that an entry is gone or cannot be read. Around an outage it is
// kept as lapsed.
func (r *Registry) Remove(id string, now time.Time) {
	e := r.entries[id]
	if e == nil {
		return
	}
	// A draining upstream has left and gets no new work, so the grace period is of
	// no use to it.
	if !e.Draining && r.NearOutage(now) {
		e.lapsed = true
		return
	}
	delete(r.entries, id)
	r.changed = true
}

// Replace sets the whole content of the store.
func (r *Registry) Replace(all []Instance, now time.Time) {
	present := make(map[string]bool, len(all))
	for _, in := range all {
		present[in.ID] = true
		r.Put(in)
	}
	for id := range r.entries {
		if !present[id] {
			r.Remove(id, now)
		}
	}
}

// ExpireLapsed drops lapsed entries whose upstreams did not register again;
// confirmed is when the store last confirmed the content. The entries stay while
// the store is unavailable, because no upstream can register, and while it is
// silent, because this daemon cannot learn of registrations.
func (r *Registry) ExpireLapsed(confirmed time.Time) {
	if r.NearOutage(confirmed) {
		return
	}
	for id, e := range r.entries {
		if e.lapsed {
			delete(r.entries, id)
			r.changed = true
		}
	}
}

// TakeChanged reports whether the result of Instances changed since the last
// call.
func (r *Registry) TakeChanged() bool {
	c := r.changed
	r.changed = false
	return c
}

// Instances returns all entries, sorted by ID.
func (r *Registry) Instances() []Instance {
	out := make([]Instance, 0, len(r.entries))
	for _, e := range r.entries {
		out = append(out, e.Instance)
	}
	slices.SortFunc(out, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// NearOutage reports whether an entry that was missing at a time may belong to a
// live upstream, because the store was unavailable then or had been until
// shortly before.
func (r *Registry) NearOutage(at time.Time) bool {
	return r.storeDown || !r.recoveredAt.IsZero() && at.Sub(r.recoveredAt) < ReregisterGrace
}

// GraceEnd returns the time from which lapsed entries are dropped if the store
// confirms that they are missing. It is zero while the store is unavailable and
// when no outage is known.
func (r *Registry) GraceEnd() time.Time {
	if r.storeDown || r.recoveredAt.IsZero() {
		return time.Time{}
	}
	return r.recoveredAt.Add(ReregisterGrace)
}
