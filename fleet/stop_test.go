package fleet

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	_ "github.com/gooseberryroad/gooseberryroad/modules/engine/completions"
	_ "github.com/gooseberryroad/gooseberryroad/modules/store/consulkv"
	_ "github.com/gooseberryroad/gooseberryroad/modules/vmlist/httpsd"
)

var _ = Describe("a stop of a daemon", func() {
	const request = "POST /services/" + PlainService + "/tags HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key-of-account-0\r\nContent-Length: 2\r\n\r\n{}"

	// Guards against requests that a stopping daemon receives whole on an open connection and
	// drops: callers of plain services do not know whether they ran.
	It("answers requests whose rest arrives, or that are pipelined, after it has closed its listener", func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		f, err := Start(ctx, Options{Daemons: 1, PlainReplicas: 1, DrainNotice: time.Millisecond, DrainDeadline: time.Second, Logger: slog.New(slog.DiscardHandler)})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(f.Close)
		d := f.LiveDaemons()[0]
		open := func(text string) net.Conn {
			c, err := net.Dial("tcp", d.CallerAddress())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(c.Close)
			_, err = io.WriteString(c, text)
			Expect(err).NotTo(HaveOccurred())
			return c
		}
		half := open(request[:30])
		stopped := make(chan error, 1)
		go func() { stopped <- d.Stop(ctx) }()
		Eventually(func() error {
			c, err := net.Dial("tcp", d.CallerAddress())
			if err == nil {
				_ = c.Close()
			}
			return err
		}, "5s", "5ms").Should(MatchError(syscall.ECONNREFUSED))
		_, err = io.WriteString(half, request[30:]+strings.Repeat(request, 2))
		Expect(err).NotTo(HaveOccurred())
		answers := bufio.NewReader(half)
		for n := range 3 {
			res, err := http.ReadResponse(answers, &http.Request{Method: http.MethodPost})
			Expect(err).NotTo(HaveOccurred(), "request %d", n)
			body, err := io.ReadAll(res.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(res.StatusCode).To(Equal(http.StatusServiceUnavailable))
			Expect(string(body)).To(ContainSubstring("not_run"))
		}
		Eventually(stopped, "10s").Should(Receive(BeNil()))
	})

	// Guards against a daemon that never ends its stop, because a client goes on sending on a
	// connection that is not closed.
	It("ends although a client sends one request after the other", func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		f, err := Start(ctx, Options{Daemons: 1, PlainReplicas: 1, DrainNotice: time.Millisecond, DrainDeadline: time.Second, Logger: slog.New(slog.DiscardHandler)})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(f.Close)
		d := f.LiveDaemons()[0]
		c, err := net.Dial("tcp", d.CallerAddress())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		// It always has one request more in than answers.
		_, err = io.WriteString(c, "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n"+request)
		Expect(err).NotTo(HaveOccurred())
		go func() {
			answers := bufio.NewReader(c)
			for {
				res, err := http.ReadResponse(answers, nil)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, res.Body)
				_, _ = io.WriteString(c, request)
			}
		}()
		stopped := make(chan error, 1)
		go func() { stopped <- d.Stop(ctx) }()
		Eventually(stopped, "20s").Should(Receive(BeNil()))
	})
})
