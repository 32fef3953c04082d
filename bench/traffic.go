package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gooseberryroad/gooseberryroad/client"
	"github.com/gooseberryroad/gooseberryroad/fleet"
	"github.com/gooseberryroad/gooseberryroad/standin"
)

// slowReceiveBuffer is the socket receive buffer of callers that pause reading,
// in bytes. It is small, so that the kernel does not accept much data for them.
const slowReceiveBuffer = 4096

// poisonMarker in a prompt crashes the stand-in engine that runs it in the
// scenario poison.
const poisonMarker = "poison-marker"

func trafficScenarios() []Scenario {
	return []Scenario{
		{
			Name: "slow-readers", Help: "1,000 callers stop reading after a quarter of their answers and resume reading at 14 s.",
			Duration: 4 * time.Second, ReadingPausedUntil: 14 * time.Second,
			// 400 tokens are more than a daemon's window for one request and the kernel's
			// buffers hold.
			Fleet: fleet.Options{Daemons: 6, Engines: 25, DataCentres: 4, Accounts: 10,
				Engine: standin.EngineOptions{Step: 25 * time.Millisecond, StepPerRequest: time.Microsecond, MaxBatch: 128}},
			Workload: Workload{PerSecond: 250, ShortTokens: 400, LongTokens: 400, PromptWords: 20, Weights: standardLoad.Weights},
		},
		{
			Name: "store-outage", Help: "The store is down for the middle third; registrations that must not run twice continue.",
			Duration: 18 * time.Second,
			Fleet:    fleet.Options{Daemons: 6, Engines: 25, DataCentres: 4, Accounts: 10, PlainReplicas: 4},
			Workload: standardLoad, Faults: storeOutage, Background: sendRegistrations,
		},
		{
			Name: "flood", Help: "One small account sends ten times its share, more than the engines can serve.",
			Duration: 15 * time.Second,
			// Eight engines with a batch of eight and 0.35 s per request serve about 180
			// requests per second.
			Fleet: fleet.Options{Daemons: 6, Engines: 8, DataCentres: 4, Accounts: 10,
				Engine: standin.EngineOptions{MaxBatch: 8}},
			Workload: Workload{PerSecond: 100, ShortTokens: 60, LongTokens: 60, PromptWords: 40, Weights: []float64{0, 1, 1, 1, 1, 1, 1, 1, 1, 1}},
			ExtraWorkloads: []Workload{{PerSecond: 111, ShortTokens: 60, LongTokens: 60, PromptWords: 40, Weights: []float64{1},
				From: 4 * time.Second, Until: 12 * time.Second}},
		},
		{
			Name: "poison", Help: "One caller repeatedly sends a request that crashes each engine that runs it.",
			Duration: 15 * time.Second, Fleet: standardFleet, Workload: standardLoad,
			Prepare: func(r *run) {
				for _, e := range r.fleet.Engines {
					e.SetFaults(standin.EngineFaults{CrashMarker: poisonMarker})
				}
			},
			Background: sendPoison,
		},
		{
			Name: "partition", Help: "The daemons of one data centre are cut off from the store for the middle third, while a document changes. Peer links stay.",
			Duration: 18 * time.Second,
			Fleet:    fleet.Options{Daemons: 6, Engines: 25, DataCentres: 3, Accounts: 10, PlainReplicas: 4, ForwardStore: true},
			Workload: standardLoad, Faults: partition, Background: sendRegistrations,
		},
	}
}

// partition cuts the first data centre off from the store and changes a document
// meanwhile. Peer links are not cut: a daemon announces the address that it
// listens on, so no forwarder can be placed between peers.
func partition(r *run, d time.Duration) []fault {
	link := r.fleet.StoreLinks["dc0"]
	return []fault{
		{at: d / 3, name: "dc0 is cut off from the store", inject: func(context.Context) error { link.Cut(); return nil }},
		{at: d/3 + 2*time.Second, name: "a document changes", inject: func(ctx context.Context) error {
			began := time.Now()
			// The second daemon is in another data centre and reaches the store.
			err := r.fleet.ApplyThrough(ctx, r.fleet.LiveDaemons()[1], fleet.ModelService, r.fleet.Document(fleet.Versions{Serving: "v1", Warm: time.Minute}))
			r.mu.Lock()
			defer r.mu.Unlock()
			r.extra["change_in_force_s"] = time.Since(began).Seconds()
			return err
		}},
		{at: 2 * d / 3, name: "dc0 reaches the store again", inject: func(context.Context) error { link.Heal(); return nil }},
	}
}

func storeOutage(r *run, d time.Duration) []fault {
	setFaults := func(f standin.StoreFaults) func(context.Context) error {
		return func(context.Context) error { return r.fleet.Store.SetFaults(f) }
	}
	return []fault{
		{at: d / 3, name: "the store goes down", inject: setFaults(standin.StoreFaults{Down: standin.DownRefuses})},
		{at: 2 * d / 3, name: "the store comes back", inject: setFaults(standin.StoreFaults{})},
	}
}

// registration is one non-idempotent call to a plain service.
type registration struct {
	key string
	// resend makes the caller repeat the call until it is answered.
	resend bool
	// answered is set when the service's reply arrived. notRun is set when the
	// last attempt was refused with the outcome not_run.
	answered, notRun bool
}

// sendRegistrations sends 40 calls per second. Every other call is repeated until
// it is answered, to detect duplicate runs; the others are sent once, to check
// that calls refused as not_run did not run. Replicas lose some answers after the
// call ran.
func sendRegistrations(ctx context.Context, r *run, d time.Duration) error {
	const every = 25 * time.Millisecond
	httpClient := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer httpClient.CloseIdleConnections()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var calls []registration
	for i, at := 0, time.Duration(0); at < d; i, at = i+1, at+every {
		if err := sleepUntil(ctx, r.startedAt.Add(at)); err != nil {
			break
		}
		if i%20 == 10 {
			r.fleet.PlainReplicas[i/20%len(r.fleet.PlainReplicas)].SetFaults(standin.ServiceFaults{LoseAnswers: 1})
		}
		wg.Go(func() {
			g := registration{key: fmt.Sprintf("registration-%d-%d", r.options.Seed, i), resend: i%2 == 0}
			g.send(ctx, httpClient, r, i, r.startedAt.Add(d+resendAfterLoad))
			mu.Lock()
			defer mu.Unlock()
			calls = append(calls, g)
		})
	}
	wg.Wait()
	runsByKey := map[string]int{}
	for _, s := range r.fleet.PlainReplicas {
		for _, call := range s.Runs().All() {
			runsByKey[call.Key] += call.Times
		}
	}
	var answered, notRun, duplicates, falseNotRun int
	for _, g := range calls {
		duplicates += max(0, runsByKey[g.key]-1)
		if g.answered {
			answered++
		}
		if g.notRun {
			notRun++
			if runsByKey[g.key] > 0 {
				falseNotRun++
			}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.extra["plain_calls"], r.extra["plain_answered"] = float64(len(calls)), float64(answered)
	r.extra["plain_not_run"] = float64(notRun)
	r.extra["plain_unknown"] = float64(len(calls) - answered - notRun)
	r.extra["duplicates_run"], r.extra["false_not_run"] = float64(duplicates), float64(falseNotRun)
	return nil
}

const (
	// resendInterval is a caller's pause between two attempts of one call.
	resendInterval = 500 * time.Millisecond
	// resendAfterLoad is how long after the last arrival callers keep repeating
	// calls. The limit is needed because a call whose reply was lost after it ran
	// is never answered: it must not run again.
	resendAfterLoad = 4 * time.Second
)

// send makes the call and repeats it if resend is set, until it is answered, the
// deadline has passed or ctx ends. The first attempt goes to the nth live
// daemon and each further one to the next daemon.
func (g *registration) send(ctx context.Context, c *http.Client, r *run, n int, deadline time.Time) {
	for try := 0; ; try++ {
		g.sendOnce(ctx, c, r, n+try)
		if g.answered || !g.resend || time.Now().After(deadline) {
			return
		}
		if sleepUntil(ctx, time.Now().Add(resendInterval)) != nil {
			return
		}
	}
}

// sendOnce sends the call to the nth live daemon, counting modulo their number.
func (g *registration) sendOnce(ctx context.Context, c *http.Client, r *run, n int) {
	live := r.fleet.LiveDaemons()
	if len(live) == 0 {
		return
	}
	url := "http://" + live[n%len(live)].CallerAddress() + "/services/" + fleet.PlainService + "/tags"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(`{"tag":"`+g.key+`"}`))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+fleet.AccountKey(0))
	req.Header.Set("Idempotency-Key", g.key)
	res, err := c.Do(req)
	if err != nil {
		g.notRun = false
		return
	}
	defer res.Body.Close()
	b, _ := io.ReadAll(io.LimitReader(res.Body, 64<<10))
	var refusal struct {
		Error struct {
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	_ = json.Unmarshal(b, &refusal)
	g.answered = res.StatusCode == http.StatusOK
	g.notRun = refusal.Error.Outcome == "not_run"
}

// sendPoison repeatedly sends a request that crashes the engine that runs it,
// from a fifth of the run to its end. Crashed engines are restarted a second
// after they died.
func sendPoison(ctx context.Context, r *run, d time.Duration) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithDeadline(ctx, r.startedAt.Add(d))
	defer cancel()
	wg.Go(func() { r.restartEngines(ctx) })
	if sleepUntil(ctx, r.startedAt.Add(d/5)) != nil {
		return nil
	}
	sent, failed := 0, 0
	for ctx.Err() == nil {
		c := client.New(client.Options{Addresses: r.fleet.CallerAddresses(sent % len(r.fleet.LiveDaemons())), Key: fleet.AccountKey(9), MaxReconnects: 1})
		_, err := c.Complete(ctx, client.Request{Model: fleet.Model, Prompt: "a request with " + poisonMarker, MaxTokens: 20})
		c.Close()
		sent++
		if err != nil {
			failed++
		}
		r.progress("poison request %d: %v", sent, err)
		_ = sleepUntil(ctx, time.Now().Add(resendInterval))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.extra["poison_sent"], r.extra["poison_failed"] = float64(sent), float64(failed)
	return nil
}

// restartEngines restarts engines a second after they died until ctx ends, and
// then all that are still dead.
func (r *run) restartEngines(ctx context.Context) {
	t := time.NewTicker(sampleInterval)
	defer t.Stop()
	diedAt := map[string]time.Time{}
	for {
		select {
		case now := <-t.C:
			for _, e := range r.fleet.Engines {
				switch at, ok := diedAt[e.Name]; {
				case e.Stats().Alive:
					delete(diedAt, e.Name)
				case !ok:
					// HeldPrompts of a dead engine still returns what it held.
					r.recordAffected(fault{engines: []*fleet.Engine{e}})
					diedAt[e.Name] = now
				case now.Sub(at) >= time.Second:
					if err := e.Start(); err != nil {
						r.progress("restart engine %s: %v", e.Name, err)
					}
				}
			}
		case <-ctx.Done():
			for _, e := range r.fleet.Engines {
				_ = e.Start()
			}
			return
		}
	}
}
