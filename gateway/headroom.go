package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/gooseberryroad/gooseberryroad/directory"
	"github.com/gooseberryroad/gooseberryroad/headroom"
	"github.com/gooseberryroad/gooseberryroad/internal/pause"
	"github.com/gooseberryroad/gooseberryroad/placement"
	"github.com/gooseberryroad/gooseberryroad/registry"
	"github.com/gooseberryroad/gooseberryroad/retrybudget"
	"github.com/gooseberryroad/gooseberryroad/routes"
)

const (
	// overloadRefusalShare is the part of the latency objective within which a stream that
	// no engine has run is refused if it is placed by estimates.
	overloadRefusalShare = 0.125
	// firstEventShare is the part of the latency objective for which a stream waits for its
	// first event at an engine that answers, if that is longer than the usual time.
	firstEventShare = 1.5
	// maxHolders is the number of engines that are asked because they are known to hold a part
	// of the prompt, in addition to the others.
	maxHolders = 2
	// pacedFor is how long a service is treated as one whose upstreams report a pace after
	// the last one was seen.
	pacedFor = time.Minute
	// turnPause is the pause between two attempts of the first stream in a line to take a
	// retry from the budget, and of the others to become first.
	turnPause = 20 * time.Millisecond
)

// usesHeadroom reports whether a stream is placed by estimates of its time to the first
// event: if the requests of its service differ in priority, or its upstreams report a pace.
func (g *Gateway) usesHeadroom(r *request) bool {
	if r.engine == nil || r.route.TargetLatency <= 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return r.sendsPriority || g.paced(r.service, time.Now())
}

// paced reports whether upstreams of a service report a pace. The caller holds g.mu.
func (g *Gateway) paced(service string, now time.Time) bool {
	at, ok := g.pacedAt[service]
	return ok && now.Sub(at) < pacedFor
}

// recordPace records that an upstream of a service reports a pace, if it does.
func (g *Gateway) recordPace(service string, l placement.Load) {
	if l.Pace <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pacedAt[service] = time.Now()
}

// withHeadroom calls f with g.mu held.
func (g *Gateway) withHeadroom(f func(*headroom.Tracker)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.headroom)
}

// retainHeadroom forgets engines and services that are not registered. The caller holds g.mu.
func (g *Gateway) retainHeadroom(v *directory.View) {
	registered := make(map[string]bool, len(v.All))
	for _, in := range v.All {
		registered[in.ID] = true
	}
	g.headroom.Retain(func(id string) bool { return registered[id] }, func(service string) bool {
		if v.Table == nil {
			return true
		}
		_, ok := v.Table.Service(service)
		return ok
	})
}

// recordReport records an engine's report for the estimates of its service, if that is
// placed by estimates. It returns the engine's load: that in the header of the answer, which
// is current, or else that of the report, which is some hundred milliseconds old.
func (g *Gateway) recordReport(in registry.Instance, report EngineReport, h http.Header, now time.Time) placement.Load {
	head := g.o.Protocol.DecodeResponseHead(http.StatusOK, h)
	if head.Load != nil {
		g.recordPace(in.Service, *head.Load)
	}
	table := g.o.Directory.View().Table
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.paced(in.Service, now) && (table == nil || !table.RanksRequests(in.Service)) {
		return report.Load
	}
	r := headroom.Report{
		Listed: headroom.Load{Running: report.Load.Running, Waiting: report.Load.Waiting}, Slots: in.Slots,
		UsedTokens: report.UsedTokens, TotalTokens: report.TotalTokens,
	}
	for _, run := range report.Runs {
		r.Runs = append(r.Runs, headroom.Run{ID: run.ID, Tokens: run.Tokens, Events: run.Events, Priority: run.Priority})
	}
	current := report.Load
	if head.Load != nil {
		current = *head.Load
		r.Current = &headroom.Load{Running: current.Running, Waiting: current.Waiting}
		if current.Slots > 0 {
			r.Slots = current.Slots
		}
	}
	g.headroom.Report(in.ID, in.Service, r, now)
	return current
}

// searchOutcome is the outcome of a search for an engine by estimates.
type searchOutcome int

const (
	// searchWait means that no engine can be used now.
	searchWait searchOutcome = iota
	searchPlaced
	searchRefused
)

// headroomSearch places one stream by estimates.
type headroomSearch struct {
	s *stream
	// rounds counts the rounds of load queries since the stream was sent last, runs the runs
	// of the stream at the time.
	rounds, runs int
}

// begun reports whether the client has events or an engine may have run the stream. Such a
// stream is not refused because of load.
func (s *stream) begun() bool { return s.r.LastEventID > 0 || s.headSent.Load() || s.runs > 0 }

// searchShare returns the part of the latency objective for which a stream searches for an
// engine before it is refused.
func (s *stream) searchShare() float64 {
	if s.search != nil && !s.begun() {
		return overloadRefusalShare
	}
	return streamSearchShare
}

// withoutFull returns the upstreams that may have a free slot. Estimates take the place of
// the rule for engines that are reading a prompt while most are down.
func (s *stream) withoutFull(ranked []placement.Ranked) []placement.Ranked {
	if s.search == nil {
		return placement.WithoutFull(ranked)
	}
	return slices.DeleteFunc(slices.Clone(ranked), func(c placement.Ranked) bool { return c.Full })
}

// request returns what the estimates need to know of the stream.
func (h *headroomSearch) request() headroom.Request {
	r := h.s.r
	// Engines that are told no priority list all runs with the same one.
	priority := routes.DefaultPriority
	if r.sendsPriority {
		priority = r.priority
	}
	out := headroom.Request{ID: r.ID, Service: r.service, Priority: priority, Tokens: r.PromptTokens, OutputTokens: r.MaxOutputTokens}
	sum := 0
	for i, tokens := range r.PartTokens {
		id := r.PromptPartID
		if i < len(r.SharedPartIDs) {
			id = r.SharedPartIDs[i]
		}
		out.Parts = append(out.Parts, headroom.Part{ID: id, Tokens: tokens})
		sum += tokens
	}
	out.Tokens = max(out.Tokens, sum)
	return out
}

// place decides by the estimates of the engines that it asks, and reserves a slot. The ranked
// engines are not empty.
func (h *headroomSearch) place(ctx context.Context, ranked []placement.Ranked) (assignment, searchOutcome) {
	s, g, r := h.s, h.s.g, h.s.r
	if h.runs != s.runs {
		h.rounds, h.runs = 0, s.runs
	}
	began := time.Now()
	rank := func(of []registry.Instance) []placement.Ranked {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.tracker.Rank(of, r.remoteBias(), began)
	}
	req := h.request()
	if h.rounds == 0 {
		if in, ok := s.engineWithCachedPrompt(ctx); ok {
			g.withHeadroom(func(t *headroom.Tracker) { t.Holds(in.ID, req, time.Now()) })
		}
	}
	plan := placement.NewProbePlan(ranked, r.PromptPartID, g.o.DataCentre)
	plan.ForLimits(g.limitedShare(r))
	plan.ForRepeat()
	g.withHeadroom(func(t *headroom.Tracker) { plan.ForEngines(t.Holders(req, maxHolders, began)) })
	question := headroom.Question{
		Request: req, Begun: s.begun(), Objective: r.route.TargetLatency, Arrived: r.arrivedAt, ClientDeadline: r.deadline,
	}
	if s.runs > 0 || s.headSent.Load() {
		// The objective was missed or met before; what counts now is the smallest estimate.
		question.Arrived = began
	}
	for _, c := range ranked {
		question.Engines = append(question.Engines, c.ID)
	}
	if h.rounds == 0 {
		g.mu.Lock()
		d := g.headroom.DecideUnasked(question, began, g.rnd.Float64())
		g.mu.Unlock()
		if d.Verdict == headroom.Refuse {
			return h.refuse(d)
		}
	}
	for {
		question.CanQuery = false
		if h.rounds < headroom.MaxRounds {
			if asked := plan.Next(); len(asked) > 0 {
				h.rounds++
				g.queryLoads(ctx, asked, plan)
				question.CanQuery = true
			}
		}
		choices := plan.Choices(rank)
		if len(choices) == 0 && !question.CanQuery {
			// No round is left, or no engine answered: what is known from earlier reports counts.
			choices = ranked
		}
		question.Rounds, question.Candidates = h.rounds, nil
		for _, c := range choices {
			question.Candidates = append(question.Candidates, headroom.Candidate{Engine: c.ID, Local: c.DataCentre == g.o.DataCentre})
		}
		d, in, ticket := h.decide(question, choices)
		switch d.Verdict {
		case headroom.Query:
			if ctx.Err() == nil {
				continue
			}
			return assignment{}, searchWait
		case headroom.Wait:
			return assignment{}, searchWait
		case headroom.Place:
			if in.ID == "" {
				return assignment{}, searchWait
			}
			h.record(d, "admitted")
			return s.withCopyTarget(assignment{upstream: in, ticket: ticket, expected: d.Estimate.Time}, plan.Order(rank)), searchPlaced
		case headroom.Refuse:
			return h.refuse(d)
		default:
			order := plan.Order(rank)
			if len(order) > 0 && !order[0].SlotsTaken && s.reserve(order[0].Instance) {
				h.record(headroom.Decision{Verdict: headroom.Unknown, Engine: order[0].ID}, "admitted_unestimated")
				return s.withCopyTarget(h.sent(order[0].Instance), order), searchPlaced
			}
			return assignment{}, searchWait
		}
	}
}

// withRoomForCopy returns the engines that have room for a copy of the stream's run by what is
// known of them.
func (h *headroomSearch) withRoomForCopy(ranked []placement.Ranked) []placement.Ranked {
	req, now := h.request(), time.Now()
	h.s.g.mu.Lock()
	defer h.s.g.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(ranked), func(c placement.Ranked) bool { return !h.s.g.headroom.RoomForCopy(c.ID, req, now) })
}

// refuse records the refusal of the stream, with the reason: the prompts ahead or the slots.
func (h *headroomSearch) refuse(d headroom.Decision) (assignment, searchOutcome) {
	decision := "refused_prompts"
	if d.Estimate.SlotWait > 0 || d.Estimate.Full {
		decision = "refused_slots"
	}
	h.record(d, decision)
	h.s.stopReason, h.s.retryAfter = codeOverloaded, d.RetryAfter
	return assignment{}, searchRefused
}

// decide decides and reserves a slot at the chosen engine, so that streams that are placed at
// the same time take each other into account. The instance is empty if the engine's limit
// leaves no permit.
func (h *headroomSearch) decide(q headroom.Question, choices []placement.Ranked) (headroom.Decision, registry.Instance, headroom.Ticket) {
	g := h.s.g
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	d := g.headroom.Decide(q, now, g.rnd.Float64())
	if d.Verdict != headroom.Place {
		return d, registry.Instance{}, 0
	}
	for _, c := range choices {
		if c.ID == d.Engine && g.tracker.TakePermit(c.Instance, now) {
			g.tracker.Begin(c.Instance)
			return d, c.Instance, g.headroom.Sent(c.ID, q.Request, d.Estimate, now)
		}
	}
	return d, registry.Instance{}, 0
}

// sent returns the assignment of the stream to an engine that was chosen without an estimate.
func (h *headroomSearch) sent(in registry.Instance) assignment {
	a := assignment{upstream: in}
	now := time.Now()
	h.s.g.withHeadroom(func(t *headroom.Tracker) {
		a.ticket = t.Sent(in.ID, h.request(), t.Estimate(in.ID, h.request(), now), now)
	})
	return a
}

// record counts and logs a decision.
func (h *headroomSearch) record(d headroom.Decision, decision string) {
	countAdmission(h.s.r.route.Name, decision)
	e := d.Estimate
	h.s.g.o.Logger.Info("admission decided", "id", h.s.r.ID, "route", h.s.r.route.Name, "decision", decision, "priority", h.s.r.priority,
		"begun", h.s.begun(), "upstream", d.Engine, "estimate", e.Time, "tokens_ahead", int(e.Ahead), "tokens_own", int(e.Own), "tokens_held", e.Held,
		"tokens_per_ms", e.Speed, "slot_wait", e.SlotWait, "memory_wait", e.MemoryWait, "preempts", e.Preempts, "idle", e.Idle, "rounds", h.rounds, "retry_after", d.RetryAfter)
}

// awaitTurn takes a retry from the retry budget, in the order of the line of the service, at
// latest until the given time.
func (h *headroomSearch) awaitTurn(ctx context.Context, purpose retrybudget.Purpose, until time.Time) bool {
	s, g := h.s, h.s.g
	g.mu.Lock()
	line := g.lines[s.r.service]
	if line == nil {
		line = &headroom.Line{}
		g.lines[s.r.service] = line
	}
	place := line.Join(s.headSent.Load() || s.r.LastEventID > 0, s.r.priority, int(s.lastEventID))
	g.mu.Unlock()
	first := func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return line.First(place)
	}
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		line.Leave(place)
		if line.Len() == 0 && g.lines[s.r.service] == line {
			delete(g.lines, s.r.service)
		}
	}()
	for !first() || !g.allowRetry(s.r.service, purpose) {
		wait := min(time.Until(until), turnPause)
		if wait <= 0 || !pause.For(ctx, wait) {
			s.stopReason = "retry_budget"
			return false
		}
	}
	s.attemptTracker.BudgetGranted()
	return true
}
