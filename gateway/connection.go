package gateway

import "net/http"

// closeConnectionIfDraining sets "Connection: close" while the daemon stops, unless the
// client has sent a further request already, which would be lost with the connection. It
// must be called before the head of the response is written.
func (g *Gateway) closeConnectionIfDraining(call *Call, h http.Header) {
	if g.drainPlan.Load() != nil && !call.connection.NextRequestArrived() {
		h.Set("Connection", "close")
	}
}
