package routes

import (
	"slices"
	"time"
)

// RequestClass is what decides which requests for a service give way first.
type RequestClass struct {
	Priority   int
	Repeatable bool
	// TargetLatency is the latency objective of the route; 0 is none.
	TargetLatency time.Duration
}

// RequestClasses returns the classes of the requests that routes without streams send to a
// service.
func (t *Table) RequestClasses(service string) []RequestClass { return t.classes[service] }

func requestClasses(c Config) map[string][]RequestClass {
	out := map[string][]RequestClass{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Kind == Stream {
			continue
		}
		for _, s := range r.Shares {
			if s.Weight <= 0 {
				continue
			}
			add := func(priority int) {
				class := RequestClass{Priority: priority, Repeatable: r.Repeatable(), TargetLatency: r.TargetLatency}
				if !slices.Contains(out[s.Service], class) {
					out[s.Service] = append(out[s.Service], class)
				}
			}
			add(r.Priority)
			for _, a := range c.Accounts {
				if a.Priority != nil {
					add(*a.Priority)
				}
			}
		}
	}
	return out
}
