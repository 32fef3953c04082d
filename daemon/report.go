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

// trafficReporter posts the results of attempts to the control goroutine as events.
// It implements entry.Quarantine.
type trafficReporter struct{ loop *control.Loop }

// crashCheckDelay is the time from a lost attempt until its cause is determined. A
// load poll and the answers of peers take about a second.
const crashCheckDelay = 1200 * time.Millisecond

// attemptEnded reports the end of one attempt of a generation.
func (r trafficReporter) attemptEnded(res entry.Result) {
	switch res.Outcome {
	case entry.OutcomeComplete:
		r.loop.Post(r.sampleOf(res))
	case entry.OutcomeLost:
		r.attemptLost(res)
	case entry.OutcomeRefused:
		if isUpstreamError(res.Status) {
			r.loop.Post(r.sampleOf(res))
		}
	}
	// Cancelled and handed-over attempts are no evidence on a version.
}

// isUpstreamError reports whether a status counts as a failure of the upstream. 503
// and 429 do not, because overloaded and leaving upstreams answer with them.
func isUpstreamError(status int) bool {
	return status >= 500 && status != http.StatusServiceUnavailable
}

// sampleOf returns the sample of an attempt for the judgement of versions.
func (r trafficReporter) sampleOf(res entry.Result) node.OutcomeSampled {
	return node.OutcomeSampled{Sample: node.Sample{
		Service: res.Service, Version: res.Version, Route: res.Route, Upstream: res.Upstream, At: res.EndedAt,
		Failed: isUpstreamError(res.Status), Truncated: res.Truncated, Empty: res.Empty,
		FirstToken: res.FirstToken, BetweenTokens: res.BetweenTokens,
		Load: r.heldShare(res.Service, res.Upstream), Poison: res.Poison,
	}}
}

// attemptLost requests a load poll. After crashCheckDelay it reports, by the state
// of the upstream, whether the engine process died, broke off the answer while it
// was alive, or was unreachable.
func (r trafficReporter) attemptLost(res entry.Result) {
	incarnationBefore := r.incarnation(res.Service, res.Upstream)
	r.loop.Post(node.Crash{Service: res.Service, Upstream: res.Upstream, Incarnation: incarnationBefore, At: res.EndedAt})
	time.AfterFunc(crashCheckDelay, func() {
		s := r.sampleOf(res)
		u := r.upstreamView(res.Service, res.Upstream)
		s.Sample.Crashed = u != nil && (u.State == node.UpstreamDead || u.Incarnation != incarnationBefore)
		alive := u != nil && u.State == node.UpstreamAlive && !s.Sample.Crashed
		s.Sample.Truncated = s.Sample.Truncated && alive
		s.Sample.UpstreamLost = !alive && !s.Sample.Crashed
		r.loop.Post(s)
	})
}

// plainAttemptEnded reports the end of one attempt of a plain call. The time of the
// reply is used as the time to the first token, because both are what the caller
// waits for.
func (r trafficReporter) plainAttemptEnded(res plain.Result) {
	if res.Unreachable {
		r.loop.Post(node.UpstreamRefused{Service: res.Service, Upstream: res.Upstream})
	}
	r.loop.Post(node.OutcomeSampled{Sample: node.Sample{
		Service: res.Service, Version: res.Version, Route: res.Route, Upstream: res.Upstream, At: res.At,
		Failed: isUpstreamError(res.Status), FirstToken: max(res.Duration, time.Microsecond),
		Load: r.heldShare(res.Service, res.Upstream), UpstreamLost: res.Unreachable || res.Lost,
	}})
}

// ConnectionLost reports a connection that broke or went silent while the request
// ran, which causes a load poll. The request counts as in flight at a crash if the
// poll finds that the engine died.
func (r trafficReporter) ConnectionLost(service, upstream, incarnation string, h quarantine.Hash) {
	r.loop.Post(node.Crash{Service: service, Upstream: upstream, Incarnation: incarnation, At: time.Now(), InFlight: []quarantine.Hash{h}})
}

// Completed reports that a suspect, or a request that lost an engine, completed.
func (r trafficReporter) Completed(h quarantine.Hash) { r.loop.Post(node.RequestCompleted{Hash: h}) }

// TrialEnded reports that a trial ended without completion or crash.
func (r trafficReporter) TrialEnded(h quarantine.Hash) { r.loop.Post(node.TrialEnded{Hash: h}) }

// Refused reports that a quarantined request was sent again.
func (r trafficReporter) Refused(h quarantine.Hash) {
	r.loop.Post(node.QuarantinedRequestRefused{Hash: h})
}

// RequestTrial asks on which of the candidates, upstreams by address, a suspect may
// run. It returns false when the request could not be posted; reply is then never
// called.
func (r trafficReporter) RequestTrial(h quarantine.Hash, candidates []string, reply func(node.TrialAnswered)) bool {
	return r.loop.RequestTrial(h, candidates, reply)
}

// upstreamView returns the current view of an upstream, or nil.
func (r trafficReporter) upstreamView(service, upstream string) *node.UpstreamView {
	if v := r.loop.Snapshot().Services[service]; v != nil {
		return v.Upstream(upstream)
	}
	return nil
}

// incarnation returns the incarnation of the engine process that last reported at
// an upstream, empty when it is unknown.
func (r trafficReporter) incarnation(service, upstream string) string {
	if u := r.upstreamView(service, upstream); u != nil {
		return u.Incarnation
	}
	return ""
}

// heldShare returns the share of an upstream's memory that held requests used in
// its last load report, 0 when it is unknown.
func (r trafficReporter) heldShare(service, upstream string) float64 {
	u := r.upstreamView(service, upstream)
	if u == nil || u.ReportedMemory == 0 {
		return 0
	}
	return float64(u.HeldBytes) / float64(u.ReportedMemory)
}
