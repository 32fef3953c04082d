package clientconn

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/drain"
)

func TestClientConn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "clientconn")
}

// Guards against a request that is read and forwarded while a stop closes its
// persistent connection, so that an order runs and its client gets no response.
var _ = Describe("Tracker", func() {
	var tracker *Tracker
	var c *Conn
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
		tracker = NewTracker(slog.New(slog.DiscardHandler))
		accepted, err := tracker.Listener(l).Accept()
		Expect(err).NotTo(HaveOccurred())
		c = accepted.(*Conn)
		DeferCleanup(func() {
			_ = client.Close()
			_ = c.Close()
		})
		receive(request)
		tracker.connStateChanged(c, http.StateActive)
	})

	// closeUnused does what a stop does once no daemon gets new connections any more, as late
	// as the last unused connections are closed.
	closeUnused := func() int {
		now := time.Now()
		plan := drain.Plan{Began: now, Grace: time.Minute}
		return tracker.CloseUnused(func(c drain.Connection) bool { return plan.ClosesConnection(c, now.Add(30*time.Second)) })
	}

	// end does what net/http does when no request comes.
	end := func() {
		GinkgoHelper()
		_, err := read()
		Expect(err).To(MatchError(os.ErrDeadlineExceeded))
		Expect(c.Close()).To(Succeed())
	}

	It("closes unused connections when the daemon stops", func() {
		answer()
		Expect(closeUnused()).To(Equal(1))
		end()
		_, err := io.ReadAll(client)
		Expect(err).NotTo(HaveOccurred(), "the connection ends in order")
	})

	It("closes a connection that was opened and never used", func() {
		*c = Conn{Conn: c.Conn, unusedSince: c.unusedSince}
		closeUnused()
		end()
		Expect(io.ReadAll(client)).To(BeEmpty())
	})

	It("keeps a connection on which a request is answered", func() {
		c.take()
		closeUnused()
		answer()
		closeUnused()
		end()
		Expect(io.ReadAll(client)).To(BeEquivalentTo("answer"))
	})

	It("keeps a connection on which a request has begun until it is idle again", func() {
		answer()
		receive(request[:7])
		closeUnused() // before net/http says that the connection is active
		receive(request[7:])
		answer()
		closeUnused()
		end()
		Expect(io.ReadAll(client)).To(BeEquivalentTo("answeranswer"))
	})

	It("keeps a connection whose next request arrived before net/http reported it as idle", func() {
		c.take()
		_, err := c.Write([]byte("answer"))
		Expect(err).NotTo(HaveOccurred())
		receive(request[:7])
		tracker.connStateChanged(c, http.StateIdle)
		closeUnused()
		receive(request[7:])
	})

	// Guards against requests that are pipelined behind the one that is answered.
	It("keeps a connection on which further requests arrived together with the first", func() {
		receive(request + request)
		closeUnused()
		answer()
		Expect(c.NextRequestArrived()).To(BeTrue())
		answer()
		closeUnused()
		Expect(c.NextRequestArrived()).To(BeTrue())
		answer()
		Expect(c.NextRequestArrived()).To(BeFalse())
		closeUnused()
		end()
		Expect(io.ReadAll(client)).To(BeEquivalentTo("answeransweranswer"))
	})

	// Guards against requests that arrive while the process does not run, and are dropped when
	// it runs again.
	It("keeps a connection whose next request nobody has read yet", func() {
		answer()
		send(request)
		Eventually(func() bool { return hasUnreadBytes(c.Conn) }).Should(BeTrue())
		closeUnused()
		Expect(read()).To(Equal(request))
	})

	// Guards against a request that is read in the moment in which its connection is ended, and
	// neither answered nor counted.
	It("passes on what was read before the connection ended", func() {
		answer()
		send(request)
		got := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			text, err := read()
			Expect(err).NotTo(HaveOccurred())
			got <- text
		}()
		// The read has returned, or is about to.
		Eventually(func() bool { return hasUnreadBytes(c.Conn) }).Should(BeFalse())
		closeUnused()
		Eventually(got).Should(Receive(Equal(request)))
		closeUnused()
		answer()
		closeUnused()
		end()
		Expect(io.ReadAll(client)).To(BeEquivalentTo("answeranswer"))
	})

	// Guards against dropped requests that no metric shows.
	It("counts the requests that have arrived on a connection when the deadline closes it, once", func() {
		before := droppedRequests.Get()
		receive(request + request[:5])
		c.take()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(tracker.CloseAll(ctx, func(drain.Connection) bool { return false })).To(Equal(1))
		Expect(droppedRequests.Get() - before).To(BeEquivalentTo(2))
		Expect(c.Close()).To(Succeed())
		_, err := read()
		Expect(err).To(MatchError(net.ErrClosed))
		tracker.connStateChanged(c, http.StateClosed)
		Expect(droppedRequests.Get() - before).To(BeEquivalentTo(2))
	})

	It("counts no requests of clients that have left", func() {
		before := droppedRequests.Get()
		receive(request[:5])
		Expect(client.Close()).To(Succeed())
		_, err := read()
		Expect(err).To(MatchError(io.EOF))
		closeUnused()
		tracker.connStateChanged(c, http.StateClosed)
		Expect(droppedRequests.Get()).To(Equal(before))
	})

	It("forgets closed connections", func() {
		tracker.connStateChanged(c, http.StateClosed)
		Expect(tracker.open).To(BeEmpty())
	})
})
