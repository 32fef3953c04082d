package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/gooseberryroad/gooseberryroad/internal/backoff"
)

// PartLogOptions are the bounds of a PartLog. Zero values select the defaults, which
// each field's comment gives.
type PartLogOptions struct {
	// MinCrashes is the number of crashes of upstreams under a part that it takes to
	// find it; 3.
	MinCrashes int
	// MinEpisodes is the number of moments, EpisodeGap apart, at which they crashed;
	// 2. A fault that takes several upstreams down at once is one episode.
	MinEpisodes int
	// EpisodeGap is more than the time by which daemons misjudge the age of a crash
	// that another one published; 700 ms.
	EpisodeGap time.Duration
	// Memory is how long after its last crash a part is remembered; 10 min.
	Memory time.Duration
	// MaxCrashes is the largest number of own crashes that are remembered; 64.
	MaxCrashes int
	// MaxSound is the largest number of parts that are remembered as sound; 4096.
	MaxSound int
	// PublishEvery is the shortest time between two publications, because calls to
	// the store are priced; 400 ms.
	PublishEvery time.Duration
}

func (o PartLogOptions) withDefaults() PartLogOptions {
	if o.MinCrashes <= 0 {
		o.MinCrashes = 3
	}
	if o.MinEpisodes <= 0 {
		o.MinEpisodes = 2
	}
	if o.EpisodeGap <= 0 {
		o.EpisodeGap = 700 * time.Millisecond
	}
	if o.Memory <= 0 {
		o.Memory = 10 * time.Minute
	}
	if o.MaxCrashes <= 0 {
		o.MaxCrashes = 64
	}
	if o.MaxSound <= 0 {
		o.MaxSound = 4096
	}
	if o.PublishEvery <= 0 {
		o.PublishEvery = 400 * time.Millisecond
	}
	return o
}

// PartCrash is the crash of an upstream as it began to answer a request.
type PartCrash struct {
	// Upstream is the ID of the upstream.
	Upstream string `json:"upstream"`
	// Parts are the parts of the request's prompt that other requests may share.
	Parts []Hash `json:"parts"`
	// AgeMs is the age of the crash in milliseconds when it was published.
	AgeMs int64 `json:"age_ms"`
}

// PartReport is what one daemon publishes.
type PartReport struct {
	Crashes []PartCrash `json:"crashes"`
	// Sound holds parts of known crashes under which an upstream has answered since
	// the first of these crashes.
	Sound []Hash `json:"sound"`
}

// partCrash is a crash at a time of this daemon's clock.
type partCrash struct {
	upstream string
	parts    []Hash
	at       time.Time
}

// PartLog finds parts of prompts that crash every upstream which begins to answer a
// request with them. The requests differ in everything else, so CrashLog does not
// see them as the same content.
//
// A crash makes all parts of the request suspects, and those of the innocent
// requests that the upstream was about to answer beside it. A part is cleared when
// an upstream answers under it at any daemon. Parts that were only ever seen
// together cannot be told apart: a request is held back only if it has all of them,
// so that a request with an innocent one of them can run and clear it.
//
// Daemons publish their crashes and what they cleared, and each judges the sum.
// PartLog is not safe for concurrent use.
type PartLog struct {
	o     PartLogOptions
	own   []partCrash
	peers map[string]peerParts
	// sound holds when an upstream last answered under a part at this daemon.
	sound map[Hash]time.Time
	// crashing holds, for each part that is found to crash upstreams, the parts that a
	// request must have to be held back. It is computed again when stale is set.
	crashing map[Hash]crashingPart
	stale    bool
	// suspects holds the parts of known crashes that are not cleared.
	suspects map[Hash]bool
	// dirty is set when there are crashes to publish, soundDirty when there may be
	// cleared parts, of which publishedSound was published last.
	dirty, soundDirty bool
	publishedSound    []Hash
	published         time.Time
	retry             backoff.Backoff
}

// peerParts is what another daemon published.
type peerParts struct {
	crashes []partCrash
	sound   map[Hash]bool
}

// crashingPart says which parts a request must have to be held back, and until when.
type crashingPart struct {
	with  []Hash
	until time.Time
}

// NewPartLog returns an empty log.
func NewPartLog(o PartLogOptions) *PartLog {
	o = o.withDefaults()
	return &PartLog{
		o: o, peers: map[string]peerParts{}, sound: map[Hash]time.Time{}, crashing: map[Hash]crashingPart{}, suspects: map[Hash]bool{},
		retry: backoff.Backoff{Initial: o.PublishEvery, Max: maxPublishPause},
	}
}

// Empty reports whether no crashes are known. The caller then need not hash the
// parts of requests.
func (l *PartLog) Empty() bool { return len(l.own) == 0 && len(l.peers) == 0 }

// Crashed records that an upstream crashed as it began to answer a request with
// these shared parts.
func (l *PartLog) Crashed(upstream string, parts []Hash, now time.Time) {
	if len(parts) == 0 {
		return
	}
	l.expire(now)
	if len(l.own) >= l.o.MaxCrashes {
		l.own = l.own[1:]
	}
	l.own = append(l.own, partCrash{upstream: upstream, parts: slices.Clone(parts), at: now})
	for _, p := range parts {
		l.suspects[p] = true
	}
	l.dirty, l.stale = true, true
}

// Answered records that an upstream is past the beginning of an answer to a request
// with these parts, which clears them.
func (l *PartLog) Answered(parts []Hash, now time.Time) {
	for _, p := range parts {
		if _, known := l.sound[p]; !known && len(l.sound) >= l.o.MaxSound {
			l.evictSound()
		}
		l.sound[p] = now
		if l.suspects[p] {
			l.stale, l.soundDirty = true, true
		}
	}
}

// evictSound forgets the older half of the sound parts.
func (l *PartLog) evictSound() {
	times := slices.SortedFunc(maps.Values(l.sound), time.Time.Compare)
	median := times[len(times)/2]
	maps.DeleteFunc(l.sound, func(_ Hash, at time.Time) bool { return !at.After(median) })
}

// Resume takes over the crashes that an earlier process of this daemon published,
// which the next report replaces in the store.
func (l *PartLog) Resume(r PartReport, now time.Time) {
	l.own = append(decodeCrashes(r.Crashes, l.o.MaxCrashes, now), l.own...)
	l.stale, l.soundDirty = true, true
}

func decodeCrashes(crashes []PartCrash, limit int, now time.Time) []partCrash {
	var out []partCrash
	for _, c := range crashes[:min(len(crashes), limit)] {
		out = append(out, partCrash{upstream: c.Upstream, parts: c.Parts, at: now.Add(-time.Duration(c.AgeMs) * time.Millisecond)})
	}
	return out
}

// Merge replaces what another daemon published by a report that was read at now.
func (l *PartLog) Merge(daemon string, r PartReport, now time.Time) {
	peer := peerParts{crashes: decodeCrashes(r.Crashes, l.o.MaxCrashes, now), sound: map[Hash]bool{}}
	for _, p := range r.Sound {
		peer.sound[p] = true
	}
	l.peers[daemon] = peer
	l.stale, l.soundDirty = true, true
}

// Retain forgets what daemons published for which keep returns false.
func (l *PartLog) Retain(keep func(daemon string) bool) {
	before := len(l.peers)
	maps.DeleteFunc(l.peers, func(daemon string, _ peerParts) bool { return !keep(daemon) })
	l.stale = l.stale || len(l.peers) != before
}

// Quarantined returns for how long a request with these shared parts must not run
// because one of them crashes upstreams, and the part; 0 if it may run.
func (l *PartLog) Quarantined(parts []Hash, now time.Time) (time.Duration, Hash) {
	l.judge(now)
	for _, p := range parts {
		g, ok := l.crashing[p]
		if !ok || !now.Before(g.until) {
			continue
		}
		if !slices.ContainsFunc(g.with, func(other Hash) bool { return !slices.Contains(parts, other) }) {
			return g.until.Sub(now), p
		}
	}
	return 0, Hash{}
}

// judge finds the parts that crash upstreams from all crashes.
func (l *PartLog) judge(now time.Time) {
	if !l.stale {
		return
	}
	l.stale = false
	l.expire(now)
	byPart := l.crashesByPart()
	clear(l.suspects)
	for p, crashes := range byPart {
		if !l.cleared(p, crashes) {
			l.suspects[p] = true
		}
	}
	clear(l.crashing)
	for p, crashes := range byPart {
		if !l.suspects[p] || !l.enough(crashes) {
			continue
		}
		with := slices.Clone(crashes[0].parts)
		for _, c := range crashes {
			with = slices.DeleteFunc(with, func(h Hash) bool { return !l.suspects[h] || !slices.Contains(c.parts, h) })
		}
		l.crashing[p] = crashingPart{with: with, until: crashes[len(crashes)-1].at.Add(l.o.Memory)}
	}
}

// crashesByPart returns all known crashes by part, oldest first.
func (l *PartLog) crashesByPart() map[Hash][]partCrash {
	byPart := map[Hash][]partCrash{}
	add := func(crashes []partCrash) {
		for _, c := range crashes {
			for _, p := range c.parts {
				byPart[p] = append(byPart[p], c)
			}
		}
	}
	add(l.own)
	for _, peer := range l.peers {
		add(peer.crashes)
	}
	for _, crashes := range byPart {
		slices.SortFunc(crashes, func(a, b partCrash) int { return a.at.Compare(b.at) })
	}
	return byPart
}

// cleared reports whether an upstream has answered under a part since the first of
// its crashes.
func (l *PartLog) cleared(p Hash, crashes []partCrash) bool {
	if l.sound[p].After(crashes[0].at) {
		return true
	}
	for _, peer := range l.peers {
		if peer.sound[p] {
			return true
		}
	}
	return false
}

// enough reports whether the crashes, oldest first, show that their common part
// causes them.
func (l *PartLog) enough(crashes []partCrash) bool {
	// Several daemons may have seen the same crash of an upstream.
	counted := map[string]time.Time{}
	count, episodes := 0, 0
	var last time.Time
	for _, c := range crashes {
		if at, seen := counted[c.upstream]; !seen || c.at.Sub(at) >= l.o.EpisodeGap {
			counted[c.upstream] = c.at
			count++
		}
		if episodes == 0 || c.at.Sub(last) >= l.o.EpisodeGap {
			episodes++
			last = c.at
		}
	}
	return count >= l.o.MinCrashes && episodes >= l.o.MinEpisodes
}

// Due returns the report that this daemon should publish now, or false when nothing
// is due.
func (l *PartLog) Due(now time.Time) (PartReport, bool) {
	l.expire(now)
	if !l.dirty && !l.soundDirty || now.Sub(l.published) < l.o.PublishEvery || !l.retry.Ready(now) {
		return PartReport{}, false
	}
	sound := l.ownSound()
	l.soundDirty = false
	if !l.dirty && slices.Equal(sound, l.publishedSound) {
		return PartReport{}, false
	}
	l.dirty, l.published, l.publishedSound = false, now, sound
	r := PartReport{Sound: sound}
	for _, c := range l.own {
		r.Crashes = append(r.Crashes, PartCrash{Upstream: c.upstream, Parts: c.parts, AgeMs: now.Sub(c.at).Milliseconds()})
	}
	return r, true
}

// ownSound returns the parts of known crashes that this daemon cleared.
func (l *PartLog) ownSound() []Hash {
	var sound []Hash
	for p, crashes := range l.crashesByPart() {
		if l.sound[p].After(crashes[0].at) {
			sound = append(sound, p)
		}
	}
	slices.SortFunc(sound, func(a, b Hash) int { return slices.Compare(a[:], b[:]) })
	return sound
}

// Published records whether the store accepted the report. If not, it becomes due
// again after a backoff.
func (l *PartLog) Published(ok bool, now time.Time) {
	if ok {
		l.retry.Succeeded()
		return
	}
	l.retry.Failed(now)
	l.dirty = true
}

// PublishAgain makes the report due that was published, because the store lost it.
func (l *PartLog) PublishAgain() {
	l.dirty = l.dirty || len(l.own) > 0 || len(l.publishedSound) > 0
}

// expire forgets old crashes.
func (l *PartLog) expire(now time.Time) {
	old := func(c partCrash) bool { return now.Sub(c.at) >= l.o.Memory }
	before := len(l.own)
	l.own = slices.DeleteFunc(l.own, old)
	l.dirty = l.dirty || len(l.own) != before
	for daemon, peer := range l.peers {
		if slices.ContainsFunc(peer.crashes, old) {
			peer.crashes = slices.DeleteFunc(peer.crashes, old)
			l.peers[daemon] = peer
		}
	}
}
