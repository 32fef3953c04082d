package bench

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/rollout"
)

func arrivalsOf(seed uint64, w Workload) []arrival {
	return w.arrivals(rand.New(rand.NewPCG(seed, 0)), 10*time.Second)
}

var _ = ginkgo.Describe("a workload", func() {
	// Guards against a run that cannot be repeated with its seed.
	ginkgo.It("depends on its seed only", func() {
		Expect(arrivalsOf(7, moveLoad)).To(Equal(arrivalsOf(7, moveLoad)))
		Expect(arrivalsOf(8, moveLoad)).NotTo(Equal(arrivalsOf(7, moveLoad)))
	})

	// Guards against two requests with the same prompt: an answer that belongs to the
	// other request would not be noticed, and a fault would be attributed to the wrong
	// request.
	ginkgo.It("never repeats a prompt", func() {
		extra := standardLoad
		extra.Label = "a"
		seen := map[string]bool{}
		for _, a := range append(arrivalsOf(1, standardLoad), arrivalsOf(1, extra)...) {
			Expect(seen).NotTo(HaveKey(a.prompt))
			seen[a.prompt] = true
		}
	})

	// Guards against load outside the time that a scenario sets for it.
	ginkgo.It("arrives in order and between From and Until", func() {
		w := standardLoad
		w.From, w.Until = 4*time.Second, 6*time.Second
		load := arrivalsOf(1, w)
		Expect(load).NotTo(BeEmpty())
		last := 4 * time.Second
		for _, a := range load {
			Expect(a.at).To(And(BeNumerically(">=", last), BeNumerically("<", 6*time.Second)))
			last = a.at
		}
	})

	// Guards against small accounts that are measured as large ones, and against large
	// or idle ones that are measured as small.
	ginkgo.It("reports the sending accounts with the smallest weight as small", func() {
		Expect(standardLoad.isSmall(0)).To(BeFalse())
		Expect(standardLoad.isSmall(9)).To(BeTrue())
		idleAccount := Workload{Weights: []float64{0, 1, 1}}
		Expect(idleAccount.isSmall(0)).To(BeFalse())
		Expect(idleAccount.isSmall(1)).To(BeTrue())
	})
})

var _ = ginkgo.Describe("the resume latency", func() {
	sent := time.Unix(1000, 0)
	ms := time.Millisecond
	gaps := []time.Duration{10 * ms, 10 * ms, 900 * ms, 10 * ms}
	at := func(d time.Duration) time.Time { return sent.Add(d) }

	// Guards against figures that omit the gap after a loss that the caller's
	// connection does not show, or that count a gap before the fault.
	ginkgo.DescribeTable("is the longest gap that overlaps the fault",
		func(fault time.Duration, want time.Duration, overlaps bool) {
			got, ok := longestGapAt(sent, 100*ms, gaps, at(fault))
			Expect(ok).To(Equal(overlaps))
			Expect(got).To(Equal(want))
		},
		ginkgo.Entry("before the request", -ms, time.Duration(0), false),
		ginkgo.Entry("before the first token", 40*ms, 60*ms, true),
		ginkgo.Entry("while tokens are in transit", 105*ms, 900*ms, true),
		ginkgo.Entry("during the long gap", 500*ms, 900*ms, true),
		ginkgo.Entry("after the long gap", 1025*ms, 10*ms, true),
		ginkgo.Entry("after the end of the answer", 1031*ms, time.Duration(0), false),
	)
})

var _ = ginkgo.Describe("a report", func() {
	report := func() *Report {
		return &Report{Scenario: "steady", Extra: map[string]float64{"bad_share_max": 0.03},
			Faults: []InjectedFault{{AtSeconds: 1, Name: "engine dies"}},
			Points: []Point{{AtSeconds: 0.5, FirstTokenMS: 12}}, Samples: []Sample{{AtSeconds: 0.5, HeldBytes: 7}}}
	}

	// Guards against figures of a scenario that are missing from the JSON report or
	// nested in another object.
	ginkgo.It("is one flat JSON object with the figures of the scenario", func() {
		var out bytes.Buffer
		Expect(report().WriteJSON(&out)).To(Succeed())
		var m map[string]any
		Expect(json.Unmarshal(out.Bytes(), &m)).To(Succeed())
		Expect(m).To(HaveKeyWithValue("bad_share_max", 0.03))
		Expect(m).To(HaveKey("resume_latency_ms"))
		Expect(m).NotTo(HaveKey("extra"))
	})

	// Guards against plots without the faults that explain their values.
	ginkgo.It("marks the faults in its plots", func() {
		var out bytes.Buffer
		Expect(report().WriteHTML(&out)).To(Succeed())
		Expect(strings.Count(out.String(), "engine dies")).To(BeNumerically(">=", 5))
	})

	// Guards against quantiles with a wrong unit or of wrong values.
	ginkgo.It("gives quantiles in milliseconds", func() {
		rec := newRecorder()
		for i := 1; i <= 100; i++ {
			rec.add(time.Duration(i) * time.Millisecond)
		}
		q := rec.quantiles()
		Expect(q.Count).To(Equal(int64(100)))
		Expect(q.P50).To(BeNumerically("~", 50, 0.1))
		Expect(q.P95).To(BeNumerically("~", 95, 0.1))
		Expect(q.Max).To(BeNumerically("~", 100, 0.1))
	})
})

var _ = ginkgo.Describe("--without", func() {
	// Guards against an experiment that runs with the mechanism enabled without saying
	// so.
	ginkgo.It("disables a known mechanism and refuses unknown names", func() {
		Expect((&run{}).disableMechanism("nothing")).To(MatchError(ContainSubstring("unknown mechanism")))
		r := &run{}
		Expect(r.disableMechanism("resume")).To(Succeed())
		Expect(r.scenario.Fleet.NoResume).To(BeTrue())
	})
})

var _ = ginkgo.Describe("the capacity measurement", func() {
	// Guards against processor time or memory read from the wrong field, also for
	// programs with spaces or parentheses in their names.
	ginkgo.It("reads processor time and memory of a process", func() {
		cpu, rss, err := parseStat("12 (a b) c) S 1 12 12 0 -1 4194304 100 0 0 0 150 50 0 0 20 0 8 0 99 1000 25 184467")
		Expect(err).NotTo(HaveOccurred())
		Expect(cpu).To(Equal(2 * time.Second))
		Expect(rss).To(Equal(25 * float64(os.Getpagesize())))
		_, _, err = parseStat("12 (a) S 1")
		Expect(err).To(HaveOccurred())
	})

	// Guards against adding the values of another metric whose name has the same
	// prefix.
	ginkgo.It("adds up a metric over its labels", func() {
		body := "m_total{d=\"in\"} 3\nm_total{d=\"out\"} 4\nm_total_other 100\n"
		Expect(metricSum(body, "m_total")).To(Equal(7.0))
	})

	// Guards against extrapolation from a wrong slope.
	ginkgo.It("fits a line to points and gives zeros for equal sizes", func() {
		slope, intercept := leastSquares([]float64{3, 9, 18, 30}, []float64{7, 19, 37, 61})
		Expect(slope).To(BeNumerically("~", 2, 1e-9))
		Expect(intercept).To(BeNumerically("~", 1, 1e-9))
		slope, intercept = leastSquares([]float64{9, 9}, []float64{1, 2})
		Expect([]float64{slope, intercept}).To(Equal([]float64{0, 0}))
	})

	// Guards against measuring a smaller state: documents or members that the node
	// rejects cost nothing.
	ginkgo.It("drives a node whose state has the target sizes", func() {
		d := newNodeDriver(1)
		for range 2 {
			d.advanceSecond()
		}
		snap := d.node.Snapshot()
		Expect(snap.Members).To(HaveLen(targetDaemons))
		upstreams := 0
		for _, v := range snap.Services {
			upstreams += len(v.Upstreams)
			Expect(v.Doc.Accounts).To(HaveLen(targetAccounts))
		}
		Expect(upstreams).To(Equal(targetReplicas))
		Expect(d.loadReports).To(BeNumerically(">", 0))
	})
})

var _ = ginkgo.Describe("a simulated move with one request per minute", func() {
	simulate := func(bad bool) *moveSimulation {
		q, err := newMoveSimulation(rand.New(rand.NewPCG(1, 0)), bad)
		Expect(err).NotTo(HaveOccurred())
		q.run()
		return q
	}

	// Guards against a move that stalls at one request per minute while owners die.
	ginkgo.It("completes with a good version by its deadline", func() {
		q := simulate(false)
		Expect(q.record.PhaseAt(q.now)).To(Equal(rollout.PhaseDone))
		Expect(q.record.DoneAt()).To(BeTemporally("<=", q.deadline))
	})

	// Guards against a bad version that a few requests per hour do not reveal, and
	// against requests that it receives later than the grace time after the verdict.
	ginkgo.It("rolls a bad version back and sends it no requests after the grace time", func() {
		q := simulate(true)
		Expect(q.record.PhaseAt(q.now)).To(Equal(rollout.PhaseRolledBack))
		Expect(q.nextAfterGrace).To(BeZero())
	})
})
