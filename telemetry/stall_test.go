package telemetry

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"testing"
	"time"
)

// Guards against a daemon that misses its bounds because its process did not run, and
// whose log does not tell it.
func TestStallDetectorFindsLateChecks(t *testing.T) {
	start := time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var d stallDetector
	for _, c := range []struct {
		at, from, length int // milliseconds; length 0 is no stall
	}{
		{at: 0}, {at: 100}, {at: 250}, {at: 300}, {at: 499},
		{at: 1300, from: 599, length: 701},
		{at: 1310}, {at: 1400},
		{at: 1600, from: 1500, length: 100},
	} {
		s, ok := d.check(at(c.at))
		if ok != (c.length > 0) {
			t.Fatalf("check at %d ms: stall %v", c.at, ok)
		}
		if ok && (!s.From.Equal(at(c.from)) || s.Length != time.Duration(c.length)*time.Millisecond) {
			t.Errorf("check at %d ms: stall from %s for %s", c.at, s.From.Format("05.000"), s.Length)
		}
	}
}

// Guards against a change of the log line that the soak reads.
func TestRecordStallsLogsStartAndLength(t *testing.T) {
	var out bytes.Buffer
	from := time.Date(2026, 12, 6, 0, 0, 1, 0, time.UTC)
	RecordStalls(slog.New(NewJSONHandler(&out)))(Stall{From: from, Length: 740 * time.Millisecond})
	var line struct {
		Msg, Length string
		From        time.Time
	}
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	if line.Msg != StallMessage || !line.From.Equal(from) || line.Length != "740ms" {
		t.Errorf("the line is %s", out.String())
	}
}
