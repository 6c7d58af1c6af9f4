// Package core_test checks that core packages perform no I/O.
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

// forbiddenImports are packages through which a core package could perform I/O, read the
// system clock or use a global random source.
var forbiddenImports = []string{"net", "net/http", "os", "io/ioutil", "syscall", "crypto/rand", "log", "os/exec", "google.golang.org/grpc"}

// forbiddenCalls read the system clock, create timers or use the global random source.
var forbiddenCalls = map[string]bool{
	"time.Now": true, "time.Since": true, "time.Until": true, "time.Sleep": true, "time.After": true,
	"time.NewTimer": true, "time.NewTicker": true, "time.AfterFunc": true, "time.Tick": true,
	"rand.Int": true, "rand.IntN": true, "rand.Float64": true, "rand.N": true, "rand.Uint64": true, "rand.Shuffle": true,
}

// TestCoreIsPure guards against a core package that imports a package outside core, performs
// I/O, starts a goroutine or reads the system clock. Such a package could not run with a
// simulated clock, network or disk. The packages declaration and api may be imported.
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
		for _, forbidden := range forbiddenImports {
			require.NotEqual(t, forbidden, name, "%s imports %s", path, name)
		}
		const module = "github.com/bilberrydeck/bilberrydeck/"
		if rest, ok := strings.CutPrefix(name, module); ok {
			allowed := strings.HasPrefix(rest, "core/") || rest == "declaration" || rest == "api"
			require.True(t, allowed, "%s imports %s, which is outside core", path, name)
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
