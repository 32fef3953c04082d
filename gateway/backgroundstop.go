package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/gooseberryroad/gooseberryroad/internal/pause"
	"github.com/gooseberryroad/gooseberryroad/registry"
	"github.com/gooseberryroad/gooseberryroad/upstream"
)

// errRunUnknown reports that an engine answered and does not run an attempt.
var errRunUnknown = errors.New("engine does not run the attempt")

const (
	// backgroundStopTime is how long a run is tried to be stopped that its stream has left. A healthy
	// engine may be silent for about a second, and reads a long prompt in about a second.
	backgroundStopTime = 3 * time.Second
	// abandonedStopTime is the same for a run whose client has left. The client may resume its
	// stream through another daemon under the same ID, and the call would stop that run.
	abandonedStopTime = 400 * time.Millisecond
	// backgroundStopPause is the pause between two tries. Two engines may work on a stream for 400 ms
	// once the first of them can be reached.
	backgroundStopPause = 250 * time.Millisecond
)

// backgroundStop is a run that is being stopped in the background.
type backgroundStop struct {
	cancel context.CancelFunc
	ended  chan struct{}
}

// backgroundStopKey identifies a run by what the call that stops it names: the client's attempt and the
// address of the engine. A client resumes its stream under the same ID, and an engine that has
// restarted has another ID at the same address.
type backgroundStopKey struct{ attempt, address string }

// stopInBackground stops a run that its stream has left without the engine's answer. The engine may have
// missed that the connection was closed, and may be reachable again in a moment: it is tried for
// the time limit.
func (s *stream) stopInBackground(p assignment, limit time.Duration) {
	to, ok := s.stopTarget(p)
	if !ok {
		return
	}
	g, id := s.g, s.r.ID
	key := backgroundStopKey{id, p.upstream.Address}
	g.endBackgroundStop(key)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	begun := backgroundStop{cancel: cancel, ended: make(chan struct{})}
	listed := s.runEvents > 0
	g.mu.Lock()
	g.backgroundStops[key] = begun
	g.mu.Unlock()
	go func() {
		defer close(begun.ended)
		defer cancel()
		g.stopLeftRun(ctx, id, p.upstream, to, listed)
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.backgroundStops[key].ended == begun.ended {
			delete(g.backgroundStops, key)
		}
	}()
}

// endBackgroundStop ends the tries to stop an earlier run at an engine, which would stop the next run
// of the same attempt there.
func (g *Gateway) endBackgroundStop(key backgroundStopKey) {
	g.mu.Lock()
	begun, ok := g.backgroundStops[key]
	g.mu.Unlock()
	if ok {
		begun.cancel()
		<-begun.ended
	}
}

// stopLeftRun tries to stop a run until its engine answers, nothing listens there or ctx ends.
// An engine does not know a run before its first event, so that it is asked again if the run
// was not listed.
func (g *Gateway) stopLeftRun(ctx context.Context, id string, at, to registry.Instance, listed bool) {
	for {
		try, cancel := context.WithTimeout(ctx, stopTimeout)
		_, handle, err := g.callStop(try, id, at, to)
		cancel()
		switch {
		case err == nil:
			g.o.Logger.Info("run stopped that its stream had left", "id", id, "upstream", at.ID)
			go g.freeCopy(id, at, handle)
			return
		case listed && errors.Is(err, errRunUnknown), errors.Is(err, upstream.ErrNotSent) && !errors.Is(err, upstream.ErrConnectTimeout):
			return
		case !pause.For(ctx, backgroundStopPause):
			g.o.Logger.Info("run not stopped that its stream had left", "id", id, "upstream", at.ID, "cause", err)
			return
		}
	}
}
