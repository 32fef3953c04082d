package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"time"

	"github.com/gooseberryroad/gooseberryroad/fleet"
	"github.com/gooseberryroad/gooseberryroad/standin"
)

// CapacityScenario names the measurement of what control costs.
const CapacityScenario = "capacity"

// capacitySizes vary the daemons at 25 replicas and the replicas at 9 daemons.
var capacitySizes = []struct{ daemons, replicas int }{
	{3, 25}, {9, 25}, {18, 25}, {30, 25}, {9, 10}, {9, 100}, {9, 300},
}

const (
	// settleTime lets links form and first polls end.
	settleTime = 5 * time.Second
	idleTime   = 6 * time.Second
	// capacityChanges is the number of configuration changes of one size.
	capacityChanges = 10
)

// CapacityPoint is what one size costs. Figures are means per daemon unless
// the name says otherwise.
type CapacityPoint struct {
	Daemons  int `json:"daemons"`
	Replicas int `json:"replicas"`
	// ControlBytes are in and out of peer links in a second while idle,
	// ControlBytesPerChange those of one change on top.
	ControlBytesPerSecond float64 `json:"control_bytes_per_s"`
	ControlBytesPerChange float64 `json:"control_bytes_per_change"`
	// StoreCalls of all daemons in a second while idle, by kind, and for one
	// change.
	StoreWatches        float64 `json:"store_watches_per_s"`
	StoreLists          float64 `json:"store_lists_per_s"`
	StoreGets           float64 `json:"store_gets_per_s"`
	StoreWrites         float64 `json:"store_writes_per_s"`
	StoreCallsPerChange float64 `json:"store_calls_per_change"`
	// CPUShare is of one core while idle, CPUPerChange in milliseconds.
	IdleCPUShare   float64 `json:"cpu_share_idle"`
	CPUPerChangeMS float64 `json:"cpu_ms_per_change"`
	ResidentBytes  float64 `json:"resident_bytes"`
	// InForce is how long a change took until all daemons had it.
	InForceMS   Quantiles `json:"in_force_ms"`
	LoadAverage float64   `json:"load_average"`
}

// Slope is the rise of a figure for one more daemon or replica.
type Slope struct {
	Figure string  `json:"figure"`
	Per    string  `json:"per"`
	Rise   float64 `json:"rise"`
	// At is the fitted value at no daemon or replica.
	AtZero float64 `json:"at_zero"`
}

// Capacity is the result of the measurement.
type Capacity struct {
	Scenario   string          `json:"scenario"`
	Seed       uint64          `json:"seed"`
	Processors int             `json:"processors"`
	Points     []CapacityPoint `json:"points"`
	Slopes     []Slope         `json:"slopes"`
	Node       NodeSize        `json:"node_at_target"`
}

// RunCapacity measures the costs of control. Each daemon is a process.
func RunCapacity(ctx context.Context, o Options) (*Capacity, error) {
	c := &Capacity{Scenario: CapacityScenario, Seed: o.Seed, Processors: runtime.GOMAXPROCS(0)}
	// First, so that the heap holds nothing else.
	c.Node = MeasureNode(o.Seed)
	for _, size := range capacitySizes {
		p, err := measureCapacity(ctx, size.daemons, size.replicas)
		if err != nil {
			return nil, err
		}
		if o.Progress != nil {
			fmt.Fprintf(o.Progress, "%d daemons, %d replicas measured\n", size.daemons, size.replicas)
		}
		c.Points = append(c.Points, *p)
	}
	c.fit()
	return c, nil
}

func measureCapacity(ctx context.Context, daemons, replicas int) (*CapacityPoint, error) {
	// Nothing reads what the engines compute, so their reports may be rare.
	f, err := fleet.Start(ctx, fleet.Options{Engines: replicas, DataCentres: 4, Accounts: 10,
		Engine: standin.EngineOptions{LoadInterval: 500 * time.Millisecond}})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	p, err := startProcesses(ctx, f, daemons)
	if err != nil {
		return nil, err
	}
	defer p.close()
	if _, err := p.apply(ctx, f, fleet.ModelService, f.Document(fleet.Versions{Serving: "v1"})); err != nil {
		return nil, err
	}
	if err := sleepUntil(ctx, time.Now().Add(settleTime)); err != nil {
		return nil, err
	}
	out := &CapacityPoint{Daemons: daemons, Replicas: replicas, LoadAverage: loadAverage()}
	before, calls, err := p.both(ctx, f)
	if err != nil {
		return nil, err
	}
	if err := sleepUntil(ctx, time.Now().Add(idleTime)); err != nil {
		return nil, err
	}
	idle, idleCalls, err := p.both(ctx, f)
	if err != nil {
		return nil, err
	}
	seconds := idle.at.Sub(before.at).Seconds()
	out.ControlBytesPerSecond = (idle.control - before.control) / seconds
	out.IdleCPUShare = (idle.processor - before.processor).Seconds() / seconds
	out.ResidentBytes = idle.resident
	out.StoreWatches = float64(idleCalls.Watches-calls.Watches) / seconds
	out.StoreLists = float64(idleCalls.Lists-calls.Lists) / seconds
	out.StoreGets = float64(idleCalls.Gets-calls.Gets) / seconds
	out.StoreWrites = float64(writes(idleCalls)-writes(calls)) / seconds
	return out, p.changes(ctx, f, out)
}

// changes measures configuration changes. What the daemons use while idle is
// taken off.
func (p *processes) changes(ctx context.Context, f *fleet.Fleet, out *CapacityPoint) error {
	before, calls, err := p.both(ctx, f)
	if err != nil {
		return err
	}
	inForce := newRecorder()
	for i := range capacityChanges {
		d, err := p.apply(ctx, f, "small", smallDocument("small", i))
		if err != nil {
			return err
		}
		inForce.add(d)
	}
	// Digests that follow a change belong to it.
	if err := sleepUntil(ctx, time.Now().Add(2*time.Second)); err != nil {
		return err
	}
	after, afterCalls, err := p.both(ctx, f)
	if err != nil {
		return err
	}
	seconds := after.at.Sub(before.at).Seconds()
	perChange := func(used, idlePerSecond float64) float64 { return (used - idlePerSecond*seconds) / capacityChanges }
	out.InForceMS = inForce.quantiles()
	out.ControlBytesPerChange = perChange(after.control-before.control, out.ControlBytesPerSecond)
	out.CPUPerChangeMS = 1000 * perChange((after.processor-before.processor).Seconds(), out.IdleCPUShare)
	out.StoreCallsPerChange = perChange(float64(afterCalls.Calls()-calls.Calls()),
		out.StoreWatches+out.StoreLists+out.StoreGets+out.StoreWrites)
	return nil
}

func writes(s standin.StoreStats) int64 { return s.Puts + s.Deletes + s.Txns }

func (p *processes) both(ctx context.Context, f *fleet.Fleet) (usage, standin.StoreStats, error) {
	u, err := p.usage(ctx)
	return u, f.Store.Stats(), err
}

// loadAverage is the machine's load over the last minute, 0 if it is unknown.
func loadAverage() float64 {
	var load float64
	if b, err := os.ReadFile("/proc/loadavg"); err == nil {
		if _, err := fmt.Sscan(string(b), &load); err != nil {
			return 0
		}
	}
	return load
}

// fit works out the slopes.
func (c *Capacity) fit() {
	figures := []struct {
		name  string
		value func(CapacityPoint) float64
	}{
		{"control_bytes_per_s", func(p CapacityPoint) float64 { return p.ControlBytesPerSecond }},
		{"control_bytes_per_change", func(p CapacityPoint) float64 { return p.ControlBytesPerChange }},
		{"store_calls_per_s", func(p CapacityPoint) float64 {
			return p.StoreWatches + p.StoreLists + p.StoreGets + p.StoreWrites
		}},
		{"store_calls_per_change", func(p CapacityPoint) float64 { return p.StoreCallsPerChange }},
		{"cpu_share_idle", func(p CapacityPoint) float64 { return p.IdleCPUShare }},
		{"cpu_ms_per_change", func(p CapacityPoint) float64 { return p.CPUPerChangeMS }},
		{"resident_bytes", func(p CapacityPoint) float64 { return p.ResidentBytes }},
		{"in_force_ms_p95", func(p CapacityPoint) float64 { return p.InForceMS.P95 }},
	}
	for _, f := range figures {
		for _, per := range []string{"daemon", "replica"} {
			var xs, ys []float64
			for _, p := range c.Points {
				switch {
				case per == "daemon" && p.Replicas == 25:
					xs = append(xs, float64(p.Daemons))
				case per == "replica" && p.Daemons == 9:
					xs = append(xs, float64(p.Replicas))
				default:
					continue
				}
				ys = append(ys, f.value(p))
			}
			rise, at := leastSquares(xs, ys)
			c.Slopes = append(c.Slopes, Slope{Figure: f.name, Per: per, Rise: rise, AtZero: at})
		}
	}
}

// leastSquares fits a line and returns its slope and its value at 0.
func leastSquares(xs, ys []float64) (slope, at float64) {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i, x := range xs {
		sx, sy, sxx, sxy = sx+x, sy+ys[i], sxx+x*x, sxy+x*ys[i]
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return 0, 0
	}
	slope = (n*sxy - sx*sy) / d
	return slope, (sy - slope*sx) / n
}

// WriteJSON writes the result as one JSON object.
func (c *Capacity) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(c)
}

// WriteText writes tables.
func (c *Capacity) WriteText(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "%7s %8s %9s %9s %8s %8s %7s %9s %8s %9s %8s\n", "daemons", "replicas", "B/s", "B/change",
		"store/s", "st/chg", "cpu %", "ms/change", "MB", "force p95", "load"); err != nil {
		return err
	}
	for _, p := range c.Points {
		if _, err := fmt.Fprintf(w, "%7d %8d %9.0f %9.0f %8.2f %8.2f %7.2f %9.2f %8.1f %9.0f %8.1f\n", p.Daemons, p.Replicas, p.ControlBytesPerSecond, p.ControlBytesPerChange,
			p.StoreWatches+p.StoreLists+p.StoreGets+p.StoreWrites, p.StoreCallsPerChange, 100*p.IdleCPUShare, p.CPUPerChangeMS, p.ResidentBytes/1e6, p.InForceMS.P95, p.LoadAverage); err != nil {
			return err
		}
	}
	for _, s := range c.Slopes {
		if _, err := fmt.Fprintf(w, "%-26s %12.5g and %12.5g for each %s\n", s.Figure, s.AtZero, s.Rise, s.Per); err != nil {
			return err
		}
	}
	n := c.Node
	_, err := fmt.Fprintf(w, "package node at %d daemons, %d replicas, %d accounts: heap %.1f MB, documents %.1f MB, %.1f us a Step (max %.1f ms), %.2f%% of a core, %.1f ms for a changed document, %d members alive, %d links, %.0f B/s in and %.0f B/s out\n",
		n.Daemons, n.Replicas, n.Accounts, float64(n.HeapBytes)/1e6, float64(n.StoredBytes)/1e6, n.StepMeanUS, n.StepMaxMS, 100*n.CPUShare, n.ChangeMS, n.Members, n.Links, n.MessageBytesInPerSecond, n.MessageBytesOutPerSecond)
	return err
}
