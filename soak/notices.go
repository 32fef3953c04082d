package soak

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/gooseberryroad/gooseberryroad/internal/pause"
	"github.com/gooseberryroad/gooseberryroad/platform/platformtest"
)

const (
	// askedPause is the pause for which an upstream asks when it turns requests away.
	askedPause = time.Second
	// underWay is the time after the first request that was turned away within which
	// others may follow: they had been sent when the daemon learnt of the pause.
	underWay = 100 * time.Millisecond
	// maxSentInPause is how many requests a daemon may send to an upstream in the rest of
	// a pause.
	maxSentInPause = 2
)

// turnedAway is a request that an upstream turned away because it asked for a pause.
type turnedAway struct {
	id       string
	upstream int
	at       time.Time
}

// askForPause makes an upstream turn requests away and ask for a pause, until the end of
// the fault.
func (s *Soak) askForPause(ctx context.Context, f Fault) {
	u := s.upstreams[f.Target]
	if !u.processMu.TryLock() {
		return // the process is down or draining
	}
	defer u.processMu.Unlock()
	began := time.Now()
	u.Set(func(b *platformtest.Behaviour) { b.RetryAfter = fmt.Sprint(askedPause.Seconds()) })
	pause.For(ctx, f.Length)
	u.Set(func(b *platformtest.Behaviour) { b.RetryAfter = "" })
	s.mu.Lock()
	defer s.mu.Unlock()
	// The last requests that were turned away keep their daemons off for a pause more.
	s.observed.faults.add(Upstreams, f.Target, interval{began, time.Now().Add(askedPause)})
}

// recordTurnedAway collects the requests that upstreams turned away.
func (s *Soak) recordTurnedAway() {
	for i, u := range s.upstreams {
		for _, received := range u.TurnedAway() {
			s.observed.turnedAway = append(s.observed.turnedAway, turnedAway{received.ID(), i, received.At})
		}
	}
}

// checkPauses returns the pauses in which a daemon went on sending requests.
func (obs *observations) checkPauses() []string {
	type pair struct{ daemon, upstream int }
	daemons := obs.daemonsByAttempt()
	byPair := map[pair][]time.Time{}
	for _, r := range obs.turnedAway {
		if d, known := daemons[r.id]; known {
			byPair[pair{d, r.upstream}] = append(byPair[pair{d, r.upstream}], r.at)
		}
	}
	var out []string
	for p, times := range byPair {
		slices.SortFunc(times, time.Time.Compare)
		for len(times) > 0 {
			first := times[0]
			end := first.Add(askedPause)
			sent := 0
			for len(times) > 0 && times[0].Before(end) {
				if times[0].Sub(first) > underWay {
					sent++
				}
				times = times[1:]
			}
			// A daemon that was killed or stopped has forgotten the pause.
			if sent > maxSentInPause && obs.faults.unaffected(Daemons, p.daemon, first, end) &&
				obs.plannedStops.unaffected(Daemons, p.daemon, first, end) && obs.faults.unaffected(PeerLinks, p.daemon, first, end) {
				out = append(out, fmt.Sprintf("pause: daemon %d sent %d requests to upstream %d in the pause that it asked for at %s",
					p.daemon, sent, p.upstream, first.Format("15:04:05.000")))
			}
		}
	}
	slices.Sort(out)
	return out
}

// checkAnnouncements returns the requests that a daemon sent to an upstream more than
// maxDrainDelay after it had passed on an answer in which the upstream said that it
// leaves. This holds for daemons that are cut off from the store as well.
func (obs *observations) checkAnnouncements() []string {
	attempts := map[string]attempt{}
	for _, a := range obs.attempts {
		attempts[a.ID] = a
	}
	var out []string
	for _, d := range obs.announcements {
		heardAt := map[int]time.Time{}
		for _, r := range obs.runs {
			a := attempts[r.id]
			if r.upstream != d.upstream || r.at.Before(d.at) || r.at.After(d.replacedAt) || a.status != 200 || a.cut || a.abandoned || a.ended.After(d.replacedAt) {
				continue
			}
			if at, known := heardAt[a.daemon]; !known || a.ended.Before(at) {
				heardAt[a.daemon] = a.ended
			}
		}
		for _, r := range obs.runs {
			a, sent := attempts[r.id]
			at, heard := heardAt[a.daemon]
			if !sent || r.upstream != d.upstream || !heard || !r.at.After(at.Add(maxDrainDelay)) || r.at.After(d.replacedAt) {
				continue
			}
			// A daemon that was killed or stopped has forgotten the word.
			if obs.faults.unaffected(Daemons, a.daemon, at, r.at) && obs.plannedStops.unaffected(Daemons, a.daemon, at, r.at) {
				out = append(out, fmt.Sprintf("leaving: %s of daemon %d reached upstream %d at %s, which had said at %s that it leaves",
					r.id, a.daemon, r.upstream, r.at.Format("15:04:05.000"), at.Format("15:04:05.000")))
			}
		}
	}
	return out
}

// daemonsByAttempt returns the daemon to which each attempt was sent, by the attempt's ID.
func (obs *observations) daemonsByAttempt() map[string]int {
	out := map[string]int{}
	for _, a := range obs.attempts {
		out[a.ID] = a.daemon
	}
	return out
}
