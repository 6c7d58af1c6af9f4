package main

import (
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// newFlags returns the flag set of a subcommand. With -h, the help text, including the
// flags and the examples, is printed to standard output.
func newFlags(e environment, name, arguments, description string, examples ...string) *flag.FlagSet {
	f := flag.NewFlagSet(name, flag.ContinueOnError)
	f.SetOutput(io.Discard) // exitCode prints errors in one line
	f.Usage = func() {
		fmt.Fprintf(e.stdout, "Usage: bilberrydeck %s %s\n\n%s\n", name, arguments, description)
		if hasFlags(f) {
			fmt.Fprint(e.stdout, "\nFlags:\n")
			f.SetOutput(e.stdout)
			f.PrintDefaults()
			f.SetOutput(io.Discard)
		}
		fmt.Fprint(e.stdout, "\nExamples:\n")
		for _, example := range examples {
			fmt.Fprintf(e.stdout, "  bilberrydeck %s\n", example)
		}
	}
	return f
}

func hasFlags(f *flag.FlagSet) bool {
	found := false
	f.VisitAll(func(*flag.Flag) { found = true })
	return found
}

// parseFlags parses args and checks the number of arguments after the flags. A
// negative maxArgs means no upper limit.
func parseFlags(f *flag.FlagSet, args []string, minArgs, maxArgs int) error {
	printUsage := f.Usage
	f.Usage = func() {}
	err := f.Parse(args)
	f.Usage = printUsage
	switch {
	case errors.Is(err, flag.ErrHelp):
		printUsage()
		return err
	case err != nil:
		return usagef("%v", err)
	case f.NArg() < minArgs:
		return usagef("an argument is missing")
	case maxArgs >= 0 && f.NArg() > maxArgs:
		return usagef("unexpected argument %q", f.Arg(maxArgs))
	}
	for _, arg := range f.Args() {
		if strings.HasPrefix(arg, "-") {
			return usagef("flag %s must come before the arguments", arg)
		}
	}
	return nil
}
