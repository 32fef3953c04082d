// Package bench is a load and experiment tool: it runs a fleet of real daemons
// and stand-in upstreams on loopback, sends open-loop load, injects faults on a
// schedule and reports what callers and upstreams observed.
package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"sort"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/client"
	"github.com/gooseberryroad/gooseberryroad/fleet"
	"github.com/gooseberryroad/gooseberryroad/standin"
)

// Options configure a run.
type Options struct {
	Scenario string
	Seed     uint64
	// Duration is how long new requests arrive; 0 means the scenario's default.
	Duration time.Duration
	// Progress receives one line per event of the run; nil discards them.
	Progress io.Writer
	// Without names a mechanism to disable; see Mechanisms.
	Without string
	// Baseline "direct" repeats the same load without daemons, directly to the
	// engines.
	Baseline string
	// Daemons overrides the scenario's number of daemons; 0 keeps it.
	Daemons int
	// Processes runs each daemon as a separate process and measures its processor
	// time and memory. Only scenarios without faults, plain services, Background
	// and Finish support it.
	Processes bool
}

// Scenario is one experiment.
type Scenario struct {
	Name string
	// Help describes the scenario in one sentence.
	Help string
	// Duration is how long new requests arrive by default.
	Duration time.Duration
	Fleet    fleet.Options
	Workload Workload
	// ExtraWorkloads run in addition to Workload.
	ExtraWorkloads []Workload
	// ReadingPausedUntil makes every caller stop reading after a quarter of its
	// answer until this time since the start of the run; 0 means no pause.
	ReadingPausedUntil time.Duration
	// RunVirtual runs the whole scenario in virtual time. If it is set, no other
	// field but Name and Help is used.
	RunVirtual func(o Options) (*Report, error)
	// Prepare runs before the load, for example to set faults of engines.
	Prepare func(r *run)
	// Background runs concurrently with the load, for example to call plain
	// services.
	Background func(ctx context.Context, r *run, d time.Duration) error
	// Faults returns the fault schedule for a run of the given duration.
	Faults func(r *run, d time.Duration) []fault
	// Finish runs after the load, for example to wait for a move.
	Finish func(ctx context.Context, r *run) error
}

type fault struct {
	at     time.Duration
	name   string
	inject func(ctx context.Context) error
	// engines and daemon (a caller address) are affected by the fault: the requests
	// that they hold when it begins count in the resume latency.
	engines []*fleet.Engine
	daemon  string
}

// runLimit bounds the time from the start of the load until all requests have
// ended. A run whose load lasts longer than 28 s gets 10 s after the load instead.
// Starting the fleet takes up to 2 s of the 40 s that a scenario may take.
const runLimit = 38 * time.Second

// run is one execution of a scenario.
type run struct {
	options   Options
	scenario  Scenario
	fleet     *fleet.Fleet
	rnd       *rand.Rand
	startedAt time.Time

	mu     sync.Mutex
	report Report
	points []Point

	firstToken, betweenTokens, resumeLatency *recorder
	clients                                  []*client.Client
	// First-token times of small accounts, before the first extra workload begins
	// and otherwise.
	smallFirstTokenBefore, smallFirstToken *recorder
	faultTimesByPrompt                     map[string][]time.Time
	lostDaemons                            []daemonLoss
	observed                               observations
	processes                              *daemonProcesses // nil when daemons run in this process
	extra                                  map[string]float64
}

// Run executes a scenario and returns its report.
func Run(ctx context.Context, o Options) (*Report, error) {
	s, ok := findScenario(o.Scenario)
	if !ok {
		return nil, eris.Errorf("unknown scenario %q; known: %v", o.Scenario, ScenarioNames())
	}
	if o.Duration == 0 {
		o.Duration = s.Duration
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	if s.RunVirtual != nil {
		return s.RunVirtual(o)
	}
	if o.Daemons > 0 {
		s.Fleet.Daemons = o.Daemons
	}
	r := &run{options: o, scenario: s, rnd: rand.New(rand.NewPCG(o.Seed, 0)), firstToken: newRecorder(), betweenTokens: newRecorder(), resumeLatency: newRecorder(),
		smallFirstTokenBefore: newRecorder(), smallFirstToken: newRecorder(), faultTimesByPrompt: map[string][]time.Time{}, extra: map[string]float64{}}
	if err := r.disableMechanism(o.Without); err != nil {
		return nil, err
	}
	s = r.scenario
	r.report = Report{Scenario: s.Name, Seed: o.Seed, Without: o.Without, DurationSeconds: o.Duration.Seconds(), Daemons: s.Fleet.Daemons}
	if o.Processes && (s.Faults != nil || s.Background != nil || s.Finish != nil || s.Fleet.PlainReplicas > 0) {
		return nil, eris.Errorf("scenario %q cannot run its daemons as separate processes", s.Name)
	}
	if o.Processes {
		s.Fleet.Daemons = 0
	}
	f, err := fleet.Start(ctx, s.Fleet)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	r.fleet = f
	if o.Processes {
		if r.processes, err = startProcesses(ctx, f, r.scenario.Fleet.Daemons); err != nil {
			return nil, err
		}
		defer r.processes.close()
		if _, err := r.processes.apply(ctx, f, fleet.ModelService, f.Document(fleet.Versions{Serving: "v1"})); err != nil {
			return nil, err
		}
	}
	if err := r.execute(ctx); err != nil {
		return nil, err
	}
	return &r.report, nil
}

func (r *run) execute(ctx context.Context) error {
	load := r.scenario.Workload.arrivals(r.rnd, r.options.Duration)
	for i, w := range r.scenario.ExtraWorkloads {
		w.Label = fmt.Sprintf("%c", 'a'+i)
		load = append(load, w.arrivals(r.rnd, r.options.Duration)...)
	}
	sort.SliceStable(load, func(i, j int) bool { return load[i].at < load[j].at })
	var faults []fault
	if r.scenario.Faults != nil {
		faults = r.scenario.Faults(r, r.options.Duration)
	}
	if r.scenario.Prepare != nil {
		r.scenario.Prepare(r)
	}
	countersBefore := r.counters()
	peerBytesBefore := r.controlBytes(ctx)
	usageBefore, err := r.daemonUsage(ctx)
	if err != nil {
		return err
	}
	cpuBefore := processCPUTime()
	r.startedAt = time.Now()
	ctx, cancel := context.WithTimeout(ctx, max(runLimit, r.options.Duration+10*time.Second))
	defer cancel()
	defer r.closeClients()

	var wg sync.WaitGroup
	errs := make(chan error, 2)
	wg.Go(func() {
		if err := r.inject(ctx, faults); err != nil {
			errs <- err
		}
	})
	if r.scenario.Background != nil {
		wg.Go(func() {
			if err := r.scenario.Background(ctx, r, r.options.Duration); err != nil {
				errs <- err
			}
		})
	}
	stopSampling := r.startSampling(ctx)
	defer stopSampling()
	for _, a := range load {
		if err := sleepUntil(ctx, r.startedAt.Add(a.at)); err != nil {
			return err
		}
		wg.Go(func() { r.sendRequest(ctx, a) })
	}
	r.progress("all %d requests sent", len(load))
	wg.Wait()
	select {
	case err := <-errs:
		return err
	default:
	}
	if r.scenario.Finish != nil {
		if err := r.scenario.Finish(ctx, r); err != nil {
			return err
		}
	}
	stopSampling()
	elapsed := time.Since(r.startedAt)
	r.summarise(countersBefore, processCPUTime()-cpuBefore)
	r.summariseControlTraffic(ctx, peerBytesBefore, countersBefore.storeCalls, elapsed)
	r.summariseSamples()
	if err := r.summariseDaemonUsage(ctx, usageBefore); err != nil {
		return err
	}
	if r.options.Baseline == baselineDirect {
		return r.runDirect(ctx, load)
	}
	return nil
}

func (r *run) inject(ctx context.Context, faults []fault) error {
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].at < faults[j].at })
	for _, f := range faults {
		if err := sleepUntil(ctx, r.startedAt.Add(f.at)); err != nil {
			return err
		}
		r.progress("fault: %s", f.name)
		r.recordAffected(f)
		r.mu.Lock()
		r.report.Faults = append(r.report.Faults, InjectedFault{AtSeconds: time.Since(r.startedAt).Seconds(), Name: f.name})
		r.mu.Unlock()
		if err := f.inject(ctx); err != nil {
			return eris.Wrapf(err, "fault %q", f.name)
		}
	}
	return nil
}

func (r *run) progress(format string, args ...any) {
	fmt.Fprintf(r.options.Progress, "%6.1fs %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// sendRequest sends one request, checks its answer and records what the caller
// observed.
func (r *run) sendRequest(ctx context.Context, a arrival) {
	c := r.newClient(ctx, a)
	sent := time.Since(r.startedAt)
	answer, err := c.Complete(ctx, client.Request{Model: fleet.Model, Prompt: a.prompt, MaxTokens: a.tokens, Chat: a.chat})
	prompt := a.enginePrompt()
	check := standin.CheckAnswer(answer.Text, standin.ExpectedAnswer{Model: fleet.Model, Prompt: prompt, Versions: []string{"v1", "v2"}, Tokens: a.tokens})
	if answer.FirstToken > 0 {
		r.firstToken.add(answer.FirstToken)
		if r.scenario.Workload.isSmall(a.account) {
			if len(r.scenario.ExtraWorkloads) > 0 && a.at < r.scenario.ExtraWorkloads[0].From {
				r.smallFirstTokenBefore.add(answer.FirstToken)
			} else {
				r.smallFirstToken.add(answer.FirstToken)
			}
		}
	}
	if r.scenario.ReadingPausedUntil == 0 {
		// Callers that pause reading cause gaps themselves.
		for _, gap := range answer.TokenGaps {
			r.betweenTokens.add(gap)
		}
	}
	for _, gap := range r.resumeGaps(prompt, answer) {
		r.resumeLatency.add(gap)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p := Point{AtSeconds: sent.Seconds(), FirstTokenMS: milliseconds(answer.FirstToken), MaxGapMS: milliseconds(maxOf(answer.TokenGaps)), Reconnects: answer.Reconnects}
	r.report.Requests++
	r.report.TokensDelivered += int64(check.Tokens)
	var refusal *client.Refusal
	switch {
	case err == nil && check.OK():
		r.report.AnswersWhole++
	case errors.As(err, &refusal) && refusal.Outcome == "not_run" && answer.Text == "":
		r.report.Refused++
		p.Refused = true
	case err == nil:
		r.recordBroken(&p, a, check.Err())
	default:
		r.recordBroken(&p, a, err)
	}
	r.points = append(r.points, p)
}

// maxFailures is the maximum number of broken answers that a report describes.
const maxFailures = 10

func (r *run) recordBroken(p *Point, a arrival, err error) {
	r.report.AnswersBroken++
	p.Broken = true
	if len(r.report.Failures) < maxFailures {
		r.report.Failures = append(r.report.Failures, fmt.Sprintf("request at %.2fs: %v", a.at.Seconds(), err))
	}
}

// newClient returns a client with the account's key. Its daemon addresses begin
// at a random daemon, as behind a load balancer.
func (r *run) newClient(ctx context.Context, a arrival) *client.Client {
	r.mu.Lock()
	defer r.mu.Unlock()
	addresses := r.callerAddresses()
	o := client.Options{
		Addresses:           addresses,
		Key:                 fleet.AccountKey(a.account),
		ReturnDeliveredText: r.options.Without != mechanismReturnedText,
	}
	if r.scenario.ReadingPausedUntil > 0 {
		o.ReceiveBuffer = slowReceiveBuffer
		o.OnToken = func(i int, _ string) {
			if i == a.tokens/4 {
				_ = sleepUntil(ctx, r.startedAt.Add(r.scenario.ReadingPausedUntil))
			}
		}
	}
	c := client.New(o)
	r.clients = append(r.clients, c)
	return c
}

// callerAddresses returns the daemons' caller addresses, beginning with that of a
// random daemon.
func (r *run) callerAddresses() []string {
	if r.processes != nil {
		return r.processes.callerAddresses(r.rnd.IntN(len(r.processes.all)))
	}
	return r.fleet.CallerAddresses(r.rnd.IntN(len(r.fleet.LiveDaemons())))
}

func (r *run) closeClients() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.clients {
		c.Close()
	}
}

func sleepUntil(ctx context.Context, at time.Time) error {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// counters are totals of the engines' and the store's statistics.
type counters struct {
	generated, prefilledAgain, crashes, storeCalls int64
}

func (r *run) counters() counters {
	var c counters
	for _, e := range r.fleet.Engines {
		s := e.Stats()
		c.generated += s.Generated
		c.prefilledAgain += s.PrefilledAgain
		c.crashes += s.Crashes
	}
	c.storeCalls = r.fleet.Store.Stats().Calls()
	return c
}

// processCPUTime returns the processor time of this process, which contains the
// stand-ins, the callers and, unless they are separate processes, the daemons.
// It returns 0 if the system does not report it.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func (r *run) summarise(before counters, cpu time.Duration) {
	after := r.counters()
	rep := &r.report
	rep.FirstTokenMS = r.firstToken.quantiles()
	rep.BetweenTokensMS = r.betweenTokens.quantiles()
	rep.ResumeLatencyMS = r.resumeLatency.quantiles()
	rep.TokensGenerated = after.generated - before.generated
	rep.TokensPrefilledAgain = after.prefilledAgain - before.prefilledAgain
	rep.EngineCrashes = after.crashes - before.crashes
	if rep.TokensDelivered > 0 {
		extra := rep.TokensGenerated - rep.TokensDelivered + rep.TokensPrefilledAgain
		rep.ExtraTokensRatio = float64(extra) / float64(rep.TokensDelivered)
		rep.ProcessCPUPerTokenUS = float64(cpu.Microseconds()) / float64(rep.TokensDelivered)
	}
	rep.Processors = runtime.GOMAXPROCS(0)
	sort.Slice(r.points, func(i, j int) bool { return r.points[i].AtSeconds < r.points[j].AtSeconds })
	rep.Points = r.points
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func maxOf(ds []time.Duration) time.Duration {
	var m time.Duration
	for _, d := range ds {
		m = max(m, d)
	}
	return m
}
