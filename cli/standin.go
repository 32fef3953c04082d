package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/gooseberryroad/gooseberryroad/standin"
)

func init() { register(standinCommand) }

// standinProcess is a running stand-in.
type standinProcess interface {
	Address() string
	ControlAddress() string
	Close()
}

func standinCommand(app *kingpin.Application) map[string]func(env) error {
	cmd := app.Command("standin", "Run a stand-in of an outside system for tests. Prints one JSON line with its addresses when it is ready.")
	runs := map[string]func(env) error{}
	add := func(sub *kingpin.CmdClause, kind string, start func(ctx context.Context, died func(string), faults []byte) (standinProcess, error), faults *string) {
		runs[sub.FullCommand()] = func(e env) error {
			return runStandin(e, kind, []byte(*faults), start)
		}
	}
	common := func(sub *kingpin.CmdClause, address, control *string) *string {
		sub.Flag("address", "HOST:PORT to listen on; port 0 takes a free one.").Default("127.0.0.1:0").StringVar(address)
		sub.Flag("control", "HOST:PORT of the HTTP control.").Default("127.0.0.1:0").StringVar(control)
		return sub.Flag("faults", "Faults from the start, as the JSON body of POST /control/faults.").Default("{}").String()
	}

	var eo standin.EngineOptions
	engine := cmd.Command("engine", "A model engine with deterministic answers.")
	engineFaults := common(engine, &eo.Address, &eo.Control)
	engine.Flag("model", "Model that it serves.").Default("model").StringVar(&eo.Model)
	engine.Flag("model-version", "Version that it serves.").Default("v1").StringVar(&eo.Version)
	engine.Flag("step", "Time of a decode step.").Default("5ms").DurationVar(&eo.Step)
	engine.Flag("step-per-request", "Time added to a step for each further request; 0 is 1% of the step.").DurationVar(&eo.StepPerRequest)
	engine.Flag("prefill", "Time for one uncached prompt token.").Default("20us").DurationVar(&eo.Prefill)
	engine.Flag("max-batch", "Requests that run at once.").Default("32").IntVar(&eo.MaxBatch)
	engine.Flag("max-waiting", "Requests that wait before others are refused; 0 is unlimited.").IntVar(&eo.MaxWaiting)
	engine.Flag("memory", "Bytes for held requests; the engine crashes above.").Default("4294967296").Int64Var(&eo.MemoryBytes)
	engine.Flag("bytes-per-token", "Bytes held for a prompt or output token.").Default("16384").Int64Var(&eo.BytesPerToken)
	engine.Flag("cache-tokens", "Capacity of the prefix cache; -1 is none.").Default("16384").IntVar(&eo.CacheTokens)
	engine.Flag("cache-gap", "Loses every n-th cache event; 0 loses none.").IntVar(&eo.CacheGap)
	engine.Flag("load-lag", "How late load reports are.").Default("100ms").DurationVar(&eo.LoadLag)
	engine.Flag("retention", "How long finished generations can be resumed.").Default("30s").DurationVar(&eo.Retention)
	engine.Flag("order-time", "How long it refuses requests while it loads a version.").DurationVar(&eo.VersionLoadTime)
	engine.Flag("fencing", "What it does with old fencing numbers.").Default(standin.FencingRefuses).EnumVar(&eo.Fencing, standin.FencingRefuses, standin.FencingIgnores)
	engine.Flag("no-priorities", "Serve waiting requests in order of arrival.").BoolVar(&eo.NoPriorities)
	add(engine, "engine", func(ctx context.Context, died func(string), faults []byte) (standinProcess, error) {
		eo.OnCrash = died
		if err := json.Unmarshal(faults, &eo.Faults); err != nil {
			return nil, err
		}
		return standin.StartEngine(ctx, eo)
	}, engineFaults)

	var so standin.StoreOptions
	store := cmd.Command("store", "A key-value store with the Consul KV HTTP API.")
	storeFaults := common(store, &so.Address, &so.Control)
	store.Flag("writes-per-second", "Rate of writes; -1 is unlimited.").Default("300").Float64Var(&so.WritesPerSecond)
	store.Flag("reads-per-second", "Rate of reads; -1 is unlimited.").Default("2000").Float64Var(&so.ReadsPerSecond)
	add(store, "store", func(ctx context.Context, _ func(string), faults []byte) (standinProcess, error) {
		if err := json.Unmarshal(faults, &so.Faults); err != nil {
			return nil, err
		}
		return standin.StartStore(ctx, so)
	}, storeFaults)

	var vo standin.VMListOptions
	vms := cmd.Command("vms", "A lagging list of VMs in the Prometheus HTTP service discovery format, at /targets.")
	vmsFaults := common(vms, &vo.Address, &vo.Control)
	vms.Flag("lag", "How late a change is published.").Default("10s").DurationVar(&vo.Lag)
	list := vms.Flag("list", "VMs from the start, as the JSON body of PUT /control/vms.").Default("[]").String()
	add(vms, "vms", func(ctx context.Context, _ func(string), faults []byte) (standinProcess, error) {
		var f standin.VMListFaults
		if err := json.Unmarshal(faults, &f); err != nil {
			return nil, err
		}
		if err := json.Unmarshal([]byte(*list), &vo.VMs); err != nil {
			return nil, err
		}
		l, err := standin.StartVMList(ctx, vo)
		if err != nil {
			return nil, err
		}
		return l, l.SetFaults(f)
	}, vmsFaults)

	var po standin.ServiceOptions
	service := cmd.Command("service", "A plain HTTP service that counts how often each call ran.")
	serviceFaults := common(service, &po.Address, &po.Control)
	service.Flag("name", "Name in its answers.").Default("service").StringVar(&po.Name)
	service.Flag("service-version", "Version in its answers.").Default("v1").StringVar(&po.Version)
	add(service, "service", func(ctx context.Context, died func(string), faults []byte) (standinProcess, error) {
		po.OnCrash = died
		if err := json.Unmarshal(faults, &po.Faults); err != nil {
			return nil, err
		}
		return standin.StartService(ctx, po)
	}, serviceFaults)
	return runs
}

// runStandin runs a stand-in until it dies of a fault or is told to end.
func runStandin(e env, kind string, faults []byte, start func(context.Context, func(string), []byte) (standinProcess, error)) error {
	ctx, stop := signal.NotifyContext(e.ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	died := make(chan string, 1)
	p, err := start(ctx, func(reason string) {
		select {
		case died <- reason:
		default:
		}
	}, faults)
	if err != nil {
		return &ExitError{Code: ExitUsage, Err: fmt.Errorf("standin %s: %w", kind, err)}
	}
	defer p.Close()
	ready, err := json.Marshal(map[string]string{"kind": kind, "address": p.Address(), "control": p.ControlAddress()})
	if err != nil {
		return err
	}
	fmt.Fprintf(e.stdout, "%s\n", ready)
	select {
	case reason := <-died:
		return fmt.Errorf("standin %s died: %s", kind, reason)
	case <-ctx.Done():
		return nil
	}
}
