// Package core_test guards the rule that core packages do no input or output.
package core_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// forbiddenImports would let a core package do input or output, read the
// clock behind the binding's back or use a global random source.
var forbiddenImports = []string{"net", "net/http", "os", "io/ioutil", "syscall", "crypto/rand", "log", "os/exec", "google.golang.org/grpc"}

var forbiddenCalls = map[string]bool{
	"time.Now": true, "time.Since": true, "time.Until": true, "time.Sleep": true, "time.After": true,
	"time.NewTimer": true, "time.NewTicker": true, "time.AfterFunc": true, "time.Tick": true,
	"rand.Int": true, "rand.IntN": true, "rand.Float64": true, "rand.N": true, "rand.Uint64": true, "rand.Shuffle": true,
}

// TestCoreIsPure guards against a core package that imports a binding, does
// input or output, starts a goroutine or reads the clock: such a package could
// not run under another clock, network or disk.
func TestCoreIsPure(t *testing.T) {
	files := 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		checkFile(t, path)
		return nil
	})
	require.NoError(t, err)
	require.NotZero(t, files)
}

func checkFile(t *testing.T, path string) {
	t.Helper()
	fset := token.NewFileSet()
	f, err := parser.ParseFile(fset, path, nil, 0)
	require.NoError(t, err)
	for _, imp := range f.Imports {
		name := strings.Trim(imp.Path.Value, `"`)
		for _, bad := range forbiddenImports {
			require.NotEqual(t, bad, name, "%s imports %s", path, name)
		}
		const module = "github.com/bilberrydeck/bilberrydeck/"
		if rest, ok := strings.CutPrefix(name, module); ok {
			allowed := strings.HasPrefix(rest, "core/") || rest == "declaration" || rest == "api"
			require.True(t, allowed, "%s imports the binding %s", path, name)
		}
	}
	ast.Inspect(f, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			t.Errorf("%s: starts a goroutine", fset.Position(n.Pos()))
		case *ast.CallExpr:
			if sel, ok := n.Fun.(*ast.SelectorExpr); ok {
				if pkg, ok := sel.X.(*ast.Ident); ok && forbiddenCalls[pkg.Name+"."+sel.Sel.Name] {
					t.Errorf("%s: calls %s.%s", fset.Position(n.Pos()), pkg.Name, sel.Sel.Name)
				}
			}
		}
		return true
	})
}
