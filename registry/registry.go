package registry

import (
	"slices"
	"strings"
	"time"
)

// ReregisterGrace is how long after the store's return an upstream whose entry
// lapsed is still used, whenever the entry was seen to vanish. The platform says
// that live upstreams are back within about two seconds and that one which is
// still missing then is gone.
const ReregisterGrace = 2 * time.Second

// Instance is one start of one upstream.
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
	// Born is the start of the process in Unix milliseconds; 0 is unknown. An
	// upstream that starts again under the same ID has another value.
	StartUnixMilli int64
}

type entry struct {
	Instance
	// lapsed entries vanished around an outage.
	lapsed bool
}

// Registry is owned by one goroutine.
type Registry struct {
	entries map[string]*entry
	// byAddress holds the ID that was registered last at each address.
	byAddress map[string]string
	away      bool
	// returned is when the store came back last.
	returned time.Time
	changed  bool
}

// New returns an empty registry.
func New() *Registry { return &Registry{entries: map[string]*entry{}, byAddress: map[string]string{}} }

// StoreAway notes that the store does not answer.
func (r *Registry) StoreUnavailable() { r.away = true }

// StoreBack notes that the store answers again.
func (r *Registry) StoreAvailable(now time.Time) {
	if r.away {
		r.away = false
		r.returned = now
	}
}

// OutageElsewhere notes that content comes from a daemon for which entries may be
// missing because of an outage. A grace that has begun is not prolonged.
func (r *Registry) RemoteOutage(now time.Time) {
	if r.away || !r.NearOutage(now) {
		r.away = false
		r.returned = now
	}
}

// Trust notes that the content comes from a daemon that sees the store, so that
// what is missing in it is gone.
func (r *Registry) RemoteConfirmed() {
	r.away = false
	r.returned = time.Time{}
}

// Put notes an entry as it was written.
func (r *Registry) Put(in Instance) {
	old := r.entries[in.ID]
	if old != nil && old.Instance == in && !old.lapsed {
		return
	}
	// An address belongs to one process: whoever was there before is gone, also if
	// its lease has not ended.
	if known := r.entries[r.byAddress[in.Address]]; known != nil && in.Address != "" && known.ID != in.ID && known.StartUnixMilli <= in.StartUnixMilli {
		delete(r.entries, known.ID)
	}
	r.byAddress[in.Address] = in.ID
	r.entries[in.ID] = &entry{Instance: in}
	r.changed = true
}

// Remove notes that an entry is gone or cannot be read.
func (r *Registry) Remove(id string, now time.Time) {
	e := r.entries[id]
	if e == nil {
		return
	}
	// A draining upstream has left; only work that it could still get is worth
	// the grace.
	if !e.Draining && r.NearOutage(now) {
		e.lapsed = true
		return
	}
	delete(r.entries, id)
	r.changed = true
}

// Replace notes the whole content of the store.
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

// Tick drops lapsed entries whose upstreams did not register again; confirmed is
// when the store confirmed the content last. While the store is away the entries
// stay, because nothing could register, and while it is silent, because nothing
// could be heard of that.
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

// TakeChanged reports whether Instances differs from the last call.
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

// NearOutage reports whether an entry that was missing at a time may belong to an
// upstream that is still there.
func (r *Registry) NearOutage(at time.Time) bool {
	return r.away || !r.returned.IsZero() && at.Sub(r.returned) < ReregisterGrace
}

// GraceEnd is when lapsed entries are dropped if the store confirms that they are
// missing; zero when none are kept.
func (r *Registry) GraceEnd() time.Time {
	if r.away || r.returned.IsZero() {
		return time.Time{}
	}
	return r.returned.Add(ReregisterGrace)
}
