package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// arrival is a request that reached a replica.
type arrival struct {
	at      time.Time
	id      string
	version string
	replica string
	bad     bool
}

// Replica is a stand-in for a replica of a plain service.
type Replica struct {
	world                      *World
	id, service, zone, version string
	born                       int64
	slots                      int
	work                       time.Duration
	// badShare is the share of requests with the method badMethod that the replica answers with its own 500.
	badShare  float64
	badMethod string

	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	running  int
	arrivals []arrival
	badAt    []time.Time
}

// startReplica starts a replica and registers it in the store.
func (w *World) startReplica(r *Replica) (*Replica, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.world, r.listener, r.born = w, l, time.Now().UnixMilli()
	if r.slots == 0 {
		r.slots = 6
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("X-Instance-Id", r.id)
		rw.Header().Set("X-Server-Load", r.load())
	})
	mux.HandleFunc("/", r.serve)
	r.server = &http.Server{Handler: mux}
	go func() { _ = r.server.Serve(l) }()
	r.register("ready")
	w.note("replica %s (%s %s) starts at %s", r.id, r.service, r.version, r.address())
	return r, nil
}

func (r *Replica) address() string { return r.listener.Addr().String() }

func (r *Replica) register(state string) {
	r.world.store.put("servers/"+r.id, map[string]any{
		"service": r.service, "address": r.address(), "zone": r.zone, "version": r.version, "slots": r.slots,
		"state": state, "cold-left-ms": 0, "sequence": 1, "born": r.born,
	})
}

// unregister removes the entry, as for a replica that leaves without a report.
func (r *Replica) unregister() { r.world.store.remove("servers/" + r.id) }

// exit ends the replica with all its channels.
func (r *Replica) exit() { _ = r.server.Close() }

func (r *Replica) load() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%d,0,%d", r.running, r.slots)
}

func (r *Replica) serve(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Attempt-Id")
	now := time.Now()
	n, err := io.Copy(io.Discard, req.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Attempt-Id", id)
	if req.Header.Get("X-Expect-Instance") != r.id {
		w.Header().Set("X-Instance-Id", r.id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	full := r.running >= r.slots
	bad := !full && req.Method == r.badMethod && rand.Float64() < r.badShare
	r.arrivals = append(r.arrivals, arrival{at: now, id: id, version: r.version, replica: r.id, bad: bad})
	if !full {
		r.running++
	}
	r.mu.Unlock()
	r.world.recordf(now, "reaches  %s %s at %s (%s), %d bytes%s", req.Method, id, r.id, r.version, n, map[bool]string{true: ", full"}[full])
	w.Header().Set("X-Server-Load", r.load())
	if full {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(r.work))):
	case <-req.Context().Done():
	}
	r.mu.Lock()
	r.running--
	if bad {
		r.badAt = append(r.badAt, time.Now())
	}
	r.mu.Unlock()
	w.Header().Set("X-Server-Load", r.load())
	w.Header().Set("X-Server-Seal", "seal."+r.id+"."+id)
	if bad {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = io.WriteString(w, strings.Repeat("a", 800))
}

func (r *Replica) seen() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

func (r *Replica) badAnswers() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.badAt...)
}

func sortTimes(t []time.Time) { slices.SortFunc(t, time.Time.Compare) }
