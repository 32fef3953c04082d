package shedding

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gooseberryroad/gooseberryroad/placement"
)

const (
	// waitShare is the part of the time between the work and the latency objective that a
	// request may wait in an upstream's queue on average. The rest is for the network, for
	// uneven arrivals and for the time until the daemons react.
	waitShare = 0.25
	// minWait is the shortest mean wait that is aimed at, in work times. Upstreams whose
	// queues are empty more often have idle slots.
	minWait = 1.0 / 3
	// lowerRate is by how much the part falls in a second, as an exponent, for each
	// multiple of the wait aimed at that a request waits longer.
	lowerRate = 1.5
	// maxExcess bounds these multiples. The number of waiting requests in one report is
	// uneven, and the reports of a daemon's requests that are on their way repeat it.
	maxExcess = 2.0
	// raiseRate is by how much a part of 1 rises in a second while nothing waits; smaller
	// parts rise more slowly, down to raiseBase of it, so that a large excess does not
	// return between two reports.
	raiseRate = 0.6
	raiseBase = 0.2
	// calm is the time without a wait in any report after which the load has fallen, and
	// calmFactor by how much faster the part rises then: all requests are sent again within
	// two seconds.
	calm       = 400 * time.Millisecond
	calmFactor = 4
	// maxPart is how far the part rises above 1, where all is sent. A single report of a long
	// queue then sheds nothing; the queues of a burst bring the part below 1 within 100 ms.
	maxPart = 1.3
	// maxStep is the longest time between two reports for which the part is adjusted. A
	// report says little of what was before.
	maxStep = 300 * time.Millisecond
	// maxLowerStep is the same for the fall: one report lowers the part by 26% at most, also
	// at a daemon with little traffic.
	maxLowerStep = 100 * time.Millisecond
	// refusalFactor is by what the part is multiplied when an upstream turns a request
	// away, at most once each refusalInterval. Within that time the daemons' requests that
	// were on their way have arrived.
	refusalFactor   = 0.85
	refusalInterval = 100 * time.Millisecond
	// silence is the time without a report after which the part rises by itself, so that
	// a daemon that sends little does not shed for longer than the others.
	silence = 700 * time.Millisecond
	// floorShare is the least part of the requests of a route that are sent, as a part of
	// the share of all requests that is sent.
	floorShare = 0.25
	// minPart is the least part of the most urgent requests that are sent: their answers
	// tell when the load has fallen.
	minPart = 0.02
	// demandTime is the time constant of the counts of requests, and accountTime that of the
	// counts of an account's. A daemon sees some ten requests a second; in a shorter time the
	// counts of equal accounts differ too much.
	demandTime  = 2 * time.Second
	accountTime = 8 * time.Second
	// arrivals is the number of latest requests of a class over which the shares of the
	// accounts are found.
	arrivals = 64
	// workWeight is the weight of the newest answer in the mean work time, and
	// crowdedWorkWeight that of an answer while many wait: at the start of a burst the wait of
	// the answered request was shorter than that of those that wait now.
	workWeight        = 0.1
	crowdedWorkWeight = 0.02
	// defaultWork is the work time while no answer has told it.
	defaultWork = 50 * time.Millisecond
	// maxWait keeps a wait within the range of a duration.
	maxWait = time.Hour
	// maxLeftOut bounds the time for which an upstream that turned a request away is left
	// out. Requests that are sent there after it find out whether it is still full.
	maxLeftOut = time.Second
	// freshReport is the age up to which a report says whether a place is likely to be
	// free. Upstreams work off their queues within a small multiple of the work time.
	freshReport = 250 * time.Millisecond
	// freeMemory is the age up to which a report of a free slot keeps the part from falling. A
	// daemon with little traffic hears of each upstream about once in this time.
	freeMemory = time.Second
	// retryShare is the mean time after which a client comes again, as a part of the latency
	// objective, while nearly all requests are sent: the same as for other refusals.
	retryShare = 0.5
	// minRetryAfter is the shortest time after which a client comes again: the wire has
	// hundredths of a second.
	minRetryAfter = 10 * time.Millisecond
	// activeTime is how long after the last report with a pace the gate decides.
	activeTime = 30 * time.Second
	// shareExponent is how fast the part that is sent falls as an account asks more than its
	// share. With 1 all get the same number; the counts of small accounts are then too
	// uneven to tell them from one that asks a little more, and they lose a seventh.
	shareExponent = 1.5
	// idleAccount is the count from which an account is forgotten.
	idleAccount = 0.01
)

// Class ranks requests: those of a class that gives way first are shed before others.
type Class struct {
	// Priority is 0 for the most urgent requests.
	Priority int
	// Repeatable requests may run more than once. They give way before those of the same
	// priority that run at most once.
	Repeatable bool
}

// compareGivingWay orders classes, the one that gives way first first.
func compareGivingWay(x, y Class) int {
	if x.Priority != y.Priority {
		return cmp.Compare(y.Priority, x.Priority)
	}
	switch {
	case x.Repeatable == y.Repeatable:
		return 0
	case x.Repeatable:
		return -1
	}
	return 1
}

// Request is what decides whether a request is sent.
type Request struct {
	Class
	// Route is the name of the request's route, which keeps its floor.
	Route string
	// Account is the client account; empty if there is none.
	Account string
	// TimeLeft is how long the client still waits.
	TimeLeft time.Duration
}

// Reason says why a request is not sent.
type Reason string

// The reasons for which a request is not sent.
const (
	// ReasonClass sheds a part of all requests of the class.
	ReasonClass Reason = "class"
	// ReasonShare sheds requests of an account that asks more than its share.
	ReasonShare Reason = "share"
	// ReasonFull is for the caller: all upstreams turned requests away a moment ago.
	ReasonFull Reason = "full"
)

// Decision says whether a request is sent.
type Decision struct {
	Send bool
	// Part is the part of such requests that are sent.
	Part float64
	// Reason and RetryAfter are set if the request is not sent.
	Reason     Reason
	RetryAfter time.Duration
}

// Gate holds what a daemon knows about the load of the upstreams of one service. It is not
// safe for concurrent use.
type Gate struct {
	rnd *rand.Rand
	// classes are ordered, the one that gives way first first.
	classes   []*class
	objective time.Duration
	// cutoff is the index of the class of which part is sent. Those before it keep the
	// floor, those behind it are sent.
	cutoff int
	part   float64

	// needsPace says that reports without a pace are ignored.
	needsPace  bool
	work       time.Duration
	reportAt   time.Time
	activeAt   time.Time
	refusedAt  time.Time
	upstreams  map[string]*upstream
	all        flow
	routes     map[string]*flow
	reportWait time.Duration
	// calmSince is when a wait was last reported.
	calmSince time.Time
}

type class struct {
	Class
	asked counter
	// accounts holds the counts of requests, by account.
	accounts map[string]*counter
	prunedAt time.Time
	// latest holds the weights of the latest requests, which follow from the counts of their
	// accounts at their arrival.
	latest []float64
	next   int
}

type upstream struct {
	load         placement.Load
	loadAt       time.Time
	leftOutUntil time.Time
	refusals     int
}

// counter is a count that decays.
type counter struct {
	n  float64
	at time.Time
}

func (c *counter) value(now time.Time, over time.Duration) float64 {
	if c.at.IsZero() {
		return 0
	}
	return c.n * math.Exp(-max(now.Sub(c.at), 0).Seconds()/over.Seconds())
}

func (c *counter) add(now time.Time, over time.Duration) float64 {
	c.n, c.at = c.value(now, over)+1, now
	return c.n
}

// flow counts requests that were asked for and those of them that were sent.
type flow struct{ asked, sent counter }

// share returns the share of the recent requests that were sent; 1 if there were none.
func (f *flow) share(now time.Time) float64 {
	asked := f.asked.value(now, demandTime)
	if asked <= 0 {
		return 1
	}
	return min(f.sent.value(now, demandTime)/asked, 1)
}

// New returns a gate that sends everything, and that ignores reports without a pace.
func New(rnd *rand.Rand) *Gate {
	return &Gate{rnd: rnd, part: maxPart, needsPace: true, upstreams: map[string]*upstream{}, routes: map[string]*flow{}}
}

// SetNeedsPace sets whether reports without a pace are ignored. Deployments whose upstreams
// report none and that do not ask for shedding otherwise are served without it.
func (g *Gate) SetNeedsPace(needed bool) { g.needsPace = needed }

// SetClasses sets the classes of the requests that the configuration routes to the service,
// also those that this daemon seldom sees, and the shortest latency objective of their
// routes; 0 is none.
func (g *Gate) SetClasses(classes []Class, objective time.Duration) {
	g.objective = objective
	var kept []*class
	for _, c := range classes {
		if !slices.ContainsFunc(kept, func(k *class) bool { return k.Class == c }) {
			kept = append(kept, g.known(c))
		}
	}
	g.setClasses(kept)
}

// known returns the state of a class.
func (g *Gate) known(c Class) *class {
	for _, k := range g.classes {
		if k.Class == c {
			return k
		}
	}
	return &class{Class: c, accounts: map[string]*counter{}}
}

// setClasses keeps the cutoff at the same class, if it remains, while requests are shed.
func (g *Gate) setClasses(classes []*class) {
	var cut *class
	if g.Shedding() && g.cutoff < len(g.classes) {
		cut = g.classes[g.cutoff]
	}
	slices.SortFunc(classes, func(x, y *class) int { return compareGivingWay(x.Class, y.Class) })
	g.classes = classes
	g.cutoff = max(slices.Index(classes, cut), 0)
}

// index returns the index of a class, which is added if it is new.
func (g *Gate) index(c Class) int {
	find := func(k *class) bool { return k.Class == c }
	if i := slices.IndexFunc(g.classes, find); i >= 0 {
		return i
	}
	g.setClasses(append(slices.Clone(g.classes), g.known(c)))
	return slices.IndexFunc(g.classes, find)
}

// Active reports whether a report was taken lately.
func (g *Gate) Active(now time.Time) bool {
	return !g.activeAt.IsZero() && now.Sub(g.activeAt) < activeTime
}

// Retain forgets the upstreams for which registered returns false, and the routes for which
// routed does.
func (g *Gate) Retain(registered, routed func(string) bool) {
	for name := range g.routes {
		if !routed(name) {
			delete(g.routes, name)
		}
	}
	for id := range g.upstreams {
		if !registered(id) {
			delete(g.upstreams, id)
		}
	}
}

func (g *Gate) upstream(id string) *upstream {
	u := g.upstreams[id]
	if u == nil {
		u = &upstream{}
		g.upstreams[id] = u
	}
	return u
}

// Load records the load that an upstream reports, and adjusts the part that is sent.
func (g *Gate) Load(id string, l placement.Load, now time.Time) {
	if g.ignores(l) {
		return
	}
	g.activeAt = now
	u := g.upstream(id)
	u.load, u.loadAt = l, now
	g.adjust(id, g.wait(l), now)
}

// ignores reports whether nothing follows from a report.
func (g *Gate) ignores(l placement.Load) bool { return l.Slots <= 0 || g.needsPace && l.Pace <= 0 }

// Answered records how long an upstream took for an answer, with the load that it reported.
func (g *Gate) Answered(took time.Duration, l placement.Load) {
	if g.ignores(l) || took <= 0 {
		return
	}
	// The answer took the work time and, as long as the load is even, the wait of those
	// that wait now.
	work := time.Duration(float64(took) * float64(l.Slots) / (float64(l.Slots) + float64(l.Waiting)))
	if g.work == 0 {
		g.work = work
		return
	}
	weight := workWeight
	if 2*l.Waiting > l.Slots {
		weight = crowdedWorkWeight
	}
	g.work += time.Duration(weight * float64(work-g.work))
}

// Refused records that an upstream turned a request away because it is full, and how long
// it is left out: until those that wait there have begun. l is nil if it reported no load.
func (g *Gate) Refused(id string, l *placement.Load, now time.Time) (leftOut time.Duration) {
	u := g.upstream(id)
	wait := g.workTime()
	if l != nil && l.Slots > 0 {
		wait = max(wait, g.wait(*l))
	}
	if now.Before(u.leftOutUntil) {
		// Concurrent requests met the same queue.
		return u.leftOutUntil.Sub(now)
	}
	u.refusals++
	wait <<= min(u.refusals-1, 3)
	// The daemons that were turned away together return spread.
	wait = min(wait/2+time.Duration(g.rnd.Float64()*float64(wait)), maxLeftOut)
	u.leftOutUntil = now.Add(wait)
	if now.Sub(g.refusedAt) >= refusalInterval && !g.freeElsewhere(id, now) {
		g.refusedAt = now
		g.scale(refusalFactor, now)
	}
	return wait
}

// Accepted records that an upstream ran a request.
func (g *Gate) Accepted(id string) { g.upstream(id).refusals = 0 }

// LeftOut reports whether an upstream turned a request away and those that wait there may
// not have begun yet.
func (g *Gate) LeftOut(id string, now time.Time) bool {
	u := g.upstreams[id]
	return u != nil && now.Before(u.leftOutUntil)
}

// MayRepeat reports whether a request that an upstream turned away may be sent to this one.
// While requests are shed, those that may be repeated by their clients are sent again only
// if a slot is likely to be free, so that the others have the repeats first.
func (g *Gate) MayRepeat(id string, c Class, now time.Time) bool {
	if g.LeftOut(id, now) {
		return false
	}
	u := g.upstreams[id]
	fresh := u != nil && !u.loadAt.IsZero() && now.Sub(u.loadAt) < freshReport
	if c.Repeatable && g.Shedding() {
		return fresh && u.load.Waiting == 0 && u.load.Running < u.load.Slots
	}
	return !fresh || g.wait(u.load) <= 2*g.target()
}

func (g *Gate) workTime() time.Duration {
	if g.work <= 0 {
		return defaultWork
	}
	return g.work
}

// wait returns how long a request waits at an upstream with this load, at most maxWait.
func (g *Gate) wait(l placement.Load) time.Duration {
	return time.Duration(min(float64(l.Waiting)/float64(l.Slots)*float64(g.workTime()), float64(maxWait)))
}

// target returns the mean wait that is aimed at.
func (g *Gate) target() time.Duration {
	work := g.workTime()
	return max(time.Duration(waitShare*float64(g.objective-work)), time.Duration(minWait*float64(work)))
}

// freeElsewhere reports whether another upstream had a free slot lately. A long queue at one
// upstream, which may be slow, is then no reason to send less: requests go to the other one.
func (g *Gate) freeElsewhere(id string, now time.Time) bool {
	for other, u := range g.upstreams {
		if other != id && now.Sub(u.loadAt) < freeMemory && u.load.Waiting == 0 && u.load.Running < u.load.Slots {
			return true
		}
	}
	return false
}

// adjust changes the part by the wait at one upstream.
func (g *Gate) adjust(id string, wait time.Duration, now time.Time) {
	step := maxStep
	if !g.reportAt.IsZero() {
		step = min(now.Sub(g.reportAt), maxStep)
	}
	g.reportAt, g.reportWait = now, wait
	ratio := float64(wait) / float64(g.target())
	if wait > 0 {
		g.calmSince = now
	}
	if ratio > 1 {
		if g.freeElsewhere(id, now) {
			return
		}
		g.scale(math.Exp(-lowerRate*min(ratio-1, maxExcess)*min(step, maxLowerStep).Seconds()), now)
		return
	}
	rate := raiseRate * (1 - ratio) * (raiseBase + (1-raiseBase)*g.part)
	if now.Sub(g.calmSince) > calm {
		rate *= calmFactor
	}
	g.raise(rate*step.Seconds(), now)
}

// scale multiplies the part by a factor below 1. Once a class has come to its floor, the
// next one gives way.
func (g *Gate) scale(factor float64, now time.Time) {
	g.part *= factor
	if g.cutoff+1 >= len(g.classes) {
		g.part = max(g.part, minPart)
		return
	}
	if g.part < g.classFloor(g.cutoff, now) {
		g.cutoff++
		g.part = 1
	}
}

// raise adds to the part. Once all of a class are sent, the one before it follows.
func (g *Gate) raise(by float64, now time.Time) {
	g.part = min(g.part+by, maxPart)
	if g.part < 1 || g.cutoff == 0 {
		return
	}
	g.cutoff--
	g.part = g.classFloor(g.cutoff, now)
}

// classFloor returns the part of a class at which the next one begins to give way: floorShare
// of the share of all requests that is sent then. It follows from the latest requests; the
// share that was sent lately is too high when a burst begins.
func (g *Gate) classFloor(index int, now time.Time) float64 {
	own, sent, all := 0.0, 0.0, 0.0
	for i, c := range g.classes {
		n := c.asked.value(now, demandTime)
		all += n
		switch {
		case i == index:
			own = n
		case i > index:
			sent += n
		}
	}
	if all <= 0 {
		return floorShare
	}
	return max(floorShare*sent/(all-floorShare*own), minPart)
}

// floor returns the least part of the requests of any route that is sent.
func (g *Gate) floor(now time.Time) float64 { return floorShare * g.SentShare(now) }

// SentShare returns the share of all recent requests that were sent; 1 if there were none.
func (g *Gate) SentShare(now time.Time) float64 {
	return g.all.share(now)
}

// Wait returns the wait at the upstream that reported last.
func (g *Gate) Wait() time.Duration { return g.reportWait }

// Shedding reports whether a part of the requests is not sent.
func (g *Gate) Shedding() bool { return g.part < 1 || g.cutoff > 0 }

// Admit decides whether a request is sent.
func (g *Gate) Admit(r Request, now time.Time) Decision {
	if quiet := now.Sub(g.reportAt); quiet > silence {
		g.raise(raiseRate*min(quiet-silence, maxStep).Seconds(), now)
		g.reportAt = now.Add(-silence)
	}
	i := g.index(r.Class)
	c := g.classes[i]
	own := c.arrived(r.Account, now)
	route := g.routes[r.Route]
	if route == nil {
		route = &flow{}
		g.routes[r.Route] = route
	}
	floor, routeShare := g.floor(now), route.share(now)
	g.all.asked.add(now, demandTime)
	route.asked.add(now, demandTime)
	c.asked.add(now, demandTime)
	d := Decision{Part: 1}
	if i <= g.cutoff {
		part := floor
		if i == g.cutoff {
			part = max(min(g.part, 1), floor)
		}
		d.Part, d.Reason = max(c.accountPart(own, part), minPart), ReasonClass
		if routeShare < floor {
			d.Part = max(d.Part, floor)
		}
		if d.Part < part {
			d.Reason = ReasonShare
		}
	}
	if d.Part >= 1 || g.rnd.Float64() < d.Part {
		g.all.sent.add(now, demandTime)
		route.sent.add(now, demandTime)
		return Decision{Send: true, Part: d.Part}
	}
	d.RetryAfter = g.retryAfter(d.Part, r.TimeLeft)
	return d
}

// RetryAfter returns when a client comes again whose request found all upstreams full.
func (g *Gate) RetryAfter(timeLeft time.Duration) time.Duration {
	return g.retryAfter(min(g.part, 1), timeLeft)
}

// retryAfter returns when the client of a request of which the given part is sent comes
// again: the later, the more clients there are for each place, and at random.
func (g *Gate) retryAfter(part float64, timeLeft time.Duration) time.Duration {
	base := max(time.Duration(retryShare*float64(g.objective)), g.workTime())
	longest := max(timeLeft/3, minRetryAfter)
	mean := min(time.Duration(float64(base)/max(part, minPart)), longest*2/3)
	return min(mean/2+time.Duration(g.rnd.Float64()*float64(mean)), longest)
}

// arrived counts a request of an account and returns the account's count.
func (c *class) arrived(account string, now time.Time) float64 {
	if now.Sub(c.prunedAt) > accountTime {
		c.prunedAt = now
		for name, n := range c.accounts {
			if n.value(now, accountTime) < idleAccount {
				delete(c.accounts, name)
			}
		}
	}
	n := c.accounts[account]
	if n == nil {
		n = &counter{}
		c.accounts[account] = n
	}
	own := n.add(now, accountTime)
	if len(c.latest) < arrivals {
		c.latest = append(c.latest, weightOf(own))
	} else {
		c.latest[c.next] = weightOf(own)
	}
	c.next = (c.next + 1) % arrivals
	return own
}

// accountPart returns the part of an account's requests that are sent if part of all the
// class's requests are. Accounts that ask less than their share are sent whole; of the
// others, the less is sent the more they ask.
func (c *class) accountPart(own, part float64) float64 {
	if part >= 1 {
		return 1
	}
	weights := slices.Clone(c.latest)
	slices.Sort(weights)
	// The factor is such that the mean of min(1, factor*weight) over the latest requests is
	// part.
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	want := part * float64(len(weights))
	factor := 0.0
	for i, w := range slices.Backward(weights) {
		// The requests behind this one, of accounts that ask less, are sent whole.
		factor = (want - float64(len(weights)-1-i)) / sum
		if factor*w <= 1 {
			break
		}
		sum -= w
	}
	return min(max(factor, 0)*weightOf(own), 1)
}

// weightOf returns the weight of a request of an account with the given count.
func weightOf(count float64) float64 { return math.Pow(count, -shareExponent) }
