package era_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gooseberryroad/gooseberryroad/era"
	"github.com/gooseberryroad/gooseberryroad/store"
)

var start = time.Date(2026, 12, 6, 3, 0, 0, 0, time.UTC)

func classOf(key string) era.Class {
	switch {
	case strings.HasPrefix(key, "brief/"):
		return era.Brief
	case strings.HasPrefix(key, "lasting/"):
		return era.Lasting
	}
	return era.Immediate
}

func entry(e store.Era, key, value string, revision uint64) store.Entry {
	return store.Entry{Key: key, Value: []byte(value), Index: store.At(e, revision)}
}

func byKey(entries ...store.Entry) map[string]store.Entry {
	out := map[string]store.Entry{}
	for _, e := range entries {
		out[e.Key] = e
	}
	return out
}

func keys(entries []store.Entry) []string {
	var out []string
	for _, e := range entries {
		out = append(out, e.Key+"="+string(e.Value))
	}
	return out
}

// Guards against content of an older era that takes effect because its revision is higher.
func TestIndexesAreOrderedByEraFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e1 := store.Era(rapid.Uint64Range(0, uint64(store.MaxEra)).Draw(t, "era"))
		e2 := store.Era(rapid.Uint64Range(0, uint64(store.MaxEra)).Draw(t, "other era"))
		r1 := rapid.Uint64Range(0, 1<<48-1).Draw(t, "revision")
		r2 := rapid.Uint64Range(0, 1<<48-1).Draw(t, "other revision")
		if store.EraOf(store.At(e1, r1)) != e1 || store.RevisionOf(store.At(e1, r1)) != r1 {
			t.Fatalf("the index of era %d and revision %d does not give them back", e1, r1)
		}
		before := e1 < e2 || e1 == e2 && r1 < r2
		if (store.At(e1, r1) < store.At(e2, r2)) != before {
			t.Fatalf("order of (%d, %d) and (%d, %d)", e1, r1, e2, r2)
		}
	})
	if store.At(0, 417) != 417 {
		t.Error("in era 0 an index is not the revision")
	}
}

// Guards against daemons that go back to the copy before the operator has written again:
// the snapshot after the restore arrives first.
func TestKnownValuesStayUntilWrittenAgain(t *testing.T) {
	var k era.Keeper
	known := byKey(
		entry(1, "brief/order", "v2", 520), entry(1, "lasting/status", "completed", 530),
		entry(1, "brief/missing", "a", 525), entry(1, "lasting/missing", "b", 526),
		entry(1, "up/1", "ready", 300), entry(1, "up/2", "ready", 522), entry(1, "brief/same", "s", 310),
	)
	p := k.Restored(known, []store.Entry{
		entry(2, "brief/order", "v1", 301), entry(2, "lasting/status", "running", 302), entry(2, "brief/same", "s", 310),
		entry(2, "brief/new", "n", 505), entry(2, "up/1", "ready", 300),
	}, classOf, start)
	if got := keys(p.Put); !slices.Equal(got, []string{"brief/new=n", "up/1=ready"}) {
		t.Errorf("took effect: %v", got)
	}
	if !slices.Equal(p.Remove, []string{"up/2"}) {
		t.Errorf("removed: %v", p.Remove)
	}
	if !slices.Equal(p.Kept, []string{"brief/missing", "brief/order", "lasting/missing", "lasting/status"}) {
		t.Errorf("kept: %v", p.Kept)
	}
	if v, ok := k.InForce("brief/order"); !ok || string(v.Value) != "v2" {
		t.Errorf("order in force: %s, %v", v.Value, ok)
	}
	if before, first := k.Written("brief/order", start.Add(2*time.Second)); !first || string(before.Value) != "v2" {
		t.Errorf("the first write after the restore replaces %s, %v", before.Value, first)
	}
	if _, first := k.Written("brief/order", start.Add(3*time.Second)); first {
		t.Error("the second write counts as the first one")
	}
	if _, ok := k.InForce("brief/order"); ok {
		t.Error("the known order is in force after the operator wrote again")
	}
	if ended := k.Expire(start.Add(era.KeepFor - time.Millisecond)); len(ended) != 0 {
		t.Errorf("ended early: %v", ended)
	}
	if ended := k.Expire(start.Add(era.KeepFor)); !slices.Equal(ended, []string{"brief/missing"}) {
		t.Errorf("ended: %v", ended)
	}
	if _, ok := k.InForce("lasting/status"); !ok {
		t.Error("a verdict ended although it was not written again")
	}
}

// Guards against a new order that is ignored because the operator wrote it before the
// daemon read the snapshot.
func TestValuesWrittenBeforeTheSnapshotTakeEffect(t *testing.T) {
	for name, c := range map[string]struct {
		found store.Entry
		takes bool
	}{
		"a higher revision":                       {entry(2, "brief/order", "v3", 521), true},
		"the same revision with another value":    {entry(2, "brief/order", "v3", 520), true},
		"a revision that the copy cannot hold":    {entry(2, "brief/order", "v3", 515), true},
		"a revision that the copy may hold":       {entry(2, "brief/order", "v1", 450), false},
		"the same value at another revision":      {entry(2, "brief/order", "v2", 515), false},
		"the same value at the revision as known": {entry(2, "brief/order", "v2", 520), false},
	} {
		var k era.Keeper
		known := byKey(entry(1, "brief/order", "v2", 520), entry(1, "up/1", "draining", 510))
		// The upstream's registration went back, so the copy is older than revision 510.
		p := k.Restored(known, []store.Entry{c.found, entry(2, "up/1", "ready", 400)}, classOf, start)
		if took := slices.Contains(keys(p.Put), c.found.Key+"="+string(c.found.Value)); took != c.takes {
			t.Errorf("%s: takes effect %v", name, took)
		}
		_, kept := k.InForce("brief/order")
		if kept != (!c.takes && string(c.found.Value) == "v1") {
			t.Errorf("%s: kept %v", name, kept)
		}
	}
}

// Guards against values that are lost when the store is restored twice within seconds.
func TestSecondRestoreKeepsWhatTheFirstOneKept(t *testing.T) {
	var k era.Keeper
	known := byKey(entry(1, "lasting/status", "completed", 530), entry(1, "brief/order", "v2", 520))
	first := []store.Entry{entry(2, "lasting/status", "running", 302), entry(2, "up/1", "ready", 300)}
	k.Restored(known, first, classOf, start)
	p := k.Restored(byKey(first...), []store.Entry{entry(3, "lasting/status", "running", 302)}, classOf, start.Add(time.Second))
	if len(p.Put) != 0 || !slices.Equal(p.Kept, []string{"brief/order", "lasting/status"}) {
		t.Errorf("took effect: %v; kept: %v", keys(p.Put), p.Kept)
	}
	for key, value := range map[string]string{"lasting/status": "completed", "brief/order": "v2"} {
		if v, ok := k.InForce(key); !ok || string(v.Value) != value {
			t.Errorf("%s in force: %s, %v", key, v.Value, ok)
		}
	}
	if ended := k.Expire(start.Add(era.KeepFor)); len(ended) != 0 {
		t.Errorf("the time counts from the first restore: %v", ended)
	}
}

// Guards against a value that neither takes effect nor stays: every known value that may
// be kept is in force, or was replaced by one of the store.
func TestNoKnownValueIsForgotten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"brief/a", "brief/b", "lasting/a", "lasting/b", "up/a"}
		var k era.Keeper
		inForce := map[string]string{}
		known := map[string]store.Entry{}
		draw := func(e store.Era, label string) []store.Entry {
			var out []store.Entry
			for _, n := range names {
				if rapid.Bool().Draw(t, label+" has "+n) {
					out = append(out, entry(e, n, rapid.SampledFrom([]string{"x", "y"}).Draw(t, label), rapid.Uint64Range(1, 20).Draw(t, label)))
				}
			}
			return out
		}
		for _, e := range draw(1, "first") {
			known[e.Key], inForce[e.Key] = e, string(e.Value)
		}
		now := start
		for round := range rapid.IntRange(1, 3).Draw(t, "restores") {
			content := draw(store.Era(round+2), "restored")
			p := k.Restored(known, content, classOf, now)
			for _, e := range p.Put {
				inForce[e.Key] = string(e.Value)
			}
			for _, key := range p.Remove {
				if classOf(key) != era.Immediate {
					t.Fatalf("%s is removed at once", key)
				}
				delete(inForce, key)
			}
			known = byKey(content...)
			for key, value := range inForce {
				kept, ok := k.InForce(key)
				stored, found := known[key]
				if ok && string(kept.Value) != value || !ok && (!found || string(stored.Value) != value) {
					t.Fatalf("%s is in force as %s; kept %s (%v), in the store %s (%v)", key, value, kept.Value, ok, stored.Value, found)
				}
			}
			now = now.Add(time.Second)
		}
	})
}

// Guards against an order that is carried out again because the operator had removed it
// after the copy was made, and against a new order that is taken for it.
func TestRemovedValuesDoNotComeBack(t *testing.T) {
	for name, c := range map[string]struct {
		found  store.Entry
		absent bool
	}{
		"the copy's order": {entry(2, "brief/order", "v2", 450), true},
		"a new order":      {entry(2, "brief/order", "v3", 471), false},
	} {
		var k era.Keeper
		k.Removed(entry(1, "brief/order", "v2", 450), start)
		k.Removed(entry(1, "up/2", "ready", 460), start)
		known := byKey(entry(1, "up/1", "ready", 400))
		for round := range 2 {
			left := entry(store.Era(round+2), "up/2", "ready", 460)
			p := k.Restored(known, []store.Entry{c.found, left}, classOf, start.Add(time.Duration(round)*time.Second))
			if took := len(p.Put) == 1; took == c.absent && round == 0 {
				t.Errorf("%s takes effect: %v", name, took)
			}
			known = byKey(c.found, left)
			c.found.Index = store.At(3, store.RevisionOf(c.found.Index))
		}
		ended := k.Expire(start.Add(time.Second + era.KeepFor))
		if slices.Contains(ended, "brief/order") != c.absent || !slices.Contains(ended, "up/2") {
			t.Errorf("%s: ended %v", name, ended)
		}
	}
}
