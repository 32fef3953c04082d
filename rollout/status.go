package rollout

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Status returns the state of the move at the time of the last Step.
func (m *Mover) Status() Report {
	r := Report{Service: m.o.Service, Merged: m.owner == m.self}
	if m.doc == nil {
		r.Text = "no document is in force"
		return r
	}
	from, to, share := m.share()
	r.From, r.To, r.Share, r.Phase = from, to, share, m.phase()
	r.Owner, r.Fence = m.owner, m.record.Fence
	if !m.recordApplies() {
		r.Deadline = m.doc.Versions.Deadline
		r.Text, r.Reason = m.idleText()
		return r
	}
	r.Reason, r.Deadline = m.record.Reason, m.record.Deadline
	r.GrowsAt, r.FinishesAt = m.record.GrowsAt(), m.record.FinishesAt()
	if m.alarm.Began != 0 && m.alarm.Began == m.record.Began {
		a := m.alarm
		r.Alarm = &a
		if m.record.Phase != PhaseRolledBack {
			r.Reason = a.Reason + " (seen by " + a.Daemon + ")"
		}
	}
	if r.Phase == PhaseDone {
		r.WarmUntil = m.record.WarmUntil()
	}
	r.Routes = m.routeEvidence()
	r.Text = m.statusText(r)
	return r
}

func (m *Mover) idleText() (text, reason string) {
	v := m.doc.Versions
	switch {
	case v.Next == "":
		return fmt.Sprintf("All requests go to %s. The document asks for no other version.", v.Serving), ""
	case len(m.replicas(v.Next)) == 0:
		reason = fmt.Sprintf("no replica runs %s", v.Next)
		return fmt.Sprintf("The move from %s to %s has not begun: %s.", v.Serving, v.Next, reason), reason
	}
	reason = "the owner has not written the record yet"
	return fmt.Sprintf("The move from %s to %s has not begun: %s.", v.Serving, v.Next, reason), reason
}

func (m *Mover) statusText(r Report) string {
	var b strings.Builder
	at := func(t time.Time) string { return t.UTC().Format(time.RFC3339) }
	switch r.Phase {
	case PhaseProbing:
		fmt.Fprintf(&b, "%s is being examined on %.1f%% of the requests; its share grows from %s and is full at %s.",
			r.To, 100*r.Share, at(r.GrowsAt), at(r.FinishesAt))
	case PhaseGrowing:
		fmt.Fprintf(&b, "%s gets %.0f%% of the requests; its share is full at %s.", r.To, 100*r.Share, at(r.FinishesAt))
	case PhaseDone:
		fmt.Fprintf(&b, "The move from %s to %s is done (%s).", r.From, r.To, r.Reason)
		switch {
		case m.now.Before(r.WarmUntil) && r.Share < 1:
			fmt.Fprintf(&b, " It gets %.0f%% of the requests until it is examined; %s stays ready until %s.", 100*r.Share, r.From, at(r.WarmUntil))
		case m.now.Before(r.WarmUntil):
			fmt.Fprintf(&b, " %s stays ready until %s.", r.From, at(r.WarmUntil))
		}
	case PhaseRolledBack:
		fmt.Fprintf(&b, "%s gets no requests: %s. It is tried again when the versions in the document change.", r.To, r.Reason)
	}
	if r.Phase != PhaseRolledBack && len(m.replicas(r.To)) == 0 {
		fmt.Fprintf(&b, " No replica runs %s; without one by %s the move is rolled back.", r.To, at(r.Deadline))
	}
	if len(m.replicas(r.From)) == 0 {
		fmt.Fprintf(&b, " No replica runs %s, so it cannot be gone back to.", r.From)
	}
	var n uint32
	for _, e := range r.Routes {
		n += e.New.N
	}
	if r.Phase != PhaseRolledBack && n < minExaminedOutcomes {
		fmt.Fprintf(&b, " So far %d of its answers were seen, too few to judge.", n)
	}
	return b.String()
}

// routeEvidence adds up this daemon's cells and those of the daemons that sent
// windows to it.
func (m *Mover) routeEvidence() []RouteEvidence {
	byRoute := map[string]*RouteEvidence{}
	add := func(route string, c *cell) {
		e := byRoute[route]
		if e == nil {
			e = &RouteEvidence{Route: route}
			byRoute[route] = e
		}
		e.Old, e.New = e.Old.plus(c.old), e.New.plus(c.new)
	}
	for k, c := range m.evidence.cells {
		add(k, c)
	}
	for _, cells := range m.evidence.peerCells {
		for k, c := range cells {
			add(k, c)
		}
	}
	out := make([]RouteEvidence, 0, len(byRoute))
	for _, e := range byRoute {
		for _, t := range []*testSet{m.evidence.ownTests, m.evidence.mergedTests} {
			if result, ok := t.nearest(e.Route); ok && (e.Test == "" || result.test.score/result.test.bound() > e.Score/e.Bound) {
				e.Test, e.Score, e.Bound = result.kind.String(), result.test.score, result.test.bound()
			}
		}
		out = append(out, *e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Route < out[j].Route })
	return out
}
