package node

import (
	"fmt"
	"sort"
	"time"

	"github.com/gooseberryroad/gooseberryroad/membership"
)

// poll is the state of one periodic call.
type poll struct {
	driver      string
	outstanding bool
	issuedAt    time.Time
	nextAt      time.Time
}

// setPolled chooses the upstreams that this daemon polls.
func (n *Node) setPolled(drivers map[string]string) {
	addrs := make([]string, 0, len(drivers))
	for a := range drivers {
		addrs = append(addrs, a)
	}
	sort.Slice(addrs, func(i, j int) bool {
		return membership.RendezvousWeight(n.o.Name, addrs[i]) > membership.RendezvousWeight(n.o.Name, addrs[j])
	})
	if len(addrs) > n.o.MaxPolled {
		addrs = addrs[:n.o.MaxPolled]
	}
	old := n.polls
	n.polls = make(map[string]*poll, len(addrs))
	for _, a := range addrs {
		p := old[a]
		if p == nil {
			p = &poll{}
		}
		p.driver = drivers[a]
		n.polls[a] = p
	}
}

func (n *Node) polled() []string {
	addrs := make([]string, 0, len(n.polls))
	for a := range n.polls {
		addrs = append(addrs, a)
	}
	sort.Strings(addrs)
	return addrs
}

func (n *Node) tickPolls(now time.Time) []Action {
	var out []Action
	if n.o.VMs && n.due(now, &n.vms, n.o.VMInterval) {
		out = append(out, ListVMs{})
	}
	for _, a := range n.polled() {
		p := n.polls[a]
		if p.outstanding && now.Sub(p.issuedAt) > n.o.PollTimeout {
			// The result was lost or the call hangs.
			out = append(out, n.told(now, n.ups.ApplyPollFailure(now, a, false), "", "")...)
		}
		if n.due(now, p, n.o.PollInterval) {
			out = append(out, PollLoad{Driver: p.driver, Address: a})
		}
	}
	return out
}

// due starts a periodic call when its time has come. A call without a result
// is started again after PollTimeout, because its event may have been dropped.
func (n *Node) due(now time.Time, p *poll, interval time.Duration) bool {
	if p.outstanding && now.Sub(p.issuedAt) <= n.o.PollTimeout || now.Before(p.nextAt) {
		return false
	}
	p.outstanding, p.issuedAt = true, now
	// Jitter keeps daemons from polling an upstream at the same instant.
	p.nextAt = now.Add(interval*3/4 + time.Duration(n.o.Rand.Int64N(int64(interval/2))))
	return true
}

// pollNow asks for a report of an upstream whose state is in doubt.
func (n *Node) pollNow(now time.Time, addr string) []Action {
	p := n.polls[addr]
	if p == nil || p.outstanding && now.Sub(p.issuedAt) < minWatchGap {
		return nil
	}
	p.outstanding, p.issuedAt = true, now
	p.nextAt = now.Add(n.o.PollInterval)
	return []Action{PollLoad{Driver: p.driver, Address: addr}}
}

func (n *Node) vmsListed(now time.Time, ev VMsListed) []Action {
	n.vms.outstanding = false
	if ev.Err != nil {
		return nil
	}
	n.members.UpdateVMs(now, ev.VMs)
	return n.told(now, n.ups.UpdateVMs(now, ev.VMs), "the list of VMs", "")
}

func (n *Node) loadReported(now time.Time, ev LoadReported) []Action {
	p := n.polls[ev.Address]
	if p != nil {
		p.outstanding = false
	}
	var marks []membership.Mark
	source := "its load report"
	if ev.Err != nil {
		marks, source = n.ups.ApplyPollFailure(now, ev.Address, ev.Refused), "a refused connection"
	} else {
		_, former, _ := n.ups.LastReport(ev.Address)
		marks = n.ups.ApplyReport(now, ev.Address, ev.Load)
		n.markDirty(ev.Address)
		if former != ev.Load.Incarnation {
			n.urgent = true
		}
	}
	return n.told(now, marks, source, "")
}

func (n *Node) upstreamRefused(now time.Time, ev UpstreamRefused) []Action {
	addr, ok := n.addressOf(ev.Service, ev.Upstream)
	if !ok {
		return nil
	}
	out := n.told(now, n.ups.ApplyRefusal(now, addr, ev.Incarnation, ev.Leaving), "a refused request", "")
	if !ev.Leaving {
		out = append(out, n.pollNow(now, addr)...)
	}
	return out
}

// told applies what is new about upstreams to the snapshot and passes it on.
// From is the peer that said it, or empty.
func (n *Node) told(now time.Time, marks []membership.Mark, source, from string) []Action {
	var out []Action
	for _, m := range marks {
		out = append(out, Explain{Subject: "upstream/" + m.Address, Text: fmt.Sprintf(
			"incarnation %q is %s according to %s", m.Incarnation, m.State, source)})
	}
	// Without a mark a state only became better, which may wait for the next
	// tick: going through all upstreams after each load report was half of the
	// control goroutine's work at 2,500 upstreams.
	if len(marks) > 0 {
		n.refreshStates(now)
	}
	return append(out, n.spread(marks, from)...)
}

// refreshStates marks the services whose upstreams changed state. A change is
// urgent, because traffic chooses by it.
func (n *Node) refreshStates(now time.Time) {
	for _, name := range n.revs.Names() {
		v := n.snap.Services[name]
		if v == nil {
			continue
		}
		for i := range v.Upstreams {
			if n.ups.State(now, v.Upstreams[i].Address) != v.Upstreams[i].State {
				n.dirty[name], n.urgent = true, true
				break
			}
		}
	}
}

// markDirty marks the services that use an address.
func (n *Node) markDirty(addr string) {
	for name, v := range n.snap.Services {
		for i := range v.Upstreams {
			if v.Upstreams[i].Address == addr {
				n.dirty[name] = true
				break
			}
		}
	}
}
