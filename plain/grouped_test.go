package plain_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/claim"
	"github.com/gooseberryroad/gooseberryroad/plain"
	"github.com/gooseberryroad/gooseberryroad/store"
)

var _ = Describe("BatchingStore", func() {
	// Guards promise P6 of docs/proof.md (at most one run per key) when the claims
	// of many calls are batched.
	It("runs each key once when claims are batched", func() {
		address, count := newUpstream(createOrder)
		f := newFixture(func(o *plain.Options) {
			o.Store = plain.NewBatchingStore(o.Store, nil, time.Second, claim.BatcherOptions{})
		}, address)
		var wg sync.WaitGroup
		for i := range 100 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer GinkgoRecover()
				// Each key is sent twice.
				Expect(f.mustCall("POST", "/services/shop/orders", "honey", "Idempotency-Key", fmt.Sprint("k", i/2)).status).To(Equal(201))
			}()
		}
		wg.Wait()
		Expect(count.Load()).To(Equal(int64(50)))
	})

	// Guards against some callers of a transaction taking its lost answer for a
	// result.
	It("gives every caller of a lost transaction an unknown result", func() {
		s := newMemStore()
		s.fault = func(op string, n int) (error, bool) { return store.ErrUnknown, true }
		g := plain.NewBatchingStore(s, nil, time.Second, claim.BatcherOptions{})
		var wg sync.WaitGroup
		for i := range 10 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer GinkgoRecover()
				_, err := g.CompareAndSwap(context.Background(), fmt.Sprint(i), nil, 0)
				Expect(err).To(MatchError(store.ErrUnknown))
			}()
		}
		wg.Wait()
	})

	// Guards the rule that a caller that stops waiting before its write is sent gets
	// the outcome not_run.
	It("withdraws a write that was not sent when its caller stops waiting", func() {
		s := newMemStore()
		g := plain.NewBatchingStore(s, nil, time.Second, claim.BatcherOptions{Interval: time.Hour})
		_, err := g.CompareAndSwap(context.Background(), "first", nil, 0)
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err = g.CompareAndSwap(ctx, "second", nil, 0)
		Expect(err).To(MatchError(store.ErrUnavailable))
		_, err = s.Get(context.Background(), "second")
		Expect(err).To(MatchError(store.ErrNotFound))
	})
})
