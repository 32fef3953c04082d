package main

import (
	"net"
	"sync"
)

// proxyMode says what a proxy does with its channels.
type proxyMode int

const (
	proxyPass proxyMode = iota
	// proxySilent passes nothing on; channels stay open and stay silent for good.
	proxySilent
	// proxyReset resets the channels, new ones too.
	proxyReset
)

// Proxy is the link between a daemon and the store.
type Proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]bool
	// silenced holds the channels that were open during a silent cut: what was sent on
	// them then is lost, so they stay silent.
	silenced map[net.Conn]bool
}

func newProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: l, conns: map[net.Conn]bool{}, silenced: map[net.Conn]bool{}}
	go p.run()
	return p, nil
}

func (p *Proxy) address() string { return p.listener.Addr().String() }

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) set(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	for c := range p.conns {
		switch m {
		case proxyReset:
			reset(c)
			delete(p.conns, c)
		case proxySilent:
			p.silenced[c] = true
		}
	}
}

// silence makes the channels that are open now silent for good; new ones work.
func (p *Proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for c := range p.conns {
		p.silenced[c] = true
		n++
	}
	return n / 2
}

func (p *Proxy) run() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		mode := p.mode
		if mode == proxyPass {
			p.conns[in] = true
		}
		p.mu.Unlock()
		switch mode {
		case proxyReset:
			reset(in)
		case proxySilent:
			// The channel stays open and silent.
		default:
			go p.pass(in)
		}
	}
}

func (p *Proxy) pass(in net.Conn) {
	out, err := net.Dial("tcp4", p.target)
	if err != nil {
		reset(in)
		return
	}
	p.mu.Lock()
	p.conns[out] = true
	p.mu.Unlock()
	done := make(chan bool, 2)
	forward := func(dst, src net.Conn) {
		b := make([]byte, 32<<10)
		for {
			n, err := src.Read(b)
			p.mu.Lock()
			silent := p.silenced[in] || p.silenced[out]
			p.mu.Unlock()
			if n > 0 && !silent {
				if _, err := dst.Write(b[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- true
	}
	go forward(out, in)
	go forward(in, out)
	<-done
	p.mu.Lock()
	delete(p.conns, in)
	delete(p.conns, out)
	silent := p.silenced[in] || p.silenced[out]
	p.mu.Unlock()
	if silent {
		// The other end does not learn that this one has closed.
		return
	}
	_ = in.Close()
	_ = out.Close()
}
