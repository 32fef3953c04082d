package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/quarantine"
)

func part(name string) quarantine.Hash { return quarantine.HashOf("llm", name, nil) }

func partsOf(names ...string) []quarantine.Hash {
	var out []quarantine.Hash
	for _, n := range names {
		out = append(out, part(n))
	}
	return out
}

// partFleet simulates daemons that share their reports through the store, and
// upstreams that crash when they begin to answer a request with the crashing part.
type partFleet struct {
	logs []*quarantine.PartLog
	now  time.Time
	rnd  *rand.Rand
	// due holds what happens at later times.
	due []partEvent
	// crashes holds when upstreams crashed under the crashing part, sentLate counts the
	// requests with it that were sent later than sentLateAfter after the fifth crash.
	crashes  []time.Time
	sentLate int
	// soundSent and soundRefused count the sound requests that share their first part
	// with the crashing ones, and those of them that were refused.
	soundSent, soundRefused int
	upstreams               int
}

type partEvent struct {
	at time.Time
	do func()
}

const (
	reportDelay   = 500 * time.Millisecond
	sentLateAfter = 3 * time.Second
	crashingPart  = "crashing"
	sharedPart    = "shared"
)

func newPartFleet(daemons int, seed uint64) *partFleet {
	f := &partFleet{now: time.Date(2026, 12, 5, 9, 0, 0, 0, time.UTC), rnd: rand.New(rand.NewPCG(seed, 7))}
	for range daemons {
		f.logs = append(f.logs, quarantine.NewPartLog(quarantine.PartLogOptions{}))
	}
	return f
}

func (f *partFleet) after(d time.Duration, do func()) {
	f.due = append(f.due, partEvent{f.now.Add(d), do})
}

// run advances the time by d. every is called every 10 ms.
func (f *partFleet) run(d time.Duration, every func()) {
	end := f.now.Add(d)
	for step := 0; f.now.Before(end); step++ {
		f.now = f.now.Add(10 * time.Millisecond)
		due := f.due
		f.due = nil
		for _, e := range due {
			if f.now.Before(e.at) {
				f.due = append(f.due, e)
			} else {
				e.do()
			}
		}
		every()
		if step%20 == 0 {
			f.publish()
		}
	}
}

func (f *partFleet) publish() {
	for i, l := range f.logs {
		r, ok := l.Due(f.now)
		if !ok {
			continue
		}
		l.Published(true, f.now)
		f.after(reportDelay, func() {
			for j, other := range f.logs {
				if j != i {
					other.Merge(fmt.Sprint("d", i), r, f.now)
				}
			}
		})
	}
}

// send sends a request with these parts at a daemon, and again after a crash, up to
// the given number of attempts.
func (f *partFleet) send(daemon int, attempts int, names ...string) {
	l, parts := f.logs[daemon], partsOf(names...)
	crashing, sharesFirst := false, false
	for _, n := range names {
		crashing = crashing || n == crashingPart
		sharesFirst = sharesFirst || n == sharedPart
	}
	if !crashing && sharesFirst {
		f.soundSent++
	}
	if left, _ := l.Quarantined(parts, f.now); left > 0 {
		if !crashing && sharesFirst {
			f.soundRefused++
		}
		return
	}
	if crashing && len(f.crashes) >= 5 && f.now.Sub(f.crashes[4]) > sentLateAfter {
		f.sentLate++
	}
	f.upstreams++
	id := fmt.Sprint("u", f.upstreams)
	f.after(time.Duration(800+f.rnd.IntN(1000))*time.Millisecond, func() {
		if !crashing {
			l.Answered(parts, f.now)
			return
		}
		f.crashes = append(f.crashes, f.now)
		l.Crashed(id, parts, f.now)
		if f.rnd.IntN(3) == 0 {
			// Another daemon's request was about to begin at the same upstream.
			other := f.rnd.IntN(len(f.logs))
			f.logs[other].Crashed(id, partsOf(fmt.Sprint("victim", f.upstreams)), f.now)
		}
		if attempts > 1 {
			f.send(daemon, attempts-1, names...)
		}
	})
}

var _ = Describe("PartLog", func() {
	now := time.Date(2026, 12, 5, 9, 0, 0, 0, time.UTC)
	var l *quarantine.PartLog
	BeforeEach(func() { l = quarantine.NewPartLog(quarantine.PartLogOptions{}) })
	held := func(at time.Time, names ...string) bool {
		left, _ := l.Quarantined(partsOf(names...), at)
		return left > 0
	}

	// Guards against requests that differ in everything but one part of their prompts
	// and crash one upstream after the other, and against callers that are refused
	// because they share an account or another part with them.
	DescribeTable("stops requests with a part that crashes upstreams, and no others",
		func(daemons int, crashingPerSecond, soundPerSecond float64) {
			for seed := range uint64(30) {
				f := newPartFleet(daemons, seed)
				f.run(30*time.Second, func() {
					if f.rnd.Float64() < crashingPerSecond/100 {
						f.send(f.rnd.IntN(daemons), 3, sharedPart, crashingPart)
					}
					if f.rnd.Float64() < soundPerSecond/100 {
						f.send(f.rnd.IntN(daemons), 3, sharedPart, fmt.Sprint("other", f.rnd.IntN(20)))
					}
				})
				Expect(f.sentLate).To(BeNumerically("<=", 3), "seed %d: %d crashes", seed, len(f.crashes))
				Expect(f.soundRefused).To(BeZero(), "seed %d: of %d sound requests", seed, f.soundSent)
			}
		},
		Entry("few requests", 9, 0.2, 0.5),
		Entry("many requests", 9, 3.0, 1.0),
		Entry("many daemons", 77, 2.0, 4.0),
		Entry("no sound request that shares a part", 6, 0.5, 0.0),
	)

	// Guards against parts that are refused because many upstreams with requests of a
	// popular new part went down together.
	It("blames no part for a fault that takes several upstreams down at once", func() {
		for i := range 6 {
			l.Crashed(fmt.Sprint("u", i), partsOf("popular"), now.Add(time.Duration(i)*50*time.Millisecond))
		}
		Expect(held(now.Add(time.Second), "popular")).To(BeFalse())
		l.Crashed("u9", partsOf("popular"), now.Add(2*time.Second))
		Expect(held(now.Add(3*time.Second), "popular")).To(BeTrue())
	})

	// Guards against a part that is refused although upstreams answer under it, here
	// or at another daemon.
	It("clears a part under which an upstream answers", func() {
		for i := range 3 {
			l.Crashed(fmt.Sprint("u", i), partsOf("a", "b"), now.Add(time.Duration(i)*time.Second))
		}
		at := now.Add(4 * time.Second)
		Expect(held(at, "a", "b")).To(BeTrue())
		Expect(held(at, "a", "c")).To(BeFalse(), "a may be innocent, and the request does not have b")
		l.Answered(partsOf("a"), at)
		Expect(held(at, "b", "c")).To(BeTrue(), "only b is left")
		l.Merge("peer", quarantine.PartReport{Sound: partsOf("b")}, at)
		Expect(held(at, "a", "b")).To(BeFalse())
	})

	// Guards against a part that was sound until a new version came, and is never found.
	It("does not count answers before the first crash", func() {
		l.Answered(partsOf("a"), now.Add(-time.Second))
		for i := range 3 {
			l.Crashed(fmt.Sprint("u", i), partsOf("a"), now.Add(time.Duration(i)*time.Second))
		}
		Expect(held(now.Add(3*time.Second), "a")).To(BeTrue())
	})

	// Guards against upstreams that are counted twice because two daemons lost a
	// request at the same crash.
	It("counts each crashed upstream once, whoever saw it", func() {
		for i := range 2 {
			at := now.Add(time.Duration(i) * time.Second)
			l.Crashed(fmt.Sprint("u", i), partsOf("a"), at)
			l.Merge(fmt.Sprint("peer", i), quarantine.PartReport{Crashes: []quarantine.PartCrash{{Upstream: fmt.Sprint("u", i), Parts: partsOf("a")}}}, at)
		}
		Expect(held(now.Add(2*time.Second), "a")).To(BeFalse())
		l.Merge("peer", quarantine.PartReport{Crashes: []quarantine.PartCrash{{Upstream: "u2", Parts: partsOf("a"), AgeMs: 400}}}, now.Add(2*time.Second))
		Expect(held(now.Add(2*time.Second), "a")).To(BeTrue())
	})

	// Guards against a rolling restart of the daemons that forgets the crashes, so that
	// requests with the part crash as many upstreams again.
	It("goes on with the crashes that it published before a restart", func() {
		for i := range 3 {
			l.Crashed(fmt.Sprint("u", i), partsOf("a"), now.Add(time.Duration(i)*time.Second))
		}
		r, due := l.Due(now.Add(3 * time.Second))
		Expect(due).To(BeTrue())
		l = quarantine.NewPartLog(quarantine.PartLogOptions{})
		l.Resume(r, now.Add(4*time.Second))
		Expect(held(now.Add(5*time.Second), "a")).To(BeTrue())
		l.Crashed("u9", partsOf("b"), now.Add(6*time.Second))
		r, _ = l.Due(now.Add(7 * time.Second))
		Expect(r.Crashes).To(HaveLen(4))
	})

	// Guards against a part that is never found because upstreams start again under the
	// IDs that they had, in a service with few of them.
	It("counts an upstream again that crashes again", func() {
		for i := range 3 {
			l.Crashed(fmt.Sprint("u", i%2), partsOf("a"), now.Add(time.Duration(i)*time.Second))
		}
		Expect(held(now.Add(3*time.Second), "a")).To(BeTrue())
	})

	// Guards against memory and store entries that grow with each crash, and against
	// a part that is refused for ever.
	It("stays within its bounds and forgets a part after a time", func() {
		for i := range 500 {
			l.Crashed(fmt.Sprint("u", i), partsOf("a", fmt.Sprint("p", i)), now.Add(time.Duration(i)*time.Millisecond))
		}
		for i := range 10000 {
			l.Answered(partsOf(fmt.Sprint("s", i)), now.Add(time.Duration(i)*time.Millisecond))
		}
		r, due := l.Due(now.Add(time.Second))
		Expect(due).To(BeTrue())
		Expect(r.Crashes).To(HaveLen(64))
		_, due = l.Due(now.Add(2 * time.Second))
		Expect(due).To(BeFalse(), "nothing changed")
		Expect(held(now.Add(11*time.Minute), "a")).To(BeFalse())
	})
})
