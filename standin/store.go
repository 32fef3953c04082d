package standin

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
)

// StoreOptions configure a stand-in key-value store. A zero field takes its
// default; the default rates are those of the platform's service.
type StoreOptions struct {
	Address string // default 127.0.0.1:0
	Control string // address of the HTTP control, default 127.0.0.1:0
	// WritesPerSecond and ReadsPerSecond are the rates above which calls are
	// refused with 429; defaults 300 and 2000, negative is unlimited. A watch
	// counts as one call however long it waits, and so does a transaction.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// MaxValueBytes is the largest size of a value; default 1 MiB.
	MaxValueBytes int
	// MaxTxnBytes is the largest body of a transaction; default 4 MiB.
	MaxTxnBytes int
	// Faults are in force from the start.
	Faults StoreFaults
}

func (o *StoreOptions) defaults() {
	setDefault(&o.Address, loopback)
	setDefault(&o.Control, loopback)
	setDefault(&o.WritesPerSecond, 300)
	setDefault(&o.ReadsPerSecond, 2000)
	setDefault(&o.MaxValueBytes, 1<<20)
	setDefault(&o.MaxTxnBytes, 4<<20)
}

// Ways for the store and the VM list to be down.
const (
	DownRefuses = "refuses" // the address refuses and connections are reset
	DownErrors  = "errors"  // calls are answered with 500 and take no effect
	DownHangs   = "hangs"   // calls are never answered and take no effect
)

// StoreFaults are the active faults of a store. POST /control/faults
// replaces them.
type StoreFaults struct {
	// Down is DownRefuses, DownErrors, DownHangs or empty.
	Down string `json:"down,omitempty"`
	// Slow delays each call before it takes effect. A write takes effect even
	// if its caller has disconnected by then.
	Slow Duration `json:"slow,omitempty"`
	// LoseAnswers resets the connection of the next n writes after the write
	// took effect; negative loses all.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// LoseCalls resets the connection of the next n writes before the write
	// takes effect; negative loses all.
	LoseCalls int `json:"lose_calls,omitempty"`
	// FreezeWatches keeps all watches from returning, also those that are
	// waiting when it is set. Frozen watches stay frozen after it is cleared.
	FreezeWatches bool `json:"freeze_watches,omitempty"`
}

// StoreStats count calls by kind, and give the current numbers of waiting
// watches and of keys and the current index.
type StoreStats struct {
	Gets    int64 `json:"gets"`
	Lists   int64 `json:"lists"`
	Watches int64 `json:"watches"`
	Puts    int64 `json:"puts"`
	Deletes int64 `json:"deletes"`
	Txns    int64 `json:"txns"`
	// TxnOps counts the operations of all transactions.
	TxnOps int64 `json:"txn_ops"`
	// Conflicts counts writes that compare-and-swap refused and transactions
	// that failed.
	Conflicts   int64  `json:"conflicts"`
	RateLimited int64  `json:"rate_limited"`
	Waiting     int    `json:"waiting"`
	Keys        int    `json:"keys"`
	Index       uint64 `json:"index"`
}

// Calls returns the number of all calls.
func (s StoreStats) Calls() int64 {
	return s.Gets + s.Lists + s.Watches + s.Puts + s.Deletes + s.Txns
}

// Store is a running stand-in key-value store.
type Store struct {
	controlEndpoint
	o   StoreOptions
	srv *server

	mu            sync.Mutex
	faults        StoreFaults
	watchesFrozen chan struct{} // closed when watches freeze
	index         uint64
	entries       map[string]*kvEntry
	deleted       map[string]uint64 // index of deletion by key
	waiters       map[*waiter]struct{}
	stats         StoreStats
	// taken is the last copy that was taken through the control; nil for none.
	taken      *Copy
	writeLimit tokenBucket
	readLimit  tokenBucket
}

// kvEntry is an entry in the JSON form of the published API.
type kvEntry struct {
	LockIndex   uint64
	Key         string
	Flags       uint64
	Value       []byte
	CreateIndex uint64
	ModifyIndex uint64
}

// waiter is a watch that waits for a change of a matching key.
type waiter struct {
	match func(key string) bool
	woken chan struct{}
}

// tokenBucket is a rate limiter whose burst is a tenth of a second of its rate,
// at least 1 call.
type tokenBucket struct {
	rate   float64
	tokens float64
	last   time.Time
}

func (b *tokenBucket) take(now time.Time) bool {
	if b.rate < 0 {
		return true
	}
	burst := max(1, b.rate/10)
	if b.last.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = min(burst, b.tokens+b.rate*now.Sub(b.last).Seconds())
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// StartStore starts a stand-in store. It runs until Close or the end of ctx.
func StartStore(ctx context.Context, o StoreOptions) (*Store, error) {
	o.defaults()
	s := &Store{
		o: o, watchesFrozen: make(chan struct{}), index: 1,
		entries: map[string]*kvEntry{}, deleted: map[string]uint64{}, waiters: map[*waiter]struct{}{},
		writeLimit: tokenBucket{rate: o.WritesPerSecond}, readLimit: tokenBucket{rate: o.ReadsPerSecond},
	}
	s.srv = newServer(s.routes())
	if err := s.srv.start(o.Address); err != nil {
		return nil, err
	}
	var err error
	if s.controlEndpoint, err = startControl(o.Control, s.controlRoutes); err != nil {
		s.srv.close()
		return nil, err
	}
	if err := s.SetFaults(o.Faults); err != nil {
		s.Close()
		return nil, err
	}
	context.AfterFunc(ctx, s.Close)
	return s, nil
}

// Address is the HOST:PORT of the store.
func (s *Store) Address() string { return s.srv.address() }

// Close stops the store and its control listener.
func (s *Store) Close() {
	s.srv.close()
	s.control.close()
}

// SetFaults replaces the active faults. The data stays.
func (s *Store) SetFaults(f StoreFaults) error {
	s.mu.Lock()
	s.faults = f
	select {
	case <-s.watchesFrozen:
		if !f.FreezeWatches {
			s.watchesFrozen = make(chan struct{})
		}
	default:
		if f.FreezeWatches {
			close(s.watchesFrozen)
		}
	}
	s.mu.Unlock()
	if f.Down == DownRefuses {
		s.srv.stop()
		return nil
	}
	if f.Down != "" {
		// When the store goes down, waiting watches and idle connections are
		// reset.
		s.srv.resetAll()
	}
	return s.srv.start(s.o.Address)
}

// Faults returns the active faults.
func (s *Store) Faults() StoreFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// HangOpenConnections makes the connections that are open now silent for
// good and returns their number. New ones work.
func (s *Store) HangOpenConnections() int { return s.srv.hangOpen() }

// Stats returns the counters and the present state.
func (s *Store) Stats() StoreStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stats
	st.Waiting, st.Keys, st.Index = len(s.waiters), len(s.entries), s.index
	return st
}

// Put writes an entry directly, bypassing rate limits and faults, and returns
// its index.
func (s *Store) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	s.set(key, value, 0)
	s.notify([]string{key})
	return s.index
}

// Delete removes an entry directly, bypassing rate limits and faults.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	s.remove(key)
	s.notify([]string{key})
}

// Copy is the content of a store at one time.
type Copy struct {
	index   uint64
	entries map[string]*kvEntry
	deleted map[string]uint64
}

// Copy returns the present content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{index: s.index, entries: maps.Clone(s.entries), deleted: maps.Clone(s.deleted)}
}

// Restore makes the store return to a copy: what was written since is lost, and its indexes
// are given out again. Open connections are reset.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	s.index, s.entries, s.deleted = c.index, maps.Clone(c.entries), maps.Clone(c.deleted)
	s.mu.Unlock()
	s.srv.resetAll()
}

// Value reads an entry directly, bypassing rate limits and faults. The index is
// 0 if there is no entry.
func (s *Store) Value(key string) ([]byte, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[key]; ok {
		return append([]byte(nil), e.Value...), e.ModifyIndex
	}
	return nil, 0
}

// Keys returns the keys with a prefix in order.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.entries {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

// set writes an entry at the current index.
func (s *Store) set(key string, value []byte, flags uint64) *kvEntry {
	e := &kvEntry{Key: key, Value: value, Flags: flags, CreateIndex: s.index, ModifyIndex: s.index}
	if old, ok := s.entries[key]; ok {
		e.CreateIndex = old.CreateIndex
	}
	s.entries[key] = e
	delete(s.deleted, key)
	return e
}

func (s *Store) remove(key string) {
	if _, ok := s.entries[key]; ok {
		delete(s.entries, key)
		s.deleted[key] = s.index
	}
}

func (s *Store) notify(keys []string) {
	for w := range s.waiters {
		for _, k := range keys {
			if w.match(k) {
				delete(s.waiters, w)
				close(w.woken)
				break
			}
		}
	}
}

// readMatching returns the entries with matching keys in key order, and the
// highest index of a write or deletion among these keys, at least 1.
func (s *Store) readMatching(match func(string) bool) ([]*kvEntry, uint64) {
	var out []*kvEntry
	index := uint64(1)
	for k, e := range s.entries {
		if match(k) {
			out = append(out, e)
			index = max(index, e.ModifyIndex)
		}
	}
	for k, i := range s.deleted {
		if match(k) {
			index = max(index, i)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, index
}

func (s *Store) routes() http.Handler {
	r := newRouter()
	r.GET("/v1/kv/*key", s.get)
	r.PUT("/v1/kv/*key", s.put)
	r.DELETE("/v1/kv/*key", s.delete)
	r.PUT("/v1/txn", s.txn)
	return r
}

func keyOf(c *gin.Context) string { return strings.TrimPrefix(c.Param("key"), "/") }

// beginCall applies the faults and limits that precede the effect of a call. It
// returns false if the call ends there, answered or not.
func (s *Store) beginCall(c *gin.Context, write bool, count *int64) bool {
	s.mu.Lock()
	f := s.faults
	*count++
	limit := &s.readLimit
	if write {
		limit = &s.writeLimit
	}
	limited := f.Down == "" && !limit.take(time.Now())
	if limited {
		s.stats.RateLimited++
	}
	lost := false
	if write && f.Down == "" && !limited && f.LoseCalls != 0 {
		lost = true
		if f.LoseCalls > 0 {
			s.faults.LoseCalls--
		}
	}
	s.mu.Unlock()
	ctx := c.Request.Context()
	if write {
		// A write that has arrived takes effect even if its caller has
		// disconnected.
		ctx = context.WithoutCancel(ctx)
	}
	if !sleep(ctx, time.Duration(f.Slow)) {
		return false
	}
	switch {
	case f.Down == DownHangs:
		<-c.Request.Context().Done()
		return false
	case f.Down != "":
		c.String(http.StatusInternalServerError, "No cluster leader")
		return false
	case limited:
		c.String(http.StatusTooManyRequests, "rate limit exceeded, try again later")
		return false
	case lost:
		resetConnection(c)
		return false
	}
	return ctx.Err() == nil
}

// loseAnswer resets the connection of a write that took effect if the fault
// LoseAnswers applies, and reports whether it did.
func (s *Store) loseAnswer(c *gin.Context) bool {
	s.mu.Lock()
	n := s.faults.LoseAnswers
	if n > 0 {
		s.faults.LoseAnswers--
	}
	s.mu.Unlock()
	if n != 0 {
		resetConnection(c)
	}
	return n != 0
}

// resetConnection resets the connection that a request arrived on.
func resetConnection(c *gin.Context) {
	connOf(c.Request).reset()
	c.Abort()
}

func (s *Store) get(c *gin.Context) {
	key := keyOf(c)
	_, recurse := c.GetQuery("recurse")
	var after uint64
	var wait time.Duration
	var err error
	if v := c.Query("index"); v != "" {
		if after, err = strconv.ParseUint(v, 10, 64); err != nil {
			c.String(http.StatusBadRequest, "Invalid index")
			return
		}
	}
	wait = 5 * time.Minute
	if v := c.Query("wait"); v != "" {
		if wait, err = time.ParseDuration(v); err != nil {
			c.String(http.StatusBadRequest, "Invalid wait time")
			return
		}
	}
	wait = min(wait, 10*time.Minute)
	count := &s.stats.Gets
	switch {
	case after > 0:
		count = &s.stats.Watches
	case recurse:
		count = &s.stats.Lists
	}
	match := func(k string) bool { return k == key }
	if recurse {
		match = func(k string) bool { return strings.HasPrefix(k, key) }
	}
	if !s.beginCall(c, false, count) {
		return
	}
	entries, index, ok := s.waitForChange(c.Request.Context(), match, after, wait)
	if !ok {
		return
	}
	c.Header("X-Consul-Index", strconv.FormatUint(index, 10))
	c.Header("X-Consul-KnownLeader", "true")
	c.Header("X-Consul-LastContact", "0")
	if len(entries) == 0 {
		c.Status(http.StatusNotFound)
		return
	}
	if _, raw := c.GetQuery("raw"); raw && !recurse {
		c.Data(http.StatusOK, "text/plain; charset=utf-8", entries[0].Value)
		return
	}
	c.JSON(http.StatusOK, entries)
}

// waitForChange reads the matching entries once their index is above after or
// the wait time is over; with after 0 it reads at once. It returns false if the
// connection closed first. While watches are frozen, it returns only when the
// connection closes, unless after is 0.
func (s *Store) waitForChange(ctx context.Context, match func(string) bool, after uint64, wait time.Duration) ([]*kvEntry, uint64, bool) {
	s.mu.Lock()
	frozen := s.watchesFrozen
	entries, index := s.readMatching(match)
	var w *waiter
	if after > 0 && index <= after {
		w = &waiter{match: match, woken: make(chan struct{})}
		s.waiters[w] = struct{}{}
	}
	s.mu.Unlock()
	if after == 0 {
		return entries, index, true
	}
	if w != nil {
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-w.woken:
		case <-t.C:
		case <-ctx.Done():
		case <-frozen:
		}
	}
	s.mu.Lock()
	delete(s.waiters, w)
	entries, index = s.readMatching(match)
	s.mu.Unlock()
	select {
	case <-frozen:
		<-ctx.Done()
	default:
	}
	return entries, index, ctx.Err() == nil
}

func (s *Store) put(c *gin.Context) {
	if !s.beginCall(c, true, &s.stats.Puts) {
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, int64(s.o.MaxValueBytes)))
	if err != nil {
		c.String(http.StatusRequestEntityTooLarge, "Request body too large, max allowed is %d bytes", s.o.MaxValueBytes)
		return
	}
	var cas *uint64
	if v, ok := c.GetQuery("cas"); ok {
		n, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			c.String(http.StatusBadRequest, "Invalid cas")
			return
		}
		cas = &n
	}
	key := keyOf(c)
	if key == "" {
		c.String(http.StatusBadRequest, "Missing key name")
		return
	}
	s.mu.Lock()
	done := cas == nil || s.indexOf(key) == *cas
	if done {
		s.index++
		s.set(key, value, 0)
		s.notify([]string{key})
	} else {
		s.stats.Conflicts++
	}
	s.mu.Unlock()
	if !s.loseAnswer(c) {
		c.JSON(http.StatusOK, done)
	}
}

// indexOf returns the modify index of a key, or 0 if it does not exist.
func (s *Store) indexOf(key string) uint64 {
	if e, ok := s.entries[key]; ok {
		return e.ModifyIndex
	}
	return 0
}

func (s *Store) delete(c *gin.Context) {
	if !s.beginCall(c, true, &s.stats.Deletes) {
		return
	}
	key := keyOf(c)
	_, recurse := c.GetQuery("recurse")
	cas, casErr := strconv.ParseUint(c.DefaultQuery("cas", "0"), 10, 64)
	if casErr != nil {
		c.String(http.StatusBadRequest, "Invalid cas")
		return
	}
	s.mu.Lock()
	done := cas == 0 || s.indexOf(key) == cas
	if done {
		s.index++
		keys := []string{key}
		if recurse {
			keys = keys[:0]
			for k := range s.entries {
				if strings.HasPrefix(k, key) {
					keys = append(keys, k)
				}
			}
		}
		for _, k := range keys {
			s.remove(k)
		}
		s.notify(keys)
	} else {
		s.stats.Conflicts++
	}
	s.mu.Unlock()
	if !s.loseAnswer(c) {
		c.JSON(http.StatusOK, done)
	}
}

// maxTxnOps is the published API's limit of operations in one transaction.
const maxTxnOps = 64

type txnOp struct {
	KV *struct {
		Verb  string
		Key   string
		Value []byte
		Flags uint64
		Index uint64
	}
}

type txnResult struct {
	KV kvEntry
}

type txnError struct {
	OpIndex int
	What    string
}

func (s *Store) txn(c *gin.Context) {
	var ops []txnOp
	d := json.NewDecoder(http.MaxBytesReader(c.Writer, c.Request.Body, int64(s.o.MaxTxnBytes)))
	err := d.Decode(&ops)
	write := false
	for _, op := range ops {
		write = write || op.KV != nil && !isReadVerb(op.KV.Verb)
	}
	if !s.beginCall(c, write, &s.stats.Txns) {
		return
	}
	switch {
	case err != nil:
		c.String(http.StatusBadRequest, "Failed to parse body: %v", err)
		return
	case len(ops) > maxTxnOps:
		c.String(http.StatusRequestEntityTooLarge, "Transaction contains too many operations (%d > %d)", len(ops), maxTxnOps)
		return
	}
	for i, op := range ops {
		if op.KV == nil {
			c.String(http.StatusBadRequest, "Operation %d is not a KV operation", i)
			return
		}
		if len(op.KV.Value) > s.o.MaxValueBytes {
			c.String(http.StatusRequestEntityTooLarge, "Value for key %q is too large (%d > %d bytes)", op.KV.Key, len(op.KV.Value), s.o.MaxValueBytes)
			return
		}
	}
	s.mu.Lock()
	s.stats.TxnOps += int64(len(ops))
	results, errs := s.apply(ops, write)
	s.mu.Unlock()
	if write && s.loseAnswer(c) {
		return
	}
	if len(errs) > 0 {
		c.JSON(http.StatusConflict, gin.H{"Results": nil, "Errors": errs})
		return
	}
	c.JSON(http.StatusOK, gin.H{"Results": results, "Errors": nil})
}

// isReadVerb reports whether a transaction's operation only reads.
func isReadVerb(verb string) bool {
	switch verb {
	case "get", "get-tree", "check-index", "check-not-exists":
		return true
	}
	return false
}

// apply runs a transaction: all operations at one index, or none if any of them
// fails. Later operations see the effects of earlier ones.
func (s *Store) apply(ops []txnOp, write bool) ([]txnResult, []txnError) {
	type savedKey struct {
		entry   *kvEntry
		deleted uint64
	}
	before := map[string]savedKey{}
	index := s.index
	if write {
		s.index++
	}
	var results []txnResult
	var errs []txnError
	var keys []string
	for i, op := range ops {
		kv := op.KV
		if _, ok := before[kv.Key]; !ok {
			before[kv.Key] = savedKey{s.entries[kv.Key], s.deleted[kv.Key]}
		}
		fail := func(what string) { errs = append(errs, txnError{OpIndex: i, What: what}) }
		current := s.indexOf(kv.Key)
		switch kv.Verb {
		case "set", "cas":
			if kv.Verb == "cas" && current != kv.Index {
				fail("failed to set key \"" + kv.Key + "\", index is stale")
				continue
			}
			e := *s.set(kv.Key, kv.Value, kv.Flags)
			e.Value = nil
			results = append(results, txnResult{e})
			keys = append(keys, kv.Key)
		case "delete", "delete-cas":
			if kv.Verb == "delete-cas" && current != kv.Index {
				fail("failed to delete key \"" + kv.Key + "\", index is stale")
				continue
			}
			s.remove(kv.Key)
			keys = append(keys, kv.Key)
		case "get":
			if current == 0 {
				fail("key \"" + kv.Key + "\" doesn't exist")
				continue
			}
			results = append(results, txnResult{*s.entries[kv.Key]})
		case "get-tree":
			entries, _ := s.readMatching(func(k string) bool { return strings.HasPrefix(k, kv.Key) })
			for _, e := range entries {
				results = append(results, txnResult{*e})
			}
		case "check-index":
			if current != kv.Index || current == 0 {
				fail("key \"" + kv.Key + "\" has another index")
			}
		case "check-not-exists":
			if current != 0 {
				fail("key \"" + kv.Key + "\" exists")
			}
		default:
			fail("unknown KV verb \"" + kv.Verb + "\"")
		}
	}
	if len(errs) == 0 {
		s.notify(keys)
		return results, nil
	}
	s.stats.Conflicts++
	s.index = index
	for k, old := range before {
		delete(s.entries, k)
		delete(s.deleted, k)
		if old.entry != nil {
			s.entries[k] = old.entry
		}
		if old.deleted != 0 {
			s.deleted[k] = old.deleted
		}
	}
	return nil, errs
}

func (s *Store) controlRoutes(r gin.IRouter) {
	ok := func(c *gin.Context) { c.JSON(http.StatusOK, gin.H{"ok": true}) }
	r.GET("/stats", func(c *gin.Context) { c.JSON(http.StatusOK, s.Stats()) })
	r.GET("/faults", func(c *gin.Context) { c.JSON(http.StatusOK, s.Faults()) })
	r.POST("/faults", func(c *gin.Context) {
		var f StoreFaults
		if !decodeBody(c, &f) {
			return
		}
		if err := s.SetFaults(f); err != nil {
			c.JSON(http.StatusInternalServerError, gin.H{"error": gin.H{"message": err.Error()}})
			return
		}
		ok(c)
	})
	r.POST("/hang", func(c *gin.Context) { s.HangOpenConnections(); ok(c) })
	// The store can return to the last copy that was taken.
	r.POST("/copy", func(c *gin.Context) {
		taken := s.Copy()
		s.mu.Lock()
		s.taken = &taken
		s.mu.Unlock()
		ok(c)
	})
	r.POST("/restore", func(c *gin.Context) {
		s.mu.Lock()
		taken := s.taken
		s.mu.Unlock()
		if taken == nil {
			c.JSON(http.StatusConflict, gin.H{"error": gin.H{"message": "no copy was taken"}})
			return
		}
		s.Restore(*taken)
		ok(c)
	})
	// Direct reads and writes, which bypass rate limits and faults.
	r.GET("/keys", func(c *gin.Context) { c.JSON(http.StatusOK, s.Keys(c.Query("prefix"))) })
	r.GET("/kv/*key", func(c *gin.Context) {
		v, index := s.Value(keyOf(c))
		if index == 0 {
			c.Status(http.StatusNotFound)
			return
		}
		c.Header("X-Consul-Index", strconv.FormatUint(index, 10))
		c.Data(http.StatusOK, "application/octet-stream", v)
	})
	r.PUT("/kv/*key", func(c *gin.Context) {
		b, err := io.ReadAll(c.Request.Body)
		if err != nil {
			c.Status(http.StatusBadRequest)
			return
		}
		c.JSON(http.StatusOK, gin.H{"index": s.Put(keyOf(c), b)})
	})
	r.DELETE("/kv/*key", func(c *gin.Context) { s.Delete(keyOf(c)); ok(c) })
}
