package standin

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sort"
	"strings"
	"sync"
	"time"
)

// Fencing modes of an engine.
const (
	FencingRefuses = "refuses"
	FencingIgnores = "ignores"
)

// EngineOptions configure a stand-in engine. A zero field has the default.
type EngineOptions struct {
	Address string // default 127.0.0.1:0
	Control string // address of the HTTP control, default 127.0.0.1:0
	Model   string // default "model"
	Version string // default "v1"

	// Step is the time of one decode step with one request; 5 ms.
	Step time.Duration
	// StepPerRequest is added for each further request in the batch; 1% of
	// Step.
	StepPerRequest time.Duration
	// Prefill is the time for one uncached prompt token; 20 us.
	Prefill time.Duration
	// PrefillChunk bounds the prompt tokens computed in one step, so that a
	// long prompt delays running requests by little; 512.
	PrefillChunk int
	// MaxBatch is the number of requests that run at once; 32.
	MaxBatch int
	// MaxWaiting refuses requests with 429 once so many wait; 0 is unlimited.
	MaxWaiting int
	// MemoryBytes is the memory for held requests; the engine crashes when
	// they outgrow it. 4 GiB.
	MemoryBytes int64
	// BytesPerToken is held for each prompt and output token; 16 KiB.
	BytesPerToken int64
	// CacheTokens is the capacity of the prompt prefix cache; 16384. Negative
	// switches the cache off.
	CacheTokens int
	// CacheDelay is how late cache events are published; 200 ms.
	CacheDelay time.Duration
	// CacheGap drops every CacheGap-th cache event; 0 drops none.
	CacheGap int
	// LoadInterval is how often a load report is made; 50 ms.
	LoadInterval time.Duration
	// LoadLag is how late a load report is published; 100 ms.
	LoadLag time.Duration
	// Retention is how long a finished generation can be resumed; 30 s.
	Retention time.Duration
	// RetainTokens is how many of its last tokens a generation keeps for
	// resumption; 65536.
	RetainTokens int
	// DefaultMaxTokens is used by requests without max_tokens; 256.
	DefaultMaxTokens int
	// Fencing is FencingRefuses or FencingIgnores; default FencingRefuses.
	Fencing string
	// OrderTime is how long the engine refuses requests after an order that
	// changed its version, while it loads the weights.
	VersionLoadTime time.Duration
	// NoPriorities makes the engine serve waiting requests in order of arrival.
	NoPriorities bool
	// Faults are in force from the start.
	Faults EngineFaults
	// Died is called once the engine has died of a fault. It must not call
	// Close, which waits for the goroutine that it is called from.
	OnCrash func(reason string)
}

func (o *EngineOptions) defaults() {
	def(&o.Address, loopback)
	def(&o.Control, loopback)
	def(&o.Model, "model")
	def(&o.Version, "v1")
	def(&o.Step, 5*time.Millisecond)
	def(&o.StepPerRequest, o.Step/100)
	def(&o.Prefill, 20*time.Microsecond)
	def(&o.PrefillChunk, 512)
	def(&o.MaxBatch, 32)
	def(&o.MemoryBytes, 4<<30)
	def(&o.BytesPerToken, 16<<10)
	def(&o.CacheTokens, 16384)
	def(&o.CacheDelay, 200*time.Millisecond)
	def(&o.LoadInterval, 50*time.Millisecond)
	def(&o.LoadLag, 100*time.Millisecond)
	def(&o.Retention, 30*time.Second)
	def(&o.RetainTokens, 65536)
	def(&o.DefaultMaxTokens, 256)
	def(&o.Fencing, FencingRefuses)
}

func def[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// EngineStats are counters since the stand-in was started. They survive a
// restart after a fault.
type EngineStats struct {
	Requests  int64 `json:"requests"`
	Refused   int64 `json:"refused"`
	Failed    int64 `json:"failed"`
	Resumed   int64 `json:"resumed"`
	Cancelled int64 `json:"cancelled"`
	Finished  int64 `json:"finished"`
	Crashes   int64 `json:"crashes"`
	// Generated tokens were computed by decoding.
	Generated int64 `json:"generated"`
	// Prefilled tokens of prompts and prefixes were computed, Cached ones were
	// found in the cache.
	Prefilled int64 `json:"prefilled"`
	Cached    int64 `json:"cached"`
	// PrefilledAgain is the part of Prefilled that belongs to prefixes of
	// continuations: tokens that another engine had computed before.
	PrefilledAgain int64 `json:"prefilled_again"`
	// BadPrefixes are continuations whose prefix is not what this engine would
	// have answered, for example because another version made it.
	BadPrefixes int64 `json:"bad_prefixes"`
	// RequestsByVersion counts accepted requests.
	RequestsByVersion map[string]int64 `json:"requests_by_version"`
	Running           int              `json:"running"`
	Waiting           int              `json:"waiting"`
	HeldBytes         int64            `json:"held_bytes"`
	PeakHeldBytes     int64            `json:"peak_held_bytes"`
	Version           string           `json:"version"`
	Fence             uint64           `json:"fence"`
	Incarnation       string           `json:"incarnation"`
	Alive             bool             `json:"alive"`
	LastCrash         string           `json:"last_crash,omitempty"`
}

// EngineLoad is the load report that GET /load returns.
type EngineLoad struct {
	At          time.Time `json:"at"`
	Running     int       `json:"running"`
	Waiting     int       `json:"waiting"`
	HeldBytes   int64     `json:"held_bytes"`
	MemoryBytes int64     `json:"memory_bytes"`
	Version     string    `json:"version"`
	Leaving     bool      `json:"leaving"`
	Incarnation string    `json:"incarnation"`
	CacheSeq    uint64    `json:"cache_seq"`
}

// Engine is a running stand-in engine.
type Engine struct {
	controlled
	o   EngineOptions
	srv *server

	// lifecycle is held while the engine starts or dies, so that one does not
	// overtake the other. It is locked before mu.
	lifecycle sync.Mutex

	mu      sync.Mutex
	faults  EngineFaults
	version string
	loading time.Time // requests are refused until then
	fence   uint64
	stats   EngineStats
	// life ends when the engine dies; it is nil while dead.
	life   context.Context
	cancel context.CancelFunc
	// wake has room for one signal to the scheduler.
	wake    chan struct{}
	gens    map[string]*generation
	waiting []*generation
	running []*generation
	arrival uint64
	cache   *prefixCache
	loads   []EngineLoad
	// generatedSince counts tokens for DieAfterTokens and PauseAfterTokens.
	generatedSince int64
	// accepted counts requests of the current version for BadVersion.
	accepted map[string]int
	wg       sync.WaitGroup
}

// generation is one request that the engine holds or has finished.
type generation struct {
	id       string
	text     AnswerText
	version  string
	route    string
	asked    string   // the whole prompt
	words    []string // prompt and prefix, for the cache
	prompt   int      // number of prompt words
	start    int      // index of the first token it makes
	n        int      // index of the next token
	max      int
	stop     int // index at which the answer stops by itself, or -1
	priority int
	arrival  uint64
	poison   bool

	prefillLeft int
	finish      string // finish reason; "" while it runs
	end         string // how the stream ends without a finish reason
	finishedAt  time.Time
	changed     chan struct{}
}

// Ways for a stream to end without a finish reason.
const (
	endCancelled = "cancelled"
	endTruncated = "truncated"
	endError     = "error"
)

func (g *generation) over() bool { return g.finish != "" || g.end != "" }

// signal wakes the connections that follow the generation.
func (g *generation) signal() {
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *generation) heldTokens() int {
	return len(g.words) + g.n - g.start
}

// StartEngine starts a stand-in engine. It runs until Close or the end of ctx.
func StartEngine(ctx context.Context, o EngineOptions) (*Engine, error) {
	o.defaults()
	e := &Engine{o: o, faults: o.Faults, version: o.Version, wake: make(chan struct{}, 1)}
	e.stats.RequestsByVersion = map[string]int64{}
	e.srv = newServer(e.routes())
	if err := e.Start(); err != nil {
		return nil, err
	}
	var err error
	if e.controlled, err = startControl(o.Control, e.controlRoutes); err != nil {
		e.Stop()
		e.srv.close()
		return nil, err
	}
	context.AfterFunc(ctx, e.Close)
	return e, nil
}

// Address is the HOST:PORT of the engine.
func (e *Engine) Address() string { return e.srv.address() }

// Close ends the engine and its control.
func (e *Engine) Close() {
	e.Stop()
	e.srv.close()
	e.control.close()
	e.wg.Wait()
}

// Start starts an engine that has died, at the same address, without any
// generation and with a new incarnation. It does nothing on a live engine.
func (e *Engine) Start() error {
	e.lifecycle.Lock()
	defer e.lifecycle.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life != nil {
		return nil
	}
	id := make([]byte, 8)
	_, _ = rand.Read(id)
	e.life, e.cancel = context.WithCancel(context.Background())
	e.gens = map[string]*generation{}
	e.waiting, e.running, e.loads = nil, nil, nil
	e.generatedSince = 0
	e.fence = 0
	e.accepted = map[string]int{}
	e.stats.Incarnation = hex.EncodeToString(id)
	e.cache = newPrefixCache(e.o.CacheTokens, e.o.CacheDelay, e.o.CacheGap)
	e.report(time.Now())
	if err := e.srv.start(e.o.Address); err != nil {
		e.cancel()
		e.life = nil
		return err
	}
	e.wg.Add(2)
	go e.schedule(e.life)
	go e.publish(e.life)
	return nil
}

// Stop resets all connections and makes the address refuse. All generations
// are lost.
func (e *Engine) Stop() { e.stopLife("") }

// Crash is Stop after a fault: it counts as a crash and calls Died.
func (e *Engine) Crash(reason string) { e.stopLife(reason) }

func (e *Engine) stopLife(crash string) {
	if e.endLife(crash) && crash != "" && e.o.OnCrash != nil {
		e.o.OnCrash(crash)
	}
}

// endLife reports whether the engine was alive.
func (e *Engine) endLife(crash string) bool {
	e.lifecycle.Lock()
	defer e.lifecycle.Unlock()
	e.mu.Lock()
	if e.life == nil {
		e.mu.Unlock()
		return false
	}
	e.cancel()
	e.life = nil
	e.faults.DieAfterTokens = 0
	if crash != "" {
		e.stats.Crashes++
		e.stats.LastCrash = crash
	}
	e.mu.Unlock()
	e.srv.stop()
	return true
}

// Stats returns the counters.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.RequestsByVersion = map[string]int64{}
	for v, n := range e.stats.RequestsByVersion {
		s.RequestsByVersion[v] = n
	}
	s.Version, s.Fence, s.Alive = e.version, e.fence, e.life != nil
	if s.Alive {
		s.Running, s.Waiting, s.HeldBytes = len(e.running), len(e.waiting), e.held()
	}
	return s
}

// HeldPrompts returns the prompts of the requests that wait or run now, so that
// an experiment knows which requests a fault hits.
func (e *Engine) HeldPrompts() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]string, 0, len(e.waiting)+len(e.running))
	for _, g := range e.waiting {
		out = append(out, g.asked)
	}
	for _, g := range e.running {
		out = append(out, g.asked)
	}
	return out
}

// held returns the memory of waiting and running requests in bytes.
func (e *Engine) held() int64 {
	tokens := 0
	for _, g := range e.waiting {
		tokens += g.heldTokens()
	}
	for _, g := range e.running {
		tokens += g.heldTokens()
	}
	return int64(tokens) * e.o.BytesPerToken
}

// checkMemory returns why the engine crashes, or "".
func (e *Engine) checkMemory() string {
	held := e.held()
	e.stats.PeakHeldBytes = max(e.stats.PeakHeldBytes, held)
	if held > e.o.MemoryBytes {
		return "out of memory"
	}
	return ""
}

// schedule runs the batch until the engine dies.
func (e *Engine) schedule(life context.Context) {
	defer e.wg.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
	var due time.Time
	for {
		if gate := e.srv.gate(); gate != nil {
			select {
			case <-gate:
			case <-life.Done():
				return
			}
			due = time.Time{}
			continue
		}
		d := e.admit(life)
		if d == 0 {
			select {
			case <-e.wake:
			case <-life.Done():
				return
			}
			due = time.Time{}
			continue
		}
		// Steps follow each other from the time the last one was due, so that
		// late timers do not slow the engine down.
		now := time.Now()
		if due.IsZero() || now.Sub(due) > d {
			due = now
		}
		due = due.Add(d)
		timer.Reset(due.Sub(now))
		select {
		case <-timer.C:
		case <-life.Done():
			return
		}
		if e.srv.gate() != nil {
			continue
		}
		if crash := e.step(life); crash != "" {
			e.Crash(crash)
			return
		}
	}
}

// admit fills the batch from the waiting requests and returns the time of the
// next step, or 0 when there is nothing to do.
func (e *Engine) admit(life context.Context) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if life.Err() != nil {
		return 0
	}
	for len(e.running) < e.o.MaxBatch && len(e.waiting) > 0 {
		g := e.waiting[0]
		e.waiting = e.waiting[1:]
		cached := e.cache.lookup(g.words)
		uncached := len(g.words) - cached
		e.stats.Cached += int64(cached)
		e.stats.Prefilled += int64(uncached)
		e.stats.PrefilledAgain += int64(min(uncached, len(g.words)-g.prompt))
		// At least one token is computed, because the first output token needs
		// the state of the last prompt token.
		g.prefillLeft = max(1, uncached)
		e.running = append(e.running, g)
	}
	if len(e.running) == 0 {
		return 0
	}
	prefill, decoding := 0, 0
	for _, g := range e.running {
		if g.prefillLeft > 0 {
			prefill += min(g.prefillLeft, e.o.PrefillChunk-prefill)
		} else {
			decoding++
		}
	}
	d := e.o.Step + time.Duration(max(0, decoding-1))*e.o.StepPerRequest + time.Duration(prefill)*e.o.Prefill
	return time.Duration(float64(d) * e.slowFactor())
}

// step computes one token for each decoding request and one chunk of prefill.
func (e *Engine) step(life context.Context) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if life.Err() != nil {
		return ""
	}
	now := time.Now()
	budget := e.o.PrefillChunk
	keep := e.running[:0]
	for _, g := range e.running {
		if g.poison {
			return "ran a request with the crash marker"
		}
	}
	for _, g := range e.running {
		if g.prefillLeft > 0 {
			n := min(g.prefillLeft, budget)
			budget -= n
			g.prefillLeft -= n
			if g.prefillLeft > 0 {
				keep = append(keep, g)
				continue
			}
			// The step that ends the prefill also makes the first token.
			e.cache.insert(g.words, now)
			if g.n >= g.limit() {
				e.finish(g, now)
				continue
			}
		}
		g.n++
		e.stats.Generated++
		e.generatedSince++
		if g.n >= g.limit() {
			e.finish(g, now)
		} else {
			keep = append(keep, g)
			e.damage(g, now)
		}
		g.signal()
	}
	clear(e.running[len(keep):])
	e.running = keep
	e.running = dropOver(e.running)
	if n := e.faults.PauseAfterTokens; n > 0 && e.generatedSince >= n {
		e.faults.PauseAfterTokens = 0
		e.srv.pause()
	}
	if n := e.faults.DieAfterTokens; n > 0 && e.generatedSince >= n {
		return "fault: died mid-output"
	}
	return e.checkMemory()
}

// limit is the index at which the answer ends.
func (g *generation) limit() int {
	if g.stop >= 0 && g.stop < g.max {
		return g.stop
	}
	return g.max
}

func (e *Engine) finish(g *generation, now time.Time) {
	g.finish = "length"
	if g.stop >= 0 && g.stop <= g.max {
		g.finish = "stop"
	}
	g.finishedAt = now
	e.stats.Finished++
	words := g.words
	for i := g.start; i < g.n; i++ {
		words = append(words, strings.TrimSuffix(g.text.Token(i), " "))
	}
	e.cache.insert(words, now)
	g.words = nil
	g.signal()
}

// endWithout ends a generation without a finish reason.
func (e *Engine) endWithout(g *generation, how string, now time.Time) {
	g.end = how
	g.finishedAt = now
	g.words = nil
	g.signal()
}

func dropOver(gens []*generation) []*generation {
	keep := gens[:0]
	for _, g := range gens {
		if !g.over() {
			keep = append(keep, g)
		}
	}
	clear(gens[len(keep):])
	return keep
}

// expire forgets generations that finished too long ago.
func (e *Engine) expire(now time.Time) {
	for id, g := range e.gens {
		if g.over() && now.Sub(g.finishedAt) > e.o.Retention {
			delete(e.gens, id)
		}
	}
}

// enqueue adds a request to the waiting ones.
func (e *Engine) enqueue(g *generation) {
	e.arrival++
	g.arrival = e.arrival
	e.gens[g.id] = g
	e.waiting = append(e.waiting, g)
	if !e.o.NoPriorities {
		sort.SliceStable(e.waiting, func(i, j int) bool {
			return e.waiting[i].priority < e.waiting[j].priority
		})
	}
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// publish makes load reports until the engine dies.
func (e *Engine) publish(life context.Context) {
	defer e.wg.Done()
	t := time.NewTicker(e.o.LoadInterval)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			if e.srv.gate() != nil {
				continue
			}
			e.mu.Lock()
			if life.Err() == nil {
				e.report(now)
				e.expire(now)
			}
			e.mu.Unlock()
		case <-life.Done():
			return
		}
	}
}

// report records the load of now and drops reports that are no longer needed.
func (e *Engine) report(now time.Time) {
	if e.faults.Load == LoadStale && len(e.loads) > 0 {
		return
	}
	e.loads = append(e.loads, EngineLoad{
		At: now, Running: len(e.running), Waiting: len(e.waiting), HeldBytes: e.held(),
		MemoryBytes: e.o.MemoryBytes, Version: e.version, Leaving: e.faults.Leaving != "",
		Incarnation: e.stats.Incarnation, CacheSeq: e.cache.published(now),
	})
	for len(e.loads) > 1 && now.Sub(e.loads[1].At) >= e.o.LoadLag {
		e.loads = e.loads[1:]
	}
}

// load returns the newest report that is old enough.
func (e *Engine) load(now time.Time) EngineLoad {
	l := e.loads[0]
	for _, r := range e.loads[1:] {
		if now.Sub(r.At) >= e.o.LoadLag {
			l = r
		}
	}
	return l
}
