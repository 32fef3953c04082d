package relay_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberryroad/gooseberryroad/cutover"
	"github.com/gooseberryroad/gooseberryroad/directory"
	"github.com/gooseberryroad/gooseberryroad/registry"
	"github.com/gooseberryroad/gooseberryroad/relay"
	"github.com/gooseberryroad/gooseberryroad/routes"
	"github.com/gooseberryroad/gooseberryroad/sources"
	"github.com/gooseberryroad/gooseberryroad/store"
)

const upstreams = 200

// fixedStore always holds the same registrations.
type fixedStore struct{}

func (fixedStore) RangePage(context.Context, string, string, bool) (store.Page, error) {
	out := store.Page{Revision: upstreams}
	for i := range upstreams {
		value := fmt.Sprintf(`{"service":"dedications","address":"10.4.64.%d:8423","zone":"a","version":"v2","slots":64,"state":"ready"}`, i)
		out.Entries = append(out.Entries, store.Entry{Key: fmt.Sprint("up/", i), Value: []byte(value), Index: uint64(i + 1)})
	}
	return out, nil
}

func (fixedStore) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]store.Change, uint64, error) {
	<-ctx.Done()
	return nil, after, ctx.Err()
}

func (fixedStore) Era() store.Era                                       { return 0 }
func (fixedStore) NoteEra(store.Era)                                    {}
func (fixedStore) Grant(context.Context, time.Duration) (uint64, error) { return 1, nil }
func (fixedStore) PutLeased(context.Context, string, []byte, uint64) error {
	return nil
}

type decoder struct{}

func (decoder) Config(e store.Entry) (routes.Config, bool, error) {
	return routes.Config{}, e.Key == "config", nil
}
func (decoder) Order(store.Entry) (cutover.Order, bool, error) { return cutover.Order{}, false, nil }
func (decoder) Instance(e store.Entry) (registry.Instance, bool, error) {
	return registry.Instance{ID: e.Key, Service: "s"}, e.Key != "config", nil
}

func (decoder) Status(store.Entry) (string, cutover.Status, bool, error) {
	return "", cutover.Status{}, false, nil
}

// countingWriter counts the bytes of bodies.
type countingWriter struct {
	http.ResponseWriter
	n *int
}

func (c countingWriter) Write(b []byte) (int, error) {
	*c.n += len(b)
	return c.ResponseWriter.Write(b)
}

func startFollower(t *testing.T, s directory.Store) *directory.Follower {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f := directory.NewFollower(directory.Options{
		Store: s, Decoder: decoder{}, Self: sources.Peer{Name: "d"}, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	go f.Run(ctx)
	for deadline := time.Now().Add(5 * time.Second); f.Content().Revision == 0; {
		if time.Now().After(deadline) {
			t.Fatal("the store was not read")
		}
		<-time.After(5 * time.Millisecond)
	}
	return f
}

// A large change must fit through a narrow link in time; otherwise followers
// stay out of date.
func TestSnapshotIsCompressed(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	f := startFollower(t, fixedStore{})
	sent := 0
	h := relay.Handler(f.Content, log)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(countingWriter{w, &sent}, r)
	}))
	defer srv.Close()
	c := relay.NewClient(log)
	u, err := c.Fetch(context.Background(), strings.TrimPrefix(srv.URL, "http://"), 0, 0, time.Second)
	if err != nil || !u.Snapshot || len(u.Entries) != upstreams || u.Revision != upstreams {
		t.Fatalf("update of %d entries, revision %d, error %v", len(u.Entries), u.Revision, err)
	}
	raw := 0
	for _, e := range u.Entries {
		raw += len(e.Key) + len(e.Value)
	}
	if sent*4 > raw {
		t.Errorf("%d bytes were sent for %d bytes of content", sent, raw)
	}
	next, err := c.FetchAny(context.Background(), []string{strings.TrimPrefix(srv.URL, "http://")}, upstreams, time.Second)
	if err != nil || next.Snapshot || len(next.Changes) != 0 {
		t.Errorf("without a change the update is %+v, error %v", next, err)
	}
}

// A follower must not wait for a daemon that is silent, and must not give up an
// answer whose transfer has begun.
func TestAnswerMustBeginInTime(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	resume := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") == "1" {
			<-r.Context().Done()
			return
		}
		w.Header().Set("Directory-Age-Ms", "5")
		w.Header().Set("Directory-Settled", "true")
		fmt.Fprint(w, `{"revision":7,`)
		w.(http.Flusher).Flush()
		<-resume
		fmt.Fprint(w, `"whole":true}`)
	}))
	defer srv.Close()
	c := relay.NewClient(log)
	address := strings.TrimPrefix(srv.URL, "http://")
	if _, err := c.Fetch(context.Background(), address, 1, 0, 50*time.Millisecond); err == nil {
		t.Error("a silent daemon gave an answer")
	}
	time.AfterFunc(200*time.Millisecond, func() { close(resume) })
	u, err := c.Fetch(context.Background(), address, 2, 0, 100*time.Millisecond)
	if err != nil || u.Revision != 7 || !u.UpToDate || !u.Snapshot || u.Age != 5*time.Millisecond {
		t.Errorf("a slow transfer gave %+v, %v", u, err)
	}
}

// busyStore changes with every watch.
type busyStore struct{ fixedStore }

func (busyStore) RangePage(context.Context, string, string, bool) (store.Page, error) {
	return store.Page{Revision: 1, Entries: []store.Entry{{Key: "config", Value: []byte("{}"), Index: 1}}}, nil
}

func (busyStore) Watch(_ context.Context, _ string, after uint64, _ time.Duration) ([]store.Change, uint64, error) {
	e := store.Entry{Key: "config", Value: []byte("{}"), Index: after + 1}
	return []store.Change{{Entry: e}}, after + 1, nil
}

// A daemon must not compress its whole content again for each of many daemons
// that start together, although the content changes meanwhile.
func TestDaemonsThatStartTogetherShareASnapshot(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	f := startFollower(t, busyStore{})
	srv := httptest.NewServer(relay.Handler(f.Content, log))
	defer srv.Close()
	c := relay.NewClient(log)
	address := strings.TrimPrefix(srv.URL, "http://")
	revisions := map[uint64]bool{}
	first := f.Content().Revision
	var last directory.Update
	for end := time.Now().Add(700 * time.Millisecond); time.Now().Before(end); {
		u, err := c.Fetch(context.Background(), address, 0, 0, time.Second)
		if err != nil || !u.Snapshot {
			t.Fatalf("snapshot %v, error %v", u.Snapshot, err)
		}
		revisions[u.Revision] = true
		if last.Revision == u.Revision && u.Age < last.Age {
			t.Fatalf("the same content was %s old and is %s old", last.Age, u.Age)
		}
		last = u
	}
	if f.Content().Revision < first+3 {
		t.Fatalf("the content changed %d times", f.Content().Revision-first)
	}
	if len(revisions) > 2 {
		t.Errorf("%d different snapshots were sent", len(revisions))
	}
	// The next request returns what is newer than a shared answer.
	next, err := c.Fetch(context.Background(), address, last.Revision, time.Second, time.Second)
	if err != nil || next.Snapshot || next.Revision <= last.Revision {
		t.Errorf("update after revision %d has revision %d, snapshot %v, error %v", last.Revision, next.Revision, next.Snapshot, err)
	}
}

// turnedAwayStore refuses its second call.
type turnedAwayStore struct {
	fixedStore
	calls atomic.Int32
}

func (s *turnedAwayStore) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]store.Change, uint64, error) {
	switch s.calls.Add(1) {
	case 1:
		return nil, 0, store.ErrUnavailable
	case 2:
		return nil, after, nil
	}
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// A follower counts the grace period after an outage from the time at which the store
// was available to the daemon that it follows.
func TestFollowersLearnWhenTheStoreReturned(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	f := startFollower(t, &turnedAwayStore{})
	srv := httptest.NewServer(relay.Handler(f.Content, log))
	defer srv.Close()
	c := relay.NewClient(log)
	var u directory.Update
	for deadline := time.Now().Add(5 * time.Second); u.SinceRecovery == 0; {
		if time.Now().After(deadline) {
			t.Fatalf("the last update is %+v", u)
		}
		var err error
		if u, err = c.Fetch(context.Background(), strings.TrimPrefix(srv.URL, "http://"), upstreams, 0, time.Second); err != nil {
			t.Fatal(err)
		}
		<-time.After(5 * time.Millisecond)
	}
	if !u.NearOutage || u.RecoveryRevision != upstreams || u.SinceRecovery > 5*time.Second {
		t.Errorf("update after the outage: %+v", u)
	}
}

func TestTimeSinceTheRecoveryIsChecked(t *testing.T) {
	for _, text := range []string{"-5", "soon", "1e3"} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Directory-Age-Ms", "5")
			w.Header().Set("Directory-Settled", "true")
			w.Header().Set("Directory-Since-Recovery-Ms", text)
			fmt.Fprint(w, `{"revision":7,"whole":true,"near_outage":true}`)
		}))
		c := relay.NewClient(slog.New(slog.NewTextHandler(io.Discard, nil)))
		if _, err := c.Fetch(context.Background(), strings.TrimPrefix(srv.URL, "http://"), 1, 0, time.Second); err == nil {
			t.Errorf("a daemon that says %q was believed", text)
		}
		srv.Close()
	}
}
