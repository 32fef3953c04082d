package edge

import (
	"net"
	"net/http"
	"sync"
)

// connectionTracker closes idle client connections when the daemon stops.
// net/http counts a connection as idle until it has read the head of the next
// request, so http.Server.Shutdown can close a connection on which a request
// has begun, while the request is still forwarded to an upstream.
type connectionTracker struct {
	mu       sync.Mutex
	open     map[*trackedConnection]struct{}
	stopping bool
}

// trackedConnection is a connection of a client.
type trackedConnection struct {
	net.Conn
	mu sync.Mutex
	// idle is the state that net/http reported last; requestBegun says that bytes
	// arrived after the last write.
	idle, requestBegun, closed bool
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
	out := &trackedConnection{Conn: c}
	l.tracker.mu.Lock()
	defer l.tracker.mu.Unlock()
	if l.tracker.open == nil {
		l.tracker.open = map[*trackedConnection]struct{}{}
	}
	l.tracker.open[out] = struct{}{}
	return out, nil
}

// Read implements net.Conn. It discards bytes that arrive after the connection
// was closed by closeIfIdle.
func (c *trackedConnection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.requestBegun = c.requestBegun || n > 0
	return n, err
}

// Write implements net.Conn.
func (c *trackedConnection) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.requestBegun = false
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// CloseWrite lets net/http end a response before the client has sent its whole
// body.
func (c *trackedConnection) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// closeIfIdle closes the connection if no request has begun on it.
func (c *trackedConnection) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && !c.requestBegun && !c.closed {
		c.closed = true
		// The error is ignored: the client has no request in flight that could miss its
		// response.
		_ = c.Close()
	}
}

// connStateChanged is the ConnState hook of the http.Server.
func (t *connectionTracker) connStateChanged(nc net.Conn, s http.ConnState) {
	c := nc.(*trackedConnection)
	c.mu.Lock()
	c.idle = s == http.StateIdle
	c.mu.Unlock()
	t.mu.Lock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(t.open, c)
	}
	stopping := t.stopping
	t.mu.Unlock()
	if stopping {
		c.closeIfIdle()
	}
}

// closeIdle closes the idle connections, and from now on each connection that
// becomes idle.
func (t *connectionTracker) closeIdle() {
	t.mu.Lock()
	t.stopping = true
	open := make([]*trackedConnection, 0, len(t.open))
	for c := range t.open {
		open = append(open, c)
	}
	t.mu.Unlock()
	for _, c := range open {
		c.closeIfIdle()
	}
}
