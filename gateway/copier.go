package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/gooseberryroad/gooseberryroad/placement"
	"github.com/gooseberryroad/gooseberryroad/registry"
)

const (
	// copyLookEvery is how often a stream looks whether its copy is still there.
	copyLookEvery = 300 * time.Millisecond
	// recopyEvery is the pause between two calls that bring a copy up to date.
	// Engines keep a copy for about 4 s after the last call.
	recopyEvery = 1500 * time.Millisecond
	// copyTimeout bounds one call; a whole prompt takes some 20 ms.
	copyTimeout = time.Second
)

// copier keeps a copy of a run's memory when the engine that received it is
// lost: an engine sends a run's memory by itself only to the place that was
// named at the start.
type copier struct {
	s *stream
	// manual says that the copy is made by calls.
	manual bool
	busy   bool
	last   time.Time
}

// copyResult is the outcome of one call.
type copyResult struct {
	to     registry.Instance
	handle string
	err    error
}

// look starts a call when the run has lost its copy or the copy has to be
// brought up to date.
func (c *copier) look(ctx context.Context, p *place, out chan<- copyResult) {
	s := c.s
	if c.busy || s.r.engine == nil || !s.r.engine.Backups || !s.r.route.Resumable || s.after == 0 {
		return
	}
	now := time.Now()
	present := p.copyTo.ID != "" && s.g.present(p.copyTo, now)
	if present && !c.manual || now.Sub(c.last) < recopyEvery {
		return
	}
	to := p.copyTo
	if !present {
		s.state.SetCopied(false)
		next, ok := s.copyTarget(p.in)
		s.g.o.Logger.Info("copy lost", "id", s.r.ID, "upstream", p.in.ID, "copy", p.copyTo.ID, "next", next.ID)
		c.end(*p)
		p.copyTo, p.handle = registry.Instance{}, ""
		if !ok {
			return
		}
		to = next
	}
	c.manual, c.busy, c.last = true, true, now
	go func() { out <- s.g.copyRun(ctx, s.r, p.in, to) }()
}

// done takes the outcome of a call.
func (c *copier) done(p *place, r copyResult) {
	c.busy = false
	if r.err != nil {
		c.s.g.o.Logger.Info("run not copied", "id", c.s.r.ID, "upstream", p.in.ID, "copy", r.to.ID, "cause", r.err)
		p.copyTo, p.handle = registry.Instance{}, ""
		c.s.state.SetCopied(false)
		return
	}
	p.copyTo, p.handle = r.to, r.handle
	c.s.state.SetCopied(true)
}

// end frees the copy of a run that no longer needs it: held memory that serves
// no request keeps others out.
func (c *copier) end(p place) {
	if p.handle == "" {
		return
	}
	go c.s.g.freeCopy(c.s.r, p.in, p.handle)
}

func (g *Gateway) freeCopy(r *request, at registry.Instance, handle string) {
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	if _, err := g.ask(ctx, at, http.MethodDelete, g.o.Protocol.FreeTarget(handle), nil); err != nil {
		g.o.Logger.Info("copy not freed; the engine drops it by itself", "id", r.ID, "upstream", at.ID, "cause", err)
	}
}

// copyTarget chooses an engine outside the run's data centre.
func (s *stream) copyTarget(in registry.Instance) (registry.Instance, bool) {
	p := s.withCopy(place{in: in}, s.g.rank(s.r, map[string]bool{in.ID: true}))
	return p.copyTo, p.copyTo.ID != ""
}

// registered reports whether an upstream may get work: it is registered as it
// was, and not leaving.
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

// present reports whether an upstream is registered and has not failed lately.
func (g *Gateway) present(in registry.Instance, now time.Time) bool {
	lost := false
	g.onBoard(func(b *placement.Tracker) { lost = b.FailedOrReplaced(in.ID, now) })
	return !lost && g.registered(in)
}

// copyRun asks the run's engine to copy its memory.
func (g *Gateway) copyRun(ctx context.Context, r *request, from, to registry.Instance) copyResult {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	target, body := g.o.Protocol.CopyRequest(r.ID, to.Address)
	answer, err := g.ask(ctx, from, http.MethodPost, target, body)
	if err != nil {
		return copyResult{to: to, err: err}
	}
	handle, err := g.o.Protocol.DecodeCopyHandle(answer)
	return copyResult{to: to, handle: handle, err: err}
}
