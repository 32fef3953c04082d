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

// slowReceiveBuffer keeps the kernel from reading on for a caller that stopped.
const slowReceiveBuffer = 4096

// poisonMarker in a prompt crashes the stand-in engines of the scenario poison.
const poisonMarker = "poison-marker"

func trafficScenarios() []Scenario {
	return []Scenario{
		{
			Name: "slow-readers", Help: "1,000 callers stop reading after a quarter of their answers and read on at 14 s.",
			Duration: 4 * time.Second, ReadingPausedUntil: 14 * time.Second,
			// 400 tokens are more than the window and the kernel's buffers hold.
			Fleet: fleet.Options{Daemons: 6, Engines: 25, DataCentres: 4, Accounts: 10,
				Engine: standin.EngineOptions{Step: 25 * time.Millisecond, StepPerRequest: time.Microsecond, MaxBatch: 128}},
			Workload: Workload{PerSecond: 250, ShortTokens: 400, LongTokens: 400, PromptWords: 20, Weights: standardLoad.Weights},
		},
		{
			Name: "store-outage", Help: "The store is down for the middle third; registrations that must not repeat go on.",
			Duration: 18 * time.Second,
			Fleet:    fleet.Options{Daemons: 6, Engines: 25, DataCentres: 4, Accounts: 10, PlainReplicas: 4},
			Workload: standardLoad, Faults: storeOutage, Background: registrations,
		},
		{
			Name: "flood", Help: "One small account sends ten times its share, above what the engines can do.",
			Duration: 15 * time.Second,
			// Eight engines with eight places and 0.35 s a request do about 180
			// requests a second.
			Fleet: fleet.Options{Daemons: 6, Engines: 8, DataCentres: 4, Accounts: 10,
				Engine: standin.EngineOptions{MaxBatch: 8}},
			Workload: Workload{PerSecond: 100, ShortTokens: 60, LongTokens: 60, PromptWords: 40, Weights: []float64{0, 1, 1, 1, 1, 1, 1, 1, 1, 1}},
			ExtraWorkloads: []Workload{{PerSecond: 111, ShortTokens: 60, LongTokens: 60, PromptWords: 40, Weights: []float64{1},
				From: 4 * time.Second, Until: 12 * time.Second}},
		},
		{
			Name: "poison", Help: "One caller sends a request again and again that crashes each engine that runs it.",
			Duration: 15 * time.Second, Fleet: standardFleet, Workload: standardLoad,
			Prepare: func(r *run) {
				for _, e := range r.f.Engines {
					e.SetFaults(standin.EngineFaults{CrashMarker: poisonMarker})
				}
			},
			Background: poison,
		},
		{
			Name: "partition", Help: "The daemons of one data centre are cut off from the store for the middle third, while a document changes. Peer links stay.",
			Duration: 18 * time.Second,
			Fleet:    fleet.Options{Daemons: 6, Engines: 25, DataCentres: 3, Accounts: 10, PlainReplicas: 4, ForwardStore: true},
			Workload: standardLoad, Faults: partition, Background: registrations,
		},
	}
}

// partition cuts the first data centre off from the store. Peer links stay,
// because a daemon announces the address that it listens on, so that no
// forwarder can be put between.
func partition(r *run, d time.Duration) []fault {
	link := r.f.StoreLinks["dc0"]
	return []fault{
		{at: d / 3, name: "dc0 is cut off from the store", do: func(context.Context) error { link.Cut(); return nil }},
		{at: d/3 + 2*time.Second, name: "a document changes", do: func(ctx context.Context) error {
			began := time.Now()
			// The second daemon is in another data centre and reaches the store.
			err := r.f.ApplyThrough(ctx, r.f.LiveDaemons()[1], fleet.ModelService, r.f.Document(fleet.Versions{Serving: "v1", Warm: time.Minute}))
			r.mu.Lock()
			defer r.mu.Unlock()
			r.extra["change_in_force_s"] = time.Since(began).Seconds()
			return err
		}},
		{at: 2 * d / 3, name: "dc0 reaches the store again", do: func(context.Context) error { link.Heal(); return nil }},
	}
}

func storeOutage(r *run, d time.Duration) []fault {
	set := func(f standin.StoreFaults) func(context.Context) error {
		return func(context.Context) error { return r.f.Store.SetFaults(f) }
	}
	return []fault{
		{at: d / 3, name: "the store goes down", do: set(standin.StoreFaults{Down: standin.DownRefuses})},
		{at: 2 * d / 3, name: "the store comes back", do: set(standin.StoreFaults{})},
	}
}

// registration is one non-idempotent call of a plain service.
type registration struct {
	key string
	// resend makes the caller send it again until it is answered.
	resend bool
	// answered calls got a reply; notRun ones were last told not_run.
	answered, notRun bool
}

// registrations sends 40 calls a second. Every other one is sent again until
// it is answered, to find duplicates; the others are sent once, to find out
// whether not_run is true. Replicas lose some answers after the call ran.
func registrations(ctx context.Context, r *run, d time.Duration) error {
	const every = 25 * time.Millisecond
	httpClient := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer httpClient.CloseIdleConnections()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []registration
	for i, at := 0, time.Duration(0); at < d; i, at = i+1, at+every {
		if err := sleepUntil(ctx, r.began.Add(at)); err != nil {
			break
		}
		if i%20 == 10 {
			r.f.PlainReplicas[i/20%len(r.f.PlainReplicas)].SetFaults(standin.ServiceFaults{LoseAnswers: 1})
		}
		wg.Go(func() {
			g := registration{key: fmt.Sprintf("registration-%d-%d", r.o.Seed, i), resend: i%2 == 0}
			g.send(ctx, httpClient, r, i, r.began.Add(d+resendLast))
			mu.Lock()
			defer mu.Unlock()
			all = append(all, g)
		})
	}
	wg.Wait()
	times := map[string]int{}
	for _, s := range r.f.PlainReplicas {
		for _, run := range s.Runs().All() {
			times[run.Key] += run.Times
		}
	}
	var answered, notRun, duplicates, falseNotRun int
	for _, g := range all {
		duplicates += max(0, times[g.key]-1)
		if g.answered {
			answered++
		}
		if g.notRun {
			notRun++
			if times[g.key] > 0 {
				falseNotRun++
			}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.extra["plain_calls"], r.extra["plain_answered"] = float64(len(all)), float64(answered)
	r.extra["plain_not_run"] = float64(notRun)
	r.extra["plain_unknown"] = float64(len(all) - answered - notRun)
	r.extra["duplicates_run"], r.extra["false_not_run"] = float64(duplicates), float64(falseNotRun)
	return nil
}

const (
	// resendEvery is the pause of a caller between two sendings of one call.
	resendEvery = 500 * time.Millisecond
	// resendLast is how long after the load callers go on sending again. A call
	// whose reply was lost after it ran is never answered: it must not run again.
	resendLast = 4 * time.Second
)

// send ends when the call is answered or cannot be in time.
func (g *registration) send(ctx context.Context, c *http.Client, r *run, n int, until time.Time) {
	for try := 0; ; try++ {
		g.once(ctx, c, r, n+try)
		if g.answered || !g.resend || time.Now().After(until) {
			return
		}
		if sleepUntil(ctx, time.Now().Add(resendEvery)) != nil {
			return
		}
	}
}

// once sends the call through one daemon. A repeated one goes through another.
func (g *registration) once(ctx context.Context, c *http.Client, r *run, first int) {
	live := r.f.LiveDaemons()
	if len(live) == 0 {
		return
	}
	url := "http://" + live[first%len(live)].CallerAddress() + "/services/" + fleet.PlainService + "/tags"
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

// poison sends the request that crashes engines again whenever it fails, and
// starts engines again a second after they died.
func poison(ctx context.Context, r *run, d time.Duration) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithDeadline(ctx, r.began.Add(d))
	defer cancel()
	wg.Go(func() { r.restartEngines(ctx) })
	if sleepUntil(ctx, r.began.Add(d/5)) != nil {
		return nil
	}
	sent, refused := 0, 0
	for ctx.Err() == nil {
		c := client.New(client.Options{Addresses: r.f.CallerAddresses(sent % len(r.f.LiveDaemons())), Key: fleet.AccountKey(9), MaxReconnects: 1})
		_, err := c.Complete(ctx, client.Request{Model: fleet.Model, Prompt: "a request with " + poisonMarker, MaxTokens: 20})
		c.Close()
		sent++
		if err != nil {
			refused++
		}
		r.progress("poison request %d: %v", sent, err)
		_ = sleepUntil(ctx, time.Now().Add(resendEvery))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.extra["poison_sent"], r.extra["poison_failed"] = float64(sent), float64(refused)
	return nil
}

func (r *run) restartEngines(ctx context.Context) {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	died := map[string]time.Time{}
	for {
		select {
		case now := <-t.C:
			for _, e := range r.f.Engines {
				switch at, ok := died[e.Name]; {
				case e.Stats().Alive:
					delete(died, e.Name)
				case !ok:
					// A dead engine still names what it held.
					r.markHits(fault{engines: []*fleet.Engine{e}})
					died[e.Name] = now
				case now.Sub(at) >= time.Second:
					if err := e.Start(); err != nil {
						r.progress("engine %s does not start: %v", e.Name, err)
					}
				}
			}
		case <-ctx.Done():
			for _, e := range r.f.Engines {
				_ = e.Start()
			}
			return
		}
	}
}
