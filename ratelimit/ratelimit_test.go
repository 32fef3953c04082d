package ratelimit_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/ratelimit"
)

func TestRateLimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ratelimit")
}

var start = time.Date(2026, 12, 6, 9, 0, 0, 0, time.UTC)

// tick is the step of the simulated time.
const tick = 50 * time.Millisecond

// daemon is one of a simulated fleet.
type daemon struct {
	limiter *ratelimit.Limiter
	// skew is how far the daemon's clock is wrong.
	skew time.Duration
	// jump is added to the skew in the middle of the simulation.
	jump time.Duration
	// wants returns how many requests the daemon would send in a tick.
	wants func(at time.Duration) int
}

// simulate returns the times at which requests are sent.
func simulate(rnd *rand.Rand, fleet []*daemon, length time.Duration) []time.Duration {
	var sent []time.Duration
	for at := time.Duration(0); at < length; at += tick {
		for _, i := range rnd.Perm(len(fleet)) {
			d := fleet[i]
			now := start.Add(at + d.skew)
			if at > length/2 {
				now = now.Add(d.jump)
			}
			for range d.wants(at) {
				if _, ok := d.limiter.Reserve(now, now); !ok {
					break
				}
				sent = append(sent, at)
			}
		}
	}
	return sent
}

// mostInWindow returns the largest number of times in any window.
func mostInWindow(times []time.Duration) int {
	slices.Sort(times)
	most, first := 0, 0
	for i, at := range times {
		for at-times[first] > ratelimit.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// newFleet returns daemons that always have a request.
func newFleet(limit float64, n int) []*daemon {
	fleet := make([]*daemon, n)
	for i := range fleet {
		fleet[i] = &daemon{
			limiter: ratelimit.New(limit, ratelimit.Fleet{Daemons: n, Index: i}, start, start),
			wants:   func(time.Duration) int { return 3 },
		}
	}
	return fleet
}

// usableShare is the least part of the limit that the design leaves to a fleet whose
// daemons all have requests: with slots three quarters of the limit, which is rounded down to a
// step of 1.12 before; with equal rates, the rate at which
// one request of each daemon and the rest of 4.5 s fit into what is allowed.
func usableShare(limit float64, n int) float64 {
	if equal := (ratelimit.Allowed(limit) - float64(n)) / 4.5 / limit; equal >= 0.4 {
		return min(equal, 1)
	}
	return 0.75 / 1.12
}

var _ = Describe("Limiter", func() {
	sizes := []int{1, 6, 9, 81, 295}
	limits := []float64{0.5, 1, 2, 7.5, 20}
	forAll := func(check func(limit float64, n int, what string)) {
		for _, n := range sizes {
			for _, limit := range limits {
				check(limit, n, fmt.Sprintf("%d daemons, limit %v", n, limit))
			}
		}
	}

	// Guards against a fleet that sends many times the limit because each daemon keeps to
	// all of it, and against one that leaves most of it unused under load.
	It("keeps the fleet within the limit in any window, and uses its share, when all daemons always have requests", func() {
		forAll(func(limit float64, n int, what string) {
			length := 100 * time.Second
			sent := simulate(rand.New(rand.NewPCG(1, 2)), newFleet(limit, n), length)
			Expect(mostInWindow(sent)).To(BeNumerically("<=", ratelimit.Allowed(limit)), what)
			// Some daemons have their turn just after the end: a request for each of them.
			usable := usableShare(limit, n)*limit*length.Seconds() - min(float64(n), 4)
			Expect(float64(len(sent))).To(BeNumerically(">=", usable*0.97), what)
		})
	})

	// Guards against windows that begin before the limit and the fleet's requests at one
	// moment, as in a burst, after which all permits are saved.
	It("keeps the limit when all daemons want to send at the same moments", func() {
		for _, pause := range []time.Duration{3 * time.Second, 7 * time.Second, 20 * time.Second} {
			forAll(func(limit float64, n int, what string) {
				fleet := newFleet(limit, n)
				for _, d := range fleet {
					d.wants = func(at time.Duration) int {
						if at%pause < 500*time.Millisecond {
							return 5
						}
						return 0
					}
				}
				sent := simulate(rand.New(rand.NewPCG(3, 4)), fleet, 100*time.Second)
				Expect(mostInWindow(sent)).To(BeNumerically("<=", ratelimit.Allowed(limit)), what)
			})
		}
	})

	// Guards against daemons that take turns by a clock, of which some are wrong from their
	// start or jump, and against a slot that is used twice then.
	It("keeps the limit when clocks are wrong or jump", func() {
		for seed := range uint64(4) {
			forAll(func(limit float64, n int, what string) {
				rnd := rand.New(rand.NewPCG(seed, 5))
				fleet := newFleet(limit, n)
				for i, d := range fleet {
					if rnd.Float64() < 0.3 {
						d.skew = time.Duration((rnd.Float64()*2 - 1) * float64(30*time.Second))
						d.jump = time.Duration((rnd.Float64()*2 - 1) * float64(5*time.Second))
						d.limiter = ratelimit.New(limit, ratelimit.Fleet{Daemons: n, Index: i}, start.Add(d.skew), start.Add(d.skew))
					}
				}
				sent := simulate(rnd, fleet, 40*time.Second)
				Expect(mostInWindow(sent)).To(BeNumerically("<=", ratelimit.Allowed(limit)), "%s, seed %d", what, seed)
			})
		}
	})

	// Guards against daemons whose lists of the fleet differ for a time: their slots fall
	// anywhere.
	It("keeps the limit when large fleets see a few daemons more or less", func() {
		for seed := range uint64(4) {
			for _, n := range []int{81, 295} {
				for _, limit := range limits {
					rnd := rand.New(rand.NewPCG(seed, 6))
					fleet := newFleet(limit, n)
					for i, d := range fleet {
						if rnd.Float64() < 0.3 {
							other := ratelimit.Fleet{Daemons: n - rnd.IntN(4), Index: max(i-rnd.IntN(4), 0)}
							d.limiter = ratelimit.New(limit, other, start, start)
						}
					}
					sent := simulate(rnd, fleet, 40*time.Second)
					Expect(mostInWindow(sent)).To(BeNumerically("<=", ratelimit.Allowed(limit)), "%d daemons, limit %v, seed %d", n, limit, seed)
				}
			}
		}
	})

	// Guards against permits that come anew with each change.
	It("keeps the larger limit while the limit and the fleet change all the time", func() {
		forAll(func(limit float64, n int, what string) {
			fleet := newFleet(limit, n)
			rnd := rand.New(rand.NewPCG(7, 8))
			var sent []time.Duration
			for at := time.Duration(0); at < 60*time.Second; at += tick {
				now := start.Add(at)
				changed := int(at/(500*time.Millisecond)) % 2
				for i, d := range fleet {
					d.limiter.Set(limit/float64(1+changed), ratelimit.Fleet{Daemons: n + changed, Index: i}, now)
				}
				for _, i := range rnd.Perm(n) {
					if _, ok := fleet[i].limiter.Reserve(now, now); ok {
						sent = append(sent, at)
					}
				}
			}
			Expect(mostInWindow(sent)).To(BeNumerically("<=", ratelimit.Allowed(limit)), what)
		})
	})

	// Guards against slots that move with each answer, because upstreams name the limit that
	// they measure at the moment.
	It("keeps the limit when each daemon hears slightly different limits", func() {
		for _, n := range []int{40, 81, 295} {
			for _, limit := range []float64{1, 2, 8} {
				for seed := range uint64(3) {
					fleet := newFleet(limit, n)
					rnd := rand.New(rand.NewPCG(seed, 9))
					var sent []time.Duration
					for at := time.Duration(0); at < 40*time.Second; at += tick {
						for _, i := range rnd.Perm(n) {
							if rnd.IntN(20) == 0 {
								fleet[i].limiter.Set(limit*(0.97+0.03*rnd.Float64()), ratelimit.Fleet{Daemons: n, Index: i}, start.Add(at))
							}
							if _, ok := fleet[i].limiter.Reserve(start.Add(at), start.Add(at)); ok {
								sent = append(sent, at)
							}
						}
					}
					Expect(mostInWindow(sent)).To(BeNumerically("<=", ratelimit.Allowed(limit)), "%d daemons, limit %v, seed %d", n, limit, seed)
				}
			}
		}
	})

	// Guards against a limit that is kept only on the average: a daemon has all the requests.
	It("gives a daemon its part whatever the others send", func() {
		forAll(func(limit float64, n int, what string) {
			fleet := newFleet(limit, n)
			for _, d := range fleet[1:] {
				d.wants = func(time.Duration) int { return 0 }
			}
			length := 200 * time.Second
			sent := simulate(rand.New(rand.NewPCG(9, 10)), fleet, length)
			Expect(mostInWindow(sent)).To(BeNumerically("<=", ratelimit.Allowed(limit)), what)
			Expect(float64(len(sent))).To(BeNumerically(">=", math.Floor(0.97*usableShare(limit, n)*limit*length.Seconds()/float64(n))), what)
		})
	})

	// Guards against requests that wait for the same permit.
	It("gives each request that waits a permit of its own", func() {
		forAll(func(limit float64, n int, what string) {
			var reserved []time.Duration
			l := ratelimit.New(limit, ratelimit.Fleet{Daemons: n, Index: n / 2}, start, start)
			for range 200 {
				at, ok := l.Reserve(start, start.Add(time.Hour))
				if !ok {
					break
				}
				reserved = append(reserved, at.Sub(start))
			}
			Expect(slices.IsSorted(reserved)).To(BeTrue(), what)
			if n > 1 {
				Expect(len(slices.Compact(slices.Clone(reserved)))).To(BeNumerically(">=", len(reserved)-int(ratelimit.Allowed(limit))/n), what)
			}
			Expect(float64(mostInWindow(reserved)*n)).To(BeNumerically("<=", max(ratelimit.Allowed(limit), float64(n))), what)
			_, ok := l.Reserve(start, start)
			Expect(ok).To(BeFalse(), what)
		})
	})

	// Guards against an upstream that gets nothing for minutes, because the clients for which
	// its permits were reserved have left.
	It("gives a permit again that was not used, if no other was taken since", func() {
		forAll(func(limit float64, n int, what string) {
			l := newFleet(limit, n)[0].limiter
			first, ok := l.Reserve(start, start.Add(time.Hour))
			Expect(ok).To(BeTrue())
			second, ok := l.Reserve(start, start.Add(time.Hour))
			Expect(ok).To(BeTrue())
			if !first.Equal(second) { // else both are for the same moment
				l.Cancel(first)
				Expect(l.Next(start)).NotTo(Equal(second), what)
			}
			l.Cancel(second)
			Expect(l.Next(start)).To(Equal(second), what)
			l.Cancel(second)
			Expect(l.Next(start)).To(Equal(second), what)
		})
	})

	// Guards against an upstream that takes nothing, and of which no daemon learns that it
	// takes requests again.
	It("asks an upstream with a limit of zero again, seldom", func() {
		for _, n := range sizes {
			sent := simulate(rand.New(rand.NewPCG(11, 12)), newFleet(0, n), 200*time.Second)
			Expect(len(sent)).To(BeNumerically(">", 5), "%d daemons", n)
			Expect(mostInWindow(sent)).To(BeNumerically("<=", ratelimit.Allowed(0)), "%d daemons", n)
		}
	})

	// Guards against a daemon of a large fleet that asks an engine for its load, hears of a
	// limit, and looks for another engine again and again.
	It("permits the request for which an upstream was asked, once", func() {
		for i := range 295 {
			l := ratelimit.New(1, ratelimit.Fleet{Daemons: 295, Index: i}, start, start)
			l.PermitFirst(start)
			_, ok := l.Reserve(start.Add(60*time.Millisecond), start.Add(60*time.Millisecond))
			Expect(ok).To(BeTrue())
			Expect(l.Next(start.Add(70 * time.Millisecond))).To(BeTemporally(">", start.Add(5*time.Second)))
		}
	})

	// Guards against permits that the users' bound counts: from half a second after a daemon
	// heard of the limit.
	It("keeps the limit although all daemons were asked for at the start", func() {
		forAll(func(limit float64, n int, what string) {
			fleet := newFleet(limit, n)
			for _, d := range fleet {
				d.limiter.PermitFirst(start)
			}
			sent := simulate(rand.New(rand.NewPCG(13, 14)), fleet, 60*time.Second)
			if n > 100 {
				Expect(len(sent)).To(BeNumerically(">=", n), what)
			}
			sent = slices.DeleteFunc(sent, func(at time.Duration) bool { return at < 500*time.Millisecond })
			Expect(mostInWindow(sent)).To(BeNumerically("<=", ratelimit.Allowed(limit)), what)
		})
	})

	// Guards against a daemon that goes silent for minutes because it used much of a limit
	// that then fell.
	It("goes on within 5 s after a fall of the limit", func() {
		l := ratelimit.New(20, ratelimit.Fleet{Daemons: 1}, start, start)
		for ok := true; ok; {
			_, ok = l.Reserve(start, start)
		}
		l.Set(0.5, ratelimit.Fleet{Daemons: 1}, start)
		Expect(l.Next(start)).To(BeTemporally("<=", start.Add(5*time.Second)))
	})

	It("takes any limit", func() {
		for _, limit := range []float64{0, 1e-300, 0.1, 1e6, 1e300, math.MaxFloat64} {
			for _, n := range sizes {
				l := ratelimit.New(limit, ratelimit.Fleet{Daemons: n}, start, start)
				at, ok := l.Reserve(start, start.Add(24*time.Hour))
				Expect(ok).To(BeTrue())
				Expect(at).To(BeTemporally(">=", start))
				Expect(l.Next(at)).To(BeTemporally(">=", at))
			}
		}
	})
})
