package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"sort"
	"time"
)

// Hash identifies the content of a request.
type Hash [16]byte

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText encodes the hash in hexadecimal.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText reads what MarshalText wrote.
func (h *Hash) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(h)) {
		return errors.New("quarantine: a hash has 32 hexadecimal digits")
	}
	_, err := hex.Decode(h[:], text)
	return err
}

// HashOf returns the hash of a request: the service or account that it belongs to,
// its target (a route, a model or a request line), and its body without any key of
// the caller.
func HashOf(scope, target string, body []byte) Hash {
	d := sha256.New()
	for _, s := range []string{scope, target} {
		// hash.Hash never returns an error.
		_, _ = d.Write(binary.BigEndian.AppendUint32(nil, uint32(len(s))))
		_, _ = d.Write([]byte(s))
	}
	_, _ = d.Write(body)
	var h Hash
	copy(h[:], d.Sum(nil))
	return h
}

// Verdict tells how a request may run.
type Verdict int

const (
	// Clear requests run as usual.
	Clear Verdict = iota
	// Suspect requests run on trial only: ask with TrialRequested.
	Suspect
	// Held requests wait for the verdict on their last trial.
	Held
	// Quarantined requests are refused.
	Quarantined
)

func (v Verdict) String() string {
	return [...]string{"clear", "suspect", "held", "quarantined"}[v]
}

// Options bound the state. Zero values take the defaults.
type Options struct {
	// Window is how close crashes are that may have one cause; 10 s.
	Window time.Duration
	// Settle is how long a verdict waits for other reports; 2 s.
	SettleTime time.Duration
	// SuspectFor and QuarantineFor are the expiries; 10 min and 1 h.
	SuspectTTL, QuarantineTTL time.Duration
	// Self is the name of this daemon.
	Self string
	// Reserve is how long a trial is announced before it starts, so that the
	// daemons agree on one suspect for an upstream and one upstream for a
	// suspect. It is longer than a notice takes to reach all daemons, which is
	// a few hops of some milliseconds; 100 ms.
	ReserveTime time.Duration
	// TrialFor is how long a trial of another daemon blocks its upstream when
	// its end is not reported; 2 min.
	TrialTTL time.Duration
	// MaxEntries bounds suspects and quarantined requests; 4096.
	MaxEntries int
	// MaxCrashes bounds the crashes that are remembered; 256.
	MaxCrashes int
	// MaxInFlight bounds the hashes of one crash; 256.
	MaxInFlight int
}

func (o Options) withDefaults() Options {
	set := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	setInt := func(n *int, v int) {
		if *n <= 0 {
			*n = v
		}
	}
	set(&o.Window, 10*time.Second)
	set(&o.SettleTime, 2*time.Second)
	set(&o.SuspectTTL, 10*time.Minute)
	set(&o.QuarantineTTL, time.Hour)
	set(&o.ReserveTime, 100*time.Millisecond)
	set(&o.TrialTTL, 2*time.Minute)
	setInt(&o.MaxEntries, 4096)
	setInt(&o.MaxCrashes, 256)
	setInt(&o.MaxInFlight, 256)
	return o
}

// MaxBytes is the most memory that a State with the default options holds:
// 256 crashes with 256 hashes in flight, 16 bytes each and doubled for growth
// (2 MiB), 4096 entries with their crash numbers (2 MiB), and trials.
const MaxBytes = 5 << 20

// Event is an input of State.Step.
type Event interface{ event() }

// UpstreamCrashed reports a crash that this daemon saw.
type UpstreamCrashed struct {
	Upstream, DataCentre, Version string
	// Incarnation tells the crashes of one upstream apart.
	Incarnation string
	// InFlight are this daemon's requests that were running there.
	InFlight []Hash
}

// Ran reports that a request completed.
type Completed struct{ Hash Hash }

// TrialRequested asks for an upstream for a suspect. The answer is StartTrial
// or DeferTrial. The first request reserves an upstream and is deferred.
type TrialRequested struct {
	Hash Hash
	// Candidates are the names of upstreams that could run the request.
	Candidates []string
}

// TrialEnded reports that a trial ended without completion or crash, such as
// when the caller has gone.
type TrialEnded struct{ Hash Hash }

// Refused reports that a quarantined request was sent again.
type Refused struct{ Hash Hash }

// PeerNotice is a notice of another daemon.
type PeerNotice struct {
	From   string
	Notice Notice
}

// PeerUp asks for the notices that a new peer needs.
type PeerUp struct{}

// Tick reports that the time of NextTimer has come.
type Tick struct{}

func (UpstreamCrashed) event() {}
func (Completed) event()       {}
func (TrialRequested) event()  {}
func (TrialEnded) event()      {}
func (Refused) event()         {}
func (PeerNotice) event()      {}
func (PeerUp) event()          {}
func (Tick) event()            {}

// Notice is a message between daemons.
type Notice interface{ notice() }

// CrashNotice reports a crash with the sender's requests there.
type CrashNotice struct {
	Upstream, DataCentre, Version, Incarnation string
	InFlight                                   []Hash
	// Trials are the suspects that the sender knows to be on trial there.
	Trials []Hash
}

// TrialPhase is the progress of a trial.
type TrialPhase int

const (
	// TrialReserved announces a trial.
	TrialReserved TrialPhase = iota
	// TrialStarted reports that the suspect runs.
	TrialStarted
	// TrialOver reports that it does not run any more, or will not.
	TrialOver
)

// TrialNotice reports the progress of a trial.
type TrialNotice struct {
	Hash     Hash
	Upstream string
	Phase    TrialPhase
}

// ClearedNotice reports that a suspect of the given crashes completed.
type ClearedNotice struct {
	Hash    Hash
	Crashes []uint64
}

// QuarantineNotice reports a verdict.
type QuarantineNotice struct {
	Hash Hash
	// Crash is the crash that the verdict rests on.
	Crash uint64
	// Lifted takes the verdict back.
	Lifted bool
}

func (CrashNotice) notice()      {}
func (TrialNotice) notice()      {}
func (ClearedNotice) notice()    {}
func (QuarantineNotice) notice() {}

// Action is an output of State.Step.
type Action interface{ action() }

// Notify sends a notice to all peers, or to the new one after PeerUp.
type Notify struct{ Notice Notice }

// StartTrial lets a suspect run on the upstream, and nowhere else.
type StartTrial struct {
	Hash     Hash
	Upstream string
}

// DeferTrial keeps a suspect waiting: its upstream is only reserved, all
// upstreams have a suspect on trial, or the same content is on trial already.
type DeferTrial struct {
	Hash       Hash
	RetryAfter time.Duration
}

// Decided reports a new verdict.
type VerdictChanged struct {
	Hash    Hash
	Verdict Verdict
	Reason  string
}

func (Notify) action()         {}
func (StartTrial) action()     {}
func (DeferTrial) action()     {}
func (VerdictChanged) action() {}

// maxEntryCrashes bounds the crashes remembered with one entry.
const maxEntryCrashes = 8

type entry struct {
	verdict Verdict
	expires time.Time
	crashes []uint64
	// basis is the crash that a quarantine rests on.
	basis uint64
	// lifted is set once a verdict was taken back.
	lifted bool
}

type crash struct {
	id       uint64
	upstream string
	dc       string
	version  string
	at       time.Time
	inFlight map[Hash]bool
	trials   map[Hash]bool
	settled  bool
}

type trial struct {
	upstream string
	// local trials are this daemon's.
	local   bool
	started bool
	since   time.Time
	// until bounds what is not this daemon's to end.
	until time.Time
}

// reservedFor is how long a reservation stays that nobody starts.
const reservedFor = 5 * time.Second

// State is the quarantine of one daemon.
type State struct {
	opts    Options
	entries map[Hash]*entry
	crashes []*crash // in order of time
	trials  map[Hash]trial
	// pruneAt is when the maps are next searched for what expired.
	pruneAt time.Time
}

// New returns an empty state.
func New(o Options) *State {
	return &State{opts: o.withDefaults(), entries: map[Hash]*entry{}, trials: map[Hash]trial{}}
}

// Verdict returns how a request may run.
func (s *State) Verdict(now time.Time, h Hash) Verdict {
	e := s.entries[h]
	if e == nil || !now.Before(e.expires) {
		return Clear
	}
	return e.verdict
}

// Verdicts returns all verdicts that are not Clear, for a snapshot.
func (s *State) Verdicts(now time.Time) map[Hash]Verdict {
	out := make(map[Hash]Verdict, len(s.entries))
	for h, e := range s.entries {
		if now.Before(e.expires) {
			out[h] = e.verdict
		}
	}
	return out
}

// NextTimer returns when the state needs a Tick: at the end of a settling time
// or when an entry expires, but no more than once a second for the latter.
func (s *State) NextTimer() (time.Time, bool) {
	for _, c := range s.crashes {
		if !c.settled {
			return c.at.Add(s.opts.SettleTime), true
		}
	}
	var first time.Time
	for _, e := range s.entries {
		if first.IsZero() || e.expires.Before(first) {
			first = e.expires
		}
	}
	if !first.IsZero() && first.Before(s.pruneAt) {
		first = s.pruneAt
	}
	return first, !first.IsZero()
}

// Step handles one event.
func (s *State) Step(now time.Time, ev Event) []Action {
	acts := s.settle(now)
	switch ev := ev.(type) {
	case UpstreamCrashed:
		n := CrashNotice{Upstream: ev.Upstream, DataCentre: ev.DataCentre, Version: ev.Version,
			Incarnation: ev.Incarnation, InFlight: bounded(ev.InFlight, s.opts.MaxInFlight)}
		n.Trials = s.trialsOn(now, ev.Upstream)
		if c := s.find(crashID(n)); c != nil {
			// Another daemon's report came first and ended the trials.
			n.Trials = sortedSet(c.trials)
		}
		acts = append(acts, Notify{Notice: n})
		return append(acts, s.crashed(now, n)...)
	case Completed:
		return append(acts, s.ran(now, ev.Hash)...)
	case TrialRequested:
		return append(acts, s.trial(now, ev)...)
	case TrialEnded:
		return append(acts, s.endTrial(ev.Hash)...)
	case Refused:
		if e := s.entries[ev.Hash]; e != nil && e.verdict == Quarantined {
			e.expires = now.Add(s.opts.QuarantineTTL)
		}
	case PeerNotice:
		return append(acts, s.notice(now, ev.From, ev.Notice)...)
	case PeerUp:
		for _, h := range s.sorted() {
			if e := s.entries[h]; e.verdict == Quarantined {
				acts = append(acts, Notify{Notice: QuarantineNotice{Hash: h, Crash: e.basis}})
			}
		}
	}
	return acts
}

func bounded(hs []Hash, n int) []Hash {
	if len(hs) > n {
		hs = hs[:n]
	}
	return append([]Hash(nil), hs...)
}

func crashID(n CrashNotice) uint64 {
	d := sha256.Sum256([]byte(n.Upstream + "\x00" + n.Incarnation))
	return binary.BigEndian.Uint64(d[:8])
}

func (s *State) notice(now time.Time, from string, n Notice) []Action {
	switch n := n.(type) {
	case CrashNotice:
		return s.crashed(now, n)
	case TrialNotice:
		return s.peerTrial(now, from, n)
	case ClearedNotice:
		e := s.entries[n.Hash]
		if e == nil || e.verdict == Quarantined || !subset(e.crashes, n.Crashes) {
			return nil
		}
		delete(s.entries, n.Hash)
		return []Action{VerdictChanged{Hash: n.Hash, Verdict: Clear, Reason: "completed at another daemon"}}
	case QuarantineNotice:
		e := s.entries[n.Hash]
		if n.Lifted {
			if e == nil || e.verdict != Quarantined || e.basis != n.Crash {
				return nil
			}
			e.verdict, e.lifted, e.expires = Suspect, true, now.Add(s.opts.SuspectTTL)
			return []Action{VerdictChanged{Hash: n.Hash, Verdict: Suspect, Reason: "another daemon took its verdict back"}}
		}
		if e != nil && e.verdict == Quarantined {
			return nil
		}
		if e = s.entry(now, n.Hash); e == nil || e.lifted && e.basis == n.Crash {
			return nil
		}
		if acts := s.contested(now, n); acts != nil {
			return acts
		}
		e.verdict, e.basis, e.expires = Quarantined, n.Crash, now.Add(s.opts.QuarantineTTL)
		return append([]Action{VerdictChanged{Hash: n.Hash, Verdict: Quarantined, Reason: "verdict of another daemon"}}, s.lift(now, n.Hash)...)
	}
	return nil
}

// contested takes back a verdict that rests on the same crash as another
// daemon's verdict on another request: two suspects were there, and the crash
// proves nothing about either.
func (s *State) contested(now time.Time, n QuarantineNotice) []Action {
	for _, h := range s.sorted() {
		o := s.entries[h]
		if h == n.Hash || o.verdict != Quarantined || o.basis != n.Crash || o.lifted {
			continue
		}
		e := s.entries[n.Hash]
		for _, e := range []*entry{o, e} {
			e.verdict, e.lifted, e.basis, e.expires = Suspect, true, n.Crash, now.Add(s.opts.SuspectTTL)
		}
		return []Action{
			VerdictChanged{Hash: h, Verdict: Suspect, Reason: "another suspect was on the upstream"},
			VerdictChanged{Hash: n.Hash, Verdict: Suspect, Reason: "another suspect was on the upstream"},
			Notify{Notice: QuarantineNotice{Hash: h, Crash: n.Crash, Lifted: true}},
			Notify{Notice: QuarantineNotice{Hash: n.Hash, Crash: n.Crash, Lifted: true}},
		}
	}
	return nil
}

func subset(part, of []uint64) bool {
	for _, p := range part {
		found := false
		for _, q := range of {
			found = found || p == q
		}
		if !found {
			return false
		}
	}
	return true
}

// crashed merges a report into what is known of the crash.
func (s *State) crashed(now time.Time, n CrashNotice) []Action {
	id := crashID(n)
	c := s.find(id)
	here := []Hash(nil)
	if c == nil {
		// Only now: a later trial there is of the upstream's next incarnation.
		here = s.trialsOn(now, n.Upstream)
		if len(s.crashes) >= s.opts.MaxCrashes {
			s.crashes = append(s.crashes[:0], s.crashes[1:]...)
		}
		c = &crash{id: id, upstream: n.Upstream, dc: n.DataCentre, version: n.Version, at: now,
			inFlight: map[Hash]bool{}, trials: map[Hash]bool{}}
		s.crashes = append(s.crashes, c)
	}
	for _, h := range append(append([]Hash(nil), n.Trials...), here...) {
		if len(c.trials) < s.opts.MaxInFlight {
			c.trials[h] = true
		}
	}
	for _, h := range append(append(append([]Hash(nil), n.Trials...), here...), n.InFlight...) {
		if len(c.inFlight) < s.opts.MaxInFlight || c.inFlight[h] {
			c.inFlight[h] = true
		}
	}
	for h := range c.trials {
		if t, ok := s.trials[h]; ok && t.upstream == c.upstream && contains(here, h) {
			delete(s.trials, h)
		}
	}
	var acts []Action
	groups := s.together(c)
	for _, h := range sortedSet(c.inFlight) {
		common := true
		for _, g := range groups {
			common = common && (len(g) < many || majority(g, h))
		}
		if common {
			acts = append(acts, s.suspect(now, h, c)...)
		}
	}
	for _, g := range groups {
		if len(g) >= many {
			acts = append(acts, s.unsuspect(g)...)
		}
	}
	return acts
}

// many is the number of crashes within the window from which on they are taken
// for one event. With two, one content may still have been on both.
const many = 3

func (s *State) find(id uint64) *crash {
	for _, c := range s.crashes {
		if c.id == id {
			return c
		}
	}
	return nil
}

func contains(hs []Hash, h Hash) bool {
	for _, o := range hs {
		if o == h {
			return true
		}
	}
	return false
}

// suspect makes a request a suspect of the crash, or holds it if it was on
// trial there.
func (s *State) suspect(now time.Time, h Hash, c *crash) []Action {
	e := s.entry(now, h)
	if e == nil || e.verdict == Quarantined {
		return nil
	}
	before := e.verdict
	known := false
	for _, id := range e.crashes {
		known = known || id == c.id
	}
	if !known {
		if len(e.crashes) == maxEntryCrashes {
			e.crashes = append(e.crashes[:0], e.crashes[1:]...)
		}
		e.crashes = append(e.crashes, c.id)
	}
	e.expires = now.Add(s.opts.SuspectTTL)
	if c.trials[h] && !c.settled {
		e.verdict = Held
	} else if e.verdict != Held {
		e.verdict = Suspect
	}
	if e.verdict == before {
		return nil
	}
	return []Action{VerdictChanged{Hash: h, Verdict: e.verdict, Reason: "in flight when upstream " + c.upstream + " crashed"}}
}

// unsuspect clears the suspects of crashes that turned out to have a common
// cause. Suspects of another crash stay.
func (s *State) unsuspect(together []*crash) []Action {
	ids := make([]uint64, len(together))
	for i, c := range together {
		ids[i] = c.id
	}
	seen := map[Hash]bool{}
	for _, c := range together {
		for h := range c.inFlight {
			seen[h] = true
		}
	}
	var acts []Action
	for _, h := range sortedSet(seen) {
		e := s.entries[h]
		if e == nil || e.verdict == Quarantined || majority(together, h) || !subset(e.crashes, ids) {
			continue
		}
		delete(s.entries, h)
		acts = append(acts, VerdictChanged{Hash: h, Verdict: Clear, Reason: "several upstreams of one data centre or version crashed together"})
	}
	return acts
}

// together returns the crashes within the window that may have had the same
// cause, by data centre and by version, c included.
func (s *State) together(c *crash) [2][]*crash {
	var g [2][]*crash
	for _, o := range s.crashes {
		if d := o.at.Sub(c.at); d > s.opts.Window || d < -s.opts.Window {
			continue
		}
		if o.dc == c.dc {
			g[0] = append(g[0], o)
		}
		if o.version == c.version {
			g[1] = append(g[1], o)
		}
	}
	return g
}

func majority(crashes []*crash, h Hash) bool {
	n := 0
	for _, c := range crashes {
		if c.inFlight[h] {
			n++
		}
	}
	return 2*n > len(crashes)
}

// settle decides crashes whose settling time is over, and removes what expired.
func (s *State) settle(now time.Time) []Action {
	var acts []Action
	for _, c := range s.crashes {
		if !c.settled && !now.Before(c.at.Add(s.opts.SettleTime)) {
			c.settled = true
			acts = append(acts, s.decide(now, c)...)
		}
	}
	for len(s.crashes) > 0 && now.Sub(s.crashes[0].at) > s.opts.QuarantineTTL {
		s.crashes = s.crashes[1:]
	}
	if now.Before(s.pruneAt) {
		return acts
	}
	s.pruneAt = now.Add(time.Second)
	for h, e := range s.entries {
		if !now.Before(e.expires) {
			delete(s.entries, h)
		}
	}
	for h, t := range s.trials {
		if !(t.local && t.started) && !now.Before(t.until) {
			delete(s.trials, h)
		}
	}
	return acts
}

func (s *State) decide(now time.Time, c *crash) []Action {
	var acts []Action
	groups := s.together(c)
	for _, h := range sortedSet(c.trials) {
		e := s.entries[h]
		if e == nil || e.verdict == Quarantined {
			continue
		}
		if len(c.trials) > 1 || s.otherCause(c, h) || !majority(groups[0], h) || !majority(groups[1], h) {
			e.verdict = Suspect
			acts = append(acts, VerdictChanged{Hash: h, Verdict: Suspect, Reason: "the crash of upstream " + c.upstream + " during its trial proves nothing"})
			continue
		}
		e.verdict, e.basis, e.expires = Quarantined, c.id, now.Add(s.opts.QuarantineTTL)
		acts = append(acts, VerdictChanged{Hash: h, Verdict: Quarantined, Reason: "upstream " + c.upstream + " crashed while it was the only suspect there"},
			Notify{Notice: QuarantineNotice{Hash: h, Crash: c.id}})
		acts = append(acts, s.lift(now, h)...)
	}
	return acts
}

// otherCause reports whether a request that ran on the upstream without a trial
// was in flight at another crash too: the first continuation after a crash goes
// on without a trial, and may be what crashed the upstream again.
func (s *State) otherCause(c *crash, h Hash) bool {
	for o := range c.inFlight {
		if e := s.entries[o]; o != h && !c.trials[o] && e != nil && len(e.crashes) > 1 {
			return true
		}
	}
	return false
}

// lift takes back verdicts that rest on a crash in which the guilty request h
// was in flight too: h explains that crash. A verdict is taken back once.
func (s *State) lift(now time.Time, h Hash) []Action {
	var acts []Action
	for _, o := range s.sorted() {
		e := s.entries[o]
		if o == h || e.verdict != Quarantined || e.lifted {
			continue
		}
		if c := s.find(e.basis); c != nil && c.inFlight[h] {
			e.verdict, e.lifted, e.expires = Suspect, true, now.Add(s.opts.SuspectTTL)
			acts = append(acts, VerdictChanged{Hash: o, Verdict: Suspect, Reason: "another request explains the crash of upstream " + c.upstream},
				Notify{Notice: QuarantineNotice{Hash: o, Crash: c.id, Lifted: true}})
		}
	}
	return acts
}

func (s *State) ran(now time.Time, h Hash) []Action {
	acts := s.endTrial(h)
	e := s.entries[h]
	if e == nil || e.verdict == Quarantined || e.verdict == Held {
		return acts
	}
	delete(s.entries, h)
	return append(acts, VerdictChanged{Hash: h, Verdict: Clear, Reason: "completed"},
		Notify{Notice: ClearedNotice{Hash: h, Crashes: append([]uint64(nil), e.crashes...)}})
}

// trial chooses the upstream by rendezvous hashing, so that daemons with the
// same view choose the same one for the same suspect.
func (s *State) trial(now time.Time, ev TrialRequested) []Action {
	wait := []Action{DeferTrial{Hash: ev.Hash, RetryAfter: s.opts.ReserveTime}}
	if s.Verdict(now, ev.Hash) == Held {
		return wait
	}
	var acts []Action
	if t, ok := s.trials[ev.Hash]; ok {
		if !t.local || t.started || now.Sub(t.since) < s.opts.ReserveTime {
			return wait
		}
		if containsName(ev.Candidates, t.upstream) {
			t.started = true
			s.trials[ev.Hash] = t
			return []Action{StartTrial{Hash: ev.Hash, Upstream: t.upstream},
				Notify{Notice: TrialNotice{Hash: ev.Hash, Upstream: t.upstream, Phase: TrialStarted}}}
		}
		acts = s.endTrial(ev.Hash)
	}
	taken := map[string]bool{}
	for _, t := range s.trials {
		taken[t.upstream] = true
	}
	best, bestScore := "", uint64(0)
	for _, u := range ev.Candidates {
		if taken[u] {
			continue
		}
		d := sha256.Sum256(append(append([]byte(nil), ev.Hash[:]...), u...))
		if score := binary.BigEndian.Uint64(d[:8]); best == "" || score > bestScore || score == bestScore && u < best {
			best, bestScore = u, score
		}
	}
	if best == "" || len(s.trials) >= s.opts.MaxEntries {
		return append(acts, wait...)
	}
	s.trials[ev.Hash] = trial{upstream: best, local: true, since: now, until: now.Add(reservedFor)}
	return append(acts, wait[0], Notify{Notice: TrialNotice{Hash: ev.Hash, Upstream: best, Phase: TrialReserved}})
}

func containsName(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// peerTrial handles the trial of another daemon. Of two reservations of one
// suspect, that of the daemon with the lower name stays; of two suspects on one
// upstream, the lower hash. A trial that has started stays.
func (s *State) peerTrial(now time.Time, from string, n TrialNotice) []Action {
	mine, ok := s.trials[n.Hash]
	if n.Phase == TrialOver {
		if ok && !mine.local && mine.upstream == n.Upstream {
			delete(s.trials, n.Hash)
		}
		return nil
	}
	var acts []Action
	started := n.Phase == TrialStarted
	if ok && mine.local {
		if mine.started || !started && s.opts.Self < from {
			return nil
		}
		acts = s.endTrial(n.Hash)
	}
	hs := make([]Hash, 0, 1)
	for h, t := range s.trials {
		if t.local && !t.started && t.upstream == n.Upstream && h != n.Hash && (started || less(n.Hash, h)) {
			hs = append(hs, h)
		}
	}
	for _, h := range hs {
		// At most one: this daemon reserves an upstream once.
		acts = append(acts, s.endTrial(h)...)
	}
	if len(s.trials) < s.opts.MaxEntries {
		until := now.Add(reservedFor)
		if started {
			until = now.Add(s.opts.TrialTTL)
		}
		s.trials[n.Hash] = trial{upstream: n.Upstream, started: started, since: now, until: until}
	}
	return acts
}

func (s *State) endTrial(h Hash) []Action {
	t, ok := s.trials[h]
	if !ok || !t.local {
		return nil
	}
	delete(s.trials, h)
	return []Action{Notify{Notice: TrialNotice{Hash: h, Upstream: t.upstream, Phase: TrialOver}}}
}

// trialsOn returns the suspects that are known to be on trial on an upstream.
func (s *State) trialsOn(now time.Time, upstream string) []Hash {
	set := map[Hash]bool{}
	for h, t := range s.trials {
		if t.upstream == upstream && t.started && (t.local || now.Before(t.until)) {
			set[h] = true
		}
	}
	return sortedSet(set)
}

// entry returns the entry of a request and makes room for it. It returns nil if
// all entries are quarantined.
func (s *State) entry(now time.Time, h Hash) *entry {
	if e := s.entries[h]; e != nil && now.Before(e.expires) {
		return e
	}
	delete(s.entries, h)
	if len(s.entries) >= s.opts.MaxEntries && !s.evict() {
		return nil
	}
	e := &entry{expires: now.Add(s.opts.SuspectTTL)}
	s.entries[h] = e
	return e
}

// evict removes the suspects that expire first, a sixteenth of all entries at
// once, so that a crash with many requests does not search the entries for each
// of them.
func (s *State) evict() bool {
	type old struct {
		hash    Hash
		expires time.Time
	}
	var olds []old
	for h, e := range s.entries {
		if e.verdict == Suspect {
			olds = append(olds, old{h, e.expires})
		}
	}
	sort.Slice(olds, func(i, j int) bool {
		a, b := olds[i], olds[j]
		return a.expires.Before(b.expires) || a.expires.Equal(b.expires) && less(a.hash, b.hash)
	})
	for _, o := range olds[:min(len(olds), s.opts.MaxEntries/16+1)] {
		delete(s.entries, o.hash)
	}
	return len(olds) > 0
}

func less(a, b Hash) bool { return string(a[:]) < string(b[:]) }

func sortedSet(set map[Hash]bool) []Hash {
	out := make([]Hash, 0, len(set))
	for h := range set {
		out = append(out, h)
	}
	sort.Slice(out, func(i, j int) bool { return less(out[i], out[j]) })
	return out
}

func (s *State) sorted() []Hash {
	out := make([]Hash, 0, len(s.entries))
	for h := range s.entries {
		out = append(out, h)
	}
	sort.Slice(out, func(i, j int) bool { return less(out[i], out[j]) })
	return out
}
