package gateway

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against hop-by-hop fields that reach the client, and against a change of the
// upstream's header, which other goroutines read while the body arrives.
func TestResponseHeaderIsCopied(t *testing.T) {
	o := NewWithT(t)
	upstream := http.Header{"Connection": {"X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=5"}, "Content-Type": {"text/plain"}}
	before := upstream.Clone()
	client := http.Header{"Content-Type": {"a"}, "Own": {"b"}}
	copyResponseHeader(client, upstream)
	o.Expect(client).To(Equal(http.Header{"Content-Type": {"text/plain"}, "Own": {"b"}}))
	o.Expect(upstream).To(Equal(before))
}
