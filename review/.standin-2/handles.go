package main

import (
	"fmt"
	"sync"
	"time"
)

// handlesCase crashes the engines of a zone, so that copies of runs are made by calls. Then an
// engine writes an answer to such a call once more, late, and the channel of one stream is reset.
func handlesCase(trouble bool) bool {
	zones := []string{"nord-a", "nord-b", "nord-c"}
	w := newWorld(zones, 2)
	ds := startDaemons(zones, w.store.addr)
	const streams = 16
	results := make([]result, streams)
	var wg sync.WaitGroup
	for i := range streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			results[i] = openStream(w, ds[0], fmt.Sprintf("9c41d07be2a3%04x", i), fmt.Sprintf("e4402b%02x", i))
		}()
	}
	time.Sleep(2300 * time.Millisecond)
	first := append([]*engine{}, w.engines...)
	if trouble {
		for _, e := range first {
			if e.zone == "nord-b" {
				e.crash()
				time.AfterFunc(1200*time.Millisecond, e.restart)
			}
		}
		time.Sleep(500 * time.Millisecond)
		w.mu.Lock()
		w.extra = true
		w.mu.Unlock()
	}
	for end := time.Now().Add(5 * time.Second); trouble && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		w.mu.Lock()
		e, id := w.spoiled, w.misled
		w.mu.Unlock()
		if e != nil {
			time.Sleep(300 * time.Millisecond)
			e.reset(id)
			break
		}
	}
	wg.Wait()
	broken := false
	for _, r := range results {
		broken = broken || r.foreign > 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	logf("requests that went on from the memory of another one: %d", w.foreign)
	return broken || w.foreign > 0
}
