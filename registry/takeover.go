package registry

// Takeover is what a daemon knows when it finds another upstream at the address
// of a registered one.
type Takeover struct {
	// Engine says that the upstreams of the service are engines: they report the
	// models that they serve, by which the new upstream can be recognised.
	Engine bool
	// StoreUpToDate says that the store confirms the registrations, so that it will
	// report which upstream is at the address.
	StoreUpToDate bool
	// Moving says that the service is being moved between versions, so that the
	// version of the new upstream is unknown. Moves of other services do not matter.
	Moving bool
}

// Adoptable reports whether the new upstream may be used in place of the
// registered one before the store reports it. Engines that crash during an
// outage of the store are back under new IDs; without this rule the service
// keeps only those that did not crash.
func (t Takeover) Adoptable() bool { return t.Engine && !t.StoreUpToDate && !t.Moving }

// Takeovers holds the upstreams that are used at the addresses of registered ones.
// It is not safe for concurrent use.
type Takeovers struct {
	// inUse holds the upstream in use, by the ID of the registered one.
	inUse map[string]Instance
}

// Adopt uses next in place of old, which is either registered or was adopted
// itself: an upstream can crash more than once during an outage.
func (t *Takeovers) Adopt(old, next Instance) {
	if t.inUse == nil {
		t.inUse = map[string]Instance{}
	}
	registered := old.ID
	for id, in := range t.inUse {
		if in.ID == old.ID {
			registered = id
		}
	}
	t.inUse[registered] = next
}

// DropUnregistered drops the takeovers of upstreams that are no longer
// registered: the store has reported what is at their addresses.
func (t *Takeovers) DropUnregistered(registered []Instance) {
	known := make(map[string]bool, len(registered))
	for _, in := range registered {
		known[in.ID] = true
	}
	for id := range t.inUse {
		if !known[id] {
			delete(t.inUse, id)
		}
	}
}

// Apply returns the registered upstreams, each replaced by the one in use at its
// address.
func (t *Takeovers) Apply(registered []Instance) []Instance {
	if len(t.inUse) == 0 {
		return registered
	}
	out := make([]Instance, 0, len(registered))
	for _, in := range registered {
		if next, ok := t.inUse[in.ID]; ok {
			in = next
		}
		out = append(out, in)
	}
	return out
}
