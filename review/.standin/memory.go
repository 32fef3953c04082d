package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["memory"] = memoryCase }

const (
	// memoryMB is the memory of a machine, bodyBytes the largest body of a request.
	memoryMB  = 134
	bodyBytes = 4194304
	// uploadRate is the number of uploads a second at each of the two machines of a zone
	// while many users come at once: half of 1.7 times the 15.3 requests of the zone.
	uploadRate = 13
	// burstLength is how long many users come at once, bursts how often.
	burstLength = 3 * time.Second
	bursts      = 3
	burstPeriod = 11 * time.Second
	// uploadTime is how long a client takes to send its body.
	uploadTime = 3 * time.Second
	// restartDelay is the platform's delay before it starts a process again.
	restartDelay = 500 * time.Millisecond
)

// memoryOf returns the memory in MB that a process has allocated, without the pages of its
// program file; 0 when it has ended.
func memoryOf(pid int) float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for l := range strings.SplitSeq(string(b), "\n") {
		if rest, ok := strings.CutPrefix(l, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}

// memoryGuard kills a daemon that exceeds its memory and starts it again, as the
// platform does.
type memoryGuard struct {
	kills int
	peak  float64
}

func (g *memoryGuard) run(ctx context.Context, d *Daemon) {
	for ctx.Err() == nil {
		mb := memoryOf(d.cmd.Process.Pid)
		g.peak = max(g.peak, mb)
		if mb > float64(d.memoryMB) {
			g.kills++
			d.world.note("%s exceeds its memory: %.0f MB of %d MB; the platform kills it", d.name, mb, d.memoryMB)
			d.stop()
			time.Sleep(restartDelay)
			if err := d.start(); err != nil {
				d.world.note("%s does not start again: %v", d.name, err)
				return
			}
			d.world.note("%s is started again", d.name)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// slowBody sends a body evenly over a time. Without a known length net/http sends it in
// chunks.
type slowBody struct {
	left  int
	began time.Time
	step  []byte
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	if b.began.IsZero() {
		b.began = time.Now()
	}
	done := float64(bodyBytes-b.left) / bodyBytes
	time.Sleep(time.Until(b.began.Add(time.Duration(done * float64(uploadTime)))))
	n := copy(p, b.step[:min(len(b.step), b.left)])
	b.left -= n
	return n, nil
}

// memoryCase: many users come at once to a zone with two machines and send bodies of the
// largest size in chunks, three times.
func memoryCase(w *World) (bool, error) {
	w.configure(7)
	var replicas []*Replica
	for i := range 4 {
		r, err := w.startReplica(&Replica{id: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), service: "wuno96b", zone: "nord-a", version: "1", work: 60 * time.Millisecond, slots: 6})
		if err != nil {
			return false, err
		}
		replicas = append(replicas, r)
	}
	for _, name := range []string{"front-nord-a-1", "front-nord-a-2"} {
		if _, err := w.addDaemon(name, "nord-a", memoryMB); err != nil {
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
	guards := make([]memoryGuard, len(w.daemons))
	var guarding sync.WaitGroup
	for i, d := range w.daemons {
		guarding.Add(1)
		go func() {
			defer guarding.Done()
			guards[i].run(ctx, d)
		}()
	}
	small, large := &results{}, &results{}
	var waits []*sync.WaitGroup
	for _, d := range w.daemons {
		waits = append(waits, w.clients(ctx, d, 8, 0.7, small))
	}
	time.Sleep(4 * time.Second)
	var uploading sync.WaitGroup
	upload := func(d *Daemon) {
		uploading.Add(1)
		go func() {
			defer uploading.Done()
			c := &http.Client{Transport: &http.Transport{}}
			defer c.CloseIdleConnections()
			body := &slowBody{left: bodyBytes, step: bytes.Repeat([]byte("b"), 16<<10)}
			large.add(w.send(context.Background(), c, d, http.MethodPost, orderPath, body, -1, 4*time.Second))
		}()
	}
	rate := 1.0
	if w.trouble {
		rate = uploadRate
	}
	for n := range bursts {
		began := time.Now()
		w.note("burst %d: %.0f uploads a second at each daemon", n+1, rate)
		for i := 0; time.Since(began) < burstLength; i++ {
			for _, d := range w.daemons {
				upload(d)
			}
			time.Sleep(time.Until(began.Add(time.Duration(float64(i+1) / rate * float64(time.Second)))))
		}
		time.Sleep(time.Until(began.Add(burstPeriod)))
	}
	uploading.Wait()
	cancel()
	for _, wg := range waits {
		wg.Wait()
	}
	guarding.Wait()
	ran := map[string]bool{}
	for _, r := range replicas {
		for _, a := range r.seen() {
			ran[a.id] = true
		}
	}
	lost := 0
	for _, r := range small.byID() {
		if r.lost && r.method == http.MethodPost && ran[r.id] {
			lost++
		}
	}
	w.note("uploads saw %s; the other requests saw %s; orders that ran and got no answer: %d", large.summary(), small.summary(), lost)
	broken := 0
	for i, d := range w.daemons {
		w.note("%s ended %d times for its memory; peak %.0f MB of %d MB", d.name, guards[i].kills, guards[i].peak, memoryMB)
		if guards[i].kills >= 3 {
			broken++
		}
	}
	return broken >= 2, nil
}
