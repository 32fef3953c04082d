package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/upstream"
)

func TestUpstream(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "upstream")
}

// peer is an upstream that answers each request with the next script, written
// as it is. An empty script closes the connection.
type peer struct {
	net.Listener
	conns atomic.Int32
	// reads counts the requests whose head and body arrived.
	reads atomic.Int32
	// readBody is false for a peer that answers before the body.
	readBody bool
}

func newPeer(readBody bool, scripts ...string) *peer {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p := &peer{Listener: l, readBody: readBody}
	DeferCleanup(func() { _ = l.Close() })
	next := make(chan string, len(scripts))
	for _, s := range scripts {
		next <- s
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.conns.Add(1)
			go p.serve(c, next)
		}
	}()
	return p
}

func (p *peer) serve(c net.Conn, next <-chan string) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if p.readBody {
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
		}
		p.reads.Add(1)
		select {
		case s := <-next:
			if s == "" {
				return
			}
			if _, err := io.WriteString(c, s); err != nil || !strings.Contains(s, "ength") {
				return
			}
		default:
			_, _ = io.Copy(io.Discard, br)
			return
		}
	}
}

func (p *peer) request() upstream.Request {
	return upstream.Request{
		Address: p.Addr().String(), Method: "POST", Target: "/x?y=%2F", Host: "h.example", Header: http.Header{"Id": {"1"}},
		Body:    []byte("hello"),
		Matches: func(h http.Header) bool { id := h.Get("Id"); return id == "" || id == "1" },
	}
}

const whole = "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok"

var _ = Describe("Pool", func() {
	var pool *upstream.Pool
	BeforeEach(func() { pool = upstream.NewPool(upstream.DefaultOptions()) })
	do := func(p *peer) (string, error) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		a, err := pool.Do(ctx, p.request())
		if err != nil {
			return "", err
		}
		defer a.Body.Close()
		b, err := io.ReadAll(a.Body)
		return string(b), err
	}

	It("reuses a connection after a whole answer", func() {
		p := newPeer(true, whole, whole)
		for range 2 {
			Expect(do(p)).To(Equal("ok"))
		}
		Expect(p.conns.Load()).To(BeEquivalentTo(1))
	})

	// Guards against an answer of an earlier request that is taken for this one's.
	It("skips answers of other requests", func() {
		p := newPeer(true, strings.Replace(whole, "Id: 1", "Id: 0", 1)+whole)
		Expect(do(p)).To(Equal("ok"))
	})

	// Guards against bytes after an answer that become the next request's answer.
	It("does not reuse a connection with bytes left over", func() {
		p := newPeer(true, whole+whole, whole)
		for range 2 {
			Expect(do(p)).To(Equal("ok"))
		}
		Expect(p.conns.Load()).To(BeEquivalentTo(2))
	})

	// Guards against an answer that ends early and looks complete.
	DescribeTable("reports an answer that breaks off",
		func(script string) {
			_, err := do(newPeer(true, script))
			Expect(err).To(HaveOccurred())
			Expect(errors.Is(err, upstream.ErrNotSent)).To(BeFalse())
		},
		Entry("no answer", ""),
		Entry("cut body", "HTTP/1.1 200 OK\r\nCONTENT-LENGTH: 9\r\n\r\nok"),
		Entry("cut chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"),
		Entry("no HTTP", "220 smtp ready\r\n\r\n"),
	)

	It("takes the end of the connection as the end of an answer without length", func() {
		Expect(do(newPeer(true, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nto the end"))).To(Equal("to the end"))
	})

	// Guards against a connection on which the upstream still waits for the rest of
	// a body and reads the next request as that rest.
	It("does not reuse a connection whose request was not written", func() {
		p := newPeer(false, whole, whole)
		r := p.request()
		r.Body = make([]byte, 16<<20)
		a, err := pool.Do(context.Background(), r)
		Expect(err).NotTo(HaveOccurred())
		Expect(io.ReadAll(a.Body)).To(Equal([]byte("ok")))
		Expect(do(p)).To(Equal("ok"))
		Expect(p.conns.Load()).To(BeEquivalentTo(2))
	})

	// Guards against a request that is sent on a connection that the upstream has
	// closed meanwhile: its outcome would be unknown.
	It("does not use an idle connection that was closed", func() {
		p := newPeer(true, whole+" ", whole)
		Expect(do(p)).To(Equal("ok"))
		Eventually(func() (string, error) { return do(p) }).Should(Equal("ok"))
		Expect(p.reads.Load()).To(BeEquivalentTo(2))
	})

	// Guards against a refusal that says not run although bytes were sent, and the
	// other way round.
	It("says that a request was not sent when there is no connection", func() {
		p := newPeer(true)
		Expect(p.Close()).To(Succeed())
		_, err := do(p)
		Expect(errors.Is(err, upstream.ErrNotSent)).To(BeTrue())
	})

	// Guards against work that goes on at the upstream after the client has left.
	It("closes the connection when the caller gives up", func() {
		p := newPeer(true)
		ctx, cancel := context.WithCancel(context.Background())
		errs := make(chan error, 1)
		go func() {
			_, err := pool.Do(ctx, p.request())
			errs <- err
		}()
		Eventually(p.reads.Load).Should(BeEquivalentTo(1))
		cancel()
		Eventually(errs).Should(Receive(HaveOccurred()))
	})

	It("forgets idle connections that expired", func() {
		p := newPeer(true, whole, whole)
		Expect(do(p)).To(Equal("ok"))
		pool.Sweep(time.Now().Add(time.Minute))
		Expect(do(p)).To(Equal("ok"))
		Expect(p.conns.Load()).To(BeEquivalentTo(2))
	})
})
