package sources_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/sources"
)

func TestSources(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sources")
}

var _ = Describe("Chooser", func() {
	now := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	var peers []sources.Peer
	var choosers map[string]*sources.Chooser
	BeforeEach(func() {
		peers, choosers = nil, map[string]*sources.Chooser{}
		for i := range 20 {
			peers = append(peers, sources.Peer{Name: fmt.Sprint("d", i), Address: fmt.Sprint("a", i), DataCentre: "x"})
		}
		peers = append(peers, sources.Peer{Name: "far", Address: "far", DataCentre: "y"})
		for _, p := range peers {
			choosers[p.Name] = sources.New(p)
			choosers[p.Name].SetPeers(peers)
		}
	})
	watchers := func() []string {
		var out []string
		for _, p := range peers {
			if choosers[p.Name].Next(now, true).Kind == sources.Store {
				out = append(out, p.Name)
			}
		}
		return out
	}
	leader := func() string { return choosers["d0"].Next(now, true).Peer.Name }

	// Guards against calls to the store that grow with the number of daemons.
	It("has one watcher in each data centre", func() {
		Expect(watchers()).To(HaveLen(2))
		Expect(watchers()).To(ContainElement("far"))
	})

	// Guards against a watcher that sends every change to all daemons of a large
	// data centre: 84 KB/s with 33 daemons before 330 upstreams.
	It("spreads followers over the daemons of a large data centre, without circles", func() {
		var all []sources.Peer
		for i := range 39 {
			all = append(all, sources.Peer{Name: fmt.Sprint("d", i), DataCentre: "x"})
		}
		for i := range 12 {
			all[3*i].LinkMbps = 10
		}
		followers, follows := map[string]int{}, map[string]string{}
		for _, p := range all {
			c := sources.New(p)
			c.SetPeers(all)
			if s := c.Next(now, true); s.Kind == sources.Follow {
				followers[s.Peer.Name]++
				follows[p.Name] = s.Peer.Name
				Expect(s.Peer.LinkMbps).To(BeZero(), "a narrow link")
			}
		}
		Expect(follows).To(HaveLen(38))
		for name, n := range followers {
			Expect(n).To(BeNumerically("<=", 8), name)
		}
		for name := range follows {
			hops := 0
			for at := name; follows[at] != ""; at = follows[at] {
				hops++
				Expect(hops).To(BeNumerically("<=", 2), name)
			}
		}
	})

	// Guards against daemons without news because the one between them and the
	// watcher is silent or does not see the store.
	It("follows the daemon above the one that fails", func() {
		follows := map[string]string{}
		for _, p := range peers[:20] {
			follows[p.Name] = choosers[p.Name].Next(now, true).Peer.Name
		}
		through := 0
		for name, above := range follows {
			if above == "" || follows[above] == "" {
				continue
			}
			through++
			silent, away := choosers[name], sources.New(sources.Peer{Name: name, DataCentre: "x"})
			away.SetPeers(peers)
			silent.PeerFailed(above, now)
			Expect(silent.Next(now, true).Peer.Name).To(Equal(follows[above]))
			away.PeerAnswered(above, false, now)
			Expect(away.Next(now, true).Peer.Name).To(Equal(follows[above]))
		}
		Expect(through).To(Equal(11))
	})

	// Guards against followers that wait for a daemon whose link is filled by their
	// own questions: answers of 100 changes did not arrive in time.
	It("follows a daemon with a narrow link only when there is no other", func() {
		for i := range peers {
			peers[i].LinkMbps = 10
		}
		peers[7].LinkMbps = 200
		for _, p := range peers[:20] {
			c := sources.New(p)
			c.SetPeers(peers)
			s := c.Next(now, true)
			if p.Name == peers[7].Name {
				Expect(s.Kind).To(Equal(sources.Store))
			} else {
				Expect(s.Peer.Name).To(Equal(peers[7].Name))
			}
		}
	})

	// Guards against a daemon that goes from one silent daemon to the next while its
	// directory grows older than the operators' bounds.
	It("asks the store after two daemons failed in a row", func() {
		for _, p := range peers[:20] {
			c := choosers[p.Name]
			for range 2 {
				if s := c.Next(now, true); s.Kind == sources.Follow {
					c.PeerFailed(s.Peer.Name, now)
				}
			}
			Expect(c.Next(now, true).Kind).To(Equal(sources.Store))
			c.StoreAnswered()
		}
		Expect(choosers["d0"].Next(now, true).Kind).To(BeElementOf(sources.Follow, sources.Store))
	})

	It("reads the store before anything is known", func() {
		for _, p := range peers {
			Expect(choosers[p.Name].Next(now, false).Kind).To(Equal(sources.Store))
		}
	})

	// Guards against followers that stay with a daemon that died.
	It("follows the next daemon when the first does not answer, and returns later", func() {
		var followers, followed []string
		for _, p := range peers {
			if s := choosers[p.Name].Next(now, true); s.Kind == sources.Follow {
				choosers[p.Name].PeerFailed(s.Peer.Name, now)
				followers, followed = append(followers, p.Name), append(followed, s.Peer.Name)
			}
		}
		Expect(followers).To(HaveLen(19))
		Expect(watchers()).To(HaveLen(3), "the dead one does not know")
		c := choosers[followers[0]]
		next := c.Next(now, true)
		later := c.Next(now.Add(3*time.Second), true)
		Expect(later.Kind).To(Equal(sources.Follow))
		Expect(later.Peer.Name).To(Equal(followed[0]))
		Expect(next.Peer.Name).NotTo(Equal(later.Peer.Name))
	})

	// Guards against a daemon that stays without news because the one it follows
	// is turned away by the store.
	It("passes over a daemon that does not see the store, and asks the store itself", func() {
		c := choosers["d0"]
		l := leader()
		if l == "" {
			c = choosers["d1"]
			l = c.Next(now, true).Peer.Name
		}
		c.PeerAnswered(l, false, now)
		second := c.Next(now, true)
		Expect(second.Peer.Name).NotTo(Equal(l))
		if second.Kind == sources.Follow {
			c.PeerAnswered(second.Peer.Name, false, now)
			Expect(c.Next(now, true).Kind).To(Equal(sources.Store))
		}
	})

	// Guards against a store that is away and gets a call from each daemon at
	// once, again and again: refused calls are counted too.
	It("asks other daemons between calls to a store that fails, with growing pauses", func() {
		c := choosers["far"]
		var pauses []time.Duration
		for range 8 {
			c.StoreFailed()
			Expect(c.Next(now, true).Kind).To(Equal(sources.AskPeers))
			s := c.Next(now, true)
			Expect(s.Kind).To(Equal(sources.Store))
			Expect(s.Probe).To(BeTrue())
			pauses = append(pauses, s.Delay)
		}
		Expect(pauses[0]).To(Equal(100 * time.Millisecond))
		Expect(pauses[7]).To(Equal(time.Second))
		c.StoreAnswered()
		Expect(c.Next(now, true)).To(Equal(sources.Source{Kind: sources.Store}))
	})
})
