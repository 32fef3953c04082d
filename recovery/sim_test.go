package recovery_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gooseberryroad/gooseberryroad/recovery"
)

// sim runs one generation against simulated engines and a simulated caller in virtual
// time.
type sim struct {
	rnd     *rand.Rand
	now     time.Time
	seq     int
	queue   simQueue
	engines []*simEngine
	conns   map[int]*simConn
	g       *recovery.Generation
	check   *checker
	err     error
	ended   bool

	resumes           bool
	total             int
	gap               time.Duration // between tokens
	prefill           time.Duration
	daemonPausedUntil time.Time // the daemon is paused until this time
	noUpstream        bool
	deliveredAt       []time.Time
	windowUsed        int // bytes of text in the caller's window
	stalled           bool
	readable          bool // the caller reads
	windowSize        int
	maxHeld           int
	trace             []string
}

// simItem is a function that runs at a point in virtual time.
type simItem struct {
	at  time.Time
	seq int
	run func()
}

// simQueue orders items by time and then by insertion.
type simQueue []simItem

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simItem)) }
func (q *simQueue) Pop() any {
	old := *q
	it := old[len(old)-1]
	*q = old[:len(old)-1]
	return it
}

type simEngine struct {
	name        string
	version     string
	dead        bool // refuses connections
	vanished    bool // loses all packets without closing connections
	paused      bool
	overloaded  bool // refuses with 429
	generations map[int]*simGen
	deferred    []func() // calls that arrived while paused
}

type simGen struct {
	attempt  int
	version  string
	produced int // index of the next token
	texts    map[int]string
	done     bool
}

type simConn struct {
	attempt, conn int
	e             *simEngine
	next          int
	accepted      bool // the engine accepted the request
	muted         bool
	closed        bool // closed by a CloseConn action
	finalSent     bool // its last event was sent
}

const netDelay = time.Millisecond

var simStart = time.Unix(1_800_000_000, 0)

func newSim(rnd *rand.Rand, engines int) *sim {
	s := &sim{
		rnd: rnd, now: simStart, conns: map[int]*simConn{}, resumes: true, total: 400,
		gap: 29 * time.Millisecond, prefill: 200 * time.Millisecond, windowSize: 16 << 10, readable: true,
	}
	for i := range engines {
		s.engines = append(s.engines, &simEngine{name: fmt.Sprintf("e%d", i), version: "v1", generations: map[int]*simGen{}})
	}
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, simItem{s.now.Add(d), s.seq, run})
}

func (s *sim) request() recovery.Request {
	return recovery.Request{Resumes: s.resumes, Cursors: true, Deadline: simStart.Add(2 * time.Minute)}
}

func (s *sim) begin(r recovery.Request, o recovery.Options) {
	s.check = newChecker(r)
	g, actions := recovery.New(s.now, r, o, s.rnd)
	s.g = g
	s.apply(nil, actions)
}

// run runs the simulation until the generation ends, or sets err if neither an event nor
// a timer is left.
func (s *sim) run() {
	for !s.ended && s.err == nil {
		at, ok := s.g.NextTimer()
		if len(s.queue) > 0 && (!ok || !s.queue[0].at.After(at) || !s.queue[0].at.After(s.daemonPausedUntil)) {
			it := heap.Pop(&s.queue).(simItem)
			s.advance(it.at)
			it.run()
			continue
		}
		if !ok {
			s.err = fmt.Errorf("no event or timer is left before the generation ended")
			return
		}
		s.advance(at)
		s.step(recovery.Tick{})
		if next, ok := s.g.NextTimer(); ok && !s.ended && !next.After(s.now) && s.err == nil {
			s.err = fmt.Errorf("the timer stays at %s after a tick at %s", next, s.now)
		}
	}
}

func (s *sim) advance(at time.Time) {
	if at.Before(s.daemonPausedUntil) {
		at = s.daemonPausedUntil
	}
	if at.After(s.now) {
		s.now = at
	}
}

func (s *sim) step(ev recovery.Event) {
	if s.ended || s.err != nil {
		return
	}
	s.apply(ev, s.g.Step(s.now, ev))
}

func (s *sim) apply(ev recovery.Event, actions []recovery.Action) {
	if _, token := ev.(recovery.Token); !token || len(actions) != 1 {
		s.trace = append(s.trace, fmt.Sprintf("%8s %T%+v -> %+v", s.now.Sub(simStart), ev, ev, actions))
	}
	if err := s.check.after(s.now, ev, actions); err != nil {
		s.err = err
		return
	}
	s.maxHeld = max(s.maxHeld, s.g.BacklogSize()+s.windowUsed)
	s.ended = s.check.ended
	for _, a := range actions {
		s.carryOut(a)
	}
	if !s.stalled && s.windowUsed > s.windowSize {
		s.stalled = true
		s.step(recovery.CallerStalled{})
	}
}

func (s *sim) carryOut(a recovery.Action) {
	switch a := a.(type) {
	case recovery.Place:
		s.after(0, func() { s.place(a) })
	case recovery.Start:
		s.dial(a.Attempt, a.Conn, a.Upstream, func(c *simConn) {
			if c.e.overloaded {
				s.post(c, recovery.Refused{Attempt: a.Attempt, Conn: a.Conn, Status: 429, RetryAfter: 2 * time.Second, NotRun: true})
				return
			}
			g := &simGen{attempt: a.Attempt, version: c.e.version, produced: a.PrefixTokens, texts: map[int]string{}}
			c.e.generations[a.Attempt] = g
			c.next, c.accepted = a.PrefixTokens, true
			s.post(c, recovery.Opened{Attempt: a.Attempt, Conn: a.Conn})
			s.after(s.prefill, func() { s.produce(c.e, g) })
		})
	case recovery.Resume:
		s.dial(a.Attempt, a.Conn, a.Upstream, func(c *simConn) {
			g := c.e.generations[a.Attempt]
			if g == nil {
				s.post(c, recovery.UnknownGeneration{Attempt: a.Attempt, Conn: a.Conn})
				return
			}
			c.next, c.accepted = a.After, true
			s.post(c, recovery.Opened{Attempt: a.Attempt, Conn: a.Conn})
			s.flush(c, g)
		})
	case recovery.CloseConn:
		// Events of the connection that are in flight may still arrive.
		s.after(5*time.Millisecond, func() { s.conns[a.Conn].closed = true })
	case recovery.CancelAttempt:
		e := s.engine(a.Upstream)
		s.whenReachable(e, func() { delete(e.generations, a.Attempt) })
	case recovery.Deliver:
		s.deliveredAt = append(s.deliveredAt, s.now)
		s.windowUsed += len(a.Text)
		if s.readable {
			s.windowUsed = 0
		}
	}
}

func (s *sim) engine(name string) *simEngine {
	i := slices.IndexFunc(s.engines, func(e *simEngine) bool { return e.name == name })
	return s.engines[i]
}

func (s *sim) place(a recovery.Place) {
	var candidates []*simEngine
	gone := true
	for _, e := range s.engines {
		if a.Version != "" && e.version != a.Version {
			continue
		}
		gone = false
		if !slices.Contains(a.Exclude, e.name) {
			candidates = append(candidates, e)
		}
	}
	if s.noUpstream || len(candidates) == 0 {
		s.step(recovery.NoUpstream{Attempt: a.Attempt, VersionGone: gone && a.Version != ""})
		return
	}
	e := candidates[s.rnd.IntN(len(candidates))]
	s.step(recovery.Placed{Attempt: a.Attempt, Upstream: e.name, Version: e.version})
}

// whenReachable runs f after the network delay, or at the end of the engine's pause. It
// never runs f if the engine is lost.
func (s *sim) whenReachable(e *simEngine, f func()) {
	s.after(netDelay, func() {
		if e.paused {
			e.deferred = append(e.deferred, f)
		} else if !e.dead && !e.vanished {
			f()
		}
	})
}

func (s *sim) dial(attempt, conn int, upstream string, f func(*simConn)) {
	e := s.engine(upstream)
	c := &simConn{attempt: attempt, conn: conn, e: e}
	s.conns[conn] = c
	if e.dead {
		s.after(netDelay, func() { s.post(c, recovery.Broken{Attempt: attempt, Conn: conn, NotRun: true}) })
		return
	}
	s.whenReachable(e, func() { f(c) })
}

// post sends an event of a connection to the Generation after the network delay. Later
// events are dropped once the connection's last event was posted.
func (s *sim) post(c *simConn, ev recovery.Event) {
	if c.finalSent {
		return
	}
	switch ev.(type) {
	case recovery.Broken, recovery.Refused, recovery.UnknownGeneration, recovery.Finished:
		c.finalSent = true
	}
	s.after(netDelay, func() {
		if !c.muted && !c.closed {
			s.step(ev)
		}
	})
}

func (s *sim) produce(e *simEngine, g *simGen) {
	if e.generations[g.attempt] != g || e.dead {
		return
	}
	if e.paused {
		e.deferred = append(e.deferred, func() { s.produce(e, g) })
		return
	}
	if g.produced < s.total {
		g.texts[g.produced] = fmt.Sprintf("%s.%d.%d ", g.version, g.attempt, g.produced)
		g.produced++
		jitter := time.Duration(s.rnd.Int64N(int64(s.gap)/2 + 1))
		s.after(s.gap*3/4+jitter, func() { s.produce(e, g) })
	} else {
		g.done = true
	}
	for _, n := range s.connNumbers() {
		if c := s.conns[n]; c.e == e && c.attempt == g.attempt {
			s.flush(c, g)
		}
	}
}

func (s *sim) connNumbers() []int {
	var ns []int
	for n := range s.conns {
		ns = append(ns, n)
	}
	slices.Sort(ns)
	return ns
}

func (s *sim) flush(c *simConn, g *simGen) {
	if !c.accepted || c.closed || c.finalSent || c.e.vanished {
		return
	}
	for ; c.next < g.produced; c.next++ {
		s.post(c, recovery.Token{Attempt: c.attempt, Conn: c.conn, Index: c.next, Text: g.texts[c.next]})
	}
	if g.done {
		s.post(c, recovery.Finished{Attempt: c.attempt, Conn: c.conn, Reason: "stop"})
	}
}

// The functions below inject faults.

func (s *sim) crash(e *simEngine) {
	e.dead, e.paused, e.deferred = true, false, nil
	e.generations = map[int]*simGen{}
	for _, n := range s.connNumbers() {
		if c := s.conns[n]; c.e == e && !c.closed {
			s.post(c, recovery.Broken{Attempt: c.attempt, Conn: c.conn})
		}
	}
}

func (s *sim) vanish(e *simEngine) { e.vanished = true }

func (s *sim) pause(e *simEngine, d time.Duration) {
	if e.paused || e.dead {
		return
	}
	e.paused = true
	s.after(d, func() {
		if !e.paused {
			return
		}
		e.paused = false
		deferred := e.deferred
		e.deferred = nil
		for _, f := range deferred {
			if !e.dead {
				f()
			}
		}
	})
}

func (s *sim) restart(e *simEngine) {
	s.crash(e)
	s.after(300*time.Millisecond, func() { e.dead = false })
}

func (s *sim) openConns() []*simConn {
	var out []*simConn
	for _, n := range s.connNumbers() {
		if c := s.conns[n]; !c.closed && !c.finalSent {
			out = append(out, c)
		}
	}
	return out
}

func (s *sim) mute() {
	for _, c := range s.openConns() {
		c.muted = true
	}
}

func (s *sim) breakConns() {
	for _, c := range s.openConns() {
		s.post(c, recovery.Broken{Attempt: c.attempt, Conn: c.conn})
	}
}

func (s *sim) pauseDaemon(d time.Duration) { s.daemonPausedUntil = s.now.Add(d) }

func (s *sim) stall(d time.Duration) {
	s.readable = false
	s.after(d, func() { s.readable = true; s.read() })
}

func (s *sim) read() {
	if !s.readable {
		return
	}
	s.windowUsed = 0
	if s.stalled {
		s.stalled = false
		s.step(recovery.CallerReading{Room: s.windowSize})
		if s.g.Stalled() {
			s.stalled = true
			s.after(10*time.Millisecond, s.read)
		}
	}
}
