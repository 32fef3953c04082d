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
		b := make([]byte, 16)
		n, err := c.Read(b)
		return string(b[:n]), err
	}
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
		tracker.connStateChanged(c, http.StateActive)
	})
	// answer ends a request: the client has its response, and the connection is
	// kept.
	answer := func() {
		_, err := c.Write([]byte("answer"))
		Expect(err).NotTo(HaveOccurred())
		tracker.connStateChanged(c, http.StateIdle)
	}
	send := func(text string) {
		_, err := io.WriteString(client, text)
		Expect(err).NotTo(HaveOccurred())
	}

	It("closes idle connections when the daemon stops", func() {
		answer()
		tracker.closeIdle()
		_, err := read()
		Expect(err).To(MatchError(net.ErrClosed))
	})

	It("keeps a connection on which a request has begun until it is idle again", func() {
		answer()
		send("second")
		Expect(read()).To(Equal("second"))
		tracker.closeIdle() // before net/http says that the connection is active
		tracker.connStateChanged(c, http.StateActive)
		answer()
		Expect(io.ReadAll(client)).To(BeEquivalentTo("answeranswer"))
	})

	It("keeps a connection whose next request arrived before net/http reported it as idle", func() {
		_, err := c.Write([]byte("answer"))
		Expect(err).NotTo(HaveOccurred())
		send("second")
		Expect(read()).To(Equal("second"))
		tracker.connStateChanged(c, http.StateIdle)
		tracker.closeIdle()
		send("rest")
		Expect(read()).To(Equal("rest"))
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
