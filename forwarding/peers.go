package forwarding

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gooseberryroad/gooseberryroad/sources"
)

const (
	// reportFor is how long a report of another daemon is used.
	reportFor = 2 * time.Second
	// AskInterval is the least time between two rounds of questions to other daemons. A
	// report is renewed several times before it is too old.
	AskInterval = 500 * time.Millisecond
	// askedLocal and askedRemote bound the daemons of the own data centre and of others that
	// are asked in a round, so that a large deployment that is cut off as a whole asks no more
	// than a few questions a second for each of its daemons.
	askedLocal, askedRemote = 3, 4
	// MaxTries bounds the daemons to which one request is offered.
	MaxTries = 3
	// silentFor is how long a daemon that did not answer, or turned a request away, gets none.
	silentFor = time.Second
	// minLinkMbps is the link bandwidth in Mbit/s below which a daemon gets forwarded requests
	// only if no other can take them.
	minLinkMbps = 100
)

// Peers holds what a daemon knows of the others, by relay address. It is not safe for
// concurrent use.
type Peers struct {
	self    sources.Peer
	states  map[string]*peerState
	askedAt time.Time
	rnd     *rand.Rand
}

type peerState struct {
	report     Report
	reportedAt time.Time
	// avoidUntil is until when the daemon gets no requests; avoidService until when it gets
	// none for a service.
	avoidUntil   time.Time
	avoidService map[string]time.Time
}

// NewPeers returns the state of the daemon self.
func NewPeers(self sources.Peer, rnd *rand.Rand) *Peers {
	return &Peers{self: self, states: map[string]*peerState{}, rnd: rnd}
}

func (p *Peers) state(address string) *peerState {
	s := p.states[address]
	if s == nil {
		s = &peerState{avoidService: map[string]time.Time{}}
		p.states[address] = s
	}
	return s
}

// Answered records the report of a daemon.
func (p *Peers) Answered(address string, r Report, now time.Time) {
	s := p.state(address)
	s.report, s.reportedAt, s.avoidUntil = r, now, time.Time{}
}

// Silent records that a daemon could not be reached or did not answer.
func (p *Peers) Silent(address string, now time.Time) {
	s := p.state(address)
	s.report, s.reportedAt, s.avoidUntil = Report{}, time.Time{}, now.Add(silentFor)
}

// TurnedAway records that a daemon did not take a request for a service.
func (p *Peers) TurnedAway(address, service string, now time.Time) {
	p.state(address).avoidService[service] = now.Add(silentFor)
}

// Served records that a daemon passed on the response of an upstream of a service.
func (p *Peers) Served(address, service string, now time.Time) {
	s := p.state(address)
	services := map[string]Status{service: Reached}
	for other, status := range s.report.Services {
		if other != service {
			services[other] = status
		}
	}
	s.report = Report{Services: services, All: Reached}
	s.reportedAt = now
}

// Candidates returns the daemons that may take a request for a service, best first: those that
// reach its upstreams come before those that do not know, and near ones before far ones. Equal
// ones are in random order, so that they share the requests. A daemon from which no fresh
// report is known is not among them. sure says that the first one reaches the upstreams.
func (p *Peers) Candidates(service string, daemons []sources.Peer, now time.Time) (peers []sources.Peer, sure bool) {
	type candidate struct {
		sources.Peer
		rank int
	}
	var out []candidate
	for _, d := range daemons {
		s := p.states[d.Address]
		if d.Address == p.self.Address || s == nil || s.reportedAt.IsZero() || now.Sub(s.reportedAt) >= reportFor ||
			now.Before(s.avoidUntil) || now.Before(s.avoidService[service]) {
			continue
		}
		if rank, ok := p.rank(d, s.report, service); ok {
			out = append(out, candidate{d, rank})
		}
	}
	p.rnd.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(x, y candidate) int { return cmp.Compare(x.rank, y.rank) })
	for _, c := range out {
		peers = append(peers, c.Peer)
	}
	return peers, len(out) > 0 && out[0].rank < rankKnown
}

// rankKnown is the rank from which a daemon does not know whether it reaches the upstreams of a
// service.
const rankKnown = 4

// rank returns the rank of a daemon for a service, the lowest first; ok is false if it must not
// get requests for it.
func (p *Peers) rank(d sources.Peer, r Report, service string) (rank int, ok bool) {
	status := r.Status(service)
	if r.Closed || status == Failing || status == Unknown && r.All == Failing {
		return 0, false
	}
	switch {
	case status == Reached:
	case r.All == Reached:
		rank = rankKnown
	default:
		rank = 2 * rankKnown
	}
	if d.LinkMbps > 0 && d.LinkMbps < minLinkMbps {
		rank += 2
	}
	if d.DataCentre != p.self.DataCentre {
		rank++
	}
	return rank, true
}

// Ask returns the daemons to ask for their reports now; none if a round began less than
// AskInterval ago.
func (p *Peers) Ask(daemons []sources.Peer, now time.Time) []sources.Peer {
	if !p.askedAt.IsZero() && now.Sub(p.askedAt) < AskInterval {
		return nil
	}
	p.askedAt = now
	shuffled := slices.DeleteFunc(slices.Clone(daemons), func(d sources.Peer) bool { return d.Address == p.self.Address || d.Address == "" })
	p.rnd.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	// Those that reached upstreams come first: a random choice in a large deployment would let
	// their reports get old.
	slices.SortStableFunc(shuffled, func(x, y sources.Peer) int {
		return cmp.Compare(p.askRank(x.Address, now), p.askRank(y.Address, now))
	})
	var out []sources.Peer
	local, remote := 0, 0
	for _, d := range shuffled {
		switch {
		case d.DataCentre == p.self.DataCentre && local < askedLocal:
			local++
		case d.DataCentre != p.self.DataCentre && remote < askedRemote:
			remote++
		default:
			continue
		}
		out = append(out, d)
	}
	return out
}

// askRank returns 0 for a daemon that reached upstreams by its last report, 2 for one that did
// not or is silent, and 1 for others.
func (p *Peers) askRank(address string, now time.Time) int {
	s := p.states[address]
	switch {
	case s == nil:
		return 1
	case now.Before(s.avoidUntil) || now.Sub(s.reportedAt) < reportFor && (s.report.Closed || s.report.All == Failing):
		return 2
	case s.report.All == Reached:
		return 0
	}
	return 1
}

// Retain forgets all daemons but the given ones.
func (p *Peers) Retain(daemons []sources.Peer) {
	known := make(map[string]bool, len(daemons))
	for _, d := range daemons {
		known[d.Address] = true
	}
	for address := range p.states {
		if !known[address] {
			delete(p.states, address)
		}
	}
}
