package upstream

import (
	"context"
	"encoding/binary"
	"net"
	"sync"
	"syscall"
	"time"
)

// Options sets the limits of a pool.
type Options struct {
	// DialTimeout bounds the time for opening a connection.
	DialTimeout time.Duration
	// MaxIdle bounds the number of idle connections to each upstream.
	MaxIdle int
	// MaxIdleTime is how long an idle connection is kept if the upstream does not
	// state a time.
	MaxIdleTime time.Duration
	// IdleMargin is subtracted from the idle time that an upstream states, so that
	// no request is sent while the upstream closes the connection.
	IdleMargin time.Duration
	// Dial opens connections instead of a net.Dialer; it must keep to DialTimeout.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// DefaultOptions returns options for upstreams a few milliseconds away.
func DefaultOptions() Options {
	return Options{
		// Tens of round trips inside a region. The latency objective of plain requests
		// is 300 ms.
		DialTimeout: 150 * time.Millisecond,
		MaxIdle:     8,
		// Keep-Alive holds whole seconds only, so an upstream that states no time may
		// close an idle connection after less than a second.
		MaxIdleTime: 700 * time.Millisecond,
		IdleMargin:  700 * time.Millisecond,
	}
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	o  Options
	mu sync.Mutex
	// idle holds the connections of each address, the most recently used last.
	idle map[string][]*conn
}

// NewPool returns an empty pool.
func NewPool(o Options) *Pool { return &Pool{o: o, idle: map[string][]*conn{}} }

// get returns an idle connection that was used within maxIdle, or a new one.
func (p *Pool) get(ctx context.Context, addr string, maxIdle time.Duration) (*conn, error) {
	for {
		c := p.pop(addr)
		if c == nil {
			break
		}
		if c.usable(time.Now(), maxIdle) {
			return c, nil
		}
		c.close()
	}
	nc, err := p.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return newConn(nc, addr), nil
}

func (p *Pool) dial(ctx context.Context, addr string) (net.Conn, error) {
	if p.o.Dial != nil {
		return p.o.Dial(ctx, addr)
	}
	d := net.Dialer{Timeout: p.o.DialTimeout}
	return d.DialContext(ctx, "tcp4", addr)
}

func (p *Pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

// put keeps a connection for reuse for the given time. It closes the connection
// that has been idle longest if the upstream has MaxIdle idle ones already.
func (p *Pool) put(c *conn, keep time.Duration) {
	if keep <= 0 {
		c.close()
		return
	}
	c.idleSince = time.Now()
	c.expires = c.idleSince.Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.addr]
	if len(list) >= p.o.MaxIdle {
		list[0].close()
		list = append(list[:0], list[1:]...)
	}
	p.idle[c.addr] = append(list, c)
}

// Sweep closes idle connections that have expired.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				c.close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = kept
		}
	}
}

// openAndEmpty reports whether an idle connection is open and has no bytes to
// read. Bytes that arrive between requests belong to no request.
func openAndEmpty(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

// stateCloseWait is the kernel's state of a connection (TCP_CLOSE_WAIT) that the other side
// closed in order, and that was not reset.
const stateCloseWait = 8

// closedByPeer reports whether the other side closed a connection in order and has not reset
// it. It is false if that is not known.
func closedByPeer(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var state byte
	err = raw.Control(func(fd uintptr) {
		// The state is the first byte of the kernel's answer.
		info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
		if err == nil {
			state = binary.NativeEndian.AppendUint32(nil, uint32(info))[0]
		}
	})
	return err == nil && state == stateCloseWait
}
