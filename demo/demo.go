// Package demo demonstrates the system on one machine: it runs a small fleet,
// injects faults while requests run, and checks what callers received.
package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/client"
	"github.com/gooseberryroad/gooseberryroad/fleet"
	"github.com/gooseberryroad/gooseberryroad/rollout"
	"github.com/gooseberryroad/gooseberryroad/standin"
)

// Check is the result of checking one guarantee, with the measured figure.
type Check struct {
	Name   string  `json:"name"`
	Passed bool    `json:"held"`
	Figure float64 `json:"figure"`
	Unit   string  `json:"unit"`
	// Detail describes in one sentence what happened.
	Detail string `json:"detail"`
}

// Result is the outcome of a demo. Passed is true if all checks passed.
type Result struct {
	Checks []Check `json:"checks"`
	Passed bool    `json:"held"`
}

// maxOutputGap is the longest time between two tokens that a check accepts
// after a loss.
const maxOutputGap = 4 * time.Second

type demo struct {
	f      *fleet.Fleet
	out    io.Writer
	result Result
}

// Run runs the demo and writes its progress to out. An error means that the demo
// could not be carried out; checks that failed are in the result.
func Run(ctx context.Context, out io.Writer) (*Result, error) {
	f, err := fleet.Start(ctx, fleet.Options{Daemons: 2, Engines: 4, DataCentres: 2, PlainReplicas: 2, Accounts: 2})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	d := &demo{f: f, out: out, result: Result{Passed: true}}
	d.printf("2 daemons, 4 engines, 2 plain services and a key-value service run on loopback")
	for _, step := range []func(context.Context) error{
		d.engineLoss, d.entryLoss, d.registration, d.storeOutage, d.goodMove, d.badMove,
	} {
		if err := step(ctx); err != nil {
			return nil, err
		}
	}
	return &d.result, nil
}

func (d *demo) printf(format string, args ...any) { fmt.Fprintf(d.out, format+"\n", args...) }

func (d *demo) check(c Check) {
	d.result.Checks = append(d.result.Checks, c)
	d.result.Passed = d.result.Passed && c.Passed
	verdict := "held"
	if !c.Passed {
		verdict = "NOT HELD"
	}
	d.printf("%-8s %-34s %8.1f %-8s %s", verdict, c.Name, c.Figure, c.Unit, c.Detail)
}

// longTokens is the length in tokens of a generation that a fault interrupts.
const longTokens = 600

// complete runs one long generation and calls injectFault after a third of its
// tokens. If injectFault fails, its error is returned and the answer is nil.
func (d *demo) complete(ctx context.Context, prompt string, first int, injectFault func() error) (*client.Answer, error) {
	var faultErr error
	c := client.New(client.Options{
		Addresses: d.f.CallerAddresses(first), Key: fleet.AccountKey(0), ReturnDeliveredText: true,
		OnToken: func(i int, _ string) {
			if i == longTokens/3 {
				faultErr = injectFault()
			}
		},
	})
	defer c.Close()
	answer, err := c.Complete(ctx, client.Request{Model: fleet.Model, Prompt: prompt, MaxTokens: longTokens})
	if faultErr != nil {
		return nil, faultErr
	}
	return answer, err
}

// checkWholeAnswer adds a check that the answer has every token once and that no
// gap between tokens exceeded maxOutputGap. It returns err if there is no answer.
func (d *demo) checkWholeAnswer(name, prompt string, a *client.Answer, err error, event string) error {
	if a == nil {
		return err
	}
	var gap time.Duration
	for _, g := range a.TokenGaps {
		gap = max(gap, g)
	}
	report := standin.CheckAnswer(a.Text, standin.ExpectedAnswer{Model: fleet.Model, Prompt: prompt, Version: "v1", Tokens: longTokens})
	detail := event + "; every token arrived once"
	if err == nil {
		err = report.Err()
	}
	if err != nil {
		detail = event + "; " + err.Error()
	}
	d.check(Check{Name: name, Passed: err == nil && gap <= maxOutputGap, Figure: float64(gap.Milliseconds()), Unit: "ms gap", Detail: detail})
	return nil
}

func (d *demo) engineLoss(ctx context.Context) error {
	const prompt = "write the dedication of the first tree"
	killed := ""
	a, err := d.complete(ctx, prompt, 0, func() error {
		for _, e := range d.f.Engines {
			if e.Stats().Running > 0 {
				killed = e.Name
				e.Crash("demo")
			}
		}
		return nil
	})
	if err := d.checkWholeAnswer("whole_answer_after_engine_loss", prompt, a, err, "engine "+killed+" died after a third of the output"); err != nil {
		return err
	}
	for _, e := range d.f.Engines {
		if !e.Stats().Alive {
			if err := e.Start(); err != nil {
				return eris.Wrap(err, "restart the engine")
			}
		}
	}
	return nil
}

// entryLoss kills the daemon through which a caller receives a generation.
func (d *demo) entryLoss(ctx context.Context) error {
	const prompt = "write the dedication of the second tree"
	a, err := d.complete(ctx, prompt, 0, func() error {
		go d.f.KillDaemon(0)
		return nil
	})
	if err := d.checkWholeAnswer("whole_answer_after_entry_loss", prompt, a, err, "the caller's daemon died after a third of the output"); err != nil {
		return err
	}
	_, err = d.f.AddDaemon(ctx)
	return err
}

// post sends a non-idempotent call through the live daemon with the given index.
func (d *demo) post(ctx context.Context, daemon int, key, body string) (status int, reply string, err error) {
	url := "http://" + d.f.CallerAddresses(daemon)[0] + "/services/" + fleet.PlainService + "/tags"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer "+fleet.AccountKey(0))
	req.Header.Set("Idempotency-Key", key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, string(b), err
}

func (d *demo) registration(ctx context.Context) error {
	const key, body = "order-1", `{"tree":"t-1"}`
	before := d.registrationRuns()
	for daemon := range 2 {
		if _, _, err := d.post(ctx, daemon, key, body); err != nil {
			return eris.Wrap(err, "send a registration")
		}
	}
	runs := d.registrationRuns() - before
	d.check(Check{Name: "registration_runs_once", Passed: runs == 1, Figure: float64(runs), Unit: "runs",
		Detail: "the same registration was sent through two daemons"})
	return nil
}

// registrationRuns returns the number of runs of registrations at the plain services. The
// daemons' queries of the load run there, too, and are not counted.
func (d *demo) registrationRuns() int {
	n := 0
	for _, s := range d.f.PlainReplicas {
		for _, run := range s.Runs().All() {
			if run.Method == http.MethodPost {
				n += run.Times
			}
		}
	}
	return n
}

func (d *demo) storeOutage(ctx context.Context) error {
	if err := d.f.Store.SetFaults(standin.StoreFaults{Down: standin.DownRefuses}); err != nil {
		return err
	}
	before := d.registrationRuns()
	status, reply, err := d.post(ctx, 0, "order-2", `{"tree":"t-2"}`)
	if err != nil {
		return eris.Wrap(err, "send a registration")
	}
	var body struct {
		Error struct {
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	_ = json.Unmarshal([]byte(reply), &body) // after an error the outcome is empty and the check fails
	runs := d.registrationRuns() - before
	d.check(Check{Name: "not_run_is_true_in_store_outage", Passed: body.Error.Outcome == "not_run" && runs == 0, Figure: float64(runs), Unit: "runs",
		Detail: fmt.Sprintf("status %d, outcome %q", status, body.Error.Outcome)})
	if err := d.f.Store.SetFaults(standin.StoreFaults{}); err != nil {
		return err
	}
	return nil
}

// moveTimeLimit is the time from the start of a version move to its deadline.
const moveTimeLimit = 8 * time.Second

// moveVersion starts a move to the next version on two new engines with the given
// faults, sends short requests until the move has ended or twice moveTimeLimit has
// passed, and returns the share of them that engines of the next version received.
func (d *demo) moveVersion(ctx context.Context, from, to string, faults standin.EngineFaults) (*rollout.Report, float64, error) {
	for range 2 {
		e, err := d.f.AddEngine(ctx, to)
		if err != nil {
			return nil, 0, err
		}
		e.SetFaults(faults)
	}
	v := fleet.Versions{Serving: from, Next: to, Deadline: time.Now().Add(moveTimeLimit), Warm: time.Second}
	if err := d.f.Apply(ctx, fleet.ModelService, d.f.Document(v)); err != nil {
		return nil, 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, 2*moveTimeLimit)
	defer cancel()
	var total atomic.Int64
	share := func() float64 { return float64(d.requestsReceived(to)) / float64(max(total.Load(), 1)) }
	var wg sync.WaitGroup
	defer wg.Wait()
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for i := 0; ; i++ {
		if r := d.moveReport(); r.From == from && r.To == to && (r.Phase == rollout.PhaseDone || r.Phase == rollout.PhaseRolledBack) {
			wg.Wait()
			return &r, share(), nil
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			r := d.moveReport()
			return &r, share(), nil
		}
		wg.Go(func() {
			total.Add(1)
			d.sendShortRequest(ctx, i)
		})
	}
}

// requestsReceived counts the requests that engines of a version did not refuse,
// those that a bad version failed included.
func (d *demo) requestsReceived(version string) int64 {
	var n int64
	for _, e := range d.f.Engines {
		if e.Version == version {
			n += e.Stats().Requests
		}
	}
	return n
}

// sendShortRequest sends a short request. It ignores the result, because only
// the counters of the engines matter.
func (d *demo) sendShortRequest(ctx context.Context, i int) {
	c := client.New(client.Options{Addresses: d.f.CallerAddresses(i % 2), Key: fleet.AccountKey(1)})
	defer c.Close()
	_, _ = c.Complete(ctx, client.Request{Model: fleet.Model, Prompt: fmt.Sprintf("a line for tag %d", i), MaxTokens: 20})
}

// moveReport returns the first live daemon's report of the current move.
func (d *demo) moveReport() rollout.Report {
	if v := d.f.LiveDaemons()[0].Loop().Snapshot().Services[fleet.ModelService]; v != nil {
		return v.Move
	}
	return rollout.Report{}
}

func (d *demo) goodMove(ctx context.Context) error {
	began := time.Now()
	r, _, err := d.moveVersion(ctx, "v1", "v2", standin.EngineFaults{})
	if err != nil {
		return err
	}
	took := time.Since(began)
	d.check(Check{Name: "good_version_moves_in_time", Passed: r.Phase == rollout.PhaseDone && took <= moveTimeLimit+time.Second, Figure: took.Seconds(), Unit: "s",
		Detail: fmt.Sprintf("v2 %v of %v allowed; %s", r.Phase, moveTimeLimit, r.Reason)})
	return d.f.Apply(ctx, fleet.ModelService, d.f.Document(fleet.Versions{Serving: "v2"}))
}

// maxBadShare is the largest share of requests that a bad version may get.
const maxBadShare = 0.05

func (d *demo) badMove(ctx context.Context) error {
	r, share, err := d.moveVersion(ctx, "v2", "v3", standin.EngineFaults{BadVersions: map[string]standin.BadVersion{"v3": {Mode: standin.BadFails}}})
	if err != nil {
		return err
	}
	d.check(Check{Name: "bad_version_rolled_back", Passed: r.Phase == rollout.PhaseRolledBack && share <= maxBadShare, Figure: 100 * share, Unit: "% share",
		Detail: fmt.Sprintf("v3 %v; %s", r.Phase, r.Reason)})
	return nil
}
