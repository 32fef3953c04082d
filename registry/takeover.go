package registry

// Takeover is what a daemon knows when it finds another upstream at the address
// of a registered one.
type Takeover struct {
	// Engine says that the upstreams of the service report the models that they
	// serve, by which the new one can be recognised.
	Engine bool
	// StoreSettled says that the store confirms the registrations, so that it will
	// tell what is at the address.
	StoreUpToDate bool
	// Moving says that the service is being moved between versions: the version of
	// the new upstream is not known. Moves of other services do not matter.
	Moving bool
}

// Adoptable reports whether the new upstream may be used in place of the
// registered one before the store tells of it. Engines that crash during an
// outage of the store are back under new IDs, and without this the service keeps
// only those that did not crash.
func (t Takeover) Adoptable() bool { return t.Engine && !t.StoreUpToDate && !t.Moving }

// Takeovers holds the upstreams that are used at the addresses of registered ones.
// It is not safe for concurrent use.
type Takeovers struct {
	// current is the upstream in use, by the ID of the registered one.
	current map[string]Instance
}

// Adopt uses next in place of old, which is registered or was adopted itself: an
// upstream can crash more than once during an outage.
func (t *Takeovers) Adopt(old, next Instance) {
	if t.current == nil {
		t.current = map[string]Instance{}
	}
	registered := old.ID
	for id, in := range t.current {
		if in.ID == old.ID {
			registered = id
		}
	}
	t.current[registered] = next
}

// Keep drops the takeovers of upstreams that are no longer registered: the store
// has told what is at their addresses.
func (t *Takeovers) DropUnregistered(registered []Instance) {
	known := make(map[string]bool, len(registered))
	for _, in := range registered {
		known[in.ID] = true
	}
	for id := range t.current {
		if !known[id] {
			delete(t.current, id)
		}
	}
}

// Apply replaces registered upstreams by those in use at their addresses.
func (t *Takeovers) Apply(registered []Instance) []Instance {
	if len(t.current) == 0 {
		return registered
	}
	out := make([]Instance, 0, len(registered))
	for _, in := range registered {
		if next, ok := t.current[in.ID]; ok {
			in = next
		}
		out = append(out, in)
	}
	return out
}
