package refusal_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// codeArgument is the index of the refusal code among the arguments of the
// functions that build refusals.
var codeArgument = map[string]int{"bad": 1, "fail": 2}

func identName(id *ast.Ident, ok bool) string {
	if !ok {
		return ""
	}
	return id.Name
}

// codesInSource returns the refusal codes in the packages that answer callers
// and operators: constants named Code..., fields named Code, and arguments of
// the functions that build refusals.
func codesInSource(t *testing.T) []string {
	t.Helper()
	var codes []string
	add := func(e ast.Expr) {
		if lit, ok := e.(*ast.BasicLit); ok && lit.Kind == token.STRING {
			if s, err := strconv.Unquote(lit.Value); err == nil && s != "" {
				codes = append(codes, s)
			}
		}
	}
	for _, dir := range []string{"admission", "claim", "entry", "operator", "plain", "recovery"} {
		files, err := filepath.Glob(filepath.Join("..", dir, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range files {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				t.Fatal(err)
			}
			ast.Inspect(f, func(n ast.Node) bool {
				switch n := n.(type) {
				case *ast.ValueSpec:
					for i, name := range n.Names {
						if i < len(n.Values) && strings.HasPrefix(strings.ToLower(name.Name), "code") {
							add(n.Values[i])
						}
					}
				case *ast.KeyValueExpr:
					if key, ok := n.Key.(*ast.Ident); ok && key.Name == "Code" {
						add(n.Value)
					}
				case *ast.CallExpr:
					fn, ok := n.Fun.(*ast.Ident)
					if at, known := codeArgument[identName(fn, ok)]; known && len(n.Args) > at {
						add(n.Args[at])
					}
				}
				return true
			})
		}
	}
	slices.Sort(codes)
	return slices.Compact(codes)
}

// Guards against a page for operators that does not list the code of a refusal,
// or that lists a code that no longer exists.
func TestPageListsAllCodes(t *testing.T) {
	codes := codesInSource(t)
	if len(codes) < 30 {
		t.Fatalf("only %d codes were found in the source: %v", len(codes), codes)
	}
	b, err := os.ReadFile("../docs/operators.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(b), "\n## Refusals\n")
	section, _, found := strings.Cut(rest, "\n## ")
	if !found {
		t.Fatal("the page has no section Refusals")
	}
	for _, c := range codes {
		if !strings.Contains(section, "`"+c+"`") {
			t.Errorf("docs/operators.md lacks the code %s", c)
		}
	}
	for _, m := range regexp.MustCompile(`(?m)^\| [^|]+ \|([^|]+)\|`).FindAllStringSubmatch(section, -1) {
		for _, q := range regexp.MustCompile("`([a-z_]+)`").FindAllStringSubmatch(m[1], -1) {
			if !slices.Contains(codes, q[1]) {
				t.Errorf("docs/operators.md lists the code %s, which the code does not use", q[1])
			}
		}
	}
}
