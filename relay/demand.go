package relay

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/sizing"
)

// DemandPath is the URL path at which the holder of a service takes the demand of the other
// daemons, as a JSON object.
const DemandPath = "/v1/demand"

// maxDemandBytes bounds the body of a call. A message with one service has less than 300
// bytes, one whose streams were all of different pace 10 KB.
const maxDemandBytes = 1 << 20

// Demand is the demand that a daemon counted.
type Demand struct {
	Daemon string `json:"daemon"`
	sizing.Message
}

// DemandHandler serves DemandPath. merge takes a message, or returns why it is not used; it
// logs the reason itself, as a faulty daemon sends several messages a second.
func DemandHandler(merge func(Demand) error, log *slog.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+DemandPath, func(w http.ResponseWriter, r *http.Request) {
		var m Demand
		b, status, err := readBody(w, r, maxDemandBytes)
		if err == nil {
			if err = json.Unmarshal(b, &m); err != nil {
				status, err = http.StatusBadRequest, eris.Wrap(err, "the body is not the demand of a daemon")
			}
		}
		if err != nil {
			log.Warn("demand of a daemon refused", "from", r.RemoteAddr, "status", status, "cause", err)
			http.Error(w, err.Error(), status)
			return
		}
		if err := merge(m); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

// SendDemand sends demand to the holder of a service at a relay address.
func (c *Client) SendDemand(ctx context.Context, address string, m Demand) error {
	return c.post(ctx, address, DemandPath, m)
}
