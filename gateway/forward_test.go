package gateway

import (
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("A forwarded request", func() {
	// Guards against a deadline, a version or a count that another daemon reads wrongly.
	ginkgo.It("carries its mark unchanged", func() {
		m := forwardMark{timeLeft: 1234 * time.Millisecond, config: 17, counted: true, from: "a1"}
		Expect(decodeForwardMark(m.encode())).To(Equal(m))
		Expect(decodeForwardMark(forwardMark{timeLeft: time.Microsecond}.encode())).To(Equal(forwardMark{timeLeft: time.Millisecond}))
		for _, text := range []string{"", "left_ms=0;config=1", "left_ms=-1;config=1", "left_ms=x;config=1", "left_ms=5", "left_ms=99999999999;config=1"} {
			_, err := decodeForwardMark(text)
			Expect(err).To(HaveOccurred(), text)
		}
	})

	// Guards against targets that change on the way between daemons.
	ginkgo.DescribeTable("gets the target back that its client sent", func(target string) {
		r := httptest.NewRequest(http.MethodGet, ForwardPath+target, nil)
		Expect(restoreTarget(r)).To(Succeed())
		direct := httptest.NewRequest(http.MethodGet, target, nil)
		Expect(r.RequestURI).To(Equal(target))
		Expect(r.URL).To(Equal(direct.URL))
	},
		ginkgo.Entry("root", "/"),
		ginkgo.Entry("escaped", "/a%2Fb//c/../d?x=%20&y"),
		ginkgo.Entry("the prefix again", ForwardPath+"/x"),
	)

	// Guards against a path of another kind of call that is taken for a request.
	ginkgo.It("needs a target that is a path", func() {
		for _, target := range []string{ForwardPath, ForwardPath + "x"} {
			Expect(restoreTarget(httptest.NewRequest(http.MethodGet, target, nil))).NotTo(Succeed())
		}
	})

	// Guards against an upstream's field that makes its response look like a refusal of the
	// daemon, after which the request would be sent again.
	ginkgo.It("marks its response whatever an upstream sends", func() {
		rec := httptest.NewRecorder()
		w := &forwardedWriter{ResponseWriter: rec, daemon: "a2"}
		copyResponseHeader(w.Header(), http.Header{forwardHeader: {"daemon=x;refused=cut_off"}})
		w.WriteHeader(http.StatusServiceUnavailable)
		reply, ok := decodeForwardReply(rec.Header())
		Expect(ok).To(BeTrue())
		Expect(reply.refused).To(BeEmpty())
		_, ok = decodeForwardReply(http.Header{})
		Expect(ok).To(BeFalse())
	})
})
