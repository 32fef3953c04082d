package cutover

// Rejected holds the versions of one service that were reverted, by the revision of the
// order that ended so. The upstreams that run them stay registered for some seconds, and
// must not count as sound ones when the next order arrives.
type Rejected map[string]uint64

// Add adds a version whose order has the given revision.
func (r Rejected) Add(version string, order uint64) {
	r[version] = max(r[version], order)
}

// Has reports whether the version gets no requests.
func (r Rejected) Has(version string) bool {
	_, ok := r[version]
	return ok
}

// Remaining returns the versions that stay rejected: those with registered upstreams that
// the order, a later one, does not name.
func (r Rejected) Remaining(o Order, registered func(version string) bool) Rejected {
	out := Rejected{}
	for version, revision := range r {
		ordered := version == o.Target && o.Revision > revision
		if !ordered && registered(version) {
			out[version] = revision
		}
	}
	return out
}

// After returns the versions that are rejected once the order has the given state.
func (r Rejected) After(o Order, s State) Rejected {
	out := Rejected{}
	for version, revision := range r {
		out[version] = revision
	}
	if s == Reverted {
		out.Add(o.Target, o.Revision)
	}
	return out
}
