package clientconn

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// framedRequests are requests with each kind of body.
var framedRequests = []string{
	"GET /look/x HTTP/1.1\r\nHost: a\r\n\r\n",
	"POST /once/x HTTP/1.1\r\nHost: a\r\ncontent-length: 5\r\n\r\norder",
	"POST /once/x HTTP/1.1\nHost: a\nContent-Length: 0\n\n",
	"POST /once/x HTTP/1.1\r\nHost: a\r\nX-Long: " + strings.Repeat("x", 3000) + "\r\nContent-Length: 12\r\n\r\nPOST / HTTP/1",
	"POST /once/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding:\r\n chunked\r\nX-Last: 1\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	"POST /once/x HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n\t5\r\n\r\norder",
	"POST /once/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\norder\r\n1a;x=y\r\nabcdefghijklmnopqrstuvwxyz\r\n0\r\nX-T: Content-Length: 3\r\n\r\n",
}

// Guards against connections that are closed, or kept, because a request that has arrived on
// them is not counted, or one is counted that is only a part of a body.
var _ = Describe("requestCounter", func() {
	It("counts requests with each kind of body, whatever pieces they arrive in", func() {
		text := strings.Join(framedRequests, "") + strings.Join(framedRequests, "\r\n")
		for size := 1; size <= len(text); size = size*2 + 1 {
			var c requestCounter
			for rest := text; rest != ""; {
				n := min(size, len(rest))
				c.add([]byte(rest[:n]))
				rest = rest[n:]
			}
			Expect(c.begun).To(Equal(2*len(framedRequests)), "in pieces of %d bytes", size)
			Expect(c.part).To(Equal(partNone))
		}
	})

	It("counts a request from its first byte on", func() {
		var c requestCounter
		c.add([]byte(framedRequests[1]))
		Expect(c.begun).To(Equal(1))
		c.add([]byte("\r\n"))
		Expect(c.begun).To(Equal(1), "an empty line is no request")
		c.add([]byte("P"))
		Expect(c.begun).To(Equal(2))
	})

	It("counts no further requests in bytes that it cannot frame", func() {
		for _, text := range []string{
			"POST / HTTP/1.1\r\nContent-Length: many\r\n\r\n", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
			"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-5\r\n",
		} {
			var c requestCounter
			c.add([]byte(text + strings.Repeat(framedRequests[0], 3)))
			Expect(c.begun).To(Equal(1), text)
		}
	})
})

// FuzzRequestCounter compares the count with the requests that net/http reads.
func FuzzRequestCounter(f *testing.F) {
	f.Add(strings.Join(framedRequests, ""), 7)
	for _, r := range framedRequests {
		f.Add(r, 1)
	}
	f.Fuzz(func(t *testing.T, text string, size int) {
		size = max(size%512, 1)
		var c requestCounter
		for rest := text; rest != ""; {
			n := min(size, len(rest))
			c.add([]byte(rest[:n]))
			rest = rest[n:]
		}
		if len(c.line) > maxFieldBytes {
			t.Fatalf("%d bytes of a line are held", len(c.line))
		}
		read := 0
		for br := bufio.NewReader(strings.NewReader(text)); ; read++ {
			for {
				b, err := br.Peek(1)
				if err != nil || b[0] != '\r' && b[0] != '\n' {
					break
				}
				_, _ = br.Discard(1)
			}
			req, err := http.ReadRequest(br)
			if err != nil {
				break
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				break
			}
		}
		if c.part != partUnknown && c.begun < read {
			t.Fatalf("net/http reads %d whole requests, %d are counted", read, c.begun)
		}
	})
}
