package clientconn

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/drain"
)

// account is a Memory with two limits.
type account struct {
	mu                          sync.Mutex
	heads, requests             int64
	maxHeads, maxRequests, most int64
}

func (a *account) ReserveHead(n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.heads+n > a.maxHeads {
		return false
	}
	a.heads += n
	a.most = max(a.most, a.heads)
	return true
}

func (a *account) ReleaseHead(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.heads -= n
}

func (a *account) ReserveRequest(n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.requests+n > a.maxRequests {
		return false
	}
	a.requests += n
	return true
}

func (a *account) ReleaseRequest(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests -= n
}

func (a *account) held() [2]int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return [2]int64{a.heads, a.requests}
}

func testLimits() Limits {
	return Limits{
		MaxHeadBytes: 64 << 10, MaxFields: 4000, HeadTimeout: 10 * time.Second, UsualHeadBytes: 16 << 10, UsualHeadTime: 3 * time.Second,
		Memory: &account{maxHeads: 1 << 20, maxRequests: 4 << 20},
	}
}

// limitedServer is an http.Server with limits. Its handler reads the body and answers with the
// path; the path /wait waits until the test ends.
type limitedServer struct {
	address string
	account *account
	tracker *Tracker
	waiting chan struct{}
	logs    *lockedBuffer
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func newLimitedServer(limits Limits) *limitedServer {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &limitedServer{address: l.Addr().String(), account: limits.Memory.(*account), waiting: make(chan struct{}, 100), logs: &lockedBuffer{}}
	s.tracker = NewTracker(slog.New(slog.NewTextHandler(s.logs, nil)))
	s.tracker.SetLimits(limits)
	ended := make(chan struct{})
	server := &http.Server{ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/wait" {
			s.waiting <- struct{}{}
			<-ended
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})}
	s.tracker.Attach(server)
	go func() { _ = server.Serve(s.tracker.Listener(l)) }()
	DeferCleanup(func() {
		close(ended)
		_ = server.Close()
	})
	return s
}

func (s *limitedServer) dial() net.Conn {
	GinkgoHelper()
	c, err := net.Dial("tcp4", s.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	Expect(c.SetDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
	return c
}

// begin opens a connection and sends bytes until the server has read and reserved them.
func (s *limitedServer) begin(text string) net.Conn {
	GinkgoHelper()
	c := s.dial()
	_, err := io.WriteString(c, text)
	Expect(err).NotTo(HaveOccurred())
	Eventually(func() int {
		for _, o := range s.tracker.connections() {
			if o.RemoteAddr().String() == c.LocalAddr().String() {
				o.mu.Lock()
				defer o.mu.Unlock()
				return min(o.requests.headBytes, int(o.headReserved))
			}
		}
		return -1
	}, "10s", "1ms").Should(BeNumerically(">=", strings.LastIndex(text, "\n")+1))
	return c
}

// answer reads one response and returns its status and body.
func answer(br *bufio.Reader) string {
	GinkgoHelper()
	res, err := http.ReadResponse(br, nil)
	Expect(err).NotTo(HaveOccurred())
	b, err := io.ReadAll(res.Body)
	Expect(err).NotTo(HaveOccurred())
	return fmt.Sprint(res.StatusCode, " ", string(b))
}

func exchange(c net.Conn, text string) string {
	GinkgoHelper()
	_, err := io.WriteString(c, text)
	Expect(err).NotTo(HaveOccurred())
	return answer(bufio.NewReader(c))
}

func isClosed(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, err := c.Read(make([]byte, 1))
	return err != nil && !isTimeout(err)
}

var _ = Describe("Limits", func() {
	const begun = "GET /x HTTP/1.1\r\nHost: a\r\n"
	fields := func(bytes int) string { return strings.Repeat("Field: "+strings.Repeat("x", 91)+"\r\n", bytes/100) }

	// Guards against requests that are changed, lost or mixed up because their heads are held
	// until they are complete.
	It("pass on all requests, whatever pieces they arrive in", func() {
		for _, size := range []int{1, 7, 100, 1 << 20} {
			s := newLimitedServer(testLimits())
			c := s.dial()
			br := bufio.NewReader(c)
			var text string
			var paths []string
			for range 3 {
				for _, r := range framedRequests {
					if strings.HasSuffix(r, "HTTP/1") {
						continue // its body ends a byte before the text
					}
					text += r
					paths = append(paths, strings.Fields(r)[1])
				}
				text += "GET /long HTTP/1.1\r\nHost: a\r\n" + fields(16<<10) + "\r\n"
				paths = append(paths, "/long")
			}
			go func() {
				for rest := text; rest != ""; {
					n := min(size, len(rest))
					if _, err := io.WriteString(c, rest[:n]); err != nil {
						return
					}
					rest = rest[n:]
				}
			}()
			for i, path := range paths {
				Expect(answer(br)).To(Equal("200 "+path), "answer %d, pieces of %d", i, size)
			}
			Expect(c.Close()).To(Succeed())
			Eventually(s.account.held, "5s").Should(Equal([2]int64{}), "everything is released")
		}
	})

	// Guards against memory for heads that net/http holds as fields, and against bytes that
	// are held although nobody accounts for them.
	It("reserve what an incomplete head holds, and release it when it is complete or closed", func() {
		s := newLimitedServer(testLimits())
		c := s.begin(begun + fields(20<<10))
		Expect(s.account.held()[0]).To(And(BeNumerically(">=", 20<<10), BeNumerically("<=", 28<<10)))
		Expect(exchange(c, "\r\n")).To(Equal("200 /x"))
		Eventually(s.account.held, "5s").Should(Equal([2]int64{}))
		c = s.begin(begun + fields(20<<10))
		Expect(c.Close()).To(Succeed())
		Eventually(s.account.held, "5s").Should(Equal([2]int64{}))
	})

	// Guards against proper clients that are closed in favour of heads without end.
	It("close the oldest large head first, then the oldest", func() {
		limits := testLimits()
		limits.Memory = &account{maxHeads: 60 << 10, maxRequests: 1 << 20}
		s := newLimitedServer(limits)
		small := s.begin(begun + fields(8<<10))
		large1, large2 := s.begin(begun+fields(20<<10)), s.begin(begun+fields(20<<10))
		other := s.begin(begun + fields(15<<10))
		Expect(isClosed(large1)).To(BeTrue())
		Expect(exchange(large2, "\r\n")).To(Equal("200 /x"))
		Expect(exchange(small, "\r\n")).To(Equal("200 /x"))
		Expect(exchange(other, "\r\n")).To(Equal("200 /x"))
		first, second := s.begin(begun+fields(15<<10)), s.begin(begun+fields(15<<10))
		third, fourth := s.begin(begun+fields(15<<10)), s.begin(begun+fields(15<<10))
		Expect(isClosed(first)).To(BeTrue())
		for _, c := range []net.Conn{second, third, fourth} {
			Expect(exchange(c, "\r\n")).To(Equal("200 /x"))
		}
		Expect(s.account.most).To(BeNumerically("<=", 60<<10))
		Expect(s.logs.String()).To(ContainSubstring("limit=head_memory"))
	})

	It("close the oldest head first once it takes longer than usual", func() {
		limits := testLimits()
		limits.UsualHeadTime = 0
		limits.Memory = &account{maxHeads: 36 << 10, maxRequests: 1 << 20}
		s := newLimitedServer(limits)
		small, large := s.begin(begun+fields(8<<10)), s.begin(begun+fields(20<<10))
		other := s.begin(begun + fields(10<<10))
		Expect(isClosed(small)).To(BeTrue())
		Expect(exchange(large, "\r\n")).To(Equal("200 /x"))
		Expect(exchange(other, "\r\n")).To(Equal("200 /x"))
	})

	// Guards against a refusal that is lost, or that says something else than what happened.
	It("refuse heads with too many fields or bytes, and heads that find no memory when they are complete", func() {
		limits := testLimits()
		limits.Memory = &account{maxHeads: 1 << 20, maxRequests: 30 << 10}
		s := newLimitedServer(limits)
		Expect(exchange(s.dial(), begun+strings.Repeat("a:b\r\n", 6000))).To(HavePrefix("431 "))
		Expect(exchange(s.dial(), begun+fields(80<<10))).To(HavePrefix("431 "))
		Expect(exchange(s.dial(), begun+fields(50<<10)+"\r\n")).To(HavePrefix("503 "))
		Expect(exchange(s.dial(), begun+fields(10<<10)+"\r\n")).To(Equal("200 /x"))
		Eventually(s.account.held, "5s").Should(Equal([2]int64{}))
	})

	// Guards against heads that escape the limits because the framing of an earlier request, or
	// of the head itself, is lost.
	It("hold heads whose length of the body cannot be read, and heads after such requests", func() {
		s := newLimitedServer(testLimits())
		many := strings.Repeat("a:b\r\n", 3500)
		for _, first := range []string{
			begun + "Content-Length: x\r\n",
			begun + "Content-Length: " + strings.Repeat("0", 200) + "5\r\n",
		} {
			c := s.begin(first + many)
			Expect(s.account.held()[0]).To(BeNumerically(">=", len(many)), first)
			Expect(c.Close()).To(Succeed())
			Eventually(s.account.held, "5s").Should(Equal([2]int64{}))
		}
		// net/http ignores chunks of HTTP/1.0: what looks like another request is a part of
		// the body.
		hidden := "0\r\n\r\nPOST / HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n"
		for _, text := range []string{
			fmt.Sprintf("POST /x HTTP/1.0\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\nContent-Length: %d\r\n\r\n%s", len(hidden), hidden),
			"POST /x HTTP/1.0\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\nzz",
			begun + "Content-Length: " + strings.Repeat("0", 200) + "5\r\n\r\norder",
		} {
			c := s.dial()
			Expect(exchange(c, text)).To(Equal("200 /x"))
			_, err := io.WriteString(c, begun+many)
			Expect(err).NotTo(HaveOccurred())
			Eventually(func() int64 { return s.account.held()[0] }, "5s").Should(BeNumerically(">=", len(many)), text)
			Expect(exchange(c, "\r\n")).To(Equal("200 /x"))
			Expect(c.Close()).To(Succeed())
			Eventually(s.account.held, "5s").Should(Equal([2]int64{}))
		}
	})

	It("leave a request line that is none to net/http, which refuses it at once", func() {
		s := newLimitedServer(testLimits())
		Expect(exchange(s.dial(), "220 smtp ready\r\n")).To(HavePrefix("400 "))
	})

	// Guards against complete heads that hold memory nobody accounts for while their requests
	// are answered.
	It("keep the memory of a long head until its request is answered", func() {
		s := newLimitedServer(testLimits())
		c := s.dial()
		_, err := io.WriteString(c, "GET /wait HTTP/1.1\r\nHost: a\r\n"+fields(50<<10)+"\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(s.waiting, "5s").Should(Receive())
		held := s.account.held()
		Expect(held[0]).To(BeZero())
		Expect(held[1]).To(BeNumerically(">=", 50<<10))
		Expect(c.Close()).To(Succeed())
	})

	// Guards against new clients that are turned away for connections that do nothing, and
	// against running requests that are closed for new clients.
	It("close connections without a request in favour of new ones, and never one with a request", func() {
		limits := testLimits()
		limits.MaxConnections = 4
		s := newLimitedServer(limits)
		idle := s.dial()
		Expect(exchange(idle, begun+"\r\n")).To(Equal("200 /x"))
		busy := s.dial()
		_, err := io.WriteString(busy, "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(s.waiting, "5s").Should(Receive())
		incomplete := s.begin(begun)
		unused := s.dial()
		Eventually(s.tracker.connections, "5s").Should(HaveLen(4))
		Expect(exchange(s.dial(), begun+"\r\n")).To(Equal("200 /x"))
		Expect(isClosed(incomplete)).To(BeTrue(), "the oldest without a request goes first")
		Expect(exchange(s.dial(), begun+"\r\n")).To(Equal("200 /x"))
		Expect(isClosed(unused)).To(BeTrue())
		Expect(exchange(s.dial(), begun+"\r\n")).To(Equal("200 /x"))
		Expect(isClosed(idle)).To(BeTrue(), "then the one that has been idle longest")
		for range 3 {
			_, err := io.WriteString(s.dial(), "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
			Eventually(s.waiting, "5s").Should(Receive())
		}
		Expect(isClosed(s.dial())).To(BeTrue(), "all connections have requests")
		Expect(s.tracker.connections()).To(HaveLen(4))
		Expect(s.logs.String()).To(ContainSubstring("limit=connections"))
	})

	// Guards against more requests, of clients and of other daemons together, than the process
	// has memory and descriptors for.
	It("share their places with the requests of other daemons", func() {
		limits := testLimits()
		limits.MaxConnections = 2
		s := newLimitedServer(limits)
		idle := s.dial()
		Expect(exchange(idle, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")).To(Equal("200 /x"))
		Expect(s.tracker.Occupy()).To(BeTrue())
		Eventually(s.tracker.Occupy, "5s").Should(BeTrue(), "an idle connection makes room")
		Expect(isClosed(idle)).To(BeTrue())
		Expect(s.tracker.Occupy()).To(BeFalse())
		Expect(isClosed(s.dial())).To(BeTrue())
		s.tracker.Vacate()
		Expect(exchange(s.dial(), "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")).To(Equal("200 /x"))
	})

	It("log at most one line a second for each limit", func() {
		limits := testLimits()
		limits.MaxConnections = 1
		s := newLimitedServer(limits)
		for range 50 {
			s.dial()
		}
		Expect(exchange(s.dial(), begun+"\r\n")).To(Equal("200 /x"))
		Expect(strings.Count(s.logs.String(), "limit=connections")).To(And(BeNumerically(">=", 1), BeNumerically("<=", 2)))
	})
})

// deadlineConn records the read deadline that is in force.
type deadlineConn struct {
	net.Conn
	pieces   []string
	deadline time.Time
	closed   bool
	seen     []time.Time
}

func (d *deadlineConn) SetReadDeadline(t time.Time) error { d.deadline = t; return nil }
func (d *deadlineConn) SetWriteDeadline(time.Time) error  { return nil }
func (d *deadlineConn) Close() error                      { d.closed = true; return nil }
func (d *deadlineConn) RemoteAddr() net.Addr              { return &net.TCPAddr{} }
func (d *deadlineConn) Write(b []byte) (int, error)       { return len(b), nil }
func (d *deadlineConn) Read(b []byte) (n int, err error) {
	d.seen = append(d.seen, d.deadline)
	if len(d.pieces) == 0 || d.closed {
		return 0, io.EOF
	}
	n = copy(b, d.pieces[0])
	if d.pieces[0] = d.pieces[0][n:]; d.pieces[0] == "" {
		d.pieces = d.pieces[1:]
	}
	return n, nil
}

func newDeadlineConn(limits Limits, pieces ...string) (*Conn, *deadlineConn, *Tracker) {
	t := NewTracker(slog.New(slog.DiscardHandler))
	t.SetLimits(limits)
	d := &deadlineConn{pieces: pieces}
	return &Conn{Conn: d, unusedSince: time.Now(), limits: t.limits}, d, t
}

var _ = Describe("The time of a head", func() {
	// Guards against heads that arrive without end, a byte at a time, and against proper
	// clients that are cut off because the time of an unused or idle connection ends while
	// their head arrives.
	It("begins with its first byte and replaces the time of an idle connection", func() {
		c, d, t := newDeadlineConn(testLimits(), "G", "ET / HTTP/1.1\r\n", "\r\n", "G")
		idle := time.Now().Add(time.Second)
		Expect(c.SetReadDeadline(idle)).To(Succeed())
		began := time.Now()
		b := make([]byte, 4096)
		Expect(c.Read(b)).To(Equal(len("GET / HTTP/1.1\r\n\r\n")))
		Expect(d.seen[0]).To(Equal(idle))
		for _, at := range d.seen[1:] {
			Expect(at).To(BeTemporally("~", began.Add(10*time.Second), 5*time.Second))
			Expect(at).To(BeTemporally("==", d.seen[1]), "further bytes give no more time")
		}
		Expect(d.deadline).To(Equal(idle), "net/http's own deadline is in force again")
		// While a request is answered, the next head has no time yet, and is not held.
		t.connStateChanged(c, http.StateActive)
		Expect(c.SetReadDeadline(time.Time{})).To(Succeed())
		Expect(c.Read(b)).To(Equal(1))
		Expect(d.deadline).To(BeZero())
	})

	It("does not replace a deadline that ends reads at once", func() {
		c, d, _ := newDeadlineConn(testLimits(), "G")
		_, err := c.Read(make([]byte, 10))
		Expect(err).To(MatchError(io.EOF))
		c.headBegan = time.Now()
		Expect(c.SetReadDeadline(time.Unix(1, 0))).To(Succeed())
		Expect(d.deadline).To(Equal(time.Unix(1, 0)))
	})
})

// FuzzHeldHeads checks that bytes are passed on unchanged and in order, that only an incomplete
// head is held back, and that everything is released at the end.
func FuzzHeldHeads(f *testing.F) {
	f.Add(strings.Join(framedRequests, ""), 7, false)
	for _, r := range framedRequests {
		f.Add(r+r, 1, true)
	}
	f.Add("\r\n\r\n\r\nGET / HTTP/1.1\r\n"+strings.Repeat("a:b\r\n", 3000), 100, false)
	f.Fuzz(func(t *testing.T, text string, size int, small bool) {
		size = max(size%5000, 1)
		limits := testLimits()
		memory := limits.Memory.(*account)
		if small {
			limits.MaxFields, limits.MaxHeadBytes = 5, 300
			memory.maxHeads, memory.maxRequests = headChunkBytes, 500
		}
		var pieces []string
		for rest := text; rest != ""; {
			n := min(size, len(rest))
			pieces, rest = append(pieces, rest[:n]), rest[n:]
		}
		c, _, tracker := newDeadlineConn(limits, pieces...)
		var got []byte
		b := make([]byte, 1+size)
		for {
			n, err := c.Read(b)
			got = append(got, b[:n]...)
			if err != nil {
				break
			}
		}
		if !strings.HasPrefix(text, string(got)) {
			t.Fatalf("got %q of %q", got, text)
		}
		if len(got) < len(text) && c.closedBy == "" && !c.requests.inHead() {
			t.Fatalf("got only %q of %q", got, text)
		}
		tracker.connStateChanged(c, http.StateClosed)
		if memory.held() != [2]int64{} || len(tracker.limits.byConn) != 0 || memory.most > memory.maxHeads {
			t.Fatalf("held %v, %d heads at the end, at most %d", memory.held(), len(tracker.limits.byConn), memory.most)
		}
	})
}

// Guards against a stop that waits for, or counts, connections that a limit closed.
var _ = It("a stop does not count what a limit has closed as dropped", func() {
	limits := testLimits()
	limits.Memory = &account{maxHeads: headChunkBytes, maxRequests: 1 << 20}
	s := newLimitedServer(limits)
	c := s.dial()
	_, err := io.WriteString(c, "GET /x HTTP/1.1\r\nHost: a\r\nField: "+strings.Repeat("x", 5000))
	Expect(err).NotTo(HaveOccurred())
	Expect(isClosed(c)).To(BeTrue())
	before := droppedRequests.Get()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	Expect(s.tracker.CloseAll(ctx, func(drain.Connection) bool { return true })).To(BeZero())
	Expect(droppedRequests.Get()).To(Equal(before))
})
