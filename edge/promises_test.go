package edge

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"github.com/gooseberryroad/gooseberryroad/telemetry"
)

// Guards against a timer that is changed by itself and breaks a promise that several
// timers keep, as when followers of a silent daemon learnt of a configuration after 2.2 s
// of 2 s.
func TestTimersKeepThePromisesOfThePlatform(t *testing.T) {
	// The bounds in the platform's settings files.
	s := Settings{
		StopGrace: 8 * time.Second, MaxStaleness: 2 * time.Second,
		MaxRevocationTime: 5 * time.Second, MaxDrainTime: 2 * time.Second,
	}
	chains := s.Promises()
	if len(chains) != 5 {
		t.Fatalf("%d promises", len(chains))
	}
	for _, c := range chains {
		if c.Margin() < 0 {
			t.Errorf("%s: %s, but only %s are allowed", c.Promise, c, c.Bound)
		}
	}
}

// Guards against settings that cannot be kept and are accepted without a word.
func TestBrokenPromisesAreLogged(t *testing.T) {
	for _, c := range []struct {
		name     string
		settings Settings
		promises []string
	}{
		{name: "no bounds"},
		{name: "short staleness", settings: Settings{MaxStaleness: 500 * time.Millisecond}, promises: []string{"configuration"}},
		{name: "short grace", settings: Settings{StopGrace: 2 * time.Second}, promises: []string{"stop"}},
		{name: "strict revocation", settings: Settings{MaxRevocationTime: time.Second}, promises: []string{"revoked keys"}},
		{name: "short drain", settings: Settings{MaxDrainTime: time.Second}, promises: []string{"removed upstreams"}},
	} {
		var out bytes.Buffer
		c.settings.logBrokenPromises(slog.New(telemetry.NewJSONHandler(&out)))
		if lines := bytes.Count(out.Bytes(), []byte("\n")); lines != len(c.promises) {
			t.Errorf("%s: %d lines: %s", c.name, lines, out.String())
		}
		for _, p := range c.promises {
			if !bytes.Contains(out.Bytes(), []byte(`"promise":"`+p+`"`)) {
				t.Errorf("%s: %q is missing in %s", c.name, p, out.String())
			}
		}
	}
}
