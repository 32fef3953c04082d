package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// growths is how often the configuration grows by stormRoutes, before the storms.
	growths     = 4
	stormRoutes = 465
	stormGap    = 80 * time.Millisecond
	stormTime   = 2 * time.Second
	memoryMB    = 134
	// ends is the number of ends of a process in a day that breaks the rule, on two machines.
	ends         = 3
	brokenOn     = 2
	restartDelay = 500 * time.Millisecond
)

// anonymousKB returns the memory of a process that no file backs, in KB.
func (d *daemon) anonymousKB() int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, l := range strings.Split(string(b), "\n") {
		if v, ok := strings.CutPrefix(l, "RssAnon:"); ok {
			n, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(v), " kB"))
			return n
		}
	}
	return 0
}

// platform does what the platform does for the process of a machine: it kills it when it exceeds
// the memory of the machine, and starts it again when it has ended.
type platform struct {
	mu   sync.Mutex
	ends map[string]int
}

func (p *platform) watch(d *daemon, stop <-chan struct{}, done *sync.WaitGroup) {
	defer done.Done()
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		kb := d.anonymousKB()
		if d.alive() && kb > memoryMB<<10 {
			logf("daemon %s has %d KB, its machine %d KB", d.name, kb, memoryMB<<10)
			d.signal(syscall.SIGKILL)
			<-d.done
		}
		if d.alive() {
			continue
		}
		p.mu.Lock()
		p.ends[d.name]++
		logf("end %d of the process of %s", p.ends[d.name], d.name)
		p.mu.Unlock()
		time.Sleep(restartDelay)
		d.start()
	}
}

// broken reports whether enough processes have ended often enough.
func (p *platform) broken() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, e := range p.ends {
		if e >= ends {
			n++
		}
	}
	return n >= brokenOn
}

// stormsCase lets configurations come in quick succession after the configuration has grown by
// many routes.
func stormsCase(trouble bool) bool {
	zones := []string{"nord-a", "nord-b", "nord-c"}
	w := newWorld(zones, 2)
	ds := startDaemons(zones, w.store.addr)
	p := &platform{ends: map[string]int{}}
	stop := make(chan struct{})
	var watching sync.WaitGroup
	for _, d := range ds {
		watching.Add(1)
		go p.watch(d, stop, &watching)
	}
	version, others := 7, 15
	for range growths {
		time.Sleep(500 * time.Millisecond)
		version += 3
		others += stormRoutes
		w.putConfig(version, others)
		i, _ := w.store.get("op/config")
		logf("the configuration has grown by %d routes and takes %d bytes", stormRoutes, len(i.Value))
	}
	served, asked := 0, 0
	gap := stormGap
	if !trouble {
		gap = 4 * time.Second
	}
	began, looked, changes := time.Now(), time.Now(), 0
	for time.Since(began) < 85*time.Second && !p.broken() {
		time.Sleep(gap)
		version += 3
		changes++
		w.putConfig(version, others)
		if time.Since(looked) < stormTime {
			continue
		}
		looked = time.Now()
		for _, d := range ds {
			logf("%d changes of the configuration; daemon %s has %d KB", changes, d.name, d.anonymousKB())
		}
		asked++
		go func(n int) {
			r := openStream(w, ds[n%len(ds)], fmt.Sprintf("9c41d07be2a3%04x", n), fmt.Sprintf("e4402b%02x", n))
			if r.complete {
				rec.mu.Lock()
				served++
				rec.mu.Unlock()
			}
		}(asked)
	}
	close(stop)
	watching.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	logf("ends of processes: %v; streams asked for: %d", p.ends, asked)
	rec.mu.Lock()
	n := served
	rec.mu.Unlock()
	logf("streams that were complete by now: %d", n)
	p.mu.Unlock()
	defer p.mu.Lock()
	return p.broken()
}
