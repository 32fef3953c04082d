package cli

import (
	"fmt"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/gooseberryroad/gooseberryroad/bench"
)

func init() { register(benchCommand) }

func benchCommand(app *kingpin.Application) map[string]func(env) error {
	cmd := app.Command("bench", "Run a load experiment on stand-ins. Exits with 1 when an answer was broken.\n\nScenarios:\n"+strings.Join(bench.Describe(), "\n"))
	var o bench.Options
	cmd.Flag("scenario", "Scenario to run.").Default("steady").EnumVar(&o.Scenario, bench.Names()...)
	cmd.Flag("seed", "Seed of load and faults.").Default("1").Uint64Var(&o.Seed)
	cmd.Flag("duration", "How long requests arrive; 0 takes the scenario's own.").Default("0s").DurationVar(&o.Duration)
	output := cmd.Flag("output", "Format of the report.").Default("text").Enum("text", "json")
	return map[string]func(env) error{cmd.FullCommand(): func(e env) error {
		o.Progress = e.stderr
		report, err := bench.Run(e.ctx, o)
		if err != nil {
			return err
		}
		write := report.WriteText
		if *output == "json" {
			write = report.WriteJSON
		}
		if err := write(e.stdout); err != nil {
			return err
		}
		if report.AnswersBroken > 0 {
			return fmt.Errorf("%d answers were broken", report.AnswersBroken)
		}
		return nil
	}}
}
