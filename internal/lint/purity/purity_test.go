package purity_test

import (
	"testing"

	"golang.org/x/tools/go/analysis/analysistest"

	"github.com/gooseberryroad/gooseberryroad/internal/lint/purity"
)

// Guards against an analyzer that finds no violations at all.
func TestAnalyzer(t *testing.T) {
	analysistest.Run(t, analysistest.TestData(), purity.Analyzer, "a")
}
