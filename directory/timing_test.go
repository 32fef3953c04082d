package directory

import (
	"testing"
	"time"
)

// The reader of a data centre goes silent, and its followers find the change that the
// store has just accepted by reading the store themselves: they need a call for that.
func TestSilentSourceIsNoticedWithinTheBound(t *testing.T) {
	for _, bound := range []time.Duration{0, 500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 4 * time.Second, time.Minute} {
		got := newTiming(bound)
		if bound == 0 {
			bound = DefaultMaxStaleness
		}
		noticed := got.confirmInterval + got.callTimeout
		if rest := bound - noticed; rest < bound/5 {
			t.Errorf("bound %s: silence is noticed after %s", bound, noticed)
		}
		if got.maxAge <= noticed || got.maxAge > bound {
			t.Errorf("bound %s: content is out of date from %s on", bound, got.maxAge)
		}
		if got.confirmInterval > maxConfirmInterval || got.callTimeout > maxCallTimeout {
			t.Errorf("bound %s: %+v", bound, got)
		}
	}
}

// A follower that asks without pause must be held until there is news, and be told at
// once when the content gets out of date.
func TestAwaitEndsWithNews(t *testing.T) {
	f := NewFollower(Options{MaxStaleness: 400 * time.Millisecond})
	content := func(revision uint64, at time.Time) *Content {
		f.confirm(at)
		return &Content{Revision: revision, sourceWorking: true, confirmation: &f.confirmation, maxAge: f.timing.maxAge, Changed: make(chan struct{})}
	}
	await := func(c *Content, after uint64) (time.Duration, *Content) {
		began := time.Now()
		got := Await(t.Context(), func() *Content { return c }, after, 5*time.Second)
		return time.Since(began), got
	}
	if took, _ := await(content(4, time.Now()), 3); took > 200*time.Millisecond {
		t.Errorf("a newer revision was held back for %s", took)
	}
	c := content(4, time.Now())
	if took, got := await(c, 4); got.UpToDate() || took < 200*time.Millisecond || took > 2*time.Second {
		t.Errorf("content that got out of date after %s was reported after %s", c.maxAge, took)
	}
	c = content(4, time.Now())
	renewed := time.Now().Add(100 * time.Millisecond)
	time.AfterFunc(100*time.Millisecond, func() { f.confirm(renewed) })
	if took, got := await(c, 4); !got.UpToDate() || took < 50*time.Millisecond || took > 250*time.Millisecond {
		t.Errorf("a confirmation after 100 ms was reported after %s", took)
	}
}
