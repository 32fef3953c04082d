package gateway

import (
	"time"

	"github.com/gooseberryroad/gooseberryroad/cutover"
	"github.com/gooseberryroad/gooseberryroad/directory"
	"github.com/gooseberryroad/gooseberryroad/registry"
)

// updateCutovers takes the cutover orders, their status and the evidence of
// other daemons from a view. The caller holds g.mu.
func (g *Gateway) updateCutovers(v *directory.View, now time.Time) {
	for service := range g.cutovers {
		if _, ok := v.Cutovers[service]; !ok {
			delete(g.cutovers, service)
		}
	}
	for service, seen := range v.Cutovers {
		c := g.cutovers[service]
		if c == nil || c.Order() != seen.Order {
			c = cutover.New(seen.Order, g.rnd.Float64(), now)
			g.cutovers[service] = c
		}
		c.SetStatus(seen.Status)
		for daemon, e := range seen.Evidence {
			if daemon != g.o.Name {
				g.withVerdictLogged(c, func() { c.SetEvidence(daemon, e, now) })
			}
		}
	}
}

// withVerdictLogged calls f, which changes the cutover, and logs if the target
// version is found bad by it.
func (g *Gateway) withVerdictLogged(c *cutover.Cutover, f func()) {
	before := c.BadRoute()
	f()
	if before == "" && c.BadRoute() != "" {
		g.o.Logger.Warn("target version of a cutover is bad", "service", c.Order().Service, "version", c.Order().Target, "route", c.BadRoute(),
			"state", c.State(), "outcomes", c.Outcomes())
	}
}

// PendingWrite is a status or evidence to write to the store for a service.
type PendingWrite struct {
	Service string
	Target  string
	cutover.Write
	// Outcomes describes the evidence of all daemons; Requests and TargetRequests
	// are the numbers that this daemon served since the order.
	Outcomes                 string
	Requests, TargetRequests int
}

// PendingCutoverWrites returns what has to be written to the store now. The
// function rank returns the position of this daemon among all daemons for a
// service.
func (g *Gateway) PendingCutoverWrites(rank func(service string) int) []PendingWrite {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []PendingWrite
	for service, c := range g.cutovers {
		w := c.NextWrite(time.Now(), rank(service))
		if w.State != "" || w.Evidence != nil {
			p := PendingWrite{Service: service, Target: c.Order().Target, Write: w, Outcomes: c.Outcomes()}
			p.Requests, p.TargetRequests = c.RequestsSeen()
			out = append(out, p)
		}
	}
	return out
}

// RecordCutoverWrite notes whether the store accepted a pending write.
func (g *Gateway) RecordCutoverWrite(w PendingWrite, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.cutovers[w.Service]
	switch {
	case c == nil:
		// The order was removed in the meantime.
	case ok:
		c.WriteSucceeded()
	default:
		c.WriteFailed(time.Now(), w.Evidence != nil)
	}
}

// chooseVersion decides whether a request goes to the version to which its
// service is being moved.
func (g *Gateway) chooseVersion(r *request) {
	daemons := g.o.Directory.View().Daemons
	g.mu.Lock()
	defer g.mu.Unlock()
	if c := g.cutovers[r.service]; c != nil {
		r.useTargetVersion = c.Choose(g.rnd.Float64(), time.Now(), daemons)
	}
}

// ofVersion returns the upstreams that run the version chosen for the request.
// The caller holds g.mu.
func (g *Gateway) ofVersion(r *request, all []registry.Instance) []registry.Instance {
	c := g.cutovers[r.service]
	if c == nil {
		return all
	}
	var target, others []registry.Instance
	for _, in := range all {
		if in.Version == c.Order().Target {
			target = append(target, in)
		} else {
			others = append(others, in)
		}
	}
	bad := c.Share(time.Now()) == 0
	switch {
	case c.State() == cutover.Completed && len(target) > 0:
		return target
	case c.State() == cutover.Completed:
		return others
	case r.useTargetVersion && !bad && len(target) > 0:
		return target
	default:
		return others
	}
}

// usualLatencyWeight is the weight of the newest response in the moving average
// of a route's latency.
const usualLatencyWeight = 0.1

// recordOutcome tells the service's cutover how an attempt went: whether it
// failed, and how long it took to the complete response or the first event.
// Successful attempts at other versions than the target also update the usual
// latency of the route.
func (g *Gateway) recordOutcome(r *request, in registry.Instance, failed bool, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	usual := g.usualLatency[r.route.Name]
	c := g.cutovers[r.service]
	if c != nil {
		bad := failed || cutover.IsSlow(took, usual)
		countCutoverOutcome(in.Version == c.Order().Target, bad)
		g.withVerdictLogged(c, func() { c.RecordOutcome(r.route.Name, in.Version, bad, time.Now()) })
	}
	if failed || c != nil && in.Version == c.Order().Target {
		return
	}
	if usual == 0 {
		usual = took
	}
	g.usualLatency[r.route.Name] = usual + time.Duration(usualLatencyWeight*float64(took-usual))
}

// firstEventOverdue reports whether a stream that was sent to the target
// version of a cutover has waited several times longer than usual for its first
// event. Such a stream counts as bad before the event arrives.
func (g *Gateway) firstEventOverdue(r *request, in registry.Instance, waited time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.cutovers[r.service]
	return c != nil && in.Version == c.Order().Target && cutover.IsSlow(waited, g.usualLatency[r.route.Name])
}
