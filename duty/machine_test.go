package duty_test

import (
	"slices"
	"testing"
	"time"

	"github.com/gooseberryroad/gooseberryroad/duty"
)

var (
	vmA = duty.Holder{Name: "a", Address: "10.4.64.1:9"}
	vmB = duty.Holder{Name: "b", Address: "10.4.64.2:9"}
)

// single is a machine for the subject "s" with the actions of its last step.
type single struct {
	*duty.Machine
	t       *testing.T
	now     time.Time
	actions []duty.Action
}

func newSingle(t *testing.T, self duty.Holder, process string) *single {
	s := &single{t: t, Machine: duty.New(duty.Options{Self: self, Process: process, Lease: lease}), now: time.Unix(1000, 0)}
	s.step(0, duty.Subjects{Names: []string{"s"}})
	return s
}

func (s *single) step(after time.Duration, ev duty.Event) {
	s.now = s.now.Add(after)
	s.actions = s.Step(s.now, ev)
}

// acquire returns the Acquire of the last step, if there is one.
func (s *single) acquire() (duty.Acquire, bool) {
	for _, a := range s.actions {
		if a, ok := a.(duty.Acquire); ok {
			return a, true
		}
	}
	return duty.Acquire{}, false
}

// take makes the machine take the subject from the given keys, at the revision after.
func (s *single) take(seen duty.Observed) duty.Acquire {
	s.t.Helper()
	seen.Subject = "s"
	s.step(0, seen)
	a, ok := s.acquire()
	for i := 0; i < 200 && !ok; i++ {
		s.step(simStep, duty.Tick{})
		a, ok = s.acquire()
	}
	if !ok {
		s.t.Fatal("the subject is not taken")
	}
	s.step(0, duty.AcquireEnded{Subject: "s", Nonce: a.Record.Nonce, SentAt: s.now, Lease: 7, Revision: seen.Revision + 1})
	if _, ok := s.Holding("s", s.now); !ok {
		s.t.Fatal("the subject is not held after it was taken")
	}
	return a
}

func has[A duty.Action](s *single) (A, bool) {
	for _, a := range s.actions {
		if a, ok := a.(A); ok {
			return a, true
		}
	}
	var none A
	return none, false
}

// Guards against two daemons that each believe that they hold the subject: the store applies
// one transaction, and the other daemon must not act.
func TestLoserOfTheTransactionDoesNotAct(t *testing.T) {
	a, b := newSingle(t, vmA, "pa"), newSingle(t, vmB, "pb")
	won := a.take(duty.Observed{Revision: 10})
	b.step(0, duty.Observed{Subject: "s", Revision: 10})
	b.step(5*time.Second, duty.Tick{})
	tried, ok := b.acquire()
	if !ok || tried.RecordRevision != won.RecordRevision || tried.Record.Token != won.Record.Token {
		t.Fatalf("the second daemon tries %+v", tried)
	}
	b.step(0, duty.AcquireEnded{Subject: "s", Nonce: tried.Record.Nonce, SentAt: b.now, Lease: 8, Outcome: duty.Conflict})
	if _, ok := b.Holding("s", b.now); ok {
		t.Error("the loser acts")
	}
	seen := duty.Seen{Record: won.Record, Revision: 11}
	b.step(0, duty.Observed{Subject: "s", Revision: 11, Record: seen, Last: seen})
	for range 100 {
		b.step(simStep, duty.Tick{})
		if _, ok := b.acquire(); ok {
			t.Fatal("the loser tries again while the record exists")
		}
	}
}

// Guards against a wait of a lease after a restart of the holder's process, and against a
// token that two processes use.
func TestRestartedProcessTakesItsOwnRecord(t *testing.T) {
	old := newSingle(t, vmA, "p1").take(duty.Observed{Revision: 10})
	s := newSingle(t, vmA, "p2")
	seen := duty.Seen{Record: old.Record, Revision: 11}
	s.step(0, duty.Observed{Subject: "s", Revision: 11, Record: seen, Last: seen})
	a, ok := s.acquire()
	if !ok || a.RecordRevision != 11 || a.Record.Token <= old.Record.Token || len(a.Record.Recent) != 0 {
		t.Errorf("the restarted process does %+v", s.actions)
	}
	// Another VM with the same name is another holder.
	other := newSingle(t, duty.Holder{Name: "a", Address: "10.4.64.3:9"}, "p3")
	other.step(0, duty.Observed{Subject: "s", Revision: 11, Record: seen, Last: seen})
	other.step(10*time.Second, duty.Tick{})
	if _, ok := other.acquire(); ok {
		t.Error("a VM with the same name takes the record of the holder")
	}
}

// Guards against the sequence A, B, A of holders within a lease.
func TestEarlierHolderWaitsForALease(t *testing.T) {
	s := newSingle(t, vmA, "p")
	record := duty.Record{Holder: vmB, Token: 5, Nonce: "x", Recent: []duty.Holder{vmA}}
	seen := duty.Seen{Record: record, Revision: 11}
	s.step(0, duty.Observed{Subject: "s", Revision: 11, Record: seen, Last: seen})
	s.step(10*time.Second, duty.Tick{})
	s.step(0, duty.Observed{Subject: "s", Revision: 12, Last: seen})
	for waited := time.Duration(0); waited < lease; waited += simStep {
		if _, ok := s.acquire(); ok {
			t.Fatalf("takes the subject %v after the record of the holder between ended", waited)
		}
		s.step(simStep, duty.Tick{})
	}
	if a, ok := s.acquire(); !ok || a.Record.Token != 6 || !slices.Equal(a.Record.Recent, []duty.Holder{vmB, vmA}) {
		t.Errorf("after a lease: %+v", s.actions)
	}
}

// Guards against candidates that all try at once, and against a daemon with a narrow link that
// goes first.
func TestCandidatesFollowEachOther(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	var list duty.Candidates
	for _, n := range names {
		list.List = append(list.List, duty.Candidate{Name: n, NarrowLink: n == "c"})
	}
	var waits []time.Duration
	for _, n := range names {
		s := &single{t: t, Machine: duty.New(duty.Options{Self: duty.Holder{Name: n, Address: n}, Process: n, Lease: lease, NarrowLink: n == "c"}), now: time.Unix(0, 0)}
		s.step(0, duty.Subjects{Names: []string{"s"}})
		s.step(0, list)
		seen := duty.Seen{Record: duty.Record{Holder: duty.Holder{Name: "x"}, Token: 1, Nonce: "x"}, Revision: 3}
		s.step(0, duty.Observed{Subject: "s", Revision: 3, Record: seen, Last: seen})
		s.step(10*time.Second, duty.Observed{Subject: "s", Revision: 4, Last: seen})
		began := s.now
		for _, ok := s.acquire(); !ok; _, ok = s.acquire() {
			s.step(simStep, duty.Tick{})
		}
		waits = append(waits, s.now.Sub(began))
	}
	if waits[2] != 900*time.Millisecond {
		t.Errorf("the daemon with the narrow link waits %v", waits[2])
	}
	slices.Sort(waits)
	if !slices.Equal(waits, []time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond}) {
		t.Errorf("waits are %v", waits)
	}
}

// Guards against a holder that acts after its lease may have ended: without renewals, after a
// freeze, and when a renewal was sent long before its response.
func TestHolderStopsBeforeItsLeaseEnds(t *testing.T) {
	s := newSingle(t, vmA, "p")
	s.take(duty.Observed{Revision: 10})
	taken := s.now
	s.step(time.Second, duty.Tick{})
	if r, ok := has[duty.Renew](s); !ok || r.Lease != 7 {
		t.Fatalf("after a third of the lease: %+v", s.actions)
	}
	sent := s.now
	s.step(600*time.Millisecond, duty.RenewEnded{Subject: "s", Lease: 7, SentAt: sent})
	last := sent.Add(lease - lease/10)
	if _, ok := s.Holding("s", last.Add(-time.Millisecond)); !ok {
		t.Error("the renewal does not count")
	}
	if _, ok := s.Holding("s", last); ok || !last.After(taken) {
		t.Error("the lease counts from the response of the renewal")
	}
	s.step(5*time.Second, duty.Tick{})
	if l, ok := has[duty.Lost](s); !ok || l.Reason != duty.ReasonDeadline {
		t.Errorf("after a freeze: %+v", s.actions)
	}
}

// Guards against a holder that keeps the subject although none of its calls arrive, and
// against one that takes it again at once.
func TestHolderWithoutControlServiceReleases(t *testing.T) {
	s := newSingle(t, vmA, "p")
	s.take(duty.Observed{Revision: 10})
	s.step(0, duty.CallEnded{Subject: "s", SentAt: s.now, OK: false})
	s.step(500*time.Millisecond, duty.CallEnded{Subject: "s", SentAt: s.now, OK: true})
	first := s.now.Add(500 * time.Millisecond)
	for s.now.Sub(first) < lease {
		if _, ok := s.Holding("s", s.now); !ok {
			t.Fatalf("released after %v", s.now.Sub(first))
		}
		s.step(500*time.Millisecond, duty.RenewEnded{Subject: "s", Lease: 7, SentAt: s.now})
		s.step(0, duty.CallEnded{Subject: "s", SentAt: s.now, OK: false})
	}
	l, ok := has[duty.Lost](s)
	if _, revoked := has[duty.Revoke](s); !ok || l.Reason != duty.ReasonCalls || !revoked {
		t.Fatalf("after calls that failed for a lease: %+v", s.actions)
	}
	s.step(0, duty.Observed{Subject: "s", Revision: 12, Last: duty.Seen{Record: duty.Record{Holder: vmA, Token: 1}, Revision: 11}})
	s.step(9*time.Second, duty.Tick{})
	if _, ok := s.acquire(); ok {
		t.Error("takes the subject again before other daemons could")
	}
}

// Guards against a holder that loses its lease with the restore of the store and is kept from
// going on, against other daemons that take over before it has stopped, and against tokens
// that repeat after it.
func TestEraRises(t *testing.T) {
	a, b := newSingle(t, vmA, "pa"), newSingle(t, vmB, "pb")
	a.take(duty.Observed{Revision: 10})
	b.step(0, duty.Observed{Subject: "s", Revision: 10})
	a.step(time.Second, duty.EraSeen{Era: 1})
	if _, ok := a.acquire(); ok {
		t.Error("uses a revision of the old era")
	}
	if _, ok := a.Holding("s", a.now); !ok {
		t.Error("the holder stops although its lease has not ended by its own clock")
	}
	a.step(200*time.Millisecond, duty.Observed{Subject: "s", Era: 1, Revision: 8})
	again, ok := a.acquire()
	if !ok || again.Era != 1 || again.Record.Token != 1<<20+1 {
		t.Fatalf("the holder does %+v in the new era", a.actions)
	}
	a.step(0, duty.AcquireEnded{Subject: "s", Nonce: again.Record.Nonce, SentAt: a.now, Lease: 9, Revision: 9})
	if taken, ok := has[duty.Taken](a); !ok || !taken.Renewed {
		t.Errorf("the hold has a break: %+v", a.actions)
	}
	if tenure, ok := a.Tenure("s", a.now); !ok || tenure.Era != 1 || tenure.EraRoseAt.IsZero() || !tenure.Since.Before(tenure.EraRoseAt) {
		t.Errorf("tenure is %+v", tenure)
	}
	b.step(time.Second, duty.Observed{Subject: "s", Era: 1, Revision: 8})
	rose := b.now
	for {
		b.step(simStep, duty.Tick{})
		if _, ok := b.acquire(); ok {
			break
		}
	}
	if waited := b.now.Sub(rose); waited < lease {
		t.Errorf("another daemon takes the subject %v after the era rose", waited)
	}
	b.step(0, duty.Observed{Subject: "s", Era: 0, Revision: 20})
	if tried, _ := b.acquire(); tried.Era == 0 && tried.Subject != "" {
		t.Error("content of the old era is used")
	}
}
