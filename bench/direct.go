package bench

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/gooseberryroad/gooseberryroad/client"
	"github.com/gooseberryroad/gooseberryroad/engine"
	"github.com/gooseberryroad/gooseberryroad/fleet"
	"github.com/gooseberryroad/gooseberryroad/kernel"
)

// baselineDirect is the name of the baseline that sends the load directly to the
// engines.
const baselineDirect = "direct"

// Baselines returns the values that --baseline takes; "" means no baseline.
func Baselines() []string { return []string{"", baselineDirect} }

// directBaseline sends requests to the engines without daemons. It knows how many
// of all requests each engine holds, which none of several daemons knows.
type directBaseline struct {
	r      *run
	client engine.Client

	mu                        sync.Mutex
	running                   []int
	failed                    int
	firstToken, betweenTokens *recorder
}

// runDirect repeats the load, without faults, directly to the live engines.
func (r *run) runDirect(ctx context.Context, load []arrival) error {
	c, err := kernel.Load[engine.Client]("engine.completions", kernel.Options{})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(runLimit, r.options.Duration+10*time.Second))
	defer cancel()
	d := &directBaseline{r: r, client: c, running: make([]int, len(r.fleet.Engines)), firstToken: newRecorder(), betweenTokens: newRecorder()}
	began := time.Now()
	var wg sync.WaitGroup
	for i, a := range load {
		if err := sleepUntil(ctx, began.Add(a.at)); err != nil {
			return err
		}
		wg.Go(func() { d.sendRequest(ctx, i, a) })
	}
	wg.Wait()
	r.progress("baseline: all %d requests answered, %d failed", len(load), d.failed)
	first, between := d.firstToken.quantiles(), d.betweenTokens.quantiles()
	r.report.DirectFirstTokenMS, r.report.DirectBetweenTokensMS = &first, &between
	r.extra["direct_failed"] = float64(d.failed)
	if first.P50 > 0 && between.P50 > 0 {
		r.extra["first_token_p50_to_direct"] = r.report.FirstTokenMS.P50 / first.P50
		r.extra["between_tokens_p50_to_direct"] = r.report.BetweenTokensMS.P50 / between.P50
		r.extra["first_token_p95_to_direct"] = r.report.FirstTokenMS.P95 / first.P95
		r.extra["between_tokens_p95_to_direct"] = r.report.BetweenTokensMS.P95 / between.P95
	}
	return nil
}

// pickEngine returns the index of the live engine of version v1 with the fewest
// running requests and counts one more on it. It returns -1 if none is alive.
func (d *directBaseline) pickEngine() int {
	best := -1
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, e := range d.r.fleet.Engines {
		if e.Version == "v1" && e.Stats().Alive && (best < 0 || d.running[i] < d.running[best]) {
			best = i
		}
	}
	if best >= 0 {
		d.running[best]++
	}
	return best
}

func (d *directBaseline) sendRequest(ctx context.Context, n int, a arrival) {
	i := d.pickEngine()
	err := errors.New("no engine is alive")
	if i >= 0 {
		err = d.stream(ctx, d.r.fleet.Engines[i].Address(), n, a)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if i >= 0 {
		d.running[i]--
	}
	if err != nil {
		d.failed++
	}
}

func (d *directBaseline) stream(ctx context.Context, address string, n int, a arrival) error {
	q := engine.Request{ID: "direct-" + strconv.Itoa(n), Model: fleet.Model, Prompt: a.prompt, MaxTokens: a.tokens}
	if a.chat {
		q.Prompt = ""
		for _, m := range client.Messages(a.prompt) {
			q.Messages = append(q.Messages, engine.Message{Role: m.Role, Content: m.Content})
		}
	}
	last := time.Now()
	s, err := d.client.Start(ctx, address, q)
	if err != nil {
		return err
	}
	defer s.Close()
	for tokens := 0; ; tokens++ {
		var finished *engine.FinishedError
		if _, err := s.Next(ctx); errors.As(err, &finished) {
			return nil
		} else if err != nil {
			return err
		}
		now := time.Now()
		if tokens == 0 {
			d.firstToken.add(now.Sub(last))
		} else {
			d.betweenTokens.add(now.Sub(last))
		}
		last = now
	}
}
