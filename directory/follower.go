package directory

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/internal/pause"
	"github.com/gooseberryroad/gooseberryroad/sources"
	"github.com/gooseberryroad/gooseberryroad/store"
)

const (
	// watchWait is how long the store holds a watch without a change. It bounds
	// how long a connection that went silent hides changes.
	watchWait = 1500 * time.Millisecond
	// minWait is the wait of a call that only finds out whether the store answers.
	minWait = time.Millisecond
	// watchPause is the pause after a watch that brought changes, so that changes
	// in quick succession cost one call.
	watchPause = 150 * time.Millisecond
	// followWait is how long a daemon holds the question of another one.
	followWait = 800 * time.Millisecond
	// callTimeout is what a call may take beyond the wait that it asks for. A slow
	// store takes some hundred milliseconds.
	callTimeout = 700 * time.Millisecond
	// pageTimeout bounds the reading of one page of the whole content, up to 1 MB.
	pageTimeout = 2 * time.Second
	// registerTimeout bounds the two calls of a registration.
	registerTimeout = 2 * time.Second
	// followTimeout is what another daemon may take beyond its wait until its answer
	// begins.
	followTimeout = 350 * time.Millisecond
	// transferTimeout is what the rest of the answer may take on a narrow link.
	transferTimeout = 2 * time.Second
	// maxAge is the time since the store's last confirmation after which content
	// counts as out of date: a watch that was held to its end, and one hop.
	maxAge = watchWait + callTimeout + followWait
	// tickEvery is how often lapsed registrations are looked at.
	tickEvery = 250 * time.Millisecond
	// peerLease is how long the registration of a daemon lasts; it is written again
	// after half of it. It is long because that is two calls and a stale address
	// does no harm.
	peerLease = 5 * time.Minute
	// registerDelay spreads the registrations of daemons that start together.
	registerDelay = 2 * time.Second
	// minRegisterRetry is the least pause after a registration that failed.
	minRegisterRetry = 2 * time.Second
)

// Store is what a Follower needs of the platform's service.
type Store interface {
	store.Watcher
	store.Leaser
}

// Relay asks other daemons for their content.
type Relay interface {
	// Fetch returns what a daemon knows after a revision; the daemon waits for a
	// change. Its answer has to begin within wait and slack; ctx bounds the rest.
	Fetch(ctx context.Context, address string, after uint64, wait, slack time.Duration) (Update, error)
	// FetchAny asks several daemons and returns the newest answer.
	FetchAny(ctx context.Context, addresses []string, after uint64, slack time.Duration) (Update, error)
}

// Update is what a daemon knows after a revision.
type Update struct {
	// Whole updates hold all entries, others the changes.
	Snapshot bool
	Entries  []store.Entry
	Changes  []store.Change
	Revision uint64
	// Age is the time since the store confirmed the content, whichever daemon saw
	// that. It only grows on its way, so daemons cannot confirm each other.
	Age time.Duration
	// Settled says that the daemon's own source works and that the content is
	// confirmed.
	UpToDate bool
	// NearOutage says that entries may be missing because of an outage.
	NearOutage bool
}

// Options configure a Follower.
type Options struct {
	Store   Store
	Decoder Decoder
	Relay   Relay
	Logger  *slog.Logger
	// Self is registered for the other daemons.
	Self sources.Peer
	// Seeds are relay addresses that may answer before the store was read.
	Seeds []string
}

// Content is what a daemon tells others.
type Content struct {
	entries    []store.Entry
	recent     []store.Change
	recentFrom uint64
	Revision   uint64
	nearOutage bool
	working    bool
	// confirmedAt is shared by all contents of a follower, because it changes
	// with each answer.
	confirmedAt *atomic.Pointer[time.Time]
	// Changed is closed when there is newer content.
	Changed chan struct{}
}

// Age is the time since the store confirmed the content, directly or through
// other daemons.
func (c *Content) Age() time.Duration {
	if c.confirmedAt == nil {
		return maxAge
	}
	return time.Since(*c.confirmedAt.Load())
}

// Settled reports whether the daemon's own source works and the store confirmed
// the content lately.
func (c *Content) UpToDate() bool { return c.working && c.Age() < maxAge }

// Since returns what is newer than a revision.
func (c *Content) Since(after uint64) Update {
	age := c.Age()
	u := Update{Revision: c.Revision, Age: age, UpToDate: c.UpToDate(), NearOutage: c.nearOutage}
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

// Follower keeps a View up to date.
type Follower struct {
	o       Options
	current atomic.Pointer[View]
	content atomic.Pointer[Content]
	onView  func(*View)
	// confirmedAt is when the store confirmed the content last.
	confirmedAt atomic.Pointer[time.Time]
	// lease is that of this daemon's keys; 0 while it is not registered.
	lease atomic.Uint64
}

// Lease is the lease of this daemon's keys; 0 while it is not registered.
func (f *Follower) Lease() uint64 { return f.lease.Load() }

// SetOnView sets what is called with each new view, by the owner's goroutine.
// It is set before Run.
func (f *Follower) SetOnView(on func(*View)) { f.onView = on }

// NewFollower returns a follower whose view is empty until Run has read the
// store.
func NewFollower(o Options) *Follower {
	f := &Follower{o: o}
	f.current.Store(&View{Daemons: 1})
	f.confirmedAt.Store(&time.Time{})
	f.content.Store(&Content{Changed: make(chan struct{})})
	return f
}

// View returns the newest view.
func (f *Follower) View() *View { return f.current.Load() }

// Content returns what other daemons may be told.
func (f *Follower) Content() *Content { return f.content.Load() }

// query is one call, made by the reading goroutine.
type query struct {
	source sources.Source
	after  uint64
	// whole asks the store for everything instead of the changes.
	whole bool
	peers []string
	// wait is how long the store holds the call without a change.
	wait time.Duration
}

// outcome is the answer to a query.
type outcome struct {
	query  query
	update Update
	err    error
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	s := newState(f.o.Decoder, f.o.Logger)
	chooser := sources.New(f.o.Self)
	queries := make(chan query, 1)
	outcomes := make(chan outcome)
	go f.read(ctx, queries, outcomes)
	go f.register(ctx)
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	s.working = true
	queries <- f.next(s, chooser)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case o := <-outcomes:
			f.take(s, chooser, o)
			if s.peersChanged {
				s.peersChanged = false
				chooser.SetPeers(s.peerList())
			}
			queries <- f.next(s, chooser)
		}
		f.publish(s)
	}
}

func (f *Follower) next(s *state, c *sources.Chooser) query {
	now := time.Now()
	q := query{source: c.Next(now, s.loaded), after: s.revision, whole: !s.loaded || s.compacted, wait: watchWait}
	if q.source.Probe {
		q.wait = minWait
	}
	// Lapsed entries are dropped as soon as the store confirms at the end of their
	// grace that they are missing.
	if end := s.registry.GraceEnd(); f.confirmedAt.Load().Before(end) {
		q.wait = min(q.wait, max(end.Sub(now), minWait))
	}
	if q.source.Kind == sources.AskPeers {
		q.peers = f.others(s)
	}
	return q
}

// take applies the outcome of a call.
func (f *Follower) take(s *state, c *sources.Chooser, o outcome) {
	now := time.Now()
	switch o.query.source.Kind {
	case sources.AskPeers:
		if o.err == nil {
			f.applyPeer(s, o.update, now)
		}
	case sources.Follow:
		name := o.query.source.Peer.Name
		if o.err != nil {
			f.o.Logger.Warn("followed daemon lost", "daemon", name, "revision", s.revision, "cause", o.err)
			c.PeerFailed(name, now)
			return
		}
		if !o.update.UpToDate {
			f.o.Logger.Info("followed daemon does not see the store", "daemon", name, "revision", s.revision, "age", o.update.Age)
		}
		c.PeerAnswered(name, o.update.UpToDate, now)
		f.applyPeer(s, o.update, now)
		s.working = o.update.UpToDate
	default:
		f.takeStore(s, c, o, now)
	}
}

func (f *Follower) takeStore(s *state, c *sources.Chooser, o outcome, now time.Time) {
	switch {
	case errors.Is(o.err, store.ErrCompacted):
		f.o.Logger.Info("store dropped its history; reading all", "revision", s.revision)
		c.StoreAnswered()
		s.compacted = true
		return
	case o.err != nil:
		if s.storeSeen {
			f.o.Logger.Warn("store lost", "revision", s.revision, "cause", o.err)
		}
		c.StoreFailed()
		s.registry.StoreUnavailable()
		s.storeSeen, s.working = false, false
		return
	}
	if !s.storeSeen {
		f.o.Logger.Info("store seen", "revision", o.update.Revision)
	}
	c.StoreAnswered()
	s.registry.StoreAvailable(now)
	s.storeSeen, s.working = true, true
	confirmed := now.Add(-o.update.Age)
	f.confirmedAt.Store(&confirmed)
	f.apply(s, o.update, now)
}

// applyPeer takes what another daemon knows, if it is newer.
func (f *Follower) applyPeer(s *state, u Update, now time.Time) {
	if at := now.Add(-u.Age); at.After(*f.confirmedAt.Load()) && (!s.loaded || u.Revision >= s.revision) {
		f.confirmedAt.Store(&at)
	}
	if s.loaded && u.Revision <= s.revision {
		return
	}
	if u.NearOutage || u.Age >= maxAge {
		s.registry.RemoteOutage(now)
	} else {
		s.registry.RemoteConfirmed()
	}
	f.apply(s, u, now)
}

func (f *Follower) apply(s *state, u Update, now time.Time) {
	if u.Snapshot {
		s.replace(u.Entries, u.Revision, now)
		return
	}
	s.apply(u.Changes, u.Revision, now)
}

func (f *Follower) publish(s *state) {
	confirmed := *f.confirmedAt.Load()
	if v, changed := s.view(confirmed); changed {
		f.current.Store(v)
		if f.onView != nil {
			f.onView(v)
		}
	}
	old := f.content.Load()
	near := s.registry.NearOutage(confirmed)
	if !s.loaded || old.Revision == s.revision && old.working == s.working && old.nearOutage == near {
		return
	}
	next := &Content{
		recent: s.recent, recentFrom: s.recentFrom, Revision: s.revision, working: s.working, nearOutage: near,
		confirmedAt: &f.confirmedAt, Changed: make(chan struct{}), entries: make([]store.Entry, 0, len(s.entries)),
	}
	for _, e := range s.entries {
		next.entries = append(next.entries, e)
	}
	f.content.Store(next)
	close(old.Changed)
}

// read makes one call at a time.
func (f *Follower) read(ctx context.Context, queries <-chan query, outcomes chan<- outcome) {
	var whole wholeReading
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
		u, err := f.call(ctx, q, &whole)
		select {
		case <-ctx.Done():
			return
		case outcomes <- outcome{query: q, update: u, err: err}:
		}
		if q.source.Kind == sources.Store && len(u.Changes) > 0 {
			pause.For(ctx, watchPause)
		}
	}
}

func (f *Follower) call(ctx context.Context, q query, whole *wholeReading) (Update, error) {
	switch q.source.Kind {
	case sources.Follow:
		call, cancel := context.WithTimeout(ctx, followWait+followTimeout+transferTimeout)
		defer cancel()
		return f.o.Relay.Fetch(call, q.source.Peer.Address, q.after, followWait, followTimeout)
	case sources.AskPeers:
		if len(q.peers) == 0 {
			return Update{}, eris.New("no other daemon is known")
		}
		call, cancel := context.WithTimeout(ctx, followTimeout+transferTimeout)
		defer cancel()
		return f.o.Relay.FetchAny(call, q.peers, q.after, followTimeout)
	}
	if q.whole {
		return f.readWhole(ctx, q.after, whole)
	}
	call, cancel := context.WithTimeout(ctx, q.wait+callTimeout)
	defer cancel()
	changes, revision, err := f.o.Store.Watch(call, "", q.after, q.wait)
	return Update{Changes: changes, Revision: revision}, err
}

// readWhole reads the pages that are missing.
func (f *Follower) readWhole(ctx context.Context, known uint64, whole *wholeReading) (Update, error) {
	for {
		began := time.Now()
		page, err := f.readPage(ctx, whole.next(known, began))
		if err != nil {
			return Update{}, err
		}
		if whole.add(page, began) {
			return whole.finish(time.Now()), nil
		}
	}
}

func (f *Follower) readPage(ctx context.Context, after string) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return f.o.Store.RangePage(ctx, "", after)
}

// others returns the relay addresses of the other daemons in random order.
func (f *Follower) others(s *state) []string {
	known := map[string]bool{f.o.Self.Address: true}
	var out []string
	add := func(address string) {
		if !known[address] {
			known[address] = true
			out = append(out, address)
		}
	}
	for _, p := range s.peers {
		add(p.Address)
	}
	for _, a := range f.o.Seeds {
		add(a)
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// register keeps this daemon's address in the store.
func (f *Follower) register(ctx context.Context) {
	if f.o.Self.Address == "" {
		return
	}
	pause.For(ctx, rand.N(registerDelay))
	for ctx.Err() == nil {
		if err := f.registerOnce(ctx); err != nil {
			f.o.Logger.Warn("daemon is not registered", "cause", err)
			pause.For(ctx, minRegisterRetry+rand.N(minRegisterRetry))
			continue
		}
		f.o.Logger.Info("daemon registered", "address", f.o.Self.Address)
		pause.For(ctx, peerLease/2)
	}
}

func (f *Follower) registerOnce(ctx context.Context) error {
	value, err := json.Marshal(peerEntry{Address: f.o.Self.Address, DataCentre: f.o.Self.DataCentre, LinkMbps: f.o.Self.LinkMbps})
	if err != nil {
		return eris.Wrap(err, "encode the registration")
	}
	call, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	lease, err := f.o.Store.Grant(call, peerLease)
	if err != nil {
		return err
	}
	f.lease.Store(lease)
	return f.o.Store.PutLeased(call, PeerPrefix+strings.ReplaceAll(f.o.Self.Name, "/", "-"), value, lease)
}
