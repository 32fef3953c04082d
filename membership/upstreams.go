package membership

import (
	"sort"
	"time"

	"github.com/gooseberryroad/gooseberryroad/engine"
	"github.com/gooseberryroad/gooseberryroad/vmlist"
)

// UpstreamState is the state of an upstream as this daemon knows it.
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
	// LeavingHold is how long after its last confirmation a leaving mark is kept
	// although the upstream itself reports that it does not leave. Reports and
	// lists of VMs lag behind, so an older one must not give new work to a leaving
	// upstream.
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

// maxMarkedIncarnations bounds the incarnations of one address that have marks.
// An engine that crashes at every start makes a new one each time.
const maxMarkedIncarnations = 16

// Upstreams holds the state of all upstreams by address.
type Upstreams struct {
	opts   UpstreamOptions
	byAddr map[string]*upstream
}

type upstream struct {
	names             map[string]bool
	leavingByDocument bool
	load              engine.Load
	incarnation       string
	reportedAt        time.Time
	// failingSince is when polls began to fail, zero while they succeed.
	failingSince time.Time
	marks        map[string]*incarnationMarks // by incarnation
}

type incarnationMarks struct {
	dead, leaving bool
	leavingAt     time.Time
	deadAt        time.Time
}

// NewUpstreams returns an empty table.
func NewUpstreams(o UpstreamOptions) *Upstreams {
	return &Upstreams{opts: o.withDefaults(), byAddr: map[string]*upstream{}}
}

// KnownUpstream describes an upstream of a document in force.
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
				up = &upstream{marks: map[string]*incarnationMarks{}}
			}
			up.names, up.leavingByDocument = map[string]bool{}, false
			u.byAddr[k.Address] = up
		}
		up.names[k.Name] = true
		// A document that no longer names a shared upstream does not affect the
		// others, but leaving in one document means that the process goes away.
		up.leavingByDocument = up.leavingByDocument || k.Leaving
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

// ApplyReport applies a load report and returns the new marks, which peers must
// learn.
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
	// A report proves that this incarnation runs, whatever its marks say.
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
		if m := up.marks[inc]; m != nil && m.leaving && now.Sub(m.leavingAt) > u.opts.LeavingHold {
			m.leaving = false
		}
	}
	return out
}

// ApplyPollFailure applies a failed poll and returns the new marks. A refused
// connection means that nothing listens: the incarnation that ran there is dead.
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

// ApplyRefusal applies a refusal that traffic got from an incarnation and returns
// the new marks. With leaving set, the upstream refused a request because it is
// leaving; otherwise it refused the connection. An empty incarnation stands for the
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

// UpdateVMs applies a reading of the platform's list of VMs and returns the new
// marks. An upstream is matched by its address or its name. A VM that is live on
// the list does not clear marks from faster sources.
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

// ApplyMark applies a mark of a peer and reports whether it was new.
func (u *Upstreams) ApplyMark(now time.Time, m Mark) bool {
	up := u.byAddr[m.Address]
	if up == nil {
		return false
	}
	switch m.State {
	case UpstreamLeaving:
		return u.setLeaving(now, up, m.Incarnation)
	case UpstreamDead:
		// The caller polls the upstream at once, and a report clears the mark.
		return u.setDead(now, up, m.Incarnation)
	}
	return false
}

// marksOf returns the marks of an incarnation and adds empty ones if it has none.
func (u *Upstreams) marksOf(up *upstream, incarnation string) *incarnationMarks {
	m := up.marks[incarnation]
	if m == nil {
		if len(up.marks) >= maxMarkedIncarnations {
			u.dropOldestMarks(up)
		}
		m = &incarnationMarks{}
		up.marks[incarnation] = m
	}
	return m
}

// dropOldestMarks drops the marks of the incarnation that was marked least
// recently, other than the current one.
func (u *Upstreams) dropOldestMarks(up *upstream) {
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

// setDead marks an incarnation as dead and reports whether the mark is new.
func (u *Upstreams) setDead(now time.Time, up *upstream, incarnation string) bool {
	m := u.marksOf(up, incarnation)
	was := m.dead
	m.dead, m.deadAt = true, now
	return !was
}

// setLeaving marks an incarnation as leaving, or confirms the mark, and reports
// whether it is new.
func (u *Upstreams) setLeaving(now time.Time, up *upstream, incarnation string) bool {
	m := u.marksOf(up, incarnation)
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
	leaving, dead := up.leavingByDocument, false
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
	case !up.reportedAt.IsZero() && now.Sub(up.reportedAt) <= u.opts.SilentAfter:
		return UpstreamAlive
	case !up.failingSince.IsZero() && now.Sub(up.failingSince) > u.opts.SilentAfter,
		!up.reportedAt.IsZero():
		return UpstreamSilent
	}
	return UpstreamUnknown
}

// LastReport returns the last load report of an address, the incarnation that
// made it, and when it arrived; the time is zero if there was none.
func (u *Upstreams) LastReport(addr string) (engine.Load, string, time.Time) {
	up := u.byAddr[addr]
	if up == nil {
		return engine.Load{}, "", time.Time{}
	}
	return up.load, up.incarnation, up.reportedAt
}

// Marks returns the marks of the current incarnations, which a new peer must
// learn.
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
