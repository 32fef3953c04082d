package edge

import (
	"strings"
	"testing"
	"time"
)

// Guards against connections of clients that take the descriptors which upstreams and the store
// need, and against a limit that ordinary deployments reach.
func TestMaxConnections(t *testing.T) {
	for _, c := range []struct {
		name                 string
		settings             Settings
		processFDs, min, max int
	}{
		{name: "nothing known"},
		{name: "descriptors of the settings", settings: Settings{MaxFDs: 4100}, min: 2000, max: 2000},
		{name: "descriptors of the process", processFDs: 1024, min: 462, max: 462},
		{name: "the smaller one", settings: Settings{MaxFDs: 4100}, processFDs: 1024, min: 462, max: 462},
		{name: "few descriptors", settings: Settings{MaxFDs: 20}, min: 5, max: 5},
		{name: "one descriptor", settings: Settings{MaxFDs: 1}, min: 1, max: 1},
		{name: "memory", settings: Settings{MemoryMB: 184}, processFDs: 100_000, min: 2000, max: 2500},
		{name: "little memory", settings: Settings{MemoryMB: 1}, processFDs: 100_000, min: minConnections, max: minConnections},
	} {
		if got := c.settings.maxConnections(c.processFDs); got < c.min || got > c.max {
			t.Errorf("%s: %d connections, want %d to %d", c.name, got, c.min, c.max)
		}
	}
}

// Guards against limits that clients within the operators' configurations reach: heads of 16 KB
// that arrive within 3 s, on connections that are idle for 15 s.
func TestLimitsLeaveRoomForProperClients(t *testing.T) {
	l := Settings{MemoryMB: 112}.clientLimits(0, nil)
	head := "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", usualHeadBytes/4)
	if l.MaxFields < strings.Count(head, "\n") || l.MaxHeadBytes < usualHeadBytes || l.UsualHeadBytes < usualHeadBytes {
		t.Errorf("a head of 16 KB meets the limits %+v", l)
	}
	if l.HeadTimeout < 3*time.Second || l.UsualHeadTime < 3*time.Second || unusedTimeout <= 15*time.Second || idleTimeout <= 15*time.Second {
		t.Errorf("a slow client meets the limits %+v", l)
	}
}
