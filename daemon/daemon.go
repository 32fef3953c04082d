// Package daemon assembles one serving process from its settings: the control
// goroutine, the front ends for callers, the operator API and the drivers. The
// parts are wired with uber/fx, and the decisions are made in them, not here.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"log/slog"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gin-gonic/gin"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/gooseberryroad/gooseberryroad/control"
	"github.com/gooseberryroad/gooseberryroad/cursor"
	"github.com/gooseberryroad/gooseberryroad/drain"
	"github.com/gooseberryroad/gooseberryroad/engine"
	"github.com/gooseberryroad/gooseberryroad/entry"
	"github.com/gooseberryroad/gooseberryroad/internal/clientconn"
	"github.com/gooseberryroad/gooseberryroad/internal/pause"
	"github.com/gooseberryroad/gooseberryroad/kernel"
	"github.com/gooseberryroad/gooseberryroad/membership"
	"github.com/gooseberryroad/gooseberryroad/node"
	"github.com/gooseberryroad/gooseberryroad/operator"
	"github.com/gooseberryroad/gooseberryroad/peer"
	"github.com/gooseberryroad/gooseberryroad/plain"
	"github.com/gooseberryroad/gooseberryroad/settings"
	"github.com/gooseberryroad/gooseberryroad/store"
	"github.com/gooseberryroad/gooseberryroad/telemetry"
	"github.com/gooseberryroad/gooseberryroad/vmlist"
)

// Options configure a Daemon.
type Options struct {
	Settings *settings.Settings
	// Logger is where the daemon logs; nil discards its logs.
	Logger *slog.Logger
}

// Daemon is one serving process. Start it once, and end it with Stop or Kill.
type Daemon struct {
	app            *fx.App
	settings       *settings.Settings
	log            *slog.Logger
	loop           *control.Loop
	peers          *peer.Transport
	entry          *entry.Entry
	plain          *plain.Handler
	callerServer   *http.Server
	operatorServer *http.Server
	listeners      listeners
	connections    *clientconn.Tracker
	// accepted is closed when no more connections of callers are accepted.
	accepted     chan struct{}
	cancel       context.CancelFunc
	endRequested atomic.Bool
	// refusing is set once a stopping daemon refuses new requests, closing when it no longer
	// waits for those that have arrived on open connections.
	refusing, closing atomic.Bool
	// done is closed when the control loop has ended.
	done chan struct{}
}

// listeners are the bound sockets. They are bound before anything runs, so that New
// returns an error when an address is in use.
type listeners struct {
	callers, operators, peers net.Listener
}

func (l listeners) close() {
	for _, ln := range []net.Listener{l.callers, l.operators, l.peers} {
		if ln != nil {
			ln.Close()
		}
	}
}

// New binds the daemon's addresses and wires its parts. Start makes it serve.
func New(o Options) (*Daemon, error) {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	gin.SetMode(gin.ReleaseMode)
	log := telemetry.WithPart(o.Logger, "daemon")
	d := &Daemon{
		settings: o.Settings, log: log, connections: clientconn.NewTracker(log),
		accepted: make(chan struct{}), done: make(chan struct{}),
	}
	ln, err := listen(o.Settings.Daemon)
	if err != nil {
		return nil, err
	}
	d.listeners = ln
	d.app = fx.New(
		fx.WithLogger(func() fxevent.Logger { return &fxevent.SlogLogger{Logger: slog.New(slog.DiscardHandler)} }),
		fx.Supply(o.Settings, o.Logger, ln),
		fx.Provide(newStore, newLister, newEngines, newSealer, newControlMetrics, newSelfMember, newPeers, newMessageDispatcher, newLoop, newEntry, newPlain, newOperator),
		fx.Invoke(d.attach),
	)
	if err := d.app.Err(); err != nil {
		ln.close()
		return nil, eris.Wrap(err, "wire the daemon")
	}
	return d, nil
}

func listen(s settings.Daemon) (listeners, error) {
	var ln listeners
	for _, l := range []struct {
		dst     *net.Listener
		address string
	}{{&ln.callers, s.CallerAddress}, {&ln.operators, s.OperatorAddress}, {&ln.peers, s.PeerAddress}} {
		var err error
		if *l.dst, err = net.Listen("tcp", l.address); err != nil {
			ln.close()
			return listeners{}, eris.Wrap(err, "listen")
		}
	}
	return ln, nil
}

func newStore(s *settings.Settings) (store.Store, error) {
	return kernel.Load[store.Store](s.Store.Driver, kernel.Options{Address: s.Store.Address})
}

// newLister returns the lister of VMs, or nil when the settings name no list.
func newLister(s *settings.Settings) (vmlist.Lister, error) {
	if s.VMs.Address == "" {
		return nil, nil
	}
	return kernel.Load[vmlist.Lister](s.VMs.Driver, kernel.Options{Address: s.VMs.Address})
}

// engines maps the module IDs of engine drivers to their clients.
type engines map[string]engine.Client

func newEngines() (engines, error) {
	clients := engines{}
	for _, id := range kernel.IDs("engine") {
		c, err := kernel.Load[engine.Client](id, kernel.Options{})
		if err != nil {
			return nil, err
		}
		clients[id] = c
	}
	return clients, nil
}

func (e engines) client(driver string) (engine.Client, error) {
	c, ok := e[driver]
	if !ok {
		return nil, eris.Errorf("unknown engine driver %q", driver)
	}
	return c, nil
}

func newSealer(s *settings.Settings) (*cursor.Sealer, error) {
	return cursor.NewSealer(s.Cursor.Key, rand.Reader)
}

// randomSeed returns a seed for the random choices of one component. Decisions get
// no other randomness.
func randomSeed() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, eris.Wrap(err, "read a random seed")
	}
	return binary.LittleEndian.Uint64(b[:]), nil
}

// controlMetrics are the metrics of the control goroutine and of peer links.
type controlMetrics struct{ *metrics.Set }

func newControlMetrics() controlMetrics { return controlMetrics{metrics.NewSet()} }

// newSelfMember returns the description of this daemon that it sends to the others.
// The incarnation is the time of the start in nanoseconds, so that it rises with
// every start.
func newSelfMember(s *settings.Settings, ln listeners) membership.Member {
	return membership.Member{
		Name: s.Daemon.Name, DataCentre: s.Daemon.DataCentre, Region: s.Daemon.Region,
		Address: ln.peers.Addr().String(), Incarnation: uint64(time.Now().UnixNano()),
	}
}

func newPeers(s *settings.Settings, log *slog.Logger, self membership.Member, set controlMetrics) *peer.Transport {
	return peer.New(peer.Options{Self: self, Key: s.Peers.Key, Logger: log, Metrics: set.Set})
}

func newLoop(s *settings.Settings, log *slog.Logger, st store.Store, vms vmlist.Lister, clients engines, self membership.Member, links *peer.Transport, dispatcher *messageDispatcher, set controlMetrics) (*control.Loop, error) {
	n, err := randomSeed()
	if err != nil {
		return nil, err
	}
	return control.New(control.Options{
		Node: node.Options{
			Name:        self.Name,
			DataCentre:  self.DataCentre,
			Region:      self.Region,
			PeerAddress: self.Address,
			Incarnation: self.Incarnation,
			Seeds:       s.Peers.Seeds,
			Rand:        mathrand.New(mathrand.NewPCG(n, 1)),
			VMInterval:  s.VMs.Interval,
		},
		Peers:        links,
		Store:        st,
		OpenStore:    func() (store.Store, error) { return newStore(s) },
		VMs:          vms,
		Engine:       clients.client,
		Logger:       log,
		StoreTimeout: s.Store.Timeout,
		VMTimeout:    s.VMs.Timeout,
		OnMessage:    dispatcher.dispatch,
		Metrics:      set.Set,
	}), nil
}

func newEntry(s *settings.Settings, log *slog.Logger, loop *control.Loop, clients engines, sealer *cursor.Sealer) (*entry.Entry, error) {
	n, err := randomSeed()
	if err != nil {
		return nil, err
	}
	return entry.New(entry.Options{
		Daemon:         s.Daemon.Name,
		DataCentre:     s.Daemon.DataCentre,
		Region:         s.Daemon.Region,
		Snapshot:       loop.Snapshot,
		Clients:        clients,
		Sealer:         sealer,
		CursorLifetime: s.Cursor.Lifetime,
		Logger:         log,
		Seed:           n,
		MaxHeldBytes:   s.Memory.HeldBytes,
		OnAdopted:      adoptionNotifier{loop, s.Daemon.Name}.notify,
		AbandonGrace:   s.Cursor.AbandonGrace,
		Report:         trafficReporter{loop}.attemptEnded,
		Quarantine:     trafficReporter{loop},
		Tracer:         otel.GetTracerProvider(),
	}), nil
}

// idleConnections bounds the idle connections that are kept open to one plain
// upstream.
const idleConnections = 16

func newPlain(s *settings.Settings, log *slog.Logger, loop *control.Loop, st store.Store) (*plain.Handler, error) {
	n, err := randomSeed()
	if err != nil {
		return nil, err
	}
	return plain.New(plain.Options{
		Snapshot: loop.Snapshot,
		Store:    st,
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     30 * time.Second,
		},
		Seed:         n,
		Nonce:        rand.Text,
		Daemon:       s.Daemon.Name,
		Logger:       log,
		StoreTimeout: s.Store.Timeout,
		OnResult:     trafficReporter{loop}.plainAttemptEnded,
		Tracer:       otel.GetTracerProvider(),
	}), nil
}

func newOperator(s *settings.Settings, log *slog.Logger, loop *control.Loop, st store.Store, e *entry.Entry, set controlMetrics) *operator.Server {
	return operator.New(operator.Options{
		Daemon:  s.Daemon.Name,
		Control: loop,
		Store:   st,
		Teams:   s.Teams,
		Logger:  log,
		Metrics: []*metrics.Set{set.Set, e.Metrics()},
	})
}

// attach builds the HTTP servers and adds them to the application's lifecycle.
func (d *Daemon) attach(lc fx.Lifecycle, loop *control.Loop, links *peer.Transport, dispatcher *messageDispatcher, e *entry.Entry, p *plain.Handler, op *operator.Server) {
	dispatcher.entry.Store(e)
	d.loop, d.peers, d.entry, d.plain = loop, links, e, p
	mux := http.NewServeMux()
	mux.Handle(plain.Prefix, p)
	mux.Handle("/", e.Handler())
	d.callerServer = &http.Server{
		Handler:           d.closeAfterRefusal(mux),
		ConnContext:       e.ConnContext,
		ReadHeaderTimeout: 5 * time.Second,
		MaxHeaderBytes:    32 << 10,
		IdleTimeout:       time.Minute,
	}
	d.connections.Attach(d.callerServer)
	d.operatorServer = &http.Server{Handler: op.Handler(), ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: 16 << 10}
	lc.Append(fx.Hook{OnStart: d.start, OnStop: d.drainAndClose})
}

// closeAfterRefusal returns a handler that tells callers, once the daemon refuses new
// requests, to open another connection. While it waits for requests that have arrived, it
// does not do so if one has on this connection.
func (d *Daemon) closeAfterRefusal(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.closing.Load() || d.refusing.Load() && !clientconn.FromContext(r.Context()).NextRequestArrived() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (d *Daemon) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	// The links start before the loop, which may request connections at once.
	d.peers.Start(ctx, d.listeners.peers, d.loop.Post)
	go func() {
		defer close(d.done)
		if err := d.loop.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
			d.log.Error("control loop ended with an error", "cause", err)
		}
	}()
	go func() {
		defer close(d.accepted)
		d.serve(d.callerServer, d.connections.Listener(d.listeners.callers))
	}()
	go d.serve(d.operatorServer, d.listeners.operators)
	return nil
}

// serve serves on a listener until the server is closed.
func (d *Daemon) serve(s *http.Server, ln net.Listener) {
	if err := s.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		d.log.Error("listener failed", "address", ln.Addr().String(), "cause", err)
	}
}

// drainAndClose shuts the daemon down gracefully. The daemon reports that it is not
// ready, still accepts requests until the load balancer has had time to notice, and
// lets running requests finish. At the drain deadline it hands the streams that
// still run over with a cursor; when ctx ends it does so at once and cuts off all
// other requests.
func (d *Daemon) drainAndClose(ctx context.Context) error {
	d.loop.Post(node.DrainRequested{})
	pause.For(ctx, d.settings.Drain.Notice)
	d.plain.StopNewCalls()
	d.refusing.Store(true)
	drainCtx, cancel := context.WithTimeout(ctx, d.settings.Drain.Deadline)
	defer cancel()
	defer context.AfterFunc(ctx, d.entry.EndAll)()
	d.entry.Drain(drainCtx)
	// Plain calls end within the timeout of their route, so the drain deadline
	// does not apply to them. Only the end of ctx, such as after a second signal,
	// cuts them off.
	// The server reports the error of a listener that is closed to serve.
	_ = d.listeners.callers.Close()
	<-d.accepted
	last := time.Now().Add(d.settings.Drain.Deadline)
	closes := func(c drain.Connection) bool {
		now := time.Now()
		return c.Unused(now) || !c.Answering && now.After(last)
	}
	defer time.AfterFunc(d.settings.Drain.Deadline, func() { d.closing.Store(true) }).Stop()
	if open := d.connections.CloseAll(ctx, closes); open > 0 {
		d.log.Warn("drain cancelled; running plain calls were cut off", "connections", open, "cause", ctx.Err())
	}
	if err := d.plain.Drain(ctx); err != nil {
		d.log.Warn("drain cancelled; some claims were not settled", "cause", err)
	}
	d.close()
	return nil
}

// close closes the servers and listeners and waits for the control loop and the
// peer links to end.
func (d *Daemon) close() {
	d.callerServer.Close()
	d.operatorServer.Close()
	d.listeners.close()
	d.cancel()
	<-d.done
	d.peers.Wait()
}

// Start starts all parts of the daemon and returns once it serves.
func (d *Daemon) Start(ctx context.Context) error {
	if err := d.app.Start(ctx); err != nil {
		return eris.Wrap(err, "start the daemon")
	}
	d.log.Info("daemon is serving", "name", d.settings.Daemon.Name, "callers", d.CallerAddress(), "operator", d.OperatorAddress(), "peers", d.PeerAddress())
	return nil
}

// Stop drains and ends the daemon. When ctx ends first, streams that still run
// are handed over with a cursor at once. Calls after the first Stop or Kill do
// nothing.
func (d *Daemon) Stop(ctx context.Context) error {
	if d.endRequested.Swap(true) {
		return nil
	}
	// The shutdown takes some time after ctx has ended. It is therefore called
	// directly, because fx would no longer wait for its hook.
	stopCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	return d.drainAndClose(stopCtx)
}

// Kill ends the daemon as the loss of its VM would: connections break and nothing
// is drained. It is for tests and experiments.
func (d *Daemon) Kill() {
	if !d.endRequested.Swap(true) {
		d.close()
	}
}

// CallerAddress returns the bound address for callers.
func (d *Daemon) CallerAddress() string { return d.listeners.callers.Addr().String() }

// OperatorAddress returns the bound address of the operator API.
func (d *Daemon) OperatorAddress() string { return d.listeners.operators.Addr().String() }

// PeerAddress returns the bound address for other daemons.
func (d *Daemon) PeerAddress() string { return d.listeners.peers.Addr().String() }

// Entry returns the callers' front end, for measurements.
func (d *Daemon) Entry() *entry.Entry { return d.entry }

// Loop returns the control loop, for measurements.
func (d *Daemon) Loop() *control.Loop { return d.loop }
