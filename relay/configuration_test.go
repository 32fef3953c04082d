package relay_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryroad/gooseberryroad/directory"
	"github.com/gooseberryroad/gooseberryroad/relay"
	"github.com/gooseberryroad/gooseberryroad/routes"
	"github.com/gooseberryroad/gooseberryroad/sources"
	"github.com/gooseberryroad/gooseberryroad/store"
)

// configStore holds a configuration in era 2.
type configStore struct{ fixedStore }

func (configStore) RangePage(context.Context, string, string, bool) (store.Page, error) {
	e := store.Entry{Key: "config", Value: []byte("text"), Index: store.At(2, 7)}
	return store.Page{Revision: store.At(2, 9), Entries: []store.Entry{e}}, nil
}

func (configStore) Era() store.Era { return 2 }

// versionDecoder reads version 54 from all configurations.
type versionDecoder struct{ decoder }

func (versionDecoder) Config(e store.Entry) (routes.Config, bool, error) {
	return routes.Config{Version: 54}, e.Key == "config", nil
}

// Guards against a configuration that does not pass between two daemons whose contents have
// the same index, and against calls that daemons of an earlier build cannot answer.
func TestConfigurationPassesWithTheSameIndex(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	c := relay.NewClient(log)
	f := directory.NewFollower(directory.Options{Store: configStore{}, Decoder: versionDecoder{}, Relay: c, Self: sources.Peer{Name: "d"}, Logger: log})
	go f.Run(t.Context())
	select {
	case <-f.Ready():
	case <-time.After(5 * time.Second):
		t.Fatal("the store was not read")
	}
	srv := httptest.NewServer(relay.Handler(f.Content, log))
	defer srv.Close()
	exchange := func(srv *httptest.Server, version int64) (store.Entry, bool, error) {
		return c.ExchangeConfig(t.Context(), strings.TrimPrefix(srv.URL, "http://"), version, "127.0.0.1:1", time.Second)
	}
	e, newer, err := exchange(srv, 53)
	if err != nil || !newer || e.Key != "config" || string(e.Value) != "text" || e.Index != store.At(2, 7) {
		t.Errorf("entry %+v, newer %v, error %v", e, newer, err)
	}
	for _, version := range []int64{54, 55} {
		if _, newer, err := exchange(srv, version); err != nil || newer {
			t.Errorf("a daemon that has version %d: newer %v, error %v", version, newer, err)
		}
	}
	earlier := http.NewServeMux()
	earlier.HandleFunc("GET "+relay.Path, func(http.ResponseWriter, *http.Request) {})
	old := httptest.NewServer(earlier)
	defer old.Close()
	if _, _, err := exchange(old, 53); !errors.Is(err, directory.ErrNoExchange) {
		t.Errorf("a daemon of an earlier build: %v", err)
	}
	res, err := http.Post(srv.URL+relay.ConfigPath, "application/json", strings.NewReader("no JSON"))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusBadRequest {
		t.Errorf("a body that is not JSON: status %d", res.StatusCode)
	}
}
