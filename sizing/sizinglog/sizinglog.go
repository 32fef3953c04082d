// Package sizinglog writes the log lines and metrics of package sizing. It is used by the
// code that sends the orders.
package sizinglog

import (
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gooseberryroad/gooseberryroad/sizing"
)

// ignoredInterval is the shortest time between two log lines on ignored samples: a faulty
// daemon sends several messages a second.
const ignoredInterval = time.Second

// Recorder records orders and ignored samples. It is safe for concurrent use.
type Recorder struct {
	log *slog.Logger

	mu sync.Mutex
	// sets holds the figures of the last orders by service.
	sets          map[string]*metrics.Set
	lastIgnoredAt time.Time
}

// New returns a recorder whose metrics are served with those of the process.
func New(log *slog.Logger) *Recorder {
	return &Recorder{log: log, sets: map[string]*metrics.Set{}}
}

// Orders logs and counts orders that are sent.
func (r *Recorder) Orders(orders []sizing.Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range orders {
		set := r.sets[o.Service]
		if set == nil {
			set = metrics.NewSet()
			metrics.RegisterSet(set)
			r.sets[o.Service] = set
		}
		labels := fmt.Sprintf(`{service=%q,data_centre=%q}`, o.Service, o.DataCentre)
		set.GetOrCreateGauge("gooseberryroad_sizing_ordered_replicas"+labels, nil).Set(float64(o.Number))
		set.GetOrCreateGauge("gooseberryroad_sizing_demand_engines"+labels, nil).Set(o.Reasons.Local)
		metrics.GetOrCreateCounter(`gooseberryroad_sizing_orders_total{rule="` + o.Reasons.Binding + `"}`).Inc()
		why := o.Reasons
		r.log.Info("replicas ordered", "service", o.Service, "data_centre", o.DataCentre, "number", o.Number, "previous", o.Previous,
			"rule", why.Binding, "base", why.Base, "recent", why.Recent, "local", why.Local, "growth", why.Growth,
			"prefill", why.Prefill, "use", why.Use, "running", why.Running, "reserve", why.Reserve, "data_centres", why.DataCentres)
	}
}

// Released removes the figures of a service that this daemon no longer holds: those of the
// next holder apply.
func (r *Recorder) Released(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if set := r.sets[service]; set != nil {
		metrics.UnregisterSet(set, true)
		delete(r.sets, service)
	}
}

// Ignored logs and counts a message of which samples were ignored.
func (r *Recorder) Ignored(daemon string, cause error, now time.Time) {
	metrics.GetOrCreateCounter("gooseberryroad_sizing_ignored_samples_total").Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.lastIgnoredAt) < ignoredInterval {
		return
	}
	r.lastIgnoredAt = now
	r.log.Warn("samples of demand ignored", "daemon", daemon, "cause", cause)
}
