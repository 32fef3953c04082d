package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gooseberryroad/gooseberryroad/registry"
)

const (
	// failurePause is how long an upstream gets no new work after a failure while
	// others are available. Engines that crash are back after one to a few seconds.
	failurePause = 1 * time.Second
	// maxFailurePause bounds the pause of an upstream that fails again and again.
	maxFailurePause = 4 * time.Second
	// unreachedPause is how long an upstream to which no connection could be opened
	// in time gets no request at all: one after each pause finds out whether it is
	// back, and the others need not wait for the same timeout.
	unreachedPause = 300 * time.Millisecond
	// maxUnreachedPause bounds the pause as it doubles.
	maxUnreachedPause = 1200 * time.Millisecond
	// closedPause and maxClosedPause bound the same pause for an upstream whose port
	// is closed. It costs no time to ask, but every waiting request asks.
	closedPause    = 100 * time.Millisecond
	maxClosedPause = 400 * time.Millisecond
	// returningShare is the share of a service's upstreams that must work for a
	// stream to go to one that reads another prompt. Below it the others are
	// expected back within a second of the first, and a prompt takes a second.
	returningShare = 0.5
	// refusalPause is how long an upstream that said it is full is avoided: about
	// the time in which a small request ends.
	refusalPause = 40 * time.Millisecond
	// maxRefusalPause bounds the pause as it doubles with each refusal. A stream's
	// place is free after seconds, and each question is a repeat of the fleet's
	// budget.
	maxRefusalPause = 320 * time.Millisecond
	// refusalMemory is how long after a refusal streams ask an upstream one by one:
	// the window of the fleet's retry budget.
	refusalMemory = 10 * time.Second
	// answerWait is the time in which an upstream that was asked refuses, between
	// data centres too.
	answerWait = 30 * time.Millisecond
	// dataCentreWindow is the time in which failures of one data centre's upstreams
	// are counted together.
	dataCentreWindow = 1500 * time.Millisecond
	// dataCentreShare is the share of a data centre's upstreams that must fail
	// within dataCentreWindow for the others to be avoided too.
	dataCentreShare = 0.34
	// minDataCentreFailures keeps single crashes from condemning a data centre.
	minDataCentreFailures = 2
	// GonePause is how long an upstream that another one replaced at its address
	// gets no work. Its registration is removed meanwhile, unless the store is
	// away.
	ReplacedPause = 10 * time.Second
	// maxLoadAge is how long a load report counts. Requests that were running then
	// have mostly ended.
	maxLoadAge = 2 * time.Second
	// latencyGain is the weight of the newest sample in the averages.
	latencyGain = 0.2
	// maxLatencyRatio bounds how much worse a slow upstream is judged, so that it
	// still gets requests that can show it has recovered.
	maxLatencyRatio = 8
	// failureWeight is the load that a failure rate of one stands for.
	failureWeight = 3
	// readingWeight is how many running streams the reading of a prompt weighs more:
	// prompts are read one after the other, and every stream waits meanwhile.
	readingWeight = 2
	// defaultSlots stands for an upstream that does not say how much it runs at
	// once.
	defaultSlots = 8
)

// Load is what an upstream says of itself.
type Load struct {
	Running int
	Waiting int
	// Slots is 0 when it is not said.
	Slots int
}

type state struct {
	inflight int
	// reading counts the streams whose prompt the upstream still reads.
	reading int
	load    Load
	// inflightAtLoad is this daemon's part of the reported load.
	inflightAtLoad int
	loadAt         time.Time
	latency        float64
	failureRate    float64
	failures       int
	failedAt       time.Time
	pausedUntil    time.Time
	goneUntil      time.Time
	unreachedUntil time.Time
	unreached      int
	// fullUntil is when an upstream that refused is worth another question of a
	// stream; refusals counts those since a place was free.
	fullUntil time.Time
	refusals  int
	refusedAt time.Time
	// askedAt is when a stream was sent there last.
	askedAt time.Time
}

// Board holds what a daemon knows about upstreams, by instance ID.
type Tracker struct {
	self string
	rnd  *rand.Rand
	up   map[string]*state
	// members holds the registered upstreams of each service and data centre.
	members map[group][]string
}

// group is the upstreams that fail together.
type group struct{ service, dataCentre string }

// NewBoard returns a board for a daemon in the given data centre.
func NewTracker(dataCentre string, rnd *rand.Rand) *Tracker {
	return &Tracker{self: dataCentre, rnd: rnd, up: map[string]*state{}}
}

func (b *Tracker) state(id string) *state {
	s := b.up[id]
	if s == nil {
		s = &state{}
		b.up[id] = s
	}
	return s
}

// Keep takes the registered upstreams and forgets all others.
func (b *Tracker) SetRegistered(all []registry.Instance) {
	known := make(map[string]bool, len(all))
	b.members = map[group][]string{}
	for _, in := range all {
		known[in.ID] = true
		g := group{in.Service, in.DataCentre}
		b.members[g] = append(b.members[g], in.ID)
	}
	for id, s := range b.up {
		if !known[id] && s.inflight == 0 {
			delete(b.up, id)
		}
	}
}

// Begin counts a request that is sent to an upstream.
func (b *Tracker) Begin(in registry.Instance) {
	s := b.state(in.ID)
	s.inflight++
}

// Reserve counts a request that is sent to an upstream, unless all its places are
// taken. Requests that looked for a place at the same time see each other only
// here.
func (b *Tracker) Reserve(in registry.Instance, now time.Time) bool {
	if b.state(in.ID).taken(in, now) {
		return false
	}
	b.Begin(in)
	return true
}

// End counts the end of a request, whatever its outcome.
func (b *Tracker) End(id string) {
	if s := b.up[id]; s != nil && s.inflight > 0 {
		s.inflight--
	}
}

// Accepted notes that an upstream began a request.
func (b *Tracker) Accepted(id string) {
	s := b.state(id)
	s.refusals, s.fullUntil = 0, time.Time{}
}

// Ended notes that a request ended that ran at an upstream: a place is free.
func (b *Tracker) SlotFreed(id string) {
	if s := b.up[id]; s != nil {
		s.fullUntil = time.Time{}
	}
}

// Reading counts a stream whose prompt an upstream begins (1) or ends (-1) to
// read.
func (b *Tracker) AddPrefills(id string, n int) {
	s := b.state(id)
	s.reading = max(s.reading+n, 0)
}

// Inflight is the number of requests this daemon has at an upstream.
func (b *Tracker) Inflight(id string) int {
	if s := b.up[id]; s != nil {
		return s.inflight
	}
	return 0
}

// Asked notes that a stream is sent to an upstream.
func (b *Tracker) StreamSent(id string, now time.Time) { b.state(id).askedAt = now }

// asked reports whether an upstream that refused lately may refuse another
// stream in a moment, so that the next one waits for that instead of being
// refused too.
func (s *state) asked(now time.Time) bool {
	return now.Sub(s.askedAt) < answerWait && now.Sub(s.refusedAt) < refusalMemory
}

// Reported notes an upstream's load.
func (b *Tracker) SetLoad(id string, l Load, now time.Time) {
	s := b.state(id)
	s.load, s.loadAt, s.inflightAtLoad = l, now, s.inflight
}

// Succeeded notes a good answer and how long it took; 0 says nothing about the
// upstream's latency.
func (b *Tracker) Succeeded(id string, took time.Duration) {
	s := b.state(id)
	s.failures, s.unreached, s.refusals = 0, 0, 0
	s.fullUntil = time.Time{}
	s.pausedUntil, s.unreachedUntil = time.Time{}, time.Time{}
	s.failureRate *= 1 - latencyGain
	if took <= 0 {
		return
	}
	if s.latency == 0 {
		s.latency = took.Seconds()
	} else {
		s.latency += latencyGain * (took.Seconds() - s.latency)
	}
}

// Erred notes an answer that reports a failure of the upstream's own.
func (b *Tracker) AnsweredError(id string) {
	s := b.state(id)
	s.failureRate += latencyGain * (1 - s.failureRate)
}

// Failed notes that an upstream broke off, fell silent or was not reached.
func (b *Tracker) Failed(in registry.Instance, now time.Time) {
	s := b.state(in.ID)
	s.failures++
	s.failedAt = now
	s.failureRate += latencyGain * (1 - s.failureRate)
	pause := min(failurePause<<min(s.failures-1, 4), maxFailurePause)
	s.pausedUntil = now.Add(pause)
}

// Unreached notes that no connection could be opened in time: the upstream, or
// the data centre around it, is cut off or dark.
func (b *Tracker) ConnectTimedOut(in registry.Instance, now time.Time) {
	b.unconnected(in, now, unreachedPause, maxUnreachedPause)
}

// Closed notes that no connection could be opened because the port is closed:
// the upstream crashed, or starts.
func (b *Tracker) ConnectRefused(in registry.Instance, now time.Time) {
	b.unconnected(in, now, closedPause, maxClosedPause)
}

// unconnected leaves an upstream out for a pause that doubles with each failure.
func (b *Tracker) unconnected(in registry.Instance, now time.Time, first, most time.Duration) {
	b.Failed(in, now)
	s := b.state(in.ID)
	if now.Before(s.unreachedUntil) {
		// Requests that were under way together met the same failure.
		return
	}
	s.unreachedUntil = now.Add(min(first<<min(s.unreached, 4), most))
	s.unreached++
}

// Refused notes that an upstream said that it is full.
func (b *Tracker) Refused(id string, now time.Time) {
	s := b.state(id)
	s.refusedAt = now
	if until := now.Add(refusalPause); until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
	if now.Before(s.fullUntil) {
		// Requests that were under way together met the same refusal.
		return
	}
	s.fullUntil = now.Add(min(refusalPause<<min(s.refusals, 4), maxRefusalPause))
	s.refusals++
}

// Gone notes that another upstream answers at the address. A registration that
// is written again has another ID.
func (b *Tracker) Replaced(id string, now time.Time) {
	b.state(id).goneUntil = now.Add(ReplacedPause)
}

// Lost reports whether an upstream failed lately or is gone.
func (b *Tracker) FailedOrReplaced(id string, now time.Time) bool {
	s := b.up[id]
	return s != nil && (now.Before(s.goneUntil) || s.failures > 0 && now.Before(s.pausedUntil))
}

// Ranked is an upstream with the reasons for its place.
type Ranked struct {
	registry.Instance
	// Paused upstreams failed or refused lately.
	Paused bool
	// Lost upstreams failed lately: what is sent to them may be lost.
	FailedRecently bool
	// Full upstreams refused a moment ago, and no request of this daemon ended
	// there since, or may be about to refuse another stream.
	Full bool
	// Crowded upstreams read a prompt of this daemon while most others are away:
	// all streams of those would queue there.
	Crowded bool
	// Taken upstreams run as many requests as they have places, by what they said a
	// moment ago and what was sent to them since.
	SlotsTaken bool
	// Score is the expected load; lower is better.
	Score float64
}

// Rank orders candidates, best first. Paused upstreams and those of a data
// centre whose upstreams fail together come last; those that are gone, or were
// not reached a moment ago, are left out. Remote is the number of requests more
// at which an upstream of another data centre is preferred: bytes between data
// centres cost, and a data centre that is cut off loses what runs outside it.
func (b *Tracker) Rank(candidates []registry.Instance, remote float64, now time.Time) []Ranked {
	average := b.averageLatency(candidates)
	failing := map[group]bool{}
	for _, in := range candidates {
		g := group{in.Service, in.DataCentre}
		if _, known := failing[g]; !known {
			failing[g] = b.failing(g, now)
		}
	}
	returning := b.returning(candidates, now)
	out := make([]Ranked, 0, len(candidates))
	for _, in := range candidates {
		s := b.state(in.ID)
		if now.Before(s.goneUntil) || now.Before(s.unreachedUntil) {
			continue
		}
		groupFails := failing[group{in.Service, in.DataCentre}]
		out = append(out, Ranked{
			Instance:       in,
			Paused:         now.Before(s.pausedUntil) || groupFails && s.failedWithin(now),
			FailedRecently: s.failures > 0 && now.Before(s.pausedUntil),
			Full:           now.Before(s.fullUntil) || s.asked(now),
			SlotsTaken:     s.taken(in, now),
			Crowded:        returning && s.reading > 0,
			Score:          b.score(in, s, average, groupFails, remote, now),
		})
	}
	// Equal scores are ordered by chance, so that daemons that know the same do not
	// all choose the same upstream.
	b.rnd.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
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

// Sound returns the upstreams that did not fail lately, in their order.
func WithoutFailed(ranked []Ranked) []Ranked {
	return slices.DeleteFunc(slices.Clone(ranked), func(r Ranked) bool { return r.FailedRecently })
}

// Open returns the upstreams that may have a place, in their order.
func WithoutFull(ranked []Ranked) []Ranked {
	return slices.DeleteFunc(slices.Clone(ranked), func(r Ranked) bool { return r.Full || r.Crowded })
}

func (s *state) taken(in registry.Instance, now time.Time) bool {
	slots := s.slots(in)
	running := s.load.Running + max(s.inflight-s.inflightAtLoad, 0)
	return slots > 0 && !s.loadAt.IsZero() && now.Sub(s.loadAt) < answerWait && running >= slots
}

// slots is 0 when it is not said.
func (s *state) slots(in registry.Instance) int {
	if s.load.Slots > 0 {
		return s.load.Slots
	}
	return in.Slots
}

// returning reports whether most of the candidates failed lately, so that those
// that work are the first of many to come back.
func (b *Tracker) returning(candidates []registry.Instance, now time.Time) bool {
	work := 0
	for _, in := range candidates {
		if !b.FailedOrReplaced(in.ID, now) {
			work++
		}
	}
	return float64(work) < returningShare*float64(len(candidates))
}

func (s *state) failedWithin(now time.Time) bool {
	return !s.failedAt.IsZero() && now.Sub(s.failedAt) < dataCentreWindow
}

func (b *Tracker) score(in registry.Instance, s *state, average float64, failing bool, remote float64, now time.Time) float64 {
	slots := s.slots(in)
	if slots <= 0 {
		slots = defaultSlots
	}
	busy := float64(s.inflight) + readingWeight*float64(s.reading)
	if !s.loadAt.IsZero() && now.Sub(s.loadAt) < maxLoadAge {
		// Other daemons' requests, of which fewer and fewer still run.
		fresh := 1 - float64(now.Sub(s.loadAt))/float64(maxLoadAge)
		others := s.load.Running + s.load.Waiting - s.inflightAtLoad
		busy += fresh * float64(max(others, 0))
	}
	score := busy / float64(slots)
	if s.latency > 0 && average > 0 {
		ratio := min(s.latency/average, maxLatencyRatio)
		score = (score + 1/float64(slots)) * max(ratio, 1)
	} else {
		score += 1 / float64(slots)
	}
	score += failureWeight * s.failureRate * s.failureRate
	if in.DataCentre != b.self {
		score += remote / float64(slots)
	}
	if failing {
		score++
	}
	return score
}

func (b *Tracker) averageLatency(candidates []registry.Instance) float64 {
	sum, n := 0.0, 0
	for _, in := range candidates {
		if s := b.up[in.ID]; s != nil && s.latency > 0 {
			sum += s.latency
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// FailsTogether reports whether an upstream failed at about the same time as
// several others of its service and data centre.
func (b *Tracker) GroupFailing(in registry.Instance, now time.Time) bool {
	return b.failing(group{in.Service, in.DataCentre}, now)
}

// failing reports whether several upstreams of a service in one data centre
// failed at about the same time.
func (b *Tracker) failing(g group, now time.Time) bool {
	failed := 0
	for _, id := range b.members[g] {
		if s := b.up[id]; s != nil && s.failedWithin(now) {
			failed++
		}
	}
	return failed >= minDataCentreFailures && float64(failed) >= dataCentreShare*float64(len(b.members[g]))
}
