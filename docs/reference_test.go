// Package docs_test checks that the reference pages agree with the code.
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

// page returns the text of a reference page.
func page(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("reference", name))
	require.NoError(t, err)
	return string(text)
}

// TestReasonsAreListed guards against reasons and outcomes of responses that the reference
// page does not list, and against rows with a wrong status or retry column.
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

// constants returns the values of the string constants of a type that a file declares.
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

// TestFieldsAreListed guards against fields in the example files that the reference pages
// do not list.
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

// lists reports whether a page names a field: alone, as the last or first part of a dotted
// name, or in quotes.
func lists(text, name string) bool {
	for _, form := range []string{"`%s`", ".%s`", "`%s.", `"%s"`} {
		if strings.Contains(text, fmt.Sprintf(form, name)) {
			return true
		}
	}
	return false
}

// TestLogEventsAreListed guards against log events that the reference page does not list.
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
