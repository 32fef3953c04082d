package httpsd

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/kernel"
	"github.com/gooseberryroad/gooseberryroad/standin"
	"github.com/gooseberryroad/gooseberryroad/vmlist"
)

func TestHTTPSD(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "httpsd")
}

var _ = Describe("Lister", func() {
	vm := standin.VM{Name: "e1", Address: "127.0.0.1:9001", DataCentre: "dc1", Role: "upstream"}
	want := vmlist.VM{Name: "e1", Address: "127.0.0.1:9001", DataCentre: "dc1", Role: "upstream"}

	start := func(o standin.VMListOptions) (*standin.VMList, vmlist.Lister) {
		s, err := standin.StartVMList(context.Background(), o)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Close)
		l, err := kernel.Load[vmlist.Lister](ID, kernel.Options{Address: s.Address(), Params: map[string]string{"timeout": "500ms"}})
		Expect(err).NotTo(HaveOccurred())
		return s, l
	}

	// Guards against a leaving VM that is listed as live and still gets work
	// (promise P7 in docs/proof.md).
	It("lists live and leaving VMs with the lag of the list", func(ctx SpecContext) {
		s, l := start(standin.VMListOptions{Lag: time.Hour, VMs: []standin.VM{vm}})
		Expect(l.List(ctx)).To(Equal([]vmlist.VM{want}))
		s.SetState("e1", standin.StateLeaving)
		Expect(l.List(ctx)).To(Equal([]vmlist.VM{want}))
		s, l = start(standin.VMListOptions{Lag: 50 * time.Millisecond, VMs: []standin.VM{vm}})
		s.SetState("e1", standin.StateLeaving)
		leaving := want
		leaving.Leaving = true
		Eventually(l.List).WithArguments(ctx).Should(Equal([]vmlist.VM{leaving}))
		s.Remove("e1")
		Eventually(l.List).WithArguments(ctx).Should(BeEmpty())
	}, SpecTimeout(20*time.Second))

	// Guards against an outage of the list that is taken for the loss of all VMs.
	It("fails instead of returning an empty list", func(ctx SpecContext) {
		s, l := start(standin.VMListOptions{VMs: []standin.VM{vm}})
		for _, f := range []standin.VMListFaults{
			{Down: standin.DownErrors}, {Down: standin.DownRefuses}, {Down: standin.DownHangs}, {Truncate: true},
		} {
			Expect(s.SetFaults(f)).To(Succeed())
			_, err := l.List(ctx)
			Expect(err).To(HaveOccurred(), "%+v", f)
		}
		Expect(s.SetFaults(standin.VMListFaults{})).To(Succeed())
		Expect(l.List(ctx)).To(Equal([]vmlist.VM{want}))
		s.HangOpenConnections()
		Expect(l.List(ctx)).To(Equal([]vmlist.VM{want}))
	}, SpecTimeout(20*time.Second))

	It("names VMs of a group by their addresses and treats unknown states as leaving", func() {
		vms, err := parse([]byte(`[{"targets":["10.0.0.1:1","10.0.0.2:1"],"labels":{"name":"x","state":"stopping"}}]`))
		Expect(err).NotTo(HaveOccurred())
		Expect(vms).To(Equal([]vmlist.VM{
			{Name: "10.0.0.1:1", Address: "10.0.0.1:1", Leaving: true},
			{Name: "10.0.0.2:1", Address: "10.0.0.2:1", Leaving: true},
		}))
	})

	It("refuses unknown parameters", func() {
		_, err := kernel.Load[vmlist.Lister](ID, kernel.Options{Address: "127.0.0.1:1", Params: map[string]string{"x": ""}})
		Expect(err).To(MatchError(ContainSubstring("known: path, timeout")))
	})
})

// FuzzParse guards against panics and VMs without a name or address.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`[{"targets":["127.0.0.1:1"],"labels":{"state":"live"}}]`))
	f.Add([]byte(`[{"targets":null,"labels":null},{}]`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, b []byte) {
		vms, err := parse(b)
		if err != nil && vms != nil {
			t.Fatal("VMs with an error")
		}
		for _, vm := range vms {
			if vm.Name == "" || vm.Address == "" {
				t.Fatalf("%+v", vm)
			}
		}
	})
}
