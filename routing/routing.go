package routing

import (
	"math/rand/v2"
	"slices"

	"github.com/gooseberryroad/gooseberryroad/node"
)

// Request is what a choice depends on.
type Request struct {
	// DataCentre and Region are those of the daemon.
	DataCentre string
	Region     string
	// Version pins the version; empty means by ServiceView.Shares.
	Version string
	// Exclude names upstreams that must not be chosen.
	Exclude []string
	// Sent is this daemon's own work in flight at an upstream; nil means none.
	OwnInFlight func(upstream string) int
}

// Choice is a chosen upstream.
type Choice struct {
	Upstream string
	Address  string
	Version  string
}

// Pick chooses an upstream: in the own data centre if one is left there, then
// in the own region, then anywhere, by the lesser load of two random ones.
// Upstreams that leave or are dead get nothing, and silent ones only when no
// other is left. It returns false when nothing can be chosen.
func Pick(rnd *rand.Rand, view *node.ServiceView, r Request) (Choice, bool) {
	version := r.Version
	if version == "" {
		var ok bool
		if version, ok = pickVersion(rnd, view, r.Exclude); !ok {
			return Choice{}, false
		}
	}
	for _, silent := range []bool{false, true} {
		var near, region, far []*node.UpstreamView
		for i := range view.Upstreams {
			u := &view.Upstreams[i]
			if !usable(view, u, version) || slices.Contains(r.Exclude, u.Name) || (u.State == node.UpstreamSilent) != silent {
				continue
			}
			switch {
			case u.DataCentre == r.DataCentre:
				near = append(near, u)
			case u.Region == r.Region:
				region = append(region, u)
			default:
				far = append(far, u)
			}
		}
		for _, group := range [][]*node.UpstreamView{near, region, far} {
			if len(group) > 0 {
				u := bestOfTwo(rnd, group, r.OwnInFlight)
				return Choice{Upstream: u.Name, Address: u.Address, Version: u.Version}, true
			}
		}
	}
	return Choice{}, false
}

// HasVersion tells whether any replica of the version could take work now or
// soon: excluded and silent replicas count, leaving and dead ones do not.
func HasVersion(view *node.ServiceView, version string) bool {
	for i := range view.Upstreams {
		if usable(view, &view.Upstreams[i], version) {
			return true
		}
	}
	return false
}

func usable(view *node.ServiceView, u *node.UpstreamView, version string) bool {
	if u.Version != version || u.Leaving || u.State == node.UpstreamLeaving || u.State == node.UpstreamDead {
		return false
	}
	names, limited := view.Replicas[version]
	return !limited || slices.Contains(names, u.Name)
}

// pickVersion draws a version by share among those with an upstream that is
// not excluded. A version without a share gets nothing.
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
	at := rnd.Float64() * sum
	for _, w := range versions {
		if at -= w.share; at < 0 {
			return w.version, true
		}
	}
	return versions[len(versions)-1].version, true
}

func bestOfTwo(rnd *rand.Rand, us []*node.UpstreamView, sent func(string) int) *node.UpstreamView {
	if len(us) == 1 {
		return us[0]
	}
	i := rnd.IntN(len(us))
	j := rnd.IntN(len(us) - 1)
	if j >= i {
		j++
	}
	if load(us[j], sent) < load(us[i], sent) {
		return us[j]
	}
	return us[i]
}

func load(u *node.UpstreamView, sent func(string) int) int {
	n := u.Running + u.Waiting
	if sent != nil {
		n += sent(u.Name)
	}
	return n
}
