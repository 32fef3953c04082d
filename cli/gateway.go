package cli

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/gooseberryroad/gooseberryroad/edge"
	"github.com/gooseberryroad/gooseberryroad/platform"
	"github.com/gooseberryroad/gooseberryroad/settings"
	"github.com/gooseberryroad/gooseberryroad/telemetry"
)

// stopMargin is what a stop may take beyond its grace before it is given up.
const stopMargin = time.Second

// settingsEvery is how often the settings file is looked at; it may change
// without a signal.
const settingsEvery = 2 * time.Second

func init() { register(gatewayCommand) }

func gatewayCommand(app *kingpin.Application) map[string]func(env) error {
	cmd := app.Command("gateway", "Run a daemon on the users' platform. SIGTERM drains it; SIGHUP reads the settings file again.")
	exporter := cmd.Flag("trace", "Where spans go: none, stdout or otlp.").Default("none").Enum("none", "stdout", "otlp")
	endpoint := cmd.Flag("trace-endpoint", "HOST:PORT of the OTLP collector.").String()
	config := cmd.Flag("config", "The platform's settings file.").Envar(platform.SettingsVariable).Required().String()
	return map[string]func(env) error{cmd.FullCommand(): func(e env) error {
		// Looked at before the file is read, so that a change in between is noticed.
		read := modified(*config)
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
		return runGateway(e, s, *config, read)
	}}
}

// runGateway runs a daemon until a signal to stop or the end of the context.
// Known is the time of the settings file's last change before it was read.
func runGateway(e env, s edge.Settings, config string, known time.Time) error {
	out := telemetry.NewAsyncWriter(e.stdout)
	defer out.Close()
	logger := slog.New(telemetry.NewJSONHandler(out))
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
	changes := time.NewTicker(settingsEvery)
	defer changes.Stop()
	for stop := false; !stop; {
		select {
		case sig := <-signals:
			if stop = sig != syscall.SIGHUP; !stop {
				s = reload(d, logger, config, s)
			}
		case <-changes.C:
			if m := modified(config); !m.Equal(known) {
				known = m
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

// modified is the time of the file's last change; zero when it cannot be told.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		// A file that is being replaced is looked at again.
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings file again and returns the settings in force.
func reload(d *edge.Edge, logger *slog.Logger, config string, known edge.Settings) edge.Settings {
	log := telemetry.WithPart(logger, "edge")
	s, err := platform.ReadSettings(config)
	if err != nil {
		log.Error("settings not read; the known ones stay", "cause", err)
		return known
	}
	d.Apply(s)
	log.Info("settings read again", "grace", s.StopGrace, "repeat_ratio", s.RetryRatio, "repeat_slack", s.RetrySlack)
	return s
}
