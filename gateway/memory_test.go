package gateway

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/routes"
)

// countingBody hands out size bytes and records the largest excess of what it has handed
// out over what the gateway has reserved.
type countingBody struct {
	gateway *Gateway
	size    int64
	sent    int64
	excess  int64
}

func (b *countingBody) Read(p []byte) (int, error) {
	if b.sent == b.size {
		return 0, io.EOF
	}
	n := min(int64(len(p)), b.size-b.sent)
	b.sent += n
	b.excess = max(b.excess, b.sent-b.gateway.heldBodies.held.Load())
	return int(n), nil
}

var _ = ginkgo.Describe("The body of a request", func() {
	const maxBody = 4 << 20
	table := routes.NewTable(routes.Config{Version: 1, MaxBodyBytes: maxBody})

	read := func(g *Gateway, body io.Reader, length int64) (*request, int64, *refusal) {
		hr := httptest.NewRequest(http.MethodPost, "/once/x", body)
		hr.ContentLength = length
		r := &request{Call: &Call{}}
		held, refused := g.readBody(httptest.NewRecorder(), hr, table, r)
		return r, held, refused
	}

	// Guards against bodies in chunks that use more memory than the gateway counts: a
	// burst of them gets the process killed, with all requests that run.
	ginkgo.DescribeTable("is never larger than what is reserved for it", func(length int64) {
		g := New(Options{MaxHeldBodyBytes: 40 << 20})
		body := &countingBody{gateway: g, size: maxBody}
		r, held, refused := read(g, body, length)
		Expect(refused).To(BeNil())
		Expect(r.Body).To(HaveLen(maxBody))
		Expect(body.excess).To(BeNumerically("<=", 0))
		Expect(held).To(And(BeNumerically(">=", maxBody), BeNumerically("<=", 2*maxBody)))
		Expect(g.heldBodies.held.Load()).To(Equal(held))
	},
		ginkgo.Entry("in chunks", int64(-1)),
		ginkgo.Entry("with a length", int64(maxBody)),
	)

	// Guards against short bodies in chunks that are refused because each counts as a
	// long one.
	ginkgo.It("takes no more than it needs if it is short", func() {
		g := New(Options{MaxHeldBodyBytes: 4 << 20})
		r, held, refused := read(g, strings.NewReader("a letter"), -1)
		Expect(refused).To(BeNil())
		Expect(string(r.Body)).To(Equal("a letter"))
		Expect(held).To(BeNumerically("<=", firstBodyBytes))
	})

	ginkgo.It("is refused once it finds no memory, and what it held is released", func() {
		g := New(Options{MaxHeldBodyBytes: 3 << 20})
		_, held, refused := read(g, &countingBody{gateway: g, size: maxBody}, -1)
		Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.code).To(Equal("memory"))
		Expect(refused.retryAfter).To(BeNumerically(">", 0))
		g.heldBodies.release(held)
		Expect(g.heldBodies.held.Load()).To(BeZero())
	})

	ginkgo.It("is refused if it is longer than the limit of the configuration", func() {
		g := New(Options{MaxHeldBodyBytes: 40 << 20})
		_, held, refused := read(g, &countingBody{gateway: g, size: maxBody + 1}, -1)
		Expect(refused.status).To(Equal(http.StatusRequestEntityTooLarge))
		g.heldBodies.release(held)
		Expect(g.heldBodies.held.Load()).To(BeZero())
	})

	// Guards against requests whose upstream has run them and whose long answer finds no
	// memory, because bodies that wait take all of it.
	ginkgo.It("leaves memory for the answers of requests that run", func() {
		g := New(Options{MaxHeldBodyBytes: 40 << 20})
		for {
			if _, _, refused := read(g, &countingBody{gateway: g, size: maxBody}, -1); refused != nil {
				break
			}
		}
		answer := bytes.Repeat([]byte("a"), maxBody)
		got, _, err := g.heldBodies.readResponse(bytes.NewReader(answer))
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(HaveLen(len(answer)))
	})
})
