// Package docs_test compares the reference pages with the code.
package docs_test

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

func page(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("reference", name))
	require.NoError(t, err)
	return string(text)
}

// TestReasonsAreListed guards against a reason that callers see and cannot
// look up, and against a wrong status or Retry-After in its row.
func TestReasonsAreListed(t *testing.T) {
	text := page(t, "requests.md")
	reasons := constants(t, "../core/chain/outcome.go", "Reason")
	require.Greater(t, len(reasons), 20)
	for _, value := range reasons {
		if value == "" {
			continue
		}
		f := chain.NewFailure(chain.NotRun, chain.Reason(value), "")
		status := strconv.Itoa(f.HTTPStatus())
		f.Outcome = chain.Unknown
		if other := strconv.Itoa(f.HTTPStatus()); other != status {
			status += " or " + other
		}
		retry := map[bool]string{true: "yes", false: "no"}[f.RetryableByCaller()]
		require.Contains(t, text, fmt.Sprintf("| `%s` | %s | %s | ", value, status, retry))
	}
	for o := chain.OK; o <= chain.Unknown; o++ {
		require.Contains(t, text, fmt.Sprintf("| `%s` | ", o))
	}
}

// constants lists the values of the string constants of a type in a file.
func constants(t *testing.T, path, typeName string) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	require.NoError(t, err)
	var values []string
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if name, ok := spec.Type.(*ast.Ident); ok && name.Name == typeName {
			for _, v := range spec.Values {
				value, err := strconv.Unquote(v.(*ast.BasicLit).Value)
				require.NoError(t, err)
				values = append(values, value)
			}
		}
		return true
	})
	return values
}

var fieldName = regexp.MustCompile(`(?m)"([a-z_]+)":`)

// TestFieldsAreListed guards against fields of the example files that the
// reference pages do not name.
func TestFieldsAreListed(t *testing.T) {
	pages := map[bool]string{true: page(t, "declarations.md"), false: page(t, "settings.md")}
	regions := regexp.MustCompile(`^(south|mid|north|finistere|morbihan)$`)
	seen := map[string]bool{}
	err := filepath.WalkDir("../examples", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(path) != ".json" {
			return err
		}
		src, err := os.ReadFile(path)
		require.NoError(t, err)
		declared := d.Name() == "bilberrydeck.json"
		for _, m := range fieldName.FindAllSubmatch(bytes.TrimSpace(src), -1) {
			name := string(m[1])
			seen[name] = true
			if !regions.MatchString(name) {
				require.True(t, lists(pages[declared], name), "%s of %s", name, path)
			}
		}
		return nil
	})
	require.NoError(t, err)
	require.Greater(t, len(seen), 25)
}

// lists reports whether a page names a field, alone, in a section or as one.
func lists(text, name string) bool {
	for _, form := range []string{"`%s`", ".%s`", "`%s.", `"%s"`} {
		if strings.Contains(text, fmt.Sprintf(form, name)) {
			return true
		}
	}
	return false
}

// TestLogEventsAreListed guards against a log line that an operator cannot look
// up.
func TestLogEventsAreListed(t *testing.T) {
	text := page(t, "logs.md")
	event := regexp.MustCompile(`(?:Str\("event", |\bMsg\(|\brecord\(|\bdecision\()"([^"]+)"`)
	found := 0
	for _, dir := range []string{"daemon", "control", "relay", "secure", "process"} {
		files, err := filepath.Glob(filepath.Join("..", dir, "*.go"))
		require.NoError(t, err)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			source, err := os.ReadFile(file)
			require.NoError(t, err)
			for _, m := range event.FindAllStringSubmatch(string(source), -1) {
				found++
				require.Contains(t, text, "`"+m[1]+"`", file)
			}
		}
	}
	require.Greater(t, found, 40)
}
