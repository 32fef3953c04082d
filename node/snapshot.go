package node

import (
	"time"

	"github.com/gooseberryroad/gooseberryroad/document"
	"github.com/gooseberryroad/gooseberryroad/membership"
	"github.com/gooseberryroad/gooseberryroad/quarantine"
	"github.com/gooseberryroad/gooseberryroad/rollout"
)

// UpstreamState is the state of an upstream as this daemon knows it.
type UpstreamState = membership.UpstreamState

// States of upstreams; see package membership.
const (
	UpstreamUnknown = membership.UpstreamUnknown
	UpstreamAlive   = membership.UpstreamAlive
	UpstreamSilent  = membership.UpstreamSilent
	UpstreamLeaving = membership.UpstreamLeaving
	UpstreamDead    = membership.UpstreamDead
)

// Snapshot is an immutable view of the control state. Parts that did not
// change are shared between snapshots and never written again.
type Snapshot struct {
	// Seq rises with every snapshot.
	Seq uint64
	// Services by name.
	Services map[string]*ServiceView
	// Draining is set once the daemon takes no new work.
	Draining bool
	// StoreReachable is false while calls to the store fail.
	StoreReachable bool
	// Peers are the names of live daemons, this one included, in order.
	Peers []string
	// Configured is set once documents came from the store or from a peer.
	Configured bool
	// Applied is a store index: all documents up to it have arrived.
	Applied uint64
	// Rejected are documents that did not take effect, by service.
	Rejected map[string]Rejection
	// Deleted are the services that were deleted, by name.
	Deleted map[string]Deletion
	// Quarantine holds the requests that are suspects or quarantined; nil when
	// there are none.
	Quarantine map[quarantine.Hash]quarantine.Verdict
	// Members are the live daemons, this one included, by name.
	Members []MemberView
}

// MemberView is a live daemon as this one sees it.
type MemberView struct {
	Name, DataCentre, Region string
	// Applied is the store index up to which the daemon has all documents. It
	// arrives with heartbeats and so lags behind.
	Applied uint64
	// StoreDown is set while the daemon cannot reach the store.
	StoreDown bool
	// Linked is set when this daemon has a link to it.
	Linked bool
}

// Rejection is a stored document that did not take effect.
type Rejection struct {
	Revision uint64
	Author   Author
	Problems document.Problems
}

// Deletion is a document that deletes its service.
type Deletion struct {
	Revision uint64
	Author   Author
}

// Author is who wrote a document.
type Author struct {
	Team     string
	Operator string
	At       time.Time
}

// ServiceView is one service as the daemon applies it.
type ServiceView struct {
	Doc *document.Service
	// Revision is that of the document (see revision.Record).
	Revision uint64
	// Text is the document as its author wrote it.
	Text   string
	Author Author
	// Shares is the share of new requests for each version; they sum to 1.
	Shares map[string]float64
	// Move is the state of the version move, as this daemon knows it.
	Move rollout.Report
	// Upstreams are in the document's order.
	Upstreams []UpstreamView
	// Replicas limits a version to the named upstreams at the beginning of a
	// move; a version without an entry uses all of its upstreams.
	Replicas map[string][]string
}

// UpstreamView is one upstream with its last known state.
type UpstreamView struct {
	document.Upstream
	State UpstreamState
	// Incarnation identifies the engine process that reported last.
	Incarnation string
	// Running, Waiting, HeldBytes and ReportedMemory come from the last load
	// report; ReportedAt is when this daemon received it, zero if never.
	Running        int
	Waiting        int
	HeldBytes      int64
	ReportedMemory int64
	ReportedAt     time.Time
}

// Upstream returns the view of the named upstream, or nil.
func (v *ServiceView) Upstream(name string) *UpstreamView {
	for i := range v.Upstreams {
		if v.Upstreams[i].Name == name {
			return &v.Upstreams[i]
		}
	}
	return nil
}
