// Package bench is a load and experiment tool: it runs a fleet of real daemons
// and stand-ins on loopback, sends open-loop load, injects faults by schedule
// and reports what callers and upstreams saw.
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

// Options select a run.
type Options struct {
	Scenario string
	Seed     uint64
	// Duration is how long new requests arrive; 0 means the scenario's own.
	Duration time.Duration
	Progress io.Writer
	// Without names a mechanism that is switched off; see Mechanisms.
	Without string
	// Baseline "direct" sends the same load once more straight to the engines.
	Baseline string
	// Daemons replaces the scenario's number of daemons; 0 keeps it.
	Daemons int
	// Processes runs the daemons of a scenario without faults as processes, and
	// measures what they use.
	Processes bool
}

// Scenario is one experiment.
type Scenario struct {
	Name string
	// Help says in one sentence what happens.
	Help     string
	Duration time.Duration
	Fleet    fleet.Options
	Workload Workload
	// More is load on top of Workload.
	ExtraWorkloads []Workload
	// Slow makes every caller stop reading after a quarter of its answer until
	// this time of the run; 0 makes none.
	ReadingPausedUntil time.Duration
	// Virtual replaces everything else by a run in virtual time.
	RunVirtual func(o Options) (*Report, error)
	// Prepare runs before the load, for example to set faults.
	Prepare func(r *run)
	// Background runs beside the load, for example plain calls.
	Background func(ctx context.Context, r *run, d time.Duration) error
	// Faults returns the schedule of faults for a run of the given length.
	Faults func(r *run, d time.Duration) []fault
	// Finish runs after the load, for example to wait for a move.
	Finish func(ctx context.Context, r *run) error
}

type fault struct {
	at   time.Duration
	name string
	do   func(ctx context.Context) error
	// engines and daemon (a caller address) are what the fault hits: requests
	// that they hold when it begins count in the resume latency.
	engines []*fleet.Engine
	daemon  string
}

// runLimit is how long a scenario may take from the first arrival to the end
// of its drain. The fleet's start takes up to 2 s of the 40 s that a scenario
// has.
const runLimit = 38 * time.Second

// run is one execution of a scenario.
type run struct {
	o     Options
	s     Scenario
	f     *fleet.Fleet
	rnd   *rand.Rand
	began time.Time

	mu     sync.Mutex
	report Report
	points []Point

	firstToken, between, resume *recorder
	clients                     []*client.Client
	// First-token time of small accounts: before a flood and otherwise.
	smallBefore, smallFirst *recorder
	hits                    map[string][]time.Time
	lostDaemons             []daemonLoss
	watch                   watch
	procs                   *processes // nil when daemons share this process
	extra                   map[string]float64
}

// Run executes a scenario and returns its report.
func Run(ctx context.Context, o Options) (*Report, error) {
	s, ok := find(o.Scenario)
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
	r := &run{o: o, s: s, rnd: rand.New(rand.NewPCG(o.Seed, 0)), firstToken: newRecorder(), between: newRecorder(), resume: newRecorder(),
		smallBefore: newRecorder(), smallFirst: newRecorder(), hits: map[string][]time.Time{}, extra: map[string]float64{}}
	if err := r.switchOff(o.Without); err != nil {
		return nil, err
	}
	s = r.s
	r.report = Report{Scenario: s.Name, Seed: o.Seed, Without: o.Without, DurationSeconds: o.Duration.Seconds(), Daemons: s.Fleet.Daemons}
	if o.Processes && (s.Faults != nil || s.Background != nil || s.Finish != nil || s.Fleet.PlainReplicas > 0) {
		return nil, eris.Errorf("scenario %q needs its daemons in this process", s.Name)
	}
	if o.Processes {
		s.Fleet.Daemons = 0
	}
	f, err := fleet.Start(ctx, s.Fleet)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	r.f = f
	if o.Processes {
		if r.procs, err = startProcesses(ctx, f, r.s.Fleet.Daemons); err != nil {
			return nil, err
		}
		defer r.procs.close()
		if _, err := r.procs.apply(ctx, f, fleet.ModelService, f.Document(fleet.Versions{Serving: "v1"})); err != nil {
			return nil, err
		}
	}
	if err := r.execute(ctx); err != nil {
		return nil, err
	}
	return &r.report, nil
}

func (r *run) execute(ctx context.Context) error {
	load := r.s.Workload.arrivals(r.rnd, r.o.Duration)
	for i, w := range r.s.ExtraWorkloads {
		w.Label = fmt.Sprintf("%c", 'a'+i)
		load = append(load, w.arrivals(r.rnd, r.o.Duration)...)
	}
	sort.SliceStable(load, func(i, j int) bool { return load[i].at < load[j].at })
	var faults []fault
	if r.s.Faults != nil {
		faults = r.s.Faults(r, r.o.Duration)
	}
	if r.s.Prepare != nil {
		r.s.Prepare(r)
	}
	before := r.counters()
	control := r.controlBytes(ctx)
	used, err := r.routerUsage(ctx)
	if err != nil {
		return err
	}
	cpu := processorTime()
	r.began = time.Now()
	ctx, cancel := context.WithTimeout(ctx, max(runLimit, r.o.Duration+10*time.Second))
	defer cancel()
	defer r.closeClients()

	var wg sync.WaitGroup
	failed := make(chan error, 2)
	wg.Go(func() {
		if err := r.inject(ctx, faults); err != nil {
			failed <- err
		}
	})
	if r.s.Background != nil {
		wg.Go(func() {
			if err := r.s.Background(ctx, r, r.o.Duration); err != nil {
				failed <- err
			}
		})
	}
	stopWatch := r.startWatch(ctx)
	defer stopWatch()
	for _, a := range load {
		if err := sleepUntil(ctx, r.began.Add(a.at)); err != nil {
			return err
		}
		wg.Go(func() { r.call(ctx, a) })
	}
	r.progress("all %d requests sent", len(load))
	wg.Wait()
	select {
	case err := <-failed:
		return err
	default:
	}
	if r.s.Finish != nil {
		if err := r.s.Finish(ctx, r); err != nil {
			return err
		}
	}
	stopWatch()
	elapsed := time.Since(r.began)
	r.summarise(before, processorTime()-cpu)
	r.summariseControl(ctx, control, before.storeCalls, elapsed)
	r.summariseWatch()
	if err := r.summariseRouter(ctx, used); err != nil {
		return err
	}
	if r.o.Baseline == baselineDirect {
		return r.runDirect(ctx, load)
	}
	return nil
}

func (r *run) inject(ctx context.Context, faults []fault) error {
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].at < faults[j].at })
	for _, f := range faults {
		if err := sleepUntil(ctx, r.began.Add(f.at)); err != nil {
			return err
		}
		r.progress("fault: %s", f.name)
		r.markHits(f)
		r.mu.Lock()
		r.report.Faults = append(r.report.Faults, InjectedFault{AtSeconds: time.Since(r.began).Seconds(), Name: f.name})
		r.mu.Unlock()
		if err := f.do(ctx); err != nil {
			return eris.Wrapf(err, "fault %q", f.name)
		}
	}
	return nil
}

func (r *run) progress(format string, args ...any) {
	fmt.Fprintf(r.o.Progress, "%6.1fs %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// call sends one request, checks its answer and records what the caller saw.
func (r *run) call(ctx context.Context, a arrival) {
	c := r.client(ctx, a)
	sent := time.Since(r.began)
	answer, err := c.Complete(ctx, client.Request{Model: fleet.Model, Prompt: a.prompt, MaxTokens: a.tokens, Chat: a.chat})
	asked := a.asked()
	check := standin.CheckAnswer(answer.Text, standin.ExpectedAnswer{Model: fleet.Model, Prompt: asked, Versions: []string{"v1", "v2"}, Tokens: a.tokens})
	if answer.FirstToken > 0 {
		r.firstToken.add(answer.FirstToken)
		if r.s.Workload.small(a.account) {
			if len(r.s.ExtraWorkloads) > 0 && a.at < r.s.ExtraWorkloads[0].From {
				r.smallBefore.add(answer.FirstToken)
			} else {
				r.smallFirst.add(answer.FirstToken)
			}
		}
	}
	if r.s.ReadingPausedUntil == 0 {
		// The pauses of slow callers are their own.
		for _, g := range answer.TokenGaps {
			r.between.add(g)
		}
	}
	for _, g := range r.resumeGaps(asked, answer) {
		r.resume.add(g)
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
		r.broken(&p, a, check.Err())
	default:
		r.broken(&p, a, err)
	}
	r.points = append(r.points, p)
}

// maxFailures bounds the failures that a report describes.
const maxFailures = 10

func (r *run) broken(p *Point, a arrival, err error) {
	r.report.AnswersBroken++
	p.Broken = true
	if len(r.report.Failures) < maxFailures {
		r.report.Failures = append(r.report.Failures, fmt.Sprintf("request at %.2fs: %v", a.at.Seconds(), err))
	}
}

// client returns a caller of the account. Each has the daemons in another
// order, as behind a balancer.
func (r *run) client(ctx context.Context, a arrival) *client.Client {
	r.mu.Lock()
	defer r.mu.Unlock()
	addresses := r.callers()
	o := client.Options{
		Addresses:           addresses,
		Key:                 fleet.AccountKey(a.account),
		ReturnDeliveredText: r.o.Without != withoutText,
	}
	if r.s.ReadingPausedUntil > 0 {
		o.ReceiveBuffer = slowReceiveBuffer
		o.OnToken = func(i int, _ string) {
			if i == a.tokens/4 {
				_ = sleepUntil(ctx, r.began.Add(r.s.ReadingPausedUntil))
			}
		}
	}
	c := client.New(o)
	r.clients = append(r.clients, c)
	return c
}

// callers returns the daemons' addresses, beginning with any.
func (r *run) callers() []string {
	if r.procs != nil {
		return r.procs.callers(r.rnd.IntN(len(r.procs.all)))
	}
	return r.f.CallerAddresses(r.rnd.IntN(len(r.f.LiveDaemons())))
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

// counters are sums over all engines and the store.
type counters struct {
	generated, prefilledAgain, crashes, storeCalls int64
}

func (r *run) counters() counters {
	var c counters
	for _, e := range r.f.Engines {
		s := e.Stats()
		c.generated += s.Generated
		c.prefilledAgain += s.PrefilledAgain
		c.crashes += s.Crashes
	}
	c.storeCalls = r.f.Store.Stats().Calls()
	return c
}

// processorTime is that of the whole process: daemons, stand-ins and callers.
func processorTime() time.Duration {
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
	rep.BetweenTokensMS = r.between.quantiles()
	rep.ResumeLatencyMS = r.resume.quantiles()
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
