package main

import (
	"context"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	frozenGrowths = 4
	freezeTime    = 3500 * time.Millisecond
	// inTouchAfter is stable-window-ms, configBound config-ms.
	inTouchAfter = 3 * time.Second
	configBound  = 2 * time.Second
)

// status sends one plain request of a route and returns the status of its answer.
func status(d *daemon, id, path, key string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.front+path, strings.NewReader("x"))
	req.Host = host
	for k, v := range map[string]string{"X-Attempt-Id": id, "X-Model": "m", "X-Token-Counts": "8,6", "X-Prompt-Prefix": "5c1e07a2:8", "X-Deadline-Ms": "3000", "Authorization": "Token " + key} {
		req.Header.Set(k, v)
	}
	res, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0
	}
	res.Body.Close()
	return res.StatusCode
}

// frozenCase freezes a daemon while configurations come in quick succession. Long after it has
// woken, it is asked for a route that was added after that.
func frozenCase(trouble bool) bool {
	zones := []string{"nord-a", "nord-b", "nord-c", "nord-d"}
	w := newWorld(zones, 2)
	ds := startDaemons([]string{"nord-a", "nord-b", "nord-c", "nord-d", "nord-a", "nord-b", "nord-c", "nord-d", "nord-a"}, w.store.addr)
	version, others := 7, 15
	put := func() {
		version += 3
		w.putConfig(version, others)
	}
	for range frozenGrowths {
		time.Sleep(500 * time.Millisecond)
		others += stormRoutes
		put()
	}
	i, _ := w.store.get("op/config")
	logf("the configuration has grown to %d routes and takes %d bytes", others+1, len(i.Value))
	time.Sleep(2 * time.Second)
	if trouble {
		ds[0].signal(syscall.SIGSTOP)
	}
	changes := 0
	for began := time.Now(); time.Since(began) < freezeTime; time.Sleep(stormGap) {
		put()
		changes++
	}
	if trouble {
		ds[0].signal(syscall.SIGCONT)
	}
	woken := time.Now()
	logf("%d changes of the configuration in quick succession", changes)
	time.Sleep(inTouchAfter)
	others++
	taken := w.secondKey
	w.secondKey = ""
	put()
	acked := time.Now()
	path := "/pufi" + pad(others-1) + "/2f"
	logf("the store has acknowledged version %d, which adds a route for %s and takes a key away", version, path)
	time.Sleep(configBound + 100*time.Millisecond)
	stale := 0
	for n := 0; time.Since(woken) < 26*time.Second; n++ {
		for k, d := range ds {
			if k > 1 && n > 0 {
				break // the others are asked once
			}
			id := "9c41d07be2" + pad(n) + pad(k)
			added, dropped := status(d, id+"a", path, w.key), status(d, id+"d", "/lohu930/2f", taken)
			logf("%.1f s after the ack, daemon %s answers %d to %sa on the added route and %d to %sd with the key that was taken away", time.Since(acked).Seconds(), d.name, added, id, dropped, id)
			if added == 404 || dropped == 200 {
				stale++
			}
		}
		time.Sleep(time.Second)
	}
	logf("pairs of requests that were handled as only an older version allows: %d", stale)
	return stale > 0
}
