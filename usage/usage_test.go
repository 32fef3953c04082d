package usage_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/gooseberryroad/gooseberryroad/usage"
)

const (
	length = 5 * time.Second
	due    = 10 * time.Second
)

// start is the beginning of window 1000.
var start = time.Unix(5000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// fleet has the counters of some daemons that started a minute before start, and a collector.
type fleet struct {
	names     []string
	counters  []*usage.Counter
	collector *usage.Collector
}

func newFleet(n int) *fleet {
	f := &fleet{collector: usage.NewCollector(length, due)}
	for i := range n {
		name := fmt.Sprint("d", i)
		f.names = append(f.names, name)
		f.counters = append(f.counters, usage.NewCounter(name, "p"+name, length, at(-60)))
	}
	return f
}

// send passes the counts of the daemons to the collector.
func (f *fleet) send(t *testing.T, now time.Time, daemons ...int) {
	t.Helper()
	for _, i := range daemons {
		m, arrived := f.counters[i].Message("h", now)
		if err := f.collector.Merge(m, now); err != nil {
			t.Fatal(err)
		}
		arrived()
	}
}

func (f *fleet) decide(now time.Time, tenure usage.Tenure) (usage.Proposal, bool) {
	return f.collector.Decide(now, tenure, f.names)
}

// Guards against requests that are counted in another window than the one in which they
// began, and against counts that change a window that was decided.
func TestCounter(t *testing.T) {
	c := usage.NewCounter("d", "p", length, at(-60))
	for _, s := range []float64{-0.001, 0, 4.999, 5} {
		c.Began("a", at(s))
	}
	c.Began("b", at(1))
	m, arrived := c.Message("h", at(5.1))
	want := map[usage.Window]usage.Counts{999: {"a": 1}, 1000: {"a": 2, "b": 1}, 1001: {"a": 1}}
	for w, counts := range m.Windows {
		if !maps.Equal(counts, want[w]) {
			t.Errorf("window %d has %v, want %v", w, counts, want[w])
		}
	}
	if c.Due("h", at(5.2)) {
		t.Error("a message is due before a tenth of a window has passed")
	}
	if !c.Due("h", at(5.7)) {
		t.Error("a message that did not arrive is not sent again")
	}
	arrived()
	if c.Due("h", at(5.8)) {
		t.Error("counts that have not changed are sent again")
	}
	if !c.Due("other", at(5.8)) {
		t.Error("a new holder does not get the counts")
	}
	if !c.Due("h", at(10.1)) {
		t.Error("the holder does not learn that nothing changed until the end of a window")
	}
	c.Decided(1000)
	if c.Began("a", at(4)) {
		t.Error("a request was counted in a window that was decided")
	}
	if !c.Began("a", at(6)) {
		t.Error("a request was not counted in an open window")
	}
	if m, _ := c.Message("h", at(6)); len(m.Windows) != 1 || m.Windows[1001]["a"] != 2 {
		t.Errorf("after the decision the message has %v", m.Windows)
	}
}

// Guards against messages that cannot be decoded by another daemon.
func TestMessageEncoding(t *testing.T) {
	c := usage.NewCounter("d", "p", length, at(-60))
	c.Began("a", at(1))
	m, _ := c.Message("h", at(2))
	b, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	var got usage.Message
	if err := json.Unmarshal(b, &got); err != nil || got.Windows[1000]["a"] != 1 || got.Process != "p" {
		t.Errorf("decoded as %+v, %v", got, err)
	}
}

// Guards against requests that count twice because a message is repeated or arrives late.
func TestMergeReplaces(t *testing.T) {
	f := newFleet(1)
	f.counters[0].Began("a", at(1))
	old, _ := f.counters[0].Message("h", at(1))
	f.counters[0].Began("a", at(2))
	f.send(t, at(5.1), 0)
	for range 2 {
		if err := f.collector.Merge(old, at(5.2)); err != nil {
			t.Fatal(err)
		}
	}
	p, ok := f.decide(at(6.5), usage.Tenure{Since: at(-50)})
	if !ok || p.Stored.Windows[1000]["a"] != 2 {
		t.Errorf("decided %+v, %v", p, ok)
	}
}

// Guards against messages that fill the memory or cannot be counts.
func TestMergeRefusesBadMessages(t *testing.T) {
	many := map[usage.Window]usage.Counts{}
	for i := range usage.Window(100) {
		many[i] = usage.Counts{}
	}
	for _, m := range []usage.Message{
		{Process: "p"}, {Daemon: "d"}, {Daemon: "d", Process: "p", Windows: many},
		{Daemon: "d", Process: "p", Windows: map[usage.Window]usage.Counts{1: {"a": -1}}},
		{Daemon: "d", Process: "p", Windows: map[usage.Window]usage.Counts{1: {"": 1}}},
		{Daemon: "d", Process: "p", Windows: map[usage.Window]usage.Counts{1: {"a": 1 << 40}}},
	} {
		if usage.NewCollector(length, due).Merge(m, at(0)) == nil {
			t.Errorf("accepted %+v", m)
		}
	}
}

// Guards against windows that are decided before the last counts are there, and against
// reports of windows of which a successor does not know enough.
func TestDecide(t *testing.T) {
	f := newFleet(10)
	f.collector.Seen(usage.Stored{Newest: 998})
	for i := range f.counters {
		f.counters[i].Began("a", at(-1))
		f.counters[i].Began("a", at(1))
	}
	tenure := usage.Tenure{Since: at(0.5)}
	f.send(t, at(0.6), 0, 1, 2, 3, 4, 5, 6, 7)
	if _, ok := f.decide(at(1.6), tenure); ok {
		t.Error("a new holder decided before it can have the counts")
	}
	if p, ok := f.decide(at(2.6), tenure); !ok || len(p.Decided) > 0 || !slices.Equal(p.LeftOut, []usage.Window{999}) {
		t.Errorf("with counts of 8 of 10 daemons: %+v, %v", p, ok)
	}
	f.send(t, at(2.7), 8)
	p, ok := f.decide(at(2.8), tenure)
	if !ok || !slices.Equal(p.Decided, []usage.Window{999}) || p.Stored.Windows[999]["a"] != 9 {
		t.Errorf("with counts of 9 of 10 daemons: %+v, %v", p, ok)
	}
	f.collector.Written(p)
	if _, ok := f.decide(at(6.4), tenure); ok {
		t.Error("decided before 1.5 s after the end of the window")
	}
	f.send(t, at(6.45), 0, 1, 2, 3, 4, 5, 6, 7, 8, 9)
	if p, ok := f.decide(at(6.5), tenure); !ok || !slices.Equal(p.Decided, []usage.Window{1000}) || p.Stored.Windows[1000]["a"] != 10 {
		t.Errorf("1.5 s after the end of the window: %+v, %v", p, ok)
	}
}

// Guards against a report that comes too late because a new holder waits for the counts of a
// daemon that is gone, after an outage of the store in which nobody held the duty.
func TestNewHolderDecidesBeforeTheReportIsDue(t *testing.T) {
	f := newFleet(10)
	f.collector.Seen(usage.Stored{Newest: 999})
	for i := range f.counters {
		f.counters[i].Began("a", at(1))
	}
	tenure := usage.Tenure{Since: at(14)}
	f.send(t, at(14.1), 0, 1, 2, 3, 4, 5, 6, 7)
	if p, ok := f.decide(at(14.6), tenure); ok {
		t.Errorf("decided with counts of 8 of 10 daemons: %+v", p)
	}
	f.send(t, at(14.61), 8)
	if p, ok := f.decide(at(14.49), tenure); ok {
		t.Errorf("decided although there is time to wait: %+v", p)
	}
	p, ok := f.decide(at(14.62), tenure)
	if !ok || !slices.Equal(p.Decided, []usage.Window{1000, 1001}) || p.Stored.Windows[1000]["a"] != 9 {
		t.Errorf("with counts of 9 of 10 daemons: %+v, %v", p, ok)
	}
	if p, ok := f.decide(at(15.1), tenure); ok {
		t.Errorf("decided in haste although it is too late: %+v", p)
	}
}

// Guards against a holder that reports its own counts as those of all daemons because their
// messages do not reach it.
func TestHolderThatHearsNobodyResigns(t *testing.T) {
	f := newFleet(4)
	tenure := usage.Tenure{Since: at(-50)}
	f.collector.Seen(usage.Stored{Newest: 999})
	f.send(t, at(5.1), 0)
	if _, ok := f.decide(at(6.6), tenure); ok {
		t.Error("decided with the counts of 1 of 4 daemons")
	}
	if f.collector.ShouldResign(at(7.9), tenure, f.names) {
		t.Error("resigned before the counts can have come late")
	}
	if !f.collector.ShouldResign(at(8.1), tenure, f.names) {
		t.Error("the holder goes on although it hears from nobody")
	}
	tenure.Lonely = true
	if p, ok := f.decide(at(8.2), tenure); !ok || len(p.Decided) != 1 {
		t.Error("nobody decides when most daemons are gone")
	}
}

// Guards against a window that is decided twice with different counts: by a successor that
// finds decided ones, and by a holder after a restore of the store from an older copy.
func TestDecidedCountsStay(t *testing.T) {
	f := newFleet(2)
	tenure := usage.Tenure{Since: at(-50)}
	f.collector.Seen(usage.Stored{Newest: 1000, Windows: map[usage.Window]usage.Counts{1000: {"a": 7}}})
	f.counters[0].Began("a", at(1))
	f.send(t, at(6), 0, 1)
	if p, ok := f.decide(at(7), tenure); ok {
		t.Errorf("decided again: %+v", p)
	}
	r, ok := f.collector.Next(at(7))
	if !ok || r.Window != 1000 || r.Counts["a"] != 7 {
		t.Errorf("next report is %+v, %v", r, ok)
	}
	// The store went back, and another holder decided otherwise.
	if n := f.collector.Seen(usage.Stored{Newest: 999, Windows: map[usage.Window]usage.Counts{999: {}}}); n != 0 {
		t.Errorf("%d windows differ", n)
	}
	if n := f.collector.Seen(usage.Stored{Newest: 1000, Windows: map[usage.Window]usage.Counts{1000: {"a": 1}}}); n != 1 {
		t.Errorf("%d windows differ, want 1", n)
	}
	if r, _ := f.collector.Next(at(7)); r.Window == 1000 && r.Counts["a"] != 7 {
		t.Errorf("the decided counts were replaced: %+v", r)
	}
	// A window that ended before the restore, by a holder that took over after its end.
	f.send(t, at(11), 0, 1)
	lost := usage.Tenure{Since: at(10.5), EraRoseAt: at(10.2)}
	if p, ok := f.decide(at(13), lost); !ok || len(p.Decided) > 0 || !slices.Equal(p.LeftOut, []usage.Window{1001}) {
		t.Errorf("after a restore: %+v, %v", p, ok)
	}
	// The same by a holder from the end of the window on.
	kept := usage.Tenure{Since: at(-50), EraRoseAt: at(10.2)}
	if p, ok := f.decide(at(13), kept); !ok || !slices.Equal(p.Decided, []usage.Window{1001}) {
		t.Errorf("after a restore, without a break: %+v, %v", p, ok)
	}
}

// Guards against reports that are sent out of order, too often or not again, and against
// windows that block the others.
func TestReports(t *testing.T) {
	f := newFleet(1)
	tenure := usage.Tenure{Since: at(-50)}
	f.collector.Seen(usage.Stored{Newest: 999})
	f.send(t, at(10.1), 0)
	p, _ := f.decide(at(11.5), tenure)
	if _, ok := f.collector.Next(at(11.5)); ok {
		t.Error("a report is sent before its counts are in the store")
	}
	f.collector.Written(p)
	var pauses []time.Duration
	now := at(11.6)
	for range 6 {
		r, ok := f.collector.Next(now)
		if !ok || r.Window != 1000 {
			t.Fatalf("next report is %+v, %v", r, ok)
		}
		pause := f.collector.Sent(r.Window, usage.Unanswered, now, 0)
		if _, ok := f.collector.Next(now.Add(pause - 1)); ok {
			t.Error("sent again before the pause is over")
		}
		now = now.Add(pause)
		pauses = append(pauses, pause)
	}
	want := []time.Duration{200, 400, 800, 1600, 2000, 2000}
	for i := range want {
		if pauses[i] != want[i]*time.Millisecond {
			t.Errorf("pause %d is %v", i, pauses[i])
		}
	}
	f.collector.Sent(1000, usage.Rejected, now, 0)
	if r, _ := f.collector.Next(now); r.Window != 1001 {
		t.Errorf("after a rejected report the next one is of window %d", r.Window)
	}
	f.collector.Sent(1001, usage.Accepted, now, 0)
	if r, ok := f.collector.Next(now.Add(2 * time.Second)); !ok || r.Window != 1000 {
		t.Errorf("the rejected report is not sent again: %+v, %v", r, ok)
	}
	if e := f.collector.Expired(at(65.1)); !slices.Equal(e, []usage.Window{1000}) {
		t.Errorf("given up: %v", e)
	}
	if _, ok := f.collector.Next(at(65.2)); ok {
		t.Error("a report is sent later than 60 s after its window")
	}
}

// Guards against more decided windows in the store than it is meant to keep.
func TestStoreKeepsSixWindows(t *testing.T) {
	f := newFleet(1)
	f.collector.Seen(usage.Stored{Newest: 999})
	for i := range 9 {
		now := at(float64(5*i) + 6.5)
		f.send(t, now, 0)
		p, ok := f.decide(now, usage.Tenure{Since: at(-50)})
		if !ok || len(p.Stored.Windows) > 6 || p.Stored.Windows[usage.Window(1000+i)] == nil {
			t.Fatalf("decision %d is %+v, %v", i, p, ok)
		}
		f.collector.Written(p)
	}
}

// Guards against windows that shift because the time of day jumps, and against a clock that
// stays wrong for ever.
func TestClock(t *testing.T) {
	mono := time.Unix(100, 0)
	c := usage.NewClock(start, mono)
	now, jumped := c.Now(at(10), mono.Add(10*time.Second))
	if !now.Equal(at(10)) || jumped != 0 {
		t.Errorf("time is %v, jumped %v", now, jumped)
	}
	for s := 11; s < 71; s++ {
		now, jumped = c.Now(at(float64(s)+30), mono.Add(time.Duration(s)*time.Second))
		if !now.Equal(at(float64(s))) || jumped != 0 {
			t.Fatalf("%d s after a jump the time is %v, jumped %v", s-11, now, jumped)
		}
	}
	if _, jumped = c.Now(at(101), mono.Add(71*time.Second)); jumped != 30*time.Second {
		t.Errorf("a jump was not accepted after 60 s: %v", jumped)
	}
	if now, _ = c.Now(at(102), mono.Add(72*time.Second)); !now.Equal(at(102)) {
		t.Errorf("time is %v", now)
	}
}
