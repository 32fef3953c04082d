package gateway

import (
	"time"

	"github.com/gooseberryroad/gooseberryroad/cutover"
	"github.com/gooseberryroad/gooseberryroad/directory"
	"github.com/gooseberryroad/gooseberryroad/registry"
)

// followCutovers takes the orders of a view. The lock is held.
func (g *Gateway) followCutovers(v *directory.View, now time.Time) {
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
				g.judged(c, func() { c.SetEvidence(daemon, e, now) })
			}
		}
	}
}

// judged runs f and logs the verdict that it brings.
func (g *Gateway) judged(c *cutover.Cutover, f func()) {
	before := c.BadRoute()
	f()
	if before == "" && c.BadRoute() != "" {
		g.o.Logger.Warn("version is bad", "service", c.Order().Service, "version", c.Order().Target, "route", c.BadRoute())
	}
}

// Due is a status or evidence to write for a service.
type PendingWrite struct {
	Service string
	Target  string
	cutover.Write
}

// CutoversDue returns what has to be written now; rank is this daemon's place
// among the daemons for a service.
func (g *Gateway) PendingCutoverWrites(rank func(service string) int) []PendingWrite {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []PendingWrite
	for service, c := range g.cutovers {
		w := c.NextWrite(time.Now(), rank(service))
		if w.State != "" || w.Evidence != nil {
			out = append(out, PendingWrite{Service: service, Target: c.Order().Target, Write: w})
		}
	}
	return out
}

// CutoverWritten notes whether the store took what was due for a service.
func (g *Gateway) RecordCutoverWrite(d PendingWrite, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.cutovers[d.Service]
	switch {
	case c == nil:
		// The order was removed meanwhile.
	case ok:
		c.WriteSucceeded()
	default:
		c.WriteFailed(time.Now(), d.Evidence != nil)
	}
}

// chooseVersion decides whether a request goes to the version that is moved in.
func (g *Gateway) chooseVersion(r *request) {
	daemons := g.o.Directory.View().Daemons
	g.mu.Lock()
	defer g.mu.Unlock()
	if c := g.cutovers[r.service]; c != nil {
		r.onTarget = c.Choose(g.rnd.Float64(), time.Now(), daemons)
	}
}

// ofVersion returns the upstreams of the request's version. The lock is held.
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
	case r.onTarget && !bad && len(target) > 0:
		return target
	default:
		return others
	}
}

// usualGain is the weight of the newest answer in the usual latency.
const usualGain = 0.1

// outcome tells the service's cutover how a request went at an upstream: failed,
// or how long it took to the whole answer or the first event.
func (g *Gateway) outcome(r *request, in registry.Instance, failed bool, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	usual := g.usual[r.route.Name]
	c := g.cutovers[r.service]
	if c != nil {
		g.judged(c, func() { c.RecordOutcome(r.route.Name, in.Version, failed || cutover.IsSlow(took, usual), time.Now()) })
	}
	if failed || c != nil && in.Version == c.Order().Target {
		return
	}
	if usual == 0 {
		usual = took
	}
	g.usual[r.route.Name] = usual + time.Duration(usualGain*float64(took-usual))
}

// overdue reports whether a stream to the version that is moved in waits several
// times longer than usual for its first event, so that this counts as bad before
// the event arrives.
func (g *Gateway) overdue(r *request, in registry.Instance, waited time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.cutovers[r.service]
	return c != nil && in.Version == c.Order().Target && cutover.IsSlow(waited, g.usual[r.route.Name])
}
