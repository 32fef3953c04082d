package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gooseberryroad/gooseberryroad/internal/backoff"
)

// CrashLogOptions bound a CrashLog. Zero values take the defaults.
type CrashLogOptions struct {
	// MaxCrashes is the number of crashes after which a content is quarantined; 3,
	// the number that the users' rules allow.
	MaxCrashes int
	// Memory is how long after the last crash a content is remembered; 10 min.
	Memory time.Duration
	// MaxEntries bounds the contents that are remembered; 1024.
	MaxEntries int
	// MaxPublished bounds the contents of one publication; 128, which are some 5 KB.
	MaxPublished int
	// PublishEvery is the least time between two publications, because calls to
	// the store are priced; 400 ms.
	PublishEvery time.Duration
	// RepublishEvery is when counts are published again that did not change; 2 min,
	// below the least time that a daemon's lease has left.
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

// maxPublishPause bounds the pause between publications that the store refuses.
const maxPublishPause = 3200 * time.Millisecond

// crashEntry is what is known of one content.
type crashEntry struct {
	// count is the number of crashes one after the other, of which own says that
	// this daemon saw the last one.
	count int
	own   bool
	// since is when this daemon learned of count, last when it learned of a crash.
	since, last time.Time
}

// CrashLog quarantines contents by the number of upstreams that crashed one after
// the other as they began to run them. Daemons need no trials and no messages for
// it: each publishes its counts and takes the largest that it reads.
//
// Only a run that began after the earlier crashes were known counts as another
// one, so that copies of a content that run on upstreams which crash together
// count as one crash. A content that completes is forgotten. Other daemons learn
// of a count when the store delivers it; until then each side counts on its own.
// It is not safe for concurrent use.
type CrashLog struct {
	o       CrashLogOptions
	entries map[Hash]*crashEntry
	dirty   bool
	// published is when counts were handed out for publication last.
	published time.Time
	retry     backoff.Backoff
}

// NewCrashLog returns an empty log.
func NewCrashLog(o CrashLogOptions) *CrashLog {
	o = o.withDefaults()
	return &CrashLog{o: o, entries: map[Hash]*crashEntry{}, retry: backoff.Backoff{Initial: o.PublishEvery, Max: maxPublishPause}}
}

// Empty reports whether no content is known, so that none needs a hash.
func (l *CrashLog) Empty() bool { return len(l.entries) == 0 }

// Crashed notes that an upstream crashed as it began a run that was sent at began,
// and returns the number of crashes known.
func (l *CrashLog) Crashed(h Hash, began, now time.Time) int {
	l.expire(now)
	e := l.entries[h]
	switch {
	case e == nil:
		l.evict()
		e = &crashEntry{}
		l.entries[h] = e
	case began.Before(e.since):
		e.last = now
		return e.count
	}
	*e = crashEntry{count: e.count + 1, own: true, since: now, last: now}
	l.dirty = true
	return e.count
}

// Learn takes the largest counts that other daemons published.
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
		l.entries[h] = &crashEntry{count: count, since: now, last: now}
	}
}

// Completed notes that an upstream ran a content to its end.
func (l *CrashLog) Completed(h Hash) {
	if e := l.entries[h]; e != nil {
		l.dirty = l.dirty || e.own
		delete(l.entries, h)
	}
}

// Quarantined returns how long a content may not run; 0 for one that may.
func (l *CrashLog) Quarantined(h Hash, now time.Time) time.Duration {
	e := l.entries[h]
	if e == nil || e.count < l.o.MaxCrashes {
		return 0
	}
	return max(e.last.Add(l.o.Memory).Sub(now), 0)
}

// Due returns the counts that this daemon has to publish, the largest ones if there
// are many; false when there is nothing new.
func (l *CrashLog) Due(now time.Time) (map[Hash]int, bool) {
	l.expire(now)
	var own []Hash
	for h, e := range l.entries {
		if e.own {
			own = append(own, h)
		}
	}
	age := now.Sub(l.published)
	again := len(own) > 0 && age >= l.o.RepublishEvery
	if !l.dirty && !again || age < l.o.PublishEvery || !l.retry.Ready(now) {
		return nil, false
	}
	l.dirty, l.published = false, now
	slices.SortFunc(own, func(a, b Hash) int {
		x, y := l.entries[a], l.entries[b]
		return cmp.Or(cmp.Compare(y.count, x.count), y.last.Compare(x.last))
	})
	out := map[Hash]int{}
	for _, h := range own[:min(len(own), l.o.MaxPublished)] {
		out[h] = l.entries[h].count
	}
	return out, true
}

// Published notes whether the store took the counts; they are due again if not.
func (l *CrashLog) Published(ok bool, now time.Time) {
	if ok {
		l.retry.Succeeded()
		return
	}
	l.retry.Failed(now)
	l.dirty = true
}

// expire forgets contents whose last crash is long past. What this daemon
// published of them is published without them.
func (l *CrashLog) expire(now time.Time) {
	maps.DeleteFunc(l.entries, func(_ Hash, e *crashEntry) bool {
		old := now.Sub(e.last) >= l.o.Memory
		l.dirty = l.dirty || old && e.own
		return old
	})
}

// evict makes room for one content: it forgets the one with the fewest crashes,
// the oldest of these.
func (l *CrashLog) evict() {
	if len(l.entries) < l.o.MaxEntries {
		return
	}
	var victim Hash
	var least *crashEntry
	for h, e := range l.entries {
		if least == nil || e.count < least.count || e.count == least.count && e.last.Before(least.last) {
			victim, least = h, e
		}
	}
	l.dirty = l.dirty || least.own
	delete(l.entries, victim)
}
