package soak

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/gooseberryroad/gooseberryroad/internal/pause"
	"github.com/gooseberryroad/gooseberryroad/platform/platformtest"
	"github.com/gooseberryroad/gooseberryroad/ratelimit"
)

const (
	// namedLimit is the limit that an upstream names, in requests a second.
	namedLimit = 1.0
	// limitSettle is the time from which a limit is checked after it was first named, and
	// limitHeard that after a daemon passed on an answer that names it. The users' rule
	// states both.
	limitSettle = 3 * time.Second
	limitHeard  = 500 * time.Millisecond
)

// namedLimits is a time in which an upstream named namedLimit in its answers.
type namedLimits struct {
	upstream int
	interval
}

// nameLimit makes an upstream name a limit in its answers, for long enough to check it.
func (s *Soak) nameLimit(ctx context.Context, f Fault) {
	u := s.upstreams[f.Target]
	if !u.processMu.TryLock() {
		return // the process is down or draining
	}
	defer u.processMu.Unlock()
	began := time.Now()
	u.Set(func(b *platformtest.Behaviour) { b.Limit = fmt.Sprint(namedLimit) })
	pause.For(ctx, limitSettle+ratelimit.Window+f.Length)
	u.Set(func(b *platformtest.Behaviour) { b.Limit = "" })
	named := interval{began, time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	// It takes less than it has slots for. Daemons learn of the end with their next request.
	s.observed.faults.add(Upstreams, f.Target, interval{named.from, named.to.Add(limitSettle)})
	s.observed.limits = append(s.observed.limits, namedLimits{f.Target, named})
}

// checkLimits returns the times in which an upstream got more requests than the limit that
// it named allows, from daemons that had passed on an answer which names it.
func (obs *observations) checkLimits() []string {
	attempts := map[string]attempt{}
	for _, a := range obs.attempts {
		attempts[a.ID] = a
	}
	var out []string
	for _, l := range obs.limits {
		heardAt := map[int]time.Time{}
		for _, r := range obs.runs {
			a := attempts[r.id]
			if r.upstream != l.upstream || r.at.Before(l.from) || r.at.After(l.to) || a.status != 200 || a.cut || a.abandoned {
				continue
			}
			if at, known := heardAt[a.daemon]; !known || a.ended.Before(at) {
				heardAt[a.daemon] = a.ended
			}
		}
		var counted []time.Time
		for _, r := range obs.runs {
			a := attempts[r.id]
			at, heard := heardAt[a.daemon]
			if r.upstream != l.upstream || !heard || r.at.Before(at.Add(limitHeard)) || r.at.Before(l.from.Add(limitSettle)) || r.at.After(l.to) {
				continue
			}
			// A daemon that was killed or stopped has forgotten the limit.
			if obs.faults.unaffected(Daemons, a.daemon, at, r.at) && obs.plannedStops.unaffected(Daemons, a.daemon, at, r.at) &&
				obs.faults.unaffected(StoreLinks, a.daemon, at, r.at) {
				counted = append(counted, r.at)
			}
		}
		if most, at := mostInWindow(counted); float64(most) > ratelimit.Allowed(namedLimit) {
			out = append(out, fmt.Sprintf("limit: upstream %d, which named a limit at %s, got %d requests in %s from %s", l.upstream,
				l.from.Format("15:04:05.000"), most, ratelimit.Window, at.Format("15:04:05.000")))
		}
	}
	return out
}

// mostInWindow returns the largest number of times in any window, and the first of them.
func mostInWindow(times []time.Time) (most int, from time.Time) {
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) > ratelimit.Window {
			first++
		}
		if n := i - first + 1; n > most {
			most, from = n, times[first]
		}
	}
	return most, from
}
