package node

import (
	"time"

	"github.com/gooseberryroad/gooseberryroad/engine"
	"github.com/gooseberryroad/gooseberryroad/membership"
	"github.com/gooseberryroad/gooseberryroad/quarantine"
	"github.com/gooseberryroad/gooseberryroad/rollout"
	"github.com/gooseberryroad/gooseberryroad/store"
	"github.com/gooseberryroad/gooseberryroad/vmlist"
)

// Event is an input of a node.
type Event interface{ event() }

// StoreListed is the result of a WatchStore action.
type StoreListed struct {
	Prefix string
	// Watch is the number of the action that asked, 0 for a list that nobody
	// waits for.
	Watch   uint64
	Entries []store.Entry
	Index   uint64
	Err     error
}

// StoreWrote is the result of a write to the store, by a WriteStore action or
// by the operator API. Index is the new index of the key.
type StoreWrote struct {
	Key   string
	Value []byte
	Index uint64
	Err   error
}

// StoreRead is the result of a ReadStore action. An Entry with index 0 means
// that the key does not exist.
type StoreRead struct {
	Key   string
	Entry store.Entry
	Err   error
}

// VMsListed is a reading of the platform's list of VMs.
type VMsListed struct {
	VMs []vmlist.VM
	Err error
}

// LoadReported is the result of a PollLoad action.
type LoadReported struct {
	Address string
	Load    engine.Load
	Err     error
	// Refused is set when the connection was refused: nothing listens there.
	Refused bool
}

// UpstreamRefused reports what traffic saw at an upstream.
type UpstreamRefused struct {
	Service, Upstream string
	// Incarnation is the engine process that the work was sent to, empty when
	// it is not known.
	Incarnation string
	// Leaving: the upstream answered that it takes no new work because it
	// stops. Otherwise it refused the connection.
	Leaving bool
}

// Crash reports that traffic lost an upstream while requests ran there.
type Crash struct {
	Service, Upstream, Incarnation string
	At                             time.Time
	// InFlight are the content hashes of the requests that ran there.
	InFlight []quarantine.Hash
}

// Ran reports that a request completed that was a suspect or lost an engine.
type RequestCompleted struct{ Hash quarantine.Hash }

// TrialRequested asks for an upstream on which a suspect may run. The answer is
// TrialAnswered with the same ID.
type TrialRequested struct {
	ID   uint64
	Hash quarantine.Hash
	// Candidates are the addresses of upstreams that could run the request.
	Candidates []string
}

// TrialEnded reports that a trial ended without completion or crash.
type TrialEnded struct{ Hash quarantine.Hash }

// RefusedQuarantined reports that a quarantined request was sent again.
type QuarantinedRequestRefused struct{ Hash quarantine.Hash }

// Sampled is what traffic observed of one finished or failed request.
type OutcomeSampled struct {
	Sample Sample
}

// Sample is one observation for the judgement of versions.
type Sample = rollout.Sample

// Adopted reports that this daemon continues a generation that began at the
// named one, which must not cancel it.
type GenerationAdopted struct{ Daemon, Generation string }

// Drain stops new work at this daemon.
type DrainRequested struct{}

// Tick lets time pass. The owner of the node posts one every TickInterval.
type Tick struct{}

// TickInterval is the resolution of the node's timers.
const TickInterval = 100 * time.Millisecond

func (StoreListed) event()               {}
func (StoreWrote) event()                {}
func (StoreRead) event()                 {}
func (VMsListed) event()                 {}
func (LoadReported) event()              {}
func (UpstreamRefused) event()           {}
func (Crash) event()                     {}
func (OutcomeSampled) event()            {}
func (RequestCompleted) event()          {}
func (TrialRequested) event()            {}
func (TrialEnded) event()                {}
func (QuarantinedRequestRefused) event() {}
func (GenerationAdopted) event()         {}
func (DrainRequested) event()            {}
func (Tick) event()                      {}

// Action is an output of a node.
type Action interface{ action() }

// WatchStore asks for a List of the store and a StoreListed event with its
// result. Another WatchStore of the same prefix replaces an earlier one that
// has not returned, and must not use its connection.
type WatchStore struct {
	Prefix string
	Watch  uint64
	// Index is the index to wait for; 0 lists at once.
	Index uint64
	Wait  time.Duration
}

// UnwatchStore ends the watch of a prefix.
type UnwatchStore struct{ Prefix string }

// WriteStore asks for a compare-and-swap and a StoreWrote event.
type WriteStore struct {
	Key   string
	Value []byte
	Index uint64
}

// ReadStore asks for one key and a StoreRead event.
type ReadStore struct{ Key string }

// PollLoad asks for a load report and a LoadReported event.
type PollLoad struct {
	Driver, Address string
}

// ListVMs asks for the list of VMs and a VMsListed event.
type ListVMs struct{}

// TrialAnswered answers TrialRequested.
type TrialAnswered struct {
	ID      uint64
	Verdict quarantine.Verdict
	// Address is the upstream on which the trial starts now. It is empty while
	// the request has to wait; it asks again after After.
	Address string
	After   time.Duration
}

// Explain records why the system did something.
type Explain struct {
	// Subject is service/NAME, upstream/ADDRESS, peer/NAME or store.
	Subject, Text string
}

func (WatchStore) action()    {}
func (UnwatchStore) action()  {}
func (WriteStore) action()    {}
func (ReadStore) action()     {}
func (PollLoad) action()      {}
func (ListVMs) action()       {}
func (Explain) action()       {}
func (TrialAnswered) action() {}

// PeerUp reports a link to a daemon, opened by either side. Peer is what the
// daemon said about itself in the handshake.
type PeerUp struct {
	Peer membership.Member
	// Dialed is set when this daemon opened the link.
	Dialed bool
}

// PeerDown reports that no link to a daemon is left.
type PeerDown struct{ Peer string }

// LinkFailed reports that a daemon asked for by LinkPeer could not be reached.
type LinkFailed struct{ Peer string }

// PeerMessage is a message from a linked daemon.
type PeerMessage struct {
	From string
	Msg  Msg
}

// Publish passes a notice of this daemon to all others.
type Publish struct{ Notice Notice }

func (PeerUp) event()      {}
func (PeerDown) event()    {}
func (LinkFailed) event()  {}
func (PeerMessage) event() {}
func (Publish) event()     {}

// LinkPeer asks for a link to a daemon that is kept up until UnlinkPeer. Once
// is set for a probe, which is tried one time; its Peer may be empty.
type LinkPeer struct {
	Peer, Address string
	Once          bool
}

// UnlinkPeer closes a link that LinkPeer asked for.
type UnlinkPeer struct{ Peer string }

// SendPeer sends a message to a linked daemon. A message that cannot be sent
// at once is dropped.
type SendPeer struct {
	To  string
	Msg Msg
}

// Received hands a notice or a direct message of a peer to whoever handles its
// topic.
type DeliverMessage struct {
	From, Topic string
	Body        []byte
}

func (LinkPeer) action()       {}
func (UnlinkPeer) action()     {}
func (SendPeer) action()       {}
func (DeliverMessage) action() {}
