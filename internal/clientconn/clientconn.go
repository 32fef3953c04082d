// Package clientconn closes the connections of clients when a server stops, without losing a
// request that has arrived. http.Server.Shutdown counts a connection as idle until the whole
// head of the next request was read, and drops requests that are read after it was called.
package clientconn

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
	"github.com/gooseberryroad/gooseberryroad/internal/pause"
)

// pollInterval is the time between two looks at the connections in CloseAll.
const pollInterval = 20 * time.Millisecond

// droppedRequests counts the requests that had arrived, whole or in part, on connections
// that a stop closed before it took them.
var droppedRequests = metrics.NewCounter("gooseberryroad_client_requests_dropped_total")

// Tracker tracks the open connections of one http.Server.
type Tracker struct {
	log      *slog.Logger
	mu       sync.Mutex
	open     map[*Conn]struct{}
	stopping bool
	// limits is nil if connections are not limited.
	limits *limiter
	// occupied is the number of places that Occupy took.
	occupied int
}

// NewTracker returns a tracker without connections.
func NewTracker(log *slog.Logger) *Tracker {
	return &Tracker{log: log, open: map[*Conn]struct{}{}}
}

// Attach makes a server, whose Handler and ConnContext are set and which has not begun to
// serve, report its connections. The server must serve only listeners that Listener returned.
func (t *Tracker) Attach(s *http.Server) {
	s.ConnState = t.connStateChanged
	// net/http would answer "OPTIONS *" without the handler, which counts requests.
	s.DisableGeneralOptionsHandler = true
	s.Handler = countTaken(s.Handler)
	next := s.ConnContext
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, nc)
		}
		return context.WithValue(ctx, connKey{}, nc)
	}
}

// Listener returns a listener whose connections are tracked.
func (t *Tracker) Listener(l net.Listener) net.Listener { return trackedListener{l, t} }

// connKey is the key of a request's Conn in its context.
type connKey struct{}

// FromContext returns the connection of a request with the given context; nil if it is not
// tracked.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Conn is a connection of a client. While a head arrives, it holds the bytes and passes them to
// net/http when the head is complete, which takes several times their size.
type Conn struct {
	net.Conn
	// limits is nil if the connection is not limited.
	limits *limiter
	// held holds bytes that net/http has not got: an incomplete head, or what is left of a
	// complete one if heldComplete is set. Only Read uses both.
	held         headBuffer
	heldComplete bool
	mu           sync.Mutex
	// headBegan is when Read began to wait for the rest of a head; zero while it does not.
	// requestedDeadline is the read deadline that net/http, or a stop, wants.
	headBegan, requestedDeadline time.Time
	// headReserved and requestReserved are what is reserved for the held bytes, and for what
	// net/http holds of complete heads.
	headReserved, requestReserved int64
	// closedBy is the limit that closed the connection, or empty.
	closedBy limitName
	// active is the state that net/http reported last: a request is being answered.
	active bool
	// unusedSince is when the connection was opened, last received a byte or became idle.
	unusedSince time.Time
	// requests counts the requests that begin in the bytes that arrive; taken is the number
	// of those that were passed to the handler.
	requests requestCounter
	taken    int
	// lost says that the client, or the network, ended the connection; recorded that its
	// dropped requests are counted.
	lost, recorded bool
}

type trackedListener struct {
	net.Listener
	tracker *Tracker
}

// Accept implements net.Listener.
func (l trackedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		out := &Conn{Conn: c, unusedSince: time.Now(), limits: l.tracker.limits}
		if l.tracker.admit(out) {
			return out, nil
		}
		// The error is ignored: nothing was sent on the connection.
		_ = c.Close()
	}
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	if n := c.takeHeld(b); n > 0 {
		return n, nil
	}
	for {
		c.awaitHead()
		n, err := c.Conn.Read(b)
		switch c.received(b[:n], err) {
		case deliver:
			return c.deliver(b, n, err)
		case hold:
			if !c.holdBytes(b[:n]) {
				c.dropHeld()
				return 0, errClosedByLimit
			}
		case drop:
			c.dropHeld()
			return 0, errClosedByLimit
		}
		if err != nil {
			c.dropHeld()
			return 0, err
		}
	}
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetReadDeadline implements net.Conn. While a head arrives, its own deadline is in force, but
// a deadline in the past ends a read at once.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestedDeadline = t
	return c.applyReadDeadline()
}

// applyReadDeadline sets the read deadline that is in force.
func (c *Conn) applyReadDeadline() error {
	t := c.requestedDeadline
	ended := !t.IsZero() && t.Before(c.headBegan)
	if !c.headBegan.IsZero() && !ended {
		t = c.headBegan.Add(c.limits.HeadTimeout)
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite lets net/http end a response before the client has sent its whole
// body.
func (c *Conn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// SetWriteBuffer sets the size of the kernel's send buffer in bytes.
func (c *Conn) SetWriteBuffer(bytes int) error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.SetWriteBuffer(bytes)
	}
	return nil
}

// NextRequestArrived reports whether bytes have arrived that follow the requests which were
// passed to the handler. The handler must have read the body of its request: bytes of it
// count too. It is false for a nil connection, which is not known.
func (c *Conn) NextRequestArrived() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests.begun > c.taken || hasUnreadBytes(c.Conn)
}

// take counts a request that is passed to the handler.
func (c *Conn) take() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.taken++
}

// closeIfUnused ends the connection if closes reports so. Its next Read fails, and net/http
// closes it; what a Read that is about to return has got is still served.
func (c *Conn) closeIfUnused(closes func(drain.Connection) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := drain.Connection{
		Unanswered:  c.active || c.requests.begun > c.taken,
		Answering:   c.active,
		UnusedSince: c.unusedSince,
	}
	if !closes(state) {
		return
	}
	state.Unanswered = state.Unanswered || hasUnreadBytes(c.Conn)
	if closes(state) {
		// The error is ignored: the connection is closed already.
		c.requestedDeadline = time.Unix(1, 0)
		_ = c.applyReadDeadline()
	}
}

// hasUnreadBytes reports whether bytes have arrived that nobody has read yet, for example
// because the process was suspended.
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
func (t *Tracker) connStateChanged(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*Conn)
	if !ok {
		return // its listener is not tracked
	}
	c.mu.Lock()
	c.active = s == http.StateActive
	if s == http.StateIdle {
		c.unusedSince = time.Now()
	}
	if s == http.StateIdle || s == http.StateClosed || s == http.StateHijacked {
		c.releaseRequest()
	}
	if s == http.StateClosed || s == http.StateHijacked {
		c.releaseHead()
	}
	c.mu.Unlock()
	t.mu.Lock()
	if s == http.StateClosed || s == http.StateHijacked {
		t.remove(c)
	}
	stopping := t.stopping
	t.mu.Unlock()
	if stopping && s == http.StateClosed {
		t.recordDropped(c)
	}
}

// CloseUnused closes the connections for which closes reports so, and returns the number of
// those that were open before. From its first call on the tracker counts the requests that are
// dropped with their connections.
func (t *Tracker) CloseUnused(closes func(drain.Connection) bool) int {
	t.mu.Lock()
	t.stopping = true
	t.mu.Unlock()
	open := t.connections()
	for _, c := range open {
		c.closeIfUnused(closes)
	}
	return len(open)
}

// CloseAll calls CloseUnused until no connection is open, and returns the number of those
// that are still open when ctx ends. The server closes these next: the requests that are
// dropped with them are counted.
func (t *Tracker) CloseAll(ctx context.Context, closes func(drain.Connection) bool) int {
	open := t.CloseUnused(closes)
	for open > 0 && pause.For(ctx, pollInterval) {
		open = t.CloseUnused(closes)
	}
	for _, c := range t.connections() {
		t.recordDropped(c)
	}
	return open
}

func (t *Tracker) connections() []*Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Keys(t.open))
}

// recordDropped counts and logs the requests that have arrived on a connection that a stop
// closes, and that were not passed to the handler.
func (t *Tracker) recordDropped(c *Conn) {
	c.mu.Lock()
	dropped := c.requests.begun - c.taken
	if c.lost || c.recorded {
		dropped = 0
	}
	c.recorded = true
	c.mu.Unlock()
	if dropped <= 0 {
		return
	}
	droppedRequests.Add(dropped)
	t.log.Warn("requests dropped with their connection", "client", c.RemoteAddr().String(), "requests", dropped)
}

// countTaken returns a handler that counts the requests of each connection that it passes
// to next.
func countTaken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := FromContext(r.Context()); c != nil {
			c.take()
		}
		next.ServeHTTP(w, r)
	})
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}
