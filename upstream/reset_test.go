package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/upstream"
)

// earlyUpstream reads the head of one request, writes an answer and calls end, while the
// body of the request is still being written. It returns its address.
func earlyUpstream(answer string, end func(*net.TCPConn)) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		end(c.(*net.TCPConn))
	}()
	return l.Addr().String()
}

// reset ends a connection by a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// upload sends a body that is longer than the buffers of a connection and reads the answer.
func upload(pool *upstream.Pool, addr string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	res, err := pool.Do(ctx, upstream.Request{
		Address: addr, Method: http.MethodPost, Target: "/", Host: "h.example", Header: http.Header{}, Body: make([]byte, 8<<20),
	})
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return string(b), err
}

var _ = Describe("An answer that comes while the request body is written", func() {
	const tries = 40
	var pool *upstream.Pool
	BeforeEach(func() {
		o := upstream.DefaultOptions()
		// The time to connect is not examined, and 150 ms are short on a busy machine.
		o.DialTimeout = 5 * time.Second
		pool = upstream.NewPool(o)
	})

	// Guards against a cut answer that is delivered as complete: the write of the request
	// body takes the error of the reset, and the read that follows reports an ordinary end.
	DescribeTable("is not complete without a length if it ends by a reset", func(answer string) {
		for range tries {
			got, err := upload(pool, earlyUpstream(answer, reset))
			Expect(err).To(HaveOccurred(), "answer %q", got)
			Expect(errors.Is(err, upstream.ErrNotSent)).To(BeFalse(), "%v", err)
		}
	},
		Entry("HTTP/1.1", "HTTP/1.1 200 OK\r\n\r\npart"),
		Entry("HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\npart"),
		Entry("without a byte of the body", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"),
		Entry("in the middle of a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\npart"),
		Entry("before its length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"),
	)

	// Guards against a whole answer that is dropped because the write of the body failed.
	DescribeTable("is complete if it says so, also if the connection is reset", func(answer string) {
		for range tries {
			Expect(upload(pool, earlyUpstream(answer, reset))).To(Equal("whole"))
		}
	},
		Entry("by its length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"),
		Entry("by its last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"),
	)

	// Guards against an early refusal that is lost although its upstream ended it in order.
	It("is complete without a length if the upstream closes its side in order", func() {
		for range tries {
			released := make(chan struct{})
			addr := earlyUpstream("HTTP/1.1 413 Content Too Large\r\n\r\nwhole", func(c *net.TCPConn) {
				_ = c.CloseWrite()
				<-released
			})
			got, err := upload(pool, addr)
			close(released)
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal("whole"))
		}
	})
})
