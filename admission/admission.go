package admission

import (
	"math"
	"sort"
	"time"
)

// Options configure a Queue.
type Options struct {
	// MaxQueued bounds waiting requests of all accounts together.
	MaxQueued int
	// MaxQueuedPerAccount bounds waiting requests of one account, so that one
	// account cannot fill the queue.
	MaxQueuedPerAccount int
	// MaxWait is the longest time that a request waits, whatever its deadline.
	MaxWait time.Duration
	// MinRetryAfter is the smallest Retry-After of a refusal.
	MinRetryAfter time.Duration
}

// DefaultOptions returns options for a daemon of today's size. Callers wait
// about 4 s. A request that is admitted may wait for a free engine besides, so
// the queue takes half of that: a caller that gives up sends the request again,
// and the one that it left still takes a slot.
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
	// Deadline is the caller's; zero means none.
	Deadline time.Time
}

// Finished returns the slot of an admitted request.
type Finished struct{ ID uint64 }

// Abandoned withdraws a request whose caller has gone, waiting or admitted.
type Abandoned struct{ ID uint64 }

// Capacity sets how many requests may be in flight from this daemon.
type Capacity struct{ Slots int }

// Limits sets the limits of accounts and how many daemons share them.
type Limits struct {
	Accounts []AccountLimit
	// Daemons is the number of live daemons behind the balancer.
	Daemons int
}

// Usage reports what the other daemons have in flight for an account. It may
// be late; without it the limit is divided evenly.
type Usage struct {
	Account           string
	InFlightElsewhere int
	At                time.Time
}

// Tick lets deadlines pass.
type Tick struct{}

func (Arrived) isEvent()   {}
func (Finished) isEvent()  {}
func (Abandoned) isEvent() {}
func (Capacity) isEvent()  {}
func (Limits) isEvent()    {}
func (Usage) isEvent()     {}
func (Tick) isEvent()      {}

// AccountLimit is an account's share of the service.
type AccountLimit struct {
	Name        string
	Weight      float64
	MaxInFlight int // over all daemons; 0 means no bound
}

// Action is an output of a Queue.
type Action interface{ isAction() }

// Admit starts a request.
type Admit struct{ ID uint64 }

// Refuse turns a request away; it has not run.
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
	// CodeQueueFull: too many requests wait here.
	CodeQueueFull Code = "queue_full"
	// CodeAccountQueueFull: too many requests of the account wait here.
	CodeAccountQueueFull Code = "account_queue_full"
	// CodeOverloaded: the request could not start before its deadline.
	CodeOverloaded Code = "overloaded"
	// CodeDeadline: the deadline passed while the request waited.
	CodeDeadline Code = "deadline_exceeded"
)

// usageLifetime is how long a usage report of other daemons counts. Reports
// come about once a second; three missed ones mean that the link is cut.
const usageLifetime = 3 * time.Second

// Queue is the state machine. One goroutine owns it.
type Queue struct {
	o        Options
	slots    int
	daemons  int
	limits   map[string]AccountLimit
	accounts map[string]*account
	requests map[uint64]*request
	queued   int
	inFlight int
	// virtual is the start tag of the request admitted last; a newly active
	// account begins there, so that idle time earns no credit.
	virtual float64
	// rate estimates finished cost per second, for early refusal.
	rate rateEstimate
}

type account struct {
	name     string
	waiting  []*request
	inFlight int
	finish   float64 // finish tag of the account's last admitted request
	usage    Usage
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

// Step applies one event and returns what follows from it.
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

// NextTimer returns when the next waiting request expires.
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
	if !q.fits(now, a) {
		if code, refused := q.refusal(now, r); refused {
			return []Action{Refuse{ID: ev.ID, Code: code, RetryAfter: q.retryAfter()}}
		}
	}
	q.requests[ev.ID] = r
	a.waiting = append(a.waiting, r)
	q.queued++
	return nil
}

// fits reports whether a request of the account would start at once.
func (q *Queue) fits(now time.Time, a *account) bool {
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

// expectedWait estimates when a new request of the account would start. With
// fair queueing the account waits for its own work, at its share of the rate.
func (q *Queue) expectedWait(a *account) time.Duration {
	rate := q.rate.perSecond()
	if rate <= 0 {
		return 0
	}
	var ahead, weights float64
	for _, r := range a.waiting {
		ahead += r.cost
	}
	for _, other := range q.accounts {
		if len(other.waiting) > 0 || other == a {
			weights += q.weight(other)
		}
	}
	share := rate * q.weight(a) / weights
	return time.Duration(ahead / share * float64(time.Second))
}

func (q *Queue) retryAfter() time.Duration {
	wait := q.o.MinRetryAfter
	if rate := q.rate.perSecond(); rate > 0 {
		var total float64
		for _, a := range q.accounts {
			for _, r := range a.waiting {
				total += r.cost
			}
		}
		wait = max(wait, time.Duration(total/rate*float64(time.Second)))
	}
	return min(wait, time.Minute)
}

// admit starts waiting requests while slots are free, the account with the
// smallest start tag first.
func (q *Queue) admit(now time.Time) []Action {
	var out []Action
	for q.inFlight < q.slots && q.queued > 0 {
		a := q.next(now)
		if a == nil {
			break
		}
		r := a.waiting[0]
		a.waiting = a.waiting[1:]
		start := math.Max(a.finish, q.virtual)
		q.virtual = start
		a.finish = start + r.cost/q.weight(a)
		r.admitted = true
		a.inFlight++
		q.inFlight++
		q.queued--
		out = append(out, Admit{ID: r.id})
	}
	return out
}

func (q *Queue) next(now time.Time) *account {
	var best *account
	for _, a := range q.accounts {
		if len(a.waiting) == 0 || a.inFlight >= q.localLimit(now, a) {
			continue
		}
		if best == nil || q.before(a, best) {
			best = a
		}
	}
	return best
}

func (q *Queue) before(a, b *account) bool {
	sa, sb := math.Max(a.finish, q.virtual), math.Max(b.finish, q.virtual)
	if sa != sb {
		return sa < sb
	}
	return a.name < b.name
}

// localLimit is this daemon's part of the account's limit. It is the larger of
// an even share and what the others are known to leave free. The even share is
// rounded up, so that a limit below the number of daemons does not lock the
// account out; it can exceed the limit by less than one request a daemon.
func (q *Queue) localLimit(now time.Time, a *account) int {
	l, ok := q.limits[a.name]
	if !ok || l.MaxInFlight == 0 {
		return math.MaxInt
	}
	even := (l.MaxInFlight + q.daemons - 1) / q.daemons
	if a.usage.At.IsZero() || now.Sub(a.usage.At) > usageLifetime {
		return even
	}
	// Other daemons raise their use at the same time, so only half of what
	// they leave free beyond the even share is taken.
	spare := l.MaxInFlight - a.usage.InFlightElsewhere - even
	return even + max(spare, 0)/2
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
	q.forget(r.account)
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

// forget drops an idle account without a configured limit, so that made-up
// account names cannot grow the map.
func (q *Queue) forget(a *account) {
	if _, configured := q.limits[a.name]; !configured && a.inFlight == 0 && len(a.waiting) == 0 {
		delete(q.accounts, a.name)
	}
}

// rateEstimate is an exponentially weighted average of finished cost.
type rateEstimate struct {
	began time.Time
	at    time.Time
	value float64 // cost per second
}

// rateWindow is the time constant of the estimate. It covers several typical
// generations and still follows a loss of engines within the queue's wait.
const rateWindow = 5 * time.Second

func (e *rateEstimate) add(now time.Time, cost float64) {
	if e.began.IsZero() {
		e.began, e.at = now, now
	}
	decay := math.Exp(-now.Sub(e.at).Seconds() / rateWindow.Seconds())
	e.value = e.value*decay + cost/rateWindow.Seconds()
	e.at = now
}

// minRateTime is how long work must have been seen before the estimate counts.
// The first few requests say little, and refusing by them shuts callers out of
// an idle service.
const minRateTime = 2 * time.Second

// perSecond returns 0 while the rate is not known. The average starts at zero,
// so it is scaled up by the part of its window that has been seen.
func (e *rateEstimate) perSecond() float64 {
	seen := e.at.Sub(e.began)
	if seen < minRateTime {
		return 0
	}
	return e.value / (1 - math.Exp(-seen.Seconds()/rateWindow.Seconds()))
}
