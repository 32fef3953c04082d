package bounds

import (
	"testing"
	"time"
)

func TestChainAddsUpItsLinks(t *testing.T) {
	c := Chain{Promise: "configuration", Bound: 2 * time.Second, Links: []Link{{"confirmation", 800 * time.Millisecond}, {"call", 1300 * time.Millisecond}}}
	if c.Sum() != 2100*time.Millisecond || c.Margin() != -100*time.Millisecond {
		t.Errorf("sum %s, margin %s", c.Sum(), c.Margin())
	}
	if want := "confirmation 800ms + call 1.3s = 2.1s"; c.String() != want {
		t.Errorf("got %q, want %q", c, want)
	}
}
