package edge

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/cutover"
	"github.com/gooseberryroad/gooseberryroad/directory"
	"github.com/gooseberryroad/gooseberryroad/gateway"
	"github.com/gooseberryroad/gooseberryroad/membership"
	"github.com/gooseberryroad/gooseberryroad/store"
	"github.com/gooseberryroad/gooseberryroad/telemetry"
)

// writeCutover writes a status or evidence to the store. It reports whether the
// store accepted all of it.
func (e *Edge) writeCutover(ctx context.Context, w gateway.PendingWrite) bool {
	log := telemetry.WithPart(e.o.Logger, "cutover")
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	written := true
	if w.State != "" {
		err := e.reportCutover(ctx, w)
		if errors.Is(err, store.ErrConflict) {
			// Another daemon wrote the status first; the watch delivers it.
			err = nil
		}
		written = err == nil
		log.Info("status write finished", "service", w.Service, "target", w.Target, "state", w.State, "outcomes", w.Outcomes, "unexamined", w.Unexamined,
			"requests", w.Requests, "target_requests", w.TargetRequests, "cause", err)
	}
	if w.Evidence == nil {
		return written
	}
	key := directory.EvidencePrefix + w.Service + "/" + e.o.Settings.Name
	if err := e.putLeased(ctx, key, w.Evidence); err != nil {
		log.Warn("evidence not written", "service", w.Service, "cause", err)
		return false
	}
	return written
}

// reportCutover writes a status, and along with it which versions of the service are
// reverted, so that no daemon sees the one without the other.
func (e *Edge) reportCutover(ctx context.Context, w gateway.PendingWrite) error {
	status := cutover.Status{Target: w.Target, State: w.State, Revision: w.StatusRevision}
	if w.Rejected == nil {
		return e.o.Store.ReportCutover(ctx, w.Service, status)
	}
	value, err := json.Marshal(w.Rejected)
	if err != nil {
		return eris.Wrap(err, "encode the reverted versions")
	}
	return e.o.Store.ReportCutover(ctx, w.Service, status, store.Entry{Key: directory.RejectedPrefix + w.Service, Value: value})
}

// ownRank returns the position of this daemon among all daemons for a service,
// by rendezvous hash; 0 is the first.
func (e *Edge) ownRank(service string) int {
	own := membership.RendezvousWeight(service, e.o.Settings.Name)
	n := 0
	for _, p := range e.follower.View().Peers {
		if p != e.o.Settings.Name && membership.RendezvousWeight(service, p) > own {
			n++
		}
	}
	return n
}
