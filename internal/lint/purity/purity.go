// Package purity provides an analyzer that reports I/O, clocks, goroutines and
// global randomness in packages marked with the directive //gooseberryroad:pure.
// These packages make decisions and must be deterministic: the same events must
// always lead to the same decisions.
package purity

import (
	"go/ast"
	"go/types"
	"strconv"
	"strings"

	"golang.org/x/tools/go/analysis"
)

// Analyzer reports impure code in marked packages.
var Analyzer = &analysis.Analyzer{
	Name: "purity",
	Doc:  "reports I/O, clocks, goroutines and global randomness in decision packages",
	Run:  run,
}

const directive = "//gooseberryroad:pure"

// forbiddenImports are packages that a marked package must not import.
var forbiddenImports = map[string]bool{
	"net": true, "net/http": true, "os": true, "log": true, "log/slog": true,
	"sync": true, "sync/atomic": true, "crypto/rand": true, "io/ioutil": true, "os/exec": true,
}

// forbiddenFunctions are the functions, by the path of their package, that a marked
// package must not use.
var forbiddenFunctions = map[string]map[string]bool{
	"time": {"Now": true, "Sleep": true, "After": true, "AfterFunc": true, "NewTimer": true,
		"NewTicker": true, "Tick": true, "Since": true, "Until": true},
}

// allowedRandomFunctions are the constructors of seeded generators, the only
// functions of the random packages that do not use global state.
var allowedRandomFunctions = map[string]bool{"New": true, "NewPCG": true, "NewChaCha8": true, "NewSource": true, "NewZipf": true}

func run(pass *analysis.Pass) (any, error) {
	if !hasDirective(pass.Files) {
		return nil, nil
	}
	for _, f := range pass.Files {
		if strings.HasSuffix(pass.Fset.Position(f.Pos()).Filename, "_test.go") {
			continue
		}
		checkImports(pass, f)
		ast.Inspect(f, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.GoStmt:
				pass.Reportf(n.Pos(), "go statement in a decision package")
			case *ast.SelectorExpr:
				checkSelector(pass, n)
			case *ast.RangeStmt:
				checkRange(pass, n)
			}
			return true
		})
	}
	return nil, nil
}

// hasDirective reports whether any of the files contains the directive.
func hasDirective(files []*ast.File) bool {
	for _, f := range files {
		for _, group := range f.Comments {
			for _, c := range group.List {
				if c.Text == directive {
					return true
				}
			}
		}
	}
	return false
}

func checkImports(pass *analysis.Pass, f *ast.File) {
	for _, spec := range f.Imports {
		path, err := strconv.Unquote(spec.Path.Value)
		if err == nil && forbiddenImports[path] {
			pass.Reportf(spec.Pos(), "import of %s in a decision package", path)
		}
	}
}

func checkSelector(pass *analysis.Pass, sel *ast.SelectorExpr) {
	fn, ok := pass.TypesInfo.Uses[sel.Sel].(*types.Func)
	if !ok || fn.Pkg() == nil || fn.Signature().Recv() != nil {
		return
	}
	path := fn.Pkg().Path()
	if forbiddenFunctions[path][fn.Name()] {
		pass.Reportf(sel.Pos(), "call of %s.%s in a decision package; accept the time as an argument", path, fn.Name())
	}
	if (path == "math/rand" || path == "math/rand/v2") && !allowedRandomFunctions[fn.Name()] {
		pass.Reportf(sel.Pos(), "global randomness %s.%s in a decision package; accept a *rand.Rand as an argument", path, fn.Name())
	}
}

// checkRange reports a range over a map whose body appends to a slice of actions,
// because the order of the actions would differ between runs.
func checkRange(pass *analysis.Pass, r *ast.RangeStmt) {
	t := pass.TypesInfo.TypeOf(r.X)
	if t == nil {
		return
	}
	if _, ok := t.Underlying().(*types.Map); !ok {
		return
	}
	ast.Inspect(r.Body, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		if id, ok := call.Fun.(*ast.Ident); ok && id.Name == "append" && len(call.Args) > 0 {
			if s, ok := pass.TypesInfo.TypeOf(call.Args[0]).Underlying().(*types.Slice); ok && isActionSlice(s) {
				pass.Reportf(call.Pos(), "actions appended in map order; iterate over sorted keys")
			}
		}
		return true
	})
}

func isActionSlice(s *types.Slice) bool {
	named, ok := s.Elem().(*types.Named)
	return ok && named.Obj().Name() == "Action"
}
