package peer

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/membership"
	"github.com/gooseberryroad/gooseberryroad/node"
	"github.com/gooseberryroad/gooseberryroad/peerpb"
)

// Options configure a Transport. The zero value of a limit selects its default.
type Options struct {
	// Self is the description of this daemon that is sent in the handshake.
	Self membership.Member
	// Key is shared by all daemons.
	Key    string
	Logger *slog.Logger
	// Metrics receives the counters; nil means a private set.
	Metrics *metrics.Set
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	// HandshakeTimeout bounds dialing and the handshake.
	HandshakeTimeout time.Duration
	// KeepAlive is the time between two pings, and PingTimeout how long an
	// answer may take. Their sum bounds how long a silent connection counts as
	// a link.
	KeepAlive, PingTimeout time.Duration
	// BackoffMin and BackoffMax bound the jittered pause between two attempts
	// to dial a peer.
	BackoffMin, BackoffMax time.Duration
	// QueueSize bounds the messages that wait for one peer.
	QueueSize int
	// MaxSessions bounds the sessions with all peers together.
	MaxSessions int
}

func (o Options) withDefaults() Options {
	for _, d := range []struct {
		p *time.Duration
		v time.Duration
	}{
		{&o.HandshakeTimeout, 2 * time.Second}, {&o.KeepAlive, 2 * time.Second}, {&o.PingTimeout, 2 * time.Second},
		{&o.BackoffMin, 200 * time.Millisecond}, {&o.BackoffMax, 5 * time.Second},
	} {
		if *d.p == 0 {
			*d.p = d.v
		}
	}
	if o.QueueSize == 0 {
		o.QueueSize = 256
	}
	if o.MaxSessions == 0 {
		// The owner of a move may have a link from each of 350 daemons.
		o.MaxSessions = 512
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	if o.Dial == nil {
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		}
	}
	return o
}

// Transport holds the links of one daemon.
type Transport struct {
	opts    Options
	log     *slog.Logger
	deliver func(node.Event) bool
	ctx     context.Context
	wg      sync.WaitGroup

	// eventsMu keeps the PeerUp and PeerDown events of a peer in the order of the
	// changes of its sessions. It is held while such an event is delivered.
	eventsMu sync.Mutex
	mu       sync.Mutex
	// sessions holds the sessions of each peer, the newest last.
	sessions map[string][]*session
	// keptLinks holds the functions that end the links kept up until Unlink, by
	// peer.
	keptLinks map[string]context.CancelFunc
	// sessionSlots holds one element for each open session or handshake.
	sessionSlots chan struct{}

	bytesIn, bytesOut, dropped, handshakesFailed *metrics.Counter
}

// session is one authenticated connection.
type session struct {
	peer   membership.Member
	dialed bool
	mux    *yamux.Session
	queue  chan node.Msg
}

// New returns a transport that does nothing until Start.
func New(o Options) *Transport {
	o = o.withDefaults()
	m := o.Metrics
	t := &Transport{
		opts: o, log: o.Logger.With("part", "peer"),
		sessions: map[string][]*session{}, keptLinks: map[string]context.CancelFunc{}, sessionSlots: make(chan struct{}, o.MaxSessions),
		bytesIn:          m.GetOrCreateCounter(`gooseberryroad_peer_bytes_total{direction="in"}`),
		bytesOut:         m.GetOrCreateCounter(`gooseberryroad_peer_bytes_total{direction="out"}`),
		dropped:          m.GetOrCreateCounter("gooseberryroad_peer_messages_dropped_total"),
		handshakesFailed: m.GetOrCreateCounter("gooseberryroad_peer_handshakes_failed_total"),
	}
	m.GetOrCreateGauge("gooseberryroad_peer_links", func() float64 {
		t.mu.Lock()
		defer t.mu.Unlock()
		return float64(len(t.sessions))
	})
	return t
}

// Start sets the receiver of events and begins to accept links. It must be called
// before Link. All goroutines end with the context; Wait returns when they have.
func (t *Transport) Start(ctx context.Context, ln net.Listener, deliver func(node.Event) bool) {
	t.ctx, t.deliver = ctx, deliver
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	t.spawn(func() {
		defer stop()
		t.accept(ctx, ln)
	})
}

// Wait returns when all goroutines have ended after the end of the context.
func (t *Transport) Wait() { t.wg.Wait() }

func (t *Transport) spawn(f func()) {
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		f()
	}()
}

// logLinkFailure logs a link that could not be opened. Failures are common while
// daemons start and stop, but a wrong key needs an operator.
func (t *Transport) logLinkFailure(msg string, err error, args ...any) {
	log := t.log.Debug
	if errors.Is(err, errWrongKey) {
		log = t.log.Warn
	}
	log(msg, append(args, "cause", err.Error())...)
}

func (t *Transport) accept(ctx context.Context, ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			// The process may be out of file descriptors, which can pass.
			t.log.Warn("a link could not be accepted", "cause", err.Error())
			if !sleep(ctx, 100*time.Millisecond) {
				return
			}
			continue
		}
		t.spawn(func() {
			if err := t.serve(ctx, c, false, ""); err != nil && ctx.Err() == nil {
				t.logLinkFailure("a link was refused", err, "address", c.RemoteAddr().String())
			}
		})
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Link carries out a node.LinkPeer action.
func (t *Transport) Link(a node.LinkPeer) {
	if a.Once {
		t.spawn(func() {
			if err := t.dial(t.ctx, a.Peer, a.Address); err != nil {
				t.logLinkFailure("a probe failed", err, "peer", a.Peer, "address", a.Address)
			}
		})
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.keptLinks[a.Peer] != nil {
		return
	}
	ctx, cancel := context.WithCancel(t.ctx)
	t.keptLinks[a.Peer] = cancel
	t.spawn(func() { t.keepLinked(ctx, a.Peer, a.Address) })
}

// Unlink carries out a node.UnlinkPeer action: sessions that this daemon dialed
// are closed.
func (t *Transport) Unlink(peer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cancel := t.keptLinks[peer]; cancel != nil {
		cancel()
		delete(t.keptLinks, peer)
	}
	for _, s := range t.sessions[peer] {
		if s.dialed {
			_ = s.mux.Close()
		}
	}
}

// Send queues a message for a linked peer. It never blocks: without a link or
// with a full queue the message is dropped and counted, and Send returns false.
func (t *Transport) Send(to string, m node.Msg) bool {
	t.mu.Lock()
	ss := t.sessions[to]
	t.mu.Unlock()
	if len(ss) > 0 {
		select {
		case ss[len(ss)-1].queue <- m:
			return true
		default:
		}
	}
	t.dropped.Inc()
	return false
}

// keepLinked dials a peer whenever there is no session with it, until the context
// ends. A session that the peer dialed counts as well.
func (t *Transport) keepLinked(ctx context.Context, peer, addr string) {
	failures := 0
	for ctx.Err() == nil {
		if !t.linked(peer) {
			started := time.Now()
			err := t.dial(ctx, peer, addr)
			if ctx.Err() != nil {
				return
			}
			if time.Since(started) > t.opts.BackoffMax {
				failures = 0
			}
			if err != nil {
				t.log.Info("a peer could not be linked", "peer", peer, "address", addr, "cause", err.Error())
				t.deliver(node.LinkFailed{Peer: peer})
			}
			failures++
		}
		d := min(t.opts.BackoffMin<<min(failures, 10), t.opts.BackoffMax)
		if !sleep(ctx, d/2+time.Duration(rand.Int64N(int64(d/2)+1))) {
			return
		}
	}
}

func (t *Transport) linked(peer string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.sessions[peer]) > 0
}

// dial opens a session and serves it until it ends. It returns an error when the
// session could not be opened.
func (t *Transport) dial(ctx context.Context, peer, addr string) error {
	dialCtx, cancel := context.WithTimeout(ctx, t.opts.HandshakeTimeout)
	c, err := t.opts.Dial(dialCtx, addr)
	cancel()
	if err != nil {
		return eris.Wrap(err, "dial")
	}
	return t.serve(ctx, c, true, peer)
}

// serve runs the handshake and then the session until it ends. It returns an error
// when the session could not be opened, or when expectedName is not empty and the
// peer has another name.
func (t *Transport) serve(ctx context.Context, c net.Conn, dialed bool, expectedName string) error {
	defer c.Close()
	select {
	case t.sessionSlots <- struct{}{}:
		defer func() { <-t.sessionSlots }()
	default:
		return eris.New("too many sessions")
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	_ = c.SetDeadline(time.Now().Add(t.opts.HandshakeTimeout))
	counted := &countedConn{Conn: c, in: t.bytesIn, out: t.bytesOut}
	handshake := acceptHandshake
	if dialed {
		handshake = dialHandshake
	}
	member, err := handshake(counted, t.opts.Key, t.opts.Self)
	if err != nil {
		t.handshakesFailed.Inc()
		return err
	}
	if expectedName != "" && member.Name != expectedName {
		return eris.Errorf("the daemon at this address is %s and not %s", member.Name, expectedName)
	}
	_ = c.SetDeadline(time.Time{})
	s := &session{peer: member, dialed: dialed, queue: make(chan node.Msg, t.opts.QueueSize)}
	conf := yamux.DefaultConfig()
	conf.KeepAliveInterval, conf.ConnectionWriteTimeout = t.opts.KeepAlive, t.opts.PingTimeout
	conf.LogOutput = io.Discard
	if dialed {
		s.mux, err = yamux.Client(counted, conf)
	} else {
		s.mux, err = yamux.Server(counted, conf)
	}
	if err != nil {
		return eris.Wrap(err, "open a session")
	}
	defer s.mux.Close()
	return t.exchange(ctx, s)
}

// exchange opens the message stream of a session and runs it until it ends.
func (t *Transport) exchange(ctx context.Context, s *session) error {
	var stream net.Conn
	var err error
	if s.dialed {
		stream, err = s.mux.Open()
	} else {
		// The dialer opens the stream at once; a session without one is closed.
		timer := time.AfterFunc(t.opts.HandshakeTimeout, func() { _ = s.mux.Close() })
		stream, err = s.mux.Accept()
		timer.Stop()
	}
	if err != nil {
		return eris.Wrap(err, "open the message stream")
	}
	t.addSession(ctx, s)
	t.spawn(func() { t.writeMessages(s, stream) })
	err = t.readMessages(s, stream)
	_ = s.mux.Close()
	t.log.Debug("a link ended", "peer", s.peer.Name, "cause", err.Error())
	t.removeSession(ctx, s)
	return nil
}

func (t *Transport) readMessages(s *session, stream net.Conn) error {
	for {
		var m peerpb.Message
		if _, err := readFrame(stream, &m, MaxMessageBytes); err != nil {
			return err
		}
		msg, err := decode(&m)
		if err != nil {
			return err
		}
		if msg != nil {
			t.deliver(node.PeerMessage{From: s.peer.Name, Msg: msg})
		}
	}
}

func (t *Transport) writeMessages(s *session, stream net.Conn) {
	defer s.mux.Close()
	for {
		select {
		case <-s.mux.CloseChan():
			return
		case m := <-s.queue:
			p, err := encode(m)
			if err != nil {
				t.log.Error("a message could not be sent", "peer", s.peer.Name, "cause", err.Error())
				continue
			}
			if _, err := writeFrame(stream, p); err != nil {
				return
			}
		}
	}
}

// addSession makes a session the one that messages are sent on. An older session
// that the same side dialed is closed, because that side has given it up.
func (t *Transport) addSession(ctx context.Context, s *session) {
	t.eventsMu.Lock()
	defer t.eventsMu.Unlock()
	t.mu.Lock()
	for _, old := range t.sessions[s.peer.Name] {
		if old.dialed == s.dialed {
			_ = old.mux.Close()
		}
	}
	t.sessions[s.peer.Name] = append(t.sessions[s.peer.Name], s)
	t.mu.Unlock()
	t.deliverUntilTaken(ctx, node.PeerUp{Peer: s.peer, Dialed: s.dialed})
}

func (t *Transport) removeSession(ctx context.Context, s *session) {
	t.eventsMu.Lock()
	defer t.eventsMu.Unlock()
	t.mu.Lock()
	var left []*session
	for _, o := range t.sessions[s.peer.Name] {
		if o != s {
			left = append(left, o)
		}
	}
	if len(left) > 0 {
		t.sessions[s.peer.Name] = left
	} else {
		delete(t.sessions, s.peer.Name)
	}
	t.mu.Unlock()
	if len(left) == 0 {
		t.deliverUntilTaken(ctx, node.PeerDown{Peer: s.peer.Name})
	}
}

// deliverUntilTaken delivers an event again until the receiver takes it or the
// context ends, because no later event repairs the loss of this one.
func (t *Transport) deliverUntilTaken(ctx context.Context, ev node.Event) {
	for !t.deliver(ev) {
		if !sleep(ctx, 20*time.Millisecond) {
			return
		}
	}
}

// countedConn counts the bytes that are read from and written to a connection.
type countedConn struct {
	net.Conn
	in, out *metrics.Counter
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Add(n)
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Add(n)
	return n, err
}
