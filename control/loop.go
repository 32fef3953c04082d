package control

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/engine"
	"github.com/gooseberryroad/gooseberryroad/node"
	"github.com/gooseberryroad/gooseberryroad/quarantine"
	"github.com/gooseberryroad/gooseberryroad/store"
	"github.com/gooseberryroad/gooseberryroad/vmlist"
)

// Options configure a Loop.
type Options struct {
	Node node.Options
	// Store carries writes.
	Store store.Store
	// OpenStore returns a client that shares no connection with another one.
	// Each watch uses its own, and a watch that is opened again a new one. A
	// client that implements io.Closer is closed after use. Nil: watches use
	// Store.
	OpenStore func() (store.Store, error)
	// VMs is nil when no list is read.
	VMs vmlist.Lister
	// Engine returns the client for a driver.
	Engine func(driver string) (engine.Client, error)
	// Peers carries messages to other daemons; nil for a daemon alone.
	Peers Peers
	// Received handles notices and direct messages of peers; it must not block.
	OnMessage func(node.DeliverMessage)
	Logger    *slog.Logger
	// Metrics receives the loop's counters; nil means a private set.
	Metrics *metrics.Set

	// QueueSize bounds the events that wait; 0 means 4096.
	QueueSize int
	// StoreTimeout bounds a call to the store beyond the time it may wait for
	// changes; 0 means 1 s.
	StoreTimeout time.Duration
	// VMTimeout bounds a reading of the list of VMs; 0 means 1 s.
	VMTimeout time.Duration
	// PollTimeout bounds a load report; 0 means 1 s.
	PollTimeout time.Duration
	// MaxPolls bounds the load reports read at the same time; 0 means 128. It is above
	// the number of upstreams a node polls, so that upstreams that hang do not
	// delay the reports of others.
	MaxPolls int
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Ticks replaces the ticker that drives the node's timers in tests.
	Ticks <-chan time.Time
}

// Peers is the transport between daemons. Its methods do not block.
type Peers interface {
	Link(node.LinkPeer)
	Unlink(peer string)
	Send(to string, m node.Msg) bool
}

// Loop runs the node of one daemon.
type Loop struct {
	o      Options
	log    *slog.Logger
	node   *node.Node
	queue  chan node.Event
	snap   atomic.Pointer[node.Snapshot]
	events *Ring
	polls  chan struct{}
	// wg counts goroutines that do I/O.
	wg sync.WaitGroup
	// watches is used by the loop's goroutine only.
	watches map[string]*openWatch

	// trials are the replies to trials that were asked for, by ID.
	trialsMu sync.Mutex
	trials   map[uint64]func(node.TrialAnswered)
	trialSeq uint64

	changedMu sync.Mutex
	changed   chan struct{}

	dropped, steps, actions *metrics.Counter
}

// New returns a loop that does nothing until Run.
func New(o Options) *Loop {
	if o.QueueSize == 0 {
		o.QueueSize = 4096
	}
	for _, d := range []*time.Duration{&o.StoreTimeout, &o.VMTimeout, &o.PollTimeout} {
		if *d == 0 {
			*d = time.Second
		}
	}
	if o.MaxPolls == 0 {
		o.MaxPolls = 128
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	o.Node.VMs = o.VMs != nil
	l := &Loop{
		o: o, log: o.Logger.With("part", "control"), node: node.New(o.Node),
		queue: make(chan node.Event, o.QueueSize), events: NewRing(1024),
		polls: make(chan struct{}, o.MaxPolls), watches: map[string]*openWatch{},
		changed: make(chan struct{}), trials: map[uint64]func(node.TrialAnswered){},
		dropped: o.Metrics.GetOrCreateCounter("gooseberryroad_control_events_dropped_total"),
		steps:   o.Metrics.GetOrCreateCounter("gooseberryroad_control_events_total"),
		actions: o.Metrics.GetOrCreateCounter("gooseberryroad_control_actions_total"),
	}
	l.snap.Store(l.node.Snapshot())
	o.Metrics.GetOrCreateGauge("gooseberryroad_control_queue_length", func() float64 { return float64(len(l.queue)) })
	return l
}

// Post hands an event to the control goroutine. It never blocks: an event that
// finds the queue full is dropped and counted, and Post returns false. The node
// repairs the loss of any event: calls without a result are made again after
// their time limit, and peers and the store are compared at intervals.
func (l *Loop) Post(ev node.Event) bool {
	select {
	case l.queue <- ev:
		return true
	default:
		l.dropped.Inc()
		return false
	}
}

// RequestTrial asks on which of the upstreams, by address, a suspect may run.
// The control goroutine calls reply, which must not block. It is never called
// when the request finds the queue full, and RequestTrial returns false.
func (l *Loop) RequestTrial(h quarantine.Hash, candidates []string, reply func(node.TrialAnswered)) bool {
	l.trialsMu.Lock()
	l.trialSeq++
	id := l.trialSeq
	l.trials[id] = reply
	l.trialsMu.Unlock()
	if l.Post(node.TrialRequested{ID: id, Hash: h, Candidates: candidates}) {
		return true
	}
	l.trialsMu.Lock()
	defer l.trialsMu.Unlock()
	delete(l.trials, id)
	return false
}

// Snapshot returns the current view. It is safe for concurrent use.
func (l *Loop) Snapshot() *node.Snapshot { return l.snap.Load() }

// Changed returns a channel that is closed at the next new snapshot.
func (l *Loop) Changed() <-chan struct{} {
	l.changedMu.Lock()
	defer l.changedMu.Unlock()
	return l.changed
}

// Events returns the recent explanations.
func (l *Loop) Events() *Ring { return l.events }

// Run drives the node until the context ends, and returns when all I/O has
// ended.
func (l *Loop) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer l.wg.Wait()
	defer func() {
		cancel()
		for _, w := range l.watches {
			w.stop()
		}
	}()
	ticks := l.o.Ticks
	if ticks == nil {
		t := time.NewTicker(node.TickInterval)
		defer t.Stop()
		ticks = t.C
	}
	l.step(ctx, node.Tick{})
	for {
		select {
		case <-ctx.Done():
			return nil
		case ev := <-l.queue:
			l.step(ctx, ev)
		case <-ticks:
			l.step(ctx, node.Tick{})
		}
	}
}

func (l *Loop) step(ctx context.Context, ev node.Event) {
	l.steps.Inc()
	now := l.o.Now()
	acts := l.node.Step(now, ev)
	if s := l.node.Snapshot(); s != l.snap.Load() {
		l.snap.Store(s)
		l.changedMu.Lock()
		close(l.changed)
		l.changed = make(chan struct{})
		l.changedMu.Unlock()
	}
	for _, a := range acts {
		l.actions.Inc()
		l.execute(ctx, now, a)
	}
}

func (l *Loop) execute(ctx context.Context, now time.Time, a node.Action) {
	switch a := a.(type) {
	case node.Explain:
		l.events.Add(now, a.Subject, a.Text)
		l.log.Info(a.Text, "subject", a.Subject)
	case node.WatchStore:
		l.watch(ctx, a)
	case node.UnwatchStore:
		if w := l.watches[a.Prefix]; w != nil {
			w.stop()
			delete(l.watches, a.Prefix)
		}
	case node.LinkPeer:
		if l.o.Peers != nil {
			l.o.Peers.Link(a)
		}
	case node.UnlinkPeer:
		if l.o.Peers != nil {
			l.o.Peers.Unlink(a.Peer)
		}
	case node.SendPeer:
		if l.o.Peers != nil {
			l.o.Peers.Send(a.To, a.Msg)
		}
	case node.DeliverMessage:
		if l.o.OnMessage != nil {
			l.o.OnMessage(a)
		}
	case node.TrialAnswered:
		l.trialsMu.Lock()
		reply := l.trials[a.ID]
		delete(l.trials, a.ID)
		l.trialsMu.Unlock()
		if reply != nil {
			reply(a)
		}
	case node.WriteStore:
		l.spawn(func() { l.write(ctx, a) })
	case node.ReadStore:
		l.spawn(func() { l.read(ctx, a) })
	case node.PollLoad:
		l.spawn(func() { l.poll(ctx, a) })
	case node.ListVMs:
		l.spawn(func() {
			ctx, cancel := context.WithTimeout(ctx, l.o.VMTimeout)
			defer cancel()
			vms, err := l.o.VMs.List(ctx)
			l.Post(node.VMsListed{VMs: vms, Err: err})
		})
	}
}

func (l *Loop) spawn(f func()) {
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		f()
	}()
}

// openWatch is the store client of the watch of one prefix.
type openWatch struct {
	cancel context.CancelFunc
	store  store.Store
	// own is set when the client serves this watch alone.
	own    bool
	closed sync.Once
	// idle is set by the call's goroutine when it has returned without error,
	// so that the next call may use the same connection.
	idle atomic.Bool
}

// stop ends a call in progress and closes the connection.
func (w *openWatch) stop() {
	w.cancel()
	w.closed.Do(func() {
		if c, ok := w.store.(io.Closer); ok && w.own {
			_ = c.Close()
		}
	})
}

func (l *Loop) watch(ctx context.Context, a node.WatchStore) {
	w := l.watches[a.Prefix]
	if w == nil || !w.idle.Load() {
		if w != nil {
			w.stop()
		}
		w = &openWatch{store: l.o.Store}
		if l.o.OpenStore != nil {
			s, err := l.o.OpenStore()
			if err != nil {
				delete(l.watches, a.Prefix)
				l.Post(node.StoreListed{Prefix: a.Prefix, Watch: a.Watch, Err: eris.Wrap(err, "open a store client for a watch")})
				return
			}
			w.store, w.own = s, true
		}
		l.watches[a.Prefix] = w
	}
	w.idle.Store(false)
	cctx, cancel := context.WithTimeout(ctx, 2*a.Wait)
	w.cancel = cancel
	l.spawn(func() {
		defer cancel()
		entries, index, err := w.store.List(cctx, a.Prefix, a.Index, a.Wait)
		w.idle.Store(err == nil)
		l.Post(node.StoreListed{Prefix: a.Prefix, Watch: a.Watch, Entries: entries, Index: index, Err: err})
	})
}

func (l *Loop) write(ctx context.Context, a node.WriteStore) {
	ctx, cancel := context.WithTimeout(ctx, l.o.StoreTimeout)
	defer cancel()
	index, err := l.o.Store.CompareAndSwap(ctx, a.Key, a.Value, a.Index)
	l.Post(node.StoreWrote{Key: a.Key, Value: a.Value, Index: index, Err: err})
}

func (l *Loop) read(ctx context.Context, a node.ReadStore) {
	ctx, cancel := context.WithTimeout(ctx, l.o.StoreTimeout)
	defer cancel()
	e, err := l.o.Store.Get(ctx, a.Key)
	if errors.Is(err, store.ErrNotFound) {
		e, err = store.Entry{Key: a.Key}, nil
	}
	l.Post(node.StoreRead{Key: a.Key, Entry: e, Err: err})
}

func (l *Loop) poll(ctx context.Context, a node.PollLoad) {
	ctx, cancel := context.WithTimeout(ctx, l.o.PollTimeout)
	defer cancel()
	select {
	case l.polls <- struct{}{}:
		defer func() { <-l.polls }()
	case <-ctx.Done():
		// Says nothing about the upstream; the node polls again.
		return
	}
	c, err := l.o.Engine(a.Driver)
	if err != nil {
		l.Post(node.LoadReported{Address: a.Address, Err: err})
		return
	}
	load, err := c.Load(ctx, a.Address)
	l.Post(node.LoadReported{Address: a.Address, Load: load, Err: err, Refused: errors.Is(err, syscall.ECONNREFUSED)})
}
