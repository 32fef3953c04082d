package cli

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/gooseberryroad/gooseberryroad/edge"
	"github.com/gooseberryroad/gooseberryroad/platform"
	"github.com/gooseberryroad/gooseberryroad/settings"
	"github.com/gooseberryroad/gooseberryroad/telemetry"
)

// stopMargin is how long a stop may take beyond its grace before the process no
// longer waits for it.
const stopMargin = time.Second

// lastReloadTimeout bounds how long a stop waits for settings that are being read.
const lastReloadTimeout = 200 * time.Millisecond

// signalDelay is how long a stop waits for a SIGHUP that was sent before the SIGTERM: the
// runtime may deliver them in the other order.
const signalDelay = 50 * time.Millisecond

// logFlushTimeout bounds the writing of the last lines of the log. It is shorter than what a
// stop leaves of its grace.
const logFlushTimeout = 250 * time.Millisecond

// settingsPollInterval is the time between two checks of the settings file for a
// change, because it may change without a signal.
const settingsPollInterval = 2 * time.Second

func init() { register(gatewayCommand) }

func gatewayCommand(app *kingpin.Application) map[string]func(env) error {
	cmd := app.Command("gateway", "Run a daemon on the users' platform. SIGTERM drains it; SIGHUP reads the settings file again.")
	exporter := cmd.Flag("trace", "Exporter of trace spans: none, stdout or otlp.").Default("none").Enum("none", "stdout", "otlp")
	endpoint := cmd.Flag("trace-endpoint", "HOST:PORT of the OTLP collector.").String()
	config := cmd.Flag("config", "The platform's settings file.").Envar(platform.SettingsVariable).Required().String()
	return map[string]func(env) error{cmd.FullCommand(): func(e env) error {
		// The time is taken before the file is read, so that a change in between is
		// noticed.
		readModTime := modTime(*config)
		s, err := platform.ReadSettings(*config)
		if err != nil {
			return &ExitError{Code: ExitUsage, Err: err}
		}
		stopTracing, err := telemetry.StartTracing(e.ctx, settings.Trace{Exporter: *exporter, Endpoint: *endpoint}, s.Name)
		if err != nil {
			return err
		}
		defer func() {
			if err := stopTracing(context.WithoutCancel(e.ctx)); err != nil {
				fmt.Fprintln(e.stderr, "gooseberryroad: spans were not flushed:", err)
			}
		}()
		return runGateway(e, s, *config, readModTime)
	}}
}

// runGateway runs a daemon until a signal to stop or the end of the context.
// knownModTime is the modification time of the settings file before it was read.
func runGateway(e env, s edge.Settings, config string, knownModTime time.Time) error {
	ignoreBrokenPipes()
	out := telemetry.NewAsyncWriter(e.stdout)
	defer out.CloseWithin(logFlushTimeout)
	logger := slog.New(telemetry.NewJSONHandler(out))
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(runtimeMemoryLimit(s.MemoryMB))
	}
	// Each channel has room for one signal: a second one of the same kind, while the first
	// waits, would say nothing new. In one channel, a signal to stop could find no room.
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(stop)
	defer signal.Stop(reload)
	kv := platform.NewStore(s.StoreAddress)
	kv.SetLogger(telemetry.WithPart(logger, "store"))
	o := edge.Options{Settings: s, Store: kv, Decoder: platform.Decoder{}, Protocol: platform.Protocol{}, Logger: logger}
	if s.Duties.Any() {
		o.DutyStore, o.Cloud = kv, platform.NewCloud(s.Duties.ControlAddress)
	}
	d, err := edge.New(o)
	if err != nil {
		return err
	}
	// A context that ends meanwhile stops the daemon below, which fails if it has half started.
	if err := d.Start(context.WithoutCancel(e.ctx)); err != nil {
		return err
	}
	watching, stopWatching := context.WithCancel(e.ctx)
	defer stopWatching()
	go telemetry.WatchStalls(watching, telemetry.RecordStalls(telemetry.WithPart(logger, "edge")))
	w := settingsWatcher{
		daemon: d, log: telemetry.WithPart(logger, "edge"), path: config, modTime: knownModTime,
		reloadSignal: reload, finished: make(chan struct{}),
	}
	go w.run(watching)
	select {
	case sig := <-stop:
		logSignal(w.log, sig)
		w.finish()
	case <-e.ctx.Done():
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(e.ctx), d.StopGrace()+stopMargin)
	defer cancel()
	return d.Stop(ctx)
}

func logSignal(log *slog.Logger, s os.Signal) { log.Info("signal received", "signal", s.String()) }

// settingsWatcher applies the settings file whenever it changes. It has a goroutine of its
// own, so that a stop does not wait for a file that cannot be read.
type settingsWatcher struct {
	daemon *edge.Edge
	log    *slog.Logger
	path   string
	// modTime is the modification time of the file before it was read last.
	modTime time.Time
	// reloadSignal receives the signals to read the file again; finished receives a value
	// when those that came before a call of finish are done.
	reloadSignal <-chan os.Signal
	finished     chan struct{}
}

// finish waits until the settings of a signal that came before are in force, at most for
// lastReloadTimeout: the grace of a stop may be among them.
func (w *settingsWatcher) finish() {
	// Of two signals that were sent one after the other, the later one can arrive first.
	time.Sleep(signalDelay)
	timer := time.NewTimer(lastReloadTimeout)
	defer timer.Stop()
	select {
	case <-w.finished:
	case <-timer.C:
	}
}

// run reads the file again on each signal, and when its modification time changes, until
// the context ends.
func (w *settingsWatcher) run(ctx context.Context) {
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	for {
		// A signal that waits goes before everything else.
		select {
		case sig := <-w.reloadSignal:
			logSignal(w.log, sig)
			w.reload()
			continue
		default:
		}
		select {
		case w.finished <- struct{}{}:
		case sig := <-w.reloadSignal:
			logSignal(w.log, sig)
			w.reload()
		case <-poll.C:
			if m := modTime(w.path); !m.Equal(w.modTime) {
				w.modTime = m
				w.reload()
			}
		case <-ctx.Done():
			return
		}
	}
}

// reload applies the settings of the file. The current ones stay in force if it cannot be
// read.
func (w *settingsWatcher) reload() {
	s, err := platform.ReadSettings(w.path)
	if err != nil {
		w.log.Error("settings not read; keeping the current ones", "cause", err)
		return
	}
	w.daemon.Apply(s)
	w.log.Info("settings read again", "grace", s.StopGrace, "repeat_ratio", s.RetryRatio, "repeat_slack", s.RetrySlack)
}

// modTime returns the modification time of a file, zero when it cannot be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		// The file may be about to be replaced; the next check finds it.
		return time.Time{}
	}
	return info.ModTime()
}
