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
	// must stay below the 9 s in which a document must be in force everywhere.
	WatchWait time.Duration
	// ListWait takes the place of WatchWait for a list that does not wait for a
	// change; the list is given up after twice this time.
	ListWait time.Duration
	// RelistInterval is how often a watcher lists instead of watching, which
	// repairs a watch that misses changes. Like WatchWait, it is limited by the 9 s in
	// which a document must be in force everywhere, and must stay below them.
	RelistInterval time.Duration
	// PollInterval is the time between two load reports of one upstream.
	PollInterval time.Duration
	// PollTimeout is how long a poll may take before it counts as failed.
	PollTimeout time.Duration
	// VMInterval is the time between two readings of the list of VMs.
	VMInterval time.Duration
	// MaxPolled bounds how many upstreams one daemon polls. At 350 daemons and
	// 2,500 replicas, polling all of them would load engines with 875,000
	// calls a second.
	MaxPolled int

	Upstreams membership.UpstreamOptions
	// Members holds the timers of membership; New sets Self and Seeds.
	Members membership.MemberOptions
}

func (o Options) withDefaults() Options {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	setDefault(&o.WatchWait, 3*time.Second)
	setDefault(&o.ListWait, time.Second)
	setDefault(&o.RelistInterval, 6*time.Second)
	setDefault(&o.PollInterval, time.Second)
	setDefault(&o.PollTimeout, 2*time.Second)
	setDefault(&o.VMInterval, 2*time.Second)
	if o.MaxPolled == 0 {
		o.MaxPolled = 64
	}
	return o
}

// Node is the control state of one daemon. It is owned by one goroutine.
type Node struct {
	opts    Options
	revs    *revision.Set
	ups     *membership.Upstreams
	members *membership.Members
	peers   peers
	// moveEntries are the entries of moves/ by key. Peers exchange them like
	// documents.
	moveEntries map[string]store.Entry
	movesHash   uint64
	// movesListed is set once a complete list of moves/ was read.
	movesListed    bool
	movers         map[string]*serviceMove
	nextUsableAt   time.Time
	pendingDirects []pendingDirect
	watches        map[string]*watch
	watchSeq       uint64
	// isWatcher is the result of the last election of watchers, which is repeated
	// at nextElectionAt.
	isWatcher      bool
	nextElectionAt time.Time
	polls          map[string]*poll
	vms            poll
	quarantine     *quarantine.State
	// verdictsChanged is set when the quarantine verdicts in the snapshot are out
	// of date.
	verdictsChanged bool
	quarantineSent  uint64
	// crashNotices counts the crash notices since crashNoticesSince, including
	// those that were not sent because of maxCrashNotices.
	crashNotices      int
	crashNoticesSince time.Time
	// losses are broken connections whose cause is not known yet, by address and
	// incarnation.
	losses   map[string]*connectionLoss
	draining bool
	// storeDown is set while calls to the store fail. A daemon without a watch
	// rarely calls the store, so the flag stays unset there until a call fails.
	storeDown  bool
	configured bool
	applied    uint64

	snap *Snapshot
	// dirty holds the names of services whose view must be rebuilt.
	dirty map[string]bool
	// changed is set when anything else in the snapshot changed, urgent when
	// traffic must see it before the next tick.
	changed, urgent bool
}

// New returns a node without documents, upstreams or peers.
func New(o Options) *Node {
	o = o.withDefaults()
	o.Members.Seeds = o.Seeds
	o.Members.Self = membership.Member{Name: o.Name, DataCentre: o.DataCentre, Region: o.Region,
		Address: o.PeerAddress, Incarnation: o.Incarnation}
	n := &Node{
		members: membership.NewMembers(o.Members), peers: newPeers(), moveEntries: map[string]store.Entry{},
		movers: map[string]*serviceMove{},
		opts:   o, revs: revision.NewSet(), ups: membership.NewUpstreams(o.Upstreams),
		quarantine: quarantine.New(quarantine.Options{Self: o.Name}), losses: map[string]*connectionLoss{},
		watches: map[string]*watch{}, polls: map[string]*poll{}, dirty: map[string]bool{},
	}
	for _, prefix := range watchedPrefixes {
		n.watches[prefix] = &watch{prefix: prefix}
	}
	n.snap = &Snapshot{StoreReachable: true, Services: map[string]*ServiceView{}, Rejected: map[string]Rejection{}, Peers: []string{o.Name}}
	return n
}

// Snapshot returns the current snapshot, which is immutable. Later changes are
// published in a new one.
func (n *Node) Snapshot() *Snapshot { return n.snap }

// Step handles one event and returns the actions that follow from it.
func (n *Node) Step(now time.Time, ev Event) []Action {
	var out []Action
	switch ev := ev.(type) {
	case StoreListed:
		out = n.handleStoreList(now, ev)
	case StoreWrote:
		out = n.handleStoreWrite(now, ev)
	case StoreRead:
		n.noteStoreResult(ev.Err)
		out = n.handleStoreRead(now, ev)
	case OutcomeSampled:
		out = n.handleSample(now, ev.Sample)
	case GenerationAdopted:
		out = n.sendAdoption(now, ev)
	case VMsListed:
		out = n.handleVMList(now, ev)
	case LoadReported:
		out = n.handleLoadReport(now, ev)
	case UpstreamRefused:
		out = n.handleUpstreamRefusal(now, ev)
	case Crash:
		out = n.handleCrash(now, ev)
	case RequestCompleted:
		out = n.stepQuarantine(now, quarantine.Completed{Hash: ev.Hash})
	case TrialRequested:
		out = n.handleTrialRequest(now, ev)
	case TrialEnded:
		out = n.stepQuarantine(now, quarantine.TrialEnded{Hash: ev.Hash})
	case QuarantinedRequestRefused:
		out = n.stepQuarantine(now, quarantine.Refused{Hash: ev.Hash})
	case PeerUp:
		out = n.handlePeerUp(now, ev)
	case PeerDown:
		out = n.handlePeerDown(now, ev)
	case LinkFailed:
		out = n.handleLinkFailure(now, ev)
	case PeerMessage:
		out = n.handlePeerMessage(now, ev)
	case Publish:
		out = n.forwardNotice(now, ev.Notice, "")
	case DrainRequested:
		if !n.draining {
			n.draining, n.urgent = true, true
		}
	case Tick:
		out = n.tick(now)
	}
	out = append(out, n.resolveLosses(now)...)
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

// offerEntry applies an entry of config/ or moves/ if it is newer than the one
// that the node has. Source names its origin in words. From is the peer that
// sent it, or empty.
func (n *Node) offerEntry(now time.Time, e store.Entry, source, from string) []Action {
	if strings.HasPrefix(e.Key, MovesPrefix) {
		return n.offerMoveEntry(now, e, from)
	}
	outcome, r := n.revs.Offer(e)
	switch outcome {
	case revision.InForce:
		n.dirty[r.Service], n.urgent = true, true
		n.updateKnownUpstreams()
		text := fmt.Sprintf("revision %d of team %s is in force; received from %s", r.Revision, r.Envelope.Team, source)
		if r.Deleted() {
			text = fmt.Sprintf("revision %d of team %s deletes the service; received from %s", r.Revision, r.Envelope.Team, source)
		}
		out := append([]Action{Explain{Subject: "service/" + r.Service, Text: text}}, n.announceRevision(e.Key, from)...)
		return append(out, n.handleAcceptedDocument(now, r)...)
	case revision.Rejected:
		n.changed = true
		return []Action{Explain{Subject: "service/" + r.Service, Text: fmt.Sprintf(
			"revision %d has mistakes and takes no effect; revision %d stays in force: %s",
			r.Revision, n.revs.RevisionOf(r.Service), r.Problems[0])}}
	}
	return nil
}

// offerMoveEntry applies an entry of moves/ if it is newer than the one that the
// node has.
func (n *Node) offerMoveEntry(now time.Time, e store.Entry, from string) []Action {
	old := n.moveEntries[e.Key]
	if e.Index <= old.Index {
		return nil
	}
	n.movesHash ^= moveHash(old) ^ moveHash(e)
	n.moveEntries[e.Key] = e
	n.dirty[e.Key[len(MovesPrefix):]] = true
	return append(n.announceRevision(e.Key, from), n.handleMoveEntry(now, e)...)
}

// updateKnownUpstreams passes the upstreams of all documents in force to the
// table of upstream states and chooses the ones to poll.
func (n *Node) updateKnownUpstreams() {
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
	n.choosePolled(drivers)
}

// driverOf returns the engine driver that reads load reports of a service. All
// replicas report load in the same form, plain services included.
func driverOf(s *document.Service) string {
	if s.Driver == "" {
		return document.DefaultDriver
	}
	return s.Driver
}

// addressOf returns the address of an upstream that traffic names by its service
// and name, or false when the document in force does not have it.
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
