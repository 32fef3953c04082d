package gateway

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gooseberryroad/gooseberryroad/cutover"
	"github.com/gooseberryroad/gooseberryroad/directory"
	"github.com/gooseberryroad/gooseberryroad/membership"
	"github.com/gooseberryroad/gooseberryroad/registry"
)

// updateCutovers takes the cutover orders, their status and the evidence of
// other daemons from a view. The caller holds g.mu.
func (g *Gateway) updateCutovers(v *directory.View, now time.Time) {
	for service, c := range g.cutovers {
		if seen, ok := v.Cutovers[service]; !ok || c.Order() != seen.Order {
			g.keepVerdict(c)
		}
		if _, ok := v.Cutovers[service]; !ok {
			delete(g.cutovers, service)
		}
	}
	g.updateRejected(v)
	for service, seen := range v.Cutovers {
		c := g.cutovers[service]
		if c == nil || c.Order() != seen.Order {
			c = cutover.New(seen.Order, g.meter(service).Traffic(now), g.rnd.Float64(), now)
			g.cutovers[service] = c
			g.withVerdictLogged(c, func() { c.Resume(seen.Evidence[g.o.Name], now) })
		}
		if v.Table != nil {
			c.RetainRoutes(func(route string) bool { return v.Table.Sends(route, service) })
		}
		c.SetStatus(seen.Status)
		for daemon, e := range seen.Evidence {
			if daemon != g.o.Name {
				g.withVerdictLogged(c, func() { c.SetEvidence(daemon, e, now) })
			}
		}
	}
}

// keepVerdict notes the target of an order that is replaced or removed, if it was found
// bad. The caller holds g.mu.
func (g *Gateway) keepVerdict(c *cutover.Cutover) {
	if !c.Stopped() {
		return
	}
	o := c.Order()
	if g.verdicts[o.Service] == nil {
		g.verdicts[o.Service] = cutover.Rejected{}
	}
	g.verdicts[o.Service].Add(o.Target, o.Revision)
}

// updateRejected determines the versions that get no requests, from the verdicts of this
// daemon and from those in the store, which daemons need that start later. The caller holds
// g.mu.
func (g *Gateway) updateRejected(v *directory.View) {
	running := map[string]map[string]bool{}
	for _, in := range v.All {
		if running[in.Service] == nil {
			running[in.Service] = map[string]bool{}
		}
		running[in.Service][in.Version] = true
	}
	remaining := func(service string, versions cutover.Rejected) cutover.Rejected {
		return versions.Remaining(v.Cutovers[service].Order, func(version string) bool { return running[service][version] })
	}
	g.rejected = map[string]cutover.Rejected{}
	for service, versions := range g.verdicts {
		g.verdicts[service] = remaining(service, versions)
		g.rejected[service] = maps.Clone(g.verdicts[service])
	}
	for service, versions := range v.Rejected {
		if g.rejected[service] == nil {
			g.rejected[service] = cutover.Rejected{}
		}
		for version, order := range remaining(service, versions) {
			g.rejected[service].Add(version, order)
		}
	}
	g.rejectedInStore = v.Rejected
	g.unconfirmed = map[string]bool{}
	for service, seen := range v.Cutovers {
		g.unconfirmed[service] = seen.Unconfirmed
	}
}

// withVerdictLogged calls f, which changes the cutover, and logs if the target
// version is found bad by it.
func (g *Gateway) withVerdictLogged(c *cutover.Cutover, f func()) {
	before := c.BadRoute()
	f()
	if before == "" && c.BadRoute() != "" {
		g.o.Logger.Warn("target version of a cutover is bad", "service", c.Order().Service, "version", c.Order().Target, "route", c.BadRoute(),
			"state", c.State(), "outcomes", c.Outcomes(time.Now()))
	}
}

// PendingWrite is a status or evidence to write to the store for a service.
type PendingWrite struct {
	Service string
	Target  string
	cutover.Write
	// Outcomes describes the evidence of all daemons, and Unexamined holds the routes
	// on which it does not suffice. Requests and TargetRequests are the numbers that
	// this daemon served since the order.
	Outcomes                 string
	Unexamined               []string
	Requests, TargetRequests int
	// Rejected holds the versions that are reverted once the status is written; nil if the
	// store holds these already.
	Rejected cutover.Rejected
}

// PendingCutoverWrites returns what has to be written to the store now. The
// function rank returns the position of this daemon among all daemons for a
// service.
func (g *Gateway) PendingCutoverWrites(rank func(service string) int) []PendingWrite {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []PendingWrite
	now := time.Now()
	for service, c := range g.cutovers {
		w := c.NextWrite(now, rank(service))
		if g.unconfirmed[service] {
			w.State = ""
		}
		if w.State != "" || w.Evidence != nil {
			p := PendingWrite{Service: service, Target: c.Order().Target, Write: w, Outcomes: c.Outcomes(now), Unexamined: c.Unexamined(now)}
			p.Requests, p.TargetRequests = c.RequestsSeen()
			rejected := g.rejected[service].After(c.Order(), w.State)
			// A store that lost the status may have lost the reverted versions, too.
			if !maps.Equal(rejected, g.rejectedInStore[service]) || c.StatusLost() && len(rejected) > 0 {
				p.Rejected = rejected
			}
			out = append(out, p)
		}
	}
	return out
}

// PublishAgain makes everything due that this daemon has published under its lease, because
// the store lost it when it was restored from an older copy.
func (g *Gateway) PublishAgain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.cutovers {
		c.PublishAgain()
	}
	g.crashes.PublishAgain()
	g.partCrashes.PublishAgain()
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

// meter returns the meter of a service's requests. The caller holds g.mu.
func (g *Gateway) meter(service string) *cutover.Meter {
	m := g.meters[service]
	if m == nil {
		m = &cutover.Meter{}
		g.meters[service] = m
	}
	return m
}

// chooseVersion decides whether a request goes to the version to which its
// service is being moved.
func (g *Gateway) chooseVersion(r *request) {
	view := g.o.Directory.View()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.meter(r.service).Request(r.route.Name, now)
	c := g.cutovers[r.service]
	if c == nil {
		return
	}
	target, _ := splitByVersion(view.Upstreams[r.service], c.Order().Target)
	f := g.cutoverFleet(r, target)
	f.Daemons = view.Daemons
	r.useTargetVersion = c.Choose(r.route.Name, g.rnd.Float64(), now, f)
}

// cutoverFleet returns what a cutover has to know of the upstreams that run its
// target. The caller holds g.mu.
func (g *Gateway) cutoverFleet(r *request, target []registry.Instance) cutover.Fleet {
	f := cutover.Fleet{Targets: len(target)}
	for _, in := range target {
		f.Slots += in.Slots
	}
	if r.engine == nil {
		// The latency of a stream ends with its first event.
		f.Latency = g.usualLatency
	}
	return f
}

func splitByVersion(all []registry.Instance, version string) (same, others []registry.Instance) {
	for _, in := range all {
		if in.Version == version {
			same = append(same, in)
		} else {
			others = append(others, in)
		}
	}
	return same, others
}

// ofVersion returns the upstreams that run the version chosen for the request, without
// those whose version was reverted. A service of which no others are left has none,
// unless its order was removed. The caller holds g.mu.
func (g *Gateway) ofVersion(r *request, all []registry.Instance) []registry.Instance {
	sound := all
	if rejected := g.rejected[r.service]; len(rejected) > 0 {
		sound = slices.DeleteFunc(slices.Clone(all), func(in registry.Instance) bool { return rejected.Has(in.Version) })
	}
	c := g.cutovers[r.service]
	switch {
	case c == nil && len(sound) == 0:
		return all
	case c == nil:
		return sound
	}
	all = sound
	target, others := splitByVersion(all, c.Order().Target)
	switch {
	case c.State() == cutover.Completed && len(target) > 0:
		return target
	case c.State() == cutover.Completed:
		return others
	case r.useTargetVersion && !c.Stopped() && len(target) > 0:
		return firstByRendezvous(r.service, target, c.UsableTargets(g.cutoverFleet(r, target), time.Now()))
	default:
		return others
	}
}

// firstByRendezvous returns n of a service's upstreams, the same ones at all daemons.
func firstByRendezvous(service string, upstreams []registry.Instance, n int) []registry.Instance {
	if n >= len(upstreams) {
		return upstreams
	}
	slices.SortFunc(upstreams, func(a, b registry.Instance) int {
		return cmp.Compare(membership.RendezvousWeight(service, b.ID), membership.RendezvousWeight(service, a.ID))
	})
	return upstreams[:n]
}

// usualLatencyWeight is the weight of the newest response in the moving average
// of a route's latency.
const usualLatencyWeight = 0.1

// recordSent notes that an attempt at an upstream began; recordSettled has to
// follow.
func (g *Gateway) recordSent(r *request, in registry.Instance, began time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c := g.cutovers[r.service]; c != nil {
		c.Sent(r.route.Name, in.Version, began)
	}
}

// recordSettled notes that the outcome of an attempt was recorded or that it has
// none.
func (g *Gateway) recordSettled(r *request, in registry.Instance, began time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c := g.cutovers[r.service]; c != nil {
		c.Settled(r.route.Name, in.Version, began)
	}
}

// recordOutcome tells the service's cutover how an attempt went: whether it
// failed, and how long it took to the complete response or the first event.
// Successful attempts at other versions than the target also update the usual
// latency of the route.
func (g *Gateway) recordOutcome(r *request, in registry.Instance, failed bool, began time.Time) {
	now := time.Now()
	took := now.Sub(began)
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.cutovers[r.service]
	bad := failed || g.isSlow(r, took)
	if g.rejected[r.service].Has(in.Version) {
		// It says nothing of the versions to which a target is compared.
		return
	}
	if c == nil {
		g.meter(r.service).Outcome(r.route.Name, bad, now)
	} else {
		countCutoverOutcome(in.Version == c.Order().Target, bad)
		g.withVerdictLogged(c, func() { c.RecordOutcome(r.route.Name, in.Version, bad, began, now) })
	}
	if failed || c != nil && in.Version == c.Order().Target {
		return
	}
	usual := g.usualLatency[r.route.Name]
	if usual == 0 {
		usual = took
	}
	g.usualLatency[r.route.Name] = usual + time.Duration(usualLatencyWeight*float64(took-usual))
}

// leaveTrial makes a request that got no answer from an upstream of a target on trial
// use the other versions from then on.
func (g *Gateway) leaveTrial(r *request, in registry.Instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c := g.cutovers[r.service]; c != nil && in.Version == c.Order().Target {
		r.useTargetVersion = false
	}
}

// isSlow reports whether a response that took this long, or is awaited for this
// long, is slow for the request's route. While the usual latency is not known, it is
// slow beyond the route's objective. The caller holds g.mu.
func (g *Gateway) isSlow(r *request, took time.Duration) bool {
	if usual := g.usualLatency[r.route.Name]; usual > 0 {
		return cutover.IsSlow(took, usual)
	}
	return r.route.TargetLatency > 0 && took > r.route.TargetLatency
}

// firstEventOverdue reports whether a stream that was sent to the target
// version of a cutover has waited several times longer than usual for its first
// event. Such a stream counts as bad before the event arrives.
func (g *Gateway) firstEventOverdue(r *request, in registry.Instance, waited time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.cutovers[r.service]
	return c != nil && in.Version == c.Order().Target && g.isSlow(r, waited)
}
