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
	cmd.Flag("scenario", "Scenario to run; capacity measures the cost of control by the number of daemons and replicas.").Default("steady").EnumVar(&o.Scenario, append(bench.ScenarioNames(), bench.CapacityScenario)...)
	cmd.Flag("seed", "Seed of load and faults.").Default("1").Uint64Var(&o.Seed)
	cmd.Flag("duration", "How long requests arrive; 0 uses the duration of the scenario.").Default("0s").DurationVar(&o.Duration)
	cmd.Flag("daemons", "Number of daemons; 0 uses the number of the scenario.").Default("0").IntVar(&o.Daemons)
	cmd.Flag("processes", "Run the daemons as separate processes and measure the resources they use; for scenarios without faults.").BoolVar(&o.Processes)
	output := cmd.Flag("output", "Format of the report.").Default("text").Enum("text", "json")
	cmd.Flag("without", "Run without one mechanism.").EnumVar(&o.Without, bench.Mechanisms()...)
	cmd.Flag("baseline", "With \"direct\" the same load is sent a second time, directly to the engines.").Default("").EnumVar(&o.Baseline, bench.Baselines()...)
	htmlPath := cmd.Flag("report", "File to write plots to, as HTML.").PlaceHolder("FILE.html").String()
	return map[string]func(env) error{cmd.FullCommand(): func(e env) error {
		o.Progress = e.stderr
		if o.Scenario == bench.CapacityScenario {
			return capacity(e, o, *output)
		}
		report, err := bench.Run(e.ctx, o)
		if err != nil {
			return err
		}
		if *htmlPath != "" {
			if err := writeHTML(*htmlPath, report); err != nil {
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

// indent indents lines, because kingpin keeps the line breaks of indented text in
// help.
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

// capacity runs the capacity scenario and writes its report.
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
