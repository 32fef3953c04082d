package document_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/document"
)

func TestDocument(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "document")
}

const validDocument = `
[service]
name = dedication
team = registro
model = dedication-7b
resumes = true
[versions]
serving = v1
[upstream.e2]
address = 127.0.0.1:9002
datacentre = dc1
region = rio-plata
version = v1
[upstream.e1]
address = 127.0.0.1:9001
datacentre = dc1
region = rio-plata
version = v1
[account.crew]
key_sha256 = KEY
`

func withKey(s string) []byte {
	return []byte(strings.ReplaceAll(s, "KEY", document.HashKey("secret")))
}

var _ = Describe("Parse", func() {
	It("reads a valid document and sorts its upstreams", func() {
		s, problems := document.Parse("d", withKey(validDocument))
		Expect(problems).To(BeEmpty())
		Expect(s.Upstreams).To(HaveLen(2))
		Expect(s.Upstreams[0].Name).To(Equal("e1"))
		Expect(s.Limits.MaxHeldBytes).To(Equal(int64(document.DefaultMaxHeldBytes)))
		Expect(s.AccountFor("secret").Name).To(Equal("crew"))
		Expect(s.AccountFor("other")).To(BeNil())
	})

	// Guards against a mistake that is accepted silently, or reported without
	// its place and the accepted range.
	DescribeTable("reports a mistake with its section, key and accepted range",
		func(from, to, section, key, message string) {
			s, problems := document.Parse("d", withKey(strings.Replace(validDocument, from, to, 1)))
			Expect(s).To(BeNil())
			Expect(problems).To(HaveLen(1))
			Expect(problems[0].Section).To(Equal(section))
			Expect(problems[0].Key).To(Equal(key))
			Expect(problems[0].Message).To(ContainSubstring(message))
		},
		Entry("unknown key", "resumes = true", "resume = true", "service", "resume", "unknown key"),
		Entry("bad boolean", "resumes = true", "resumes = perhaps", "service", "resumes", "true or false"),
		Entry("host name as address", "127.0.0.1:9002", "engine:9002", "upstream.e2", "address", "IP number"),
		Entry("next without a deadline", "serving = v1", "serving = v1\nnext = v2", "versions", "deadline", "RFC 3339"),
		Entry("next equal to serving", "serving = v1", "serving = v1\nnext = v1\ndeadline = 2026-12-04T18:00:00Z", "versions", "next", "differ"),
		Entry("a start share above the bound", "serving = v1", "serving = v1\nstart_share = 0.5", "versions", "start_share", "0.001 to 0.05"),
		Entry("a duration above the bound", "serving = v1", "serving = v1\nwarm = 1000000h", "versions", "warm", "duration from"),
		Entry("a key_sha256 that is not a hash", "KEY", "abc", "account.crew", "key_sha256", "64 hex digits"),
		Entry("unknown section", "[account.crew]", "[client.crew]", "client.crew", "-", "unknown section"),
	)

	It("matches routes in document order, by method and prefix", func() {
		s, problems := document.Parse("d", []byte(`
[service]
name = tags
team = registro
kind = plain
[versions]
serving = v1
[route.register]
path = /tags
methods = POST
[route.lookup]
path = /tags/*
methods = GET, HEAD
idempotent = true
`))
		Expect(problems).To(BeEmpty())
		Expect(s.RouteFor("POST", "/tags").Name).To(Equal("register"))
		Expect(s.RouteFor("GET", "/tags/7").Idempotent).To(BeTrue())
		Expect(s.RouteFor("GET", "/tags")).To(BeNil())
	})
})

func FuzzParse(f *testing.F) {
	f.Add(withKey(validDocument))
	f.Add([]byte("[service]\nname=\n[upstream.]\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, problems := document.Parse("fuzz", b)
		if (s == nil) == (len(problems) == 0) {
			t.Fatalf("service %v with problems %v", s, problems)
		}
	})
}
