package edge

import (
	"testing"
	"time"

	"github.com/gooseberryroad/gooseberryroad/era"
	"github.com/gooseberryroad/gooseberryroad/store"
)

// Guards against daemons that all write to a restored store at the same moment, and against
// writes without a restore: at the start, and while the era does not rise.
func TestRewriteIsSpread(t *testing.T) {
	start := time.Date(2026, 12, 6, 9, 0, 0, 0, time.UTC)
	const daemons = 200
	second := map[int]int{}
	for range daemons {
		var r rewrite
		times := 0
		for tick := range 300 {
			now := start.Add(time.Duration(tick) * publishInterval)
			newest := store.Era(3)
			if tick >= 100 {
				newest = 4
			}
			if r.due(newest, tick >= 10, now) {
				times++
				second[int(now.Sub(start.Add(100*publishInterval)).Seconds())]++
			}
		}
		if times != 1 {
			t.Fatalf("written again %d times", times)
		}
	}
	for s, n := range second {
		if s < 0 || time.Duration(s)*time.Second > era.RewriteSpread || n > daemons/2 {
			t.Errorf("%d of %d daemons write in second %d", n, daemons, s)
		}
	}
}
