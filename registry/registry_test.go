package registry_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/registry"
)

func TestRegistry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "registry")
}

var _ = Describe("Registry", func() {
	now := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	addresses := map[string]string{"a": "10.0.0.1:80", "b": "10.0.0.2:80", "c": "10.0.0.1:80"}
	up := func(id string) registry.Instance {
		return registry.Instance{ID: id, Service: "tags", Address: addresses[id]}
	}
	ids := func(r *registry.Registry) []string {
		out := []string{}
		for _, in := range r.Instances() {
			out = append(out, in.ID)
		}
		return out
	}
	var r *registry.Registry
	BeforeEach(func() {
		r = registry.New()
		r.Replace([]registry.Instance{up("a"), up("b")}, now)
		r.TakeChanged()
	})

	// Guards against work for an upstream that left without saying so.
	It("drops an entry that is removed while the store works", func() {
		r.Remove("a", now)
		Expect(ids(r)).To(Equal([]string{"b"}))
		Expect(r.TakeChanged()).To(BeTrue())
	})

	// Guards against an outage in which all leases lapse and no upstream is left
	// although all of them serve.
	It("keeps lapsed entries until the upstreams had time to register again", func() {
		r.StoreUnavailable()
		r.Remove("a", now)
		r.ExpireLapsed(now.Add(time.Minute))
		Expect(ids(r)).To(Equal([]string{"a", "b"}))
		back := now.Add(time.Minute)
		r.StoreAvailable(back)
		r.Remove("b", back.Add(time.Second))
		r.ExpireLapsed(back.Add(registry.ReregisterGrace - time.Millisecond))
		Expect(ids(r)).To(Equal([]string{"a", "b"}))
		r.Put(up("b"))
		r.ExpireLapsed(back.Add(registry.ReregisterGrace))
		Expect(ids(r)).To(Equal([]string{"b"}))
		r.ExpireLapsed(back.Add(time.Hour))
		Expect(ids(r)).To(Equal([]string{"b"}))
	})

	// Guards against an upstream that leaves without a word shortly after the store's
	// return and keeps its work for a whole grace from then on: it must get none 2 s
	// after its removal.
	It("counts the grace from the store's return, not from the removal", func() {
		r.StoreUnavailable()
		r.StoreAvailable(now)
		removed := now.Add(registry.ReregisterGrace - 300*time.Millisecond)
		r.Remove("a", removed)
		r.ExpireLapsed(now.Add(registry.ReregisterGrace))
		Expect(ids(r)).To(Equal([]string{"b"}))
	})

	// Guards against relayed content that starts the grace again with each change.
	It("does not prolong the grace when content keeps coming from near an outage", func() {
		r.StoreUnavailable()
		r.RemoteOutage(now)
		r.RemoteOutage(now.Add(registry.ReregisterGrace / 2))
		r.Remove("a", now.Add(registry.ReregisterGrace/2))
		r.RemoteOutage(now.Add(registry.ReregisterGrace - time.Millisecond))
		Expect(ids(r)).To(Equal([]string{"a", "b"}))
		r.ExpireLapsed(now.Add(registry.ReregisterGrace))
		Expect(ids(r)).To(Equal([]string{"b"}))
	})

	// Guards against a grace that outlives the outage it is for.
	It("drops at once again after the grace, and what a daemon that sees the store lacks", func() {
		r.StoreUnavailable()
		r.StoreAvailable(now)
		r.Remove("a", now.Add(registry.ReregisterGrace))
		Expect(ids(r)).To(Equal([]string{"b"}))
		r.StoreUnavailable()
		r.RemoteConfirmed()
		r.Replace(nil, now)
		Expect(ids(r)).To(BeEmpty())
	})

	// Guards against a draining upstream that gets work because the store is away.
	It("keeps no draining upstream over an outage", func() {
		leaving := up("a")
		leaving.Draining = true
		r.Put(leaving)
		r.StoreUnavailable()
		r.Remove("a", now)
		Expect(ids(r)).To(Equal([]string{"b"}))
	})

	// Guards against copies and requests that go to an upstream whose address
	// another process has taken, until its lease ends.
	It("drops an upstream when another one registers at its address", func() {
		next := up("c")
		next.StartUnixMilli = 9
		r.Put(next)
		Expect(ids(r)).To(Equal([]string{"b", "c"}))
		late := up("a")
		late.StartUnixMilli = 3
		r.Put(late)
		Expect(ids(r)).To(ContainElement("c"), "an older start does not replace a newer one")
	})

	It("sees a new start under the same ID as a change", func() {
		again := up("a")
		again.StartUnixMilli = 5
		r.Put(up("a"))
		Expect(r.TakeChanged()).To(BeFalse())
		r.Put(again)
		Expect(r.TakeChanged()).To(BeTrue())
	})
})
