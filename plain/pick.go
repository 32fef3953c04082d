package plain

import (
	"errors"
	"slices"

	"github.com/gooseberryroad/gooseberryroad/node"
	"github.com/gooseberryroad/gooseberryroad/placement"
)

// random returns a number in [0, 1).
func (h *Handler) random() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rnd.Float64()
}

// pick chooses an upstream that has not been tried, or returns nil. It chooses a
// version at random by its share of the traffic, then a random upstream of it.
// Silent upstreams are chosen only if there is no alive or unknown one; leaving
// and dead ones, and those that asked for a pause, are never chosen.
func (h *Handler) pick(c *call, tried map[string]bool) *node.UpstreamView {
	view := h.currentView(c)
	now := h.opts.Clock.Now()
	h.notices.retain(h.opts.Snapshot(), now)
	for _, states := range [][]node.UpstreamState{
		{node.UpstreamAlive, node.UpstreamUnknown}, {node.UpstreamSilent},
	} {
		byVersion := map[string][]*node.UpstreamView{}
		var versions []string
		total := 0.0
		for i := range view.Upstreams {
			u := &view.Upstreams[i]
			if tried[u.Name] || !slices.Contains(states, u.State) || !usable(view, u) || c.trialUpstream != "" && c.trialUpstream != u.Name {
				continue
			}
			if reason, _ := h.notices.withdrawn(u, now); reason != placement.NoNotice {
				continue
			}
			share := trafficShare(view, u.Version)
			if byVersion[u.Version] == nil {
				versions = append(versions, u.Version)
				total += share
			}
			byVersion[u.Version] = append(byVersion[u.Version], u)
		}
		if len(versions) == 0 {
			continue
		}
		draw := h.random() * total
		version := versions[len(versions)-1]
		for _, v := range versions {
			if draw -= trafficShare(view, v); draw < 0 {
				version = v
				break
			}
		}
		candidates := byVersion[version]
		return candidates[int(h.random()*float64(len(candidates)))]
	}
	return nil
}

// currentView returns the newest view of the call's service, so that a retry does
// not use upstreams that have left since the call began.
func (h *Handler) currentView(c *call) *node.ServiceView {
	if v := h.opts.Snapshot().Services[c.view.Doc.Name]; v != nil && v.Doc != nil {
		return v
	}
	return c.view
}

// trafficShare returns the version's share of the traffic. Without shares, the
// serving version gets all of it.
func trafficShare(view *node.ServiceView, version string) float64 {
	if len(view.Shares) == 0 {
		if version == view.Doc.Versions.Serving {
			return 1
		}
		return 0
	}
	return view.Shares[version]
}

// usable reports whether the upstream may get new calls, apart from its state.
func usable(view *node.ServiceView, u *node.UpstreamView) bool {
	return !u.Leaving && replicaAllowed(view, u) && trafficShare(view, u.Version) > 0
}

// replicaAllowed reports whether the upstream is among the replicas that its
// version is limited to, if it is limited.
func replicaAllowed(view *node.ServiceView, u *node.UpstreamView) bool {
	names, limited := view.Replicas[u.Version]
	return !limited || slices.Contains(names, u.Name)
}

var errNoUpstream = errors.New("no upstream of the service can take the call")
