package directory

import (
	"time"

	"github.com/gooseberryroad/gooseberryroad/store"
)

// maxPartAge is how long the pages of an unfinished reading are used. Later the
// store may have dropped the history from which the watch continues.
const maxPartAge = 10 * time.Second

// wholeReading collects the pages of the store's content. It outlives calls that
// fail: when hundreds of daemons start together the store turns many calls away,
// and a daemon that began anew each time would have to be lucky with all pages
// in a row.
type wholeReading struct {
	began    time.Time
	revision uint64
	entries  []store.Entry
	// after is the last key that was read.
	after string
}

// next returns the key after which the next page begins. What was read is
// dropped when it is old, or older than the revision that is known already.
func (w *wholeReading) next(known uint64, now time.Time) string {
	if now.Sub(w.began) > maxPartAge || w.revision < known {
		*w = wholeReading{}
	}
	return w.after
}

// add takes a page that was asked for at now and reports whether it is the last.
func (w *wholeReading) add(p store.Page, now time.Time) bool {
	if w.after == "" {
		// The watch continues from the first page's revision: it brings again what
		// changed after that.
		w.began, w.revision, w.entries = now, p.Revision, nil
	}
	w.entries = append(w.entries, p.Entries...)
	if len(p.Entries) == 0 || !p.More {
		return true
	}
	w.after = p.Entries[len(p.Entries)-1].Key
	return false
}

// finish returns the content and begins anew.
func (w *wholeReading) finish(now time.Time) Update {
	u := Update{Snapshot: true, Entries: w.entries, Revision: w.revision, Age: now.Sub(w.began)}
	*w = wholeReading{}
	return u
}
