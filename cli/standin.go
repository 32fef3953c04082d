package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/gooseberryroad/gooseberryroad/platform/platformtest"
	"github.com/gooseberryroad/gooseberryroad/standin"
)

func init() { register(standinCommand) }

// standinProcess is a running stand-in with its HTTP control.
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
	commonFlags := func(sub *kingpin.CmdClause, address, control *string) *string {
		sub.Flag("address", "HOST:PORT to listen on; port 0 selects a free one.").Default("127.0.0.1:0").StringVar(address)
		sub.Flag("control", "HOST:PORT of the HTTP control of faults and statistics.").Default("127.0.0.1:0").StringVar(control)
		return sub.Flag("faults", "Faults from the start, as the JSON body of POST /control/faults.").Default("{}").String()
	}

	var engineOptions standin.EngineOptions
	engine := cmd.Command("engine", "A model engine with deterministic answers.")
	engineFaults := commonFlags(engine, &engineOptions.Address, &engineOptions.Control)
	engine.Flag("model", "Model that it serves.").Default("model").StringVar(&engineOptions.Model)
	engine.Flag("model-version", "Version that it serves.").Default("v1").StringVar(&engineOptions.Version)
	engine.Flag("step", "Duration of a decode step.").Default("5ms").DurationVar(&engineOptions.Step)
	engine.Flag("step-per-request", "Time added to a step for each further request; 0 is 1% of the step.").DurationVar(&engineOptions.StepPerRequest)
	engine.Flag("prefill", "Time for one uncached prompt token.").Default("20us").DurationVar(&engineOptions.Prefill)
	engine.Flag("max-batch", "Number of requests that run at once.").Default("32").IntVar(&engineOptions.MaxBatch)
	engine.Flag("max-waiting", "Number of waiting requests above which new ones are refused; 0 is unlimited.").IntVar(&engineOptions.MaxWaiting)
	engine.Flag("memory", "Bytes of memory for held requests; the engine crashes when they need more.").Default("4294967296").Int64Var(&engineOptions.MemoryBytes)
	engine.Flag("bytes-per-token", "Bytes held for a prompt or output token.").Default("16384").Int64Var(&engineOptions.BytesPerToken)
	engine.Flag("cache-tokens", "Capacity of the prefix cache in tokens; -1 means no cache.").Default("16384").IntVar(&engineOptions.CacheTokens)
	engine.Flag("cache-gap", "Drop every n-th cache event; 0 drops none.").IntVar(&engineOptions.CacheGap)
	engine.Flag("load-lag", "Delay of load reports.").Default("100ms").DurationVar(&engineOptions.LoadLag)
	engine.Flag("retention", "How long finished generations can be resumed.").Default("30s").DurationVar(&engineOptions.Retention)
	engine.Flag("order-time", "How long the engine refuses requests while it loads a version.").DurationVar(&engineOptions.VersionLoadTime)
	engine.Flag("fencing", "How the engine treats an order with an old fencing number.").Default(standin.FencingRefuses).EnumVar(&engineOptions.Fencing, standin.FencingRefuses, standin.FencingIgnores)
	engine.Flag("no-priorities", "Serve waiting requests in order of arrival.").BoolVar(&engineOptions.NoPriorities)
	add(engine, "engine", func(ctx context.Context, died func(string), faults []byte) (standinProcess, error) {
		engineOptions.OnCrash = died
		if err := json.Unmarshal(faults, &engineOptions.Faults); err != nil {
			return nil, err
		}
		return standin.StartEngine(ctx, engineOptions)
	}, engineFaults)

	var storeOptions standin.StoreOptions
	store := cmd.Command("store", "A key-value store with the Consul KV HTTP API.")
	storeFaults := commonFlags(store, &storeOptions.Address, &storeOptions.Control)
	store.Flag("writes-per-second", "Writes per second above which writes are refused; -1 is unlimited.").Default("300").Float64Var(&storeOptions.WritesPerSecond)
	store.Flag("reads-per-second", "Reads per second above which reads are refused; -1 is unlimited.").Default("2000").Float64Var(&storeOptions.ReadsPerSecond)
	add(store, "store", func(ctx context.Context, _ func(string), faults []byte) (standinProcess, error) {
		if err := json.Unmarshal(faults, &storeOptions.Faults); err != nil {
			return nil, err
		}
		return standin.StartStore(ctx, storeOptions)
	}, storeFaults)

	var vmListOptions standin.VMListOptions
	vms := cmd.Command("vms", "A list of VMs that shows changes late, in the Prometheus HTTP service discovery format, at /targets.")
	vmsFaults := commonFlags(vms, &vmListOptions.Address, &vmListOptions.Control)
	vms.Flag("lag", "Delay until a change is published.").Default("10s").DurationVar(&vmListOptions.Lag)
	list := vms.Flag("list", "VMs from the start, as the JSON body of PUT /control/vms.").Default("[]").String()
	add(vms, "vms", func(ctx context.Context, _ func(string), faults []byte) (standinProcess, error) {
		var f standin.VMListFaults
		if err := json.Unmarshal(faults, &f); err != nil {
			return nil, err
		}
		if err := json.Unmarshal([]byte(*list), &vmListOptions.VMs); err != nil {
			return nil, err
		}
		l, err := standin.StartVMList(ctx, vmListOptions)
		if err != nil {
			return nil, err
		}
		return l, l.SetFaults(f)
	}, vmsFaults)

	var serviceOptions standin.ServiceOptions
	service := cmd.Command("service", "A plain HTTP service that counts how often each call ran.")
	serviceFaults := commonFlags(service, &serviceOptions.Address, &serviceOptions.Control)
	service.Flag("name", "Name in its answers.").Default("service").StringVar(&serviceOptions.Name)
	service.Flag("service-version", "Version in its answers.").Default("v1").StringVar(&serviceOptions.Version)
	add(service, "service", func(ctx context.Context, died func(string), faults []byte) (standinProcess, error) {
		serviceOptions.OnCrash = died
		if err := json.Unmarshal(faults, &serviceOptions.Faults); err != nil {
			return nil, err
		}
		return standin.StartService(ctx, serviceOptions)
	}, serviceFaults)

	var checksFence bool
	var controlAddress, faultsAddress string
	control := cmd.Command("control", "The control service of the users' platform, which takes usage reports and orders of replicas. Its statistics tell which rules the calls broke.")
	controlFaults := commonFlags(control, &controlAddress, &faultsAddress)
	control.Flag("checks-fence", "Reject calls with a lower token than the last one.").BoolVar(&checksFence)
	add(control, "control", func(ctx context.Context, _ func(string), faults []byte) (standinProcess, error) {
		var f platformtest.ControlFaults
		if err := json.Unmarshal(faults, &f); err != nil {
			return nil, err
		}
		return platformtest.StartControl(ctx, controlAddress, faultsAddress, checksFence, f)
	}, controlFaults)
	return runs
}

// runStandin runs a stand-in until a fault ends it, a signal arrives or the context
// ends.
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
