package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/platform/platformtest"
)

var _ = Describe("checkDirect", func() {
	start := time.Date(2026, 12, 6, 8, 0, 0, 0, time.UTC)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	var obs *observations
	BeforeEach(func() {
		obs = &observations{faults: faultIntervals{}, plannedStops: faultIntervals{}, engines: 6, plainReplicas: 4, daemons: 2, grace: 5 * time.Second}
	})
	// cut returns a request without an answer that was whole at 10.1 s.
	cut := func(kind platformtest.Kind, ended float64) directAttempt {
		return directAttempt{
			attempt: attempt{
				Call:   platformtest.Call{ID: "d1", Kind: kind, Key: permanentKey, Timeout: 12 * time.Second},
				daemon: 1, sent: at(10), ended: at(ended), cut: true, stillRunningOn: -1,
			},
			style: keptStyle, lastByte: at(10.1), turn: at(10.1), whole: true,
		}
	}
	ran := func(upstream int, from, to float64) {
		obs.directRuns = append(obs.directRuns, run{id: "d1", upstream: upstream, at: at(from), ended: at(to)})
	}
	check := func(a directAttempt) directOutcome {
		obs.direct = []directAttempt{a}
		return obs.checkDirect()
	}
	lost := ConsistOf(ContainSubstring("lost"))

	// Guards against a soak that does not see requests lost around planned work.
	It("reports requests without an answer, but counts those that cross a close", func() {
		Expect(check(cut(platformtest.Order, 10.31)).violations).To(lost)
		Expect(check(cut(platformtest.Order, 10.3))).To(Equal(directOutcome{sent: 1, judged: 1, crossed: 1}), "200 ms after the last byte")
		ran(7, 10.15, 10.2)
		Expect(check(cut(platformtest.Order, 10.2)).violations).To(lost, "it ran")
	})

	It("excuses a request by faults of its daemon, not by planned stops, links, upstreams or the store", func() {
		obs.plannedStops.add(Daemons, 1, interval{at(9), at(16)})
		obs.faults.add(ClientLinks, 1, interval{at(9), at(16)})
		obs.faults.add(StoreServer, 0, interval{at(9), at(16)})
		for i := range 10 {
			obs.faults.add(Upstreams, i, interval{at(9), at(16)})
		}
		obs.faults.add(Daemons, 0, interval{at(9), at(16)})
		Expect(check(cut(platformtest.Order, 10.5)).violations).To(lost)
		Expect(check(cut(platformtest.Stream, 10.5)).violations).To(lost)
		obs.faults.add(Daemons, 1, interval{at(7), at(7.9)})
		Expect(check(cut(platformtest.Order, 10.5)).violations).To(lost, "2.1 s after the fault")
		obs.faults.add(Daemons, 1, interval{at(7.9), at(8.1)})
		Expect(check(cut(platformtest.Order, 10.5))).To(Equal(directOutcome{sent: 1}))
	})

	It("does not judge requests that were not sent whole or that the client gave up", func() {
		a := cut(platformtest.Order, 10.5)
		a.whole = false
		Expect(check(a)).To(Equal(directOutcome{}))
		a = cut(platformtest.Order, 10.5)
		a.cut, a.abandoned = false, true
		Expect(check(a).violations).To(BeEmpty())
		a.ended = at(13.7)
		Expect(check(a).violations).To(ConsistOf(ContainSubstring("late")), "3 s and half a second after the last byte")
		a.turn = at(11)
		Expect(check(a).violations).To(BeEmpty(), "it waited for an earlier answer")
	})

	It("excuses requests at their timeout, unless a sound upstream got them from a kept connection", func() {
		Expect(check(cut(platformtest.Order, 13.05)).violations).To(lost)
		a := cut(platformtest.Order, 13.1)
		Expect(check(a).violations).To(BeEmpty())
		a.reused = true
		Expect(check(a).violations).To(BeEmpty(), "no upstream got it")
		ran(7, 10.2, 13.1)
		Expect(check(a).violations).To(lost)
		a.reused = false
		Expect(check(a).violations).To(BeEmpty())
		a.reused = true
		obs.faults.add(Upstreams, 7, interval{at(10.2), at(10.4)})
		Expect(check(a).violations).To(BeEmpty())
	})

	// Guards against an excuse that covers streams that ended, came late or got no byte.
	It("excuses only streams with an upstream at work at the end of the grace", func() {
		obs.plannedStops.add(Daemons, 1, interval{at(8), at(15)})
		stream := func(ended float64) directAttempt {
			a := cut(platformtest.Stream, ended)
			a.status = http.StatusOK
			return a
		}
		ran(1, 10.2, 12.6)
		Expect(check(stream(12.6)).violations).To(BeEmpty())
		obs.directRuns[0].ended = time.Time{}
		Expect(check(stream(12.6)).violations).To(BeEmpty(), "the upstream worked on")
		obs.directRuns[0].ended = at(12.1)
		Expect(check(stream(12.6)).violations).To(lost, "the upstream ended before the last sixth of the grace")
		obs.directRuns[0].ended = at(12.6)
		Expect(check(stream(12.1)).violations).To(lost, "cut before the last sixth of the grace")
		a := stream(12.6)
		a.status = 0
		Expect(check(a).violations).To(lost, "no byte of an answer")
		a = stream(12.6)
		a.lastByte = at(11.05)
		Expect(check(a).violations).To(lost, "sent 3.05 s after SIGTERM")
		obs.plannedStops = faultIntervals{componentID{Daemons, 0}: {{at(8), at(15)}}}
		Expect(check(stream(12.6)).violations).To(lost, "another daemon stopped")
	})

	It("excuses streams that began only if more than two engines were affected", func() {
		a := cut(platformtest.Stream, 11)
		a.status = http.StatusOK
		ran(0, 10.2, 11)
		for i := range toleratedEngineFaults {
			obs.faults.add(Upstreams, i, interval{at(10.5), at(11)})
		}
		Expect(check(a).violations).To(lost)
		obs.faults.add(Upstreams, 2, interval{at(10.5), at(11)})
		Expect(check(a).violations).To(BeEmpty())
		a.status = 0
		Expect(check(a).violations).To(lost)
	})

	It("checks answers and runs of all direct requests", func() {
		a := cut(platformtest.Order, 10.5)
		a.whole, a.cut, a.status = false, false, http.StatusServiceUnavailable
		ran(7, 10.2, 10.3)
		ran(8, 10.2, 10.3)
		Expect(check(a).violations).To(ConsistOf(ContainSubstring("twice"), ContainSubstring("refused")))
		obs.directRuns[1].id = "d2"
		Expect(check(a).violations).To(ConsistOf(ContainSubstring("refused"), ContainSubstring("unasked")))
	})

	It("counts direct streams as load of the engines", func() {
		obs.direct = []directAttempt{cut(platformtest.Order, 10.5), cut(platformtest.Stream, 10.5)}
		obs.attempts = []attempt{
			{Call: platformtest.Call{Kind: platformtest.LookUp}, sent: at(10.2), ended: at(10.4)},
			{Call: platformtest.Call{Kind: platformtest.Stream}, sent: at(10.2), ended: at(10.4)},
		}
		obs.countConcurrent()
		Expect(obs.attempts[0].concurrent).To(Equal(1))
		Expect(obs.attempts[1].concurrent).To(Equal(2))
	})
})

var _ = Describe("directClient", func() {
	// serve accepts one connection and passes it to f.
	serve := func(f func(net.Conn, *bufio.Reader)) *Soak {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		go func() {
			if c, err := l.Accept(); err == nil {
				f(c, bufio.NewReader(c))
			}
		}()
		return &Soak{daemons: []*daemon{{Daemon: platformtest.Daemon{ClientAddress: l.Addr().String()}}}, rotation: &rotation{out: make([]atomic.Bool, 1)}}
	}
	// answer reads a request and answers it.
	answer := func(c net.Conn, in *bufio.Reader, header string) string {
		r, err := http.ReadRequest(in)
		if err != nil {
			return ""
		}
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n%s\r\n", header)
		return string(body)
	}

	DescribeTable("sends whole requests in each style and heeds Connection: close", func(style directStyle, batch bool) {
		served := make(chan string, 20)
		s := serve(func(c net.Conn, in *bufio.Reader) {
			served <- answer(c, in, "")
			served <- answer(c, in, "Connection: close\r\n")
			close(served)
			_, err := in.ReadByte()
			for err == nil {
				_, err = in.ReadByte()
			}
			_ = c.Close()
		})
		c := newDirectClient(s, 3, style)
		c.useConnection(context.Background(), 0)
		Expect(<-served).To(HaveSuffix("for d3-1"))
		// The client can end before the server has noted its last answer.
		want := 1
		for range served {
			want++
		}
		answered := 0
		for _, a := range s.observed.direct {
			Expect(a.whole).To(BeTrue())
			if a.status == http.StatusServiceUnavailable {
				answered++
			}
		}
		Expect(answered).To(Equal(want))
		if !batch {
			Expect(s.observed.direct).To(HaveLen(answered))
		}
	},
		Entry("kept", keptStyle, false), Entry("in pieces", piecesStyle, false), Entry("early", earlyStyle, false),
		Entry("kept streams", keptStream, false), Entry("busy", answeringStyle, false), Entry("pipelined", pipelinedStyle, true))

	It("sends nothing on a connection that was closed while it was idle", func() {
		s := serve(func(c net.Conn, in *bufio.Reader) { _ = c.Close() })
		newDirectClient(s, 0, earlyStyle).useConnection(context.Background(), 0)
		Expect(s.observed.direct).To(BeEmpty())
	})

	It("records the end of the connection for each request of a batch without an answer", func() {
		s := serve(func(c net.Conn, in *bufio.Reader) {
			answer(c, in, "")
			time.Sleep(300 * time.Millisecond)
			reset(c)
		})
		newDirectClient(s, 0, pipelinedStyle).useConnection(context.Background(), 0)
		Expect(len(s.observed.direct)).To(BeNumerically(">=", 2))
		for _, a := range s.observed.direct[1:] {
			Expect(a.cut).To(BeTrue())
			Expect(a.ended.Sub(a.lastByte)).To(BeNumerically(">", lossSlack))
		}
	})

	It("takes work times only from the bodies of direct clients", func() {
		Expect(directWork("work 240 ms for d1-1")).To(Equal(240 * time.Millisecond))
		Expect(directWork("subject 240 of caller 3")).To(BeZero())
		Expect(isDirect("work 0 ms for d1-1")).To(BeTrue())
		Expect(isDirect("subject 240 of caller 3")).To(BeFalse())
	})
})

var _ = Describe("rotation", func() {
	It("picks daemons in rotation, and any one if fewer than half are", func() {
		r := &rotation{out: make([]atomic.Bool, 4)}
		random := rand.New(rand.NewPCG(1, 2))
		picked := func() map[int]bool {
			seen := map[int]bool{}
			for range 100 {
				seen[r.pick(random)] = true
			}
			return seen
		}
		r.out[0].Store(true)
		r.out[1].Store(true)
		Expect(picked()).To(Equal(map[int]bool{2: true, 3: true}))
		r.out[2].Store(true)
		Expect(picked()).To(HaveLen(4))
	})
})
