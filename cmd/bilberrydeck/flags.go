package main

import (
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// newFlags returns the flag set of a subcommand. The help text goes to
// standard output when it is asked for and shows the examples after the flags.
func newFlags(e env, name, arguments, description string, examples ...string) *flag.FlagSet {
	f := flag.NewFlagSet(name, flag.ContinueOnError)
	f.SetOutput(io.Discard) // errors are printed in one line by exitCode
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

// parseFlags parses args and checks the number of arguments after the flags; a
// negative maximum means any number.
func parseFlags(f *flag.FlagSet, args []string, least, most int) error {
	show := f.Usage
	f.Usage = func() {}
	err := f.Parse(args)
	f.Usage = show
	switch {
	case errors.Is(err, flag.ErrHelp):
		show()
		return err
	case err != nil:
		return usagef("%v", err)
	case f.NArg() < least:
		return usagef("an argument is missing")
	case most >= 0 && f.NArg() > most:
		return usagef("unexpected argument %q", f.Arg(most))
	}
	for _, arg := range f.Args() {
		if strings.HasPrefix(arg, "-") {
			return usagef("flag %s must come before the arguments", arg)
		}
	}
	return nil
}
