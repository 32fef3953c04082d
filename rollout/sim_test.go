package rollout_test

import (
	"container/heap"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/gooseberryroad/gooseberryroad/document"
	"github.com/gooseberryroad/gooseberryroad/rollout"
)

// The simulation runs several Movers in virtual time against a model store, a
// lossy network and a traffic generator.

// moveStart is when the moves of the tests begin.
var moveStart = time.Date(2026, 12, 4, 20, 0, 0, 0, time.UTC)

var errStore = errors.New("model store: no certain result")

type queuedEvent struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []queuedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || (q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(queuedEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// behaviour changes the outcome of a request at a replica.
type behaviour func(s *rollout.Sample, at time.Time, rnd *rand.Rand)

type simConfig struct {
	daemons    int
	old, new   int
	rate       float64 // requests per second
	moveTime   time.Duration
	warm       time.Duration
	startShare float64
	share      map[string]float64 // routes and their parts of the requests
	behave     behaviour
	// faultFree: no daemon dies or is paused, the store has no outage and no
	// message is lost.
	faultFree bool
	end       time.Duration // after the start; default moveTime
}

type simDaemon struct {
	name   string
	m      *rollout.Mover
	up     bool
	paused time.Time
	booted time.Time
	run    int
	shares map[string]rollout.SetShare
	timer  time.Time
}

type interval struct{ from, to time.Time }

type sim struct {
	simConfig
	rnd     *rand.Rand
	now     time.Time
	q       eventQueue
	seq     int
	doc     *document.Service
	rev     uint64
	daemons []*simDaemon

	rec     rollout.Move
	index   uint64
	outages []interval
	fences  map[uint64]rollout.Move

	// total and toNew count the requests since the start of the move, totalBefore
	// and newBefore those of them before the verdict.
	total, toNew           int
	newBefore, totalBefore int
	newAfter               int // requests to the new version later than 2 s after the verdict
	verdict                time.Time
	reason                 string
	problems               []string
	load                   map[string]*loadMeter
	windows                int
	windowCells            int
	onStep                 func(d *simDaemon)
	// stop ends the trial early.
	stop func() bool
}

// loadMeter holds the exponentially decaying number of requests of one replica.
type loadMeter struct {
	v  float64
	at time.Time
}

const (
	loadDecaySeconds = 10.0
	// leadTime is the time for which only the old version serves before the
	// document asks for the move.
	leadTime = time.Minute
)

// countRequest counts a request to a replica and returns the replica's load before
// it; 0.6 is the mean load of a replica when only the old version serves.
func (s *sim) countRequest(up string) float64 {
	m := s.load[up]
	if m == nil {
		m = &loadMeter{at: s.now}
		s.load[up] = m
	}
	m.v *= math.Exp(-s.now.Sub(m.at).Seconds() / loadDecaySeconds)
	m.at = s.now
	load := 0.6 * m.v / (loadDecaySeconds * s.rate / float64(s.old))
	m.v++
	return load
}

func newSim(c simConfig, seed uint64) *sim {
	s := &sim{simConfig: c, rnd: rand.New(rand.NewPCG(seed, 1)), now: moveStart.Add(-leadTime), fences: map[uint64]rollout.Move{}, load: map[string]*loadMeter{}}
	if s.end == 0 {
		s.end = s.moveTime
	}
	s.doc, s.rev = makeDoc(c.old, c.new, document.Versions{Serving: "v1"}), 9
	next := makeDoc(c.old, c.new, document.Versions{Serving: "v1", Next: "v2", Deadline: moveStart.Add(c.moveTime), Warm: c.warm, StartShare: c.startShare})
	s.index = 100
	s.after(leadTime, func() {
		s.doc, s.rev = next, 10
		for _, d := range s.daemons {
			s.deliver(d, s.netDelay(), rollout.DocumentAccepted{Service: s.doc, Revision: s.rev})
		}
	})
	for i := range c.daemons {
		d := &simDaemon{name: fmt.Sprintf("d%d", i)}
		s.daemons = append(s.daemons, d)
		s.boot(d)
	}
	return s
}

func makeDoc(old, next int, v document.Versions) *document.Service {
	d := &document.Service{Name: "svc", Versions: v}
	for i := range old {
		d.Upstreams = append(d.Upstreams, document.Upstream{Name: fmt.Sprintf("a%02d", i), Version: "v1", DataCentre: fmt.Sprintf("dc%d", i%4)})
	}
	for i := range next {
		d.Upstreams = append(d.Upstreams, document.Upstream{Name: fmt.Sprintf("b%02d", i), Version: "v2", DataCentre: fmt.Sprintf("dc%d", i%4)})
	}
	return d
}

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.q, queuedEvent{s.now.Add(d), s.seq, f})
}

func (s *sim) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(s.rnd.Float64()*float64(hi-lo))
}

func (s *sim) boot(d *simDaemon) {
	d.run++
	d.up, d.booted = true, s.now
	d.m = rollout.New(d.name, rollout.Options{Service: "svc"}, rand.New(rand.NewPCG(s.rnd.Uint64(), uint64(d.run))))
	d.shares = map[string]rollout.SetShare{}
	d.timer = time.Time{}
	s.step(d, rollout.DocumentAccepted{Service: s.doc, Revision: s.rev})
	// A daemon that starts gets the record from the store or from a peer.
	if s.rec.Fence > 0 {
		s.step(d, rollout.StoredRecord{Move: s.rec, Index: s.index})
	}
	s.elect()
}

func (s *sim) kill(d *simDaemon, down time.Duration) {
	d.up = false
	d.run++
	s.elect()
	s.after(down, func() { s.boot(d) })
}

// elect tells each daemon the owner (the first daemon that is up) after a random
// delay, so that there are times with two owners and with none.
func (s *sim) elect() {
	for _, d := range s.daemons {
		run := d.run
		s.after(s.between(time.Second, 3*time.Second), func() {
			if !d.up || d.run != run {
				return
			}
			up, owner := 0, ""
			for _, o := range s.daemons {
				if o.up {
					if owner == "" {
						owner = o.name
					}
					up++
				}
			}
			s.step(d, rollout.OwnerElected{Owner: owner, Daemons: up})
		})
	}
}

func (s *sim) down() bool {
	for _, o := range s.outages {
		if !s.now.Before(o.from) && s.now.Before(o.to) {
			return true
		}
	}
	return false
}

// deliver hands an event to a daemon after a delay. An event for a daemon that died
// is lost; one for a paused daemon waits until the pause ends.
func (s *sim) deliver(d *simDaemon, after time.Duration, ev rollout.Event) {
	run := d.run
	s.after(after, func() {
		if !d.up || d.run != run {
			return
		}
		if s.now.Before(d.paused) {
			s.deliver(d, d.paused.Sub(s.now), ev)
			return
		}
		s.step(d, ev)
	})
}

func (s *sim) netDelay() time.Duration {
	if s.rnd.Float64() < 0.05 {
		return s.between(50*time.Millisecond, 500*time.Millisecond)
	}
	return s.between(time.Millisecond, 20*time.Millisecond)
}

func (s *sim) lost() bool { return !s.faultFree && s.rnd.Float64() < 0.1 }

func (s *sim) step(d *simDaemon, ev rollout.Event) {
	for _, a := range d.m.Step(s.now, ev) {
		s.carryOut(d, a)
	}
	if s.onStep != nil {
		s.onStep(d)
	}
	if at, ok := d.m.NextTimer(); ok && (d.timer.IsZero() || at.Before(d.timer) || !d.timer.After(s.now)) {
		if !at.After(s.now) {
			at = s.now.Add(time.Millisecond)
		}
		d.timer = at
		run := d.run
		s.after(at.Sub(s.now), func() {
			if !d.up || d.run != run || !d.timer.Equal(at) {
				return
			}
			if s.now.Before(d.paused) {
				s.deliver(d, d.paused.Sub(s.now), rollout.Tick{})
				d.timer = time.Time{}
				return
			}
			d.timer = time.Time{}
			s.step(d, rollout.Tick{})
		})
	}
}

func (s *sim) carryOut(d *simDaemon, a rollout.Action) {
	switch a := a.(type) {
	case rollout.SetShare:
		d.shares[a.Version] = a
	case rollout.AnnounceAlarm:
		if s.verdict.IsZero() && a.Alarm.Daemon == d.name {
			s.verdict, s.reason = s.now, a.Alarm.Reason
			s.newBefore, s.totalBefore = s.toNew, s.total
		}
		for _, o := range s.daemons {
			if o != d && !s.lost() {
				s.deliver(o, s.netDelay(), rollout.PeerAlarm(a))
			}
		}
	case rollout.SendWindow:
		s.windows++
		s.windowCells += len(a.Window.Cells)
		for _, o := range s.daemons {
			if o.name == a.To && !s.lost() {
				s.deliver(o, s.netDelay(), rollout.PeerWindow{Window: a.Window})
				if s.rnd.Float64() < 0.05 {
					s.deliver(o, s.between(time.Second, 20*time.Second), rollout.PeerWindow{Window: a.Window})
				}
			}
		}
	case rollout.WriteMove:
		s.after(s.netDelay(), func() { s.write(d, a) })
	case rollout.ReadMove:
		s.after(s.netDelay(), func() {
			if s.down() || s.lost() {
				s.deliver(d, s.netDelay(), rollout.StoredRecord{Err: errStore})
				return
			}
			ev := rollout.StoredRecord{}
			if s.rec.Fence > 0 {
				ev = rollout.StoredRecord{Move: s.rec, Index: s.index}
			}
			s.deliver(d, s.netDelay(), ev)
		})
	}
}

func (s *sim) write(d *simDaemon, a rollout.WriteMove) {
	have := s.index
	if s.rec.Fence == 0 {
		have = 0
	}
	if s.down() || have != a.Index {
		s.deliver(d, s.netDelay(), rollout.StoredRecord{Err: errStore})
		return
	}
	if a.Move.Fence != s.rec.Fence+1 {
		s.addProblem("fence %d follows %d", a.Move.Fence, s.rec.Fence)
	}
	if s.rec.Began == a.Move.Began && a.Move.Phase < s.rec.Phase {
		s.addProblem("%s follows %s in move %d", a.Move.Phase, s.rec.Phase, a.Move.Began)
	}
	if s.rec.Began == a.Move.Began && s.rec.Phase == rollout.PhaseRolledBack {
		s.addProblem("a rolled-back move was written again")
	}
	if old, ok := s.fences[a.Move.Fence]; ok && old != a.Move {
		s.addProblem("two records with fence %d", a.Move.Fence)
	}
	s.fences[a.Move.Fence] = a.Move
	s.index += 1 + s.rnd.Uint64N(5)
	s.rec = a.Move
	if s.lost() {
		s.deliver(d, s.netDelay(), rollout.StoredRecord{Err: errStore})
	} else {
		s.deliver(d, s.netDelay(), rollout.StoredRecord{Move: s.rec, Index: s.index})
	}
	s.notifyWatchers()
}

// notifyWatchers sends the record to all daemons; a daemon that misses it gets it
// from a peer's digest 1 to 3 s later.
func (s *sim) notifyWatchers() {
	ev := rollout.StoredRecord{Move: s.rec, Index: s.index}
	for _, d := range s.daemons {
		after := s.netDelay()
		if s.lost() {
			after += s.between(time.Second, 3*time.Second)
		}
		s.deliver(d, after, ev)
	}
}

func (s *sim) addProblem(format string, args ...any) {
	if len(s.problems) < 5 {
		s.problems = append(s.problems, fmt.Sprintf("%s: ", s.now.Sub(moveStart))+fmt.Sprintf(format, args...))
	}
}

func (s *sim) request() {
	s.after(time.Duration(s.rnd.ExpFloat64()/s.rate*float64(time.Second)), s.request)
	d := s.daemons[s.rnd.IntN(len(s.daemons))]
	if !d.up || s.now.Before(d.paused) {
		return
	}
	version := "v1"
	if s.rnd.Float64() < d.shares["v2"].Share {
		version = "v2"
	}
	names := d.shares[version].Replicas
	if names == nil {
		for _, u := range s.doc.Upstreams {
			if u.Version == version {
				names = append(names, u.Name)
			}
		}
	}
	up := names[s.rnd.IntN(len(names))]
	if !s.now.Before(moveStart) {
		s.total++
	}
	if version == "v2" {
		s.toNew++
		if !s.verdict.IsZero() && s.now.Sub(s.verdict) > 2*time.Second {
			s.newAfter++
		}
	}
	route, x := "", s.rnd.Float64()
	for _, r := range []string{"answer", "order", "rare"} {
		if x < s.share[r] {
			route = r
			break
		}
		x -= s.share[r]
	}
	smp := rollout.Sample{Service: "svc", Version: version, Route: route, Upstream: up, At: s.now, Load: s.countRequest(up)}
	f := 1 + smp.Load
	smp.FirstToken = time.Duration(f * 200 * math.Exp(0.3*s.rnd.NormFloat64()) * float64(time.Millisecond))
	smp.BetweenTokens = time.Duration(f * 20 * math.Exp(0.1*s.rnd.NormFloat64()) * float64(time.Millisecond))
	if s.rnd.Float64() < 0.003 {
		smp.Failed = true
	}
	s.behave(&smp, s.now, s.rnd)
	took := s.between(200*time.Millisecond, 2*time.Second)
	if smp.Failed || smp.Crashed || smp.Empty || smp.UpstreamLost {
		took = s.between(20*time.Millisecond, 300*time.Millisecond)
	}
	s.deliver(d, took, rollout.LocalSample{Sample: smp})
}

func (s *sim) start() {
	if !s.faultFree {
		// The store has one outage at a random time, and daemons die, also the
		// owner (always the first one up).
		at := moveStart.Add(s.between(0, s.moveTime))
		s.outages = append(s.outages, interval{at, at.Add(s.between(0, s.moveTime/4))})
		for range 1 + s.rnd.IntN(3) {
			d := s.daemons[s.rnd.IntN(min(2, len(s.daemons)))]
			s.after(leadTime+s.between(0, s.moveTime), func() {
				if d.up {
					s.kill(d, s.between(5*time.Second, s.moveTime/4))
				}
			})
		}
		d := s.daemons[0]
		s.after(leadTime+s.between(0, s.moveTime), func() { d.paused = s.now.Add(s.between(time.Second, 30*time.Second)) })
	}
	s.after(leadTime+s.moveTime, func() {
		for _, d := range s.daemons {
			if p := d.m.Status().Phase; d.up && p != rollout.PhaseDone && p != rollout.PhaseRolledBack {
				s.addProblem("%s is %s at the deadline", d.name, p)
			}
		}
	})
	s.request()
}

func (s *sim) run() {
	s.start()
	end := moveStart.Add(s.end)
	for len(s.q) > 0 && !s.q[0].at.After(end) {
		it := heap.Pop(&s.q).(queuedEvent)
		s.now = it.at
		it.run()
		if s.stop != nil && s.stop() {
			return
		}
	}
	s.now = end
}

// checkSettled returns an error when a daemon that has been up and not paused for
// 5 s is not in the given phase with the given share.
func (s *sim) checkSettled(phase rollout.Phase, share float64) error {
	for _, d := range s.daemons {
		// A daemon that has just started waits 3 s for alarms that it missed, and
		// one whose pause has just ended still receives delayed messages.
		if !d.up || s.now.Sub(d.booted) < 5*time.Second || s.now.Sub(d.paused) < 5*time.Second {
			continue
		}
		s.step(d, rollout.Tick{})
		r := d.m.Status()
		if r.Phase != phase || r.Share != share || d.shares["v2"].Share != share {
			return fmt.Errorf("%s is %s with share %g at fence %d: %s", d.name, r.Phase, r.Share, r.Fence, r.Text)
		}
	}
	return nil
}
