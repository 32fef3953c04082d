package gateway

import (
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/forwarding"
)

// Places bounds the requests of other daemons together with the connections of clients: each
// takes memory and a connection to an upstream.
type Places interface {
	// Occupy takes the place of a connection; false if there is none.
	Occupy() bool
	// Vacate gives it back.
	Vacate()
}

// ForwardedHandler serves the requests that other daemons forward, below ForwardPath.
func (g *Gateway) ForwardedHandler(places Places) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		mark, err := decodeForwardMark(hr.Header.Get(forwardHeader))
		if err == nil {
			err = restoreTarget(hr)
		}
		if err != nil {
			g.o.Logger.Warn("forwarded request refused", "from", hr.RemoteAddr, "cause", err)
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		hr.Header.Del(forwardHeader)
		receivedForwarded.Inc()
		g.runningForwarded.Add(1)
		defer g.runningForwarded.Add(-1)
		fw := &forwardedWriter{ResponseWriter: w, daemon: g.o.Name}
		if code := g.refuseForwarded(mark); code != "" {
			g.refuseMarked(fw, hr, code)
			return
		}
		if !places.Occupy() {
			g.refuseMarked(fw, hr, codeBusy)
			return
		}
		defer places.Vacate()
		g.serve(fw, hr, &mark)
	})
}

// RunningForwarded returns the number of requests of other daemons that are being served.
func (g *Gateway) RunningForwarded() int { return int(g.runningForwarded.Load()) }

// Reach returns what other daemons are told about this daemon's way to upstreams.
func (g *Gateway) Reach() forwarding.Report {
	f := g.forwarder
	f.mu.Lock()
	out := f.reach.Report(time.Now())
	f.mu.Unlock()
	out.Closed = g.drainPlan.Load() != nil || !g.o.Directory.View().Ready
	return out
}

// refuseForwarded returns the code with which a forwarded request is refused because of this
// daemon's own state; empty if it is served.
func (g *Gateway) refuseForwarded(m forwardMark) string {
	view := g.o.Directory.View()
	switch {
	case g.drainPlan.Load() != nil:
		return codeStopping
	case !view.Ready || view.Table == nil:
		return "no_configuration"
	case view.Table.Version() < m.config:
		return codeOlderConfig
	}
	return ""
}

func (g *Gateway) refuseMarked(w http.ResponseWriter, hr *http.Request, code string) {
	call := g.o.Protocol.DecodeRequest(hr)
	f := refusal{status: http.StatusServiceUnavailable, code: code, retryAfter: time.Second}
	g.refuseWithUnreadBody(w, hr, &call, f)
	g.logRefusal(&call, nil, f)
}

// restoreTarget gives a forwarded request the target that the client sent.
func restoreTarget(hr *http.Request) error {
	target := strings.TrimPrefix(hr.RequestURI, ForwardPath)
	if !strings.HasPrefix(target, "/") {
		return eris.Errorf("target %.100q is not a path", target)
	}
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return eris.Wrap(err, "read the target")
	}
	hr.RequestURI, hr.URL = target, u
	return nil
}

// forwardedWriter marks the response to a forwarded request, so that the other daemon knows
// whether an upstream made it. The mark is set last: no field of an upstream can replace it.
type forwardedWriter struct {
	http.ResponseWriter
	daemon      string
	refusalCode string
}

// WriteHeader implements http.ResponseWriter.
func (w *forwardedWriter) WriteHeader(status int) {
	mark := "daemon=" + w.daemon
	if w.refusalCode != "" {
		mark += ";refused=" + w.refusalCode
	}
	w.Header().Set(forwardHeader, mark)
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer for http.ResponseController.
func (w *forwardedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// SweepForward closes expired idle connections to other daemons.
func (g *Gateway) SweepForward(now time.Time) {
	if g.forwarder != nil {
		g.forwarder.o.Pool.Sweep(now)
	}
}
