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
	// adoptTimeout bounds the questions to an engine that took an address over.
	adoptTimeout = 300 * time.Millisecond
	// adoptRetry is the pause between two looks at an engine that the store has not
	// told of yet. It is below the time after which the store counts as away.
	adoptRetry = 500 * time.Millisecond
)

// adopt finds out which engine has taken the address of a registered one while
// the store cannot say so. Engines that crash during an outage are back at their
// addresses under new IDs after a second or two, and without this none of them
// gets work until the store returns. An outage that begins just after the crash
// is noticed later than the new engine, so adopt looks again until the store has
// told of it or the registered one may be tried again.
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

// beginAdoption reports whether no other request looks at the same engine.
func (g *Gateway) beginAdoption(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.adopting[id] {
		return false
	}
	g.adopting[id] = true
	return true
}

func (g *Gateway) endAdoption(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.adopting, id)
}

// tryAdopt reports whether the engine at the address is in use now. It is used
// only if it serves a model that belongs to the same service alone.
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
	report, ok := g.report(ctx, old, "")
	if !ok || !view.Table.UniquelyServes(old.Service, report.Models) {
		return false
	}
	_, header, err := g.askWithHeader(ctx, old, http.MethodGet, service.HealthPath, nil)
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
