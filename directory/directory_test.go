package directory_test

import (
	"cmp"
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
	"github.com/gooseberryroad/gooseberryroad/membership"
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

// memoryStore is a store in memory that can refuse the calls of some clients,
// compact its history and count calls.
type memoryStore struct {
	mu          sync.Mutex
	revision    uint64
	compactedAt uint64
	entries     map[string]store.Entry
	changes     []store.Change
	changed     chan struct{}
	unavailable map[string]bool
	// silent makes watches wait until their context ends, and silentTo those of some
	// clients.
	silent   bool
	silentTo map[string]bool
	calls    int
	// writes counts the grants of leases and the leased writes.
	writes int
	// staleBy is how many of the last changes a page that may be stale lacks.
	staleBy int
	// era is the store's era, and eras hold the newest one that each client knows.
	era  store.Era
	eras map[string]store.Era
	// pages counts the pages that were read.
	pages int
	// allowed decides whether a call is served; nil serves all.
	allowed func() bool
}

func newMemoryStore() *memoryStore {
	return &memoryStore{revision: 10, entries: map[string]store.Entry{}, changed: make(chan struct{}), unavailable: map[string]bool{}, silentTo: map[string]bool{}, eras: map[string]store.Era{}}
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
	m.changes = append(m.changes, c)
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *memoryStore) setUnavailable(name string, unavailable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unavailable[name] = unavailable
	close(m.changed)
	m.changed = make(chan struct{})
}

// setSilentTo sets whether the store answers no watch of a client, nor those that
// have begun.
func (m *memoryStore) setSilentTo(name string, silent bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.silentTo[name] = silent
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *memoryStore) compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.compactedAt = m.revision
	m.changes = nil
}

// storeClient is one daemon's client of the store.
type storeClient struct {
	*memoryStore
	name string
}

// pageEntries is the number of entries on a page of the memory store.
const pageEntries = 5

func (c storeClient) RangePage(_ context.Context, _, after string, mayBeStale bool) (store.Page, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if mayBeStale && c.staleBy > 0 {
		return c.stalePage(after), nil
	}
	c.calls++
	if c.unavailable[c.name] {
		return store.Page{}, store.ErrUnavailable
	}
	if c.allowed != nil && !c.allowed() {
		return store.Page{}, store.ErrUnavailable
	}
	c.pages++
	c.eras[c.name] = max(c.eras[c.name], c.era)
	page := store.Page{Revision: store.At(c.era, c.revision)}
	for _, key := range slices.Sorted(maps.Keys(c.entries)) {
		if key <= after {
			continue
		}
		if page.More = len(page.Entries) == pageEntries; page.More {
			break
		}
		page.Entries = append(page.Entries, c.inEra(c.entries[key]))
	}
	return page, nil
}

// stalePage returns a page without the last staleBy changes, each of which wrote one
// entry. Later pages are staler.
func (c storeClient) stalePage(after string) store.Page {
	kept := len(c.changes) - c.staleBy
	page := store.Page{More: after == ""}
	if after != "" {
		kept--
	}
	entries := map[string]store.Entry{}
	for _, change := range c.changes[:kept] {
		page.Revision = change.Index
		entries[change.Key] = change.Entry
	}
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		if first := key < "up/b"; first == (after == "") {
			page.Entries = append(page.Entries, entries[key])
		}
	}
	return page
}

func (c storeClient) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]store.Change, uint64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	c.mu.Lock()
	c.calls++
	for {
		if c.silent || c.silentTo[c.name] {
			c.mu.Unlock()
			<-ctx.Done()
			return nil, 0, ctx.Err()
		}
		if c.unavailable[c.name] {
			c.mu.Unlock()
			return nil, 0, store.ErrUnavailable
		}
		c.eras[c.name] = max(c.eras[c.name], c.era)
		if store.EraOf(after) != c.era || store.RevisionOf(after) < c.compactedAt {
			c.mu.Unlock()
			return nil, 0, store.ErrCompacted
		}
		var out []store.Change
		for _, ch := range c.changes {
			if ch.Index > store.RevisionOf(after) {
				out = append(out, store.Change{Entry: c.inEra(ch.Entry), Deleted: ch.Deleted})
			}
		}
		if len(out) > 0 {
			defer c.mu.Unlock()
			return out, store.At(c.era, c.revision), nil
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

func (c storeClient) Era() store.Era {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.eras[c.name]
}

func (c storeClient) NoteEra(e store.Era) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.eras[c.name] = max(c.eras[c.name], e)
}

// inEra returns an entry with the index of the store's era.
func (m *memoryStore) inEra(e store.Entry) store.Entry {
	e.Index = store.At(m.era, e.Index)
	return e
}

// restore makes the store return to its content at a revision in a new era.
func (m *memoryStore) restore(revision uint64, entries map[string]store.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era++
	m.revision, m.compactedAt, m.entries, m.changes = revision, revision, maps.Clone(entries), nil
	close(m.changed)
	m.changed = make(chan struct{})
}

// copied returns what restore needs to return to the present content.
func (m *memoryStore) copied() (uint64, map[string]store.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision, maps.Clone(m.entries)
}

func (c storeClient) countWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes++
}

func (c storeClient) Grant(context.Context, time.Duration) (uint64, error) {
	c.countWrite()
	return 1, nil
}

func (c storeClient) PutLeased(_ context.Context, key string, value []byte, _ uint64) error {
	c.countWrite()
	c.put(key, string(value))
	return nil
}

// decoder decodes configurations written as JSON, and upstreams whose value is
// the service's name.
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

// memoryRelay passes content between followers in memory.
type memoryRelay struct {
	mu          sync.Mutex
	followers   map[string]*directory.Follower
	unreachable map[string]bool
	// silent daemons do not answer, and fixed ones have the same answer after each wait.
	silent map[string]bool
	fixed  map[string]directory.Update
	// exchanges counts the exchanges of configurations, and earlierBuild holds the daemons
	// that know none.
	exchanges    int
	earlierBuild map[string]bool
}

func (m *memoryRelay) ExchangeConfig(ctx context.Context, address string, version int64, self string, slack time.Duration) (store.Entry, bool, error) {
	m.mu.Lock()
	m.exchanges++
	f, cut, silent, earlier := m.followers[address], m.unreachable[address], m.silent[address], m.earlierBuild[address]
	m.mu.Unlock()
	switch {
	case silent:
		select {
		case <-time.After(slack):
		case <-ctx.Done():
		}
		return store.Entry{}, false, errors.New("no answer in time")
	case f == nil || cut:
		return store.Entry{}, false, errors.New("not reached")
	case earlier:
		return store.Entry{}, false, directory.ErrNoExchange
	}
	e, newer := f.Content().ExchangeConfig(version, self)
	return e, newer, nil
}

func (m *memoryRelay) Fetch(ctx context.Context, address string, after uint64, wait, slack time.Duration) (directory.Update, error) {
	m.mu.Lock()
	f, cut, silent := m.followers[address], m.unreachable[address], m.silent[address]
	fixed, isFixed := m.fixed[address]
	m.mu.Unlock()
	if isFixed {
		select {
		case <-time.After(wait):
			return fixed, nil
		case <-ctx.Done():
			return directory.Update{}, ctx.Err()
		}
	}
	if silent {
		select {
		case <-time.After(wait + slack):
			return directory.Update{}, errors.New("no answer in time")
		case <-ctx.Done():
			return directory.Update{}, ctx.Err()
		}
	}
	if f == nil || cut {
		return directory.Update{}, errors.New("not reached")
	}
	c := directory.Await(ctx, f.Content, after, wait)
	return c.Since(after), ctx.Err()
}

func (m *memoryRelay) FetchAny(ctx context.Context, addresses []string, after uint64, slack time.Duration) (directory.Update, error) {
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
	var relay *memoryRelay
	var ctx context.Context
	BeforeEach(func() {
		st = newMemoryStore()
		relay = &memoryRelay{followers: map[string]*directory.Follower{}, unreachable: map[string]bool{}, silent: map[string]bool{}}
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		DeferCleanup(cancel)
		st.put("config", `{"Version": 1}`)
		st.put("up/a", "tags")
	})
	start := func(name string, seeds ...string) *directory.Follower {
		f := directory.NewFollower(directory.Options{
			Store: storeClient{st, name}, Decoder: decoder{}, Relay: relay, Seeds: seeds,
			Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
			Self:   sources.Peer{Name: name, Address: name, DataCentre: "x"},
		})
		relay.mu.Lock()
		relay.followers[name] = f
		relay.mu.Unlock()
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

	It("publishes the configuration and the upstreams, and their changes", func() {
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

	// The configuration must not revert to an older one, and one that cannot be read
	// must not replace the current one.
	It("never replaces a configuration by an older or unreadable one", func() {
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

	// All daemons must learn of a request that crashes upstreams, and the counts of
	// daemons that are gone must not stay.
	It("publishes the largest number of crashes that one daemon counted", func() {
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

	// Guards against daemons that each ask the store who holds a duty.
	It("publishes the records of duties, their changes and their ends", func() {
		f := start("d1")
		value := func(key string) func() string {
			return func() string { return string(f.View().Duties[directory.DutyPrefix+key].Value) }
		}
		st.put(directory.DutyPrefix+"holder/usage", "r1")
		Eventually(value("holder/usage"), "5s").Should(Equal("r1"))
		st.put(directory.DutyPrefix+"holder/usage", "r2")
		Eventually(value("holder/usage"), "5s").Should(Equal("r2"))
		st.remove(directory.DutyPrefix + "holder/usage")
		Eventually(value("holder/usage"), "5s").Should(BeEmpty())
	})

	It("reads a snapshot after the store compacted its history", func() {
		f := start("d1")
		Eventually(version(f)).Should(BeEquivalentTo(1))
		st.setUnavailable("d1", true)
		st.put("config", `{"Version": 9}`)
		st.compact()
		st.setUnavailable("d1", false)
		Eventually(version(f), "5s").Should(BeEquivalentTo(9))
	})

	// The first snapshot may be old, and its pages differ in age: nothing that changed
	// since may be missing, and it is not content that the store confirmed.
	It("starts from an old snapshot and learns what has changed since", func() {
		st.put("up/b", "tags")
		st.put("up/c", "tags")
		st.put("config", `{"Version": 4}`)
		st.put("up/a", "other")
		st.staleBy = 2
		f := start("d1")
		Eventually(version(f)).Should(BeEquivalentTo(4))
		Eventually(upstreams(f)).Should(Equal(2))
		Expect(f.Content().UpToDate()).To(BeTrue())
	})

	// Each registration costs two calls: 295 daemons that started again together made
	// 590, although the store had the same entries.
	It("keeps the registration of an earlier process, and registers when it ends", func() {
		registration := `{"address":"d1","data_centre":"x"}`
		st.put(directory.PeerPrefix+"d1", registration)
		f := start("d1")
		Eventually(version(f)).Should(BeEquivalentTo(1))
		writes := func() int {
			st.mu.Lock()
			defer st.mu.Unlock()
			return st.writes
		}
		Consistently(writes, "2500ms").Should(BeZero())
		st.remove(directory.PeerPrefix + "d1")
		Eventually(writes, "4s").Should(Equal(2))
		lease, err := f.Lease(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(lease).To(BeEquivalentTo(1))
		Expect(writes()).To(Equal(2), "one lease serves all keys of the process")
	})

	It("registers again at another address", func() {
		st.put(directory.PeerPrefix+"d1", `{"address":"elsewhere","data_centre":"x"}`)
		start("d1")
		Eventually(func() string {
			st.mu.Lock()
			defer st.mu.Unlock()
			return string(st.entries[directory.PeerPrefix+"d1"].Value)
		}, "4s").Should(ContainSubstring(`"address":"d1"`))
	})

	// When daemons start together, the store refuses many calls: a daemon that began
	// the list of seven pages again after each refusal never read all of them.
	It("keeps the pages that it has read when the store refuses a call", func() {
		for i := range 30 {
			st.put(fmt.Sprintf("up/b%02d", i), "tags")
		}
		calls := 0
		st.allowed = func() bool {
			calls++
			if calls == 5 {
				// An entry that is removed after its page was read: only the watch reports it.
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

	// After an outage, upstreams must not be dropped while the store is silent
	// again, because the daemon cannot learn of their new entries.
	It("drops lapsed entries as soon as the store confirms after the grace period that they are missing", func() {
		for _, key := range []string{"up/b", "up/c"} {
			st.put(key, "tags")
		}
		f := start("d1")
		Eventually(upstreams(f)).Should(Equal(3))
		st.setUnavailable("d1", true)
		time.Sleep(200 * time.Millisecond)
		st.remove("up/a")
		st.remove("up/b")
		st.setUnavailable("d1", false)
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

		st.setUnavailable("d1", true)
		time.Sleep(200 * time.Millisecond)
		st.remove("up/a")
		st.setUnavailable("d1", false)
		back = time.Now()
		Eventually(upstreams(f), "6s", "10ms").Should(Equal(1))
		// The store is seen again after at most the longest delay between calls.
		Expect(time.Since(back)).To(BeNumerically("<", registry.ReregisterGrace+1500*time.Millisecond))
	})

	It("uses no upstream whose registration cannot be read", func() {
		f := start("d1")
		Eventually(upstreams(f)).Should(Equal(1))
		st.put("up/a", "")
		Eventually(upstreams(f), "3s").Should(Equal(0))
	})

	// A daemon must not keep a revoked key because the store refuses its calls while
	// it serves the others; the same holds for a daemon that starts like that.
	It("learns from other daemons the changes that the store does not report to it", func() {
		f1 := start("d1")
		Eventually(version(f1)).Should(BeEquivalentTo(1))
		st.setUnavailable("d2", true)
		f2 := start("d2", "d1")
		Eventually(version(f2), "5s").Should(BeEquivalentTo(1))
		st.put("config", `{"Version": 2}`)
		st.remove("up/a")
		Eventually(version(f2), "5s").Should(BeEquivalentTo(2))
		Eventually(upstreams(f2), "5s").Should(Equal(0))
	})

	// Daemons must not confirm to each other that they see the store while none of
	// them does.
	It("does not count content from other daemons as confirmed by the store", func() {
		f1, f2 := start("d1"), start("d2")
		Eventually(func() int { return f1.View().Daemons + f2.View().Daemons }, "5s").Should(Equal(4))
		st.setUnavailable("d1", true)
		st.setUnavailable("d2", true)
		Eventually(func() bool { return f1.Content().UpToDate() || f2.Content().UpToDate() }, "6s").Should(BeFalse())
		Consistently(func() bool { return f1.Content().UpToDate() || f2.Content().UpToDate() }, "1s").Should(BeFalse())
	})

	// A daemon whose watcher is turned away by the store asks it again each second. Its own
	// followers must not take it for one that does not see the store: they turned to the
	// store too, and their followers after them.
	It("stays up to date for its followers while the daemon before it is turned away", func() {
		followers := map[string]*directory.Follower{}
		for _, name := range []string{"d1", "d2"} {
			st.put(directory.PeerPrefix+name, `{"address":"`+name+`","data_centre":"x"}`)
		}
		for _, name := range []string{"d1", "d2"} {
			followers[name] = start(name)
			Eventually(version(followers[name]), "3s").Should(BeEquivalentTo(1))
		}
		first, second := "d1", "d2"
		if membership.RendezvousWeight("x", "d2") > membership.RendezvousWeight("x", "d1") {
			first, second = second, first
		}
		st.setUnavailable(first, true)
		Eventually(func() bool { return followers[first].Content().UpToDate() }, "4s").Should(BeFalse())
		Eventually(func() bool { return followers[second].Content().UpToDate() }, "3s").Should(BeTrue())
		Consistently(func() bool { return followers[second].Content().UpToDate() }, "4s", "1ms").Should(BeTrue())
	})

	// startPair starts two daemons of one data centre and returns the one that reads the
	// store and the one that follows it.
	startPair := func() (reader, follower *directory.Follower, readerName string) {
		first, second := "d1", "d2"
		if membership.RendezvousWeight("x", "d2") > membership.RendezvousWeight("x", "d1") {
			first, second = second, first
		}
		for _, name := range []string{first, second} {
			st.put(directory.PeerPrefix+name, `{"address":"`+name+`","data_centre":"x"}`)
		}
		reader, follower = start(first), start(second)
		Eventually(func() int { return reader.View().Daemons + follower.View().Daemons }, "3s").Should(Equal(4))
		return reader, follower, first
	}

	// An upstream that is removed shortly after the daemon before this one has reached the
	// store again got work from the followers for a grace period of their own, longer than
	// it serves after its removal.
	It("drops an upstream that is removed shortly after an outage of its source within 2 s", func() {
		reader, follower, readerName := startPair()
		for range 3 {
			st.put("up/b", "tags")
			Eventually(upstreams(follower), "3s").Should(Equal(2))
			Eventually(upstreams(reader), "3s").Should(Equal(2))
			st.setUnavailable(readerName, true)
			Eventually(func() bool { return reader.Content().UpToDate() }, "3s", "1ms").Should(BeFalse())
			st.setUnavailable(readerName, false)
			Eventually(func() bool { return reader.Content().UpToDate() }, "3s", "1ms").Should(BeTrue())
			// The follower reads the store itself for a while, and follows the reader again.
			Consistently(upstreams(follower), "1600ms").Should(Equal(2))
			st.remove("up/b")
			removed := time.Now()
			Eventually(upstreams(follower), "4s", "5ms").Should(Equal(1))
			Eventually(upstreams(reader), "4s", "5ms").Should(Equal(1))
			Expect(time.Since(removed)).To(BeNumerically("<", 1500*time.Millisecond))
		}
	})

	// A daemon that was cut off from the store alone must not take the removals that it
	// missed for leases that ran out in an outage.
	It("drops an upstream that was removed while the store served the other daemons", func() {
		_, follower, readerName := startPair()
		reader := relay.followers[readerName]
		st.setUnavailable(readerName, true)
		Eventually(func() bool { return reader.Content().UpToDate() }, "3s", "1ms").Should(BeFalse())
		st.put("config", `{"Version": 2}`)
		Eventually(version(follower), "3s").Should(BeEquivalentTo(2))
		Eventually(version(reader), "5s").Should(BeEquivalentTo(2))
		st.remove("up/a")
		Eventually(upstreams(follower), "3s").Should(Equal(0))
		Eventually(upstreams(reader), "3s").Should(Equal(0))
		st.put("up/a", "tags")
		Eventually(upstreams(reader), "5s").Should(Equal(1))
		// The reader asks the store again, without success, and then the follower.
		Consistently(upstreams(reader), "2500ms").Should(Equal(1))
		st.setUnavailable(readerName, false)
		Eventually(func() bool { return reader.Content().UpToDate() }, "3s", "1ms").Should(BeTrue())
		st.remove("up/a")
		Eventually(upstreams(reader), "600ms", "5ms").Should(Equal(0))
	})

	// The reader of a data centre is cut off from the store without a sign. Its followers,
	// which reach the store, handled requests by the old configuration for 2.2 s and more.
	It("learns a change within 2 s although the connection of its source to the store goes silent", func() {
		reader, follower, readerName := startPair()
		for v := range 3 {
			// The reader has just begun a watch: it waits for the store as long as it ever does.
			Eventually(func() time.Duration { return reader.Content().Age() }, "4s", "1ms").Should(BeNumerically("<", 20*time.Millisecond))
			st.setSilentTo(readerName, true)
			changed := time.Now()
			st.put("config", fmt.Sprintf(`{"Version": %d}`, v+2))
			Eventually(version(follower), "4s", "5ms").Should(BeEquivalentTo(v + 2))
			Expect(time.Since(changed)).To(BeNumerically("<", 2*time.Second))
			st.setSilentTo(readerName, false)
			Eventually(version(reader), "4s").Should(BeEquivalentTo(v + 2))
		}
	})

	// Each daemon that is asked in vain takes more than a second. Two of them must not use
	// up the time in which a change has to be in force.
	It("hears from the store every 2 s although the daemons before it do not answer", func() {
		names := []string{"d1", "d2", "d3"}
		slices.SortFunc(names, func(a, b string) int {
			return cmp.Compare(membership.RendezvousWeight("x", b), membership.RendezvousWeight("x", a))
		})
		for _, name := range names {
			st.put(directory.PeerPrefix+name, `{"address":"`+name+`","data_centre":"x"}`)
		}
		var last *directory.Follower
		for _, name := range names {
			last = start(name)
			Eventually(version(last), "3s").Should(BeEquivalentTo(1))
		}
		Consistently(version(last), "2s").Should(BeEquivalentTo(1))
		relay.mu.Lock()
		relay.silent[names[0]], relay.silent[names[1]] = true, true
		relay.mu.Unlock()
		// They are asked again after some seconds.
		Consistently(func() time.Duration { return last.Content().Age() }, "8s", "5ms").Should(BeNumerically("<", 2*time.Second))
		changed := time.Now()
		st.put("config", `{"Version": 2}`)
		Eventually(version(last), "4s", "5ms").Should(BeEquivalentTo(2))
		Expect(time.Since(changed)).To(BeNumerically("<", 2*time.Second))
	})

	upstreamIDs := func(f *directory.Follower) func() []string {
		return func() []string {
			var ids []string
			for _, in := range f.View().All {
				ids = append(ids, in.ID)
			}
			return ids
		}
	}
	contentEra := func(f *directory.Follower) func() store.Era {
		return func() store.Era { return store.EraOf(f.Content().Revision) }
	}

	// Guards against hundreds of daemons that read a restored store at once, and against
	// daemons that keep to the copy or to the lost content.
	It("reads a restored store once for all daemons of a data centre", func() {
		var all []*directory.Follower
		for i := range 30 {
			all = append(all, start(fmt.Sprint("d", i)))
		}
		for _, f := range all {
			Eventually(func() int { return f.View().Daemons }, "15s").Should(Equal(30))
		}
		revision, entries := st.copied()
		st.put("config", `{"Version": 9}`)
		st.put("up/b", "tags")
		for _, f := range all {
			Eventually(version(f), "3s").Should(BeEquivalentTo(9))
			Eventually(upstreamIDs(f), "3s").Should(Equal([]string{"a", "b"}))
		}
		st.mu.Lock()
		pages := st.pages
		st.mu.Unlock()
		for key := range entries {
			if strings.HasPrefix(key, directory.PeerPrefix) {
				delete(entries, key)
			}
		}
		st.restore(revision, entries)
		restored := time.Now()
		for _, f := range all {
			Eventually(contentEra(f), "3s", "5ms").Should(BeEquivalentTo(1))
			Expect(version(f)()).To(BeEquivalentTo(9))
			Expect(upstreamIDs(f)()).To(Equal([]string{"a", "b"}), "it has time to register again")
			Expect(f.View().Daemons).To(Equal(30), "the daemons' registrations are lost, not the daemons")
		}
		Expect(time.Since(restored)).To(BeNumerically("<", 2*time.Second))
		st.mu.Lock()
		pages = st.pages - pages
		st.mu.Unlock()
		Expect(pages).To(Equal(1), "pages read by all daemons")
		st.put("up/c", "tags")
		for _, f := range all {
			Eventually(upstreamIDs(f), "5s").Should(Equal([]string{"a", "c"}), "one that does not register again is gone")
			Expect(version(f)()).To(BeEquivalentTo(9))
		}
		// The registrations come again within 5 s.
		Eventually(func() int {
			n := 0
			_, entries := st.copied()
			for key := range entries {
				if strings.HasPrefix(key, directory.PeerPrefix) {
					n++
				}
			}
			return n
		}, "8s").Should(Equal(30))
	})

	// Guards against a daemon that goes on with lost content because the store does not answer
	// it: it learns the era from another daemon.
	It("learns of a restored store from another daemon", func() {
		first, second := start("d1"), start("d2", "d1")
		for _, f := range []*directory.Follower{first, second} {
			Eventually(func() int { return f.View().Daemons }, "6s").Should(Equal(2))
		}
		revision, entries := st.copied()
		for i := range 20 {
			st.put("up/b", fmt.Sprint("tags", i))
		}
		st.put("config", `{"Version": 3}`)
		Eventually(version(second), "3s").Should(BeEquivalentTo(3))
		st.setUnavailable("d2", true)
		st.restore(revision, entries)
		Eventually(contentEra(second), "6s").Should(BeEquivalentTo(1))
		Expect(second.Era()).To(BeEquivalentTo(1))
		Expect(version(second)()).To(BeEquivalentTo(3))
		st.put("config", `{"Version": 4}`)
		Eventually(version(second), "6s").Should(BeEquivalentTo(4))
	})

	// Guards against content of the older era that another daemon still passes on: this one
	// knows the newer era from a response to a write.
	It("ignores the content of daemons that do not know the newest era yet", func() {
		names := []string{"d1", "d2"}
		slices.SortFunc(names, func(a, b string) int {
			return cmp.Compare(membership.RendezvousWeight("x", b), membership.RendezvousWeight("x", a))
		})
		watching, following := start(names[0]), start(names[1])
		for _, f := range []*directory.Follower{watching, following} {
			Eventually(func() int { return f.View().Daemons }, "6s").Should(Equal(2))
		}
		revision, entries := st.copied()
		st.put("config", `{"Version": 3}`)
		Eventually(version(following), "3s").Should(BeEquivalentTo(3))
		// An older version of this system knows no eras, and a daemon that runs it confirms the
		// lost content.
		relay.mu.Lock()
		relay.fixed = map[string]directory.Update{names[0]: {Revision: watching.Content().Revision, UpToDate: true}}
		relay.mu.Unlock()
		st.setSilentTo(names[0], true)
		st.restore(revision, entries)
		storeClient{st, names[1]}.NoteEra(1)
		Eventually(contentEra(following), "4s").Should(BeEquivalentTo(1))
		Expect(version(following)()).To(BeEquivalentTo(3))
		st.put("up/z", "tags")
		Eventually(upstreamIDs(following), "4s").Should(ContainElement("z"))
	})

	// The number of calls to the store must not grow with the number of daemons.
	It("lets one daemon of a data centre watch the store for all", func() {
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
	It("is empty and not up to date before the store has been read", func() {
		f := directory.NewFollower(directory.Options{})
		Expect(f.Content().UpToDate()).To(BeFalse())
		Expect(f.View().Ready).To(BeFalse())
	})
})
