package node

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/gooseberryroad/gooseberryroad/revision"
	"github.com/gooseberryroad/gooseberryroad/store"
)

var watchedPrefixes = []string{revision.Prefix, MovesPrefix}

// minWatchGap bounds how often a watch is armed again during a burst of
// changes: the store counts each call.
const minWatchGap = 100 * time.Millisecond

// maxBackoff bounds the pause after store errors. It is part of the time in
// which a daemon sees a change after an outage.
const maxBackoff = 2 * time.Second

// watch is the state of the watch of one prefix.
type watch struct {
	prefix string
	// id is the number of the call that is waited for, 0 when there is none.
	id       uint64
	issuedAt time.Time
	wait     time.Duration
	// index is where the next call waits; 0 lists at once.
	index    uint64
	listedAt time.Time
	nextAt   time.Time
	failures int
	// early counts watches in a row that returned early without a change.
	early int
}

func (n *Node) tickWatches(now time.Time) []Action {
	var out []Action
	// A daemon that lost the store tries it until a call succeeds, elected or
	// not. Once all daemons of a data centre have failed, the elected ones need
	// not be those that can reach it again.
	elected := n.elected(now)
	watching := elected || n.storeDown
	for _, prefix := range watchedPrefixes {
		w := n.watches[prefix]
		if !watching {
			if w.id != 0 {
				w.id, w.index = 0, 0
				out = append(out, UnwatchStore{Prefix: prefix})
			}
			continue
		}
		if w.id != 0 && now.Sub(w.issuedAt) > 2*w.wait {
			// A connection can go silent for good without an error.
			out = append(out, Explain{Subject: "store", Text: fmt.Sprintf(
				"the watch of %s returned nothing for %s and is opened again on a new connection", prefix, now.Sub(w.issuedAt).Round(time.Millisecond))})
			// A list that hangs as well means that the store cannot be reached.
			n.watchFailed(now, w, w.index == 0)
			w.nextAt = now
		}
		nextAt := w.nextAt
		if !elected {
			// The whole fleet may be trying.
			nextAt = nextAt.Add(maxBackoff)
		}
		if w.id != 0 || now.Before(nextAt) {
			continue
		}
		if now.Sub(w.listedAt) > n.o.RelistInterval {
			w.index = 0
		}
		n.watchSeq++
		w.id, w.issuedAt, w.wait = n.watchSeq, now, n.o.WatchWait
		if w.index == 0 {
			w.wait = n.o.ListWait
		}
		out = append(out, WatchStore{Prefix: prefix, Watch: w.id, Index: w.index, Wait: w.wait})
	}
	return out
}

// electInterval is how often the choice of watchers is made again.
const electInterval = 500 * time.Millisecond

func (n *Node) elected(now time.Time) bool {
	if !now.Before(n.electAt) {
		n.electAt, n.isElected = now.Add(electInterval), n.members.IsWatcher(now)
	}
	return n.isElected
}

func (n *Node) watchFailed(now time.Time, w *watch, down bool) {
	w.id, w.index = 0, 0
	w.failures++
	w.nextAt = now.Add(backoff(n.o.Rand, w.failures))
	if down {
		n.setStoreDown(true)
	}
}

// backoff doubles from 100 ms to maxBackoff and is jittered to between a half
// and the whole of it, so that daemons do not return to a store that comes back
// at the same instant.
func backoff(rnd *rand.Rand, failures int) time.Duration {
	d := maxBackoff
	if failures < 6 {
		d = min(maxBackoff, 50*time.Millisecond<<failures)
	}
	return d/2 + time.Duration(rnd.Int64N(int64(d/2)))
}

func (n *Node) listed(now time.Time, ev StoreListed) []Action {
	var out []Action
	// Entries are of use whichever call they answer: revisions protect them.
	if ev.Err == nil {
		for _, e := range ev.Entries {
			if strings.HasPrefix(e.Key, ev.Prefix) {
				out = append(out, n.offer(now, e, "the store", "")...)
			}
		}
		if ev.Prefix == revision.Prefix {
			if !n.configured || ev.Index > n.applied {
				n.configured, n.applied, n.changed = true, max(n.applied, ev.Index), true
			}
		}
	}
	if ev.Err == nil && ev.Prefix == MovesPrefix {
		out = append(out, n.movesAbsent(now)...)
	}
	w := n.watches[ev.Prefix]
	if w == nil || w.id == 0 || w.id != ev.Watch {
		return out
	}
	if ev.Err != nil {
		if w.failures == 0 {
			out = append(out, Explain{Subject: "store", Text: fmt.Sprintf("the watch of %s failed: %v", ev.Prefix, ev.Err)})
		}
		n.watchFailed(now, w, true)
		return out
	}
	if w.index == 0 {
		w.listedAt = now
	}
	if ev.Index < w.index || ev.Prefix == revision.Prefix && ev.Index < n.applied {
		// A stale answer, or a store that lost its history. Waiting for the
		// old index could take for ever, so list again after a pause.
		if w.failures == 0 {
			out = append(out, Explain{Subject: "store", Text: fmt.Sprintf(
				"a list of %s at index %d is older than index %d, which was seen before; listing again", ev.Prefix, ev.Index, max(w.index, n.applied))})
		}
		n.watchFailed(now, w, false)
		return out
	}
	w.nextAt = w.issuedAt.Add(minWatchGap)
	if w.index > 0 && ev.Index == w.index && now.Sub(w.issuedAt) < w.wait/2 {
		// A store may end a watch early. One that always does must not be
		// called without pause.
		w.early++
		w.nextAt = now.Add(backoff(n.o.Rand, w.early))
	} else {
		w.early = 0
	}
	w.id, w.index, w.failures = 0, ev.Index, 0
	n.setStoreDown(false)
	return append(out, n.tickWatches(now)...)
}

func (n *Node) wrote(now time.Time, ev StoreWrote) []Action {
	n.storeSeen(ev.Err)
	if ev.Err != nil || ev.Index == 0 {
		if strings.HasPrefix(ev.Key, MovesPrefix) {
			return n.moveFailed(now, ev.Key, ev.Err)
		}
		return nil
	}
	return n.offer(now, store.Entry{Key: ev.Key, Value: ev.Value, Index: ev.Index}, "a write of this daemon", "")
}

// storeSeen notes whether a write or read of one key reached the store. A daemon
// that holds no watch learns only from these that it cannot be the owner of a
// move.
func (n *Node) storeSeen(err error) {
	down := errors.Is(err, store.ErrUnavailable)
	if !down && err != nil && !errors.Is(err, store.ErrConflict) {
		return
	}
	n.setStoreDown(down)
}

func (n *Node) setStoreDown(down bool) {
	if n.storeDown != down {
		n.storeDown, n.changed = down, true
	}
}
