package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a store that is restored from an older copy", func() {
	// Guards against documents that go back, and against a change that is accepted afterwards
	// and never in force.
	It("changes no document, and the next change is in force everywhere", func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		f, err := Start(ctx, Options{Daemons: 3, Engines: 2, DataCentres: 2, Accounts: 2, Logger: slog.New(slog.DiscardHandler)})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(f.Close)
		operator := func(method, path string, base uint64, body string, answer any) int {
			req, err := http.NewRequestWithContext(ctx, method, "http://"+f.LiveDaemons()[0].OperatorAddress()+path, bytes.NewBufferString(body))
			Expect(err).NotTo(HaveOccurred())
			req.Header.Set("Authorization", "Bearer "+TeamKey)
			req.Header.Set("If-Match", fmt.Sprint(base))
			res, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			defer res.Body.Close()
			Expect(json.NewDecoder(res.Body).Decode(answer)).To(Succeed())
			return res.StatusCode
		}
		revisions := func() (out []uint64) {
			for _, d := range f.LiveDaemons() {
				out = append(out, d.Loop().Snapshot().Services[ModelService].Revision)
			}
			return out
		}
		older := f.Store.Copy()
		for range 4 {
			Expect(f.Apply(ctx, ModelService, f.Document(Versions{Serving: "v1"}))).To(Succeed())
		}
		inForce := revisions()[0]
		f.Store.Restore(older)
		Consistently(revisions, "3s", "50ms").Should(HaveEach(inForce))

		var changed struct{ Revision uint64 }
		Expect(operator(http.MethodPut, "/v1/services/"+ModelService, inForce, f.Document(Versions{Serving: "v1"}), &changed)).To(Equal(http.StatusOK))
		Expect(changed.Revision).To(BeNumerically(">", inForce))
		Eventually(revisions, "5s", "50ms").Should(HaveEach(changed.Revision))
		Eventually(func() bool {
			var status struct {
				Everywhere bool `json:"in_force_everywhere"`
			}
			operator(http.MethodGet, "/v1/services/"+ModelService+"/status", 0, "", &status)
			return status.Everywhere
		}, "10s", "100ms").Should(BeTrue())
	})
})
