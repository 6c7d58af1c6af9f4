package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// invoke runs the program in the process and returns its exit code and output.
func invoke(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = run(context.Background(), env{&out, &errs}, args)
	return code, out.String(), errs.String()
}

// TestHelp guards against a subcommand without help, a summary or examples.
func TestHelp(t *testing.T) {
	code, general, _ := invoke("-h")
	require.Equal(t, exitDone, code)
	for _, c := range commands() {
		require.Contains(t, general, "  "+c.name+" ")
		code, out, errs := invoke(c.name, "-h")
		require.Equal(t, exitDone, code, c.name)
		require.Empty(t, errs, c.name)
		require.Contains(t, out, "Usage: bilberrydeck "+c.name, c.name)
		require.Contains(t, out, "Examples:\n  bilberrydeck "+c.name, c.name)
	}
}

// TestUsageErrors guards against wrong command lines that are not refused
// with exit code 2 and one line on standard error.
func TestUsageErrors(t *testing.T) {
	for _, args := range [][]string{
		{"frobnicate"}, {"check"}, {"check", "-frobnicate", "."}, {"check", ".", "-json"}, {"version", "1"},
	} {
		code, out, errs := invoke(args...)
		require.Equal(t, exitUsage, code, args)
		require.Empty(t, out, args)
		require.Equal(t, 1, strings.Count(errs, "\n"), errs)
	}
	code, _, errs := invoke()
	require.Equal(t, exitUsage, code)
	require.Contains(t, errs, "Usage:")
}

// TestCheck guards against wrong exit codes and lost problems of `check`.
func TestCheck(t *testing.T) {
	code, out, errs := invoke("check", "../../examples/pantdent")
	require.Equal(t, exitDone, code, errs)
	require.Equal(t, "4 declarations and 27 settings files checked: 0 errors, 0 warnings\n", out)

	file := filepath.Join(t.TempDir(), "bilberrydeck.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"service": "a", "slots": 1, "max_connections": 1}`), 0o600))
	code, _, errs = invoke("check", file)
	require.Equal(t, exitFailed, code)
	require.Equal(t, file+":1:1: routes: is missing\n", errs)
	code, out, _ = invoke("check", "-json", file)
	require.Equal(t, exitFailed, code)
	var result checkResult
	require.NoError(t, json.Unmarshal([]byte(out), &result))
	require.Equal(t, []checkProblem{{file, 1, 1, "routes", false, "is missing"}}, result.Problems)

	code, _, errs = invoke("check", file+"x")
	require.Equal(t, exitFailed, code)
	require.Equal(t, 1, strings.Count(errs, "\n"), errs)
}
