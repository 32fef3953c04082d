// Package sources chooses where a daemon reads the directory from. One daemon of
// each data centre watches the platform's store, whose calls are counted; the
// others follow that daemon, in a large data centre through others, so that no
// daemon sends every change to all. There is no election: every daemon ranks the
// daemons of its data centre in the same order, which makes a tree; it follows
// the nearest daemon above it that works, and watches the store itself when it
// is the first. Two daemons that disagree for a while both watch, which costs
// calls and nothing else.
//
//gooseberryroad:pure
package sources

import (
	"cmp"
	"slices"
	"time"

	"github.com/gooseberryroad/gooseberryroad/membership"
)

const (
	// failedPause is how long a daemon that did not answer is not followed; it
	// doubles with each failure up to maxFailedPause.
	failedPause    = 2 * time.Second
	maxFailedPause = 30 * time.Second
	// unsettledPause is how long a daemon that does not see the store is passed
	// over.
	unsettledPause = time.Second
	// minLinkMbps is the link below which a daemon is followed only when there is no
	// other. On 10 Mbit/s a change of 100 upstreams takes seconds to reach 20
	// followers.
	minLinkMbps = 100
	// maxFollowers is how many daemons follow one while all work. With 8, each
	// change reaches the 39 daemons of the largest data centre planned in two hops.
	maxFollowers = 8
	// maxTried bounds the daemons that are passed over before this one asks the
	// store itself, so that not all daemons turn to the store when it is away.
	maxTried = 2
	// maxFailedInRow is the number of followed daemons that may fail one after the
	// other before this one asks the store: each takes about a second, and the
	// directory must not be out of date for longer than the operators' bounds.
	maxFailedInRow = 2
	// minStorePause and maxStorePause bound the pause between calls to a store that
	// does not answer; refused calls are counted too.
	minStorePause = 100 * time.Millisecond
	maxStorePause = 1 * time.Second
)

// Peer is a daemon that registered itself.
type Peer struct {
	Name       string
	Address    string
	DataCentre string
	// LinkMbps is the width of the VM's network link in Mbit/s; 0 is unknown.
	LinkMbps float64
}

// narrow reports whether many followers at once would fill the link.
func (p Peer) narrow() bool { return p.LinkMbps > 0 && p.LinkMbps < minLinkMbps }

// Kind says what to read next.
type Kind int

const (
	// Store is a call to the platform's store.
	Store Kind = iota
	// Follow is a long call to the daemon that is followed.
	Follow
	// Ask is a short call to some daemons while the store does not answer.
	AskPeers
)

// String returns the name used in logs.
func (k Kind) String() string { return [...]string{"store", "follow", "ask"}[k] }

// Source is the next thing to read.
type Source struct {
	Kind Kind
	// Peer is set for Follow.
	Peer Peer
	// Pause is how long to wait before.
	Delay time.Duration
	// Short says that the call only finds out whether the store answers.
	Probe bool
}

type record struct {
	failures  int
	skipUntil time.Time
	unsettled bool
}

// Chooser is owned by one goroutine.
type Chooser struct {
	self Peer
	// candidates are the daemons to follow, the preferred one first.
	candidates []Peer
	records    map[string]*record
	// storeFailures counts failures of the store in a row.
	storeFailures int
	// peerFailures counts followed daemons that failed in a row.
	peerFailures int
	asked        bool
}

// New returns a chooser for the daemon self.
func New(self Peer) *Chooser {
	c := &Chooser{self: self, records: map[string]*record{}}
	c.SetPeers(nil)
	return c
}

// SetPeers takes the registered daemons. This daemon is ranked also while it is
// not registered.
func (c *Chooser) SetPeers(all []Peer) {
	ranked := []Peer{c.self}
	for _, p := range all {
		if p.DataCentre == c.self.DataCentre && p.Name != c.self.Name {
			ranked = append(ranked, p)
		}
	}
	slices.SortFunc(ranked, func(a, b Peer) int {
		if a.narrow() != b.narrow() {
			if a.narrow() {
				return 1
			}
			return -1
		}
		return cmp.Compare(membership.RendezvousWeight(c.self.DataCentre, b.Name), membership.RendezvousWeight(c.self.DataCentre, a.Name))
	})
	place := slices.IndexFunc(ranked, func(p Peer) bool { return p.Name == c.self.Name })
	c.candidates = above(ranked, place)
}

// above returns the daemons that the one at a place may follow: those above it
// in the tree from the nearest on, then the others that rank before it. All of
// them rank before it, so that daemons never follow each other in a circle.
// Daemons with a narrow link, which rank last, are above others only when there
// is no other.
func above(ranked []Peer, place int) []Peer {
	wide := slices.IndexFunc(ranked, Peer.narrow)
	if wide <= 0 {
		wide = len(ranked)
	}
	out := make([]Peer, 0, place)
	taken := map[int]bool{}
	for i := place; i > 0; {
		above := (i - 1) / maxFollowers
		if above >= wide {
			above = (i - 1) % wide
		}
		i = above
		taken[i] = true
		out = append(out, ranked[i])
	}
	for i, p := range ranked[:place] {
		if !taken[i] {
			out = append(out, p)
		}
	}
	return out
}

// Next returns what to read next. Loaded says that the directory was read once.
func (c *Chooser) Next(now time.Time, loaded bool) Source {
	if c.storeFailures > 0 && !c.asked {
		// Other daemons may see what the store does not tell this one.
		c.asked = true
		return Source{Kind: AskPeers}
	}
	if loaded && c.peerFailures < maxFailedInRow {
		tried := 0
		for _, p := range c.candidates {
			if tried >= maxTried {
				break
			}
			r := c.record(p.Name)
			if now.Before(r.skipUntil) {
				if r.unsettled {
					tried++
				}
				continue
			}
			return Source{Kind: Follow, Peer: p}
		}
	}
	s := Source{Kind: Store, Probe: c.storeFailures > 0}
	if c.storeFailures > 0 {
		s.Delay = min(minStorePause<<min(c.storeFailures-1, 4), maxStorePause)
	}
	return s
}

// StoreAnswered notes an answer of the store.
func (c *Chooser) StoreAnswered() { c.storeFailures, c.peerFailures, c.asked = 0, 0, false }

// StoreFailed notes that the store did not answer, or refused.
func (c *Chooser) StoreFailed() {
	c.storeFailures++
	c.peerFailures = 0
	c.asked = false
}

// PeerAnswered notes an answer of the followed daemon; settled says that it
// sees the store.
func (c *Chooser) PeerAnswered(name string, settled bool, now time.Time) {
	r := c.record(name)
	r.failures = 0
	c.peerFailures = 0
	r.unsettled = !settled
	r.skipUntil = time.Time{}
	if !settled {
		r.skipUntil = now.Add(unsettledPause)
		return
	}
	c.storeFailures, c.asked = 0, false
}

// PeerFailed notes that the followed daemon did not answer.
func (c *Chooser) PeerFailed(name string, now time.Time) {
	r := c.record(name)
	c.peerFailures++
	r.unsettled = false
	r.skipUntil = now.Add(min(failedPause<<min(r.failures, 4), maxFailedPause))
	r.failures++
}

func (c *Chooser) record(name string) *record {
	r := c.records[name]
	if r == nil {
		r = &record{}
		c.records[name] = r
	}
	return r
}
