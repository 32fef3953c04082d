package backoff_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/internal/backoff"
)

func TestBackoff(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "backoff")
}

var _ = Describe("The pause after failures", func() {
	now := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

	// Guards against calls that are repeated at full rate for as long as an outage
	// lasts, and against a pause that outlasts it.
	It("doubles up to its bound and begins anew after a success", func() {
		b := backoff.Backoff{Initial: 100 * time.Millisecond, Max: 300 * time.Millisecond}
		Expect(b.Ready(now)).To(BeTrue())
		for _, want := range []time.Duration{100, 200, 300, 300} {
			b.Failed(now)
			pause := want * time.Millisecond
			Expect(b.Ready(now.Add(pause - 1))).To(BeFalse())
			Expect(b.Ready(now.Add(pause))).To(BeTrue())
		}
		b.Succeeded()
		b.Failed(now)
		Expect(b.Ready(now.Add(100 * time.Millisecond))).To(BeTrue())
		for range 100 {
			b.Failed(now)
		}
		Expect(b.Ready(now.Add(300 * time.Millisecond))).To(BeTrue())
	})
})
