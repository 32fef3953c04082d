package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/failover"
	"github.com/gooseberryroad/gooseberryroad/internal/bounds"
	"github.com/gooseberryroad/gooseberryroad/internal/pause"
	"github.com/gooseberryroad/gooseberryroad/placement"
	"github.com/gooseberryroad/gooseberryroad/registry"
	"github.com/gooseberryroad/gooseberryroad/upstream"
)

const (
	// copyCheckInterval is how often a stream checks whether its copy is still
	// available.
	copyCheckInterval = 300 * time.Millisecond
	// recopyInterval is the pause between two calls that bring a copy up to date.
	// Engines keep a copy for about 4 s after the last call.
	recopyInterval = 1500 * time.Millisecond
	// copyTimeout bounds one call; copying the KV cache of a whole prompt takes
	// about 20 ms.
	copyTimeout = time.Second
)

// copier keeps a copy of a run's KV cache available when the engine that
// received it is lost. Without calls, an engine sends the KV cache of a run
// only to the engine that was named when the run started.
type copier struct {
	s *stream
	// copyByCalls says that the copy is made and kept up to date by calls of the
	// gateway.
	copyByCalls bool
	callRunning bool
	lastCallAt  time.Time
}

// copyResult is the result of one copy call.
type copyResult struct {
	to     registry.Instance
	handle string
	err    error
}

// check starts a copy call if the run has lost its copy, or if a copy that is
// made by copy calls has to be brought up to date.
func (c *copier) check(ctx context.Context, p *assignment, out chan<- copyResult) {
	s := c.s
	if c.callRunning || s.r.engine == nil || !s.r.engine.Backups || !s.r.route.Resumable || s.lastEventID == 0 {
		return
	}
	now := time.Now()
	if s.g.paused(p.upstream, now) {
		return
	}
	present := p.copyTo.ID != "" && s.g.available(p.copyTo, now)
	if present && !c.copyByCalls || now.Sub(c.lastCallAt) < recopyInterval {
		return
	}
	to := p.copyTo
	if !present {
		s.state.SetCopied(false)
		next, ok := s.chooseCopyTarget(p.upstream)
		if p.copyTo.ID != "" || ok || s.search == nil {
			s.g.o.Logger.Info("copy lost", "id", s.r.ID, "upstream", p.upstream.ID, "copy", p.copyTo.ID, "next", next.ID)
		}
		c.free(*p)
		p.copyTo, p.copyHandle = registry.Instance{}, ""
		if !ok {
			if s.search != nil {
				// No engine has room for a copy, which does not change within one check.
				c.lastCallAt = now
			}
			return
		}
		to = next
	}
	c.copyByCalls, c.callRunning, c.lastCallAt = true, true, now
	// The stream may go on elsewhere before the call begins.
	from := p.upstream
	go func() { out <- s.g.copyRun(ctx, s.r, from, to) }()
}

// recordResult records the result of a copy call in the assignment.
func (c *copier) recordResult(p *assignment, r copyResult) {
	c.callRunning = false
	if r.err != nil {
		c.s.g.o.Logger.Info("run not copied", "id", c.s.r.ID, "upstream", p.upstream.ID, "copy", r.to.ID, "cause", r.err)
		p.copyTo, p.copyHandle = registry.Instance{}, ""
		c.s.state.SetCopied(false)
		return
	}
	p.copyTo, p.copyHandle = r.to, r.handle
	c.s.state.SetCopied(true)
}

// free frees a copy that was made by copy calls once the run no longer needs it,
// because the memory that it takes keeps requests out of the engine.
func (c *copier) free(p assignment) {
	if p.copyHandle == "" {
		return
	}
	go c.s.g.freeCopy(c.s.r.ID, p.upstream, p.copyHandle)
}

func (g *Gateway) freeCopy(id string, at registry.Instance, handle string) {
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	if _, err := g.ask(ctx, at, controlCall{method: http.MethodDelete, target: g.o.Protocol.FreeCopyTarget(handle), attemptID: id}); err != nil {
		g.o.Logger.Info("copy not freed; the engine will drop it by itself", "id", id, "upstream", at.ID, "cause", err)
	}
}

const (
	// stopTimeout bounds the calls that stop a run. They wait behind other copies.
	stopTimeout = 500 * time.Millisecond
	// stopRetryPause is the pause before such a call is repeated because the engine still
	// copies the run.
	stopRetryPause = 50 * time.Millisecond
)

// ResumeChain returns what follows on the silence of an engine that runs a stream, does not
// report its runs and cannot be reached to stop it, until the stream is sent to the next
// engine; dialTimeout is that of the connections to engines. The engine's time to the next
// event comes in addition. An engine that is down is noticed far sooner, by its probe.
func ResumeChain(o failover.Options, dialTimeout time.Duration) bounds.Chain {
	return bounds.Chain{Promise: "resumed streams", Bound: maxContinueWait, Links: []bounds.Link{
		{Name: "silence", Longest: o.GapTimeout},
		{Name: "stop of the run", Longest: stopTimeout},
		{Name: "load query", Longest: loadQueryTimeout},
		{Name: "connection", Longest: dialTimeout},
	}}
}

// stopRun stops a run at an engine that can be reached although the run's connection is
// dead: closing the connection would not stop it, and the run would go on beside the next
// one. It reports whether the run was stopped and its memory kept, and sets where the
// stream goes on.
func (s *stream) stopRun(ctx context.Context, p *assignment) bool {
	to, ok := s.stopTarget(*p)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	resp, handle, err := s.g.callStop(ctx, s.r.ID, p.upstream, to)
	if err != nil {
		s.g.o.Logger.Info("run not stopped", "id", s.r.ID, "upstream", p.upstream.ID, "cause", err)
		return false
	}
	if resp.Status != http.StatusOK {
		// The run was stopped and not copied; its engine kept the memory.
		to = p.upstream
	}
	s.g.o.Logger.Info("run stopped", "id", s.r.ID, "upstream", p.upstream.ID, "next", to.ID, "after", s.lastEventID)
	p.copyTo, p.copyHandle = to, handle
	return true
}

// stopTarget returns the engine that gets the memory of a run that is stopped; false if there
// is none.
func (s *stream) stopTarget(p assignment) (registry.Instance, bool) {
	if p.copyTo.ID != "" && s.g.available(p.copyTo, time.Now()) {
		return p.copyTo, true
	}
	// The run has to end before another one begins, also where a copy finds no room.
	ranked := s.g.rank(s.r, map[string]bool{p.upstream.ID: true})
	next := s.withAnyCopyTarget(assignment{upstream: p.upstream}, ranked).copyTo
	if next.ID == "" && s.copiesMemory() && len(ranked) > 0 {
		// It has to end, too, where all other engines are in the same data centre or pause.
		next = ranked[0].Instance
	}
	return next, next.ID != ""
}

// callStop stops the run of an attempt. It returns an error that wraps errRunUnknown if the
// engine answers and has no such run.
func (g *Gateway) callStop(ctx context.Context, id string, at, to registry.Instance) (*upstream.Response, string, error) {
	// Other open connections may be as dead as that of the run.
	stop := controlCall{method: http.MethodPost, attemptID: id, maxIdle: forceNewConnection}
	stop.target, stop.body = g.o.Protocol.StopRequest(id, to.Address)
	for {
		resp, body, err := g.call(ctx, at, stop)
		if err == nil && resp.Status == http.StatusConflict && pause.For(ctx, stopRetryPause) {
			continue
		}
		if err != nil {
			return nil, "", err
		}
		handle, err := g.o.Protocol.DecodeCopyHandle(body)
		if err != nil {
			return nil, "", eris.Wrapf(errRunUnknown, "status %d: %v", resp.Status, err)
		}
		return resp, handle, nil
	}
}

// chooseCopyTarget chooses an engine outside the data centre of the run's
// engine.
func (s *stream) chooseCopyTarget(in registry.Instance) (registry.Instance, bool) {
	p := s.withCopyTarget(assignment{upstream: in}, s.g.rank(s.r, map[string]bool{in.ID: true}))
	return p.copyTo, p.copyTo.ID != ""
}

// registered reports whether an upstream may get work: it is still registered,
// has not restarted and is not leaving.
func (g *Gateway) registered(in registry.Instance) bool {
	all := g.o.Directory.View().Upstreams[in.Service]
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, known := range g.adopted.Apply(all) {
		if known.ID == in.ID && known.StartUnixMilli == in.StartUnixMilli {
			return true
		}
	}
	return false
}

// available reports whether an upstream is registered and has neither failed
// lately nor been replaced at its address.
func (g *Gateway) available(in registry.Instance, now time.Time) bool {
	lost := false
	g.withTracker(func(b *placement.Tracker) { lost = b.FailedOrReplaced(in.ID, now) })
	return !lost && !g.withdrawn(in, now) && g.registered(in)
}

// withdrawn reports whether an upstream gets no work at its own request.
func (g *Gateway) withdrawn(in registry.Instance, now time.Time) bool {
	reason := placement.NoNotice
	g.withTracker(func(b *placement.Tracker) { reason, _ = b.Notice(in, now) })
	return reason != placement.NoNotice
}

// paused reports whether an upstream asked for a pause that has not ended.
func (g *Gateway) paused(in registry.Instance, now time.Time) bool {
	reason := placement.NoNotice
	g.withTracker(func(b *placement.Tracker) { reason, _ = b.Notice(in, now) })
	return reason == placement.NoticePause
}

// copyRun asks the engine of a run to copy the run's KV cache to another
// engine.
func (g *Gateway) copyRun(ctx context.Context, r *request, from, to registry.Instance) copyResult {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	copyCall := controlCall{method: http.MethodPost, attemptID: r.ID}
	copyCall.target, copyCall.body = g.o.Protocol.CopyRequest(r.ID, to.Address)
	answer, err := g.ask(ctx, from, copyCall)
	if err != nil {
		return copyResult{to: to, err: err}
	}
	handle, err := g.o.Protocol.DecodeCopyHandle(answer)
	return copyResult{to: to, handle: handle, err: err}
}
