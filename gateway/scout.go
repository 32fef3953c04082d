package gateway

import (
	"context"
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
	// scoutTimeout bounds the wait for the answers; an engine that does not answer
	// in a few round trips does not get the stream.
	scoutTimeout = 60 * time.Millisecond
	// cacheScouts is the number of engines that are asked whether they keep the
	// prompt of a stream that its client resumes.
	cacheScouts = 4
	// moreCacheScouts is the number of further engines that are asked when those do
	// not have it.
	moreCacheScouts = 16
	// cacheTimeout bounds that question; reading a prompt again takes a second.
	cacheTimeout = 150 * time.Millisecond
	// streamSearchShare is the part of the latency objective for which a place for
	// a stream is looked for before it is refused.
	streamSearchShare = 0.4
	// budgetWaitShare is the part of the latency objective for which a stream
	// without an event waits for the retry budget. A refusal up to then is early
	// enough for the client to be served in time by another daemon.
	budgetWaitShare = 0.125
	// continueWithin is how long after its last event a stream waits for the retry
	// budget before it is cut, so that its client can take it up at another daemon:
	// the time in which output goes on after a loss.
	continueWithin = 4 * time.Second
	// maxReportBytes bounds an engine's report.
	maxReportBytes = 256 << 10
)

// search finds an upstream for a run that reads its prompt.
func (s *stream) search(ctx context.Context) (place, bool) {
	delay := repeatPause
	for {
		now := time.Now()
		if ctx.Err() != nil || s.r.left(now) < minOffer {
			s.stopped = "deadline"
			return place{}, false
		}
		if len(s.candidates()) > 0 {
			if s.account.TakePause() {
				pause.For(ctx, repeatPause)
				continue
			}
			if !s.awaitRepeat(ctx) {
				return place{}, false
			}
		}
		// Ranked after the wait for the budget, in which upstreams may have left.
		ranked := s.candidates()
		if s.r.engine != nil {
			ranked = s.g.scout(ctx, s.r, ranked)
		}
		// Asking for the load costs no repeat, being refused does.
		if len(ranked) > 0 && !ranked[0].SlotsTaken {
			if in, ok := s.reserveOne(ctx, ranked[0].Instance); ok {
				return s.withCopy(place{in: in}, ranked), true
			}
		}
		limit := time.Duration(streamSearchShare * float64(s.r.route.TargetLatency))
		if !s.headSent && s.ran == 0 && now.Add(delay).Sub(s.r.arrived) > limit {
			s.stopped = "no_upstream"
			return place{}, false
		}
		pause.For(ctx, delay)
		delay = min(2*delay, maxRepeatPause)
		clear(s.excluded)
	}
}

// reserveOne counts the next run at the engine that keeps its prompt, or else at
// the best one. It fails when another stream took the last place meanwhile.
func (s *stream) reserveOne(ctx context.Context, best registry.Instance) (registry.Instance, bool) {
	if in, ok := s.cached(ctx); ok && s.reserve(in) {
		return in, true
	}
	return best, s.reserve(best)
}

func (s *stream) reserve(in registry.Instance) (ok bool) {
	s.g.onBoard(func(b *placement.Tracker) { ok = b.Reserve(in, time.Now()) })
	return ok
}

// candidates are the upstreams to which the next run may go, best first. A stream
// that lost an upstream waits for a place at a sound one before it tries another
// that failed lately: that one may take the stream and stay silent.
func (s *stream) candidates() []placement.Ranked {
	ranked := placement.WithoutFull(s.g.rank(s.r, s.excluded))
	if s.ran == 0 {
		return ranked
	}
	sound := placement.WithoutFailed(ranked)
	if !s.state.MayTryRecentlyFailed(time.Now()) || s.state.FewRunsLeft() && len(placement.WithoutFailed(s.g.rank(s.r, nil))) > 0 {
		return sound
	}
	return ranked
}

// awaitRepeat takes a repeat from the retry budget if the next run needs one. A
// stream waits for one, longer if its client has a part of it: the budget grows
// with every request.
func (s *stream) awaitRepeat(ctx context.Context) bool {
	if !s.account.NeedsBudget() {
		return true
	}
	use, until := retrybudget.Continuation, s.passed.Add(continueWithin)
	if !s.headSent {
		share := budgetWaitShare
		if s.ran > 0 {
			// What ran is not refused but fails, so that waiting is better.
			share = streamSearchShare
		}
		use, until = retrybudget.Search, s.r.arrived.Add(time.Duration(share*float64(s.r.route.TargetLatency)))
	}
	for !s.g.allowRepeat(s.r.service, use) {
		wait := min(time.Until(until), maxRepeatPause)
		if wait <= 0 || !pause.For(ctx, wait) {
			s.stopped = "retry_budget"
			return false
		}
	}
	s.account.BudgetGranted()
	return true
}

// cached returns the engine that keeps the prompt of a stream that its client
// resumes.
func (s *stream) cached(ctx context.Context) (registry.Instance, bool) {
	if s.sent > 0 || s.r.engine == nil || s.r.LastEventID == 0 {
		return registry.Instance{}, false
	}
	return s.g.findCached(ctx, s.r)
}

// withCopy adds the upstream that receives a copy of the run's memory: one of
// another data centre, because the upstreams of a data centre fail together.
func (s *stream) withCopy(p place, ranked []placement.Ranked) place {
	if s.r.engine == nil || !s.r.engine.Backups || !s.r.route.Resumable {
		return p
	}
	for _, c := range ranked {
		if c.DataCentre != p.in.DataCentre && !c.Paused {
			p.copyTo = c.Instance
			return p
		}
	}
	return p
}

// restore is where a run goes on that was lost at p: where its copy is, unless
// that engine is leaving.
func (s *stream) restore(ctx context.Context, p place) (place, bool) {
	if !s.awaitRepeat(ctx) {
		return p, false
	}
	// Looked at after the wait, in which the engine may have said that it leaves.
	if !s.g.registered(p.copyTo) {
		s.g.o.Logger.Info("engine with the copy is leaving", "id", s.r.ID, "copy", p.copyTo.ID)
		return s.search(ctx)
	}
	from := &CacheCopy{Address: p.copyTo.Address}
	if p.handle != "" {
		from = &CacheCopy{Address: p.in.Address, Handle: p.handle}
	}
	next := place{in: p.copyTo, restore: from}
	s.g.onBoard(func(b *placement.Tracker) { b.Begin(next.in) })
	excluded := map[string]bool{p.copyTo.ID: true, p.in.ID: true}
	return s.withCopy(next, s.g.rank(s.r, excluded)), true
}

// scout asks a few engines for their load and returns those that answer and have
// a place, best first, and then those that were not asked.
func (g *Gateway) scout(ctx context.Context, r *request, ranked []placement.Ranked) []placement.Ranked {
	rank := func(of []registry.Instance) []placement.Ranked {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.board.Rank(of, r.remoteBias(), time.Now())
	}
	scouts := placement.NewProbePlan(ranked, r.PromptPartID, g.o.DataCentre)
	for {
		asked := scouts.Next()
		if len(asked) == 0 {
			break
		}
		g.askLoad(ctx, asked, scouts)
		if scouts.FoundFreeSlot(rank) || ctx.Err() != nil {
			break
		}
	}
	return scouts.Order(rank)
}

// askLoad asks engines for their load at the same time.
func (g *Gateway) askLoad(ctx context.Context, asked []registry.Instance, scouts *placement.ProbePlan) {
	ctx, cancel := context.WithTimeout(ctx, scoutTimeout)
	defer cancel()
	type result struct {
		in     registry.Instance
		report EngineReport
		ok     bool
	}
	results := make(chan result, len(asked))
	for _, c := range asked {
		go func() {
			report, ok := g.report(ctx, c, "")
			results <- result{c, report, ok}
		}()
	}
	now := time.Now()
	for range asked {
		res := <-results
		switch {
		case !res.ok:
			g.onBoard(func(b *placement.Tracker) { b.Failed(res.in, now) })
		case res.report.StartedMs != 0 && res.in.StartUnixMilli != 0 && res.report.StartedMs != res.in.StartUnixMilli:
			g.o.Logger.Info("upstream was replaced at its address", "upstream", res.in.ID, "address", res.in.Address,
				"born", res.report.StartedMs, "registered", res.in.StartUnixMilli)
			g.onBoard(func(b *placement.Tracker) { b.Replaced(res.in.ID, now) })
			go g.adopt(res.in)
		default:
			scouts.Answered(res.in)
		}
	}
}

// findCached returns the engine that keeps most of a prompt whose stream the
// client resumes: the engine that ran it has read the prompt already. The
// engines where the prompt would have been placed are asked first, then some
// others, where it may have been moved.
func (g *Gateway) findCached(ctx context.Context, r *request) (registry.Instance, bool) {
	if r.PromptPartID == "" {
		return registry.Instance{}, false
	}
	var likely, others []registry.Instance
	for _, c := range placement.ByAffinity(g.rank(r, nil), r.PromptPartID) {
		switch {
		case c.DataCentre == g.o.DataCentre && len(likely) < cacheScouts:
			likely = append(likely, c.Instance)
		case len(others) < moreCacheScouts:
			others = append(others, c.Instance)
		}
	}
	best, tokens := g.mostCached(ctx, r, likely)
	if tokens == 0 {
		best, tokens = g.mostCached(ctx, r, others)
	}
	g.o.Logger.Info("prompt looked up", "id", r.ID, "prompt", r.PromptPartID, "upstream", best.ID, "tokens", tokens)
	return best, tokens > 0
}

func (g *Gateway) mostCached(ctx context.Context, r *request, asked []registry.Instance) (registry.Instance, int) {
	ctx, cancel := context.WithTimeout(ctx, cacheTimeout)
	defer cancel()
	type result struct {
		in     registry.Instance
		tokens int
	}
	results := make(chan result, len(asked))
	for _, in := range asked {
		go func() { results <- result{in, g.cachedTokens(ctx, in, r.PromptPartID)} }()
	}
	var best result
	for range asked {
		if res := <-results; res.tokens > best.tokens {
			best = res
		}
	}
	return best.in, best.tokens
}

func (g *Gateway) cachedTokens(ctx context.Context, in registry.Instance, prompt string) int {
	body, err := g.ask(ctx, in, http.MethodGet, g.o.Protocol.CacheTarget(), nil)
	if err != nil {
		g.o.Logger.Info("cached prompts not read", "upstream", in.ID, "cause", err)
		return 0
	}
	tokens, err := g.o.Protocol.DecodeCachedTokens(body, prompt)
	if err != nil {
		g.o.Logger.Info("cached prompts cannot be read", "upstream", in.ID, "cause", err)
	}
	return tokens
}

// ask makes a call that needs no slot of an engine.
func (g *Gateway) ask(ctx context.Context, in registry.Instance, method, target string, request []byte) ([]byte, error) {
	body, _, err := g.askWithHeader(ctx, in, method, target, request)
	return body, err
}

func (g *Gateway) askWithHeader(ctx context.Context, in registry.Instance, method, target string, request []byte) ([]byte, http.Header, error) {
	header := http.Header{}
	if request != nil {
		header.Set("Content-Type", "application/json")
	}
	ans, err := g.o.Pool.Do(ctx, upstream.Request{
		Address: in.Address, Method: method, Target: target, Host: in.Address, Header: header, Body: request,
	})
	if err != nil {
		return nil, nil, err
	}
	defer ans.Body.Close()
	body, err := io.ReadAll(io.LimitReader(ans.Body, maxReportBytes))
	if err != nil {
		return nil, nil, eris.Wrap(err, "read the engine's answer")
	}
	if ans.Status != http.StatusOK {
		return nil, nil, eris.Errorf("engine answered %d", ans.Status)
	}
	return body, ans.Header, nil
}

// report asks an engine for its state. The board learns the load.
func (g *Gateway) report(ctx context.Context, in registry.Instance, id string) (EngineReport, bool) {
	body, err := g.ask(ctx, in, http.MethodGet, g.o.Protocol.ReportTarget(), nil)
	if err != nil {
		return EngineReport{Verdict: failover.Unreachable}, false
	}
	report, err := g.o.Protocol.DecodeReport(body, id)
	if err != nil {
		g.o.Logger.Info("report cannot be read", "upstream", in.ID, "cause", err)
		return EngineReport{Verdict: failover.Unknown}, false
	}
	now := time.Now()
	g.onBoard(func(b *placement.Tracker) { b.SetLoad(in.ID, report.Load, now) })
	return report, true
}

// probe asks an engine whether it still runs a stream.
func (g *Gateway) probe(ctx context.Context, in registry.Instance, id string, out chan<- failover.Verdict) {
	ctx, cancel := context.WithTimeout(ctx, g.o.Failover.ProbeTimeout)
	defer cancel()
	report, _ := g.report(ctx, in, id)
	if report.StartedMs != 0 && in.StartUnixMilli != 0 && report.StartedMs != in.StartUnixMilli {
		report.Verdict = failover.Idle
	}
	out <- report.Verdict
}
