package claim_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/claim"
)

var _ = Describe("retention", func() {
	// Guards promise P6 of docs/proof.md (at most one run per key) against the
	// deletion of a record before its retention has passed, because a clock is
	// wrong or two sweepers race, and guards the store against records that are
	// never deleted.
	It("expires records after at least 24 and before 48 epochs, with several sweepers that restart", func() {
		for i := range uint64(50) {
			seed := baseSeed()<<20 + i
			rnd := rand.New(rand.NewPCG(seed, 4))
			const keep = 24
			index, epochsIndex := uint64(1), uint64(1)
			epochs := claim.Epochs{}
			timers := make([]claim.EpochTimer, 3)
			skew := make([]time.Duration, 3)
			for j := range skew {
				skew[j] = time.Duration(rnd.IntN(2000)-1000) * time.Hour
			}
			type record struct {
				at    time.Time
				index uint64
			}
			var records []record
			now := t0
			expired := 0
			for range 60 * 24 * 3 {
				now = now.Add(time.Minute)
				index++
				records = append(records, record{now, index})
				j := rnd.IntN(3)
				if rnd.IntN(500) == 0 {
					timers[j] = claim.EpochTimer{}
				}
				// The epochs may have changed between the read and the write, so
				// the write compares the index.
				seenIndex, seenEpochs := epochsIndex, epochs
				if timers[j].Due(now.Add(skew[j]), seenIndex, time.Hour) && seenIndex == epochsIndex {
					epochs = seenEpochs.Next(seenIndex, keep)
					index++
					epochsIndex = index
				}
				done := claim.Record{State: claim.StateDone}
				for len(records) > 0 && epochs.Expired(done, records[0].index, keep) {
					Expect(now.Sub(records[0].at)).To(BeNumerically(">=", keep*time.Hour), "seed %d", seed)
					records = records[1:]
					expired++
				}
				if len(records) > 0 {
					Expect(now.Sub(records[0].at)).To(BeNumerically("<", 2*keep*time.Hour), "seed %d", seed)
				}
			}
			Expect(expired).To(BeNumerically(">", 0), "seed %d", seed)
		}
	})

	// Guards promise P6 (at most one run per key) against the deletion of a claim
	// whose holder is paused.
	It("never expires a claimed record", func() {
		e := claim.Epochs{Ends: []uint64{10, 20}}
		Expect(e.Expired(claim.Record{State: claim.StateDone}, 10, 2)).To(BeTrue())
		Expect(e.Expired(claim.Record{State: claim.StateReleased}, 10, 2)).To(BeTrue())
		Expect(e.Expired(claim.Record{State: claim.StateClaimed}, 10, 2)).To(BeFalse())
		Expect(e.Expired(claim.Record{State: claim.StateDone}, 11, 2)).To(BeFalse())
		Expect(e.Expired(claim.Record{State: claim.StateDone}, 1, 3)).To(BeFalse(), "too few epochs")
	})
})
