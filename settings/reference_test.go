package settings_test

import (
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/settings"
)

var _ = Describe("The settings reference in the operators' page", func() {
	// Guards against a settings reference in the page that differs from the code.
	// To correct the page, replace its table by the one that the failure prints.
	It("equals the one that the code generates", func() {
		b, err := os.ReadFile("../docs/operators.md")
		Expect(err).NotTo(HaveOccurred())
		_, rest, found := strings.Cut(string(b), "<!-- settings: begin -->\n")
		Expect(found).To(BeTrue(), "the page marks the beginning of the table")
		table, _, found := strings.Cut(rest, "<!-- settings: end -->\n")
		Expect(found).To(BeTrue(), "the page marks the end of the table")
		Expect(table).To(Equal(settings.Reference()))
	})
})
