package forwarding

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/gooseberryroad/gooseberryroad/sources"
)

var start = time.Date(2026, 12, 7, 9, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

// outcome is an outcome of a connection to an upstream of a service.
type outcome struct {
	at                time.Duration
	service, upstream string
	ok                bool
}

// Guards against daemons that take a crashed or slow upstream for a cut, and against cuts that
// are noticed late.
func TestCutOff(t *testing.T) {
	ms := time.Millisecond
	for _, c := range []struct {
		name       string
		outcomes   []outcome
		service    string
		registered int
		at         time.Duration
		cutOff     bool
		status     Status
	}{
		{name: "nothing known", service: "s", registered: 4, status: Unknown},
		{name: "one of several fails", outcomes: []outcome{{0, "s", "a", false}, {100 * ms, "s", "a", false}}, service: "s", registered: 4, at: 300 * ms, status: Failing},
		{name: "two fail", outcomes: []outcome{{0, "s", "a", false}, {150 * ms, "s", "b", false}}, service: "s", registered: 4, at: 150 * ms, cutOff: true, status: Failing},
		{name: "the only one fails", outcomes: []outcome{{0, "s", "a", false}}, service: "s", registered: 1, cutOff: true, status: Failing},
		{name: "others respond", outcomes: []outcome{{0, "s", "a", false}, {10 * ms, "s", "b", false}, {20 * ms, "s", "c", true}}, service: "s", registered: 4, at: 300 * ms, status: Reached},
		{name: "responses a moment ago", outcomes: []outcome{{0, "s", "c", true}, {10 * ms, "s", "a", false}, {20 * ms, "s", "b", false}}, service: "s", registered: 4, at: 100 * ms, status: Reached},
		{name: "two fail after the last response", outcomes: []outcome{{0, "s", "c", true}, {10 * ms, "s", "a", false}, {20 * ms, "s", "b", false}}, service: "s", registered: 4, at: 250 * ms, cutOff: true, status: Failing},
		{name: "forgotten", outcomes: []outcome{{0, "s", "a", false}, {0, "s", "b", false}}, service: "s", registered: 4, at: 2 * time.Second, status: Unknown},
		{name: "response too old", outcomes: []outcome{{0, "s", "a", true}}, service: "s", registered: 4, at: 2 * time.Second, status: Unknown},
		{name: "another service fails", outcomes: []outcome{{0, "o", "a", false}, {900 * ms, "o", "b", false}}, service: "s", registered: 4, at: 900 * ms, cutOff: true, status: Unknown},
		{name: "another service fails for a moment", outcomes: []outcome{{0, "o", "c", true}, {100 * ms, "o", "a", false}, {200 * ms, "o", "b", false}}, service: "s", registered: 4, at: 900 * ms, status: Unknown},
		{name: "another service fails, this one responds", outcomes: []outcome{{0, "o", "a", false}, {0, "o", "b", false}, {10 * ms, "s", "x", true}, {50 * ms, "o", "b", false}, {60 * ms, "o", "a", false}},
			service: "s", registered: 4, at: 1500 * ms, status: Reached},
	} {
		r := NewReach()
		for _, o := range c.outcomes {
			if o.ok {
				r.Reached(o.service, o.upstream, at(o.at))
			} else {
				r.Failed(o.service, o.upstream, at(o.at))
			}
		}
		if got := r.CutOff(c.service, c.registered, at(c.at)); got != c.cutOff {
			t.Errorf("%s: cut off %v", c.name, got)
		}
		if got := r.Report(at(c.at)).Status(c.service); got != c.status {
			t.Errorf("%s: status %v instead of %v", c.name, got, c.status)
		}
	}
}

// Guards against requests that are refused while open connections work and new ones are
// refused, and against calls to other daemons because one upstream is down.
func TestNoneConnects(t *testing.T) {
	r := NewReach()
	all := []string{"a", "b"}
	r.Failed("s", "a", at(0))
	if r.NoneConnects("s", all, at(0)) {
		t.Error("one of two fails")
	}
	r.Failed("s", "b", at(time.Millisecond))
	r.Reached("s", "c", at(2*time.Millisecond))
	if !r.NoneConnects("s", all, at(2*time.Millisecond)) {
		t.Error("both fail")
	}
	if r.NoneConnects("s", all, at(failureMemory)) || r.NoneConnects("s", nil, at(0)) || r.NoneConnects("o", all, at(0)) {
		t.Error("nothing is known")
	}
	r.Reached("s", "a", at(3*time.Millisecond))
	if r.NoneConnects("s", all, at(3*time.Millisecond)) {
		t.Error("one has responded since")
	}
}

// Guards against a cut that is noticed after more than the 3 s that operators allow, with a
// request now and then and connections that time out after 150 ms.
func TestCutIsNoticedInTime(t *testing.T) {
	r := NewReach()
	r.Reached("s", "a", at(0))
	now := time.Duration(0)
	for i := 0; !r.CutOff("s", 4, at(now)); i++ {
		now += 150 * time.Millisecond
		r.Failed("s", fmt.Sprint(i%4), at(now))
	}
	if now > time.Second {
		t.Errorf("noticed after %v", now)
	}
}

func newTestPeers() *Peers {
	return NewPeers(sources.Peer{Name: "self", Address: "self", DataCentre: "a"}, rand.New(rand.NewPCG(1, 2)))
}

func report(services map[string]Status, all Status) Report {
	return Report{Services: services, All: all}
}

// Guards against requests that go to daemons that reach no upstream, to far ones while a near
// one can take them, and to the daemon itself.
func TestCandidates(t *testing.T) {
	reached := map[string]Status{"s": Reached}
	daemons := []sources.Peer{
		{Name: "self", Address: "self", DataCentre: "a"}, {Name: "silent", Address: "silent", DataCentre: "a"},
		{Name: "near", Address: "near", DataCentre: "a"}, {Name: "far", Address: "far", DataCentre: "b"},
		{Name: "narrow", Address: "narrow", DataCentre: "a", LinkMbps: 10}, {Name: "known", Address: "known", DataCentre: "a"},
		{Name: "idle", Address: "idle", DataCentre: "a"}, {Name: "cut", Address: "cut", DataCentre: "a"},
		{Name: "half", Address: "half", DataCentre: "a"}, {Name: "stops", Address: "stops", DataCentre: "a"},
		{Name: "old", Address: "old", DataCentre: "a"}, {Name: "unasked", Address: "unasked", DataCentre: "a"},
	}
	p := newTestPeers()
	p.Answered("old", report(reached, Reached), at(0))
	now := at(reportFor)
	for address, r := range map[string]Report{
		"self": report(reached, Reached), "silent": report(reached, Reached), "near": report(reached, Reached), "far": report(reached, Reached),
		"narrow": report(reached, Reached), "known": report(nil, Reached), "idle": report(nil, Unknown), "cut": report(nil, Failing),
		"half": report(map[string]Status{"s": Failing, "o": Reached}, Reached), "stops": {Services: reached, All: Reached, Closed: true},
	} {
		p.Answered(address, r, now)
	}
	p.Silent("silent", now)
	names := func(now time.Time) (out []string, sure bool) {
		list, sure := p.Candidates("s", daemons, now)
		for _, c := range list {
			out = append(out, c.Name)
		}
		return out, sure
	}
	if got, sure := names(now); !slices.Equal(got, []string{"near", "far", "narrow", "known", "idle"}) || !sure {
		t.Errorf("candidates %v, sure %v", got, sure)
	}
	for _, address := range []string{"near", "far", "narrow"} {
		p.TurnedAway(address, "s", now)
	}
	if got, sure := names(now); !slices.Equal(got, []string{"known", "idle"}) || sure {
		t.Errorf("candidates %v after others turned the request away, sure %v", got, sure)
	}
	p.Served("idle", "s", now)
	if got, _ := names(now.Add(silentFor)); !slices.Equal(got, []string{"near", "idle", "far", "narrow", "known"}) && !slices.Equal(got, []string{"idle", "near", "far", "narrow", "known"}) {
		t.Errorf("candidates %v after one served a request", got)
	}
	if got, _ := names(now.Add(reportFor)); len(got) != 0 {
		t.Errorf("candidates %v by old reports", got)
	}
	p.Retain(nil)
	if len(p.states) != 0 {
		t.Error("daemons that are gone are kept")
	}
}

// Guards against one daemon that gets the requests of all that are cut off.
func TestEqualCandidatesShareRequests(t *testing.T) {
	p := newTestPeers()
	daemons := []sources.Peer{{Address: "x", DataCentre: "a"}, {Address: "y", DataCentre: "a"}}
	for _, d := range daemons {
		p.Answered(d.Address, report(map[string]Status{"s": Reached}, Reached), start)
	}
	first := map[string]int{}
	for range 1000 {
		list, _ := p.Candidates("s", daemons, start)
		first[list[0].Address]++
	}
	if first["x"] < 400 || first["y"] < 400 {
		t.Errorf("shares %v", first)
	}
}

// Guards against storms of questions in a large deployment, and against daemons that are
// forgotten although they serve.
func TestAsk(t *testing.T) {
	p := newTestPeers()
	var daemons []sources.Peer
	for i := range 350 {
		daemons = append(daemons, sources.Peer{Address: fmt.Sprint("d", i), DataCentre: string(rune('a' + i%9))})
	}
	daemons = append(daemons, sources.Peer{Address: "self", DataCentre: "a"}, sources.Peer{Name: "without address", DataCentre: "a"})
	p.Answered("d9", report(map[string]Status{"s": Reached}, Reached), start)
	p.Answered("d18", report(nil, Failing), start)
	asked := p.Ask(daemons, start)
	if len(asked) != askedLocal+askedRemote {
		t.Fatalf("%d daemons asked", len(asked))
	}
	addresses := map[string]bool{}
	for _, d := range asked {
		addresses[d.Address] = true
	}
	if !addresses["d9"] || addresses["d18"] || addresses["self"] || addresses[""] {
		t.Errorf("asked %v", addresses)
	}
	if again := p.Ask(daemons, start.Add(AskInterval-1)); again != nil {
		t.Errorf("asked again at once: %v", again)
	}
	if again := p.Ask(daemons, start.Add(AskInterval)); len(again) == 0 {
		t.Error("not asked again")
	}
}

// Guards against crashes that a daemon counts although it is cut off.
func TestReachedSince(t *testing.T) {
	r := NewReach()
	if r.ReachedSince(start) {
		t.Error("nothing has responded")
	}
	r.Reached("s", "a", at(time.Millisecond))
	if !r.ReachedSince(start) || r.ReachedSince(at(time.Millisecond)) {
		t.Error("the time of the response is not compared")
	}
}

// Guards against a status that another daemon reads wrongly.
func TestStatusNames(t *testing.T) {
	for _, s := range []Status{Unknown, Reached, Failing} {
		if got := ParseStatus(s.String()); got != s {
			t.Errorf("%v is read as %v", s, got)
		}
	}
	if ParseStatus("something newer") != Unknown {
		t.Error("an unknown name is not unknown")
	}
}
