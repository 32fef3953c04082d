package edge

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gooseberryroad/gooseberryroad/directory"
	"github.com/gooseberryroad/gooseberryroad/duty"
	"github.com/gooseberryroad/gooseberryroad/internal/pause"
	"github.com/gooseberryroad/gooseberryroad/relay"
	"github.com/gooseberryroad/gooseberryroad/sizing"
	"github.com/gooseberryroad/gooseberryroad/sizing/sizinglog"
	"github.com/gooseberryroad/gooseberryroad/store"
	"github.com/gooseberryroad/gooseberryroad/usage"
)

const (
	// dutyTick is how often the duties are looked at.
	dutyTick = 50 * time.Millisecond
	// dutyStoreTimeout bounds one call to the store, so that two renewals fit into the time
	// between the first one that is due and the deadline of the holder.
	dutyStoreTimeout = 700 * time.Millisecond
	// cloudTimeout bounds one call to the control service, which usually answers within
	// milliseconds.
	cloudTimeout = time.Second
	// minCallTime is the time until the holder's deadline with which a call is still sent.
	minCallTime = 100 * time.Millisecond
	// usageSendTimeout bounds one message with counts to the holder.
	usageSendTimeout = 700 * time.Millisecond
	// usageWriteDelay is the pause after a write of decided windows that failed; it doubles
	// up to maxUsageWriteDelay.
	usageWriteDelay    = 500 * time.Millisecond
	maxUsageWriteDelay = 2 * time.Second
	// callShare is the part of the rate of the control service that one daemon uses. Holders
	// of different subjects do not know of each other's calls.
	callShare = 0.5
	// lastCountsTime bounds the time in which a stopping daemon sends its last counts, and
	// minLastCountsTime is what it takes if the grace period is over.
	lastCountsTime    = 1500 * time.Millisecond
	minLastCountsTime = 150 * time.Millisecond
	// releaseTimeout bounds the wait for the calls that are under way at a stop.
	releaseTimeout = 1500 * time.Millisecond
)

// Subjects of duties: all usage reports together, and each service whose replicas can be
// ordered.
const (
	subjectUsage        = "usage"
	subjectScalingStart = "scaling/"
)

// The keys of duties in the store, below directory.DutyPrefix. The record of a subject has
// the lease of its holder, counts that of their daemon; the other keys have none.
const (
	dutyRecordPrefix = directory.DutyPrefix + "holder/"
	dutyTokenPrefix  = directory.DutyPrefix + "token/"
	dutyUsageKey     = directory.DutyPrefix + "usage"
	// dutyCountsPrefix has the counts of daemons that reach the store but no other daemon.
	dutyCountsPrefix = directory.DutyPrefix + "counts/"
)

// dutyOptions configure the duties of a daemon.
type dutyOptions struct {
	Settings Settings
	Store    DutyStore
	Cloud    Cloud
	// NewPlanner makes the planner of replicas.
	NewPlanner func(now time.Time) replicaPlanner
	// LowerAfter is how long a daemon has to hold a service before it orders fewer replicas.
	LowerAfter time.Duration
	View       func() *directory.View
	// ViewEra returns the store's era of a view, Era the newest one that any response of the
	// store named.
	ViewEra func(*directory.View) uint64
	Era     func() uint64
	// Lease returns a lease of some minutes for keys of this daemon.
	Lease func(ctx context.Context) (uint64, error)
	// Send sends counts to the holder at a relay address.
	Send func(ctx context.Context, address string, messages []usage.Message) error
	// SendDemand sends demand to the holder of a service at a relay address. Demand returns
	// that of this daemon; nil if nothing is measured.
	SendDemand func(ctx context.Context, address string, m relay.Demand) error
	Demand     func(now time.Time) sizing.Message
	// SinceBoot is a clock that also runs while the VM is suspended, TimeOfDay the VM's
	// clock, which may jump.
	SinceBoot, TimeOfDay func() time.Time
	Logger               *slog.Logger
	Rand                 *rand.Rand
}

// duties performs the duties of one daemon: it takes subjects, collects counts and calls the
// control service for the subjects that it holds.
type duties struct {
	o       dutyOptions
	self    duty.Holder
	process string

	mu        sync.Mutex
	machine   *duty.Machine
	collector *usage.Collector
	// scaling is nil if no replicas are ordered.
	scaling *scaling
	// view is the last view that was looked at.
	view *directory.View
	era  uint64
	// usageRevision is the revision of dutyUsageKey, known at the store's revision
	// usageKnownAt; 0 if the key does not exist.
	usageRevision, usageKnownAt uint64
	// writing, sending and calling say that a call of the kind is under way; calling has
	// the subjects.
	writing, sending bool
	calling          map[string]bool
	// nextWrite is when decided windows may be written after writeFailures failures in a
	// row, and nextCall when the control service may be called.
	nextWrite, nextCall time.Time
	writeFailures       int
	// passOn holds the counts of other daemons that the holder may not get from them.
	passOn []usage.Message
	// nextPassOn is when they may be sent without own counts.
	nextPassOn time.Time
	// sendFailures counts the messages in a row that reached neither the holder nor another
	// daemon; countsWritten is the window in which counts were last written to the store.
	sendFailures  int
	countsWritten usage.Window
	// countsSeen holds the revisions of the counts in the store that were merged, by key.
	countsSeen map[string]uint64
	// resignedAt is when this daemon last resigned because it did not hear from the others.
	resignedAt time.Time
	stopping   bool
	// revoking is the number of leases whose end is asked for.
	revoking int
	running  sync.WaitGroup
	ctx      context.Context

	countMu sync.Mutex
	clock   *usage.Clock
	counter *usage.Counter
}

func newDuties(o dutyOptions) *duties {
	s := o.Settings
	d := &duties{
		o: o, self: duty.Holder{Name: s.Name, Address: s.RelayAddress}, process: strconv.FormatUint(o.Rand.Uint64(), 36),
		calling: map[string]bool{}, countsSeen: map[string]uint64{}, ctx: context.Background(),
	}
	d.machine = duty.New(duty.Options{
		Self: d.self, NarrowLink: d.narrow(s.LinkMbps), Process: d.process, Lease: s.Duties.Lease,
	})
	now := o.SinceBoot()
	d.clock = usage.NewClock(o.TimeOfDay(), now)
	if s.Duties.Usage {
		steady, _ := d.clock.Now(o.TimeOfDay(), now)
		d.counter = usage.NewCounter(s.Name, d.process, s.Duties.Window, steady)
		d.collector = usage.NewCollector(s.Duties.Window, s.Duties.ReportDue)
	}
	if s.Duties.Scaling {
		d.scaling = newScaling(sizinglog.New(o.Logger))
	}
	return d
}

// setDemand sets the source of this daemon's demand. It must be called before run.
func (d *duties) setDemand(f func(now time.Time) sizing.Message) { d.o.Demand = f }

// narrow reports whether a link is too narrow for the messages of all daemons.
func (d *duties) narrow(mbps float64) bool { return mbps > 0 && mbps < narrowLinkMbps }

// narrowLinkMbps is the bandwidth of a network link in Mbit/s below which a daemon holds
// duties only if there is no other.
const narrowLinkMbps = 100

// run performs the duties until ctx ends.
func (d *duties) run(ctx context.Context) {
	d.mu.Lock()
	d.ctx = ctx
	d.mu.Unlock()
	t := time.NewTicker(dutyTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			d.tick()
		}
	}
}

func (d *duties) tick() {
	v := d.o.View()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observe(v)
	d.step(duty.Tick{})
	now := d.o.SinceBoot()
	if d.collector != nil {
		d.workOnUsage(now)
	}
	if d.scaling != nil {
		d.workOnScaling(now)
	}
}

// Began counts a request that an upstream began.
func (d *duties) Began(account string, at time.Time) {
	ago := time.Since(at)
	d.countMu.Lock()
	defer d.countMu.Unlock()
	now, _ := d.clock.Now(d.o.TimeOfDay(), d.o.SinceBoot())
	if !d.counter.Began(account, now.Add(-ago)) {
		countLateRequest()
	}
}

// Merge takes the counts of another daemon. A daemon that is not the holder passes them on:
// it gets them if their way to the holder is cut, or before it knows that it is the holder.
func (d *duties) Merge(m usage.Message) error {
	now := d.steadyNow()
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.collector.Merge(m, now); err != nil {
		return err
	}
	if _, holding := d.machine.Holding(subjectUsage, d.o.SinceBoot()); holding || m.Process == d.process {
		return nil
	}
	d.passOn = slices.DeleteFunc(slices.Clone(d.passOn), func(old usage.Message) bool { return old.Process == m.Process })
	d.passOn = append(d.passOn, m)
	return nil
}

// steadyNow returns the time of day that does not jump.
func (d *duties) steadyNow() time.Time {
	d.countMu.Lock()
	defer d.countMu.Unlock()
	now, jumped := d.clock.Now(d.o.TimeOfDay(), d.o.SinceBoot())
	if jumped != 0 {
		d.o.Logger.Warn("time of day has jumped; the new one is used", "by", jumped)
	}
	return now
}

// observe passes a new view of the directory to the machine and the collector. The caller
// holds d.mu.
func (d *duties) observe(v *directory.View) {
	era, newest := d.o.ViewEra(v), d.o.Era()
	if v.Revision > 0 {
		d.step(duty.EraSeen{Era: max(era, newest)})
	}
	if v == d.view || v.Revision == 0 || era < newest {
		return
	}
	if era != d.era {
		d.usageKnownAt = 0
	}
	d.view, d.era = v, era
	d.step(duty.Subjects{Names: d.subjects(v)})
	var c duty.Candidates
	for _, p := range v.PeerList {
		c.List = append(c.List, duty.Candidate{Name: p.Name, NarrowLink: d.narrow(p.LinkMbps)})
	}
	d.step(c)
	for _, name := range d.subjects(v) {
		d.step(duty.Observed{
			Subject: name, Era: era, Revision: v.Revision,
			Record: d.seen(v, dutyRecordPrefix+name), Last: d.seen(v, dutyTokenPrefix+name),
		})
	}
	if d.collector == nil {
		return
	}
	if v.Revision >= d.usageKnownAt {
		d.storedUsage(v.Duties[dutyUsageKey], v.Revision)
	}
	d.storedCounts(v)
}

// subjects returns the subjects that exist.
func (d *duties) subjects(v *directory.View) []string {
	var out []string
	if d.o.Settings.Duties.Usage {
		out = append(out, subjectUsage)
	}
	if d.scaling != nil && v.Table != nil {
		for _, name := range v.Table.ScaledServices() {
			out = append(out, subjectScalingStart+name)
		}
	}
	return out
}

func (d *duties) seen(v *directory.View, key string) duty.Seen {
	e, ok := v.Duties[key]
	if !ok {
		return duty.Seen{}
	}
	r, err := duty.DecodeRecord(e.Value)
	if err != nil {
		// The revision is enough to replace the record once its lease has ended.
		d.o.Logger.Warn("record of a duty cannot be read", "key", key, "revision", e.Index, "cause", err)
	}
	return duty.Seen{Record: r, Revision: e.Index}
}

// storedUsage takes the decided windows as the store has them at a revision.
func (d *duties) storedUsage(e store.Entry, at uint64) {
	d.usageKnownAt = at
	if e.Index == d.usageRevision {
		return
	}
	d.usageRevision = e.Index
	if e.Index == 0 {
		return
	}
	var s usage.Stored
	if err := json.Unmarshal(e.Value, &s); err != nil {
		d.o.Logger.Warn("decided windows cannot be read", "revision", e.Index, "cause", err)
		return
	}
	if n := d.collector.Seen(s); n > 0 {
		d.o.Logger.Warn("store has other counts than were decided before; the earlier ones are kept", "windows", n, "revision", e.Index)
	}
	d.countMu.Lock()
	defer d.countMu.Unlock()
	d.counter.Decided(d.collector.Newest())
}

// step passes an event to the machine and does what it asks for. The caller holds d.mu.
func (d *duties) step(ev duty.Event) {
	for _, a := range d.machine.Step(d.o.SinceBoot(), ev) {
		d.perform(a)
	}
}

// after passes the event that f returns to the machine. f runs in a goroutine of its own
// and is counted as running.
func (d *duties) after(f func(ctx context.Context) duty.Event) {
	d.running.Add(1)
	ctx := d.ctx
	go func() {
		defer d.running.Done()
		ev := f(ctx)
		d.mu.Lock()
		defer d.mu.Unlock()
		if ev != nil {
			d.step(ev)
		}
	}()
}

func (d *duties) perform(a duty.Action) {
	switch a := a.(type) {
	case duty.Acquire:
		d.after(func(ctx context.Context) duty.Event { return d.acquire(ctx, a) })
	case duty.ReadBack:
		d.after(func(ctx context.Context) duty.Event { return d.readBack(ctx, a) })
	case duty.Renew:
		d.after(func(ctx context.Context) duty.Event {
			sent := d.o.SinceBoot()
			ctx, cancel := context.WithTimeout(ctx, dutyStoreTimeout)
			defer cancel()
			err := d.o.Store.KeepAlive(ctx, a.Lease)
			return duty.RenewEnded{Subject: a.Subject, Lease: a.Lease, SentAt: sent, Outcome: d.logRenewal(a, err)}
		})
	case duty.Revoke:
		d.revoking++
		d.after(func(ctx context.Context) duty.Event {
			defer func() {
				d.mu.Lock()
				defer d.mu.Unlock()
				d.revoking--
			}()
			// The process may be stopping.
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), dutyStoreTimeout)
			defer cancel()
			if err := d.o.Store.Revoke(ctx, a.Lease); err != nil {
				d.o.Logger.Warn("lease of a duty not ended; it expires by itself", "subject", a.Subject, "cause", err)
			}
			return nil
		})
	case duty.Taken:
		if a.Subject == subjectUsage {
			d.passOn = nil
		}
		if service, ok := strings.CutPrefix(a.Subject, subjectScalingStart); ok && !a.Renewed {
			// A hold whose end was not noticed before it was taken again counts as a new one.
			d.forgetService(service)
		}
		countDutyChange("taken", "")
		d.o.Logger.Info("duty taken", "subject", a.Subject, "token", a.Token, "previous", a.Previous.Name,
			"previous_address", a.Previous.Address, "waited", a.Waited, "without_break", a.Renewed)
	case duty.Lost:
		countDutyChange("ended", string(a.Reason))
		d.o.Logger.Info("duty ended", "subject", a.Subject, "token", a.Token, "reason", string(a.Reason), "held", a.Held)
		if service, ok := strings.CutPrefix(a.Subject, subjectScalingStart); ok {
			d.forgetService(service)
		}
		if a.Subject == subjectUsage {
			d.passOn = slices.DeleteFunc(d.collector.Messages(), func(m usage.Message) bool { return m.Process == d.process })
		}
	case duty.NotTaken:
		countDutyChange("not_taken", a.Outcome.String())
		d.o.Logger.Info("duty not taken", "subject", a.Subject, "outcome", a.Outcome.String())
	}
}

// storeOutcome translates the error of a call to the store.
func storeOutcome(err error) duty.Outcome {
	switch {
	case err == nil:
		return duty.Done
	case errors.Is(err, store.ErrConflict):
		return duty.Conflict
	case errors.Is(err, store.ErrLeaseExpired):
		return duty.Expired
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrEraChanged) && !errors.Is(err, store.ErrUnknown):
		return duty.Failed
	}
	return duty.Unknown
}

func (d *duties) logRenewal(a duty.Renew, err error) duty.Outcome {
	o := storeOutcome(err)
	if o != duty.Done {
		countDutyChange("not_renewed", o.String())
		d.o.Logger.Warn("lease of a duty not renewed", "subject", a.Subject, "outcome", o.String(), "cause", err)
	}
	return o
}

// acquire makes the calls that take a subject.
func (d *duties) acquire(ctx context.Context, a duty.Acquire) duty.Event {
	out := duty.AcquireEnded{Subject: a.Subject, Nonce: a.Record.Nonce, SentAt: d.o.SinceBoot()}
	ctx, cancel := context.WithTimeout(ctx, 2*dutyStoreTimeout)
	defer cancel()
	lease, err := d.o.Store.Grant(ctx, d.o.Settings.Duties.Lease)
	if err != nil {
		d.o.Logger.Info("no lease for a duty", "subject", a.Subject, "cause", err)
		out.Outcome = duty.Failed
		return out
	}
	out.Lease = lease
	if d.o.Era() > a.Era {
		// The revisions in the conditions mean nothing in another era.
		d.o.Logger.Info("duty not taken; the store was restored", "subject", a.Subject)
		out.Outcome = duty.Failed
		return out
	}
	value := a.Record.Encode()
	out.Revision, err = d.o.Store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{
			{Key: dutyRecordPrefix + a.Subject, Index: a.RecordRevision}, {Key: dutyTokenPrefix + a.Subject, Index: a.LastRevision},
		},
		// If the store counts each write, the revision that it returns is that of the last one.
		Writes: []store.LeasedEntry{
			{Key: dutyTokenPrefix + a.Subject, Value: value}, {Key: dutyRecordPrefix + a.Subject, Value: value, Lease: lease},
		},
	})
	out.Outcome = storeOutcome(err)
	if out.Outcome == duty.Expired {
		out.Outcome = duty.Conflict
	}
	if err != nil {
		d.o.Logger.Info("record of a duty not written", "subject", a.Subject, "token", a.Record.Token, "outcome", out.Outcome.String(), "cause", err)
	}
	return out
}

func (d *duties) readBack(ctx context.Context, a duty.ReadBack) duty.Event {
	ctx, cancel := context.WithTimeout(ctx, dutyStoreTimeout)
	defer cancel()
	out := duty.ReadEnded{Subject: a.Subject, Nonce: a.Nonce}
	e, found, err := d.o.Store.Read(ctx, dutyRecordPrefix+a.Subject)
	if err == nil && found {
		out.Record.Revision = e.Index
		out.Record.Record, err = duty.DecodeRecord(e.Value)
	}
	out.OK = err == nil
	d.o.Logger.Info("record of a duty read back", "subject", a.Subject, "own", out.OK && out.Record.Record.Nonce == a.Nonce, "cause", err)
	return out
}

// call makes a call to the control service for a subject that this daemon holds, unless one
// is under way or the rate does not allow it. done is called with its error, with d.mu held.
func (d *duties) call(subject string, now time.Time, f func(ctx context.Context, c CloudCall) error, done func(err error)) bool {
	t, ok := d.machine.Tenure(subject, now)
	if !ok || d.stopping || d.calling[subject] || now.Before(d.nextCall) || t.Until.Sub(now) < minCallTime {
		return false
	}
	if rate := d.o.Settings.Duties.CallsPerSecond; rate > 0 {
		d.nextCall = now.Add(time.Duration(float64(time.Second) / (callShare * rate)))
	}
	d.calling[subject] = true
	d.after(func(ctx context.Context) duty.Event {
		sent, err := d.callWhileHeld(ctx, subject, t.Token, f)
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.calling, subject)
		if sent.IsZero() {
			return nil
		}
		done(err)
		// In one step with the end of the call: no other one begins before the machine has
		// decided whether to go on.
		answered := err == nil || errors.Is(err, ErrCallRate) || errors.Is(err, ErrCallRejected)
		d.step(duty.CallEnded{Subject: subject, SentAt: sent, OK: answered})
		return nil
	})
	return true
}

// callWhileHeld makes a call that ends before the daemon's hold does. sent is zero if the
// daemon does not hold the subject any more.
func (d *duties) callWhileHeld(ctx context.Context, subject string, token uint64, f func(ctx context.Context, c CloudCall) error) (sent time.Time, err error) {
	d.mu.Lock()
	now := d.o.SinceBoot()
	t, ok := d.machine.Tenure(subject, now)
	d.mu.Unlock()
	if !ok || t.Token != token {
		return time.Time{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, min(cloudTimeout, t.Until.Sub(now)))
	defer cancel()
	return now, f(ctx, CloudCall{Holder: d.self.Name, Token: token})
}

// stop gives all subjects to other daemons once the calls under way have ended.
func (d *duties) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	d.mu.Lock()
	d.stopping = true
	d.step(duty.Stop{})
	d.mu.Unlock()
	for d.underWay() && pause.For(ctx, drainPollInterval) {
	}
	d.mu.Lock()
	for _, name := range d.subjects(d.view0()) {
		d.step(duty.Release{Subject: name})
	}
	d.mu.Unlock()
	for d.underWay() && pause.For(ctx, drainPollInterval) {
	}
}

// underWay reports whether a call for a subject, a write of its holder or the end of a lease
// is under way.
func (d *duties) underWay() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.calling) > 0 || d.writing || d.revoking > 0
}

// view0 returns the last view, or an empty one.
func (d *duties) view0() *directory.View {
	if d.view == nil {
		return &directory.View{}
	}
	return d.view
}
