package node

import (
	"maps"
	"time"

	"github.com/gooseberryroad/gooseberryroad/revision"
)

// publish replaces the snapshot. Views of services that did not change are
// shared with the last one.
func (n *Node) publish(now time.Time) {
	s := *n.snap
	s.Seq++
	s.Draining, s.StoreReachable, s.Configured, s.Applied = n.draining, !n.storeDown, n.configured, n.applied
	s.Quarantine = n.snapshotVerdicts(now)
	if len(n.dirty) > 0 {
		s.Services, s.Deleted = maps.Clone(s.Services), map[string]Deletion{}
		for name := range n.dirty {
			r := n.revs.InForce(name)
			if r == nil || r.Doc == nil {
				delete(s.Services, name)
				continue
			}
			s.Services[name] = n.view(now, r)
		}
		for _, name := range n.revs.Names() {
			if r := n.revs.InForce(name); r != nil && r.Deleted() {
				s.Deleted[name] = Deletion{Revision: r.Revision, Author: author(r)}
			}
		}
	}
	s.Rejected = map[string]Rejection{}
	for _, name := range n.revs.Names() {
		if r := n.revs.RejectedOf(name); r != nil {
			s.Rejected[name] = Rejection{Revision: r.Revision, Author: author(r), Problems: r.Problems}
		}
	}
	s.Members, s.Peers = nil, nil
	for _, m := range n.members.Live(now) {
		s.Peers = append(s.Peers, m.Name)
		applied := m.Applied
		if m.Name == n.opts.Name {
			applied = n.applied
		}
		s.Members = append(s.Members, MemberView{Name: m.Name, DataCentre: m.DataCentre, Region: m.Region,
			Applied: applied, StoreDown: m.StoreDown, Linked: n.peers.links[m.Name] != nil})
	}
	n.snap = &s
	n.dirty, n.changed, n.urgent = map[string]bool{}, false, false
}

func (n *Node) view(now time.Time, r *revision.Record) *ServiceView {
	v := &ServiceView{
		Doc: r.Doc, Revision: r.Revision, Text: r.Envelope.Document, Author: author(r),
		Shares: n.shares(r), Upstreams: make([]UpstreamView, len(r.Doc.Upstreams)),
	}
	if m := n.movers[r.Service]; m != nil {
		v.Move, v.Replicas = m.mover.Status(), maps.Clone(m.replicas)
	}
	for i, u := range r.Doc.Upstreams {
		load, incarnation, at := n.ups.LastReport(u.Address)
		v.Upstreams[i] = UpstreamView{
			Upstream: u, State: n.ups.State(now, u.Address), Incarnation: incarnation,
			Running: load.Running, Waiting: load.Waiting, HeldBytes: load.HeldBytes,
			ReportedMemory: load.MemoryBytes, ReportedAt: at,
		}
	}
	return v
}

// shares returns the shares that the Mover set last. While it has set none, the
// serving version gets all requests.
func (n *Node) shares(r *revision.Record) map[string]float64 {
	if m := n.movers[r.Service]; m != nil && len(m.shares) > 0 {
		return maps.Clone(m.shares)
	}
	return map[string]float64{r.Doc.Versions.Serving: 1}
}

func author(r *revision.Record) Author {
	return Author{Team: r.Envelope.Team, Operator: r.Envelope.Operator, At: r.Envelope.At}
}
