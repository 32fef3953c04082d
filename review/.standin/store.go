package main

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageLength is the number of items in a page of a range.
const pageLength = 500

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  uint64 `json:"revision"`
	CreateRev uint64 `json:"create-rev"`
	Lease     int64  `json:"lease"`
}

type event struct {
	item
	Tombstone bool `json:"tombstone,omitempty"`
}

// Store is a stand-in for the platform's store. Each daemon reaches it at a door of
// its own, so that the store knows which daemon makes a call.
type Store struct {
	mu        sync.Mutex
	revision  uint64
	items     map[string]item
	history   []event
	changed   chan struct{}
	lastLease int64
	leases    map[int64]bool
}

// Door is an address of the store for one daemon.
type Door struct {
	store    *Store
	name     string
	listener net.Listener
	server   *http.Server

	mu sync.Mutex
	// cut is closed to cut the watches that wait at this door.
	cut chan struct{}
	// waiting is the number of these watches, answered when the last one was answered.
	waiting  int
	answered time.Time
}

func newStore() *Store {
	return &Store{revision: 1, items: map[string]item{}, changed: make(chan struct{}), leases: map[int64]bool{}}
}

func (s *Store) openDoor(name string) (*Door, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Door{store: s, name: name, listener: l, cut: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.readKey)
	mux.HandleFunc("GET /-/kv-range", s.readRange)
	mux.HandleFunc("GET /-/kv-watch", d.watch)
	mux.HandleFunc("POST /-/kv-txn", s.txn)
	mux.HandleFunc("POST /-/kv-lease", s.grant)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.endLease)
	d.server = &http.Server{Handler: mux}
	go func() { _ = d.server.Serve(l) }()
	return d, nil
}

func (d *Door) address() string { return d.listener.Addr().String() }

// cutWatches cuts the watches that wait at this door and returns their number.
func (d *Door) cutWatches() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.cut)
	d.cut = make(chan struct{})
	return d.waiting
}

func (d *Door) waitingWatches() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.waiting
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// put writes an item and returns the revision.
func (s *Store) put(key string, value any) uint64 {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.putLocked(key, b, 0)
}

func (s *Store) putLocked(key string, value []byte, lease int64) uint64 {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreateRev
	}
	it := item{Key: key, Value: value, Revision: s.revision, CreateRev: created, Lease: lease}
	s.items[key] = it
	s.record(event{item: it})
	return s.revision
}

func (s *Store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(key)
}

func (s *Store) removeLocked(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(event{item: item{Key: key, Revision: s.revision}, Tombstone: true})
}

func (s *Store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// get returns the value of a key, nil if there is none.
func (s *Store) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *Store) readKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, it)
}

func (s *Store) readRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path-prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items, more := []item{}, false
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if more = len(items) == pageLength; more {
			break
		}
		items = append(items, s.items[key])
	}
	revision := s.revision
	s.mu.Unlock()
	answer(w, map[string]any{"items": items, "has-more": more, "store-revision": revision})
}

func (d *Door) watch(w http.ResponseWriter, r *http.Request) {
	s := d.store
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	prefix := r.URL.Query().Get("path-prefix")
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	d.mu.Lock()
	d.waiting++
	cut := d.cut
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		d.waiting--
		d.answered = time.Now()
		d.mu.Unlock()
	}()
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, map[string]any{"events": events, "store-revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(w, map[string]any{"events": events, "store-revision": revision})
			return
		case <-cut:
			panic(http.ErrAbortHandler) // closes the channel without an answer
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected-rev"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	b, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(b, &t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflicts []item
	for _, x := range t.Expected {
		if s.items[x.Key].Revision != x.Revision {
			conflicts = append(conflicts, s.items[x.Key])
		}
	}
	if len(conflicts) > 0 {
		w.WriteHeader(http.StatusPreconditionFailed)
		answer(w, map[string]any{"items": conflicts})
		return
	}
	for _, x := range t.Writes {
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if x.Lease != 0 && !s.leases[x.Lease] {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, x := range t.Writes {
		s.putLocked(x.Key, x.Value, x.Lease)
	}
	for _, key := range t.Remove {
		s.removeLocked(key)
	}
	answer(w, map[string]any{"revision": s.revision})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var t struct {
		TTL int64 `json:"ttl-ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.lastLease++
	id := s.lastLease
	s.leases[id] = true
	s.mu.Unlock()
	time.AfterFunc(time.Duration(t.TTL)*time.Millisecond, func() { s.expire(id) })
	answer(w, map[string]any{"lease": id, "ttl-ms": t.TTL})
}

// expire ends a lease and removes its keys.
func (s *Store) expire(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[key].Lease == id {
			s.removeLocked(key)
		}
	}
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	// No script runs as long as a lease of the daemons.
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	known := s.leases[id]
	s.mu.Unlock()
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, map[string]any{})
}

func (s *Store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.expire(id)
	answer(w, map[string]any{})
}
