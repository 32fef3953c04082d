package consulkv_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"github.com/gooseberryroad/gooseberryroad/kernel"
	"github.com/gooseberryroad/gooseberryroad/modules/store/consulkv"
	"github.com/gooseberryroad/gooseberryroad/standin"
	"github.com/gooseberryroad/gooseberryroad/store"
)

func TestConsulKV(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "consulkv")
}

// limit bounds each spec, so that one that waits for a response in vain fails.
const limit = 20 * time.Second

func beError(kind error) types.GomegaMatcher {
	return WithTransform(func(err error) bool { return errors.Is(err, kind) }, BeTrue())
}

var _ = Describe("Client", func() {
	var (
		ctx context.Context
		c   store.Store
		s   *standin.Store
		o   standin.StoreOptions
	)
	BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), limit)
		DeferCleanup(cancel)
		o = standin.StoreOptions{ReadsPerSecond: -1, WritesPerSecond: -1}
	})
	JustBeforeEach(func() {
		var err error
		s, err = standin.StartStore(ctx, o)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Close)
		c, err = kernel.Load[store.Store](consulkv.ID, kernel.Options{Address: s.Address(), Params: map[string]string{"timeout": "500ms"}})
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against values or indexes that are altered between the client and the
	// store.
	It("writes with compare-and-swap and reads the value back", func() {
		index, err := c.CompareAndSwap(ctx, "config/a b", []byte("\x00one\xff"), 0)
		Expect(err).NotTo(HaveOccurred())
		e, err := c.Get(ctx, "config/a b")
		Expect(err).NotTo(HaveOccurred())
		Expect(e).To(Equal(store.Entry{Key: "config/a b", Value: []byte("\x00one\xff"), Index: index}))
		next, err := c.CompareAndSwap(ctx, "config/a b", []byte("two"), index)
		Expect(err).NotTo(HaveOccurred())
		Expect(next).To(BeNumerically(">", index))
		_, err = c.CompareAndSwap(ctx, "config/a b", []byte("three"), index)
		Expect(err).To(beError(store.ErrConflict))
		_, err = c.CompareAndSwap(ctx, "config/a b", []byte("three"), 0)
		Expect(err).To(beError(store.ErrConflict))
		_, err = c.Get(ctx, "config/none")
		Expect(err).To(beError(store.ErrNotFound))
	})

	// Guards against a wrong index for values that do not fit into a transaction.
	It("writes values up to the maximum size and refuses larger ones", func() {
		big := bytes.Repeat([]byte("x"), store.MaxValueBytes)
		index, err := c.CompareAndSwap(ctx, "big", big, 0)
		Expect(err).NotTo(HaveOccurred())
		_, at := s.Value("big")
		Expect(index).To(Equal(at))
		_, err = c.CompareAndSwap(ctx, "big", big, 0)
		Expect(err).To(beError(store.ErrConflict))
		_, err = c.CompareAndSwap(ctx, "big", append(big, 'x'), index)
		Expect(err).To(MatchError(ContainSubstring("at most")))
	})

	It("lists the entries below a prefix in order of their keys", func() {
		s.Put("config/b", []byte("2"))
		last := s.Put("config/a", []byte("1"))
		s.Put("moves/a", nil)
		entries, index, err := c.List(ctx, "config/", 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).To(HaveLen(2))
		Expect(entries[0].Key).To(Equal("config/a"))
		Expect(index).To(Equal(last))
		entries, index, err = c.List(ctx, "claims/", 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).To(BeEmpty())
		Expect(index).To(BeNumerically(">=", 1))
	})

	Describe("a watch", func() {
		type result struct {
			entries []store.Entry
			index   uint64
			err     error
		}
		watch := func(index uint64, wait time.Duration) chan result {
			done := make(chan result, 1)
			go func() {
				entries, i, err := c.List(ctx, "config/", index, wait)
				done <- result{entries, i, err}
			}()
			Eventually(func() int { return s.Stats().Waiting }).Should(Equal(1))
			return done
		}

		// Guards against configuration that arrives late or not at all (promise P9 in
		// docs/proof.md).
		It("returns once a key below the prefix changes, and only then", func() {
			first := s.Put("config/a", []byte("1"))
			done := watch(first, 10*time.Second)
			s.Put("moves/a", []byte("x"))
			Consistently(done, "50ms").ShouldNot(Receive())
			second := s.Put("config/b", []byte("2"))
			var r result
			Eventually(done).Should(Receive(&r))
			Expect(r.err).NotTo(HaveOccurred())
			Expect(r.index).To(Equal(second))
			Expect(r.entries).To(HaveLen(2))
		})
		It("returns once a key below the prefix is deleted", func() {
			done := watch(s.Put("config/a", []byte("1")), 10*time.Second)
			s.Delete("config/a")
			var r result
			Eventually(done).Should(Receive(&r))
			Expect(r.err).NotTo(HaveOccurred())
			Expect(r.entries).To(BeEmpty())
		})
		It("returns unchanged after its wait", func() {
			first := s.Put("config/a", []byte("1"))
			_, index, err := c.List(ctx, "config/", first, 20*time.Millisecond)
			Expect(err).NotTo(HaveOccurred())
			Expect(index).To(Equal(first))
		})
		// Guards against a watch that never returns, so that changes stay unknown
		// (promise P9).
		It("fails when the store does not end its wait, and works again later", func() {
			Expect(s.SetFaults(standin.StoreFaults{FreezeWatches: true})).To(Succeed())
			first := s.Put("config/a", []byte("1"))
			_, _, err := c.List(ctx, "config/", first, 20*time.Millisecond)
			Expect(err).To(beError(store.ErrUnavailable))
			Expect(s.SetFaults(standin.StoreFaults{})).To(Succeed())
			_, _, err = c.List(ctx, "config/", first, 20*time.Millisecond)
			Expect(err).NotTo(HaveOccurred())
		})
		It("uses a connection of its own", func() {
			_, err := c.CompareAndSwap(ctx, "config/a", []byte("1"), 0)
			Expect(err).NotTo(HaveOccurred())
			s.HangOpenConnections() // the pooled connection of the write
			_, index, err := c.List(ctx, "config/", 1, 20*time.Millisecond)
			Expect(err).NotTo(HaveOccurred())
			Expect(index).To(BeNumerically(">", 1))
		})
	})

	Describe("a transaction", func() {
		It("applies all operations at one index", func() {
			results, err := c.Txn(ctx, []store.Op{{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte("2")}})
			Expect(err).NotTo(HaveOccurred())
			Expect(results[0].Index).To(BeNumerically(">", 0))
			Expect(results[1].Index).To(Equal(results[0].Index))
			Expect(s.Stats().Txns).To(Equal(int64(1)))
		})
		// Guards against a claim that counts as made although another operation of
		// its transaction had a conflict (promise P6).
		It("applies no operation when one has a conflict, and names that one", func() {
			s.Put("b", []byte("x"))
			results, err := c.Txn(ctx, []store.Op{{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte("2")}})
			Expect(err).To(beError(store.ErrConflict))
			Expect(results).To(Equal([]store.OpResult{{}, {Conflict: true}}))
			_, index := s.Value("a")
			Expect(index).To(BeZero())
		})
		It("accepts at most 64 operations", func() {
			ops := make([]store.Op, store.MaxTxnOps+1)
			for i := range ops {
				ops[i].Key = fmt.Sprint("k", i)
			}
			_, err := c.Txn(ctx, ops)
			Expect(err).To(MatchError(ContainSubstring("1 to 64")))
			_, err = c.Txn(ctx, ops[:store.MaxTxnOps])
			Expect(err).NotTo(HaveOccurred())
		})
	})

	// Guards against a write that is reported as without effect although it took
	// effect, which would run a non-idempotent request twice (promise P6).
	Describe("a failed call", func() {
		swap := func(key string) error {
			_, err := c.CompareAndSwap(ctx, key, []byte("1"), 0)
			return err
		}
		It("is unavailable when the connection is refused", func() {
			Expect(swap("warm")).To(Succeed()) // leaves a pooled connection
			Expect(s.SetFaults(standin.StoreFaults{Down: standin.DownRefuses})).To(Succeed())
			// The first call may still find the broken pooled connection.
			_, err := c.Get(ctx, "a")
			Expect(err).To(beError(store.ErrUnavailable))
			Expect(swap("a")).To(beError(store.ErrUnavailable))
			Expect(s.SetFaults(standin.StoreFaults{})).To(Succeed())
			Expect(swap("a")).To(Succeed())
		})
		It("is unknown when the response is lost after the write", func() {
			Expect(s.SetFaults(standin.StoreFaults{LoseAnswers: 1})).To(Succeed())
			Expect(swap("a")).To(beError(store.ErrUnknown))
			_, index := s.Value("a")
			Expect(index).NotTo(BeZero())
			Expect(s.Stats().Txns).To(Equal(int64(1)))
		})
		It("is unknown when the call is lost before the write", func() {
			Expect(s.SetFaults(standin.StoreFaults{LoseCalls: 1})).To(Succeed())
			Expect(swap("a")).To(beError(store.ErrUnknown))
			_, index := s.Value("a")
			Expect(index).To(BeZero())
			Expect(swap("a")).To(Succeed())
		})
		DescribeTable("is unknown for a write and unavailable for a read when the store",
			func(f standin.StoreFaults) {
				Expect(s.SetFaults(f)).To(Succeed())
				Expect(swap("a")).To(beError(store.ErrUnknown))
				_, err := c.Get(ctx, "a")
				Expect(err).To(beError(store.ErrUnavailable))
				_, _, err = c.List(ctx, "", 0, 0)
				Expect(err).To(beError(store.ErrUnavailable))
			},
			Entry("responds with errors", standin.StoreFaults{Down: standin.DownErrors}),
			Entry("does not respond", standin.StoreFaults{Down: standin.DownHangs}),
			Entry("is slower than the timeout", standin.StoreFaults{Slow: standin.Duration(time.Minute)}),
		)
		It("closes all pooled connections after the failure of one that stopped responding", func() {
			Expect(swap("a")).To(Succeed())
			s.HangOpenConnections()
			_, err := c.Get(ctx, "a")
			Expect(err).To(beError(store.ErrUnavailable))
			_, err = c.Get(ctx, "a")
			Expect(err).NotTo(HaveOccurred())
		})
	})

	Describe("with rate limits", func() {
		BeforeEach(func() { o = standin.StoreOptions{WritesPerSecond: 0.001, ReadsPerSecond: 0.001} })
		// Guards against a refused write that is reported as one that may have taken
		// effect.
		It("reports a call above the rate as unavailable", func() {
			_, err := c.CompareAndSwap(ctx, "a", nil, 0)
			Expect(err).NotTo(HaveOccurred())
			_, err = c.CompareAndSwap(ctx, "b", nil, 0)
			Expect(err).To(beError(store.ErrUnavailable))
			_, err = c.Get(ctx, "a")
			Expect(err).NotTo(HaveOccurred())
			_, err = c.Get(ctx, "a")
			Expect(err).To(beError(store.ErrUnavailable))
			Expect(s.Stats().RateLimited).To(Equal(int64(2)))
		})
	})

	// Guards against two concurrent writers that both create the same key.
	It("lets exactly one of many concurrent writers succeed", func() {
		const writers = 20
		results := make(chan error, writers)
		for i := range writers {
			go func() {
				_, err := c.CompareAndSwap(ctx, "race", []byte(fmt.Sprint(i)), 0)
				results <- err
			}()
		}
		won := 0
		for range writers {
			if err := <-results; err == nil {
				won++
			} else {
				Expect(err).To(beError(store.ErrConflict))
			}
		}
		Expect(won).To(Equal(1))
	})

	It("refuses unknown parameters and addresses other than HOST:PORT", func() {
		_, err := kernel.Load[store.Store](consulkv.ID, kernel.Options{Address: "127.0.0.1:1", Params: map[string]string{"retries": "3"}})
		Expect(err).To(MatchError(ContainSubstring("known: dial_timeout, timeout")))
		_, err = kernel.Load[store.Store](consulkv.ID, kernel.Options{})
		Expect(err).To(MatchError(ContainSubstring("HOST:PORT")))
	})
})
