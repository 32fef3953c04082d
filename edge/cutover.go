package edge

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/gooseberryroad/gooseberryroad/cutover"
	"github.com/gooseberryroad/gooseberryroad/directory"
	"github.com/gooseberryroad/gooseberryroad/gateway"
	"github.com/gooseberryroad/gooseberryroad/membership"
	"github.com/gooseberryroad/gooseberryroad/store"
	"github.com/gooseberryroad/gooseberryroad/telemetry"
)

const (
	// cutoverEvery is how often the moves between versions are looked at.
	cutoverEvery = 200 * time.Millisecond
	// writeTimeout bounds one write to the store.
	writeTimeout = 1500 * time.Millisecond
)

// Store is what an edge needs of the platform's service.
type Store interface {
	directory.Store
	// ReportCutover writes the status of an order if the status has the given
	// revision; 0 is no status.
	ReportCutover(ctx context.Context, service, target string, state cutover.State, revision uint64) error
}

// writeCutovers writes the status of orders and what this daemon saw of them.
func (e *Edge) writeCutovers(ctx context.Context) {
	t := time.NewTicker(cutoverEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, d := range e.gateway.CutoversDue(e.rank) {
			e.gateway.CutoverWritten(d, e.writeCutover(ctx, d))
		}
	}
}

// writeCutover reports whether the store took all that was due.
func (e *Edge) writeCutover(ctx context.Context, d gateway.Due) bool {
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
	value, err := json.Marshal(d.Evidence)
	if err != nil {
		panic(err) // numbers and strings always have a JSON form
	}
	key := directory.EvidencePrefix + d.Service + "/" + e.o.Settings.Name
	if err := e.o.Store.PutLeased(ctx, key, value, e.follower.Lease()); err != nil {
		log.Warn("evidence not written", "service", d.Service, "cause", err)
		return false
	}
	return taken
}

// rank is this daemon's place among all daemons for a service.
func (e *Edge) rank(service string) int {
	own := membership.Rendezvous(service, e.o.Settings.Name)
	n := 0
	for _, p := range e.follower.View().Peers {
		if p != e.o.Settings.Name && membership.Rendezvous(service, p) > own {
			n++
		}
	}
	return n
}
