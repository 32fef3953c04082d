package node

import (
	"hash/fnv"
	"slices"
	"sort"
	"time"

	"github.com/gooseberryroad/gooseberryroad/membership"
	"github.com/gooseberryroad/gooseberryroad/revision"
	"github.com/gooseberryroad/gooseberryroad/store"
)

const (
	// digestInterval is the time between two digests on a link.
	digestInterval = time.Second
	// linkInterval is how often the choice of links is made again.
	linkInterval = time.Second
	// probeInterval is how often a daemon that is not known to be alive is
	// tried. It bounds how long a healed partition goes unnoticed.
	probeInterval = 2 * time.Second
	// firstProbeInterval is used without any link. A daemon that starts while
	// the store is down has no configuration until it finds a live seed, and
	// some seeds may be dead.
	firstProbeInterval = 250 * time.Millisecond
	// probeKept is how long the link of a probe is kept when neither side
	// chooses it.
	probeKept = 5 * time.Second
	// fullInterval is the least time between two full digests on a link.
	fullInterval = time.Second
	// wantRetry is when an entry that did not arrive is asked for elsewhere.
	wantRetry = 500 * time.Millisecond
	// markRepeats is how many digests repeat a mark after it was sent at once,
	// in case that message was dropped.
	markRepeats = 2
	// noticeMemory is how long a notice is recognized as a duplicate.
	noticeMemory = time.Minute
	// maxDocumentsBytes bounds the entries in one message.
	maxDocumentsBytes = 1 << 20
)

// link is what this daemon knows about a linked peer.
type link struct {
	peer membership.Member
	upAt time.Time
	// dialed is set when this daemon opened the link.
	dialed bool
	// has is the revision of each key that the peer is known to have, told the
	// one that it was told of.
	has, told map[string]uint64
	// members is what the peer knows of each member.
	members    map[string]membership.Member
	marks      []repeated
	nextDigest time.Time
	nextFull   time.Time
}

type repeated struct {
	mark membership.Mark
	left int
}

// wanted is an entry that a peer was asked for.
type wanted struct {
	revision uint64
	at       time.Time
}

// peers is the state of the exchange with other daemons.
type peers struct {
	links map[string]*link
	// chosen are the links that were asked for.
	chosen    map[string]bool
	wants     map[string]wanted
	seen      map[uint64]time.Time
	nextLinks time.Time
	nextProbe time.Time
	sweepAt   time.Time
}

func newPeers() peers {
	return peers{links: map[string]*link{}, chosen: map[string]bool{}, wants: map[string]wanted{}, seen: map[uint64]time.Time{}}
}

func (n *Node) linkNames() []string {
	names := make([]string, 0, len(n.peers.links))
	for name := range n.peers.links {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (n *Node) peerUp(now time.Time, ev PeerUp) []Action {
	name := ev.Peer.Name
	if name == n.o.Name {
		return nil
	}
	n.members.Merge(now, ev.Peer)
	// A second link, or one that a restarted peer opened before the old one
	// was found to be dead, starts from nothing.
	l := &link{peer: ev.Peer, upAt: now, dialed: ev.Dialed, has: map[string]uint64{}, told: map[string]uint64{}, members: map[string]membership.Member{}}
	n.peers.links[name] = l
	for _, m := range n.ups.Marks() {
		l.marks = append(l.marks, repeated{m, 1})
	}
	n.changed = true
	out := []Action{Explain{Subject: "peer/" + name, Text: "linked to " + name + " in " + ev.Peer.DataCentre}}
	out = append(out, n.flushHeld(name)...)
	out = append(out, n.quarantinePeerUp(now, name)...)
	return append(out, n.digest(now, name, l, true))
}

func (n *Node) peerDown(now time.Time, ev PeerDown) []Action {
	if n.peers.links[ev.Peer] == nil {
		return nil
	}
	delete(n.peers.links, ev.Peer)
	n.changed, n.peers.nextLinks = true, now
	return []Action{Explain{Subject: "peer/" + ev.Peer, Text: "no link to " + ev.Peer + " is left"}}
}

func (n *Node) linkFailed(now time.Time, ev LinkFailed) []Action {
	if ev.Peer != "" && n.peers.links[ev.Peer] == nil {
		n.members.Avoid(now, ev.Peer)
		n.peers.nextLinks = now
	}
	return nil
}

func (n *Node) tickPeers(now time.Time) []Action {
	n.members.AdvanceHeartbeat(now, n.applied, n.storeDown, n.draining)
	var out []Action
	if !now.Before(n.peers.nextLinks) {
		n.peers.nextLinks = now.Add(linkInterval)
		out = append(out, n.chooseLinks(now)...)
		n.changed = true
	}
	if !now.Before(n.peers.nextProbe) {
		interval := probeInterval
		if len(n.peers.links) == 0 {
			interval = firstProbeInterval
		}
		n.peers.nextProbe = now.Add(interval*3/4 + time.Duration(n.o.Rand.Int64N(int64(interval/2))))
		if c, ok := n.members.PickProbe(now, n.o.Rand); ok && n.peers.links[c.Name] == nil {
			out = append(out, LinkPeer{Peer: c.Name, Address: c.Address, Once: true})
		}
	}
	for _, name := range n.linkNames() {
		if l := n.peers.links[name]; !now.Before(l.nextDigest) {
			out = append(out, n.digest(now, name, l, false))
		}
	}
	out = append(out, n.retryWants(now)...)
	if !now.Before(n.peers.sweepAt) {
		n.peers.sweepAt = now.Add(noticeMemory / 4)
		for id, at := range n.peers.seen {
			if now.Sub(at) > noticeMemory {
				delete(n.peers.seen, id)
			}
		}
	}
	return out
}

// chooseLinks asks for the links that the choice of membership lacks and gives
// up the ones that it no longer has. A peer that opened a link itself is not
// dialed as well.
func (n *Node) chooseLinks(now time.Time) []Action {
	var out []Action
	chosen := map[string]bool{}
	for _, m := range n.members.Links(now) {
		l := n.peers.links[m.Name]
		if l != nil && !l.dialed && !n.peers.chosen[m.Name] {
			continue
		}
		chosen[m.Name] = true
		if !n.peers.chosen[m.Name] {
			out = append(out, LinkPeer{Peer: m.Name, Address: m.Address})
		}
	}
	for _, name := range sortedSet(n.peers.chosen) {
		if !chosen[name] {
			out = append(out, UnlinkPeer{Peer: name})
		}
	}
	n.peers.chosen = chosen
	for _, name := range n.linkNames() {
		// A probe has served its purpose once heartbeats have crossed it.
		if l := n.peers.links[name]; l.dialed && !chosen[name] && now.Sub(l.upAt) > probeKept {
			l.dialed = false
			out = append(out, UnlinkPeer{Peer: name})
		}
	}
	return out
}

func sortedSet(m map[string]bool) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// digest makes the next digest for a peer. A full one lists all revisions.
func (n *Node) digest(now time.Time, name string, l *link, full bool) Action {
	d := Digest{Hash: n.hash(), Applied: n.applied, Configured: n.configured, Full: full}
	if full {
		l.nextFull = now.Add(fullInterval)
	}
	for _, key := range n.keys() {
		rev := n.revisionOf(key)
		if full || l.told[key] < rev && l.has[key] < rev {
			d.Revisions = append(d.Revisions, KeyRevision{key, rev})
			l.told[key] = rev
		}
	}
	for _, m := range n.members.Live(now) {
		known, ok := l.members[m.Name]
		if m.Name == name || ok && known.Incarnation == m.Incarnation && known.Heartbeat >= m.Heartbeat {
			continue
		}
		u := MemberUpdate{ID: m.ID(), Heartbeat: m.Heartbeat, Applied: m.Applied}
		if !ok || described(known) != described(m) {
			u.Full = &m
		}
		l.members[m.Name] = m
		d.Members = append(d.Members, u)
	}
	for _, r := range l.marks {
		d.Marks = append(d.Marks, r.mark)
	}
	l.marks = slices.DeleteFunc(l.marks, func(r repeated) bool { return r.left <= 1 })
	for i := range l.marks {
		l.marks[i].left--
	}
	l.nextDigest = now.Add(digestInterval*3/4 + time.Duration(n.o.Rand.Int64N(int64(digestInterval/2))))
	return SendPeer{To: name, Msg: d}
}

// described is a member without what changes with every heartbeat.
func described(m membership.Member) membership.Member {
	m.Heartbeat, m.Applied = 0, 0
	return m
}

// announce tells peers of a new revision at once. They ask the first peer that
// tells them for the entry, so that it crosses each link once at most.
func (n *Node) announce(key string, from string) []Action {
	var out []Action
	rev := n.revisionOf(key)
	for _, name := range n.linkNames() {
		l := n.peers.links[name]
		if name == from || l.has[key] >= rev {
			continue
		}
		l.told[key] = rev
		out = append(out, SendPeer{To: name, Msg: Digest{Hash: n.hash(), Applied: n.applied, Configured: n.configured,
			Revisions: []KeyRevision{{key, rev}}}})
	}
	return out
}

// spread passes marks on at once and repeats them in the next digests.
func (n *Node) spread(marks []membership.Mark, from string) []Action {
	if len(marks) == 0 {
		return nil
	}
	var out []Action
	for _, name := range n.linkNames() {
		if name == from {
			continue
		}
		l := n.peers.links[name]
		for _, m := range marks {
			l.marks = append(l.marks, repeated{m, markRepeats})
		}
		out = append(out, SendPeer{To: name, Msg: Digest{Hash: n.hash(), Applied: n.applied, Configured: n.configured, Marks: marks}})
	}
	return out
}

func (n *Node) peerMessage(now time.Time, ev PeerMessage) []Action {
	l := n.peers.links[ev.From]
	if l == nil {
		// From a link that was closed meanwhile. What it carries is protected
		// by revisions and counters, but the answers have no way back.
		return nil
	}
	switch m := ev.Msg.(type) {
	case Digest:
		return n.takeDigest(now, ev.From, l, m)
	case Want:
		return n.takeWant(ev.From, l, m)
	case Documents:
		var out []Action
		for _, e := range m.Entries {
			l.has[e.Key] = max(l.has[e.Key], e.Index)
			out = append(out, n.offer(now, e, "peer "+ev.From, ev.From)...)
			if w, ok := n.peers.wants[e.Key]; ok && n.revisionOf(e.Key) >= w.revision {
				delete(n.peers.wants, e.Key)
			}
		}
		return out
	case Notice:
		return n.notice(now, m, ev.From)
	case Direct:
		if m.Topic == TopicSamples {
			return n.observed(now, m.Body)
		}
		return []Action{DeliverMessage{From: ev.From, Topic: m.Topic, Body: m.Body}}
	}
	return nil
}

func (n *Node) takeDigest(now time.Time, from string, l *link, d Digest) []Action {
	var out []Action
	var want Want
	for _, r := range d.Revisions {
		l.has[r.Key] = max(l.has[r.Key], r.Revision)
		if r.Revision <= n.revisionOf(r.Key) {
			continue
		}
		if w, ok := n.peers.wants[r.Key]; ok && w.revision >= r.Revision && now.Sub(w.at) < wantRetry {
			continue
		}
		n.peers.wants[r.Key] = wanted{r.Revision, now}
		want.Keys = append(want.Keys, r.Key)
	}
	for _, u := range d.Members {
		if u.Full != nil {
			n.members.Merge(now, *u.Full)
			n.peerKnows(l, *u.Full)
			continue
		}
		if !n.members.MergeHeartbeat(now, u.ID, u.Heartbeat, u.Applied) {
			want.Members = append(want.Members, u.ID)
			continue
		}
		m, _ := n.members.ByID(u.ID)
		m.Heartbeat = u.Heartbeat
		n.peerKnows(l, m)
	}
	if len(want.Keys)+len(want.Members) > 0 {
		out = append(out, SendPeer{To: from, Msg: want})
	}
	var news []membership.Mark
	for _, m := range d.Marks {
		if n.ups.ApplyMark(now, m) {
			news = append(news, m)
			if m.State == UpstreamDead {
				out = append(out, n.pollNow(now, m.Address)...)
			}
		}
	}
	out = append(out, n.told(now, news, "peer "+from, from)...)
	switch {
	case d.Hash == n.hash():
		// Equal revisions: what the peer has all documents up to, this daemon
		// has too.
		if d.Configured && (!n.configured || d.Applied > n.applied) {
			n.configured, n.applied, n.changed = true, max(n.applied, d.Applied), true
		}
	case !d.Full && len(d.Revisions) == 0 && !now.Before(l.nextFull):
		// The usual news were lost on the way, or this peer missed some.
		out = append(out, n.digest(now, from, l, true))
	}
	return out
}

// peerKnows notes what a peer said of a member, so that it is not told the same.
func (n *Node) peerKnows(l *link, m membership.Member) {
	old, ok := l.members[m.Name]
	if !ok || m.Incarnation > old.Incarnation || m.Incarnation == old.Incarnation && m.Heartbeat > old.Heartbeat {
		l.members[m.Name] = m
	}
}

func (n *Node) takeWant(from string, l *link, w Want) []Action {
	out := n.sendEntries(from, l, w.Keys)
	var d Digest
	for _, id := range w.Members {
		if m, ok := n.members.ByID(id); ok {
			d.Members = append(d.Members, MemberUpdate{Full: &m})
		}
	}
	if len(d.Members) > 0 {
		d.Hash, d.Applied, d.Configured = n.hash(), n.applied, n.configured
		out = append(out, SendPeer{To: from, Msg: d})
	}
	return out
}

func (n *Node) sendEntries(to string, l *link, keys []string) []Action {
	var out []Action
	var docs Documents
	size := 0
	for _, key := range keys {
		e, ok := n.entry(key)
		if !ok {
			continue
		}
		if size > 0 && size+len(e.Value) > maxDocumentsBytes {
			out, docs, size = append(out, SendPeer{To: to, Msg: docs}), Documents{}, 0
		}
		docs.Entries, size = append(docs.Entries, e), size+len(e.Value)
		l.told[key] = e.Index
	}
	if len(docs.Entries) > 0 {
		out = append(out, SendPeer{To: to, Msg: docs})
	}
	return out
}

// retryWants asks another peer for entries that did not arrive.
func (n *Node) retryWants(now time.Time) []Action {
	var out []Action
	keys := make([]string, 0, len(n.peers.wants))
	for k := range n.peers.wants {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, key := range keys {
		w := n.peers.wants[key]
		if now.Sub(w.at) < wantRetry {
			continue
		}
		delete(n.peers.wants, key)
		if n.revisionOf(key) >= w.revision {
			continue
		}
		var have []string
		for _, name := range n.linkNames() {
			if n.peers.links[name].has[key] >= w.revision {
				have = append(have, name)
			}
		}
		if len(have) > 0 {
			n.peers.wants[key] = wanted{w.revision, now}
			out = append(out, SendPeer{To: have[n.o.Rand.IntN(len(have))], Msg: Want{Keys: []string{key}}})
		}
	}
	return out
}

// notice passes a notice on once and hands it to its handler.
func (n *Node) notice(now time.Time, m Notice, from string) []Action {
	h := fnv.New64a()
	h.Write([]byte(m.Topic))
	h.Write([]byte{0})
	h.Write(m.Body)
	id := h.Sum64()
	if _, ok := n.peers.seen[id]; ok {
		return nil
	}
	n.peers.seen[id] = now
	var out []Action
	if from != "" {
		if m.Topic == TopicAlarm {
			out = append(out, n.alarmed(now, m.Body)...)
		}
		if m.Topic == TopicQuarantine {
			out = append(out, n.quarantineNoticed(now, m.Body)...)
		}
		out = append(out, DeliverMessage{From: from, Topic: m.Topic, Body: m.Body})
	}
	for _, name := range n.linkNames() {
		if name != from {
			out = append(out, SendPeer{To: name, Msg: m})
		}
	}
	return out
}

// keys returns the keys of all entries that peers exchange, in order.
func (n *Node) keys() []string {
	var out []string
	for _, name := range n.revs.Names() {
		if n.revs.InForce(name) != nil {
			out = append(out, revision.Prefix+name)
		}
	}
	for key := range n.moves {
		out = append(out, key)
	}
	sort.Strings(out)
	return out
}

func (n *Node) revisionOf(key string) uint64 {
	if e, ok := n.moves[key]; ok {
		return e.Index
	}
	if len(key) > len(revision.Prefix) && key[:len(revision.Prefix)] == revision.Prefix {
		return n.revs.RevisionOf(key[len(revision.Prefix):])
	}
	return 0
}

func (n *Node) entry(key string) (store.Entry, bool) {
	if e, ok := n.moves[key]; ok {
		return e, true
	}
	if len(key) > len(revision.Prefix) {
		if r := n.revs.InForce(key[len(revision.Prefix):]); r != nil {
			return store.Entry{Key: key, Value: r.Raw, Index: r.Revision}, true
		}
	}
	return store.Entry{}, false
}

// hash identifies the revisions of all entries that peers exchange.
func (n *Node) hash() uint64 { return n.revs.Hash() ^ n.movesHash }

func moveHash(e store.Entry) uint64 {
	if e.Index == 0 {
		return 0
	}
	return revision.EntryHash(e.Key, e.Index)
}
