package inflight_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/inflight"
)

func TestInFlight(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "inflight")
}

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

const memory = 1 << 20

var _ = Describe("Limiter", func() {
	It("sets no limit while the memory is unknown", func() {
		l := inflight.New(0)
		Expect(l.Acquire(start, 1<<40)).To(BeTrue())
	})

	// Guards against a daemon that uses all memory that the report shows as free,
	// although the other daemons see the same report.
	It("grows by its part of the free budget", func() {
		l := inflight.New(memory)
		l.SetDaemons(4)
		l.Observe(start, inflight.Report{HeldBytes: 0, MemoryBytes: memory})
		limit, _ := l.Limit(start)
		Expect(limit).To(BeNumerically("~", 0.6*memory/4, 1))
	})

	// Guards against growth based on an outdated report.
	It("limits a daemon to its part of the floor without fresh reports", func() {
		l := inflight.New(memory)
		l.SetDaemons(4)
		l.Observe(start, inflight.Report{MemoryBytes: memory})
		limit, _ := l.Limit(start.Add(inflight.MaxReportAge + 1))
		Expect(limit).To(BeNumerically("~", 0.2*memory/4, 1))
	})

	// Guards against an upstream that fails because the requests in flight exceed its
	// memory, with lagging, lost and stopped reports and uneven load.
	It("never lets all daemons together exceed the memory", func() {
		for seed := uint64(1); seed <= 60; seed++ {
			peak := simulatePeakHeld(seed)
			Expect(peak).To(BeNumerically("<=", memory), "seed %d", seed)
		}
	})

	// Guards against a limit that is safe only because it admits hardly any request.
	It("lets steady load use at least half of the memory", func() {
		var total float64
		for seed := uint64(1); seed <= 10; seed++ {
			total += float64(meanHeldUnderSteadyLoad(seed)) / memory
		}
		Expect(total / 10).To(BeNumerically(">=", 0.5))
	})
})

type job struct {
	daemon int
	bytes  int64
	until  time.Time
}

// release ends the jobs that are due and returns the remaining jobs and the bytes
// that they hold.
func release(now time.Time, jobs []job, held int64, limiters []*inflight.Limiter) ([]job, int64) {
	kept := jobs[:0]
	for _, j := range jobs {
		if now.Before(j.until) {
			kept = append(kept, j)
			continue
		}
		held -= j.bytes
		limiters[j.daemon].Release(now, j.bytes)
	}
	return kept, held
}

// simulatePeakHeld simulates 60 s of virtual time with faults and returns the peak of
// the bytes in flight.
func simulatePeakHeld(seed uint64) int64 {
	rnd := rand.New(rand.NewPCG(seed, 0))
	n := 2 + rnd.IntN(8)
	limiters := make([]*inflight.Limiter, n)
	lossRates := make([]float64, n)
	for i := range limiters {
		limiters[i] = inflight.New(memory)
		limiters[i].SetDaemons(n)
		lossRates[i] = rnd.Float64() * 0.8
	}
	stopped := start.Add(time.Duration(10+rnd.IntN(40)) * time.Second)
	resumed := stopped.Add(time.Duration(rnd.IntN(15)) * time.Second)
	lag := time.Duration(rnd.IntN(2000)) * time.Millisecond
	var jobs []job
	var held, peak int64
	type past struct {
		at   time.Time
		held int64
	}
	var history []past
	for step := range 6000 {
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		jobs, held = release(now, jobs, held, limiters)
		busiest := (step / 500) % n // most load arrives at one daemon, another one every 5 s
		for range 4 {
			d := busiest
			if rnd.IntN(3) == 0 {
				d = rnd.IntN(n)
			}
			bytes := int64(1000 + rnd.IntN(4000))
			if limiters[d].Acquire(now, bytes) {
				jobs = append(jobs, job{d, bytes, now.Add(time.Duration(200+rnd.IntN(8000)) * time.Millisecond)})
				held += bytes
			}
		}
		peak = max(peak, held)
		history = append(history, past{now, held})
		if step%50 != 0 || (now.After(stopped) && now.Before(resumed)) {
			continue
		}
		var reported int64
		for _, p := range history {
			if now.Sub(p.at) >= lag {
				reported = p.held
			}
		}
		for i, l := range limiters {
			if rnd.Float64() >= lossRates[i] {
				l.Observe(now, inflight.Report{HeldBytes: reported, MemoryBytes: memory})
			}
		}
	}
	return peak
}

// meanHeldUnderSteadyLoad returns the mean bytes in flight under a load that demands
// more than fits.
func meanHeldUnderSteadyLoad(seed uint64) int64 {
	rnd := rand.New(rand.NewPCG(seed, 1))
	const n = 9
	limiters := make([]*inflight.Limiter, n)
	for i := range limiters {
		limiters[i] = inflight.New(memory)
		limiters[i].SetDaemons(n)
	}
	var jobs []job
	var held, sum int64
	for step := range 3000 {
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		jobs, held = release(now, jobs, held, limiters)
		for d := range limiters {
			if limiters[d].Acquire(now, 2000) {
				jobs = append(jobs, job{d, 2000, now.Add(time.Duration(500+rnd.IntN(2000)) * time.Millisecond)})
				held += 2000
			}
		}
		if step%50 == 0 {
			for _, l := range limiters {
				l.Observe(now, inflight.Report{HeldBytes: held, MemoryBytes: memory})
			}
		}
		if step >= 1000 {
			sum += held
		}
	}
	return sum / 2000
}
