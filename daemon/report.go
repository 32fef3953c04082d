package daemon

import (
	"net/http"
	"time"

	"github.com/gooseberryroad/gooseberryroad/control"
	"github.com/gooseberryroad/gooseberryroad/entry"
	"github.com/gooseberryroad/gooseberryroad/node"
	"github.com/gooseberryroad/gooseberryroad/plain"
	"github.com/gooseberryroad/gooseberryroad/quarantine"
)

// reporter turns what traffic saw into events for the control goroutine.
type reporter struct{ loop *control.Loop }

// deathCheckDelay is how long after a broken connection the cause is judged: a
// load poll and the answers of peers need about a second.
const deathCheckDelay = 1200 * time.Millisecond

// generation reports one attempt of a generation.
func (r reporter) generation(res entry.Result) {
	switch res.Outcome {
	case entry.OutcomeComplete:
		r.loop.Post(r.sample(res))
	case entry.OutcomeLost:
		r.lost(res)
	case entry.OutcomeRefused:
		if failure(res.Status) {
			r.loop.Post(r.sample(res))
		}
	}
	// Cancelled and handed-over attempts say nothing about a version.
}

// failure reports whether a status is an error of the upstream. 503 and 429
// are answers of an overloaded or leaving one.
func failure(status int) bool { return status >= 500 && status != http.StatusServiceUnavailable }

func (r reporter) sample(res entry.Result) node.OutcomeSampled {
	return node.OutcomeSampled{Sample: node.Sample{
		Service: res.Service, Version: res.Version, Route: res.Route, Upstream: res.Upstream, At: res.EndedAt,
		Failed: failure(res.Status), Truncated: res.Truncated, Empty: res.Empty,
		FirstToken: res.FirstToken, BetweenTokens: res.BetweenTokens,
		Load: r.load(res.Service, res.Upstream), Poison: res.Poison,
	}}
}

// lost asks for a load poll and, once that has ended, reports whether the
// engine process died, broke the answer off while it lived, or was out of
// reach.
func (r reporter) lost(res entry.Result) {
	was := r.incarnation(res.Service, res.Upstream)
	r.loop.Post(node.Crash{Service: res.Service, Upstream: res.Upstream, Incarnation: was, At: res.EndedAt})
	time.AfterFunc(deathCheckDelay, func() {
		s := r.sample(res)
		u := r.view(res.Service, res.Upstream)
		s.Sample.Crashed = u != nil && (u.State == node.UpstreamDead || u.Incarnation != was)
		alive := u != nil && u.State == node.UpstreamAlive && !s.Sample.Crashed
		s.Sample.Truncated = s.Sample.Truncated && alive
		s.Sample.UpstreamLost = !alive && !s.Sample.Crashed
		r.loop.Post(s)
	})
}

// plain reports one attempt of a plain call. The reply's time stands for the
// first token: both are what the caller waits for.
func (r reporter) plain(res plain.Result) {
	if res.Unreachable {
		r.loop.Post(node.UpstreamRefused{Service: res.Service, Upstream: res.Upstream})
	}
	r.loop.Post(node.OutcomeSampled{Sample: node.Sample{
		Service: res.Service, Version: res.Version, Route: res.Route, Upstream: res.Upstream, At: res.At,
		Failed: failure(res.Status), FirstToken: max(res.Duration, time.Microsecond),
		Load: r.load(res.Service, res.Upstream), UpstreamLost: res.Unreachable || res.Lost,
	}})
}

// Lost asks for a load poll. The request counts as in flight at a crash if the
// poll finds that the engine died.
func (r reporter) ConnectionLost(service, upstream, incarnation string, h quarantine.Hash) {
	r.loop.Post(node.Crash{Service: service, Upstream: upstream, Incarnation: incarnation, At: time.Now(), InFlight: []quarantine.Hash{h}})
}

// Ran reports the completion of a suspect.
func (r reporter) Completed(h quarantine.Hash) { r.loop.Post(node.RequestCompleted{Hash: h}) }

// TrialEnded reports a trial that proved nothing.
func (r reporter) TrialEnded(h quarantine.Hash) { r.loop.Post(node.TrialEnded{Hash: h}) }

// Refused reports the arrival of a quarantined request.
func (r reporter) Refused(h quarantine.Hash) { r.loop.Post(node.QuarantinedRequestRefused{Hash: h}) }

// RequestTrial asks where a suspect may run.
func (r reporter) RequestTrial(h quarantine.Hash, candidates []string, reply func(node.TrialAnswered)) bool {
	return r.loop.RequestTrial(h, candidates, reply)
}

func (r reporter) view(service, upstream string) *node.UpstreamView {
	if v := r.loop.Snapshot().Services[service]; v != nil {
		return v.Upstream(upstream)
	}
	return nil
}

func (r reporter) incarnation(service, upstream string) string {
	if u := r.view(service, upstream); u != nil {
		return u.Incarnation
	}
	return ""
}

// load is the part of an upstream's memory that was held by its last report.
func (r reporter) load(service, upstream string) float64 {
	u := r.view(service, upstream)
	if u == nil || u.ReportedMemory == 0 {
		return 0
	}
	return float64(u.HeldBytes) / float64(u.ReportedMemory)
}
