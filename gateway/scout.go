package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/failover"
	"github.com/gooseberryroad/gooseberryroad/internal/pause"
	"github.com/gooseberryroad/gooseberryroad/placement"
	"github.com/gooseberryroad/gooseberryroad/registry"
	"github.com/gooseberryroad/gooseberryroad/retrybudget"
	"github.com/gooseberryroad/gooseberryroad/upstream"
)

const (
	// loadQueryTimeout bounds the wait for the loads of engines. An engine that
	// does not respond within a few round trips does not get the stream.
	loadQueryTimeout = 60 * time.Millisecond
	// likelyCacheEngines is the number of engines that are asked first whether they
	// have cached the prompt of a stream that its client resumes.
	likelyCacheEngines = 4
	// otherCacheEngines is the number of further engines that are asked if the
	// first ones have not cached the prompt.
	otherCacheEngines = 16
	// cacheQueryTimeout bounds these queries. Reading a prompt again takes about a
	// second.
	cacheQueryTimeout = 150 * time.Millisecond
	// streamSearchShare is the part of the latency objective for which a stream
	// searches for an engine before it is refused.
	streamSearchShare = 0.4
	// budgetWaitShare is the part of the latency objective for which a stream
	// without an event waits for the retry budget. A refusal within that time is
	// early enough for another daemon to serve the client in time.
	budgetWaitShare = 0.125
	// maxContinueWait bounds how long after its last event a stream waits for the
	// retry budget. After that it is cut, so that its client can resume it at
	// another daemon. The bound is the time within which output must continue after
	// a loss.
	maxContinueWait = 4 * time.Second
	// maxReportBytes bounds the response to a control call, such as an engine's
	// report.
	maxReportBytes = 256 << 10
)

// findUpstream finds an upstream for a run that reads its prompt, and reserves
// a slot there.
func (s *stream) findUpstream(ctx context.Context) (assignment, bool) {
	delay := initialRetryPause
	for {
		now := time.Now()
		if ctx.Err() != nil || s.r.timeLeft(now) < minAttemptTime {
			s.stopReason = "deadline"
			return assignment{}, false
		}
		if s.forwardOrRefuse(ctx, false) {
			return assignment{}, false
		}
		s.g.begin(s.r)
		if len(s.candidates()) > 0 {
			if s.attemptTracker.TakePause() {
				pause.For(ctx, initialRetryPause)
				continue
			}
			if !s.awaitRetryBudget(ctx) {
				return assignment{}, false
			}
		}
		// The upstreams are ranked again because some may have left during the wait for
		// the retry budget.
		ranked := s.candidates()
		if s.search != nil && len(ranked) > 0 {
			p, outcome := s.search.place(ctx, ranked)
			if outcome != searchWait {
				return p, outcome == searchPlaced
			}
			ranked = nil
		} else if s.r.engine != nil {
			ranked = s.g.rankByLoad(ctx, s.r, ranked, s.attempts > 0)
		}
		// A load query costs nothing from the retry budget, while a refusal does.
		if len(ranked) > 0 && !ranked[0].SlotsTaken {
			if in, ok := s.reserveCachedOrBest(ctx, ranked[0].Instance); ok {
				return s.withCopyTarget(assignment{upstream: in}, ranked), true
			}
		}
		giveUpAt := earlier(s.r.arrivedAt.Add(time.Duration(s.searchShare()*float64(s.r.route.TargetLatency))), s.r.lastSend())
		permitUntil := giveUpAt
		if !s.lastEventAt.IsZero() {
			permitUntil = earlier(s.lastEventAt.Add(maxContinueWait), s.r.lastSend())
		}
		if s.g.permitExpected(s.r, permitUntil) {
			if !s.awaitRetryBudget(ctx) {
				return assignment{}, false
			}
			if in, ok := s.reserveWithPermit(ctx, permitUntil); ok {
				return s.withCopyTarget(assignment{upstream: in}, s.candidates()), true
			}
		}
		if len(ranked) == 0 && s.forwardOrRefuse(ctx, true) {
			return assignment{}, false
		}
		if !s.headSent.Load() && s.runs == 0 {
			if s.stopReason, s.retryAfter = s.g.refuseIfAllWithdrawn(s.r, now.Add(delay), giveUpAt); s.stopReason != "" {
				return assignment{}, false
			}
			if now.Add(delay).After(giveUpAt) {
				s.stopReason = "no_upstream"
				return assignment{}, false
			}
		}
		pause.For(ctx, delay)
		delay = min(2*delay, maxRetryPause)
		clear(s.excluded)
	}
}

// reserveCachedOrBest reserves a slot for the next run at the engine that keeps
// its prompt in the KV cache, or else at the best one. It fails if another
// stream took the last slot in the meantime.
func (s *stream) reserveCachedOrBest(ctx context.Context, best registry.Instance) (registry.Instance, bool) {
	if in, ok := s.engineWithCachedPrompt(ctx); ok && s.reserve(in) {
		return in, true
	}
	return best, s.reserve(best)
}

func (s *stream) reserve(in registry.Instance) (ok bool) {
	s.g.withTracker(func(b *placement.Tracker) { ok = b.Reserve(in, time.Now()) })
	return ok
}

// reserveWithPermit waits for the next permit, at latest until giveUpAt, and reserves a slot
// at its upstream.
func (s *stream) reserveWithPermit(ctx context.Context, giveUpAt time.Time) (in registry.Instance, ok bool) {
	if in, ok = s.g.awaitPermit(ctx, s.r, giveUpAt); ok {
		s.g.withTracker(func(b *placement.Tracker) { ok = b.ReserveSlot(in, time.Now()) })
	}
	return in, ok
}

// candidates returns the upstreams to which the next run may go, best first. A
// stream that lost an upstream waits for a slot at one without a recent failure
// before it tries one that failed lately, because that one may accept the
// stream and then stay silent.
func (s *stream) candidates() []placement.Ranked {
	ranked := s.withoutFull(s.g.rank(s.r, s.excluded))
	if s.runs == 0 {
		return ranked
	}
	healthy := placement.WithoutFailed(ranked)
	if !s.state.MayTryRecentlyFailed(time.Now()) || s.state.FewRunsLeft() && len(placement.WithoutFailed(s.g.rank(s.r, nil))) > 0 {
		return healthy
	}
	return ranked
}

// awaitRetryBudget takes a retry from the retry budget if the next run needs
// one, and waits for it if necessary: the budget grows with every request. A
// stream whose client already has a part of it waits longer.
func (s *stream) awaitRetryBudget(ctx context.Context) bool {
	if !s.attemptTracker.NeedsBudget() {
		return true
	}
	purpose, until := retrybudget.PurposeContinuation, s.lastEventAt.Add(maxContinueWait)
	if !s.headSent.Load() {
		share := budgetWaitShare
		if s.runs > 0 {
			// A stream that may have run cannot be refused as not run, only fail. A longer
			// wait is better than that.
			share = streamSearchShare
		}
		purpose, until = retrybudget.PurposeSearch, s.r.arrivedAt.Add(time.Duration(share*float64(s.r.route.TargetLatency)))
	}
	if s.search != nil {
		return s.search.awaitTurn(ctx, purpose, until)
	}
	for !s.g.allowRetry(s.r.service, purpose) {
		wait := min(time.Until(until), maxRetryPause)
		if wait <= 0 || !pause.For(ctx, wait) {
			s.stopReason = "retry_budget"
			return false
		}
	}
	s.attemptTracker.BudgetGranted()
	return true
}

// engineWithCachedPrompt returns the engine whose KV cache holds the most of the
// prompt of a stream that its client resumes, if no attempt was made yet.
func (s *stream) engineWithCachedPrompt(ctx context.Context) (registry.Instance, bool) {
	if s.attempts > 0 || s.r.engine == nil || s.r.LastEventID == 0 {
		return registry.Instance{}, false
	}
	return s.g.findEngineWithCachedPrompt(ctx, s.r)
}

// withCopyTarget adds the upstream that receives a copy of the run's KV cache.
// It is in another data centre, because the upstreams of a data centre fail
// together. One that names a limit is the last choice.
func (s *stream) withCopyTarget(p assignment, ranked []placement.Ranked) assignment {
	if s.search != nil {
		ranked = s.search.withRoomForCopy(ranked)
	}
	return s.withAnyCopyTarget(p, ranked)
}

// copiesMemory reports whether the engines of the stream copy the memory of its runs.
func (s *stream) copiesMemory() bool {
	return s.r.engine != nil && s.r.engine.Backups && s.r.route.Resumable
}

// withAnyCopyTarget does the same without regard to the room that a copy takes.
func (s *stream) withAnyCopyTarget(p assignment, ranked []placement.Ranked) assignment {
	if !s.copiesMemory() {
		return p
	}
	for _, c := range ranked {
		if c.DataCentre == p.upstream.DataCentre || c.Paused {
			continue
		}
		if !c.Limited {
			p.copyTo = c.Instance
			return p
		}
		if p.copyTo.ID == "" {
			p.copyTo = c.Instance
		}
	}
	return p
}

// restoreFromCopy returns where a run that was lost at p continues: at the
// engine that holds the copy, or, if that engine is no longer available for
// work, at any other one from the prompt.
func (s *stream) restoreFromCopy(ctx context.Context, p assignment) (assignment, bool) {
	if !s.awaitRetryBudget(ctx) {
		return p, false
	}
	if !s.g.awaitPermitAt(ctx, p.copyTo, restorePermitWait) {
		s.g.o.Logger.Info("engine with the copy names a limit", "id", s.r.ID, "copy", p.copyTo.ID)
		return s.findUpstream(ctx)
	}
	// This is checked after the waits, in which the engine may have announced that
	// it leaves.
	if !s.g.registered(p.copyTo) || s.g.withdrawn(p.copyTo, time.Now()) {
		s.g.o.Logger.Info("engine with the copy is leaving or no longer registered", "id", s.r.ID, "copy", p.copyTo.ID)
		return s.findUpstream(ctx)
	}
	from := &CacheCopy{Address: p.copyTo.Address}
	if p.copyHandle != "" {
		from = &CacheCopy{Address: p.upstream.Address, Handle: p.copyHandle}
	}
	next := assignment{upstream: p.copyTo, restoreFrom: from}
	s.g.withTracker(func(b *placement.Tracker) { b.Begin(next.upstream) })
	excluded := map[string]bool{p.copyTo.ID: true, p.upstream.ID: true}
	return s.withCopyTarget(next, s.g.rank(s.r, excluded)), true
}

// rankByLoad asks a few engines for their load. It returns those that respond
// and have a free slot, best first, then those that were not asked, then those
// that respond and are full. Engines that do not respond are left out. repeat says that the
// request was sent before.
func (g *Gateway) rankByLoad(ctx context.Context, r *request, ranked []placement.Ranked, repeat bool) []placement.Ranked {
	// What an engine reports during the search counts until its end: a report must not get
	// old because another engine, or this process, is slow.
	began := time.Now()
	rank := func(of []registry.Instance) []placement.Ranked {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.tracker.Rank(of, r.remoteBias(), began)
	}
	plan := placement.NewProbePlan(ranked, r.PromptPartID, g.o.DataCentre)
	plan.ForLimits(g.limitedShare(r))
	if repeat {
		plan.ForRepeat()
	}
	for {
		asked := plan.Next()
		if len(asked) == 0 {
			break
		}
		g.queryLoads(ctx, asked, plan)
		if plan.FoundFreeSlot(rank) || ctx.Err() != nil {
			break
		}
	}
	return plan.Order(rank)
}

// queryLoads asks engines concurrently for their load and records the results.
func (g *Gateway) queryLoads(ctx context.Context, asked []registry.Instance, plan *placement.ProbePlan) {
	ctx, cancel := context.WithTimeout(ctx, loadQueryTimeout)
	defer cancel()
	type result struct {
		in     registry.Instance
		report EngineReport
		ok     bool
	}
	results := make(chan result, len(asked))
	for _, c := range asked {
		go func() {
			report, ok := g.queryReport(ctx, c, "", 0)
			results <- result{c, report, ok}
		}()
	}
	now := time.Now()
	for range asked {
		res := <-results
		switch {
		case !res.ok:
			g.withTracker(func(b *placement.Tracker) { b.Failed(res.in, now) })
		case res.report.StartedMs != 0 && res.in.StartUnixMilli != 0 && res.report.StartedMs != res.in.StartUnixMilli:
			g.o.Logger.Info("another upstream responded at the address", "upstream", res.in.ID, "address", res.in.Address,
				"born", res.report.StartedMs, "registered", res.in.StartUnixMilli)
			g.withTracker(func(b *placement.Tracker) { b.Replaced(res.in.ID, now) })
			go g.adopt(res.in)
		default:
			plan.Answered(res.in)
		}
	}
}

// findEngineWithCachedPrompt returns the engine that has cached most of the
// prompt of a stream that its client resumes: the engine that ran the stream has
// already read the prompt. The engines where the prompt would have been placed are
// asked first, then some others to which it may have been moved.
func (g *Gateway) findEngineWithCachedPrompt(ctx context.Context, r *request) (registry.Instance, bool) {
	if r.PromptPartID == "" {
		return registry.Instance{}, false
	}
	var likely, others []registry.Instance
	for _, c := range placement.ByAffinity(g.rank(r, nil), r.PromptPartID) {
		switch {
		case c.DataCentre == g.o.DataCentre && len(likely) < likelyCacheEngines:
			likely = append(likely, c.Instance)
		case len(others) < otherCacheEngines:
			others = append(others, c.Instance)
		}
	}
	best, tokens := g.queryMostCached(ctx, r, likely)
	if tokens == 0 {
		best, tokens = g.queryMostCached(ctx, r, others)
	}
	g.o.Logger.Info("prompt looked up", "id", r.ID, "prompt", r.PromptPartID, "upstream", best.ID, "tokens", tokens)
	return best, tokens > 0
}

func (g *Gateway) queryMostCached(ctx context.Context, r *request, asked []registry.Instance) (registry.Instance, int) {
	ctx, cancel := context.WithTimeout(ctx, cacheQueryTimeout)
	defer cancel()
	type result struct {
		in     registry.Instance
		tokens int
	}
	results := make(chan result, len(asked))
	for _, in := range asked {
		go func() { results <- result{in, g.queryCachedTokens(ctx, in, r.PromptPartID)} }()
	}
	var best result
	for range asked {
		if res := <-results; res.tokens > best.tokens {
			best = res
		}
	}
	return best.in, best.tokens
}

func (g *Gateway) queryCachedTokens(ctx context.Context, in registry.Instance, prompt string) int {
	body, err := g.ask(ctx, in, controlCall{method: http.MethodGet, target: g.o.Protocol.CacheTarget()})
	if err != nil {
		g.o.Logger.Info("list of cached prompts not fetched", "upstream", in.ID, "cause", err)
		return 0
	}
	tokens, err := g.o.Protocol.DecodeCachedTokens(body, prompt)
	if err != nil {
		g.o.Logger.Info("list of cached prompts not decoded", "upstream", in.ID, "cause", err)
	}
	return tokens
}

// controlCall is a call to an engine that does not occupy a slot.
type controlCall struct {
	method, target string
	body           []byte
	// attemptID identifies the client's attempt whose run the call is about; empty if there is
	// none.
	attemptID string
	// maxIdle bounds how long a reused connection may have been idle; 0 leaves only the pool's
	// own bound.
	maxIdle time.Duration
}

// ask makes a control call and returns the body of the response.
func (g *Gateway) ask(ctx context.Context, in registry.Instance, c controlCall) ([]byte, error) {
	body, _, err := g.askWithHeader(ctx, in, c)
	return body, err
}

func (g *Gateway) askWithHeader(ctx context.Context, in registry.Instance, c controlCall) ([]byte, http.Header, error) {
	resp, body, err := g.call(ctx, in, c)
	if err != nil {
		return nil, nil, err
	}
	if resp.Status != http.StatusOK {
		return nil, nil, eris.Errorf("engine responded with status %d", resp.Status)
	}
	return body, resp.Header, nil
}

// call makes a control call and returns the response, whatever its status, and its body.
func (g *Gateway) call(ctx context.Context, in registry.Instance, c controlCall) (*upstream.Response, []byte, error) {
	header := http.Header{}
	if c.body != nil {
		header.Set("Content-Type", "application/json")
	}
	resp, err := g.o.Pool.Do(ctx, upstream.Request{
		Address: in.Address, Method: c.method, Target: c.target, Host: in.Address, Header: header, Body: c.body, MaxIdle: c.maxIdle,
		// A response to a call about another run may arrive late on the connection.
		Matches: func(h http.Header) bool {
			id := g.o.Protocol.DecodeResponseHead(0, h).ID
			return id == "" || id == c.attemptID
		},
	})
	g.recordReach(ctx, in, err, false)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	if g.answeredBy(in, resp.Header) {
		g.recordNotices(in, g.o.Protocol.DecodeResponseHead(resp.Status, resp.Header), "", time.Time{})
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return nil, nil, eris.Wrap(err, "read the engine's response")
	}
	return resp, body, nil
}

// queryReport asks an engine for its state and records its load in the tracker. maxIdle is
// that of the call.
func (g *Gateway) queryReport(ctx context.Context, in registry.Instance, id string, maxIdle time.Duration) (EngineReport, bool) {
	body, header, err := g.askWithHeader(ctx, in, controlCall{method: http.MethodGet, target: g.o.Protocol.ReportTarget(), maxIdle: maxIdle})
	if err != nil && ctx.Err() != nil && !errors.Is(err, upstream.ErrNotSent) {
		return EngineReport{Verdict: failover.VerdictSilent}, false
	}
	if err != nil {
		return EngineReport{Verdict: failover.VerdictUnreachable}, false
	}
	report, err := g.o.Protocol.DecodeReport(body, id)
	if err != nil {
		g.o.Logger.Info("engine report not decoded", "upstream", in.ID, "cause", err)
		return EngineReport{Verdict: failover.VerdictUnknown}, false
	}
	now := time.Now()
	current := g.recordReport(in, report, header, now)
	g.withTracker(func(b *placement.Tracker) { b.SetLoad(in.ID, current, now) })
	return report, true
}

// probeHedgeShare is the part of the time for a probe after which the engine is asked over a
// new connection, too. A few round trips fit into each part.
const probeHedgeShare = 1.0 / 3

// queryReportHedged asks an engine for its state, and once more over a new connection if it does
// not answer soon: all open connections may be silent while the engine can be reached over
// others. It returns the first report, or the verdict of the new connection if there is none.
func (g *Gateway) queryReportHedged(ctx context.Context, in registry.Instance, id string) EngineReport {
	type result struct {
		report EngineReport
		ok     bool
		isNew  bool
	}
	results := make(chan result, 2)
	ask := func(maxIdle time.Duration) {
		report, ok := g.queryReport(ctx, in, id, maxIdle)
		results <- result{report, ok, maxIdle == forceNewConnection}
	}
	go ask(0)
	hedge := time.NewTimer(time.Duration(probeHedgeShare * float64(g.o.Failover.ProbeTimeout)))
	defer hedge.Stop()
	hedged := hedge.C
	out := EngineReport{Verdict: failover.VerdictUnreachable}
	for running := 1; running > 0; {
		select {
		case res := <-results:
			running--
			if res.ok {
				return res.report
			}
			if undecoded := failover.VerdictUnknown; res.report.Verdict == undecoded || res.isNew && out.Verdict != undecoded {
				out = res.report
			}
		case <-hedged:
		}
		if hedged != nil {
			hedged = nil
			running++
			go ask(forceNewConnection)
		}
	}
	return out
}

// probe asks an engine whether it still runs a stream and sends the answer to
// out. An engine that has restarted since it was registered does not run it.
func (g *Gateway) probe(ctx context.Context, in registry.Instance, id string, out chan<- EngineReport) {
	ctx, cancel := context.WithTimeout(ctx, g.o.Failover.ProbeTimeout)
	defer cancel()
	report := g.queryReportHedged(ctx, in, id)
	if report.StartedMs != 0 && in.StartUnixMilli != 0 && report.StartedMs != in.StartUnixMilli {
		report.Verdict = failover.VerdictIdle
	}
	out <- report
}
