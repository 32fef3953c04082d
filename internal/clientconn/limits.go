package clientconn

import (
	"container/list"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Memory is the account of what a daemon holds for its clients. Heads that are not complete
// have a share of their own; a complete head counts together with the bodies of requests.
type Memory interface {
	// ReserveHead and ReserveRequest reserve n bytes, or return false if they do not fit.
	ReserveHead(n int64) bool
	ReleaseHead(n int64)
	ReserveRequest(n int64) bool
	ReleaseRequest(n int64)
}

// Limits bound what clients can take of a daemon with connections and heads.
type Limits struct {
	// MaxConnections bounds the open connections; 0 is no limit.
	MaxConnections int
	// MaxHeadBytes and MaxFields bound the size of a head and the number of its fields.
	MaxHeadBytes, MaxFields int
	// HeadTimeout bounds the time from the first byte of a head to its last.
	HeadTimeout time.Duration
	// UsualHeadBytes and UsualHeadTime are the size and the time within which the heads of
	// proper clients stay. Beyond them, a head is closed before others if there is no memory.
	UsualHeadBytes int
	UsualHeadTime  time.Duration
	// Memory is the account of the process.
	Memory Memory
}

// limitName is the name of a limit in logs and metrics.
type limitName string

const (
	limitConnections   limitName = "connections"
	limitHeadMemory    limitName = "head_memory"
	limitHeadTime      limitName = "head_time"
	limitHeadSize      limitName = "head_size"
	limitHeadFields    limitName = "head_fields"
	limitRequestMemory limitName = "request_memory"
)

const (
	// freeHeadBytes is what net/http may hold for a complete head without a reservation. The
	// heads of ordinary requests take less, and the number of connections bounds them.
	freeHeadBytes = 8 << 10
	// refusalTimeout bounds the writing of a refusal, and lingerTime and lingerBytes the
	// reading of what the client still sends: a close with unread bytes resets the connection,
	// and the client could lose the refusal.
	refusalTimeout = time.Second
	lingerTime     = 500 * time.Millisecond
	lingerBytes    = 256 << 10
	// maxVictimTries bounds the search for a connection to close in favour of a new one.
	maxVictimTries = 8
	// logInterval is the least time between two log lines of a limit.
	logInterval = time.Second
)

// errClosedByLimit ends a read. net/http sends no response after an error of this type, and
// closes the connection.
var errClosedByLimit error = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("connection closed at a limit")}

var (
	openConnections = metrics.NewGauge("gooseberryroad_client_connections", nil)
	incompleteHeads = metrics.NewGauge("gooseberryroad_client_incomplete_heads", nil)
)

// limiter applies limits to the connections of one tracker.
type limiter struct {
	Limits
	log *slog.Logger
	mu  sync.Mutex
	// heads holds the *heldHead of the connections that hold an incomplete head, in the order
	// in which these began; byConn finds them.
	heads  *list.List
	byConn map[*Conn]*list.Element
	// logged is when the last line of each limit was written, closed the number of closed
	// connections since.
	logged map[limitName]time.Time
	closed map[limitName]int
}

type heldHead struct {
	conn  *Conn
	began time.Time
	size  int
}

// SetLimits limits the connections that are accepted from now on. It must be called before
// Listener.
func (t *Tracker) SetLimits(l Limits) {
	t.limits = &limiter{
		Limits: l, log: t.log, heads: list.New(), byConn: map[*Conn]*list.Element{},
		logged: map[limitName]time.Time{}, closed: map[limitName]int{},
	}
}

// record counts a connection that a limit closed, and logs it at most once in logInterval.
func (l *limiter) record(name limitName, client string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("gooseberryroad_client_limits_total{limit=%q}", string(name))).Inc()
	l.mu.Lock()
	l.closed[name]++
	now, count := time.Now(), l.closed[name]
	due := now.Sub(l.logged[name]) >= logInterval
	if due {
		l.logged[name], l.closed[name] = now, 0
	}
	l.mu.Unlock()
	if due {
		l.log.Warn("connections of clients closed at a limit", "limit", string(name), "connections", count, "client", client)
	}
}

// reserveHead reserves n bytes for the held bytes of c, whose head has the given size. While
// they do not fit, it closes the connections with other incomplete heads. It returns false if
// c was closed.
func (l *limiter) reserveHead(c *Conn, n int64, size int) bool {
	l.mu.Lock()
	if e, ok := l.byConn[c]; ok {
		e.Value.(*heldHead).size = size
	} else {
		l.byConn[c] = l.heads.PushBack(&heldHead{conn: c, began: c.headBegan, size: size})
		incompleteHeads.Inc()
	}
	l.mu.Unlock()
	for !l.Memory.ReserveHead(n) {
		victim := l.nextVictim()
		if victim == nil || victim == c {
			// This head is the next one to close, or the only one.
			l.forget(c)
			c.closeAtLimit(limitHeadMemory)
			return false
		}
		victim.closeAtLimit(limitHeadMemory)
	}
	return c.addHeadReserved(n)
}

// nextVictim takes the connection from the list that is closed next for memory: the oldest head
// that takes longer than proper clients do, else the oldest that is larger than theirs, else
// the oldest.
func (l *limiter) nextVictim() *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	victim := l.heads.Front()
	if victim == nil {
		return nil
	}
	if time.Since(victim.Value.(*heldHead).began) <= l.UsualHeadTime {
		for e := victim; e != nil; e = e.Next() {
			if e.Value.(*heldHead).size > l.UsualHeadBytes {
				victim = e
				break
			}
		}
	}
	c := victim.Value.(*heldHead).conn
	l.remove(c)
	return c
}

func (l *limiter) forget(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remove(c)
}

func (l *limiter) remove(c *Conn) {
	if e, ok := l.byConn[c]; ok {
		l.heads.Remove(e)
		delete(l.byConn, c)
		incompleteHeads.Dec()
	}
}

// admit adds a connection to the open ones. At the limit, it closes the connection for it that
// has waited longest for the rest of its first request or of a head, or else the one that has
// been idle longest. It returns false if all connections have requests.
func (t *Tracker) admit(c *Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.makeRoom(c.RemoteAddr().String()) {
		return false
	}
	t.open[c] = struct{}{}
	openConnections.Inc()
	return true
}

// makeRoom makes room for one more connection from the given client, and returns false if
// there is none. t.mu must be held.
func (t *Tracker) makeRoom(from string) bool {
	l := t.limits
	if l == nil || l.MaxConnections <= 0 || len(t.open)+t.occupied < l.MaxConnections {
		return true
	}
	victim := t.closeUnneeded()
	if victim == nil {
		l.record(limitConnections, from)
		return false
	}
	t.remove(victim)
	l.record(limitConnections, victim.RemoteAddr().String())
	return true
}

// Occupy takes the place of a connection for a request that another daemon forwards, which
// needs as much memory and as many descriptors. It returns false if all connections have
// requests. The caller must call Vacate when the request has ended.
func (t *Tracker) Occupy() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.makeRoom("another daemon") {
		return false
	}
	t.occupied++
	return true
}

// Vacate gives back a place that Occupy took.
func (t *Tracker) Vacate() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.occupied--
}

// remove forgets a connection. t.mu must be held.
func (t *Tracker) remove(c *Conn) {
	if _, ok := t.open[c]; ok {
		delete(t.open, c)
		openConnections.Dec()
	}
}

// closeUnneeded closes a connection without a complete request and returns it, or nil if there
// is none. t.mu must be held.
func (t *Tracker) closeUnneeded() *Conn {
	tried := map[*Conn]bool{}
	for range maxVictimTries {
		var victim *Conn
		var victimIdle bool
		var victimSince time.Time
		for c := range t.open {
			idle, since, ok := c.unneeded()
			if !ok || tried[c] {
				continue
			}
			if victim == nil || victimIdle && !idle || victimIdle == idle && since.Before(victimSince) {
				victim, victimIdle, victimSince = c, idle, since
			}
		}
		if victim == nil || victim.closeIfUnneeded() {
			return victim
		}
		tried[victim] = true
	}
	return nil
}

// unneeded reports whether no complete request has arrived that is not answered, since when,
// and whether the connection is idle after a request.
func (c *Conn) unneeded() (idle bool, since time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unneededLocked()
}

func (c *Conn) unneededLocked() (idle bool, since time.Time, ok bool) {
	inHead := c.requests.inHead() && c.requests.heads <= c.taken
	switch {
	case c.active || c.closedBy != "":
		return false, time.Time{}, false
	case inHead && !c.headBegan.IsZero():
		return false, c.headBegan, true
	case c.requests.begun > c.taken && !inHead:
		return false, time.Time{}, false
	}
	return c.taken > 0 && !inHead, c.unusedSince, true
}

// closeIfUnneeded closes the connection, unless a request has arrived on it in the meantime or
// waits to be read.
func (c *Conn) closeIfUnneeded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, _, ok := c.unneededLocked(); !ok || c.headBegan.IsZero() && hasUnreadBytes(c.Conn) {
		return false
	}
	c.closeLocked(limitConnections)
	return true
}

// closeAtLimit closes a connection that waits for the rest of a head. It does nothing if the
// head has become complete.
func (c *Conn) closeAtLimit(name limitName) {
	c.mu.Lock()
	closes := c.closedBy == "" && !c.headBegan.IsZero()
	if closes {
		c.closeLocked(name)
	}
	c.mu.Unlock()
	if closes {
		c.limits.record(name, c.RemoteAddr().String())
	}
}

func (c *Conn) closeLocked(name limitName) {
	c.closedBy = name
	// The request was not taken: it counts as closed at a limit, not as dropped by a stop.
	c.recorded = true
	c.releaseHead()
	// The error is ignored because the connection is given up.
	_ = c.Conn.Close()
}

// addHeadReserved adds to what is reserved for the held bytes, and returns false if the
// connection was closed in the meantime.
func (c *Conn) addHeadReserved(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headReserved += n
	if c.closedBy != "" {
		c.releaseHead()
		return false
	}
	return true
}

// releaseHead releases what is reserved for the held bytes. c.mu must be held.
func (c *Conn) releaseHead() {
	if c.headReserved > 0 {
		c.limits.Memory.ReleaseHead(c.headReserved)
		c.headReserved = 0
	}
}

// releaseRequest releases what is reserved for complete heads. c.mu must be held.
func (c *Conn) releaseRequest() {
	if c.requestReserved > 0 {
		c.limits.Memory.ReleaseRequest(c.requestReserved)
		c.requestReserved = 0
	}
}

// readStep is what happens to the bytes of a read.
type readStep int

const (
	deliver readStep = iota // net/http gets them
	hold                    // they are held until the head is complete
	drop                    // a limit has closed the connection
)

// awaitHead starts the time of a head whose rest is read next. Unless a request is being
// answered, net/http reads only heads.
func (c *Conn) awaitHead() {
	if c.limits == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active || c.closedBy != "" {
		return
	}
	c.requests.resync(c.taken)
	if c.requests.inHead() && !c.requests.malformed && c.headBegan.IsZero() {
		c.startHead()
	}
}

// startHead starts the time of a head. c.mu must be held.
func (c *Conn) startHead() {
	c.headBegan = time.Now()
	// An error means that the connection is closed, which the next read returns.
	_ = c.applyReadDeadline()
}

// received records the bytes and the error of a read, and returns what happens to the bytes.
func (c *Conn) received(b []byte, err error) readStep {
	c.mu.Lock()
	defer c.mu.Unlock()
	heads := c.requests.heads
	if len(b) > 0 {
		c.requests.add(b)
		c.unusedSince = time.Now()
	}
	c.lost = c.lost || len(b) == 0 && err != nil && !isTimeout(err) && !errors.Is(err, net.ErrClosed)
	switch {
	case c.limits == nil:
		return deliver
	case c.closedBy != "":
		return drop
	case !c.active && c.requests.inHead() && c.requests.heads == heads && !c.requests.malformed:
		if c.headBegan.IsZero() {
			c.startHead()
		}
		return hold
	}
	if !c.headBegan.IsZero() {
		c.headBegan = time.Time{}
		// An error means that the connection is closed, which the next read returns.
		_ = c.applyReadDeadline()
	}
	return deliver
}

// holdBytes adds bytes to the held ones. It returns false if a limit closed the connection.
func (c *Conn) holdBytes(b []byte) bool {
	c.mu.Lock()
	size, fields := c.requests.headBytes, c.requests.fields
	c.mu.Unlock()
	switch {
	case size > c.limits.MaxHeadBytes:
		c.refuse(limitHeadSize, http.StatusRequestHeaderFieldsTooLarge)
		return false
	case fields > c.limits.MaxFields:
		c.refuse(limitHeadFields, http.StatusRequestHeaderFieldsTooLarge)
		return false
	}
	if n := c.held.missing(len(b)); n > 0 && !c.limits.reserveHead(c, int64(n), size) {
		return false
	}
	c.held.add(b)
	return true
}

// deliver passes the held bytes and the n bytes in b to net/http: as many as fit into b now.
func (c *Conn) deliver(b []byte, n int, err error) (int, error) {
	if c.limits == nil {
		return n, err
	}
	if !c.reserveRequest() {
		c.refuse(limitRequestMemory, http.StatusServiceUnavailable)
		return 0, errClosedByLimit
	}
	if c.held.empty() {
		return n, err
	}
	c.limits.forget(c)
	c.held.add(b[:n])
	c.heldComplete = true
	return c.takeHeld(b), nil
}

// reserveRequest reserves the memory of the heads that have become complete.
func (c *Conn) reserveRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.requests.takeHeadMemory()
	if n <= freeHeadBytes {
		return true
	}
	if !c.limits.Memory.ReserveRequest(n) {
		// The head of a request that is pipelined behind the one that is answered is small.
		return c.active
	}
	c.requestReserved += n
	return true
}

// takeHeld copies bytes of a complete head to b.
func (c *Conn) takeHeld(b []byte) int {
	if !c.heldComplete {
		return 0
	}
	n := c.held.take(b)
	if c.held.empty() {
		c.dropHeld()
	}
	return n
}

// dropHeld forgets the held bytes.
func (c *Conn) dropHeld() {
	if c.limits == nil {
		return
	}
	c.held.clear()
	c.heldComplete = false
	c.limits.forget(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseHead()
	if c.closedBy == "" && !c.headBegan.IsZero() && time.Since(c.headBegan) >= c.limits.HeadTimeout {
		c.closedBy = limitHeadTime
		c.recorded = true
		c.limits.record(limitHeadTime, c.RemoteAddr().String())
	}
}

// refuse sends a response without a body of the gateway's own: the request was not passed to
// the handler. The connection must not be used any more.
func (c *Conn) refuse(name limitName, status int) {
	c.dropHeld()
	c.mu.Lock()
	first := c.closedBy == ""
	if first {
		c.closedBy, c.recorded = name, true
	}
	c.mu.Unlock()
	if !first {
		return
	}
	c.limits.record(name, c.RemoteAddr().String())
	text := fmt.Sprintf("%d %s", status, http.StatusText(status))
	head := "HTTP/1.1 " + text + "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n"
	if status == http.StatusServiceUnavailable {
		head += "Retry-After: 1\r\n"
	}
	now := time.Now()
	// Errors mean that the client has left.
	_ = c.Conn.SetWriteDeadline(now.Add(refusalTimeout))
	if _, err := io.WriteString(c.Conn, head+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(text), text)); err != nil {
		return
	}
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(now.Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}
