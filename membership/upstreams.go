package membership

import (
	"sort"
	"time"

	"github.com/gooseberryroad/gooseberryroad/engine"
	"github.com/gooseberryroad/gooseberryroad/vmlist"
)

// UpstreamState is what the daemon believes about an upstream.
type UpstreamState int

const (
	// UpstreamUnknown upstreams have not reported yet; they may get work.
	UpstreamUnknown UpstreamState = iota
	// UpstreamAlive upstreams reported recently.
	UpstreamAlive
	// UpstreamSilent upstreams missed reports; they get new work only when no
	// other is left.
	UpstreamSilent
	// UpstreamLeaving upstreams finish their work and get no new work.
	UpstreamLeaving
	// UpstreamDead upstreams refused a connection or came back with a new
	// incarnation; work that ran there is lost.
	UpstreamDead
)

func (s UpstreamState) String() string {
	return [...]string{"unknown", "alive", "silent", "leaving", "dead"}[s]
}

// Mark is a fact about one incarnation of an upstream that daemons tell each
// other. State is UpstreamLeaving or UpstreamDead.
type Mark struct {
	Address string
	// Incarnation is empty when the daemon that saw it did not know it.
	Incarnation string
	State       UpstreamState
}

// UpstreamOptions are the timers of Upstreams. The zero value of a field
// selects its default.
type UpstreamOptions struct {
	// SilentAfter is how long an upstream may go without a report.
	SilentAfter time.Duration
	// LeavingHold is how long a leaving mark outlives its last confirmation
	// when the upstream itself reports that it stays. Reports and VM lists lag,
	// so an older reading that says "stays" must not reopen an upstream.
	LeavingHold time.Duration
}

func (o UpstreamOptions) withDefaults() UpstreamOptions {
	if o.SilentAfter == 0 {
		o.SilentAfter = 3 * time.Second
	}
	if o.LeavingHold == 0 {
		o.LeavingHold = 30 * time.Second
	}
	return o
}

// maxMarked bounds the incarnations remembered for one address. An engine that
// crashes at every start makes a new one each time.
const maxMarked = 16

// Upstreams holds the state of all upstreams by address.
type Upstreams struct {
	o      UpstreamOptions
	byAddr map[string]*upstream
}

type upstream struct {
	names       map[string]bool
	docLeaving  bool
	load        engine.Load
	incarnation string
	reportedAt  time.Time
	// failingSince is when polls began to fail, zero while they succeed.
	failingSince time.Time
	marks        map[string]*marked // by incarnation
}

type marked struct {
	dead, leaving bool
	leavingAt     time.Time
	deadAt        time.Time
}

// NewUpstreams returns an empty table.
func NewUpstreams(o UpstreamOptions) *Upstreams {
	return &Upstreams{o: o.withDefaults(), byAddr: map[string]*upstream{}}
}

// Known describes an upstream of a document in force.
type KnownUpstream struct {
	Name, Address string
	Leaving       bool
}

// SetKnown replaces the upstreams that documents name. State of addresses that
// no document names any more is dropped.
func (u *Upstreams) SetKnown(known []KnownUpstream) {
	old := u.byAddr
	u.byAddr = make(map[string]*upstream, len(known))
	for _, k := range known {
		up := u.byAddr[k.Address]
		if up == nil {
			if up = old[k.Address]; up == nil {
				up = &upstream{marks: map[string]*marked{}}
			}
			up.names, up.docLeaving = map[string]bool{}, false
			u.byAddr[k.Address] = up
		}
		up.names[k.Name] = true
		// One document that stops using a shared upstream does not stop it
		// for the others, but leaving means that the process goes away.
		up.docLeaving = up.docLeaving || k.Leaving
	}
}

// Addresses returns the known addresses in order.
func (u *Upstreams) Addresses() []string {
	out := make([]string, 0, len(u.byAddr))
	for a := range u.byAddr {
		out = append(out, a)
	}
	sort.Strings(out)
	return out
}

// Report takes a load report and returns what peers must learn.
func (u *Upstreams) ApplyReport(now time.Time, addr string, l engine.Load) []Mark {
	up := u.byAddr[addr]
	if up == nil {
		return nil
	}
	var out []Mark
	former := up.incarnation
	up.load, up.incarnation, up.reportedAt, up.failingSince = l, l.Incarnation, now, time.Time{}
	if former != "" && former != l.Incarnation {
		// A mark without an incarnation was about the former one.
		delete(up.marks, "")
		if u.setDead(now, up, former) {
			out = append(out, Mark{Address: addr, Incarnation: former, State: UpstreamDead})
		}
	}
	// A report proves that this incarnation runs, whatever was thought before.
	for _, inc := range []string{l.Incarnation, ""} {
		if m := up.marks[inc]; m != nil {
			m.dead = false
		}
	}
	if l.Leaving {
		if u.setLeaving(now, up, l.Incarnation) {
			out = append(out, Mark{Address: addr, Incarnation: l.Incarnation, State: UpstreamLeaving})
		}
		return out
	}
	for _, inc := range []string{l.Incarnation, ""} {
		if m := up.marks[inc]; m != nil && m.leaving && now.Sub(m.leavingAt) > u.o.LeavingHold {
			m.leaving = false
		}
	}
	return out
}

// PollFailed takes a failed poll. A refused connection means that nothing
// listens: the incarnation that ran there is dead.
func (u *Upstreams) ApplyPollFailure(now time.Time, addr string, refused bool) []Mark {
	up := u.byAddr[addr]
	if up == nil {
		return nil
	}
	if up.failingSince.IsZero() {
		up.failingSince = now
	}
	if refused && u.setDead(now, up, up.incarnation) {
		return []Mark{{Address: addr, Incarnation: up.incarnation, State: UpstreamDead}}
	}
	return nil
}

// Refused takes what traffic saw of an incarnation; an empty one stands for the
// current one.
func (u *Upstreams) ApplyRefusal(now time.Time, addr, incarnation string, leaving bool) []Mark {
	up := u.byAddr[addr]
	if up == nil {
		return nil
	}
	if incarnation == "" {
		incarnation = up.incarnation
	}
	if leaving {
		if u.setLeaving(now, up, incarnation) {
			return []Mark{{Address: addr, Incarnation: incarnation, State: UpstreamLeaving}}
		}
		return nil
	}
	if u.setDead(now, up, incarnation) {
		return []Mark{{Address: addr, Incarnation: incarnation, State: UpstreamDead}}
	}
	return nil
}

// VMs takes a reading of the platform's list. An upstream is matched by its
// address or its name. A VM that the list calls live does not undo what faster
// sources said.
func (u *Upstreams) UpdateVMs(now time.Time, vms []vmlist.VM) []Mark {
	leavingName, leavingAddr := map[string]bool{}, map[string]bool{}
	for _, vm := range vms {
		if vm.Role == "upstream" && vm.Leaving {
			leavingName[vm.Name], leavingAddr[vm.Address] = true, true
		}
	}
	var out []Mark
	for _, addr := range u.Addresses() {
		up := u.byAddr[addr]
		leaving := leavingAddr[addr]
		for name := range up.names {
			leaving = leaving || leavingName[name]
		}
		if leaving && u.setLeaving(now, up, up.incarnation) {
			out = append(out, Mark{Address: addr, Incarnation: up.incarnation, State: UpstreamLeaving})
		}
	}
	return out
}

// Take applies a mark of a peer and reports whether it was new.
func (u *Upstreams) ApplyMark(now time.Time, m Mark) bool {
	up := u.byAddr[m.Address]
	if up == nil {
		return false
	}
	switch m.State {
	case UpstreamLeaving:
		return u.setLeaving(now, up, m.Incarnation)
	case UpstreamDead:
		// The caller polls the upstream at once, and a report undoes the mark.
		return u.setDead(now, up, m.Incarnation)
	}
	return false
}

func (u *Upstreams) mark(up *upstream, incarnation string) *marked {
	m := up.marks[incarnation]
	if m == nil {
		if len(up.marks) >= maxMarked {
			u.dropOldest(up)
		}
		m = &marked{}
		up.marks[incarnation] = m
	}
	return m
}

func (u *Upstreams) dropOldest(up *upstream) {
	oldest, at := "", time.Time{}
	for _, inc := range sortedKeys(up.marks) {
		m := up.marks[inc]
		last := m.deadAt
		if m.leavingAt.After(last) {
			last = m.leavingAt
		}
		if inc != up.incarnation && (at.IsZero() || last.Before(at)) {
			oldest, at = inc, last
		}
	}
	delete(up.marks, oldest)
}

func (u *Upstreams) setDead(now time.Time, up *upstream, incarnation string) bool {
	m := u.mark(up, incarnation)
	was := m.dead
	m.dead, m.deadAt = true, now
	return !was
}

func (u *Upstreams) setLeaving(now time.Time, up *upstream, incarnation string) bool {
	m := u.mark(up, incarnation)
	was := m.leaving
	m.leaving, m.leavingAt = true, now
	return !was
}

// State returns the state of an address at a time.
func (u *Upstreams) State(now time.Time, addr string) UpstreamState {
	up := u.byAddr[addr]
	if up == nil {
		return UpstreamUnknown
	}
	leaving, dead := up.docLeaving, false
	for _, inc := range []string{up.incarnation, ""} {
		if m := up.marks[inc]; m != nil {
			leaving, dead = leaving || m.leaving, dead || m.dead
		}
	}
	switch {
	case dead:
		return UpstreamDead
	case leaving:
		return UpstreamLeaving
	case !up.reportedAt.IsZero() && now.Sub(up.reportedAt) <= u.o.SilentAfter:
		return UpstreamAlive
	case !up.failingSince.IsZero() && now.Sub(up.failingSince) > u.o.SilentAfter,
		!up.reportedAt.IsZero():
		return UpstreamSilent
	}
	return UpstreamUnknown
}

// Reported returns the last load report of an address, the incarnation that
// made it, and when it arrived; the time is zero if there was none.
func (u *Upstreams) LastReport(addr string) (engine.Load, string, time.Time) {
	up := u.byAddr[addr]
	if up == nil {
		return engine.Load{}, "", time.Time{}
	}
	return up.load, up.incarnation, up.reportedAt
}

// Marks returns what a new peer must learn: the marks of current incarnations.
func (u *Upstreams) Marks() []Mark {
	var out []Mark
	for _, addr := range u.Addresses() {
		up := u.byAddr[addr]
		if m := up.marks[up.incarnation]; m != nil {
			if m.leaving {
				out = append(out, Mark{Address: addr, Incarnation: up.incarnation, State: UpstreamLeaving})
			}
			if m.dead {
				out = append(out, Mark{Address: addr, Incarnation: up.incarnation, State: UpstreamDead})
			}
		}
	}
	return out
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
