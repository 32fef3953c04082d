package directory

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/era"
)

// Guards against daemons that are not asked for their configuration because the first ones
// do not answer or have just started, and against calls without an end.
func TestAllKnownDaemonsAreAskedForTheirConfiguration(t *testing.T) {
	o := NewWithT(t)
	x, now := newExchange(), time.Now()
	var known []string
	for i := range 8 {
		known = append(known, fmt.Sprint("d", i))
	}
	o.Expect(x.next(0, 1, known, now)).To(BeEmpty(), "the store was never restored")
	seen := map[string]bool{}
	// The first daemon never answers.
	round := func() []string {
		asked := x.next(1, 1, known, now)
		for _, a := range asked {
			seen[a] = true
			if a != "d0" {
				x.answered(a, false)
			}
		}
		return asked
	}
	began := now
	for len(seen) < len(known) {
		o.Expect(round()).To(HaveLen(maxAsked))
		o.Expect(round()).To(BeEmpty(), "before the next round")
		now = now.Add(exchangeInterval)
	}
	o.Expect(now.Sub(began)).To(BeNumerically("<=", 2*time.Second))
	for now.Sub(began) < era.KeepFor {
		o.Expect(round()).To(HaveLen(maxAsked), "daemons that start meanwhile")
		now = now.Add(exchangeInterval)
	}
	for range 3 {
		o.Expect(round()).To(Equal([]string{"d0"}))
		o.Expect(x.next(1, 1, known, now.Add(exchangeInterval))).To(BeEmpty())
		now = now.Add(lateExchangeInterval)
	}
	x.contacted("d0", 1, 1)
	now = now.Add(lateExchangeInterval)
	o.Expect(round()).To(BeEmpty(), "all have told their version")
	known, now = append(known, "d8"), now.Add(lateExchangeInterval)
	o.Expect(round()).To(Equal([]string{"d8"}))
	x.contacted("d3", 7, 1)
	o.Expect(x.wake).To(Receive())
	o.Expect(round()).To(Equal([]string{"d3"}), "it has a newer configuration")
	x.restart()
	o.Expect(x.next(1, 7, known, now)).To(HaveLen(maxAsked))
	o.Expect(x.next(2, 7, known, now)).To(HaveLen(maxAsked), "the store was restored again")
}

// Guards against the whole content of daemons of an earlier build being fetched again and again.
func TestContentOfAnEarlierBuildIsFetchedOnce(t *testing.T) {
	o := NewWithT(t)
	x, now := newExchange(), time.Now()
	o.Expect(x.next(1, 1, []string{"d0"}, now)).To(Equal([]string{"d0"}))
	x.answered("d0", true)
	o.Expect(x.next(1, 1, []string{"d0"}, now.Add(exchangeInterval))).To(BeEmpty())
}
