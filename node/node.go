package node

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/gooseberryroad/gooseberryroad/document"
	"github.com/gooseberryroad/gooseberryroad/membership"
	"github.com/gooseberryroad/gooseberryroad/quarantine"
	"github.com/gooseberryroad/gooseberryroad/revision"
	"github.com/gooseberryroad/gooseberryroad/store"
)

// MovesPrefix is the store prefix of version moves.
const MovesPrefix = "moves/"

// Options configure a node. The zero value of a timer selects its default.
type Options struct {
	// Name, DataCentre, Region and PeerAddress are those of this daemon.
	Name, DataCentre, Region, PeerAddress string
	// Incarnation must be higher at every start of the daemon.
	Incarnation uint64
	// Seeds are peer addresses tried while no other peer is known.
	Seeds []string
	// Rand is the source of all jitter.
	Rand *rand.Rand
	// VMs is set when there is a list of VMs to read.
	VMs bool

	// WatchWait is how long the store holds a watch. A watch that returns
	// nothing for twice as long is opened again, so twice this time plus a list
	// must stay below the 9 s in which a document must be in force.
	WatchWait time.Duration
	// ListWait bounds a list that does not wait; it is given up after twice
	// this time.
	ListWait time.Duration
	// RelistInterval is how often a watcher lists instead of watching, which
	// repairs a watch that misses changes. The time for a document to be in
	// force bounds it too.
	RelistInterval time.Duration
	// PollInterval is the time between two load reports of one upstream.
	PollInterval time.Duration
	// PollTimeout is when a poll that has not returned is given up.
	PollTimeout time.Duration
	// VMInterval is the time between two readings of the list of VMs.
	VMInterval time.Duration
	// MaxPolled bounds how many upstreams one daemon polls. At 350 daemons and
	// 2,500 replicas, polling all of them would load engines with 875,000
	// calls a second.
	MaxPolled int

	Upstreams membership.UpstreamOptions
	// Members holds timers of membership; Self and Seeds are set by New.
	Members membership.MemberOptions
}

func (o Options) withDefaults() Options {
	def := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	def(&o.WatchWait, 3*time.Second)
	def(&o.ListWait, time.Second)
	def(&o.RelistInterval, 6*time.Second)
	def(&o.PollInterval, time.Second)
	def(&o.PollTimeout, 2*time.Second)
	def(&o.VMInterval, 2*time.Second)
	if o.MaxPolled == 0 {
		o.MaxPolled = 64
	}
	return o
}

// Node is the control state of one daemon. It is owned by one goroutine.
type Node struct {
	o       Options
	revs    *revision.Set
	ups     *membership.Upstreams
	members *membership.Members
	peers   peers
	// moves are the entries of moves/ by key, passed on like documents.
	moves     map[string]store.Entry
	movesHash uint64
	// movesListed is set once a whole list of moves/ was read.
	movesListed bool
	movers      map[string]*move
	nextUsable  time.Time
	held        []heldDirect
	watches     map[string]*watch
	watchSeq    uint64
	// isElected is the choice of watchers, made again at electAt.
	isElected  bool
	electAt    time.Time
	polls      map[string]*poll
	vms        poll
	quarantine *quarantine.State
	// verdicts is set when those in the snapshot must be made again.
	verdicts       bool
	quarantineSent uint64
	// crashNotices counts the crashes told to others since crashNoticesFrom.
	crashNotices     int
	crashNoticesFrom time.Time
	// losses wait for a load report, by address and incarnation.
	losses   map[string]*loss
	draining bool
	// storeDown is set while calls to the store fail. A daemon without a watch
	// makes none as a rule, so it is not set until one has failed.
	storeDown  bool
	configured bool
	applied    uint64

	snap *Snapshot
	// dirty names services whose view must be built again.
	dirty map[string]bool
	// changed is set when anything else in the snapshot changed, urgent when
	// traffic must see it before the next tick.
	changed, urgent bool
}

// New returns a node that knows nothing yet.
func New(o Options) *Node {
	o = o.withDefaults()
	o.Members.Seeds = o.Seeds
	o.Members.Self = membership.Member{Name: o.Name, DataCentre: o.DataCentre, Region: o.Region,
		Address: o.PeerAddress, Incarnation: o.Incarnation}
	n := &Node{
		members: membership.NewMembers(o.Members), peers: newPeers(), moves: map[string]store.Entry{},
		movers: map[string]*move{},
		o:      o, revs: revision.NewSet(), ups: membership.NewUpstreams(o.Upstreams),
		quarantine: quarantine.New(quarantine.Options{Self: o.Name}), losses: map[string]*loss{},
		watches: map[string]*watch{}, polls: map[string]*poll{}, dirty: map[string]bool{},
	}
	for _, prefix := range watchedPrefixes {
		n.watches[prefix] = &watch{prefix: prefix}
	}
	n.snap = &Snapshot{StoreReachable: true, Services: map[string]*ServiceView{}, Rejected: map[string]Rejection{}, Peers: []string{o.Name}}
	return n
}

// Snapshot returns the current view. It is replaced, never written.
func (n *Node) Snapshot() *Snapshot { return n.snap }

// Step takes one event.
func (n *Node) Step(now time.Time, ev Event) []Action {
	var out []Action
	switch ev := ev.(type) {
	case StoreListed:
		out = n.listed(now, ev)
	case StoreWrote:
		out = n.wrote(now, ev)
	case StoreRead:
		n.storeSeen(ev.Err)
		out = n.moveRead(now, ev)
	case OutcomeSampled:
		out = n.sampled(now, ev.Sample)
	case GenerationAdopted:
		out = n.adopted(now, ev)
	case VMsListed:
		out = n.vmsListed(now, ev)
	case LoadReported:
		out = n.loadReported(now, ev)
	case UpstreamRefused:
		out = n.upstreamRefused(now, ev)
	case Crash:
		out = n.crashed(now, ev)
	case RequestCompleted:
		out = n.quarantineStep(now, quarantine.Completed{Hash: ev.Hash})
	case TrialRequested:
		out = n.trialRequested(now, ev)
	case TrialEnded:
		out = n.quarantineStep(now, quarantine.TrialEnded{Hash: ev.Hash})
	case QuarantinedRequestRefused:
		out = n.quarantineStep(now, quarantine.Refused{Hash: ev.Hash})
	case PeerUp:
		out = n.peerUp(now, ev)
	case PeerDown:
		out = n.peerDown(now, ev)
	case LinkFailed:
		out = n.linkFailed(now, ev)
	case PeerMessage:
		out = n.peerMessage(now, ev)
	case Publish:
		out = n.notice(now, ev.Notice, "")
	case DrainRequested:
		if !n.draining {
			n.draining, n.urgent = true, true
		}
	case Tick:
		out = n.tick(now)
	}
	out = append(out, n.judgeLosses(now)...)
	_, ticked := ev.(Tick)
	if n.urgent || ticked && (n.changed || len(n.dirty) > 0) {
		n.publish(now)
	}
	return out
}

func (n *Node) tick(now time.Time) []Action {
	out := n.tickPeers(now)
	out = append(out, n.tickWatches(now)...)
	out = append(out, n.tickPolls(now)...)
	out = append(out, n.tickMoves(now)...)
	out = append(out, n.tickQuarantine(now)...)
	n.refreshStates(now)
	return out
}

// offer takes an entry of config/ or moves/ from any source. From is the peer
// that sent it, or empty.
func (n *Node) offer(now time.Time, e store.Entry, source, from string) []Action {
	if strings.HasPrefix(e.Key, MovesPrefix) {
		return n.offerMove(now, e, from)
	}
	outcome, r := n.revs.Offer(e)
	switch outcome {
	case revision.InForce:
		n.dirty[r.Service], n.urgent = true, true
		n.setKnown()
		text := fmt.Sprintf("revision %d of team %s is in force; received from %s", r.Revision, r.Envelope.Team, source)
		if r.Deleted() {
			text = fmt.Sprintf("revision %d of team %s deletes the service; received from %s", r.Revision, r.Envelope.Team, source)
		}
		out := append([]Action{Explain{Subject: "service/" + r.Service, Text: text}}, n.announce(e.Key, from)...)
		return append(out, n.moveAccepted(now, r)...)
	case revision.Rejected:
		n.changed = true
		return []Action{Explain{Subject: "service/" + r.Service, Text: fmt.Sprintf(
			"revision %d has mistakes and takes no effect; revision %d stays in force: %s",
			r.Revision, n.revs.RevisionOf(r.Service), r.Problems[0])}}
	}
	return nil
}

// offerMove keeps the newest entry of a move.
func (n *Node) offerMove(now time.Time, e store.Entry, from string) []Action {
	old := n.moves[e.Key]
	if e.Index <= old.Index {
		return nil
	}
	n.movesHash ^= moveHash(old) ^ moveHash(e)
	n.moves[e.Key] = e
	n.dirty[e.Key[len(MovesPrefix):]] = true
	return append(n.announce(e.Key, from), n.moveStored(now, e)...)
}

// setKnown passes the upstreams of all documents in force to the table of
// states.
func (n *Node) setKnown() {
	var known []membership.KnownUpstream
	drivers := map[string]string{}
	for _, name := range n.revs.Names() {
		r := n.revs.InForce(name)
		if r == nil || r.Doc == nil {
			continue
		}
		for _, u := range r.Doc.Upstreams {
			known = append(known, membership.KnownUpstream{Name: u.Name, Address: u.Address, Leaving: u.Leaving})
			drivers[u.Address] = driverOf(r.Doc)
		}
	}
	n.ups.SetKnown(known)
	n.setPolled(drivers)
}

// driverOf returns the engine driver that reads load reports of a service. All
// replicas report load in the same form, plain services included.
func driverOf(s *document.Service) string {
	if s.Driver == "" {
		return document.DefaultDriver
	}
	return s.Driver
}

// addressOf resolves an upstream as traffic names it.
func (n *Node) addressOf(service, upstream string) (string, bool) {
	r := n.revs.InForce(service)
	if r == nil || r.Doc == nil {
		return "", false
	}
	if u := r.Doc.UpstreamNamed(upstream); u != nil {
		return u.Address, true
	}
	return "", false
}
