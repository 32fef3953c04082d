package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/gooseberryroad/gooseberryroad/internal/pause"
	"github.com/gooseberryroad/gooseberryroad/placement"
	"github.com/gooseberryroad/gooseberryroad/registry"
)

const (
	// adoptTimeout bounds the calls to an engine that took over the address of a
	// registered one.
	adoptTimeout = 300 * time.Millisecond
	// adoptRetry is the pause between two checks of an engine that is not yet known
	// from the store. It is shorter than the time after which the store counts as
	// away.
	adoptRetry = 500 * time.Millisecond
)

// adopt finds out which engine has taken the address of a registered one while
// the store cannot tell. Engines that crash during an outage of the store are
// back at their addresses under new IDs after a second or two; without
// adoption, none of them would get work until the store returns. If the outage
// begins just after the crash, the daemon notices the new engine before it
// notices the outage. adopt therefore checks again until the registration
// changes or placement.ReplacedPause is over, after which the registered engine
// may be tried again.
func (g *Gateway) adopt(old registry.Instance) {
	if !g.beginAdoption(old.ID) {
		return
	}
	defer g.endAdoption(old.ID)
	for until := time.Now().Add(placement.ReplacedPause); time.Now().Before(until) && g.registered(old); {
		if g.tryAdopt(old) {
			return
		}
		pause.For(context.Background(), adoptRetry)
	}
}

// beginAdoption reports whether no adoption is running for the same engine, and
// marks one as running.
func (g *Gateway) beginAdoption(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.adoptionsRunning[id] {
		return false
	}
	g.adoptionsRunning[id] = true
	return true
}

func (g *Gateway) endAdoption(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.adoptionsRunning, id)
}

// tryAdopt reports whether the new engine at the address is used from now on.
// The engine is used only if it serves a model that no other service serves.
func (g *Gateway) tryAdopt(old registry.Instance) bool {
	view := g.o.Directory.View()
	service, ok := view.Table.Service(old.Service)
	if !ok {
		return false
	}
	move, ordered := view.Cutovers[old.Service]
	takeover := registry.Takeover{
		Engine:        service.Engine != nil,
		StoreUpToDate: g.o.Directory.Content().UpToDate(),
		Moving:        ordered && move.Order.Open(move.Status),
	}
	if !takeover.Adoptable() {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), adoptTimeout)
	defer cancel()
	report, ok := g.queryReport(ctx, old, "", 0)
	if !ok || !view.Table.UniquelyServes(old.Service, report.Models) {
		return false
	}
	_, header, err := g.askWithHeader(ctx, old, controlCall{method: http.MethodGet, target: service.HealthPath})
	if err != nil {
		g.o.Logger.Info("engine not adopted", "address", old.Address, "cause", err)
		return false
	}
	next := old
	next.ID, next.StartUnixMilli = g.o.Protocol.InstanceID(header), report.StartedMs
	if next.ID == "" || next.ID == old.ID {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.adopted.Adopt(old, next)
	g.o.Logger.Info("engine adopted", "upstream", next.ID, "instead_of", old.ID, "address", old.Address, "models", report.Models)
	return true
}
