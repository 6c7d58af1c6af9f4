package main

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/bilberrydeck/bilberrydeck/demo"
)

func runDemo(ctx context.Context, e env, args []string) error {
	f := newFlags(e, "demo", "[-keep]",
		"Runs a small Pant Dent in one process on loopback: control, daemons and\n"+
			"emulated upstreams four services deep. Steady load, then a slow deep service\n"+
			"together with a surge and hard retries, then calm. Ends by itself within 30 s\n"+
			"with a summary; exit code 1 if a promise was broken.",
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
	s := demo.Scenario()
	fmt.Fprintf(e.stdout, "%.0f requests/s, then a surge to %.0f requests/s against a bottleneck of %.0f requests/s, then calm\n",
		s.Rate, s.Rate*s.Surge, s.Bottleneck())
	r, err := demo.Run(ctx, s, dir, func(phase string) { fmt.Fprintf(e.stdout, "phase: %s\n", phase) })
	if err != nil {
		return err
	}
	r.Print(e.stdout)
	if r.Violations() > 0 {
		fmt.Fprintln(e.stdout, r.Summary("broken"))
		return failedError{}
	}
	fmt.Fprintln(e.stdout, r.Summary("ok"))
	return nil
}
