package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func init() { cases["drain"] = drainCase }

const (
	drainBound = 2 * time.Second
	// extraService is how much longer than drain-ms a replica serves that leaves.
	extraService = 700 * time.Millisecond
)

// cutLength is how long the daemon that reads the store is cut off from it.
const cutLength = 500 * time.Millisecond

// drainCase: the daemon that reads the store for its zone is cut off from the store for
// half a second. Once it reads the store again and the other daemon of the zone follows it
// again, two replicas leave without a report, so that their entries are removed. The other
// daemon, which nothing happened to, must send them nothing later than drain-ms after that.
func drainCase(w *World) (bool, error) {
	w.configure(7)
	var replicas []*Replica
	for i, zone := range []string{"nord-a", "nord-a", "nord-b", "nord-b", "nord-a"} {
		r, err := w.startReplica(&Replica{id: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), service: "wuno96b", zone: zone, version: "1", work: 60 * time.Millisecond})
		if err != nil {
			return false, err
		}
		replicas = append(replicas, r)
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
	// Traffic starts 10 s after the machines do.
	time.Sleep(time.Until(w.began.Add(10 * time.Second)))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	out := &results{}
	var waits []*sync.WaitGroup
	for _, d := range w.daemons {
		waits = append(waits, w.clients(ctx, d, 50, 0.7, out))
	}
	time.Sleep(6 * time.Second)
	reader, other := w.reader()
	if reader == nil {
		return false, fmt.Errorf("%w: no daemon reads the store for the other", errCannotRun)
	}
	w.note("%s reads the store, %s follows it", reader.name, other.name)
	if w.trouble {
		w.note("%s is cut off from the store", reader.name)
		reader.link.set(proxyReset)
		time.Sleep(cutLength)
		reader.link.set(proxyPass)
		w.note("%s reaches the store again", reader.name)
	}
	// The other daemon reads the store itself as long as the reader does not.
	for calm := 0; calm < 10; calm++ {
		if reader.door.waitingWatches() == 0 || other.door.waitingWatches() > 0 {
			calm = 0
		}
		time.Sleep(20 * time.Millisecond)
	}
	w.note("%s reads the store and %s follows it again", reader.name, other.name)
	leaving := []*Replica{replicas[1], replicas[3]}
	for _, r := range leaving {
		r.unregister()
		w.note("the store has removed the entry of %s", r.id)
	}
	removed := time.Now()
	time.Sleep(drainBound + extraService)
	for _, r := range leaving {
		r.exit()
		w.note("%s exits", r.id)
	}
	time.Sleep(2 * time.Second)
	cancel()
	for _, wg := range waits {
		wg.Wait()
	}
	late := map[string]int{}
	byID := out.byID()
	var last time.Duration
	lost := 0
	for _, replica := range leaving {
		for _, a := range replica.seen() {
			r := byID[a.id]
			if d := a.at.Sub(removed); d > drainBound {
				late[r.daemon.name]++
				last = max(last, d)
			}
			if a.at.After(removed) && (r.lost || r.status >= 500) {
				lost++
				w.note("%s %s, sent to %s %.3f s after the removal, ends with status %d", r.method, r.id, r.daemon.name, r.sent.Sub(removed).Seconds(), r.status)
			}
		}
	}
	w.note("clients saw %s", out.summary())
	w.note("requests that reached a replica later than drain-ms after its removal: %d from %s, %d from %s; the last after %.3f s; requests that were lost there: %d",
		late[other.name], other.name, late[reader.name], reader.name, last.Seconds(), lost)
	return late[other.name] > 0, nil
}

// reader returns the daemon that watches the store and one that does not; nil if there is
// no such pair.
func (w *World) reader() (reader, other *Daemon) {
	seen := map[*Daemon]int{}
	for range 60 {
		for _, d := range w.daemons {
			seen[d] += d.door.waitingWatches()
		}
		time.Sleep(50 * time.Millisecond)
	}
	for _, d := range w.daemons {
		if seen[d] > 0 {
			reader = d
		} else {
			other = d
		}
	}
	if other == nil {
		return nil, nil
	}
	return reader, other
}
