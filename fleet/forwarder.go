package fleet

import (
	"io"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// Forwarder forwards TCP connections to one address and can be cut. It simulates
// the network between a data centre and the platform.
type Forwarder struct {
	ln net.Listener
	to string // HOST:PORT

	mu     sync.Mutex
	cut    bool
	closed bool
	conns  map[net.Conn]struct{}
	wg     sync.WaitGroup
}

// NewForwarder starts a forwarder that listens on loopback and forwards to an
// address.
func NewForwarder(to string) (*Forwarder, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	f := &Forwarder{ln: ln, to: to, conns: map[net.Conn]struct{}{}}
	f.wg.Go(f.accept)
	return f, nil
}

// Address is the HOST:PORT to connect to.
func (f *Forwarder) Address() string { return f.ln.Addr().String() }

// Cut drops all bytes from now on. Connections stay open and new ones are
// accepted, because a broken network path is not signalled to its two ends.
func (f *Forwarder) Cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = true
}

// Heal ends the cut for new connections. Those that are open are closed,
// because bytes may have been lost on them.
func (f *Forwarder) Heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = false
	for c := range f.conns {
		_ = c.Close()
	}
}

// Close stops the forwarder, closes its connections and waits for its
// goroutines.
func (f *Forwarder) Close() {
	_ = f.ln.Close()
	f.mu.Lock()
	f.closed = true
	for c := range f.conns {
		_ = c.Close()
	}
	f.mu.Unlock()
	f.wg.Wait()
}

func (f *Forwarder) accept() {
	for {
		in, err := f.ln.Accept()
		if err != nil {
			return
		}
		f.wg.Go(func() { f.forward(in) })
	}
}

func (f *Forwarder) forward(in net.Conn) {
	if !f.track(in) {
		return
	}
	defer f.untrack(in)
	out, err := net.Dial("tcp", f.to)
	if err != nil {
		return
	}
	if !f.track(out) {
		return
	}
	defer f.untrack(out)
	done := make(chan struct{}, 2)
	for _, d := range [][2]net.Conn{{in, out}, {out, in}} {
		f.wg.Go(func() {
			defer func() { done <- struct{}{} }()
			_, _ = io.Copy(&droppingWriter{f: f, Conn: d[1]}, d[0])
		})
	}
	<-done
}

// droppingWriter discards what is written while the forwarder is cut.
type droppingWriter struct {
	net.Conn
	f *Forwarder
}

func (w *droppingWriter) Write(p []byte) (int, error) {
	w.f.mu.Lock()
	cut := w.f.cut
	w.f.mu.Unlock()
	if cut {
		return len(p), nil
	}
	return w.Conn.Write(p)
}

// track registers an open connection. If the forwarder is closed, it closes the
// connection and returns false.
func (f *Forwarder) track(c net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		_ = c.Close()
		return false
	}
	f.conns[c] = struct{}{}
	return true
}

func (f *Forwarder) untrack(c net.Conn) {
	_ = c.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, c)
}
