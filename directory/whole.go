package directory

import (
	"time"

	"github.com/gooseberryroad/gooseberryroad/store"
)

// maxPartialAge is how long the pages of an unfinished snapshot are used. Later
// the store may have compacted the history from which the watch continues.
const maxPartialAge = 10 * time.Second

// snapshotReader collects the pages of the store's content. The pages outlive
// calls that fail: when hundreds of daemons start together, the store refuses
// many calls, and a daemon that began again after each refusal would hardly ever
// read all pages in a row.
type snapshotReader struct {
	began    time.Time
	revision uint64
	entries  []store.Entry
	// after is the key after which the next page begins; empty for the first page.
	after string
	// mayBeStale says that the pages may be older than the store's content.
	mayBeStale bool
	// staleAge is the age of a snapshot of such pages.
	staleAge time.Duration
}

// nextPageAfter returns the key after which the next page begins. Pages that
// were read too long ago, or at a revision older than the known one, are dropped
// first.
func (r *snapshotReader) nextPageAfter(known uint64, now time.Time) string {
	if now.Sub(r.began) > maxPartialAge || r.revision < known {
		*r = snapshotReader{mayBeStale: r.mayBeStale, staleAge: r.staleAge}
	}
	return r.after
}

// addPage adds a page that was requested at now and reports whether it is the
// last.
func (r *snapshotReader) addPage(p store.Page, now time.Time) bool {
	if r.after != "" && store.EraOf(p.Revision) != store.EraOf(r.revision) {
		// The store was restored from an older copy since the first page.
		*r = snapshotReader{mayBeStale: r.mayBeStale, staleAge: r.staleAge}
		return false
	}
	if r.after == "" {
		// The watch continues from the revision of the first page and thus repeats what
		// changed while the other pages were read.
		r.began, r.revision, r.entries = now, p.Revision, nil
	}
	// Pages that may be stale differ in their age.
	r.revision = min(r.revision, p.Revision)
	r.entries = append(r.entries, p.Entries...)
	if len(p.Entries) == 0 || !p.More {
		return true
	}
	r.after = p.Entries[len(p.Entries)-1].Key
	return false
}

// finish returns the snapshot and resets the reader.
func (r *snapshotReader) finish(now time.Time) Update {
	u := Update{Snapshot: true, Entries: r.entries, Revision: r.revision, Age: now.Sub(r.began)}
	if r.mayBeStale {
		u.Age = r.staleAge
		if e := store.EraOf(r.revision); e > 0 {
			// The pages may be from before the store was restored, when its revisions counted
			// other changes.
			u.Revision, u.RevisionUnknown = store.At(e, 0), true
		}
	}
	*r = snapshotReader{}
	return u
}
