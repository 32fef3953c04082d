package soak

import (
	"errors"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// linkDelay is the delay that a slow link adds to each read.
	linkDelay = 150 * time.Millisecond
	// dialTimeout bounds connecting from a proxy to its server on the loopback
	// interface.
	dialTimeout = time.Second
	// readBufferSize is the most bytes that a proxy reads at once.
	readBufferSize = 16 << 10
)

// link is a TCP proxy into which faults can be injected. Its server may change its
// address and may be down.
type link struct {
	net.Listener
	server func() string
	// dropToServer and dropFromServer are above 0 while bytes towards and from the
	// server are dropped, delay while bytes are delayed. They are counters, because
	// faults may overlap.
	dropToServer, dropFromServer, delay atomic.Int32

	mu sync.Mutex
	// conns holds the open connections; the value is above 0 while the connection is silent
	// although new ones work.
	conns map[net.Conn]*atomic.Int32
}

func newLink(server func() string) (*link, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen for a proxy")
	}
	p := &link{Listener: l, server: server, conns: map[net.Conn]*atomic.Int32{}}
	go p.accept()
	return p, nil
}

func (p *link) address() string { return p.Listener.Addr().String() }

func (p *link) accept() {
	for {
		c, err := p.Listener.Accept()
		if err != nil {
			return // the proxy was closed
		}
		go p.proxy(c)
	}
}

// proxy copies bytes between a client and the server until both directions have
// ended.
func (p *link) proxy(client net.Conn) {
	server, err := net.DialTimeout("tcp4", p.server(), dialTimeout)
	if err != nil {
		// The server is down: the client gets a reset.
		reset(client)
		return
	}
	silent := p.track(client, server)
	done := make(chan struct{}, 2)
	go p.copyOneWay(client, server, func() bool { return p.dropToServer.Load()+silent.Load() > 0 }, done)
	go p.copyOneWay(server, client, func() bool { return p.dropFromServer.Load()+silent.Load() > 0 }, done)
	<-done
	<-done
	p.untrack(client, server)
}

// copyOneWay copies bytes in one direction. It forwards a reset as a reset and an
// end of the stream as an end. Dropped bytes are not sent later, so the connection
// is reset after the fault.
func (p *link) copyOneWay(from, to net.Conn, dropping func() bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, readBufferSize)
	dropped := false
	for {
		n, err := from.Read(buf)
		if p.delay.Load() > 0 {
			time.Sleep(linkDelay)
		}
		if dropping() {
			dropped = true
			if err == nil {
				continue
			}
		}
		if dropped {
			// A stream with missing bytes must not continue. The reset waits for
			// the end of the fault, during which the link is silent.
			for dropping() {
				time.Sleep(linkDelay / 10)
			}
			reset(from)
			reset(to)
			return
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				reset(from)
				return
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			// The other direction may still run.
			_ = to.(*net.TCPConn).CloseWrite()
			return
		default:
			reset(to)
			return
		}
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// Without a linger time of 0, Close ends the connection in order, which is
		// another fault.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// track records open connections that are silent together, for resetAll and openConnections.
func (p *link) track(conns ...net.Conn) (silent *atomic.Int32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	silent = &atomic.Int32{}
	for _, c := range conns {
		p.conns[c] = silent
	}
	return silent
}

// openConnections returns the counters of the connections that are open now.
func (p *link) openConnections() []*atomic.Int32 {
	p.mu.Lock()
	defer p.mu.Unlock()
	unique := map[*atomic.Int32]bool{}
	for _, silent := range p.conns {
		unique[silent] = true
	}
	return slices.Collect(maps.Keys(unique))
}

// untrack closes connections and no longer records them.
func (p *link) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
		_ = c.Close()
	}
}

// resetAll resets all open connections.
func (p *link) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// fault injects a fault into the link until the returned function is called.
func (p *link) fault(k FaultKind) (end func()) {
	var counters []*atomic.Int32
	switch k {
	case Reset:
		p.resetAll()
	case SilenceOpen:
		counters = p.openConnections()
	case Delay:
		counters = []*atomic.Int32{&p.delay}
	case DropToServer:
		counters = []*atomic.Int32{&p.dropToServer}
	case DropFromServer:
		counters = []*atomic.Int32{&p.dropFromServer}
	case DropBoth:
		counters = []*atomic.Int32{&p.dropToServer, &p.dropFromServer}
	}
	for _, c := range counters {
		c.Add(1)
	}
	return func() {
		for _, c := range counters {
			c.Add(-1)
		}
	}
}

func (p *link) close() {
	_ = p.Listener.Close()
	p.resetAll()
}
