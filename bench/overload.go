package bench

import (
	"time"

	"github.com/gooseberryroad/gooseberryroad/fleet"
	"github.com/gooseberryroad/gooseberryroad/standin"
)

// An engine of this scenario runs out of memory and crashes when it holds five
// long generations at once, and more arrive than all engines together can hold.
func init() {
	scenarios = append(scenarios, Scenario{
		Name: "overload", Help: "More long generations arrive than the engines' memory holds.",
		Duration: 12 * time.Second,
		Fleet: fleet.Options{Daemons: 6, Engines: 4, DataCentres: 2, Accounts: 10,
			Engine: standin.EngineOptions{MemoryBytes: 64 << 20}},
		Workload: Workload{
			PerSecond: 15, ShortTokens: 100, LongTokens: 800, LongShare: 0.5, PromptWords: 40,
			Weights: []float64{10, 8, 5, 1, 1, 1, 1, 1, 1, 1},
		},
	})
}
