package edge

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/cutover"
	"github.com/gooseberryroad/gooseberryroad/directory"
	"github.com/gooseberryroad/gooseberryroad/telemetry"
)

const (
	// publishLook is how often the edge looks for what it has to write to the
	// store.
	publishLook = 200 * time.Millisecond
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

// publish writes the status of orders and what this daemon saw of them and of
// requests that crash upstreams.
func (e *Edge) publish(ctx context.Context) {
	t := time.NewTicker(publishLook)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, d := range e.gateway.PendingCutoverWrites(e.rank) {
			e.gateway.RecordCutoverWrite(d, e.writeCutover(ctx, d))
		}
		e.publishCrashes(ctx)
	}
}

// publishCrashes writes the counts of contents that crashed upstreams, if they
// changed.
func (e *Edge) publishCrashes(ctx context.Context) {
	counts, ok := e.gateway.PendingCrashCounts()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := e.putLeased(ctx, directory.CrashPrefix+e.o.Settings.Name, counts)
	e.gateway.RecordCrashPublish(err == nil)
	telemetry.Part(e.o.Logger, "edge").Info("crashes published", "contents", len(counts), "cause", err)
}

// putLeased writes a value that the store drops when this daemon is gone.
func (e *Edge) putLeased(ctx context.Context, key string, value any) error {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // counts by name always have a JSON form
	}
	lease := e.follower.Lease()
	if lease == 0 {
		return eris.New("daemon has no lease yet")
	}
	return e.o.Store.PutLeased(ctx, key, b, lease)
}
