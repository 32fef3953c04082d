package gateway

import (
	"context"
	"time"

	"github.com/gooseberryroad/gooseberryroad/internal/pause"
	"github.com/gooseberryroad/gooseberryroad/placement"
	"github.com/gooseberryroad/gooseberryroad/registry"
)

// recordLimit records the limit that an upstream names in the head of an answer, or that
// it names none. Only a proven answer to a request ends a limit: that to a control call,
// for which sentAt is zero, need not name it.
func (g *Gateway) recordLimit(in registry.Instance, head ResponseHead, id string, sentAt time.Time) {
	now := time.Now()
	news, limited := placement.LimitUnchanged, 0
	g.withTracker(func(b *placement.Tracker) {
		switch {
		case head.LimitErr != nil:
			news = b.SaidUnreadableLimit(in)
		case head.Limit != nil:
			news = b.SaidLimit(in, *head.Limit, sentAt.IsZero(), now)
		case head.Sealed:
			news = b.SaidNoLimit(in, sentAt, now)
		}
		if news != placement.LimitUnchanged {
			limited = b.LimitedUpstreams()
		}
	})
	if news == placement.LimitUnchanged {
		return
	}
	limitedUpstreams.Set(float64(limited))
	log := g.o.Logger.With("upstream", in.ID, "data_centre", in.DataCentre, "id", id)
	switch news {
	case placement.LimitNamed:
		log.Info("upstream names a limit", "requests_per_second", *head.Limit, "daemons", g.o.Directory.View().Daemons)
	case placement.LimitChanged:
		log.Info("upstream changes its limit", "requests_per_second", *head.Limit)
	case placement.LimitEnded:
		log.Info("upstream names no limit any more")
	case placement.LimitUnreadable:
		log.Warn("limit of an upstream ignored", "cause", head.LimitErr)
	}
}

// restorePermitWait is how long a stream waits for a permit at the engine that holds its
// copy. Reading the prompt again takes about a second.
const restorePermitWait = 500 * time.Millisecond

// takeFirstPermit returns the first of the upstreams to which a request may be sent now,
// and takes a permit for it if the upstream names a limit.
func (g *Gateway) takeFirstPermit(ranked []placement.Ranked) (in registry.Instance, ok bool) {
	now := time.Now()
	g.withTracker(func(b *placement.Tracker) {
		for _, c := range ranked {
			if ok = b.TakePermit(c.Instance, now); ok {
				in = c.Instance
				return
			}
		}
	})
	return in, ok
}

// limitedShare returns the part of the upstreams of a request that name a limit.
func (g *Gateway) limitedShare(r *request) float64 {
	upstreams := g.o.Directory.View().Upstreams[r.service]
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.LimitedShare(g.adopted.Apply(g.ofVersion(r, upstreams)))
}

// permitExpected reports whether all upstreams of a request withhold work now, and the first
// one that accepts some again, before giveUpAt, is one that names a limit.
func (g *Gateway) permitExpected(r *request, giveUpAt time.Time) bool {
	soonest, reason, all := g.allWithdrawn(r, time.Now())
	return all && reason == placement.NoticeLimit && soonest.Before(giveUpAt)
}

// awaitPermit reserves the next permit while all upstreams withhold work, and waits until it
// can be used, at latest until giveUpAt. Each waiting request has a permit of its own.
func (g *Gateway) awaitPermit(ctx context.Context, r *request, giveUpAt time.Time) (registry.Instance, bool) {
	if !g.permitExpected(r, giveUpAt) {
		return registry.Instance{}, false
	}
	now := time.Now()
	upstreams := g.o.Directory.View().Upstreams[r.service]
	g.mu.Lock()
	in, at, ok := g.tracker.ReservePermit(g.adopted.Apply(g.ofVersion(r, upstreams)), now, giveUpAt)
	g.mu.Unlock()
	if !ok {
		return registry.Instance{}, false
	}
	if !pause.For(ctx, at.Sub(now)) || g.withdrawn(in, time.Now()) || !g.registered(in) {
		g.withTracker(func(b *placement.Tracker) { b.CancelPermit(in, at) })
		return registry.Instance{}, false
	}
	countKeptBack(keptBackSent)
	g.o.Logger.Info("request waited for a permit", "id", r.ID, "upstream", in.ID, "wait", at.Sub(now))
	return in, true
}

// awaitPermitAt waits until a request may be sent to an upstream, at most for the given
// time, and takes a permit for it if the upstream names a limit. It returns false at once
// if that would take longer.
func (g *Gateway) awaitPermitAt(ctx context.Context, in registry.Instance, limit time.Duration) bool {
	now, at, ok := time.Now(), time.Time{}, false
	g.withTracker(func(b *placement.Tracker) { at, ok = b.ReservePermitAt(in, now, now.Add(limit)) })
	if ok && at.After(now) && !pause.For(ctx, at.Sub(now)) {
		g.withTracker(func(b *placement.Tracker) { b.CancelPermit(in, at) })
		return false
	}
	return ok
}
