package cli_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/cli"
)

var _ = Describe("soak", func() {
	// Guards against kept seeds that CI does not run because their line is wrong.
	DescribeTable("refuses a file of seeds that cannot be run", func(line, complaint string) {
		file := filepath.Join(GinkgoT().TempDir(), "seeds.txt")
		Expect(os.WriteFile(file, []byte("# kept\n"+line+"\n"), 0o600)).To(Succeed())
		var out, errs bytes.Buffer
		Expect(cli.Run(context.Background(), []string{"soak", "--cases", file}, &out, &errs)).To(Equal(cli.ExitUsage))
		Expect(errs.String()).To(ContainSubstring(complaint))
	},
		Entry("a seed that is a word", "first 10s 1.5 cut", "read a seed"),
		Entry("no length and rate", "102", "has no length"),
		Entry("a length that is a word", "102 cut streams once", "read a length"),
		Entry("a rate that is a word", "102 10s cut streams", "read a rate"),
		Entry("a length in which no fault can begin", "102 1s 1.5 cut streams", "the length above 1s"),
		Entry("no line with a seed", "", "give --seed"),
	)
})
