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

// codeQuarantined is the refusal code of requests that are not sent, or not
// sent again, because their content crashes upstreams.
const codeQuarantined = "quarantined"

const (
	// maxEventsBeforeCrash is the largest number of events of a run after which a
	// crash is still attributed to the run's content: content that crashes
	// upstreams crashes each one as it begins the run.
	maxEventsBeforeCrash = 1
	// crashCheckTimeout bounds the check of an upstream that broke off. It fits
	// into the pause between events that a stream may have.
	crashCheckTimeout = 60 * time.Millisecond
	// forceNewConnection is a maximum idle time so short that no idle connection is
	// reused.
	forceNewConnection = time.Nanosecond
)

// contentHash identifies the content of a request. Requests with the same
// account, method, host, target, prompt part and body have the same hash at
// every daemon.
func (r *request) contentHash() quarantine.Hash {
	if r.cachedHash == nil {
		h := quarantine.HashOf(r.account, r.Method+" "+r.Host+" "+r.Target, append([]byte(r.PromptPartID+"\n"), r.Body...))
		r.cachedHash = &h
	}
	return *r.cachedHash
}

// quarantineTimeLeft returns how long a request must not run because its
// content crashes upstreams; 0 if it may run.
func (g *Gateway) quarantineTimeLeft(r *request) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.crashes.Empty() {
		return 0
	}
	return g.crashes.Quarantined(r.contentHash(), time.Now())
}

// recordCrash counts a crash against the content of a run that broke off at its
// beginning, if a check shows that the upstream crashed. The crash is not counted
// if several upstreams of the data centre failed at about the same time, because
// that has another cause.
func (g *Gateway) recordCrash(ctx context.Context, r *request, in registry.Instance, began time.Time) {
	if !g.crashed(ctx, r, in) {
		return
	}
	now := time.Now()
	together := false
	g.withTracker(func(b *placement.Tracker) { together = b.GroupFailing(in, now) })
	if together {
		return
	}
	g.mu.Lock()
	count := g.crashes.Crashed(r.contentHash(), began, now)
	pause := g.crashes.Quarantined(r.contentHash(), now)
	g.mu.Unlock()
	g.o.Logger.Info("upstream crashed as it began a request", "id", r.ID, "upstream", in.ID, "data_centre", in.DataCentre,
		"content", r.contentHash().String(), "crashes", count, "quarantined_for", pause)
}

// crashed reports whether an upstream refuses a new connection or closes it
// without a response. An upstream that lost only one response or connection
// still responds to other requests, and one that does not respond in time may
// be cut off from the network.
func (g *Gateway) crashed(ctx context.Context, r *request, in registry.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	target := g.o.Protocol.ReportTarget()
	if service, ok := g.o.Directory.View().Table.Service(in.Service); ok && service.Engine == nil {
		target = service.HealthPath
	}
	resp, err := g.o.Pool.Do(ctx, upstream.Request{
		Address: in.Address, Method: http.MethodGet, Target: target, Host: in.Address, Header: http.Header{}, MaxIdle: forceNewConnection,
	})
	if err == nil {
		resp.Body.Close()
		return false
	}
	g.o.Logger.Info("no response from an upstream that was checked after it broke off", "id", r.ID, "upstream", in.ID, "cause", err)
	return ctx.Err() == nil && !errors.Is(err, upstream.ErrConnectTimeout)
}

// recordCompletion notes that an upstream ran a request to its end, so that
// earlier crashes no longer count against its content.
func (g *Gateway) recordCompletion(r *request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.crashes.Empty() {
		g.crashes.Completed(r.contentHash())
	}
}

// PendingCrashCounts returns the crash counts to publish, by content; false if
// there is nothing new.
func (g *Gateway) PendingCrashCounts() (map[quarantine.Hash]int, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes.Due(time.Now())
}

// RecordCrashPublish notes whether the store accepted the published counts.
func (g *Gateway) RecordCrashPublish(ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes.Published(ok, time.Now())
}
