package directory

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/era"
	"github.com/gooseberryroad/gooseberryroad/internal/pause"
	"github.com/gooseberryroad/gooseberryroad/sources"
	"github.com/gooseberryroad/gooseberryroad/store"
)

const (
	// probeWait is the wait of a call that only finds out whether the store answers.
	probeWait = time.Millisecond
	// watchPause is the pause after a watch that returned changes, so that several
	// changes in quick succession cost one call. longWatchPause is the pause after
	// several such watches in a row that returned only registrations, and
	// unreadyWatchPause the pause of a daemon that does not take requests yet, while
	// others start, too.
	watchPause        = 150 * time.Millisecond
	longWatchPause    = 300 * time.Millisecond
	unreadyWatchPause = 500 * time.Millisecond
	// pageTimeout bounds the reading of one page of the store's content, up to 1 MB.
	pageTimeout = 2 * time.Second
	// minFollowWait is the shortest long poll of another daemon, whose own source may be
	// late.
	minFollowWait = 200 * time.Millisecond
	// confirmationDelay is the time that a confirmation of the store takes to a daemon
	// that follows another one.
	confirmationDelay = 200 * time.Millisecond
	// registerTimeout bounds the two calls of a registration.
	registerTimeout = 2 * time.Second
	// followTimeout is the time that another daemon may take in addition to its wait
	// until its answer begins.
	followTimeout = 350 * time.Millisecond
	// transferTimeout is the time that the transfer of the rest of the answer may
	// take on a narrow link.
	transferTimeout = 2 * time.Second
	// graceEndMargin is how long after the end of a grace period the store is asked
	// what is still missing. The clocks of the followers run behind by one hop.
	graceEndMargin = 50 * time.Millisecond
	// othersServedFor is how long after the store served another daemon a failed call
	// counts as an outage of this daemon alone. It spans two calls of a daemon that
	// asks the store again.
	othersServedFor = 3400 * time.Millisecond
	// tickInterval is how often the state is checked for lapsed registrations.
	tickInterval = 250 * time.Millisecond
	// peerLease is the lease of a daemon's registration, which is written again
	// after half of it. It is long because each registration costs two calls and a
	// stale address does no harm.
	peerLease = 5 * time.Minute
	// registerDelay is the range of the random delay that spreads the registrations
	// of daemons that start together.
	registerDelay = 2 * time.Second
	// loadCheckInterval is how often a daemon that is to register checks whether the
	// directory has been read.
	loadCheckInterval = 50 * time.Millisecond
	// registrationCheckInterval is how often a daemon checks whether the registration
	// of an earlier process has ended.
	registrationCheckInterval = time.Second
	// restoreDelay is the range of the random delay with which a daemon reads the content of
	// a store that was restored from an older copy. It spreads the reads of all daemons that
	// watch the store.
	restoreDelay = 200 * time.Millisecond
	// minRegisterRetry is the shortest pause after a registration that failed.
	minRegisterRetry = 2 * time.Second
)

// Store is the part of the platform's store that a Follower needs.
type Store interface {
	store.Watcher
	store.Leaser
	store.Eras
}

// Relay fetches content from other daemons.
type Relay interface {
	// Fetch returns what a daemon knows after a revision; the daemon waits for a
	// change. Its answer has to begin within wait and slack; ctx bounds the
	// transfer.
	Fetch(ctx context.Context, address string, after uint64, wait, slack time.Duration) (Update, error)
	// FetchAny asks several daemons and returns the newest answer.
	FetchAny(ctx context.Context, addresses []string, after uint64, slack time.Duration) (Update, error)
}

// Update is what a daemon knows after a revision: a snapshot or changes.
type Update struct {
	// Snapshot says that the update holds all entries instead of the changes.
	Snapshot bool
	Entries  []store.Entry
	Changes  []store.Change
	Revision uint64
	// RevisionUnknown says that no changes can be read after the snapshot, because the entries
	// may be from before a restore of the store. Revision tells the era only.
	RevisionUnknown bool
	// Age is the time since the store confirmed the content to any daemon. It only
	// grows as the content is passed on, so that daemons cannot confirm content to
	// each other.
	Age time.Duration
	// UpToDate says that the daemon's own source works and that the store confirmed
	// the content lately.
	UpToDate bool
	// NearOutage says that entries may be missing because of an outage.
	NearOutage bool
	// SinceRecovery is the time since the store became available to the daemon again;
	// 0 during the outage. RecoveryRevision is the store's revision at that time; 0 is
	// unknown. Both are set with NearOutage.
	SinceRecovery    time.Duration
	RecoveryRevision uint64
}

// Era returns the era of the update's revision.
func (u Update) Era() store.Era { return store.EraOf(u.Revision) }

// Options configure a Follower.
type Options struct {
	Store   Store
	Decoder Decoder
	Relay   Relay
	Logger  *slog.Logger
	// Self is the daemon that is registered for the others.
	Self sources.Peer
	// Seeds are relay addresses of daemons to ask before the store has been read.
	Seeds []string
	// MaxStaleness is the time within which a change that the store has accepted is in
	// force; 0 stands for DefaultMaxStaleness.
	MaxStaleness time.Duration
}

// Content is the directory content that a daemon offers to others.
type Content struct {
	entries       []store.Entry
	recent        []store.Change
	recentFrom    uint64
	Revision      uint64
	nearOutage    bool
	sourceWorking bool
	// recoveredAt and recoveryRevision say when the store became available again after
	// an outage; they are zero during it.
	recoveredAt      time.Time
	recoveryRevision uint64
	// version is the version of the configuration in force; 0 if there is none. configEntry
	// is its entry. config is the version in a store that tells an era.
	version, config int64
	configEntry     store.Entry
	// exchange is shared by all contents of a follower.
	exchange *exchange
	// confirmation is shared by all contents of a follower, because it changes with
	// each answer of the source.
	confirmation *atomic.Pointer[confirmation]
	// maxAge is the age from which the content is out of date.
	maxAge time.Duration
	// Changed is closed when there is newer content.
	Changed chan struct{}
}

// Age returns the time since the store confirmed the content, directly or
// through other daemons.
func (c *Content) Age() time.Duration {
	if c.confirmation == nil {
		return c.maxAge
	}
	return time.Since(c.confirmation.Load().at)
}

// SameState reports whether the content is of the same era as other and passes on the same
// configuration. In a store that tells no era, the configuration only changes with the
// revision.
func (c *Content) SameState(other *Content) bool {
	return c.config == other.config && store.EraOf(c.Revision) == store.EraOf(other.Revision)
}

// UpToDate reports whether the daemon's own source works and the store confirmed
// the content lately.
func (c *Content) UpToDate() bool { return c.sourceWorking && c.Age() < c.maxAge }

// Await waits until there is news for a daemon that knows a revision, and returns the
// content then: a newer revision, a confirmation by the store, or content that is out
// of date. It returns at the latest after wait or when ctx ends.
func Await(ctx context.Context, content func() *Content, after uint64, wait time.Duration) *Content {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	c := content()
	if c.confirmation == nil {
		return c
	}
	known := c.confirmation.Load()
	outOfDate := time.NewTimer(time.Until(known.at.Add(c.maxAge)))
	defer outOfDate.Stop()
	for c.Revision <= after && c.UpToDate() && c.confirmation.Load() == known {
		select {
		case <-c.Changed:
		case <-known.renewed:
		case <-outOfDate.C:
		case <-timer.C:
			return c
		case <-ctx.Done():
			return c
		}
		c = content()
	}
	return c
}

// SinceRecovery returns the time since the store became available again after an
// outage; 0 during the outage and without one.
func (c *Content) SinceRecovery() time.Duration {
	if c.recoveredAt.IsZero() {
		return 0
	}
	return time.Since(c.recoveredAt)
}

// Since returns what is newer than a revision: the changes, or a snapshot if the
// changes are not kept that far back.
func (c *Content) Since(after uint64) Update {
	age := c.Age()
	u := Update{Revision: c.Revision, Age: age, UpToDate: c.UpToDate(), NearOutage: c.nearOutage}
	if c.nearOutage && !c.recoveredAt.IsZero() {
		u.SinceRecovery, u.RecoveryRevision = c.SinceRecovery(), c.recoveryRevision
	}
	if after < c.recentFrom {
		u.Snapshot, u.Entries = true, c.entries
		return u
	}
	for _, change := range c.recent {
		if change.Index > after {
			u.Changes = append(u.Changes, change)
		}
	}
	return u
}

// Follower keeps a View up to date. View, Content and Lease are safe for
// concurrent use.
type Follower struct {
	options      Options
	currentView  atomic.Pointer[View]
	content      atomic.Pointer[Content]
	onView       func(*View)
	timing       timing
	confirmation atomic.Pointer[confirmation]
	// ready is closed once a view is ready.
	ready chan struct{}
	// loaded says that the directory has been read once.
	loaded atomic.Bool
	// registered says that the store has this daemon's registration, by this process or
	// by an earlier one.
	registered atomic.Bool
	leaseMu    sync.Mutex
	// lease is the ID of the lease of this process's keys; 0 before the first one.
	lease          uint64
	leaseGrantedAt time.Time
	leaseEra       store.Era
	exchange       *exchange
	// learned passes newer configurations of other daemons to Run.
	learned chan []store.Entry
}

// Era returns the newest era of the store that this daemon has learnt of.
func (f *Follower) Era() store.Era { return f.options.Store.Era() }

// Lease returns the ID of the lease of this daemon's keys. It asks the store for one
// if there is none that lasts for a while.
func (f *Follower) Lease(ctx context.Context) (uint64, error) {
	f.leaseMu.Lock()
	defer f.leaseMu.Unlock()
	// An era that rises during the grant makes the next call ask for another lease.
	now, e := time.Now(), f.Era()
	if f.lease != 0 && f.leaseEra == e && now.Sub(f.leaseGrantedAt) < peerLease/2 {
		return f.lease, nil
	}
	lease, err := f.options.Store.Grant(ctx, peerLease)
	if err != nil {
		return 0, eris.Wrap(err, "grant the lease")
	}
	f.lease, f.leaseGrantedAt, f.leaseEra = lease, now, e
	return lease, nil
}

// SetOnView sets the function that Run calls with each new view, in the goroutine
// of Run. It must be called before Run.
func (f *Follower) SetOnView(callback func(*View)) { f.onView = callback }

// NewFollower returns a follower whose view is empty until Run has read the
// store.
func NewFollower(o Options) *Follower {
	f := &Follower{
		options: o, timing: newTiming(o.MaxStaleness), ready: make(chan struct{}), exchange: newExchange(), learned: make(chan []store.Entry),
	}
	f.currentView.Store(&View{Daemons: 1})
	f.confirmation.Store(&confirmation{renewed: make(chan struct{})})
	f.content.Store(&Content{maxAge: f.timing.maxAge, exchange: f.exchange, Changed: make(chan struct{})})
	return f
}

// View returns the newest view.
func (f *Follower) View() *View { return f.currentView.Load() }

// Ready returns a channel that is closed once a view is ready.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// Content returns the content that other daemons may fetch.
func (f *Follower) Content() *Content { return f.content.Load() }

// query is one call, made by the goroutine of runQueries.
type query struct {
	source sources.Source
	after  uint64
	// snapshot asks the store for all entries instead of the changes.
	snapshot bool
	peers    []string
	// newerThan asks peers only for configurations newer than this version, if onlyConfig is
	// set.
	newerThan  int64
	onlyConfig bool
	// until is when the store or the followed daemon answers without a change; calls
	// that begin later are answered at once.
	until time.Time
}

// outcome is the result of a query.
type outcome struct {
	query  query
	update Update
	err    error
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	s := newState(f.options.Decoder, f.options.Logger)
	chooser := sources.New(f.options.Self)
	queries := make(chan query, 1)
	outcomes := make(chan outcome)
	go f.runQueries(ctx, queries, outcomes)
	go f.keepRegistered(ctx)
	go f.exchangeConfigs(ctx)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	s.sourceWorking = true
	queries <- f.nextQuery(s, chooser)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			s.expireKept(now)
		case entries := <-f.learned:
			f.takeNewerConfig(s, entries)
		case o := <-outcomes:
			f.handleOutcome(s, chooser, o)
			if s.peersChanged {
				s.peersChanged = false
				chooser.SetPeers(s.peerList())
				own, ok := s.peers[f.registrationKey()]
				f.registered.Store(ok && own.Address == f.options.Self.Address && own.DataCentre == f.options.Self.DataCentre &&
					own.LinkMbps == f.options.Self.LinkMbps)
			}
			f.loaded.Store(s.loaded)
			queries <- f.nextQuery(s, chooser)
		}
		f.publish(s)
	}
}

func (f *Follower) nextQuery(s *state, c *sources.Chooser) query {
	now := time.Now()
	if s.mustAskOthers() {
		peers := f.otherAddresses(s.peerList())
		return query{
			source: sources.Source{Kind: sources.AskPeers}, peers: peers[:min(len(peers), maxAsked)], until: now,
			newerThan: s.configVersion(), onlyConfig: true,
		}
	}
	c.Confirmed(s.confirmedAt)
	restored := s.loaded && f.Era() > store.EraOf(s.revision)
	q := query{
		source: c.Next(now, s.loaded), after: s.revision, snapshot: !s.loaded || s.compacted || restored || s.revisionUnknown,
		until: s.confirmedAt.Add(f.timing.confirmInterval),
	}
	switch {
	case q.source.Kind == sources.Store && restored:
		q.source.Delay = max(q.source.Delay, restoreDelay)
	case q.source.Probe:
		q.until = now
	case q.source.Kind == sources.Follow:
		// The followed daemon answers when the store confirms its content.
		q.until = q.until.Add(confirmationDelay)
	}
	// Lapsed entries are dropped as soon as the store confirms at the end of their
	// grace period that they are missing.
	if end := s.registry.GraceEnd().Add(graceEndMargin); s.confirmedAt.Before(end) && end.Before(q.until) {
		q.until = end
	}
	if q.source.Kind == sources.AskPeers {
		q.peers = f.otherAddresses(s.peerList())
	}
	return q
}

// handleOutcome applies the outcome of a call to the state and the chooser.
func (f *Follower) handleOutcome(s *state, c *sources.Chooser, o outcome) {
	now := time.Now()
	switch o.query.source.Kind {
	case sources.AskPeers:
		if o.query.onlyConfig {
			f.takeNewerConfig(s, o.update.Entries)
			s.othersAsked, s.dirty = true, true
			return
		}
		if o.err == nil {
			f.applyPeerUpdate(s, o.update, now)
		}
	case sources.Follow:
		name := o.query.source.Peer.Name
		if o.err != nil {
			f.options.Logger.Warn("followed daemon lost", "daemon", name, "revision", store.Shown(s.revision), "cause", o.err)
			c.PeerFailed(name, now)
			return
		}
		// Until a daemon knows the newest era, another one may pass on its content earlier.
		if o.update.Era() < f.Era() {
			o.update.UpToDate = false
		}
		if !o.update.UpToDate {
			f.options.Logger.Info("followed daemon does not see the store", "daemon", name, "revision", store.Shown(s.revision), "age", o.update.Age)
		}
		c.PeerAnswered(name, o.update.UpToDate, now)
		f.applyPeerUpdate(s, o.update, now)
		// While a source that works is looked for, the last one counts.
		s.sourceWorking = s.sourceWorking || o.update.UpToDate
	default:
		f.handleStoreOutcome(s, c, o, now)
	}
}

func (f *Follower) handleStoreOutcome(s *state, c *sources.Chooser, o outcome, now time.Time) {
	switch {
	case errors.Is(o.err, store.ErrCompacted):
		f.options.Logger.Info("store compacted its history; reading a snapshot", "revision", store.Shown(s.revision), "cause", o.err)
		c.StoreAnswered()
		s.compacted = true
		return
	case errors.Is(o.err, store.ErrOlderEra):
		// The store is not away. The next call is delayed, so that a store which answers in
		// turns from two eras is not asked without a pause.
		f.options.Logger.Info("response of an older era of the store ignored", "era", f.Era(), "revision", store.Shown(s.revision))
		c.StoreFailed()
		return
	case o.err != nil:
		if s.storeReachable {
			f.options.Logger.Warn("store lost", "revision", store.Shown(s.revision), "cause", o.err)
		}
		c.StoreFailed()
		s.storeFailed(now)
		return
	}
	if !s.storeReachable {
		f.options.Logger.Info("store seen", "revision", store.Shown(o.update.Revision))
	}
	c.StoreAnswered()
	if s.registry.StoreAvailable(now) {
		s.recoveryRevision = o.update.Revision
	}
	s.storeReachable, s.sourceWorking = true, true
	s.confirmedAt = now.Add(-o.update.Age)
	f.applyUpdate(s, o.update, now)
}

// takeNewerConfig puts the newest of other daemons' configurations in force if it is newer
// than the one that is known. Daemons that were asked before may lack it, too.
func (f *Follower) takeNewerConfig(s *state, entries []store.Entry) {
	if s.takeNewerConfig(entries) {
		f.exchange.restart()
	}
}

// applyPeerUpdate applies what another daemon knows, if it is newer.
func (f *Follower) applyPeerUpdate(s *state, u Update, now time.Time) {
	if u.Era() < f.Era() {
		metrics.GetOrCreateCounter(`gooseberryroad_store_older_era_responses_total{source="daemon"}`).Inc()
		return
	}
	f.options.Store.NoteEra(u.Era())
	u.RevisionUnknown = u.Snapshot && u.Era() > 0 && store.RevisionOf(u.Revision) == 0
	if !s.loaded {
		s.othersAsked = true
	}
	if at := now.Add(-u.Age); at.After(s.confirmedAt) && (!s.loaded || u.Revision >= s.revision) {
		s.confirmedAt = at
	}
	if !s.storeReachable {
		s.noteStoreOfOthers(u, now)
	}
	if s.loaded && u.Revision <= s.revision {
		return
	}
	if u.NearOutage || u.Age >= f.timing.maxAge {
		if s.registry.RemoteOutage(now.Add(-u.SinceRecovery)) {
			s.recoveryRevision = u.RecoveryRevision
		}
	} else {
		s.registry.RemoteConfirmed()
	}
	f.applyUpdate(s, u, now)
}

func (f *Follower) applyUpdate(s *state, u Update, now time.Time) {
	if u.Snapshot {
		s.applySnapshot(u.Entries, u.Revision, now)
		s.revisionUnknown = u.RevisionUnknown
		return
	}
	s.applyChanges(u.Changes, u.Revision, now)
}

func (f *Follower) publish(s *state) {
	confirmed := s.confirmedAt
	if v, changed := s.view(confirmed); changed {
		wasReady := f.View().Ready
		f.currentView.Store(v)
		if v.Ready && !wasReady {
			close(f.ready)
		}
		if f.onView != nil {
			f.onView(v)
		}
	}
	old := f.content.Load()
	nearOutage := s.registry.NearOutage(confirmed)
	config := int64(0)
	if store.EraOf(s.revision) > 0 {
		config = s.configVersion()
	}
	if !s.loaded || old.Revision == s.revision && old.config == config && old.sourceWorking == s.sourceWorking && old.nearOutage == nearOutage {
		f.confirm(confirmed)
		return
	}
	next := &Content{
		recent: s.recent, recentFrom: s.recentFrom, Revision: s.revision, sourceWorking: s.sourceWorking, nearOutage: nearOutage,
		recoveredAt: s.registry.RecoveredAt(), recoveryRevision: s.recoveryRevision, config: config,
		version: s.configVersion(), configEntry: s.config, exchange: f.exchange,
		confirmation: &f.confirmation, maxAge: f.timing.maxAge, Changed: make(chan struct{}), entries: s.contentEntries(),
	}
	f.content.Store(next)
	// Later than the content: the store did not confirm the old one again.
	f.confirm(confirmed)
	close(old.Changed)
}

// confirm publishes when the store last confirmed the content.
func (f *Follower) confirm(at time.Time) {
	old := f.confirmation.Load()
	if old.at.Equal(at) {
		return
	}
	f.confirmation.Store(&confirmation{at: at, renewed: make(chan struct{})})
	close(old.renewed)
}

// pauseAfter returns the pause after a call to the store that returned changes;
// inARow is the number of such calls without one that waited for a change.
func (f *Follower) pauseAfter(u Update, inARow int) time.Duration {
	switch {
	case !f.View().Ready:
		return unreadyWatchPause
	case inARow > 1 && !slices.ContainsFunc(u.Changes, func(c store.Change) bool { return !f.isRegistration(c.Entry) }):
		return longWatchPause
	}
	return watchPause
}

// isRegistration reports whether an entry is the registration of an upstream or of a
// daemon.
func (f *Follower) isRegistration(e store.Entry) bool {
	if strings.HasPrefix(e.Key, PeerPrefix) {
		return true
	}
	_, ok, _ := f.options.Decoder.Instance(e)
	return ok
}

// runQueries makes one call at a time.
func (f *Follower) runQueries(ctx context.Context, queries <-chan query, outcomes chan<- outcome) {
	var reader snapshotReader
	changesInARow := 0
	for {
		var q query
		select {
		case <-ctx.Done():
			return
		case q = <-queries:
		}
		if q.source.Delay > 0 {
			pause.For(ctx, q.source.Delay/2+rand.N(q.source.Delay))
		}
		began := time.Now()
		u, err := f.runQuery(ctx, q, &reader)
		select {
		case <-ctx.Done():
			return
		case outcomes <- outcome{query: q, update: u, err: err}:
		}
		if q.source.Kind != sources.Store || len(u.Changes) == 0 {
			changesInARow = 0
			continue
		}
		if time.Since(began) > longWatchPause {
			changesInARow = 0
		}
		changesInARow++
		pause.For(ctx, f.pauseAfter(u, changesInARow))
	}
}

func (f *Follower) runQuery(ctx context.Context, q query, reader *snapshotReader) (Update, error) {
	switch q.source.Kind {
	case sources.Follow:
		wait := max(time.Until(q.until), minFollowWait)
		callCtx, cancel := context.WithTimeout(ctx, wait+followTimeout+transferTimeout)
		defer cancel()
		return f.options.Relay.Fetch(callCtx, q.source.Peer.Address, q.after, wait, followTimeout)
	case sources.AskPeers:
		if q.onlyConfig {
			entries, answered := f.askConfigs(ctx, q.peers, q.newerThan)
			f.options.Logger.Info("other daemons asked for a newer configuration", "known", q.newerThan, "asked", len(q.peers), "answered", answered, "newer", len(entries))
			return Update{Entries: entries}, nil
		}
		if len(q.peers) == 0 {
			return Update{}, eris.New("no other daemon is known")
		}
		callCtx, cancel := context.WithTimeout(ctx, followTimeout+transferTimeout)
		defer cancel()
		return f.options.Relay.FetchAny(callCtx, q.peers, q.after, followTimeout)
	}
	if q.snapshot {
		return f.readSnapshot(ctx, q, reader)
	}
	wait := max(time.Until(q.until), probeWait)
	callCtx, cancel := context.WithTimeout(ctx, wait+f.timing.callTimeout)
	defer cancel()
	changes, revision, err := f.options.Store.Watch(callCtx, "", q.after, wait)
	return Update{Changes: changes, Revision: revision}, err
}

// readSnapshot reads the pages that are missing and returns the snapshot. The first
// snapshot of a daemon may be some seconds old: the daemons that start together all
// need one, and the next call brings what has changed since. In an era above 0 the next
// call is for a snapshot, too, because the first one may be from before a restore.
func (f *Follower) readSnapshot(ctx context.Context, q query, reader *snapshotReader) (Update, error) {
	reader.mayBeStale, reader.staleAge = q.after == 0, f.timing.maxAge
	for {
		began := time.Now()
		page, err := f.readPage(ctx, reader.nextPageAfter(q.after, began), reader.mayBeStale)
		if err != nil {
			return Update{}, err
		}
		if reader.addPage(page, began) {
			return reader.finish(time.Now()), nil
		}
	}
}

func (f *Follower) readPage(ctx context.Context, after string, mayBeStale bool) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return f.options.Store.RangePage(ctx, "", after, mayBeStale)
}

// otherAddresses returns the relay addresses of the other daemons in random
// order.
func (f *Follower) otherAddresses(peers []sources.Peer) []string {
	known := map[string]bool{f.options.Self.Address: true}
	var out []string
	add := func(address string) {
		if !known[address] {
			known[address] = true
			out = append(out, address)
		}
	}
	for _, p := range peers {
		add(p.Address)
	}
	for _, a := range f.options.Seeds {
		add(a)
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// keepRegistered keeps this daemon's address in the store until ctx ends. The
// registration of an earlier process at the same address is left as it is until its
// lease ends, because each one costs two calls.
func (f *Follower) keepRegistered(ctx context.Context) {
	if f.options.Self.Address == "" {
		return
	}
	for ctx.Err() == nil && !f.loaded.Load() {
		pause.For(ctx, loadCheckInterval)
	}
	known := f.Era()
	pause.For(ctx, rand.N(registerDelay))
	for ctx.Err() == nil && f.registered.Load() && f.Era() == known {
		pause.For(ctx, registrationCheckInterval)
	}
	for ctx.Err() == nil {
		if e := f.Era(); e != known {
			// The store lost the registrations of all daemons.
			known = e
			pause.For(ctx, rand.N(era.RewriteSpread))
		}
		if err := f.registerOnce(ctx); err != nil {
			f.options.Logger.Warn("registration of this daemon failed; retrying", "cause", err)
			pause.For(ctx, minRegisterRetry+rand.N(minRegisterRetry))
			continue
		}
		f.options.Logger.Info("daemon registered", "address", f.options.Self.Address)
		for due := time.Now().Add(peerLease / 2); ctx.Err() == nil && time.Now().Before(due) && f.Era() == known; {
			pause.For(ctx, registrationCheckInterval)
		}
	}
}

// registrationKey returns the key of this daemon's registration.
func (f *Follower) registrationKey() string {
	return PeerPrefix + strings.ReplaceAll(f.options.Self.Name, "/", "-")
}

func (f *Follower) registerOnce(ctx context.Context) error {
	value, err := json.Marshal(peerEntry{Address: f.options.Self.Address, DataCentre: f.options.Self.DataCentre, LinkMbps: f.options.Self.LinkMbps})
	if err != nil {
		return eris.Wrap(err, "encode the registration")
	}
	callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	lease, err := f.Lease(callCtx)
	if err != nil {
		return err
	}
	return f.options.Store.PutLeased(callCtx, f.registrationKey(), value, lease)
}
