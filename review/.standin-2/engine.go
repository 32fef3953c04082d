package main

import (
	"bufio"
	"bytes"
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

const (
	streamEvents = 130
	eventPace    = 50 * time.Millisecond
	prefillTime  = 250 * time.Millisecond
)

// memory is a copy of a run's KV cache: the request that it belongs to, and its events.
type memory struct {
	owner  string
	events int
}

// run is a request that an engine works on.
type run struct {
	id     string
	mem    memory
	last   int // the last event that was made
	done   bool
	silent bool
	conn   net.Conn
	wake   chan struct{}
	backup *engine
	began  time.Time
	ended  time.Time
}

// engine is a stand-in of a model replica.
type engine struct {
	w              *world
	id, zone, addr string
	born           int64
	l              net.Listener

	mu       sync.Mutex
	runs     map[string]*run
	all      []*run
	copies   map[string]memory
	handles  map[string]int
	handle   int
	seq      int
	streams  map[net.Conn]*run
	down     bool
	requests int
}

// world is a deployment of stand-ins.
type world struct {
	store   *store
	mu      sync.Mutex
	engines []*engine
	byAddr  map[string]*engine
	key     string
	// secondKey is another key of the same tenant; empty if it was taken away.
	secondKey string
	foreign   int
	// extra lets one engine write one answer to a kv-move once more, late; spoiled is that
	// engine then, and misled the request whose answer is expected there.
	extra   bool
	spoiled *engine
	misled  string
}

const (
	engineService = "llm-1"
	plainService  = "shop-1"
	host          = "ficu95.example"
)

func newWorld(zones []string, perZone int) *world {
	w := &world{store: newStore(), byAddr: map[string]*engine{}, key: "xd9dnn2ctnfzs989anu6", secondKey: "wsjnbanfqasnmgkcuyj8"}
	w.putConfig(7, 15)
	for _, z := range zones {
		for i := range perZone {
			w.addEngine(fmt.Sprintf("i-%s%d", z, i), z)
		}
	}
	return w
}

// putConfig writes a configuration with one route that is used and a number of others.
func (w *world) putConfig(version, others int) {
	routes := []map[string]any{route("r-stream", "/lohu930/")}
	for i := range others {
		routes = append(routes, route(fmt.Sprintf("r-%07d", i), "/pufi"+pad(i)+"/"))
	}
	keys := []string{w.key}
	if w.secondKey != "" {
		keys = append(keys, w.secondKey)
	}
	w.store.put("op/config", map[string]any{
		"version": version,
		"routes":  routes,
		"services": []map[string]any{
			{"name": engineService, "health-path": "/health", "max-conns": 370, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 64, "kv-capacity-tokens": 88000, "token-kv-bytes": 18432, "link-mbps": 180000.0, "moves": true, "backups": true, "stride": 6, "most": 12, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle-s": 4.0, "models": []map[string]any{{"name": "m"}}}},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": "huka270", "api-keys": keys, "priority": 1}},
	})
}

func pad(n int) string { return fmt.Sprintf("%04d", n) }

func route(name, prefix string) map[string]any {
	return map[string]any{"name": name, "host": host, "path-prefix": prefix, "kind": "stream", "timeout-ms": 25000, "target-latency-ms": 4500, "priority": 1, "service": engineService, "max-attempts": 5, "anonymous": false, "sticky": true, "can-resume": true, "gap-aim-ms": 700}
}

func (w *world) addEngine(id, zone string) *engine {
	l := listen()
	e := &engine{w: w, id: id, zone: zone, addr: l.Addr().String(), l: l, born: time.Now().UnixMilli(), runs: map[string]*run{}, copies: map[string]memory{}, handles: map[string]int{}, streams: map[net.Conn]*run{}}
	w.mu.Lock()
	w.engines = append(w.engines, e)
	w.byAddr[e.addr] = e
	w.mu.Unlock()
	e.register()
	go e.accept()
	return e
}

// register writes the entry. The heartbeats that follow change no more than its sequence, so that
// the store keeps it as it is.
func (e *engine) register() {
	e.mu.Lock()
	e.seq++
	seq := e.seq
	e.mu.Unlock()
	e.w.store.put("servers/"+e.id, map[string]any{"service": engineService, "address": e.addr, "zone": e.zone, "version": "v1", "slots": 64, "state": "ready", "cold-left-ms": 0, "sequence": seq, "born": e.born})
}

// crash closes the port and all channels at once.
func (e *engine) crash() {
	e.mu.Lock()
	e.down = true
	for c, r := range e.streams {
		r.done, r.ended = true, time.Now()
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	e.mu.Unlock()
	_ = e.l.Close()
	logf("engine %s crashes", e.id)
}

func (e *engine) accept() {
	for {
		c, err := e.l.Accept()
		if err != nil {
			return
		}
		go e.serve(c)
	}
}

func (e *engine) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	var earlier moveAnswer
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		e.mu.Lock()
		down := e.down
		e.mu.Unlock()
		if down {
			return
		}
		switch p := r.URL.Path; {
		case p == "/-/report":
			e.answer(c, 200, e.report())
		case p == "/health":
			e.answer(c, 200, map[string]any{})
		case p == "/-/kv-list":
			e.answer(c, 200, map[string]any{"epoch": 1, "next": 1, "held": [][]any{}})
		case p == "/-/kv-move":
			now := e.move(body)
			e.w.mu.Lock()
			late := e.w.extra && earlier.bytes != nil && now.status == 200 && now.id != earlier.id && now.target == earlier.target
			if late {
				e.w.extra, e.w.spoiled, e.w.misled = false, e, now.id
			}
			e.w.mu.Unlock()
			if late {
				logf("engine %s: an extra copy of the answer to the kv-move of %s arrives late, where that to the kv-move of %s is expected: %s", e.id, earlier.id, now.id, tail(earlier.bytes))
				_, _ = c.Write(earlier.bytes)
			}
			if _, err := c.Write(now.bytes); err != nil {
				return
			}
			if now.status == 200 {
				earlier = now
			}
		case strings.HasPrefix(p, "/-/kv-handle/"):
			e.answer(c, 200, map[string]any{})
		default:
			if !e.stream(c, br, r) {
				return
			}
		}
	}
}

func tail(b []byte) string {
	_, body, _ := bytes.Cut(b, []byte("\r\n\r\n"))
	return strings.TrimSpace(string(body))
}

// encode encodes an answer, which names the request that it belongs to if there is one.
func (e *engine) encode(id string, status int, v any) []byte {
	body, _ := json.Marshal(v)
	belongs := ""
	if id != "" {
		belongs = "X-Attempt-Id: " + id + "\r\n"
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Type: application/json\r\nX-Instance-Id: %s\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), belongs, e.id, len(body), body)
}

func (e *engine) answer(c net.Conn, status int, v any) { _, _ = c.Write(e.encode("", status, v)) }

func (e *engine) report() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	rows := [][]any{}
	running := 0
	for _, r := range e.runs {
		if r.done {
			continue
		}
		running++
		if r.last > r.mem.events {
			rows = append(rows, []any{r.id, 8200 + 6*r.last, r.last, 5})
		}
	}
	return map[string]any{"stage": "colocated", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "sequence": 1, "waiting": 0, "running": running, "kv-used": 100, "kv-total": 88000, "handles": len(e.copies), "born": e.born, "state": "ready", "runs": rows}
}

// moveAnswer is the answer to a kv-move.
type moveAnswer struct {
	id, target string
	status     int
	bytes      []byte
}

// move copies the memory of a run to another engine; with last the run stops first.
func (e *engine) move(body []byte) (out moveAnswer) {
	var in struct {
		ID     string `json:"id"`
		Target string `json:"target"`
		Last   bool   `json:"last"`
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return moveAnswer{status: 400, bytes: e.encode("", 400, map[string]any{})}
	}
	out.id, out.target = in.ID, in.Target
	e.w.mu.Lock()
	target := e.w.byAddr[in.Target]
	e.w.mu.Unlock()
	e.mu.Lock()
	r := e.runs[in.ID]
	if r == nil || r.done || target == nil {
		e.mu.Unlock()
		logf("engine %s: kv-move of %s refused: no such run", e.id, in.ID)
		out.status, out.bytes = 404, e.encode(in.ID, 404, map[string]any{})
		return out
	}
	if in.Last {
		e.end(r)
		if !r.silent {
			_ = r.conn.Close()
		}
	}
	h, ok := e.handles[in.ID+" "+in.Target]
	if !ok {
		e.handle++
		h = e.handle
		e.handles[in.ID+" "+in.Target] = h
	}
	m := memory{owner: r.mem.owner, events: r.last}
	e.mu.Unlock()
	target.mu.Lock()
	target.copies[e.addr+"/"+strconv.Itoa(h)] = m
	target.mu.Unlock()
	logf("engine %s: kv-move of %s (last %v) to %s, handle %d, events %d", e.id, in.ID, in.Last, target.id, h, m.events)
	out.status, out.bytes = 200, e.encode(in.ID, 200, map[string]any{"handle": h, "create-rev": m.events})
	return out
}

// end needs e.mu.
func (e *engine) end(r *run) {
	if !r.done {
		r.done, r.ended = true, time.Now()
	}
	close(r.wake)
	r.wake = make(chan struct{})
}

// reset resets the channel of one run, and the engine drops the run.
func (e *engine) reset(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.runs[id]; r != nil && !r.done {
		logf("the channel of %s to engine %s is reset", id, e.id)
		e.end(r)
		_ = r.conn.(*net.TCPConn).SetLinger(0)
		_ = r.conn.Close()
	}
}

// restart starts a crashed engine again, as another process at the same address.
func (e *engine) restart() {
	l, err := net.Listen("tcp4", e.addr)
	if err != nil {
		fail("restart of an engine: %v", err)
	}
	n := &engine{w: e.w, id: e.id + "r", zone: e.zone, addr: e.addr, l: l, born: time.Now().UnixMilli(), runs: map[string]*run{}, copies: map[string]memory{}, handles: map[string]int{}, streams: map[net.Conn]*run{}}
	e.w.mu.Lock()
	e.w.engines = append(e.w.engines, n)
	e.w.byAddr[n.addr] = n
	e.w.mu.Unlock()
	e.w.store.remove("servers/" + e.id)
	n.register()
	go n.accept()
	logf("engine %s is back as %s", e.id, n.id)
}

// silence makes the open channels of streams go silent for good.
func (e *engine) silence() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, r := range e.runs {
		if !r.done && !r.silent {
			r.silent = true
			n++
		}
	}
	return n
}

func (e *engine) running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, r := range e.runs {
		if !r.done && r.last > r.mem.events {
			n++
		}
	}
	return n
}

// stream runs a request and reports whether the channel may carry another one.
func (e *engine) stream(c net.Conn, br *bufio.Reader, q *http.Request) bool {
	id := q.Header.Get("X-Attempt-Id")
	if want := q.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		e.answer(c, 421, map[string]any{})
		return true
	}
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	r := &run{id: id, mem: memory{owner: id, events: after}, last: after, conn: c, wake: make(chan struct{}), began: time.Now()}
	wait := prefillTime
	if from := q.Header.Get("Kv-From"); from != "" {
		e.mu.Lock()
		m, ok := e.copies[from]
		delete(e.copies, from)
		e.mu.Unlock()
		if !ok {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			logf("engine %s: %s not run, there is no copy %s", e.id, id, from)
			return true
		}
		r.mem.owner = m.owner
		wait = 10 * time.Millisecond
		if m.owner != id {
			e.w.mu.Lock()
			e.w.foreign++
			e.w.mu.Unlock()
			logf("engine %s: %s goes on at event %d from the memory of %s (Kv-From %s)", e.id, id, after, m.owner, from)
		} else {
			logf("engine %s: %s goes on at event %d from its own memory (Kv-From %s)", e.id, id, after, from)
		}
	} else {
		logf("engine %s: %s begins after event %d", e.id, id, after)
	}
	e.w.mu.Lock()
	r.backup = e.w.byAddr[q.Header.Get("X-Kv-Backup")]
	e.w.mu.Unlock()
	e.mu.Lock()
	e.runs[id] = r
	e.all = append(e.all, r)
	e.streams[c] = r
	e.requests++
	e.mu.Unlock()
	go e.generate(r, wait)
	complete := e.write(c, br, r)
	e.mu.Lock()
	delete(e.streams, c)
	if !r.silent && !r.done {
		// The replica drops a request whose channel closes.
		e.end(r)
	}
	silent := r.silent
	e.mu.Unlock()
	if silent {
		// The channel stays open and carries nothing.
		time.Sleep(time.Minute)
		return false
	}
	return complete
}

// generate makes the events of a run.
func (e *engine) generate(r *run, wait time.Duration) {
	time.Sleep(wait)
	for {
		e.mu.Lock()
		if r.done {
			e.mu.Unlock()
			return
		}
		r.last++
		ended := r.last >= streamEvents
		if ended {
			r.done, r.ended = true, time.Now()
		}
		m, backup := memory{owner: r.mem.owner, events: r.last}, r.backup
		close(r.wake)
		r.wake = make(chan struct{})
		e.mu.Unlock()
		if backup != nil {
			backup.mu.Lock()
			backup.copies[backup.addr+"/"+r.id] = m
			backup.mu.Unlock()
		}
		if ended {
			return
		}
		time.Sleep(eventPace)
	}
}

// write sends the events of a run as they are made, and reports whether the answer is whole.
func (e *engine) write(c net.Conn, br *bufio.Reader, r *run) bool {
	closed := make(chan struct{})
	go func() {
		if _, err := br.Peek(1); err != nil {
			close(closed)
		}
	}()
	sent, headSent := r.mem.events, false
	for {
		e.mu.Lock()
		last, wake, silent, done := r.last, r.wake, r.silent, r.done
		e.mu.Unlock()
		if silent {
			return false
		}
		var b bytes.Buffer
		if last > sent && !headSent {
			headSent = true
			fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s.%s\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nKeep-Alive: timeout=5\r\n\r\n", r.id, e.id, r.id)
		}
		for ; sent < last; sent++ {
			ev := fmt.Sprintf("id: %d\ndata: %s words of %s\n\n", sent+1, r.id, r.mem.owner)
			fmt.Fprintf(&b, "%x\r\n%s\r\n", len(ev), ev)
		}
		if done && last < streamEvents {
			return false
		}
		if done {
			b.WriteString("0\r\n\r\n")
		}
		if b.Len() > 0 {
			if _, err := c.Write(b.Bytes()); err != nil {
				return false
			}
		}
		if done {
			// The reader above holds the buffer until the next request begins.
			return false
		}
		select {
		case <-wake:
		case <-closed:
			return false
		}
	}
}
