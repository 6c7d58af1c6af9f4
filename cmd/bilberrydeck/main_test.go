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

var flagName = regexp.MustCompile(`(?m)^  (-[a-z-]+)`)

// TestCommandsAreListed guards against commands and flags that the reference
// page does not name.
func TestCommandsAreListed(t *testing.T) {
	text, err := os.ReadFile("../../docs/reference/commands.md")
	require.NoError(t, err)
	for _, c := range commands() {
		require.Contains(t, string(text), "\n## "+c.name+"\n")
		_, out, _ := invoke(c.name, "-h")
		for _, m := range flagName.FindAllStringSubmatch(out, -1) {
			require.Contains(t, string(text), "`"+m[1]+"`", c.name)
		}
	}
}

// TestUsageErrors guards against wrong command lines that are not refused
// with exit code 2 and one line on standard error.
func TestUsageErrors(t *testing.T) {
	for _, args := range [][]string{
		{"frobnicate"}, {"check"}, {"check", "-frobnicate", "."}, {"check", ".", "-json"}, {"version", "1"},
		{"daemon"}, {"control", "x"}, {"publish"}, {"publish", "-number", "0", "."}, {"publish", "-controls", ",", "../../examples/pantdent"},
		{"status", "-key", "k"}, {"replica"}, {"replica", "remove"}, {"replica", "replace", "-old", "1", "-new", "1"},
		{"replica", "replace", "-old", "1", "-new", "2", "-address", "vm:1"},
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

// TestPublishRefusesLocally guards against invalid declarations that are sent,
// and against an unreachable control that is not reported as a failure.
func TestPublishRefusesLocally(t *testing.T) {
	dir := t.TempDir()
	code, _, errs := invoke("publish", dir)
	require.Equal(t, exitFailed, code)
	require.Equal(t, "bilberrydeck publish: no bilberrydeck.json in "+dir+"\n", errs)
	require.NoError(t, os.WriteFile(filepath.Join(dir, "bilberrydeck.json"), []byte("{"), 0o600))
	code, _, errs = invoke("publish", dir)
	require.Equal(t, exitFailed, code)
	require.Contains(t, errs, "bilberrydeck.json:1:2: syntax: ")
	code, _, errs = invoke("publish", "-timeout", "1ms", "-controls", "127.0.0.1:1", "../../examples/pantdent")
	require.Equal(t, exitFailed, code)
	require.Equal(t, 1, strings.Count(errs, "\n"), errs)
}

// TestProcessesRefuseSettings guards against processes that start with invalid
// settings.
func TestProcessesRefuseSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "x.settings.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"id": 0}`), 0o600))
	for _, name := range []string{"daemon", "control"} {
		code, _, errs := invoke(name, "-settings", file)
		require.Equal(t, exitFailed, code)
		require.Equal(t, 1, strings.Count(errs, "\n"), errs)
		require.Contains(t, errs, file+":1:")
	}
}
