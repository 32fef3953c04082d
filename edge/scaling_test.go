package edge

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberryroad/gooseberryroad/registry"
	"github.com/gooseberryroad/gooseberryroad/relay"
	"github.com/gooseberryroad/gooseberryroad/sizing"
)

// Streams of the tests take a prefill of a tenth of a second, so that 60 a second keep 6
// engines busy. After the loss of one of two data centres the other one needs 8 at a use of 0.8.
const (
	testMin, testMax = 2, 40
	testStart        = 8 * time.Second
	testPrefill      = 100 * time.Millisecond
	testOutput       = 200 * time.Millisecond
	testRate         = 15.0
	testNumber       = 8
	// With three times the demand, the present demand alone needs testRaised in each.
	testRaised = 10
)

// testOrder is an order that the control service took.
type testOrder struct {
	at                  time.Time
	call                CloudCall
	service, dataCentre string
	n                   int
}

// stream lets streams arrive until ctx ends.
func (d *testDaemon) stream(ctx context.Context) {
	t := time.NewTicker(traffic)
	defer t.Stop()
	due := 0.0
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			d.w.store.mu.Lock()
			due += d.w.rate * traffic.Seconds()
			d.w.store.mu.Unlock()
			d.mu.Lock()
			for ; due >= 1; due-- {
				d.meter.Arrived("llm", 1000, now)
				d.meter.Sent("llm", now)
				d.meter.FirstEvent("llm", 1000, testPrefill, true, now)
				d.meter.Ended("llm", testOutput, now)
			}
			d.mu.Unlock()
		}
	}
}

func (d *testDaemon) demand(now time.Time) sizing.Message {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.meter.Message(now)
}

func (d *testDaemon) sendDemand(ctx context.Context, address string, m relay.Demand) error {
	d.w.store.mu.Lock()
	d.w.demands++
	d.w.store.mu.Unlock()
	receiver, err := d.reach(ctx, address)
	if err != nil {
		return err
	}
	return receiver.MergeDemand(m)
}

// newScaledWorld returns a world of four daemons and two data centres with some engines each.
// The control service starts and stops engines as they are ordered.
func newScaledWorld(t *testing.T, engines int) *dutyWorld {
	w := newPlannedWorld(t, 4, newSizingPlanner)
	w.setRate(testRate)
	w.store.mu.Lock()
	for _, dc := range []string{"a", "b"} {
		for i := range engines {
			w.store.instances = append(w.store.instances, registry.Instance{ID: fmt.Sprint(dc, i), Service: "llm", DataCentre: dc, Slots: 8})
		}
	}
	w.store.revision++
	w.store.changed(w.store.peers())
	w.store.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(w.logs.String())
		}
	})
	go w.runEngines(ctx)
	w.stopEngines = cancel
	return w
}

// end ends the world and returns the orders.
func (w *dutyWorld) end() []testOrder {
	for _, d := range w.daemons {
		d.cancel()
	}
	w.stopEngines()
	wait(3 * time.Second)
	synctest.Wait()
	for i, o := range w.cloud.orders {
		if o.service != "llm" || o.n < testMin || o.n > testMax {
			w.t.Errorf("order %d is %+v", i, o)
		}
		if i == 0 {
			continue
		}
		if last := w.cloud.orders[i-1]; o.call.Token < last.call.Token || o.call.Token == last.call.Token && o.call.Holder != last.call.Holder {
			w.t.Errorf("order of %+v after %+v", o.call, last.call)
		}
	}
	return w.cloud.orders
}

func (w *dutyWorld) setRate(rate float64) {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.rate = rate
}

// runEngines carries out what is ordered: an engine serves testStart after its order.
func (w *dutyWorld) runEngines(ctx context.Context) {
	t := time.NewTicker(100 * time.Millisecond)
	defer t.Stop()
	next, startAt := 1000, map[string][]time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		wanted := w.numbers(w.ordersSince(time.Time{}))
		w.store.mu.Lock()
		changed := false
		for _, dc := range []string{"a", "b"} {
			n, ordered := wanted[dc]
			if !ordered {
				continue
			}
			for len(startAt[dc]) > 0 && !time.Now().Before(startAt[dc][0]) {
				startAt[dc] = startAt[dc][1:]
				next++
				w.store.instances = append(w.store.instances, registry.Instance{ID: fmt.Sprint(dc, next), Service: "llm", DataCentre: dc, Slots: 8})
				changed = true
			}
			serving := 0
			for _, in := range w.store.instances {
				if in.DataCentre == dc {
					serving++
				}
			}
			for serving+len(startAt[dc]) < n {
				startAt[dc] = append(startAt[dc], time.Now().Add(testStart))
			}
			for serving+len(startAt[dc]) > n {
				if k := len(startAt[dc]); k > 0 {
					startAt[dc] = startAt[dc][:k-1]
					continue
				}
				i := slices.IndexFunc(w.store.instances, func(in registry.Instance) bool { return in.DataCentre == dc })
				w.store.instances = slices.Delete(slices.Clone(w.store.instances), i, i+1)
				serving--
				changed = true
			}
		}
		if changed {
			w.store.revision++
			w.store.changed(w.store.peers())
		}
		w.store.mu.Unlock()
	}
}

// ordersSince returns the orders that were taken from a time on.
func (w *dutyWorld) ordersSince(since time.Time) []testOrder {
	w.cloud.mu.Lock()
	defer w.cloud.mu.Unlock()
	i := slices.IndexFunc(w.cloud.orders, func(o testOrder) bool { return !o.at.Before(since) })
	if i < 0 {
		return nil
	}
	return slices.Clone(w.cloud.orders[i:])
}

// numbers returns the last numbers by data centre.
func (w *dutyWorld) numbers(orders []testOrder) map[string]int {
	out := map[string]int{}
	for _, o := range orders {
		out[o.dataCentre] = o.n
	}
	return out
}

// scalingHolder returns the daemon that holds the service.
func (w *dutyWorld) scalingHolder() *testDaemon {
	w.t.Helper()
	h := w.holderOf(subjectScalingStart + "llm")
	if h == nil {
		w.t.Fatal("nobody holds the service")
	}
	return h
}

func (w *dutyWorld) expectNumbers(when string, low, high int) {
	w.t.Helper()
	got := w.numbers(w.ordersSince(time.Time{}))
	for _, dc := range []string{"a", "b"} {
		if got[dc] < low || got[dc] > high {
			w.t.Errorf("%s: %d ordered in %s, want %d to %d", when, got[dc], dc, low, high)
		}
	}
}

// Guards against replicas that are not ordered, do not follow the demand of all daemons, or
// are stopped too fast.
func TestOrdersFollowTheDemandOfAllDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newScaledWorld(t, 4)
		wait(25 * time.Second)
		w.expectNumbers("usual demand", testNumber, testNumber+1)
		w.setRate(3 * testRate)
		raisedAt := time.Now()
		wait(25 * time.Second)
		w.expectNumbers("three times the demand", 22, 27)
		for _, dc := range []string{"a", "b"} {
			orders := w.ordersSince(raisedAt)
			if i := slices.IndexFunc(orders, func(o testOrder) bool { return o.dataCentre == dc && o.n >= testRaised }); i < 0 || orders[i].at.Sub(raisedAt) > 6*time.Second {
				t.Errorf("a higher demand is not ordered at once in %s: %v", dc, orders)
			}
		}
		w.setRate(20 * testRate)
		wait(30 * time.Second)
		w.expectNumbers("more than the maximum", testMax, testMax)
		w.setRate(0)
		wait(150 * time.Second)
		w.expectNumbers("no demand", testMin, testMin)
		h := w.scalingHolder()
		h.d.mu.Lock()
		token, _ := h.d.machine.Holding(subjectScalingStart+"llm", h.d.o.SinceBoot())
		h.d.mu.Unlock()
		lowered := map[string]testOrder{}
		for _, o := range w.end() {
			if o.call != (CloudCall{Holder: h.name, Token: token}) {
				t.Errorf("order of %+v, the holder is %s with token %d", o.call, h.name, token)
			}
			last, ok := lowered[o.dataCentre]
			if ok && o.n < last.n && (o.at.Sub(last.at) < 2900*time.Millisecond || last.n-o.n > max(last.n/10, 1)) {
				t.Errorf("%d after %d in %s within %v", o.n, last.n, o.dataCentre, o.at.Sub(last.at))
			}
			if !ok || o.n != last.n {
				lowered[o.dataCentre] = o
			}
		}
	})
}

// Guards against a service without orders, or with less replicas than it needs, after its
// holder was lost.
func TestOrdersGoOnAfterTheHolderIsKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newScaledWorld(t, 4)
		wait(40 * time.Second)
		h := w.scalingHolder()
		h.kill()
		killedAt := time.Now()
		// A quarter of the demand was at the daemon that is gone.
		w.setRate(testRate * 4 / 3)
		wait(40 * time.Second)
		w.expectNumbers("the same demand at three daemons", testNumber, testNumber+2)
		after := w.ordersSince(killedAt.Add(linkTime))
		if len(after) < 4 {
			t.Errorf("orders after the kill: %+v", after)
		}
		takenAt := time.Time{}
		for _, o := range after {
			if o.call.Holder == h.name {
				t.Errorf("order of the daemon that was killed: %+v", o)
			}
			if takenAt.IsZero() {
				takenAt = o.at
			}
			if o.n < testNumber {
				t.Errorf("%d ordered in %s, %v after the kill", o.n, o.dataCentre, o.at.Sub(killedAt))
			}
		}
		w.end()
	})
}

// Guards against a successor that stops replicas before it knows the demand.
func TestSuccessorLowersNothingBeforeItHasSeenTenSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newScaledWorld(t, 12)
		wait(5 * time.Second)
		h := w.scalingHolder()
		killedAt := time.Now()
		h.kill()
		for w.holderOf(subjectScalingStart+"llm") == nil {
			wait(10 * time.Millisecond)
		}
		takenAt := time.Now()
		w.setRate(testRate * 4 / 3)
		wait(50 * time.Second)
		w.expectNumbers("after the takeover", testNumber, testNumber+2)
		for _, o := range w.end() {
			if o.n < 12 && o.at.Sub(takenAt) < 10*time.Second {
				t.Errorf("%d ordered in %s %v after the take, %v after the kill", o.n, o.dataCentre, o.at.Sub(takenAt), o.at.Sub(killedAt))
			}
		}
	})
}

// Guards against a daemon that gave a service up and keeps its messages and orders, or takes
// more of them.
func TestDaemonForgetsAServiceThatItGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newScaledWorld(t, 4)
		wait(20 * time.Second)
		h := w.scalingHolder()
		h.d.stop(context.Background())
		stopped := time.Now()
		wait(5 * time.Second)
		h.d.mu.Lock()
		if s := h.d.scaling; s.planner != nil || len(s.held)+len(s.queue)+len(s.calledAt) > 0 {
			t.Errorf("still there: %+v", s)
		}
		h.d.mu.Unlock()
		if err := h.d.MergeDemand(relay.Demand{Daemon: "d9"}); err == nil {
			t.Error("demand is taken by a daemon that holds no service")
		}
		wait(15 * time.Second)
		after := w.ordersSince(stopped)
		for _, o := range after {
			if o.call.Holder == h.name {
				t.Errorf("order of the daemon that stopped: %+v", o)
			}
		}
		if len(after) == 0 {
			t.Error("no orders after the stop")
		}
		w.end()
	})
}

// Guards against an order that is lost because its response was lost or because the control
// service took no calls.
func TestOrdersThatDidNotGoThroughAreSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newScaledWorld(t, 4)
		// expect checks that each data centre gets a number of at least n within the time that
		// a repeat takes.
		expect := func(what string, since time.Time, n, times int) {
			t.Helper()
			sent := map[string]int{}
			for _, o := range w.ordersSince(since) {
				if o.n >= n {
					sent[o.dataCentre]++
				}
			}
			if sent["a"] != times || sent["b"] != times {
				t.Errorf("%s: orders are %+v", what, w.ordersSince(since))
			}
		}
		wait(60 * time.Second)
		last := w.ordersSince(time.Time{})
		w.cloud.mu.Lock()
		w.cloud.loseOrders = 2
		w.cloud.mu.Unlock()
		// The numbers are sent again after 10 s at the latest.
		for n := len(last); len(w.ordersSince(time.Time{})) < n+2; {
			wait(10 * time.Millisecond)
		}
		lostAt := w.ordersSince(time.Time{})[len(last)].at
		wait(1500 * time.Millisecond)
		expect("responses lost", lostAt, testNumber, 2)

		w.cloud.mu.Lock()
		w.cloud.turnAway = true
		w.cloud.mu.Unlock()
		w.setRate(3 * testRate)
		wait(7 * time.Second)
		refusedUntil := time.Now()
		w.cloud.mu.Lock()
		w.cloud.turnAway = false
		w.cloud.mu.Unlock()
		wait(1200 * time.Millisecond)
		expect("refused", refusedUntil, testRaised, 1)
		w.end()
	})
}

// Guards against replicas that are stopped many at a time once the control service takes
// calls again: the steps of the orders that it refused must not add up.
func TestStepsOfRefusedOrdersDoNotAddUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newScaledWorld(t, 30)
		wait(20 * time.Second)
		before := w.numbers(w.ordersSince(time.Time{}))
		w.cloud.mu.Lock()
		w.cloud.turnAway = true
		w.cloud.mu.Unlock()
		wait(20 * time.Second)
		w.cloud.mu.Lock()
		w.cloud.turnAway = false
		w.cloud.mu.Unlock()
		back := time.Now()
		wait(2900 * time.Millisecond)
		for dc, n := range w.numbers(w.ordersSince(back)) {
			if before[dc] < 20 || before[dc]-n > before[dc]/10 || n > before[dc] {
				t.Errorf("%d ordered in %s, %d before", n, dc, before[dc])
			}
		}
		if len(w.ordersSince(back)) == 0 {
			t.Error("nothing is ordered")
		}
		wait(30 * time.Second)
		if got := w.numbers(w.ordersSince(back)); got["a"] > 18 || got["b"] > 18 {
			t.Errorf("numbers are not lowered after the refusals: %v", got)
		}
		w.end()
	})
}

// Guards against replicas that are stopped because the demand of other daemons is not heard.
func TestNothingLowerWithoutTheOtherDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newScaledWorld(t, testNumber)
		for _, d := range w.daemons {
			d.set(func() { d.noOthers = true })
		}
		wait(90 * time.Second)
		w.scalingHolder()
		orders := w.end()
		for _, o := range orders {
			if o.n < testNumber {
				t.Errorf("%d ordered in %s", o.n, o.dataCentre)
			}
		}
		if len(orders) < 10 {
			t.Errorf("the numbers are not sent again: %+v", orders)
		}
	})
}

// Guards against messages that are sent more often than every half second or not at all, and
// against those of deployments that order no replicas.
func TestMessagesWithDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newScaledWorld(t, 4)
		wait(10 * time.Second)
		w.store.mu.Lock()
		before := w.demands
		w.store.mu.Unlock()
		wait(10 * time.Second)
		w.store.mu.Lock()
		n := w.demands - before
		w.store.mu.Unlock()
		// Three daemons send one message for each interval of a second.
		if n < 27 || n > 33 {
			t.Errorf("%d messages in 10 s", n)
		}
		w.end()
	})
	synctest.Test(t, func(t *testing.T) {
		w := newDutyWorld(t, 4)
		wait(10 * time.Second)
		if w.effect(); w.demands > 0 || len(w.cloud.orders) > 0 {
			t.Errorf("%d messages, orders %v", w.demands, w.cloud.orders)
		}
	})
}

// onePlan orders a number in each of two data centres, until the orders are accepted.
type onePlan struct{ open map[string]int }

func (p *onePlan) Merge(string, sizing.Message, time.Time) error { return nil }

func (p *onePlan) SetServices([]sizing.Service, time.Time) {}

func (p *onePlan) MaySend(sizing.Order, time.Time) bool { return true }

func (p *onePlan) Order(time.Time) (out []sizing.Order) {
	for _, dc := range []string{"a", "b"} {
		if n, ok := p.open[dc]; ok {
			out = append(out, sizing.Order{Service: "llm", DataCentre: dc, Number: n})
			delete(p.open, dc)
		}
	}
	return out
}

func (p *onePlan) Failed(o sizing.Order) { p.open[o.DataCentre] = o.Number }

// Guards against orders of replicas by daemons that do not hold the service's subject, and
// against orders that are lost while the control service takes no calls.
func TestHolderOfAServiceOrdersReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newPlannedWorld(t, 4, func(time.Time) replicaPlanner { return &onePlan{open: map[string]int{"a": 3, "b": 2}} })
		w.cloud.mu.Lock()
		w.cloud.turnAway = true
		w.cloud.mu.Unlock()
		wait(8 * time.Second)
		w.cloud.mu.Lock()
		w.cloud.turnAway = false
		w.cloud.mu.Unlock()
		w.effect()
		if len(w.cloud.orders) != 2 {
			t.Fatalf("orders are %v", w.cloud.orders)
		}
		for i, want := range []string{"a 3", "b 2"} {
			o := w.cloud.orders[i]
			if o.call != w.cloud.orders[0].call || o.service != "llm" || fmt.Sprint(o.dataCentre, " ", o.n) != want {
				t.Errorf("order %d is %+v, want %s", i, o, want)
			}
		}
	})
}
