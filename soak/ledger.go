package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/gooseberryroad/gooseberryroad/platform/platformtest"
)

const (
	// settleTime is how long after its end a fault may still affect a component. The
	// users' rules with a time bound exempt the same time after each disruption.
	settleTime = 2 * time.Second
	// answerSlack is how late an answer may be after the caller's timeout or the
	// route's timeout: half a second in the users' rules.
	answerSlack = 500 * time.Millisecond
	// maxCancelTime is the time within which an upstream must stop working on a
	// request after its caller disconnected.
	maxCancelTime = 500 * time.Millisecond
	// maxDrainDelay is the time after which no request may be sent to an upstream
	// that has registered itself as draining.
	maxDrainDelay = 2 * time.Second
	// maxGap is how long the output of a stream may pause after an upstream is lost.
	maxGap = 4 * time.Second
	// protectedGraceShare is the share of a stop's grace within which a stopping
	// daemon must not cut a request that its upstream still works on. After it the
	// daemon may cut requests.
	protectedGraceShare = 5.0 / 6
	// moveDuration is the time that the operator gives a move between versions, and
	// moveExtraWait how much longer the soak waits for its end.
	moveDuration  = 4 * time.Second
	moveExtraWait = 2 * time.Second
	// maxVerdictDelay is the time after which a daemon connected to the store knows that
	// a version was reverted and that another move was ordered.
	maxVerdictDelay = time.Second
	// exposureShare and exposureSlack bound the requests that run on a version that
	// fails: at most this share of the requests during the move plus the slack, as on
	// the users' sites.
	exposureShare = 0.1
	exposureSlack = 50
	// toleratedEngineFaults is how many engines may be affected by faults at once
	// while a stream must still continue: the four attempts of a route reach a
	// healthy engine.
	toleratedEngineFaults = 2
)

// timeouts are the routes' timeouts in the configuration that platformtest writes.
var timeouts = map[platformtest.Kind]time.Duration{
	platformtest.Stream: 10 * time.Second, platformtest.Order: 3 * time.Second, platformtest.LookUp: 3 * time.Second,
}

// interval is a time in which a fault acted on a component.
type interval struct{ from, to time.Time }

// componentID identifies one component by its type and number.
type componentID struct {
	component ComponentType
	number    int
}

// faultIntervals holds the intervals of the faults that were injected into each
// component.
type faultIntervals map[componentID][]interval

func (f faultIntervals) add(component ComponentType, number int, iv interval) {
	f[componentID{component, number}] = append(f[componentID{component, number}], iv)
}

// unaffected reports whether no fault acted on a component between two times or
// within settleTime before them.
func (f faultIntervals) unaffected(component ComponentType, number int, from, to time.Time) bool {
	for _, iv := range f[componentID{component, number}] {
		if iv.from.Before(to) && from.Before(iv.to.Add(settleTime)) {
			return false
		}
	}
	return true
}

// storeUnaffected reports whether the store was available between two times and within
// settleTime before them, and had all that was written.
func (obs *observations) storeUnaffected(from, to time.Time) bool {
	return obs.faults.unaffected(StoreServer, 0, from, to) && obs.faults.unaffected(StoreContent, 0, from, to)
}

// countAffectedUpstreams returns how many of the first n upstreams were affected by a
// fault between two times.
func (f faultIntervals) countAffectedUpstreams(n int, from, to time.Time) int {
	count := 0
	for i := range n {
		if !f.unaffected(Upstreams, i, from, to) {
			count++
		}
	}
	return count
}

// attempt is one request as its caller observed it.
type attempt struct {
	platformtest.Call
	daemon      int
	sent, ended time.Time
	// status is 0 when there was no answer.
	status int
	// reused is set when the connection had carried a request before.
	reused bool
	// mismatch describes what does not belong to the request's own answer; "" if all
	// does.
	mismatch string
	// cut is set when the connection ended before the answer did; abandoned when the
	// caller gave up before the end of the answer.
	cut, abandoned bool
	// stillRunningOn is the upstream that still worked on the request maxCancelTime
	// after the caller had disconnected; -1 for none.
	stillRunningOn int
	// longestGap is the longest time without an event; it ended at gapEnd.
	longestGap time.Duration
	gapEnd     time.Time
	// concurrent is the number of attempts at the same service that overlap in time
	// with this one, itself included.
	concurrent int
}

// run is a request as an upstream received it.
type run struct {
	id       string
	upstream int
	// ended is when the upstream stopped working on it; zero if it did not.
	at, ended time.Time
}

// drain is an upstream's announcement that it is draining, made at the time at.
type drain struct {
	upstream int
	at       time.Time
	// replacedAt is when another upstream was started at its address.
	replacedAt time.Time
}

// move is the operator's order to move plain requests to a version.
type move struct {
	bad      bool
	version  string
	from, to time.Time
	// state is the last state that the daemons reported.
	state string
	// reverted is a move that was reverted before this one and whose upstreams were
	// still registered.
	reverted *move
}

// observations holds what was observed in one soak.
type observations struct {
	attempts []attempt
	runs     []run
	// direct and directRuns are those of direct clients.
	direct     []directAttempt
	directRuns []run
	drains     []drain
	// announcements are those that upstreams made in their answers alone.
	announcements  []drain
	turnedAway     []turnedAway
	limits         []namedLimits
	moves          []move
	poisonRequests []poisonRequest
	faults         faultIntervals
	// stalls are times in which the soak's own process did not run, daemonStalls those in
	// which a daemon's did not.
	stalls       []interval
	daemonStalls map[int][]interval
	// pauses are the times in which daemons were paused.
	pauses map[int][]interval
	// bursts are the bursts of long bodies that daemons got. A daemon may refuse
	// requests in one.
	bursts faultIntervals
	// plannedStops are the planned stops of daemons, from SIGTERM until the daemon
	// was ready again or its start had timed out.
	plannedStops faultIntervals
	// engines and plainReplicas are numbers of upstreams. The engines come first;
	// plain replicas serve the plain requests.
	engines, plainReplicas int
	daemons                int
	grace                  time.Duration
	configObservations
}

// check returns the promises that were broken, one text for each violation.
func (obs *observations) check() []string {
	ran := map[string][]run{}
	for _, r := range obs.runs {
		ran[r.id] = append(ran[r.id], r)
	}
	var out []string
	attempts := map[string]attempt{}
	obs.countConcurrent()
	for _, a := range obs.attempts {
		attempts[a.ID] = a
		for _, v := range append(obs.checkAttempt(a, ran[a.ID]), obs.checkContinuation(a, ran[a.ID])...) {
			out = append(out, fmt.Sprintf("%s: %s of daemon %d, sent %s, ended after %.2f s, status %d",
				v, a.ID, a.daemon, a.sent.Format("15:04:05.000"), a.ended.Sub(a.sent).Seconds(), a.status))
		}
	}
	for _, m := range obs.moves {
		if violation := obs.checkMove(m); violation != "" {
			out = append(out, fmt.Sprintf("move: %s, ordered %s: %s", m.version, m.from.Format("15:04:05.000"), violation))
		}
	}
	out = append(out, obs.checkPauses()...)
	out = append(out, obs.checkLimits()...)
	out = append(out, obs.checkAnnouncements()...)
	out = append(out, obs.checkConfigurations()...)
	for _, p := range obs.poisonRequests {
		if violation := obs.checkPoisonRequest(p); violation != "" {
			out = append(out, fmt.Sprintf("crashes: %q, first sent %s: %s", p.body, p.from.Format("15:04:05.000"), violation))
		}
	}
	for _, r := range obs.runs {
		a, known := attempts[r.id]
		if !known {
			out = append(out, fmt.Sprintf("unasked: upstream %d ran %s, which no caller sent", r.upstream, r.id))
			continue
		}
		if obs.sentAfterDrain(r, a.daemon) {
			out = append(out, fmt.Sprintf("drain: %s of daemon %d reached upstream %d, which leaves, at %s", r.id, a.daemon, r.upstream, r.at.Format("15:04:05.000")))
		}
	}
	return out
}

// checkAnswer returns the promises without a time bound that were broken for an attempt.
func (a attempt) checkAnswer(runs []run) []string {
	var out []string
	report := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	order := a.Kind == platformtest.Order
	if a.mismatch != "" {
		report("mixed: %s", a.mismatch)
	}
	if order && len(runs) > 1 {
		report("twice: %d runs", len(runs))
	}
	if order && notRun(a.status) && len(runs) > 0 {
		report("refused: it has run")
	}
	allowed := a.Key == permanentKey
	if !allowed && (len(runs) > 0 || a.status == http.StatusOK) {
		report("route: it ran with an unknown key")
	}
	if allowed && a.status >= 400 && a.status < 500 && !notRun(a.status) {
		report("denied")
	}
	return out
}

// checkAttempt returns the promises that were broken for an attempt.
func (obs *observations) checkAttempt(a attempt, runs []run) []string {
	out := a.checkAnswer(runs)
	report := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	allowed := a.Key == permanentKey
	if !obs.daemonUnaffected(a, a.ended) {
		return out
	}
	if a.cut && obs.mustBeAnswered(a, runs) {
		report("lost: %d runs", len(runs))
	}
	if allowed && notRun(a.status) && obs.upstreamsAvailable(a) && obs.hasSpareSlots(a) {
		report("unserved: all upstreams work")
	}
	wait := min(a.Timeout, timeouts[a.Kind])
	if !a.abandoned && a.ended.Sub(a.sent) > wait+answerSlack {
		report("late: the wait was %.1f s", wait.Seconds())
	}
	if a.abandoned && a.stillRunningOn >= 0 && obs.daemonUnaffected(a, a.ended.Add(maxCancelTime)) &&
		obs.faults.unaffected(Upstreams, a.stillRunningOn, a.sent, a.ended.Add(maxCancelTime)) {
		report("gone: upstream %d still works", a.stillRunningOn)
	}
	if a.longestGap > maxGap && obs.faults.countAffectedUpstreams(obs.engines, a.gapEnd.Add(-a.longestGap), a.gapEnd) <= toleratedEngineFaults {
		report("gap: no output for %.1f s", a.longestGap.Seconds())
	}
	return out
}

// daemonUnaffected reports whether no fault affected the daemon of an attempt or the
// link to it until a time, so that the rules with a time bound hold.
func (obs *observations) daemonUnaffected(a attempt, to time.Time) bool {
	return obs.faults.unaffected(Daemons, a.daemon, a.sent, to) && obs.faults.unaffected(ClientLinks, a.daemon, a.sent, to)
}

// countConcurrent sets concurrent for each attempt, with the streams of direct clients;
// their plain requests take no slots. Upstreams may refuse requests when all their slots
// are used.
func (obs *observations) countConcurrent() {
	all := slices.Clone(obs.attempts)
	for _, d := range obs.direct {
		if d.Kind == platformtest.Stream {
			all = append(all, d.attempt)
		}
	}
	for i := range obs.attempts {
		a := &obs.attempts[i]
		for _, b := range all {
			if (a.Kind == platformtest.Stream) == (b.Kind == platformtest.Stream) && b.sent.Before(a.ended) && a.sent.Before(b.ended) {
				a.concurrent++
			}
		}
	}
}

// hasSpareSlots reports whether at least a quarter of a service's slots was free
// during an attempt.
func (obs *observations) hasSpareSlots(a attempt) bool {
	slots := obs.plainReplicas * plainSlots
	if a.Kind == platformtest.Stream {
		slots = obs.engines * engineSlots
	}
	return 4*a.concurrent <= 3*slots
}

// upstreamsAvailable reports whether no fault affected any upstream during an attempt,
// no burst of long bodies its daemon, and the daemon had run for maxRecoveryTime, long
// enough to know all upstreams. The store may be down.
func (obs *observations) upstreamsAvailable(a attempt) bool {
	for _, intervals := range []faultIntervals{obs.faults, obs.plannedStops} {
		for _, iv := range intervals[componentID{Daemons, a.daemon}] {
			if iv.from.Before(a.ended) && a.sent.Before(iv.to.Add(maxRecoveryTime)) {
				return false
			}
		}
	}
	if obs.faults.countAffectedUpstreams(obs.engines+obs.plainReplicas, a.sent, a.ended) > 0 ||
		!obs.bursts.unaffected(Daemons, a.daemon, a.sent, a.ended) {
		return false
	}
	for _, d := range slices.Concat(obs.drains, obs.announcements) {
		if d.at.Before(a.ended) && a.sent.Before(d.replacedAt.Add(settleTime)) {
			return false
		}
	}
	return true
}

// checkMove returns the promise that a move broke, or "" for none. It checks only
// moves during which some daemon was connected to the store all the time.
func (obs *observations) checkMove(m move) string {
	connected := false
	for i := range obs.daemons {
		stopped := slices.ContainsFunc(obs.plannedStops[componentID{Daemons, i}], func(iv interval) bool { return iv.from.Before(m.to) && m.from.Before(iv.to.Add(settleTime)) })
		connected = connected || !stopped && obs.faults.unaffected(Daemons, i, m.from, m.to) && obs.faults.unaffected(StoreLinks, i, m.from, m.to)
	}
	if !connected || !obs.storeUnaffected(m.from, m.to) {
		return ""
	}
	sent, exposed := 0, 0
	for _, a := range obs.attempts {
		if a.Kind != platformtest.Stream && a.Key == permanentKey && a.sent.After(m.from) && a.sent.Before(m.to) {
			sent++
		}
	}
	for _, r := range obs.runs {
		if r.upstream >= obs.engines+obs.plainReplicas && r.at.After(m.from) && r.at.Before(m.to) {
			exposed++
		}
	}
	switch {
	case m.state != "completed" && m.state != "reverted":
		return fmt.Sprintf("neither completed nor reverted but %q", m.state)
	case m.bad && m.state == "completed":
		return "a version that fails was completed"
	case !m.bad && m.state == "reverted":
		return "a version that works was reverted"
	case m.bad && float64(exposed) > exposureShare*float64(sent)+exposureSlack:
		return fmt.Sprintf("%d of %d requests ran on a version that fails", exposed, sent)
	}
	if returned := obs.countRunsOnReverted(m); returned > 0 {
		return fmt.Sprintf("%d requests ran on %s, which had been reverted", returned, m.reverted.version)
	}
	return ""
}

// countRunsOnReverted counts the requests that daemons connected to the store sent to the
// upstreams of a version that had been reverted, during the next move.
func (obs *observations) countRunsOnReverted(m move) int {
	if m.reverted == nil {
		return 0
	}
	daemons := obs.daemonsByAttempt()
	count := 0
	for _, r := range obs.runs {
		first := obs.engines + obs.plainReplicas
		onReverted := r.upstream >= first && r.upstream < first+obs.plainReplicas
		if !onReverted || r.at.Before(m.from.Add(maxVerdictDelay)) || r.at.After(m.to) {
			continue
		}
		d, known := daemons[r.id]
		if known && obs.faults.unaffected(Daemons, d, m.reverted.from, r.at) && obs.faults.unaffected(StoreLinks, d, m.reverted.from, r.at) &&
			obs.plannedStops.unaffected(Daemons, d, m.reverted.from, r.at) {
			count++
		}
	}
	return count
}

// notRun reports whether a status promises that a request has not run.
func notRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// mustBeAnswered reports whether an attempt whose answer was cut should have got a
// whole one.
func (obs *observations) mustBeAnswered(a attempt, runs []run) bool {
	for _, stop := range obs.plannedStops[componentID{Daemons, a.daemon}] {
		if !stop.from.Before(a.ended) || !a.sent.Before(stop.to) {
			continue
		}
		if a.ended.After(stop.from.Add(time.Duration(protectedGraceShare * float64(obs.grace)))) {
			return false
		}
		// The proxy accepts connections even when the daemon no longer does.
		if a.sent.After(stop.from) && len(runs) == 0 {
			return false
		}
	}
	if a.Kind == platformtest.Stream && a.status != 0 {
		return obs.faults.countAffectedUpstreams(obs.engines, a.sent, a.ended) <= toleratedEngineFaults
	}
	// A daemon that closes a keep-alive connection doesn't read a request that is
	// being sent on it.
	return len(runs) > 0 || !a.reused
}

// sentAfterDrain reports whether a run was sent to an upstream more than
// maxDrainDelay after it began to drain, by a daemon that was connected to the store
// since then.
func (obs *observations) sentAfterDrain(r run, daemon int) bool {
	for _, d := range obs.drains {
		if d.upstream != r.upstream || !r.at.After(d.at.Add(maxDrainDelay)) || !d.replacedAt.IsZero() && r.at.After(d.replacedAt) {
			continue
		}
		return obs.faults.unaffected(Daemons, daemon, d.at, r.at) && obs.faults.unaffected(StoreLinks, daemon, d.at, r.at) &&
			obs.storeUnaffected(d.at, r.at)
	}
	return false
}
