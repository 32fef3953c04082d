package gateway

import (
	"context"
	"net/http"
)

// Connection is the connection on which a client's request arrived.
type Connection interface {
	// NextRequestArrived reports whether bytes of a request have arrived that follows those
	// which were passed to the handler.
	NextRequestArrived() bool
}

type connectionKey struct{}

// WithConnection returns a context for the requests of a connection.
func WithConnection(ctx context.Context, c Connection) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// ConnectionOf returns the connection of a request with the given context; nil if it is
// not known.
func ConnectionOf(ctx context.Context) Connection {
	c, _ := ctx.Value(connectionKey{}).(Connection)
	return c
}

// closeConnectionIfDraining sets "Connection: close" while the daemon stops, unless the
// client has sent a further request already, which would be lost with the connection. It
// must be called before the head of the response is written.
func (g *Gateway) closeConnectionIfDraining(call *Call, h http.Header) {
	if g.drainPlan.Load() == nil || call.connection != nil && call.connection.NextRequestArrived() {
		return
	}
	h.Set("Connection", "close")
}
