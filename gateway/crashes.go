package gateway

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/directory"
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
	// eventsPastCrash is the number of events of a run after which the run is past
	// the point at which a part of a prompt crashes upstreams.
	eventsPastCrash = 3
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

// sharedParts identifies the parts of the prompt that other requests may have too. A
// part may crash the upstreams of one service and not those of another.
func (r *request) sharedParts() []quarantine.Hash {
	if r.cachedParts == nil {
		for _, id := range r.SharedPartIDs {
			r.cachedParts = append(r.cachedParts, quarantine.HashOf(r.service, id, nil))
		}
	}
	return r.cachedParts
}

// quarantineTimeLeft returns how long a request must not run because its content,
// or a part of its prompt, crashes upstreams, and which; 0 if it may run.
func (g *Gateway) quarantineTimeLeft(r *request) (time.Duration, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if !g.crashes.Empty() {
		if left := g.crashes.Quarantined(r.contentHash(), now); left > 0 {
			return left, eris.Errorf("content %s crashes upstreams", r.contentHash())
		}
	}
	if !g.partCrashes.Empty() {
		if left, part := g.partCrashes.Quarantined(r.sharedParts(), now); left > 0 {
			return left, eris.Errorf("prompt part %s crashes upstreams", part)
		}
	}
	return 0, nil
}

// mustStop reports whether a request must not be sent again or go on, because
// it crashes upstreams.
func (g *Gateway) mustStop(r *request) bool {
	left, _ := g.quarantineTimeLeft(r)
	return left > 0
}

// recordCrash counts a crash against the content of a run that broke off at its
// beginning, if a check shows that the upstream crashed. The crash is not counted
// if several upstreams of the data centre failed at about the same time, because
// that has another cause.
func (g *Gateway) recordCrash(ctx context.Context, r *request, in registry.Instance, began time.Time) {
	if !g.crashed(ctx, r, in) {
		return
	}
	if !g.reachesOthers(in, began) {
		g.o.Logger.Info("crash of an upstream not counted, as no other one responds", "id", r.ID, "upstream", in.ID)
		return
	}
	now := time.Now()
	g.mu.Lock()
	g.partCrashes.Crashed(in.ID, r.sharedParts(), now)
	g.mu.Unlock()
	together := false
	g.withTracker(func(b *placement.Tracker) { together = b.GroupFailing(in, now) })
	if together {
		g.o.Logger.Info("upstream crashed together with others of its data centre", "id", r.ID, "upstream", in.ID,
			"data_centre", in.DataCentre, "parts", r.sharedParts())
		return
	}
	g.mu.Lock()
	count := g.crashes.Crashed(r.contentHash(), began, now)
	pause := g.crashes.Quarantined(r.contentHash(), now)
	g.mu.Unlock()
	g.o.Logger.Info("upstream crashed as it began a request", "id", r.ID, "upstream", in.ID, "data_centre", in.DataCentre,
		"content", r.contentHash().String(), "crashes", count, "quarantined_for", pause, "parts", r.sharedParts())
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
		if g.answeredBy(in, resp.Header) {
			g.recordNotices(in, g.o.Protocol.DecodeResponseHead(resp.Status, resp.Header), r.ID, time.Time{})
		}
		return false
	}
	g.o.Logger.Info("no response from an upstream that was checked after it broke off", "id", r.ID, "upstream", in.ID, "cause", err)
	return ctx.Err() == nil && !errors.Is(err, upstream.ErrConnectTimeout)
}

// recordAnswering notes that an upstream is past the beginning of its answer to a
// request, so that no part of the prompt crashes upstreams.
func (g *Gateway) recordAnswering(r *request) {
	if len(r.SharedPartIDs) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.partCrashes.Answered(r.sharedParts(), time.Now())
}

// recordCompletion notes that an upstream ran a request to its end, so that
// earlier crashes no longer count against its content.
func (g *Gateway) recordCompletion(r *request) {
	g.recordAnswering(r)
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

// PendingPartReport returns what to publish of prompt parts that crash upstreams;
// false if there is nothing new.
func (g *Gateway) PendingPartReport() (quarantine.PartReport, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.partCrashes.Due(time.Now())
}

// RecordPartPublish notes whether the store accepted the published report.
func (g *Gateway) RecordPartPublish(ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.partCrashes.Published(ok, time.Now())
}

// updatePartReports takes over what other daemons, and an earlier process of this
// one, published of prompt parts. The caller holds g.mu.
func (g *Gateway) updatePartReports(v *directory.View) {
	if v.Ready && !g.partCrashesResumed {
		g.partCrashesResumed = true
		g.partCrashes.Resume(v.PartReports[g.o.Name].Report, v.PartReports[g.o.Name].ReadAt)
	}
	g.partCrashes.Retain(func(daemon string) bool { _, ok := v.PartReports[daemon]; return ok })
	for daemon, r := range v.PartReports {
		if daemon != g.o.Name && g.partReportRevisions[daemon] != r.Revision {
			g.partReportRevisions[daemon] = r.Revision
			g.partCrashes.Merge(daemon, r.Report, r.ReadAt)
		}
	}
	maps.DeleteFunc(g.partReportRevisions, func(daemon string, _ uint64) bool { _, ok := v.PartReports[daemon]; return !ok })
}

// RecordCrashPublish notes whether the store accepted the published counts.
func (g *Gateway) RecordCrashPublish(ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes.Published(ok, time.Now())
}
