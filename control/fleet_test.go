package control_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/control"
	"github.com/gooseberryroad/gooseberryroad/engine"
	"github.com/gooseberryroad/gooseberryroad/membership"
	"github.com/gooseberryroad/gooseberryroad/node"
	"github.com/gooseberryroad/gooseberryroad/peer"
	"github.com/gooseberryroad/gooseberryroad/revision"
	"github.com/gooseberryroad/gooseberryroad/store"
)

// memStore is a store in memory with blocking lists.
type memStore struct {
	store.Store
	mu      sync.Mutex
	index   uint64
	entries map[string]store.Entry
	changed chan struct{}
}

func newMemStore() *memStore {
	return &memStore{index: 1, entries: map[string]store.Entry{}, changed: make(chan struct{})}
}

func (m *memStore) put(key string, value []byte) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.index++
	m.entries[key] = store.Entry{Key: key, Value: value, Index: m.index}
	close(m.changed)
	m.changed = make(chan struct{})
	return m.index
}

func (m *memStore) List(ctx context.Context, prefix string, index uint64, wait time.Duration) ([]store.Entry, uint64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		var out []store.Entry
		at := uint64(1)
		for k, e := range m.entries {
			if strings.HasPrefix(k, prefix) {
				out, at = append(out, e), max(at, e.Index)
			}
		}
		changed := m.changed
		m.mu.Unlock()
		if index == 0 || at > index {
			return out, at, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return out, at, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// cutStore fails every List call; the test makes no other call to a store.
type cutStore struct{ store.Store }

func (cutStore) List(context.Context, string, uint64, time.Duration) ([]store.Entry, uint64, error) {
	return nil, 0, store.ErrUnavailable
}

var _ = Describe("A fleet over loopback", func() {
	// Guards against packages that work alone and not together: the daemons have
	// real links and clocks, and one of them cannot reach the store.
	It("puts a document in force at all daemons and shows at each that all have it", func() {
		ctx, cancel := context.WithCancel(context.Background())
		st := newMemStore()
		var seed string
		var loops []*control.Loop
		var wg sync.WaitGroup
		DeferCleanup(func() {
			cancel()
			wg.Wait()
		})
		for i := range 4 {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			if seed == "" {
				seed = ln.Addr().String()
			}
			o := node.Options{Name: fmt.Sprint("d", i), DataCentre: fmt.Sprint("dc", i/2), Region: "r", PeerAddress: ln.Addr().String(),
				Incarnation: 1, Seeds: []string{seed}, Rand: rand.New(rand.NewPCG(uint64(i), 0))}
			t := peer.New(peer.Options{Key: "a shared key of daemons", Self: membership.Member{
				Name: o.Name, DataCentre: o.DataCentre, Region: o.Region, Address: o.PeerAddress, Incarnation: o.Incarnation}})
			var s store.Store = st
			if i == 3 {
				s = cutStore{}
			}
			loop := control.New(control.Options{Node: o, Store: s, Peers: t,
				Engine: func(string) (engine.Client, error) { return &fakeEngine{polls: make(chan string, 4096)}, nil }})
			t.Start(ctx, ln, loop.Post)
			wg.Add(1)
			go func() {
				defer GinkgoRecover()
				defer wg.Done()
				Expect(loop.Run(ctx)).To(Succeed())
				t.Wait()
			}()
			loops = append(loops, loop)
		}
		for _, l := range loops {
			Eventually(func() []string { return l.Snapshot().Peers }, 9*time.Second).Should(HaveLen(4))
		}
		rev := st.put("config/tags", revision.Envelope{Team: "registro", Document: text}.Encode())
		for _, l := range loops {
			Eventually(func() uint64 {
				if v := l.Snapshot().Services["tags"]; v != nil {
					return v.Revision
				}
				return 0
			}, 9*time.Second).Should(Equal(rev))
		}
		for _, l := range loops {
			Eventually(func() []node.MemberView { return l.Snapshot().Members }, 9*time.Second).Should(
				HaveEach(HaveField("Applied", BeNumerically(">=", rev))))
		}
		Expect(loops[3].Snapshot().StoreReachable).To(BeFalse())
		Expect(loops[3].Snapshot().Configured).To(BeTrue())
	})
})
