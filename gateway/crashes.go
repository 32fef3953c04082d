package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gooseberryroad/gooseberryroad/placement"
	"github.com/gooseberryroad/gooseberryroad/quarantine"
	"github.com/gooseberryroad/gooseberryroad/registry"
	"github.com/gooseberryroad/gooseberryroad/upstream"
)

// codeQuarantined is the code of requests that are not sent, or not sent again,
// because their content crashes upstreams.
const codeQuarantined = "quarantined"

const (
	// maxFirstEvents is the number of events of a run up to which a crash may be
	// its own doing: such a request crashes each upstream that begins to run it.
	maxFirstEvents = 1
	// crashLookTimeout bounds the question to an upstream that broke off, within the
	// pause that a stream may have.
	crashLookTimeout = 60 * time.Millisecond
	// newConnection is an idle time that no kept connection meets.
	newConnection = time.Nanosecond
)

// content identifies what a client asks for: the same path, account and body are
// the same content at any daemon.
func (r *request) content() quarantine.Hash {
	if r.hash == nil {
		h := quarantine.HashOf(r.account, r.Method+" "+r.Host+" "+r.Target, append([]byte(r.PromptPartID+"\n"), r.Body...))
		r.hash = &h
	}
	return *r.hash
}

// quarantined returns how long a request may not run because its content crashes
// the upstreams that run it; 0 for one that may.
func (g *Gateway) quarantined(r *request) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.crashes.Empty() {
		return 0
	}
	return g.crashes.Quarantined(r.content(), time.Now())
}

// countCrash counts a run that broke off at its begin against its content if the
// upstream crashed. Upstreams of a data centre that crash together have another
// cause.
func (g *Gateway) countCrash(ctx context.Context, r *request, in registry.Instance, began time.Time) {
	if !g.crashed(ctx, r, in) {
		return
	}
	now := time.Now()
	together := false
	g.onBoard(func(b *placement.Tracker) { together = b.GroupFailing(in, now) })
	if together {
		return
	}
	g.mu.Lock()
	count := g.crashes.Crashed(r.content(), began, now)
	pause := g.crashes.Quarantined(r.content(), now)
	g.mu.Unlock()
	g.o.Logger.Info("upstream crashed as it began a request", "id", r.ID, "upstream", in.ID, "data_centre", in.DataCentre,
		"content", r.content().String(), "crashes", count, "quarantined_for", pause)
}

// crashed reports whether an upstream turns a new connection away or drops it
// without an answer. One that lost an answer or a connection still answers others;
// one that is silent may be cut off.
func (g *Gateway) crashed(ctx context.Context, r *request, in registry.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, crashLookTimeout)
	defer cancel()
	target := g.o.Protocol.ReportTarget()
	if service, ok := g.o.Directory.View().Table.Service(in.Service); ok && service.Engine == nil {
		target = service.HealthPath
	}
	ans, err := g.o.Pool.Do(ctx, upstream.Request{
		Address: in.Address, Method: http.MethodGet, Target: target, Host: in.Address, Header: http.Header{}, MaxIdle: newConnection,
	})
	if err == nil {
		ans.Body.Close()
		return false
	}
	g.o.Logger.Info("upstream asked after it broke off", "id", r.ID, "upstream", in.ID, "cause", err)
	return ctx.Err() == nil && !errors.Is(err, upstream.ErrConnectTimeout)
}

// completed notes that an upstream ran a request to its end.
func (g *Gateway) completed(r *request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.crashes.Empty() {
		g.crashes.Completed(r.content())
	}
}

// CrashesDue returns the crashes to publish; false when there is nothing new.
func (g *Gateway) PendingCrashCounts() (map[quarantine.Hash]int, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes.Due(time.Now())
}

// CrashesPublished notes whether the store took them.
func (g *Gateway) RecordCrashPublish(ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes.Published(ok, time.Now())
}
