package telemetry_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// metricName matches the name of a metric at the start of a literal. Labels may
// follow it.
var metricName = regexp.MustCompile(`^gooseberryroad_[a-z0-9_]+`)

// metricNamesInSource returns the names of the metrics that the source registers,
// sorted: those at the start of all string literals outside of tests.
func metricNamesInSource(t *testing.T) []string {
	t.Helper()
	var names []string
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(f, func(n ast.Node) bool {
			if lit, ok := n.(*ast.BasicLit); ok && lit.Kind == token.STRING {
				if s, err := strconv.Unquote(lit.Value); err == nil {
					if name := metricName.FindString(s); name != "" {
						names = append(names, name)
					}
				}
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Guards against an operators' page that lacks a metric or explains one that no
// longer exists.
func TestPageListsAllMetrics(t *testing.T) {
	registered := metricNamesInSource(t)
	if len(registered) == 0 {
		t.Fatal("no metric was found in the source")
	}
	b, err := os.ReadFile("../docs/operators.md")
	if err != nil {
		t.Fatal(err)
	}
	var documented []string
	for _, m := range regexp.MustCompile("(?m)^\\| `(gooseberryroad_[a-z0-9_]+)").FindAllStringSubmatch(string(b), -1) {
		documented = append(documented, m[1])
	}
	slices.Sort(documented)
	for _, name := range registered {
		if !slices.Contains(documented, name) {
			t.Errorf("docs/operators.md lacks the metric %s", name)
		}
	}
	for i, name := range documented {
		if !slices.Contains(registered, name) {
			t.Errorf("docs/operators.md lists %s, which the code does not register", name)
		}
		if i > 0 && documented[i-1] == name {
			t.Errorf("docs/operators.md lists %s twice", name)
		}
	}
}
