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
	stableWindow = 2 * time.Second
	// answerSlack is how late an answer may be after the caller's wait or the
	// route's timeout: half a second in the users' rules.
	answerSlack = 500 * time.Millisecond
	// goneWithin is when an upstream's work must have ended after its caller left.
	goneWithin = 500 * time.Millisecond
	// drainWithin is when no work goes to an upstream any more that has said that
	// it leaves.
	drainWithin = 2 * time.Second
	// maxGap is how long the output of a stream may stop after a loss.
	maxGap = 4 * time.Second
	// graceKept is the share of a stop's grace in which a request that its
	// upstream still works on need not be ended.
	graceKept = 5.0 / 6
	// moveOver is the time that the operator gives a move between versions, and
	// movePatience how much longer its end is waited for.
	moveOver     = 4 * time.Second
	movePatience = 2 * time.Second
	// exposureShare and exposureSlack bound the requests that a version gets that
	// fails: those of the users' sites.
	exposureShare = 0.1
	exposureSlack = 50
	// sparedEngines is how many engines may be in trouble at once while a stream
	// must go on all the same: a route's four attempts reach a sound one.
	sparedEngines = 2
)

// timeouts are the routes' timeouts in the configuration of the stand-in.
var timeouts = map[platformtest.Kind]time.Duration{
	platformtest.Stream: 10 * time.Second, platformtest.Order: 3 * time.Second, platformtest.LookUp: 3 * time.Second,
}

// span is a time in which a part was in trouble.
type span struct{ from, to time.Time }

type place struct {
	part   Component
	target int
}

// disturbances are the faults as they were played.
type disturbances map[place][]span

func (d disturbances) add(part Component, target int, s span) {
	d[place{part, target}] = append(d[place{part, target}], s)
}

// calm reports that a part was in no trouble between two times, and long enough
// before.
func (d disturbances) calm(part Component, target int, from, to time.Time) bool {
	for _, s := range d[place{part, target}] {
		if s.from.Before(to) && from.Before(s.to.Add(stableWindow)) {
			return false
		}
	}
	return true
}

// troubled counts the first n upstreams that were in trouble between two times.
func (d disturbances) troubled(n int, from, to time.Time) int {
	count := 0
	for i := range n {
		if !d.calm(Upstreams, i, from, to) {
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
	wrong string
	// cut is set when the answer has no end; left when the caller did not wait
	// for it.
	cut, left bool
	// atWork is the upstream that still worked goneWithin after the caller had
	// left; -1 for none.
	atWork int
	// gap is the longest time without an event, which ended at gapEnd.
	gap    time.Duration
	gapEnd time.Time
	// beside is the number of attempts of the same service that overlap with this
	// one, itself included.
	beside int
}

// run is a request as an upstream saw it.
type run struct {
	id       string
	upstream int
	at       time.Time
}

// leave is an upstream's word that it leaves.
type leave struct {
	upstream int
	at       time.Time
	// back is when another upstream began at its address.
	back time.Time
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
type ledger struct {
	attempts []attempt
	runs     []run
	leaves   []leave
	moves    []move
	crashers []crasher
	troubles disturbances
	// stops are the daemons' planned stops, from the signal to the exit.
	stops disturbances
	// engines is the number of engines, the first upstreams; taggers serve the
	// plain requests.
	engines, taggers int
	daemons          int
	grace            time.Duration
}

// check returns the promises that were broken, one text for each case.
func (l *ledger) check() []string {
	ran := map[string][]run{}
	for _, r := range l.runs {
		ran[r.id] = append(ran[r.id], r)
	}
	var out []string
	by := map[string]attempt{}
	l.countBusy()
	for _, a := range l.attempts {
		by[a.ID] = a
		for _, v := range l.judge(a, ran[a.ID]) {
			out = append(out, fmt.Sprintf("%s: %s of daemon %d, sent %s, ended after %.2f s, status %d",
				v, a.ID, a.daemon, a.sent.Format("15:04:05.000"), a.ended.Sub(a.sent).Seconds(), a.status))
		}
	}
	for _, m := range l.moves {
		if broken := l.judgeMove(m); broken != "" {
			out = append(out, fmt.Sprintf("move: %s, ordered %s: %s", m.version, m.from.Format("15:04:05.000"), broken))
		}
	}
	for _, c := range l.crashers {
		if broken := l.judgeCrasher(c); broken != "" {
			out = append(out, fmt.Sprintf("crashes: %q, first sent %s: %s", c.body, c.from.Format("15:04:05.000"), broken))
		}
	}
	for _, r := range l.runs {
		a, known := by[r.id]
		if !known {
			out = append(out, fmt.Sprintf("unasked: upstream %d ran %s, which no caller sent", r.upstream, r.id))
			continue
		}
		if l.drained(r, a.daemon) {
			out = append(out, fmt.Sprintf("drain: %s of daemon %d reached upstream %d, which leaves, at %s", r.id, a.daemon, r.upstream, r.at.Format("15:04:05.000")))
		}
	}
	return out
}

// judge returns the promises that an attempt broke.
func (l *ledger) judge(a attempt, runs []run) []string {
	var out []string
	broken := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	order := a.Kind == platformtest.Order
	if a.wrong != "" {
		broken("mixed: %s", a.wrong)
	}
	if order && len(runs) > 1 {
		broken("twice: %d runs", len(runs))
	}
	if order && notRun(a.status) && len(runs) > 0 {
		broken("refused: it has run")
	}
	allowed := a.Key == steadyKey
	if !allowed && (len(runs) > 0 || a.status == http.StatusOK) {
		broken("route: it ran with an unknown key")
	}
	if allowed && a.status >= 400 && a.status < 500 && !notRun(a.status) {
		broken("denied")
	}
	if !l.calm(a) {
		return out
	}
	if a.cut && l.mustAnswer(a, runs) {
		broken("lost: %d runs", len(runs))
	}
	if allowed && notRun(a.status) && l.undisturbed(a) && l.placesLeft(a) {
		broken("unserved: all upstreams work")
	}
	wait := min(a.Timeout, timeouts[a.Kind])
	if !a.left && a.ended.Sub(a.sent) > wait+answerSlack {
		broken("late: the wait was %.1f s", wait.Seconds())
	}
	if a.left && a.atWork >= 0 && l.troubles.calm(Upstreams, a.atWork, a.sent, a.ended.Add(goneWithin)) {
		broken("gone: upstream %d still works", a.atWork)
	}
	if a.gap > maxGap && l.troubles.troubled(l.engines, a.gapEnd.Add(-a.gap), a.gapEnd) <= sparedEngines {
		broken("gap: no output for %.1f s", a.gap.Seconds())
	}
	return out
}

// calm reports whether the daemon of an attempt and the way to it were in no
// trouble, so that the rules with a time bound hold.
func (l *ledger) calm(a attempt) bool {
	return l.troubles.calm(Daemons, a.daemon, a.sent, a.ended) && l.troubles.calm(ClientLinks, a.daemon, a.sent, a.ended)
}

// countBusy counts the attempts that ran beside each: upstreams may refuse when
// they have no place.
func (l *ledger) countBusy() {
	for i := range l.attempts {
		a := &l.attempts[i]
		for _, b := range l.attempts {
			if (a.Kind == platformtest.Stream) == (b.Kind == platformtest.Stream) && b.sent.Before(a.ended) && a.sent.Before(b.ended) {
				a.beside++
			}
		}
	}
}

// placesLeft reports whether a quarter of the places of a service was free during
// an attempt.
func (l *ledger) placesLeft(a attempt) bool {
	places := l.taggers * taggerPlaces
	if a.Kind == platformtest.Stream {
		places = l.engines * enginePlaces
	}
	return 4*a.beside <= 3*places
}

// undisturbed reports whether all upstreams worked during an attempt and its
// daemon ran for long enough to know them; the store may be away.
func (l *ledger) undisturbed(a attempt) bool {
	for _, d := range []disturbances{l.troubles, l.stops} {
		for _, s := range d[place{Daemons, a.daemon}] {
			if s.from.Before(a.ended) && a.sent.Before(s.to.Add(recoverWithin)) {
				return false
			}
		}
	}
	if l.troubles.troubled(l.engines+l.taggers, a.sent, a.ended) > 0 {
		return false
	}
	for _, v := range l.leaves {
		if v.at.Before(a.ended) && a.sent.Before(v.back.Add(stableWindow)) {
			return false
		}
	}
	return true
}

// judgeMove says what is wrong with a move during which some daemon was in touch
// with the store all the time; empty for nothing.
func (l *ledger) judgeMove(m move) string {
	inTouch := false
	for i := range l.daemons {
		stopped := slices.ContainsFunc(l.stops[place{Daemons, i}], func(s span) bool { return s.from.Before(m.to) && m.from.Before(s.to.Add(stableWindow)) })
		inTouch = inTouch || !stopped && l.troubles.calm(Daemons, i, m.from, m.to) && l.troubles.calm(StoreLinks, i, m.from, m.to)
	}
	if !inTouch || !l.troubles.calm(StoreServer, 0, m.from, m.to) {
		return ""
	}
	asked, exposed := 0, 0
	for _, a := range l.attempts {
		if a.Kind != platformtest.Stream && a.Key == steadyKey && a.sent.After(m.from) && a.sent.Before(m.to) {
			asked++
		}
	}
	for _, r := range l.runs {
		if r.upstream >= l.engines+l.taggers && r.at.After(m.from) && r.at.Before(m.to) {
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
func (l *ledger) mustAnswer(a attempt, runs []run) bool {
	for _, s := range l.stops[place{Daemons, a.daemon}] {
		if !s.from.Before(a.ended) || !a.sent.Before(s.to) {
			continue
		}
		if a.ended.After(s.from.Add(time.Duration(graceKept * float64(l.grace)))) {
			return false
		}
		// The proxy takes connections also when the daemon no longer does.
		if a.sent.After(s.from) && len(runs) == 0 {
			return false
		}
	}
	if a.Kind == platformtest.Stream && a.status != 0 {
		return l.troubles.troubled(l.engines, a.sent, a.ended) <= sparedEngines
	}
	// A request that crosses the close of a kept connection is not read.
	return len(runs) > 0 || !a.reused
}

// drained reports work for an upstream that has left, from a daemon that was in
// touch with the store meanwhile.
func (l *ledger) drained(r run, daemon int) bool {
	for _, v := range l.leaves {
		if v.upstream != r.upstream || !r.at.After(v.at.Add(drainWithin)) || !v.back.IsZero() && r.at.After(v.back) {
			continue
		}
		return l.troubles.calm(Daemons, daemon, v.at, r.at) && l.troubles.calm(StoreLinks, daemon, v.at, r.at) &&
			l.troubles.calm(StoreServer, 0, v.at, r.at)
	}
	return false
}
