// Command puritylint runs the purity analyzer; CI calls it.
package main

import (
	"golang.org/x/tools/go/analysis/singlechecker"

	"github.com/gooseberryroad/gooseberryroad/internal/lint/purity"
)

func main() { singlechecker.Main(purity.Analyzer) }
