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

// fakeUpstream answers each request with the next script, which is written
// unchanged. An empty script closes the connection.
type fakeUpstream struct {
	net.Listener
	conns atomic.Int32
	// requests counts the requests that were read, with their body if readBody is
	// set.
	requests atomic.Int32
	// readBody is false for an upstream that responds before it reads the body.
	readBody bool
}

func newFakeUpstream(readBody bool, scripts ...string) *fakeUpstream {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p := &fakeUpstream{Listener: l, readBody: readBody}
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

func (p *fakeUpstream) serve(c net.Conn, next <-chan string) {
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
		p.requests.Add(1)
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

// endlessUpstream answers a request with bytes that do not end until the connection
// closes.
type endlessUpstream struct {
	*fakeUpstream
	written atomic.Int64
	ended   chan struct{}
}

func newEndlessUpstream(begin, repeated string) *endlessUpstream {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = l.Close() })
	p := &endlessUpstream{fakeUpstream: &fakeUpstream{Listener: l}, ended: make(chan struct{})}
	go func() {
		defer close(p.ended)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, err = io.WriteString(c, begin)
		block := strings.Repeat(repeated, 1+4096/len(repeated))
		for err == nil {
			var n int
			n, err = io.WriteString(c, block)
			p.written.Add(int64(n))
		}
	}()
	return p
}

func (p *fakeUpstream) request() upstream.Request {
	return upstream.Request{
		Address: p.Addr().String(), Method: "POST", Target: "/x?y=%2F", Host: "h.example", Header: http.Header{"Id": {"1"}},
		Body:    []byte("hello"),
		Matches: func(h http.Header) bool { id := h.Get("Id"); return id == "" || id == "1" },
	}
}

const completeResponse = "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok"

var _ = Describe("Pool", func() {
	var pool *upstream.Pool
	BeforeEach(func() { pool = upstream.NewPool(upstream.DefaultOptions()) })
	do := func(p *fakeUpstream) (string, error) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		resp, err := pool.Do(ctx, p.request())
		if err != nil {
			return "", err
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		return string(b), err
	}

	It("reuses a connection after a complete response", func() {
		p := newFakeUpstream(true, completeResponse, completeResponse)
		for range 2 {
			Expect(do(p)).To(Equal("ok"))
		}
		Expect(p.conns.Load()).To(BeEquivalentTo(1))
	})

	// Guards against a response to an earlier request that is taken for the
	// response to this one.
	It("skips responses to other requests", func() {
		p := newFakeUpstream(true, strings.Replace(completeResponse, "Id: 1", "Id: 0", 1)+completeResponse)
		Expect(do(p)).To(Equal("ok"))
	})

	// Guards against bytes after a response that are read as the response to the
	// next request.
	It("does not reuse a connection on which unread bytes remain", func() {
		p := newFakeUpstream(true, completeResponse+completeResponse, completeResponse)
		for range 2 {
			Expect(do(p)).To(Equal("ok"))
		}
		Expect(p.conns.Load()).To(BeEquivalentTo(2))
	})

	// Guards against a response that ends early and looks complete.
	DescribeTable("returns an error other than ErrNotSent for a response that breaks off",
		func(script string) {
			_, err := do(newFakeUpstream(true, script))
			Expect(err).To(HaveOccurred())
			Expect(errors.Is(err, upstream.ErrNotSent)).To(BeFalse())
		},
		Entry("no response", ""),
		Entry("truncated body", "HTTP/1.1 200 OK\r\nCONTENT-LENGTH: 9\r\n\r\nok"),
		Entry("truncated chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"),
		Entry("no HTTP", "220 smtp ready\r\n\r\n"),
	)

	// Guards against an upstream in trouble that sends bytes without end: they would
	// fill the daemon's memory and hold the request until its deadline.
	DescribeTable("gives up a response head that does not end",
		func(begin, repeated string) {
			p := newEndlessUpstream(begin, repeated)
			began := time.Now()
			_, err := do(p.fakeUpstream)
			Expect(err).To(HaveOccurred())
			Expect(errors.Is(err, upstream.ErrNotSent)).To(BeFalse())
			Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
			Eventually(p.ended, "2s").Should(BeClosed())
			Expect(p.written.Load()).To(BeNumerically("<", 16<<20), "what the upstream could send before the connection closed")
		},
		Entry("status line", "", "x"),
		Entry("one header line", "HTTP/1.1 200 OK\r\nLong: ", "x"),
		Entry("header lines", "HTTP/1.1 200 OK\r\n", "Some: thing\r\n"),
		Entry("informational responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"),
		Entry("body of a response to another request", "HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"),
	)

	// Guards against a long head of a sound upstream that is given up.
	It("accepts a head of ordinary size before a body of any size", func() {
		head := strings.Replace(completeResponse, "Content-Length: 2\r\n\r\nok", "Extra: "+strings.Repeat("x", 16<<10)+"\r\nContent-Length: 1000000\r\n\r\n", 1)
		body := strings.Repeat("b", 1000000)
		p := newFakeUpstream(true, head+body, completeResponse)
		Expect(do(p)).To(Equal(body))
		Expect(do(p)).To(Equal("ok"))
	})

	It("treats the end of the connection as the end of a response without a length", func() {
		Expect(do(newFakeUpstream(true, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nto the end"))).To(Equal("to the end"))
	})

	// Guards against a connection on which the upstream still waits for the rest of
	// a body and reads the next request as that rest.
	It("does not reuse a connection on which the request was not written completely", func() {
		p := newFakeUpstream(false, completeResponse, completeResponse)
		r := p.request()
		r.Body = make([]byte, 16<<20)
		resp, err := pool.Do(context.Background(), r)
		Expect(err).NotTo(HaveOccurred())
		Expect(io.ReadAll(resp.Body)).To(Equal([]byte("ok")))
		Expect(do(p)).To(Equal("ok"))
		Expect(p.conns.Load()).To(BeEquivalentTo(2))
	})

	// Guards against a request that is sent on a connection that the upstream has
	// closed in the meantime: its outcome would be unknown.
	It("does not use an idle connection that was closed", func() {
		p := newFakeUpstream(true, completeResponse+" ", completeResponse)
		Expect(do(p)).To(Equal("ok"))
		Eventually(func() (string, error) { return do(p) }).Should(Equal("ok"))
		Expect(p.requests.Load()).To(BeEquivalentTo(2))
	})

	// Guards against a refusal as not run although bytes were sent, and against an
	// unknown outcome although none were.
	It("returns ErrNotSent if no connection can be opened", func() {
		p := newFakeUpstream(true)
		Expect(p.Close()).To(Succeed())
		_, err := do(p)
		Expect(errors.Is(err, upstream.ErrNotSent)).To(BeTrue())
	})

	// Guards against work that goes on at the upstream after the client has left.
	It("returns an error when the context is cancelled", func() {
		p := newFakeUpstream(true)
		ctx, cancel := context.WithCancel(context.Background())
		errs := make(chan error, 1)
		go func() {
			_, err := pool.Do(ctx, p.request())
			errs <- err
		}()
		Eventually(p.requests.Load).Should(BeEquivalentTo(1))
		cancel()
		Eventually(errs).Should(Receive(HaveOccurred()))
	})

	It("closes idle connections that have expired", func() {
		p := newFakeUpstream(true, completeResponse, completeResponse)
		Expect(do(p)).To(Equal("ok"))
		pool.Sweep(time.Now().Add(time.Minute))
		Expect(do(p)).To(Equal("ok"))
		Expect(p.conns.Load()).To(BeEquivalentTo(2))
	})

	// Guards against a connection that is used after the upstream's timeout, and against a
	// race with the caller, which may remove hop-by-hop fields before the body has ended.
	It("reads the timeout of a connection with the head", func() {
		o := upstream.DefaultOptions()
		o.MaxIdleTime = time.Hour
		pool = upstream.NewPool(o)
		p := newFakeUpstream(true, completeResponse, completeResponse)
		resp, err := pool.Do(context.Background(), p.request())
		Expect(err).NotTo(HaveOccurred())
		resp.Header.Del("Keep-Alive")
		Expect(io.ReadAll(resp.Body)).To(BeEquivalentTo("ok"))
		pool.Sweep(time.Now().Add(time.Minute))
		Expect(do(p)).To(Equal("ok"))
		Expect(p.conns.Load()).To(BeEquivalentTo(2))
	})

	// Guards against a response that looks complete although its upstream stopped in the
	// middle of the head: without a length the body is empty then, and nothing is missing.
	It("takes no response whose head is cut off at any place", func() {
		heads := []string{
			"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/plain\r\n\r\n",
			"HTTP/1.1 200 OK\r\nId: 1\r\nServer: x\r\n\r\n",
			"HTTP/1.1 200 OK\nId: 1\nServer: x\n\n",
			"HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nServer: folded\r\n  over lines\r\n\r\n",
			"HTTP/1.0 200 OK\r\nId: 1\r\n\r\n",
		}
		pool := upstream.NewPool(upstream.DefaultOptions())
		for _, head := range heads {
			for n := 1; n < len(head); n++ {
				p := newFakeUpstream(true, head[:n])
				res, err := pool.Do(context.Background(), p.request())
				if err == nil {
					_, err = io.ReadAll(res.Body)
					Expect(res.Body.Close()).To(Succeed())
				}
				Expect(err).To(HaveOccurred(), "head %q", head[:n])
				Expect(errors.Is(err, upstream.ErrNotSent)).To(BeFalse(), "head %q", head[:n])
			}
			p := newFakeUpstream(true, head+"whole")
			res, err := pool.Do(context.Background(), p.request())
			Expect(err).NotTo(HaveOccurred())
			Expect(io.ReadAll(res.Body)).To(BeEquivalentTo("whole"))
		}
	})

	It("takes no body that is cut off at any place", func() {
		pool := upstream.NewPool(upstream.DefaultOptions())
		for _, answer := range []string{
			"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 12\r\n\r\nhello, world",
			"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n",
		} {
			for n := strings.Index(answer, "\r\n\r\n") + 4; n < len(answer); n++ {
				p := newFakeUpstream(true, answer[:n])
				// The stand-in keeps connections open after responses that have a length.
				ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
				res, err := pool.Do(ctx, p.request())
				if err == nil {
					_, err = io.ReadAll(res.Body)
					Expect(res.Body.Close()).To(Succeed())
				}
				cancel()
				Expect(err).To(HaveOccurred(), "answer %q", answer[:n])
			}
		}
	})
})
