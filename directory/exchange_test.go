package directory_test

import (
	"context"
	"log/slog"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/directory"
	"github.com/gooseberryroad/gooseberryroad/membership"
	"github.com/gooseberryroad/gooseberryroad/sources"
	"github.com/gooseberryroad/gooseberryroad/store"
)

var _ = Describe("A configuration that one daemon alone knows after the store was restored", func() {
	var st *memoryStore
	var relay *memoryRelay
	var ctx context.Context
	BeforeEach(func() {
		st = newMemoryStore()
		relay = &memoryRelay{followers: map[string]*directory.Follower{}, unreachable: map[string]bool{}, silent: map[string]bool{}}
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		DeferCleanup(cancel)
		st.put("config", `{"Version": 1}`)
		st.put("up/a", "tags")
	})
	start := func(name, dataCentre string, seeds ...string) *directory.Follower {
		f := directory.NewFollower(directory.Options{
			Store: storeClient{st, name}, Decoder: decoder{}, Relay: relay, Seeds: seeds,
			Logger: slog.New(slog.NewTextHandler(GinkgoWriter, nil)).With("daemon", name),
			Self:   sources.Peer{Name: name, Address: name, DataCentre: dataCentre},
		})
		relay.mu.Lock()
		relay.followers[name] = f
		relay.mu.Unlock()
		go f.Run(ctx)
		return f
	}
	version := func(f *directory.Follower) func() int64 {
		return func() int64 {
			if t := f.View().Table; t != nil {
				return t.Version()
			}
			return 0
		}
	}
	ready := func(f *directory.Follower) func() bool { return func() bool { return f.View().Ready } }
	// loseLatest makes the store return to its content before version 9 was written, which
	// the running daemon has in force. Registrations of daemons are lost with their leases.
	loseLatest := func(running *directory.Follower) {
		revision, entries := st.copied()
		for key := range entries {
			if strings.HasPrefix(key, directory.PeerPrefix) {
				delete(entries, key)
			}
		}
		st.put("config", `{"Version": 9}`)
		Eventually(version(running), "3s").Should(BeEquivalentTo(9))
		st.restore(revision, entries)
	}

	// Guards against a daemon that starts after a restore and keeps the copy's configuration:
	// its seeds are silent or have just started, too, and the operators do not write again.
	// It asked others once, and later contents had the same index as its own.
	DescribeTable("is in force at the daemons that start then",
		func(runningName, runningZone string, startedNames ...string) {
			running := start(runningName, runningZone)
			Eventually(ready(running), "3s").Should(BeTrue())
			loseLatest(running)
			relay.mu.Lock()
			relay.silent["gone"] = true
			relay.mu.Unlock()
			var started []*directory.Follower
			for i, name := range startedNames {
				started = append(started, start(name, "x", "gone", "down", startedNames[(i+1)%len(startedNames)]))
			}
			for _, f := range started {
				Eventually(ready(f), "3s").Should(BeTrue())
			}
			for _, f := range started {
				Eventually(version(f), "9s").Should(BeEquivalentTo(9))
			}
			Consistently(version(running), "200ms").Should(BeEquivalentTo(9))
		},
		Entry("if the running daemon is the one to follow", first("d1", "d2"), "x", second("d1", "d2")),
		Entry("if the running daemon follows the one that starts", second("d1", "d2"), "x", first("d1", "d2")),
		Entry("if the running daemon is in another data centre", "d1", "y", "d2"),
		Entry("if two daemons start together", "d1", "y", "d2", "d3"),
	)

	// Guards against a daemon that serves by the copy's configuration until the running daemons
	// have registered again, which takes up to 5 s: they know its address from before the restore.
	It("is in force within 2 s at a daemon that starts again at its address", func() {
		running := start("d1", "y")
		stopped, stop := context.WithCancel(ctx)
		stoppedCtx := ctx
		ctx = stopped
		start("d2", "x")
		ctx = stoppedCtx
		Eventually(func() int { return running.View().Daemons }, "6s").Should(Equal(2))
		stop()
		loseLatest(running)
		Eventually(func() store.Era { return running.Era() }, "3s").Should(BeEquivalentTo(1))
		restarted := start("d2", "x")
		Eventually(ready(restarted), "2s").Should(BeTrue())
		Eventually(version(restarted), "2s").Should(BeEquivalentTo(9))
	})

	// Guards against a configuration that the operators write again after the restore, older than
	// the one in force, which takes effect at the daemon that knows the newest one.
	It("stays in force while older ones are written", func() {
		running := start("d1", "x")
		Eventually(ready(running), "3s").Should(BeTrue())
		loseLatest(running)
		Eventually(func() store.Era { return running.Era() }, "3s").Should(BeEquivalentTo(1))
		st.put("config", `{"Version": 4}`)
		started := start("d2", "x")
		Eventually(version(started), "8s").Should(BeEquivalentTo(9))
		st.put("config", `{"Version": 8}`)
		for _, f := range []*directory.Follower{running, started} {
			Consistently(version(f), "1s").Should(BeEquivalentTo(9))
		}
		st.put("config", `{"Version": 10}`)
		for _, f := range []*directory.Follower{running, started} {
			Eventually(version(f), "3s").Should(BeEquivalentTo(10))
		}
	})

	// Guards against a daemon of an earlier build, which does not exchange configurations, whose
	// newer one is not learnt of.
	It("is taken from a daemon of an earlier build", func() {
		running := start("d1", "x")
		Eventually(ready(running), "3s").Should(BeTrue())
		relay.mu.Lock()
		relay.earlierBuild = map[string]bool{"d1": true}
		relay.mu.Unlock()
		loseLatest(running)
		started := start("d2", "x")
		Eventually(version(started), "9s").Should(BeEquivalentTo(9))
	})

	// Guards against calls between daemons whose store has never been restored.
	It("is not looked for in era 0", func() {
		all := []*directory.Follower{start("d1", "x", "d2"), start("d2", "x", "d1")}
		for _, f := range all {
			Eventually(ready(f), "3s").Should(BeTrue())
		}
		exchanges := func() int {
			relay.mu.Lock()
			defer relay.mu.Unlock()
			return relay.exchanges
		}
		Consistently(exchanges, "2s").Should(BeZero())
	})
})

// first and second return the names of two daemons in data centre x by their rank in the
// tree of followers.
func first(a, b string) string {
	if membership.RendezvousWeight("x", b) > membership.RendezvousWeight("x", a) {
		return b
	}
	return a
}

func second(a, b string) string {
	if first(a, b) == a {
		return b
	}
	return a
}
