package routing

import (
	"math/rand/v2"
	"slices"

	"github.com/gooseberryroad/gooseberryroad/node"
)

// Request holds what the choice of an upstream depends on.
type Request struct {
	// DataCentre and Region are those of the daemon.
	DataCentre string
	Region     string
	// Version pins the version; if empty, it is drawn by ServiceView.Shares.
	Version string
	// Exclude names upstreams that must not be chosen.
	Exclude []string
	// OwnInFlight returns the number of this daemon's own requests in flight at an
	// upstream; nil means none.
	OwnInFlight func(upstream string) int
}

// Choice is a chosen upstream.
type Choice struct {
	Upstream string
	Address  string
	Version  string
}

// Pick chooses an upstream: in the daemon's data centre if there is a usable one,
// else in its region, else anywhere. Of two random candidates it takes the one
// with less load. Leaving and dead upstreams are never chosen, and silent ones
// only when there is no other. Pick returns false when no upstream can be chosen.
func Pick(rnd *rand.Rand, view *node.ServiceView, r Request) (Choice, bool) {
	version := r.Version
	if version == "" {
		var ok bool
		if version, ok = pickVersion(rnd, view, r.Exclude); !ok {
			return Choice{}, false
		}
	}
	for _, silent := range []bool{false, true} {
		var sameDataCentre, sameRegion, elsewhere []*node.UpstreamView
		for i := range view.Upstreams {
			u := &view.Upstreams[i]
			if !usable(view, u, version) || slices.Contains(r.Exclude, u.Name) || (u.State == node.UpstreamSilent) != silent {
				continue
			}
			switch {
			case u.DataCentre == r.DataCentre:
				sameDataCentre = append(sameDataCentre, u)
			case u.Region == r.Region:
				sameRegion = append(sameRegion, u)
			default:
				elsewhere = append(elsewhere, u)
			}
		}
		for _, group := range [][]*node.UpstreamView{sameDataCentre, sameRegion, elsewhere} {
			if len(group) > 0 {
				u := bestOfTwo(rnd, group, r.OwnInFlight)
				return Choice{Upstream: u.Name, Address: u.Address, Version: u.Version}, true
			}
		}
	}
	return Choice{}, false
}

// HasVersion reports whether any replica of the version can take work now or soon:
// excluded and silent replicas count, leaving and dead ones do not.
func HasVersion(view *node.ServiceView, version string) bool {
	for i := range view.Upstreams {
		if usable(view, &view.Upstreams[i], version) {
			return true
		}
	}
	return false
}

// usable reports whether the upstream may get requests for the version: it runs the
// version, is neither leaving nor dead, and is among the version's replicas if
// these are limited.
func usable(view *node.ServiceView, u *node.UpstreamView, version string) bool {
	if u.Version != version || u.Leaving || u.State == node.UpstreamLeaving || u.State == node.UpstreamDead {
		return false
	}
	names, limited := view.Replicas[version]
	return !limited || slices.Contains(names, u.Name)
}

// pickVersion draws a version by share among those with a usable upstream that is
// not excluded. A version without a share is never drawn.
func pickVersion(rnd *rand.Rand, view *node.ServiceView, exclude []string) (string, bool) {
	type weighted struct {
		version string
		share   float64
	}
	var versions []weighted
	var sum float64
	for i := range view.Upstreams {
		u := &view.Upstreams[i]
		share := view.Shares[u.Version]
		if share <= 0 || !usable(view, u, u.Version) || slices.Contains(exclude, u.Name) ||
			slices.ContainsFunc(versions, func(w weighted) bool { return w.version == u.Version }) {
			continue
		}
		versions = append(versions, weighted{u.Version, share})
		sum += share
	}
	if len(versions) == 0 {
		return "", false
	}
	draw := rnd.Float64() * sum
	for _, w := range versions {
		if draw -= w.share; draw < 0 {
			return w.version, true
		}
	}
	return versions[len(versions)-1].version, true
}

// bestOfTwo returns the upstream with less load of two random ones.
func bestOfTwo(rnd *rand.Rand, us []*node.UpstreamView, ownInFlight func(string) int) *node.UpstreamView {
	if len(us) == 1 {
		return us[0]
	}
	i := rnd.IntN(len(us))
	j := rnd.IntN(len(us) - 1)
	if j >= i {
		j++
	}
	if load(us[j], ownInFlight) < load(us[i], ownInFlight) {
		return us[j]
	}
	return us[i]
}

// load returns the load that the upstream reported plus this daemon's own requests
// in flight.
func load(u *node.UpstreamView, ownInFlight func(string) int) int {
	n := u.Running + u.Waiting
	if ownInFlight != nil {
		n += ownInFlight(u.Name)
	}
	return n
}
