package node

import (
	"time"

	"github.com/gooseberryroad/gooseberryroad/document"
)

// UpstreamState is what the daemon believes about an upstream.
type UpstreamState int

const (
	// UpstreamUnknown upstreams have not reported yet; they may get work.
	UpstreamUnknown UpstreamState = iota
	// UpstreamAlive upstreams reported recently.
	UpstreamAlive
	// UpstreamSilent upstreams missed reports; they get new work only when no
	// other is left.
	UpstreamSilent
	// UpstreamLeaving upstreams finish their work and get no new work.
	UpstreamLeaving
	// UpstreamDead upstreams refused a connection or came back with a new
	// incarnation; work that ran there is lost.
	UpstreamDead
)

func (s UpstreamState) String() string {
	return [...]string{"unknown", "alive", "silent", "leaving", "dead"}[s]
}

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
}

// ServiceView is one service as the daemon applies it.
type ServiceView struct {
	Doc *document.Service
	// Revision is the store index of the document.
	Revision uint64
	// Shares is the share of new requests for each version; they sum to 1.
	Shares map[string]float64
	// Upstreams are in the document's order.
	Upstreams []UpstreamView
	// Replicas limits a version to the named upstreams while a move begins;
	// a version without an entry uses all of its upstreams.
	Replicas map[string][]string
}

// UpstreamView is one upstream with its last known state.
type UpstreamView struct {
	document.Upstream
	State UpstreamState
	// Incarnation is the engine process that reported last.
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
