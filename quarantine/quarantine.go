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

// UnmarshalText decodes what MarshalText wrote. It returns an error for text that
// is not 32 hexadecimal digits.
func (h *Hash) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(h)) {
		return errors.New("quarantine: a hash must have 32 hexadecimal digits")
	}
	_, err := hex.Decode(h[:], text)
	return err
}

// HashOf returns the hash of a request's content. Scope is the service or account
// that it belongs to, target is a route, a model or a request line, and body is the
// body without any key of the caller.
func HashOf(scope, target string, body []byte) Hash {
	d := sha256.New()
	for _, s := range []string{scope, target} {
		// Write of a hash.Hash never returns an error.
		_, _ = d.Write(binary.BigEndian.AppendUint32(nil, uint32(len(s))))
		_, _ = d.Write([]byte(s))
	}
	_, _ = d.Write(body)
	var h Hash
	copy(h[:], d.Sum(nil))
	return h
}

// Verdict says how a request may run.
type Verdict int

const (
	// Clear requests run as usual.
	Clear Verdict = iota
	// Suspect requests run only on trial; TrialRequested asks for one.
	Suspect
	// Held requests wait for the verdict on their last trial.
	Held
	// Quarantined requests are refused.
	Quarantined
)

func (v Verdict) String() string {
	return [...]string{"clear", "suspect", "held", "quarantined"}[v]
}

// Options configure a State. Zero values select the defaults, which each field's
// comment gives.
type Options struct {
	// Window is the largest time between two crashes that may have a common cause;
	// 10 s.
	Window time.Duration
	// SettleTime is how long a verdict waits after a crash for other reports; 2 s.
	SettleTime time.Duration
	// SuspectTTL and QuarantineTTL are the times after which a suspicion and a
	// quarantine expire; 10 min and 1 h.
	SuspectTTL, QuarantineTTL time.Duration
	// Self is the name of this daemon.
	Self string
	// ReserveTime is how long before its start a trial is announced, so that the
	// daemons agree on one suspect for an upstream and one upstream for a
	// suspect; 100 ms. It is longer than a notice takes to reach all daemons,
	// which is a few hops of some milliseconds each.
	ReserveTime time.Duration
	// TrialTTL is how long a trial of another daemon blocks its upstream when
	// its end is not reported; 2 min.
	TrialTTL time.Duration
	// MaxEntries bounds the suspects and quarantined requests together, and also
	// the trials; 4096.
	MaxEntries int
	// MaxCrashes is the largest number of crashes that are remembered; 256.
	MaxCrashes int
	// MaxInFlight is the largest number of hashes that one crash holds; 256.
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

// MaxBytes is the most memory, in bytes, that a State with the default options
// holds: 256 crashes with 256 hashes in flight of 16 bytes each, doubled because
// maps allocate ahead (2 MiB), 4096 entries with the IDs of their crashes (2 MiB),
// and the trials.
const MaxBytes = 5 << 20

// Event is an input of State.Step.
type Event interface{ event() }

// UpstreamCrashed reports a crash that this daemon saw.
type UpstreamCrashed struct {
	Upstream, DataCentre, Version string
	// Incarnation identifies the process of the upstream, so that several crashes
	// of one upstream are told apart.
	Incarnation string
	// InFlight are this daemon's requests that ran on the upstream.
	InFlight []Hash
}

// Completed reports that a request completed.
type Completed struct{ Hash Hash }

// TrialRequested asks for an upstream on which a suspect may run. The answer is
// StartTrial or DeferTrial. The first request only reserves an upstream and is
// deferred.
type TrialRequested struct {
	Hash Hash
	// Candidates are the names of upstreams that could run the request.
	Candidates []string
}

// TrialEnded reports that a trial ended without completion or crash, for example
// because the caller disconnected.
type TrialEnded struct{ Hash Hash }

// Refused reports that a quarantined request was sent again.
type Refused struct{ Hash Hash }

// PeerNotice delivers a notice from another daemon.
type PeerNotice struct {
	// From is the name of the daemon that wrote the notice.
	From   string
	Notice Notice
}

// PeerUp reports a new peer; the resulting Notify actions are the notices that it
// needs.
type PeerUp struct{}

// Tick reports that the time returned by State.NextTimer has come.
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

// CrashNotice reports a crash and the sender's requests that ran on the upstream.
type CrashNotice struct {
	Upstream, DataCentre, Version, Incarnation string
	InFlight                                   []Hash
	// Trials are the suspects that the sender knew to be on trial on the upstream.
	Trials []Hash
}

// TrialPhase is the progress of a trial.
type TrialPhase int

const (
	// TrialReserved announces a trial.
	TrialReserved TrialPhase = iota
	// TrialStarted reports that the suspect runs.
	TrialStarted
	// TrialOver reports that the suspect no longer runs, or that the reservation
	// was given up.
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

// QuarantineNotice reports that a request is quarantined, or no longer.
type QuarantineNotice struct {
	Hash Hash
	// Crash is the ID of the crash that led to the verdict.
	Crash uint64
	// Lifted says that the quarantine is lifted.
	Lifted bool
}

func (CrashNotice) notice()      {}
func (TrialNotice) notice()      {}
func (ClearedNotice) notice()    {}
func (QuarantineNotice) notice() {}

// Action is an output of State.Step.
type Action interface{ action() }

// Notify sends a notice to all peers, or only to the new peer after PeerUp.
type Notify struct{ Notice Notice }

// StartTrial lets a suspect run on the given upstream only.
type StartTrial struct {
	Hash     Hash
	Upstream string
}

// DeferTrial makes a suspect wait: its upstream is reserved but the reservation
// is too recent, all upstreams have a suspect on trial, the same content is on
// trial already, or the suspect is held.
type DeferTrial struct {
	Hash       Hash
	RetryAfter time.Duration
}

// VerdictChanged reports a new verdict with a reason for people.
type VerdictChanged struct {
	Hash    Hash
	Verdict Verdict
	Reason  string
}

func (Notify) action()         {}
func (StartTrial) action()     {}
func (DeferTrial) action()     {}
func (VerdictChanged) action() {}

// maxEntryCrashes is the largest number of crashes that one entry refers to.
const maxEntryCrashes = 8

type entry struct {
	verdict Verdict
	expires time.Time
	crashes []uint64
	// basisCrash is the ID of the crash that led to the quarantine.
	basisCrash uint64
	// lifted is set once a quarantine was lifted, which happens at most once.
	lifted bool
}

type crash struct {
	id         uint64
	upstream   string
	dataCentre string
	version    string
	at         time.Time
	inFlight   map[Hash]bool
	trials     map[Hash]bool
	settled    bool
}

type trial struct {
	upstream string
	// local marks this daemon's own trials.
	local   bool
	started bool
	since   time.Time
	// expires is when the trial is removed, unless it is this daemon's own and has
	// started: such a trial ends with its own event.
	expires time.Time
}

// reservationTTL is how long a reservation is kept if its trial does not start.
const reservationTTL = 5 * time.Second

// State is the quarantine of one daemon.
type State struct {
	opts    Options
	entries map[Hash]*entry
	crashes []*crash // in the order in which they became known
	trials  map[Hash]trial
	// pruneAt is the earliest time of the next search for expired entries and
	// trials.
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

// Verdicts returns all verdicts other than Clear, for a snapshot.
func (s *State) Verdicts(now time.Time) map[Hash]Verdict {
	out := make(map[Hash]Verdict, len(s.entries))
	for h, e := range s.entries {
		if now.Before(e.expires) {
			out[h] = e.verdict
		}
	}
	return out
}

// NextTimer returns when the state needs the next Tick, and false if it needs
// none. A Tick is due at the end of a settling time and when an entry expires, the
// latter at most once a second.
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

// Step applies one event at the given time and returns the resulting actions.
func (s *State) Step(now time.Time, ev Event) []Action {
	acts := s.settle(now)
	switch ev := ev.(type) {
	case UpstreamCrashed:
		n := CrashNotice{Upstream: ev.Upstream, DataCentre: ev.DataCentre, Version: ev.Version,
			Incarnation: ev.Incarnation, InFlight: copyFirst(ev.InFlight, s.opts.MaxInFlight)}
		n.Trials = s.trialsOn(now, ev.Upstream)
		if c := s.findCrash(crashID(n)); c != nil {
			// Another daemon's report arrived first and already removed the trials.
			n.Trials = sortedSet(c.trials)
		}
		acts = append(acts, Notify{Notice: n})
		return append(acts, s.recordCrash(now, n)...)
	case Completed:
		return append(acts, s.completed(now, ev.Hash)...)
	case TrialRequested:
		return append(acts, s.requestTrial(now, ev)...)
	case TrialEnded:
		return append(acts, s.endTrial(ev.Hash)...)
	case Refused:
		if e := s.entries[ev.Hash]; e != nil && e.verdict == Quarantined {
			e.expires = now.Add(s.opts.QuarantineTTL)
		}
	case PeerNotice:
		return append(acts, s.handleNotice(now, ev.From, ev.Notice)...)
	case PeerUp:
		for _, h := range s.sortedHashes() {
			if e := s.entries[h]; e.verdict == Quarantined {
				acts = append(acts, Notify{Notice: QuarantineNotice{Hash: h, Crash: e.basisCrash}})
			}
		}
	}
	return acts
}

func copyFirst(hs []Hash, n int) []Hash {
	if len(hs) > n {
		hs = hs[:n]
	}
	return append([]Hash(nil), hs...)
}

func crashID(n CrashNotice) uint64 {
	d := sha256.Sum256([]byte(n.Upstream + "\x00" + n.Incarnation))
	return binary.BigEndian.Uint64(d[:8])
}

func (s *State) handleNotice(now time.Time, from string, n Notice) []Action {
	switch n := n.(type) {
	case CrashNotice:
		return s.recordCrash(now, n)
	case TrialNotice:
		return s.handlePeerTrial(now, from, n)
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
			if e == nil || e.verdict != Quarantined || e.basisCrash != n.Crash {
				return nil
			}
			e.verdict, e.lifted, e.expires = Suspect, true, now.Add(s.opts.SuspectTTL)
			return []Action{VerdictChanged{Hash: n.Hash, Verdict: Suspect, Reason: "another daemon lifted its quarantine"}}
		}
		if e != nil && e.verdict == Quarantined {
			return nil
		}
		if e = s.entry(now, n.Hash); e == nil || e.lifted && e.basisCrash == n.Crash {
			return nil
		}
		if acts := s.liftConflicting(now, n); acts != nil {
			return acts
		}
		e.verdict, e.basisCrash, e.expires = Quarantined, n.Crash, now.Add(s.opts.QuarantineTTL)
		return append([]Action{VerdictChanged{Hash: n.Hash, Verdict: Quarantined, Reason: "another daemon quarantined it"}}, s.lift(now, n.Hash)...)
	}
	return nil
}

// liftConflicting lifts the quarantine of a request that rests on the same crash as
// another daemon's quarantine of another request, and that other quarantine too:
// two suspects were on the upstream, so the crash is no evidence against either. It
// returns nil if there is no conflict.
func (s *State) liftConflicting(now time.Time, n QuarantineNotice) []Action {
	for _, h := range s.sortedHashes() {
		o := s.entries[h]
		if h == n.Hash || o.verdict != Quarantined || o.basisCrash != n.Crash || o.lifted {
			continue
		}
		e := s.entries[n.Hash]
		for _, e := range []*entry{o, e} {
			e.verdict, e.lifted, e.basisCrash, e.expires = Suspect, true, n.Crash, now.Add(s.opts.SuspectTTL)
		}
		return []Action{
			VerdictChanged{Hash: h, Verdict: Suspect, Reason: "another suspect ran on the upstream that crashed"},
			VerdictChanged{Hash: n.Hash, Verdict: Suspect, Reason: "another suspect ran on the upstream that crashed"},
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

// recordCrash merges a report into what is known of the crash and makes suspects of
// the requests in flight. If there are minCorrelated crashes in the same data centre
// or of the same version, only requests that were in flight at more than half of
// them become suspects.
func (s *State) recordCrash(now time.Time, n CrashNotice) []Action {
	id := crashID(n)
	c := s.findCrash(id)
	knownTrials := []Hash(nil)
	if c == nil {
		// Only at the first report, because a trial that starts later on this
		// upstream runs on its next incarnation.
		knownTrials = s.trialsOn(now, n.Upstream)
		if len(s.crashes) >= s.opts.MaxCrashes {
			s.crashes = append(s.crashes[:0], s.crashes[1:]...)
		}
		c = &crash{id: id, upstream: n.Upstream, dataCentre: n.DataCentre, version: n.Version, at: now,
			inFlight: map[Hash]bool{}, trials: map[Hash]bool{}}
		s.crashes = append(s.crashes, c)
	}
	for _, h := range append(append([]Hash(nil), n.Trials...), knownTrials...) {
		if len(c.trials) < s.opts.MaxInFlight {
			c.trials[h] = true
		}
	}
	for _, h := range append(append(append([]Hash(nil), n.Trials...), knownTrials...), n.InFlight...) {
		if len(c.inFlight) < s.opts.MaxInFlight || c.inFlight[h] {
			c.inFlight[h] = true
		}
	}
	for h := range c.trials {
		if t, ok := s.trials[h]; ok && t.upstream == c.upstream && contains(knownTrials, h) {
			delete(s.trials, h)
		}
	}
	var acts []Action
	groups := s.correlated(c)
	for _, h := range sortedSet(c.inFlight) {
		common := true
		for _, g := range groups {
			common = common && (len(g) < minCorrelated || majority(g, h))
		}
		if common {
			acts = append(acts, s.markSuspect(now, h, c)...)
		}
	}
	for _, g := range groups {
		if len(g) >= minCorrelated {
			acts = append(acts, s.clearCorrelated(g)...)
		}
	}
	return acts
}

// minCorrelated is the number of crashes in one data centre or of one version within
// the window from which on they are assumed to have a common cause. Two crashes can
// still be due to one content that was in flight at both.
const minCorrelated = 3

func (s *State) findCrash(id uint64) *crash {
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

// markSuspect makes a request a suspect of the crash, or holds it if it was on
// trial on the upstream and the verdict is still open.
func (s *State) markSuspect(now time.Time, h Hash, c *crash) []Action {
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

// clearCorrelated clears the suspects of crashes that turned out to have a common
// cause. Requests that were in flight at more than half of them, or at some other
// crash, stay suspects.
func (s *State) clearCorrelated(crashes []*crash) []Action {
	ids := make([]uint64, len(crashes))
	for i, c := range crashes {
		ids[i] = c.id
	}
	hashes := map[Hash]bool{}
	for _, c := range crashes {
		for h := range c.inFlight {
			hashes[h] = true
		}
	}
	var acts []Action
	for _, h := range sortedSet(hashes) {
		e := s.entries[h]
		if e == nil || e.verdict == Quarantined || majority(crashes, h) || !subset(e.crashes, ids) {
			continue
		}
		delete(s.entries, h)
		acts = append(acts, VerdictChanged{Hash: h, Verdict: Clear, Reason: "several upstreams of one data centre or version crashed together"})
	}
	return acts
}

// correlated returns the crashes within the window that may have the same cause as
// c, c included: first those in its data centre, then those of its version.
func (s *State) correlated(c *crash) [2][]*crash {
	var g [2][]*crash
	for _, o := range s.crashes {
		if d := o.at.Sub(c.at); d > s.opts.Window || d < -s.opts.Window {
			continue
		}
		if o.dataCentre == c.dataCentre {
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

// settle decides the crashes whose settling time is over, and removes crashes,
// entries and trials that expired.
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
		if !(t.local && t.started) && !now.Before(t.expires) {
			delete(s.trials, h)
		}
	}
	return acts
}

func (s *State) decide(now time.Time, c *crash) []Action {
	var acts []Action
	groups := s.correlated(c)
	for _, h := range sortedSet(c.trials) {
		e := s.entries[h]
		if e == nil || e.verdict == Quarantined {
			continue
		}
		if len(c.trials) > 1 || s.hasRepeatWithoutTrial(c, h) || !majority(groups[0], h) || !majority(groups[1], h) {
			e.verdict = Suspect
			acts = append(acts, VerdictChanged{Hash: h, Verdict: Suspect, Reason: "upstream " + c.upstream + " crashed during its trial, but the crash may have another cause"})
			continue
		}
		e.verdict, e.basisCrash, e.expires = Quarantined, c.id, now.Add(s.opts.QuarantineTTL)
		acts = append(acts, VerdictChanged{Hash: h, Verdict: Quarantined, Reason: "upstream " + c.upstream + " crashed while it was the only suspect there"},
			Notify{Notice: QuarantineNotice{Hash: h, Crash: c.id}})
		acts = append(acts, s.lift(now, h)...)
	}
	return acts
}

// hasRepeatWithoutTrial reports whether a request other than h that ran on the upstream
// without a trial was in flight at another crash too. The first continuation after
// a crash runs without a trial, and may be what crashed the upstream again.
func (s *State) hasRepeatWithoutTrial(c *crash, h Hash) bool {
	for o := range c.inFlight {
		if e := s.entries[o]; o != h && !c.trials[o] && e != nil && len(e.crashes) > 1 {
			return true
		}
	}
	return false
}

// lift lifts the quarantines that rest on a crash at which h, which is now
// quarantined, was in flight too, because h is a sufficient cause of that crash. The
// quarantine of one request is lifted at most once.
func (s *State) lift(now time.Time, h Hash) []Action {
	var acts []Action
	for _, o := range s.sortedHashes() {
		e := s.entries[o]
		if o == h || e.verdict != Quarantined || e.lifted {
			continue
		}
		if c := s.findCrash(e.basisCrash); c != nil && c.inFlight[h] {
			e.verdict, e.lifted, e.expires = Suspect, true, now.Add(s.opts.SuspectTTL)
			acts = append(acts, VerdictChanged{Hash: o, Verdict: Suspect, Reason: "a request quarantined since was also in flight when upstream " + c.upstream + " crashed"},
				Notify{Notice: QuarantineNotice{Hash: o, Crash: c.id, Lifted: true}})
		}
	}
	return acts
}

func (s *State) completed(now time.Time, h Hash) []Action {
	acts := s.endTrial(h)
	e := s.entries[h]
	if e == nil || e.verdict == Quarantined || e.verdict == Held {
		return acts
	}
	delete(s.entries, h)
	return append(acts, VerdictChanged{Hash: h, Verdict: Clear, Reason: "completed"},
		Notify{Notice: ClearedNotice{Hash: h, Crashes: append([]uint64(nil), e.crashes...)}})
}

// requestTrial reserves an upstream for a suspect, and starts the trial when the
// reservation is at least ReserveTime old. It chooses the upstream by rendezvous
// hashing, so that daemons with the same view choose the same one for the same
// suspect.
func (s *State) requestTrial(now time.Time, ev TrialRequested) []Action {
	deferred := []Action{DeferTrial{Hash: ev.Hash, RetryAfter: s.opts.ReserveTime}}
	if s.Verdict(now, ev.Hash) == Held {
		return deferred
	}
	var acts []Action
	if t, ok := s.trials[ev.Hash]; ok {
		if !t.local || t.started || now.Sub(t.since) < s.opts.ReserveTime {
			return deferred
		}
		if containsName(ev.Candidates, t.upstream) {
			t.started = true
			s.trials[ev.Hash] = t
			return []Action{StartTrial{Hash: ev.Hash, Upstream: t.upstream},
				Notify{Notice: TrialNotice{Hash: ev.Hash, Upstream: t.upstream, Phase: TrialStarted}}}
		}
		acts = s.endTrial(ev.Hash)
	}
	occupied := map[string]bool{}
	for _, t := range s.trials {
		occupied[t.upstream] = true
	}
	best, bestScore := "", uint64(0)
	for _, u := range ev.Candidates {
		if occupied[u] {
			continue
		}
		d := sha256.Sum256(append(append([]byte(nil), ev.Hash[:]...), u...))
		if score := binary.BigEndian.Uint64(d[:8]); best == "" || score > bestScore || score == bestScore && u < best {
			best, bestScore = u, score
		}
	}
	if best == "" || len(s.trials) >= s.opts.MaxEntries {
		return append(acts, deferred...)
	}
	s.trials[ev.Hash] = trial{upstream: best, local: true, since: now, expires: now.Add(reservationTTL)}
	return append(acts, deferred[0], Notify{Notice: TrialNotice{Hash: ev.Hash, Upstream: best, Phase: TrialReserved}})
}

func containsName(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// handlePeerTrial records the trial of another daemon. Of two reservations for one
// suspect, that of the daemon with the lower name stays; of two suspects on one
// upstream, the one with the lower hash. A trial that has started always stays.
func (s *State) handlePeerTrial(now time.Time, from string, n TrialNotice) []Action {
	known, ok := s.trials[n.Hash]
	if n.Phase == TrialOver {
		if ok && !known.local && known.upstream == n.Upstream {
			delete(s.trials, n.Hash)
		}
		return nil
	}
	var acts []Action
	started := n.Phase == TrialStarted
	if ok && known.local {
		if known.started || !started && s.opts.Self < from {
			return nil
		}
		acts = s.endTrial(n.Hash)
	}
	displaced := make([]Hash, 0, 1)
	for h, t := range s.trials {
		if t.local && !t.started && t.upstream == n.Upstream && h != n.Hash && (started || less(n.Hash, h)) {
			displaced = append(displaced, h)
		}
	}
	for _, h := range displaced {
		// At most one, because this daemon reserves an upstream only once.
		acts = append(acts, s.endTrial(h)...)
	}
	if len(s.trials) < s.opts.MaxEntries {
		expires := now.Add(reservationTTL)
		if started {
			expires = now.Add(s.opts.TrialTTL)
		}
		s.trials[n.Hash] = trial{upstream: n.Upstream, started: started, since: now, expires: expires}
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

// trialsOn returns the suspects whose trials on an upstream are known to have
// started and not expired.
func (s *State) trialsOn(now time.Time, upstream string) []Hash {
	set := map[Hash]bool{}
	for h, t := range s.trials {
		if t.upstream == upstream && t.started && (t.local || now.Before(t.expires)) {
			set[h] = true
		}
	}
	return sortedSet(set)
}

// entry returns the entry of a request, or a new one for which it makes room if
// necessary. It returns nil if the entries are full and none is a suspect, because
// only suspects are evicted.
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

// evict removes the suspects that expire first and reports whether there were any.
// It removes a sixteenth of MaxEntries at once, so that a crash with many requests
// does not search all entries for each of them.
func (s *State) evict() bool {
	type suspect struct {
		hash    Hash
		expires time.Time
	}
	var suspects []suspect
	for h, e := range s.entries {
		if e.verdict == Suspect {
			suspects = append(suspects, suspect{h, e.expires})
		}
	}
	sort.Slice(suspects, func(i, j int) bool {
		a, b := suspects[i], suspects[j]
		return a.expires.Before(b.expires) || a.expires.Equal(b.expires) && less(a.hash, b.hash)
	})
	for _, o := range suspects[:min(len(suspects), s.opts.MaxEntries/16+1)] {
		delete(s.entries, o.hash)
	}
	return len(suspects) > 0
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

func (s *State) sortedHashes() []Hash {
	out := make([]Hash, 0, len(s.entries))
	for h := range s.entries {
		out = append(out, h)
	}
	sort.Slice(out, func(i, j int) bool { return less(out[i], out[j]) })
	return out
}
