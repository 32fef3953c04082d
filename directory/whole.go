package directory

import (
	"time"

	"github.com/gooseberryroad/gooseberryroad/store"
)

// maxPartAge is how long the pages of an unfinished reading are used. Later the
// store may have dropped the history from which the watch continues.
const maxPartialAge = 10 * time.Second

// wholeReading collects the pages of the store's content. It outlives calls that
// fail: when hundreds of daemons start together the store turns many calls away,
// and a daemon that began anew each time would have to be lucky with all pages
// in a row.
type snapshotReader struct {
	began    time.Time
	revision uint64
	entries  []store.Entry
	// after is the last key that was read.
	after string
}

// next returns the key after which the next page begins. What was read is
// dropped when it is old, or older than the revision that is known already.
func (r *snapshotReader) nextPageAfter(known uint64, now time.Time) string {
	if now.Sub(r.began) > maxPartialAge || r.revision < known {
		*r = snapshotReader{}
	}
	return r.after
}

// add takes a page that was asked for at now and reports whether it is the last.
func (r *snapshotReader) addPage(p store.Page, now time.Time) bool {
	if r.after == "" {
		// The watch continues from the first page's revision: it brings again what
		// changed after that.
		r.began, r.revision, r.entries = now, p.Revision, nil
	}
	r.entries = append(r.entries, p.Entries...)
	if len(p.Entries) == 0 || !p.More {
		return true
	}
	r.after = p.Entries[len(p.Entries)-1].Key
	return false
}

// finish returns the content and begins anew.
func (r *snapshotReader) finish(now time.Time) Update {
	u := Update{Snapshot: true, Entries: r.entries, Revision: r.revision, Age: now.Sub(r.began)}
	*r = snapshotReader{}
	return u
}
