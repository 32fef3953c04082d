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
	FencingRefuses = "refuses" // refuses orders with a fencing number below the highest seen
	FencingIgnores = "ignores" // carries out every order
)

// EngineOptions configure a stand-in engine. A zero field takes its default.
type EngineOptions struct {
	Address string // default 127.0.0.1:0
	Control string // address of the HTTP control, default 127.0.0.1:0
	Model   string // default "model"
	Version string // default "v1"

	// Step is the time of one decode step with one request; default 5 ms.
	Step time.Duration
	// StepPerRequest is added to a step for each further decoding request in
	// the batch; default 1% of Step.
	StepPerRequest time.Duration
	// Prefill is the time for one uncached prompt token; default 20 us.
	Prefill time.Duration
	// PrefillChunk bounds the prompt tokens computed in one step, so that a
	// long prompt delays running requests only a little; default 512.
	PrefillChunk int
	// MaxBatch is the largest number of requests that run at once; default 32.
	MaxBatch int
	// MaxWaiting is the number of waiting requests from which on further ones
	// are refused with 429; 0 is unlimited.
	MaxWaiting int
	// MemoryBytes is the memory for held requests; the engine crashes when
	// they exceed it. Default 4 GiB.
	MemoryBytes int64
	// BytesPerToken is the memory held for each prompt and output token;
	// default 16 KiB.
	BytesPerToken int64
	// CacheTokens is the capacity of the prompt prefix cache; default 16384.
	// A negative value switches the cache off.
	CacheTokens int
	// CacheDelay is the delay with which cache events are published; default
	// 200 ms.
	CacheDelay time.Duration
	// CacheGap drops every CacheGap-th cache event; 0 drops none.
	CacheGap int
	// LoadInterval is the time between load reports; default 50 ms.
	LoadInterval time.Duration
	// LoadLag is the delay with which a load report is published; default
	// 100 ms.
	LoadLag time.Duration
	// Retention is how long a finished generation can be resumed; default 30 s.
	Retention time.Duration
	// RetainTokens is how many of its last tokens a generation keeps for
	// resumption; default 65536.
	RetainTokens int
	// DefaultMaxTokens applies to requests without max_tokens; default 256.
	DefaultMaxTokens int
	// Fencing is FencingRefuses or FencingIgnores; default FencingRefuses.
	Fencing string
	// VersionLoadTime is how long the engine refuses requests after an order that
	// changed its version, while it loads the weights.
	VersionLoadTime time.Duration
	// NoPriorities makes the engine ignore priorities and run waiting requests
	// in order of arrival.
	NoPriorities bool
	// Faults are in force from the start.
	Faults EngineFaults
	// OnCrash is called after the engine has died of a fault. It must not call
	// Close, because Close may wait for the goroutine that runs OnCrash.
	OnCrash func(reason string)
}

func (o *EngineOptions) defaults() {
	setDefault(&o.Address, loopback)
	setDefault(&o.Control, loopback)
	setDefault(&o.Model, "model")
	setDefault(&o.Version, "v1")
	setDefault(&o.Step, 5*time.Millisecond)
	setDefault(&o.StepPerRequest, o.Step/100)
	setDefault(&o.Prefill, 20*time.Microsecond)
	setDefault(&o.PrefillChunk, 512)
	setDefault(&o.MaxBatch, 32)
	setDefault(&o.MemoryBytes, 4<<30)
	setDefault(&o.BytesPerToken, 16<<10)
	setDefault(&o.CacheTokens, 16384)
	setDefault(&o.CacheDelay, 200*time.Millisecond)
	setDefault(&o.LoadInterval, 50*time.Millisecond)
	setDefault(&o.LoadLag, 100*time.Millisecond)
	setDefault(&o.Retention, 30*time.Second)
	setDefault(&o.RetainTokens, 65536)
	setDefault(&o.DefaultMaxTokens, 256)
	setDefault(&o.Fencing, FencingRefuses)
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// EngineStats are the counters since the stand-in was first started and its
// present state. The counters survive a restart after a fault.
type EngineStats struct {
	Requests  int64 `json:"requests"`
	Refused   int64 `json:"refused"`
	Failed    int64 `json:"failed"`
	Resumed   int64 `json:"resumed"`
	Cancelled int64 `json:"cancelled"`
	Finished  int64 `json:"finished"`
	Crashes   int64 `json:"crashes"`
	// Generated counts tokens that were computed by decoding.
	Generated int64 `json:"generated"`
	// Prefilled counts tokens of prompts and prefixes that were computed,
	// Cached those that were found in the cache.
	Prefilled int64 `json:"prefilled"`
	Cached    int64 `json:"cached"`
	// PrefilledAgain is the part of Prefilled that belongs to prefixes of
	// continuations: tokens that another engine had computed before.
	PrefilledAgain int64 `json:"prefilled_again"`
	// BadPrefixes counts continuations whose prefix is not what this engine
	// would have answered, for example because another version generated it.
	BadPrefixes int64 `json:"bad_prefixes"`
	// RequestsByVersion counts accepted requests by engine version.
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
	controlEndpoint
	o   EngineOptions
	srv *server

	// lifecycleMu serializes starts and stops of the engine. It is locked
	// before mu.
	lifecycleMu sync.Mutex

	mu           sync.Mutex
	faults       EngineFaults
	version      string
	loadingUntil time.Time // requests are refused until then
	fence        uint64
	stats        EngineStats
	// runCtx ends when the engine stops or dies; it is nil until the next
	// start.
	runCtx context.Context
	cancel context.CancelFunc
	// wake wakes the scheduler; its buffer holds one pending signal.
	wake        chan struct{}
	generations map[string]*generation
	waiting     []*generation
	running     []*generation
	lastArrival uint64
	cache       *prefixCache
	loadReports []EngineLoad
	// generatedSinceFaults counts the tokens generated since the engine started
	// or its faults were set, for DieAfterTokens and PauseAfterTokens.
	generatedSinceFaults int64
	// acceptedByVersion counts the requests accepted since the last start, for
	// BadVersion.AfterRequests.
	acceptedByVersion map[string]int
	wg                sync.WaitGroup
}

// generation is one request that the engine holds or has finished.
type generation struct {
	id            string
	text          AnswerText
	version       string
	route         string
	prompt        string   // without the prefix of a continuation
	words         []string // prompt and prefix, for the cache
	promptTokens  int      // number of prompt words
	firstToken    int      // index of the first token to generate
	nextToken     int      // index of the next token to generate
	maxTokens     int      // index at which the answer ends at the latest
	stopAt        int      // index at which the answer ends with reason "stop", or -1
	priority      int
	arrival       uint64
	crashesEngine bool

	prefillLeft  int    // tokens of prompt and prefix still to be computed
	finishReason string // "" while it runs
	abnormalEnd  string // how it ended without a finish reason, or ""
	finishedAt   time.Time
	changed      chan struct{} // closed at the next change
}

// Values of generation.abnormalEnd: ways to end without a finish reason.
const (
	endCancelled = "cancelled"
	endTruncated = "truncated"
	endError     = "error"
)

func (g *generation) ended() bool { return g.finishReason != "" || g.abnormalEnd != "" }

// signal wakes the connections that wait for changes of the generation.
func (g *generation) signal() {
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *generation) heldTokens() int {
	return len(g.words) + g.nextToken - g.firstToken
}

// StartEngine starts a stand-in engine, which runs until Close or the end of
// ctx.
func StartEngine(ctx context.Context, o EngineOptions) (*Engine, error) {
	o.defaults()
	e := &Engine{o: o, faults: o.Faults, version: o.Version, wake: make(chan struct{}, 1)}
	e.stats.RequestsByVersion = map[string]int64{}
	e.srv = newServer(e.routes())
	if err := e.Start(); err != nil {
		return nil, err
	}
	var err error
	if e.controlEndpoint, err = startControl(o.Control, e.controlRoutes); err != nil {
		e.Stop()
		e.srv.close()
		return nil, err
	}
	context.AfterFunc(ctx, e.Close)
	return e, nil
}

// Address is the HOST:PORT of the engine.
func (e *Engine) Address() string { return e.srv.address() }

// Close stops the engine and its control listener.
func (e *Engine) Close() {
	e.Stop()
	e.srv.close()
	e.control.close()
	e.wg.Wait()
}

// Start starts a dead engine again at the same address, without any generation
// and with a new incarnation. It does nothing on a live engine.
func (e *Engine) Start() error {
	e.lifecycleMu.Lock()
	defer e.lifecycleMu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runCtx != nil {
		return nil
	}
	id := make([]byte, 8)
	_, _ = rand.Read(id)
	e.runCtx, e.cancel = context.WithCancel(context.Background())
	e.generations = map[string]*generation{}
	e.waiting, e.running, e.loadReports = nil, nil, nil
	e.generatedSinceFaults = 0
	e.fence = 0
	e.acceptedByVersion = map[string]int{}
	e.stats.Incarnation = hex.EncodeToString(id)
	e.cache = newPrefixCache(e.o.CacheTokens, e.o.CacheDelay, e.o.CacheGap)
	e.recordLoad(time.Now())
	if err := e.srv.start(e.o.Address); err != nil {
		e.cancel()
		e.runCtx = nil
		return err
	}
	e.wg.Add(2)
	go e.schedule(e.runCtx)
	go e.reportLoadPeriodically(e.runCtx)
	return nil
}

// Stop resets all connections and makes the address refuse new ones. All
// generations are lost.
func (e *Engine) Stop() { e.shutDown("") }

// Crash stops the engine as Stop does, and also counts a crash for the given
// reason and calls OnCrash.
func (e *Engine) Crash(reason string) { e.shutDown(reason) }

func (e *Engine) shutDown(crashReason string) {
	if e.terminate(crashReason) && crashReason != "" && e.o.OnCrash != nil {
		e.o.OnCrash(crashReason)
	}
}

// terminate stops the engine, and counts a crash if the reason isn't empty. It
// reports whether the engine was alive.
func (e *Engine) terminate(crashReason string) bool {
	e.lifecycleMu.Lock()
	defer e.lifecycleMu.Unlock()
	e.mu.Lock()
	if e.runCtx == nil {
		e.mu.Unlock()
		return false
	}
	e.cancel()
	e.runCtx = nil
	e.faults.DieAfterTokens = 0
	if crashReason != "" {
		e.stats.Crashes++
		e.stats.LastCrash = crashReason
	}
	e.mu.Unlock()
	e.srv.stop()
	return true
}

// Stats returns the counters and the present state.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.RequestsByVersion = map[string]int64{}
	for v, n := range e.stats.RequestsByVersion {
		s.RequestsByVersion[v] = n
	}
	s.Version, s.Fence, s.Alive = e.version, e.fence, e.runCtx != nil
	if s.Alive {
		s.Running, s.Waiting, s.HeldBytes = len(e.running), len(e.waiting), e.heldBytes()
	}
	return s
}

// HeldPrompts returns the prompts of the requests that are waiting or running,
// so that an experiment knows which requests a fault affects. A dead engine
// returns those that it held when it died, until it is started again.
func (e *Engine) HeldPrompts() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]string, 0, len(e.waiting)+len(e.running))
	for _, g := range e.waiting {
		out = append(out, g.prompt)
	}
	for _, g := range e.running {
		out = append(out, g.prompt)
	}
	return out
}

// heldBytes returns the memory of waiting and running requests in bytes.
func (e *Engine) heldBytes() int64 {
	tokens := 0
	for _, g := range e.waiting {
		tokens += g.heldTokens()
	}
	for _, g := range e.running {
		tokens += g.heldTokens()
	}
	return int64(tokens) * e.o.BytesPerToken
}

// checkMemory updates the peak of held memory. It returns the crash reason if
// the held requests exceed the memory, else "".
func (e *Engine) checkMemory() string {
	held := e.heldBytes()
	e.stats.PeakHeldBytes = max(e.stats.PeakHeldBytes, held)
	if held > e.o.MemoryBytes {
		return "out of memory"
	}
	return ""
}

// schedule runs the steps of the batch until the engine stops or dies.
func (e *Engine) schedule(runCtx context.Context) {
	defer e.wg.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
	var stepDue time.Time
	for {
		if resumed := e.srv.pauseDone(); resumed != nil {
			select {
			case <-resumed:
			case <-runCtx.Done():
				return
			}
			stepDue = time.Time{}
			continue
		}
		stepTime := e.admit(runCtx)
		if stepTime == 0 {
			select {
			case <-e.wake:
			case <-runCtx.Done():
				return
			}
			stepDue = time.Time{}
			continue
		}
		// A step is due one step time after the previous one was due, not after
		// it ran, so that late timers do not slow the engine down.
		now := time.Now()
		if stepDue.IsZero() || now.Sub(stepDue) > stepTime {
			stepDue = now
		}
		stepDue = stepDue.Add(stepTime)
		timer.Reset(stepDue.Sub(now))
		select {
		case <-timer.C:
		case <-runCtx.Done():
			return
		}
		if e.srv.pauseDone() != nil {
			continue
		}
		if crashReason := e.step(runCtx); crashReason != "" {
			e.Crash(crashReason)
			return
		}
	}
}

// admit fills the batch from the waiting requests and returns the time of the
// next step, or 0 when there is nothing to do.
func (e *Engine) admit(runCtx context.Context) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if runCtx.Err() != nil {
		return 0
	}
	for len(e.running) < e.o.MaxBatch && len(e.waiting) > 0 {
		g := e.waiting[0]
		e.waiting = e.waiting[1:]
		cached := e.cache.lookup(g.words)
		uncached := len(g.words) - cached
		e.stats.Cached += int64(cached)
		e.stats.Prefilled += int64(uncached)
		e.stats.PrefilledAgain += int64(min(uncached, len(g.words)-g.promptTokens))
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
// It returns the reason if the engine must crash, else "".
func (e *Engine) step(runCtx context.Context) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if runCtx.Err() != nil {
		return ""
	}
	now := time.Now()
	budget := e.o.PrefillChunk
	keep := e.running[:0]
	for _, g := range e.running {
		if g.crashesEngine {
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
			if g.nextToken >= g.endIndex() {
				e.finish(g, now)
				continue
			}
		}
		g.nextToken++
		e.stats.Generated++
		e.generatedSinceFaults++
		if g.nextToken >= g.endIndex() {
			e.finish(g, now)
		} else {
			keep = append(keep, g)
			e.endEarlyIfBad(g, now)
		}
		g.signal()
	}
	clear(e.running[len(keep):])
	e.running = keep
	e.running = removeEnded(e.running)
	if n := e.faults.PauseAfterTokens; n > 0 && e.generatedSinceFaults >= n {
		e.faults.PauseAfterTokens = 0
		e.srv.pause()
	}
	if n := e.faults.DieAfterTokens; n > 0 && e.generatedSinceFaults >= n {
		return "fault: died mid-output"
	}
	return e.checkMemory()
}

// endIndex is the index at which the answer ends.
func (g *generation) endIndex() int {
	if g.stopAt >= 0 && g.stopAt < g.maxTokens {
		return g.stopAt
	}
	return g.maxTokens
}

func (e *Engine) finish(g *generation, now time.Time) {
	g.finishReason = "length"
	if g.stopAt >= 0 && g.stopAt <= g.maxTokens {
		g.finishReason = "stop"
	}
	g.finishedAt = now
	e.stats.Finished++
	words := g.words
	for i := g.firstToken; i < g.nextToken; i++ {
		words = append(words, strings.TrimSuffix(g.text.Token(i), " "))
	}
	e.cache.insert(words, now)
	g.words = nil
	g.signal()
}

// endWithoutFinish ends a generation without a finish reason.
func (e *Engine) endWithoutFinish(g *generation, how string, now time.Time) {
	g.abnormalEnd = how
	g.finishedAt = now
	g.words = nil
	g.signal()
}

// removeEnded filters ended generations out, in place.
func removeEnded(gens []*generation) []*generation {
	keep := gens[:0]
	for _, g := range gens {
		if !g.ended() {
			keep = append(keep, g)
		}
	}
	clear(gens[len(keep):])
	return keep
}

// expire drops generations that ended longer than Retention ago.
func (e *Engine) expire(now time.Time) {
	for id, g := range e.generations {
		if g.ended() && now.Sub(g.finishedAt) > e.o.Retention {
			delete(e.generations, id)
		}
	}
}

// enqueue adds a request to the waiting ones and wakes the scheduler. Unless
// priorities are off, lower priority numbers run first.
func (e *Engine) enqueue(g *generation) {
	e.lastArrival++
	g.arrival = e.lastArrival
	e.generations[g.id] = g
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

// reportLoadPeriodically records load reports until the engine stops or dies.
func (e *Engine) reportLoadPeriodically(runCtx context.Context) {
	defer e.wg.Done()
	t := time.NewTicker(e.o.LoadInterval)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			if e.srv.pauseDone() != nil {
				continue
			}
			e.mu.Lock()
			if runCtx.Err() == nil {
				e.recordLoad(now)
				e.expire(now)
			}
			e.mu.Unlock()
		case <-runCtx.Done():
			return
		}
	}
}

// recordLoad records the present load and drops reports that newer published
// ones have replaced.
func (e *Engine) recordLoad(now time.Time) {
	if e.faults.Load == LoadStale && len(e.loadReports) > 0 {
		return
	}
	e.loadReports = append(e.loadReports, EngineLoad{
		At: now, Running: len(e.running), Waiting: len(e.waiting), HeldBytes: e.heldBytes(),
		MemoryBytes: e.o.MemoryBytes, Version: e.version, Leaving: e.faults.Leaving != "",
		Incarnation: e.stats.Incarnation, CacheSeq: e.cache.published(now),
	})
	for len(e.loadReports) > 1 && now.Sub(e.loadReports[1].At) >= e.o.LoadLag {
		e.loadReports = e.loadReports[1:]
	}
}

// publishedLoad returns the newest report that is at least LoadLag old, or the
// oldest one.
func (e *Engine) publishedLoad(now time.Time) EngineLoad {
	l := e.loadReports[0]
	for _, r := range e.loadReports[1:] {
		if now.Sub(r.At) >= e.o.LoadLag {
			l = r
		}
	}
	return l
}
