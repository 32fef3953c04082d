package sizing_test

import (
	"cmp"
	"container/heap"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/gooseberryroad/gooseberryroad/registry"
	"github.com/gooseberryroad/gooseberryroad/routes"
	"github.com/gooseberryroad/gooseberryroad/sizing"
)

const (
	service = "chat"
	tick    = 10 * time.Millisecond
	// prefill is the time in which an engine reads the prompt of promptTokens, output the
	// time of its 130 events of 6 tokens at about 5.4 ms a token.
	prefill      = 1040 * time.Millisecond
	promptTokens = 5200
	output       = 4200 * time.Millisecond
	usualRate    = 57.0
	objective    = 4500 * time.Millisecond
	startTime    = 8 * time.Second
)

type testEngine struct {
	id, dataCentre string
	// readyAt is when the engine registers, idleAt when it has read all its prompts.
	readyAt, idleAt time.Time
	startedMs       int64
	running         int
	draining, down  bool
}

type testDaemon struct {
	name  string
	meter *sizing.Meter
	// reading counts the daemon's prompts at each engine.
	reading map[string]int
	silent  bool
}

type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// sentOrder is an order with its time since the start.
type sentOrder struct {
	sizing.Order
	at time.Duration
}

// fleet is a model of daemons, engines and the control service that carries orders out.
// An engine reads one prompt after the other. Each stream goes to the engine with the
// least work of three at random.
type fleet struct {
	t          *testing.T
	rnd        *rand.Rand
	start, now time.Time
	rate       func(at time.Duration) float64
	daemons    []*testDaemon
	engines    []*testEngine
	wanted     map[string]int
	planner    *sizing.Planner
	scaling    routes.Scaling
	moving     bool
	// removed data centres start no engines.
	removed     map[string]bool
	pending     events
	orders      []sentOrder
	firstEvents []time.Duration
	late        int
	started     int
	// engineSeconds is what all engines cost since the start.
	engineSeconds float64
	// deliver passes a message on; nil passes it at once.
	deliver func(d *testDaemon, m sizing.Message)
	// actions happen at a time since the start.
	// lowerAfter is how long the planner observes before it orders less.
	lowerAfter time.Duration
	actions    map[time.Duration]func()
}

var usualEngines = map[string]int{"a": 46, "b": 44, "c": 44, "d": 44}

func newFleet(t *testing.T, seed uint64, engines map[string]int) *fleet {
	f := &fleet{
		t: t, rnd: rand.New(rand.NewPCG(seed, 7)), start: time.UnixMilli(1_790_000_000_000),
		rate: func(time.Duration) float64 { return usualRate }, wanted: maps.Clone(engines),
		scaling: routes.Scaling{Min: 19, Max: 46, StartTime: startTime}, actions: map[time.Duration]func(){},
	}
	f.now = f.start
	for i := range 75 {
		f.daemons = append(f.daemons, &testDaemon{
			name: fmt.Sprintf("daemon-%d", i), reading: map[string]int{},
			// Daemons have started at different times, so that their intervals differ.
			meter: sizing.NewMeter(string("abcd"[i%4]), f.now.Add(-time.Duration(i)*137*time.Millisecond)),
		})
	}
	for _, dc := range slices.Sorted(maps.Keys(engines)) {
		for range engines[dc] {
			f.startEngine(dc, f.now)
		}
	}
	f.planner = sizing.NewPlanner(f.now)
	return f
}

func (f *fleet) startEngine(dc string, ready time.Time) {
	f.started++
	f.engines = append(f.engines, &testEngine{id: fmt.Sprintf("e%d", f.started), dataCentre: dc, readyAt: ready, startedMs: f.now.UnixMilli()})
}

func (f *fleet) elapsed() time.Duration { return f.now.Sub(f.start) }

func (f *fleet) later(after time.Duration, do func()) {
	heap.Push(&f.pending, event{f.now.Add(after), do})
}

func (e *testEngine) serves(now time.Time) bool { return !e.down && !e.readyAt.After(now) }

// service returns what the directory knows.
func (f *fleet) service() sizing.Service {
	s := sizing.Service{Name: service, Scaling: f.scaling, Objective: objective, Moving: f.moving, Daemons: len(f.daemons), LowerAfter: f.lowerAfter}
	for _, e := range f.engines {
		if e.serves(f.now) {
			s.Instances = append(s.Instances, registry.Instance{ID: e.id, Service: service, DataCentre: e.dataCentre,
				Slots: 12, Draining: e.draining, StartUnixMilli: e.startedMs})
		}
	}
	return s
}

// send sends a stream to an engine.
func (f *fleet) send(d *testDaemon, arrived time.Time, again bool) {
	var best *testEngine
	usable := make([]*testEngine, 0, len(f.engines))
	for _, e := range f.engines {
		if e.serves(f.now) && !e.draining {
			usable = append(usable, e)
		}
	}
	if len(usable) == 0 {
		f.late++
		return
	}
	for range 3 {
		if e := usable[f.rnd.IntN(len(usable))]; best == nil || e.idleAt.Before(best.idleAt) {
			best = e
		}
	}
	e, sent, started := best, f.now, best.startedMs
	if again {
		d.meter.ReadAgain(service, promptTokens, f.now)
	}
	d.meter.Sent(service, f.now)
	littleAhead := d.reading[e.id] == 0
	d.reading[e.id]++
	if e.idleAt.Before(f.now) {
		e.idleAt = f.now
	}
	e.idleAt = e.idleAt.Add(prefill)
	e.running++
	f.later(e.idleAt.Sub(f.now), func() {
		d.reading[e.id]--
		if e.down || e.startedMs != started {
			d.meter.Ended(service, 0, f.now)
			f.send(d, arrived, true)
			return
		}
		d.meter.FirstEvent(service, promptTokens, f.now.Sub(sent), littleAhead, f.now)
		f.firstEvents = append(f.firstEvents, f.now.Sub(arrived))
		if f.now.Sub(arrived) > objective {
			f.late++
		}
		f.later(output, func() {
			e.running--
			d.meter.Ended(service, output, f.now)
		})
	})
}

// crash ends the engines of a data centre, which come back after a time.
func (f *fleet) crash(dc string, away time.Duration) {
	for _, e := range f.engines {
		if e.dataCentre != dc || !e.serves(f.now) {
			continue
		}
		e.down = true
		f.later(away, func() {
			e.down, e.running, e.idleAt, e.startedMs = false, 0, f.now, f.now.UnixMilli()
		})
	}
}

// reconcile starts and drains engines as ordered. During a move an operator starts more.
func (f *fleet) reconcile() {
	count := map[string]int{}
	for _, e := range f.engines {
		if !e.draining {
			count[e.dataCentre]++
		}
	}
	for _, dc := range slices.Sorted(maps.Keys(f.wanted)) {
		for ; count[dc] < f.wanted[dc] && !f.removed[dc]; count[dc]++ {
			f.startEngine(dc, f.now.Add(f.scaling.StartTime))
		}
		for _, e := range f.engines {
			if !f.moving && count[dc] > f.wanted[dc] && e.dataCentre == dc && !e.draining {
				e.draining = true
				count[dc]--
			}
		}
	}
	f.engines = slices.DeleteFunc(f.engines, func(e *testEngine) bool {
		return e.draining && e.running == 0 && !e.idleAt.After(f.now) || f.removed[e.dataCentre] && e.readyAt.After(f.now)
	})
}

// run runs the fleet until a time since the start.
func (f *fleet) run(until time.Duration) {
	for ; f.elapsed() < until; f.now = f.now.Add(tick) {
		if do := f.actions[f.elapsed()]; do != nil {
			do()
		}
		for len(f.pending) > 0 && !f.pending[0].at.After(f.now) {
			heap.Pop(&f.pending).(event).do()
		}
		for n := f.poisson(f.rate(f.elapsed()) * tick.Seconds()); n > 0; n-- {
			d := f.daemons[f.rnd.IntN(len(f.daemons))]
			d.meter.Arrived(service, promptTokens, f.now)
			f.send(d, f.now, false)
		}
		f.engineSeconds += float64(len(f.engines)) * tick.Seconds()
		step := int(f.elapsed() / tick)
		for i, d := range f.daemons {
			if (step+i)%50 == 0 && !d.silent {
				f.deliverMessage(d)
			}
		}
		if step%20 == 0 {
			f.reconcile()
			f.planner.SetServices([]sizing.Service{f.service()}, f.now)
		}
		if step%100 == 0 {
			for _, o := range f.planner.Order(f.now) {
				f.orders = append(f.orders, sentOrder{o, f.elapsed()})
				f.wanted[o.DataCentre] = o.Number
			}
		}
	}
}

func (f *fleet) deliverMessage(d *testDaemon) {
	m := d.meter.Message(f.now)
	if d == f.daemons[0] {
		m = f.encodeAndDecode(m)
	}
	if f.deliver != nil {
		f.deliver(d, m)
		return
	}
	if err := f.planner.Merge(d.name, m, f.now); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) encodeAndDecode(m sizing.Message) (out sizing.Message) {
	b, err := json.Marshal(m)
	if err != nil {
		f.t.Fatal(err)
	}
	if err := json.Unmarshal(b, &out); err != nil {
		f.t.Fatal(err)
	}
	return out
}

// poisson returns a random number with a mean below about 10.
func (f *fleet) poisson(mean float64) int {
	limit, n := math.Exp(-mean), 0
	for p := f.rnd.Float64(); p > limit; p *= f.rnd.Float64() {
		n++
	}
	return n
}

// total returns the sum of the numbers in force.
func (f *fleet) total() int {
	sum := 0
	for _, n := range f.wanted {
		sum += n
	}
	return sum
}

// ordersIn returns the orders of a time, changes only or all.
func (f *fleet) ordersIn(from, to time.Duration) []sentOrder {
	var out []sentOrder
	for _, o := range f.orders {
		if o.at >= from && o.at < to {
			out = append(out, o)
		}
	}
	return out
}

// quantile returns a quantile of the times to the first event.
func (f *fleet) quantile(q float64) time.Duration {
	sorted := slices.SortedFunc(slices.Values(f.firstEvents), cmp.Compare)
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}

// logOrders shows the changes of a failed or verbose test.
func (f *fleet) logOrders() {
	f.t.Helper()
	for _, o := range f.orders {
		if o.Number != o.Previous {
			f.t.Logf("%6.2fs %s %d -> %d (%s)", o.at.Seconds(), o.DataCentre, o.Previous, o.Number, o.Reasons)
		}
	}
	f.t.Logf("total %d, mean %.1f, first events %d, late %d, median %s, p99 %s", f.total(), f.engineSeconds/f.elapsed().Seconds(),
		len(f.firstEvents), f.late, f.quantile(0.5), f.quantile(0.99))
}
