package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/upstream"
)

var _ = Describe("An answer with a malformed status", func() {
	do := func(script string) (string, error) {
		p := newFakeUpstream(true, script)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		resp, err := upstream.NewPool(upstream.DefaultOptions()).Do(ctx, p.request())
		if err != nil {
			return "", err
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		return string(b), err
	}

	// Guards against the body of a malformed response that is read as the next response,
	// and against a status that no HTTP server can pass on to a client.
	DescribeTable("is an error, and nothing that follows it is read", func(head string) {
		// The body of the malformed response is itself a response.
		_, err := do(head + "\r\n\r\n" + completeResponse)
		Expect(err).To(MatchError(upstream.ErrMalformed))
		Expect(errors.Is(err, upstream.ErrNotSent)).To(BeFalse())
	},
		Entry("000", "HTTP/1.1 000 Odd\r\nContent-Length: 70"),
		Entry("000 without a length", "HTTP/1.1 000 Odd"),
		Entry("099", "HTTP/1.1 099 Odd\r\nContent-Length: 70"),
		Entry("+20", "HTTP/1.1 +20 Odd\r\nContent-Length: 70"),
		Entry("600", "HTTP/1.1 600 Odd\r\nContent-Length: 70"),
		Entry("999", "HTTP/1.1 999 Odd"),
		Entry("100 with a length", "HTTP/1.1 100 Continue\r\nContent-Length: 70"),
		Entry("103 in chunks", "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked"),
		Entry("199 with a length", "HTTP/1.1 199 Odd\r\nContent-Length: 70"),
		Entry("101", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: Upgrade"),
		Entry("101 without headers", "HTTP/1.1 101 Switching Protocols"),
		Entry("000 after an informational response", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Odd\r\nContent-Length: 70"),
	)

	DescribeTable("is not one that HTTP allows", func(head string) {
		Expect(do(head + completeResponse)).To(Equal("ok"))
	},
		Entry("100", "HTTP/1.1 100 Continue\r\n\r\n"),
		Entry("102", "HTTP/1.1 102 Processing\r\n\r\n"),
		Entry("103 with fields", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"),
		Entry("100 that says that it has no body", "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n"),
	)

	It("is not a status up to 599", func() {
		Expect(do(strings.Replace(completeResponse, "200 OK", "599 Odd", 1))).To(Equal("ok"))
	})
})

// Guards against a response that is taken although it is malformed, whatever bytes an
// upstream sends, and against an error that ends the process.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		completeResponse, "HTTP/1.1 000 Odd\r\n\r\n" + completeResponse, "HTTP/1.1 100 Continue\r\n\r\n" + completeResponse,
		"HTTP/1.1 101 Switching Protocols\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nContent-Length: 3\r\n\r\nabc" + completeResponse,
		"HTTP/1.0 200 OK\r\n\r\nto the end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "HTTP/1.1 -10 Odd\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	defer l.Close()
	answers := make(chan []byte, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			answer := <-answers
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = c.Write(answer)
			}
			_ = c.Close()
		}
	}()
	o := upstream.DefaultOptions()
	o.DialTimeout = 5 * time.Second
	pool := upstream.NewPool(o)
	f.Fuzz(func(t *testing.T, answer []byte) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		answers <- answer
		res, err := pool.Do(ctx, upstream.Request{
			Address: l.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h.example", Header: http.Header{}, MaxIdle: 1,
		})
		if err != nil {
			return
		}
		defer res.Body.Close()
		if res.Status < http.StatusOK || res.Status > 599 {
			t.Errorf("a response with status %d was taken", res.Status)
		}
		_, _ = io.Copy(io.Discard, res.Body)
	})
}
