package directory_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/cutover"
	"github.com/gooseberryroad/gooseberryroad/directory"
	"github.com/gooseberryroad/gooseberryroad/quarantine"
	"github.com/gooseberryroad/gooseberryroad/registry"
	"github.com/gooseberryroad/gooseberryroad/routes"
	"github.com/gooseberryroad/gooseberryroad/sources"
	"github.com/gooseberryroad/gooseberryroad/store"
)

func TestDirectory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "directory")
}

// memoryStore is a store in memory that can turn callers away, drop its history
// and count calls.
type memoryStore struct {
	mu       sync.Mutex
	revision uint64
	first    uint64
	entries  map[string]store.Entry
	log      []store.Change
	changed  chan struct{}
	away     map[string]bool
	// silent is set while no call is answered.
	silent bool
	calls  int
	// allowed decides whether a call is served; nil serves all.
	allowed func() bool
}

func newMemoryStore() *memoryStore {
	return &memoryStore{revision: 10, entries: map[string]store.Entry{}, changed: make(chan struct{}), away: map[string]bool{}}
}

func (m *memoryStore) put(key, value string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	e := store.Entry{Key: key, Value: []byte(value), Index: m.revision}
	m.entries[key] = e
	m.append(store.Change{Entry: e})
}

func (m *memoryStore) remove(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	delete(m.entries, key)
	m.append(store.Change{Entry: store.Entry{Key: key, Index: m.revision}, Deleted: true})
}

func (m *memoryStore) append(c store.Change) {
	m.log = append(m.log, c)
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *memoryStore) set(name string, away bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.away[name] = away
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *memoryStore) compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.first = m.revision
	m.log = nil
}

// client is one daemon's view of the store.
type client struct {
	*memoryStore
	name string
}

// pageEntries is the length of a page of the memory store.
const pageEntries = 5

func (c client) RangePage(_ context.Context, _, after string) (store.Page, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if c.away[c.name] {
		return store.Page{}, store.ErrUnavailable
	}
	if c.allowed != nil && !c.allowed() {
		return store.Page{}, store.ErrUnavailable
	}
	page := store.Page{Revision: c.revision}
	for _, key := range slices.Sorted(maps.Keys(c.entries)) {
		if key <= after {
			continue
		}
		if page.More = len(page.Entries) == pageEntries; page.More {
			break
		}
		page.Entries = append(page.Entries, c.entries[key])
	}
	return page, nil
}

func (c client) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]store.Change, uint64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	c.mu.Lock()
	c.calls++
	for {
		if c.silent {
			c.mu.Unlock()
			<-ctx.Done()
			return nil, 0, ctx.Err()
		}
		if c.away[c.name] {
			c.mu.Unlock()
			return nil, 0, store.ErrUnavailable
		}
		if after < c.first {
			c.mu.Unlock()
			return nil, 0, store.ErrCompacted
		}
		var out []store.Change
		for _, ch := range c.log {
			if ch.Index > after {
				out = append(out, ch)
			}
		}
		if len(out) > 0 {
			defer c.mu.Unlock()
			return out, c.revision, nil
		}
		changed := c.changed
		c.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			c.mu.Lock()
			silent := c.silent
			c.mu.Unlock()
			if silent {
				<-ctx.Done()
				return nil, 0, ctx.Err()
			}
			return nil, after, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
		c.mu.Lock()
	}
}

func (c client) Grant(context.Context, time.Duration) (uint64, error) { return 1, nil }
func (c client) PutLeased(_ context.Context, key string, value []byte, _ uint64) error {
	c.put(key, string(value))
	return nil
}

// decoder reads configurations and upstreams written as JSON.
type decoder struct{}

func (decoder) Config(e store.Entry) (routes.Config, bool, error) {
	var c routes.Config
	if e.Key != "config" {
		return c, false, nil
	}
	err := json.Unmarshal(e.Value, &c)
	return c, true, err
}

func (decoder) Instance(e store.Entry) (registry.Instance, bool, error) {
	id, ok := strings.CutPrefix(e.Key, "up/")
	if !ok {
		return registry.Instance{}, false, nil
	}
	in := registry.Instance{ID: id}
	if len(e.Value) == 0 {
		return in, true, errors.New("empty")
	}
	in.Service = string(e.Value)
	return in, true, nil
}

func (decoder) Order(store.Entry) (cutover.Order, bool, error) { return cutover.Order{}, false, nil }

func (decoder) Status(store.Entry) (string, cutover.Status, bool, error) {
	return "", cutover.Status{}, false, nil
}

// mesh passes questions between followers in memory.
type mesh struct {
	mu    sync.Mutex
	nodes map[string]*directory.Follower
	cut   map[string]bool
}

func (m *mesh) Fetch(ctx context.Context, address string, after uint64, wait, _ time.Duration) (directory.Update, error) {
	m.mu.Lock()
	f, cut := m.nodes[address], m.cut[address]
	m.mu.Unlock()
	if f == nil || cut {
		return directory.Update{}, errors.New("not reached")
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		c := f.Content()
		if c.Revision > after || !c.UpToDate() {
			return c.Since(after), nil
		}
		select {
		case <-c.Changed:
		case <-timer.C:
			return c.Since(after), nil
		case <-ctx.Done():
			return directory.Update{}, ctx.Err()
		}
	}
}

func (m *mesh) FetchAny(ctx context.Context, addresses []string, after uint64, slack time.Duration) (directory.Update, error) {
	var best directory.Update
	err := errors.New("not reached")
	for _, a := range addresses {
		if u, e := m.Fetch(ctx, a, after, 0, slack); e == nil && (err != nil || u.Revision > best.Revision) {
			best, err = u, nil
		}
	}
	return best, err
}

var _ = Describe("Follower", func() {
	var st *memoryStore
	var net *mesh
	var ctx context.Context
	BeforeEach(func() {
		st = newMemoryStore()
		net = &mesh{nodes: map[string]*directory.Follower{}, cut: map[string]bool{}}
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		DeferCleanup(cancel)
		st.put("config", `{"Version": 1}`)
		st.put("up/a", "tags")
	})
	start := func(name string, seeds ...string) *directory.Follower {
		f := directory.NewFollower(directory.Options{
			Store: client{st, name}, Decoder: decoder{}, Relay: net, Seeds: seeds,
			Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
			Self:   sources.Peer{Name: name, Address: name, DataCentre: "x"},
		})
		net.mu.Lock()
		net.nodes[name] = f
		net.mu.Unlock()
		go f.Run(ctx)
		return f
	}
	version := func(f *directory.Follower) func() int64 {
		return func() int64 {
			if t := f.View().Table; t != nil {
				return t.Version()
			}
			return 0
		}
	}
	upstreams := func(f *directory.Follower) func() int { return func() int { return len(f.View().Upstreams["tags"]) } }

	It("shows the configuration and the upstreams, and their changes", func() {
		f := start("d1")
		Eventually(version(f)).Should(BeEquivalentTo(1))
		Eventually(upstreams(f)).Should(Equal(1))
		st.put("config", `{"Version": 3}`)
		st.put("up/b", "tags")
		st.remove("up/a")
		Eventually(version(f), "3s").Should(BeEquivalentTo(3))
		Eventually(upstreams(f), "3s").Should(Equal(1))
		Expect(f.View().Ready).To(BeTrue())
	})

	// Guards against a configuration that reverts, and one that cannot be read and
	// replaces the known one.
	It("never goes back to an older or unreadable configuration", func() {
		f := start("d1")
		Eventually(version(f)).Should(BeEquivalentTo(1))
		st.put("config", `{"Version": 5}`)
		Eventually(version(f), "3s").Should(BeEquivalentTo(5))
		st.put("config", `{"Version": 4}`)
		st.put("config", `{"Version":`)
		st.put("up/b", "tags")
		Eventually(upstreams(f), "3s").Should(Equal(2))
		Expect(version(f)()).To(BeEquivalentTo(5))
	})

	// Guards against a request that crashes upstreams and is known at one daemon
	// only, and against counts of daemons that are gone.
	It("shows the largest number of crashes that a daemon published", func() {
		f := start("d1")
		Eventually(version(f)).Should(BeEquivalentTo(1))
		h, other := quarantine.HashOf("a", "b", nil), quarantine.HashOf("a", "c", nil)
		st.put(directory.CrashPrefix+"d2", fmt.Sprintf(`{%q: 2, %q: 1}`, h, other))
		st.put(directory.CrashPrefix+"d3", fmt.Sprintf(`{%q: 3}`, h))
		st.put(directory.CrashPrefix+"d4", "no JSON")
		crashes := func() map[quarantine.Hash]int { return f.View().Crashes }
		Eventually(crashes, "5s").Should(Equal(map[quarantine.Hash]int{h: 3, other: 1}))
		st.remove(directory.CrashPrefix + "d3")
		Eventually(crashes, "5s").Should(Equal(map[quarantine.Hash]int{h: 2, other: 1}))
	})

	It("reads everything again after the store dropped its history", func() {
		f := start("d1")
		Eventually(version(f)).Should(BeEquivalentTo(1))
		st.set("d1", true)
		st.put("config", `{"Version": 9}`)
		st.compact()
		st.set("d1", false)
		Eventually(version(f), "5s").Should(BeEquivalentTo(9))
	})

	// Guards against daemons that start together, of which the store turns many
	// calls away: reading seven pages anew after each refusal never ended.
	It("keeps the pages that it has read when the store turns a call away", func() {
		for i := range 30 {
			st.put(fmt.Sprintf("up/b%02d", i), "tags")
		}
		calls := 0
		st.allowed = func() bool {
			calls++
			if calls == 5 {
				// Removed after its page was read: the watch has to tell.
				st.revision++
				delete(st.entries, "up/a")
				st.append(store.Change{Entry: store.Entry{Key: "up/a", Index: st.revision}, Deleted: true})
			}
			return calls%3 != 0
		}
		f := start("d1")
		Eventually(upstreams(f), "4s").Should(Equal(30))
		Expect(f.View().Ready).To(BeTrue())
		st.mu.Lock()
		defer st.mu.Unlock()
		Expect(calls).To(BeNumerically("<=", 12), "seven pages and three refusals")
	})

	// Guards against upstreams that are dropped after an outage while the store has
	// fallen silent again, so that their new entries cannot be heard of.
	It("drops lapsed entries when the store confirms that they are missing, and at once then", func() {
		for _, key := range []string{"up/b", "up/c"} {
			st.put(key, "tags")
		}
		f := start("d1")
		Eventually(upstreams(f)).Should(Equal(3))
		st.set("d1", true)
		time.Sleep(200 * time.Millisecond)
		st.remove("up/a")
		st.remove("up/b")
		st.set("d1", false)
		back := time.Now()
		Consistently(upstreams(f), "1s").Should(Equal(3))
		silent := func(on bool) {
			st.mu.Lock()
			defer st.mu.Unlock()
			st.silent = on
			close(st.changed)
			st.changed = make(chan struct{})
		}
		silent(true)
		Consistently(upstreams(f), "2s").Should(Equal(3))
		silent(false)
		st.put("up/a", "tags")
		Eventually(upstreams(f), "6s").Should(Equal(2))
		Expect(time.Since(back)).To(BeNumerically(">", registry.ReregisterGrace))

		st.set("d1", true)
		time.Sleep(200 * time.Millisecond)
		st.remove("up/a")
		st.set("d1", false)
		back = time.Now()
		Eventually(upstreams(f), "6s", "10ms").Should(Equal(1))
		// The store is seen again after at most the longest pause between calls.
		Expect(time.Since(back)).To(BeNumerically("<", registry.ReregisterGrace+1500*time.Millisecond))
	})

	It("uses no upstream whose registration cannot be read", func() {
		f := start("d1")
		Eventually(upstreams(f)).Should(Equal(1))
		st.put("up/a", "")
		Eventually(upstreams(f), "3s").Should(Equal(0))
	})

	// Guards against a daemon that keeps a revoked key because the store turns it
	// away while it serves the others, and against one that starts like that.
	It("learns from other daemons what the store does not tell it", func() {
		f1 := start("d1")
		Eventually(version(f1)).Should(BeEquivalentTo(1))
		st.set("d2", true)
		f2 := start("d2", "d1")
		Eventually(version(f2), "5s").Should(BeEquivalentTo(1))
		st.put("config", `{"Version": 2}`)
		st.remove("up/a")
		Eventually(version(f2), "5s").Should(BeEquivalentTo(2))
		Eventually(upstreams(f2), "5s").Should(Equal(0))
	})

	// Guards against daemons that confirm to each other that they see the store
	// while none of them does.
	It("does not count rumours as the store's word", func() {
		f1, f2 := start("d1"), start("d2")
		Eventually(func() int { return f1.View().Daemons + f2.View().Daemons }, "5s").Should(Equal(4))
		st.set("d1", true)
		st.set("d2", true)
		Eventually(func() bool { return f1.Content().UpToDate() || f2.Content().UpToDate() }, "6s").Should(BeFalse())
		Consistently(func() bool { return f1.Content().UpToDate() || f2.Content().UpToDate() }, "1s").Should(BeFalse())
	})

	// Guards against calls to the store that grow with the number of daemons.
	It("makes one daemon watch for all of a data centre", func() {
		var all []*directory.Follower
		for _, name := range []string{"d1", "d2", "d3", "d4", "d5", "d6"} {
			all = append(all, start(name))
		}
		for _, f := range all {
			Eventually(func() int { return f.View().Daemons }, "6s").Should(Equal(6))
		}
		st.mu.Lock()
		before := st.calls
		st.mu.Unlock()
		st.put("config", `{"Version": 8}`)
		for _, f := range all {
			Eventually(version(f), "3s").Should(BeEquivalentTo(8))
		}
		st.mu.Lock()
		defer st.mu.Unlock()
		Expect(st.calls - before).To(BeNumerically("<=", 7))
	})
})

var _ = Describe("Content", func() {
	It("is empty and not settled before the store was read", func() {
		f := directory.NewFollower(directory.Options{})
		Expect(f.Content().UpToDate()).To(BeFalse())
		Expect(f.View().Ready).To(BeFalse())
	})
})
