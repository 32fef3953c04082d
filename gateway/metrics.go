package gateway

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gooseberryroad/gooseberryroad/routes"
)

// kinds are the values of the label kind.
var routeKinds = []routes.Kind{routes.NonIdempotent, routes.Idempotent, routes.Stream}

// outcome names of the label outcome.
const (
	outcomeAnswered   = "answered"
	outcomeRefused    = "refused"
	outcomeCut        = "cut"
	outcomeClientLeft = "client_left"
)

var (
	answerSeconds  = histograms("gooseberryroad_gateway_answer_seconds")
	firstEventTime = metrics.NewHistogram("gooseberryroad_gateway_first_event_seconds")
	streamGapTime  = metrics.NewHistogram("gooseberryroad_gateway_stream_max_gap_seconds")
)

func histograms(name string) map[routes.Kind]*metrics.Histogram {
	out := map[routes.Kind]*metrics.Histogram{}
	for _, k := range routeKinds {
		out[k] = metrics.NewHistogram(name + `{kind="` + k.String() + `"}`)
	}
	return out
}

// countEnd counts the end of a request.
func countRequestEnd(r *request, outcome string) {
	metrics.GetOrCreateCounter(`gooseberryroad_gateway_requests_total{kind="` + r.route.Kind.String() + `",outcome="` + outcome + `"}`).Inc()
	if outcome == outcomeAnswered {
		answerSeconds[r.route.Kind].Update(time.Since(r.arrivedAt).Seconds())
	}
}

// countRefusal counts answers of our own by their code.
func countRefusal(code string) {
	metrics.GetOrCreateCounter(`gooseberryroad_gateway_refusals_total{code="` + code + `"}`).Inc()
}

// countAttempt counts requests to upstreams by their verdict.
func countAttempt(v verdict) {
	metrics.GetOrCreateCounter(`gooseberryroad_gateway_attempts_total{verdict="` + v.String() + `"}`).Inc()
}

// countMove counts streams that lost their upstream by the next step.
func countStreamMove(step string) {
	metrics.GetOrCreateCounter(`gooseberryroad_gateway_stream_moves_total{step="` + step + `"}`).Inc()
}
