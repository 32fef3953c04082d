package admission

import (
	"math"
	"sort"
	"time"
)

// Options configure a Queue.
type Options struct {
	// MaxQueued bounds the waiting requests of all accounts together.
	MaxQueued int
	// MaxQueuedPerAccount bounds the waiting requests of one account, so that
	// one account cannot fill the queue.
	MaxQueuedPerAccount int
	// MaxWait is the longest time that a request waits, even if its deadline is
	// later.
	MaxWait time.Duration
	// MinRetryAfter is the smallest Retry-After of a refusal.
	MinRetryAfter time.Duration
}

// DefaultOptions returns the options for daemons on VMs of the present size. Callers
// wait about 4 s in all, and an admitted request may also have to wait for a free
// engine, so MaxWait is half of that: a caller that gives up sends the request again
// while the abandoned one still occupies a slot.
func DefaultOptions() Options {
	return Options{MaxQueued: 512, MaxQueuedPerAccount: 128, MaxWait: 2 * time.Second, MinRetryAfter: time.Second}
}

// Event is an input of a Queue.
type Event interface{ isEvent() }

// Arrived adds a request.
type Arrived struct {
	ID      uint64
	Account string
	// Cost is the expected work in tokens; at least 1 is charged.
	Cost float64
	// Deadline is the caller's deadline; zero means none.
	Deadline time.Time
}

// Finished frees the slot of an admitted request that has ended.
type Finished struct{ ID uint64 }

// Abandoned withdraws a waiting or admitted request whose caller disconnected.
type Abandoned struct{ ID uint64 }

// Capacity sets how many requests may be in flight from this daemon.
type Capacity struct{ Slots int }

// Limits sets the limits of accounts and how many daemons share them.
type Limits struct {
	Accounts []AccountLimit
	// Daemons is the number of live daemons behind the balancer.
	Daemons int
}

// Usage reports how many requests the other daemons have in flight for an account.
// It may be outdated; without a report the limit is divided evenly.
type Usage struct {
	Account           string
	InFlightElsewhere int
	At                time.Time
}

// Tick refuses requests whose deadline has passed.
type Tick struct{}

func (Arrived) isEvent()   {}
func (Finished) isEvent()  {}
func (Abandoned) isEvent() {}
func (Capacity) isEvent()  {}
func (Limits) isEvent()    {}
func (Usage) isEvent()     {}
func (Tick) isEvent()      {}

// AccountLimit sets an account's share of the service.
type AccountLimit struct {
	Name        string
	Weight      float64 // 1 if it is not positive
	MaxInFlight int     // over all daemons; 0 means no bound
}

// Action is an output of a Queue.
type Action interface{ isAction() }

// Admit starts a request.
type Admit struct{ ID uint64 }

// Refuse refuses a request, which has not run.
type Refuse struct {
	ID         uint64
	Code       Code
	RetryAfter time.Duration
}

func (Admit) isAction()  {}
func (Refuse) isAction() {}

// Code says why a request was refused.
type Code string

const (
	// CodeQueueFull says that too many requests wait at this daemon.
	CodeQueueFull Code = "queue_full"
	// CodeAccountQueueFull says that too many requests of the account wait at this
	// daemon.
	CodeAccountQueueFull Code = "account_queue_full"
	// CodeOverloaded says that the request was not expected to start before its
	// deadline.
	CodeOverloaded Code = "overloaded"
	// CodeDeadline says that the deadline passed while the request waited.
	CodeDeadline Code = "deadline_exceeded"
)

// maxUsageAge is the age after which a usage report of other daemons is ignored.
// Reports arrive about once a second; three missed ones mean that the link is down.
const maxUsageAge = 3 * time.Second

// Queue is the state machine that admits, queues and refuses requests. It is not
// safe for concurrent use.
type Queue struct {
	o        Options
	slots    int
	daemons  int
	limits   map[string]AccountLimit
	accounts map[string]*account
	requests map[uint64]*request
	queued   int
	inFlight int
	// virtualTime is the start tag of the request admitted last. An account that
	// becomes active starts there, so that idle time earns no credit.
	virtualTime float64
	// rate estimates the finished cost per second, for early refusal.
	rate rateEstimate
}

type account struct {
	name      string
	waiting   []*request
	inFlight  int
	finishTag float64 // finish tag of the account's last admitted request
	usage     Usage
}

type request struct {
	id       uint64
	account  *account
	cost     float64
	expires  time.Time
	admitted bool
}

// New returns an empty queue without capacity.
func New(o Options) *Queue {
	return &Queue{o: o, daemons: 1, limits: map[string]AccountLimit{}, accounts: map[string]*account{}, requests: map[uint64]*request{}}
}

// Step applies one event at the given time and returns the resulting actions.
func (q *Queue) Step(now time.Time, ev Event) []Action {
	var out []Action
	switch ev := ev.(type) {
	case Arrived:
		out = q.arrive(now, ev)
	case Finished:
		q.finish(now, ev.ID)
	case Abandoned:
		q.abandon(ev.ID)
	case Capacity:
		q.slots = max(ev.Slots, 0)
	case Limits:
		q.setLimits(ev)
	case Usage:
		q.account(ev.Account).usage = ev
	case Tick:
	}
	out = append(out, q.expire(now)...)
	return append(out, q.admit(now)...)
}

// NextTimer returns when the next waiting request expires, and false if none waits.
func (q *Queue) NextTimer() (time.Time, bool) {
	var next time.Time
	for _, a := range q.accounts {
		for _, r := range a.waiting {
			if next.IsZero() || r.expires.Before(next) {
				next = r.expires
			}
		}
	}
	return next, !next.IsZero()
}

// InFlight returns the number of admitted requests that have not finished.
func (q *Queue) InFlight() int { return q.inFlight }

// Queued returns the number of waiting requests.
func (q *Queue) Queued() int { return q.queued }

func (q *Queue) arrive(now time.Time, ev Arrived) []Action {
	a := q.account(ev.Account)
	r := &request{id: ev.ID, account: a, cost: math.Max(ev.Cost, 1), expires: now.Add(q.o.MaxWait)}
	if !ev.Deadline.IsZero() && ev.Deadline.Before(r.expires) {
		r.expires = ev.Deadline
	}
	if !q.startsAtOnce(now, a) {
		if code, refused := q.refusal(now, r); refused {
			return []Action{Refuse{ID: ev.ID, Code: code, RetryAfter: q.retryAfter()}}
		}
	}
	q.requests[ev.ID] = r
	a.waiting = append(a.waiting, r)
	q.queued++
	return nil
}

// startsAtOnce reports whether a new request of the account would start at once.
func (q *Queue) startsAtOnce(now time.Time, a *account) bool {
	return q.queued == 0 && q.inFlight < q.slots && a.inFlight < q.localLimit(now, a)
}

func (q *Queue) refusal(now time.Time, r *request) (Code, bool) {
	switch {
	case len(r.account.waiting) >= q.o.MaxQueuedPerAccount:
		return CodeAccountQueueFull, true
	case q.queued >= q.o.MaxQueued:
		return CodeQueueFull, true
	case q.expectedWait(r.account) > r.expires.Sub(now):
		return CodeOverloaded, true
	}
	return "", false
}

// expectedWait estimates how long a new request of the account would wait. With
// fair queueing it waits only for the account's own requests, which are served at
// the account's share of the rate. It returns 0 while the rate is unknown.
func (q *Queue) expectedWait(a *account) time.Duration {
	rate := q.rate.perSecond()
	if rate <= 0 {
		return 0
	}
	var costAhead, totalWeight float64
	for _, r := range a.waiting {
		costAhead += r.cost
	}
	for _, other := range q.accounts {
		if len(other.waiting) > 0 || other == a {
			totalWeight += q.weight(other)
		}
	}
	share := rate * q.weight(a) / totalWeight
	return time.Duration(costAhead / share * float64(time.Second))
}

func (q *Queue) retryAfter() time.Duration {
	retryAfter := q.o.MinRetryAfter
	if rate := q.rate.perSecond(); rate > 0 {
		var total float64
		for _, a := range q.accounts {
			for _, r := range a.waiting {
				total += r.cost
			}
		}
		retryAfter = max(retryAfter, time.Duration(total/rate*float64(time.Second)))
	}
	return min(retryAfter, time.Minute)
}

// admit starts waiting requests while slots are free, the account with the
// smallest start tag first.
func (q *Queue) admit(now time.Time) []Action {
	var out []Action
	for q.inFlight < q.slots && q.queued > 0 {
		a := q.nextAccount(now)
		if a == nil {
			break
		}
		r := a.waiting[0]
		a.waiting = a.waiting[1:]
		start := math.Max(a.finishTag, q.virtualTime)
		q.virtualTime = start
		a.finishTag = start + r.cost/q.weight(a)
		r.admitted = true
		a.inFlight++
		q.inFlight++
		q.queued--
		out = append(out, Admit{ID: r.id})
	}
	return out
}

func (q *Queue) nextAccount(now time.Time) *account {
	var best *account
	for _, a := range q.accounts {
		if len(a.waiting) == 0 || a.inFlight >= q.localLimit(now, a) {
			continue
		}
		if best == nil || q.servedBefore(a, best) {
			best = a
		}
	}
	return best
}

func (q *Queue) servedBefore(a, b *account) bool {
	sa, sb := math.Max(a.finishTag, q.virtualTime), math.Max(b.finishTag, q.virtualTime)
	if sa != sb {
		return sa < sb
	}
	return a.name < b.name
}

// localLimit returns this daemon's part of the account's limit: an even share, and
// half of what the other daemons are known to leave free beyond it. The even share
// is rounded up, so that a limit below the number of daemons does not lock the
// account out; the sum of the shares can exceed the limit by less than one request
// per daemon.
func (q *Queue) localLimit(now time.Time, a *account) int {
	l, ok := q.limits[a.name]
	if !ok || l.MaxInFlight == 0 {
		return math.MaxInt
	}
	evenShare := (l.MaxInFlight + q.daemons - 1) / q.daemons
	if a.usage.At.IsZero() || now.Sub(a.usage.At) > maxUsageAge {
		return evenShare
	}
	// Other daemons raise their usage at the same time, so only half of what
	// they leave free beyond the even share is used.
	spare := l.MaxInFlight - a.usage.InFlightElsewhere - evenShare
	return evenShare + max(spare, 0)/2
}

func (q *Queue) expire(now time.Time) []Action {
	var expired []*request
	for _, a := range q.accounts {
		kept := a.waiting[:0]
		for _, r := range a.waiting {
			if now.Before(r.expires) {
				kept = append(kept, r)
				continue
			}
			expired = append(expired, r)
		}
		a.waiting = kept
	}
	sort.Slice(expired, func(i, j int) bool { return expired[i].id < expired[j].id })
	var out []Action
	for _, r := range expired {
		q.queued--
		delete(q.requests, r.id)
		out = append(out, Refuse{ID: r.id, Code: CodeDeadline, RetryAfter: q.retryAfter()})
	}
	return out
}

func (q *Queue) finish(now time.Time, id uint64) {
	r, ok := q.requests[id]
	if !ok || !r.admitted {
		return
	}
	q.rate.add(now, r.cost)
	q.release(r)
}

func (q *Queue) release(r *request) {
	r.account.inFlight--
	q.inFlight--
	delete(q.requests, r.id)
	q.dropIdle(r.account)
}

func (q *Queue) abandon(id uint64) {
	r, ok := q.requests[id]
	if !ok {
		return
	}
	if r.admitted {
		q.release(r)
		return
	}
	for i, w := range r.account.waiting {
		if w == r {
			r.account.waiting = append(r.account.waiting[:i], r.account.waiting[i+1:]...)
			break
		}
	}
	q.queued--
	delete(q.requests, id)
}

func (q *Queue) setLimits(ev Limits) {
	q.daemons = max(ev.Daemons, 1)
	q.limits = make(map[string]AccountLimit, len(ev.Accounts))
	for _, l := range ev.Accounts {
		q.limits[l.Name] = l
	}
}

func (q *Queue) weight(a *account) float64 {
	if l, ok := q.limits[a.name]; ok && l.Weight > 0 {
		return l.Weight
	}
	return 1
}

func (q *Queue) account(name string) *account {
	a, ok := q.accounts[name]
	if !ok {
		a = &account{name: name}
		q.accounts[name] = a
	}
	return a
}

// dropIdle removes an idle account without a configured limit, so that invented
// account names cannot grow the map without bound.
func (q *Queue) dropIdle(a *account) {
	if _, configured := q.limits[a.name]; !configured && a.inFlight == 0 && len(a.waiting) == 0 {
		delete(q.accounts, a.name)
	}
}

// rateEstimate is an exponentially weighted moving average of the finished cost per
// second.
type rateEstimate struct {
	firstAt       time.Time
	lastAt        time.Time
	costPerSecond float64
}

// rateWindow is the time constant of the estimate. It covers several typical
// generations, but still follows a loss of engines within the time that requests
// wait.
const rateWindow = 5 * time.Second

func (e *rateEstimate) add(now time.Time, cost float64) {
	if e.firstAt.IsZero() {
		e.firstAt, e.lastAt = now, now
	}
	decay := math.Exp(-now.Sub(e.lastAt).Seconds() / rateWindow.Seconds())
	e.costPerSecond = e.costPerSecond*decay + cost/rateWindow.Seconds()
	e.lastAt = now
}

// minRateSpan is the time that the finished requests must span before the estimate
// is used. An estimate from the first few requests is unreliable, and would refuse
// callers of an idle service.
const minRateSpan = 2 * time.Second

// perSecond returns the estimated cost per second, or 0 while it is unknown. The
// average starts at zero, so it is scaled up according to the part of its window that
// has been observed.
func (e *rateEstimate) perSecond() float64 {
	span := e.lastAt.Sub(e.firstAt)
	if span < minRateSpan {
		return 0
	}
	return e.costPerSecond / (1 - math.Exp(-span.Seconds()/rateWindow.Seconds()))
}
