package gateway

import (
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gooseberryroad/gooseberryroad/placement"
	"github.com/gooseberryroad/gooseberryroad/routes"
	"github.com/gooseberryroad/gooseberryroad/shedding"
)

// routeKinds are the values of the metric label kind.
var routeKinds = []routes.Kind{routes.NonIdempotent, routes.Idempotent, routes.Stream}

// These are the values of the metric label outcome.
const (
	outcomeAnswered   = "answered"
	outcomeRefused    = "refused"
	outcomeCut        = "cut"
	outcomeClientLeft = "client_left"
	// outcomeForwarded is that of requests that another daemon answered.
	outcomeForwarded = "forwarded"
)

var (
	answerSeconds  = histograms("gooseberryroad_gateway_answer_seconds")
	firstEventTime = metrics.NewHistogram("gooseberryroad_gateway_first_event_seconds")
	// limitedUpstreams is the number of upstreams that name a limit.
	limitedUpstreams = metrics.NewGauge("gooseberryroad_gateway_limited_upstreams", nil)
	streamGapTime    = metrics.NewHistogram("gooseberryroad_gateway_stream_max_gap_seconds")
	// receivedForwarded counts the requests that other daemons forwarded to this one.
	receivedForwarded = metrics.NewCounter("gooseberryroad_gateway_forwarded_received_total")
	// cutOffServices is the number of services whose requests go through other daemons.
	cutOffServices = metrics.NewGauge("gooseberryroad_gateway_cut_off_services", nil)
)

func histograms(name string) map[routes.Kind]*metrics.Histogram {
	out := map[routes.Kind]*metrics.Histogram{}
	for _, k := range routeKinds {
		out[k] = metrics.NewHistogram(name + `{kind="` + k.String() + `"}`)
	}
	return out
}

// countRequestEnd counts a request that ended, by its outcome, and records the
// duration of an answered one.
func countRequestEnd(r *request, outcome string) {
	metrics.GetOrCreateCounter(`gooseberryroad_gateway_requests_total{kind="` + r.route.Kind.String() + `",outcome="` + outcome + `"}`).Inc()
	if outcome == outcomeAnswered {
		answerSeconds[r.route.Kind].Update(time.Since(r.arrivedAt).Seconds())
	}
}

// countRefusal counts the responses that the gateway generated itself, by their
// code.
func countRefusal(code string) {
	metrics.GetOrCreateCounter(`gooseberryroad_gateway_refusals_total{code="` + code + `"}`).Inc()
}

// countAttempt counts the attempts at upstreams by their verdict.
func countAttempt(v verdict) {
	metrics.GetOrCreateCounter(`gooseberryroad_gateway_attempts_total{verdict="` + v.String() + `"}`).Inc()
}

// countForwarded counts the requests that were forwarded to another daemon.
func countForwarded(v forwardVerdict) {
	metrics.GetOrCreateCounter(`gooseberryroad_gateway_forwarded_total{verdict="` + v.String() + `"}`).Inc()
}

// countStreamMove counts the streams that lost their upstream by the step that
// follows.
func countStreamMove(step string) {
	metrics.GetOrCreateCounter(`gooseberryroad_gateway_stream_moves_total{step="` + step + `"}`).Inc()
}

// countLeftOut counts the upstreams that a choice left out at their own request.
func countLeftOut(reason placement.NoticeReason, n int) {
	metrics.GetOrCreateCounter(`gooseberryroad_gateway_left_out_total{reason="` + string(reason) + `"}`).Add(n)
}

// countShed counts the requests that were not sent to the upstreams of a service because
// those have too much work.
func countShed(service string, reason shedding.Reason) {
	metrics.GetOrCreateCounter(`gooseberryroad_gateway_shed_total{service=` + strconv.Quote(service) + `,reason="` + string(reason) + `"}`).Inc()
}

// setSentPart sets the part of the recent requests for a service that were sent.
func setSentPart(service string, part float64) {
	metrics.GetOrCreateGauge(`gooseberryroad_gateway_sent_part{service=`+strconv.Quote(service)+`}`, nil).Set(part)
}

// These are the values of the metric label outcome of requests kept back by limits.
const (
	keptBackSent    = "sent"
	keptBackRefused = "refused"
)

// countKeptBack counts the requests that found no permit at any upstream: those sent after
// a wait for one, and those refused.
func countKeptBack(outcome string) {
	metrics.GetOrCreateCounter(`gooseberryroad_gateway_kept_back_total{outcome="` + outcome + `"}`).Inc()
}

// countCutoverOutcome counts the outcomes of requests to a service that is being
// moved to another version.
func countCutoverOutcome(target, bad bool) {
	version, outcome := "others", "good"
	if target {
		version = "target"
	}
	if bad {
		outcome = "bad"
	}
	metrics.GetOrCreateCounter(`gooseberryroad_gateway_cutover_outcomes_total{version="` + version + `",outcome="` + outcome + `"}`).Inc()
}

// countAdmission counts the decisions about streams that are placed by estimates.
func countAdmission(route, decision string) {
	metrics.GetOrCreateCounter(`gooseberryroad_gateway_admissions_total{route=` + strconv.Quote(route) + `,decision="` + decision + `"}`).Inc()
}
