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
	// WriteTimeout is how long the Mover waits for the result of a store call
	// before it reads the record back. Default 5 s.
	WriteTimeout time.Duration
	// RetryAfter is the mean pause after a store call without a certain result.
	// Default 1 s.
	RetryAfter time.Duration
	// WindowEvery is the minimum time between two windows. Default 1 s.
	WindowEvery time.Duration
}

const (
	// maxWindowCells bounds the cells of a window, and so its size to about 500
	// bytes.
	maxWindowCells = 8
	// windowsPerSecond bounds the windows per second that the owner receives from
	// all daemons.
	windowsPerSecond = 16
	// All cells are sent again, because windows may be lost, after refreshEvery or
	// refreshWindows times the time between two windows, whichever is longer.
	refreshEvery   = 30 * time.Second
	refreshWindows = 10
)

// announceGaps are the pauses after the first announcements of an alarm, and
// announceInterval is the pause after each later one. The first ones bring the
// alarm to all daemons within 2 s even if messages are lost; the later ones reach
// daemons that were cut off from the network.
var announceGaps = []time.Duration{
	200 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond,
	time.Second, time.Second, 2 * time.Second,
}

const announceInterval = time.Second

// alarmWait is how long a daemon that learns of a move already under way sends no
// requests to the new version: an alarm that it missed is repeated within this
// time.
const alarmWait = 3 * time.Second

// Mover decides one service's version moves at one daemon. It is not safe for
// concurrent use.
type Mover struct {
	self string
	o    Options
	rng  *rand.Rand
	now  time.Time

	doc      *document.Service
	revision uint64
	// byVersion names the upstreams of each version that are not leaving.
	byVersion map[string][]string
	// replicaOrder lists the same upstreams in the order in which they are taken
	// into use when the share is small.
	replicaOrder map[string][]string
	usable       map[string]bool

	owner   string
	daemons int

	// record is the latest record known, and recordIndex its store index. loaded
	// is set once the store or a peer reported the record or its absence.
	record      Move
	recordIndex uint64
	loaded      bool

	// pending is set while a write is in flight, and readBack while the record must
	// be read because the result of a write or read is not known. retryAt is when
	// to give up waiting for the write, or when to read (again).
	pending  bool
	readBack bool
	retryAt  time.Time

	// learnedAt is when this daemon first got a record of the move.
	learnedAt time.Time

	// alarm is the latest alarm, announceCount the number of times that it was
	// announced, and announceAt when it is due next (zero when it is not).
	alarm         Alarm
	announceCount int
	announceAt    time.Time

	// latencies holds the latencies, by version, of the versions that may be the
	// old one of a move. evidence belongs to the move that evidenceBegan identifies
	// (see Move.Began).
	latencies     map[string]map[levelKey]*latencies
	evidence      *evidence
	evidenceBegan uint64

	// windowAt is the earliest time for the next window, refreshAt when all cells
	// are sent again, and windowCount the number of windows sent for this move.
	incarnation uint64
	windowAt    time.Time
	refreshAt   time.Time
	windowCount int

	// shares holds the latest SetShare of each version.
	shares        map[string]SetShare
	lastExplained string
	// heldShare is the share above which the new version does not grow while a
	// test is suspicious.
	heldShare float64

	actions []Action
}

// New returns a Mover of the daemon named self. The random generator spreads
// retries and gives the incarnation, so its seed must differ between runs of a
// daemon.
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
		self: self, o: o, rng: rnd, incarnation: rnd.Uint64(),
		latencies: map[string]map[levelKey]*latencies{},
		evidence:  newEvidence(), shares: map[string]SetShare{},
	}
}

// Step handles one event and returns the actions in order.
func (m *Mover) Step(now time.Time, ev Event) []Action {
	if now.After(m.now) {
		m.now = now
	}
	m.actions = nil
	switch ev := ev.(type) {
	case LocalSample:
		if !m.handleSample(ev.Sample) {
			return nil
		}
	case DocumentAccepted:
		m.handleDocument(ev)
	case StoredRecord:
		m.handleRecord(ev)
	case PeerWindow:
		m.handleWindow(ev.Window)
	case PeerAlarm:
		m.handleAlarm(ev.Alarm)
	case OwnerElected:
		if ev.Owner != m.owner {
			m.markAllDirty()
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
	m.dropOldEvidence()
	m.applyShares()
	m.announceAlarm()
	m.sendWindow()
	m.stepOwner()
	return m.actions
}

// Record returns the latest record that the Mover knows and its store index.
func (m *Mover) Record() (Move, uint64) { return m.record, m.recordIndex }

func (m *Mover) handleDocument(ev DocumentAccepted) {
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
	m.replicaOrder = map[string][]string{}
	for v, names := range m.byVersion {
		m.replicaOrder[v] = hashOrder(v, names)
	}
	if m.o.Service == "" {
		m.o.Service = ev.Service.Name
	}
}

func (m *Mover) handleRecord(ev StoredRecord) {
	if ev.Err != nil {
		m.pending = false
		m.scheduleRead(m.retryPause())
		return
	}
	if ev.Index < m.recordIndex {
		return
	}
	m.loaded = true
	if ev.Index > m.recordIndex {
		m.record, m.recordIndex = ev.Move, ev.Index
		m.pending = false
	} else if m.pending {
		// A watch repeated the record that the pending write will replace.
		return
	}
	m.readBack = false
	m.retryAt = time.Time{}
}

func (m *Mover) scheduleRead(after time.Duration) {
	m.readBack = true
	m.retryAt = m.now.Add(after)
}

func (m *Mover) retryPause() time.Duration {
	return time.Duration((0.5 + m.rng.Float64()) * float64(m.o.RetryAfter))
}

// recordApplies reports whether the record belongs to the versions in the
// document in force.
func (m *Mover) recordApplies() bool {
	r := m.record
	if r.Fence == 0 || r.To == "" || m.doc == nil {
		return false
	}
	if r.DocRevision > m.revision {
		// This daemon has not received the record's document yet.
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

// confirmed reports whether the team made the new version the serving one in the
// document.
func (m *Mover) confirmed() bool {
	return m.doc.Versions.Serving == m.record.To && m.doc.Versions.Next == ""
}

// replicas returns the names of the version's upstreams in the document that are
// not leaving.
func (m *Mover) replicas(version string) []string { return m.byVersion[version] }

// phase returns the phase in force at this daemon.
func (m *Mover) phase() Phase {
	if !m.recordApplies() {
		return PhaseNone
	}
	p := m.record.PhaseAt(m.now)
	switch {
	case p == PhaseRolledBack:
	case m.alarmInForce():
		p = PhaseRolledBack
	case m.confirmed():
		p = PhaseDone
	case p == PhaseDone && m.record.Phase != PhaseDone && len(m.replicas(m.record.To)) == 0:
		p = m.record.Phase
	}
	return p
}

// alarmInForce reports whether there is an alarm for the record's move and the old
// version still has replicas to go back to.
func (m *Mover) alarmInForce() bool {
	return m.alarm.Began != 0 && m.alarm.Began == m.record.Began && m.alarm.To == m.record.To &&
		len(m.replicas(m.record.From)) > 0
}

// examining reports whether outcomes count as evidence, which they do from the
// start of a move to the end of the warm time.
func (m *Mover) examining() bool {
	switch m.phase() {
	case PhaseProbing, PhaseGrowing:
		return true
	case PhaseDone:
		return m.now.Before(m.record.WarmUntil())
	}
	return false
}

// dropOldEvidence drops the evidence of an earlier move and the latencies of
// versions that are no longer involved.
func (m *Mover) dropOldEvidence() {
	if m.record.Began != m.evidenceBegan {
		m.evidence, m.evidenceBegan = newEvidence(), m.record.Began
		m.learnedAt = m.now
		m.heldShare, m.windowAt, m.refreshAt, m.windowCount = 0, time.Time{}, time.Time{}, 0
	}
	if m.doc == nil {
		return
	}
	for v := range m.latencies {
		if v != m.doc.Versions.Serving && v != m.record.From && v != m.record.To {
			delete(m.latencies, v)
		}
	}
}

// handleSample counts an outcome that this daemon saw. It reports whether the rest
// of the step must run.
func (m *Mover) handleSample(s Sample) bool {
	if m.doc == nil || s.Poison || (s.Version != m.record.From && s.Version != m.record.To && s.Version != m.doc.Versions.Serving) {
		return false
	}
	route := m.evidence.route(s.Route)
	level := loadLevel(s.Load)
	examining := m.examining()
	isNew := examining && s.Version == m.record.To
	isOld := examining && s.Version == m.record.From
	if s.UpstreamLost {
		if isNew || isOld {
			m.evidence.upstreamLost(s.Upstream, m.now, isNew)
			if n, bad := m.evidence.deathVerdict(); bad && isNew {
				m.raiseAlarm(s.Route, fmt.Sprintf("its replicas died %d times, apart from the old version's", n))
				return true
			}
		}
		return false
	}
	if s.Crashed && m.evidence.repeatedCrash(s.Upstream, m.now) {
		return false
	}
	if !s.Crashed {
		m.evidence.answered(s.Upstream, s.At)
	}
	healthy := !s.Failed && !s.Crashed && !s.Truncated && !s.Empty
	c := Counts{N: 1, Failed: bit(s.Failed), Crashed: bit(s.Crashed), Truncated: bit(s.Truncated), Empty: bit(s.Empty)}
	reference := s.Version
	if isNew {
		reference = m.record.From
	}
	if healthy {
		first, between := m.slowLimits(reference, route, level, isNew || isOld)
		if first > 0 && s.FirstToken > 0 {
			c.FirstN, c.SlowFirst = 1, bit(s.FirstToken > first)
		}
		if between > 0 && s.BetweenTokens > 0 {
			c.BetweenN, c.SlowBetween = 1, bit(s.BetweenTokens > between)
		}
		if !isNew {
			l := m.latenciesOf(reference, levelKey{route, level})
			if s.FirstToken > 0 {
				l.first.add(s.FirstToken)
			}
			if s.BetweenTokens > 0 {
				l.between.add(s.BetweenTokens)
			}
		}
	}
	var result testResult
	var bad bool
	switch {
	case isNew:
		result, bad = m.evidence.countOwn(route, Counts{}, c)
	case isOld:
		result, bad = m.evidence.countOwn(route, c, Counts{})
	default:
		return false
	}
	if bad {
		m.raiseAlarm(result.route, result.alarmReason())
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

// slowLimits returns the latencies above which an answer is slow; 0 when they are
// not known. They come from the old version's quantiles at the same load level
// and at all higher ones. The smallest quantile is taken, because less load must
// not make an answer slower. That way, a level whose quantile was first computed
// during a fault of both versions, or rose during one, does not make the old
// version look healthy.
//
// An answer at a higher level than any with a known quantile is compared with the
// highest known one, but only when the new version's replicas get about the same
// number of requests as the old ones (see comparableLoad): then the higher load
// comes from the slowness of the version itself. The rule is the same for both
// versions, so that a fault of both counts against both alike.
func (m *Mover) slowLimits(version, route string, level uint8, examining bool) (first, between time.Duration) {
	cells := m.latencies[version]
	late := !m.alarmWaitEnds().IsZero()
	smaller := func(limit time.Duration, r *latencyRing) time.Duration {
		if r.ready(late) && (limit == 0 || r.quantile < limit) {
			return r.quantile
		}
		return limit
	}
	for l := level; int(l) < loadLevels; l++ {
		if c := cells[levelKey{route, l}]; c != nil {
			first, between = smaller(first, &c.first), smaller(between, &c.between)
		}
	}
	if first == 0 && between == 0 && examining && m.comparableLoad() {
		for l := int(level) - 1; l >= 0 && first == 0 && between == 0; l-- {
			if c := cells[levelKey{route, uint8(l)}]; c != nil {
				first, between = smaller(first, &c.first), smaller(between, &c.between)
			}
		}
	}
	if first > 0 {
		first = time.Duration(slowFactor*float64(first)) + firstTokenSlack
	}
	return first, time.Duration(slowFactor * float64(between))
}

// comparableLoad reports whether a replica of the new version gets at most
// loadTolerance times as many requests as one of the old version. The old version
// is taken to get at least half of all requests.
func (m *Mover) comparableLoad() bool {
	s := m.shares[m.record.To]
	n, old := len(s.Replicas), len(m.replicas(m.record.From))
	if s.Replicas == nil {
		n = len(m.replicas(m.record.To))
	}
	if n == 0 || old == 0 {
		return false
	}
	return s.Share/float64(n) <= loadTolerance*max(1-s.Share, 0.5)/float64(old)
}

func (r testResult) alarmReason() string {
	t := r.test
	route := ""
	if r.route != "" {
		route = " on route " + r.route
	}
	return fmt.Sprintf("%s%s: %.0f of %.0f answers of the new version, against %.0f of %.0f of the old one in the same time",
		r.kind, route, t.bad, t.n, t.oldBad, t.oldN)
}

// raiseAlarm sets an alarm of this daemon, unless one for this or a later move is
// set, or there is no old version to go back to.
func (m *Mover) raiseAlarm(route, reason string) {
	if m.alarm.Began >= m.record.Began || len(m.replicas(m.record.From)) == 0 {
		return
	}
	m.setAlarm(Alarm{Service: m.o.Service, To: m.record.To, Began: m.record.Began, Daemon: m.self,
		At: m.now, Route: route, Reason: reason})
}

func (m *Mover) handleAlarm(a Alarm) {
	if a.Service != m.o.Service || a.Began <= m.alarm.Began || a.Began < m.record.Began {
		return
	}
	m.setAlarm(a)
}

func (m *Mover) setAlarm(a Alarm) {
	m.alarm, m.announceCount, m.announceAt = a, 0, m.now
	m.explain(fmt.Sprintf("version %s gets no requests: %s (seen by %s)", a.To, a.Reason, a.Daemon))
}

func (m *Mover) explain(text string) {
	if text != m.lastExplained {
		m.lastExplained = text
		m.actions = append(m.actions, Explain{text})
	}
}

// announceAlarm sends the alarm when it is due. The alarm is repeated until a later
// move has begun, or until the rollback is recorded and all announceGaps have been
// used.
func (m *Mover) announceAlarm() {
	if m.alarm.Began == 0 || m.announceAt.IsZero() {
		return
	}
	if m.record.Began > m.alarm.Began || (m.record.Began == m.alarm.Began && m.record.Phase == PhaseRolledBack && m.announceCount >= len(announceGaps)) {
		m.announceAt = time.Time{}
		return
	}
	if m.now.Before(m.announceAt) {
		return
	}
	gap := announceInterval
	if m.announceCount < len(announceGaps) {
		gap = announceGaps[m.announceCount]
	}
	m.announceCount++
	m.announceAt = m.now.Add(gap)
	m.actions = append(m.actions, AnnounceAlarm{m.alarm})
}

// examined reports whether enough outcomes of the new version were seen.
func (m *Mover) examined() bool {
	return m.record.Examined || m.evidence.mergedTests.newOutcomes >= minExaminedOutcomes
}

func (m *Mover) suspicious() bool {
	return m.evidence.ownTests.suspicious() || m.evidence.mergedTests.suspicious()
}

// share returns the two versions that requests are divided between, and the share
// of the new one in force at this daemon.
func (m *Mover) share() (from, to string, share float64) {
	v := m.doc.Versions
	if !m.recordApplies() {
		return v.Serving, v.Next, 0
	}
	from, to = m.record.From, m.record.To
	phase := m.phase()
	oldReplicas, newReplicas := len(m.replicas(from)), len(m.replicas(to))
	switch {
	case newReplicas == 0:
		return from, to, 0
	case oldReplicas == 0:
		return from, to, 1
	case phase == PhaseRolledBack:
		return from, to, 0
	case phase == PhaseDone && !m.now.Before(m.record.WarmUntil()):
		return from, to, 1
	case m.now.Before(m.alarmWaitEnds()):
		return from, to, 0
	case phase == PhaseDone:
		share = 1
		if !m.examined() || m.suspicious() {
			share = unexaminedShare
		}
		return from, to, share
	}
	share = m.record.ShareAt(m.now)
	if phase == PhaseGrowing && m.suspicious() {
		share = min(share, m.heldShare)
	}
	m.heldShare = max(share, MaxProbeShare)
	return from, to, share
}

// alarmWaitEnds returns the end of the wait for alarms that this daemon may have
// missed; the zero time when it has known the move from its start.
func (m *Mover) alarmWaitEnds() time.Time {
	if m.learnedAt.Sub(m.record.Started) < alarmWait {
		return time.Time{}
	}
	return m.learnedAt.Add(alarmWait)
}

func (m *Mover) applyShares() {
	if m.doc == nil {
		return
	}
	from, to, share := m.share()
	want := map[string]SetShare{from: {Service: m.o.Service, Version: from, Share: 1 - share}}
	if to != "" {
		s := SetShare{Service: m.o.Service, Version: to, Share: share}
		if share > 0 && share < 1 && m.recordApplies() && m.phase() != PhaseDone {
			s.Replicas = m.pickReplicas(to, replicasFor(share, max(m.record.Replicas, 1)))
		}
		want[to] = s
	}
	for v := range m.shares {
		if _, ok := want[v]; !ok {
			want[v] = SetShare{Service: m.o.Service, Version: v}
		}
	}
	// The smallest share is set first, so that a version that loses all its
	// requests loses them before the other one gets them.
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
		m.actions = append(m.actions, s)
		if s.Share == 0 && v != from && v != to {
			delete(m.shares, v)
			continue
		}
		m.shares[v] = s
	}
}

// pickReplicas returns k replicas of the version, usable ones if there are any, or
// nil when there are no more than k. Daemons that know the same usable replicas
// pick the same ones.
func (m *Mover) pickReplicas(version string, k int) []string {
	names := m.replicaOrder[version]
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

// hashOrder sorts names by a hash of version and name, so that every daemon takes
// the same replicas, and replicas of different versions are not taken from the
// same part of the name order.
func hashOrder(version string, names []string) []string {
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

func (m *Mover) handleWindow(w Window) {
	if w.Service != m.o.Service || w.Daemon == m.self || w.Began != m.evidenceBegan || w.Began == 0 || m.doc == nil || !m.examining() {
		return
	}
	if result, bad := m.evidence.merge(m.now, w, m.record.largestShare(m.now)); bad {
		m.raiseAlarm(result.route, result.alarmReason())
	}
}

func (m *Mover) markAllDirty() {
	for _, c := range m.evidence.cells {
		c.dirty = true
	}
	m.evidence.dirty = len(m.evidence.cells) > 0
	m.refreshAt = m.now.Add(max(refreshEvery, refreshWindows*m.windowEvery()))
}

func (m *Mover) windowEvery() time.Duration {
	if n := time.Duration(m.daemons) * time.Second / windowsPerSecond; n > m.o.WindowEvery {
		return n
	}
	return m.o.WindowEvery
}

// reportsToOwner reports whether this daemon has outcomes to send to the owner.
func (m *Mover) reportsToOwner() bool {
	return m.owner != "" && m.owner != m.self && len(m.evidence.cells) > 0 && m.examining()
}

// windowDue returns when the next window is due.
func (m *Mover) windowDue() time.Time {
	if m.evidence.dirty {
		return m.windowAt
	}
	return m.refreshAt
}

// sendWindow sends the cells that changed to the owner when a window is due.
func (m *Mover) sendWindow() {
	if m.doc == nil || !m.reportsToOwner() || m.now.Before(m.windowDue()) {
		return
	}
	if !m.now.Before(m.refreshAt) {
		m.markAllDirty()
	}
	m.windowAt = m.now.Add(m.windowEvery())
	m.windowCount++
	var routes []string
	for r, c := range m.evidence.cells {
		if c.dirty {
			routes = append(routes, r)
		}
	}
	sort.Strings(routes)
	// When not all cells fit, each window starts at a different one.
	w := Window{Service: m.o.Service, Began: m.evidenceBegan, Daemon: m.self, Incarnation: m.incarnation}
	n := min(len(routes), maxWindowCells)
	for i := range n {
		r := routes[(m.windowCount*maxWindowCells+i)%len(routes)]
		c := m.evidence.cells[r]
		c.dirty = false
		w.Cells = append(w.Cells, Cell{r, c.old, c.new})
	}
	m.evidence.dirty = len(routes) > n
	m.actions = append(m.actions, SendWindow{m.owner, w})
}

// stepOwner reads the record back or writes it when this daemon is the owner.
func (m *Mover) stepOwner() {
	if m.doc == nil || m.owner != m.self {
		// A write whose result is not known is left to the next owner, which reads
		// the record before it writes.
		m.readBack, m.pending = false, false
		return
	}
	if m.pending && !m.now.Before(m.retryAt) {
		m.pending = false
		m.scheduleRead(0)
	}
	if m.pending {
		return
	}
	if !m.loaded && !m.readBack {
		m.scheduleRead(0)
	}
	if m.readBack {
		if !m.now.Before(m.retryAt) {
			m.retryAt = m.now.Add(m.o.WriteTimeout)
			m.actions = append(m.actions, ReadMove{m.o.Service})
		}
		return
	}
	next, write := m.plan()
	if !write {
		return
	}
	next.Service, next.Owner, next.Fence = m.o.Service, m.self, m.record.Fence+1
	if next.Began == 0 {
		next.Began = next.Fence
	}
	next.Share = next.ShareAt(m.now)
	m.pending = true
	m.retryAt = m.now.Add(m.o.WriteTimeout)
	m.actions = append(m.actions, WriteMove{next, m.recordIndex})
	m.explain(fmt.Sprintf("recording phase %s of the move from %s to %s: %s", next.Phase, next.From, next.To, next.Reason))
}

// plan returns the next record, if the current one must change. The caller fills
// in the fence and the owner.
func (m *Mover) plan() (Move, bool) {
	r, v := m.record, m.doc.Versions
	if r.Fence > 0 && m.revision < r.DocRevision {
		return Move{}, false
	}
	if !m.recordApplies() {
		return m.planNewMove()
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
	oldReplicas, newReplicas := len(m.replicas(r.From)), len(m.replicas(r.To))
	switch {
	case m.alarmInForce():
		return set(PhaseRolledBack, m.now, m.alarm.Reason+" (seen by "+m.alarm.Daemon+")")
	case r.Phase == PhaseDone && newReplicas == 0 && oldReplicas > 0 && !m.confirmed():
		return set(PhaseRolledBack, m.now, "no replica runs the new version any more")
	case r.Phase != PhaseDone && m.confirmed():
		return set(PhaseDone, m.now, "the document names it as the serving version")
	case r.Phase != PhaseDone && oldReplicas == 0 && newReplicas > 0:
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
	case newReplicas == 0:
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

// planNewMove returns the record for a document to which the current record does not
// apply, if one must be written.
func (m *Mover) planNewMove() (Move, bool) {
	r, v := m.record, m.doc.Versions
	if v.Next == "" {
		switch {
		case r.Phase == PhaseProbing, r.Phase == PhaseGrowing, r.Phase == PhaseDone && v.Serving == r.From:
			r.Phase, r.PhaseSince, r.Reason = PhaseRolledBack, m.now, "the document no longer asks for it"
			r.DocRevision, r.Versions = m.revision, v
			return r, true
		}
		return Move{}, false
	}
	oldReplicas, newReplicas := len(m.replicas(v.Serving)), len(m.replicas(v.Next))
	n := Move{From: v.Serving, To: v.Next, DocRevision: m.revision, Deadline: v.Deadline,
		PhaseSince: m.now, Started: m.now, Versions: v, Replicas: oldReplicas}
	switch {
	case !m.now.Before(v.Deadline):
		n.Phase, n.Reason = PhaseRolledBack, "the deadline passed before the move could begin"
	case newReplicas == 0:
		return Move{}, false
	case oldReplicas == 0:
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
	at = earlierOf(at, m.announceAt)
	if m.owner == m.self && (m.pending || m.readBack) {
		at = earlierOf(at, m.retryAt)
	}
	if m.recordApplies() {
		if t := m.alarmWaitEnds(); t.After(m.now) {
			at = earlierOf(at, t)
		}
		switch m.phase() {
		case PhaseProbing, PhaseGrowing:
			_, next := m.record.shareAt(m.now)
			at = earlierOf(at, next)
			for _, t := range []time.Time{m.record.GrowsAt(), m.record.FinishesAt(), m.record.Deadline} {
				if t.After(m.now) {
					at = earlierOf(at, t)
				}
			}
		case PhaseDone:
			if w := m.record.WarmUntil(); w.After(m.now) {
				at = earlierOf(at, w)
			}
		}
		if m.reportsToOwner() {
			// A window that is already due is sent in the next step; a sample that
			// changes nothing ends its step before the window is sent.
			at = earlierOf(at, laterOf(m.windowDue(), m.now))
		}
	} else if d := m.doc.Versions.Deadline; m.owner == m.self && m.doc.Versions.Next != "" && d.After(m.now) {
		at = earlierOf(at, d)
	}
	return at, !at.IsZero()
}
