package cli

import (
	"math"
	"testing"
)

// Guards against a process that is killed because the runtime's limit does not count the
// program's own pages: with 80% of 112 MB it reached 120 MB.
func TestRuntimeMemoryLimitLeavesRoomForTheProgram(t *testing.T) {
	for _, c := range []struct{ megabytes, want int }{{64, 32}, {112, 72}, {128, 88}, {184, 144}, {284, 227}, {1000, 800}} {
		if got := runtimeMemoryLimit(c.megabytes) >> 20; got != int64(c.want) {
			t.Errorf("%d MB: the limit is %d MB, want %d", c.megabytes, got, c.want)
		}
	}
	if got := runtimeMemoryLimit(0); got != math.MaxInt64 {
		t.Errorf("unknown memory: the limit is %d", got)
	}
}
