package edge

import (
	"context"
	"errors"

	"github.com/gooseberryroad/gooseberryroad/directory"
	"github.com/gooseberryroad/gooseberryroad/gateway"
	"github.com/gooseberryroad/gooseberryroad/membership"
	"github.com/gooseberryroad/gooseberryroad/store"
	"github.com/gooseberryroad/gooseberryroad/telemetry"
)

// writeCutover reports whether the store took all that was due.
func (e *Edge) writeCutover(ctx context.Context, d gateway.PendingWrite) bool {
	log := telemetry.Part(e.o.Logger, "cutover")
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	taken := true
	if d.State != "" {
		err := e.o.Store.ReportCutover(ctx, d.Service, d.Target, d.State, d.StatusRevision)
		if errors.Is(err, store.ErrConflict) {
			// Another daemon was first; the watch brings its status.
			err = nil
		}
		taken = err == nil
		log.Info("status written", "service", d.Service, "target", d.Target, "state", d.State, "cause", err)
	}
	if d.Evidence == nil {
		return taken
	}
	key := directory.EvidencePrefix + d.Service + "/" + e.o.Settings.Name
	if err := e.putLeased(ctx, key, d.Evidence); err != nil {
		log.Warn("evidence not written", "service", d.Service, "cause", err)
		return false
	}
	return taken
}

// rank is this daemon's place among all daemons for a service.
func (e *Edge) rank(service string) int {
	own := membership.RendezvousWeight(service, e.o.Settings.Name)
	n := 0
	for _, p := range e.follower.View().Peers {
		if p != e.o.Settings.Name && membership.RendezvousWeight(service, p) > own {
			n++
		}
	}
	return n
}
