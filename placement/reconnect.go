package placement

import (
	"time"

	"github.com/gooseberryroad/gooseberryroad/registry"
)

// ConnectAgain ends the pauses of upstreams to which no connection could be opened, because the
// fault was this daemon's own and is over.
func (t *Tracker) ConnectAgain(all []registry.Instance) {
	for _, in := range all {
		if s := t.upstreams[in.ID]; s != nil && s.connectFailures > 0 {
			s.connectFailures, s.failures = 0, 0
			s.unconnectedUntil, s.pausedUntil, s.failedAt = time.Time{}, time.Time{}, time.Time{}
		}
	}
}
