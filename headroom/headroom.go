package headroom

import (
	"slices"
	"time"
)

const (
	// MaxReportAge is how old the list of runs in an engine's report can be when it arrives.
	MaxReportAge = 300 * time.Millisecond
	// maxKnownAge is the age from which a report is not used any more: an engine reads
	// several prompts in that time.
	maxKnownAge = 2 * time.Second
	// reportWeight is the weight of the newest report in the mean number of runs at an engine.
	// A request asks five engines or more; with a tenth the mean followed the engines that
	// happened to be asked.
	reportWeight = 0.04
	// sampleWeight is the weight of the newest sample in moving averages.
	sampleWeight = 0.2
	// priorSamples is the number of samples of one engine at which its own speed and the mean
	// of its service weigh the same.
	priorSamples = 3
	// minSampleTokens is the least number of prompt tokens from which a speed is learnt: the
	// time of a shorter prompt is mostly that of the network.
	minSampleTokens = 256
	// maxUncertainShare is the part of a prompt that the engine may hold because of other
	// daemons, above which no speed is learnt from it. maxSpeedRise bounds a sample against the
	// mean of the service, because a prompt that is held unknown to this daemon looks like a
	// speed many times as high.
	maxUncertainShare = 0.1
	maxSpeedRise      = 1.5
	// maxSamples bounds the weight of an engine's own speed against the mean.
	maxSamples = 20
	// refusesFor is how long after such a refusal the full engines of a service are taken to
	// turn requests away instead of queueing them.
	refusesFor = 30 * time.Second
	// speedAge is the age from which a speed is not a reason to refuse requests without asking
	// an engine: a wrong one would keep itself up.
	speedAge = 10 * time.Second
	// fewSamples is the number of speeds of a service below which one is learnt from any
	// first event, however much work was ahead of it.
	fewSamples = 5
	// priorities is the number of priorities; 0 is the most urgent.
	priorities = 10
)

// Part is a part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Request is a stream that is to be placed.
type Request struct {
	// ID identifies the client's attempt.
	ID       string
	Service  string
	Priority int
	// Tokens is the length of the prompt; 0 is unknown. Parts are its parts in their order,
	// which may be fewer tokens.
	Tokens int
	Parts  []Part
	// OutputTokens is the largest number of tokens that may be generated; 0 is unknown.
	OutputTokens int
}

// Run is a run in an engine's report.
type Run struct {
	ID string
	// Tokens is the number of its tokens in the KV cache, Events that of its events: a run
	// without any is still reading its prompt.
	Tokens   int
	Events   int64
	Priority int
}

// Load is the number of requests at an engine.
type Load struct{ Running, Waiting int }

// Report is what an engine reports. Runs and Listed may be MaxReportAge old.
type Report struct {
	Runs   []Run
	Listed Load
	// Current is the load at the moment of the answer; nil if it is not known.
	Current *Load
	// Slots is the number of requests that run at once; 0 is unknown.
	Slots int
	// UsedTokens is the part of the KV cache that running requests need, TotalTokens the whole
	// cache; 0 is unknown.
	UsedTokens, TotalTokens int
}

// Ticket identifies a request that was sent; 0 is none.
type Ticket uint64

// sent is a request of this daemon that has not ended.
type sent struct {
	request Request
	engine  string
	at      time.Time
	// read is the number of tokens of the prompt that the engine has to read.
	read float64
	// ahead is the number of tokens that were read before it by the estimate, and slotWait
	// the estimated wait for a slot.
	ahead    float64
	slotWait time.Duration
	// planned is the estimated time to the first event without the correction; 0 for an idle
	// engine, whose estimates need none.
	planned time.Duration
	// uncertain is the part of read that the engine may hold because of other daemons.
	uncertain float64
	// reported says that ahead is based on a report of the engine.
	reported     bool
	ticket       Ticket
	firstEventAt time.Time
}

type engine struct {
	service  string
	report   Report
	reportAt time.Time
	sent     []*sent
	// speed is the learnt speed in prompt tokens a millisecond, from samples samples.
	speed, samples float64
	parts          map[string]*heldPart
}

type service struct {
	speed, samples float64
	// learntAt is when the last speed was learnt.
	learntAt time.Time
	// read is the mean number of tokens that a prompt leaves to read.
	read float64
	// prompt and outputTokens are the mean sizes of requests in tokens, the latter as clients
	// bound it.
	prompt, outputTokens float64
	// correction is the factor that inTimeShare of the real times to the first event stayed
	// below, against the estimates; 0 is unknown.
	correction float64
	// refused is the share of requests that were refused lately.
	refused float64
	// output is the mean time from the first event of a run to its end.
	output time.Duration
	// generating and reading are the mean numbers of runs of each priority, with and without
	// events, that an engine lists. reports is the number of reports, up to 1/reportWeight.
	generating, reading [priorities]float64
	reports             float64
	// refusedAt is when an engine last turned a request away while all its slots were taken.
	refusedAt time.Time
}

// Tracker holds what one daemon knows of the engines.
type Tracker struct {
	engines  map[string]*engine
	services map[string]*service
	tickets  map[Ticket]*sent
	// sentParts holds when a part of a prompt was last sent to any engine.
	sentParts map[string]time.Time
	last      Ticket
}

// NewTracker returns a tracker that knows nothing.
func NewTracker() *Tracker {
	return &Tracker{engines: map[string]*engine{}, services: map[string]*service{}, tickets: map[Ticket]*sent{}, sentParts: map[string]time.Time{}}
}

func (t *Tracker) engine(id, serviceName string) *engine {
	e := t.engines[id]
	if e == nil {
		e = &engine{service: serviceName, parts: map[string]*heldPart{}}
		t.engines[id] = e
	}
	return e
}

func (t *Tracker) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{}
		t.services[name] = s
	}
	return s
}

// Retain forgets the engines that are not registered and have no request of this daemon, and
// the services for which keepService returns false.
func (t *Tracker) Retain(registered func(engine string) bool, keepService func(service string) bool) {
	for id, e := range t.engines {
		if len(e.sent) == 0 && !registered(id) {
			delete(t.engines, id)
		}
	}
	for name := range t.services {
		if !keepService(name) {
			delete(t.services, name)
		}
	}
}

// Report records an engine's report.
func (t *Tracker) Report(id, serviceName string, r Report, now time.Time) {
	e := t.engine(id, serviceName)
	e.report, e.reportAt = r, now
	s := t.service(serviceName)
	var generating, reading [priorities]float64
	for _, run := range r.Runs {
		if run.Events > 0 {
			generating[clampPriority(run.Priority)]++
		} else {
			reading[clampPriority(run.Priority)]++
		}
	}
	s.reports = min(s.reports+1, 1/reportWeight)
	for p := range priorities {
		s.generating[p] += (generating[p] - s.generating[p]) / s.reports
		s.reading[p] += (reading[p] - s.reading[p]) / s.reports
	}
}

// Sent records that a request is sent to an engine, with the estimate by which it was
// placed there. The caller passes the ticket to FirstEvent, Refused and Ended.
func (t *Tracker) Sent(id string, r Request, est Estimate, now time.Time) Ticket {
	e := t.engine(id, r.Service)
	t.last++
	x := &sent{request: r, engine: id, at: now, read: float64(max(r.Tokens-t.held(e, r.Parts, now), 0)), ahead: est.Ahead, slotWait: est.SlotWait, reported: est.Reported, ticket: t.last}
	x.uncertain = float64(t.uncertain(e, r, now))
	if !est.Idle {
		x.planned = est.planned
	}
	e.sent, t.tickets[t.last] = append(e.sent, x), x
	s := t.service(r.Service)
	s.countSize(r)
	if r.Tokens > 0 {
		if s.read == 0 {
			s.read = x.read
		} else {
			s.read += sampleWeight * (x.read - s.read)
		}
	}
	return t.last
}

// FirstEvent records the first event of a request that was sent.
func (t *Tracker) FirstEvent(ticket Ticket, now time.Time) {
	x := t.tickets[ticket]
	if x == nil || !x.firstEventAt.IsZero() {
		return
	}
	x.firstEventAt = now
	e := t.engines[x.engine]
	t.service(x.request.Service).correct(x, now)
	t.learnSpeed(e, x, now)
	t.holds(e, x.request.Parts, now)
}

// learnSpeed learns from a first event. The less work was ahead of the request, the more it
// says: what other daemons sent in the meantime is not known.
func (t *Tracker) learnSpeed(e *engine, x *sent, now time.Time) {
	elapsed := float64(now.Sub(x.at)) / float64(time.Millisecond)
	if !x.reported || x.read < minSampleTokens || elapsed <= 0 || x.uncertain > maxUncertainShare*x.read {
		return
	}
	s := t.service(x.request.Service)
	few := s.samples < fewSamples
	if (x.ahead > x.read/2 || x.slotWait > 0) && !few {
		return
	}
	if wait := float64(x.slotWait) / float64(time.Millisecond); elapsed > 2*wait {
		elapsed -= wait
	}
	s.learntAt = now
	weight := x.read / (x.read + x.ahead)
	speed := (x.read + x.ahead) / elapsed
	if s.samples > 0 {
		speed = min(speed, maxSpeedRise*s.speed)
	}
	learn := func(mean, samples *float64) {
		*samples += weight
		*mean += max(sampleWeight, weight / *samples) * weight * (speed - *mean)
	}
	if s.samples == 0 {
		s.speed, s.samples = speed, weight
	} else {
		learn(&s.speed, &s.samples)
	}
	if e.samples == 0 {
		e.speed, e.samples = speed, weight
	} else {
		learn(&e.speed, &e.samples)
	}
	e.samples = min(e.samples, maxSamples)
}

// Refused records that an engine turned a request away, which it did not begin.
func (t *Tracker) Refused(ticket Ticket, now time.Time) {
	x := t.tickets[ticket]
	if x == nil {
		return
	}
	e, s := t.engines[x.engine], t.service(x.request.Service)
	if slots := e.report.Slots; slots > 0 && now.Sub(e.reportAt) < maxKnownAge && t.load(e).Running >= slots {
		s.refusedAt = now
	}
	t.Ended(ticket, now)
}

// refusesWhenFull reports whether engines of the service turn requests away while all their
// slots are taken.
func (s *service) refusesWhenFull(now time.Time) bool {
	return !s.refusedAt.IsZero() && now.Sub(s.refusedAt) < refusesFor
}

// Ended records that a request ended, whatever its outcome.
func (t *Tracker) Ended(ticket Ticket, now time.Time) {
	x := t.tickets[ticket]
	if x == nil {
		return
	}
	delete(t.tickets, ticket)
	if e := t.engines[x.engine]; e != nil {
		e.sent = slices.DeleteFunc(e.sent, func(o *sent) bool { return o == x })
	}
	if x.firstEventAt.IsZero() {
		return
	}
	s := t.service(x.request.Service)
	if took := now.Sub(x.firstEventAt); s.output == 0 {
		s.output = took
	} else {
		s.output += time.Duration(sampleWeight * float64(took-s.output))
	}
}

func clampPriority(p int) int { return min(max(p, 0), priorities-1) }
