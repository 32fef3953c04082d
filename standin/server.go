package standin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/rotisserie/eris"
)

// loopback is the default listening address of stand-ins.
const loopback = "127.0.0.1:0"

// server is an HTTP server whose connections can be reset, paused or hung.
type server struct {
	handler http.Handler

	mu   sync.Mutex
	addr string
	// reservedPort keeps the port while the server is stopped; see
	// reservePort.
	reservedPort *os.File
	ln           net.Listener
	http         *http.Server
	cancel       context.CancelFunc
	conns        map[*conn]struct{}
	// paused is closed when the present pause ends; nil without a pause.
	paused chan struct{}
	// hangNext is the number of next accepted connections that hang.
	hangNext int
	serving  sync.WaitGroup
}

// conn is an accepted connection. A hung connection stays open, discards its
// input and sends nothing.
type conn struct {
	net.Conn
	s    *server
	hung atomic.Bool
	// generationID names the generation that is streamed on the connection;
	// nil if there is none.
	generationID atomic.Pointer[string]
	closed       chan struct{}
	closeOnce    sync.Once
}

type connKey struct{}

// connOf returns the connection that a request arrived on.
func connOf(r *http.Request) *conn {
	return r.Context().Value(connKey{}).(*conn)
}

func newServer(h http.Handler) *server {
	return &server{handler: h, conns: map[*conn]struct{}{}}
}

// start begins to listen and serve. After stop it listens at the same address
// again, whatever addr is.
func (s *server) start(addr string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http != nil {
		return nil
	}
	if s.addr != "" {
		addr = s.addr
	}
	if s.reservedPort == nil {
		f, bound, err := reservePort(addr)
		if err != nil {
			return err
		}
		s.reservedPort, addr = f, bound
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	ctx, cancel := context.WithCancel(context.Background())
	hs := &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: time.Minute,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	s.addr, s.ln, s.http, s.cancel = ln.Addr().String(), ln, hs, cancel
	s.serving.Add(1)
	go func() {
		defer s.serving.Done()
		_ = hs.Serve(&listener{Listener: ln, s: s})
	}()
	return nil
}

// stop resets all connections. Afterwards the address refuses connections.
func (s *server) stop() {
	s.mu.Lock()
	hs, ln, cancel := s.http, s.ln, s.cancel
	s.http = nil
	s.mu.Unlock()
	if hs == nil {
		return
	}
	// The HTTP server does not close a listener that it has not yet begun to
	// serve.
	_ = ln.Close()
	s.resetAll()
	_ = hs.Close()
	cancel()
}

// close stops the server for good and releases its port.
func (s *server) close() {
	s.stop()
	s.unpause()
	s.serving.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reservedPort != nil {
		_ = s.reservedPort.Close()
		s.reservedPort = nil
	}
}

// reservePort binds a socket that never listens to an IPv4 address, and returns
// the socket and the bound address. While the socket is open, the system gives
// the port to no other process, and connections to it are refused unless a
// listener is bound as well. Without it another process could take the port of
// a stand-in that died, which then could not listen at its address again.
func reservePort(addr string) (*os.File, string, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil || !ap.Addr().Is4() {
		return nil, "", eris.Errorf("address must be an IPv4 address and a port, not %q", addr)
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, "", eris.Wrap(err, "create a socket")
	}
	f := os.NewFile(uintptr(fd), "reserved port")
	err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(ap.Port()), Addr: ap.Addr().As4()})
	}
	var bound syscall.Sockaddr
	if err == nil {
		bound, err = syscall.Getsockname(fd)
	}
	in, ok := bound.(*syscall.SockaddrInet4)
	if err != nil || !ok {
		_ = f.Close()
		return nil, "", eris.Wrapf(err, "bind %s", addr)
	}
	return f, netip.AddrPortFrom(netip.AddrFrom4(in.Addr), uint16(in.Port)).String(), nil
}

// resetAll resets the open connections; the server goes on listening.
func (s *server) resetAll() {
	s.mu.Lock()
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.reset()
	}
}

func (s *server) address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// pause stops all input and output of open and new connections.
func (s *server) pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.paused == nil {
		s.paused = make(chan struct{})
	}
}

// unpause ends a pause.
func (s *server) unpause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.paused != nil {
		close(s.paused)
		s.paused = nil
	}
}

// pauseDone returns a channel that is closed when the present pause ends, or
// nil without a pause.
func (s *server) pauseDone() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.paused
}

// hangOpen makes all open connections hang for good and returns their number.
// New ones work.
func (s *server) hangOpen() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.hung.Store(true)
	}
	return len(s.conns)
}

// hangAccepted makes the next n accepted connections hang from the start.
func (s *server) hangAccepted(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hangNext = n
}

// listener registers the accepted connections with their server.
type listener struct {
	net.Listener
	s *server
}

func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, s: l.s, closed: make(chan struct{})}
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	if l.s.hangNext > 0 {
		l.s.hangNext--
		c.hung.Store(true)
	}
	l.s.conns[c] = struct{}{}
	return c, nil
}

// Read blocks during a pause. On a hung connection it discards all input
// until the peer closes the connection.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil {
			return n, err
		}
		if !c.waitWhilePaused() {
			return 0, net.ErrClosed
		}
		if !c.hung.Load() {
			return n, nil
		}
	}
}

// Write blocks during a pause. On a hung connection it discards the output.
func (c *conn) Write(p []byte) (int, error) {
	if !c.waitWhilePaused() {
		return 0, net.ErrClosed
	}
	if c.hung.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// waitWhilePaused blocks during a pause. It returns false if the connection was
// closed before the pause ended.
func (c *conn) waitWhilePaused() bool {
	for {
		resumed := c.s.pauseDone()
		if resumed == nil {
			return true
		}
		select {
		case <-resumed:
		case <-c.closed:
			return false
		}
	}
}

func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.s.mu.Lock()
		delete(c.s.conns, c)
		c.s.mu.Unlock()
	})
	return c.Conn.Close()
}

// reset closes the connection with a TCP reset.
func (c *conn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// newRouter returns a router without log output.
func newRouter() *gin.Engine {
	gin.SetMode(gin.ReleaseMode)
	r := gin.New()
	r.UseRawPath = true
	r.UnescapePathValues = true
	return r
}

// refuse answers with the JSON form that the design page gives for refusals.
func refuse(c *gin.Context, status int, code, outcome, message string) {
	c.JSON(status, gin.H{"error": gin.H{"message": message, "type": "standin", "code": code, "outcome": outcome}})
}

// controlEndpoint is the HTTP control of a stand-in, which embeds it.
type controlEndpoint struct {
	control *server
}

func startControl(addr string, routes func(gin.IRouter)) (controlEndpoint, error) {
	if addr == "" {
		addr = loopback
	}
	r := newRouter()
	routes(r.Group("/control"))
	s := newServer(r)
	return controlEndpoint{control: s}, s.start(addr)
}

// ControlAddress is the HOST:PORT of the HTTP control. The control has a
// listener of its own, so that it works while the stand-in is paused or dead.
func (c controlEndpoint) ControlAddress() string { return c.control.address() }

// decodeBody decodes a JSON body into out; an empty body leaves out unchanged.
// If it fails, it answers with status 400 and returns false.
func decodeBody(c *gin.Context, out any) bool {
	d := json.NewDecoder(c.Request.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(out); err != nil && !errors.Is(err, io.EOF) {
		c.JSON(http.StatusBadRequest, gin.H{"error": gin.H{"message": err.Error()}})
		return false
	}
	return true
}

// Duration is a duration that JSON encodes as text, such as "20ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
