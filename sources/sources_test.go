package sources_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/membership"
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
	storeReaders := func() []string {
		var out []string
		for _, p := range peers {
			if choosers[p.Name].Next(now, true).Kind == sources.Store {
				out = append(out, p.Name)
			}
		}
		return out
	}
	followedByD0 := func() string { return choosers["d0"].Next(now, true).Peer.Name }

	// The number of calls to the store must not grow with the number of daemons.
	It("has one daemon in each data centre that watches the store", func() {
		Expect(storeReaders()).To(HaveLen(2))
		Expect(storeReaders()).To(ContainElement("far"))
	})

	// A watcher that sent every change to all daemons of a large data centre sent 84
	// KB/s with 33 daemons and 330 upstreams.
	It("distributes followers over the daemons of a large data centre, without circles", func() {
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

	// A daemon must get changes although the one between it and the watcher is
	// silent or does not see the store.
	It("follows the next daemon up the tree when the followed one fails or does not see the store", func() {
		follows := map[string]string{}
		for _, p := range peers[:20] {
			follows[p.Name] = choosers[p.Name].Next(now, true).Peer.Name
		}
		indirect := 0
		for name, parent := range follows {
			if parent == "" || follows[parent] == "" {
				continue
			}
			indirect++
			afterFailure, afterStale := choosers[name], sources.New(sources.Peer{Name: name, DataCentre: "x"})
			afterStale.SetPeers(peers)
			afterFailure.PeerFailed(parent, now)
			Expect(afterFailure.Next(now, true).Peer.Name).To(Equal(follows[parent]))
			afterStale.PeerAnswered(parent, false, now)
			Expect(afterStale.Next(now, true).Peer.Name).To(Equal(follows[parent]))
		}
		Expect(indirect).To(Equal(11))
	})

	// The requests of many followers fill a narrow link: answers of 100 changes did
	// not arrive in time.
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

	// A daemon that tries one silent daemon after the other lets its directory
	// become older than the operators' bounds allow.
	It("asks the store after two consecutive failures of followed daemons", func() {
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

	// Each daemon that does not answer takes more than a second of the time in which a
	// change has to be in force.
	It("asks the store after one failure when its content is not fresh", func() {
		followNext := 0
		for _, p := range peers[:20] {
			c := choosers[p.Name]
			c.Confirmed(now.Add(-time.Second))
			s := c.Next(now, true)
			if s.Kind != sources.Follow {
				continue
			}
			c.PeerFailed(s.Peer.Name, now)
			Expect(c.Next(now, true).Kind).To(Equal(sources.Store))
			c.Confirmed(now)
			if c.Next(now, true).Kind == sources.Follow {
				followNext++
			}
		}
		Expect(followNext).To(Equal(18), "all but the first two daemons have another one to follow")
	})

	It("reads the store while the directory has not been read", func() {
		for _, p := range peers {
			Expect(choosers[p.Name].Next(now, false).Kind).To(Equal(sources.Store))
		}
	})

	// Followers must not stay with a daemon that died.
	It("follows the next daemon when the first does not answer, and returns later", func() {
		var followers, followed []string
		for _, p := range peers {
			if s := choosers[p.Name].Next(now, true); s.Kind == sources.Follow {
				choosers[p.Name].PeerFailed(s.Peer.Name, now)
				followers, followed = append(followers, p.Name), append(followed, s.Peer.Name)
			}
		}
		Expect(followers).To(HaveLen(19))
		Expect(storeReaders()).To(HaveLen(3), "the daemon that died does not know it")
		c := choosers[followers[0]]
		next := c.Next(now, true)
		later := c.Next(now.Add(3*time.Second), true)
		Expect(later.Kind).To(Equal(sources.Follow))
		Expect(later.Peer.Name).To(Equal(followed[0]))
		Expect(next.Peer.Name).NotTo(Equal(later.Peer.Name))
	})

	// A daemon must get changes although the store refuses the calls of the one that
	// it follows.
	It("passes over a daemon that does not see the store, and asks the store itself", func() {
		c := choosers["d0"]
		followed := followedByD0()
		if followed == "" {
			c = choosers["d1"]
			followed = c.Next(now, true).Peer.Name
		}
		passedOver := map[string]bool{}
		s := c.Next(now, true)
		for s.Kind == sources.Follow {
			Expect(passedOver).NotTo(HaveKey(s.Peer.Name))
			passedOver[s.Peer.Name] = true
			c.PeerAnswered(s.Peer.Name, false, now)
			s = c.Next(now, true)
		}
		Expect(passedOver).To(HaveKey(followed))
		Expect(len(passedOver)).To(BeNumerically("<=", 5))
		Expect(s.Kind).To(Equal(sources.Store))
	})

	// A third of the daemons cannot reach the store. The descendants of two of them that
	// are above each other asked the store at the full rate: 75 to 88 of 295 daemons, 1,000
	// calls in four seconds.
	It("finds a daemon that sees the store although a third of the daemons do not", func() {
		var all []sources.Peer
		for i := range 49 {
			all = append(all, sources.Peer{Name: fmt.Sprint("d", i), DataCentre: "x"})
		}
		readers := 0
		const fleets = 20
		for fleet := range fleets {
			cutOff := func(name string) bool { return membership.RendezvousWeight(fmt.Sprint(fleet), name)%3 == 0 }
			for _, p := range all {
				if cutOff(p.Name) {
					continue
				}
				c := sources.New(p)
				c.SetPeers(all)
				s := c.Next(now, true)
				for s.Kind == sources.Follow && cutOff(s.Peer.Name) {
					c.PeerAnswered(s.Peer.Name, false, now)
					s = c.Next(now, true)
				}
				if s.Kind == sources.Store {
					readers++
				}
			}
		}
		Expect(readers).To(BeNumerically("<=", 3*fleets))
	})

	// An outage of the store got a call from each of 295 daemons each second: 3,244
	// refused calls in 14 s.
	It("has a few daemons of a large data centre find out that the store answers again", func() {
		var all []sources.Peer
		for i := range 49 {
			all = append(all, sources.Peer{Name: fmt.Sprint("d", i), DataCentre: "x"})
		}
		calls := 0
		for _, p := range all {
			c := sources.New(p)
			c.SetPeers(all)
			for at := time.Duration(0); at < 14*time.Second; {
				c.StoreFailed()
				Expect(c.Next(now, true).Kind).To(Equal(sources.AskPeers))
				// A daemon that waits for the store asks the others meanwhile: content must
				// not become older than the operators' bounds after the outage.
				for s := c.Next(now, true); ; s = c.Next(now, true) {
					Expect(s.Delay).To(BeNumerically("<=", time.Second))
					at += s.Delay
					if s.Kind == sources.Store {
						break
					}
					if s.Kind == sources.Follow {
						c.PeerAnswered(s.Peer.Name, false, now)
					}
				}
				calls++
			}
		}
		Expect(calls).To(BeNumerically("<=", 49*6))
	})

	// A store that is unavailable must not get a call from each daemon at once again
	// and again: refused calls are counted too.
	It("asks other daemons between calls to a store that fails, with growing delays", func() {
		c := choosers["far"]
		var delays []time.Duration
		for range 8 {
			c.StoreFailed()
			Expect(c.Next(now, true).Kind).To(Equal(sources.AskPeers))
			s := c.Next(now, true)
			Expect(s.Kind).To(Equal(sources.Store))
			Expect(s.Probe).To(BeTrue())
			delays = append(delays, s.Delay)
		}
		Expect(delays[0]).To(Equal(100 * time.Millisecond))
		Expect(delays[7]).To(Equal(time.Second))
		c.StoreAnswered()
		Expect(c.Next(now, true)).To(Equal(sources.Source{Kind: sources.Store}))
	})
})
