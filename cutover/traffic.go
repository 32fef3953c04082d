package cutover

import (
	"math"
	"time"
)

// trafficMemory is the time constant with which a Meter forgets requests.
const trafficMemory = 30 * time.Second

// Traffic is the recent traffic of one route.
type Traffic struct {
	// PerSecond is the number of requests per second.
	PerSecond float64
	// Outcomes are the recent outcomes, older ones counting less.
	Outcomes Counts
}

// Meter measures the traffic of a service by route. The zero value is ready to use;
// it is not safe for concurrent use.
type Meter struct {
	since  time.Time
	routes map[string]*routeMeter
}

type routeMeter struct{ requests, good, bad decayingCount }

// decayingCount is a number at a time; it decays exponentially.
type decayingCount struct {
	n  float64
	at time.Time
}

func (d *decayingCount) add(now time.Time) { *d = decayingCount{n: d.value(now) + 1, at: now} }

func (d *decayingCount) value(now time.Time) float64 {
	return d.n * math.Exp(-now.Sub(d.at).Seconds()/trafficMemory.Seconds())
}

func (m *Meter) route(name string, now time.Time) *routeMeter {
	if m.routes == nil {
		m.since, m.routes = now, map[string]*routeMeter{}
	}
	r := m.routes[name]
	if r == nil {
		r = &routeMeter{}
		m.routes[name] = r
	}
	return r
}

// Request counts a request of a route.
func (m *Meter) Request(route string, now time.Time) { m.route(route, now).requests.add(now) }

// Outcome counts an outcome on a route.
func (m *Meter) Outcome(route string, bad bool, now time.Time) {
	r := m.route(route, now)
	if bad {
		r.bad.add(now)
	} else {
		r.good.add(now)
	}
}

// Traffic returns the traffic of each route over about the last half minute.
func (m *Meter) Traffic(now time.Time) map[string]Traffic {
	age := max(now.Sub(m.since), minRateWindow).Seconds()
	window := trafficMemory.Seconds() * (1 - math.Exp(-age/trafficMemory.Seconds()))
	out := make(map[string]Traffic, len(m.routes))
	for name, r := range m.routes {
		out[name] = Traffic{
			PerSecond: r.requests.value(now) / window,
			Outcomes:  Counts{Good: int(math.Round(r.good.value(now))), Bad: int(math.Round(r.bad.value(now)))},
		}
	}
	return out
}

// Retain forgets the routes for which keep returns false.
func (m *Meter) Retain(keep func(route string) bool) {
	for route := range m.routes {
		if !keep(route) {
			delete(m.routes, route)
		}
	}
}
