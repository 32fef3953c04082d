package forwarding

import "time"

const (
	// failureMemory is how long a failure says that an upstream is out of reach. After that
	// the upstream is tried again as if nothing were known.
	failureMemory = 2 * time.Second
	// reachedFor is how long a response says that a daemon reaches the upstreams of a
	// service. A cut has to be noticed within 3 s, by the other daemons too.
	reachedFor = 2 * time.Second
	// minSilence is the least time since the last response after which failures say that a
	// daemon is cut off. Responses arrive between the failures while only some upstreams fail.
	minSilence = 250 * time.Millisecond
	// minSilenceOfAll is the same for all upstreams together, which decide about a service of
	// which nothing is known. Upstreams that crash together are back after a second or two.
	minSilenceOfAll = time.Second
	// minFailed is the number of different upstreams that must fail, unless the service has
	// fewer. A single one may have crashed.
	minFailed = 2
)

// Status is what a daemon knows about its way to the upstreams of a service.
type Status int

const (
	// Unknown means that no request was sent lately.
	Unknown Status = iota
	// Reached means that an upstream responded lately.
	Reached
	// Failing means that upstreams failed lately and none responded since.
	Failing
)

// String returns the name that is used in logs and between daemons.
func (s Status) String() string { return [...]string{"unknown", "reached", "failing"}[s] }

// ParseStatus returns the status with a name; Unknown if there is none.
func ParseStatus(name string) Status {
	for _, s := range []Status{Reached, Failing} {
		if s.String() == name {
			return s
		}
	}
	return Unknown
}

// Reach holds the outcomes of a daemon's own connections to upstreams. It is not safe for
// concurrent use.
type Reach struct {
	services map[string]*outcomes
	all      outcomes
}

type outcomes struct {
	reachedAt time.Time
	// failed holds when an upstream last failed, by its ID, unless it responded since.
	failed map[string]time.Time
}

// NewReach returns a Reach that knows nothing.
func NewReach() *Reach { return &Reach{services: map[string]*outcomes{}} }

// Reached records a response of an upstream, whatever it says.
func (r *Reach) Reached(service, upstream string, now time.Time) {
	r.of(service).reached(upstream, now)
	r.all.reached(upstream, now)
}

// Failed records that no connection to an upstream could be opened, or that one broke or
// stayed silent without a response.
func (r *Reach) Failed(service, upstream string, now time.Time) {
	r.of(service).fail(upstream, now)
	r.all.fail(upstream, now)
}

func (r *Reach) of(service string) *outcomes {
	o := r.services[service]
	if o == nil {
		o = &outcomes{}
		r.services[service] = o
	}
	return o
}

// Retain forgets the services for which keep returns false.
func (r *Reach) Retain(keep func(service string) bool) {
	for service := range r.services {
		if !keep(service) {
			delete(r.services, service)
		}
	}
}

func (o *outcomes) reached(upstream string, now time.Time) {
	o.reachedAt = now
	delete(o.failed, upstream)
}

func (o *outcomes) fail(upstream string, now time.Time) {
	if o.failed == nil {
		o.failed = map[string]time.Time{}
	}
	o.failed[upstream] = now
	for id, at := range o.failed {
		if now.Sub(at) >= failureMemory {
			delete(o.failed, id)
		}
	}
}

// failedSince returns the number of upstreams that failed lately and after the last response
// of any.
func (o *outcomes) failedSince(now time.Time) int {
	n := 0
	for _, at := range o.failed {
		if now.Sub(at) < failureMemory && !at.Before(o.reachedAt) {
			n++
		}
	}
	return n
}

func (o *outcomes) cutOff(least int, silence time.Duration, now time.Time) bool {
	return o.failedSince(now) >= least && now.Sub(o.reachedAt) >= silence
}

func (o *outcomes) status(now time.Time) Status {
	switch {
	case o.cutOff(minFailed, minSilence, now):
		return Failing
	case now.Sub(o.reachedAt) < reachedFor:
		return Reached
	case o.failedSince(now) > 0:
		return Failing
	}
	return Unknown
}

// CutOff reports whether requests for a service should go through another daemon, if one
// reaches its upstreams, before this daemon tries its own connections. registered is the
// number of upstreams of the service. If nothing is known of the service, what is known of
// all upstreams decides.
func (r *Reach) CutOff(service string, registered int, now time.Time) bool {
	o := r.services[service]
	if o == nil || o.status(now) == Unknown {
		return r.all.cutOff(minFailed, minSilenceOfAll, now)
	}
	return o.cutOff(max(1, min(minFailed, registered)), minSilence, now)
}

// ReachedSince reports whether any upstream has responded after the given time.
func (r *Reach) ReachedSince(at time.Time) bool { return r.all.reachedAt.After(at) }

// NoneConnects reports whether no connection to any of a service's upstreams could be opened
// lately. Then a request that finds no open connection may be forwarded, even if requests on
// open connections still get responses.
func (r *Reach) NoneConnects(service string, upstreams []string, now time.Time) bool {
	o := r.services[service]
	if o == nil || len(upstreams) == 0 {
		return false
	}
	for _, id := range upstreams {
		at, ok := o.failed[id]
		if !ok || now.Sub(at) >= failureMemory {
			return false
		}
	}
	return true
}

// Report is what a daemon tells others about its way to upstreams.
type Report struct {
	// Services holds the services of which something is known.
	Services map[string]Status
	// All is the status of all upstreams together.
	All Status
	// Closed says that the daemon takes no forwarded requests, for example because it stops.
	Closed bool
}

// Status returns the status of a service.
func (r Report) Status(service string) Status { return r.Services[service] }

// Report returns what is known.
func (r *Reach) Report(now time.Time) Report {
	out := Report{Services: map[string]Status{}, All: r.all.status(now)}
	for service, o := range r.services {
		if s := o.status(now); s != Unknown {
			out.Services[service] = s
		}
	}
	return out
}
