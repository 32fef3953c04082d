package gateway

import (
	"net/http"
	"slices"
	"time"

	"github.com/gooseberryroad/gooseberryroad/directory"
	"github.com/gooseberryroad/gooseberryroad/placement"
	"github.com/gooseberryroad/gooseberryroad/registry"
	"github.com/gooseberryroad/gooseberryroad/routes"
	"github.com/gooseberryroad/gooseberryroad/shedding"
)

// shedLogInterval is the least time between two log lines about the load of a service.
const shedLogInterval = time.Second

// serviceGate is the gate of one plain service with what is logged about it. It is guarded
// by the gateway's mutex.
type serviceGate struct {
	service string
	gate    *shedding.Gate
	// shed and turnedAway count the requests that were not sent and those that upstreams
	// turned away since the last log line.
	shed, turnedAway int
	// loggedAt is when a line was last logged; logged is set while the last line says that
	// requests are shed.
	loggedAt time.Time
	logged   bool
}

// gate returns the gate of a request; nil if it is served without one. The caller holds
// g.mu.
func (g *Gateway) gate(r *request, now time.Time) *serviceGate {
	if r.engine != nil || r.route.Kind == routes.Stream {
		return nil
	}
	if s := g.gates[r.service]; s != nil && s.gate.Active(now) {
		return s
	}
	return nil
}

// sheds reports whether a gate decides about a request.
func (g *Gateway) sheds(r *request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate(r, time.Now()) != nil
}

// shed refuses a request if the upstreams of its service have too much work for it.
func (g *Gateway) shed(r *request, table *routes.Table) *refusal {
	r.shedClass = shedding.Class{Priority: table.Priority(r.route, r.account), Repeatable: r.route.Repeatable()}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	s := g.gate(r, now)
	if s == nil {
		return nil
	}
	d := s.gate.Admit(shedding.Request{Class: r.shedClass, Route: r.route.Name, Account: r.account, TimeLeft: r.timeLeft(now)}, now)
	setSentPart(r.service, s.gate.SentShare(now))
	if !d.Send {
		s.shed++
		countShed(r.service, d.Reason)
	}
	g.logGate(s, now)
	if d.Send {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, code: codeOverloaded, retryAfter: d.RetryAfter}
}

// shedFull counts a request that found all upstreams full, and returns when its client comes
// again.
func (g *Gateway) shedFull(r *request) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	s := g.gate(r, now)
	if s == nil {
		return 0
	}
	s.shed++
	countShed(r.service, shedding.ReasonFull)
	g.logGate(s, now)
	return s.gate.RetryAfter(r.timeLeft(now))
}

// withoutFull returns the ranked upstreams without those that turned a request away a
// moment ago. turnedAway says that one of them turned this request away; it is then sent
// only where a place is likely to be free. giveUp is set if none is left and the request is
// not to wait for one.
func (g *Gateway) withoutFull(r *request, ranked []placement.Ranked, turnedAway bool) (left []placement.Ranked, giveUp bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	s := g.gate(r, now)
	if s == nil || len(ranked) == 0 && !turnedAway {
		return ranked, false
	}
	class := r.shedClass
	left = slices.DeleteFunc(ranked, func(u placement.Ranked) bool {
		return s.gate.LeftOut(u.ID, now) || turnedAway && !s.gate.MayRepeat(u.ID, class, now)
	})
	if !class.Repeatable || !s.gate.Shedding() {
		return left, false
	}
	if len(left) > 0 {
		// While requests are shed, an upstream that is back must not stay idle for the rest of
		// its pause. A request that may be repeated finds out.
		placement.ReconnectFirst(left)
	}
	return left, len(left) == 0
}

// recordLoad records the load that an upstream reports with an answer.
func (g *Gateway) recordLoad(r *request, in registry.Instance, head ResponseHead, now time.Time) {
	if head.Load == nil {
		return
	}
	table := g.o.Directory.View().Table
	g.mu.Lock()
	defer g.mu.Unlock()
	if head.Load.Pace == 0 {
		// Where loads are uneven, the report is older than the queue that it tells of, and
		// placement by it fills one upstream after the other. The gate uses it as evidence of
		// the load of all.
		g.tracker.SetLoad(in.ID, *head.Load, now)
	}
	if head.Misdirected || r.engine != nil || r.route.Kind == routes.Stream {
		return
	}
	// Operators who rank streams say that requests give way to each other where there is not
	// room for all; other deployments ask for it by upstreams that report a pace.
	needsPace := table == nil || !table.RanksStreams()
	if needsPace && head.Load.Pace <= 0 {
		return
	}
	s := g.gates[r.service]
	if s == nil {
		s = &serviceGate{service: r.service, gate: shedding.New(g.rnd)}
		setClasses(s, table)
		g.gates[r.service] = s
	}
	s.gate.SetNeedsPace(needsPace)
	s.gate.Load(in.ID, *head.Load, now)
	g.logGate(s, now)
}

// recordAnswerTime records how long an upstream took for a good answer.
func (g *Gateway) recordAnswerTime(r *request, in registry.Instance, head ResponseHead, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.gate(r, time.Now())
	if s == nil {
		return
	}
	s.gate.Accepted(in.ID)
	if head.Load != nil {
		s.gate.Answered(took, *head.Load)
	}
}

// recordFull records that an upstream turned a request away because it is full.
func (g *Gateway) recordFull(r *request, in registry.Instance, head ResponseHead, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.gate(r, now)
	if s == nil {
		return
	}
	s.turnedAway++
	s.gate.Refused(in.ID, head.Load, now)
	g.logGate(s, now)
}

// logGate logs the state of a gate while requests are shed and when all are sent again, at
// most one line each shedLogInterval. The caller holds g.mu.
func (g *Gateway) logGate(s *serviceGate, now time.Time) {
	sheds := s.gate.Shedding()
	if !sheds && !s.logged && s.shed == 0 || now.Sub(s.loggedAt) < shedLogInterval {
		return
	}
	message := "requests are shed"
	if !sheds {
		message = "no requests are shed"
	}
	g.o.Logger.Info(message, "service", s.service, "sent_part", s.gate.SentShare(now), "shed", s.shed,
		"turned_away", s.turnedAway, "wait", s.gate.Wait())
	s.shed, s.turnedAway, s.loggedAt, s.logged = 0, 0, now, sheds
}

// updateGates updates the gates from a new view. The caller holds g.mu.
func (g *Gateway) updateGates(v *directory.View) {
	for name, s := range g.gates {
		if v.Table != nil {
			if _, known := v.Table.Service(name); !known {
				delete(g.gates, name)
				continue
			}
		}
		setClasses(s, v.Table)
		s.gate.Retain(func(id string) bool {
			return slices.ContainsFunc(v.Upstreams[name], func(in registry.Instance) bool { return in.ID == id })
		}, func(route string) bool { return v.Table != nil && v.Table.Sends(route, name) })
	}
}

// setClasses sets the classes of the requests for the service of a gate.
func setClasses(s *serviceGate, table *routes.Table) {
	if table == nil {
		return
	}
	var classes []shedding.Class
	var objective time.Duration
	for _, c := range table.RequestClasses(s.service) {
		classes = append(classes, shedding.Class{Priority: c.Priority, Repeatable: c.Repeatable})
		if c.TargetLatency > 0 && (objective == 0 || c.TargetLatency < objective) {
			objective = c.TargetLatency
		}
	}
	s.gate.SetClasses(classes, objective)
}
