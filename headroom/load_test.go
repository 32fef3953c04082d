package headroom_test

import (
	"testing"
	"time"

	"github.com/gooseberryroad/gooseberryroad/headroom"
)

const (
	burstFrom  = 10 * time.Second
	burstUntil = 24 * time.Second
)

// watchRefusals fails the test if a request is refused although an engine that was asked was
// idle, and returns a function that checks how many there were.
func watchRefusals(t *testing.T, m *model) {
	m.onRefuse = func(c *modelClient, asked []*modelEngine, d headroom.Decision, now time.Duration) {
		for _, e := range asked {
			if e.idle(c.kind.priority) && m.current {
				t.Errorf("%s %d is refused at %v with %+v although %s is idle", c.kind.name, c.id, now, d, e.id)
			}
		}
		if left := c.deadline - now; d.RetryAfter > max(left/3, 10*time.Millisecond) || d.RetryAfter <= 0 {
			t.Errorf("Retry-After is %v with %v left", d.RetryAfter, left)
		}
	}
}

// used returns the part of the engines' speed that is used while the model runs until a time.
func (m *model) used(until time.Duration) float64 {
	before, from := m.read(), m.now
	m.run(until)
	capacity := 0.0
	for _, e := range m.engines {
		if !e.away {
			capacity += e.speed
		}
	}
	return (m.read() - before) / (capacity * float64((until-from)/time.Millisecond))
}

// Guards against urgent requests that get their first event late because of a burst of less
// urgent ones, prompts that are read for clients that gave up, capacity that is left idle
// while requests are refused, and load queries without bound. Load: 25 urgent and 25 less
// urgent requests a second, the latter six times as many for 14 s, before 86 engines that read
// one prompt a second each; 75 trackers.
func TestBurstOfLessUrgentRequests(t *testing.T) {
	m := newModel(1, 75, 86)
	urgent := &modelKind{name: "urgent", priority: 0, objective: 4 * time.Second, rate: 25}
	later := &modelKind{name: "later", priority: 2, objective: 10 * time.Second, rate: 25, burst: 6}
	m.kinds, m.burstFrom, m.burstUntil = []*modelKind{urgent, later}, burstFrom, burstUntil
	watchRefusals(t, m)
	m.run(burstFrom + 4*time.Second)
	used := m.used(burstUntil)
	m.run(45 * time.Second)
	u, l := m.result(urgent, burstFrom, burstUntil), m.result(later, burstFrom, burstUntil)
	t.Logf("urgent %+v later %+v used %.3f wasted %.0f queries %d", u, l, used, m.wasted, m.queries)
	if u.share() < 0.97 || u.refusals > 0 {
		t.Errorf("urgent requests are %+v", u)
	}
	if used < 0.95 {
		t.Errorf("%.2f of the engines' speed is used in the burst", used)
	}
	// 86 prompts a second, less 25 urgent ones, for 14 s and the 10 s of the objective, in which
	// usual requests arrive too.
	if l.inTime < 1000 || l.sentLate > l.arrived/10 || l.refusals == 0 {
		t.Errorf("less urgent requests are %+v", l)
	}
	if m.wasted > 0.02*m.read() {
		t.Errorf("%.0f tokens are read without use", m.wasted)
	}
	attempts := len(m.clients) + u.refusals + l.refusals
	if m.maxRounds > headroom.MaxRounds || m.queries > 6*attempts {
		t.Errorf("%d queries in %d rounds at most for %d attempts", m.queries, m.maxRounds, attempts)
	}
	if r := m.result(urgent, burstUntil+3*time.Second, 40*time.Second); r.share() < 0.97 {
		t.Errorf("3 s after the burst urgent requests are %+v", r)
	}
	if r := m.result(later, burstUntil+3*time.Second, 40*time.Second); r.share() < 0.8 {
		t.Errorf("3 s after the burst less urgent requests are %+v", r)
	}
}

// Guards against kinds of equal priority that are placed late instead of being refused. Load:
// 25 requests a second of each of two kinds with an objective of 4.5 s, one of them six times
// as many for 14 s, before 86 engines; 75 trackers.
func TestBurstOfEqualRequests(t *testing.T) {
	m := newModel(2, 75, 86)
	a := &modelKind{name: "a", priority: 5, objective: 4500 * time.Millisecond, rate: 25}
	b := &modelKind{name: "b", priority: 5, objective: 4500 * time.Millisecond, rate: 25, burst: 6}
	m.kinds, m.burstFrom, m.burstUntil = []*modelKind{a, b}, burstFrom, burstUntil
	watchRefusals(t, m)
	m.run(burstFrom + 4*time.Second)
	used := m.used(burstUntil)
	m.run(45 * time.Second)
	ra, rb := m.result(a, burstFrom, burstUntil), m.result(b, burstFrom, burstUntil)
	t.Logf("a %+v b %+v used %.3f wasted %.0f queries %d", ra, rb, used, m.wasted, m.queries)
	if used < 0.95 || m.wasted > 0.01*m.read() || ra.sentLate+rb.sentLate > 30 {
		t.Errorf("used %.2f, wasted %.0f, %+v, %+v", used, m.wasted, ra, rb)
	}
	if sa, sb := ra.share(), rb.share(); sa < 0.7*sb || sb < 0.7*sa {
		t.Errorf("shares in time of equal kinds are %.2f and %.2f", sa, sb)
	}
}

// Guards against engines that get the requests of all daemons at once when they come back, and
// against urgent requests that suffer from a loss. Load: 60 urgent and 25 less urgent requests
// a second, the latter six times as many for 14 s, before 144 engines, of which 58 are away from
// the third to the ninth second of the burst; 75 trackers.
func TestLossAndReturnOfEngines(t *testing.T) {
	m := newModel(3, 75, 144)
	urgent := &modelKind{name: "urgent", priority: 0, objective: 4 * time.Second, rate: 60}
	later := &modelKind{name: "later", priority: 2, objective: 10 * time.Second, rate: 25, burst: 6}
	m.kinds, m.burstFrom, m.burstUntil = []*modelKind{urgent, later}, burstFrom, burstUntil
	watchRefusals(t, m)
	m.run(burstFrom + 3*time.Second)
	for _, e := range m.engines[:58] {
		m.lose(e)
	}
	m.run(burstFrom + 9*time.Second)
	for _, e := range m.engines[:58] {
		e.away = false
	}
	longest := 0
	for m.now < 45*time.Second {
		m.run(m.now + step)
		if m.now > burstFrom+9*time.Second && m.now < burstFrom+11*time.Second {
			for _, e := range m.engines[:58] {
				longest = max(longest, len(e.running)+len(e.waiting))
			}
		}
	}
	u := m.result(urgent, burstFrom+3*time.Second, burstUntil)
	l := m.result(later, burstFrom+3*time.Second, burstUntil)
	t.Logf("urgent %+v later %+v longest %d wasted %.0f queries %d", u, l, longest, m.wasted, m.queries)
	if u.share() < 0.95 || l.sentLate > l.arrived/6 {
		t.Errorf("urgent requests are %+v, less urgent ones %+v", u, l)
	}
	if longest > 12 {
		t.Errorf("an engine that came back gets %d requests", longest)
	}
}

// Guards against prompts that are read again although an engine holds them, and against one
// engine that gets all requests about a prompt. Load: 60 requests a second before 30 engines,
// half of them about one prompt, of which 7000 of 8000 tokens are shared; 8 trackers.
func TestHotPrompt(t *testing.T) {
	play := func(hot float64) (*model, result) {
		m := newModel(4, 8, 30)
		k := &modelKind{name: "k", priority: 5, objective: 4500 * time.Millisecond, rate: 60, hot: hot}
		m.kinds = []*modelKind{k}
		watchRefusals(t, m)
		m.run(30 * time.Second)
		return m, m.result(k, 5*time.Second, 20*time.Second)
	}
	_, cold := play(0)
	m, warm := play(0.5)
	t.Logf("without a hot prompt %+v, with one %+v", cold, warm)
	// Without the shared tokens 30 of the 60 prompts a second can be read, with all of them 53.
	if warm.inTime < 3*cold.inTime/2 {
		t.Errorf("%d of %d requests are in time, and %d with a hot prompt", cold.inTime, cold.arrived, warm.inTime)
	}
	for _, e := range m.engines {
		if n := len(e.running) + len(e.waiting); n > 2*16 {
			t.Errorf("engine %s has %d requests", e.id, n)
		}
	}
}

// Guards against a speed that is learnt from prompts which engines hold because of other daemons.
// Load: 60 requests a second before 40 engines, half of them about one prompt, of which 7000 of
// 8000 tokens are shared; 40 trackers.
func TestSpeedWithHotPrompt(t *testing.T) {
	m := newModel(8, 40, 40)
	k := &modelKind{name: "k", priority: 5, objective: 4500 * time.Millisecond, rate: 60, hot: 0.5}
	m.kinds = []*modelKind{k}
	watchRefusals(t, m)
	m.run(30 * time.Second)
	sum, highest := 0.0, 0.0
	for _, d := range m.daemons {
		speed := d.tracker.Estimate("e000", headroom.Request{Service: "s", Priority: 5, Tokens: 8000}, m.at()).Speed
		sum += speed
		highest = max(highest, speed)
	}
	r := m.result(k, 5*time.Second, 25*time.Second)
	t.Logf("%+v, speed %.2f, highest %.2f, wasted %.0f", r, sum/40, highest, m.wasted)
	if sum/40 > 10 || highest > 16 {
		t.Errorf("the learnt speed is %.2f, the highest %.2f", sum/40, highest)
	}
	if r.sentLate > r.arrived/20 {
		t.Errorf("requests are %+v", r)
	}
}

// Guards against a speed that is learnt at idle engines and is too high in a burst. Load: as in the
// burst of equal requests, but each run that generates output slows the reading by 8%, so that
// engines read 7.4 tokens a millisecond beside one such run and 6 beside four.
func TestSpeedFallsInBurst(t *testing.T) {
	m := newModel(9, 75, 86)
	a := &modelKind{name: "a", priority: 5, objective: 4500 * time.Millisecond, rate: 25}
	b := &modelKind{name: "b", priority: 5, objective: 4500 * time.Millisecond, rate: 10, burst: 15}
	m.kinds, m.burstFrom, m.burstUntil = []*modelKind{a, b}, burstFrom, burstUntil
	for _, e := range m.engines {
		e.slowdown = 0.08
	}
	watchRefusals(t, m)
	m.run(45 * time.Second)
	ra, rb := m.result(a, burstFrom, burstUntil), m.result(b, burstFrom, burstUntil)
	t.Logf("a %+v b %+v wasted %.0f", ra, rb, m.wasted)
	if late := ra.sentLate + rb.sentLate; late > 30 {
		t.Errorf("%d placed requests are late", late)
	}
}

// Guards against requests that are late because an engine is slower than the others, and
// against a slow engine that is not used. Load: 10 requests a second before 12 engines, of
// which one reads half as fast; 3 trackers.
func TestSlowEngine(t *testing.T) {
	m := newModel(5, 3, 12)
	k := &modelKind{name: "k", priority: 5, objective: 4500 * time.Millisecond, rate: 10}
	m.kinds = []*modelKind{k}
	m.engines[0].speed = 4
	m.run(60 * time.Second)
	learnt, daemons := 0.0, 0.0
	for _, d := range m.daemons {
		est := d.tracker.Estimate(m.engines[0].id, headroom.Request{Service: "s", Priority: 5, Tokens: 8000}, m.at())
		learnt += est.Speed
		daemons++
	}
	r := m.result(k, 10*time.Second, 50*time.Second)
	t.Logf("%+v learnt %.2f read %.0f of %.0f", r, learnt/daemons, m.engines[0].readTokens, m.read())
	if r.share() < 0.95 {
		t.Errorf("requests are %+v", r)
	}
	if learnt/daemons > 6 || learnt/daemons < 3.5 {
		t.Errorf("the learnt speed is %.2f tokens a millisecond", learnt/daemons)
	}
	if m.engines[0].readTokens == 0 {
		t.Error("the slow engine is not used")
	}
}

// Guards against a daemon that refuses or places blindly because engines' reports are late or
// lost. Load: the burst of less urgent requests; reports are 300 ms old and without a current
// load, and three of ten queries are not answered.
func TestLateAndLostReports(t *testing.T) {
	m := newModel(6, 75, 86)
	urgent := &modelKind{name: "urgent", priority: 0, objective: 4 * time.Second, rate: 25}
	later := &modelKind{name: "later", priority: 2, objective: 10 * time.Second, rate: 25, burst: 6}
	m.kinds, m.burstFrom, m.burstUntil = []*modelKind{urgent, later}, burstFrom, burstUntil
	m.current, m.lost, m.reportAge = false, 0.3, 300*time.Millisecond
	watchRefusals(t, m)
	m.run(burstFrom + 4*time.Second)
	used := m.used(burstUntil)
	m.run(45 * time.Second)
	u, l := m.result(urgent, burstFrom, burstUntil), m.result(later, burstFrom, burstUntil)
	t.Logf("urgent %+v later %+v used %.3f wasted %.0f queries %d", u, l, used, m.wasted, m.queries)
	if u.share() < 0.95 || used < 0.95 || l.inTime < 900 || m.wasted > 0.03*m.read() {
		t.Errorf("urgent requests are %+v, less urgent ones %+v, used %.2f, wasted %.0f", u, l, used, m.wasted)
	}

	// No report at all: nothing is known, so that nothing is refused.
	m = newModel(7, 4, 10)
	m.kinds, m.lost = []*modelKind{urgent}, 1
	m.run(5 * time.Second)
	if r := m.result(urgent, 0, 5*time.Second); r.refusals > 0 || m.unknown != len(m.clients) {
		t.Errorf("without reports %d of %d are placed as before, %+v", m.unknown, len(m.clients), r)
	}
}
