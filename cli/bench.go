package cli

import (
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/bench"
)

func init() { register(benchCommand) }

func benchCommand(app *kingpin.Application) map[string]func(env) error {
	cmd := app.Command("bench", "Run a load experiment on stand-ins. Exits with 1 when an answer was broken.\n\nScenarios:\n\n"+indent(bench.DescribeScenarios())+
		"\n\nMechanisms that --without switches off:\n\n"+indent(bench.DescribeMechanisms()))
	var o bench.Options
	cmd.Flag("scenario", "Scenario to run; capacity measures what control costs by the number of daemons and replicas.").Default("steady").EnumVar(&o.Scenario, append(bench.ScenarioNames(), bench.CapacityScenario)...)
	cmd.Flag("seed", "Seed of load and faults.").Default("1").Uint64Var(&o.Seed)
	cmd.Flag("duration", "How long requests arrive; 0 takes the scenario's own.").Default("0s").DurationVar(&o.Duration)
	cmd.Flag("daemons", "Number of daemons; 0 takes the scenario's own.").Default("0").IntVar(&o.Daemons)
	cmd.Flag("processes", "Run the daemons as processes and measure what they use; for scenarios without faults.").BoolVar(&o.Processes)
	output := cmd.Flag("output", "Format of the report.").Default("text").Enum("text", "json")
	cmd.Flag("without", "Run without one mechanism.").EnumVar(&o.Without, bench.Mechanisms()...)
	cmd.Flag("baseline", "\"direct\" sends the same load once more straight to the engines.").Default("").EnumVar(&o.Baseline, bench.Baselines()...)
	html := cmd.Flag("report", "File to write plots to, as HTML.").PlaceHolder("FILE.html").String()
	return map[string]func(env) error{cmd.FullCommand(): func(e env) error {
		o.Progress = e.stderr
		if o.Scenario == bench.CapacityScenario {
			return capacity(e, o, *output)
		}
		report, err := bench.Run(e.ctx, o)
		if err != nil {
			return err
		}
		if *html != "" {
			if err := writeHTML(*html, report); err != nil {
				return err
			}
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

// indent makes the command line's help keep the lines as they are.
func indent(lines []string) string { return "  " + strings.Join(lines, "\n  ") }

func writeHTML(path string, report *bench.Report) error {
	f, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "write the report")
	}
	if err := report.WriteHTML(f); err != nil {
		f.Close()
		return err
	}
	return eris.Wrap(f.Close(), "write the report")
}

func capacity(e env, o bench.Options, output string) error {
	c, err := bench.RunCapacity(e.ctx, o)
	if err != nil {
		return err
	}
	if output == "json" {
		return c.WriteJSON(e.stdout)
	}
	return c.WriteText(e.stdout)
}
