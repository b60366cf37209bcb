package e2e

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

// counterFuncs are the functions that take the detail label of a counter.
var counterFuncs = []string{"Inc", "Add", "Count", "inc", "pausePeer"}

// collectDetails collects the details of counters in a file: string literals in
// calls of counterFuncs, constants of type api.Reason, and those of type
// count.Kind.
func collectDetails(file *ast.File, found map[string]string, at string) {
	add := func(e ast.Expr) {
		if text, ok := e.(*ast.BasicLit); ok && text.Kind == token.STRING {
			if value, err := strconv.Unquote(text.Value); err == nil && value != "" {
				found[value] = at
			}
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.CallExpr:
			if f, ok := n.Fun.(*ast.SelectorExpr); ok && slices.Contains(counterFuncs, f.Sel.Name) {
				for _, arg := range n.Args {
					add(arg)
				}
			}
		case *ast.ValueSpec:
			if slices.Contains([]string{"Reason", "Kind"}, typeName(n.Type)) {
				for _, value := range n.Values {
					add(value)
				}
			}
		}
		return true
	})
}

func typeName(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.Ident:
		return e.Name
	case *ast.SelectorExpr:
		return e.Sel.Name
	}
	return ""
}

// detailsInCode returns the details used in the modules core, entry and platform,
// each with a file that uses it.
func detailsInCode(t *testing.T) map[string]string {
	found := map[string]string{}
	for _, dir := range []string{"core", "entry", "platform"} {
		err := filepath.WalkDir(filepath.Join(repoRoot, dir), func(path string, d fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			if strings.HasPrefix(filepath.Base(filepath.Dir(path)), "config") {
				return nil // The Kind constants in these packages are kinds of services, not of counters.
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			collectDetails(file, found, path)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return found
}

// Guards against counters that docs/counters.md does not explain to operators, and
// against entries of that page for counters that no longer exist.
func TestCountersPage(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(repoRoot, "docs/counters.md"))
	if err != nil {
		t.Fatal(err)
	}
	used := detailsInCode(t)
	for _, outcome := range []string{"answered", "not_run", "failed", "unknown"} {
		used[outcome] = "core/api"
	}
	documented := map[string]bool{}
	for _, m := range regexp.MustCompile("(?m)^(?:\\| |## )`([a-z_]+)`").FindAllStringSubmatch(string(text), -1) {
		documented[m[1]] = true
		if used[m[1]] == "" {
			t.Errorf("%s is on the page and not in the code", m[1])
		}
	}
	for detail, at := range used {
		if !documented[detail] {
			t.Errorf("%s (%s) is not on the page", detail, at)
		}
	}
}
