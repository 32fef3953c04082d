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

// CapacityScenario names the measurement of the costs of control: what daemons
// use without load, while idle and for changes of configuration.
const CapacityScenario = "capacity"

// capacitySizes vary the number of daemons at 25 replicas and the number of
// replicas at 9 daemons.
var capacitySizes = []struct{ daemons, replicas int }{
	{3, 25}, {9, 25}, {18, 25}, {30, 25}, {9, 10}, {9, 100}, {9, 300},
}

const (
	// settleTime is the wait before a measurement, in which peer links form and the
	// first polls end.
	settleTime = 5 * time.Second
	// idleTime is how long daemons are measured while idle.
	idleTime = 6 * time.Second
	// capacityChanges is the number of configuration changes measured at each size.
	capacityChanges = 10
)

// CapacityPoint is the cost of control at one size. The figures of peer links,
// processor time and memory are means per daemon.
type CapacityPoint struct {
	Daemons  int `json:"daemons"`
	Replicas int `json:"replicas"`
	// ControlBytesPerSecond are the bytes received and sent on peer links per second
	// while idle, ControlBytesPerChange the additional bytes for one change.
	ControlBytesPerSecond float64 `json:"control_bytes_per_s"`
	ControlBytesPerChange float64 `json:"control_bytes_per_change"`
	// Store calls of all daemons together: per second while idle, by kind, and
	// additional ones for one change.
	StoreWatches        float64 `json:"store_watches_per_s"`
	StoreLists          float64 `json:"store_lists_per_s"`
	StoreGets           float64 `json:"store_gets_per_s"`
	StoreWrites         float64 `json:"store_writes_per_s"`
	StoreCallsPerChange float64 `json:"store_calls_per_change"`
	// IdleCPUShare is the share of one core that is used while idle, CPUPerChangeMS
	// the additional processor time for one change in milliseconds.
	IdleCPUShare   float64 `json:"cpu_share_idle"`
	CPUPerChangeMS float64 `json:"cpu_ms_per_change"`
	ResidentBytes  float64 `json:"resident_bytes"`
	// InForceMS is how long a change took until all daemons had it in force.
	InForceMS   Quantiles `json:"in_force_ms"`
	LoadAverage float64   `json:"load_average"`
}

// Slope is how much a figure rises for each additional daemon or replica.
type Slope struct {
	Figure string  `json:"figure"`
	Per    string  `json:"per"`
	Rise   float64 `json:"rise"`
	// AtZero is the fitted value for no daemons or no replicas.
	AtZero float64 `json:"at_zero"`
}

// Capacity is the result of RunCapacity.
type Capacity struct {
	Scenario   string          `json:"scenario"`
	Seed       uint64          `json:"seed"`
	Processors int             `json:"processors"`
	Points     []CapacityPoint `json:"points"`
	Slopes     []Slope         `json:"slopes"`
	Node       NodeSize        `json:"node_at_target"`
}

// RunCapacity measures the costs of control. Each daemon runs as a separate
// process.
func RunCapacity(ctx context.Context, o Options) (*Capacity, error) {
	c := &Capacity{Scenario: CapacityScenario, Seed: o.Seed, Processors: runtime.GOMAXPROCS(0)}
	// MeasureNode runs first, so that the heap holds nothing else.
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
	c.fitSlopes()
	return c, nil
}

func measureCapacity(ctx context.Context, daemons, replicas int) (*CapacityPoint, error) {
	// No requests are sent, so load reports may be infrequent.
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
	usageBefore, storeBefore, err := p.usageAndStoreStats(ctx, f)
	if err != nil {
		return nil, err
	}
	if err := sleepUntil(ctx, time.Now().Add(idleTime)); err != nil {
		return nil, err
	}
	usageAfter, storeAfter, err := p.usageAndStoreStats(ctx, f)
	if err != nil {
		return nil, err
	}
	seconds := usageAfter.at.Sub(usageBefore.at).Seconds()
	out.ControlBytesPerSecond = (usageAfter.peerBytes - usageBefore.peerBytes) / seconds
	out.IdleCPUShare = (usageAfter.cpu - usageBefore.cpu).Seconds() / seconds
	out.ResidentBytes = usageAfter.residentBytes
	out.StoreWatches = float64(storeAfter.Watches-storeBefore.Watches) / seconds
	out.StoreLists = float64(storeAfter.Lists-storeBefore.Lists) / seconds
	out.StoreGets = float64(storeAfter.Gets-storeBefore.Gets) / seconds
	out.StoreWrites = float64(storeWrites(storeAfter)-storeWrites(storeBefore)) / seconds
	return out, p.measureChanges(ctx, f, out)
}

// measureChanges measures the costs of configuration changes. What the daemons
// use while idle is subtracted.
func (p *daemonProcesses) measureChanges(ctx context.Context, f *fleet.Fleet, out *CapacityPoint) error {
	usageBefore, storeBefore, err := p.usageAndStoreStats(ctx, f)
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
	// The digests that peers exchange after a change count as its cost.
	if err := sleepUntil(ctx, time.Now().Add(2*time.Second)); err != nil {
		return err
	}
	usageAfter, storeAfter, err := p.usageAndStoreStats(ctx, f)
	if err != nil {
		return err
	}
	seconds := usageAfter.at.Sub(usageBefore.at).Seconds()
	perChange := func(used, idlePerSecond float64) float64 { return (used - idlePerSecond*seconds) / capacityChanges }
	out.InForceMS = inForce.quantiles()
	out.ControlBytesPerChange = perChange(usageAfter.peerBytes-usageBefore.peerBytes, out.ControlBytesPerSecond)
	out.CPUPerChangeMS = 1000 * perChange((usageAfter.cpu-usageBefore.cpu).Seconds(), out.IdleCPUShare)
	out.StoreCallsPerChange = perChange(float64(storeAfter.Calls()-storeBefore.Calls()),
		out.StoreWatches+out.StoreLists+out.StoreGets+out.StoreWrites)
	return nil
}

func storeWrites(s standin.StoreStats) int64 { return s.Puts + s.Deletes + s.Txns }

func (p *daemonProcesses) usageAndStoreStats(ctx context.Context, f *fleet.Fleet) (usage, standin.StoreStats, error) {
	u, err := p.usage(ctx)
	return u, f.Store.Stats(), err
}

// loadAverage returns the machine's load average over the last minute, 0 if it is
// unknown.
func loadAverage() float64 {
	var load float64
	if b, err := os.ReadFile("/proc/loadavg"); err == nil {
		if _, err := fmt.Sscan(string(b), &load); err != nil {
			return 0
		}
	}
	return load
}

// fitSlopes fits a line to each figure by the number of daemons and another by the
// number of replicas.
func (c *Capacity) fitSlopes() {
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
			rise, intercept := leastSquares(xs, ys)
			c.Slopes = append(c.Slopes, Slope{Figure: f.name, Per: per, Rise: rise, AtZero: intercept})
		}
	}
}

// leastSquares fits a line to the points by least squares and returns its slope
// and its value at x = 0. It returns zeros if all xs are equal.
func leastSquares(xs, ys []float64) (slope, intercept float64) {
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

// WriteText writes the result as tables for a terminal.
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
