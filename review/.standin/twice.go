package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

func init() { cases["twice"] = twiceCase }

const (
	streamPath   = "/lohu930/2f"
	stableWindow = 3 * time.Second
	// twiceBound is how long the replica before may still work.
	twiceBound = 400 * time.Millisecond
	// silentAfter is how long after a request has reached an engine its channel goes
	// silent: while the engine reads the prompt.
	silentAfter = 300 * time.Millisecond
)

// stream sends a stream and reads it to its end. It returns the number of events.
func (w *World) stream(c *http.Client, d *Daemon, n int) (id string, events int, whole bool) {
	id = fmt.Sprintf("%016x", w.nextID.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.front+streamPath, bytes.NewReader(make([]byte, 8000)))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", "25000")
	req.Header.Set("Authorization", "Token "+apiKey)
	req.Header.Set("X-Model", "m")
	req.Header.Set("X-Token-Counts", "8200,780")
	req.Header.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:200,%08x:8000", 0x91bd0000+n))
	w.recordf(time.Now(), "sent     stream %s to %s", id, d.name)
	res, err := c.Do(req)
	if err != nil {
		w.recordf(time.Now(), "no answer %s: %v", id, err)
		return id, 0, false
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	events = bytes.Count(b, []byte("id: "))
	w.recordf(time.Now(), "answered %s with %d and %d events, error %v", id, res.StatusCode, events, err)
	return id, events, err == nil && res.StatusCode == http.StatusOK
}

// streamWorld starts six engines in two zones and two daemons.
func (w *World) streamWorld() error {
	w.configure(7)
	for i, zone := range []string{"nord-a", "nord-a", "nord-a", "nord-b", "nord-b", "nord-b"} {
		e := &Engine{id: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), service: "huvo11a", zone: zone, version: "1", slots: 64, events: 130, prompt: time.Second, gap: 75 * time.Millisecond}
		if _, err := w.startEngine(e); err != nil {
			return err
		}
	}
	for _, d := range []struct{ name, zone string }{{"front-nord-a-1", "nord-a"}, {"front-nord-b-1", "nord-b"}} {
		if _, err := w.addDaemon(d.name, d.zone, 134); err != nil {
			return err
		}
	}
	for _, d := range w.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(time.Until(w.began.Add(10 * time.Second)))
	return nil
}

// streamLoad counts streams.
type streamLoad struct {
	wg         sync.WaitGroup
	mu         sync.Mutex
	whole, all int
}

// run sends a stream each gap, to the daemons in turn, until ctx ends.
func (l *streamLoad) run(ctx context.Context, w *World, gap time.Duration) {
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
		for n := 0; ctx.Err() == nil; n++ {
			l.wg.Add(1)
			go func() {
				defer l.wg.Done()
				_, events, ok := w.stream(c, w.daemons[n%2], n)
				l.mu.Lock()
				defer l.mu.Unlock()
				l.all++
				if ok && events == 130 {
					l.whole++
				}
			}()
			time.Sleep(gap)
		}
	}()
}

// countTwice returns the number of second runs that began after a time, by machines in
// touch, while the engine before still worked for longer than twiceBound.
func (w *World) countTwice(inTouchFrom time.Time) int {
	byID := map[string][]*run{}
	for _, e := range w.engines {
		for _, r := range e.allRuns() {
			byID[r.id] = append(byID[r.id], r)
		}
	}
	twice := 0
	for id, runs := range byID {
		slices.SortFunc(runs, func(a, b *run) int { return a.began.Compare(b.began) })
		for i := 1; i < len(runs); i++ {
			a, b := runs[i-1], runs[i]
			over := a.ended.Sub(b.began)
			inTouch := b.began.After(inTouchFrom)
			if over > twiceBound && a.engine != b.engine {
				w.note("%s goes on at %s at %.3f s, while %s works on it for %.3f s more (events %d to %d); in touch: %t",
					id, b.engine, b.began.Sub(w.began).Seconds(), a.engine, over.Seconds(), a.first+1, a.last, inTouch)
				if inTouch {
					twice++
				}
			}
		}
	}
	return twice
}

// twiceCase: the open channels to one engine go silent while it reads the prompt of a
// stream; new ones work. The stream must not go on at another engine while the first one
// still works on it.
func twiceCase(w *World) (bool, error) {
	if err := w.streamWorld(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var load streamLoad
	load.run(ctx, w, 400*time.Millisecond)
	time.Sleep(12 * time.Second)
	// The engine is one that runs streams and reads the prompt of another.
	var engine *Engine
	var victim *run
	for until := time.Now().Add(10 * time.Second); victim == nil; {
		if time.Now().After(until) {
			return false, fmt.Errorf("%w: no engine reads a prompt while it runs streams", errCannotRun)
		}
		for _, e := range w.engines {
			runs := e.allRuns()
			if len(runs) == 0 {
				continue
			}
			r := runs[len(runs)-1]
			e.mu.Lock()
			busy := len(e.running) > 0 && e.waiting > 0
			e.mu.Unlock()
			if age := time.Since(r.began); busy && age > silentAfter && age < silentAfter+200*time.Millisecond {
				engine, victim = e, r
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	silent := time.Now()
	if w.trouble {
		w.note("%d open channels to %s go silent while it reads the prompt of %s", engine.link.silence(), engine.id, victim.id)
	}
	time.Sleep(14 * time.Second)
	cancel()
	load.wg.Wait()
	// A silent channel does not end its run at once; give the last ones time to end.
	time.Sleep(2 * time.Second)
	twice := w.countTwice(silent.Add(stableWindow))
	w.note("%d of %d streams are whole; went on while the replica before still worked, by machines in touch: %d", load.whole, load.all, twice)
	return twice > 0, nil
}
