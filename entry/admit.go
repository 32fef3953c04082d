package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryroad/gooseberryroad/admission"
	"github.com/gooseberryroad/gooseberryroad/inflight"
	"github.com/gooseberryroad/gooseberryroad/node"
	"github.com/gooseberryroad/gooseberryroad/recovery"
)

const (
	// newShare is the part of an upstream's in-flight limit that new requests
	// may use. The rest is left for continuations, which already cost work.
	newShare = 0.8
	// A request will hold bytes for its prompt and its output, up to its token
	// limit. The bytes of one token are learned from load reports. Before there
	// are learnReports of them, an engine's memory is taken to hold no more than
	// defaultTokens. No request counts as more than maxRequestShare of the memory,
	// or one that an engine can hold could never start.
	defaultTokens   = 16384
	maxRequestShare = 1.0 / 4
	// Reports lag behind the tokens that this daemon has seen, so they show too
	// few bytes for a token while requests are young.
	lagFactor = 1.25
	// averageWeight is the weight of one report in the averages, and
	// learnReports how many must have come before they are used.
	averageWeight = 0.02
	learnReports  = 5
	// promptBytesPerToken is the usual length of a token of text.
	promptBytesPerToken = 4
	// admitInterval is how often waiting requests are looked at again, because
	// load reports can free capacity.
	admitInterval = 50 * time.Millisecond
)

// gates hold the admission of all services and the limits of all upstreams.
type gates struct {
	e  *Entry
	mu sync.Mutex
	by map[string]*gate
}

// gate is one service's admission queue and in-flight limits.
type gate struct {
	queue    *admission.Queue
	waiters  map[uint64]chan *refusal
	limits   map[string]*upstreamLimit
	revision uint64
	daemons  int
	ticking  bool
	// attempts are this daemon's attempts in flight, limit the sum of the
	// tokens that they may reach, and soFar that of those they have reached.
	attempts int
	limit    int64
	soFar    atomic.Int64
	// meanBytes and meanTokens average the bytes of a request by the reports
	// and the tokens of an attempt of this daemon at the same times. Their
	// ratio is the bytes of a token; a ratio for each report would vary with
	// the few attempts that one daemon has.
	meanBytes, meanTokens float64
	reports               int
}

// upstreamLimit is what this daemon may hold at one upstream.
type upstreamLimit struct {
	*inflight.Limiter
	reportedAt time.Time
	memory     int64
}

// holding is one attempt that counts against an upstream's limit.
type holding struct {
	gate     *gate
	upstream *upstreamLimit
	bytes    int64
	limit    int64
	soFar    int64
}

// produced counts one more token of the attempt. It is called by the attempt's
// own goroutine.
func (h *holding) produced() {
	if h != nil {
		h.soFar++
		h.gate.soFar.Add(1)
	}
}

// cost is what a request that may reach the given tokens holds in the end, in
// bytes.
func (g *gate) cost(l *upstreamLimit, tokens int64) int64 {
	m := float64(l.memory)
	bytes := lagFactor * g.meanBytes / max(g.meanTokens, 1) * float64(tokens)
	if g.reports < learnReports {
		bytes = max(bytes, m*float64(tokens)/defaultTokens)
	}
	return int64(min(bytes, m*maxRequestShare))
}

// slots is how many mean requests fit into an upstream's part for new ones.
func (g *gate) slots(now time.Time, l *upstreamLimit) (int, bool) {
	limit, known := l.Limit(now)
	if !known {
		return 0, false
	}
	mean := int64(1)
	if g.attempts > 0 {
		mean = g.limit / int64(g.attempts)
	}
	return max(int(newShare*float64(limit))/int(max(g.cost(l, mean), 1)), 1), true
}

// refresh brings the gate of a service up to the snapshot. The caller holds the lock.
func (s *gates) refresh(now time.Time, view *node.ServiceView, daemons int) (*gate, []admission.Action) {
	name := view.Doc.Name
	g := s.by[name]
	if g == nil {
		g = &gate{queue: admission.New(admission.DefaultOptions()), waiters: map[uint64]chan *refusal{}, limits: map[string]*upstreamLimit{}}
		s.by[name] = g
	}
	var out []admission.Action
	if g.revision != view.Revision || g.daemons != daemons {
		g.revision, g.daemons = view.Revision, daemons
		ev := admission.Limits{Daemons: daemons}
		for _, a := range view.Doc.Accounts {
			ev.Accounts = append(ev.Accounts, admission.AccountLimit{Name: a.Name, Weight: a.Weight, MaxInFlight: a.MaxInFlight})
		}
		out = append(out, g.queue.Step(now, ev)...)
	}
	g.observe(view, daemons)
	return g, append(out, g.queue.Step(now, admission.Capacity{Slots: g.capacity(now, view)})...)
}

// observe takes load reports that are new in the view.
func (g *gate) observe(view *node.ServiceView, daemons int) {
	for i := range view.Upstreams {
		u := &view.Upstreams[i]
		l := g.limits[u.Name]
		if l == nil {
			l = &upstreamLimit{Limiter: inflight.New(u.MemoryBytes), memory: u.MemoryBytes}
			g.limits[u.Name] = l
		}
		l.SetDaemons(daemons)
		if u.ReportedAt.IsZero() || !u.ReportedAt.After(l.reportedAt) {
			continue
		}
		l.reportedAt = u.ReportedAt
		if u.ReportedMemory > 0 {
			l.memory = u.ReportedMemory
		}
		l.Observe(u.ReportedAt, inflight.Report{HeldBytes: u.HeldBytes, MemoryBytes: u.ReportedMemory})
		g.learn(u)
	}
}

// learn estimates the bytes of a token. The upstream's requests are taken to be
// as far as this daemon's are on average, because reports count bytes and
// requests but no tokens.
func (g *gate) learn(u *node.UpstreamView) {
	n := u.Running + u.Waiting
	soFar := float64(g.soFar.Load())
	if n == 0 || g.attempts == 0 || soFar == 0 {
		return
	}
	g.reports++
	weight := max(averageWeight, 1/float64(g.reports))
	g.meanBytes += weight * (float64(u.HeldBytes)/float64(n) - g.meanBytes)
	g.meanTokens += weight * (soFar/float64(g.attempts) - g.meanTokens)
}

// unlimited stands for upstreams whose memory is not known.
const unlimited = 1 << 20

// capacity is how many requests this daemon may have in flight at all
// upstreams that take new work.
func (g *gate) capacity(now time.Time, view *node.ServiceView) int {
	total := 0
	for i := range view.Upstreams {
		u := &view.Upstreams[i]
		if u.Leaving || u.State == node.UpstreamLeaving || u.State == node.UpstreamDead || view.Shares[u.Version] == 0 {
			continue
		}
		n, known := g.slots(now, g.limits[u.Name])
		if u.MaxInFlight > 0 {
			n, known = (u.MaxInFlight+g.daemons-1)/g.daemons, true
		}
		if !known {
			n = unlimited
		}
		total += n
	}
	return total
}

// admit waits until the request may start. It returns a refusal, which is true
// to say that the request has not run, or nil. The release function must be
// called once the request has ended.
func (s *gates) admit(ctx context.Context, id uint64, cl *call) (release func(), ref *refusal) {
	service := cl.view.Doc.Name
	wait := make(chan *refusal, 1)
	s.step(service, func(g *gate) admission.Event {
		g.waiters[id] = wait
		return admission.Arrived{ID: id, Account: cl.account, Cost: float64(cl.base.MaxTokens), Deadline: cl.deadline}
	})
	select {
	case ref := <-wait:
		if ref != nil {
			return nil, ref
		}
	case <-ctx.Done():
		s.step(service, func(g *gate) admission.Event { return admission.Abandoned{ID: id} })
		return nil, &refusal{Status: http.StatusServiceUnavailable, Code: "caller_gone", Outcome: recovery.OutcomeNotRun, Message: "the caller went away while the request waited"}
	}
	return func() {
		s.step(service, func(*gate) admission.Event { return admission.Finished{ID: id} })
	}, nil
}

// step applies one event to a service's gate and wakes the requests that it
// decides on.
func (s *gates) step(service string, event func(*gate) admission.Event) {
	snap := s.e.o.Snapshot()
	view := snap.Services[service]
	now := s.e.o.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.by[service]
	var actions []admission.Action
	if view != nil {
		g, actions = s.refresh(now, view, max(len(snap.Peers), 1))
	}
	if g == nil {
		return
	}
	actions = append(actions, g.queue.Step(now, event(g))...)
	for _, a := range actions {
		switch a := a.(type) {
		case admission.Admit:
			g.wake(a.ID, nil)
		case admission.Refuse:
			g.wake(a.ID, refusalOf(a))
		}
	}
	if g.queue.Queued() > 0 && !g.ticking {
		g.ticking = true
		s.e.o.AfterFunc(admitInterval, func() {
			s.step(service, func(g *gate) admission.Event { g.ticking = false; return admission.Tick{} })
		})
	}
}

func (g *gate) wake(id uint64, ref *refusal) {
	if w := g.waiters[id]; w != nil {
		delete(g.waiters, id)
		w <- ref
	}
}

func refusalOf(a admission.Refuse) *refusal {
	r := &refusal{Status: http.StatusTooManyRequests, Code: string(a.Code), Outcome: recovery.OutcomeNotRun, RetryAfter: a.RetryAfter,
		Message: "too many requests wait; send the request again later"}
	if a.Code == admission.CodeDeadline {
		r.Status, r.Message = http.StatusServiceUnavailable, "the request could not start in time"
	}
	return r
}

// tokens is what a request may reach: its prompt and the whole answer.
func (cl *call) tokens() int64 {
	return int64(cl.promptBytes/promptBytesPerToken + cl.base.MaxTokens)
}

// full names the upstreams of a service at which a request does not fit.
func (s *gates) full(cl *call, continuation bool) []string {
	share := newShare
	if continuation {
		share = 1
	}
	now := s.e.o.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	if g := s.by[cl.view.Doc.Name]; g != nil {
		for name, l := range g.limits {
			if !l.Fits(now, int64(float64(g.cost(l, cl.tokens()))/share)) {
				names = append(names, name)
			}
		}
	}
	return names
}

// hold counts an attempt at its upstream, of which delivered tokens are known.
// It returns nil when the upstream is not known.
func (s *gates) hold(cl *call, upstream string, delivered int) *holding {
	now := s.e.o.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.by[cl.view.Doc.Name]
	if g == nil || g.limits[upstream] == nil {
		return nil
	}
	h := &holding{gate: g, upstream: g.limits[upstream], limit: cl.tokens()}
	h.soFar = int64(cl.promptBytes/promptBytesPerToken + delivered)
	h.bytes = g.cost(h.upstream, h.limit)
	g.attempts++
	g.limit += h.limit
	g.soFar.Add(h.soFar)
	h.upstream.Add(now, h.bytes)
	return h
}

// drop takes back what hold counted.
func (s *gates) drop(h *holding) {
	if h == nil {
		return
	}
	now := s.e.o.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	h.gate.attempts--
	h.gate.limit -= h.limit
	h.gate.soFar.Add(-h.soFar)
	h.upstream.Release(now, h.bytes)
}
