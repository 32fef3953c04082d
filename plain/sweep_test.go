package plain_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/claim"
	"github.com/gooseberryroad/gooseberryroad/plain"
	"github.com/gooseberryroad/gooseberryroad/store"
)

// deletingStore is a memStore that implements plain.Deleter.
type deletingStore struct {
	*memStore
	// afterList is called with the entries of each list, before it returns.
	afterList func([]store.Entry)
}

func (s deletingStore) List(ctx context.Context, prefix string, index uint64, wait time.Duration) ([]store.Entry, uint64, error) {
	entries, at, err := s.memStore.List(ctx, prefix, index, wait)
	if s.afterList != nil {
		s.afterList(entries)
	}
	return entries, at, err
}

func (s deletingStore) CompareAndDelete(_ context.Context, key string, index uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].Index != index {
		return store.ErrConflict
	}
	delete(s.entries, key)
	return nil
}

type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }
func (c *manualClock) AfterFunc(time.Duration, func()) (stop func() bool) {
	return func() bool { return true }
}

var _ = Describe("Sweeper", func() {
	putRecord := func(s *memStore, key string, st claim.State) string {
		k := claim.StoreKey("shop", "apiary", key)
		r := claim.Record{State: st, Nonce: key}
		if st == claim.StateDone {
			r.Outcome = &claim.Outcome{Status: 200}
		}
		_, err := s.CompareAndSwap(context.Background(), k, r.Encode(), s.entries[k].Index)
		Expect(err).NotTo(HaveOccurred())
		return k
	}
	sweepAllShards := func(s *plain.Sweeper) (n plain.SweepStats) {
		for range claim.Shards {
			one, err := s.Sweep(context.Background())
			Expect(err).NotTo(HaveOccurred())
			n.Seen, n.Claimed, n.Expired, n.Deleted = n.Seen+one.Seen, n.Claimed+one.Claimed, n.Expired+one.Expired, n.Deleted+one.Deleted
		}
		return n
	}

	// Guards promise P6 of docs/proof.md (at most one run per key) and the size of
	// the store: no record may be deleted before the retention has passed, while it
	// is claimed, or after it was claimed again meanwhile.
	It("deletes done and released records after the retention, and no others", func() {
		s := deletingStore{memStore: newMemStore()}
		clock := &manualClock{now: t0}
		sw := plain.NewSweeper(s, clock)
		sweepAllShards(sw)
		for i := range 20 {
			putRecord(s.memStore, fmt.Sprint("done", i), claim.StateDone)
			putRecord(s.memStore, fmt.Sprint("released", i), claim.StateReleased)
		}
		claimedKey := putRecord(s.memStore, "held", claim.StateClaimed)
		// The released record that is swept last is claimed again between the
		// list that shows it as released and its deletion.
		lastReleased := ""
		for i := range 20 {
			if k := fmt.Sprint("released", i); lastReleased == "" || claim.StoreKey("shop", "apiary", k) > claim.StoreKey("shop", "apiary", lastReleased) {
				lastReleased = k
			}
		}
		reclaimedKey := claim.StoreKey("shop", "apiary", lastReleased)
		initialCount := len(s.entries)
		for range 24 {
			Expect(sweepAllShards(sw).Deleted).To(BeZero())
			clock.now = clock.now.Add(time.Hour)
		}
		s.afterList = func(entries []store.Entry) {
			for _, e := range entries {
				if e.Key == reclaimedKey && len(s.entries) < initialCount {
					putRecord(s.memStore, lastReleased, claim.StateClaimed)
				}
			}
		}
		sw = plain.NewSweeper(s, clock)
		total := plain.SweepStats{}
		for range 4 {
			total.Deleted += sweepAllShards(sw).Deleted
			clock.now = clock.now.Add(time.Hour)
		}
		Expect(total.Deleted).To(Equal(39))
		Expect(s.entries).To(HaveKey(claimedKey))
		Expect(s.entries).To(HaveKey(reclaimedKey))
		Expect(s.entries).To(HaveLen(3), "the two claimed records and the epochs")
	})
})

var t0 = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
