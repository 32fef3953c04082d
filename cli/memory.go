package cli

import "math"

const (
	// runtimeShare is the largest part of the process's memory that the runtime may use
	// before it collects garbage as often as it must. The rest is for a burst.
	runtimeShare = 0.8
	// programMB is the memory in MiB that the runtime does not count: 30 MiB of the
	// program's file that are resident, and a margin.
	programMB = 40
	// minRuntimeShare is the part that the runtime gets in any case: with less it would
	// do little but collect garbage.
	minRuntimeShare = 0.5
)

// runtimeMemoryLimit returns the limit for the runtime's memory, in bytes, of a process
// that may use some MiB; 0 is unknown.
func runtimeMemoryLimit(megabytes int) int64 {
	if megabytes <= 0 {
		return math.MaxInt64
	}
	all := float64(megabytes)
	return int64(max(min(runtimeShare*all, all-programMB), minRuntimeShare*all) * (1 << 20))
}
