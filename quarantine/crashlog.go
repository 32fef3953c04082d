package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gooseberryroad/gooseberryroad/internal/backoff"
)

// CrashLogOptions are the bounds of a CrashLog. Zero values select the defaults,
// which each field's comment gives.
type CrashLogOptions struct {
	// MaxCrashes is the number of crashes after which a content is quarantined; 3,
	// which is what the users' rules allow.
	MaxCrashes int
	// Memory is how long after its last crash a content is remembered; 10 min.
	Memory time.Duration
	// MaxEntries is the largest number of contents that are remembered; 1024.
	MaxEntries int
	// MaxPublished is the largest number of contents in one publication; 128, which
	// take about 5 KB.
	MaxPublished int
	// PublishEvery is the shortest time between two publications, because calls to
	// the store are priced; 400 ms.
	PublishEvery time.Duration
	// RepublishEvery is the time after which unchanged counts are published again;
	// 2 min, less than the shortest time that a daemon's lease has left.
	RepublishEvery time.Duration
}

func (o CrashLogOptions) withDefaults() CrashLogOptions {
	if o.MaxCrashes <= 0 {
		o.MaxCrashes = 3
	}
	if o.Memory <= 0 {
		o.Memory = 10 * time.Minute
	}
	if o.MaxEntries <= 0 {
		o.MaxEntries = 1024
	}
	if o.MaxPublished <= 0 {
		o.MaxPublished = 128
	}
	if o.PublishEvery <= 0 {
		o.PublishEvery = 400 * time.Millisecond
	}
	if o.RepublishEvery <= 0 {
		o.RepublishEvery = 2 * time.Minute
	}
	return o
}

// maxPublishPause bounds the backoff between publications that the store refuses.
const maxPublishPause = 3200 * time.Millisecond

// crashEntry records the crashes of one content.
type crashEntry struct {
	// count is the number of successive crashes; ownCrash says that this daemon
	// saw the last one itself.
	count    int
	ownCrash bool
	// countedAt is when this daemon learned of count, lastCrash when it last
	// learned of a crash.
	countedAt, lastCrash time.Time
}

// CrashLog quarantines contents by the number of upstreams that crashed, one after
// the other, as they began to run them. It needs no trials and no messages between
// daemons: each daemon publishes its counts and adopts the largest that it reads.
//
// A crash is counted only if the run began after the earlier crashes were known,
// so that copies of a content on upstreams which crash together count as one
// crash. A content that completes is forgotten. Other daemons learn of a count
// when the store delivers it; until then each daemon counts on its own.
// It is not safe for concurrent use.
type CrashLog struct {
	o       CrashLogOptions
	entries map[Hash]*crashEntry
	dirty   bool
	// published is when Due last returned counts to publish.
	published time.Time
	retry     backoff.Backoff
}

// NewCrashLog returns an empty log.
func NewCrashLog(o CrashLogOptions) *CrashLog {
	o = o.withDefaults()
	return &CrashLog{o: o, entries: map[Hash]*crashEntry{}, retry: backoff.Backoff{Initial: o.PublishEvery, Max: maxPublishPause}}
}

// Empty reports whether the log has no entries. The caller then need not hash
// the contents of requests.
func (l *CrashLog) Empty() bool { return len(l.entries) == 0 }

// Crashed records that an upstream crashed as it began a run that was sent at
// began, and returns the number of crashes known for the content.
func (l *CrashLog) Crashed(h Hash, began, now time.Time) int {
	l.expire(now)
	e := l.entries[h]
	switch {
	case e == nil:
		l.evict()
		e = &crashEntry{}
		l.entries[h] = e
	case began.Before(e.countedAt):
		e.lastCrash = now
		return e.count
	}
	*e = crashEntry{count: e.count + 1, ownCrash: true, countedAt: now, lastCrash: now}
	l.dirty = true
	return e.count
}

// Merge adopts the largest counts that other daemons published where they exceed
// this daemon's.
func (l *CrashLog) Merge(counts map[Hash]int, now time.Time) {
	l.expire(now)
	for h, count := range counts {
		e := l.entries[h]
		if e != nil && e.count >= count {
			continue
		}
		if e == nil {
			l.evict()
		}
		l.entries[h] = &crashEntry{count: count, countedAt: now, lastCrash: now}
	}
}

// Completed records that an upstream ran a content to its end, and forgets its
// crashes.
func (l *CrashLog) Completed(h Hash) {
	if e := l.entries[h]; e != nil {
		l.dirty = l.dirty || e.ownCrash
		delete(l.entries, h)
	}
}

// Quarantined returns for how long a content may still not run; 0 if it may run.
func (l *CrashLog) Quarantined(h Hash, now time.Time) time.Duration {
	e := l.entries[h]
	if e == nil || e.count < l.o.MaxCrashes {
		return 0
	}
	return max(e.lastCrash.Add(l.o.Memory).Sub(now), 0)
}

// Due returns the counts that this daemon should publish now, or false when nothing
// is due. If there are more than MaxPublished, it returns the largest ones.
func (l *CrashLog) Due(now time.Time) (map[Hash]int, bool) {
	l.expire(now)
	var own []Hash
	for h, e := range l.entries {
		if e.ownCrash {
			own = append(own, h)
		}
	}
	age := now.Sub(l.published)
	republish := len(own) > 0 && age >= l.o.RepublishEvery
	if !l.dirty && !republish || age < l.o.PublishEvery || !l.retry.Ready(now) {
		return nil, false
	}
	l.dirty, l.published = false, now
	slices.SortFunc(own, func(a, b Hash) int {
		x, y := l.entries[a], l.entries[b]
		return cmp.Or(cmp.Compare(y.count, x.count), y.lastCrash.Compare(x.lastCrash))
	})
	out := map[Hash]int{}
	for _, h := range own[:min(len(own), l.o.MaxPublished)] {
		out[h] = l.entries[h].count
	}
	return out, true
}

// Published records whether the store accepted the counts. If not, they become due
// again after a backoff.
func (l *CrashLog) Published(ok bool, now time.Time) {
	if ok {
		l.retry.Succeeded()
		return
	}
	l.retry.Failed(now)
	l.dirty = true
}

// PublishAgain makes the counts due that were published, because the store lost them.
func (l *CrashLog) PublishAgain() {
	for _, e := range l.entries {
		l.dirty = l.dirty || e.ownCrash
	}
}

// expire forgets contents whose last crash is older than Memory. If this daemon
// published one of them, the next publication leaves it out.
func (l *CrashLog) expire(now time.Time) {
	maps.DeleteFunc(l.entries, func(_ Hash, e *crashEntry) bool {
		expired := now.Sub(e.lastCrash) >= l.o.Memory
		l.dirty = l.dirty || expired && e.ownCrash
		return expired
	})
}

// evict makes room for one content when the log is full: it forgets the content
// with the fewest crashes, and of these the one whose last crash is oldest.
func (l *CrashLog) evict() {
	if len(l.entries) < l.o.MaxEntries {
		return
	}
	var victim Hash
	var least *crashEntry
	for h, e := range l.entries {
		if least == nil || e.count < least.count || e.count == least.count && e.lastCrash.Before(least.lastCrash) {
			victim, least = h, e
		}
	}
	l.dirty = l.dirty || least.ownCrash
	delete(l.entries, victim)
}
