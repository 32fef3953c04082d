package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/gooseberryroad/gooseberryroad/placement"
	"github.com/gooseberryroad/gooseberryroad/registry"
)

// errPauseAsked reports an answer by which an upstream turned a request away and asked
// for a pause. It is no failure of the upstream.
var errPauseAsked = errors.New("upstream asked for a pause")

// The codes of refusals while all upstreams of a service get no work at their own request;
// codeLimited while the soonest of them is one that names a limit.
const (
	codePaused  = "upstreams_paused"
	codeLeaving = "upstreams_leaving"
	codeLimited = "upstreams_limited"
)

// maxLimitRetryAfter bounds the time after which a client comes again that found no permit at
// this daemon. In a large fleet the daemon's next permit may be minutes away, while another
// daemon has one soon.
const maxLimitRetryAfter = 2 * time.Second

// recordNotices records what an upstream says of itself in the head of an answer to the
// request with the given ID, which was sent at sentAt; sentAt is zero for a control call.
// Another upstream at the address says nothing of this one.
func (g *Gateway) recordNotices(in registry.Instance, head ResponseHead, id string, sentAt time.Time) {
	if head.Misdirected {
		return
	}
	g.recordLimit(in, head, id, sentAt)
	if head.Leaving {
		news := false
		g.withTracker(func(b *placement.Tracker) { news = b.SaidLeaving(in) })
		if news {
			g.o.Logger.Info("upstream says that it leaves", "upstream", in.ID, "data_centre", in.DataCentre, "id", id)
		}
	}
	if head.PauseErr != nil {
		g.o.Logger.Warn("pause of an upstream ignored", "upstream", in.ID, "id", id, "cause", head.PauseErr)
	}
	if head.Pause > 0 {
		g.recordPause(in, head.Pause, id)
	}
}

func (g *Gateway) recordPause(in registry.Instance, pause time.Duration, id string) {
	var until time.Time
	news := false
	now := time.Now()
	g.withTracker(func(b *placement.Tracker) { until, news = b.AskedPause(in, pause, now) })
	if pause > placement.MaxPause {
		g.o.Logger.Warn("pause of an upstream shortened", "upstream", in.ID, "id", id, "pause", pause, "limit", placement.MaxPause)
	}
	if news {
		g.o.Logger.Info("upstream asks for a pause", "upstream", in.ID, "data_centre", in.DataCentre, "id", id, "pause", until.Sub(now))
		time.AfterFunc(until.Sub(now), func() { g.logPauseEnd(in) })
	}
}

// logPauseEnd logs the end of a pause, after it was prolonged if necessary.
func (g *Gateway) logPauseEnd(in registry.Instance) {
	now := time.Now()
	var reason placement.NoticeReason
	var until time.Time
	g.withTracker(func(b *placement.Tracker) { reason, until = b.Notice(in, now) })
	if reason == placement.NoticePause && until.After(now) {
		time.AfterFunc(until.Sub(now), func() { g.logPauseEnd(in) })
		return
	}
	g.o.Logger.Info("pause of an upstream ended", "upstream", in.ID)
}

// pauseCause wraps the cause of a failed attempt if its answer asked for a pause.
func pauseCause(head ResponseHead, cause error) error {
	if head.Pause <= 0 || cause == nil {
		return cause
	}
	return errors.Join(errPauseAsked, cause)
}

// allWithdrawn reports whether all upstreams that may serve a request get no work by
// their own request, and when the first of them takes work again and why not before; the
// zero time if all of them leave.
func (g *Gateway) allWithdrawn(r *request, now time.Time) (soonest time.Time, reason placement.NoticeReason, all bool) {
	upstreams := g.o.Directory.View().Upstreams[r.service]
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.AllWithdrawn(g.adopted.Apply(g.ofVersion(r, upstreams)), now)
}

// refuseIfAllWithdrawn returns the code of the refusal of a request that no upstream takes
// before giveUpAt at its own request, and the time after which one does; the code is empty
// if the request should wait.
func (g *Gateway) refuseIfAllWithdrawn(r *request, now, giveUpAt time.Time) (code string, retryAfter time.Duration) {
	soonest, reason, all := g.allWithdrawn(r, now)
	switch {
	case !all:
		return "", 0
	case soonest.IsZero() && now.Before(giveUpAt):
		// Another upstream may register at any moment.
		return "", 0
	case soonest.IsZero():
		return codeLeaving, 0
	case soonest.Before(giveUpAt):
		return "", 0
	}
	wait := max(soonest.Sub(now), time.Millisecond)
	if reason == placement.NoticeLimit {
		countKeptBack(keptBackRefused)
		// Other daemons have permits at other times.
		wait = min(wait, maxLimitRetryAfter)
		// There is one permit at a time: clients that were refused together return spread
		// over the time of the next ones.
		return codeLimited, wait + time.Duration(g.randomFloat()*float64(wait))
	}
	return codePaused, wait
}

// countWithdrawn counts the candidates of a choice that are left out at their own request.
// The caller holds g.mu.
func (g *Gateway) countWithdrawn(candidates []registry.Instance, now time.Time) {
	if !g.tracker.HasNotices() {
		return
	}
	count := map[placement.NoticeReason]int{}
	for _, in := range candidates {
		if reason, _ := g.tracker.Withheld(in, now); reason != placement.NoNotice {
			count[reason]++
		}
	}
	for reason, n := range count {
		countLeftOut(reason, n)
	}
}

// answeredBy reports whether the answer to a control call may be that of the expected
// upstream: it names that one, or none.
func (g *Gateway) answeredBy(in registry.Instance, h http.Header) bool {
	id := g.o.Protocol.InstanceID(h)
	return id == "" || id == in.ID
}
