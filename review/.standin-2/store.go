package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the platform's store.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreateRev uint64 `json:"create-rev,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in of the platform's store that behaves like a sound one.
type store struct {
	addr string
	srv  *http.Server

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	// events is the history of the last historyTime; oldest is the revision before it.
	events  []item
	eventAt []time.Time
	oldest  uint64
	changed chan struct{}
	leases  map[uint64]*time.Timer
	last    uint64
}

const historyTime = 20 * time.Second

func newStore() *store {
	l := listen()
	s := &store{addr: l.Addr().String(), revision: 1, items: map[string]item{}, changed: make(chan struct{}), leases: map[uint64]*time.Timer{}}
	s.srv = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.srv.Serve(l) }()
	return s
}

func listen() net.Listener {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	return l
}

// put writes an entry as the operator or a replica does.
func (s *store) put(key string, v any) uint64 {
	b, err := json.Marshal(v)
	if err != nil {
		fail("encode %s: %v", key, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(key, b, 0)
}

func (s *store) remove(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delete(key)
}

func (s *store) get(key string) (item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return i, ok
}

// write, delete and notify need s.mu.
func (s *store) write(key string, value []byte, lease uint64) uint64 {
	s.revision++
	old, ok := s.items[key]
	i := item{Key: key, Value: value, Revision: s.revision, CreateRev: s.revision, Lease: lease}
	if ok {
		i.CreateRev = old.CreateRev
	}
	s.items[key] = i
	s.notify(i)
	return s.revision
}

func (s *store) delete(key string) uint64 {
	if _, ok := s.items[key]; !ok {
		return s.revision
	}
	s.revision++
	delete(s.items, key)
	s.notify(item{Key: key, Revision: s.revision, Tombstone: true})
	return s.revision
}

func (s *store) notify(i item) {
	s.trim()
	s.events, s.eventAt = append(s.events, i), append(s.eventAt, time.Now())
	close(s.changed)
	s.changed = make(chan struct{})
}

// trim discards history that is older than historyTime. s.mu must be held.
func (s *store) trim() {
	n := 0
	for n < len(s.events) && time.Since(s.eventAt[n]) > historyTime {
		s.oldest = s.events[n].Revision
		n++
	}
	if n > 0 {
		s.events, s.eventAt = append([]item{}, s.events[n:]...), append([]time.Time{}, s.eventAt[n:]...)
	}
}

func (s *store) reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	time.Sleep(2 * time.Millisecond)
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/-/kv-key":
		i, ok := s.get(q.Get("key"))
		if !ok {
			s.reply(w, 404, map[string]any{})
			return
		}
		s.reply(w, 200, i)
	case path == "/-/kv-range":
		s.mu.Lock()
		var out []item
		for k, i := range s.items {
			if strings.HasPrefix(k, q.Get("path-prefix")) && k > q.Get("after") {
				out = append(out, i)
			}
		}
		sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
		more := len(out) > 500
		if more {
			out = out[:500]
		}
		rev := s.revision
		s.mu.Unlock()
		if out == nil {
			out = []item{}
		}
		s.reply(w, 200, map[string]any{"items": out, "has-more": more, "store-revision": rev})
	case path == "/-/kv-watch":
		s.watch(w, r)
	case path == "/-/kv-txn":
		s.txn(w, r)
	case path == "/-/kv-lease":
		var in struct {
			TTL int64 `json:"ttl-ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		s.mu.Lock()
		s.last++
		id := s.last
		s.leases[id] = time.AfterFunc(time.Duration(in.TTL)*time.Millisecond, func() { s.endLease(id) })
		s.mu.Unlock()
		s.reply(w, 200, map[string]any{"lease": id, "ttl-ms": in.TTL})
	case strings.HasPrefix(path, "/-/kv-keep/"):
		s.reply(w, 200, map[string]any{})
	case strings.HasPrefix(path, "/-/kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/-/kv-lease-end/"), 10, 64)
		s.endLease(id)
		s.reply(w, 200, map[string]any{})
	default:
		s.reply(w, 404, map[string]any{})
	}
}

func (s *store) endLease(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, id)
	for k, i := range s.items {
		if i.Lease == id {
			s.delete(k)
		}
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait-ms"), 10, 64)
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.trim()
		var out []item
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("path-prefix")) {
				out = append(out, e)
			}
		}
		rev, changed, gone := s.revision, s.changed, after < s.oldest
		s.mu.Unlock()
		if gone {
			s.reply(w, 410, map[string]any{})
			return
		}
		if len(out) > 0 {
			s.reply(w, 200, map[string]any{"events": out, "store-revision": rev})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			s.reply(w, 200, map[string]any{"events": []item{}, "store-revision": rev})
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	var in struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected-rev"`
		Writes []item   `json:"writes"`
		Remove []string `json:"remove"`
	}
	if err == nil {
		err = json.Unmarshal(b, &in)
	}
	if err != nil {
		s.reply(w, 400, map[string]any{"error": fmt.Sprint(err)})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range in.Expected {
		if s.items[e.Key].Revision != e.Revision {
			var now []item
			for _, e := range in.Expected {
				if i, ok := s.items[e.Key]; ok {
					now = append(now, i)
				}
			}
			s.reply(w, 412, map[string]any{"items": now})
			return
		}
	}
	for _, x := range in.Writes {
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			s.reply(w, 403, map[string]any{})
			return
		}
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			s.reply(w, 404, map[string]any{})
			return
		}
	}
	for _, x := range in.Writes {
		s.write(x.Key, x.Value, x.Lease)
	}
	for _, k := range in.Remove {
		s.delete(k)
	}
	s.reply(w, 200, map[string]any{"revision": s.revision})
}
