package quarantine_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/quarantine"
)

func TestQuarantine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quarantine")
}

var t0 = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func baseSeed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("GOOSEBERRYROAD_SEED"), 10, 40); err == nil {
		return n
	}
	return 1
}

// fleet simulates daemons, upstreams and callers in virtual time.
type fleet struct {
	rnd       *rand.Rand
	now       time.Time
	queue     callHeap
	seq       int
	daemons   []*daemon
	upstreams []*upstream
	// poison holds the contents that crash each upstream that runs them.
	poison map[quarantine.Hash]bool
	// crashes counts the upstreams that each content crashed.
	crashes map[quarantine.Hash]int
	// partitioned reports whether two daemons cannot reach each other.
	partitioned func(a, b int) bool
	// latency is half of the range of a notice's delay, which is uniform between
	// 1 ms and 1 ms + 2*latency.
	latency time.Duration
	// everQuarantined holds the contents that any daemon ever quarantined.
	everQuarantined map[quarantine.Hash]bool
	completions     map[quarantine.Hash]int
	refused         map[quarantine.Hash]int
	trace           bool
}

type scheduledCall struct {
	at   time.Time
	seq  int
	call func()
}

// callHeap is a heap of scheduled calls, ordered by time and then by the order of
// scheduling.
type callHeap []*scheduledCall

func (t callHeap) Len() int { return len(t) }
func (t callHeap) Less(i, j int) bool {
	return t[i].at.Before(t[j].at) || t[i].at.Equal(t[j].at) && t[i].seq < t[j].seq
}
func (t callHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *callHeap) Push(x any)   { *t = append(*t, x.(*scheduledCall)) }
func (t *callHeap) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

type daemon struct {
	id    int
	state *quarantine.State
	// tickAt is when the next Tick is due, zero if none is.
	tickAt time.Time
}

type upstream struct {
	name, dataCentre, version string
	incarnation               int
	running                   []*run
	down                      bool
}

type run struct {
	daemon *daemon
	hash   quarantine.Hash
	trial  bool
	// onCrash is called when the daemon learns that the upstream crashed.
	onCrash func()
	ended   bool
}

func newFleet(seed uint64, daemons, upstreams int) *fleet {
	f := &fleet{rnd: rand.New(rand.NewPCG(seed, 2)), now: t0, poison: map[quarantine.Hash]bool{},
		crashes: map[quarantine.Hash]int{}, everQuarantined: map[quarantine.Hash]bool{}, completions: map[quarantine.Hash]int{},
		refused: map[quarantine.Hash]int{}, latency: 5 * time.Millisecond, partitioned: func(int, int) bool { return false }}
	for i := range daemons {
		f.daemons = append(f.daemons, &daemon{id: i, state: quarantine.New(quarantine.Options{Self: fmt.Sprint(i)})})
	}
	for i := range upstreams {
		// Each upstream has its own data centre and version unless a test
		// groups them.
		f.upstreams = append(f.upstreams, &upstream{name: fmt.Sprintf("u%02d", i), dataCentre: fmt.Sprint("dc", i), version: fmt.Sprint("v", i)})
	}
	return f
}

func (f *fleet) schedule(d time.Duration, fn func()) {
	f.seq++
	heap.Push(&f.queue, &scheduledCall{f.now.Add(d), f.seq, fn})
}

// runFor runs the calls that are due within d of virtual time.
func (f *fleet) runFor(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		next := heap.Pop(&f.queue).(*scheduledCall)
		f.now = next.at
		next.call()
	}
	f.now = end
}

// step applies an event to a daemon and sends its notices to the other daemons.
func (f *fleet) step(d *daemon, ev quarantine.Event) []quarantine.Action {
	acts := d.state.Step(f.now, ev)
	for _, a := range acts {
		switch a := a.(type) {
		case quarantine.Notify:
			for _, o := range f.daemons {
				if o != d && !f.partitioned(d.id, o.id) {
					f.schedule(time.Millisecond+time.Duration(f.rnd.Int64N(int64(2*f.latency))), func() {
						f.step(o, quarantine.PeerNotice{From: fmt.Sprint(d.id), Notice: a.Notice})
					})
				}
			}
		case quarantine.VerdictChanged:
			if f.trace {
				GinkgoWriter.Printf("%s daemon %d: %x %s: %s\n", f.now.Sub(t0), d.id, a.Hash[:2], a.Verdict, a.Reason)
			}
			if a.Verdict == quarantine.Quarantined {
				f.everQuarantined[a.Hash] = true
			}
		}
	}
	if at, ok := d.state.NextTimer(); ok && (d.tickAt.IsZero() || at.Before(d.tickAt)) {
		d.tickAt = at
		f.schedule(max(at.Sub(f.now), 0)+time.Millisecond, func() {
			if d.tickAt.Equal(at) {
				d.tickAt = time.Time{}
				f.step(d, quarantine.Tick{})
			}
		})
	}
	return acts
}

func (f *fleet) alive() []*upstream {
	var out []*upstream
	for _, u := range f.upstreams {
		if !u.down {
			out = append(out, u)
		}
	}
	return out
}

// send sends a content to a daemon. When its run is lost or deferred, the content is
// sent again to the daemon that nextDaemon returns.
func (f *fleet) send(d *daemon, h quarantine.Hash, nextDaemon func() *daemon) {
	resend := func(after time.Duration) {
		if nextDaemon != nil {
			f.schedule(after, func() { f.send(nextDaemon(), h, nextDaemon) })
		}
	}
	switch d.state.Verdict(f.now, h) {
	case quarantine.Quarantined:
		f.step(d, quarantine.Refused{Hash: h})
		f.refused[h]++
		return
	case quarantine.Held:
		resend(500 * time.Millisecond)
		return
	case quarantine.Suspect:
		var names []string
		for _, u := range f.alive() {
			names = append(names, u.name)
		}
		for _, a := range f.step(d, quarantine.TrialRequested{Hash: h, Candidates: names}) {
			switch a := a.(type) {
			case quarantine.StartTrial:
				for _, u := range f.upstreams {
					if u.name == a.Upstream {
						f.start(u, &run{daemon: d, hash: h, trial: true, onCrash: func() { resend(100 * time.Millisecond) }})
					}
				}
			case quarantine.DeferTrial:
				resend(a.RetryAfter)
			}
		}
	default:
		alive := f.alive()
		if len(alive) > 0 {
			f.start(alive[f.rnd.IntN(len(alive))], &run{daemon: d, hash: h, onCrash: func() { resend(100 * time.Millisecond) }})
		}
	}
}

func (f *fleet) start(u *upstream, r *run) {
	if f.trace {
		GinkgoWriter.Printf("%s daemon %d: starts %x on %s trial=%v\n", f.now.Sub(t0), r.daemon.id, r.hash[:2], u.name, r.trial)
	}
	u.running = append(u.running, r)
	if f.poison[r.hash] {
		f.schedule(50*time.Millisecond, func() {
			if !r.ended {
				f.crashes[r.hash]++
				f.crash(u)
			}
		})
		return
	}
	f.schedule(time.Duration(200+f.rnd.IntN(200))*time.Millisecond, func() {
		if r.ended {
			return
		}
		r.ended = true
		for i, o := range u.running {
			if o == r {
				u.running = append(u.running[:i:i], u.running[i+1:]...)
				break
			}
		}
		f.completions[r.hash]++
		f.step(r.daemon, quarantine.Completed{Hash: r.hash})
	})
}

// crash crashes an upstream. Each daemon with runs on it notices within 20 ms, and
// the upstream restarts after 5 s.
func (f *fleet) crash(u *upstream) {
	if u.down {
		return
	}
	u.down = true
	lostRuns := u.running
	u.running = nil
	byDaemon := map[int][]*run{}
	for _, r := range lostRuns {
		r.ended = true
		byDaemon[r.daemon.id] = append(byDaemon[r.daemon.id], r)
	}
	incarnation := fmt.Sprint(u.incarnation)
	for _, d := range f.daemons {
		daemonRuns := byDaemon[d.id]
		if len(daemonRuns) == 0 {
			continue
		}
		f.schedule(time.Duration(1+f.rnd.IntN(20))*time.Millisecond, func() {
			ev := quarantine.UpstreamCrashed{Upstream: u.name, DataCentre: u.dataCentre, Version: u.version, Incarnation: incarnation}
			for _, r := range daemonRuns {
				ev.InFlight = append(ev.InFlight, r.hash)
			}
			f.step(d, ev)
			for _, r := range daemonRuns {
				r.onCrash()
			}
		})
	}
	f.schedule(5*time.Second, func() {
		u.down = false
		u.incarnation++
	})
}

func content(s string) quarantine.Hash { return quarantine.HashOf("dedication", "", []byte(s)) }

// anyDaemon returns a random daemon, as the balancer would choose.
func (f *fleet) anyDaemon() *daemon { return f.daemons[f.rnd.IntN(len(f.daemons))] }

// traffic sends n harmless contents within the first 3 s and returns them.
func (f *fleet) traffic(n int) []quarantine.Hash {
	var out []quarantine.Hash
	for i := range n {
		h := content(fmt.Sprint("innocent ", i))
		out = append(out, h)
		f.schedule(time.Duration(f.rnd.IntN(3000))*time.Millisecond, func() { f.send(f.anyDaemon(), h, f.anyDaemon) })
	}
	return out
}

var _ = Describe("one content that crashes upstreams", func() {
	p := content("poison")

	// Guards the bound in the package comment: c copies that start before the first
	// crash is known, and one trial.
	DescribeTable("crashes at most c+1 upstreams in the whole fleet", func(copies int) {
		maxCrashes := 0
		for i := range uint64(120) {
			seed := baseSeed()<<20 + i
			f := newFleet(seed, 6, 40)
			f.trace = os.Getenv("GOOSEBERRYROAD_TRACE") == fmt.Sprint(seed)
			f.poison[p] = true
			harmless := f.traffic(60)
			for c := range copies {
				d := f.daemons[c]
				// All copies start within 40 ms, before the first crash.
				f.schedule(1500*time.Millisecond+time.Duration(f.rnd.IntN(40))*time.Millisecond, func() { f.send(d, p, f.anyDaemon) })
			}
			// The caller keeps sending the content for minutes, under new keys.
			for c := range 20 {
				f.schedule(time.Duration(5+7*c)*time.Second, func() { f.send(f.anyDaemon(), p, f.anyDaemon) })
			}
			f.runFor(4 * time.Minute)
			Expect(f.crashes[p]).To(BeNumerically("<=", copies+1), "seed %d", seed)
			Expect(f.everQuarantined[p]).To(BeTrue(), "seed %d", seed)
			for _, h := range harmless {
				Expect(f.everQuarantined[h]).To(BeFalse(), "seed %d: a harmless content was quarantined", seed)
				Expect(f.completions[h]).To(Equal(1), "seed %d: a harmless content did not complete", seed)
			}
			maxCrashes = max(maxCrashes, f.crashes[p])
		}
		AddReportEntry("most upstreams crashed by one content", maxCrashes)
		Expect(maxCrashes).To(Equal(copies+1), "the bound must be reached, otherwise the test could not detect that it is exceeded")
	},
		Entry("one copy, from a caller that waits for each failure", 1),
		Entry("two copies, when two daemons see the first crashes at the same time", 2),
		Entry("three copies at once", 3),
		Entry("five copies at once", 5),
	)

	// Guards the bound when the upstreams share data centre and version, so
	// that the crashes of the copies look as if they had a common cause.
	DescribeTable("is quarantined when all upstreams have one data centre and version", func(copies int) {
		for i := range uint64(80) {
			seed := baseSeed()<<20 + i
			f := newFleet(seed, 6, 40)
			for _, u := range f.upstreams {
				u.dataCentre, u.version = "dc", "v"
			}
			f.poison[p] = true
			harmless := f.traffic(60)
			for c := range copies {
				d := f.daemons[c]
				f.schedule(1500*time.Millisecond+time.Duration(f.rnd.IntN(40))*time.Millisecond, func() { f.send(d, p, f.anyDaemon) })
			}
			f.runFor(time.Minute)
			Expect(f.crashes[p]).To(BeNumerically("<=", copies+1), "seed %d", seed)
			Expect(f.everQuarantined[p]).To(BeTrue(), "seed %d", seed)
			for _, h := range harmless {
				Expect(f.everQuarantined[h]).To(BeFalse(), "seed %d", seed)
				Expect(f.completions[h]).To(Equal(1), "seed %d", seed)
			}
		}
	}, Entry("one copy", 1), Entry("two copies", 2), Entry("four copies", 4))

	// Guards the bound for each side of a partition, here with one copy on each.
	It("crashes at most c+1 upstreams on each side of a partition", func() {
		for i := range uint64(80) {
			seed := baseSeed()<<20 + i
			f := newFleet(seed, 6, 40)
			f.partitioned = func(a, b int) bool { return (a < 3) != (b < 3) }
			f.poison[p] = true
			f.send(f.daemons[0], p, f.anyDaemon)
			f.send(f.daemons[4], p, f.anyDaemon)
			for c := range 20 {
				f.schedule(time.Duration(5+7*c)*time.Second, func() { f.send(f.anyDaemon(), p, f.anyDaemon) })
			}
			f.runFor(4 * time.Minute)
			Expect(f.crashes[p]).To(BeNumerically("<=", 4), "seed %d", seed)
			Expect(f.everQuarantined[p]).To(BeTrue())
		}
	})

	// Guards against confusion of two contents that were in flight at the same first
	// crash, and of a harmless content on trial on an upstream that another one crashes.
	It("is distinguished from a second one, and harmless contents do not stay quarantined", func() {
		q := content("second poison")
		for i := range uint64(120) {
			seed := baseSeed()<<20 + i
			f := newFleet(seed, 6, 40)
			f.poison[p], f.poison[q] = true, true
			harmless := f.traffic(60)
			f.schedule(1500*time.Millisecond, func() { f.send(f.anyDaemon(), p, f.anyDaemon) })
			f.schedule(1500*time.Millisecond+time.Duration(f.rnd.IntN(400))*time.Millisecond, func() { f.send(f.anyDaemon(), q, f.anyDaemon) })
			for c := range 20 {
				f.schedule(time.Duration(5+7*c)*time.Second, func() { f.send(f.anyDaemon(), p, f.anyDaemon) })
				f.schedule(time.Duration(6+7*c)*time.Second, func() { f.send(f.anyDaemon(), q, f.anyDaemon) })
			}
			f.runFor(4 * time.Minute)
			for _, h := range []quarantine.Hash{p, q} {
				Expect(f.everQuarantined[h]).To(BeTrue(), "seed %d", seed)
				Expect(f.crashes[h]).To(BeNumerically("<=", 3), "seed %d", seed)
			}
			for _, h := range harmless {
				for _, d := range f.daemons {
					Expect(d.state.Verdict(f.now, h)).NotTo(Equal(quarantine.Quarantined), "seed %d", seed)
				}
			}
		}
	})
})

var _ = Describe("upstreams that crash for another reason", func() {
	// Guards against harmless contents that are refused because a data centre failed.
	// The content "same" runs on all upstreams at once, as a health check does.
	DescribeTable("lead to no quarantine", func(dc, version func(int) string, lost int) {
		for i := range uint64(50) {
			seed := baseSeed()<<20 + i
			f := newFleet(seed, 4, 24)
			for j, u := range f.upstreams {
				u.dataCentre, u.version = dc(j), version(j)
			}
			harmless := f.traffic(200)
			shared := content("same")
			f.schedule(900*time.Millisecond, func() {
				for j, u := range f.upstreams {
					f.start(u, &run{daemon: f.daemons[j%4], hash: shared, onCrash: func() {}})
				}
			})
			for j := range lost {
				f.schedule(time.Second+time.Duration(f.rnd.IntN(1500))*time.Millisecond, func() { f.crash(f.upstreams[j]) })
			}
			f.runFor(time.Minute)
			Expect(f.everQuarantined).To(BeEmpty(), "seed %d", seed)
			for _, h := range harmless {
				Expect(f.completions[h]).To(Equal(1), "seed %d", seed)
			}
		}
	},
		Entry("one data centre", func(j int) string { return fmt.Sprint(j / 12) }, func(j int) string { return fmt.Sprint("v", j) }, 12),
		Entry("one version", func(j int) string { return fmt.Sprint("dc", j) }, func(j int) string { return fmt.Sprint(j / 12) }, 12),
		Entry("one data centre and version", func(int) string { return "dc" }, func(int) string { return "v" }, 23),
	)

	// Guards against the quarantine of a suspect whose trial ended because the
	// upstream failed together with others of its data centre or version.
	DescribeTable("do not quarantine a suspect that is on trial when they crash together", func(dc, version string) {
		s := quarantine.New(quarantine.Options{})
		h, other := content("suspect"), content("other")
		s.Step(t0, quarantine.UpstreamCrashed{Upstream: "u0", DataCentre: "a", Version: "v0", InFlight: []quarantine.Hash{h}})
		now := t0.Add(time.Minute)
		acts := requestTrial(s, now, h, "u1")
		Expect(acts).To(ContainElement(quarantine.StartTrial{Hash: h, Upstream: "u1"}))
		s.Step(now, quarantine.UpstreamCrashed{Upstream: "u1", DataCentre: "b", Version: "v1", InFlight: []quarantine.Hash{h}})
		Expect(s.Verdict(now, h)).To(Equal(quarantine.Held))
		now = now.Add(time.Second)
		s.Step(now, quarantine.UpstreamCrashed{Upstream: "u2", DataCentre: dc, Version: version, InFlight: []quarantine.Hash{other}})
		now = now.Add(time.Minute)
		s.Step(now, quarantine.Tick{})
		Expect(s.Verdict(now, h)).To(Equal(quarantine.Suspect))
	}, Entry("one data centre", "b", "v2"), Entry("one version", "c", "v1"))

	// Guards against suspects that are forgotten because the requests of a failed
	// data centre fill the entries.
	It("do not evict suspects of other crashes", func() {
		s := quarantine.New(quarantine.Options{MaxEntries: 64})
		old := content("old")
		s.Step(t0, quarantine.UpstreamCrashed{Upstream: "u", DataCentre: "b", Version: "v", InFlight: []quarantine.Hash{old}})
		now := t0.Add(time.Minute)
		for i := range 10 {
			ev := quarantine.UpstreamCrashed{Upstream: fmt.Sprint("u", i), DataCentre: "a", Version: fmt.Sprint(i)}
			for j := range 30 {
				ev.InFlight = append(ev.InFlight, content(fmt.Sprint(i, j)))
			}
			s.Step(now, ev)
		}
		Expect(s.Verdict(now, old)).To(Equal(quarantine.Suspect))
	})

	// Guards against requests of a whole data centre that run on trial, one at a
	// time on each upstream, after the data centre failed.
	It("leave no suspects from the third crash on", func() {
		s := quarantine.New(quarantine.Options{})
		for i := range 6 {
			s.Step(t0, quarantine.UpstreamCrashed{Upstream: fmt.Sprint("u", i), DataCentre: "a", Version: fmt.Sprint(i),
				InFlight: []quarantine.Hash{content(fmt.Sprint(i)), content(fmt.Sprint(i + 100))}})
		}
		Expect(s.Verdicts(t0)).To(BeEmpty())
	})
})

var _ = Describe("verdicts", func() {
	crash := func(u, incarnation string, hs ...quarantine.Hash) quarantine.UpstreamCrashed {
		return quarantine.UpstreamCrashed{Upstream: u, DataCentre: "dc-" + u, Version: "v-" + u, Incarnation: incarnation, InFlight: hs}
	}
	a, b := content("a"), content("b")

	// Guards against two suspects on one upstream: a crash would not show which of
	// them caused it.
	It("allow only one suspect on an upstream at a time", func() {
		s := quarantine.New(quarantine.Options{})
		s.Step(t0, crash("u0", "", a, b))
		Expect(requestTrial(s, t0, a, "u1")).To(ContainElement(BeAssignableToTypeOf(quarantine.StartTrial{})))
		Expect(requestTrial(s, t0, b, "u1")).To(ConsistOf(BeAssignableToTypeOf(quarantine.DeferTrial{})))
		Expect(requestTrial(s, t0, a, "u2")).To(ConsistOf(BeAssignableToTypeOf(quarantine.DeferTrial{})), "a content is on trial only once at a time")
		s.Step(t0, quarantine.Completed{Hash: a})
		Expect(s.Verdict(t0, a)).To(Equal(quarantine.Clear))
		Expect(requestTrial(s, t0.Add(3*time.Second), b, "u1")).To(ContainElement(BeAssignableToTypeOf(quarantine.StartTrial{})))
	})

	It("wait until another daemon's trial has ended or expired", func() {
		s := quarantine.New(quarantine.Options{})
		s.Step(t0, crash("u0", "", a))
		s.Step(t0, quarantine.PeerNotice{Notice: quarantine.TrialNotice{Hash: b, Upstream: "u1", Phase: quarantine.TrialStarted}})
		Expect(requestTrial(s, t0, a, "u1")).To(ConsistOf(BeAssignableToTypeOf(quarantine.DeferTrial{})))
		Expect(requestTrial(s, t0.Add(3*time.Minute), a, "u1")).To(ContainElement(BeAssignableToTypeOf(quarantine.StartTrial{})))
	})

	// Guards against the quarantine of one of two suspects that two daemons put on
	// one upstream without knowing of each other.
	DescribeTable("quarantine neither of two suspects that ran on one upstream", func(beforeVerdict bool) {
		x, y := quarantine.New(quarantine.Options{}), quarantine.New(quarantine.Options{})
		var fromX, fromY []quarantine.Notice
		stepX := func(now time.Time, ev quarantine.Event) { fromX = append(fromX, notices(x.Step(now, ev))...) }
		stepY := func(now time.Time, ev quarantine.Event) { fromY = append(fromY, notices(y.Step(now, ev))...) }
		stepX(t0, crash("u0", "", a))
		stepY(t0, crash("u9", "", b))
		now := t0.Add(time.Minute)
		for range 2 {
			stepX(now, quarantine.TrialRequested{Hash: a, Candidates: []string{"u1"}})
			stepY(now, quarantine.TrialRequested{Hash: b, Candidates: []string{"u1"}})
			now = now.Add(100 * time.Millisecond)
		}
		stepX(now, crash("u1", "7", a))
		stepY(now, crash("u1", "7", b))
		exchange := func() {
			for _, n := range fromX {
				y.Step(now, quarantine.PeerNotice{Notice: n})
			}
			for _, n := range fromY {
				x.Step(now, quarantine.PeerNotice{Notice: n})
			}
			fromX, fromY = nil, nil
		}
		if beforeVerdict {
			exchange()
		}
		now = now.Add(5 * time.Second)
		stepX(now, quarantine.Tick{})
		stepY(now, quarantine.Tick{})
		exchange()
		for _, s := range []*quarantine.State{x, y} {
			for _, h := range []quarantine.Hash{a, b} {
				Expect(s.Verdict(now, h)).To(Equal(quarantine.Suspect))
			}
		}
	}, Entry("reports arrive before the verdict", true), Entry("reports arrive after the verdict, because of a partition", false))

	// Guards against a harmless content that stays quarantined because another
	// content crashed the upstream of its trial.
	It("are lifted when another content that was in flight at the crash is quarantined", func() {
		s := quarantine.New(quarantine.Options{})
		s.Step(t0, crash("u0", "", a))
		now := t0.Add(time.Minute)
		requestTrial(s, now, a, "u1")
		s.Step(now, crash("u1", "", a, b))
		now = now.Add(time.Minute)
		s.Step(now, quarantine.Tick{})
		Expect(s.Verdict(now, a)).To(Equal(quarantine.Quarantined))
		requestTrial(s, now, b, "u2")
		s.Step(now, crash("u2", "", b))
		now = now.Add(time.Minute)
		s.Step(now, quarantine.Tick{})
		Expect(s.Verdict(now, b)).To(Equal(quarantine.Quarantined))
		Expect(s.Verdict(now, a)).To(Equal(quarantine.Suspect))
	})

	// Guards against the quarantine of a harmless content whose trial shared the
	// upstream with the first continuation of the content that crashed it, because
	// that continuation runs without a trial.
	It("do not quarantine a suspect if a content of another crash ran beside it without a trial", func() {
		s := quarantine.New(quarantine.Options{})
		s.Step(t0, crash("u0", "", a, b))
		now := t0.Add(time.Minute)
		requestTrial(s, now, a, "u1")
		s.Step(now, crash("u1", "", a, b))
		now = now.Add(time.Minute)
		s.Step(now, quarantine.Tick{})
		Expect(s.Verdict(now, a)).To(Equal(quarantine.Suspect))
	})

	// Guards against a peer's notice of an older completion that clears a newer
	// suspicion.
	It("of peers clear a suspect only of crashes that the peer knew", func() {
		s := quarantine.New(quarantine.Options{})
		peer := quarantine.New(quarantine.Options{})
		for _, n := range notices(s.Step(t0, crash("u0", "", a))) {
			peer.Step(t0, quarantine.PeerNotice{Notice: n})
		}
		cleared := notices(peer.Step(t0, quarantine.Completed{Hash: a}))
		s.Step(t0, crash("u1", "", a))
		for _, n := range cleared {
			s.Step(t0, quarantine.PeerNotice{Notice: n})
		}
		Expect(s.Verdict(t0, a)).To(Equal(quarantine.Suspect))
	})

	It("expire after a time that starts again when the content is sent again", func() {
		s := quarantine.New(quarantine.Options{})
		s.Step(t0, quarantine.PeerNotice{Notice: quarantine.QuarantineNotice{Hash: a, Crash: 1}})
		s.Step(t0.Add(50*time.Minute), quarantine.Refused{Hash: a})
		Expect(s.Verdict(t0.Add(100*time.Minute), a)).To(Equal(quarantine.Quarantined))
		Expect(s.Verdict(t0.Add(111*time.Minute), a)).To(Equal(quarantine.Clear))
	})

	It("are sent to a daemon that joins", func() {
		s := quarantine.New(quarantine.Options{})
		s.Step(t0, quarantine.PeerNotice{Notice: quarantine.QuarantineNotice{Hash: a, Crash: 1}})
		Expect(notices(s.Step(t0, quarantine.PeerUp{}))).To(ConsistOf(quarantine.QuarantineNotice{Hash: a, Crash: 1}))
	})
})

// requestTrial asks for a trial twice, 100 ms apart, so that the first request
// reserves an upstream and the second starts the trial. It returns the actions of the
// second.
func requestTrial(s *quarantine.State, now time.Time, h quarantine.Hash, candidates ...string) []quarantine.Action {
	ev := quarantine.TrialRequested{Hash: h, Candidates: candidates}
	s.Step(now, ev)
	return s.Step(now.Add(100*time.Millisecond), ev)
}

func notices(acts []quarantine.Action) []quarantine.Notice {
	var out []quarantine.Notice
	for _, a := range acts {
		if n, ok := a.(quarantine.Notify); ok {
			out = append(out, n.Notice)
		}
	}
	return out
}

var _ = Describe("memory", func() {
	// Guards the bound MaxBytes under many crashes and trials.
	It("stays below MaxBytes", func() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := quarantine.New(quarantine.Options{})
		now, n := t0, 0
		for i := range 500 {
			// Each iteration is a separate crash.
			now = now.Add(time.Second)
			ev := quarantine.UpstreamCrashed{Upstream: fmt.Sprint("u", i), DataCentre: fmt.Sprint("dc", i), Version: fmt.Sprint("v", i)}
			for range 400 {
				n++
				ev.InFlight = append(ev.InFlight, content(fmt.Sprint(n)))
			}
			s.Step(now, ev)
		}
		flood := quarantine.CrashNotice{Upstream: "u", DataCentre: "dc", Version: "v"}
		for range 100_000 {
			n++
			flood.InFlight = append(flood.InFlight, content(fmt.Sprint(n)))
		}
		s.Step(now, quarantine.PeerNotice{Notice: flood})
		flood.InFlight = nil
		for range 6000 {
			n++
			s.Step(now, quarantine.PeerNotice{Notice: quarantine.TrialNotice{Hash: content(fmt.Sprint(n)), Upstream: fmt.Sprint("t", n), Phase: quarantine.TrialStarted}})
		}
		Expect(len(s.Verdicts(now))).To(BeNumerically("<=", 4096))
		Expect(len(s.Verdicts(now))).To(BeNumerically(">", 3000))
		runtime.GC()
		runtime.ReadMemStats(&after)
		used := int64(after.HeapAlloc) - int64(before.HeapAlloc)
		AddReportEntry("bytes", used)
		Expect(used).To(BeNumerically("<", quarantine.MaxBytes))
		runtime.KeepAlive(s)
	})
})
