package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// invoke runs the program within the test process and returns its exit code and output.
func invoke(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = run(context.Background(), environment{&out, &errs}, args)
	return code, out.String(), errs.String()
}

// TestHelp guards against a subcommand without a summary, help or examples.
func TestHelp(t *testing.T) {
	code, general, _ := invoke("-h")
	require.Equal(t, exitOK, code)
	for _, c := range commands() {
		require.Contains(t, general, "  "+c.name+" ")
		code, stdout, stderr := invoke(c.name, "-h")
		require.Equal(t, exitOK, code, c.name)
		require.Empty(t, stderr, c.name)
		require.Contains(t, stdout, "Usage: bilberrydeck "+c.name, c.name)
		require.Contains(t, stdout, "Examples:\n  bilberrydeck "+c.name, c.name)
	}
}

var flagName = regexp.MustCompile(`(?m)^  (-[a-z-]+)`)

// TestCommandsAreListed guards against commands and flags that are missing from the
// reference page.
func TestCommandsAreListed(t *testing.T) {
	page, err := os.ReadFile("../../docs/reference/commands.md")
	require.NoError(t, err)
	for _, c := range commands() {
		require.Contains(t, string(page), "\n## "+c.name+"\n")
		_, stdout, _ := invoke(c.name, "-h")
		for _, m := range flagName.FindAllStringSubmatch(stdout, -1) {
			require.Contains(t, string(page), "`"+m[1]+"`", c.name)
		}
	}
}

// TestUsageErrors guards against invalid command lines that are not rejected with exit
// code 2 and one line on standard error.
func TestUsageErrors(t *testing.T) {
	for _, args := range [][]string{
		{"frobnicate"}, {"check"}, {"check", "-frobnicate", "."}, {"check", ".", "-json"}, {"version", "1"},
		{"daemon"}, {"control", "x"}, {"publish"}, {"publish", "-number", "0", "."}, {"publish", "-controls", ",", "../../examples/pantdent"},
		{"status", "-key", "k"}, {"replica"}, {"replica", "remove"}, {"replica", "replace", "-old", "1", "-new", "1"},
		{"replica", "replace", "-old", "1", "-new", "2", "-address", "vm:1"},
	} {
		code, stdout, stderr := invoke(args...)
		require.Equal(t, exitUsage, code, args)
		require.Empty(t, stdout, args)
		require.Equal(t, 1, strings.Count(stderr, "\n"), stderr)
	}
	code, _, stderr := invoke()
	require.Equal(t, exitUsage, code)
	require.Contains(t, stderr, "Usage:")
}

// TestCheck guards against wrong exit codes of `check` and problems that it omits.
func TestCheck(t *testing.T) {
	code, stdout, stderr := invoke("check", "../../examples/pantdent")
	require.Equal(t, exitOK, code, stderr)
	require.Equal(t, "4 declarations and 27 settings files checked: 0 errors, 0 warnings\n", stdout)

	file := filepath.Join(t.TempDir(), "bilberrydeck.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"service": "a", "slots": 1, "max_connections": 1}`), 0o600))
	code, _, stderr = invoke("check", file)
	require.Equal(t, exitFailed, code)
	require.Equal(t, file+":1:1: routes: is missing\n", stderr)
	code, stdout, _ = invoke("check", "-json", file)
	require.Equal(t, exitFailed, code)
	var result checkResult
	require.NoError(t, json.Unmarshal([]byte(stdout), &result))
	require.Equal(t, []checkProblem{{file, 1, 1, "routes", false, "is missing"}}, result.Problems)

	code, _, stderr = invoke("check", file+"x")
	require.Equal(t, exitFailed, code)
	require.Equal(t, 1, strings.Count(stderr, "\n"), stderr)
}

// TestPublishRejectsLocally guards against sending invalid declarations to control, and
// against success although control is unreachable.
func TestPublishRejectsLocally(t *testing.T) {
	dir := t.TempDir()
	code, _, stderr := invoke("publish", dir)
	require.Equal(t, exitFailed, code)
	require.Equal(t, "bilberrydeck publish: no bilberrydeck.json in "+dir+"\n", stderr)
	require.NoError(t, os.WriteFile(filepath.Join(dir, "bilberrydeck.json"), []byte("{"), 0o600))
	code, _, stderr = invoke("publish", dir)
	require.Equal(t, exitFailed, code)
	require.Contains(t, stderr, "bilberrydeck.json:1:2: syntax: ")
	code, _, stderr = invoke("publish", "-timeout", "1ms", "-controls", "127.0.0.1:1", "../../examples/pantdent")
	require.Equal(t, exitFailed, code)
	require.Equal(t, 1, strings.Count(stderr, "\n"), stderr)
}

// TestProcessesRejectInvalidSettings guards against processes that start with invalid
// settings.
func TestProcessesRejectInvalidSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "x.settings.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"id": 0}`), 0o600))
	for _, name := range []string{"daemon", "control"} {
		code, _, stderr := invoke(name, "-settings", file)
		require.Equal(t, exitFailed, code)
		require.Equal(t, 1, strings.Count(stderr, "\n"), stderr)
		require.Contains(t, stderr, file+":1:")
	}
}
