package relay_test

import (
	"context"
	"io"
	"log/slog"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberryroad/gooseberryroad/directory"
	"github.com/gooseberryroad/gooseberryroad/relay"
	"github.com/gooseberryroad/gooseberryroad/sources"
	"github.com/gooseberryroad/gooseberryroad/store"
)

// restoredStore is restored from an older copy when restored is closed.
type restoredStore struct {
	configStore
	era      *atomic.Uint64
	restored chan struct{}
}

func (s restoredStore) RangePage(context.Context, string, string, bool) (store.Page, error) {
	e := store.Era(s.era.Load())
	config := store.Entry{Key: "config", Value: []byte("text"), Index: store.At(e, 7)}
	return store.Page{Revision: store.At(e, 20-5*uint64(e)), Entries: []store.Entry{config}}, nil
}

func (s restoredStore) Watch(ctx context.Context, _ string, after uint64, _ time.Duration) ([]store.Change, uint64, error) {
	select {
	case <-s.restored:
		if store.EraOf(after) != s.Era() {
			return nil, 0, store.ErrCompacted
		}
		<-ctx.Done()
	case <-ctx.Done():
	}
	return nil, 0, ctx.Err()
}

func (s restoredStore) Era() store.Era { return store.Era(s.era.Load()) }

// Guards against a compressed answer that is reused after the store was restored: the
// follower takes this daemon for one that does not know the newest era and passes it over.
func TestAnswerOfAnOlderEraIsNotReused(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	c := relay.NewClient(log)
	s := restoredStore{era: &atomic.Uint64{}, restored: make(chan struct{})}
	s.era.Store(1)
	f := directory.NewFollower(directory.Options{Store: s, Decoder: versionDecoder{}, Relay: c, Self: sources.Peer{Name: "d"}, Logger: log})
	go f.Run(t.Context())
	srv := httptest.NewServer(relay.Handler(f.Content, log))
	defer srv.Close()
	fetch := func(after uint64) uint64 {
		u, err := c.Fetch(t.Context(), strings.TrimPrefix(srv.URL, "http://"), after, 0, time.Second)
		if err != nil || !u.Snapshot {
			t.Fatalf("update %+v, error %v", u, err)
		}
		return u.Revision
	}
	await := func(revision uint64) {
		for deadline := time.Now().Add(5 * time.Second); f.Content().Revision != revision; {
			if time.Now().After(deadline) {
				t.Fatalf("the content has revision %s", store.Shown(f.Content().Revision))
			}
			<-time.After(5 * time.Millisecond)
		}
	}
	await(store.At(1, 15))
	if got := fetch(0); got != store.At(1, 15) {
		t.Errorf("revision %s", store.Shown(got))
	}
	s.era.Store(2)
	close(s.restored)
	await(store.At(2, 10))
	if got := fetch(store.At(1, 12)); got != store.At(2, 10) {
		t.Errorf("a follower that is behind gets revision %s of a daemon that knows %s", store.Shown(got), store.Shown(f.Content().Revision))
	}
}
