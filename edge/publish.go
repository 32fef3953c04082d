package edge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/cutover"
	"github.com/gooseberryroad/gooseberryroad/directory"
	"github.com/gooseberryroad/gooseberryroad/era"
	"github.com/gooseberryroad/gooseberryroad/store"
	"github.com/gooseberryroad/gooseberryroad/telemetry"
)

const (
	// publishInterval is how often the daemon checks whether it has something to
	// write to the store. The end of an order to move a service leaves no more time than
	// a few of these.
	publishInterval = 100 * time.Millisecond
	// writeTimeout bounds one write to the store.
	writeTimeout = 1500 * time.Millisecond
)

// Store is the part of the platform's store that an Edge uses.
type Store interface {
	directory.Store
	// ReportCutover writes the status of a cutover order if the stored status still
	// has the given revision; 0 means that there is no status. The other entries are
	// written in the same transaction.
	ReportCutover(ctx context.Context, service string, s cutover.Status, with ...store.Entry) error
}

// publish writes the status of cutover orders, this daemon's evidence about
// them, and its counts of crashes, whenever they change.
func (e *Edge) publish(ctx context.Context) {
	t := time.NewTicker(publishInterval)
	defer t.Stop()
	var again rewrite
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			if again.due(e.StoreEra(), e.follower.View().Ready, now) {
				e.gateway.PublishAgain()
			}
		}
		for _, w := range e.gateway.PendingCutoverWrites(e.ownRank) {
			e.gateway.RecordCutoverWrite(w, e.writeCutover(ctx, w))
		}
		e.publishCrashes(ctx)
		e.publishPartReport(ctx)
	}
}

// StoreEra returns the newest era of the store that this daemon has learnt of: from any
// response of the store or from another daemon.
func (e *Edge) StoreEra() store.Era { return e.follower.Era() }

// rewrite decides when this daemon writes its entries again because the store was restored
// from an older copy.
type rewrite struct {
	known bool
	era   store.Era
	at    time.Time
}

// due reports whether the entries are to be written again now. The first era that is seen
// once the directory has been read is that in which they are written anyway.
func (r *rewrite) due(newest store.Era, ready bool, now time.Time) bool {
	switch {
	case !ready:
		return false
	case !r.known:
		r.known, r.era = true, newest
	case newest > r.era:
		r.era, r.at = newest, now.Add(rand.N(era.RewriteSpread))
	}
	if r.at.IsZero() || now.Before(r.at) {
		return false
	}
	r.at = time.Time{}
	return true
}

// publishCrashes writes the numbers of upstreams that each content crashed, if
// they changed.
func (e *Edge) publishCrashes(ctx context.Context) {
	counts, ok := e.gateway.PendingCrashCounts()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := e.putLeased(ctx, directory.CrashPrefix+e.o.Settings.Name, counts)
	e.gateway.RecordCrashPublish(err == nil)
	telemetry.WithPart(e.o.Logger, "edge").Info("crashes published", "contents", len(counts), "cause", err)
}

// publishPartReport writes which parts of prompts crashed upstreams, and which of
// them other upstreams answer, if that changed.
func (e *Edge) publishPartReport(ctx context.Context) {
	report, ok := e.gateway.PendingPartReport()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := e.putLeased(ctx, directory.PartPrefix+e.o.Settings.Name, report)
	e.gateway.RecordPartPublish(err == nil)
	telemetry.WithPart(e.o.Logger, "edge").Info("prompt parts published", "crashes", len(report.Crashes), "sound", len(report.Sound), "cause", err)
}

// putLeased writes a value that the store deletes when the lease of this daemon
// ends.
func (e *Edge) putLeased(ctx context.Context, key string, value any) error {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // counts by name can always be encoded
	}
	lease, err := e.follower.Lease(ctx)
	if err != nil {
		return eris.Wrap(err, "get the lease of this daemon's keys")
	}
	return e.o.Store.PutLeased(ctx, key, b, lease)
}
