package soak

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/platform/platformtest"
)

var _ = Describe("Calls to the control service", func() {
	began := time.Unix(1000, 0)
	call := func(at time.Duration, holder string, token uint64, window, requests int64) platformtest.ControlCall {
		return platformtest.ControlCall{At: began.Add(at), Holder: holder, Token: token, Window: window, Counts: map[string]int64{"a": requests}}
	}
	check := func(obs observations, calls ...platformtest.ControlCall) []string {
		obs.daemons = 3
		if obs.faults == nil {
			obs.faults = faultIntervals{}
		}
		return obs.checkDuties(calls)
	}
	paused := observations{pauses: map[int][]interval{0: {{began, began.Add(time.Second)}}}}

	// Each guards against a broken rule that the soak would not see.
	DescribeTable("must be those of one holder at a time",
		func(violation string, calls ...platformtest.ControlCall) {
			Expect(check(observations{}, calls...)).To(ContainElement(ContainSubstring(violation)))
		},
		Entry("a token of two holders", "used this token", call(0, "d0", 1, 1, 5), call(time.Second, "d1", 1, 2, 5)),
		Entry("a token that falls", "acted with token 2", call(0, "d0", 2, 1, 5), call(time.Second, "d1", 1, 2, 5)),
		Entry("two reports of a window", "before as", call(0, "d0", 1, 1, 5), call(time.Second, "d0", 1, 1, 6)),
		Entry("holders that take turns", "within a lease", call(0, "d0", 1, 1, 5), call(time.Second, "d1", 2, 2, 5), call(dutyLease-1, "d0", 3, 3, 5)),
		Entry("a pause of another daemon", "acted with token 2", call(0, "d2", 2, 1, 5), call(time.Second, "d1", 1, 2, 5)),
	)

	// Each guards against a violation where there is none.
	DescribeTable("are those of one holder",
		func(calls ...platformtest.ControlCall) { Expect(check(paused, calls...)).To(BeEmpty()) },
		Entry("a report that is sent again", call(0, "d1", 1, 1, 5), call(time.Second, "d2", 2, 1, 5)),
		Entry("a holder that is back after a lease", call(0, "d1", 1, 1, 5), call(time.Second, "d2", 2, 2, 5), call(dutyLease, "d1", 3, 3, 5)),
		Entry("a call that was on its way during a pause", call(time.Second, "d1", 2, 1, 5), call(time.Second+thawTime/2, "d0", 1, 1, 5), call(2*time.Second, "d1", 2, 2, 5)),
	)

	It("of a daemon count again some time after its pause", func() {
		Expect(check(paused, call(time.Second, "d1", 2, 1, 5), call(time.Second+thawTime, "d0", 1, 2, 5))).To(HaveLen(1))
	})
})
