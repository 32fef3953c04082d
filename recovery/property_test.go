package recovery_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gooseberryroad/gooseberryroad/recovery"
)

// The seed is fixed so that the verdict does not vary; -rapid.seed overrides
// it.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

// fault is a fault that the simulation can inject.
type fault struct {
	name string
	run  func(s *sim, e *simEngine)
}

var faults = []fault{
	{"crash", (*sim).crash},
	{"vanish", (*sim).vanish},
	{"short pause", func(s *sim, e *simEngine) { s.pause(e, 300*time.Millisecond) }},
	{"long pause", func(s *sim, e *simEngine) { s.pause(e, 6*time.Second) }},
	{"restart", (*sim).restart},
	{"silent connections", func(s *sim, _ *simEngine) { s.mute() }},
	{"broken connections", func(s *sim, _ *simEngine) { s.breakConns() }},
	{"paused daemon", func(s *sim, _ *simEngine) { s.pauseDaemon(2 * time.Second) }},
	{"overload", func(s *sim, e *simEngine) { e.busy = true; s.after(3*time.Second, func() { e.busy = false }) }},
	{"dead report", func(s *sim, e *simEngine) {
		s.step(recovery.UpstreamState{Upstream: e.name, State: recovery.StateDead})
	}},
	{"leaving report", func(s *sim, e *simEngine) {
		s.step(recovery.UpstreamState{Upstream: e.name, State: recovery.StateLeaving})
	}},
	{"stalled caller", func(s *sim, _ *simEngine) { s.stall(4 * time.Second) }},
	{"no upstream", func(s *sim, _ *simEngine) {
		s.noUpstream = true
		s.after(time.Second, func() { s.noUpstream = false })
	}},
}

// busy returns the engine of the current attempt, or any.
func (s *sim) busyEngine() *simEngine {
	_, name, _ := s.g.Attempt()
	for _, e := range s.engines {
		if e.name == name {
			return e
		}
	}
	return s.engines[0]
}

// trial runs one generation with the faults at the given times and returns
// the simulation. Engines that are lost stay lost, and enough others are left.
func trial(seed uint64, resumes bool, fs []fault, at []time.Duration) *sim {
	rnd := rand.New(rand.NewPCG(seed, 7))
	s := newSim(rnd, 4)
	s.resumes = resumes
	s.window = 2 << 10
	s.prefill = time.Duration(50+rnd.IntN(350)) * time.Millisecond
	for i, f := range fs {
		s.after(at[i], func() {
			e := s.busyEngine()
			if rnd.IntN(4) == 0 {
				e = s.engines[rnd.IntN(len(s.engines))]
			}
			s.trace = append(s.trace, fmt.Sprintf("%8s fault: %s at %s", s.now.Sub(simStart), f.name, e.name))
			f.run(s, e)
		})
	}
	s.begin(s.request(), recovery.Options{MaxHeldBytes: 4 << 10})
	s.run()
	return s
}

// verdict returns what is wrong with a finished trial.
func (s *sim) verdict() error {
	if s.err != nil {
		return s.err
	}
	if _, ok := s.check.end.(recovery.Complete); !ok {
		return fmt.Errorf("ended with %+v while engines were left", s.check.end)
	}
	words := strings.Fields(s.check.text)
	if len(words) != s.total {
		return fmt.Errorf("%d tokens delivered, want %d", len(words), s.total)
	}
	for i, w := range words {
		if !strings.HasSuffix(w, fmt.Sprintf(".%d", i)) {
			return fmt.Errorf("token %d is %q", i, w)
		}
	}
	return nil
}

func report(t *testing.T, s *sim, seed uint64, err error) {
	t.Helper()
	tail := s.trace[max(0, len(s.trace)-25):]
	t.Fatalf("seed %d: %v\n%s", seed, err, strings.Join(tail, "\n"))
}

// Guards against any invariant broken by any two faults that overlap, and
// against an answer that is not whole although engines are left.
func TestTwoFaultsAtATime(t *testing.T) {
	for _, resumes := range []bool{true, false} {
		for i, first := range faults {
			for j, second := range faults {
				for k := range uint64(2) {
					seed := uint64(i)<<32 | uint64(j)<<16 | k
					rnd := rand.New(rand.NewPCG(seed, 3))
					at := time.Duration(rnd.Int64N(int64(8 * time.Second)))
					later := at + time.Duration(rnd.Int64N(int64(1500*time.Millisecond)))
					s := trial(seed, resumes, []fault{first, second}, []time.Duration{at, later})
					if err := s.verdict(); err != nil {
						t.Logf("resumes %v, %s at %s, %s at %s", resumes, first.name, at, second.name, later)
						report(t, s, seed, err)
					}
				}
			}
		}
	}
}

// Guards against any invariant broken by events that no simulation thought
// of: attempts, connections and indexes are arbitrary, and events come in any
// order.
func TestArbitraryEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := simStart
		r := recovery.Request{
			Resumes: rapid.Bool().Draw(rt, "resumes"), Cursors: rapid.Bool().Draw(rt, "cursors"),
			MaxTokens: rapid.SampledFrom([]int{0, 5}).Draw(rt, "max"), Deadline: now.Add(20 * time.Second),
		}
		if rapid.IntRange(0, 3).Draw(rt, "adopt") == 0 {
			r.Adopt = &recovery.Adoption{Attempt: 2, Upstream: "e0", Version: "v1", Delivered: 2}
			if rapid.Bool().Draw(rt, "have text") {
				r.Adopt.Text, r.Adopt.HaveText = "ab", true
			}
		}
		g, actions := recovery.New(now, r, recovery.Options{MaxHeldBytes: 600}, rand.New(rand.NewPCG(1, 2)))
		c := newChecker(r)
		apply := func(ev recovery.Event, actions []recovery.Action) {
			if err := c.after(now, ev, actions); err != nil {
				rt.Fatal(err)
			}
		}
		apply(nil, actions)
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond)
			attempt, conn := c.last, c.lastConn
			switch rapid.IntRange(0, 9).Draw(rt, "stale") {
			case 0:
				attempt -= rapid.IntRange(0, 2).Draw(rt, "old attempt")
			case 1, 2:
				conn -= rapid.IntRange(0, 2).Draw(rt, "old connection")
			}
			var ev recovery.Event
			switch rapid.IntRange(0, 17).Draw(rt, "event") {
			case 0, 1:
				version := rapid.SampledFrom([]string{"v1", "v1", "v1", "v2"}).Draw(rt, "version")
				ev = recovery.Placed{Attempt: c.lastPlace, Upstream: rapid.SampledFrom([]string{"e0", "e1"}).Draw(rt, "upstream"), Version: version}
			case 2:
				ev = recovery.NoUpstream{Attempt: c.lastPlace, VersionGone: rapid.Bool().Draw(rt, "gone")}
			case 3:
				ev = recovery.Opened{Attempt: attempt, Conn: conn}
			case 4, 5, 6, 7, 8:
				index := c.next + len(c.backlog)
				if rapid.IntRange(0, 9).Draw(rt, "wrong index") == 0 {
					index += rapid.IntRange(-2, 2).Draw(rt, "by")
				}
				ev = recovery.Token{Attempt: attempt, Conn: conn, Index: index, Text: rapid.StringN(1, 100, 100).Draw(rt, "text")}
			case 9:
				if rapid.IntRange(0, 3).Draw(rt, "finish") == 0 {
					ev = recovery.Finished{Attempt: attempt, Conn: conn, Reason: "stop"}
				}
			case 10:
				ev = recovery.Broken{Attempt: attempt, Conn: conn, NotRun: rapid.Bool().Draw(rt, "not run")}
			case 11:
				ev = recovery.Refused{Attempt: attempt, Conn: conn, Status: rapid.SampledFrom([]int{429, 500, 503}).Draw(rt, "status"), NotRun: rapid.Bool().Draw(rt, "not run")}
			case 12:
				ev = recovery.UnknownGeneration{Attempt: attempt, Conn: conn}
			case 13:
				ev = recovery.UpstreamState{Upstream: "e0", State: recovery.State(rapid.IntRange(0, 2).Draw(rt, "state"))}
			case 14:
				ev = recovery.CallerStalled{}
			case 15:
				ev = recovery.CallerReading{Room: rapid.IntRange(0, 400).Draw(rt, "room")}
			default:
				if at, ok := g.NextTimer(); ok && at.After(now) && rapid.Bool().Draw(rt, "wait") {
					now = at
				}
				ev = recovery.Tick{}
			}
			if ev != nil {
				apply(ev, g.Step(now, ev))
			}
		}
		end := rapid.SampledFrom([]recovery.Event{recovery.CallerGone{}, recovery.HandOver{}}).Draw(rt, "end")
		apply(end, g.Step(now, end))
		apply(recovery.Tick{}, g.Step(now.Add(time.Hour), recovery.Tick{}))
	})
}

// Guards against a resume latency above the stated bounds after the loss of
// any single engine or connection: 1 s at p95 and 4 s at most.
func TestResumeLatency(t *testing.T) {
	for _, name := range []string{"crash", "vanish", "long pause", "restart", "silent connections", "broken connections"} {
		t.Run(name, func(t *testing.T) {
			f := faults[slices.IndexFunc(faults, func(f fault) bool { return f.name == name })]
			var gaps []time.Duration
			for seed := range uint64(100) {
				rnd := rand.New(rand.NewPCG(seed, 11))
				at := 500*time.Millisecond + time.Duration(rnd.Int64N(int64(8*time.Second)))
				s := newSim(rnd, 4)
				s.prefill = time.Duration(50+rnd.IntN(350)) * time.Millisecond
				s.after(at, func() { f.run(s, s.busyEngine()) })
				s.begin(s.request(), recovery.Options{})
				s.run()
				if err := s.verdict(); err != nil {
					report(t, s, seed, err)
				}
				var longest time.Duration
				for i := 1; i < len(s.deliveredAt); i++ {
					longest = max(longest, s.deliveredAt[i].Sub(s.deliveredAt[i-1]))
				}
				gaps = append(gaps, longest)
			}
			slices.Sort(gaps)
			p95, worst := gaps[len(gaps)*95/100], gaps[len(gaps)-1]
			t.Logf("median %s, p95 %s, longest %s", gaps[len(gaps)/2], p95, worst)
			if p95 > time.Second || worst > 4*time.Second {
				t.Fatalf("p95 %s and longest %s, bounds 1s and 4s", p95, worst)
			}
		})
	}
}

// Guards against false alarms that cost a second generation: an engine that
// falters but lives is asked again, not replaced.
func TestFalteringEngineCostsNoSecondGeneration(t *testing.T) {
	for seed := range uint64(100) {
		rnd := rand.New(rand.NewPCG(seed, 13))
		s := newSim(rnd, 4)
		for i := range 5 {
			s.after(time.Duration(i+1)*2*time.Second, func() { s.pause(s.busyEngine(), 350*time.Millisecond) })
		}
		s.begin(s.request(), recovery.Options{})
		s.run()
		if err := s.verdict(); err != nil {
			report(t, s, seed, err)
		}
		if n := s.g.Stats().Starts; n != 1 {
			report(t, s, seed, fmt.Errorf("%d attempts", n))
		}
	}
}
