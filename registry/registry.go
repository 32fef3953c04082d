package registry

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// ReregisterGrace is how long after the store becomes available again an
// upstream whose entry lapsed is still used, regardless of when the entry was
// seen to vanish. The platform states that live upstreams have registered again
// within about two seconds, and that one which is still missing then is gone.
const ReregisterGrace = 2 * time.Second

// RemovalGrace is how long an upstream is used whose entry was removed after the
// store had become available again: its lease may have run out before it could
// renew it, which live upstreams do about every 1.2 seconds. It leaves the rest of
// the 2 seconds in which a removed upstream still serves for the removal to take
// effect.
const RemovalGrace = 1200 * time.Millisecond

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
	// Sequence rises with each registration of a process; 0 is unknown.
	Sequence uint64
}

// process returns what tells one run of an upstream from others under its ID.
func (in Instance) process() process { return process{in.ID, in.StartUnixMilli} }

type process struct {
	id             string
	startUnixMilli int64
}

type entry struct {
	Instance
	// lapsed is set for an entry that vanished during an outage of the store or
	// shortly after it.
	lapsed bool
	// usedUntil is the end of RemovalGrace; it is zero for an entry that vanished
	// during the outage, which is used until the end of the grace period.
	usedUntil time.Time
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
	// drained holds the sequences of the processes that were draining when the store was
	// restored from an older copy.
	drained map[process]uint64
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{entries: map[string]*entry{}, byAddress: map[string]string{}, drained: map[process]uint64{}}
}

// StoreRestored records that the store was restored from an older copy: upstreams whose
// entries are missing from it have time to register again, as after an outage, and those
// that are draining stay so although the copy has an older registration of theirs. It
// returns the IDs of the draining ones.
func (r *Registry) StoreRestored(now time.Time) []string {
	r.storeDown, r.recoveredAt = false, now
	var ids []string
	for id, e := range r.entries {
		if e.Draining {
			r.drained[e.process()] = max(r.drained[e.process()], e.Sequence)
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// asDrained returns the registration as it takes effect: a process that was draining when
// the store was restored drains until it registers with a higher sequence.
func (r *Registry) asDrained(in Instance) Instance {
	sequence, ok := r.drained[in.process()]
	switch {
	case !ok || in.Draining:
		// A draining registration ends nothing, also one of a higher sequence.
		if ok {
			r.drained[in.process()] = max(sequence, in.Sequence)
		}
	case in.Sequence > sequence:
		delete(r.drained, in.process())
	default:
		in.Draining = true
	}
	return in
}

// StoreUnavailable records that the store does not answer.
func (r *Registry) StoreUnavailable() { r.storeDown = true }

// StoreAvailable records that the store answers. After an outage it starts the
// grace period and returns true.
func (r *Registry) StoreAvailable(now time.Time) bool {
	if !r.storeDown {
		return false
	}
	r.storeDown = false
	r.recoveredAt = now
	return true
}

// RemoteOutage records that content comes from a daemon whose entries may be
// incomplete because of an outage, and that the store became available again for
// that daemon at recoveredAt. The grace period counts from then; one that has begun
// is not prolonged. RemoteOutage reports whether it set the grace period.
func (r *Registry) RemoteOutage(recoveredAt time.Time) bool {
	if !r.storeDown && r.NearOutage(recoveredAt) && !recoveredAt.Before(r.recoveredAt) {
		return false
	}
	r.storeDown = false
	r.recoveredAt = recoveredAt
	return true
}

// RemoteConfirmed records that content comes from a daemon that sees the store,
// so that entries missing from it are gone.
func (r *Registry) RemoteConfirmed() {
	r.storeDown = false
	r.recoveredAt = time.Time{}
}

// Put adds or replaces an entry.
func (r *Registry) Put(in Instance) {
	in = r.asDrained(in)
	for p := range r.drained {
		if p.id == in.ID && p != in.process() {
			delete(r.drained, p)
		}
	}
	old := r.entries[in.ID]
	if old != nil && !old.lapsed {
		same := in
		same.Sequence = old.Sequence
		if old.Instance == same {
			// The sequence alone changes nothing for those that use the upstream.
			old.Sequence = in.Sequence
			return
		}
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
		if !e.lapsed {
			e.lapsed, e.usedUntil = true, time.Time{}
		}
		return
	}
	delete(r.entries, id)
	r.changed = true
	if !r.NearOutage(now) {
		maps.DeleteFunc(r.drained, func(p process, _ uint64) bool { return p.id == id })
	}
}

// RemoveAfterOutage records that an entry was removed at a time when the store was
// available again. During the grace period it is kept as lapsed for RemovalGrace.
func (r *Registry) RemoveAfterOutage(id string, now time.Time) {
	r.Remove(id, now)
	if e := r.entries[id]; e != nil && e.lapsed && e.usedUntil.IsZero() {
		e.usedUntil = now.Add(RemovalGrace)
	}
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
// silent, because this daemon cannot learn of registrations. ExpireLapsed returns the
// IDs of the dropped entries.
func (r *Registry) ExpireLapsed(confirmed time.Time) []string {
	if r.storeDown {
		return nil
	}
	var dropped []string
	graceOver := !r.NearOutage(confirmed)
	if graceOver {
		// An upstream that has not registered again by then has left.
		maps.DeleteFunc(r.drained, func(p process, _ uint64) bool { return r.entries[p.id] == nil })
	}
	for id, e := range r.entries {
		if e.lapsed && (graceOver || !e.usedUntil.IsZero() && !confirmed.Before(e.usedUntil)) {
			delete(r.entries, id)
			r.changed = true
			dropped = append(dropped, id)
		}
	}
	return dropped
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

// GraceEnd returns the time from which the next lapsed entries are dropped if the
// store confirms that they are missing. It is zero while the store is unavailable
// and when no outage is known.
func (r *Registry) GraceEnd() time.Time {
	if r.storeDown || r.recoveredAt.IsZero() {
		return time.Time{}
	}
	end := r.recoveredAt.Add(ReregisterGrace)
	for _, e := range r.entries {
		if e.lapsed && !e.usedUntil.IsZero() && e.usedUntil.Before(end) {
			end = e.usedUntil
		}
	}
	return end
}

// StoreDown reports whether the store is unavailable.
func (r *Registry) StoreDown() bool { return r.storeDown }

// RecoveredAt returns when the store became available again after the last outage.
// It is zero while the store is unavailable and when no outage is known.
func (r *Registry) RecoveredAt() time.Time {
	if r.storeDown {
		return time.Time{}
	}
	return r.recoveredAt
}
