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
	instance := func(id string) registry.Instance {
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
		r.Replace([]registry.Instance{instance("a"), instance("b")}, now)
		r.TakeChanged()
	})

	// An upstream that was removed without draining must get no more work.
	It("drops an entry that is removed while the store works", func() {
		r.Remove("a", now)
		Expect(ids(r)).To(Equal([]string{"b"}))
		Expect(r.TakeChanged()).To(BeTrue())
	})

	// During an outage all leases lapse; the upstreams, which still serve, must stay
	// usable.
	It("keeps lapsed entries until the upstreams have had time to register again", func() {
		r.StoreUnavailable()
		r.Remove("a", now)
		r.ExpireLapsed(now.Add(time.Minute))
		Expect(ids(r)).To(Equal([]string{"a", "b"}))
		back := now.Add(time.Minute)
		r.StoreAvailable(back)
		r.Remove("b", back.Add(time.Second))
		r.ExpireLapsed(back.Add(registry.ReregisterGrace - time.Millisecond))
		Expect(ids(r)).To(Equal([]string{"a", "b"}))
		r.Put(instance("b"))
		r.ExpireLapsed(back.Add(registry.ReregisterGrace))
		Expect(ids(r)).To(Equal([]string{"b"}))
		r.ExpireLapsed(back.Add(time.Hour))
		Expect(ids(r)).To(Equal([]string{"b"}))
	})

	// An upstream that is removed shortly after the store is back must not keep its
	// work for a whole grace period from then on: it must get none 2 s after its
	// removal.
	It("counts the grace period from the end of the outage, not from the removal", func() {
		r.StoreUnavailable()
		r.StoreAvailable(now)
		removed := now.Add(registry.ReregisterGrace - 300*time.Millisecond)
		r.Remove("a", removed)
		r.ExpireLapsed(now.Add(registry.ReregisterGrace))
		Expect(ids(r)).To(Equal([]string{"b"}))
	})

	// A removal by a store that works again is a lease that has just run out, or an upstream
	// that has left and serves for 2 s at least. One that was learned in the outage is kept
	// to the end of the grace period.
	It("keeps an upstream that was removed after the outage for less than 2 s", func() {
		r.StoreUnavailable()
		r.StoreAvailable(now)
		removed := now.Add(100 * time.Millisecond)
		r.Remove("b", now)
		r.RemoveAfterOutage("a", removed)
		Expect(r.GraceEnd()).To(BeTemporally("<", removed.Add(1500*time.Millisecond)))
		r.ExpireLapsed(r.GraceEnd().Add(-time.Millisecond))
		Expect(ids(r)).To(Equal([]string{"a", "b"}))
		r.ExpireLapsed(r.GraceEnd())
		Expect(ids(r)).To(Equal([]string{"b"}))
		Expect(r.GraceEnd()).To(Equal(now.Add(registry.ReregisterGrace)))
		r.ExpireLapsed(r.GraceEnd())
		Expect(ids(r)).To(BeEmpty())
	})

	It("keeps entries that were removed after the outage while the store is away again", func() {
		r.StoreUnavailable()
		r.StoreAvailable(now)
		r.RemoveAfterOutage("a", now.Add(time.Millisecond))
		r.StoreUnavailable()
		r.ExpireLapsed(now.Add(time.Minute))
		Expect(ids(r)).To(Equal([]string{"a", "b"}))
	})

	// The grace period of a daemon that follows another one counted from its first change,
	// up to 2 s later than that of the other daemon.
	It("counts the grace period of relayed content from the return of the store", func() {
		Expect(r.RemoteOutage(now.Add(-1500 * time.Millisecond))).To(BeTrue())
		r.Remove("a", now)
		r.ExpireLapsed(now.Add(499 * time.Millisecond))
		Expect(ids(r)).To(Equal([]string{"a", "b"}))
		r.ExpireLapsed(now.Add(500 * time.Millisecond))
		Expect(ids(r)).To(Equal([]string{"b"}))
	})

	It("shortens its grace period when the store returned to another daemon before", func() {
		r.StoreUnavailable()
		r.StoreAvailable(now)
		Expect(r.RemoteOutage(now.Add(-time.Second))).To(BeTrue())
		Expect(r.RemoteOutage(now)).To(BeFalse())
		Expect(r.RecoveredAt()).To(Equal(now.Add(-time.Second)))
	})

	// Content relayed from another daemon must not start the grace period again with
	// each change.
	It("does not prolong the grace period while relayed content keeps reporting an outage", func() {
		r.StoreUnavailable()
		r.RemoteOutage(now)
		r.RemoteOutage(now.Add(registry.ReregisterGrace / 2))
		r.Remove("a", now.Add(registry.ReregisterGrace/2))
		r.RemoteOutage(now.Add(registry.ReregisterGrace - time.Millisecond))
		Expect(ids(r)).To(Equal([]string{"a", "b"}))
		r.ExpireLapsed(now.Add(registry.ReregisterGrace))
		Expect(ids(r)).To(Equal([]string{"b"}))
	})

	// The grace period must not outlive the outage that it is for.
	It("drops removed entries at once after the grace period, and entries missing at a daemon that sees the store", func() {
		r.StoreUnavailable()
		r.StoreAvailable(now)
		r.Remove("a", now.Add(registry.ReregisterGrace))
		Expect(ids(r)).To(Equal([]string{"b"}))
		r.StoreUnavailable()
		r.RemoteConfirmed()
		r.Replace(nil, now)
		Expect(ids(r)).To(BeEmpty())
	})

	// An outage of the store must not keep a draining upstream in use.
	It("drops a draining upstream during an outage", func() {
		leaving := instance("a")
		leaving.Draining = true
		r.Put(leaving)
		r.StoreUnavailable()
		r.Remove("a", now)
		Expect(ids(r)).To(Equal([]string{"b"}))
	})

	// Copies and requests must not go to an upstream whose address another process
	// has taken, even before its lease ends.
	It("drops an upstream when another one registers at its address", func() {
		next := instance("c")
		next.StartUnixMilli = 9
		r.Put(next)
		Expect(ids(r)).To(Equal([]string{"b", "c"}))
		late := instance("a")
		late.StartUnixMilli = 3
		r.Put(late)
		Expect(ids(r)).To(ContainElement("c"), "an older start does not replace a newer one")
	})

	It("treats a new start under the same ID as a change", func() {
		again := instance("a")
		again.StartUnixMilli = 5
		r.Put(instance("a"))
		Expect(r.TakeChanged()).To(BeFalse())
		r.Put(again)
		Expect(r.TakeChanged()).To(BeTrue())
	})
})
