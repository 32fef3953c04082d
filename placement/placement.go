package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gooseberryroad/gooseberryroad/registry"
)

const (
	// failurePause is how long an upstream is ranked last after a failure. Crashed
	// engines are back after one to a few seconds.
	failurePause = 1 * time.Second
	// maxFailurePause bounds the pause as it doubles with each failure in a row.
	maxFailurePause = 4 * time.Second
	// connectTimeoutPause is how long an upstream to which no connection could be
	// opened in time is left out. One request after each pause finds out whether it
	// is back, so that the others need not wait for the same timeout.
	connectTimeoutPause = 300 * time.Millisecond
	// maxConnectTimeoutPause bounds the pause as it doubles.
	maxConnectTimeoutPause = 1200 * time.Millisecond
	// connectRefusedPause and maxConnectRefusedPause are the first and the longest
	// such pause for an upstream that refuses connections, because its port is closed.
	// An attempt fails there at once, but every waiting request makes one.
	connectRefusedPause    = 100 * time.Millisecond
	maxConnectRefusedPause = 400 * time.Millisecond
	// minWorkingShare is the share of a service's upstreams that must work for a
	// stream to go to an upstream that is still prefilling another prompt. Below
	// this share the others are expected back within a second of the first one, and
	// a prefill takes about a second.
	minWorkingShare = 0.5
	// refusalPause is how long an upstream that refused a request because it is full
	// is avoided: about the run time of a small request.
	refusalPause = 40 * time.Millisecond
	// maxRefusalPause bounds the pause as it doubles with each refusal. A stream's
	// slot becomes free after seconds, and each try is a repeat that counts against
	// the fleet's retry budget.
	maxRefusalPause = 320 * time.Millisecond
	// refusalWindow is how long after a refusal streams try an upstream one at a
	// time. It equals the window of the fleet's retry budget.
	refusalWindow = 10 * time.Second
	// maxRefusalDelay is the time within which an upstream that is full refuses a
	// request, also between data centres. A load report that is older does not tell
	// whether all slots are taken.
	maxRefusalDelay = 30 * time.Millisecond
	// dataCentreWindow is the time within which failures of one data centre's
	// upstreams are counted together.
	dataCentreWindow = 1500 * time.Millisecond
	// dataCentreShare is the share of a data centre's upstreams that must fail
	// within dataCentreWindow for the others to be avoided too.
	dataCentreShare = 0.34
	// minDataCentreFailures is the least number of failed upstreams for that, so
	// that a single crash does not count against a whole data centre.
	minDataCentreFailures = 2
	// ReplacedPause is how long an upstream that another one replaced at its address
	// gets no work. Its registration is removed meanwhile, unless the store is
	// unavailable.
	ReplacedPause = 10 * time.Second
	// maxLoadAge is the age from which a load report is ignored. Most of the
	// requests that were running when it was made have ended by then.
	maxLoadAge = 2 * time.Second
	// ewmaWeight is the weight of the newest sample in the moving averages of
	// latency and failures.
	ewmaWeight = 0.2
	// maxLatencyRatio bounds the penalty of a slow upstream, so that it still gets
	// some requests, which can show that it has recovered.
	maxLatencyRatio = 8
	// failureWeight is the score that a failure rate of 1 adds.
	failureWeight = 3
	// prefillWeight is the number of running streams that a prefill counts for, in
	// addition to the stream that it belongs to: an engine prefills one prompt after
	// the other, and all its streams wait meanwhile.
	prefillWeight = 2
	// defaultSlots is used for an upstream that does not report how many requests it
	// runs at once.
	defaultSlots = 8
)

// Load is what an upstream reports about its load, in requests.
type Load struct {
	Running int
	Waiting int
	// Slots is the number of requests that run at once; 0 is unknown.
	Slots int
	// Pace is how long work takes on the upstream's VM at this moment, in percent of the
	// usual time; 0 if the upstream does not report it. It changes many times a second.
	Pace int
}

type upstreamState struct {
	inflight int
	// prefilling counts the streams whose prompt the upstream is still prefilling.
	prefilling int
	load       Load
	// inflightAtLoad is the number of this daemon's requests that the load report
	// includes.
	inflightAtLoad   int
	loadAt           time.Time
	latency          float64
	failureRate      float64
	failures         int
	failedAt         time.Time
	pausedUntil      time.Time
	replacedUntil    time.Time
	unconnectedUntil time.Time
	connectFailures  int
	// fullUntil is until when streams avoid an upstream that refused one; refusals
	// counts the refusals since it last accepted a request.
	fullUntil time.Time
	refusals  int
	refusedAt time.Time
	// lastStreamAt is when a stream was last sent to the upstream.
	lastStreamAt time.Time
}

// Tracker holds what a daemon knows about the load, latency and failures of
// upstreams, by instance ID.
type Tracker struct {
	dataCentre string
	rnd        *rand.Rand
	upstreams  map[string]*upstreamState
	// members holds the IDs of the registered upstreams of each group.
	members map[group][]string
	// notices holds what upstreams said of themselves, by instance ID, for those that
	// leave or asked for a pause.
	notices map[string]*notice
	// limits holds the limits that upstreams name, by instance ID; fleet the daemons that
	// share them.
	limits map[string]*limit
	fleet  fleet
}

// group identifies the upstreams of a service in one data centre, which tend to
// fail together.
type group struct{ service, dataCentre string }

// NewTracker returns a tracker for a daemon in the given data centre.
func NewTracker(dataCentre string, rnd *rand.Rand) *Tracker {
	return &Tracker{dataCentre: dataCentre, rnd: rnd, upstreams: map[string]*upstreamState{}, notices: map[string]*notice{}, limits: map[string]*limit{}}
}

func (t *Tracker) state(id string) *upstreamState {
	s := t.upstreams[id]
	if s == nil {
		s = &upstreamState{}
		t.upstreams[id] = s
	}
	return s
}

// SetRegistered sets the registered upstreams and forgets all others that have
// no request in flight.
func (t *Tracker) SetRegistered(all []registry.Instance) {
	known := make(map[string]bool, len(all))
	t.members = map[group][]string{}
	for _, in := range all {
		known[in.ID] = true
		g := group{in.Service, in.DataCentre}
		t.members[g] = append(t.members[g], in.ID)
	}
	for id, s := range t.upstreams {
		if !known[id] && s.inflight == 0 {
			delete(t.upstreams, id)
		}
	}
}

// Begin counts a request that is sent to an upstream.
func (t *Tracker) Begin(in registry.Instance) {
	s := t.state(in.ID)
	s.inflight++
}

// Reserve counts a request that is sent to an upstream and returns true, unless
// all slots of the upstream are taken or the upstream names a limit and this daemon has no
// permit. Requests that ranked the upstreams at the same time take each other into account
// only here.
func (t *Tracker) Reserve(in registry.Instance, now time.Time) bool {
	if t.state(in.ID).slotsTaken(in, now) || !t.TakePermit(in, now) {
		return false
	}
	t.Begin(in)
	return true
}

// ReserveSlot does the same for a request that has a permit, if one is needed.
func (t *Tracker) ReserveSlot(in registry.Instance, now time.Time) bool {
	if t.state(in.ID).slotsTaken(in, now) {
		return false
	}
	t.Begin(in)
	return true
}

// End counts the end of a request, whatever its outcome.
func (t *Tracker) End(id string) {
	if s := t.upstreams[id]; s != nil && s.inflight > 0 {
		s.inflight--
	}
}

// Accepted records that an upstream began a request.
func (t *Tracker) Accepted(id string) {
	s := t.state(id)
	s.refusals, s.fullUntil = 0, time.Time{}
	t.resumed(id)
}

// SlotFreed records that a request that ran at an upstream has ended, so that a
// slot is free.
func (t *Tracker) SlotFreed(id string) {
	if s := t.upstreams[id]; s != nil {
		s.fullUntil = time.Time{}
	}
}

// AddPrefills counts a stream whose prompt an upstream begins to prefill (n is 1)
// or has prefilled (n is -1).
func (t *Tracker) AddPrefills(id string, n int) {
	s := t.state(id)
	s.prefilling = max(s.prefilling+n, 0)
}

// Inflight returns the number of requests that this daemon has in flight at an
// upstream.
func (t *Tracker) Inflight(id string) int {
	if s := t.upstreams[id]; s != nil {
		return s.inflight
	}
	return 0
}

// StreamSent records that a stream is sent to an upstream.
func (t *Tracker) StreamSent(id string, now time.Time) { t.state(id).lastStreamAt = now }

// refusalPending reports whether a stream was just sent to an upstream that
// refused one lately. The upstream may be about to refuse it, and the next
// stream waits for that instead of being refused too.
func (s *upstreamState) refusalPending(now time.Time) bool {
	return now.Sub(s.lastStreamAt) < maxRefusalDelay && now.Sub(s.refusedAt) < refusalWindow
}

// SetLoad records an upstream's load report.
func (t *Tracker) SetLoad(id string, l Load, now time.Time) {
	s := t.state(id)
	s.load, s.loadAt, s.inflightAtLoad = l, now, s.inflight
}

// Succeeded records a good answer and how long it took; a duration of 0 leaves
// the upstream's latency as it is.
func (t *Tracker) Succeeded(id string, took time.Duration) {
	s := t.state(id)
	s.failures, s.connectFailures, s.refusals = 0, 0, 0
	s.fullUntil = time.Time{}
	s.pausedUntil, s.unconnectedUntil = time.Time{}, time.Time{}
	s.failureRate *= 1 - ewmaWeight
	t.resumed(id)
	if took <= 0 {
		return
	}
	if s.latency == 0 {
		s.latency = took.Seconds()
	} else {
		s.latency += ewmaWeight * (took.Seconds() - s.latency)
	}
}

// AnsweredError records an answer that reports a failure of the upstream itself.
func (t *Tracker) AnsweredError(id string) {
	s := t.state(id)
	s.failureRate += ewmaWeight * (1 - s.failureRate)
}

// Failed records that an upstream broke off an answer, fell silent or could not
// be reached.
func (t *Tracker) Failed(in registry.Instance, now time.Time) {
	s := t.state(in.ID)
	s.failures++
	s.failedAt = now
	s.failureRate += ewmaWeight * (1 - s.failureRate)
	pause := min(failurePause<<min(s.failures-1, 4), maxFailurePause)
	s.pausedUntil = now.Add(pause)
}

// ConnectTimedOut records that no connection could be opened in time: the
// upstream or its data centre is down or unreachable.
func (t *Tracker) ConnectTimedOut(in registry.Instance, now time.Time) {
	t.connectFailed(in, now, connectTimeoutPause, maxConnectTimeoutPause)
}

// ConnectRefused records that no connection could be opened because the port is
// closed: the upstream crashed, or is starting.
func (t *Tracker) ConnectRefused(in registry.Instance, now time.Time) {
	t.connectFailed(in, now, connectRefusedPause, maxConnectRefusedPause)
}

// connectFailed leaves an upstream out for a pause that doubles with each
// failure from initial up to limit.
func (t *Tracker) connectFailed(in registry.Instance, now time.Time, initial, limit time.Duration) {
	t.Failed(in, now)
	s := t.state(in.ID)
	if now.Before(s.unconnectedUntil) {
		// Concurrent requests met the same failure.
		return
	}
	s.unconnectedUntil = now.Add(min(initial<<min(s.connectFailures, 4), limit))
	s.connectFailures++
}

// Refused records that an upstream refused a request because it is full.
func (t *Tracker) Refused(id string, now time.Time) {
	s := t.state(id)
	s.refusedAt = now
	if until := now.Add(refusalPause); until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
	if now.Before(s.fullUntil) {
		// Concurrent requests met the same refusal.
		return
	}
	s.fullUntil = now.Add(min(refusalPause<<min(s.refusals, 4), maxRefusalPause))
	s.refusals++
}

// Replaced records that another upstream answers at the address of this one. A
// registration that is written again has another ID.
func (t *Tracker) Replaced(id string, now time.Time) {
	t.state(id).replacedUntil = now.Add(ReplacedPause)
}

// FailedOrReplaced reports whether an upstream failed lately or was replaced.
func (t *Tracker) FailedOrReplaced(id string, now time.Time) bool {
	s := t.upstreams[id]
	return s != nil && (now.Before(s.replacedUntil) || s.failures > 0 && now.Before(s.pausedUntil))
}

// Ranked is an upstream with the facts that decide its rank.
type Ranked struct {
	registry.Instance
	// Paused upstreams failed or refused a request lately.
	Paused bool
	// FailedRecently upstreams failed lately: a request that is sent to one may be
	// lost.
	FailedRecently bool
	// Full upstreams refused a request a moment ago and no request of this daemon
	// has ended there since, or they may be about to refuse another stream.
	Full bool
	// Crowded upstreams are prefilling a prompt of this daemon while most others are
	// down: the streams of all of them would queue there.
	Crowded bool
	// SlotsTaken upstreams run as many requests as they have slots, by their last
	// load report, if it is fresh, and the requests sent to them since.
	SlotsTaken bool
	// Reconnect upstreams are paused because no connection could be opened, and it is time to
	// try again.
	Reconnect bool
	// Limited upstreams name a limit of requests, for which this daemon has a permit.
	Limited bool
	// Score is the expected load; lower is better.
	Score float64
}

// Rank returns the candidates in order, best first. Paused upstreams come last;
// upstreams of a data centre whose upstreams fail together get a worse score.
// Those that were replaced, that leave or asked for a pause, that name a limit for which
// this daemon has no permit, or to which no connection could be opened a moment ago, are
// left out. remotePenalty is the number of additional requests at which
// an upstream of another data centre is preferred: traffic between data centres
// costs money, and a data centre that is cut off loses what runs outside it.
func (t *Tracker) Rank(candidates []registry.Instance, remotePenalty float64, now time.Time) []Ranked {
	average := t.averageLatency(candidates)
	failing := map[group]bool{}
	for _, in := range candidates {
		g := group{in.Service, in.DataCentre}
		if _, known := failing[g]; !known {
			failing[g] = t.groupFailing(g, now)
		}
	}
	mostFailed := t.mostFailed(candidates, now)
	out := make([]Ranked, 0, len(candidates))
	for _, in := range candidates {
		s := t.state(in.ID)
		if t.unavailable(in, now) {
			continue
		}
		if reason, _ := t.Notice(in, now); reason != NoNotice {
			continue
		}
		next, limited := t.Limited(in, now)
		if next.After(now) {
			continue
		}
		groupFails := failing[group{in.Service, in.DataCentre}]
		out = append(out, Ranked{
			Instance:       in,
			Paused:         now.Before(s.pausedUntil) || groupFails && s.failedInWindow(now),
			FailedRecently: s.failures > 0 && now.Before(s.pausedUntil),
			Full:           now.Before(s.fullUntil) || s.refusalPending(now),
			SlotsTaken:     s.slotsTaken(in, now),
			Crowded:        mostFailed && s.prefilling > 0,
			Reconnect:      s.connectFailures > 0 && now.Before(s.pausedUntil),
			Limited:        limited,
			Score:          t.score(in, s, average, groupFails, remotePenalty, now),
		})
	}
	// Equal scores are ordered at random, so that daemons with the same knowledge do
	// not all choose the same upstream.
	t.rnd.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(x, y Ranked) int {
		if x.Paused != y.Paused {
			if x.Paused {
				return 1
			}
			return -1
		}
		return cmp.Compare(x.Score, y.Score)
	})
	return out
}

// WithoutFailed returns the upstreams that did not fail lately, in their order.
func WithoutFailed(ranked []Ranked) []Ranked {
	return slices.DeleteFunc(slices.Clone(ranked), func(r Ranked) bool { return r.FailedRecently })
}

// ReconnectFirst moves the upstreams to the front to which it is time to try a connection
// again. It changes ranked.
func ReconnectFirst(ranked []Ranked) {
	slices.SortStableFunc(ranked, func(x, y Ranked) int {
		switch {
		case x.Reconnect == y.Reconnect:
			return 0
		case x.Reconnect:
			return -1
		}
		return 1
	})
}

// WithoutFull returns the upstreams that may have a free slot, in their order:
// those that are neither full nor crowded.
func WithoutFull(ranked []Ranked) []Ranked {
	return slices.DeleteFunc(slices.Clone(ranked), func(r Ranked) bool { return r.Full || r.Crowded })
}

// unavailable reports whether another upstream answers at the address of this one, or no
// connection could be opened a moment ago.
func (t *Tracker) unavailable(in registry.Instance, now time.Time) bool {
	s := t.upstreams[in.ID]
	return s != nil && (now.Before(s.replacedUntil) || now.Before(s.unconnectedUntil))
}

func (s *upstreamState) slotsTaken(in registry.Instance, now time.Time) bool {
	slots := s.slots(in)
	running := s.load.Running + max(s.inflight-s.inflightAtLoad, 0)
	return slots > 0 && !s.loadAt.IsZero() && now.Sub(s.loadAt) < maxRefusalDelay && running >= slots
}

// slots returns the number of requests that an upstream runs at once; 0 is
// unknown.
func (s *upstreamState) slots(in registry.Instance) int {
	if s.load.Slots > 0 {
		return s.load.Slots
	}
	return in.Slots
}

// mostFailed reports whether most of the candidates failed lately, so that those
// that work are the first of many to come back.
func (t *Tracker) mostFailed(candidates []registry.Instance, now time.Time) bool {
	working := 0
	for _, in := range candidates {
		if !t.FailedOrReplaced(in.ID, now) {
			working++
		}
	}
	return float64(working) < minWorkingShare*float64(len(candidates))
}

func (s *upstreamState) failedInWindow(now time.Time) bool {
	return !s.failedAt.IsZero() && now.Sub(s.failedAt) < dataCentreWindow
}

func (t *Tracker) score(in registry.Instance, s *upstreamState, average float64, groupFails bool, remotePenalty float64, now time.Time) float64 {
	slots := s.slots(in)
	if slots <= 0 {
		slots = defaultSlots
	}
	busy := float64(s.inflight) + prefillWeight*float64(s.prefilling)
	if !s.loadAt.IsZero() && now.Sub(s.loadAt) < maxLoadAge {
		// The other daemons' requests at the time of the report. The share that still
		// runs shrinks with the report's age.
		freshness := 1 - float64(now.Sub(s.loadAt))/float64(maxLoadAge)
		others := s.load.Running + s.load.Waiting - s.inflightAtLoad
		busy += freshness * float64(max(others, 0))
	}
	score := busy / float64(slots)
	if s.latency > 0 && average > 0 {
		ratio := min(s.latency/average, maxLatencyRatio)
		score = (score + 1/float64(slots)) * max(ratio, 1)
	} else {
		score += 1 / float64(slots)
	}
	score += failureWeight * s.failureRate * s.failureRate
	if in.DataCentre != t.dataCentre {
		score += remotePenalty / float64(slots)
	}
	if groupFails {
		score++
	}
	return score
}

func (t *Tracker) averageLatency(candidates []registry.Instance) float64 {
	sum, n := 0.0, 0
	for _, in := range candidates {
		if s := t.upstreams[in.ID]; s != nil && s.latency > 0 {
			sum += s.latency
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// GroupFailing reports whether several upstreams of the service and data centre
// of in failed at about the same time.
func (t *Tracker) GroupFailing(in registry.Instance, now time.Time) bool {
	return t.groupFailing(group{in.Service, in.DataCentre}, now)
}

// groupFailing reports whether several upstreams of a group failed at about the
// same time.
func (t *Tracker) groupFailing(g group, now time.Time) bool {
	failed := 0
	for _, id := range t.members[g] {
		if s := t.upstreams[id]; s != nil && s.failedInWindow(now) {
			failed++
		}
	}
	return failed >= minDataCentreFailures && float64(failed) >= dataCentreShare*float64(len(t.members[g]))
}
