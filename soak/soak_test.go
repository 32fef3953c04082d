package soak

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/platform/platformtest"
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak")
}

var _ = Describe("DrawPlan", func() {
	o := Options{Length: 30 * time.Second, Rate: DefaultRate, PlannedRate: DefaultPlannedRate, Daemons: 4, PlainReplicas: 4, Callers: 8, EnginesPerDataCentre: 2}

	// Guards against a seed whose faults cannot be reproduced.
	It("returns the same plan for the same seed, ordered by time", func() {
		plan := DrawPlan(7, o)
		Expect(plan).To(Equal(DrawPlan(7, o)))
		Expect(plan).NotTo(Equal(DrawPlan(8, o)))
		for i, f := range plan {
			Expect(f.At).To(BeNumerically(">=", warmUp))
			Expect(f.At).To(BeNumerically("<", o.Length))
			if i > 0 {
				Expect(f.At).To(BeNumerically(">=", plan[i-1].At))
			}
		}
	})

	// Guards against kinds of fault that are never injected, and plans without
	// overlapping or repeated faults.
	It("draws every kind of fault for every type of component, overlapping and repeated", func() {
		kinds, overlaps, repeats := map[componentID]map[FaultKind]bool{}, 0, 0
		for seed := range uint64(50) {
			plan := DrawPlan(seed, o)
			for i, f := range plan {
				id := componentID{f.Component, 0}
				if kinds[id] == nil {
					kinds[id] = map[FaultKind]bool{}
				}
				kinds[id][f.Kind] = true
				for _, next := range plan[i+1:] {
					if next.At < f.At+f.Length {
						overlaps++
					} else if next.Component == f.Component && next.Kind == f.Kind && next.Target == f.Target && next.At < f.At+f.Length+minFault {
						repeats++
					}
				}
			}
		}
		for _, c := range append(slices.Concat(faultTypes...), plannedWork...) {
			Expect(kinds[componentID{c.component, 0}]).To(HaveKey(c.kind))
		}
		Expect(overlaps).To(BeNumerically(">", 500))
		Expect(repeats).To(BeNumerically(">", 100))
	})

	// Guards against kept seeds whose faults change with the planned work.
	It("draws the same faults with and without planned work", func() {
		without := o
		without.PlannedRate = 0
		isPlanned := func(f Fault) bool { return slices.Contains(plannedWork, faultType{f.Component, f.Kind}) }
		for seed := range uint64(10) {
			expected := slices.DeleteFunc(DrawPlan(seed, without), isPlanned)
			Expect(slices.DeleteFunc(DrawPlan(seed, o), isPlanned)).To(Equal(expected))
		}
	})

	It("draws gaps of rolling stops and bursts of signals over their whole range", func() {
		Expect(scale(minFault, 0.2, 1.5)).To(BeNumerically("~", 0.2))
		Expect(scale(maxFault, 0.2, 1.5)).To(BeNumerically("~", 1.5))
	})

	It("reports options that cannot work", func() {
		Expect(o.Check()).To(Succeed())
		bad := o
		bad.Daemons = 0
		Expect(bad.Check()).NotTo(Succeed())
		bad = o
		bad.PlannedRate = -1
		Expect(bad.Check()).NotTo(Succeed())
		bad = o
		bad.Length = time.Second
		Expect(bad.Check()).NotTo(Succeed())
	})
})

var _ = Describe("observations", func() {
	start := time.Date(2026, 12, 4, 11, 0, 0, 0, time.UTC)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	var obs *observations
	BeforeEach(func() {
		obs = &observations{faults: faultIntervals{}, plannedStops: faultIntervals{}, bursts: faultIntervals{}, engines: 6, plainReplicas: 4, daemons: 2, grace: 5 * time.Second}
	})
	request := func(kind platformtest.Kind) attempt {
		return attempt{
			Call:   platformtest.Call{ID: "c1", Kind: kind, Key: permanentKey, Timeout: 5 * time.Second},
			daemon: 1, sent: at(10), ended: at(10.1), status: 200, stillRunningOn: -1,
		}
	}
	ran := func(upstream int) { obs.runs = append(obs.runs, run{id: "c1", upstream: upstream, at: at(10.05)}) }
	check := func(a attempt) []string {
		obs.attempts = []attempt{a}
		return obs.check()
	}

	It("reports nothing for a whole answer", func() {
		ran(7)
		Expect(check(request(platformtest.Order))).To(BeEmpty())
	})

	It("reports orders that ran twice, but not look-ups", func() {
		ran(7)
		ran(8)
		Expect(check(request(platformtest.Order))).To(ConsistOf(HavePrefix("twice")))
		Expect(check(request(platformtest.LookUp))).To(BeEmpty())
	})

	It("reports poison requests that run again long after they crashed three upstreams", func() {
		p := poisonRequest{body: "b", from: at(10), to: at(20), runs: []poisonRun{{at(10), 0}, {at(11), 1}, {at(12), 1}, {at(13), 1}}}
		Expect(obs.checkPoisonRequest(p)).To(BeEmpty(), "within the time in which daemons learn of the crashes")
		p.runs = append(p.runs, poisonRun{at(14.5), 1}, poisonRun{at(15), 1}, poisonRun{at(16), 1})
		Expect(obs.checkPoisonRequest(p)).To(BeEmpty())
		p.runs = append(p.runs, poisonRun{at(17), 1})
		Expect(obs.checkPoisonRequest(p)).NotTo(BeEmpty())
		obs.faults.add(StoreLinks, 1, interval{at(12), at(13)})
		Expect(obs.checkPoisonRequest(p)).To(BeEmpty(), "a daemon was not connected to the store")
	})

	It("reports requests with a common prompt part that run again long after it crashed five upstreams", func() {
		p := poisonRequest{body: "b", part: "bad", from: at(10), to: at(20)}
		for _, t := range []float64{10, 10.5, 11, 11.5, 12, 14.5, 15, 16} {
			p.runs = append(p.runs, poisonRun{at(t), 1})
		}
		Expect(obs.checkPoisonRequest(p)).To(BeEmpty())
		p.runs = append(p.runs, poisonRun{at(17), 1})
		Expect(obs.checkPoisonRequest(p)).NotTo(BeEmpty())
	})

	It("reports orders that ran although they were refused", func() {
		a := request(platformtest.Order)
		a.status = http.StatusServiceUnavailable
		obs.faults.add(Upstreams, 3, interval{at(9), at(9.5)})
		Expect(check(a)).To(BeEmpty())
		ran(7)
		Expect(check(a)).To(ConsistOf(HavePrefix("refused")))
		a.status = http.StatusBadGateway
		Expect(check(a)).To(BeEmpty())
	})

	It("reports refusals while all upstreams work, even if the store is down", func() {
		a := request(platformtest.LookUp)
		a.status = http.StatusServiceUnavailable
		obs.faults.add(StoreServer, 0, interval{at(8), at(11)})
		obs.faults.add(Daemons, 0, interval{at(9), at(11)})
		Expect(check(a)).To(ConsistOf(HavePrefix("unserved")))
		for _, disturb := range []func(){
			func() { obs.faults.add(Upstreams, 2, interval{at(7), at(8.5)}) },
			func() { obs.faults.add(Daemons, 1, interval{at(1), at(2)}) },
			func() { obs.plannedStops.add(Daemons, 1, interval{at(1), at(2)}) },
			func() { obs.drains = append(obs.drains, drain{upstream: 2, at: at(5), replacedAt: at(9)}) },
		} {
			faults, plannedStops := maps.Clone(obs.faults), maps.Clone(obs.plannedStops)
			disturb()
			Expect(check(a)).To(BeEmpty())
			obs.faults, obs.plannedStops, obs.drains = faults, plannedStops, nil
		}
	})

	It("reports moves that end wrongly or not at all while a daemon is connected to the store", func() {
		end := func(bad bool, state string) []string {
			obs.moves = []move{{bad: bad, version: "next-1", from: at(9), to: at(13), state: state}}
			return obs.check()
		}
		Expect(end(false, "completed")).To(BeEmpty())
		Expect(end(true, "reverted")).To(BeEmpty())
		Expect(end(true, "completed")).To(ConsistOf(ContainSubstring("was completed")))
		Expect(end(false, "reverted")).To(ConsistOf(ContainSubstring("was reverted")))
		Expect(end(false, "running")).To(ConsistOf(ContainSubstring("neither")))
		Expect(end(true, "")).To(ConsistOf(ContainSubstring("neither")))
		obs.faults.add(Daemons, 0, interval{at(9), at(10)})
		Expect(end(true, "completed")).To(HaveLen(1), "daemon 1 is connected to the store")
		obs.plannedStops.add(Daemons, 1, interval{at(12), at(14)})
		Expect(end(true, "completed")).To(BeEmpty())
	})

	It("reports a failing version that got too many requests", func() {
		obs.moves = []move{{bad: true, version: "next-1", from: at(9), to: at(13), state: "reverted"}}
		for i := range 60 {
			a := request(platformtest.LookUp)
			a.ID, a.status = fmt.Sprint("c", i), http.StatusInternalServerError
			obs.attempts = append(obs.attempts, a)
			obs.runs = append(obs.runs, run{id: a.ID, upstream: 10, at: at(10.05)})
		}
		Expect(obs.check()).To(ConsistOf(ContainSubstring("60 of 60")))
		obs.runs = obs.runs[:50]
		Expect(obs.check()).To(BeEmpty())
	})

	It("reports a reverted version that gets requests during the next move", func() {
		reverted := move{bad: true, version: "next-1", from: at(5), to: at(8), state: "reverted"}
		m := move{version: "next-2", from: at(8), to: at(12), state: "completed", reverted: &reverted}
		obs.moves = []move{m}
		a := request(platformtest.LookUp)
		obs.runs = []run{{id: "c1", upstream: 10, at: at(10.05)}}
		Expect(check(a)).To(ConsistOf(ContainSubstring("1 requests ran on next-1")))
		obs.faults.add(StoreLinks, 1, interval{at(6), at(7)})
		Expect(check(a)).To(BeEmpty(), "the daemon may not have learnt of the verdict")
		obs.faults = faultIntervals{}
		obs.runs[0].upstream = 14
		Expect(check(a)).To(BeEmpty(), "it ran on the version of the second move")
		obs.runs[0] = run{id: "c1", upstream: 10, at: at(8.9)}
		Expect(check(a)).To(BeEmpty(), "daemons need 1 s to learn of the verdict")
	})

	It("allows refusals during a burst of long bodies", func() {
		a := request(platformtest.LookUp)
		a.status = http.StatusServiceUnavailable
		Expect(check(a)).To(ConsistOf(HavePrefix("unserved")))
		obs.bursts.add(Daemons, 1, interval{at(9), at(9.5)})
		Expect(check(a)).To(BeEmpty())
	})

	It("reports answers that are not the request's own, even at a daemon with a fault", func() {
		obs.faults.add(Daemons, 1, interval{at(9), at(12)})
		a := request(platformtest.Stream)
		a.mismatch = "event 7 comes after 5"
		Expect(check(a)).To(ConsistOf(HavePrefix("mixed")))
	})

	It("reports runs with unknown keys, refusals of valid keys and runs that no caller requested", func() {
		a := request(platformtest.Order)
		a.Key = "never"
		Expect(check(a)).To(ConsistOf(HavePrefix("route")))
		a.status = http.StatusUnauthorized
		Expect(check(a)).To(BeEmpty())
		a = request(platformtest.Order)
		a.status = http.StatusUnauthorized
		Expect(check(a)).To(ConsistOf(HavePrefix("denied")))
		obs.runs = []run{{id: "c2", upstream: 7, at: at(10)}}
		Expect(check(request(platformtest.Order))).To(ConsistOf(HavePrefix("unasked")))
	})

	It("reports requests without an answer, except at daemons with a fault", func() {
		a := request(platformtest.Order)
		a.cut, a.status = true, 0
		Expect(check(a)).To(ConsistOf(HavePrefix("lost")))
		a.reused = true
		Expect(check(a)).To(BeEmpty(), "it was sent while the daemon closed the connection")
		ran(7)
		Expect(check(a)).To(ConsistOf(HavePrefix("lost")))
		obs.faults.add(Daemons, 1, interval{at(7), at(8.5)})
		Expect(check(a)).To(BeEmpty(), "the daemon was started again 1.5 s before")
	})

	It("reports requests cut by a planned stop, except at the end of its grace", func() {
		ran(7)
		obs.plannedStops.add(Daemons, 1, interval{at(9.5), at(15)})
		a := request(platformtest.Order)
		a.cut, a.status = true, 0
		Expect(check(a)).To(ConsistOf(HavePrefix("lost")))
		a.ended = at(14.2)
		a.Timeout = 4 * time.Second
		Expect(check(a)).NotTo(ContainElement(HavePrefix("lost")))
	})

	It("reports streams that end early while most engines are healthy", func() {
		a := request(platformtest.Stream)
		a.cut = true
		ran(0)
		obs.faults.add(Upstreams, 0, interval{at(10), at(11)})
		obs.faults.add(Upstreams, 1, interval{at(9), at(11)})
		Expect(check(a)).To(ConsistOf(HavePrefix("lost")))
		obs.faults.add(Upstreams, 2, interval{at(7), at(8.5)})
		Expect(check(a)).To(BeEmpty())
	})

	It("reports late answers, long gaps and work for callers that disconnected", func() {
		a := request(platformtest.Order)
		a.ended = at(13.6)
		Expect(check(a)).To(ConsistOf(HavePrefix("late")), "the route's timeout is 3 s")
		a = request(platformtest.Stream)
		a.longestGap, a.gapEnd, a.Timeout, a.ended = 4100*time.Millisecond, at(14.5), 10*time.Second, at(15)
		Expect(check(a)).To(ConsistOf(HavePrefix("gap")))
		a = request(platformtest.Stream)
		a.abandoned, a.stillRunningOn = true, 3
		Expect(check(a)).To(ConsistOf(HavePrefix("gone")))
		obs.faults.add(Upstreams, 3, interval{at(9), at(10)})
		Expect(check(a)).To(BeEmpty(), "the upstream may not have seen the close")
	})

	// Guards against a verdict that depends on the machine: in CI the soak's processes stood
	// still for more than half a second, and requests of callers that had left counted as
	// still running.
	It("judges no time bound by a time in which the soak did not run", func() {
		a := request(platformtest.Stream)
		a.abandoned, a.stillRunningOn = true, 3
		obs.stalls = []interval{{at(10.1), at(10.7)}}
		Expect(check(a)).To(ConsistOf(HavePrefix("gone")), "the stall is not yet known")
		obs.addStalls()
		Expect(check(a)).To(BeEmpty())
		a.mismatch = "event 7 comes after 5"
		Expect(check(a)).To(ConsistOf(HavePrefix("mixed")), "this has no time bound")
	})

	It("reports no work for callers that disconnected right before their daemon was stopped", func() {
		a := request(platformtest.Stream)
		a.abandoned, a.stillRunningOn = true, 3
		obs.faults.add(Daemons, 1, interval{at(10.6), at(11)})
		Expect(check(a)).To(ConsistOf(HavePrefix("gone")), "the daemon had 500 ms before the fault")
		obs.faults.add(Daemons, 1, interval{at(10.2), at(11)})
		Expect(check(a)).To(BeEmpty())
	})

	It("knows whether the soak or a daemon stalled during a stop", func() {
		obs.stalls = []interval{{at(5), at(5.5)}}
		obs.daemonStalls = map[int][]interval{1: {{at(8), at(8.2)}}}
		Expect(obs.stalled(0, interval{at(5.4), at(9)})).To(BeTrue())
		Expect(obs.stalled(0, interval{at(5.6), at(9)})).To(BeFalse())
		Expect(obs.stalled(1, interval{at(5.6), at(9)})).To(BeTrue())
	})

	It("reads the stalls in the log of a daemon", func() {
		stalls, err := readStalls(strings.NewReader(`{"msg":"daemon started","length":3}
{"time":"2026-12-06T00:00:02.5Z","level":"WARN","msg":"process stalled","part":"edge","from":"2026-12-06T00:00:01.5Z","length":"740ms"}
not JSON
{"msg":"process sta`))
		Expect(err).NotTo(HaveOccurred())
		from := time.Date(2026, 12, 6, 0, 0, 1, 500_000_000, time.UTC)
		Expect(stalls).To(Equal([]interval{{from, from.Add(740 * time.Millisecond)}}))
	})

	It("reports daemons that go on sending requests in a pause that an upstream asked for", func() {
		obs.attempts = []attempt{request(platformtest.Stream)}
		for _, t := range []float64{10, 10.05, 10.08, 10.3, 10.9, 11.01, 11.2} {
			obs.turnedAway = append(obs.turnedAway, turnedAway{"c1", 2, at(t)})
		}
		Expect(obs.checkPauses()).To(BeEmpty(), "two in the rest of the first pause, one in the second")
		obs.turnedAway = append(obs.turnedAway, turnedAway{"c1", 2, at(10.5)})
		Expect(obs.checkPauses()).To(ConsistOf(ContainSubstring("sent 3 requests to upstream 2")))
		obs.plannedStops.add(Daemons, 1, interval{at(10.2), at(10.4)})
		Expect(obs.checkPauses()).To(BeEmpty(), "the daemon has forgotten the pause")
	})

	It("reports upstreams that get more requests than the limit that they named", func() {
		obs.attempts, obs.runs = nil, nil
		obs.limits = []namedLimits{{2, interval{at(10), at(20)}}}
		send := func(id string, daemon int, t float64) {
			a := request(platformtest.LookUp)
			a.ID, a.daemon, a.status, a.ended = id, daemon, 200, at(t+0.05)
			obs.attempts = append(obs.attempts, a)
			obs.runs = append(obs.runs, run{id: id, upstream: 2, at: at(t)})
		}
		send("first", 1, 10.1)
		for i := range 11 {
			send(fmt.Sprint("a", i), 1, 13.1+0.3*float64(i))
		}
		for i := range 9 {
			send(fmt.Sprint("b", i), 2, 13.2+0.04*float64(i))
		}
		Expect(obs.checkLimits()).To(BeEmpty(), "the second daemon had not heard of it")
		send("b-last", 2, 14.5)
		Expect(obs.checkLimits()).To(ConsistOf(ContainSubstring("got 12 requests in 4s")))
		obs.faults.add(Daemons, 2, interval{at(13.9), at(14)})
		Expect(obs.checkLimits()).To(BeEmpty(), "the daemon has forgotten it")
	})

	It("reports requests to upstreams that had said that they leave, also by a daemon without the store", func() {
		obs.announcements = []drain{{upstream: 7, at: at(9), replacedAt: at(14)}}
		heard, late := request(platformtest.Order), request(platformtest.Order)
		late.ID, late.sent, late.ended = "c2", at(12), at(12.2)
		obs.attempts = []attempt{heard, late}
		ran(7)
		obs.runs = append(obs.runs, run{id: "c2", upstream: 7, at: at(12.05)})
		Expect(obs.checkAnnouncements()).To(BeEmpty(), "1.95 s after the word")
		obs.runs[1].at = at(12.15)
		obs.faults.add(StoreLinks, 1, interval{at(10), at(12)})
		Expect(obs.checkAnnouncements()).To(ConsistOf(HavePrefix("leaving: c2 of daemon 1 reached upstream 7")))
		obs.faults.add(Daemons, 1, interval{at(11), at(11.5)})
		Expect(obs.checkAnnouncements()).To(BeEmpty(), "the daemon has forgotten the word")
	})

	It("reports requests to draining upstreams by daemons connected to the store", func() {
		obs.drains = []drain{{upstream: 7, at: at(7.9), replacedAt: at(10.2)}}
		ran(7)
		Expect(check(request(platformtest.Order))).To(ConsistOf(HavePrefix("drain")))
		obs.drains[0].replacedAt = at(10)
		Expect(check(request(platformtest.Order))).To(BeEmpty(), "another upstream was started at the address")
		obs.drains[0].replacedAt = at(10.2)
		obs.faults.add(StoreLinks, 1, interval{at(6), at(7)})
		Expect(check(request(platformtest.Order))).To(BeEmpty())
	})
})

var _ = Describe("Ports", func() {
	// Guards against two soaks at the same time whose daemons take each other's ports while
	// they are down: one soak's callers were served by the other's daemons.
	It("never assigns a port to two soaks", func() {
		taken := map[string]bool{}
		for range 3 {
			p, err := NewPorts()
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(p.Close)
			for range 50 {
				a, err := p.address()
				Expect(err).NotTo(HaveOccurred())
				Expect(taken).NotTo(HaveKey(a))
				taken[a] = true
			}
		}
	})

	It("goes on with the first port of its block after the last one", func() {
		p, err := NewPorts()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.Close)
		for range blockSize + 10 {
			_, err := p.address()
			Expect(err).NotTo(HaveOccurred())
		}
	})
})

var _ = Describe("link", func() {
	var l *link
	BeforeEach(func() {
		// Each spec has its own variable server, because goroutines of the spec before
		// may still use theirs.
		server, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		go func() {
			for {
				c, err := server.Accept()
				if err != nil {
					return
				}
				go func() { _, _ = io.Copy(c, c) }()
			}
		}()
		l, err = newLink(func() string { return server.Addr().String() })
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.close)
	})
	// echo sends a byte and waits for its return.
	echo := func(c net.Conn) error {
		if _, err := c.Write([]byte("x")); err != nil {
			return err
		}
		if err := c.SetReadDeadline(time.Now().Add(200 * time.Millisecond)); err != nil {
			return err
		}
		_, err := c.Read(make([]byte, 1))
		return err
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp4", l.address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })
		return c
	}

	// Guards against faults without effect: a soak with them would find nothing.
	DescribeTable("disturbs connections only while a fault lasts", func(k FaultKind) {
		c := dial()
		Expect(echo(c)).To(Succeed())
		end := l.fault(k)
		Expect(echo(c)).NotTo(Succeed())
		end()
		Expect(echo(dial())).To(Succeed())
	}, Entry("reset", Reset), Entry("bytes to the server dropped", DropToServer), Entry("bytes from the server dropped", DropFromServer), Entry("bytes in both directions dropped", DropBoth),
		Entry("open connections silent", SilenceOpen))

	It("silences open connections only", func() {
		c := dial()
		Expect(echo(c)).To(Succeed())
		defer l.fault(SilenceOpen)()
		Expect(echo(dial())).To(Succeed())
		var timeout net.Error
		Expect(errors.As(echo(c), &timeout) && timeout.Timeout()).To(BeTrue(), "not a reset")
	})

	It("delays bytes", func() {
		c := dial()
		Expect(echo(c)).To(Succeed())
		defer l.fault(Delay)()
		began := time.Now()
		_, err := c.Write([]byte("x"))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		_, err = c.Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(began)).To(BeNumerically(">=", linkDelay))
	})
})
