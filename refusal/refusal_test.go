package refusal_test

import (
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/refusal"
)

func TestRefusal(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "refusal")
}

// Guards the format that callers parse: JSON, the outcome, and Retry-After in
// whole seconds that are never rounded down.
var _ = DescribeTable("Write sends the error as JSON and Retry-After in whole seconds", func(r refusal.Refusal, kind, retryAfter string) {
	w := httptest.NewRecorder()
	r.Message, r.Code, r.Outcome = `say "no"`, "c", refusal.NotRun
	r.Write(w)
	Expect(w.Code).To(Equal(r.Status))
	Expect(w.Header().Get("Content-Type")).To(Equal("application/json"))
	Expect(w.Header().Get("Retry-After")).To(Equal(retryAfter))
	Expect(w.Body.String()).To(MatchJSON(`{"error":{"message":"say \"no\"","type":"` + kind + `","code":"c","outcome":"not_run"}}`))
},
	Entry("server", refusal.Refusal{Status: 503, RetryAfter: 1200 * time.Millisecond}, "server_error", "2"),
	Entry("rate", refusal.Refusal{Status: 429, RetryAfter: time.Millisecond}, "rate_limit_error", "1"),
	Entry("key", refusal.Refusal{Status: 401}, "authentication_error", ""),
	Entry("request", refusal.Refusal{Status: 422}, "invalid_request_error", ""),
)
