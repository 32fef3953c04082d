package relay

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/forwarding"
)

// ReachPath is the URL path at which a daemon says whether it reaches upstreams.
const ReachPath = "/v1/reach"

// maxReachBytes bounds the body of an answer; a service takes some 50 bytes.
const maxReachBytes = 1 << 20

type wireReach struct {
	Services map[string]string `json:"services"`
	All      string            `json:"all"`
	Closed   bool              `json:"closed,omitempty"`
}

// ReachHandler serves ReachPath.
func ReachHandler(report func() forwarding.Report, log *slog.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+ReachPath, func(w http.ResponseWriter, _ *http.Request) {
		r := report()
		out := wireReach{Services: map[string]string{}, All: r.All.String(), Closed: r.Closed}
		for service, status := range r.Services {
			out.Services[service] = status.String()
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(out); err != nil {
			log.Info("report of reached upstreams not delivered", "cause", err)
		}
	})
	return mux
}

// FetchReach asks the daemon at a relay address whether it reaches upstreams.
func (c *Client) FetchReach(ctx context.Context, address string) (forwarding.Report, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+ReachPath, nil)
	if err != nil {
		return forwarding.Report{}, eris.Wrap(err, "make the request")
	}
	res, err := c.http.Do(req)
	if err != nil {
		c.http.CloseIdleConnections()
		return forwarding.Report{}, eris.Wrap(err, "send the request to the daemon")
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return forwarding.Report{}, eris.Errorf("daemon answered %d", res.StatusCode)
	}
	var wire wireReach
	if err := json.NewDecoder(io.LimitReader(res.Body, maxReachBytes)).Decode(&wire); err != nil {
		return forwarding.Report{}, eris.Wrap(err, "decode the daemon's answer")
	}
	out := forwarding.Report{Services: map[string]forwarding.Status{}, All: forwarding.ParseStatus(wire.All), Closed: wire.Closed}
	for service, status := range wire.Services {
		out.Services[service] = forwarding.ParseStatus(status)
	}
	return out, nil
}
