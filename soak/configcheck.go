package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/gooseberryroad/gooseberryroad/platform/platformtest"
)

// The bounds of the users' rules.
const (
	// configTime is the time after its acknowledgement in which a version of the
	// configuration must be in force at each daemon in touch (config-ms).
	configTime = 2 * time.Second
	// rollbackSlack is the time after an answer that showed a version in which a process may
	// still handle requests as an older version allows (rollback-slack-ms).
	rollbackSlack = 250 * time.Millisecond
	// stableWindow is the time without a disturbance after which a daemon is in touch
	// (stable-window-ms).
	stableWindow = 3 * time.Second
	// maxDoubleWork is how long the upstream that a stream left may still work on it.
	maxDoubleWork = 400 * time.Millisecond
)

// configEvent is the acknowledgement of a version, or the restore of a copy that holds it.
type configEvent struct {
	at       time.Time
	version  int
	restored bool
}

// answeredProbe is a probe whose outcome tells something about the configuration in force.
type answeredProbe struct {
	probe
	id          string
	daemon      int
	sent, ended time.Time
	outcome     outcome
}

// processRun is one run of a daemon's process.
type processRun struct{ daemon, start int }

// shownVersion is a version that an answer showed, or a newer one, to be in force.
type shownVersion struct {
	at      time.Time
	version int
}

// configObservations are what was observed of the configuration.
type configObservations struct {
	// configurations are in the order of their versions, configEvents in that of time.
	configurations []configuration
	configEvents   []configEvent
	probes         []answeredProbe
	// starts and disturbances are those of daemon, by the daemon's number.
	starts, disturbances map[int][]time.Time
	// probesDue counts the probes that were checked for a version that was due, probesLost
	// those of them for which it was one that the store did not have.
	probesDue, probesLost int
	// shown are the versions that the answers of each run of a process showed, in the order
	// of time.
	shown map[processRun][]shownVersion
}

// inTouch reports whether a daemon was in touch at all times from one time to another, as
// the users define it: its process was running for stableWindow without a kill, start,
// SIGTERM, freeze or fault of a link, and the store was stable.
func (obs *observations) inTouch(daemon int, from, to time.Time) bool {
	since := from.Add(-stableWindow)
	if slices.ContainsFunc(obs.disturbances[daemon], func(t time.Time) bool { return !t.Before(since) && !t.After(to) }) {
		return false
	}
	overlaps := func(iv interval) bool { return iv.from.Before(to) && since.Before(iv.to) }
	for _, c := range []ComponentType{StoreLinks, ClientLinks, PeerLinks, ControlLinks} {
		if slices.ContainsFunc(obs.faults[componentID{c, daemon}], overlaps) {
			return false
		}
	}
	return !slices.ContainsFunc(slices.Concat(obs.faults[componentID{StoreServer, 0}], obs.daemonStalls[daemon], obs.stalls), overlaps) &&
		!slices.ContainsFunc(obs.plannedStops[componentID{Daemons, daemon}], func(iv interval) bool { return iv.from.Before(to) && from.Before(iv.to) })
}

// runAt returns the run of a daemon's process at a time.
func (obs *observations) runAt(daemon int, at time.Time) processRun {
	start := 0
	for _, t := range obs.starts[daemon] {
		if t.Before(at) {
			start++
		}
	}
	return processRun{daemon, start}
}

// shownAt returns the newest version that answers of a run had shown until a time; 0 for none.
func (obs *observations) shownAt(run processRun, at time.Time) int {
	newest := 0
	for _, s := range obs.shown[run] {
		if !s.at.After(at) {
			newest = max(newest, s.version)
		}
	}
	return newest
}

// dueVersion returns the version that must be in force at a daemon in touch, with the reason:
// the newest one that has been in the store for configTime, or that another daemon had shown
// to be in force by then and that is still running and in touch. A version that the store
// lost and that no such daemon knows is due again once it is written again. The daemon with
// the version is -1 if the store has it.
func (obs *observations) dueVersion(daemon int, at time.Time) (version, knownTo int, reason string) {
	known := at.Add(-configTime)
	knownTo = -1
	for _, e := range obs.configEvents {
		switch {
		case e.restored && e.at.Before(at):
			version, reason = e.version, "was in the copy"
		case !e.at.After(known) && e.version > version:
			version, reason = e.version, "was acknowledged at "+e.at.Format("15:04:05.000")
		}
	}
	for other := range obs.daemons {
		shown := obs.shownAt(obs.runAt(other, at), known)
		if other != daemon && shown > version && obs.inTouch(other, at, at) {
			version, knownTo, reason = shown, other, fmt.Sprintf("was in force at daemon %d before %s", other, known.Format("15:04:05.000"))
		}
	}
	return version, knownTo, reason
}

// checkConfigurations returns the probes that were handled as only an older version of the
// configuration allows: the first one of each run of a process and each reason.
func (obs *observations) checkConfigurations() []string {
	obs.shown = map[processRun][]shownVersion{}
	slices.SortFunc(obs.probes, func(a, b answeredProbe) int { return a.ended.Compare(b.ended) })
	type cause struct {
		run  processRun
		kind string
	}
	var causes []cause
	first, counts := map[cause]string{}, map[cause]int{}
	for _, p := range obs.probes {
		run := obs.runAt(p.daemon, p.sent)
		if run != obs.runAt(p.daemon, p.ended) {
			continue // either process may have answered
		}
		before := obs.shownAt(run, p.sent.Add(-rollbackSlack))
		oldest, newest := obs.versionsAllowing(p, before)
		report := func(kind string, version int, reason string) {
			c := cause{run, kind}
			if counts[c]++; counts[c] == 1 {
				causes = append(causes, c)
				first[c] = fmt.Sprintf("%s: %s at daemon %d, start %d, sent %s, route %s, key %s: %s, as only version %d or older allows; version %d %s",
					kind, p.id, p.daemon, run.start, p.sent.Format("15:04:05.000"), p.route, p.key, p.outcome, newest, version, reason)
			}
		}
		if newest < before {
			report("config back", before, "had been shown by this process")
			continue
		}
		if obs.inTouch(p.daemon, p.sent, p.ended) {
			obs.probesDue++
			due, knownTo, reason := obs.dueVersion(p.daemon, p.sent)
			if knownTo >= 0 {
				obs.probesLost++
			}
			if newest < due {
				report("config due", due, reason)
				continue
			}
		}
		if oldest > 0 {
			obs.shown[run] = append(obs.shown[run], shownVersion{p.ended, oldest})
		}
	}
	var out []string
	for _, c := range causes {
		out = append(out, fmt.Sprintf("%s (%d probes)", first[c], counts[c]))
	}
	return out
}

// versionsAllowing returns the newest version that allows the outcome of a probe, and the
// oldest such version from a given one on; 0 for none.
func (obs *observations) versionsAllowing(p answeredProbe, from int) (oldest, newest int) {
	for _, c := range obs.configurations {
		if c.written.After(p.ended) || c.outcome(p.probe) != p.outcome {
			continue
		}
		newest = c.version
		if oldest == 0 && c.version >= from {
			oldest = c.version
		}
	}
	return oldest, newest
}

// checkContinuation returns where a stream went on at another upstream although the one before
// still worked on it maxDoubleWork later, and its daemon was in touch and could reach that.
func (obs *observations) checkContinuation(a attempt, runs []run) []string {
	var out []string
	if a.Kind != platformtest.Stream {
		return nil
	}
	for _, later := range runs {
		end := later.at.Add(maxDoubleWork)
		for _, r := range runs {
			if r.upstream != later.upstream && r.at.Before(later.at) && (r.ended.IsZero() || r.ended.After(end)) &&
				obs.inTouch(a.daemon, later.at, end) && obs.faults.unaffected(Upstreams, r.upstream, later.at.Add(-stableWindow), end) {
				out = append(out, fmt.Sprintf("continued: upstream %d ran it from %s, upstream %d still worked on it", later.upstream, later.at.Format("15:04:05.000"), r.upstream))
			}
		}
	}
	return out
}
