package registry_test

import (
	"testing"
	"time"

	"github.com/gooseberryroad/gooseberryroad/registry"
)

// Guards against work for an upstream that was draining when the store was restored from an
// older copy, in which it is ready.
func TestDrainingUpstreamsStayDraining(t *testing.T) {
	now := time.Date(2026, 12, 6, 9, 0, 0, 0, time.UTC)
	instance := func(start int64, sequence uint64, draining bool) registry.Instance {
		return registry.Instance{ID: "a", Service: "tags", Address: "10.0.0.1:80", StartUnixMilli: start, Sequence: sequence, Draining: draining}
	}
	missing := registry.Instance{}
	for name, c := range map[string]struct {
		after    []registry.Instance
		draining bool
	}{
		"the copy's registration":                         {[]registry.Instance{instance(1, 3, false)}, true},
		"a registration without a sequence":               {[]registry.Instance{instance(1, 0, false)}, true},
		"the same sequence":                               {[]registry.Instance{instance(1, 4, false)}, true},
		"a higher sequence":                               {[]registry.Instance{instance(1, 3, false), instance(1, 5, false)}, false},
		"a higher sequence that drains, then the copy's":  {[]registry.Instance{instance(1, 6, true), instance(1, 5, false)}, true},
		"another process":                                 {[]registry.Instance{instance(2, 1, false)}, false},
		"missing from the copy, then an old registration": {[]registry.Instance{missing, instance(1, 4, false)}, true},
		"missing from the copy, then a higher sequence":   {[]registry.Instance{missing, instance(1, 5, false)}, false},
	} {
		r := registry.New()
		r.Put(instance(1, 4, true))
		if ids := r.StoreRestored(now); len(ids) != 1 || ids[0] != "a" {
			t.Errorf("%s: draining are %v", name, ids)
		}
		for _, in := range c.after {
			if in == missing {
				r.Remove("a", now)
				continue
			}
			r.Put(in)
		}
		if all := r.Instances(); len(all) != 1 || all[0].Draining != c.draining {
			t.Errorf("%s: %+v", name, all)
		}
	}
}

// Guards against requests to nobody after a restore: an upstream that the copy lacks has
// time to register again, and one that does not is gone.
func TestMissingUpstreamsHaveTimeToRegisterAgain(t *testing.T) {
	now := time.Date(2026, 12, 6, 9, 0, 0, 0, time.UTC)
	r := registry.New()
	r.Put(registry.Instance{ID: "a", Service: "tags", Address: "10.0.0.1:80"})
	r.Put(registry.Instance{ID: "b", Service: "tags", Address: "10.0.0.2:80"})
	r.StoreRestored(now)
	r.Remove("a", now)
	r.Remove("b", now)
	r.ExpireLapsed(now.Add(registry.ReregisterGrace - time.Millisecond))
	if n := len(r.Instances()); n != 2 {
		t.Fatalf("%d of 2 upstreams are used", n)
	}
	r.Put(registry.Instance{ID: "b", Service: "tags", Address: "10.0.0.2:80"})
	r.ExpireLapsed(now.Add(registry.ReregisterGrace))
	if all := r.Instances(); len(all) != 1 || all[0].ID != "b" {
		t.Errorf("in use after the time to register: %v", all)
	}
}
