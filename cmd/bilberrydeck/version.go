package main

import (
	"context"
	"fmt"
)

// Version is the version of the program.
const Version = "0.1.0-dev"

func runVersion(_ context.Context, e environment, args []string) error {
	f := newFlags(e, "version", "", "Prints the version of the program.", "version")
	if err := parseFlags(f, args, 0, 0); err != nil {
		return err
	}
	fmt.Fprintln(e.stdout, Version)
	return nil
}
