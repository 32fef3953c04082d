package purity_test

import (
	"testing"

	"golang.org/x/tools/go/analysis/analysistest"

	"github.com/gooseberryroad/gooseberryroad/internal/lint/purity"
)

// Guards against a linter that passes because it finds nothing at all.
func TestAnalyzer(t *testing.T) {
	analysistest.Run(t, analysistest.TestData(), purity.Analyzer, "a")
}
