// Package edge assembles a gateway process: the directory that follows the
// store, the relay between daemons, the listeners and the draining when the
// process stops. The parts are wired with uber/fx.
package edge

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/gooseberryroad/gooseberryroad/directory"
	"github.com/gooseberryroad/gooseberryroad/drain"
	"github.com/gooseberryroad/gooseberryroad/failover"
	"github.com/gooseberryroad/gooseberryroad/gateway"
	"github.com/gooseberryroad/gooseberryroad/internal/bootclock"
	"github.com/gooseberryroad/gooseberryroad/internal/clientconn"
	"github.com/gooseberryroad/gooseberryroad/internal/pause"
	"github.com/gooseberryroad/gooseberryroad/relay"
	"github.com/gooseberryroad/gooseberryroad/sources"
	"github.com/gooseberryroad/gooseberryroad/store"
	"github.com/gooseberryroad/gooseberryroad/telemetry"
	"github.com/gooseberryroad/gooseberryroad/upstream"
)

const (
	// headerTimeout bounds the time in which the head of a request must arrive. The header
	// timeout of operators' configurations is 3 s.
	headerTimeout = 10 * time.Second
	// unusedTimeout bounds the time until the first byte on a new connection of a client. It
	// is longer than the idle time that operators' configurations give to clients, 15 s.
	unusedTimeout = 30 * time.Second
	// idleTimeout is longer than the idle timeout in any operator's configuration, which
	// limits how long a client keeps a connection idle, so that a client never reuses a
	// connection that the daemon has just closed.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the head of a request.
	maxHeaderBytes = 64 << 10
	// drainPollInterval is how often a stopping daemon checks whether its streams
	// have ended.
	drainPollInterval = 20 * time.Millisecond
	// bodyMemoryShare is the part of the process's memory that request bodies may
	// take. The runtime and the responses need the rest.
	bodyMemoryShare = 0.3
	// sweepInterval is how often expired idle connections are closed.
	sweepInterval = time.Second
)

// Options configure an Edge: the settings of the daemon and the code that is
// specific to a deployment.
type Options struct {
	Settings Settings
	Store    Store
	Decoder  directory.Decoder
	Protocol gateway.Protocol
	Logger   *slog.Logger
	// DutyStore and Cloud are needed if the settings have duties.
	DutyStore DutyStore
	Cloud     Cloud
	// DialUpstream opens connections to upstreams; nil is an ordinary connection. Tests cut
	// a daemon off with it.
	DialUpstream func(ctx context.Context, address string) (net.Conn, error)
}

// Edge is one gateway process.
type Edge struct {
	o        Options
	app      *fx.App
	follower *directory.Follower
	gateway  *gateway.Gateway
	pool     *upstream.Pool
	// duties is nil if the deployment has none.
	duties      *duties
	clients     *http.Server
	connections *clientconn.Tracker
	// accepted is closed when no more connections of clients are accepted.
	accepted  chan struct{}
	listeners []net.Listener
	stopping  atomic.Bool
	// grace is the time that a stop may take, as a time.Duration; it may change
	// while the process runs.
	grace  atomic.Int64
	cancel context.CancelFunc
}

// New assembles a gateway process; Start opens its listeners.
func New(o Options) (*Edge, error) {
	e := &Edge{o: o, accepted: make(chan struct{})}
	e.grace.Store(int64(o.Settings.StopGrace))
	e.app = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(o),
		fx.Provide(newPool, newFollower, newEdgeDuties, newGateway),
		fx.Populate(&e.pool, &e.follower, &e.duties, &e.gateway),
		fx.Invoke(func(lc fx.Lifecycle) {
			lc.Append(fx.Hook{OnStart: e.start, OnStop: e.stop})
		}),
	)
	return e, eris.Wrap(e.app.Err(), "assemble the gateway process")
}

func newPool(o Options) *upstream.Pool {
	options := upstream.DefaultOptions()
	options.Dial = o.DialUpstream
	return upstream.NewPool(options)
}

func newFollower(o Options) *directory.Follower {
	log := telemetry.WithPart(o.Logger, "directory")
	return directory.NewFollower(directory.Options{
		Store: o.Store, Decoder: o.Decoder, Relay: relay.NewClient(telemetry.WithPart(o.Logger, "relay")), Logger: log,
		Self: sources.Peer{
			Name: o.Settings.Name, Address: o.Settings.RelayAddress, DataCentre: o.Settings.DataCentre, LinkMbps: o.Settings.LinkMbps,
		},
		Seeds: o.Settings.Seeds, MaxStaleness: o.Settings.MaxStaleness,
	})
}

// newEdgeDuties returns nil if the deployment has no duties.
func newEdgeDuties(o Options, f *directory.Follower) (*duties, error) {
	if !o.Settings.Duties.Any() {
		return nil, nil
	}
	if o.DutyStore == nil || o.Cloud == nil || o.Settings.RelayAddress == "" {
		return nil, eris.New("duties need a store with transactions, a control service and an address for other daemons")
	}
	client := relay.NewClient(telemetry.WithPart(o.Logger, "relay"))
	return newDuties(dutyOptions{
		Settings: o.Settings, Store: o.DutyStore, Cloud: o.Cloud, NewPlanner: newSizingPlanner, LowerAfter: lowerReplicasAfter, View: f.View,
		ViewEra: viewEra, Era: func() uint64 { return uint64(f.Era()) }, Lease: f.Lease,
		Send: client.SendUsage, SendDemand: client.SendDemand,
		SinceBoot: bootclock.Now, TimeOfDay: time.Now, Logger: telemetry.WithPart(o.Logger, "duty"),
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}), nil
}

// viewEra returns the store's era of a view.
func viewEra(v *directory.View) uint64 { return uint64(store.EraOf(v.Revision)) }

func newGateway(o Options, f *directory.Follower, p *upstream.Pool, d *duties) *gateway.Gateway {
	var onBegan func(string, time.Time)
	if o.Settings.Duties.Usage {
		onBegan = d.Began
	}
	g := gateway.New(gateway.Options{
		OnBegan: onBegan,
		Name:    o.Settings.Name, Directory: f, Protocol: o.Protocol, Pool: p, Logger: telemetry.WithPart(o.Logger, "gateway"),
		DataCentre:       o.Settings.DataCentre,
		Rand:             rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Failover:         failover.DefaultOptions(),
		Budget:           o.Settings.budget(),
		MaxHeldBodyBytes: int64(bodyMemoryShare * float64(o.Settings.MemoryMB<<20)),
		MaxHeldHeadBytes: int64(headMemoryShare * float64(o.Settings.MemoryMB<<20)),
		Forward:          newForward(o),
	})
	f.SetOnView(g.OnView)
	if o.Settings.Duties.Scaling {
		d.setDemand(g.Demand)
	}
	return g
}

// Apply takes settings that were read again: the grace period of a stop and the
// retry budget. Changed addresses, names, data centres and bounds on stale content
// take effect only when the process is restarted.
func (e *Edge) Apply(s Settings) {
	s.logBrokenPromises(telemetry.WithPart(e.o.Logger, "edge"))
	e.grace.Store(int64(s.StopGrace))
	e.gateway.SetRetryBudget(s.budget())
}

// StopGrace returns the time that a stop may take.
func (e *Edge) StopGrace() time.Duration { return time.Duration(e.grace.Load()) }

// Start opens the listeners and begins to follow the store.
func (e *Edge) Start(ctx context.Context) error { return e.app.Start(ctx) }

// Stop drains the process within the grace period, or until ctx ends.
func (e *Edge) Stop(ctx context.Context) error { return e.app.Stop(ctx) }

// ClientAddress returns the address of the listener for requests.
func (e *Edge) ClientAddress() string { return e.listeners[0].Addr().String() }

// ReadinessAddress returns the address of the listener for the balancer's
// checks.
func (e *Edge) ReadinessAddress() string { return e.listeners[1].Addr().String() }

func (e *Edge) start(context.Context) error {
	runCtx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.connections = clientconn.NewTracker(telemetry.WithPart(e.o.Logger, "clients"))
	limits := e.o.Settings.clientLimits(processFDs(), e.gateway.Memory())
	e.connections.SetLimits(limits)
	e.clients = &http.Server{
		// The head itself has a time of its own in the limits.
		Handler: e.gateway, ReadHeaderTimeout: unusedTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(telemetry.WithPart(e.o.Logger, "clients").Handler(), slog.LevelInfo),
	}
	e.connections.Attach(e.clients)
	s := e.o.Settings
	servers := []struct {
		address string
		server  *http.Server
	}{
		{s.ClientAddress, e.clients},
		{s.ReadinessAddress, &http.Server{Handler: http.HandlerFunc(e.readiness), ReadHeaderTimeout: headerTimeout}},
		{s.RelayAddress, &http.Server{Handler: e.relayHandler(), ReadHeaderTimeout: headerTimeout}},
		{e.metricsAddress(), &http.Server{Handler: http.HandlerFunc(serveMetrics), ReadHeaderTimeout: headerTimeout}},
	}
	for _, v := range servers {
		if v.address == "" {
			continue
		}
		l, err := net.Listen("tcp4", v.address)
		if err != nil {
			return eris.Wrapf(err, "listen on %s", v.address)
		}
		e.listeners = append(e.listeners, l)
		if v.server == e.clients {
			go func() {
				defer close(e.accepted)
				e.serve(e.clients, e.connections.Listener(l))
			}()
			continue
		}
		go e.serve(v.server, l)
	}
	go e.follower.Run(runCtx)
	go e.sweep(runCtx)
	go e.publish(runCtx)
	if e.duties != nil {
		go e.duties.run(runCtx)
	}
	s.logBrokenPromises(telemetry.WithPart(e.o.Logger, "edge"))
	e.o.Logger.Info("daemon started", "part", "edge", "name", s.Name, "data_centre", s.DataCentre, "clients", e.ClientAddress(),
		"max_connections", limits.MaxConnections)
	return nil
}

// relayHandler serves the calls of other daemons.
func (e *Edge) relayHandler() http.Handler {
	log := telemetry.WithPart(e.o.Logger, "relay")
	mux := http.NewServeMux()
	mux.Handle("/", relay.Handler(e.follower.Content, log))
	mux.Handle(relay.ReachPath, relay.ReachHandler(e.gateway.Reach, log))
	if e.o.Settings.Duties.Usage {
		mux.Handle(relay.UsagePath, relay.UsageHandler(e.duties.Merge, log))
	}
	if e.o.Settings.Duties.Scaling {
		mux.Handle(relay.DemandPath, relay.DemandHandler(e.duties.MergeDemand, log))
	}
	return forwardedFirst(e.gateway.ForwardedHandler(e.connections), mux)
}

func (e *Edge) metricsAddress() string {
	if e.o.Settings.MetricsPort == 0 {
		return ""
	}
	return net.JoinHostPort(e.o.Settings.MetricsHost, strconv.Itoa(e.o.Settings.MetricsPort))
}

func serveMetrics(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) }

func (e *Edge) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		e.o.Logger.Error("listener failed", "part", "edge", "address", l.Addr().String(), "cause", err)
	}
}

func (e *Edge) sweep(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			e.pool.Sweep(now)
			e.gateway.SweepForward(now)
		}
	}
}

// readiness handles the balancer's checks. It responds with status 200 once the
// configuration and the upstreams are known, and with 503 before that and after
// the process was asked to stop.
func (e *Edge) readiness(w http.ResponseWriter, _ *http.Request) {
	if e.stopping.Load() || !e.follower.View().Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// stop lets running requests end and serves those that can still end within the
// grace period. The last answer on each connection closes it; idle connections are kept
// until the balancer has noticed the stop, as their next request may be on its way.
func (e *Edge) stop(ctx context.Context) error {
	plan := drain.Plan{Began: time.Now(), Grace: e.StopGrace()}
	log := telemetry.WithPart(e.o.Logger, "edge")
	log.Info("stopping", "grace", plan.Grace)
	e.stopping.Store(true)
	e.gateway.Drain(plan)
	released := make(chan struct{})
	go func() {
		defer close(released)
		if e.duties != nil {
			e.duties.stop(ctx)
		}
	}()
	closes := func(c drain.Connection) bool { return plan.ClosesConnection(c, time.Now()) }
	for ctx.Err() == nil && !plan.ShouldClose(e.gateway.RunningStreams(), time.Now()) {
		e.connections.CloseUnused(closes)
		pause.For(ctx, drainPollInterval)
	}
	err := e.closeConnections(ctx, plan, closes)
	e.awaitForwarded(ctx, plan)
	<-released
	if e.duties != nil {
		e.duties.sendLastCounts(ctx, plan)
	}
	e.cancel()
	for _, l := range e.listeners {
		// The client listener is closed already.
		_ = l.Close()
	}
	log.Info("stopped", "took", time.Since(plan.Began))
	return err
}

// closeConnections accepts no further connections of clients, and closes the open ones as
// their requests are answered. At the plan's deadline, or when ctx ends, it closes the rest.
func (e *Edge) closeConnections(ctx context.Context, plan drain.Plan, closes func(drain.Connection) bool) error {
	ctx, cancel := context.WithDeadline(ctx, plan.Deadline())
	defer cancel()
	// The server reports the error of a listener that is closed to serve.
	_ = e.listeners[0].Close()
	<-e.accepted
	if open := e.connections.CloseAll(ctx, closes); open > 0 {
		telemetry.WithPart(e.o.Logger, "edge").Warn("requests cut at the end of the grace period", "connections", open)
	}
	return eris.Wrap(e.clients.Close(), "close the connections of clients")
}
