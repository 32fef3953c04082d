package entry_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/gooseberryroad/gooseberryroad/entry"
)

var _ = Describe("traces", func() {
	// Guards against a step without a span, and against a trace that ends at the
	// daemon: each engine must receive the span of its attempt as the parent.
	It("cover entry, queue and each attempt, and are passed on to the engine", func() {
		f := newFakeEngines(2, 30)
		for i := range 2 {
			f.at(address(i)).set(func(e *fakeEngine) { e.allowedTokens = 10 })
		}
		spans := tracetest.NewSpanRecorder()
		d := newDaemon(f, snapshot(2, nil), func(o *entry.Options) {
			o.Tracer = sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans))
		})
		const trace = "4bf92f3577b34da6a3ce929d0e0e4736"
		s := openStream(d.post(ctx, map[string]string{"traceparent": "00-" + trace + "-00f067aa0ba902b7-01"}, nil))
		s.expectTokens(10)
		first := runningEngine(f, 2)
		f.at(address(first)).kill()
		f.at(address(1 - first)).set(func(e *fakeEngine) { e.allowedTokens = 30 })
		_, done := s.readRest()
		Expect(done).To(BeTrue())
		names := func() map[string]int {
			n := map[string]int{}
			for _, s := range spans.Ended() {
				Expect(s.SpanContext().TraceID().String()).To(Equal(trace))
				n[s.Name()]++
			}
			return n
		}
		Eventually(names).Should(Equal(map[string]int{"entry": 1, "queue": 2, "upstream": 2}))
		for i := range 2 {
			parent := f.at(address(i)).starts[0].TraceParent
			Expect(parent).To(HavePrefix("00-" + trace))
			Expect(spans.Ended()).To(ContainElement(Satisfy(func(s sdktrace.ReadOnlySpan) bool {
				return s.Name() == "upstream" && strings.Contains(parent, s.SpanContext().SpanID().String())
			})))
		}
	})
})
