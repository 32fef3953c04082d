package duty_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gooseberryroad/gooseberryroad/duty"
)

const (
	lease = 3 * time.Second
	// simStep is the time between two steps of a daemon.
	simStep = 50 * time.Millisecond
	// callTimeout is after which a daemon gives a call to the store up.
	callTimeout = 700 * time.Millisecond
)

// content is what the store has for the subject at a time.
type content struct {
	at            time.Time
	era, revision uint64
	record, last  duty.Seen
	// recordLease is the lease of the record.
	recordLease uint64
}

// simStore is a store with one subject. Each change is kept, as daemons see it late.
type simStore struct {
	content
	history   []content
	leases    map[uint64]time.Time
	lastLease uint64
}

func (s *simStore) changed(now time.Time) {
	s.at = now
	s.history = append(s.history, s.content)
}

func (s *simStore) expire(now time.Time) {
	for id, end := range s.leases {
		if !now.Before(end) {
			s.endLease(id, now)
		}
	}
}

func (s *simStore) endLease(id uint64, now time.Time) {
	delete(s.leases, id)
	if s.recordLease == id && s.record.Revision != 0 {
		s.revision++
		s.record, s.recordLease = duty.Seen{}, 0
		s.changed(now)
	}
}

// restore goes back to the content of an earlier time; leases survive at most if the copy
// has them.
func (s *simStore) restore(to time.Time, keepLeases bool, now time.Time) {
	era := s.era
	for i := len(s.history) - 1; i >= 0; i-- {
		if c := s.history[i]; !c.at.After(to) {
			s.content = c
			break
		}
	}
	s.era = era + 1
	id := s.recordLease
	s.leases = map[uint64]time.Time{}
	if keepLeases && id != 0 {
		s.leases[id] = now.Add(lease)
	} else if id != 0 {
		s.record, s.recordLease = duty.Seen{}, 0
	}
	s.changed(now)
}

// message is a call on its way to the store, or a response on its way back.
type message struct {
	at time.Time
	do func(now time.Time)
}

// simDaemon is a VM with at most one process.
type simDaemon struct {
	w                                    *world
	self                                 duty.Holder
	machine                              *duty.Machine
	process                              int
	stopped, frozen, noStore, noDirector bool
	callsFail                            bool
	lag                                  time.Duration
	// seen is the last content that was observed.
	seen     int
	inbox    []func()
	lastCall time.Time
}

type act struct {
	at    time.Time
	who   duty.Holder
	token uint64
}

type world struct {
	t       *rapid.T
	now     time.Time
	store   *simStore
	daemons []*simDaemon
	network []message
	acts    []act
	delay   func() time.Duration
	lose    func() bool
	trace   []string
}

func (w *world) log(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%v ", w.now.Sub(time.Unix(0, 0)))+fmt.Sprintf(format, args...))
}

func (d *simDaemon) start() {
	d.process++
	d.machine = duty.New(duty.Options{Self: d.self, Process: fmt.Sprintf("%s/%d", d.self.Address, d.process), Lease: lease})
	d.stopped, d.frozen, d.seen, d.inbox = false, false, -1, nil
	d.step(duty.Subjects{Names: []string{"s"}})
	var c duty.Candidates
	for _, o := range d.w.daemons {
		c.List = append(c.List, duty.Candidate{Name: o.self.Name})
	}
	d.step(c)
}

func (d *simDaemon) step(ev duty.Event) {
	for _, a := range d.machine.Step(d.w.now, ev) {
		if !strings.HasPrefix(fmt.Sprintf("%T", a), "duty.Renew") {
			d.w.log("%s: %T %+v", d.self, a, a)
		}
		d.perform(a)
	}
}

// call sends a call to the store. run returns the event of its response; lost is the event
// if no response arrives.
func (d *simDaemon) call(run func(now time.Time) duty.Event, lost duty.Event) {
	w, process := d.w, d.process
	var era uint64
	deliver := func(ev duty.Event) {
		if d.process == process && ev != nil {
			d.inbox = append(d.inbox, func() {
				d.step(duty.EraSeen{Era: era})
				d.step(ev)
			})
		}
	}
	answered := false
	w.network = append(w.network, message{at: w.now.Add(callTimeout), do: func(time.Time) {
		if !answered {
			answered = true
			deliver(lost)
		}
	}})
	if d.noStore {
		return
	}
	loseRequest, loseResponse, back := w.lose(), w.lose(), w.delay()
	w.network = append(w.network, message{at: w.now.Add(w.delay()), do: func(now time.Time) {
		if loseRequest {
			return
		}
		ev := run(now)
		era = w.store.era
		if loseResponse || d.noStore {
			return
		}
		w.network = append(w.network, message{at: now.Add(back), do: func(time.Time) {
			if !answered {
				answered = true
				deliver(ev)
			}
		}})
	}})
}

func (d *simDaemon) perform(a duty.Action) {
	w, s, sent := d.w, d.w.store, d.w.now
	switch a := a.(type) {
	case duty.Acquire:
		s.lastLease++
		id := s.lastLease
		out := duty.AcquireEnded{Subject: a.Subject, Nonce: a.Record.Nonce, SentAt: sent, Lease: id}
		unknown := out
		unknown.Outcome = duty.Unknown
		d.call(func(now time.Time) duty.Event {
			if s.era != a.Era {
				out.Outcome = duty.Failed
				return out
			}
			if s.record.Revision != a.RecordRevision || s.last.Revision != a.LastRevision {
				out.Outcome = duty.Conflict
				return out
			}
			// The lease is asked for when the call is sent, and so ends early at the store.
			if end := sent.Add(lease); !now.Before(end) {
				out.Outcome = duty.Conflict
				return out
			}
			s.leases[id] = sent.Add(lease)
			s.revision++
			s.record, s.last = duty.Seen{Record: a.Record, Revision: s.revision}, duty.Seen{Record: a.Record, Revision: s.revision}
			s.recordLease = id
			s.changed(now)
			out.Revision = s.revision
			return out
		}, unknown)
	case duty.ReadBack:
		d.call(func(time.Time) duty.Event {
			return duty.ReadEnded{Subject: a.Subject, Nonce: a.Nonce, OK: true, Record: s.record}
		}, duty.ReadEnded{Subject: a.Subject, Nonce: a.Nonce})
	case duty.Renew:
		out := duty.RenewEnded{Subject: a.Subject, Lease: a.Lease, SentAt: sent}
		lost := out
		lost.Outcome = duty.Unknown
		d.call(func(now time.Time) duty.Event {
			if _, ok := s.leases[a.Lease]; !ok {
				out.Outcome = duty.Expired
				return out
			}
			s.leases[a.Lease] = now.Add(lease)
			return out
		}, lost)
	case duty.Revoke:
		d.call(func(now time.Time) duty.Event {
			s.endLease(a.Lease, now)
			return nil
		}, nil)
	case duty.Taken, duty.Lost, duty.NotTaken:
	default:
		w.t.Fatalf("unknown action %T", a)
	}
}

// advance lets the time pass.
func (w *world) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(simStep)
		w.store.expire(w.now)
		for i := 0; i < len(w.network); i++ {
			if m := w.network[i]; !m.at.After(w.now) {
				w.network = append(w.network[:i:i], w.network[i+1:]...)
				m.do(w.now)
				i = -1
			}
		}
		for _, d := range w.daemons {
			d.turn()
		}
		w.check()
	}
}

// turn is one step of a daemon: responses, the directory, and an act if it holds the
// subject.
func (d *simDaemon) turn() {
	if d.machine == nil || d.frozen {
		return
	}
	inbox := d.inbox
	d.inbox = nil
	for _, f := range inbox {
		f()
	}
	if !d.noDirector {
		history := d.w.store.history
		for i := len(history) - 1; i > d.seen; i-- {
			if c := history[i]; !c.at.After(d.w.now.Add(-d.lag)) {
				d.seen = i
				d.step(duty.Observed{Subject: "s", Era: c.era, Revision: c.revision, Record: c.record, Last: c.last})
				break
			}
		}
	}
	d.step(duty.Tick{})
	token, ok := d.machine.Holding("s", d.w.now)
	if !ok || d.w.now.Sub(d.lastCall) < 200*time.Millisecond {
		return
	}
	d.lastCall = d.w.now
	if !d.callsFail {
		d.w.acts = append(d.w.acts, act{d.w.now, d.self, token})
	}
	d.step(duty.CallEnded{Subject: "s", SentAt: d.w.now, OK: !d.callsFail})
}

// holder returns a daemon that holds the subject; nil if there is none.
func (w *world) holder() *simDaemon {
	for _, d := range w.daemons {
		if d.machine == nil || d.frozen {
			continue
		}
		if _, ok := d.machine.Holding("s", w.now); ok {
			return d
		}
	}
	return nil
}

// check holds the rules of the page against what happened so far.
func (w *world) check() {
	var holder *simDaemon
	for _, d := range w.daemons {
		if d.machine == nil || d.frozen {
			continue
		}
		if _, ok := d.machine.Holding("s", w.now); ok {
			if holder != nil {
				w.fail("%v and %v hold the subject", holder.self, d.self)
			}
			holder = d
		}
	}
	if len(w.acts) < 2 {
		return
	}
	last, before := w.acts[len(w.acts)-1], w.acts[len(w.acts)-2]
	if last.token < before.token {
		w.fail("token fell from %d to %d", before.token, last.token)
	}
	if last.token == before.token && last.who != before.who {
		w.fail("%v and %v use token %d", before.who, last.who, last.token)
	}
	others := false
	for i := len(w.acts) - 2; i >= 0 && last.at.Sub(w.acts[i].at) < lease; i-- {
		if w.acts[i].who != last.who {
			others = true
		} else if others {
			w.fail("%v acts again %v after its last act, with another holder between", last.who, last.at.Sub(w.acts[i].at))
		}
	}
}

func (w *world) fail(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("at %v: %s\n%s", w.now.Sub(time.Unix(0, 0)), fmt.Sprintf(format, args...), strings.Join(w.trace, "\n"))
}

// disturb makes one drawn change.
func (w *world) disturb() {
	t := w.t
	d := rapid.SampledFrom(w.daemons).Draw(t, "daemon")
	kind := rapid.SampledFrom([]string{
		"restart holder", "restart holder", "restart holder", "kill holder", "freeze holder", "kill", "start", "freeze", "thaw", "cut store", "cut directory", "heal", "lag", "calls fail", "calls work", "stop", "restore", "restore with leases", "quiet", "quiet", "heal all",
	}).Draw(t, "change")
	if what, ok := strings.CutSuffix(kind, " holder"); ok {
		// Changes of any daemon rarely meet the holder twice within a lease.
		if d = w.holder(); d == nil {
			return
		}
		kind = what
	}
	w.log("-- %s %v", kind, d.self)
	switch kind {
	case "restart":
		d.step(duty.Stop{})
		d.step(duty.Release{Subject: "s"})
		d.start()
	case "kill":
		d.machine = nil
	case "start":
		if d.machine == nil || d.stopped {
			d.start()
		}
	case "freeze":
		d.frozen = true
	case "thaw":
		d.frozen = false
	case "cut store":
		d.noStore = true
	case "cut directory":
		d.noDirector = true
	case "heal":
		d.noStore, d.noDirector, d.frozen = false, false, false
	case "lag":
		d.lag = time.Duration(rapid.IntRange(0, 1500).Draw(t, "lag")) * time.Millisecond
	case "calls fail":
		d.callsFail = true
	case "calls work":
		d.callsFail = false
	case "stop":
		if d.machine != nil && !d.frozen {
			d.stopped = true
			d.step(duty.Stop{})
			d.step(duty.Release{Subject: "s"})
		}
	case "restore", "restore with leases":
		back := time.Duration(rapid.IntRange(0, 8000).Draw(t, "older")) * time.Millisecond
		w.store.restore(w.now.Add(-back), kind != "restore", w.now)
	case "heal all":
		for _, d := range w.daemons {
			d.noStore, d.noDirector, d.frozen, d.callsFail = false, false, false, false
			if d.machine == nil || d.stopped {
				d.start()
			}
		}
	}
}

func newWorld(t *rapid.T, n int) *world {
	w := &world{t: t, now: time.Unix(0, 0), store: &simStore{leases: map[uint64]time.Time{}}}
	w.delay = func() time.Duration { return 5 * time.Millisecond }
	w.lose = func() bool { return false }
	w.store.revision = 100
	w.store.changed(w.now)
	for i := range n {
		// Two VMs with the same name are two holders.
		w.daemons = append(w.daemons, &simDaemon{w: w, self: duty.Holder{Name: fmt.Sprint("d", i/2), Address: fmt.Sprint("10.4.64.", i)}})
	}
	for _, d := range w.daemons {
		d.start()
	}
	return w
}

// Guards against two daemons that act for a subject at a time, against tokens that repeat or
// fall, and against holders that take turns within a lease, whatever fails and in any order:
// machines, links, responses, and a store that is restored from an older copy.
func TestOneHolderInDrawnSchedules(t *testing.T) {
	taken := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(2, 5).Draw(t, "daemons"))
		delays := rapid.SliceOfN(rapid.IntRange(1, 600), 7, 7).Draw(t, "delays")
		lossy := rapid.IntRange(0, 8).Draw(t, "lossy")
		calls := 0
		w.delay = func() time.Duration { calls++; return time.Duration(delays[calls%len(delays)]) * time.Millisecond / 2 }
		w.lose = func() bool { calls++; return lossy > 4 && calls%lossy == 0 }
		w.advance(4 * time.Second)
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			w.disturb()
			w.advance(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * simStep)
		}
		if len(w.acts) > 0 {
			taken++
		}
	})
	if taken == 0 {
		t.Error("no daemon ever held the subject")
	}
}

// Guards against a subject that stays without a holder once everything works again.
func TestSubjectFindsAHolderAfterFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(1, 4).Draw(t, "daemons"))
		for range rapid.IntRange(1, 15).Draw(t, "changes") {
			w.disturb()
			w.advance(time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * simStep)
		}
		for _, d := range w.daemons {
			d.noStore, d.noDirector, d.frozen, d.callsFail, d.lag = false, false, false, false, 0
			if d.machine == nil || d.stopped {
				d.start()
			}
		}
		// The longest wait is that of a daemon that gave the subject up because its calls
		// failed, and then a whole lease after a predecessor.
		w.advance(20 * time.Second)
		if n := len(w.acts); n == 0 || w.now.Sub(w.acts[n-1].at) > time.Second {
			w.fail("nobody holds the subject")
		}
	})
}
