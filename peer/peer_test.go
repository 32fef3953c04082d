package peer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/gooseberryroad/gooseberryroad/membership"
	"github.com/gooseberryroad/gooseberryroad/node"
	"github.com/gooseberryroad/gooseberryroad/peerpb"
	"github.com/gooseberryroad/gooseberryroad/store"
)

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peer")
}

const key = "a shared key of daemons"

// testDaemon is the transport of one daemon with the events that it delivered.
type testDaemon struct {
	*Transport
	name, addr string
	cancel     context.CancelFunc
	events     chan node.Event
}

func listen(addr string) net.Listener {
	GinkgoHelper()
	ln, err := net.Listen("tcp", addr)
	Expect(err).NotTo(HaveOccurred())
	return ln
}

func start(name, addr, key string, change func(*Options)) *testDaemon {
	GinkgoHelper()
	ln := listen(addr)
	o := Options{Self: membership.Member{Name: name, DataCentre: "dc1", Region: "r", Address: ln.Addr().String(), Incarnation: 1},
		Key: key, BackoffMin: 5 * time.Millisecond, BackoffMax: 50 * time.Millisecond}
	if change != nil {
		change(&o)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &testDaemon{Transport: New(o), name: name, addr: ln.Addr().String(), cancel: cancel, events: make(chan node.Event, 1000)}
	d.Start(ctx, ln, func(ev node.Event) bool {
		select {
		case d.events <- ev:
			return true
		default:
			return false
		}
	})
	DeferCleanup(d.stop)
	return d
}

func (d *testDaemon) stop() {
	d.cancel()
	d.Wait()
}

// next returns the next event, which must be of the given type.
func next[T node.Event](d *testDaemon) T {
	GinkgoHelper()
	var ev node.Event
	Eventually(d.events, 5*time.Second).Should(Receive(&ev))
	out, ok := ev.(T)
	Expect(ok).To(BeTrue(), "got %T", ev)
	return out
}

// waitFor returns the next event of a type and skips others.
func waitFor[T node.Event](d *testDaemon) T {
	GinkgoHelper()
	for {
		var ev node.Event
		Eventually(d.events, 5*time.Second).Should(Receive(&ev))
		if out, ok := ev.(T); ok {
			return out
		}
	}
}

var messages = []node.Msg{
	node.Digest{Hash: 7, Applied: 100, Configured: true, Full: true, Revisions: []node.KeyRevision{{Key: "config/a", Revision: 99}},
		Members: []node.MemberUpdate{{ID: 5, Heartbeat: 9, Applied: 101}, {ID: 6, Heartbeat: 2, Applied: 90}},
		Marks: []membership.Mark{{Address: "127.0.0.1:1", Incarnation: "i", State: membership.UpstreamLeaving},
			{Address: "127.0.0.1:2", State: membership.UpstreamDead}}},
	node.Want{Keys: []string{"config/a"}, Members: []uint32{5}},
	node.Documents{Entries: []store.Entry{{Key: "config/a", Index: 99, Value: bytes.Repeat([]byte("x"), store.MaxValueBytes)}}},
	node.Notice{Topic: node.TopicAlarm, Body: []byte("bad")},
	node.Direct{Topic: node.TopicSamples, Body: []byte("s")},
}

var _ = Describe("Transport", func() {
	It("links two daemons and carries all messages both ways in order", func() {
		a, b := start("a", "127.0.0.1:0", key, nil), start("b", "127.0.0.1:0", key, nil)
		a.Link(node.LinkPeer{Peer: "b", Address: b.addr})
		Expect(next[node.PeerUp](a)).To(Equal(node.PeerUp{Peer: b.opts.Self, Dialed: true}))
		Expect(next[node.PeerUp](b)).To(Equal(node.PeerUp{Peer: a.opts.Self}))
		for _, m := range messages {
			Expect(a.Send("b", m)).To(BeTrue())
			Expect(b.Send("a", m)).To(BeTrue())
		}
		for _, m := range messages {
			Expect(next[node.PeerMessage](b)).To(Equal(node.PeerMessage{From: "a", Msg: m}))
			Expect(next[node.PeerMessage](a)).To(Equal(node.PeerMessage{From: "b", Msg: m}))
		}
		Expect(a.bytesOut.Get()).To(BeNumerically(">", 1000))
		Expect(a.bytesIn.Get()).To(BeNumerically(">", 1000))
		a.Unlink("b")
		Expect(next[node.PeerDown](a).Peer).To(Equal("b"))
		Expect(next[node.PeerDown](b).Peer).To(Equal("a"))
		Expect(a.Send("b", messages[1])).To(BeFalse())
		Expect(a.dropped.Get()).To(Equal(uint64(1)))
	})

	It("learns the name behind a seed, tries a probe once and does not link to itself", func() {
		a, b := start("a", "127.0.0.1:0", key, nil), start("b", "127.0.0.1:0", key, nil)
		a.Link(node.LinkPeer{Address: a.addr, Once: true})
		a.Link(node.LinkPeer{Address: b.addr, Once: true})
		Expect(next[node.PeerUp](a).Peer.Name).To(Equal("b"))
		b.stop()
		Expect(next[node.PeerDown](a).Peer).To(Equal("b"))
		Consistently(a.events, "100ms").ShouldNot(Receive())
	})

	// Guards against a daemon, or anybody else, that joins without the key.
	DescribeTable("refuses a wrong key", func(dialer, listener string) {
		a, b := start("a", "127.0.0.1:0", dialer, nil), start("b", "127.0.0.1:0", listener, nil)
		a.Link(node.LinkPeer{Peer: "b", Address: b.addr})
		Expect(next[node.LinkFailed](a).Peer).To(Equal("b"))
		a.stop()
		b.stop()
		for len(b.events) > 0 {
			Expect(<-b.events).NotTo(BeAssignableToTypeOf(node.PeerUp{}))
		}
	},
		Entry("of the dialer", "another key of someone", key),
		Entry("of the listener", key, "another key of someone"),
	)

	// Guards against a proof of the listener that is sent back to it as that of the
	// dialer, and against a proof for other names or nonces.
	DescribeTable("refuses a proof that was not made for this handshake by the dialer", func(forge func(mine, theirs *peerpb.Hello) []byte) {
		b := start("b", "127.0.0.1:0", key, nil)
		c, err := net.Dial("tcp", b.addr)
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		mine := &peerpb.Hello{Protocol: protocol, Nonce: newNonce(), Member: &peerpb.Member{Name: "a"}}
		_, err = writeFrame(c, mine)
		Expect(err).NotTo(HaveOccurred())
		theirs := &peerpb.Hello{}
		_, err = readFrame(c, theirs, maxHelloBytes)
		Expect(err).NotTo(HaveOccurred())
		_, err = writeFrame(c, &peerpb.Hello{Protocol: protocol, Proof: forge(mine, theirs)})
		Expect(err).NotTo(HaveOccurred())
		Eventually(b.handshakesFailed.Get, 5*time.Second).Should(Equal(uint64(1)))
		Expect(b.events).NotTo(Receive())
	},
		Entry("reflected", func(_, theirs *peerpb.Hello) []byte { return theirs.Proof }),
		Entry("for another name", func(mine, theirs *peerpb.Hello) []byte {
			return computeProof(key, "dialer", mine.Nonce, theirs.Nonce, &peerpb.Member{Name: "z"}, theirs.Member)
		}),
		Entry("for an older nonce", func(mine, theirs *peerpb.Hello) []byte {
			return computeProof(key, "dialer", mine.Nonce, newNonce(), mine.Member, theirs.Member)
		}),
		Entry("empty", func(_, _ *peerpb.Hello) []byte { return nil }),
	)

	It("accepts a correct proof made by hand", func() {
		b := start("b", "127.0.0.1:0", key, nil)
		c, err := net.Dial("tcp", b.addr)
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		_, err = dialHandshake(c, key, membership.Member{Name: "a"})
		Expect(err).NotTo(HaveOccurred())
		Expect(b.handshakesFailed.Get()).To(BeZero())
	})

	// Guards against a daemon that spends unbounded memory or time on a connection
	// whose other side has not proved that it holds the key.
	It("bounds what it reads and waits for before the proof", func() {
		b := start("b", "127.0.0.1:0", key, func(o *Options) { o.HandshakeTimeout = 50 * time.Millisecond })
		c, err := net.Dial("tcp", b.addr)
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		_, err = writeFrame(c, &peerpb.Hello{Protocol: protocol, Nonce: newNonce(),
			Member: &peerpb.Member{Name: "a", Region: string(bytes.Repeat([]byte("x"), maxHelloBytes))}})
		Expect(err).NotTo(HaveOccurred())
		_, err = readFrame(c, &peerpb.Hello{}, MaxMessageBytes)
		Expect(err).To(HaveOccurred(), "the listener must not answer")
		Eventually(b.handshakesFailed.Get, 5*time.Second).Should(Equal(uint64(1)))
		silent, err := net.Dial("tcp", b.addr)
		Expect(err).NotTo(HaveOccurred())
		defer silent.Close()
		Eventually(b.handshakesFailed.Get, 5*time.Second).Should(Equal(uint64(2)))
	})

	// Guards against a link that counts as up although its connection no longer
	// carries anything.
	It("finds a connection that went silent and opens a new one", func() {
		b := start("b", "127.0.0.1:0", key, func(o *Options) { o.KeepAlive, o.PingTimeout = 30*time.Millisecond, 50*time.Millisecond })
		var mu sync.Mutex
		var conns []*freezableConn
		a := start("a", "127.0.0.1:0", key, func(o *Options) {
			o.KeepAlive, o.PingTimeout = 30*time.Millisecond, 50*time.Millisecond
			o.Dial = func(_ context.Context, addr string) (net.Conn, error) {
				c, err := net.Dial("tcp", addr)
				f := &freezableConn{Conn: c, closed: make(chan struct{})}
				mu.Lock()
				defer mu.Unlock()
				conns = append(conns, f)
				return f, err
			}
		})
		a.Link(node.LinkPeer{Peer: "b", Address: b.addr})
		next[node.PeerUp](a)
		next[node.PeerUp](b)
		mu.Lock()
		conns[0].frozen.Store(true)
		mu.Unlock()
		waitFor[node.PeerDown](a)
		waitFor[node.PeerUp](a)
		Eventually(func() bool { return b.Send("a", messages[1]) }, 5*time.Second).Should(BeTrue())
		Expect(waitFor[node.PeerMessage](a).Msg).To(Equal(messages[1]))
	})

	It("links again to a daemon that restarts at its address", func() {
		a, b := start("a", "127.0.0.1:0", key, nil), start("b", "127.0.0.1:0", key, nil)
		a.Link(node.LinkPeer{Peer: "b", Address: b.addr})
		next[node.PeerUp](a)
		b.stop()
		waitFor[node.PeerDown](a)
		waitFor[node.LinkFailed](a)
		start("b", b.addr, key, nil)
		Expect(waitFor[node.PeerUp](a).Peer.Name).To(Equal("b"))
	})

	// Guards against a PeerDown of an old session while a newer one is open.
	It("stays up when both sides dial at once and one session ends", func() {
		a, b := start("a", "127.0.0.1:0", key, nil), start("b", "127.0.0.1:0", key, nil)
		a.Link(node.LinkPeer{Peer: "b", Address: b.addr, Once: true})
		b.Link(node.LinkPeer{Peer: "a", Address: a.addr, Once: true})
		next[node.PeerUp](a)
		next[node.PeerUp](a)
		next[node.PeerUp](b)
		next[node.PeerUp](b)
		a.Unlink("b")
		Eventually(func() int {
			b.mu.Lock()
			defer b.mu.Unlock()
			return len(b.sessions["a"])
		}, 5*time.Second).Should(Equal(1))
		Eventually(func() int {
			a.mu.Lock()
			defer a.mu.Unlock()
			return len(a.sessions["b"])
		}, 5*time.Second).Should(Equal(1))
		Expect(a.events).NotTo(Receive())
		Expect(a.Send("b", messages[1])).To(BeTrue())
		Expect(next[node.PeerMessage](b).Msg).To(Equal(messages[1]))
	})

	// Guards against a link that the node never learns of because its queue was
	// full at that moment.
	It("delivers a PeerUp event again until it is taken", func() {
		b := start("b", "127.0.0.1:0", key, nil)
		ln := listen("127.0.0.1:0")
		ctx, cancel := context.WithCancel(context.Background())
		a := New(Options{Self: membership.Member{Name: "a"}, Key: key})
		DeferCleanup(func() { cancel(); a.Wait() })
		taken := make(chan node.Event, 10)
		var offers atomic.Int32
		a.Start(ctx, ln, func(ev node.Event) bool {
			if offers.Add(1) < 4 {
				return false
			}
			taken <- ev
			return true
		})
		a.Link(node.LinkPeer{Peer: "b", Address: b.addr})
		Eventually(taken, 5*time.Second).Should(Receive(BeAssignableToTypeOf(node.PeerUp{})))
	})

	// Guards against a control goroutine that waits for a slow peer.
	It("drops messages for a peer whose queue is full", func() {
		b := start("b", "127.0.0.1:0", key, nil)
		c := make(chan *freezableConn, 10)
		a := start("a", "127.0.0.1:0", key, func(o *Options) {
			o.QueueSize = 4
			o.Dial = func(_ context.Context, addr string) (net.Conn, error) {
				conn, err := net.Dial("tcp", addr)
				f := &freezableConn{Conn: conn, closed: make(chan struct{}), blockWrites: true}
				c <- f
				return f, err
			}
		})
		a.Link(node.LinkPeer{Peer: "b", Address: b.addr})
		next[node.PeerUp](a)
		(<-c).frozen.Store(true)
		Eventually(func() bool { return a.Send("b", messages[1]) }, 5*time.Second).Should(BeFalse())
		Expect(a.dropped.Get()).To(BeNumerically(">", 0))
	})
})

// freezableConn is a connection that can go silent: it reads nothing more, and a
// write is discarded or blocks.
type freezableConn struct {
	net.Conn
	frozen      atomic.Bool
	blockWrites bool
	once        sync.Once
	closed      chan struct{}
}

func (f *freezableConn) Read(b []byte) (int, error) {
	n, err := f.Conn.Read(b)
	if f.frozen.Load() && err == nil {
		<-f.closed
		return 0, io.EOF
	}
	return n, err
}

func (f *freezableConn) Write(b []byte) (int, error) {
	if f.frozen.Load() {
		if f.blockWrites {
			<-f.closed
			return 0, io.ErrClosedPipe
		}
		return len(b), nil
	}
	return f.Conn.Write(b)
}

func (f *freezableConn) Close() error {
	f.once.Do(func() { close(f.closed) })
	return f.Conn.Close()
}

var _ = Describe("codec", func() {
	// Guards against a peer that makes a daemon allocate without bound.
	It("refuses messages and documents above their limits", func() {
		var b bytes.Buffer
		b.Write([]byte{0xff, 0xff, 0xff, 0xff})
		_, err := readFrame(&b, &peerpb.Message{}, MaxMessageBytes)
		Expect(err).To(MatchError(ContainSubstring("above the limit")))
		bomb, err := deflate(make([]byte, 3*store.MaxValueBytes))
		Expect(err).NotTo(HaveOccurred())
		_, err = inflate(bomb)
		Expect(err).To(MatchError(ContainSubstring("above the limit")))
	})

	It("carries digests unchanged", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			d := node.Digest{Hash: rapid.Uint64().Draw(t, "hash"), Applied: rapid.Uint64().Draw(t, "applied")}
			for i := range rapid.IntRange(0, 5).Draw(t, "members") {
				d.Members = append(d.Members, node.MemberUpdate{ID: rapid.Uint32().Draw(t, "id"),
					Heartbeat: rapid.Uint64().Draw(t, "beat"), Applied: rapid.Uint64().Draw(t, fmt.Sprint("applied", i))})
			}
			m, err := encode(d)
			if err != nil {
				t.Fatal(err)
			}
			got, err := decode(m)
			if err != nil {
				t.Fatal(err)
			}
			if fmt.Sprint(got) != fmt.Sprint(d) {
				t.Fatalf("got %v for %v", got, d)
			}
		})
	})
})

func FuzzDecode(f *testing.F) {
	for _, m := range messages[:2] {
		p, err := encode(m)
		if err != nil {
			f.Fatal(err)
		}
		b, err := proto.Marshal(p)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(_ *testing.T, b []byte) {
		var m peerpb.Message
		if proto.Unmarshal(b, &m) == nil {
			_, _ = decode(&m)
		}
	})
}
