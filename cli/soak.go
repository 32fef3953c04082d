package cli

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/soak"
)

func init() { register(soakCommand) }

func soakCommand(app *kingpin.Application) map[string]func(env) error {
	cmd := app.Command("soak", "Run daemons as separate processes with stand-ins, inject faults into them and check what callers and upstreams see.")
	seeds := cmd.Flag("seed", "A seed to run; may be given more than once.").Uint64List()
	fresh := cmd.Flag("fresh", "Number of random seeds to draw and run.").Default("0").Int()
	cases := cmd.Flag("cases", "A file with a seed, a length and a rate at the start of each line.").String()
	parallel := cmd.Flag("parallel", "Number of seeds to run at once.").Default("1").Int()
	var o soak.Options
	cmd.Flag("length", "Duration of the time in which faults begin.").Default("12s").DurationVar(&o.Length)
	cmd.Flag("rate", "Faults per second.").Default(strconv.FormatFloat(soak.DefaultRate, 'g', -1, 64)).Float64Var(&o.Rate)
	cmd.Flag("planned", "Planned work per second: stops in turn, bursts of SIGHUPs before a stop, signals during a stop, stops during answers, configurations.").Default(strconv.FormatFloat(soak.DefaultPlannedRate, 'g', -1, 64)).Float64Var(&o.PlannedRate)
	cmd.Flag("daemons", "Number of daemons.").Default("4").IntVar(&o.Daemons)
	cmd.Flag("engines", "Number of engines in each of the three data centres.").Default("2").IntVar(&o.EnginesPerDataCentre)
	cmd.Flag("upstreams", "Number of upstreams for plain requests.").Default("4").IntVar(&o.PlainReplicas)
	cmd.Flag("callers", "Number of callers; every other one sends mostly plain requests, the others mostly streams.").Default("60").IntVar(&o.Callers)
	cmd.Flag("direct", "Number of clients that reach the daemons without a proxy.").Default(strconv.Itoa(soak.DefaultDirect)).IntVar(&o.Direct)
	cmd.Flag("restores", "Restores of the store per second, while daemons restart and the operator changes routes and keys; checks which version is in force at each daemon. Meant for 6 to 9 daemons.").Default("0").Float64Var(&o.Restores)
	return map[string]func(env) error{cmd.FullCommand(): func(e env) error {
		if err := o.Check(); err != nil {
			return &ExitError{Code: ExitUsage, Err: err}
		}
		var runs []soakRun
		for _, s := range *seeds {
			runs = append(runs, soakRun{s, o.Length, o.Rate})
		}
		if *cases != "" {
			text, err := readFile(*cases)
			if err != nil {
				return err
			}
			fromFile, err := parseCases(text)
			if err != nil {
				return &ExitError{Code: ExitUsage, Err: err}
			}
			for _, r := range fromFile {
				caseOptions := o
				caseOptions.Length, caseOptions.Rate = r.length, r.rate
				if err := caseOptions.Check(); err != nil {
					return &ExitError{Code: ExitUsage, Err: err}
				}
			}
			runs = append(runs, fromFile...)
		}
		for range *fresh {
			runs = append(runs, soakRun{rand.Uint64N(1 << 32), o.Length, o.Rate})
		}
		if len(runs) == 0 || *parallel < 1 {
			return &ExitError{Code: ExitUsage, Err: eris.New("soak: give --seed, --fresh or --cases, and a --parallel of at least 1")}
		}
		executable, err := os.Executable()
		if err != nil {
			return eris.Wrap(err, "find the executable of this process")
		}
		o.Binary = executable
		return runSeeds(e.ctx, runs, *parallel, o, e.stdout)
	}}
}

// soakRun is one seed with its length and its faults per second. All three are
// needed to repeat a run, because the faults drawn from a seed depend on the length
// and the rate.
type soakRun struct {
	seed   uint64
	length time.Duration
	rate   float64
}

// parseCases parses the first three words of each line that is neither empty nor a
// comment: a seed, the length of its run and its faults per second.
func parseCases(text []byte) ([]soakRun, error) {
	var out []soakRun
	for lines := bufio.NewScanner(bytes.NewReader(text)); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if len(fields) < 3 {
			return nil, eris.Errorf("soak: line %q has no length and rate", lines.Text())
		}
		seed, err := strconv.ParseUint(fields[0], 10, 64)
		if err != nil {
			return nil, eris.Wrap(err, "read a seed")
		}
		length, err := time.ParseDuration(fields[1])
		if err != nil {
			return nil, eris.Wrap(err, "read a length")
		}
		rate, err := strconv.ParseFloat(fields[2], 64)
		if err != nil {
			return nil, eris.Wrap(err, "read a rate")
		}
		out = append(out, soakRun{seed, length, rate})
	}
	return out, nil
}

// runSeeds runs the seeds, at most parallel of them at once, and prints their
// outcomes. It returns an error when a run failed or a seed broke a promise.
func runSeeds(ctx context.Context, runs []soakRun, parallel int, o soak.Options, out io.Writer) error {
	ports, err := soak.NewPorts()
	if err != nil {
		return err
	}
	defer func() { _ = ports.Close() }()
	next := make(chan soakRun)
	var mu sync.Mutex
	var errs []error
	brokenSeeds := 0
	var workers sync.WaitGroup
	for range parallel {
		workers.Go(func() {
			o := o
			for current := range next {
				o.Length, o.Rate = current.length, current.rate
				outcome, err := soak.Run(ctx, current.seed, o, ports)
				mu.Lock()
				if err != nil {
					errs = append(errs, eris.Wrapf(err, "seed %d", current.seed))
				} else {
					fmt.Fprintln(out, outcome)
				}
				if len(outcome.Violations) > 0 {
					brokenSeeds++
				}
				mu.Unlock()
			}
		})
	}
	for _, r := range runs {
		next <- r
	}
	close(next)
	workers.Wait()
	if len(errs) > 0 {
		return errs[0]
	}
	if brokenSeeds > 0 {
		return eris.Errorf("soak: %d of %d seeds broke a promise", brokenSeeds, len(runs))
	}
	return nil
}
