package edge

import (
	"net"
	"net/http"
	"sync"
)

// connections closes idle client connections at a stop. net/http counts a
// connection as idle until it has read the next request's head, so its own close
// can cut a request that is then passed on all the same.
type connectionTracker struct {
	mu       sync.Mutex
	open     map[*trackedConnection]struct{}
	stopping bool
}

// connection is a client's connection.
type trackedConnection struct {
	net.Conn
	mu sync.Mutex
	// idle is net/http's state; unread says that bytes came after the last answer.
	idle, unread, closed bool
}

// trackedListener hands out tracked connections.
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

// Read implements net.Conn. Bytes that come after the close are not passed on.
func (c *trackedConnection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.unread = c.unread || n > 0
	return n, err
}

// Write implements net.Conn.
func (c *trackedConnection) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.unread = false
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// CloseWrite lets net/http end an answer before the client has sent its whole
// body.
func (c *trackedConnection) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// closeIfIdle closes a connection on which no request has begun.
func (c *trackedConnection) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && !c.unread && !c.closed {
		c.closed = true
		// The client has no request under way that could miss an answer.
		_ = c.Close()
	}
}

// changed is the http.Server's ConnState hook.
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

// closeIdle closes idle connections, now and whenever one becomes idle.
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
