package main

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/bilberrydeck/bilberrydeck/demo"
)

func runDemo(ctx context.Context, e environment, args []string) error {
	f := newFlags(e, "demo", "[-keep]",
		"Runs a small example system in one process on loopback: control, daemons and a\n"+
			"chain of four emulated services. Steady load, then the last service slows down\n"+
			"during a surge with aggressive retries, then calm. Ends by itself within 30 s\n"+
			"with a summary; the exit code is 1 if a guarantee was broken.",
		"demo", "demo -keep")
	keep := f.Bool("keep", false, "keep the data and the logs, and print their directory")
	if err := parseFlags(f, args, 0, 0); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "bilberrydeck-demo-")
	if err != nil {
		return errors.Wrap(err, "creating a directory for data and logs")
	}
	if *keep {
		fmt.Fprintf(e.stdout, "data and logs: %s\n", dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	scenario := demo.Scenario()
	fmt.Fprintf(e.stdout, "%.0f requests/s, then a surge to %.0f requests/s against a bottleneck of %.0f requests/s, then calm\n",
		scenario.Rate, scenario.Rate*scenario.Surge, scenario.Bottleneck())
	result, err := demo.Run(ctx, scenario, dir, func(phase string) { fmt.Fprintf(e.stdout, "phase: %s\n", phase) })
	if err != nil {
		return err
	}
	result.Print(e.stdout)
	if result.Violations() > 0 {
		fmt.Fprintln(e.stdout, result.Summary("broken"))
		return reportedError{}
	}
	fmt.Fprintln(e.stdout, result.Summary("ok"))
	return nil
}
