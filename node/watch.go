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

// watchedPrefixes are the store prefixes that a watcher watches.
var watchedPrefixes = []string{revision.Prefix, MovesPrefix}

// minWatchGap is the least time between two calls of one watch. It limits the
// calls to the store during a burst of changes. It is also the least time
// between an outstanding poll and a repeated one when an upstream is in doubt.
const minWatchGap = 100 * time.Millisecond

// maxBackoff bounds the pause after store errors. It adds to the time until a
// daemon sees a change after an outage.
const maxBackoff = 2 * time.Second

// watch is the state of the watch of one prefix.
type watch struct {
	prefix string
	// callID is the number of the outstanding call, 0 when there is none.
	callID   uint64
	issuedAt time.Time
	wait     time.Duration
	// index is the store index after which the next call waits for a change; 0
	// lists at once.
	index    uint64
	listedAt time.Time
	nextAt   time.Time
	failures int
	// earlyReturns counts consecutive calls that returned early without a change.
	earlyReturns int
}

func (n *Node) tickWatches(now time.Time) []Action {
	var out []Action
	// A daemon that lost the store tries it until a call succeeds, elected or
	// not. Once all daemons of a data centre have failed, the elected ones need
	// not be those that can reach it again.
	elected := n.electedWatcher(now)
	watching := elected || n.storeDown
	for _, prefix := range watchedPrefixes {
		w := n.watches[prefix]
		if !watching {
			if w.callID != 0 {
				w.callID, w.index = 0, 0
				out = append(out, UnwatchStore{Prefix: prefix})
			}
			continue
		}
		if w.callID != 0 && now.Sub(w.issuedAt) > 2*w.wait {
			// A connection can go silent for good without an error.
			out = append(out, Explain{Subject: "store", Text: fmt.Sprintf(
				"the watch of %s returned nothing for %s and is opened again on a new connection", prefix, now.Sub(w.issuedAt).Round(time.Millisecond))})
			// A list should return at once, so one that hangs means that the store
			// cannot be reached.
			n.watchFailed(now, w, w.index == 0)
			w.nextAt = now
		}
		nextAt := w.nextAt
		if !elected {
			// All daemons may be trying, so each does it less often.
			nextAt = nextAt.Add(maxBackoff)
		}
		if w.callID != 0 || now.Before(nextAt) {
			continue
		}
		if now.Sub(w.listedAt) > n.opts.RelistInterval {
			w.index = 0
		}
		n.watchSeq++
		w.callID, w.issuedAt, w.wait = n.watchSeq, now, n.opts.WatchWait
		if w.index == 0 {
			w.wait = n.opts.ListWait
		}
		out = append(out, WatchStore{Prefix: prefix, Watch: w.callID, Index: w.index, Wait: w.wait})
	}
	return out
}

// electInterval is the time between two elections of the watchers.
const electInterval = 500 * time.Millisecond

func (n *Node) electedWatcher(now time.Time) bool {
	if !now.Before(n.nextElectionAt) {
		n.nextElectionAt, n.isWatcher = now.Add(electInterval), n.members.IsWatcher(now)
	}
	return n.isWatcher
}

func (n *Node) watchFailed(now time.Time, w *watch, down bool) {
	w.callID, w.index = 0, 0
	w.failures++
	w.nextAt = now.Add(backoff(n.opts.Rand, w.failures))
	if down {
		n.setStoreDown(true)
	}
}

// backoff returns the pause after a number of failures. It doubles from 100 ms
// to maxBackoff and is jittered to between a half and the whole of that, so that
// daemons do not all call a store at the instant at which it comes back.
func backoff(rnd *rand.Rand, failures int) time.Duration {
	d := maxBackoff
	if failures < 6 {
		d = min(maxBackoff, 50*time.Millisecond<<failures)
	}
	return d/2 + time.Duration(rnd.Int64N(int64(d/2)))
}

func (n *Node) handleStoreList(now time.Time, ev StoreListed) []Action {
	var out []Action
	// Entries are applied whichever call they answer, because old revisions are
	// ignored.
	if ev.Err == nil {
		for _, e := range ev.Entries {
			if strings.HasPrefix(e.Key, ev.Prefix) {
				out = append(out, n.offerEntry(now, e, "the store", "")...)
			}
		}
		if ev.Prefix == revision.Prefix {
			applied := max(ev.Index, n.revs.HighestOf(ev.Entries))
			if !n.configured || applied > n.applied {
				n.configured, n.applied, n.changed = true, max(n.applied, applied), true
			}
		}
	}
	if ev.Err == nil && ev.Prefix == MovesPrefix {
		out = append(out, n.handleMissingMoves(now)...)
	}
	w := n.watches[ev.Prefix]
	if w == nil || w.callID == 0 || w.callID != ev.Watch {
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
		// The list is stale, or the store lost its history. Waiting for the old
		// index could take forever, so list again after a pause.
		if w.failures == 0 {
			out = append(out, Explain{Subject: "store", Text: fmt.Sprintf(
				"a list of %s at index %d is older than index %d, which was seen before; listing again", ev.Prefix, ev.Index, max(w.index, n.applied))})
		}
		n.watchFailed(now, w, false)
		return out
	}
	w.nextAt = w.issuedAt.Add(minWatchGap)
	if w.index > 0 && ev.Index == w.index && now.Sub(w.issuedAt) < w.wait/2 {
		// A store may end a watch early. One that always does so must not be
		// called without a pause.
		w.earlyReturns++
		w.nextAt = now.Add(backoff(n.opts.Rand, w.earlyReturns))
	} else {
		w.earlyReturns = 0
	}
	w.callID, w.index, w.failures = 0, ev.Index, 0
	n.setStoreDown(false)
	return append(out, n.tickWatches(now)...)
}

func (n *Node) handleStoreWrite(now time.Time, ev StoreWrote) []Action {
	n.noteStoreResult(ev.Err)
	if ev.Err != nil || ev.Index == 0 {
		if strings.HasPrefix(ev.Key, MovesPrefix) {
			return n.handleMoveStoreError(now, ev.Key, ev.Err)
		}
		return nil
	}
	return n.offerEntry(now, store.Entry{Key: ev.Key, Value: ev.Value, Index: ev.Index}, "a write of this daemon", "")
}

// noteStoreResult records whether a write or read of one key reached the store.
// A daemon that holds no watch learns only from these calls that it cannot be
// the owner of a move.
func (n *Node) noteStoreResult(err error) {
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
