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

// setClasses determines the classes of the requests for each service.
func (t *Table) setClasses(c Config) {
	// One account stands for all with the same priority.
	accounts, seen := []string{""}, map[int]bool{}
	for _, a := range c.Accounts {
		if a.Priority != nil && !seen[*a.Priority] {
			seen[*a.Priority] = true
			accounts = append(accounts, a.Name)
		}
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Kind == Stream {
			continue
		}
		for _, s := range r.Shares {
			if s.Weight <= 0 {
				continue
			}
			for _, account := range accounts {
				class := RequestClass{Priority: t.Priority(r, account), Repeatable: r.Repeatable(), TargetLatency: r.TargetLatency}
				if !slices.Contains(t.classes[s.Service], class) {
					t.classes[s.Service] = append(t.classes[s.Service], class)
				}
			}
		}
	}
}
