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

	"github.com/gooseberryroad/gooseberryroad/relay"
	"github.com/gooseberryroad/gooseberryroad/usage"
)

// Guards against counts that are lost without an error, and against input that fills the
// memory or ends the daemon.
func TestUsage(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	var got []usage.Message
	srv := httptest.NewServer(relay.UsageHandler(func(m usage.Message) error {
		if m.Daemon == "" {
			return errors.New("the message has no daemon")
		}
		got = append(got, m)
		return nil
	}, log))
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	c := relay.NewClient(log)
	sent := []usage.Message{
		{Daemon: "d1", Process: "p1", Sequence: 3, Windows: map[usage.Window]usage.Counts{353445120: {"huka270": 412}}}, {Daemon: "d2", Process: "p2"},
	}
	if err := c.SendUsage(context.Background(), address, sent); err != nil {
		t.Fatal(err)
	}
	if len(got) != 2 || got[0].Windows[353445120]["huka270"] != 412 || got[1].Daemon != "d2" {
		t.Errorf("arrived: %+v", got)
	}
	if err := c.SendUsage(context.Background(), address, []usage.Message{{}}); err == nil || !strings.Contains(err.Error(), "no daemon") {
		t.Errorf("a message that was refused: %v", err)
	}
	for body, want := range map[string]int{
		"": http.StatusBadRequest, "{}": http.StatusBadRequest, `[{"windows":{"x":{}}}]`: http.StatusBadRequest,
		"[" + strings.Repeat(" ", 9<<20) + "]": http.StatusRequestEntityTooLarge, "[]": http.StatusOK,
	} {
		res, err := http.Post(srv.URL+relay.UsagePath, "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if res.StatusCode != want || want != http.StatusOK && len(text) < 10 {
			t.Errorf("%.20q is answered %d %q, want %d", body, res.StatusCode, text, want)
		}
	}
	res, err := http.Get(srv.URL + relay.UsagePath)
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusMethodNotAllowed {
		t.Errorf("GET is answered %d", res.StatusCode)
	}
}
