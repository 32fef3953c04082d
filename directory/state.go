package directory

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/gooseberryroad/gooseberryroad/cutover"
	"github.com/gooseberryroad/gooseberryroad/era"
	"github.com/gooseberryroad/gooseberryroad/quarantine"
	"github.com/gooseberryroad/gooseberryroad/registry"
	"github.com/gooseberryroad/gooseberryroad/routes"
	"github.com/gooseberryroad/gooseberryroad/sources"
	"github.com/gooseberryroad/gooseberryroad/store"
)

// Decoder decodes the entries of the store.
type Decoder interface {
	// Config decodes an operators' configuration; ok is false for other keys.
	Config(e store.Entry) (c routes.Config, ok bool, err error)
	// Instance decodes the registration of an upstream; ok is false for other keys.
	// The ID is set even when the value cannot be read.
	Instance(e store.Entry) (in registry.Instance, ok bool, err error)
	// Order decodes an operator's order to move a service to a version; ok is false
	// for other keys. A removed entry has no value.
	Order(e store.Entry) (o cutover.Order, ok bool, err error)
	// Status decodes the status of such an order; ok is false for other keys. The
	// service is set even when the value cannot be read.
	Status(e store.Entry) (service string, s cutover.Status, ok bool, err error)
}

// PeerPrefix is the prefix of the keys at which daemons register themselves.
const PeerPrefix = "gooseberryroad/daemons/"

// EvidencePrefix is the prefix of the keys at which daemons publish what they
// observe of a version to which a service is moved: EvidencePrefix + service +
// "/" + daemon.
const EvidencePrefix = "gooseberryroad/cutovers/"

// RejectedPrefix is the prefix of the keys at which daemons note which versions of a
// service were reverted, when they write a status: RejectedPrefix + service. The status
// itself is replaced with the next order.
const RejectedPrefix = "gooseberryroad/rejected/"

// CrashPrefix is the prefix of the keys at which daemons publish which request
// contents crashed upstreams: CrashPrefix + daemon.
const CrashPrefix = "gooseberryroad/crashes/"

// PartPrefix is the prefix of the keys at which daemons publish which parts of
// prompts crashed upstreams: PartPrefix + daemon.
const PartPrefix = "gooseberryroad/parts/"

// DutyPrefix is the prefix of the keys of duties: who holds each one, and what its holder has
// decided.
const DutyPrefix = "gooseberryroad/duties/"

// maxRecentChanges and maxRecentBytes bound the changes kept for daemons that follow
// this one, by number and by the bytes of their keys and values; up to twice as many are
// kept before the oldest are dropped. A daemon that is further behind gets a snapshot.
const (
	maxRecentChanges = 512
	maxRecentBytes   = 2 << 20
)

// peerEntry is the value that a daemon registers.
type peerEntry struct {
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// LinkMbps is the bandwidth of the VM's network link in Mbit/s; 0 is unknown.
	LinkMbps float64 `json:"link_mbps,omitempty"`
}

// View is an immutable snapshot of the directory.
type View struct {
	// Table is nil until a configuration is known.
	Table *routes.Table
	// Upstreams holds the instances of each service that may get work: those that
	// are not draining.
	Upstreams map[string][]registry.Instance
	// All holds all instances, draining ones included.
	All []registry.Instance
	// Cutovers holds the orders to move a service to a version, by service.
	Cutovers map[string]Cutover
	// Rejected holds the versions that were reverted, by service, as they were last noted in
	// the store.
	Rejected map[string]cutover.Rejected
	// Crashes holds, for each request content, the largest number of crashes that
	// one daemon published.
	Crashes map[quarantine.Hash]int
	// PartReports holds what daemons published of prompt parts that crash upstreams, by
	// the daemon's name.
	PartReports map[string]PartReport
	// Peers holds the names of the registered daemons, PeerList the daemons themselves.
	Peers    []string
	PeerList []sources.Peer
	// Duties holds the entries below DutyPrefix, by key.
	Duties map[string]store.Entry
	// Daemons is the number of registered daemons, this one included; at least 1.
	Daemons int
	// Revision is the store's revision at which the view was made.
	Revision uint64
	// Ready says that a configuration and the upstreams have been read.
	Ready bool
}

// Cutover is an order to move a service with its status and the daemons'
// evidence.
type Cutover struct {
	Order  cutover.Order
	Status cutover.Status
	// Unconfirmed says that the order stays in force although the store does not hold it
	// since it was restored from an older copy. No status of it is written meanwhile.
	Unconfirmed bool
	// Evidence is what each daemon published, by the daemon's name.
	Evidence map[string]cutover.Evidence
}

// PartReport is a daemon's report at a revision of the store, read at a time.
type PartReport struct {
	Report   quarantine.PartReport
	Revision uint64
	ReadAt   time.Time
}

// state is the decoded content of the store. It is owned by the goroutine of a
// Follower.
type state struct {
	log     *slog.Logger
	decoder Decoder
	// entries holds the store's entries as they were read, for the relay. keeper holds what
	// is in force in their place since the store was restored from an older copy.
	entries map[string]store.Entry
	keeper  era.Keeper
	// config is the entry of the newest configuration that was read. othersAsked says that
	// other daemons were asked for a newer one: a store that tells an era may have been
	// restored from an older copy right before this daemon read it.
	config      store.Entry
	othersAsked bool
	// orderKeys and statusKeys hold the keys of the orders and statuses by service.
	orderKeys, statusKeys map[string]string
	revision              uint64
	// confirmedAt is when the store last confirmed the content.
	confirmedAt time.Time
	loaded      bool
	// compacted says that the store no longer has the changes after revision.
	compacted bool
	// revisionUnknown says that the entries may be from before the store was restored, and
	// that revision tells the era only.
	revisionUnknown bool
	// sourceWorking says that, by its last answer, the current source is up to date:
	// the store answered, or the followed daemon sees the store. storeReachable says
	// that the last call to the store succeeded.
	sourceWorking  bool
	storeReachable bool
	// storeLostAt is when the store stopped answering this daemon, and othersServedAt
	// when it last confirmed content to another daemon after that.
	storeLostAt, othersServedAt time.Time
	registry                    *registry.Registry
	// recoveryRevision is the store's revision when it became available again after
	// the last outage; 0 is unknown. Later removals were made by a working store.
	recoveryRevision uint64
	table            *routes.Table
	// recent holds the changes after the revision recentFrom, oldest first.
	recent     []store.Change
	recentFrom uint64
	// recentBytes is the size of the keys and values in recent.
	recentBytes int
	// peers holds the registered daemons by key.
	peers        map[string]sources.Peer
	peersChanged bool
	orders       map[string]cutover.Order
	statuses     map[string]cutover.Status
	evidence     map[string]map[string]cutover.Evidence
	rejected     map[string]cutover.Rejected
	// crashes holds the crash counts that daemons published, by key.
	crashes map[string]map[quarantine.Hash]int
	// partReports holds the reports on prompt parts, by the daemon's name.
	partReports map[string]PartReport
	// duties holds the entries of duties, by key.
	duties map[string]store.Entry
	dirty  bool
}

func newState(d Decoder, log *slog.Logger) *state {
	return &state{
		log: log, decoder: d, entries: map[string]store.Entry{},
		registry: registry.New(), peers: map[string]sources.Peer{},
		orders: map[string]cutover.Order{}, statuses: map[string]cutover.Status{}, evidence: map[string]map[string]cutover.Evidence{},
		orderKeys: map[string]string{}, statusKeys: map[string]string{},
		rejected: map[string]cutover.Rejected{},
		crashes:  map[string]map[quarantine.Hash]int{}, partReports: map[string]PartReport{},
		duties: map[string]store.Entry{},
	}
}

// applySnapshot replaces all entries by those of the store at a revision. A
// snapshot that is older than the known revision is ignored.
func (s *state) applySnapshot(entries []store.Entry, revision uint64, now time.Time) {
	if s.loaded && revision < s.revision {
		s.log.Info("store content of an older revision ignored", "revision", store.Shown(revision), "known", store.Shown(s.revision))
		return
	}
	if s.loaded && store.EraOf(revision) > store.EraOf(s.revision) {
		s.applyRestored(entries, revision, now)
	} else {
		seen := make(map[string]bool, len(entries))
		// Content without an index may be from before a restore, with indexes that are too high.
		unordered := store.EraOf(s.revision) > 0 && store.RevisionOf(s.revision) == 0
		for _, e := range entries {
			seen[e.Key] = true
			if old, ok := s.entries[e.Key]; !ok || old.Index < e.Index || unordered && old.Index > e.Index ||
				old.Index == e.Index && !bytes.Equal(old.Value, e.Value) {
				s.write(e, now)
			}
		}
		for key := range s.entries {
			if !seen[key] {
				s.remove(key, false, now)
			}
		}
	}
	s.revision = revision
	s.recent, s.recentFrom, s.recentBytes = nil, revision, 0
	s.loaded, s.compacted = true, false
	s.dirty = true
}

// applyChanges applies changes in the order in which the store made them.
// Changes up to the known revision have already arrived through another daemon
// and are skipped.
func (s *state) applyChanges(changes []store.Change, revision uint64, now time.Time) {
	for _, c := range changes {
		if c.Index <= s.revision {
			continue
		}
		s.keepChange(c)
		if c.Deleted {
			s.remove(c.Key, s.recoveryRevision != 0 && c.Index > s.recoveryRevision, now)
		} else {
			s.write(c.Entry, now)
		}
	}
	s.revision = max(s.revision, revision)
}

// applyRestored replaces all entries by those of a store that was restored from an older
// copy, except for what stays in force until it was written again.
func (s *state) applyRestored(entries []store.Entry, revision uint64, now time.Time) {
	s.othersAsked = true
	draining := s.registry.StoreRestored(now)
	s.recoveryRevision = revision
	plan := s.keeper.Restored(s.entries, entries, s.classOf, now)
	known := s.entries
	s.entries = make(map[string]store.Entry, len(entries))
	for _, key := range plan.Remove {
		s.entries[key] = known[key]
	}
	for _, e := range entries {
		if _, ok := known[e.Key]; ok {
			s.entries[e.Key] = e
		}
	}
	for _, e := range plan.Put {
		if !s.continueOrder(e) {
			s.put(e, now)
		}
	}
	for _, key := range plan.Remove {
		s.remove(key, false, now)
	}
	keptByKey := slices.DeleteFunc(slices.Clone(plan.Kept), isLeased)
	s.log.Warn("store was restored from an older copy", "era", store.EraOf(revision), "previous_era", store.EraOf(s.revision),
		"revision", store.RevisionOf(revision), "previous_revision", store.RevisionOf(s.revision), "configuration", s.configVersion(),
		"kept", keptByKey, "kept_of_daemons", len(plan.Kept)-len(keptByKey), "draining", draining, "lapsed", len(plan.Remove))
}

// classOf returns how long the value of a key stays in force after the store was restored
// from an older copy. Upstreams have a rule of their own in the registry.
func (s *state) classOf(key string) era.Class {
	e := store.Entry{Key: key}
	if _, ok, _ := s.decoder.Config(e); ok {
		return era.Lasting
	}
	if _, _, ok, _ := s.decoder.Status(e); ok {
		return era.Lasting
	}
	if _, ok, _ := s.decoder.Order(e); ok {
		return era.Brief
	}
	switch {
	case strings.HasPrefix(key, RejectedPrefix):
		return era.Lasting
	case isLeased(key):
		return era.Brief
	}
	return era.Immediate
}

// isLeased reports whether a daemon writes the key under its lease.
func isLeased(key string) bool {
	return strings.HasPrefix(key, PeerPrefix) || strings.HasPrefix(key, CrashPrefix) || strings.HasPrefix(key, PartPrefix) || strings.HasPrefix(key, EvidencePrefix)
}

// write applies a write of the store.
func (s *state) write(e store.Entry, now time.Time) {
	if s.withinVerdict(e) {
		s.entries[e.Key] = e
		s.dirty = true
		return
	}
	if _, first := s.keeper.Written(e.Key, now); first && s.continueOrder(e) {
		return
	}
	s.put(e, now)
}

// continueOrder reports whether e repeats the order that is in force, as its operator does
// after the store was restored from an older copy. It stays the same order, so that it is
// not carried out a second time.
func (s *state) continueOrder(e store.Entry) bool {
	o, ok, err := s.decoder.Order(e)
	known, exists := s.orders[o.Service]
	if !ok || err != nil || !exists || o.Target != known.Target || o.TimeLimit != known.TimeLimit {
		return false
	}
	s.entries[e.Key] = e
	s.dirty = true
	s.log.Info("order to move a service was written again", "service", o.Service, "target", o.Target, "revision", store.Shown(o.Revision))
	return true
}

// withinVerdict reports whether e says that an order is running whose verdict was lost
// when the store was restored. A daemon that did not know the verdict wrote it.
func (s *state) withinVerdict(e store.Entry) bool {
	service, status, ok, err := s.decoder.Status(e)
	if !ok || err != nil {
		return false
	}
	if _, kept := s.keeper.InForce(e.Key); !kept {
		return false
	}
	o, known := s.orders[service], s.statuses[service]
	final := func(st cutover.State) bool { return st == cutover.Completed || st == cutover.Reverted }
	return status.Target == known.Target && final(known.State) && !final(status.State) && !o.Open(known)
}

// expireKept applies the store's content in place of values that stayed in force since it
// was restored and whose time is over.
func (s *state) expireKept(now time.Time) {
	ended := s.keeper.Expire(now)
	for _, key := range ended {
		if e, ok := s.entries[key]; ok {
			s.put(e, now)
		} else {
			s.drop(store.Entry{Key: key}, false, now)
		}
	}
	if len(ended) > 0 {
		s.log.Warn("entries that the restored store lacks were not written again; its content is in force", "keys", ended)
	}
}

// cutover returns an order with its status as they are in force. The revision of the
// status is that of the store's entry, on which a write depends.
func (s *state) cutover(service string, o cutover.Order) Cutover {
	c := Cutover{Order: o, Status: s.statuses[service], Evidence: maps.Clone(s.evidence[service])}
	inStore, statusExists := s.entries[s.statusKeys[service]]
	ofOrder := c.Status.Target == o.Target && c.Status.Revision >= o.Revision
	if !ofOrder {
		c.Status = cutover.Status{}
	}
	c.Status.Revision = store.At(store.EraOf(s.revision), 0)
	if statusExists {
		c.Status.Revision = inStore.Index
	}
	order, orderExists := s.entries[s.orderKeys[service]]
	_, orderKept := s.keeper.InForce(s.orderKeys[service])
	_, statusKept := s.keeper.InForce(s.statusKeys[service])
	c.Unconfirmed = orderKept || !orderExists
	c.Status.Lost = !c.Unconfirmed && ofOrder && store.EraOf(o.Revision) < store.EraOf(s.revision) && c.Status.State != "" && (statusKept || inStore.Index < order.Index)
	return c
}

// contentEntries returns the entries for other daemons. In a store that may have been
// restored from an older copy, the newest configuration takes the place of the copy's: a
// daemon that starts meanwhile learns of revoked keys from it.
func (s *state) contentEntries() []store.Entry {
	out := make([]store.Entry, 0, len(s.entries)+1)
	newestConfig := store.EraOf(s.revision) > 0 && s.config.Key != ""
	for _, e := range s.entries {
		if !newestConfig || e.Key != s.config.Key {
			out = append(out, e)
		}
	}
	if newestConfig {
		e := s.config
		e.Index = max(s.entries[e.Key].Index, store.At(store.EraOf(s.revision), 0))
		out = append(out, e)
	}
	return out
}

// takeNewerConfig puts the newest of other daemons' configurations in force and reports
// whether it is newer than the one that was known. Versions of the configuration are the
// same in all eras.
func (s *state) takeNewerConfig(entries []store.Entry) (taken bool) {
	for _, e := range entries {
		c, ok, err := s.decoder.Config(e)
		if ok && err == nil && (s.table == nil || c.Version > s.table.Version()) {
			s.log.Warn("newer configuration of another daemon", "version", c.Version, "known", s.configVersion(), "revision", store.Shown(s.revision))
			s.putConfig(e)
			taken = true
		}
	}
	return taken
}

// configVersion returns the version of the configuration in force; 0 if there is none.
func (s *state) configVersion() int64 {
	if s.table == nil {
		return 0
	}
	return s.table.Version()
}

// keepChange keeps a change for the followers. Old changes are dropped in bulk.
func (s *state) keepChange(c store.Change) {
	s.recent = append(s.recent, c)
	s.recentBytes += changeBytes(c)
	if len(s.recent) <= 2*maxRecentChanges && s.recentBytes <= 2*maxRecentBytes {
		return
	}
	dropped := 0
	for len(s.recent)-dropped > maxRecentChanges || s.recentBytes > maxRecentBytes {
		s.recentBytes -= changeBytes(s.recent[dropped])
		dropped++
	}
	s.recentFrom = s.recent[dropped-1].Index
	s.recent = slices.Clone(s.recent[dropped:])
}

func changeBytes(c store.Change) int { return len(c.Key) + len(c.Value) }

func (s *state) put(e store.Entry, now time.Time) {
	switch {
	case s.putConfig(e):
	case s.putInstance(e, now):
	case s.putPeer(e):
	case s.putCutover(e):
	case s.putRejected(e):
	case s.putCrashes(e):
	case s.putPartReport(e, now):
	case s.putDuty(e):
	default:
		return
	}
	s.entries[e.Key] = e
}

func (s *state) putConfig(e store.Entry) bool {
	c, ok, err := s.decoder.Config(e)
	if !ok {
		return false
	}
	if err != nil {
		s.log.Error("configuration cannot be read; the current one stays in force", "revision", store.Shown(e.Index), "cause", err)
		return true
	}
	if s.table != nil && c.Version < s.table.Version() {
		s.log.Warn("older configuration ignored", "version", c.Version, "known", s.table.Version())
		return true
	}
	s.table = routes.NewTable(c)
	s.config = e
	s.dirty = true
	s.log.Info("configuration in force", "version", c.Version, "revision", store.Shown(e.Index), "routes", len(c.Routes), "accounts", len(c.Accounts))
	return true
}

func (s *state) putInstance(e store.Entry, now time.Time) bool {
	in, ok, err := s.decoder.Instance(e)
	if !ok {
		return false
	}
	if err != nil {
		s.log.Warn("registration of an upstream cannot be read", "upstream", in.ID, "revision", store.Shown(e.Index), "cause", err)
		s.registry.Remove(in.ID, now)
		return true
	}
	s.registry.Put(in)
	s.log.Info("upstream registered", "upstream", in.ID, "service", in.Service, "data_centre", in.DataCentre,
		"version", in.Version, "draining", in.Draining, "revision", store.Shown(e.Index))
	return true
}

func (s *state) putPeer(e store.Entry) bool {
	name, ok := strings.CutPrefix(e.Key, PeerPrefix)
	if !ok {
		return false
	}
	var p peerEntry
	if err := json.Unmarshal(e.Value, &p); err != nil {
		s.log.Warn("registration of a daemon cannot be read", "daemon", name, "cause", err)
		return true
	}
	s.peers[e.Key] = sources.Peer{Name: name, Address: p.Address, DataCentre: p.DataCentre, LinkMbps: p.LinkMbps}
	s.peersChanged, s.dirty = true, true
	return true
}

func (s *state) putCrashes(e store.Entry) bool {
	daemon, ok := strings.CutPrefix(e.Key, CrashPrefix)
	if !ok {
		return false
	}
	var counts map[quarantine.Hash]int
	if err := json.Unmarshal(e.Value, &counts); err != nil {
		s.log.Warn("crash counts of a daemon cannot be read", "daemon", daemon, "cause", err)
		return true
	}
	s.crashes[e.Key] = counts
	s.dirty = true
	return true
}

func (s *state) putPartReport(e store.Entry, now time.Time) bool {
	daemon, ok := strings.CutPrefix(e.Key, PartPrefix)
	if !ok {
		return false
	}
	r := PartReport{Revision: e.Index, ReadAt: now}
	if err := json.Unmarshal(e.Value, &r.Report); err != nil {
		s.log.Warn("report of a daemon on prompt parts cannot be read", "daemon", daemon, "cause", err)
		return true
	}
	s.partReports[daemon] = r
	s.dirty = true
	return true
}

// putDuty stores an entry of a duty. Entries are decoded by those who perform duties.
func (s *state) putDuty(e store.Entry) bool {
	if !strings.HasPrefix(e.Key, DutyPrefix) {
		return false
	}
	s.duties[e.Key] = e
	s.dirty = true
	return true
}

// putCutover stores orders to move a service, their status and the daemons'
// evidence.
func (s *state) putCutover(e store.Entry) bool {
	if o, ok, err := s.decoder.Order(e); ok {
		if err != nil {
			s.log.Warn("move order cannot be read", "revision", store.Shown(e.Index), "cause", err)
			return true
		}
		s.orders[o.Service], s.orderKeys[o.Service] = o, e.Key
		s.log.Info("order to move a service", "service", o.Service, "target", o.Target, "over", o.TimeLimit, "revision", store.Shown(o.Revision))
	} else if service, status, ok, err := s.decoder.Status(e); ok {
		if err != nil {
			s.log.Warn("status of a move order cannot be read", "service", service, "revision", store.Shown(e.Index), "cause", err)
		}
		s.statuses[service], s.statusKeys[service] = status, e.Key
		s.log.Info("status of a move order", "service", service, "target", status.Target, "state", status.State, "revision", store.Shown(e.Index))
	} else if rest, ok := strings.CutPrefix(e.Key, EvidencePrefix); ok {
		service, daemon, _ := strings.Cut(rest, "/")
		var ev cutover.Evidence
		if err := json.Unmarshal(e.Value, &ev); err != nil {
			s.log.Warn("evidence of a daemon cannot be read", "key", e.Key, "cause", err)
			return true
		}
		if s.evidence[service] == nil {
			s.evidence[service] = map[string]cutover.Evidence{}
		}
		s.evidence[service][daemon] = ev
	} else {
		return false
	}
	s.dirty = true
	return true
}

// putRejected stores which versions of a service were reverted.
func (s *state) putRejected(e store.Entry) bool {
	service, ok := strings.CutPrefix(e.Key, RejectedPrefix)
	if !ok {
		return false
	}
	var versions cutover.Rejected
	if err := json.Unmarshal(e.Value, &versions); err != nil {
		s.log.Warn("reverted versions cannot be read", "service", service, "revision", store.Shown(e.Index), "cause", err)
		return true
	}
	s.rejected[service] = versions
	s.dirty = true
	s.log.Info("reverted versions", "service", service, "versions", versions, "revision", store.Shown(e.Index))
	return true
}

// removeCutover removes an order, its status or the versions that were reverted.
func (s *state) removeCutover(e store.Entry) {
	if o, ok, _ := s.decoder.Order(e); ok {
		delete(s.orders, o.Service)
		s.dirty = true
	}
	if service, _, ok, _ := s.decoder.Status(e); ok {
		delete(s.statuses, service)
		s.dirty = true
	}
	if service, ok := strings.CutPrefix(e.Key, RejectedPrefix); ok {
		delete(s.rejected, service)
		s.dirty = true
	}
}

// remove removes an entry. afterOutage says that the store was available again after
// the last outage when it removed the entry.
func (s *state) remove(key string, afterOutage bool, now time.Time) {
	e, known := s.entries[key]
	if _, kept := s.keeper.InForce(key); !known && !kept {
		return
	} else if !known {
		// The restored store lacks it, and its owner removes it nevertheless.
		e.Key = key
	}
	delete(s.entries, key)
	s.keeper.Written(key, now)
	if known {
		s.keeper.Removed(e, now)
	}
	s.drop(e, afterOutage, now)
}

// drop forgets an entry that is not in force any more.
func (s *state) drop(e store.Entry, afterOutage bool, now time.Time) {
	key := e.Key
	if strings.HasPrefix(key, PeerPrefix) {
		delete(s.peers, key)
		s.peersChanged, s.dirty = true, true
		return
	}
	if strings.HasPrefix(key, CrashPrefix) {
		delete(s.crashes, key)
		s.dirty = true
		return
	}
	if daemon, ok := strings.CutPrefix(key, PartPrefix); ok {
		delete(s.partReports, daemon)
		s.dirty = true
		return
	}
	if strings.HasPrefix(key, DutyPrefix) {
		delete(s.duties, key)
		s.dirty = true
		return
	}
	s.removeCutover(e)
	if in, ok, _ := s.decoder.Instance(e); ok {
		if afterOutage {
			s.registry.RemoveAfterOutage(in.ID, now)
		} else {
			s.registry.Remove(in.ID, now)
		}
		s.log.Info("upstream removed", "upstream", in.ID, "service", in.Service,
			"near_outage", s.registry.NearOutage(now), "after_outage", afterOutage)
	}
}

// storeFailed records that a call to the store failed. While the store serves other
// daemons, the outage is this daemon's own: upstreams renew their registrations, and
// those that vanish are gone.
func (s *state) storeFailed(now time.Time) {
	s.storeReachable, s.sourceWorking = false, false
	if s.othersServedAt.After(s.storeLostAt) && now.Sub(s.othersServedAt) < othersServedFor {
		return
	}
	if !s.registry.StoreDown() {
		s.storeLostAt = now
	}
	s.registry.StoreUnavailable()
}

// noteStoreOfOthers records whether the store serves other daemons while it does not answer
// this one. Content that was confirmed before this daemon lost the store shows
// nothing.
func (s *state) noteStoreOfOthers(u Update, now time.Time) {
	at := now.Add(-u.Age)
	switch {
	case !u.UpToDate || u.NearOutage:
		s.othersServedAt = time.Time{}
	case at.After(s.storeLostAt):
		if s.registry.StoreDown() {
			s.log.Info("store serves other daemons; entries missing there are gone", "revision", u.Revision, "age", u.Age)
		}
		s.othersServedAt = at
		s.registry.RemoteConfirmed()
	}
}

// view returns a new view if anything changed since the last call; confirmed is
// when the store last confirmed the content.
func (s *state) view(confirmed time.Time) (*View, bool) {
	if dropped := s.registry.ExpireLapsed(confirmed); len(dropped) > 0 {
		s.log.Info("removed upstreams are used no longer", "upstreams", dropped, "revision", store.Shown(s.revision))
	}
	if !s.registry.TakeChanged() && !s.dirty {
		return nil, false
	}
	s.dirty = false
	v := &View{
		Table:     s.table,
		Upstreams: map[string][]registry.Instance{},
		All:       s.registry.Instances(),
		Daemons:   max(len(s.peers), 1),
		Revision:  s.revision,
		Ready:     s.loaded && s.table != nil && !s.mustAskOthers(),
		Cutovers:  map[string]Cutover{},
		Crashes:   map[quarantine.Hash]int{},
	}
	for _, counts := range s.crashes {
		for h, n := range counts {
			v.Crashes[h] = max(v.Crashes[h], n)
		}
	}
	v.PartReports = maps.Clone(s.partReports)
	// The maps of single services are replaced, not changed.
	v.Rejected = maps.Clone(s.rejected)
	for service, o := range s.orders {
		v.Cutovers[service] = s.cutover(service, o)
	}
	v.Duties = maps.Clone(s.duties)
	for _, p := range s.peers {
		v.Peers = append(v.Peers, p.Name)
		v.PeerList = append(v.PeerList, p)
	}
	for _, in := range v.All {
		if !in.Draining {
			v.Upstreams[in.Service] = append(v.Upstreams[in.Service], in)
		}
	}
	return v, true
}

// mustAskOthers reports whether other daemons have to be asked for a newer configuration
// before this one is used.
func (s *state) mustAskOthers() bool {
	return s.loaded && !s.othersAsked && store.EraOf(s.revision) > 0
}

// peerList returns the registered daemons.
func (s *state) peerList() []sources.Peer {
	out := make([]sources.Peer, 0, len(s.peers))
	for _, p := range s.peers {
		out = append(out, p)
	}
	return out
}
