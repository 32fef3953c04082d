package gateway

import (
	"sync"
	"time"

	"github.com/gooseberryroad/gooseberryroad/placement"
	"github.com/gooseberryroad/gooseberryroad/sizing"
)

// demandMeter counts what the streams of services with scaling ask of engines.
type demandMeter struct {
	mu    sync.Mutex
	meter *sizing.Meter
}

func (d *demandMeter) update(f func(*sizing.Meter)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.meter)
}

// Demand returns this daemon's counts for the daemons that order replicas.
func (g *Gateway) Demand(now time.Time) sizing.Message {
	g.demand.mu.Lock()
	defer g.demand.mu.Unlock()
	return g.demand.meter.Message(now)
}

// countDemand counts a stream that arrived, whether it is served or not.
func (g *Gateway) countDemand(r *request) {
	if r.sized {
		g.demand.update(func(m *sizing.Meter) { m.Arrived(r.service, r.PromptTokens, r.arrivedAt) })
	}
}

// measuredRun is a run of a stream that counts as demand; nil is one of a service without
// scaling.
type measuredRun struct {
	g           *Gateway
	r           *request
	sentAt      time.Time
	firstAt     time.Time
	littleAhead bool
}

// measureRun counts a run that is sent to an upstream. It must be called before the tracker
// counts the run.
func (s *stream) measureRun(upstream string, readsPrompt bool, now time.Time) *measuredRun {
	if !s.r.sized {
		return nil
	}
	m := &measuredRun{g: s.g, r: s.r, sentAt: now}
	if readsPrompt {
		// The engine may hold the prompt of a stream that its client resumes.
		s.g.withTracker(func(b *placement.Tracker) { m.littleAhead = s.r.LastEventID == 0 && b.LittleAhead(upstream) })
	} else {
		m.firstAt = now
	}
	s.g.demand.update(func(d *sizing.Meter) {
		if readsPrompt && s.runs > 1 {
			d.ReadAgain(s.r.service, s.r.PromptTokens, now)
		}
		d.Sent(s.r.service, now)
	})
	return m
}

// firstEvent records the first event of a run that reads its prompt.
func (m *measuredRun) firstEvent() {
	if m == nil {
		return
	}
	m.firstAt = time.Now()
	m.g.demand.update(func(d *sizing.Meter) {
		d.FirstEvent(m.r.service, m.r.PromptTokens, m.firstAt.Sub(m.sentAt), m.littleAhead, m.firstAt)
	})
}

// ended records the end of the run.
func (m *measuredRun) ended() {
	if m == nil {
		return
	}
	now, output := time.Now(), time.Duration(0)
	if !m.firstAt.IsZero() {
		output = now.Sub(m.firstAt)
	}
	m.g.demand.update(func(d *sizing.Meter) { d.Ended(m.r.service, output, now) })
}
