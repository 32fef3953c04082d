package bench

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Quantiles summarise a distribution of durations in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// recorder collects durations. It is safe for concurrent use.
type recorder struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newRecorder() *recorder {
	// Values are microseconds up to ten minutes, with three significant digits.
	return &recorder{histogram: hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)}
}

func (r *recorder) add(d time.Duration) {
	us := min(max(d.Microseconds(), 1), r.histogram.HighestTrackableValue())
	r.mu.Lock()
	defer r.mu.Unlock()
	// RecordValue cannot fail, because the value is clamped to the histogram's range.
	_ = r.histogram.RecordValue(us)
}

func (r *recorder) quantiles() Quantiles {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.histogram.TotalCount() == 0 {
		return Quantiles{}
	}
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Quantiles{
		Count: r.histogram.TotalCount(),
		P50:   ms(r.histogram.ValueAtQuantile(50)),
		P95:   ms(r.histogram.ValueAtQuantile(95)),
		P99:   ms(r.histogram.ValueAtQuantile(99)),
		Max:   ms(r.histogram.Max()),
	}
}
