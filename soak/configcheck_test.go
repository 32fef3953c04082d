package soak

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/platform/platformtest"
)

var _ = Describe("checkConfigurations", func() {
	start := time.Date(2026, 12, 7, 19, 0, 0, 0, time.UTC)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	var obs *observations
	version := func(number int, seconds float64, services map[platformtest.Kind]string, keys ...string) {
		c := configuration{version: number, written: at(seconds), services: services, keys: map[string]bool{}}
		for _, k := range keys {
			c.keys[k] = true
		}
		obs.configurations = append(obs.configurations, c)
		obs.configEvents = append(obs.configEvents, configEvent{at: at(seconds), version: number})
	}
	answered := func(daemon int, seconds float64, p probe, o outcome) {
		obs.probes = append(obs.probes, answeredProbe{probe: p, daemon: daemon, sent: at(seconds), ended: at(seconds + 0.01), outcome: o})
	}
	route, key := probe{"probe/9", permanentKey}, probe{platformtest.LookUp, "v2"}
	// Version 2 has key v2; version 9 has the route probe/9 and no key v2; version 14 moves
	// the route; version 20 removes it.
	BeforeEach(func() {
		obs = &observations{faults: faultIntervals{}, plannedStops: faultIntervals{}, daemons: 3, configObservations: configObservations{
			starts: map[int][]time.Time{}, disturbances: map[int][]time.Time{},
		}}
		look := platformtest.LookUp
		version(2, 0, map[platformtest.Kind]string{look: plainService}, permanentKey, "v2")
		version(9, 10, map[platformtest.Kind]string{look: plainService, "probe/9": probeService}, permanentKey)
		version(14, 20, map[platformtest.Kind]string{look: plainService, "probe/9": plainService}, permanentKey)
		version(20, 30, map[platformtest.Kind]string{look: plainService}, permanentKey)
		for i := range obs.daemons {
			obs.starts[i], obs.disturbances[i] = []time.Time{at(-10)}, []time.Time{at(-10)}
		}
	})

	// Guards against changes that come late: an added route that is not served, a removed key
	// or route that works, a route that is served by its old service.
	DescribeTable("reports handling that only an older version allows", func(seconds float64, p probe, o outcome) {
		answered(0, seconds, p, o)
		Expect(obs.checkConfigurations()).To(ConsistOf(HavePrefix("config due")))
		obs.probes = nil
		answered(0, seconds-0.5, p, o)
		Expect(obs.checkConfigurations()).To(BeEmpty(), "within 2 s")
	},
		Entry("added route", 12.1, route, noRoute), Entry("removed key", 12.1, key, outcome(plainService)),
		Entry("moved route", 22.1, route, outcome(probeService)), Entry("removed route", 32.1, route, outcome(plainService)))

	It("allows what the newest version does", func() {
		answered(0, 12.1, route, outcome(probeService))
		answered(0, 12.2, key, unknownKey)
		answered(0, 22.1, route, outcome(plainService))
		answered(0, 32.1, route, noRoute)
		Expect(obs.checkConfigurations()).To(BeEmpty())
	})

	It("judges only daemons in touch", func() {
		for _, disturb := range []func(){
			func() { obs.disturbances[0] = append(obs.disturbances[0], at(9.5)) },
			func() { obs.faults.add(StoreServer, 0, interval{at(9), at(9.5)}) },
			func() { obs.faults.add(PeerLinks, 0, interval{at(9), at(9.5)}) },
			func() { obs.plannedStops.add(Daemons, 0, interval{at(11), at(13)}) },
		} {
			obs.faults, obs.plannedStops, obs.disturbances = faultIntervals{}, faultIntervals{}, map[int][]time.Time{}
			obs.probes = nil
			disturb()
			answered(0, 12.4, route, noRoute)
			Expect(obs.checkConfigurations()).To(BeEmpty())
			answered(0, 13.1, route, noRoute)
			Expect(obs.checkConfigurations()).To(HaveLen(1))
		}
	})

	// Guards against a process that takes an older copy of the configuration, in touch or not.
	It("reports a process that goes back to an older version, but not the next one", func() {
		obs.faults.add(StoreServer, 0, interval{at(10), at(13)})
		answered(0, 10.5, route, outcome(probeService))
		answered(0, 10.7, route, noRoute)
		Expect(obs.checkConfigurations()).To(BeEmpty(), "within 250 ms")
		answered(0, 10.8, route, noRoute)
		Expect(obs.checkConfigurations()).To(ConsistOf(HavePrefix("config back")))
		obs.starts[0] = append(obs.starts[0], at(10.6))
		Expect(obs.checkConfigurations()).To(BeEmpty())
	})

	// Guards against a daemon that starts after a restore and never learns of a version that
	// the store lost, while another one has it in force.
	It("holds a lost version to be due only while a daemon in touch has it", func() {
		obs.configEvents = append(obs.configEvents[:2:2], configEvent{at: at(14), version: 2, restored: true})
		answered(1, 18, route, noRoute)
		Expect(obs.checkConfigurations()).To(BeEmpty(), "no daemon knows the lost version")
		answered(0, 13, route, outcome(probeService))
		Expect(obs.checkConfigurations()).To(ConsistOf(ContainSubstring("version 9 was in force at daemon 0")))
		obs.starts[0], obs.disturbances[0] = append(obs.starts[0], at(14)), append(obs.disturbances[0], at(14))
		Expect(obs.checkConfigurations()).To(BeEmpty(), "the daemon that knew it has started again")
		obs.configEvents = append(obs.configEvents, configEvent{at: at(15.5), version: 9})
		Expect(obs.checkConfigurations()).To(HaveLen(1), "written again")
	})

	It("reports streams that two upstreams work on for long", func() {
		a := attempt{Call: platformtest.Call{ID: "c1", Kind: platformtest.Stream}}
		runs := []run{{id: "c1", upstream: 1, at: at(5), ended: at(6.3)}, {id: "c1", upstream: 2, at: at(6), ended: at(7)}}
		Expect(obs.checkContinuation(a, runs)).To(BeEmpty(), "it stops within 400 ms")
		runs[0].ended = at(6.5)
		Expect(obs.checkContinuation(a, runs)).To(HaveLen(1))
		obs.faults.add(Upstreams, 1, interval{at(5.5), at(5.8)})
		Expect(obs.checkContinuation(a, runs)).To(BeEmpty(), "the daemon could not reach it")
	})

	// Guards against versions that cannot be told apart, and against routes that pile up.
	It("changes the configuration in each version", func() {
		o := newOperator(3)
		o.random = rand.New(rand.NewPCG(1, 2))
		kinds := map[string]bool{}
		for v := 1; v < 400; v += 2 {
			before := o.current
			c := o.next(v, v-2)
			Expect(c.keys).To(And(HaveKey(permanentKey), HaveKey(rotatedKey(v)), Not(HaveKey(rotatedKey(v-2)))))
			Expect(len(c.services)).To(BeNumerically("<=", maxProbeRoutes+1))
			Expect(len(c.keys)).To(BeNumerically("<=", maxProbeKeys+2), "with the permanent and the rotated one")
			changed := o.probes[len(o.probes)-3]
			Expect(c.outcome(changed)).NotTo(Equal(before.outcome(changed)))
			kinds[string(before.outcome(changed)+" to "+c.outcome(changed))] = true
		}
		Expect(kinds).To(HaveLen(7), "%v", kinds)
	})
})
