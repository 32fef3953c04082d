package rollout

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/gooseberryroad/gooseberryroad/document"
)

// Options configure a Mover. Zero values take the defaults.
type Options struct {
	// Service is the service's name.
	Service string
	// WriteTimeout is how long the result of a store call is awaited before the
	// record is read back. Default 5 s.
	WriteTimeout time.Duration
	// RetryAfter is the mean pause after a store call without a certain result.
	// Default 1 s.
	RetryAfter time.Duration
	// WindowEvery is the least time between two windows. Default 1 s.
	WindowEvery time.Duration
}

const (
	// maxWindowCells bounds a window to about 500 bytes.
	maxWindowCells = 8
	// windowsPerSecond bounds the windows that the owner gets.
	windowsPerSecond = 16
	// refreshEvery is the least time after which all cells are sent again,
	// because windows may be lost, and refreshWindows the least number of windows.
	refreshEvery   = 30 * time.Second
	refreshWindows = 10
)

// announceGaps are the pauses between the first announcements of an alarm. The
// first ones bring it to all daemons within 2 s when messages are lost; later
// ones reach daemons that were cut off.
var announceGaps = []time.Duration{
	200 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond,
	time.Second, time.Second, 2 * time.Second,
}

const announceLater = time.Second

// alarmWait is how long a daemon that learns of a move that is under way gives
// the new version no requests: an alarm that it missed is repeated in this time.
const alarmWait = 3 * time.Second

// Mover decides one service's version moves at one daemon. It is not safe for
// concurrent use.
type Mover struct {
	self string
	o    Options
	rnd  *rand.Rand
	now  time.Time

	doc      *document.Service
	revision uint64
	// byVersion names the upstreams of each version that are not leaving.
	byVersion map[string][]string
	// order names them in the order in which a small share takes them.
	order  map[string][]string
	usable map[string]bool

	owner   string
	daemons int

	// rec is the latest record that was read, at the store index index. loaded
	// is set once the store or a peer said what it holds.
	rec    Move
	index  uint64
	loaded bool

	// pending is set while a write is in flight; readBack while its result, or
	// that of a read, is not known; retryAt is when to read (again).
	pending  bool
	readBack bool
	retryAt  time.Time

	// learned is when this daemon first read a record of the move.
	learned time.Time

	alarm      Alarm
	announced  int
	announceAt time.Time

	// latencies of the versions that may be the old one.
	latencies map[string]map[levelKey]*latencies
	ev        *evidence
	evBegan   uint64

	incarnation uint64
	windowAt    time.Time
	refreshAt   time.Time
	windows     int

	shares    map[string]SetShare
	explained string
	// held is the share at which growth is held while a test is suspicious.
	held float64

	out []Action
}

// New returns a Mover of the daemon self. The random generator spreads retries
// and makes the incarnation; it must differ between runs of a daemon.
func New(self string, o Options, rnd *rand.Rand) *Mover {
	if o.WriteTimeout <= 0 {
		o.WriteTimeout = 5 * time.Second
	}
	if o.RetryAfter <= 0 {
		o.RetryAfter = time.Second
	}
	if o.WindowEvery <= 0 {
		o.WindowEvery = time.Second
	}
	return &Mover{
		self: self, o: o, rnd: rnd, incarnation: rnd.Uint64(),
		latencies: map[string]map[levelKey]*latencies{},
		ev:        newEvidence(), shares: map[string]SetShare{},
	}
}

// Step handles one event and returns the actions in order.
func (m *Mover) Step(now time.Time, ev Event) []Action {
	if now.After(m.now) {
		m.now = now
	}
	m.out = nil
	switch ev := ev.(type) {
	case LocalSample:
		if !m.sampled(ev.Sample) {
			return nil
		}
	case DocumentAccepted:
		m.accepted(ev)
	case StoredRecord:
		m.stored(ev)
	case PeerWindow:
		m.observed(ev.Window)
	case PeerAlarm:
		m.alarmed(ev.Alarm)
	case OwnerElected:
		if ev.Owner != m.owner {
			m.markDirty()
		}
		m.owner, m.daemons = ev.Owner, ev.Daemons
	case UsableUpstreams:
		m.usable = nil
		if ev.Upstreams != nil {
			m.usable = map[string]bool{}
			for _, u := range ev.Upstreams {
				m.usable[u] = true
			}
		}
	case Tick:
	}
	m.startEvidence()
	m.applyShares()
	m.announce()
	m.sendWindow()
	m.own()
	return m.out
}

// Record returns the latest record that the Mover applies and its store index.
func (m *Mover) Record() (Move, uint64) { return m.rec, m.index }

func (m *Mover) accepted(ev DocumentAccepted) {
	if ev.Service == nil || ev.Revision <= m.revision {
		return
	}
	m.doc, m.revision = ev.Service, ev.Revision
	m.byVersion = map[string][]string{}
	for _, u := range m.doc.Upstreams {
		if !u.Leaving {
			m.byVersion[u.Version] = append(m.byVersion[u.Version], u.Name)
		}
	}
	m.order = map[string][]string{}
	for v, names := range m.byVersion {
		m.order[v] = pickOrder(v, names)
	}
	if m.o.Service == "" {
		m.o.Service = ev.Service.Name
	}
}

func (m *Mover) stored(ev StoredRecord) {
	if ev.Err != nil {
		m.pending = false
		m.readLater(m.pause())
		return
	}
	if ev.Index < m.index {
		return
	}
	m.loaded = true
	if ev.Index > m.index {
		m.rec, m.index = ev.Move, ev.Index
		m.pending = false
	} else if m.pending {
		// A watch repeats the record that the write is to replace.
		return
	}
	m.readBack = false
	m.retryAt = time.Time{}
}

func (m *Mover) readLater(after time.Duration) {
	m.readBack = true
	m.retryAt = m.now.Add(after)
}

func (m *Mover) pause() time.Duration {
	return time.Duration((0.5 + m.rnd.Float64()) * float64(m.o.RetryAfter))
}

// matches tells whether the record is an answer to the document in force.
func (m *Mover) matches() bool {
	r := m.rec
	if r.Fence == 0 || r.To == "" || m.doc == nil {
		return false
	}
	if r.DocRevision > m.revision {
		// This daemon has not got the document yet.
		return true
	}
	v := m.doc.Versions
	if sameVersions(r.Versions, v) {
		return true
	}
	if r.Phase == PhaseRolledBack {
		return false
	}
	return (v.Serving == r.From && v.Next == r.To) || (v.Serving == r.To && v.Next == "")
}

func sameVersions(a, b document.Versions) bool {
	return a.Serving == b.Serving && a.Next == b.Next && a.Deadline.Equal(b.Deadline) &&
		a.Warm == b.Warm && a.StartShare == b.StartShare
}

// confirmed tells that the team made the new version the serving one.
func (m *Mover) confirmed() bool {
	return m.doc.Versions.Serving == m.rec.To && m.doc.Versions.Next == ""
}

// replicas are the names of the version's upstreams in the document that are
// not leaving.
func (m *Mover) replicas(version string) []string { return m.byVersion[version] }

// phase is the phase in force at this daemon.
func (m *Mover) phase() Phase {
	if !m.matches() {
		return PhaseNone
	}
	p := m.rec.PhaseAt(m.now)
	switch {
	case p == PhaseRolledBack:
	case m.alarmInForce():
		p = PhaseRolledBack
	case m.confirmed():
		p = PhaseDone
	case p == PhaseDone && m.rec.Phase != PhaseDone && len(m.replicas(m.rec.To)) == 0:
		p = m.rec.Phase
	}
	return p
}

// alarmInForce tells whether an alarm is in force for the record's move and there is
// an old version to go back to.
func (m *Mover) alarmInForce() bool {
	return m.alarm.Began != 0 && m.alarm.Began == m.rec.Began && m.alarm.To == m.rec.To &&
		len(m.replicas(m.rec.From)) > 0
}

// examining tells whether outcomes are evidence: from the start of a move to
// the end of the warm time.
func (m *Mover) examining() bool {
	switch m.phase() {
	case PhaseProbing, PhaseGrowing:
		return true
	case PhaseDone:
		return m.now.Before(m.rec.WarmUntil())
	}
	return false
}

// startEvidence drops the evidence of an earlier move.
func (m *Mover) startEvidence() {
	if m.rec.Began != m.evBegan {
		m.ev, m.evBegan = newEvidence(), m.rec.Began
		m.learned = m.now
		m.held, m.windowAt, m.refreshAt, m.windows = 0, time.Time{}, time.Time{}, 0
	}
	if m.doc == nil {
		return
	}
	for v := range m.latencies {
		if v != m.doc.Versions.Serving && v != m.rec.From && v != m.rec.To {
			delete(m.latencies, v)
		}
	}
}

// sampled counts an outcome. It reports whether the other parts of the step
// must run.
func (m *Mover) sampled(s Sample) bool {
	if m.doc == nil || s.Poison || (s.Version != m.rec.From && s.Version != m.rec.To && s.Version != m.doc.Versions.Serving) {
		return false
	}
	route := m.ev.route(s.Route)
	lv := level(s.Load)
	examining := m.examining()
	isNew := examining && s.Version == m.rec.To
	isOld := examining && s.Version == m.rec.From
	if s.UpstreamLost {
		if isNew || isOld {
			m.ev.upstreamLost(s.Upstream, m.now, isNew)
			if n, bad := m.ev.deathVerdict(); bad && isNew {
				m.raise(s.Route, fmt.Sprintf("its replicas died %d times, apart from the old version's", n))
				return true
			}
		}
		return false
	}
	if s.Crashed && m.ev.repeatedCrash(s.Upstream, m.now) {
		return false
	}
	if !s.Crashed {
		m.ev.answered(s.Upstream, s.At)
	}
	healthy := !s.Failed && !s.Crashed && !s.Truncated && !s.Empty
	c := Counts{N: 1, Failed: bit(s.Failed), Crashed: bit(s.Crashed), Truncated: bit(s.Truncated), Empty: bit(s.Empty)}
	reference := s.Version
	if isNew {
		reference = m.rec.From
	}
	if healthy {
		first, between := m.limits(reference, route, lv, isNew || isOld)
		if first > 0 && s.FirstToken > 0 {
			c.FirstN, c.SlowFirst = 1, bit(s.FirstToken > first)
		}
		if between > 0 && s.BetweenTokens > 0 {
			c.BetweenN, c.SlowBetween = 1, bit(s.BetweenTokens > between)
		}
		if !isNew {
			l := m.latenciesOf(reference, levelKey{route, lv})
			if s.FirstToken > 0 {
				l.first.add(s.FirstToken)
			}
			if s.BetweenTokens > 0 {
				l.between.add(s.BetweenTokens)
			}
		}
	}
	var f finding
	var bad bool
	switch {
	case isNew:
		f, bad = m.ev.count(route, Counts{}, c)
	case isOld:
		f, bad = m.ev.count(route, c, Counts{})
	default:
		return false
	}
	if bad {
		m.raise(f.route, f.text())
	}
	// A bad outcome may make a test suspicious, which changes the share.
	return bad || (isNew && c != Counts{N: 1, FirstN: c.FirstN, BetweenN: c.BetweenN})
}

func bit(b bool) uint32 {
	if b {
		return 1
	}
	return 0
}

func (m *Mover) latenciesOf(version string, k levelKey) *latencies {
	cells := m.latencies[version]
	if cells == nil {
		cells = map[levelKey]*latencies{}
		m.latencies[version] = cells
	}
	l := cells[k]
	if l == nil {
		l = &latencies{}
		cells[k] = l
	}
	return l
}

// limits returns the latencies above which an answer is slow; 0 when they are
// not known. They come from the old version's quantiles at the same load level
// and at higher ones; the smallest counts, because less load must not make an
// answer slower. So a level whose quantile was first learned, or has followed,
// during a fault of both versions does not make the old version look healthy.
//
// An answer at a higher level than any that is known is compared with the
// highest only when the new version's replicas get no more requests than the old
// ones: then the load is the version's own slowness. That holds for both
// versions, so that both are judged alike in a fault of both.
func (m *Mover) limits(version, route string, lv uint8, examining bool) (first, between time.Duration) {
	cells := m.latencies[version]
	late := !m.waitsUntil().IsZero()
	smaller := func(limit time.Duration, r *ring) time.Duration {
		if r.ready(late) && (limit == 0 || r.limit < limit) {
			return r.limit
		}
		return limit
	}
	for l := lv; int(l) < levels; l++ {
		if c := cells[levelKey{route, l}]; c != nil {
			first, between = smaller(first, &c.first), smaller(between, &c.between)
		}
	}
	if first == 0 && between == 0 && examining && m.likeRequests() {
		for l := int(lv) - 1; l >= 0 && first == 0 && between == 0; l-- {
			if c := cells[levelKey{route, uint8(l)}]; c != nil {
				first, between = smaller(first, &c.first), smaller(between, &c.between)
			}
		}
	}
	if first > 0 {
		first = time.Duration(slowFactor*float64(first)) + slowFirstSlack
	}
	return first, time.Duration(slowFactor * float64(between))
}

// likeRequests tells whether a replica of the new version gets at most
// loadTolerance of the requests of an old one.
func (m *Mover) likeRequests() bool {
	s := m.shares[m.rec.To]
	n, old := len(s.Replicas), len(m.replicas(m.rec.From))
	if s.Replicas == nil {
		n = len(m.replicas(m.rec.To))
	}
	if n == 0 || old == 0 {
		return false
	}
	return s.Share/float64(n) <= loadTolerance*max(1-s.Share, 0.5)/float64(old)
}

func (f finding) text() string {
	s := f.seq
	route := ""
	if f.route != "" {
		route = " on route " + f.route
	}
	return fmt.Sprintf("%s%s: %.0f of %.0f answers of the new version, against %.0f of %.0f of the old one in the same time",
		f.kind, route, s.bad, s.n, s.oldBad, s.oldN)
}

// raise makes this daemon's verdict.
func (m *Mover) raise(route, reason string) {
	if m.alarm.Began >= m.rec.Began || len(m.replicas(m.rec.From)) == 0 {
		return
	}
	m.setAlarm(Alarm{Service: m.o.Service, To: m.rec.To, Began: m.rec.Began, Daemon: m.self,
		At: m.now, Route: route, Reason: reason})
}

func (m *Mover) alarmed(a Alarm) {
	if a.Service != m.o.Service || a.Began <= m.alarm.Began || a.Began < m.rec.Began {
		return
	}
	m.setAlarm(a)
}

func (m *Mover) setAlarm(a Alarm) {
	m.alarm, m.announced, m.announceAt = a, 0, m.now
	m.explain(fmt.Sprintf("version %s gets no requests: %s (seen by %s)", a.To, a.Reason, a.Daemon))
}

func (m *Mover) explain(text string) {
	if text != m.explained {
		m.explained = text
		m.out = append(m.out, Explain{text})
	}
}

// announce repeats the alarm in force until the rollback is recorded.
func (m *Mover) announce() {
	if m.alarm.Began == 0 || m.announceAt.IsZero() {
		return
	}
	if m.rec.Began > m.alarm.Began || (m.rec.Began == m.alarm.Began && m.rec.Phase == PhaseRolledBack && m.announced >= len(announceGaps)) {
		m.announceAt = time.Time{}
		return
	}
	if m.now.Before(m.announceAt) {
		return
	}
	gap := announceLater
	if m.announced < len(announceGaps) {
		gap = announceGaps[m.announced]
	}
	m.announced++
	m.announceAt = m.now.Add(gap)
	m.out = append(m.out, AnnounceAlarm{m.alarm})
}

// examined tells whether enough outcomes of the new version were seen.
func (m *Mover) examined() bool {
	return m.rec.Examined || m.ev.merged.judged >= examinedMin
}

func (m *Mover) suspicious() bool {
	return m.ev.own.suspicious() || m.ev.merged.suspicious()
}

// share is the share of To in force at this daemon, and the versions it is
// divided between.
func (m *Mover) share() (from, to string, share float64) {
	v := m.doc.Versions
	if !m.matches() {
		return v.Serving, v.Next, 0
	}
	from, to = m.rec.From, m.rec.To
	phase := m.phase()
	old, neu := len(m.replicas(from)), len(m.replicas(to))
	switch {
	case neu == 0:
		return from, to, 0
	case old == 0:
		return from, to, 1
	case phase == PhaseRolledBack:
		return from, to, 0
	case phase == PhaseDone && !m.now.Before(m.rec.WarmUntil()):
		return from, to, 1
	case m.now.Before(m.waitsUntil()):
		return from, to, 0
	case phase == PhaseDone:
		share = 1
		if !m.examined() || m.suspicious() {
			share = unexaminedShare
		}
		return from, to, share
	}
	share = m.rec.ShareAt(m.now)
	if phase == PhaseGrowing && m.suspicious() {
		share = min(share, m.held)
	}
	m.held = max(share, MaxProbeShare)
	return from, to, share
}

// waitsUntil is the end of the wait for alarms that this daemon may have missed;
// the past when it has known the move from its start.
func (m *Mover) waitsUntil() time.Time {
	if m.learned.Sub(m.rec.Started) < alarmWait {
		return time.Time{}
	}
	return m.learned.Add(alarmWait)
}

func (m *Mover) applyShares() {
	if m.doc == nil {
		return
	}
	from, to, share := m.share()
	want := map[string]SetShare{from: {Service: m.o.Service, Version: from, Share: 1 - share}}
	if to != "" {
		s := SetShare{Service: m.o.Service, Version: to, Share: share}
		if share > 0 && share < 1 && m.matches() && m.phase() != PhaseDone {
			s.Replicas = m.pick(to, replicasFor(share, max(m.rec.Replicas, 1)))
		}
		want[to] = s
	}
	for v := range m.shares {
		if _, ok := want[v]; !ok {
			want[v] = SetShare{Service: m.o.Service, Version: v}
		}
	}
	// The version that loses share is set first.
	versions := make([]string, 0, len(want))
	for v := range want {
		versions = append(versions, v)
	}
	sort.Slice(versions, func(i, j int) bool {
		a, b := want[versions[i]], want[versions[j]]
		if a.Share != b.Share {
			return a.Share < b.Share
		}
		return versions[i] < versions[j]
	})
	for _, v := range versions {
		s := want[v]
		had, ok := m.shares[v]
		if ok && had.Share == s.Share && slices.Equal(had.Replicas, s.Replicas) && (had.Replicas == nil) == (s.Replicas == nil) {
			continue
		}
		m.out = append(m.out, s)
		if s.Share == 0 && v != from && v != to {
			delete(m.shares, v)
			continue
		}
		m.shares[v] = s
	}
}

// pick returns k replicas of the version, the same ones at every daemon, or nil
// when that is all of them.
func (m *Mover) pick(version string, k int) []string {
	names := m.order[version]
	if m.usable != nil {
		up := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return !m.usable[n] })
		if len(up) > 0 {
			names = up
		}
	}
	if k >= len(names) {
		return nil
	}
	names = slices.Clone(names[:k])
	sort.Strings(names)
	return names
}

// pickOrder sorts names by a hash, so that every daemon takes the same replicas
// and different versions do not load the same place.
func pickOrder(version string, names []string) []string {
	weights := make(map[string]uint64, len(names))
	for _, n := range names {
		h := fnv.New64a()
		_, _ = h.Write([]byte(version + "/" + n))
		weights[n] = h.Sum64()
	}
	names = slices.Clone(names)
	sort.Slice(names, func(i, j int) bool {
		a, b := weights[names[i]], weights[names[j]]
		return a < b || (a == b && names[i] < names[j])
	})
	return names
}

func (m *Mover) observed(w Window) {
	if w.Service != m.o.Service || w.Daemon == m.self || w.Began != m.evBegan || w.Began == 0 || m.doc == nil || !m.examining() {
		return
	}
	if f, bad := m.ev.merge(m.now, w, m.rec.largestShare(m.now)); bad {
		m.raise(f.route, f.text())
	}
}

func (m *Mover) markDirty() {
	for _, c := range m.ev.cells {
		c.dirty = true
	}
	m.ev.dirty = len(m.ev.cells) > 0
	m.refreshAt = m.now.Add(max(refreshEvery, refreshWindows*m.windowEvery()))
}

func (m *Mover) windowEvery() time.Duration {
	if n := time.Duration(m.daemons) * time.Second / windowsPerSecond; n > m.o.WindowEvery {
		return n
	}
	return m.o.WindowEvery
}

// sends tells whether this daemon tells the owner what it saw.
func (m *Mover) sends() bool {
	return m.owner != "" && m.owner != m.self && len(m.ev.cells) > 0 && m.examining()
}

// windowDue is when the next window is due.
func (m *Mover) windowDue() time.Time {
	if m.ev.dirty {
		return m.windowAt
	}
	return m.refreshAt
}

// sendWindow sends the cells that changed to the owner.
func (m *Mover) sendWindow() {
	if m.doc == nil || !m.sends() || m.now.Before(m.windowDue()) {
		return
	}
	if !m.now.Before(m.refreshAt) {
		m.markDirty()
	}
	m.windowAt = m.now.Add(m.windowEvery())
	m.windows++
	var routes []string
	for r, c := range m.ev.cells {
		if c.dirty {
			routes = append(routes, r)
		}
	}
	sort.Strings(routes)
	// When not all fit, each window starts at another cell.
	w := Window{Service: m.o.Service, Began: m.evBegan, Daemon: m.self, Incarnation: m.incarnation}
	n := min(len(routes), maxWindowCells)
	for i := range n {
		r := routes[(m.windows*maxWindowCells+i)%len(routes)]
		c := m.ev.cells[r]
		c.dirty = false
		w.Cells = append(w.Cells, Cell{r, c.old, c.new})
	}
	m.ev.dirty = len(routes) > n
	m.out = append(m.out, SendWindow{m.owner, w})
}

// own does the owner's part: reading back and writing the record.
func (m *Mover) own() {
	if m.doc == nil || m.owner != m.self {
		// A record that this daemon did not get a result for is the next
		// owner's matter.
		m.readBack, m.pending = false, false
		return
	}
	if m.pending && !m.now.Before(m.retryAt) {
		m.pending = false
		m.readLater(0)
	}
	if m.pending {
		return
	}
	if !m.loaded && !m.readBack {
		m.readLater(0)
	}
	if m.readBack {
		if !m.now.Before(m.retryAt) {
			m.retryAt = m.now.Add(m.o.WriteTimeout)
			m.out = append(m.out, ReadMove{m.o.Service})
		}
		return
	}
	next, write := m.plan()
	if !write {
		return
	}
	next.Service, next.Owner, next.Fence = m.o.Service, m.self, m.rec.Fence+1
	if next.Began == 0 {
		next.Began = next.Fence
	}
	next.Share = next.ShareAt(m.now)
	m.pending = true
	m.retryAt = m.now.Add(m.o.WriteTimeout)
	m.out = append(m.out, WriteMove{next, m.index})
	m.explain(fmt.Sprintf("writing %s of %s to %s: %s", next.Phase, next.From, next.To, next.Reason))
}

// plan returns the next record, if the present one must change. The fence and
// the owner are filled in by the caller.
func (m *Mover) plan() (Move, bool) {
	r, v := m.rec, m.doc.Versions
	if r.Fence > 0 && m.revision < r.DocRevision {
		return Move{}, false
	}
	if !m.matches() {
		return m.planNew()
	}
	if r.Phase == PhaseRolledBack {
		return Move{}, false
	}
	n := r
	set := func(p Phase, since time.Time, reason string) (Move, bool) {
		if p != n.Phase {
			n.PhaseSince = since
		}
		n.Phase, n.Reason = p, reason
		n.Examined = m.examined()
		n.DocRevision, n.Versions = m.revision, v
		return n, true
	}
	old, neu := len(m.replicas(r.From)), len(m.replicas(r.To))
	switch {
	case m.alarmInForce():
		return set(PhaseRolledBack, m.now, m.alarm.Reason+" (seen by "+m.alarm.Daemon+")")
	case r.Phase == PhaseDone && neu == 0 && old > 0 && !m.confirmed():
		return set(PhaseRolledBack, m.now, "no replica runs the new version any more")
	case r.Phase != PhaseDone && m.confirmed():
		return set(PhaseDone, m.now, "the document names it as the serving version")
	case r.Phase != PhaseDone && old == 0 && neu > 0:
		return set(PhaseDone, m.now, "no replica runs the old version any more")
	case !sameVersions(r.Versions, v):
		if v.Next != "" && r.Phase != PhaseDone {
			if !m.now.Before(v.Deadline) {
				return set(PhaseRolledBack, m.now, "the document's new deadline has passed")
			}
			n.Deadline = v.Deadline
		}
		return set(r.Phase, r.PhaseSince, r.Reason)
	case r.Phase == PhaseDone:
		if !r.Examined && m.examined() {
			return set(PhaseDone, r.PhaseSince, r.Reason)
		}
		return Move{}, false
	case neu == 0:
		if !m.now.Before(r.Deadline) {
			return set(PhaseRolledBack, m.now, "no replica ran the new version at the deadline")
		}
		return Move{}, false
	}
	switch p := r.PhaseAt(m.now); {
	case p == PhaseDone:
		reason := "no evidence against it by the end of the schedule"
		if !m.examined() {
			reason = "the schedule ended with too few requests to examine it; half of the first requests stay on the old version"
		}
		return set(PhaseDone, r.FinishesAt(), reason)
	case p != r.Phase:
		return set(p, r.GrowsAt(), "no evidence against it while probing")
	}
	return Move{}, false
}

// planNew returns the record that answers to a document that the present record
// does not answer to.
func (m *Mover) planNew() (Move, bool) {
	r, v := m.rec, m.doc.Versions
	if v.Next == "" {
		switch {
		case r.Phase == PhaseProbing, r.Phase == PhaseGrowing, r.Phase == PhaseDone && v.Serving == r.From:
			r.Phase, r.PhaseSince, r.Reason = PhaseRolledBack, m.now, "the document no longer asks for it"
			r.DocRevision, r.Versions = m.revision, v
			return r, true
		}
		return Move{}, false
	}
	old, neu := len(m.replicas(v.Serving)), len(m.replicas(v.Next))
	n := Move{From: v.Serving, To: v.Next, DocRevision: m.revision, Deadline: v.Deadline,
		PhaseSince: m.now, Started: m.now, Versions: v, Replicas: old}
	switch {
	case !m.now.Before(v.Deadline):
		n.Phase, n.Reason = PhaseRolledBack, "the deadline passed before the move could begin"
	case neu == 0:
		return Move{}, false
	case old == 0:
		n.Phase, n.Reason = PhaseDone, "no replica runs the old version"
	default:
		n.Phase, n.Reason = PhaseProbing, "the document asks for it"
	}
	return n, true
}

// NextTimer returns when the Mover needs its next Tick.
func (m *Mover) NextTimer() (time.Time, bool) {
	var at time.Time
	if m.doc == nil {
		return at, false
	}
	at = earlier(at, m.announceAt)
	if m.owner == m.self && (m.pending || m.readBack) {
		at = earlier(at, m.retryAt)
	}
	if m.matches() {
		if t := m.waitsUntil(); t.After(m.now) {
			at = earlier(at, t)
		}
		switch m.phase() {
		case PhaseProbing, PhaseGrowing:
			_, next := m.rec.shareAt(m.now)
			at = earlier(at, next)
			for _, t := range []time.Time{m.rec.GrowsAt(), m.rec.FinishesAt(), m.rec.Deadline} {
				if t.After(m.now) {
					at = earlier(at, t)
				}
			}
		case PhaseDone:
			if w := m.rec.WarmUntil(); w.After(m.now) {
				at = earlier(at, w)
			}
		}
		if m.sends() {
			// A window that is due was held back by no more than this step.
			at = earlier(at, laterOf(m.windowDue(), m.now))
		}
	} else if d := m.doc.Versions.Deadline; m.owner == m.self && m.doc.Versions.Next != "" && d.After(m.now) {
		at = earlier(at, d)
	}
	return at, !at.IsZero()
}
