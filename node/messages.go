package node

import (
	"github.com/gooseberryroad/gooseberryroad/membership"
	"github.com/gooseberryroad/gooseberryroad/store"
)

// Msg is a message between daemons. Any message may be late, lost, repeated or
// overtaken by another.
type Msg interface{ msg() }

// Digest tells a peer what changed since the last digest on this link. Urgent
// changes are sent at once in a digest of their own.
type Digest struct {
	// Hash identifies the revisions of all documents and moves that the sender
	// has.
	Hash uint64
	// Applied is the store index up to which the sender has all documents.
	Applied uint64
	// Configured is set once the sender has had a complete configuration.
	Configured bool
	// Full marks a digest that lists all revisions of the sender. It is not
	// answered with another full digest, even if the hashes differ.
	Full      bool
	Revisions []KeyRevision
	Members   []MemberUpdate
	Marks     []membership.Mark
}

// KeyRevision is the revision of an entry of config/ or moves/.
type KeyRevision struct {
	Key      string
	Revision uint64
}

// MemberUpdate describes a change of a member. Full is set the first time and
// when more than the heartbeat and the applied index changed; otherwise the
// member is identified by its ID.
type MemberUpdate struct {
	Full      *membership.Member
	ID        uint32
	Heartbeat uint64
	Applied   uint64
}

// Want asks for entries by key and for members by ID.
type Want struct {
	Keys    []string
	Members []uint32
}

// Documents carries entries of config/ and moves/ as they are in the store.
type Documents struct {
	Entries []store.Entry
}

// Notice is an urgent message that every daemon handles and forwards once: an
// alarm about a version, or a report about a request that crashes upstreams. A
// node forwards the body unchanged, also when it cannot decode it.
type Notice struct {
	// Topic is TopicAlarm or TopicQuarantine.
	Topic string
	Body  []byte
}

// Direct is a message to one linked daemon, such as samples for the owner of a
// move, or a lookup in the generation directory.
type Direct struct {
	Topic string
	Body  []byte
}

// Topics of notices and direct messages.
const (
	TopicAlarm      = "alarm"
	TopicQuarantine = "quarantine"
	TopicSamples    = "samples"
	TopicLookup     = "lookup"
	TopicFound      = "found"
	// TopicAdopted carries the generation that the sender continues.
	TopicAdopted = "adopted"
)

func (Digest) msg()    {}
func (Want) msg()      {}
func (Documents) msg() {}
func (Notice) msg()    {}
func (Direct) msg()    {}
