package era

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/gooseberryroad/gooseberryroad/store"
)

// KeepFor is the time after a restore within which operators and upstreams have written
// again what they had written.
const KeepFor = 10 * time.Second

// RewriteSpread is the time over which the daemons spread the writes with which they
// replace their own entries after a restore.
const RewriteSpread = 5 * time.Second

// Class says how long the known value of an entry stays in force.
type Class int

const (
	// Immediate entries follow the store at once.
	Immediate Class = iota
	// Brief entries stay in force until they were written again, at most for KeepFor.
	Brief
	// Lasting entries stay in force until they were written again.
	Lasting
)

// Plan is what to do with the store's content after a restore.
type Plan struct {
	// Put holds the entries of the store that take effect, and Remove the keys whose
	// removal does, both in order of their keys.
	Put    []store.Entry
	Remove []string
	// Kept holds the keys whose known values stay in force instead, in their order.
	Kept []string
}

type kept struct {
	// value is in force in place of what the store holds. absent says that nothing is.
	value  store.Entry
	absent bool
	// until is zero for a value without a time limit.
	until time.Time
}

// Keeper holds the values that stay in force in place of what the store holds since it
// was restored. The zero value holds none. It is not safe for concurrent use.
type Keeper struct {
	kept map[string]kept
	// continuing holds the entries that were in force at the last restore and not written
	// since, until the time that follows.
	continuing map[string]store.Entry
	until      time.Time
	// removed holds entries that were removed, which the copy may hold.
	removed map[string]removal
}

type removal struct {
	revision uint64
	at       time.Time
}

const (
	// maxCopyAge is more than the age of a copy to which the store returns, which is some
	// seconds. Removals are remembered for that long.
	maxCopyAge = time.Minute
	// minForget is the number of remembered removals from which old ones are forgotten.
	minForget = 1024
)

// InForce returns the value that is in force in place of the store's.
func (k *Keeper) InForce(key string) (store.Entry, bool) {
	v, ok := k.kept[key]
	return v.value, ok && !v.absent
}

// Restored compares what was known before a restore with the first content read after it.
// known holds the store's entries as they were read; values that are in force in their
// place since an earlier restore count as known, too.
func (k *Keeper) Restored(known map[string]store.Entry, content []store.Entry, classOf func(key string) Class, now time.Time) Plan {
	inForce := maps.Clone(known)
	for key, v := range k.kept {
		if v.absent {
			delete(inForce, key)
		} else {
			inForce[key] = v.value
		}
	}
	found := make(map[string]store.Entry, len(content))
	for _, e := range content {
		found[e.Key] = e
	}
	firstLost := firstLostRevision(known, found)
	k.kept, k.continuing, k.until = map[string]kept{}, map[string]store.Entry{}, now.Add(KeepFor)
	keep := func(old store.Entry, class Class) {
		v := kept{value: old}
		if class == Brief {
			v.until = k.until
		}
		k.kept[old.Key] = v
	}
	var p Plan
	for _, key := range slices.Sorted(maps.Keys(found)) {
		e, class := found[key], classOf(key)
		old, ok := inForce[key]
		switch {
		case !ok && k.removedBefore(e, now):
			k.kept[key] = kept{absent: true, until: k.until}
			p.Kept = append(p.Kept, key)
		case !ok || class == Immediate:
			p.Put = append(p.Put, e)
		case bytes.Equal(old.Value, e.Value):
			k.continuing[key] = old
		case writtenAgain(known, e, firstLost):
			p.Put = append(p.Put, e)
		default:
			k.continuing[key] = old
			keep(old, class)
			p.Kept = append(p.Kept, key)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(inForce)) {
		if _, ok := found[key]; ok {
			continue
		}
		class := classOf(key)
		if class == Immediate {
			p.Remove = append(p.Remove, key)
			continue
		}
		k.continuing[key] = inForce[key]
		keep(inForce[key], class)
		p.Kept = append(p.Kept, key)
	}
	slices.Sort(p.Kept)
	return p
}

// firstLostRevision returns the smallest revision that is known to be newer than the
// copy: that of an entry which the restored store holds at an earlier revision. It is 0 if
// there is none.
func firstLostRevision(known, found map[string]store.Entry) uint64 {
	first := uint64(0)
	for key, e := range found {
		old, ok := known[key]
		if !ok {
			continue
		}
		if r := store.RevisionOf(old.Index); store.RevisionOf(e.Index) < r && (first == 0 || r < first) {
			first = r
		}
	}
	return first
}

// writtenAgain reports whether e was certainly written after the store's entry of the same
// key was last read: at the same revision with another value, at a higher one, or at one
// that the copy cannot hold.
func writtenAgain(known map[string]store.Entry, e store.Entry, firstLost uint64) bool {
	old, ok := known[e.Key]
	if !ok {
		// The store did not hold it when it was last read.
		return true
	}
	r, before := store.RevisionOf(e.Index), store.RevisionOf(old.Index)
	if r == before {
		return !bytes.Equal(old.Value, e.Value)
	}
	return r > before || firstLost != 0 && r >= firstLost
}

// Written records that a key was written or removed since the restore: the store's
// content is in force again. It returns the value that was in force at the restore, and
// whether the key was written for the first time since, within KeepFor.
func (k *Keeper) Written(key string, now time.Time) (before store.Entry, first bool) {
	before, first = k.continuing[key]
	delete(k.kept, key)
	delete(k.continuing, key)
	return before, first && now.Before(k.until)
}

// Removed records that an entry was removed from the store. A copy that holds it does not
// bring it back for KeepFor.
func (k *Keeper) Removed(e store.Entry, now time.Time) {
	if k.removed == nil {
		k.removed = map[string]removal{}
	}
	if len(k.removed) >= minForget {
		maps.DeleteFunc(k.removed, func(_ string, r removal) bool { return now.Sub(r.at) >= maxCopyAge })
	}
	k.removed[e.Key] = removal{store.RevisionOf(e.Index), now}
}

// removedBefore reports whether e is the entry of a key that was removed before a restore.
func (k *Keeper) removedBefore(e store.Entry, now time.Time) bool {
	r, ok := k.removed[e.Key]
	return ok && r.revision == store.RevisionOf(e.Index) && now.Sub(r.at) < maxCopyAge
}

// Expire ends the values whose time is over, and returns their keys in order.
func (k *Keeper) Expire(now time.Time) []string {
	var ended []string
	for _, key := range slices.Sorted(maps.Keys(k.kept)) {
		if v := k.kept[key]; !v.until.IsZero() && !now.Before(v.until) {
			delete(k.kept, key)
			ended = append(ended, key)
		}
	}
	if len(k.continuing) > 0 && !now.Before(k.until) {
		k.continuing = nil
	}
	return ended
}
