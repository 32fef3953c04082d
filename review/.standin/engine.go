package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one run of a stream at an engine.
type run struct {
	id     string
	engine string
	// began is when the request reached the engine, ended when the engine stopped its work.
	began, ended time.Time
	first, last  int
	restored     bool
}

// Engine is a stand-in for a model replica.
type Engine struct {
	world                      *World
	id, service, zone, version string
	born                       int64
	slots, events              int
	// prompt is the time to the first event, gap that between two events.
	prompt, gap time.Duration

	listener net.Listener
	server   *http.Server
	// link is the way from the daemons to the engine.
	link *Proxy

	mu sync.Mutex
	// running holds the runs that have begun, waiting counts those that read their prompt.
	running map[string]*run
	waiting int
	runs    []*run
	copies  map[string]bool
	handles int
}

func (w *World) startEngine(e *Engine) (*Engine, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if e.link, err = newProxy(l.Addr().String()); err != nil {
		return nil, err
	}
	e.world, e.listener, e.born = w, l, time.Now().UnixMilli()
	e.running, e.copies = map[string]*run{}, map[string]bool{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) { rw.Header().Set("X-Instance-Id", e.id) })
	mux.HandleFunc("GET /-/report", e.report)
	mux.HandleFunc("GET /-/kv-list", func(rw http.ResponseWriter, _ *http.Request) {
		answer(rw, map[string]any{"epoch": 1, "next": 1, "held": []any{}})
	})
	mux.HandleFunc("POST /-/kv-move", e.move)
	mux.HandleFunc("DELETE /-/kv-handle/{id}", func(rw http.ResponseWriter, _ *http.Request) { answer(rw, map[string]any{}) })
	mux.HandleFunc("/", e.serve)
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(l) }()
	w.engines = append(w.engines, e)
	w.store.put("servers/"+e.id, map[string]any{
		"service": e.service, "address": e.link.address(), "zone": e.zone, "version": e.version, "slots": e.slots,
		"state": "ready", "cold-left-ms": 0, "sequence": 1, "born": e.born,
	})
	w.note("engine %s (%s) starts at %s", e.id, e.service, e.link.address())
	return e, nil
}

func (e *Engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := [][]any{}
	for id, r := range e.running {
		runs = append(runs, []any{id, 8200 + 6*r.last, r.last, 5})
	}
	answer(w, map[string]any{
		"stage": "colocated", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false,
		"sequence": 0, "waiting": e.waiting, "running": len(runs), "kv-used": 8200 * len(runs), "kv-total": 880000, "handles": 0,
		"pinned": 0, "held": 0, "state": "ready", "next": 0, "runs": runs, "born": e.born,
	})
}

// move copies a run to another engine; with last, the run stops first.
func (e *Engine) move(w http.ResponseWriter, req *http.Request) {
	var t struct {
		ID     string `json:"id"`
		Target string `json:"target"`
		Last   bool   `json:"last"`
	}
	if json.NewDecoder(req.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	r := e.running[t.ID]
	e.handles++
	handle := fmt.Sprintf("h%d", e.handles)
	e.mu.Unlock()
	to := e.world.engineAt(t.Target)
	if r == nil || to == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	to.keepCopy(e.link.address() + "/" + handle)
	e.world.recordf(time.Now(), "copied   %s from %s to %s as %s", t.ID, e.id, to.id, handle)
	answer(w, map[string]any{"handle": handle, "create-rev": r.last})
}

func (e *Engine) keepCopy(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.copies[name] = true
}

func (w *World) engineAt(address string) *Engine {
	for _, e := range w.engines {
		if e.link.address() == address {
			return e
		}
	}
	return nil
}

func (e *Engine) serve(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Attempt-Id")
	began := time.Now()
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	w.Header().Set("X-Attempt-Id", id)
	if req.Header.Get("X-Expect-Instance") != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	from := req.Header.Get("Kv-From")
	e.mu.Lock()
	refused := len(e.running)+e.waiting >= e.slots || from != "" && !e.copies[from]
	delete(e.copies, from)
	r := &run{id: id, engine: e.id, began: began, restored: from != ""}
	if !refused {
		e.waiting++
		e.runs = append(e.runs, r)
	}
	e.mu.Unlock()
	e.world.recordf(began, "reaches  %s at %s, Last-Event-Id %q, Kv-From %q, refused: %t", id, e.id, req.Header.Get("Last-Event-Id"), from, refused)
	if refused {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.running[id] == r {
			delete(e.running, id)
		} else {
			e.waiting--
		}
		r.ended = time.Now()
		e.world.recordf(r.ended, "ends     %s at %s after event %d", id, e.id, r.last)
	}()
	if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		r.first = last
	}
	prompt := e.prompt
	if r.restored {
		prompt = 30 * time.Millisecond
	}
	select {
	case <-time.After(prompt):
	case <-req.Context().Done():
		return
	}
	e.mu.Lock()
	e.waiting--
	e.running[id] = r
	r.last = r.first
	e.mu.Unlock()
	if to := e.world.engineAt(req.Header.Get("X-Kv-Backup")); to != nil {
		to.keepCopy(to.link.address() + "/" + id)
	}
	w.Header().Set("X-Server-Seal", "seal."+e.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := r.first + 1; i <= e.events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("t", 24)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		e.mu.Lock()
		r.last = i
		e.mu.Unlock()
		select {
		case <-time.After(e.gap):
		case <-req.Context().Done():
			return
		}
	}
}

func (e *Engine) allRuns() []*run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*run(nil), e.runs...)
}
