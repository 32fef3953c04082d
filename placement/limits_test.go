package placement_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/placement"
	"github.com/gooseberryroad/gooseberryroad/registry"
)

var _ = Describe("What is known of the limits of upstreams", func() {
	now := time.Date(2026, 12, 6, 9, 0, 0, 0, time.UTC)
	in := registry.Instance{ID: "up0", Service: "tags", DataCentre: "here", StartUnixMilli: 100}
	var tracker *placement.Tracker
	BeforeEach(func() { tracker = placement.NewTracker("here", rand.New(rand.NewPCG(5, 6))) })

	// An answer that was on its way when the upstream named the limit would end it.
	It("ends a limit only by an answer to a later request", func() {
		Expect(tracker.SaidLimit(in, 2, now)).To(Equal(placement.LimitNamed))
		Expect(tracker.SaidLimit(in, 2, now)).To(Equal(placement.LimitUnchanged))
		Expect(tracker.SaidNoLimit(in, now.Add(-time.Millisecond), now.Add(time.Second))).To(Equal(placement.LimitUnchanged))
		Expect(tracker.SaidNoLimit(in, time.Time{}, now.Add(time.Second))).To(Equal(placement.LimitUnchanged), "a control call")
		Expect(tracker.LimitedUpstreams()).To(Equal(1))
		Expect(tracker.SaidNoLimit(in, now.Add(time.Second), now.Add(time.Second))).To(Equal(placement.LimitEnded))
		Expect(tracker.LimitedUpstreams()).To(BeZero())
	})

	// An upstream that names another limit in each answer would fill the log.
	It("reports changes and unreadable limits at most once a second", func() {
		tracker.SaidLimit(in, 2, now)
		news := 0
		for i := range 100 {
			if tracker.SaidLimit(in, float64(i), now.Add(time.Duration(i)*10*time.Millisecond+time.Second/2)) != placement.LimitUnchanged {
				news++
			}
		}
		Expect(news).To(Equal(1))
		Expect(tracker.SaidUnreadableLimit(in)).To(Equal(placement.LimitUnreadable))
		Expect(tracker.SaidUnreadableLimit(in)).To(Equal(placement.LimitUnchanged))
		Expect(tracker.LimitedUpstreams()).To(Equal(1), "what was known stays")
	})

	// The next process under the ID, or a table that only grows.
	It("forgets the limits of other processes and of upstreams that are gone", func() {
		tracker.SaidLimit(in, 2, now)
		restarted := in
		restarted.StartUnixMilli = 200
		tracker.DropNotices([]registry.Instance{restarted}, now)
		Expect(tracker.LimitedUpstreams()).To(BeZero())
		tracker.SaidLimit(in, 2, now)
		tracker.DropNotices(nil, now)
		tracker.DropNotices([]registry.Instance{in}, now.Add(time.Second))
		Expect(tracker.LimitedUpstreams()).To(Equal(1), "the registration was missing for a moment")
		tracker.DropNotices(nil, now.Add(2*time.Second))
		tracker.DropNotices(nil, now.Add(2*time.Minute))
		Expect(tracker.LimitedUpstreams()).To(BeZero())
	})
})
