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
	"github.com/gooseberryroad/gooseberryroad/sizing"
)

// Guards against demand that is lost without an error, and against input that fills the
// memory or ends the daemon.
func TestDemand(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	var got []relay.Demand
	srv := httptest.NewServer(relay.DemandHandler(func(m relay.Demand) error {
		if m.Daemon == "" {
			return errors.New("the message names no daemon")
		}
		got = append(got, m)
		return nil
	}, log))
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	c := relay.NewClient(log)
	sent := relay.Demand{Daemon: "d1", Message: sizing.Message{Process: 7, DataCentre: "a", Intervals: []sizing.IntervalSamples{
		{Seq: 3, AgeMs: 40, Services: map[string]sizing.Sample{"llm": {Arrived: 2, Tokens: 900, Pace: map[int]int{-5: 1}}}},
	}}}
	if err := c.SendDemand(context.Background(), address, sent); err != nil {
		t.Fatal(err)
	}
	if len(got) != 1 || got[0].Daemon != "d1" || got[0].Process != 7 || got[0].DataCentre != "a" || got[0].Intervals[0].Services["llm"].Pace[-5] != 1 {
		t.Errorf("arrived: %+v", got)
	}
	if err := c.SendDemand(context.Background(), address, relay.Demand{}); err == nil || !strings.Contains(err.Error(), "no daemon") {
		t.Errorf("a message that was refused: %v", err)
	}
	for body, want := range map[string]int{
		"": http.StatusBadRequest, "[]": http.StatusBadRequest, `{"daemon":"d","intervals":[{"v":{"llm":{"n":"x"}}}]}`: http.StatusBadRequest,
		`{"daemon":"d"` + strings.Repeat(" ", 2<<20) + "}": http.StatusRequestEntityTooLarge, `{"daemon":"d"}`: http.StatusOK,
	} {
		res, err := http.Post(srv.URL+relay.DemandPath, "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if res.StatusCode != want || want != http.StatusOK && len(text) < 10 {
			t.Errorf("%.20q is answered %d %q, want %d", body, res.StatusCode, text, want)
		}
	}
	res, err := http.Get(srv.URL + relay.DemandPath)
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusMethodNotAllowed {
		t.Errorf("GET is answered %d", res.StatusCode)
	}
}
