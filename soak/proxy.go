package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// linkDelay is what a delayed link adds to each read.
	linkDelay = 150 * time.Millisecond
	// dialTimeout bounds the way from a proxy to its server on the loopback
	// interface.
	dialTimeout = time.Second
	// chunkBytes is how much a proxy reads at once.
	readBufferSize = 16 << 10
)

// link is a TCP proxy with faults. Its server may change its address and may be
// away.
type link struct {
	net.Listener
	server func() string
	// forth and back are set while bytes towards and from the server vanish, late
	// while they are delayed. Faults overlap, so they count.
	dropToServer, dropFromServer, delay atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newLink(server func() string) (*link, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "start a proxy")
	}
	p := &link{Listener: l, server: server, conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *link) address() string { return p.Listener.Addr().String() }

func (p *link) accept() {
	for {
		c, err := p.Listener.Accept()
		if err != nil {
			return // the proxy has ended
		}
		go p.proxy(c)
	}
}

// join passes bytes between a client and the server until one of them closes.
func (p *link) proxy(client net.Conn) {
	server, err := net.DialTimeout("tcp4", p.server(), dialTimeout)
	if err != nil {
		// The server is down: its clients see a reset.
		reset(client)
		return
	}
	p.track(client, server)
	done := make(chan struct{}, 2)
	go p.copyOneWay(client, server, &p.dropToServer, done)
	go p.copyOneWay(server, client, &p.dropFromServer, done)
	<-done
	<-done
	p.untrack(client, server)
}

// pass copies bytes one way. A reset is passed on as a reset, an end as an end;
// what vanished is not made up for, so the connection is reset after it.
func (p *link) copyOneWay(from, to net.Conn, vanish *atomic.Int32, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, readBufferSize)
	lost := false
	for {
		n, err := from.Read(buf)
		if p.delay.Load() > 0 {
			time.Sleep(linkDelay)
		}
		if vanish.Load() > 0 {
			lost = true
			if err == nil {
				continue
			}
		}
		if lost {
			// A stream with a hole must not go on. While the fault lasts nothing
			// is heard of it.
			for vanish.Load() > 0 {
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

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// Without it the close is an orderly one, which is a fault too.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *link) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
}

func (p *link) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
		_ = c.Close()
	}
}

// resetAll resets every connection.
func (p *link) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// fault acts on the link until the returned function is called.
func (p *link) fault(k Kind) (end func()) {
	var counters []*atomic.Int32
	switch k {
	case Reset:
		p.resetAll()
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
