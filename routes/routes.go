package routes

import (
	"slices"
	"strings"
	"time"
)

// Kind says whether a request of a route may run more than once.
type Kind int

const (
	// NonIdempotent requests run at most once. It is the zero value, so that a
	// request of an unknown kind is never repeated.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a series of events. They run at most once
	// unless the route is Resumable.
	Stream
)

// String returns the name that is used in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	default:
		return "non_idempotent"
	}
}

// Share is a service's share of a route's traffic.
type Share struct {
	Service string
	// Weight is relative to the sum of the weights of the route's shares.
	Weight int
}

// Route sends the requests of one host and path prefix to a service.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller waits; 0 is no limit.
	Timeout time.Duration
	// TargetLatency is the latency objective: the time to the whole answer, or to
	// the first event of a stream.
	TargetLatency time.Duration
	// MaxAttempts is the largest number of upstreams that one request may run on.
	MaxAttempts int
	Shares      []Share
	// Anonymous routes need no account.
	Anonymous bool
	// Resumable streams may continue at another upstream after the last event that
	// the caller has received.
	Resumable bool
	// Priority is the rank of the route's requests, from 0, the most urgent, to 9.
	Priority int
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Choose returns the service for a request, by the weights of the shares; draw
// is uniform in [0, 1). It returns "" when no share has a weight above 0.
func (r *Route) Choose(draw float64) string {
	total := 0
	for _, s := range r.Shares {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	remaining := draw * float64(total)
	for _, s := range r.Shares {
		remaining -= float64(max(s.Weight, 0))
		if remaining < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name string
	// HealthPath is the path of the health check of an upstream.
	HealthPath string
	// Engine is set if the upstreams are model engines.
	Engine *Engine
	// Scaling is set if the number of upstreams can be ordered.
	Scaling *Scaling
}

// Scaling bounds the number of upstreams of a service that can be ordered in each data
// centre.
type Scaling struct {
	Min, Max int
	// StartTime is how long a new upstream takes until it serves.
	StartTime time.Duration
}

// Engine describes what the model engines of a service can do.
type Engine struct {
	// Models are the names of the models that the engines serve.
	Models []string
	// Backups says that the engines copy the memory of a run to another engine as it
	// grows.
	Backups bool
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority ranks the account's requests in place of the route's priority; nil if the
	// account has none.
	Priority *int
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	// MaxBodyBytes bounds the body of a request; 0 is no limit.
	MaxBodyBytes int64
}

// Table finds the route, service and account of a request.
type Table struct {
	version          int64
	maxBodyBytes     int64
	byHost           map[string]map[string]*Route
	routesByName     map[string]*Route
	services         map[string]*Service
	accountByKey     map[string]string
	accountsRequired bool
	// accountPriorities holds the priorities of the accounts that have one.
	accountPriorities map[string]int
	// ranks holds the ranks that requests for each service can have, the most urgent first;
	// ranked the services of engines whose routes differ in priority.
	ranks  map[string][]rank
	ranked map[string]bool
	// classes holds the classes of the requests for each service.
	classes map[string][]RequestClass
}

// NewTable returns the table of a configuration. It keeps pointers into the
// slices of c.
func NewTable(c Config) *Table {
	t := &Table{
		version:           c.Version,
		maxBodyBytes:      c.MaxBodyBytes,
		byHost:            map[string]map[string]*Route{},
		routesByName:      map[string]*Route{},
		services:          map[string]*Service{},
		accountByKey:      map[string]string{},
		accountsRequired:  len(c.Accounts) > 0,
		accountPriorities: map[string]int{},
		ranks:             map[string][]rank{},
		ranked:            map[string]bool{},
		classes:           map[string][]RequestClass{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		if t.byHost[host] == nil {
			t.byHost[host] = map[string]*Route{}
		}
		t.byHost[host][r.Prefix] = r
		t.routesByName[r.Name] = r
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for _, a := range c.Accounts {
		if a.Priority != nil {
			t.accountPriorities[a.Name] = *a.Priority
		}
		for _, k := range a.Keys {
			t.accountByKey[k] = a.Name
		}
	}
	t.setRanks(c)
	t.setClasses(c)
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.version }

// MaxBodyBytes returns the limit of the body of a request in bytes; 0 is no
// limit.
func (t *Table) MaxBodyBytes() int64 { return t.maxBodyBytes }

// Match returns the route of host with the longest prefix of path. A port in
// host and the case of its letters are ignored.
func (t *Table) Match(host, path string) (*Route, bool) {
	host, _, _ = strings.Cut(host, ":")
	prefixes := t.byHost[strings.ToLower(host)]
	// Prefixes end with a slash, so only the slashes of path can end a match.
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			break
		}
		if r := prefixes[path[:slash+1]]; r != nil {
			return r, true
		}
		end = slash
	}
	return nil, false
}

// HasRoute reports whether there is a route with a name.
func (t *Table) HasRoute(name string) bool { return t.routesByName[name] != nil }

// Sends reports whether the route with a name sends requests to a service.
func (t *Table) Sends(route, service string) bool {
	r := t.routesByName[route]
	return r != nil && slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// Service returns a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// ScaledServices returns the names of the services whose upstreams can be ordered, sorted.
func (t *Table) ScaledServices() []string {
	var out []string
	for name, s := range t.services {
		if s.Scaling != nil {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// StreamObjective returns the shortest objective of the streams of a service; 0 if none has
// one. ok says that there is a route with streams to the service.
func (t *Table) StreamObjective(service string) (objective time.Duration, ok bool) {
	for _, r := range t.routesByName {
		if r.Kind != Stream || !slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service }) {
			continue
		}
		ok = true
		if r.TargetLatency > 0 && (objective == 0 || r.TargetLatency < objective) {
			objective = r.TargetLatency
		}
	}
	return objective, ok
}

// UniquelyServes reports whether one of the models is served by the engines of
// this service and of no other, so that an engine with that model belongs to the
// service.
func (t *Table) UniquelyServes(service string, models []string) bool {
	for _, m := range models {
		owners := 0
		own := false
		for _, s := range t.services {
			if s.Engine != nil && slices.Contains(s.Engine.Models, m) {
				owners++
				own = own || s.Name == service
			}
		}
		if own && owners == 1 {
			return true
		}
	}
	return false
}

// NeedsAccount reports whether requests of the route must carry a known key.
// None need one while there are no accounts.
func (t *Table) NeedsAccount(r *Route) bool { return t.accountsRequired && !r.Anonymous }

// Account returns the name of the account that holds key.
func (t *Table) Account(key string) (string, bool) {
	name, ok := t.accountByKey[key]
	return name, ok && key != ""
}
