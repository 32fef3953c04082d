package membership

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gooseberryroad/gooseberryroad/vmlist"
)

// Limits of the links that one daemon opens.
const (
	MaxLinksInside  = 3
	MaxLinksOutside = 2
)

// WatchersPerDataCentre is how many daemons of a data centre watch the store.
// Two, so that changes keep arriving at once while one of them dies.
const WatchersPerDataCentre = 2

// Member is what a daemon says about itself.
type Member struct {
	Name, DataCentre, Region, Address string
	// Incarnation is higher at every start of the daemon, Heartbeat rises
	// while it runs.
	Incarnation, Heartbeat uint64
	// Applied is a store index: the daemon has all documents up to it.
	Applied uint64
	// StoreDown is set while the daemon cannot reach the store.
	StoreDown bool
	// Leaving is set while the daemon drains.
	Leaving bool
}

func (m *Member) newerThan(o *Member) bool {
	return m.Incarnation > o.Incarnation || m.Incarnation == o.Incarnation && m.Heartbeat > o.Heartbeat
}

// ID identifies a member, its incarnation and its flags in heartbeats, where
// the name would take most of the bytes. With the flags in it, a heartbeat that
// overtakes the description that it belongs to is not known and makes the
// receiver ask, in place of keeping an old description under a new heartbeat.
func (m *Member) ID() uint32 {
	b := binary.BigEndian.AppendUint64([]byte(m.Name+"\x00"), m.Incarnation)
	for _, flag := range []bool{m.StoreDown, m.Leaving} {
		if flag {
			b = append(b, 1)
		} else {
			b = append(b, 0)
		}
	}
	sum := sha256.Sum256(b)
	return binary.BigEndian.Uint32(sum[:4])
}

// MemberOptions configure Members. The zero value of a timer selects its
// default.
type MemberOptions struct {
	Self Member
	// Seeds are addresses of daemons whose names are not known.
	Seeds []string
	// Interval is the shortest time between two heartbeats.
	HeartbeatInterval time.Duration
	// BeatsPerSecond bounds the heartbeats of the whole fleet, which all cross
	// every link: with more daemons, each beats less often.
	HeartbeatsPerSecond int
	// Forget is how long a dead daemon is still tried. It bounds how long a
	// partition may last and still heal without the list of VMs.
	ForgetAfter time.Duration
	// AvoidFor is how long a daemon that could not be linked is passed over.
	AvoidFor time.Duration
}

func (o MemberOptions) withDefaults() MemberOptions {
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = time.Second
	}
	if o.HeartbeatsPerSecond == 0 {
		o.HeartbeatsPerSecond = 14
	}
	if o.ForgetAfter == 0 {
		o.ForgetAfter = time.Hour
	}
	if o.AvoidFor == 0 {
		o.AvoidFor = 10 * time.Second
	}
	return o
}

// Members holds the daemons of the fleet.
type Members struct {
	probed string // address of the last probe
	o      MemberOptions
	byName map[string]*member
	byID   map[uint32]string
	vms    map[string]vmlist.VM
	vmsAt  time.Time
	beatAt time.Time
	avoid  map[string]time.Time
	live   int
	// names are the keys of byName in order; nil when they changed.
	names []string
	// cache is the result of Live for the time cacheAt; nil when it changed.
	cache   []Member
	cacheAt time.Time
}

type member struct {
	Member
	// advancedAt is when the heartbeat last rose here.
	advancedAt time.Time
}

// NewMembers returns a table with this daemon only.
func NewMembers(o MemberOptions) *Members {
	o = o.withDefaults()
	m := &Members{o: o, byName: map[string]*member{}, byID: map[uint32]string{},
		vms: map[string]vmlist.VM{}, avoid: map[string]time.Time{}, live: 1}
	self := o.Self
	m.byName[self.Name] = &member{Member: self}
	m.byID[self.ID()] = self.Name
	return m
}

// Self returns what this daemon says about itself.
func (m *Members) Self() Member { return m.byName[m.o.Self.Name].Member }

// Interval is the time between two heartbeats of one daemon.
func (m *Members) HeartbeatInterval() time.Duration {
	return max(m.o.HeartbeatInterval, time.Duration(m.live)*time.Second/time.Duration(m.o.HeartbeatsPerSecond))
}

// Beat raises the own heartbeat when it is due, or at once when what the daemon
// says about itself changed.
func (m *Members) AdvanceHeartbeat(now time.Time, applied uint64, storeDown, leaving bool) {
	s := m.byName[m.o.Self.Name]
	changed := s.StoreDown != storeDown || s.Leaving != leaving
	if !changed && now.Before(m.beatAt) {
		return
	}
	s.Heartbeat++
	m.cache = nil
	delete(m.byID, s.ID())
	s.Applied, s.StoreDown, s.Leaving, s.advancedAt = applied, storeDown, leaving, now
	m.byID[s.ID()] = s.Name
	m.live = len(m.Live(now))
	m.cache = nil
	m.beatAt = now.Add(m.HeartbeatInterval())
}

// Take applies what a peer knows of a member and reports whether it was new.
func (m *Members) Merge(now time.Time, in Member) bool {
	if in.Name == "" {
		return false
	}
	m.cache = nil
	old := m.byName[in.Name]
	if in.Name == m.o.Self.Name {
		// A former life of this daemon with a clock that ran ahead.
		if in.Incarnation > old.Incarnation {
			delete(m.byID, old.ID())
			old.Incarnation, old.Heartbeat = in.Incarnation+1, 1
			m.byID[old.ID()] = in.Name
		}
		return false
	}
	if old == nil {
		m.names = nil
		m.byName[in.Name] = &member{Member: in, advancedAt: now}
		m.byID[in.ID()] = in.Name
		return true
	}
	if !in.newerThan(&old.Member) {
		return false
	}
	if in.ID() != old.ID() {
		delete(m.byID, old.ID())
		m.byID[in.ID()] = in.Name
	}
	in.Applied = max(in.Applied, cond(in.Incarnation == old.Incarnation, old.Applied))
	old.Member, old.advancedAt = in, now
	return true
}

func cond(ok bool, v uint64) uint64 {
	if ok {
		return v
	}
	return 0
}

// TakeBeat applies a heartbeat by ID. Known is false when no member has it.
func (m *Members) MergeHeartbeat(now time.Time, id uint32, heartbeat, applied uint64) (known bool) {
	name, ok := m.byID[id]
	if !ok {
		return false
	}
	in := m.byName[name].Member
	in.Heartbeat, in.Applied = heartbeat, applied
	m.Merge(now, in)
	return true
}

// ByID returns the member with an ID.
func (m *Members) ByID(id uint32) (Member, bool) {
	if name, ok := m.byID[id]; ok {
		return m.byName[name].Member, true
	}
	return Member{}, false
}

// VMs takes a reading of the platform's list.
func (m *Members) UpdateVMs(now time.Time, vms []vmlist.VM) {
	m.vms, m.vmsAt, m.cache = map[string]vmlist.VM{}, now, nil
	for _, vm := range vms {
		if vm.Role == "daemon" && vm.Name != m.o.Self.Name {
			m.vms[vm.Name] = vm
		}
	}
}

// isLive judges one member. The list of VMs lags, so a daemon that it lacks is
// only given less time, and a daemon that it has needs heartbeats all the same.
func (m *Members) isLive(now time.Time, e *member) bool {
	if e.Name == m.o.Self.Name {
		return true
	}
	limit := 4*m.HeartbeatInterval() + time.Second
	if _, listed := m.vms[e.Name]; !listed && len(m.vms) > 0 && now.Sub(m.vmsAt) < 30*time.Second {
		limit = 2*m.HeartbeatInterval() + time.Second
	}
	return now.Sub(e.advancedAt) <= limit
}

// Live returns the live daemons, this one included, by name. Daemons that have
// been dead for long are forgotten.
func (m *Members) Live(now time.Time) []Member {
	if m.cache != nil && m.cacheAt.Equal(now) {
		return m.cache
	}
	out := make([]Member, 0, m.live)
	for _, name := range m.order() {
		e := m.byName[name]
		if m.isLive(now, e) {
			out = append(out, e.Member)
		} else if now.Sub(e.advancedAt) > m.o.ForgetAfter {
			delete(m.byID, e.ID())
			delete(m.byName, name)
			m.names = nil
		}
	}
	m.cache, m.cacheAt = out, now
	return out
}

func (m *Members) order() []string {
	if m.names == nil {
		m.names = sortedKeys(m.byName)
	}
	return m.names
}

// All returns every daemon that is remembered, by name.
func (m *Members) All() []Member {
	out := make([]Member, 0, len(m.byName))
	for _, name := range m.order() {
		out = append(out, m.byName[name].Member)
	}
	return out
}

// Avoid passes over a daemon that could not be linked, for some time.
func (m *Members) Avoid(now time.Time, name string) { m.avoid[name] = now.Add(m.o.AvoidFor) }

// Links returns the daemons that this one opens links to: at most
// MaxLinksInside in its data centre and MaxLinksOutside elsewhere. One link
// inside goes to the next daemon by name and one outside into the next data
// centre by name. These two rings connect the graph of all links whenever
// daemons agree on who is alive; the others, chosen by rendezvous hashing, keep
// it connected while they do not.
func (m *Members) Links(now time.Time) []Member {
	self := m.Self()
	var inside, outside []Member
	for _, e := range m.Live(now) {
		if e.Name == self.Name {
			continue
		}
		if until, ok := m.avoid[e.Name]; ok {
			if now.Before(until) {
				continue
			}
			delete(m.avoid, e.Name)
		}
		if e.DataCentre == self.DataCentre {
			inside = append(inside, e)
		} else {
			outside = append(outside, e)
		}
	}
	next := successor(inside, func(e Member) bool { return e.Name > self.Name })
	out := choose(self.Name, inside, next, MaxLinksInside)

	dcs := map[string]bool{}
	for _, e := range outside {
		dcs[e.DataCentre] = true
	}
	names := sortedKeys(dcs)
	nextDC := ""
	if len(names) > 0 {
		i, _ := slices.BinarySearch(names, self.DataCentre)
		nextDC = names[i%len(names)]
	}
	var first *Member
	for i := range outside {
		if e := &outside[i]; e.DataCentre == nextDC && (first == nil || RendezvousWeight(self.Name, e.Name) > RendezvousWeight(self.Name, first.Name)) {
			first = e
		}
	}
	return append(out, choose(self.Name, outside, first, MaxLinksOutside)...)
}

// successor returns the first member for which after holds, or the first one.
func successor(sorted []Member, after func(Member) bool) *Member {
	if len(sorted) == 0 {
		return nil
	}
	i := max(0, slices.IndexFunc(sorted, after))
	return &sorted[i]
}

// choose returns the given first member and the best others by rendezvous
// hashing.
func choose(self string, from []Member, first *Member, n int) []Member {
	if first == nil {
		return nil
	}
	out := []Member{*first}
	rest := slices.Clone(from)
	slices.SortFunc(rest, func(a, b Member) int {
		return cmp.Compare(RendezvousWeight(self, b.Name), RendezvousWeight(self, a.Name))
	})
	for _, e := range rest {
		if len(out) < n && e.Name != first.Name {
			out = append(out, e)
		}
	}
	return out
}

// Candidate is a daemon that may be alive without this one knowing it.
type ProbeCandidate struct {
	// Name is empty for a seed.
	Name, Address string
}

// Probe returns one daemon that is listed, remembered or configured and not
// known to be alive, or false when there is none. Probing is how a daemon
// finds its first peers and how the halves of a partition find each other.
func (m *Members) PickProbe(now time.Time, rnd *rand.Rand) (ProbeCandidate, bool) {
	live, addrs := map[string]bool{}, map[string]bool{m.o.Self.Address: true}
	for _, e := range m.Live(now) {
		live[e.Name], addrs[e.Address] = true, true
	}
	var out []ProbeCandidate
	add := func(name, addr string) {
		if addr != "" && !addrs[addr] && !live[name] {
			addrs[addr] = true
			out = append(out, ProbeCandidate{name, addr})
		}
	}
	for _, name := range sortedKeys(m.vms) {
		add(name, m.vms[name].Address)
	}
	for _, name := range m.order() {
		add(name, m.byName[name].Address)
	}
	for _, a := range m.o.Seeds {
		add("", a)
	}
	if len(out) == 0 {
		return ProbeCandidate{}, false
	}
	// Not the last one again: a dead seed would be tried in vain for long.
	if len(out) > 1 {
		out = slices.DeleteFunc(out, func(c ProbeCandidate) bool { return c.Address == m.probed })
	}
	c := out[rnd.IntN(len(out))]
	m.probed = c.Address
	return c, true
}

// Watches reports whether this daemon watches the store: it is among the
// watchers of its data centre, or it sees no other that could be.
func (m *Members) IsWatcher(now time.Time) bool {
	self := m.Self()
	return slices.Contains(m.Watchers(now, self.DataCentre), self.Name)
}

// Watchers returns the daemons of a data centre that watch the store. Daemons
// that cannot reach it or that leave are passed over while others can.
func (m *Members) Watchers(now time.Time, dataCentre string) []string {
	var able, all []Member
	for _, e := range m.Live(now) {
		if e.DataCentre != dataCentre {
			continue
		}
		all = append(all, e)
		if !e.StoreDown && !e.Leaving && !m.vms[e.Name].Leaving {
			able = append(able, e)
		}
	}
	if len(able) == 0 {
		able = all
	}
	slices.SortFunc(able, func(a, b Member) int {
		return cmp.Compare(RendezvousWeight(dataCentre, b.Name), RendezvousWeight(dataCentre, a.Name))
	})
	var out []string
	for _, e := range able[:min(len(able), WatchersPerDataCentre)] {
		out = append(out, e.Name)
	}
	return out
}

// Rendezvous is the weight of a candidate for a chooser in rendezvous hashing.
func RendezvousWeight(chooser, candidate string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(chooser))
	h.Write([]byte{0})
	h.Write([]byte(candidate))
	// FNV mixes the last bytes poorly into the high bits.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
