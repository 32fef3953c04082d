package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/gooseberryroad/gooseberryroad/daemon"
	"github.com/gooseberryroad/gooseberryroad/settings"
	"github.com/gooseberryroad/gooseberryroad/telemetry"
)

func init() { register(serveCommand) }

func serveCommand(app *kingpin.Application) map[string]func(env) error {
	cmd := app.Command("serve", "Run a daemon. Prints one JSON line with its addresses when it is serving. SIGTERM drains it; a second SIGTERM hands running streams over at once.")
	config := cmd.Flag("config", "Settings file.").Required().String()
	printConfig := cmd.Flag("print-config", "Print the effective settings and exit.").Bool()
	return map[string]func(env) error{cmd.FullCommand(): func(e env) error {
		b, err := readFile(*config)
		if err != nil {
			return err
		}
		s, problems := settings.Parse(*config, b)
		if len(problems) > 0 {
			return &ExitError{Code: ExitUsage, Err: problems}
		}
		if *printConfig {
			return s.Print(e.stdout)
		}
		return serve(e, s)
	}}
}

// serve runs a daemon until a signal or the end of the context, and then drains it.
// A second signal ends the drain.
func serve(e env, s *settings.Settings) error {
	ignoreBrokenPipes()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	stopTracing, err := telemetry.StartTracing(e.ctx, s.Trace, s.Daemon.Name)
	if err != nil {
		return err
	}
	defer func() {
		if err := stopTracing(context.WithoutCancel(e.ctx)); err != nil {
			telemetry.NewLogger(s.Log, e.stderr).Warn("traces were not flushed", "part", "daemon", "cause", err)
		}
	}()
	d, err := daemon.New(daemon.Options{Settings: s, Logger: telemetry.NewLogger(s.Log, e.stderr)})
	if err != nil {
		return err
	}
	if err := d.Start(e.ctx); err != nil {
		return err
	}
	ready, err := json.Marshal(map[string]string{"caller": d.CallerAddress(), "operator": d.OperatorAddress(), "peer": d.PeerAddress()})
	if err != nil {
		return err
	}
	fmt.Fprintln(e.stdout, string(ready))
	select {
	case <-signals:
	case <-e.ctx.Done():
	}
	drainCtx, cancel := context.WithCancel(context.WithoutCancel(e.ctx))
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	return d.Stop(drainCtx)
}
