package fleet

import (
	"bufio"
	"fmt"
	"net"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleet")
}

var _ = Describe("a forwarder", func() {
	// echo starts a server that sends each line back until the test ends, and
	// returns its address.
	echo := func() string {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					defer c.Close()
					for s := bufio.NewScanner(c); s.Scan(); {
						fmt.Fprintln(c, s.Text())
					}
				}()
			}
		}()
		return ln.Addr().String()
	}
	dial := func(f *Forwarder) (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", f.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		return c, bufio.NewReader(c)
	}

	// Guards against a cut that lets bytes through or closes connections, and
	// against a path that stays broken after it was healed.
	It("drops bytes while it is cut and closes those connections when it heals", func() {
		f, err := NewForwarder(echo())
		Expect(err).NotTo(HaveOccurred())
		defer f.Close()
		c, r := dial(f)
		fmt.Fprintln(c, "before")
		Expect(r.ReadString('\n')).To(Equal("before\n"))

		f.Cut()
		_, err = fmt.Fprintln(c, "lost")
		Expect(err).NotTo(HaveOccurred())
		during, _ := dial(f)
		_, err = fmt.Fprintln(during, "lost")
		Expect(err).NotTo(HaveOccurred())

		f.Heal()
		_, err = r.ReadString('\n')
		Expect(err).To(HaveOccurred())
		c, r = dial(f)
		fmt.Fprintln(c, "after")
		Expect(r.ReadString('\n')).To(Equal("after\n"))
	})
})
