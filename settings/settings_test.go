package settings_test

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

const minimalSettings = `
[daemon]
name = d1
datacentre = dc1
region = rio-plata
caller_address = 127.0.0.1:8080
operator_address = 127.0.0.1:8081
peer_address = 127.0.0.1:8082
[store]
address = 127.0.0.1:8500
[peers]
key = 0123456789abcdef
[cursor]
key = fedcba9876543210
`

var _ = Describe("Parse", func() {
	It("accepts a file with the required keys only", func() {
		s, problems := settings.Parse("s.ini", []byte(minimalSettings))
		Expect(problems).To(BeEmpty())
		Expect(s.Store.Driver).To(Equal("store.consulkv"))
		Expect(s.Drain.Deadline.String()).To(Equal("30s"))
	})

	// Guards against secret keys that are printed to logs and terminals.
	It("prints the effective settings without secrets", func() {
		s, _ := settings.Parse("s.ini", []byte(minimalSettings))
		var b bytes.Buffer
		Expect(s.Print(&b)).To(Succeed())
		Expect(b.String()).To(ContainSubstring("timeout = 1s"))
		Expect(b.String()).NotTo(ContainSubstring("0123456789abcdef"))
	})

	// Guards against a mistake that is reported without its place and the accepted
	// range.
	DescribeTable("reports a mistake with its section, key and accepted range",
		func(from, to, where, message string) {
			_, problems := settings.Parse("s.ini", []byte(strings.Replace(minimalSettings, from, to, 1)))
			Expect(problems).To(HaveLen(1))
			Expect(problems[0].String()).To(HavePrefix("s.ini: " + where))
			Expect(problems[0].Message).To(ContainSubstring(message))
		},
		Entry("missing address", "address = 127.0.0.1:8500", "", "[store] address", "IP number"),
		Entry("unknown key", "name = d1", "name = d1\nnmae = d2", "[daemon] nmae", "unknown key"),
		Entry("timeout out of range", "[store]", "[store]\ntimeout = 5h", "[store] timeout", "10ms to 1m0s"),
		Entry("short key", "0123456789abcdef", "short", "[peers] key", "{16,256}"),
	)
})
