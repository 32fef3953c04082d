package edge

import (
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestEdge(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "edge")
}

// Guards against a request that is read and forwarded while a stop closes its
// persistent connection, so that an order runs and its client gets no response.
var _ = Describe("connectionTracker", func() {
	var tracker *connectionTracker
	var c *trackedConnection
	var client net.Conn
	read := func() (string, error) {
		b := make([]byte, 4096)
		n, err := c.Read(b)
		return string(b[:n]), err
	}
	send := func(text string) {
		_, err := io.WriteString(client, text)
		Expect(err).NotTo(HaveOccurred())
	}
	// receive passes bytes of the client to net/http.
	receive := func(text string) {
		send(text)
		Expect(read()).To(Equal(text))
	}
	// answer ends a request that the handler took: the client has its response, and the
	// connection is kept.
	answer := func() {
		tracker.connStateChanged(c, http.StateActive)
		c.take()
		_, err := c.Write([]byte("answer"))
		Expect(err).NotTo(HaveOccurred())
		tracker.connStateChanged(c, http.StateIdle)
	}
	const request = "GET / HTTP/1.1\r\n\r\n"
	BeforeEach(func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		client, err = net.Dial("tcp4", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		tracker = &connectionTracker{}
		accepted, err := trackedListener{l, tracker}.Accept()
		Expect(err).NotTo(HaveOccurred())
		c = accepted.(*trackedConnection)
		DeferCleanup(func() {
			_ = client.Close()
			_ = c.Close()
		})
		receive(request)
		tracker.connStateChanged(c, http.StateActive)
	})

	It("closes idle connections when the daemon stops", func() {
		answer()
		tracker.closeIdle()
		_, err := read()
		Expect(err).To(MatchError(net.ErrClosed))
	})

	It("keeps a connection on which a request has begun until it is idle again", func() {
		answer()
		receive(request[:7])
		tracker.closeIdle() // before net/http says that the connection is active
		receive(request[7:])
		answer()
		Expect(io.ReadAll(client)).To(BeEquivalentTo("answeranswer"))
	})

	It("keeps a connection whose next request arrived before net/http reported it as idle", func() {
		c.take()
		_, err := c.Write([]byte("answer"))
		Expect(err).NotTo(HaveOccurred())
		receive(request[:7])
		tracker.connStateChanged(c, http.StateIdle)
		tracker.closeIdle()
		receive(request[7:])
	})

	// Guards against requests that are pipelined behind the one that is answered.
	It("keeps a connection on which further requests arrived together with the first", func() {
		receive(request + request)
		tracker.closeIdle()
		answer()
		Expect(c.NextRequestArrived()).To(BeTrue())
		answer()
		Expect(c.NextRequestArrived()).To(BeTrue())
		answer()
		Expect(c.NextRequestArrived()).To(BeFalse())
		Expect(io.ReadAll(client)).To(BeEquivalentTo("answeransweranswer"), "the connection is closed then")
	})

	It("does not pass on bytes that were not read before the close", func() {
		answer()
		send("late")
		tracker.closeIdle()
		n, err := c.Read(make([]byte, 16))
		Expect(n).To(BeZero())
		Expect(err).To(HaveOccurred())
	})

	It("forgets closed connections", func() {
		tracker.connStateChanged(c, http.StateClosed)
		Expect(tracker.open).To(BeEmpty())
	})
})
