package bench

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"time"

	"github.com/gooseberryroad/gooseberryroad/document"
	"github.com/gooseberryroad/gooseberryroad/engine"
	"github.com/gooseberryroad/gooseberryroad/membership"
	"github.com/gooseberryroad/gooseberryroad/node"
	"github.com/gooseberryroad/gooseberryroad/peer"
	"github.com/gooseberryroad/gooseberryroad/revision"
	"github.com/gooseberryroad/gooseberryroad/store"
)

// Target sizes of a fleet, from section 1.6 of the design page.
const (
	targetDaemons     = 350
	targetReplicas    = 2500
	targetModels      = 6
	targetAccounts    = 1400
	targetDataCentres = 9
	targetRegions     = 4
	// targetHeartbeatsPerSecond is the bound on the heartbeats of the whole fleet per
	// second. Each heartbeat crosses every link.
	targetHeartbeatsPerSecond = 14
)

// NodeSize is the cost of one daemon's control state at the target sizes. It is
// measured on package node in virtual time and without sockets.
type NodeSize struct {
	Daemons     int     `json:"daemons"`
	Replicas    int     `json:"replicas"`
	Accounts    int     `json:"accounts"`
	StoredBytes int     `json:"stored_bytes"`
	HeapBytes   int64   `json:"heap_bytes"`
	Members     int     `json:"members_alive"`
	Steps       int     `json:"steps"`
	StepMeanUS  float64 `json:"step_mean_us"`
	StepMaxMS   float64 `json:"step_max_ms"`
	// CPUShare is the real time spent in all calls of Step divided by the virtual
	// time.
	CPUShare float64 `json:"cpu_share"`
	// Links is the number of links. MessageBytesInPerSecond and
	// MessageBytesOutPerSecond are the bytes of messages on all of them, without the
	// transport's framing and pings.
	Links                    int     `json:"links"`
	MessageBytesInPerSecond  float64 `json:"message_bytes_in_per_s"`
	MessageBytesOutPerSecond float64 `json:"message_bytes_out_per_s"`
	// Upstreams is the number of upstreams of all services in the snapshot,
	// LoadReports the number of load reports received during the measurement.
	Upstreams   int `json:"upstreams"`
	LoadReports int `json:"load_reports"`
	// ChangeMS is the time of the Step that applies one changed document, in
	// milliseconds.
	ChangeMS float64 `json:"change_ms"`
}

// nodeDriver simulates the fleet around one node: it gives the node the events
// that its peers, the store and the engines would cause.
type nodeDriver struct {
	node          *node.Node
	now           time.Time
	entries       map[string][]store.Entry
	index         uint64
	members       []membership.Member
	links         map[string]bool
	lastHeartbeat int

	// bytesIn and bytesOut are bytes of messages from and to peers.
	bytesIn, bytesOut, loadReports int
	steps                          int
	stepTime, longestStep          time.Duration
}

// MeasureNode runs one node at the target sizes for a minute of virtual time,
// after a warm-up of ten seconds.
func MeasureNode(seed uint64) NodeSize {
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	d := newNodeDriver(seed)
	for range 10 {
		d.advanceSecond()
	}
	d.bytesIn, d.bytesOut, d.loadReports, d.steps, d.stepTime, d.longestStep = 0, 0, 0, 0, 0, 0
	const seconds = 60
	for range seconds {
		d.advanceSecond()
	}
	out := NodeSize{Daemons: targetDaemons, Replicas: targetReplicas, Accounts: targetAccounts,
		Members: len(d.node.Snapshot().Members), Steps: d.steps,
		StepMeanUS: float64(d.stepTime.Microseconds()) / float64(d.steps), StepMaxMS: milliseconds(d.longestStep),
		CPUShare: d.stepTime.Seconds() / seconds, Links: len(d.links),
		MessageBytesInPerSecond: float64(d.bytesIn) / seconds, MessageBytesOutPerSecond: float64(d.bytesOut) / seconds}
	for _, v := range d.node.Snapshot().Services {
		out.Upstreams += len(v.Upstreams)
	}
	out.LoadReports = d.loadReports
	d.longestStep = 0
	d.index++
	changed := d.entries[revision.Prefix][0]
	changed.Index = d.index
	d.entries[revision.Prefix][0] = changed
	d.step(node.StoreWrote{Key: changed.Key, Value: changed.Value, Index: changed.Index})
	out.ChangeMS = milliseconds(d.longestStep)
	runtime.GC()
	runtime.ReadMemStats(&after)
	// The driver's copies of the documents are not part of the node's state, so they
	// are subtracted.
	for _, e := range d.entries[revision.Prefix] {
		out.StoredBytes += len(e.Value)
	}
	out.HeapBytes = int64(after.HeapAlloc) - int64(before.HeapAlloc) - int64(out.StoredBytes)
	runtime.KeepAlive(d)
	return out
}

func newNodeDriver(seed uint64) *nodeDriver {
	d := &nodeDriver{now: time.Unix(1_700_000_000, 0), entries: map[string][]store.Entry{}, links: map[string]bool{}}
	for i := range targetDaemons {
		d.members = append(d.members, membership.Member{Name: fmt.Sprintf("d%03d", i), DataCentre: fmt.Sprintf("dc%d", i%targetDataCentres),
			Region: fmt.Sprintf("r%d", i%targetDataCentres%targetRegions), Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), Incarnation: uint64(1000 + i), Heartbeat: 1})
	}
	self := d.members[0]
	d.node = node.New(node.Options{Name: self.Name, DataCentre: self.DataCentre, Region: self.Region, PeerAddress: self.Address,
		Incarnation: self.Incarnation, Rand: rand.New(rand.NewPCG(seed, 1))})
	for m := range targetModels {
		d.index++
		name := fmt.Sprintf("model-%d", m)
		v := revision.Envelope{Team: targetTeam, WriteID: name, At: d.now, Document: targetDocument(name, m)}
		d.entries[revision.Prefix] = append(d.entries[revision.Prefix], store.Entry{Key: revision.Prefix + name, Value: v.Encode(), Index: d.index})
	}
	d.step(node.PeerUp{Peer: d.members[1]})
	d.links[d.members[1].Name] = true
	full := node.Digest{}
	for i := range d.members {
		full.Members = append(full.Members, node.MemberUpdate{Full: &d.members[i]})
	}
	d.step(node.PeerMessage{From: d.members[1].Name, Msg: full})
	// Only a few daemons are elected to watch the store; the others, like this one,
	// receive documents from peers.
	d.step(node.PeerMessage{From: d.members[1].Name, Msg: node.Documents{Entries: d.entries[revision.Prefix]}})
	return d
}

const targetTeam = "team"

// targetDocument returns the document of service m, with its sixth of all replicas
// and with all accounts.
func targetDocument(name string, m int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[service]\nname = %s\nteam = %s\nkind = model\nmodel = %s\nresumes = true\n[versions]\nserving = v1\n", name, targetTeam, name)
	for i := m; i < targetReplicas; i += targetModels {
		dc := i / targetModels % targetDataCentres
		fmt.Fprintf(&b, "[upstream.u%04d]\naddress = 10.1.%d.%d:8000\ndatacentre = dc%d\nregion = r%d\nversion = v1\n", i, i/250, i%250, dc, dc%targetRegions)
	}
	for i := range targetAccounts {
		fmt.Fprintf(&b, "[account.a%04d]\nkey_sha256 = %s\n", i, document.HashKey(fmt.Sprint("key", i)))
	}
	return b.String()
}

// advanceSecond advances virtual time by one second. The node receives its ticks
// and a digest of heartbeats on every link.
func (d *nodeDriver) advanceSecond() {
	for range 10 {
		d.now = d.now.Add(node.TickInterval)
		d.step(node.Tick{})
	}
	digest := node.Digest{Applied: d.index, Configured: true}
	for range targetHeartbeatsPerSecond {
		d.lastHeartbeat = d.lastHeartbeat%(len(d.members)-1) + 1
		m := &d.members[d.lastHeartbeat]
		m.Heartbeat++
		digest.Members = append(digest.Members, node.MemberUpdate{ID: m.ID(), Heartbeat: m.Heartbeat, Applied: d.index})
	}
	for _, from := range sortedKeys(d.links) {
		d.bytesIn += peer.EncodedSize(digest)
		d.step(node.PeerMessage{From: from, Msg: digest})
	}
}

func (d *nodeDriver) member(name string) membership.Member {
	for _, m := range d.members {
		if m.Name == name {
			return m
		}
	}
	return membership.Member{Name: name}
}

// step gives an event to the node and, for the resulting actions, the events that
// they would cause. It measures the time of each Step.
func (d *nodeDriver) step(ev node.Event) {
	began := time.Now()
	actions := d.node.Step(d.now, ev)
	took := time.Since(began)
	d.steps++
	d.stepTime += took
	d.longestStep = max(d.longestStep, took)
	for _, a := range actions {
		switch a := a.(type) {
		case node.WatchStore:
			if a.Index < d.index {
				d.step(node.StoreListed{Prefix: a.Prefix, Watch: a.Watch, Entries: d.entries[a.Prefix], Index: d.index})
			}
		case node.PollLoad:
			d.loadReports++
			d.step(node.LoadReported{Address: a.Address, Load: engine.Load{At: d.now, MemoryBytes: 1 << 30, Version: "v1", Incarnation: a.Address}})
		case node.LinkPeer:
			if !d.links[a.Peer] && a.Peer != "" {
				d.links[a.Peer] = true
				d.step(node.PeerUp{Peer: d.member(a.Peer), Dialed: true})
			}
		case node.SendPeer:
			d.bytesOut += peer.EncodedSize(a.Msg)
		case node.UnlinkPeer:
			delete(d.links, a.Peer)
			d.step(node.PeerDown(a))
		}
	}
}
