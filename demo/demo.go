// Package demo shows the system on one machine: it runs a small fleet, breaks
// parts of it while requests run, and checks what callers got.
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

// Check is one promise with the figure that was measured.
type Check struct {
	Name   string  `json:"name"`
	Passed bool    `json:"held"`
	Figure float64 `json:"figure"`
	Unit   string  `json:"unit"`
	// Detail says what happened, in one sentence.
	Detail string `json:"detail"`
}

// Result is the outcome of a demo.
type Result struct {
	Checks []Check `json:"checks"`
	Passed bool    `json:"held"`
}

// maxGap is the longest time without output that callers accept after a loss.
const maxGap = 4 * time.Second

type demo struct {
	f      *fleet.Fleet
	out    io.Writer
	result Result
}

// Run runs the demo and writes what happens to out. An error means that the
// demo could not be carried out; a promise that did not hold is in the result.
func Run(ctx context.Context, out io.Writer) (*Result, error) {
	f, err := fleet.Start(ctx, fleet.Options{Daemons: 2, Engines: 4, DataCentres: 2, PlainReplicas: 2, Accounts: 2})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	d := &demo{f: f, out: out, result: Result{Passed: true}}
	d.say("2 daemons, 4 engines, 2 plain services and a key-value service run on loopback")
	for _, step := range []func(context.Context) error{
		d.engineLoss, d.entryLoss, d.order, d.storeOutage, d.goodMove, d.badMove,
	} {
		if err := step(ctx); err != nil {
			return nil, err
		}
	}
	return &d.result, nil
}

func (d *demo) say(format string, args ...any) { fmt.Fprintf(d.out, format+"\n", args...) }

func (d *demo) check(c Check) {
	d.result.Checks = append(d.result.Checks, c)
	d.result.Passed = d.result.Passed && c.Passed
	verdict := "held"
	if !c.Passed {
		verdict = "NOT HELD"
	}
	d.say("%-8s %-34s %8.1f %-8s %s", verdict, c.Name, c.Figure, c.Unit, c.Detail)
}

// longTokens is the length of the generation that faults interrupt.
const longTokens = 600

// complete runs one long generation and calls at once after a third of it.
func (d *demo) complete(ctx context.Context, prompt string, first int, at func() error) (*client.Answer, error) {
	var fault error
	c := client.New(client.Options{
		Addresses: d.f.CallerAddresses(first), Key: fleet.AccountKey(0), ReturnDeliveredText: true,
		OnToken: func(i int, _ string) {
			if i == longTokens/3 {
				fault = at()
			}
		},
	})
	defer c.Close()
	answer, err := c.Complete(ctx, client.Request{Model: fleet.Model, Prompt: prompt, MaxTokens: longTokens})
	if fault != nil {
		return nil, fault
	}
	return answer, err
}

// whole adds a check that the answer holds every token once and that output
// went on in time.
func (d *demo) whole(name, prompt string, a *client.Answer, err error, what string) error {
	if a == nil {
		return err
	}
	var gap time.Duration
	for _, g := range a.TokenGaps {
		gap = max(gap, g)
	}
	report := standin.CheckAnswer(a.Text, standin.ExpectedAnswer{Model: fleet.Model, Prompt: prompt, Version: "v1", Tokens: longTokens})
	detail := what + "; every token arrived once"
	if err == nil {
		err = report.Err()
	}
	if err != nil {
		detail = what + "; " + err.Error()
	}
	d.check(Check{Name: name, Passed: err == nil && gap <= maxGap, Figure: float64(gap.Milliseconds()), Unit: "ms gap", Detail: detail})
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
	if err := d.whole("whole_answer_after_engine_loss", prompt, a, err, "engine "+killed+" died after a third of the output"); err != nil {
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

func (d *demo) entryLoss(ctx context.Context) error {
	const prompt = "write the dedication of the second tree"
	a, err := d.complete(ctx, prompt, 0, func() error {
		go d.f.KillDaemon(0)
		return nil
	})
	if err := d.whole("whole_answer_after_entry_loss", prompt, a, err, "the caller's daemon died after a third of the output"); err != nil {
		return err
	}
	_, err = d.f.AddDaemon(ctx)
	return err
}

// post sends a non-idempotent call through the daemon with the given place.
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

func (d *demo) order(ctx context.Context) error {
	const key, body = "order-1", `{"tree":"t-1"}`
	before := d.runs()
	for daemon := range 2 {
		if _, _, err := d.post(ctx, daemon, key, body); err != nil {
			return eris.Wrap(err, "send a registration")
		}
	}
	runs := d.runs() - before
	d.check(Check{Name: "registration_runs_once", Passed: runs == 1, Figure: float64(runs), Unit: "runs",
		Detail: "the same registration was sent through two daemons"})
	return nil
}

// runs counts how often any call ran at the plain services.
func (d *demo) runs() int {
	n := 0
	for _, s := range d.f.PlainReplicas {
		for _, run := range s.Runs().All() {
			n += run.Times
		}
	}
	return n
}

func (d *demo) storeOutage(ctx context.Context) error {
	if err := d.f.Store.SetFaults(standin.StoreFaults{Down: standin.DownRefuses}); err != nil {
		return err
	}
	before := d.runs()
	status, reply, err := d.post(ctx, 0, "order-2", `{"tree":"t-2"}`)
	if err != nil {
		return eris.Wrap(err, "send a registration")
	}
	var body struct {
		Error struct {
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	_ = json.Unmarshal([]byte(reply), &body) // no outcome is reported below
	runs := d.runs() - before
	d.check(Check{Name: "not_run_is_true_in_store_outage", Passed: body.Error.Outcome == "not_run" && runs == 0, Figure: float64(runs), Unit: "runs",
		Detail: fmt.Sprintf("status %d, outcome %q", status, body.Error.Outcome)})
	if err := d.f.Store.SetFaults(standin.StoreFaults{}); err != nil {
		return err
	}
	return nil
}

// moveTime is how long the demo gives a version move.
const moveTime = 8 * time.Second

// move asks for a move to the next version, sends short requests until it has
// ended, and returns the share of them that reached the next version.
func (d *demo) move(ctx context.Context, from, to string, faults standin.EngineFaults) (*rollout.Report, float64, error) {
	for range 2 {
		e, err := d.f.AddEngine(ctx, to)
		if err != nil {
			return nil, 0, err
		}
		e.SetFaults(faults)
	}
	v := fleet.Versions{Serving: from, Next: to, Deadline: time.Now().Add(moveTime), Warm: time.Second}
	if err := d.f.Apply(ctx, fleet.ModelService, d.f.Document(v)); err != nil {
		return nil, 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, 2*moveTime)
	defer cancel()
	var total atomic.Int64
	share := func() float64 { return float64(d.reached(to)) / float64(max(total.Load(), 1)) }
	var wg sync.WaitGroup
	defer wg.Wait()
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for i := 0; ; i++ {
		if r := d.report(); r.From == from && r.To == to && (r.Phase == rollout.PhaseDone || r.Phase == rollout.PhaseRolledBack) {
			wg.Wait()
			return &r, share(), nil
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			r := d.report()
			return &r, share(), nil
		}
		wg.Go(func() {
			total.Add(1)
			d.short(ctx, i)
		})
	}
}

// reached counts the requests that engines of a version received.
func (d *demo) reached(version string) int64 {
	var n int64
	for _, e := range d.f.Engines {
		if e.Version == version {
			n += e.Stats().Requests
		}
	}
	return n
}

// short sends a short request. What becomes of it is counted at the engines.
func (d *demo) short(ctx context.Context, i int) {
	c := client.New(client.Options{Addresses: d.f.CallerAddresses(i % 2), Key: fleet.AccountKey(1)})
	defer c.Close()
	_, _ = c.Complete(ctx, client.Request{Model: fleet.Model, Prompt: fmt.Sprintf("a line for tag %d", i), MaxTokens: 20})
}

func (d *demo) report() rollout.Report {
	if v := d.f.LiveDaemons()[0].Loop().Snapshot().Services[fleet.ModelService]; v != nil {
		return v.Move
	}
	return rollout.Report{}
}

func (d *demo) goodMove(ctx context.Context) error {
	began := time.Now()
	r, _, err := d.move(ctx, "v1", "v2", standin.EngineFaults{})
	if err != nil {
		return err
	}
	took := time.Since(began)
	d.check(Check{Name: "good_version_moves_in_time", Passed: r.Phase == rollout.PhaseDone && took <= moveTime+time.Second, Figure: took.Seconds(), Unit: "s",
		Detail: fmt.Sprintf("v2 %v of %v allowed; %s", r.Phase, moveTime, r.Reason)})
	return d.f.Apply(ctx, fleet.ModelService, d.f.Document(fleet.Versions{Serving: "v2"}))
}

// maxBadShare bounds the requests that a bad version may get.
const maxBadShare = 0.05

func (d *demo) badMove(ctx context.Context) error {
	r, share, err := d.move(ctx, "v2", "v3", standin.EngineFaults{BadVersions: map[string]standin.BadVersion{"v3": {Mode: standin.BadFails}}})
	if err != nil {
		return err
	}
	d.check(Check{Name: "bad_version_rolled_back", Passed: r.Phase == rollout.PhaseRolledBack && share <= maxBadShare, Figure: 100 * share, Unit: "% share",
		Detail: fmt.Sprintf("v3 %v; %s", r.Phase, r.Reason)})
	return nil
}
