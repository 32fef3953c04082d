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
	out := telemetry.NewAsyncWriter(e.stdout)
	defer out.Close()
	logger := slog.New(telemetry.NewJSONHandler(out))
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(runtimeMemoryLimit(s.MemoryMB))
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	d, err := edge.New(edge.Options{
		Settings: s, Store: platform.NewStore(s.StoreAddress), Decoder: platform.Decoder{}, Protocol: platform.Protocol{}, Logger: logger,
	})
	if err != nil {
		return err
	}
	if err := d.Start(e.ctx); err != nil {
		return err
	}
	watching, stopWatching := context.WithCancel(e.ctx)
	defer stopWatching()
	go telemetry.WatchStalls(watching, telemetry.RecordStalls(telemetry.WithPart(logger, "edge")))
	settingsPoll := time.NewTicker(settingsPollInterval)
	defer settingsPoll.Stop()
	for stop := false; !stop; {
		select {
		case sig := <-signals:
			telemetry.WithPart(logger, "edge").Info("signal received", "signal", sig.String())
			if stop = sig != syscall.SIGHUP; !stop {
				s = reload(d, logger, config, s)
			}
		case <-settingsPoll.C:
			if m := modTime(config); !m.Equal(knownModTime) {
				knownModTime = m
				s = reload(d, logger, config, s)
			}
		case <-e.ctx.Done():
			stop = true
		}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(e.ctx), s.StopGrace+stopMargin)
	defer cancel()
	return d.Stop(ctx)
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

// reload reads the settings file again and returns the settings in force: those of
// the file, or the current ones when it cannot be read.
func reload(d *edge.Edge, logger *slog.Logger, config string, current edge.Settings) edge.Settings {
	log := telemetry.WithPart(logger, "edge")
	s, err := platform.ReadSettings(config)
	if err != nil {
		log.Error("settings not read; keeping the current ones", "cause", err)
		return current
	}
	d.Apply(s)
	log.Info("settings read again", "grace", s.StopGrace, "repeat_ratio", s.RetryRatio, "repeat_slack", s.RetrySlack)
	return s
}
