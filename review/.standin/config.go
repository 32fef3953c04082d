package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["config"] = configCase }

const (
	configBound = 2 * time.Second
	// storm: a version each stormGap for stormLength; the cut begins cutDelay after the
	// first one and lasts silentCut.
	stormGap    = 80 * time.Millisecond
	stormLength = 2 * time.Second
	cutDelay    = time.Second
	silentCut   = 3 * time.Second
	// probeDelay is how long after config-ms a route is asked for.
	probeDelay = 20 * time.Millisecond
)

// configCase: configurations come in quick succession, each with one more route. Meanwhile
// the daemon that reads the store for its zone is partitioned from the store. The other
// daemon of the zone, which nothing happened to, must know each route config-ms after the
// store's ack.
func configCase(w *World) (bool, error) {
	w.configure(7)
	for i := range 4 {
		if _, err := w.startReplica(&Replica{id: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), service: "wuno96b", zone: "nord-a", version: "1", work: 60 * time.Millisecond}); err != nil {
			return false, err
		}
	}
	for _, name := range []string{"front-nord-a-1", "front-nord-a-2"} {
		if _, err := w.addDaemon(name, "nord-a", 134); err != nil {
			return false, err
		}
	}
	for _, d := range w.daemons {
		if err := d.start(); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Until(w.began.Add(10 * time.Second)))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	out, probes := &results{}, &results{}
	var waits []*sync.WaitGroup
	for _, d := range w.daemons {
		waits = append(waits, w.clients(ctx, d, 10, 0.7, out))
	}
	time.Sleep(4 * time.Second)
	reader, other := w.reader()
	if reader == nil {
		return false, fmt.Errorf("%w: no daemon reads the store for the other", errCannotRun)
	}
	w.note("%s reads the store, %s follows it", reader.name, other.name)
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
	began := time.Now()
	if w.trouble {
		time.AfterFunc(cutDelay, func() {
			reader.link.set(proxySilent)
			w.note("%s is partitioned from the store", reader.name)
			time.Sleep(silentCut)
			reader.link.set(proxyPass)
			w.note("%s reaches the store again", reader.name)
		})
	}
	var probing sync.WaitGroup
	var added []string
	version := 7
	var mu sync.Mutex
	broken := 0
	for time.Since(began) < stormLength {
		version++
		name := fmt.Sprintf("n%d", version)
		added = append(added, name)
		acked := w.configure(version, added...)
		w.recordf(acked, "acked    version %d with the route %s", version, name)
		probing.Add(1)
		v := version
		go func() {
			defer probing.Done()
			time.Sleep(time.Until(acked.Add(configBound + probeDelay)))
			r := w.send(context.Background(), c, other, http.MethodGet, "/"+name+"/x", nil, 0, 4*time.Second)
			probes.add(r)
			if r.status == http.StatusNotFound {
				w.note("a request sent to %s %.3f s after the ack of version %d gets 404 for its route", other.name, r.sent.Sub(acked).Seconds(), v)
				mu.Lock()
				broken++
				mu.Unlock()
			}
		}()
		time.Sleep(stormGap)
	}
	probing.Wait()
	time.Sleep(2 * time.Second)
	cancel()
	for _, wg := range waits {
		wg.Wait()
	}
	w.note("%d versions; probes of new routes at %s: %s; other requests: %s", version-7, other.name, probes.summary(), out.summary())
	return broken > 0, nil
}
