package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gooseberryroad/gooseberryroad/directory"
	"github.com/gooseberryroad/gooseberryroad/drain"
	"github.com/gooseberryroad/gooseberryroad/duty"
	"github.com/gooseberryroad/gooseberryroad/internal/pause"
	"github.com/gooseberryroad/gooseberryroad/store"
	"github.com/gooseberryroad/gooseberryroad/usage"
)

// passOnDelay is the pause between two messages with counts of other daemons only.
const passOnDelay = 500 * time.Millisecond

// countsWriteDelay is the time after the end of a window at which counts are written to the
// store: late enough for the answers of short requests, early enough for the decision.
const countsWriteDelay = 300 * time.Millisecond

// lonelyTime is how long a daemon remembers that it resigned because it did not hear from the
// others: as long as reports may be sent.
const lonelyTime = 60 * time.Second

// workOnUsage sends the counts of this daemon, decides windows and sends reports, as far as
// this daemon is the holder. The caller holds d.mu.
func (d *duties) workOnUsage(now time.Time) {
	steady := d.steadyNow()
	t, holding := d.machine.Tenure(subjectUsage, now)
	if !holding {
		d.sendCounts(steady)
		d.writeCounts(steady)
		return
	}
	d.mergeOwn(fmt.Sprint(t.Token), steady)
	if !d.stopping && !d.writing && !now.Before(d.nextWrite) {
		tenure := usage.Tenure{
			Since:  steady.Add(t.Since.Sub(now)),
			Lonely: !d.resignedAt.IsZero() && now.Sub(d.resignedAt) < lonelyTime,
		}
		if !t.EraRoseAt.IsZero() {
			tenure.EraRoseAt = steady.Add(t.EraRoseAt.Sub(now))
		}
		if p, ok := d.collector.Decide(steady, tenure, d.view0().Peers); ok {
			d.writing = true
			d.after(func(ctx context.Context) duty.Event { d.writeDecision(ctx, t, p); return nil })
		} else if !d.calling[subjectUsage] && d.collector.ShouldResign(steady, tenure, d.view0().Peers) {
			d.o.Logger.Warn("counts of most daemons do not arrive; the duty is given to another daemon", "daemons", len(d.view0().Peers))
			d.resignedAt = now
			d.step(duty.Resign{Subject: subjectUsage})
			return
		}
	}
	for _, w := range d.collector.Expired(steady) {
		countWindow("expired")
		d.o.Logger.Error("usage report given up", "window", int64(w))
	}
	if r, ok := d.collector.Next(steady); ok {
		d.report(r, now)
	}
}

// mergeOwn passes the counts of this daemon to its own collector, if they have changed.
func (d *duties) mergeOwn(recipient string, now time.Time) {
	d.countMu.Lock()
	if !d.counter.Due(recipient, now) {
		d.countMu.Unlock()
		return
	}
	m, arrived := d.counter.Message(recipient, now)
	arrived()
	d.countMu.Unlock()
	if err := d.collector.Merge(m, now); err != nil {
		d.o.Logger.Error("own counts refused", "cause", err)
	}
	d.sendCopy(m)
}

// sendCopy sends the holder's own counts to another daemon, which passes them on to the next
// holder: without them, a crash of the holder would leave a window out of which all other
// counts are known. The caller holds d.mu.
func (d *duties) sendCopy(m usage.Message) {
	address := d.otherDaemon(duty.Record{Holder: d.self})
	if d.sending || address == "" {
		return
	}
	d.sending = true
	d.after(func(ctx context.Context) duty.Event {
		ctx, cancel := context.WithTimeout(ctx, usageSendTimeout)
		defer cancel()
		err := d.o.Send(ctx, address, []usage.Message{m})
		d.mu.Lock()
		defer d.mu.Unlock()
		d.sending = false
		d.noteSent(err == nil)
		if err != nil {
			d.o.Logger.Info("copy of own counts not sent", "address", address, "cause", err)
		}
		return nil
	})
}

// recipient returns the record of the holder of usage reports, if it is another process.
func (d *duties) recipient(v *directory.View) (r duty.Record, ok bool) {
	e, ok := v.Duties[dutyRecordPrefix+subjectUsage]
	if !ok {
		return r, false
	}
	r, err := duty.DecodeRecord(e.Value)
	return r, err == nil && r.Holder != d.self
}

// recipientID identifies a holder for the counter, which sends everything to a new one.
func recipientID(r duty.Record) string { return fmt.Sprint(r.Token, " ", r.Address) }

// sendCounts sends the counts of this daemon to the holder, if they have changed. The caller
// holds d.mu.
func (d *duties) sendCounts(now time.Time) {
	r, ok := d.recipient(d.view0())
	if !ok || d.sending {
		return
	}
	recipient := recipientID(r)
	other := d.otherDaemon(r)
	d.countMu.Lock()
	due := d.counter.Due(recipient, now)
	var messages []usage.Message
	var arrived func()
	if due {
		messages = make([]usage.Message, 1, 1+len(d.passOn))
		messages[0], arrived = d.counter.Message(recipient, now)
	}
	d.countMu.Unlock()
	passOn := d.messagesFor(r)
	if !due && (len(passOn) == 0 || now.Before(d.nextPassOn)) {
		return
	}
	d.nextPassOn = now.Add(passOnDelay)
	messages = append(messages, passOn...)
	d.sending = true
	d.after(func(ctx context.Context) duty.Event {
		ctx, cancel := context.WithTimeout(ctx, usageSendTimeout)
		defer cancel()
		err := d.o.Send(ctx, r.Address, messages)
		around := err != nil && due && other != "" && d.sendAround(other, messages[0])
		d.mu.Lock()
		defer d.mu.Unlock()
		d.sending = false
		d.noteSent(err == nil || around)
		if err != nil {
			d.o.Logger.Info("counts not sent", "holder", r.Name, "address", r.Address, "cause", err)
			return nil
		}
		d.passOn = slices.DeleteFunc(slices.Clone(d.passOn), func(m usage.Message) bool {
			return slices.ContainsFunc(passOn, func(sent usage.Message) bool {
				return m.Process == sent.Process && m.Sequence == sent.Sequence
			})
		})
		if due {
			d.countMu.Lock()
			defer d.countMu.Unlock()
			arrived()
		}
		return nil
	})
}

// messagesFor returns the messages of other processes to pass on to a holder: not its own.
// The caller holds d.mu.
func (d *duties) messagesFor(r duty.Record) []usage.Message {
	return slices.DeleteFunc(slices.Clone(d.passOn), func(m usage.Message) bool { return r.WrittenBy(m.Process) })
}

// otherDaemon returns the address of a daemon that is neither the holder nor this one; empty
// if there is none. The caller holds d.mu.
func (d *duties) otherDaemon(holder duty.Record) string {
	var others []string
	for _, p := range d.view0().PeerList {
		if p.Address != holder.Address && p.Address != d.self.Address {
			others = append(others, p.Address)
		}
	}
	if len(others) == 0 {
		return ""
	}
	return others[d.o.Rand.IntN(len(others))]
}

// noteSent records whether a message reached any daemon. The caller holds d.mu.
func (d *duties) noteSent(arrived bool) {
	countUsageMessage(arrived)
	if arrived {
		d.sendFailures = 0
	} else {
		d.sendFailures++
	}
}

// sendAround sends counts that did not reach the holder to another daemon, which passes them
// on: the link to the holder may be cut for this daemon only.
func (d *duties) sendAround(address string, m usage.Message) (arrived bool) {
	ctx, cancel := context.WithTimeout(context.Background(), usageSendTimeout)
	defer cancel()
	err := d.o.Send(ctx, address, []usage.Message{m})
	d.o.Logger.Info("counts sent to another daemon", "address", address, "cause", err)
	return err == nil
}

// writeCounts writes the counts of this daemon to the store, once in each window, while no
// other daemon can be reached. The caller holds d.mu.
func (d *duties) writeCounts(now time.Time) {
	length := d.o.Settings.Duties.Window
	present := usage.WindowAt(now, length)
	first := d.countsWritten == 0
	if d.sendFailures == 0 {
		d.countsWritten = 0
		return
	}
	sinceEnd := now.Sub((present - 1).End(length))
	if d.countsWritten == present || !first && sinceEnd < countsWriteDelay {
		return
	}
	d.countsWritten = present
	d.countMu.Lock()
	m, _ := d.counter.Message("", now)
	d.countMu.Unlock()
	value, err := json.Marshal(m)
	if err != nil {
		panic(err) // numbers by name can always be encoded
	}
	d.after(func(ctx context.Context) duty.Event {
		ctx, cancel := context.WithTimeout(ctx, 2*dutyStoreTimeout)
		defer cancel()
		lease, err := d.o.Lease(ctx)
		if err == nil {
			_, err = d.o.Store.Commit(ctx, store.Transaction{Writes: []store.LeasedEntry{{Key: dutyCountsPrefix + d.self.Name, Value: value, Lease: lease}}})
		}
		d.o.Logger.Warn("no other daemon can be reached; counts written to the store", "cause", err)
		return nil
	})
}

// storedCounts merges the counts that daemons wrote to the store.
func (d *duties) storedCounts(v *directory.View) {
	for key, e := range v.Duties {
		if !strings.HasPrefix(key, dutyCountsPrefix) || d.countsSeen[key] == e.Index {
			continue
		}
		d.countsSeen[key] = e.Index
		var m usage.Message
		err := json.Unmarshal(e.Value, &m)
		if err == nil {
			err = d.collector.Merge(m, d.steadyNow())
		}
		if err != nil {
			d.o.Logger.Warn("counts in the store cannot be read", "key", key, "cause", err)
		}
	}
}

// writeDecision writes decided windows to the store if this daemon's record is unchanged.
func (d *duties) writeDecision(ctx context.Context, t duty.Tenure, p usage.Proposal) {
	value, err := json.Marshal(p.Stored)
	if err != nil {
		panic(err) // numbers by name can always be encoded
	}
	d.mu.Lock()
	revision := d.usageRevision
	d.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, dutyStoreTimeout)
	defer cancel()
	written, err := d.o.Store.Commit(callCtx, store.Transaction{
		Conditions: []store.Condition{{Key: dutyRecordPrefix + subjectUsage, Index: t.Revision}, {Key: dutyUsageKey, Index: revision}},
		Writes:     []store.LeasedEntry{{Key: dutyUsageKey, Value: value}},
	})
	var found store.Entry
	var readErr error
	if err != nil && !errors.Is(err, store.ErrUnavailable) {
		// The outcome is not known, or another holder wrote: what the store has counts.
		readCtx, cancel := context.WithTimeout(ctx, dutyStoreTimeout)
		defer cancel()
		found, _, readErr = d.o.Store.Read(readCtx, dutyUsageKey)
		if readErr == nil && bytes.Equal(found.Value, value) {
			written, err = found.Index, nil
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.writing = false
	if t.Era != d.era {
		// The store was restored meanwhile. The windows are decided again, in the new era.
		d.o.Logger.Info("decided windows not used; the store was restored", "decided", p.Decided)
		return
	}
	if err != nil {
		d.nextWrite = d.o.SinceBoot().Add(min(usageWriteDelay<<min(d.writeFailures, 8), maxUsageWriteDelay))
		d.writeFailures++
		d.o.Logger.Warn("decided windows not written", "decided", p.Decided, "left_out", p.LeftOut, "outcome", storeOutcome(err).String(), "cause", errors.Join(err, readErr))
		if found.Index > 0 {
			d.storedUsage(found, found.Index)
		}
		return
	}
	d.writeFailures = 0
	if written > d.usageKnownAt {
		d.usageRevision, d.usageKnownAt = written, written
	}
	d.collector.Written(p)
	d.countMu.Lock()
	d.counter.Decided(d.collector.Newest())
	d.countMu.Unlock()
	for _, w := range p.Decided {
		countWindow("decided")
		d.o.Logger.Info("usage window decided", "window", int64(w), "accounts", len(p.Stored.Windows[w]), "requests", p.Stored.Windows[w].Sum(), "token", t.Token)
	}
	for _, w := range p.LeftOut {
		countWindow("left_out")
		d.o.Logger.Warn("usage window left out", "window", int64(w), "token", t.Token)
	}
}

// report sends a report. The caller holds d.mu.
func (d *duties) report(r usage.Report, now time.Time) {
	var attempt CloudCall
	d.call(subjectUsage, now, func(ctx context.Context, c CloudCall) error {
		attempt = c
		return d.o.Cloud.ReportUsage(ctx, c, int64(r.Window), r.Counts)
	}, func(err error) {
		outcome := usage.Unanswered
		switch {
		case err == nil:
			outcome = usage.Accepted
		case errors.Is(err, ErrCallRejected):
			outcome = usage.Rejected
		}
		steady := d.steadyNow()
		again := d.collector.Sent(r.Window, outcome, steady, d.o.Rand.Float64())
		late := steady.Sub(r.Window.End(d.o.Settings.Duties.Window))
		countReport(outcome, errors.Is(err, ErrCallRate))
		if err == nil {
			usageDelay.Update(late.Seconds())
			d.o.Logger.Info("usage reported", "window", int64(r.Window), "requests", r.Counts.Sum(), "token", attempt.Token, "attempt", r.Attempt, "after_end", late)
			return
		}
		d.o.Logger.Warn("usage report not accepted; retrying", "window", int64(r.Window), "token", attempt.Token, "attempt", r.Attempt, "after_end", late, "again_in", again, "cause", err)
	})
}

// sendLastCounts sends the counts of a stopping daemon to the holder, until it has them or
// the time is up.
func (d *duties) sendLastCounts(ctx context.Context, plan drain.Plan) {
	if d.counter == nil || len(d.o.View().Peers) < 2 {
		return
	}
	left := min(lastCountsTime, max(time.Until(plan.Deadline()), minLastCountsTime))
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	for {
		sent, err := d.trySendLastCounts(ctx)
		if sent {
			d.o.Logger.Info("last counts sent")
			return
		}
		if !pause.For(ctx, dutyTick) {
			d.o.Logger.Warn("last counts not sent", "cause", err)
			return
		}
	}
}

func (d *duties) trySendLastCounts(ctx context.Context) (sent bool, err error) {
	r, ok := d.recipient(d.o.View())
	if !ok {
		return false, errNoHolder
	}
	now := d.steadyNow()
	recipient := recipientID(r)
	d.mu.Lock()
	messages := d.messagesFor(r)
	d.mu.Unlock()
	d.countMu.Lock()
	m, _ := d.counter.Message(recipient, now)
	m.Final = true
	d.countMu.Unlock()
	err = d.o.Send(ctx, r.Address, append(messages, m))
	return err == nil, err
}

var errNoHolder = errors.New("no other daemon holds the duty of usage reports")

var usageDelay = metrics.NewHistogram("gooseberryroad_usage_report_delay_seconds")

// countDutyChange counts takes and ends of duties by their reason.
func countDutyChange(change, reason string) {
	metrics.GetOrCreateCounter(`gooseberryroad_duty_changes_total{change="` + change + `",reason="` + reason + `"}`).Inc()
}

// countWindow counts the windows that this daemon decided, left out or gave up.
func countWindow(outcome string) {
	metrics.GetOrCreateCounter(`gooseberryroad_usage_windows_total{outcome="` + outcome + `"}`).Inc()
}

// countReport counts the reports that were sent by their outcome.
func countReport(o usage.Outcome, rate bool) {
	name := [...]string{"accepted", "rejected", "unanswered"}[o]
	if rate {
		name = "call_rate"
	}
	metrics.GetOrCreateCounter(`gooseberryroad_usage_reports_total{outcome="` + name + `"}`).Inc()
}

// countUsageMessage counts the messages with counts to the holder.
func countUsageMessage(arrived bool) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberryroad_usage_messages_total{arrived="%t"}`, arrived)).Inc()
}

// countLateRequest counts the requests whose window was decided before they were counted.
func countLateRequest() {
	metrics.GetOrCreateCounter(`gooseberryroad_usage_late_requests_total`).Inc()
}
