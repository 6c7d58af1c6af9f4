// Command bilberrydeck contains the processes and the operator commands of an overload
// control layer for service call graphs.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// Exit codes of the program.
const (
	exitOK     = 0
	exitFailed = 1 // the command failed or its request was rejected
	exitUsage  = 2 // the command line is invalid
)

// environment holds the output streams of a subcommand.
type environment struct {
	stdout io.Writer
	stderr io.Writer
}

// command describes a subcommand.
type command struct {
	name    string
	summary string
	run     func(ctx context.Context, e environment, args []string) error
}

// commands lists the subcommands in the order of the help text.
func commands() []command {
	return []command{
		{"daemon", "run the daemon of an upstream, on the same VM", runDaemon},
		{"control", "run a control replica", runControl},
		{"fleet-daemon", "run the daemon of an upstream in a fleet with seeds", runFleetDaemon},
		{"fleet-control", "run a control replica of a fleet with seeds", runFleetControl},
		{"publish", "send declarations to control", runPublish},
		{"check", "validate declaration and settings files", runCheck},
		{"status", "show the state of control or of a daemon", runStatus},
		{"replica", "replace a failed control replica", runReplica},
		{"explain", "reconstruct from logs what happened to a request", runExplain},
		{"demo", "demonstrate the system under overload on this machine", runDemo},
		{"loadtest", "measure the request path under overload", runLoadtest},
		{"version", "print the version of the program", runVersion},
	}
}

func main() {
	os.Exit(run(context.Background(), environment{os.Stdout, os.Stderr}, os.Args[1:]))
}

// run executes the subcommand given by the first argument and returns the exit code.
func run(ctx context.Context, e environment, args []string) int {
	if len(args) == 0 {
		printHelp(e.stderr)
		return exitUsage
	}
	if args[0] == "-h" || args[0] == "-help" || args[0] == "--help" || args[0] == "help" {
		printHelp(e.stdout)
		return exitOK
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return exitCode(e, c.name, c.run(ctx, e, args[1:]))
		}
	}
	fmt.Fprintf(e.stderr, "bilberrydeck: unknown command %q; see bilberrydeck -h\n", args[0])
	return exitUsage
}

// printHelp prints the list of subcommands.
func printHelp(w io.Writer) {
	fmt.Fprint(w, "Bilberrydeck controls overload in service call graphs.\n\nUsage: bilberrydeck COMMAND [flags] [arguments]\n\nCommands:\n")
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-13s %s\n", c.name, c.summary)
	}
	fmt.Fprint(w, "\nbilberrydeck COMMAND -h shows the flags and examples of a command.\n")
}

// usageError reports an invalid command line.
type usageError struct{ message string }

func (u *usageError) Error() string { return u.message }

func usagef(format string, args ...any) error {
	return &usageError{fmt.Sprintf(format, args...)}
}

// reportedError is returned after a failure that has already been printed.
type reportedError struct{}

func (reportedError) Error() string { return "failed" }

// exitCode prints an error in one line, unless it is already printed, and returns the
// exit code.
func exitCode(e environment, name string, err error) int {
	var usage *usageError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.As(err, &reportedError{}):
		return exitFailed
	case errors.As(err, &usage):
		fmt.Fprintf(e.stderr, "bilberrydeck %s: %s; see bilberrydeck %s -h\n", name, oneLine(usage.message), name)
		return exitUsage
	}
	fmt.Fprintf(e.stderr, "bilberrydeck %s: %s\n", name, oneLine(err.Error()))
	return exitFailed
}

// oneLine joins the lines of a text with semicolons.
func oneLine(text string) string {
	return strings.Join(strings.FieldsFunc(text, func(r rune) bool { return r == '\n' || r == '\r' }), "; ")
}
