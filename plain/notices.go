package plain

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gooseberryroad/gooseberryroad/node"
	"github.com/gooseberryroad/gooseberryroad/placement"
	"github.com/gooseberryroad/gooseberryroad/refusal"
	"github.com/gooseberryroad/gooseberryroad/registry"
)

const (
	// HeaderLeaving set to 1 in an upstream's reply says that the upstream leaves: it
	// answers the calls that it has, and gets no new ones.
	HeaderLeaving = "X-Upstream-Leaving"
	// headerPause in a reply with 503 is the pause that the upstream asks for.
	headerPause = "Retry-After"
	// leavingPause is how long an upstream that leaves gets no calls. After it the upstream
	// is asked again, because another process may have taken its place.
	leavingPause = placement.MaxPause
	// codeWithdrawn refuses calls while all upstreams leave or asked for a pause.
	codeWithdrawn = "upstreams_paused"
)

// notices holds what upstreams said of themselves in their replies: that they leave, or
// that they want no calls for some time. It is safe for concurrent use.
type notices struct {
	mu      sync.Mutex
	tracker *placement.Tracker
	// leavingUntil holds until when upstreams that leave get no calls.
	leavingUntil map[string]time.Time
	// seen is the snapshot whose upstreams are known.
	seen *node.Snapshot
}

func newNotices(rnd *rand.Rand) *notices {
	return &notices{tracker: placement.NewTracker("", rnd), leavingUntil: map[string]time.Time{}}
}

// instance identifies an upstream. Plain upstreams do not report which process they are,
// but one at another address is another upstream.
func instance(u *node.UpstreamView) registry.Instance {
	return registry.Instance{ID: u.Name + " at " + u.Address}
}

// begin records that a call is sent to an upstream, and end that it has ended. accepted
// says that the upstream took it.
func (n *notices) begin(u *node.UpstreamView) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tracker.Begin(instance(u))
}

func (n *notices) end(u *node.UpstreamView, accepted bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	id := instance(u).ID
	n.tracker.End(id)
	if accepted {
		n.tracker.Accepted(id)
	}
}

// note records what a reply says of its upstream. It returns the reason for which the
// upstream gets no calls, if that is news.
func (n *notices) note(u *node.UpstreamView, status int, header http.Header, now time.Time) placement.NoticeReason {
	in := instance(u)
	n.mu.Lock()
	defer n.mu.Unlock()
	if header.Get(HeaderLeaving) == "1" {
		news := !now.Before(n.leavingUntil[in.ID])
		n.leavingUntil[in.ID] = now.Add(leavingPause)
		if news {
			return placement.NoticeLeaving
		}
		return placement.NoNotice
	}
	if pause := askedPause(status, header, now); pause > 0 {
		if _, news := n.tracker.AskedPause(in, pause, now); news {
			return placement.NoticePause
		}
	}
	return placement.NoNotice
}

// withdrawn reports why an upstream gets no calls now at its own request, and until when.
func (n *notices) withdrawn(u *node.UpstreamView, now time.Time) (placement.NoticeReason, time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	in := instance(u)
	if until := n.leavingUntil[in.ID]; now.Before(until) {
		return placement.NoticeLeaving, until
	}
	return n.tracker.Notice(in, now)
}

// retain forgets what is known of upstreams that are no longer in a snapshot.
func (n *notices) retain(s *node.Snapshot, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s == n.seen {
		return
	}
	n.seen = s
	known := map[string]bool{}
	var all []registry.Instance
	for _, service := range s.Services {
		for i := range service.Upstreams {
			in := instance(&service.Upstreams[i])
			known[in.ID] = true
			all = append(all, in)
		}
	}
	n.tracker.SetRegistered(all)
	n.tracker.DropNotices(all, now)
	for id, until := range n.leavingUntil {
		if !known[id] || !now.Before(until) {
			delete(n.leavingUntil, id)
		}
	}
}

// askedPause returns the pause that a reply asks for, at most placement.MaxPause: seconds,
// which may have a fraction, or a date (RFC 9110, section 10.2.3). It returns 0 for none
// and for what makes no sense.
func askedPause(status int, header http.Header, now time.Time) time.Duration {
	text := header.Get(headerPause)
	if status != http.StatusServiceUnavailable || text == "" {
		return 0
	}
	if s, err := strconv.ParseFloat(text, 64); err == nil {
		// The comparison is false for NaN, which is no pause.
		if s > 0 {
			return time.Duration(min(s, placement.MaxPause.Seconds()) * float64(time.Second))
		}
		return 0
	}
	if at, err := http.ParseTime(text); err == nil {
		return max(min(at.Sub(now), placement.MaxPause), 0)
	}
	return 0
}

// noteReply records what a reply to a call says of its upstream. Callers are not told that
// an upstream leaves.
func (h *Handler) noteReply(c *call, u *node.UpstreamView, rep *reply) {
	reason := h.notices.note(u, rep.status, rep.header, h.opts.Clock.Now())
	rep.header.Del(HeaderLeaving)
	if reason == placement.NoNotice {
		return
	}
	h.opts.Metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberryroad_plain_notices_total{service=%q,reason=%q}`, c.view.Doc.Name, reason)).Inc()
	h.opts.Logger.Info("upstream gets no calls at its own request", slog.String("reason", string(reason)), "service", c.view.Doc.Name,
		"upstream", u.Name, "id", c.id, "retry_after", rep.header.Get(headerPause))
}

// refusalWhileWithdrawn refuses a call that did not run because no upstream takes calls at
// the moment.
func refusalWhileWithdrawn(retryAfter time.Duration) refusal.Refusal {
	return refusal.Refusal{Status: http.StatusServiceUnavailable, Code: codeWithdrawn, Outcome: refusal.NotRun, RetryAfter: retryAfter,
		Message: "all upstreams of the service leave or asked for a pause"}
}

// allWithdrawn reports whether all upstreams that could take a call get none at their own
// request, and after which time one may take calls again. That of an upstream that leaves
// does not count: another one takes its place, at a time that is not known.
func (h *Handler) allWithdrawn(c *call) (retryAfter time.Duration, all bool) {
	now := h.opts.Clock.Now()
	view := h.currentView(c)
	soonest := time.Time{}
	for i := range view.Upstreams {
		u := &view.Upstreams[i]
		if u.State == node.UpstreamDead || u.State == node.UpstreamLeaving || !usable(view, u) {
			continue
		}
		reason, until := h.notices.withdrawn(u, now)
		switch {
		case reason == placement.NoNotice:
			return 0, false
		case reason == placement.NoticePause && (soonest.IsZero() || until.Before(soonest)):
			soonest = until
		}
		all = true
	}
	if soonest.IsZero() {
		return time.Second, all
	}
	return max(soonest.Sub(now), time.Millisecond), all
}
