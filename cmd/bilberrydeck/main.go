// Command bilberrydeck is an overload control layer for service call graphs.
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
	exitDone   = 0
	exitFailed = 1 // refused or failed
	exitUsage  = 2
)

// env is what a subcommand may use of its process.
type env struct {
	stdout io.Writer
	stderr io.Writer
}

// command is one subcommand.
type command struct {
	name    string
	summary string
	run     func(ctx context.Context, e env, args []string) error
}

// commands lists the subcommands in the order of the help text.
func commands() []command {
	return []command{
		{"daemon", "run the daemon beside an upstream", runDaemon},
		{"control", "run a control replica", runControl},
		{"fleet-daemon", "run the daemon beside an upstream of a fleet with seeds", runFleetDaemon},
		{"fleet-control", "run a control replica of a fleet with seeds", runFleetControl},
		{"publish", "send declarations to control", runPublish},
		{"check", "validate declaration and settings files", runCheck},
		{"status", "show the state of control or of a daemon", runStatus},
		{"replica", "replace a lost control replica", runReplica},
		{"explain", "tell from logs what became of a request", runExplain},
		{"demo", "show the system under overload on this machine", runDemo},
		{"loadtest", "measure the request path under overload", runLoadtest},
		{"version", "print the version of the program", runVersion},
	}
}

func main() {
	os.Exit(run(context.Background(), env{os.Stdout, os.Stderr}, os.Args[1:]))
}

// run executes the subcommand that args name and returns the exit code.
func run(ctx context.Context, e env, args []string) int {
	if len(args) == 0 {
		help(e.stderr)
		return exitUsage
	}
	if args[0] == "-h" || args[0] == "-help" || args[0] == "--help" || args[0] == "help" {
		help(e.stdout)
		return exitDone
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return exitCode(e, c.name, c.run(ctx, e, args[1:]))
		}
	}
	fmt.Fprintf(e.stderr, "bilberrydeck: unknown command %q; see bilberrydeck -h\n", args[0])
	return exitUsage
}

func help(w io.Writer) {
	fmt.Fprint(w, "Bilberrydeck controls overload in service call graphs.\n\nUsage: bilberrydeck COMMAND [flags] [arguments]\n\nCommands:\n")
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-13s %s\n", c.name, c.summary)
	}
	fmt.Fprint(w, "\nbilberrydeck COMMAND -h shows the flags and examples of a command.\n")
}

// usageError is a command line that cannot be understood.
type usageError struct{ message string }

func (u *usageError) Error() string { return u.message }

func usagef(format string, args ...any) error {
	return &usageError{fmt.Sprintf(format, args...)}
}

// failedError is a result that is not a success and has been printed already.
type failedError struct{}

func (failedError) Error() string { return "failed" }

// exitCode prints an error in one line and chooses the exit code.
func exitCode(e env, name string, err error) int {
	var usage *usageError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitDone
	case errors.As(err, &failedError{}):
		return exitFailed
	case errors.As(err, &usage):
		fmt.Fprintf(e.stderr, "bilberrydeck %s: %s; see bilberrydeck %s -h\n", name, oneLine(usage.message), name)
		return exitUsage
	}
	fmt.Fprintf(e.stderr, "bilberrydeck %s: %s\n", name, oneLine(err.Error()))
	return exitFailed
}

func oneLine(text string) string {
	return strings.Join(strings.FieldsFunc(text, func(r rune) bool { return r == '\n' || r == '\r' }), "; ")
}
