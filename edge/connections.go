package edge

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gooseberryroad/gooseberryroad/drain"
	"github.com/gooseberryroad/gooseberryroad/gateway"
)

// droppedRequests counts the requests that had arrived, whole or in part, on connections
// that a stop closed before it took them.
var droppedRequests = metrics.NewCounter("gooseberryroad_client_requests_dropped_total")

// connectionTracker closes client connections when the daemon stops. http.Server.Shutdown
// is not used for that: it counts a connection as idle until the whole head of the next
// request was read, and drops requests that are read after it was called.
type connectionTracker struct {
	mu       sync.Mutex
	open     map[*trackedConnection]struct{}
	stopping bool
	// log is nil in tests.
	log *slog.Logger
}

// trackedConnection is a connection of a client.
type trackedConnection struct {
	net.Conn
	mu sync.Mutex
	// active says that net/http reported last that a request is being answered.
	active, closed bool
	// unusedSince is when the connection was opened, last received a byte or became idle.
	unusedSince time.Time
	// requests counts the requests that begin in the bytes that arrive; taken is the number
	// of those that were passed to the handler.
	requests requestCounter
	taken    int
	// lost says that the client, or the network, ended the connection.
	lost bool
}

// trackedListener wraps the connections that it accepts in trackedConnection.
type trackedListener struct {
	net.Listener
	tracker *connectionTracker
}

// Accept implements net.Listener.
func (l trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	out := &trackedConnection{Conn: c, unusedSince: time.Now()}
	l.tracker.mu.Lock()
	defer l.tracker.mu.Unlock()
	if l.tracker.open == nil {
		l.tracker.open = map[*trackedConnection]struct{}{}
	}
	l.tracker.open[out] = struct{}{}
	return out, nil
}

// Read implements net.Conn. It discards bytes that arrive after the connection
// was closed by the tracker.
func (c *trackedConnection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.requests.add(b[:n])
		c.unusedSince = time.Now()
	}
	c.lost = c.lost || n == 0 && err != nil && !isTimeout(err)
	return n, err
}

// CloseWrite lets net/http end a response before the client has sent its whole
// body.
func (c *trackedConnection) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// NextRequestArrived implements gateway.Connection.
func (c *trackedConnection) NextRequestArrived() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests.begun > c.taken
}

// take counts a request that is passed to the handler.
func (c *trackedConnection) take() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.taken++
}

// closeIfUnused closes the connection if the plan of the stop says so.
func (c *trackedConnection) closeIfUnused(plan drain.Plan, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := drain.Connection{
		Unanswered:  c.active || c.requests.begun > c.taken || hasUnreadBytes(c.Conn),
		UnusedSince: c.unusedSince,
	}
	if plan.ClosesConnection(state, now) {
		c.close()
	}
}

// close closes the connection. The caller holds c.mu.
func (c *trackedConnection) close() {
	if c.closed {
		return
	}
	c.closed = true
	// The error is ignored: the client has no request in flight that could miss its
	// response.
	_ = c.Close()
}

// hasUnreadBytes reports whether bytes have arrived that nobody has read yet, for example
// because the process was stopped.
func hasUnreadBytes(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	// Errors mean that there is nothing to read: the connection is closed or empty.
	_ = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, _ = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n > 0
}

// connStateChanged is the ConnState hook of the http.Server.
func (t *connectionTracker) connStateChanged(nc net.Conn, s http.ConnState) {
	c := nc.(*trackedConnection)
	c.mu.Lock()
	c.active = s == http.StateActive
	if s == http.StateIdle {
		c.unusedSince = time.Now()
	}
	c.mu.Unlock()
	t.mu.Lock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(t.open, c)
	}
	stopping := t.stopping
	t.mu.Unlock()
	if stopping && s == http.StateClosed {
		t.recordDropped(c)
	}
}

// closeUnused closes the connections that the plan of a stop no longer keeps, and returns
// the number of those that were open.
func (t *connectionTracker) closeUnused(plan drain.Plan, now time.Time) int {
	t.mu.Lock()
	t.stopping = true
	open := slices.Collect(maps.Keys(t.open))
	t.mu.Unlock()
	for _, c := range open {
		c.closeIfUnused(plan, now)
	}
	return len(open)
}

// recordDropped counts and logs the requests that had arrived on a connection when a stop
// closed it, and that were not passed to the handler.
func (t *connectionTracker) recordDropped(c *trackedConnection) {
	c.mu.Lock()
	dropped := c.requests.begun - c.taken
	if c.lost {
		dropped = 0
	}
	c.mu.Unlock()
	if dropped <= 0 {
		return
	}
	droppedRequests.Add(dropped)
	if t.log != nil {
		t.log.Warn("requests dropped with their connection", "client", c.RemoteAddr().String(), "requests", dropped)
	}
}

// connContext is the ConnContext hook of the http.Server.
func connContext(ctx context.Context, nc net.Conn) context.Context {
	return gateway.WithConnection(ctx, nc.(*trackedConnection))
}

// countTaken returns a handler that counts the requests of each connection that it passes
// to next.
func countTaken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := gateway.ConnectionOf(r.Context()).(*trackedConnection); ok {
			c.take()
		}
		next.ServeHTTP(w, r)
	})
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}
