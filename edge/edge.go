// Package edge assembles a gateway process: the directory that follows the
// store, the relay between daemons, the listeners and the drain at a stop. The
// parts are wired with uber/fx.
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
	"github.com/gooseberryroad/gooseberryroad/internal/pause"
	"github.com/gooseberryroad/gooseberryroad/relay"
	"github.com/gooseberryroad/gooseberryroad/sources"
	"github.com/gooseberryroad/gooseberryroad/telemetry"
	"github.com/gooseberryroad/gooseberryroad/upstream"
)

const (
	// headerTimeout bounds the arrival of a request's head.
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than any idle time that operators grant to clients, so
	// that a client that reuses its connection never meets our close.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds a request's head.
	maxHeaderBytes = 64 << 10
	// drainPoll is how often a stopping daemon looks whether its streams have ended.
	drainPoll = 20 * time.Millisecond
	// bodyShare is the part of the process's memory that request bodies may take;
	// the runtime and the answers need the rest.
	bodyShare = 0.3
	// sweepEvery is how often expired idle connections are closed.
	sweepEvery = time.Second
)

// Options are the settings and the translation of a deployment.
type Options struct {
	Settings Settings
	Store    Store
	Decoder  directory.Decoder
	Protocol gateway.Protocol
	Logger   *slog.Logger
}

// Edge is one gateway process.
type Edge struct {
	o        Options
	app      *fx.App
	follower *directory.Follower
	gateway  *gateway.Gateway
	pool     *upstream.Pool
	clients  *http.Server
	// connections are those of clients.
	connections connections
	listeners   []net.Listener
	stopping    atomic.Bool
	// grace is the time of a stop; it may change while the process runs.
	grace  atomic.Int64
	cancel context.CancelFunc
}

// New wires an edge; Start opens its listeners.
func New(o Options) (*Edge, error) {
	e := &Edge{o: o}
	e.grace.Store(int64(o.Settings.StopGrace))
	e.app = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(o),
		fx.Provide(newPool, newFollower, newGateway),
		fx.Populate(&e.pool, &e.follower, &e.gateway),
		fx.Invoke(func(lc fx.Lifecycle) {
			lc.Append(fx.Hook{OnStart: e.start, OnStop: e.stop})
		}),
	)
	return e, eris.Wrap(e.app.Err(), "wire the edge")
}

func newPool() *upstream.Pool { return upstream.NewPool(upstream.DefaultOptions()) }

func newFollower(o Options) *directory.Follower {
	log := telemetry.Part(o.Logger, "directory")
	return directory.NewFollower(directory.Options{
		Store: o.Store, Decoder: o.Decoder, Relay: relay.NewClient(telemetry.Part(o.Logger, "relay")), Logger: log,
		Self: sources.Peer{
			Name: o.Settings.Name, Address: o.Settings.RelayAddress, DataCentre: o.Settings.DataCentre, LinkMbps: o.Settings.LinkMbps,
		},
		Seeds: o.Settings.Seeds,
	})
}

func newGateway(o Options, f *directory.Follower, p *upstream.Pool) *gateway.Gateway {
	g := gateway.New(gateway.Options{
		Name: o.Settings.Name, Directory: f, Protocol: o.Protocol, Pool: p, Logger: telemetry.Part(o.Logger, "gateway"),
		DataCentre:       o.Settings.DataCentre,
		Rand:             rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Failover:         failover.DefaultOptions(),
		Budget:           o.Settings.budget(),
		MaxHeldBodyBytes: int64(bodyShare * float64(o.Settings.MemoryMB<<20)),
	})
	f.SetOnView(g.OnView)
	return g
}

// Apply takes settings that were read again: the grace of a stop and the retry
// budget. Addresses, the name and the data centre stay until the process starts
// again.
func (e *Edge) Apply(s Settings) {
	e.grace.Store(int64(s.StopGrace))
	e.gateway.SetBudget(s.budget())
}

// Start opens the listeners and follows the store.
func (e *Edge) Start(ctx context.Context) error { return e.app.Start(ctx) }

// Stop drains the process within the grace of a stop, or until ctx ends.
func (e *Edge) Stop(ctx context.Context) error { return e.app.Stop(ctx) }

// ClientAddress is the address for requests.
func (e *Edge) ClientAddress() string { return e.listeners[0].Addr().String() }

// ReadinessAddress is the address for the balancer's checks.
func (e *Edge) ReadinessAddress() string { return e.listeners[1].Addr().String() }

func (e *Edge) start(context.Context) error {
	run, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.clients = &http.Server{
		Handler: e.gateway, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: e.connections.changed,
		ErrorLog:  slog.NewLogLogger(telemetry.Part(e.o.Logger, "clients").Handler(), slog.LevelInfo),
	}
	s := e.o.Settings
	servers := []struct {
		address string
		server  *http.Server
	}{
		{s.ClientAddress, e.clients},
		{s.ReadinessAddress, &http.Server{Handler: http.HandlerFunc(e.readiness), ReadHeaderTimeout: headerTimeout}},
		{s.RelayAddress, &http.Server{Handler: relay.Handler(e.follower.Content, telemetry.Part(e.o.Logger, "relay")), ReadHeaderTimeout: headerTimeout}},
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
			l = trackedListener{l, &e.connections}
		}
		go e.serve(v.server, l)
	}
	go e.follower.Run(run)
	go e.sweep(run)
	go e.publish(run)
	e.o.Logger.Info("daemon started", "part", "edge", "name", s.Name, "data_centre", s.DataCentre, "clients", e.ClientAddress())
	return nil
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
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			e.pool.Sweep(now)
		}
	}
}

// readiness answers the balancer: requests are welcome once the configuration
// and the upstreams are known, until the process is asked to stop.
func (e *Edge) readiness(w http.ResponseWriter, _ *http.Request) {
	if e.stopping.Load() || !e.follower.View().Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// stop lets running requests end and serves what still fits into the grace.
// Idle connections are closed at once.
func (e *Edge) stop(ctx context.Context) error {
	plan := drain.Plan{Began: time.Now(), Grace: time.Duration(e.grace.Load())}
	log := telemetry.Part(e.o.Logger, "edge")
	log.Info("stopping", "grace", plan.Grace)
	e.stopping.Store(true)
	e.gateway.Drain(plan)
	e.connections.closeIdle()
	for ctx.Err() == nil && !plan.ShouldClose(e.gateway.RunningStreams(), time.Now()) {
		pause.For(ctx, drainPoll)
	}
	drained, cancel := context.WithDeadline(ctx, plan.Deadline())
	defer cancel()
	err := e.clients.Shutdown(drained)
	if err != nil {
		log.Warn("requests cut at the end of the grace", "cause", err)
		err = e.clients.Close()
	}
	e.cancel()
	for _, l := range e.listeners {
		// The client listener is closed already.
		_ = l.Close()
	}
	log.Info("stopped", "took", time.Since(plan.Began))
	return err
}
