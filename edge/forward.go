package edge

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/gooseberryroad/gooseberryroad/drain"
	"github.com/gooseberryroad/gooseberryroad/gateway"
	"github.com/gooseberryroad/gooseberryroad/internal/pause"
	"github.com/gooseberryroad/gooseberryroad/relay"
	"github.com/gooseberryroad/gooseberryroad/sources"
	"github.com/gooseberryroad/gooseberryroad/telemetry"
	"github.com/gooseberryroad/gooseberryroad/upstream"
)

// newForward returns how requests go through other daemons; nil if the daemons have no
// addresses for each other.
func newForward(o Options) *gateway.ForwardOptions {
	if o.Settings.RelayAddress == "" {
		return nil
	}
	s := o.Settings
	return &gateway.ForwardOptions{
		Self:  sources.Peer{Name: s.Name, Address: s.RelayAddress, DataCentre: s.DataCentre, LinkMbps: s.LinkMbps},
		Seeds: s.Seeds,
		Pool:  upstream.NewPool(upstream.DefaultOptions()),
		Ask:   relay.NewClient(telemetry.WithPart(o.Logger, "relay")).FetchReach,
	}
}

// forwardedFirst serves the requests of other daemons before mux, which would redirect paths
// that it does not hold for clean.
func forwardedFirst(forwarded http.Handler, mux *http.ServeMux) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.RequestURI, gateway.ForwardPath+"/") {
			forwarded.ServeHTTP(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// awaitForwarded waits until the requests of other daemons have ended, at latest until the end
// of the plan.
func (e *Edge) awaitForwarded(ctx context.Context, plan drain.Plan) {
	for e.gateway.RunningForwarded() > 0 && time.Now().Before(plan.Deadline()) && pause.For(ctx, drainPollInterval) {
	}
	if n := e.gateway.RunningForwarded(); n > 0 {
		telemetry.WithPart(e.o.Logger, "edge").Warn("requests of other daemons cut at the end of the grace period", "requests", n)
	}
}
