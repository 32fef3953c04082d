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
	// newRequestShare is the share of an upstream's in-flight limit that new
	// requests may use. The rest is reserved for continuations, for which engines
	// have already done work.
	newRequestShare = 0.8
	// defaultTokens and maxRequestShare bound the estimate of the engine memory
	// that a request will hold for its prompt and its output, up to its token
	// limit. The bytes per token are estimated from load reports. Until minReports
	// of them have arrived, an engine's memory is assumed to hold at most
	// defaultTokens tokens. No request counts as more than maxRequestShare of the
	// memory, because otherwise a request that an engine can hold might never
	// start.
	defaultTokens   = 16384
	maxRequestShare = 1.0 / 4
	// reportLagFactor corrects the estimate of bytes per token, which is too low
	// while requests are young: load reports lag behind the tokens that this
	// daemon has received.
	reportLagFactor = 1.25
	// minReportWeight is the weight of one report in the moving averages once
	// many have arrived. With fewer than minReports reports, the estimate is at
	// least the default.
	minReportWeight = 0.02
	minReports      = 5
	// promptBytesPerToken is the usual length of a token of text, in bytes.
	promptBytesPerToken = 4
	// admitInterval is how often the queue is examined while requests wait, because
	// new load reports can free capacity.
	admitInterval = 50 * time.Millisecond
)

// serviceAdmissions holds the admission state of all services by name.
type serviceAdmissions struct {
	e        *Entry
	mu       sync.Mutex
	services map[string]*serviceAdmission
}

// serviceAdmission is the admission queue of one service and the in-flight limits
// of its upstreams.
type serviceAdmission struct {
	queue       *admission.Queue
	waiters     map[uint64]chan *refusal
	limits      map[string]*upstreamLimit
	revision    uint64
	daemons     int
	tickPending bool
	// attempts is the number of this daemon's attempts in flight, maxTokens the sum
	// of the tokens that they may reach, and tokensSoFar the sum of the tokens that
	// they have reached, both with their prompts.
	attempts    int
	maxTokens   int64
	tokensSoFar atomic.Int64
	// meanRequestBytes is the moving average of the bytes per request in load
	// reports, meanAttemptTokens that of the tokens per attempt of this daemon when
	// the reports were read. Their ratio estimates the bytes per token. The average
	// of a ratio per report would vary too much, because one daemon has few
	// attempts.
	meanRequestBytes, meanAttemptTokens float64
	reports                             int
}

// upstreamLimit limits the bytes that this daemon's requests hold at one upstream.
type upstreamLimit struct {
	*inflight.Limiter
	reportedAt time.Time
	memory     int64
}

// reservation is the memory of one attempt that counts against the limit of its
// upstream.
type reservation struct {
	service     *serviceAdmission
	upstream    *upstreamLimit
	bytes       int64
	maxTokens   int64
	tokensSoFar int64
}

// countToken counts one more token of the attempt. Only the goroutine of the
// generation may call it.
func (r *reservation) countToken() {
	if r != nil {
		r.tokensSoFar++
		r.service.tokensSoFar.Add(1)
	}
}

// cost returns the estimated bytes that a request of the given maximum of tokens
// holds at its end.
func (sa *serviceAdmission) cost(l *upstreamLimit, tokens int64) int64 {
	m := float64(l.memory)
	bytes := reportLagFactor * sa.meanRequestBytes / max(sa.meanAttemptTokens, 1) * float64(tokens)
	if sa.reports < minReports {
		bytes = max(bytes, m*float64(tokens)/defaultTokens)
	}
	return int64(min(bytes, m*maxRequestShare))
}

// slots returns how many requests of average size fit into the share of an
// upstream's limit that new requests may use, but at least 1. The second result is
// false when the upstream's memory is unknown.
func (sa *serviceAdmission) slots(now time.Time, l *upstreamLimit) (int, bool) {
	limit, known := l.Limit(now)
	if !known {
		return 0, false
	}
	mean := int64(1)
	if sa.attempts > 0 {
		mean = sa.maxTokens / int64(sa.attempts)
	}
	return max(int(newRequestShare*float64(limit))/int(max(sa.cost(l, mean), 1)), 1), true
}

// refresh updates the admission state of a service from the snapshot and returns
// it with the resulting actions. The caller holds s.mu.
func (s *serviceAdmissions) refresh(now time.Time, view *node.ServiceView, daemons int) (*serviceAdmission, []admission.Action) {
	name := view.Doc.Name
	sa := s.services[name]
	if sa == nil {
		sa = &serviceAdmission{queue: admission.New(admission.DefaultOptions()), waiters: map[uint64]chan *refusal{}, limits: map[string]*upstreamLimit{}}
		s.services[name] = sa
	}
	var out []admission.Action
	if sa.revision != view.Revision || sa.daemons != daemons {
		sa.revision, sa.daemons = view.Revision, daemons
		ev := admission.Limits{Daemons: daemons}
		for _, a := range view.Doc.Accounts {
			ev.Accounts = append(ev.Accounts, admission.AccountLimit{Name: a.Name, Weight: a.Weight, MaxInFlight: a.MaxInFlight})
		}
		out = append(out, sa.queue.Step(now, ev)...)
	}
	sa.observeReports(view, daemons)
	return sa, append(out, sa.queue.Step(now, admission.Capacity{Slots: sa.capacity(now, view)})...)
}

// observeReports applies the load reports that are new in the view.
func (sa *serviceAdmission) observeReports(view *node.ServiceView, daemons int) {
	for i := range view.Upstreams {
		u := &view.Upstreams[i]
		l := sa.limits[u.Name]
		if l == nil {
			l = &upstreamLimit{Limiter: inflight.New(u.MemoryBytes), memory: u.MemoryBytes}
			sa.limits[u.Name] = l
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
		sa.updateTokenBytes(u)
	}
}

// updateTokenBytes updates the averages from which the bytes per token are
// estimated. Load reports give bytes and requests but no tokens, so the requests
// of the upstream are assumed to have as many tokens as this daemon's attempts
// have on average.
func (sa *serviceAdmission) updateTokenBytes(u *node.UpstreamView) {
	n := u.Running + u.Waiting
	soFar := float64(sa.tokensSoFar.Load())
	if n == 0 || sa.attempts == 0 || soFar == 0 {
		return
	}
	sa.reports++
	weight := max(minReportWeight, 1/float64(sa.reports))
	sa.meanRequestBytes += weight * (float64(u.HeldBytes)/float64(n) - sa.meanRequestBytes)
	sa.meanAttemptTokens += weight * (soFar/float64(sa.attempts) - sa.meanAttemptTokens)
}

// unlimitedSlots is the number of slots of an upstream whose memory is not known.
const unlimitedSlots = 1 << 20

// capacity returns how many requests this daemon may have in flight in total at
// the upstreams that accept new requests.
func (sa *serviceAdmission) capacity(now time.Time, view *node.ServiceView) int {
	total := 0
	for i := range view.Upstreams {
		u := &view.Upstreams[i]
		if u.Leaving || u.State == node.UpstreamLeaving || u.State == node.UpstreamDead || view.Shares[u.Version] == 0 {
			continue
		}
		n, known := sa.slots(now, sa.limits[u.Name])
		if u.MaxInFlight > 0 {
			n, known = (u.MaxInFlight+sa.daemons-1)/sa.daemons, true
		}
		if !known {
			n = unlimitedSlots
		}
		total += n
	}
	return total
}

// admit waits until the request may start. It returns either a release function,
// which must be called once the request has ended, or a refusal. The request has
// then not run, and the refusal says so.
func (s *serviceAdmissions) admit(ctx context.Context, id uint64, req *parsedRequest) (release func(), ref *refusal) {
	service := req.view.Doc.Name
	wait := make(chan *refusal, 1)
	s.step(service, func(sa *serviceAdmission) admission.Event {
		sa.waiters[id] = wait
		return admission.Arrived{ID: id, Account: req.account, Cost: float64(req.engineRequest.MaxTokens), Deadline: req.deadline}
	})
	select {
	case ref := <-wait:
		if ref != nil {
			return nil, ref
		}
	case <-ctx.Done():
		s.step(service, func(sa *serviceAdmission) admission.Event { return admission.Abandoned{ID: id} })
		return nil, &refusal{Status: http.StatusServiceUnavailable, Code: "caller_gone", Outcome: recovery.OutcomeNotRun, Message: "the caller went away while the request waited"}
	}
	return func() {
		s.step(service, func(*serviceAdmission) admission.Event { return admission.Finished{ID: id} })
	}, nil
}

// step applies one event to the admission state of a service and wakes the
// requests that were admitted or refused.
func (s *serviceAdmissions) step(service string, event func(*serviceAdmission) admission.Event) {
	snap := s.e.o.Snapshot()
	view := snap.Services[service]
	now := s.e.o.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	sa := s.services[service]
	var actions []admission.Action
	if view != nil {
		sa, actions = s.refresh(now, view, max(len(snap.Peers), 1))
	}
	if sa == nil {
		return
	}
	actions = append(actions, sa.queue.Step(now, event(sa))...)
	for _, a := range actions {
		switch a := a.(type) {
		case admission.Admit:
			sa.wake(a.ID, nil)
		case admission.Refuse:
			sa.wake(a.ID, admissionRefusal(a))
		}
	}
	if sa.queue.Queued() > 0 && !sa.tickPending {
		sa.tickPending = true
		s.e.o.AfterFunc(admitInterval, func() {
			s.step(service, func(sa *serviceAdmission) admission.Event { sa.tickPending = false; return admission.Tick{} })
		})
	}
}

func (sa *serviceAdmission) wake(id uint64, ref *refusal) {
	if w := sa.waiters[id]; w != nil {
		delete(sa.waiters, id)
		w <- ref
	}
}

func admissionRefusal(a admission.Refuse) *refusal {
	r := &refusal{Status: http.StatusTooManyRequests, Code: string(a.Code), Outcome: recovery.OutcomeNotRun, RetryAfter: a.RetryAfter,
		Message: "too many requests wait; send the request again later"}
	if a.Code == admission.CodeDeadline {
		r.Status, r.Message = http.StatusServiceUnavailable, "the request could not start in time"
	}
	return r
}

// maxTokens returns the number of tokens that the request may reach: those of its
// prompt, which are estimated, and of the longest answer.
func (req *parsedRequest) maxTokens() int64 {
	return int64(req.promptBytes/promptBytesPerToken + req.engineRequest.MaxTokens)
}

// fullUpstreams returns the names of the service's upstreams at which the request
// does not fit.
func (s *serviceAdmissions) fullUpstreams(req *parsedRequest, continuation bool) []string {
	share := newRequestShare
	if continuation {
		share = 1
	}
	now := s.e.o.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	if sa := s.services[req.view.Doc.Name]; sa != nil {
		for name, l := range sa.limits {
			if !l.Fits(now, int64(float64(sa.cost(l, req.maxTokens()))/share)) {
				names = append(names, name)
			}
		}
	}
	return names
}

// reserve counts an attempt against the limit of its upstream; delivered is the
// number of tokens that the caller already has. It returns nil when the upstream
// is not known.
func (s *serviceAdmissions) reserve(req *parsedRequest, upstream string, delivered int) *reservation {
	now := s.e.o.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	sa := s.services[req.view.Doc.Name]
	if sa == nil || sa.limits[upstream] == nil {
		return nil
	}
	r := &reservation{service: sa, upstream: sa.limits[upstream], maxTokens: req.maxTokens()}
	r.tokensSoFar = int64(req.promptBytes/promptBytesPerToken + delivered)
	r.bytes = sa.cost(r.upstream, r.maxTokens)
	sa.attempts++
	sa.maxTokens += r.maxTokens
	sa.tokensSoFar.Add(r.tokensSoFar)
	r.upstream.Add(now, r.bytes)
	return r
}

// release undoes reserve. The reservation may be nil.
func (s *serviceAdmissions) release(r *reservation) {
	if r == nil {
		return
	}
	now := s.e.o.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	r.service.attempts--
	r.service.maxTokens -= r.maxTokens
	r.service.tokensSoFar.Add(-r.tokensSoFar)
	r.upstream.Release(now, r.bytes)
}
