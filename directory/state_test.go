package directory

import (
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/cutover"
	"github.com/gooseberryroad/gooseberryroad/registry"
	"github.com/gooseberryroad/gooseberryroad/routes"
	"github.com/gooseberryroad/gooseberryroad/store"
)

// configDecoder decodes configurations at the key "config".
type configDecoder struct{}

func (configDecoder) Config(e store.Entry) (c routes.Config, ok bool, err error) {
	if e.Key != "config" {
		return c, false, nil
	}
	return c, true, json.Unmarshal(e.Value, &c)
}

func (configDecoder) Instance(store.Entry) (in registry.Instance, ok bool, err error) {
	return in, false, nil
}

func (configDecoder) Order(store.Entry) (o cutover.Order, ok bool, err error) { return o, false, nil }

func (configDecoder) Status(store.Entry) (service string, s cutover.Status, ok bool, err error) {
	return "", s, false, nil
}

// Guards against a daemon that runs out of memory: quick changes of a configuration of 464 KB
// were kept for its followers by their number only, up to 1,024 of them.
func TestChangesForFollowersAreBoundedInBytes(t *testing.T) {
	o := NewWithT(t)
	s := newState(configDecoder{}, slog.New(slog.DiscardHandler))
	padding := strings.Repeat(" ", 464<<10)
	held := func() (n int) {
		for _, c := range s.recent {
			n += len(c.Key) + len(c.Value)
		}
		return n
	}
	content := func() *Content {
		c := &Content{recent: s.recent, recentFrom: s.recentFrom, Revision: s.revision}
		for _, e := range s.entries {
			c.entries = append(c.entries, e)
		}
		return c
	}
	now := time.Now()
	s.applySnapshot(nil, 1, now)
	for revision := uint64(2); revision < 300; revision++ {
		e := store.Entry{Key: "config", Value: []byte(`{"Version": 1}` + padding), Index: revision}
		s.applyChanges([]store.Change{{Entry: e}}, revision, now)
		o.Expect(held()).To(BeNumerically("<=", 2*maxRecentBytes))
		o.Expect(s.recentBytes).To(Equal(held()))

		last := content().Since(revision - 1)
		o.Expect(last.Snapshot).To(BeFalse())
		o.Expect(last.Changes).To(HaveLen(1))
	}
	behind := content().Since(100)
	o.Expect(behind.Snapshot).To(BeTrue())
	o.Expect(behind.Entries).To(HaveLen(1))
	o.Expect(behind.Entries[0].Index).To(BeEquivalentTo(299))
}

// Guards against changes that are lost between two followers: those after the revision up to
// which changes were dropped are all there.
func TestDroppedChangesEndAtTheStatedRevision(t *testing.T) {
	o := NewWithT(t)
	s := newState(configDecoder{}, slog.New(slog.DiscardHandler))
	s.applySnapshot(nil, 1, time.Now())
	for revision := uint64(2); revision < 4000; revision++ {
		e := store.Entry{Key: "other", Index: revision}
		s.applyChanges([]store.Change{{Entry: e}}, revision, time.Now())
		o.Expect(len(s.recent)).To(BeNumerically("<=", 2*maxRecentChanges))
		o.Expect(s.recent).To(HaveLen(int(revision - s.recentFrom)))
		o.Expect(s.recent[0].Index).To(Equal(s.recentFrom + 1))
	}
}

// Guards against a newer configuration that is ignored in the content of another daemon,
// because it takes the place of the copy's under the index that the copy's has in the store.
func TestNewerConfigurationUnderTheIndexOfTheCopy(t *testing.T) {
	o := NewWithT(t)
	s := newState(configDecoder{}, slog.New(slog.DiscardHandler))
	config := func(version string) store.Entry {
		return store.Entry{Key: "config", Value: []byte(`{"Version": ` + version + `}`), Index: store.At(3, 60)}
	}
	s.applySnapshot([]store.Entry{config("50")}, store.At(3, 74), time.Now())
	s.applySnapshot([]store.Entry{config("54")}, store.At(3, 80), time.Now())
	o.Expect(s.configVersion()).To(BeEquivalentTo(54))
	s.applySnapshot([]store.Entry{config("50")}, store.At(3, 81), time.Now())
	o.Expect(s.configVersion()).To(BeEquivalentTo(54))
	o.Expect(s.contentEntries()).To(ConsistOf(config("54")))
}

// Guards against an index of content that is from before a restore: the daemon, and those
// that follow it, would lack what the store has written since up to this index.
func TestFirstSnapshotHasNoIndexInAnEra(t *testing.T) {
	o := NewWithT(t)
	for _, c := range []struct {
		mayBeStale bool
		revision   uint64
		want       uint64
	}{{true, 80, 80}, {false, store.At(3, 74), store.At(3, 74)}, {true, store.At(3, 80), store.At(3, 0)}} {
		r := snapshotReader{mayBeStale: c.mayBeStale}
		o.Expect(r.addPage(store.Page{Revision: c.revision}, time.Now())).To(BeTrue())
		u := r.finish(time.Now())
		o.Expect(u.Revision).To(Equal(c.want))
		o.Expect(u.RevisionUnknown).To(Equal(c.revision != c.want))
	}
	s := newState(configDecoder{}, slog.New(slog.DiscardHandler))
	entry := func(key, value string, revision uint64) store.Entry {
		return store.Entry{Key: key, Value: []byte(value), Index: store.At(3, revision)}
	}
	s.applySnapshot([]store.Entry{entry("config", `{"Version": 50}`, 79), entry(DutyPrefix+"a", "lost", 80)}, store.At(3, 0), time.Now())
	now := entry("config", `{"Version": 52}`, 75)
	s.applySnapshot([]store.Entry{now}, store.At(3, 75), time.Now())
	o.Expect(s.revision).To(Equal(store.At(3, 75)))
	o.Expect(s.configVersion()).To(BeEquivalentTo(52))
	o.Expect(s.contentEntries()).To(ConsistOf(now))
	o.Expect(s.duties).To(BeEmpty())
}

// Guards against an entry that goes back to an older value: pages of a first snapshot differ in
// their age, and the content of another daemon may lie between them.
func TestSnapshotOfAnotherDaemonBringsNoOlderEntryBack(t *testing.T) {
	o := NewWithT(t)
	s := newState(configDecoder{}, slog.New(slog.DiscardHandler))
	rejected := func(value string, index uint64) store.Entry {
		return store.Entry{Key: RejectedPrefix + "tags", Value: []byte(value), Index: index}
	}
	// The first page was read at revision 100, a later one at 150.
	s.applySnapshot([]store.Entry{rejected(`{"v2":139}`, 140)}, 100, time.Now())
	known := s.rejected["tags"]
	o.Expect(known).NotTo(BeEmpty())
	s.applySnapshot([]store.Entry{rejected(`{}`, 90)}, 120, time.Now())
	o.Expect(s.rejected["tags"]).To(Equal(known))
}
