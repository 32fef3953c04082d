package headroom_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gooseberryroad/gooseberryroad/headroom"
)

// step is the time step of the model.
const step = 10 * time.Millisecond

// modelRun is a run at a modelEngine.
type modelRun struct {
	client   *modelClient
	daemon   *modelDaemon
	ticket   headroom.Ticket
	request  headroom.Request
	arrived  int
	left     float64 // prompt tokens to read
	read     float64
	output   time.Duration
	began    bool // has a slot
	hasEvent bool
}

// modelEngine reads prompts one after the other, the most urgent first, and generates the
// outputs of all others meanwhile.
type modelEngine struct {
	id    string
	speed float64 // prompt tokens a millisecond
	// slowdown is the part by which each run that generates output slows the reading.
	slowdown   float64
	slots      int
	away       bool
	running    []*modelRun
	waiting    []*modelRun
	held       map[string]bool
	listed     headroom.Report
	readTokens float64
}

func (e *modelEngine) less(a, b *modelRun) int {
	return cmp.Or(cmp.Compare(a.request.Priority, b.request.Priority), cmp.Compare(a.arrived, b.arrived))
}

func (e *modelEngine) schedule() {
	for len(e.waiting) > 0 {
		slices.SortStableFunc(e.waiting, e.less)
		next := e.waiting[0]
		if len(e.running) >= e.slots {
			last := slices.MaxFunc(e.running, e.less)
			if last.request.Priority <= next.request.Priority {
				return
			}
			e.running = slices.DeleteFunc(e.running, func(r *modelRun) bool { return r == last })
			if !last.hasEvent {
				last.left += last.read
				last.read = 0
			}
			e.waiting = append(e.waiting, last)
		}
		e.waiting = slices.DeleteFunc(e.waiting, func(r *modelRun) bool { return r == next })
		if !next.began {
			next.began = true
			for _, p := range next.request.Parts {
				if !e.held[p.ID] {
					break
				}
				next.left -= float64(p.Tokens)
			}
			// The last token of a prompt is always computed.
			next.left = max(next.left, 1)
		}
		e.running = append(e.running, next)
	}
}

// idle reports whether the engine has a free slot and nothing that it would read before a
// request, now and in its list of runs, and has no run that is not in the list: a daemon cannot
// know the priority of such a run.
func (e *modelEngine) idle(priority int) bool {
	if slices.ContainsFunc(e.listed.Runs, func(r headroom.Run) bool { return r.Events == 0 && r.Priority <= priority }) {
		return false
	}
	if len(e.running) > len(e.listed.Runs) {
		return false
	}
	ahead := slices.ContainsFunc(slices.Concat(e.running, e.waiting), func(r *modelRun) bool { return !r.hasEvent && r.request.Priority <= priority })
	return !e.away && !ahead && len(e.running) < e.slots && len(e.waiting) == 0
}

// modelDaemon is a daemon with a tracker of its own.
type modelDaemon struct {
	tracker *headroom.Tracker
	rnd     *rand.Rand
}

// modelKind is a kind of request.
type modelKind struct {
	name      string
	priority  int
	objective time.Duration
	rate      float64 // requests a second
	burst     float64 // factor of the rate in the burst
	hot       float64 // part of the requests that is about one prompt
}

type modelClient struct {
	kind            *modelKind
	id              int
	arrived         time.Duration
	deadline        time.Duration
	again           time.Duration
	firstEvent      time.Duration
	refusals, sends int
	parts           []headroom.Part
	lastRounds      int
	gaveUp          bool
	placedAt        time.Duration
}

// model is a small deterministic model of daemons, engines and clients.
type model struct {
	rnd        *rand.Rand
	engines    []*modelEngine
	daemons    []*modelDaemon
	kinds      []*modelKind
	burstFrom  time.Duration
	burstUntil time.Duration
	reportAge  time.Duration
	// current says that engines report their load at the moment of the answer, and lost is
	// the part of the queries that is not answered.
	current                 bool
	lost                    float64
	promptTokens, hotTokens int
	output                  time.Duration
	patience                time.Duration
	// queryTime is how long a round of queries takes.
	queryTime time.Duration
	onPlaced  func(c *modelClient, e *modelEngine, d headroom.Decision)
	onRefuse  func(c *modelClient, asked []*modelEngine, d headroom.Decision, now time.Duration)

	now             time.Duration
	count           int
	clients         []*modelClient
	retries         []*modelClient
	queries         int
	wasted          float64
	maxRounds       int
	unknown, placed int
}

func newModel(seed uint64, daemons, engines int) *model {
	m := &model{rnd: rand.New(rand.NewPCG(seed, 1)), reportAge: 200 * time.Millisecond, current: true, promptTokens: 8000, hotTokens: 7000,
		output: 4 * time.Second, patience: 15 * time.Second}
	for i := range daemons {
		m.daemons = append(m.daemons, &modelDaemon{headroom.NewTracker(), rand.New(rand.NewPCG(seed, uint64(i+2)))})
	}
	for i := range engines {
		m.engines = append(m.engines, &modelEngine{id: fmt.Sprintf("e%03d", i), speed: 8, slots: 16, held: map[string]bool{}})
	}
	return m
}

func (m *model) at() time.Time { return time.Unix(1_800_000_000, 0).Add(m.now) }

// run plays the load until the given time.
func (m *model) run(until time.Duration) {
	for ; m.now < until; m.now += step {
		if m.now%m.reportAge == 0 {
			for _, e := range m.engines {
				e.list()
			}
		}
		for _, k := range m.kinds {
			rate := k.rate
			if m.now >= m.burstFrom && m.now < m.burstUntil && k.burst > 0 {
				rate *= k.burst
			}
			expected := rate * step.Seconds()
			n := int(expected)
			if m.rnd.Float64() < expected-float64(n) {
				n++
			}
			for range n {
				m.count++
				c := &modelClient{kind: k, id: m.count, arrived: m.now, deadline: m.now + m.patience}
				shared := fmt.Sprint("s", m.count)
				if m.rnd.Float64() < k.hot {
					shared = "hot"
				}
				c.parts = []headroom.Part{{ID: shared, Tokens: m.hotTokens}, {ID: fmt.Sprint("p", m.count), Tokens: m.promptTokens - m.hotTokens}}
				m.clients = append(m.clients, c)
				m.arrive(c)
			}
		}
		due := m.retries
		m.retries = nil
		for _, c := range due {
			if c.again > m.now {
				m.retries = append(m.retries, c)
			} else if m.now < c.deadline {
				m.arrive(c)
			}
		}
		for _, e := range m.engines {
			m.work(e)
		}
	}
}

// list makes the list of runs that the engine reports until it makes the next one.
func (e *modelEngine) list() {
	e.listed = headroom.Report{Slots: e.slots, Listed: headroom.Load{Running: len(e.running), Waiting: len(e.waiting)}}
	for _, r := range e.running {
		run := headroom.Run{ID: r.request.ID, Tokens: int(r.read), Priority: r.request.Priority}
		if r.hasEvent {
			run.Events = 1
		}
		e.listed.Runs = append(e.listed.Runs, run)
	}
}

func (m *model) work(e *modelEngine) {
	if e.away {
		return
	}
	e.schedule()
	generating := 0
	for _, r := range e.running {
		if r.hasEvent {
			generating++
		}
	}
	budget := e.speed * float64(step/time.Millisecond) / (1 + e.slowdown*float64(generating))
	for budget > 0 {
		var next *modelRun
		for _, r := range e.running {
			if !r.hasEvent && r.left > 0 && (next == nil || e.less(r, next) < 0) {
				next = r
			}
		}
		if next == nil {
			break
		}
		n := min(budget, next.left)
		next.left -= n
		next.read += n
		e.readTokens += n
		budget -= n
		if next.left <= 0 {
			next.hasEvent = true
			next.client.firstEvent = m.now + step
			next.daemon.tracker.FirstEvent(next.ticket, m.at().Add(step))
			for _, p := range next.request.Parts {
				e.held[p.ID] = true
			}
		}
	}
	all := e.running
	e.running = nil
	for _, r := range all {
		if r.hasEvent {
			r.output -= step
		}
		switch {
		case r.hasEvent && r.output <= 0:
			r.daemon.tracker.Ended(r.ticket, m.at())
		case !r.hasEvent && m.now >= r.client.deadline:
			m.wasted += r.read
			r.client.gaveUp = true
			r.daemon.tracker.Ended(r.ticket, m.at())
		default:
			e.running = append(e.running, r)
		}
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(r *modelRun) bool {
		if r.hasEvent || m.now < r.client.deadline {
			return false
		}
		r.client.gaveUp = true
		r.daemon.tracker.Ended(r.ticket, m.at())
		return true
	})
}

// lose makes an engine go away with all its runs.
func (m *model) lose(e *modelEngine) {
	e.away = true
	for _, r := range slices.Concat(e.running, e.waiting) {
		r.daemon.tracker.Ended(r.ticket, m.at())
		r.client.gaveUp = true
	}
	e.running, e.waiting, e.held = nil, nil, map[string]bool{}
}

// arrive lets a client's request arrive at a daemon.
func (m *model) arrive(c *modelClient) {
	d := m.daemons[m.rnd.IntN(len(m.daemons))]
	req := headroom.Request{ID: fmt.Sprint("r", c.id, "-", c.refusals), Service: "s", Priority: c.kind.priority, Tokens: m.promptTokens, Parts: c.parts}
	var working []*modelEngine
	for _, e := range m.engines {
		if !e.away {
			working = append(working, e)
		}
	}
	m.rnd.Shuffle(len(working), func(i, j int) { working[i], working[j] = working[j], working[i] })
	var asked []*modelEngine
	ask := func(e *modelEngine) {
		if slices.Contains(asked, e) {
			return
		}
		m.queries++
		if m.rnd.Float64() < m.lost {
			return
		}
		asked = append(asked, e)
		r := e.listed
		if m.current {
			r.Current = &headroom.Load{Running: len(e.running), Waiting: len(e.waiting)}
		}
		d.tracker.Report(e.id, "s", r, m.at())
	}
	q := headroom.Question{Request: req, Objective: c.kind.objective, Arrived: m.at(), ClientDeadline: m.at().Add(c.deadline - m.now)}
	for _, e := range working {
		q.Engines = append(q.Engines, e.id)
	}
	rest := working
	refuse := func(dec headroom.Decision) {
		c.refusals++
		c.again = m.now + dec.RetryAfter
		m.retries = append(m.retries, c)
		if m.onRefuse != nil {
			m.onRefuse(c, asked, dec, m.now)
		}
	}
	if dec := d.tracker.DecideUnasked(q, m.at(), d.rnd.Float64()); dec.Verdict == headroom.Refuse {
		refuse(dec)
		return
	}
	for _, id := range d.tracker.Holders(req, 2, m.at()) {
		if i := slices.IndexFunc(working, func(e *modelEngine) bool { return e.id == id }); i >= 0 {
			ask(working[i])
		}
	}
	for {
		n := min(5, len(rest))
		for _, e := range rest[:n] {
			ask(e)
		}
		rest = rest[n:]
		q.Rounds++
		q.CanQuery = len(rest) > 0
		q.Candidates = nil
		for _, e := range asked {
			q.Candidates = append(q.Candidates, headroom.Candidate{Engine: e.id})
		}
		dec := d.tracker.Decide(q, m.at().Add(time.Duration(q.Rounds)*m.queryTime), d.rnd.Float64())
		c.lastRounds = q.Rounds
		m.maxRounds = max(m.maxRounds, q.Rounds)
		switch dec.Verdict {
		case headroom.Query:
			continue
		case headroom.Refuse:
			refuse(dec)
			return
		case headroom.Unknown:
			m.unknown++
			if len(asked) == 0 {
				asked = working
			}
			best := slices.MinFunc(asked, func(a, b *modelEngine) int {
				return cmp.Compare(len(a.running)+len(a.waiting), len(b.running)+len(b.waiting))
			})
			dec.Engine = best.id
			dec.Estimate = d.tracker.Estimate(best.id, req, m.at())
		}
		i := slices.IndexFunc(m.engines, func(e *modelEngine) bool { return e.id == dec.Engine })
		c.sends++
		m.placed++
		c.placedAt = m.now
		run := &modelRun{client: c, daemon: d, request: req, arrived: m.placed, left: float64(m.promptTokens), output: m.output}
		run.ticket = d.tracker.Sent(dec.Engine, req, dec.Estimate, m.at())
		m.engines[i].waiting = append(m.engines[i].waiting, run)
		m.engines[i].schedule()
		if m.onPlaced != nil {
			m.onPlaced(c, m.engines[i], dec)
		}
		return
	}
}

// result sums up the clients of a kind that arrived within a time.
type result struct {
	arrived, inTime, late, unserved, refusals int
	// sentLate counts those whose first event came later than the objective after the attempt
	// that was placed, and cut those whose client gave up after it was placed.
	sentLate, cut int
}

func (r result) share() float64 { return float64(r.inTime) / float64(max(r.arrived, 1)) }

func (m *model) result(k *modelKind, from, until time.Duration) result {
	var r result
	for _, c := range m.clients {
		if c.kind != k || c.arrived < from || c.arrived >= until {
			continue
		}
		r.arrived++
		r.refusals += c.refusals
		if c.sends > 0 && c.firstEvent-c.placedAt > k.objective {
			r.sentLate++
		}
		if c.gaveUp && c.firstEvent == 0 {
			r.cut++
		}
		switch {
		case c.firstEvent == 0:
			r.unserved++
		case c.firstEvent-c.arrived <= k.objective:
			r.inTime++
		default:
			r.late++
		}
	}
	return r
}

func (m *model) read() (tokens float64) {
	for _, e := range m.engines {
		tokens += e.readTokens
	}
	return tokens
}
