// Command puritylint runs the analyzer of package purity in CI.
package main

import (
	"golang.org/x/tools/go/analysis/singlechecker"

	"github.com/gooseberryroad/gooseberryroad/internal/lint/purity"
)

func main() { singlechecker.Main(purity.Analyzer) }
