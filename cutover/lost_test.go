package cutover_test

import (
	"testing"
	"time"

	"github.com/gooseberryroad/gooseberryroad/cutover"
)

// Guards against an operator who never learns how an order ended, because the store lost the
// verdict, and against daemons that all write it again at once.
func TestLostStatusIsWrittenAgain(t *testing.T) {
	now := time.Date(2026, 12, 6, 9, 0, 0, 0, time.UTC)
	order := cutover.Order{Service: "tags", Target: "v2", TimeLimit: 8 * time.Second, Revision: 50}
	for _, state := range []cutover.State{cutover.Running, cutover.Completed, cutover.Reverted} {
		var daemons []*cutover.Cutover
		for range 3 {
			c := cutover.New(order, nil, 0, now)
			c.SetStatus(cutover.Status{Target: "v2", State: state, Revision: 60})
			if w := c.NextWrite(now.Add(time.Second), 0); w.State != "" {
				t.Errorf("%s is written again although the store has it", state)
			}
			c.SetStatus(cutover.Status{Target: "v2", State: state, Revision: 70, Lost: true})
			daemons = append(daemons, c)
		}
		writes := 0
		for ms := range 1100 {
			for rank, c := range daemons {
				w := c.NextWrite(now.Add(time.Second+time.Duration(ms)*time.Millisecond), rank)
				if w.State == "" {
					continue
				}
				writes++
				if w.State != state || w.StatusRevision != 70 {
					t.Errorf("%s at %d is written as %s at %d", state, 70, w.State, w.StatusRevision)
				}
				if c.State() != state {
					t.Errorf("the state in force is %s", c.State())
				}
			}
		}
		// The first daemon writes at once and after 0.8 s, the second one after 0.6 s.
		if writes != 3 {
			t.Errorf("%s is written %d times in 1.1 s", state, writes)
		}
	}
}
