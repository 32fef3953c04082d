package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/gooseberryroad/gooseberryroad/platform/platformtest"
)

const (
	// stableWindow is how long after a fault a part may still be busy with it. The
	// users' rules with a time bound leave out the same time after each disruption.
	settleTime = 2 * time.Second
	// answerSlack is how late an answer may be after the caller's wait or the
	// route's timeout: half a second in the users' rules.
	answerSlack = 500 * time.Millisecond
	// goneWithin is when an upstream's work must have ended after its caller left.
	maxCancelTime = 500 * time.Millisecond
	// drainWithin is when no work goes to an upstream any more that has said that
	// it leaves.
	maxDrainDelay = 2 * time.Second
	// maxGap is how long the output of a stream may stop after a loss.
	maxGap = 4 * time.Second
	// graceKept is the share of a stop's grace in which a request that its
	// upstream still works on need not be ended.
	protectedGraceShare = 5.0 / 6
	// moveOver is the time that the operator gives a move between versions, and
	// movePatience how much longer its end is waited for.
	moveDuration  = 4 * time.Second
	moveExtraWait = 2 * time.Second
	// exposureShare and exposureSlack bound the requests that a version gets that
	// fails: those of the users' sites.
	exposureShare = 0.1
	exposureSlack = 50
	// sparedEngines is how many engines may be in trouble at once while a stream
	// must go on all the same: a route's four attempts reach a sound one.
	toleratedEngineFaults = 2
)

// timeouts are the routes' timeouts in the configuration of the stand-in.
var timeouts = map[platformtest.Kind]time.Duration{
	platformtest.Stream: 10 * time.Second, platformtest.Order: 3 * time.Second, platformtest.LookUp: 3 * time.Second,
}

// span is a time in which a part was in trouble.
type interval struct{ from, to time.Time }

type componentID struct {
	component Component
	number    int
}

// disturbances are the faults as they were played.
type faultIntervals map[componentID][]interval

func (d faultIntervals) add(part Component, target int, s interval) {
	d[componentID{part, target}] = append(d[componentID{part, target}], s)
}

// calm reports that a part was in no trouble between two times, and long enough
// before.
func (d faultIntervals) unaffected(part Component, target int, from, to time.Time) bool {
	for _, s := range d[componentID{part, target}] {
		if s.from.Before(to) && from.Before(s.to.Add(settleTime)) {
			return false
		}
	}
	return true
}

// troubled counts the first n upstreams that were in trouble between two times.
func (d faultIntervals) countAffectedUpstreams(n int, from, to time.Time) int {
	count := 0
	for i := range n {
		if !d.unaffected(Upstreams, i, from, to) {
			count++
		}
	}
	return count
}

// attempt is one request as its caller saw it.
type attempt struct {
	platformtest.Call
	daemon      int
	sent, ended time.Time
	// status is 0 when there was no answer.
	status int
	// reused is set when the connection had carried a request before.
	reused bool
	// wrong says what is not the request's own answer; empty for none.
	mismatch string
	// cut is set when the answer has no end; left when the caller did not wait
	// for it.
	cut, abandoned bool
	// atWork is the upstream that still worked goneWithin after the caller had
	// left; -1 for none.
	stillRunningOn int
	// gap is the longest time without an event, which ended at gapEnd.
	longestGap time.Duration
	gapEnd     time.Time
	// beside is the number of attempts of the same service that overlap with this
	// one, itself included.
	concurrent int
}

// run is a request as an upstream saw it.
type run struct {
	id       string
	upstream int
	at       time.Time
}

// leave is an upstream's word that it leaves.
type drain struct {
	upstream int
	at       time.Time
	// back is when another upstream began at its address.
	replacedAt time.Time
}

// move is the operator's order to move plain requests to a version.
type move struct {
	bad      bool
	version  string
	from, to time.Time
	// state is what the daemons reported last.
	state string
}

// ledger is what was seen in one soak.
type observations struct {
	attempts       []attempt
	runs           []run
	drains         []drain
	moves          []move
	poisonRequests []poisonRequest
	faults         faultIntervals
	// stops are the daemons' planned stops, from the signal to the exit.
	plannedStops faultIntervals
	// engines is the number of engines, the first upstreams; taggers serve the
	// plain requests.
	engines, plainReplicas int
	daemons                int
	grace                  time.Duration
}

// check returns the promises that were broken, one text for each case.
func (l *observations) check() []string {
	ran := map[string][]run{}
	for _, r := range l.runs {
		ran[r.id] = append(ran[r.id], r)
	}
	var out []string
	by := map[string]attempt{}
	l.countConcurrent()
	for _, a := range l.attempts {
		by[a.ID] = a
		for _, v := range l.checkAttempt(a, ran[a.ID]) {
			out = append(out, fmt.Sprintf("%s: %s of daemon %d, sent %s, ended after %.2f s, status %d",
				v, a.ID, a.daemon, a.sent.Format("15:04:05.000"), a.ended.Sub(a.sent).Seconds(), a.status))
		}
	}
	for _, m := range l.moves {
		if broken := l.checkMove(m); broken != "" {
			out = append(out, fmt.Sprintf("move: %s, ordered %s: %s", m.version, m.from.Format("15:04:05.000"), broken))
		}
	}
	for _, c := range l.poisonRequests {
		if broken := l.checkPoisonRequest(c); broken != "" {
			out = append(out, fmt.Sprintf("crashes: %q, first sent %s: %s", c.body, c.from.Format("15:04:05.000"), broken))
		}
	}
	for _, r := range l.runs {
		a, known := by[r.id]
		if !known {
			out = append(out, fmt.Sprintf("unasked: upstream %d ran %s, which no caller sent", r.upstream, r.id))
			continue
		}
		if l.sentAfterDrain(r, a.daemon) {
			out = append(out, fmt.Sprintf("drain: %s of daemon %d reached upstream %d, which leaves, at %s", r.id, a.daemon, r.upstream, r.at.Format("15:04:05.000")))
		}
	}
	return out
}

// judge returns the promises that an attempt broke.
func (l *observations) checkAttempt(a attempt, runs []run) []string {
	var out []string
	broken := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	order := a.Kind == platformtest.Order
	if a.mismatch != "" {
		broken("mixed: %s", a.mismatch)
	}
	if order && len(runs) > 1 {
		broken("twice: %d runs", len(runs))
	}
	if order && notRun(a.status) && len(runs) > 0 {
		broken("refused: it has run")
	}
	allowed := a.Key == permanentKey
	if !allowed && (len(runs) > 0 || a.status == http.StatusOK) {
		broken("route: it ran with an unknown key")
	}
	if allowed && a.status >= 400 && a.status < 500 && !notRun(a.status) {
		broken("denied")
	}
	if !l.daemonUnaffected(a) {
		return out
	}
	if a.cut && l.mustBeAnswered(a, runs) {
		broken("lost: %d runs", len(runs))
	}
	if allowed && notRun(a.status) && l.upstreamsAvailable(a) && l.hasSpareSlots(a) {
		broken("unserved: all upstreams work")
	}
	wait := min(a.Wait, timeouts[a.Kind])
	if !a.abandoned && a.ended.Sub(a.sent) > wait+answerSlack {
		broken("late: the wait was %.1f s", wait.Seconds())
	}
	if a.abandoned && a.stillRunningOn >= 0 && l.faults.unaffected(Upstreams, a.stillRunningOn, a.sent, a.ended.Add(maxCancelTime)) {
		broken("gone: upstream %d still works", a.stillRunningOn)
	}
	if a.longestGap > maxGap && l.faults.countAffectedUpstreams(l.engines, a.gapEnd.Add(-a.longestGap), a.gapEnd) <= toleratedEngineFaults {
		broken("gap: no output for %.1f s", a.longestGap.Seconds())
	}
	return out
}

// calm reports whether the daemon of an attempt and the way to it were in no
// trouble, so that the rules with a time bound hold.
func (l *observations) daemonUnaffected(a attempt) bool {
	return l.faults.unaffected(Daemons, a.daemon, a.sent, a.ended) && l.faults.unaffected(ClientLinks, a.daemon, a.sent, a.ended)
}

// countBusy counts the attempts that ran beside each: upstreams may refuse when
// they have no place.
func (l *observations) countConcurrent() {
	for i := range l.attempts {
		a := &l.attempts[i]
		for _, b := range l.attempts {
			if (a.Kind == platformtest.Stream) == (b.Kind == platformtest.Stream) && b.sent.Before(a.ended) && a.sent.Before(b.ended) {
				a.concurrent++
			}
		}
	}
}

// placesLeft reports whether a quarter of the places of a service was free during
// an attempt.
func (l *observations) hasSpareSlots(a attempt) bool {
	places := l.plainReplicas * plainSlots
	if a.Kind == platformtest.Stream {
		places = l.engines * engineSlots
	}
	return 4*a.concurrent <= 3*places
}

// undisturbed reports whether all upstreams worked during an attempt and its
// daemon ran for long enough to know them; the store may be away.
func (l *observations) upstreamsAvailable(a attempt) bool {
	for _, d := range []faultIntervals{l.faults, l.plannedStops} {
		for _, s := range d[componentID{Daemons, a.daemon}] {
			if s.from.Before(a.ended) && a.sent.Before(s.to.Add(maxRecoveryTime)) {
				return false
			}
		}
	}
	if l.faults.countAffectedUpstreams(l.engines+l.plainReplicas, a.sent, a.ended) > 0 {
		return false
	}
	for _, v := range l.drains {
		if v.at.Before(a.ended) && a.sent.Before(v.replacedAt.Add(settleTime)) {
			return false
		}
	}
	return true
}

// judgeMove says what is wrong with a move during which some daemon was in touch
// with the store all the time; empty for nothing.
func (l *observations) checkMove(m move) string {
	inTouch := false
	for i := range l.daemons {
		stopped := slices.ContainsFunc(l.plannedStops[componentID{Daemons, i}], func(s interval) bool { return s.from.Before(m.to) && m.from.Before(s.to.Add(settleTime)) })
		inTouch = inTouch || !stopped && l.faults.unaffected(Daemons, i, m.from, m.to) && l.faults.unaffected(StoreLinks, i, m.from, m.to)
	}
	if !inTouch || !l.faults.unaffected(StoreServer, 0, m.from, m.to) {
		return ""
	}
	asked, exposed := 0, 0
	for _, a := range l.attempts {
		if a.Kind != platformtest.Stream && a.Key == permanentKey && a.sent.After(m.from) && a.sent.Before(m.to) {
			asked++
		}
	}
	for _, r := range l.runs {
		if r.upstream >= l.engines+l.plainReplicas && r.at.After(m.from) && r.at.Before(m.to) {
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
	case m.bad && float64(exposed) > exposureShare*float64(asked)+exposureSlack:
		return fmt.Sprintf("%d of %d requests ran on a version that fails", exposed, asked)
	}
	return ""
}

// notRun reports whether a status promises that a request has not run.
func notRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// mustAnswer reports whether an attempt without a whole answer should have had
// one.
func (l *observations) mustBeAnswered(a attempt, runs []run) bool {
	for _, s := range l.plannedStops[componentID{Daemons, a.daemon}] {
		if !s.from.Before(a.ended) || !a.sent.Before(s.to) {
			continue
		}
		if a.ended.After(s.from.Add(time.Duration(protectedGraceShare * float64(l.grace)))) {
			return false
		}
		// The proxy takes connections also when the daemon no longer does.
		if a.sent.After(s.from) && len(runs) == 0 {
			return false
		}
	}
	if a.Kind == platformtest.Stream && a.status != 0 {
		return l.faults.countAffectedUpstreams(l.engines, a.sent, a.ended) <= toleratedEngineFaults
	}
	// A request that crosses the close of a kept connection is not read.
	return len(runs) > 0 || !a.reused
}

// drained reports work for an upstream that has left, from a daemon that was in
// touch with the store meanwhile.
func (l *observations) sentAfterDrain(r run, daemon int) bool {
	for _, v := range l.drains {
		if v.upstream != r.upstream || !r.at.After(v.at.Add(maxDrainDelay)) || !v.replacedAt.IsZero() && r.at.After(v.replacedAt) {
			continue
		}
		return l.faults.unaffected(Daemons, daemon, v.at, r.at) && l.faults.unaffected(StoreLinks, daemon, v.at, r.at) &&
			l.faults.unaffected(StoreServer, 0, v.at, r.at)
	}
	return false
}
