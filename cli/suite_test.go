package cli_test

import (
	"context"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gooseberryroad/gooseberryroad/cli"
)

// runCommandVariable makes the test binary run the command of its arguments in place of the
// tests, for tests that need a process of its own.
const runCommandVariable = "GOOSEBERRYROAD_TEST_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(runCommandVariable) != "" {
		os.Exit(cli.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

func TestCLI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cli")
}
