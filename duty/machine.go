package duty

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/gooseberryroad/gooseberryroad/membership"
)

const (
	// tokensPerEra is the distance between the first tokens of two eras. More takes than
	// that within an era would need weeks.
	tokensPerEra = 1 << 20
	// marginShare is the part of the lease that a holder leaves unused: the time for calls
	// that were sent at the last moment to arrive, and for clocks that do not run alike.
	marginShare = 0.1
	// renewShare is the part of the lease after which it is renewed, so that two renewals
	// may fail in a row.
	renewShare = 1.0 / 3
	// rankShare is the part of the lease by which the candidates follow each other.
	rankShare = 0.1
	// callFailureShare is the part of the lease for which calls to the control service may
	// fail until the holder gives the subject to another daemon.
	callFailureShare = 1.0
	// settleTime is how long a daemon that has just read the directory waits for the
	// registrations of the daemons that start together with it, which are spread over 2 s.
	// Until then most of them would rank first.
	settleTime = 2200 * time.Millisecond
	// calmTime is how long a daemon whose calls failed, or that resigned, leaves the subject to
	// others.
	calmTime = 10 * time.Second
	// renewRetryDelay is the pause after a renewal without an answer, readRetryDelay that
	// after a read without one.
	renewRetryDelay = 250 * time.Millisecond
	readRetryDelay  = 250 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the pause between two attempts to take a
	// subject, which doubles.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 4 * time.Second
)

// Options configure a Machine.
type Options struct {
	Self       Holder
	NarrowLink bool
	// Process is a random text that differs between processes.
	Process string
	// Lease is the time of the leases.
	Lease time.Duration
}

// Machine decides for one daemon which subjects it holds. All times must come from a clock
// that also runs while the VM is suspended.
type Machine struct {
	o          Options
	candidates []Candidate
	subjects   map[string]*subject
	stopping   bool
	attempts   int
	// era is the newest era seen, and eraBlockEnds when subjects may be taken again after
	// it rose.
	era          uint64
	eraKnown     bool
	eraRoseAt    time.Time
	eraBlockEnds time.Time
}

// subject is the state of one subject.
type subject struct {
	name string
	// wanted says that the subject exists.
	wanted bool
	seen   *Observed
	// endedAt is when the last holder's record was seen to have ended; notBefore is the
	// time before which this daemon does not try to take the subject.
	endedAt, notBefore time.Time
	failures           int
	// maxToken is the highest token seen in any era.
	maxToken uint64
	hold     *hold
	attempt  *attempt
	// lastHoldUntil is when the lease of a hold that was not released ends by the daemon's
	// own clock.
	lastHoldUntil time.Time
	// held says that this process held the subject. A store that was restored may not know it.
	held bool
}

type hold struct {
	token, lease, era uint64
	// takenAt is the store's revision at the transaction, revision that of the record. A
	// store may count each key of a transaction.
	takenAt, revision     uint64
	nonce                 string
	since, until, renewAt time.Time
	renewing              bool
	// callsFailSince is when the first of the calls in a row that failed was sent.
	callsFailSince time.Time
}

type attempt struct {
	record Record
	era    uint64
	sentAt time.Time
	lease  uint64
	// reading says that ReadBack runs or is due at readAt.
	reading, readRuns bool
	readAt            time.Time
}

// New returns a machine that knows no subject.
func New(o Options) *Machine { return &Machine{o: o, subjects: map[string]*subject{}} }

// Holding returns the token with which this daemon may act for a subject now.
func (m *Machine) Holding(name string, now time.Time) (token uint64, ok bool) {
	if s := m.subjects[name]; s != nil && s.hold != nil && now.Before(s.hold.until) {
		return s.hold.token, true
	}
	return 0, false
}

// Tenure describes a hold.
type Tenure struct {
	Token uint64
	// Since is when the daemon took the subject, without a break since. Until is when it
	// has to stop acting.
	Since, Until time.Time
	// Era and Revision are those of the record.
	Era, Revision uint64
	// EraRoseAt is when the era was seen to rise; zero if it is the first era.
	EraRoseAt time.Time
}

// Tenure returns the hold of a subject; ok as for Holding.
func (m *Machine) Tenure(name string, now time.Time) (t Tenure, ok bool) {
	if _, ok := m.Holding(name, now); !ok {
		return Tenure{}, false
	}
	h := m.subjects[name].hold
	return Tenure{Token: h.token, Since: h.since, Until: h.until, Era: h.era, Revision: h.revision, EraRoseAt: m.eraRoseAt}, true
}

// Step handles an event and returns what follows.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	var out []Action
	switch ev := ev.(type) {
	case Subjects:
		out = m.setSubjects(ev.Names, now)
	case Candidates:
		m.candidates = ev.List
	case Observed:
		out = m.observed(ev, now)
	case EraSeen:
		m.raiseEra(ev.Era, now)
	case AcquireEnded:
		out = m.acquireEnded(ev, now)
	case ReadEnded:
		out = m.readEnded(ev, now)
	case RenewEnded:
		out = m.renewEnded(ev, now)
	case CallEnded:
		out = m.callEnded(ev, now)
	case Stop:
		m.stopping = true
	case Release:
		if s := m.subjects[ev.Subject]; s != nil {
			out = m.release(s, ReasonStop, now)
		}
	case Resign:
		if s := m.subjects[ev.Subject]; s != nil {
			out = m.release(s, ReasonResigned, now)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.subjects)) {
		out = append(out, m.advance(m.subjects[name], now)...)
	}
	return out
}

func (m *Machine) setSubjects(names []string, now time.Time) []Action {
	var out []Action
	for _, name := range names {
		if m.subjects[name] == nil {
			m.subjects[name] = &subject{name: name}
		}
		m.subjects[name].wanted = true
	}
	for _, name := range slices.Sorted(maps.Keys(m.subjects)) {
		if s := m.subjects[name]; !slices.Contains(names, name) {
			s.wanted = false
			out = append(out, m.release(s, ReasonUnwanted, now)...)
		}
	}
	return out
}

// observed records the keys of a subject. Older observations, and those of older eras, are
// ignored.
func (m *Machine) observed(ev Observed, now time.Time) []Action {
	if m.raiseEra(ev.Era, now); ev.Era < m.era {
		return nil
	}
	s := m.subjects[ev.Subject]
	if s == nil {
		return nil
	}
	old := s.seen
	if old != nil && old.Era == ev.Era && ev.Revision < old.Revision {
		return nil
	}
	s.seen = &ev
	s.maxToken = max(s.maxToken, ev.Record.Record.Token, ev.Last.Record.Token)
	gone := ev.Record.Revision == 0
	switch {
	case old == nil && gone:
		s.endedAt = now
		s.notBefore = later(s.notBefore, now.Add(settleTime))
	case gone && (old.Era != ev.Era || old.Record.Revision != 0 || old.Last.Revision != ev.Last.Revision):
		s.endedAt = now
	}
	h := s.hold
	switch {
	case h == nil || h.era != ev.Era:
	case ev.Record.Record.Nonce == h.nonce:
		h.revision = ev.Record.Revision
	case ev.Revision >= h.takenAt:
		return m.lose(s, ReasonReplaced, now)
	}
	return nil
}

// raiseEra records the newest era. After it rose, the records of the holders may be lost.
func (m *Machine) raiseEra(era uint64, now time.Time) {
	if era <= m.era && m.eraKnown {
		return
	}
	if era > 0 {
		// A daemon that starts in a later era does not know when it rose.
		m.eraRoseAt, m.eraBlockEnds = now, now.Add(m.o.Lease)
	}
	m.era, m.eraKnown = era, true
}

// lose ends a hold whose lease may still exist.
func (m *Machine) lose(s *subject, reason Reason, now time.Time) []Action {
	h := s.hold
	s.hold, s.lastHoldUntil = nil, h.until
	return []Action{Lost{Subject: s.name, Token: h.token, Reason: reason, Held: now.Sub(h.since)}}
}

// release gives a subject to other daemons at once.
func (m *Machine) release(s *subject, reason Reason, now time.Time) []Action {
	h := s.hold
	if h == nil {
		return nil
	}
	out := m.lose(s, reason, now)
	s.lastHoldUntil = time.Time{}
	if reason == ReasonCalls || reason == ReasonResigned {
		s.notBefore = later(s.notBefore, now.Add(calmTime))
	} else {
		s.notBefore = later(s.notBefore, now.Add(minRetryDelay))
	}
	return append(out, Revoke{Subject: s.name, Lease: h.lease})
}

// advance does what is due.
func (m *Machine) advance(s *subject, now time.Time) []Action {
	var out []Action
	if s.hold != nil && !now.Before(s.hold.until) {
		out = append(out, m.lose(s, ReasonDeadline, now)...)
	}
	if h := s.hold; h != nil && !h.renewing && h.era == m.era && !now.Before(h.renewAt) {
		h.renewing = true
		h.renewAt = now.Add(m.part(renewShare))
		out = append(out, Renew{Subject: s.name, Lease: h.lease})
	}
	if a := s.attempt; a != nil {
		if a.reading && !a.readRuns && !now.Before(a.readAt) {
			a.readRuns = true
			out = append(out, ReadBack{Subject: s.name, Nonce: a.record.Nonce})
		}
		return out
	}
	if m.mayAcquire(s, now) {
		out = append(out, m.acquire(s, now))
	}
	return out
}

// mayAcquire reports whether this daemon tries to take the subject now.
func (m *Machine) mayAcquire(s *subject, now time.Time) bool {
	if m.stopping || !s.wanted || s.seen == nil || s.seen.Era != m.era || now.Before(s.notBefore) {
		return false
	}
	if s.hold != nil {
		// The record of an earlier era is lost, or will be.
		return s.hold.era < m.era
	}
	if now.Before(m.eraBlockEnds) && !now.Before(s.lastHoldUntil) {
		return false
	}
	record, last := s.seen.Record, s.seen.Last.Record
	if record.Revision != 0 {
		return record.Record.Holder == m.o.Self
	}
	heldBefore := last.heldBeforeLast(m.o.Self) || s.held && last.Holder != m.o.Self
	if heldBefore && now.Before(s.endedAt.Add(m.o.Lease)) {
		return false
	}
	return !now.Before(s.endedAt.Add(time.Duration(m.rank(s.name)) * m.part(rankShare)))
}

// rank is the number of registered daemons that go before this one.
func (m *Machine) rank(name string) int {
	own, n := membership.RendezvousWeight(name, m.o.Self.Name), 0
	for _, c := range m.candidates {
		switch {
		case c.Name == m.o.Self.Name:
		case c.NarrowLink != m.o.NarrowLink:
			if m.o.NarrowLink {
				n++
			}
		case membership.RendezvousWeight(name, c.Name) > own:
			n++
		}
	}
	return n
}

func (m *Machine) acquire(s *subject, now time.Time) Action {
	m.attempts++
	last := s.seen.Last.Record
	if s.seen.Record.Record.Token > last.Token {
		last = s.seen.Record.Record
	}
	s.attempt = &attempt{era: m.era, sentAt: now, record: Record{
		Holder: m.o.Self, Token: max(s.maxToken, m.era*tokensPerEra) + 1,
		Nonce: fmt.Sprintf("%s-%d", m.o.Process, m.attempts), Recent: last.holdersForSuccessor(m.o.Self),
	}}
	return Acquire{
		Subject: s.name, Record: s.attempt.record, Era: m.era,
		RecordRevision: s.seen.Record.Revision, LastRevision: s.seen.Last.Revision,
	}
}

func (m *Machine) acquireEnded(ev AcquireEnded, now time.Time) []Action {
	s := m.subjects[ev.Subject]
	if s == nil || s.attempt == nil || s.attempt.record.Nonce != ev.Nonce {
		return nil
	}
	a := s.attempt
	a.sentAt, a.lease = ev.SentAt, ev.Lease
	switch ev.Outcome {
	case Done:
		return m.take(s, ev.Revision, now)
	case Unknown:
		// A token that may have been written is not used again.
		s.maxToken = max(s.maxToken, a.record.Token)
		a.reading, a.readAt = true, now
		return nil
	}
	return m.giveUp(s, ev.Outcome, now)
}

// giveUp ends an attempt that did not succeed.
func (m *Machine) giveUp(s *subject, o Outcome, now time.Time) []Action {
	delay := minRetryDelay
	if o == Failed {
		delay = min(minRetryDelay<<min(s.failures, 8), maxRetryDelay)
		s.failures++
	}
	s.attempt = nil
	s.notBefore = later(s.notBefore, now.Add(delay))
	return []Action{NotTaken{Subject: s.name, Outcome: o}}
}

func (m *Machine) readEnded(ev ReadEnded, now time.Time) []Action {
	s := m.subjects[ev.Subject]
	if s == nil || s.attempt == nil || s.attempt.record.Nonce != ev.Nonce {
		return nil
	}
	a := s.attempt
	a.readRuns = false
	switch {
	case ev.OK && ev.Record.Record.Nonce == a.record.Nonce:
		return m.take(s, ev.Record.Revision, now)
	case ev.OK:
		// The transaction may still arrive. Without its lease it cannot take effect.
		return append(m.giveUp(s, Unknown, now), Revoke{Subject: s.name, Lease: a.lease})
	case !now.Before(a.sentAt.Add(m.o.Lease)):
		return m.giveUp(s, Unknown, now)
	}
	a.readAt = now.Add(readRetryDelay)
	return nil
}

// take begins a hold whose record the store has.
func (m *Machine) take(s *subject, revision uint64, now time.Time) []Action {
	a := s.attempt
	s.attempt, s.failures = nil, 0
	s.maxToken = max(s.maxToken, a.record.Token)
	h := &hold{
		token: a.record.Token, lease: a.lease, era: a.era, takenAt: revision, revision: revision, nonce: a.record.Nonce,
		since: now, until: m.deadline(a.sentAt), renewAt: a.sentAt.Add(m.part(renewShare)),
	}
	old := s.hold
	unbroken := old != nil && now.Before(old.until)
	if unbroken {
		h.since, h.callsFailSince = old.since, old.callsFailSince
	}
	var previous Holder
	if len(a.record.Recent) > 0 {
		previous = a.record.Recent[0]
	}
	s.hold, s.held = h, true
	out := []Action{Taken{Subject: s.name, Token: h.token, Previous: previous, Waited: now.Sub(s.endedAt), Renewed: unbroken}}
	if m.stopping || !s.wanted {
		return append(out, m.release(s, ReasonStop, now)...)
	}
	return out
}

func (m *Machine) renewEnded(ev RenewEnded, now time.Time) []Action {
	s := m.subjects[ev.Subject]
	if s == nil || s.hold == nil || s.hold.lease != ev.Lease {
		return nil
	}
	h := s.hold
	h.renewing = false
	switch ev.Outcome {
	case Done:
		if now.Before(h.until) {
			h.until = later(h.until, m.deadline(ev.SentAt))
			h.renewAt = ev.SentAt.Add(m.part(renewShare))
		}
	case Expired:
		s.notBefore = later(s.notBefore, now.Add(renewRetryDelay))
		return m.lose(s, ReasonExpired, now)
	default:
		h.renewAt = now.Add(renewRetryDelay)
	}
	return nil
}

// callEnded releases a subject whose calls do not reach the control service. It is decided
// at the end of a call, so that none is under way.
func (m *Machine) callEnded(ev CallEnded, now time.Time) []Action {
	s := m.subjects[ev.Subject]
	if s == nil || s.hold == nil {
		return nil
	}
	h := s.hold
	switch {
	case ev.OK:
		h.callsFailSince = time.Time{}
	case h.callsFailSince.IsZero():
		h.callsFailSince = ev.SentAt
	}
	if !h.callsFailSince.IsZero() && now.Sub(h.callsFailSince) >= m.part(callFailureShare) {
		return m.release(s, ReasonCalls, now)
	}
	return nil
}

// deadline is when a holder stops acting whose lease was renewed by a call sent at sentAt.
func (m *Machine) deadline(sentAt time.Time) time.Time {
	return sentAt.Add(m.o.Lease - m.part(marginShare))
}

func (m *Machine) part(share float64) time.Duration {
	return time.Duration(share * float64(m.o.Lease))
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
