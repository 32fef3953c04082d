// Package sources chooses where a daemon reads the directory from. One daemon of
// each data centre watches the platform's store, because the platform counts the
// calls to it; the others follow that daemon, in a large data centre indirectly, by
// following another follower, so that no daemon sends every change to all. There is
// no election: every daemon ranks the daemons of its data centre in the same order,
// and the ranks form a tree. A daemon follows the nearest daemon above it in the
// tree that works, and the first one watches the store itself. Two daemons that
// disagree for a while both watch the store, which only costs additional calls.
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
	// peerRetryDelay is how long a daemon that did not answer is not followed; it
	// doubles with each failure up to maxPeerRetryDelay.
	peerRetryDelay    = 2 * time.Second
	maxPeerRetryDelay = 30 * time.Second
	// stalePeerDelay is how long a daemon that does not see the store is not
	// followed.
	stalePeerDelay = time.Second
	// minLinkMbps is the link bandwidth in Mbit/s below which a daemon is followed
	// only when there is no other. At 10 Mbit/s a change of 100 upstreams takes
	// seconds to reach 20 followers.
	minLinkMbps = 100
	// maxFollowers is how many daemons follow the same one while all of them work.
	// With 8, each change reaches the 39 daemons of the largest planned data centre
	// in two hops.
	maxFollowers = 8
	// maxStalePeers is how many daemons that do not see the store are passed over
	// before this one asks the store itself. The store may turn a third of the daemons away,
	// and then a few in a row do not see it although most do.
	maxStalePeers = 5
	// maxPeerFailures is the number of followed daemons that may fail one after the
	// other before this one asks the store: each failure takes about a second, and
	// the directory must not be out of date for longer than the operators' bounds.
	maxPeerFailures = 2
	// maxFollowAge is the age of the content from which a daemon that got no answer from
	// another one asks the store.
	maxFollowAge = 600 * time.Millisecond
	// minStoreRetryDelay and maxStoreRetryDelay bound the delay between calls to a
	// store that does not answer; the platform counts refused calls too.
	minStoreRetryDelay = 100 * time.Millisecond
	maxStoreRetryDelay = 1 * time.Second
	// firstProbers daemons of a data centre find out within maxStoreRetryDelay that the
	// store answers again. The others ask other daemons once in askInterval, and call the
	// store themselves only after minFollowerRetryDelay, and less and less up to
	// maxFollowerRetryDelay.
	firstProbers          = 3
	askInterval           = 1 * time.Second
	minFollowerRetryDelay = 1 * time.Second
	maxFollowerRetryDelay = 4 * time.Second
)

// Peer is a daemon that registered itself.
type Peer struct {
	Name       string
	Address    string
	DataCentre string
	// LinkMbps is the bandwidth of the VM's network link in Mbit/s; 0 is unknown.
	LinkMbps float64
}

// narrowLink reports whether many followers at once would fill the link.
func (p Peer) narrowLink() bool { return p.LinkMbps > 0 && p.LinkMbps < minLinkMbps }

// Kind is the kind of a Source.
type Kind int

const (
	// Store is a call to the platform's store.
	Store Kind = iota
	// Follow is a long poll of the daemon that is followed.
	Follow
	// AskPeers is a short call to some daemons while the store does not answer.
	AskPeers
)

// String returns the name that is used in logs.
func (k Kind) String() string { return [...]string{"store", "follow", "ask"}[k] }

// Source says what to read from next.
type Source struct {
	Kind Kind
	// Peer is set for Follow.
	Peer Peer
	// Delay is how long to wait before the call.
	Delay time.Duration
	// Probe says that the call only finds out whether the store answers.
	Probe bool
}

type peerState struct {
	failures  int
	skipUntil time.Time
	stale     bool
}

// Chooser chooses the next source of a daemon. It is not safe for concurrent
// use.
type Chooser struct {
	self Peer
	// candidates are the daemons that may be followed, the preferred one first.
	candidates []Peer
	peerStates map[string]*peerState
	// storeFailures counts consecutive failures of the store; storeDelay is the rest of
	// the delay before the next call.
	storeFailures int
	storeDelay    time.Duration
	// peerFailures counts consecutive failures of followed daemons.
	peerFailures int
	peersAsked   bool
	// confirmedAt is when the store last confirmed the content; zero is unknown.
	confirmedAt time.Time
}

// New returns a chooser for the daemon self. No other daemon is known at first.
func New(self Peer) *Chooser {
	c := &Chooser{self: self, peerStates: map[string]*peerState{}}
	c.SetPeers(nil)
	return c
}

// SetPeers sets the registered daemons. This daemon is ranked even while it is
// not registered.
func (c *Chooser) SetPeers(all []Peer) {
	ranked := []Peer{c.self}
	for _, p := range all {
		if p.DataCentre == c.self.DataCentre && p.Name != c.self.Name {
			ranked = append(ranked, p)
		}
	}
	slices.SortFunc(ranked, func(a, b Peer) int {
		if a.narrowLink() != b.narrowLink() {
			if a.narrowLink() {
				return 1
			}
			return -1
		}
		return cmp.Compare(membership.RendezvousWeight(c.self.DataCentre, b.Name), membership.RendezvousWeight(c.self.DataCentre, a.Name))
	})
	rank := slices.IndexFunc(ranked, func(p Peer) bool { return p.Name == c.self.Name })
	c.candidates = followCandidates(ranked, rank)
}

// followCandidates returns the daemons that the one at index rank of ranked may
// follow: its ancestors in the tree, the nearest first, then the others that rank
// before it. All of them rank before it, so that daemons never follow each other
// in a circle. Daemons with a narrow link, which rank last, are parents of others
// only when there is no other.
func followCandidates(ranked []Peer, rank int) []Peer {
	wideCount := slices.IndexFunc(ranked, Peer.narrowLink)
	if wideCount <= 0 {
		wideCount = len(ranked)
	}
	out := make([]Peer, 0, rank)
	isAncestor := map[int]bool{}
	for i := rank; i > 0; {
		parent := (i - 1) / maxFollowers
		if parent >= wideCount {
			parent = (i - 1) % wideCount
		}
		i = parent
		isAncestor[i] = true
		out = append(out, ranked[i])
	}
	// Daemons that cannot follow an ancestor are distributed over the first ranks.
	spread := min(maxFollowers, rank)
	for i := range rank {
		if i < spread {
			i = (i + rank) % spread
		}
		if !isAncestor[i] {
			out = append(out, ranked[i])
		}
	}
	return out
}

// Next returns what to read from next; loaded says that the directory has been
// read once.
func (c *Chooser) Next(now time.Time, loaded bool) Source {
	if c.storeFailures > 0 && !c.peersAsked {
		// Other daemons may know changes that the store does not report to this one.
		c.peersAsked = true
		return Source{Kind: AskPeers}
	}
	contentIsOld := !c.confirmedAt.IsZero() && now.Sub(c.confirmedAt) > maxFollowAge
	if loaded && c.peerFailures < maxPeerFailures && !(contentIsOld && c.peerFailures > 0) {
		stalePeers := 0
		for _, p := range c.candidates {
			if stalePeers >= maxStalePeers {
				break
			}
			r := c.peerState(p.Name)
			if now.Before(r.skipUntil) {
				if r.stale {
					stalePeers++
				}
				continue
			}
			return Source{Kind: Follow, Peer: p}
		}
	}
	if loaded && c.storeDelay > askInterval {
		c.storeDelay -= askInterval
		return Source{Kind: AskPeers, Delay: askInterval}
	}
	return Source{Kind: Store, Probe: c.storeFailures > 0, Delay: min(c.storeDelay, askInterval)}
}

// retryDelay returns the delay before the next call to a store that failed.
func (c *Chooser) retryDelay() time.Duration {
	first, limit := minStoreRetryDelay, maxStoreRetryDelay
	if len(c.candidates) >= firstProbers {
		first, limit = minFollowerRetryDelay, maxFollowerRetryDelay
	}
	return min(first<<min(c.storeFailures-1, 6), limit)
}

// Confirmed records when the store last confirmed the content, to this daemon or to
// the one that it follows.
func (c *Chooser) Confirmed(at time.Time) { c.confirmedAt = at }

// StoreAnswered records an answer of the store.
func (c *Chooser) StoreAnswered() {
	c.storeFailures, c.storeDelay, c.peerFailures, c.peersAsked = 0, 0, 0, false
}

// StoreFailed records that the store did not answer or refused the call.
func (c *Chooser) StoreFailed() {
	c.storeFailures++
	c.storeDelay = c.retryDelay()
	c.peerFailures = 0
	c.peersAsked = false
}

// PeerAnswered records an answer of the followed daemon; upToDate says that the
// daemon sees the store.
func (c *Chooser) PeerAnswered(name string, upToDate bool, now time.Time) {
	r := c.peerState(name)
	r.failures = 0
	c.peerFailures = 0
	r.stale = !upToDate
	r.skipUntil = time.Time{}
	if !upToDate {
		r.skipUntil = now.Add(stalePeerDelay)
		return
	}
	c.storeFailures, c.storeDelay, c.peersAsked = 0, 0, false
}

// PeerFailed records that the followed daemon did not answer.
func (c *Chooser) PeerFailed(name string, now time.Time) {
	r := c.peerState(name)
	c.peerFailures++
	r.stale = false
	r.skipUntil = now.Add(min(peerRetryDelay<<min(r.failures, 4), maxPeerRetryDelay))
	r.failures++
}

func (c *Chooser) peerState(name string) *peerState {
	r := c.peerStates[name]
	if r == nil {
		r = &peerState{}
		c.peerStates[name] = r
	}
	return r
}
