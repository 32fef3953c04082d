package quarantine_test

import (
	"testing"
	"time"

	"github.com/gooseberryroad/gooseberryroad/quarantine"
)

// Guards against crashes that daemons which start later never learn of, because the store
// lost what was published, and against writes of daemons that had published nothing.
func TestPublishAgain(t *testing.T) {
	now := crashNow
	counts, parts := quarantine.NewCrashLog(quarantine.CrashLogOptions{}), quarantine.NewPartLog(quarantine.PartLogOptions{})
	due := func() (bool, bool) {
		now = now.Add(5 * time.Second)
		_, a := counts.Due(now)
		_, b := parts.Due(now)
		return a, b
	}
	expect := func(when string, want bool) {
		t.Helper()
		if a, b := due(); a != want || b != want {
			t.Errorf("%s: counts are due %v, the report %v", when, a, b)
		}
	}
	counts.PublishAgain()
	parts.PublishAgain()
	expect("without a crash", false)
	counts.Crashed(numberedContent(1), now, now)
	parts.Crashed("a", []quarantine.Hash{numberedContent(2)}, now)
	expect("after a crash", true)
	expect("once they are published", false)
	counts.PublishAgain()
	parts.PublishAgain()
	expect("after the store lost them", true)
	expect("once they are published again", false)
}
