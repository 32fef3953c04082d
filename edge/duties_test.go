package edge

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberryroad/gooseberryroad/directory"
	"github.com/gooseberryroad/gooseberryroad/drain"
	"github.com/gooseberryroad/gooseberryroad/registry"
	"github.com/gooseberryroad/gooseberryroad/routes"
	"github.com/gooseberryroad/gooseberryroad/sizing"
	"github.com/gooseberryroad/gooseberryroad/sources"
	"github.com/gooseberryroad/gooseberryroad/store"
	"github.com/gooseberryroad/gooseberryroad/usage"
)

const (
	testLease  = 3 * time.Second
	testWindow = 5 * time.Second
	// viewLag is how late a daemon sees a change of the store.
	viewLag = 300 * time.Millisecond
	// linkTime is how long a call takes.
	linkTime = 5 * time.Millisecond
	// traffic is the time between two requests at each daemon.
	traffic = 50 * time.Millisecond
)

// fakeStore is the store of a dutyWorld.
type fakeStore struct {
	mu       sync.Mutex
	era      uint64
	revision uint64
	entries  map[string]store.Entry
	leaseOf  map[string]uint64
	leases   map[uint64]time.Time
	next     uint64
	history  []storeState
	writes   int
	// table is the configuration, instances are the registered upstreams.
	table     *routes.Table
	instances []registry.Instance
}

type storeState struct {
	at      time.Time
	era     uint64
	view    *directory.View
	entries map[string]store.Entry
}

// changed keeps the content. The caller holds s.mu.
func (s *fakeStore) changed(peers []sources.Peer) {
	v := &directory.View{Table: s.table, Revision: s.revision, PeerList: peers, Duties: maps.Clone(s.entries), Ready: true,
		All: slices.Clone(s.instances), Daemons: len(peers)}
	for _, p := range peers {
		v.Peers = append(v.Peers, p.Name)
	}
	s.history = append(s.history, storeState{at: time.Now(), era: s.era, view: v, entries: v.Duties})
}

func (s *fakeStore) peers() []sources.Peer { return s.history[len(s.history)-1].view.PeerList }

// expire ends the leases that were not renewed. The caller holds s.mu.
func (s *fakeStore) expire() {
	for id, end := range s.leases {
		if !time.Now().Before(end) {
			s.end(id)
		}
	}
}

func (s *fakeStore) end(id uint64) {
	delete(s.leases, id)
	for key, l := range s.leaseOf {
		if l == id {
			delete(s.entries, key)
			delete(s.leaseOf, key)
			s.revision++
			s.changed(s.peers())
		}
	}
}

// restore goes back to the content that the store had some time ago. Leases are lost.
func (s *fakeStore) restore(back time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range slices.Backward(s.history) {
		if !h.at.After(time.Now().Add(-back)) {
			s.entries, s.revision = maps.Clone(h.entries), h.view.Revision
			break
		}
	}
	maps.DeleteFunc(s.entries, func(key string, _ store.Entry) bool { return strings.HasPrefix(key, dutyRecordPrefix) })
	s.leaseOf, s.leases = map[string]uint64{}, map[uint64]time.Time{}
	s.era++
	s.changed(s.peers())
}

// fakeCloud is the control service of a dutyWorld. It checks what the real one counts as
// violations.
type fakeCloud struct {
	mu         sync.Mutex
	turnAway   bool
	loseNext   int
	turned     int
	repeats    int
	calls      []CloudCall
	times      []time.Time
	reports    map[int64]map[string]int64
	reportedAt map[int64]time.Time
	violations []string
	orders     []testOrder
	// loseOrders is the number of orders whose responses are lost.
	loseOrders int
}

func (c *fakeCloud) take(call CloudCall, window int64, counts map[string]int64) {
	now := time.Now()
	if n := len(c.calls); n > 0 {
		last := c.calls[n-1]
		if call.Token < last.Token || call.Token == last.Token && call.Holder != last.Holder {
			c.violations = append(c.violations, fmt.Sprintf("%v after %v", call, last))
		}
		others := false
		for i := n - 1; i >= 0 && now.Sub(c.times[i]) < testLease; i-- {
			if c.calls[i].Holder != call.Holder {
				others = true
			} else if others {
				c.violations = append(c.violations, fmt.Sprintf("%s acts again after another holder within a lease", call.Holder))
			}
		}
	}
	c.calls, c.times = append(c.calls, call), append(c.times, now)
	if old, ok := c.reports[window]; ok {
		c.repeats++
		if !maps.Equal(old, counts) {
			c.violations = append(c.violations, fmt.Sprintf("window %d: %v, then %v", window, old, counts))
		}
		return
	}
	c.reports[window], c.reportedAt[window] = maps.Clone(counts), now
}

// dutyWorld is a fleet of daemons in virtual time.
type dutyWorld struct {
	t       *testing.T
	store   *fakeStore
	cloud   *fakeCloud
	daemons []*testDaemon
	logs    *bytes.Buffer
	logMu   sync.Mutex
	// planner makes the planner of a daemon; nil if no replicas are ordered.
	planner func(now time.Time) replicaPlanner
	// rate is the number of streams a second at each daemon; demands counts the messages with
	// demand. Both are guarded by the store's mutex.
	rate    float64
	demands int
	// stopEngines ends runEngines.
	stopEngines context.CancelFunc
	// starts counts the processes.
	starts uint64
	// began holds the requests that upstreams began, by window in true time.
	began map[int64]int64
	begin time.Time
}

func (w *dutyWorld) Write(b []byte) (int, error) {
	w.logMu.Lock()
	defer w.logMu.Unlock()
	return w.logs.Write(b)
}

// testDaemon is a daemon with the links that can be cut.
type testDaemon struct {
	w      *dutyWorld
	name   string
	skew   time.Duration
	d      *duties
	cancel context.CancelFunc

	mu                                 sync.Mutex
	dead, noStore, noControl, noOthers bool
	// loseCommits is the number of transactions whose responses are lost.
	loseCommits int
	// thaw is closed at the end of a freeze; nil if the daemon runs.
	thaw    chan struct{}
	last    int
	seenEra uint64
	// meter counts the demand of the process.
	meter *sizing.Meter
}

// wait lets virtual time pass.
func wait(d time.Duration) { <-time.After(d) }

func newDutyWorld(t *testing.T, n int) *dutyWorld { return newPlannedWorld(t, n, nil) }

// newPlannedWorld returns a world in which numbers of replicas are ordered, too.
func newPlannedWorld(t *testing.T, n int, p func(now time.Time) replicaPlanner) *dutyWorld {
	w := &dutyWorld{
		planner: p,
		t:       t, logs: &bytes.Buffer{}, began: map[int64]int64{}, begin: time.Now(),
		store: &fakeStore{revision: 100, entries: map[string]store.Entry{}, leaseOf: map[string]uint64{}, leases: map[uint64]time.Time{}},
		cloud: &fakeCloud{reports: map[int64]map[string]int64{}, reportedAt: map[int64]time.Time{}},
	}
	w.store.table = routes.NewTable(routes.Config{Version: 1,
		Services: []routes.Service{{Name: "llm", Scaling: &routes.Scaling{Min: testMin, Max: testMax, StartTime: testStart}}, {Name: "tags"}},
		Routes: []routes.Route{{
			Name: "chat", Host: "h", Prefix: "/", Kind: routes.Stream, TargetLatency: time.Second, Shares: []routes.Share{{Service: "llm", Weight: 1}},
		}}})
	var peers []sources.Peer
	for i := range n {
		w.daemons = append(w.daemons, &testDaemon{w: w, name: fmt.Sprint("d", i)})
		peers = append(peers, sources.Peer{Name: fmt.Sprint("d", i), Address: fmt.Sprint("d", i, ":1")})
	}
	w.store.changed(peers)
	for _, d := range w.daemons {
		d.start()
	}
	return w
}

func (d *testDaemon) start() {
	w := d.w
	log := slog.New(slog.NewTextHandler(w, nil)).With("daemon", d.name)
	w.starts++
	started := newDuties(dutyOptions{
		Settings: Settings{Name: d.name, RelayAddress: d.name + ":1", Duties: DutySettings{
			Usage: true, Scaling: w.planner != nil, CallsPerSecond: 50, Lease: testLease, Window: testWindow, ReportDue: 10 * time.Second, Tolerance: 0.05,
		}},
		Store: d, Cloud: d, NewPlanner: w.planner, View: d.view, ViewEra: d.viewEra, Era: d.newestEra, Lease: d.ownLease, Send: d.send, SendDemand: d.sendDemand, Demand: d.demand, Logger: log,
		SinceBoot: func() time.Time { return time.Unix(0, int64(time.Since(w.begin)+time.Hour)) },
		TimeOfDay: func() time.Time { return time.Now().Add(d.skew).Round(0) },
		Rand:      rand.New(rand.NewPCG(7, w.starts)),
	})
	d.set(func() { d.d, d.dead, d.meter = started, false, sizing.NewMeter("a", time.Now()) })
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	go started.run(ctx)
	go d.serve(ctx, started)
	if w.planner != nil {
		go d.stream(ctx)
	}
}

// serve lets requests begin until ctx ends.
func (d *testDaemon) serve(ctx context.Context, duties *duties) {
	t := time.NewTicker(traffic)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		d.mu.Lock()
		frozen := d.thaw != nil
		d.mu.Unlock()
		if frozen {
			continue
		}
		duties.Began("acc", time.Now())
		d.w.store.mu.Lock()
		d.w.began[int64(usage.WindowAt(time.Now(), testWindow))]++
		d.w.store.mu.Unlock()
	}
}

func (d *testDaemon) kill() {
	d.mu.Lock()
	d.dead = true
	d.mu.Unlock()
	d.cancel()
}

func (d *testDaemon) freeze(length time.Duration) {
	d.set(func() { d.thaw = make(chan struct{}) })
	wait(length)
	d.set(func() { close(d.thaw); d.thaw = nil })
}

func (d *testDaemon) set(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
}

// gate waits while the daemon is frozen.
func (d *testDaemon) gate() {
	d.mu.Lock()
	thaw := d.thaw
	d.mu.Unlock()
	if thaw != nil {
		<-thaw
	}
}

// link is one way of a call. It fails if the link is cut, when the call's time is up.
func (d *testDaemon) link(ctx context.Context, cut *bool) error {
	d.gate()
	d.mu.Lock()
	isCut := *cut || d.dead
	d.mu.Unlock()
	if isCut {
		<-ctx.Done()
	} else {
		wait(linkTime)
	}
	d.gate()
	return ctx.Err()
}

func (d *testDaemon) state() storeState {
	d.gate()
	s := d.w.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for i := len(s.history) - 1; i > d.last; i-- {
		if !s.history[i].at.After(time.Now().Add(-viewLag)) {
			d.last = i
			break
		}
	}
	return s.history[d.last]
}

func (d *testDaemon) view() *directory.View { return d.state().view }

// viewEra is called right after view.
func (d *testDaemon) viewEra(v *directory.View) uint64 {
	d.w.store.mu.Lock()
	defer d.w.store.mu.Unlock()
	for _, h := range d.w.store.history {
		if h.view == v {
			return h.era
		}
	}
	return 0
}

// newestEra is that of the responses of the store to this daemon.
func (d *testDaemon) newestEra() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.seenEra
}

func (d *testDaemon) ownLease(ctx context.Context) (uint64, error) {
	return d.Grant(ctx, 5*time.Minute)
}

func (d *testDaemon) send(ctx context.Context, address string, messages []usage.Message) error {
	receiver, err := d.reach(ctx, address)
	if err != nil {
		return err
	}
	for _, m := range messages {
		if err := receiver.Merge(m); err != nil {
			return err
		}
	}
	return nil
}

// reach returns the process at an address once a call has arrived there.
func (d *testDaemon) reach(ctx context.Context, address string) (*duties, error) {
	for _, o := range d.w.daemons {
		if o.name+":1" != address {
			continue
		}
		if err := d.link(ctx, &d.noOthers); err != nil {
			return nil, err
		}
		o.mu.Lock()
		cut, receiver := o.noOthers || o.dead || o.thaw != nil, o.d
		o.mu.Unlock()
		if cut {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return receiver, nil
	}
	return nil, fmt.Errorf("no daemon at %s", address)
}

// storeCall makes a call to the store that takes effect in f.
func (d *testDaemon) storeCall(ctx context.Context, f func(s *fakeStore) error) error {
	if err := d.link(ctx, &d.noStore); err != nil {
		return store.ErrUnknown
	}
	d.w.store.mu.Lock()
	d.w.store.expire()
	err := f(d.w.store)
	era := d.w.store.era
	d.w.store.mu.Unlock()
	if d.link(ctx, &d.noStore) != nil {
		return store.ErrUnknown
	}
	d.set(func() { d.seenEra = max(d.seenEra, era) })
	return err
}

func (d *testDaemon) Commit(ctx context.Context, t store.Transaction) (revision uint64, err error) {
	err = d.storeCall(ctx, func(s *fakeStore) error {
		for _, c := range t.Conditions {
			if s.entries[c.Key].Index != c.Index {
				return store.ErrConflict
			}
		}
		for _, e := range t.Writes {
			if _, ok := s.leases[e.Lease]; e.Lease != 0 && !ok {
				return store.ErrLeaseExpired
			}
		}
		s.writes++
		s.revision++
		for _, e := range t.Writes {
			s.entries[e.Key] = store.Entry{Key: e.Key, Value: e.Value, Index: s.revision}
			delete(s.leaseOf, e.Key)
			if e.Lease != 0 {
				s.leaseOf[e.Key] = e.Lease
			}
		}
		s.changed(s.peers())
		revision = s.revision
		return nil
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil && d.loseCommits > 0 {
		d.loseCommits--
		err = store.ErrUnknown
	}
	return revision, err
}

func (d *testDaemon) Read(ctx context.Context, key string) (e store.Entry, found bool, err error) {
	err = d.storeCall(ctx, func(s *fakeStore) error {
		e, found = s.entries[key]
		return nil
	})
	return e, found, err
}

func (d *testDaemon) Grant(ctx context.Context, ttl time.Duration) (id uint64, err error) {
	err = d.storeCall(ctx, func(s *fakeStore) error {
		s.next++
		id = s.next
		s.leases[id] = time.Now().Add(ttl)
		return nil
	})
	return id, err
}

func (d *testDaemon) KeepAlive(ctx context.Context, lease uint64) error {
	return d.storeCall(ctx, func(s *fakeStore) error {
		if _, ok := s.leases[lease]; !ok {
			return store.ErrLeaseExpired
		}
		s.leases[lease] = time.Now().Add(testLease)
		return nil
	})
}

func (d *testDaemon) Revoke(ctx context.Context, lease uint64) error {
	return d.storeCall(ctx, func(s *fakeStore) error {
		s.end(lease)
		return nil
	})
}

func (d *testDaemon) ReportUsage(ctx context.Context, call CloudCall, window int64, counts map[string]int64) error {
	if err := d.link(ctx, &d.noControl); err != nil {
		return err
	}
	c := d.w.cloud
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.turnAway {
		c.turned++
		return ErrCallRate
	}
	c.take(call, window, counts)
	if c.loseNext > 0 {
		c.loseNext--
		return context.DeadlineExceeded
	}
	return nil
}

func (d *testDaemon) OrderReplicas(ctx context.Context, call CloudCall, service, dataCentre string, n int) error {
	if err := d.link(ctx, &d.noControl); err != nil {
		return err
	}
	c := d.w.cloud
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.turnAway {
		return ErrCallRate
	}
	c.orders = append(c.orders, testOrder{at: time.Now(), call: call, service: service, dataCentre: dataCentre, n: n})
	if c.loseOrders > 0 {
		c.loseOrders--
		return context.DeadlineExceeded
	}
	return nil
}

// holder returns the daemon that holds the duty of usage reports.
func (w *dutyWorld) holder() *testDaemon { return w.holderOf(subjectUsage) }

// holderOf returns the daemon that holds a subject.
func (w *dutyWorld) holderOf(subject string) *testDaemon {
	for _, d := range w.daemons {
		d.mu.Lock()
		skip := d.dead || d.thaw != nil
		d.mu.Unlock()
		if skip {
			continue
		}
		d.d.mu.Lock()
		_, ok := d.d.machine.Holding(subject, d.d.o.SinceBoot())
		d.d.mu.Unlock()
		if ok {
			return d
		}
	}
	return nil
}

// untilWindow waits until the given time after the next beginning of a window.
func (w *dutyWorld) untilWindow(after time.Duration) {
	next := usage.WindowAt(time.Now(), testWindow).End(testWindow)
	wait(time.Until(next) + after)
}

// takenEffect has what a failure did to the reports.
type takenEffect struct {
	// missing are windows without a report, late those reported more than 10 s after their
	// end, wrong those whose counts differ by more than 5%.
	missing, late, wrong int
	holders              []string
}

// effect ends the world and returns what was reported of the windows that ended in time.
func (w *dutyWorld) effect() takenEffect {
	w.t.Helper()
	wait(25 * time.Second)
	last := int64(usage.WindowAt(time.Now().Add(-10*time.Second), testWindow)) - 1
	for _, d := range w.daemons {
		d.cancel()
	}
	// The calls that are under way end.
	wait(3 * time.Second)
	synctest.Wait()
	var out takenEffect
	for id, n := range w.began {
		if id > last {
			continue
		}
		counts, ok := w.cloud.reports[id]
		switch {
		case !ok:
			out.missing++
			w.t.Logf("window %d is missing", id)
			continue
		case w.cloud.reportedAt[id].Sub(usage.Window(id).End(testWindow)) > 10*time.Second:
			out.late++
		}
		if diff := counts["acc"] - n; max(diff, -diff)*20 > n {
			out.wrong++
			w.t.Logf("window %d has %d requests, reported %d", id, n, counts["acc"])
		}
	}
	for _, c := range w.cloud.calls {
		if len(out.holders) == 0 || out.holders[len(out.holders)-1] != c.Holder {
			out.holders = append(out.holders, c.Holder)
		}
	}
	if len(w.cloud.violations) > 0 {
		w.t.Errorf("rules broken: %v", w.cloud.violations)
	}
	w.t.Cleanup(func() {
		if w.t.Failed() {
			w.t.Log(w.logs.String())
		}
	})
	return out
}

// Guards against usage reports that are missing, late, wrong, or sent by two daemons when a
// machine, a link, a response or the store fails. Each case brings one failure about at the
// daemon that holds the duty; the expected outcome is part of docs/design/duties.md.
func TestUsageReportsUnderFailures(t *testing.T) {
	cases := []struct {
		name string
		fail func(t *testing.T, w *dutyWorld, h *testDaemon)
		// missing and late are the numbers of windows allowed; sameHolder says that the duty
		// stays where it is.
		missing, late int
		sameHolder    bool
		// anyHolder says that the daemon that fails need not be the holder.
		anyHolder bool
	}{
		{name: "nothing", fail: func(*testing.T, *dutyWorld, *testDaemon) {}, sameHolder: true},
		{name: "holder killed", fail: func(_ *testing.T, _ *dutyWorld, h *testDaemon) { h.kill() }},
		{name: "holder killed right before the end of a window", fail: func(_ *testing.T, w *dutyWorld, h *testDaemon) {
			w.untilWindow(-100 * time.Millisecond)
			h.kill()
		}},
		{name: "takeover in the middle of a window", fail: func(_ *testing.T, w *dutyWorld, h *testDaemon) {
			w.untilWindow(2500 * time.Millisecond)
			h.d.stop(context.Background())
		}},
		{name: "holder frozen for longer than the lease", fail: func(_ *testing.T, _ *dutyWorld, h *testDaemon) { h.freeze(5 * time.Second) }},
		{name: "holder cut off from the store", fail: func(_ *testing.T, _ *dutyWorld, h *testDaemon) {
			h.set(func() { h.noStore = true })
			wait(20 * time.Second)
			h.set(func() { h.noStore = false })
		}},
		{name: "holder cut off from the control service", fail: func(_ *testing.T, _ *dutyWorld, h *testDaemon) {
			h.set(func() { h.noControl = true })
			wait(20 * time.Second)
			h.set(func() { h.noControl = false })
		}},
		{name: "holder cut off from other daemons", fail: func(_ *testing.T, _ *dutyWorld, h *testDaemon) {
			h.set(func() { h.noOthers = true })
			wait(20 * time.Second)
			h.set(func() { h.noOthers = false })
		}},
		{name: "response to the transaction lost", fail: func(_ *testing.T, w *dutyWorld, h *testDaemon) {
			for _, d := range w.daemons {
				d.set(func() { d.loseCommits = 1 })
			}
			h.kill()
		}},
		{name: "response to a report lost", fail: func(_ *testing.T, w *dutyWorld, _ *testDaemon) {
			w.cloud.mu.Lock()
			defer w.cloud.mu.Unlock()
			w.cloud.loseNext = 2
		}, sameHolder: true},
		{name: "store down over the end of a window", fail: func(_ *testing.T, w *dutyWorld, _ *testDaemon) {
			w.untilWindow(-time.Second)
			for _, d := range w.daemons {
				d.set(func() { d.noStore = true })
			}
			wait(5 * time.Second)
			for _, d := range w.daemons {
				d.set(func() { d.noStore = false })
			}
		}},
		{name: "store back from an older copy between take and use of a token", fail: func(_ *testing.T, w *dutyWorld, h *testDaemon) {
			h.kill()
			for w.holder() == nil {
				wait(10 * time.Millisecond)
			}
			w.store.restore(2 * time.Second)
		}, missing: 1},
		{name: "429 on every call for 5 s", fail: func(_ *testing.T, w *dutyWorld, _ *testDaemon) {
			w.cloud.mu.Lock()
			w.cloud.turnAway = true
			w.cloud.mu.Unlock()
			wait(5 * time.Second)
			w.cloud.mu.Lock()
			w.cloud.turnAway = false
			w.cloud.mu.Unlock()
		}, sameHolder: true},
		{name: "clock of one daemon 300 ms ahead", fail: func(_ *testing.T, w *dutyWorld, _ *testDaemon) {
			w.daemons[0].kill()
			wait(time.Second)
			synctest.Wait()
			w.daemons[0].skew = 300 * time.Millisecond
			w.daemons[0].start()
		}, anyHolder: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newDutyWorld(t, 4)
				wait(21 * time.Second)
				h := w.holder()
				if h == nil {
					t.Fatalf("nobody holds the duty\n%s", w.logs)
				}
				c.fail(t, w, h)
				e := w.effect()
				t.Logf("%+v, %d writes to the store, %d repeats, %d turned away", e, w.store.writes, w.cloud.repeats, w.cloud.turned)
				if e.missing > c.missing || e.late > c.late || e.wrong > 0 {
					t.Errorf("%d windows are missing, %d late and %d wrong", e.missing, e.late, e.wrong)
				}
				if !c.anyHolder && c.sameHolder != (len(e.holders) == 1) {
					t.Errorf("holders were %v", e.holders)
				}
			})
		})
	}
}

// Guards against a stopping daemon that takes counts of requests with it which no other
// daemon has.
func TestStoppingDaemonSendsItsLastCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newDutyWorld(t, 4)
		wait(21 * time.Second)
		for range 3 {
			h := w.holder()
			h.d.stop(context.Background())
			wait(time.Second)
			h.d.sendLastCounts(context.Background(), drain.Plan{Began: time.Now(), Grace: 5 * time.Second})
			h.kill()
			wait(3 * time.Second)
			h.start()
		}
		if e := w.effect(); e.missing+e.late+e.wrong > 0 {
			t.Errorf("%+v", e)
		}
	})
}

// disturb makes one change that is drawn by rnd.
func (w *dutyWorld) disturb(rnd *rand.Rand) {
	d := w.daemons[rnd.IntN(len(w.daemons))]
	if h := w.holder(); h != nil && rnd.IntN(2) == 0 {
		d = h
	}
	d.mu.Lock()
	dead, frozen := d.dead, d.thaw != nil
	d.mu.Unlock()
	kind := rnd.IntN(10)
	fmt.Fprintf(w, "-- %v: %d %s\n", time.Since(w.begin), kind, d.name)
	switch {
	case frozen:
	case dead:
		d.start()
	case kind == 0:
		d.kill()
	case kind == 1:
		length := time.Duration(rnd.IntN(6000)) * time.Millisecond
		go d.freeze(length)
	case kind == 2:
		d.set(func() { d.noStore = !d.noStore })
	case kind == 3:
		d.set(func() { d.noControl = !d.noControl })
	case kind == 4:
		d.set(func() { d.noOthers = !d.noOthers })
	case kind == 5:
		d.set(func() { d.loseCommits++ })
	case kind == 6:
		w.cloud.mu.Lock()
		w.cloud.loseNext++
		w.cloud.mu.Unlock()
	case kind == 7:
		w.store.restore(time.Duration(rnd.IntN(6000)) * time.Millisecond)
	case kind == 8:
		d.d.stop(context.Background())
		d.d.sendLastCounts(context.Background(), drain.Plan{Began: time.Now(), Grace: 3 * time.Second})
		d.kill()
		wait(100 * time.Millisecond)
		d.start()
	default:
		w.heal()
	}
}

func (w *dutyWorld) heal() {
	for _, d := range w.daemons {
		d.mu.Lock()
		dead := d.dead
		d.noStore, d.noControl, d.noOthers = false, false, false
		d.mu.Unlock()
		if dead {
			d.start()
		}
	}
}

// Guards against a window that is reported with two contents, and against two acting daemons,
// whatever fails together; and against reports that stay away once everything works again.
func TestReportsUnderDrawnFailures(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rnd := rand.New(rand.NewPCG(seed, 1))
				w := newDutyWorld(t, 2+rnd.IntN(4))
				wait(8 * time.Second)
				for range 25 {
					w.disturb(rnd)
					wait(time.Duration(rnd.IntN(4000)) * time.Millisecond)
				}
				// Freezes end.
				wait(6 * time.Second)
				w.heal()
				wait(30 * time.Second)
				healed := int64(usage.WindowAt(time.Now(), testWindow))
				e := w.effect()
				t.Logf("%+v, %d windows of %d reported", e, len(w.cloud.reports), len(w.began))
				for id := range w.began {
					if _, ok := w.cloud.reports[id]; !ok && id >= healed && id <= healed+2 {
						t.Errorf("window %d is missing although everything works", id)
					}
				}
			})
		})
	}
}
