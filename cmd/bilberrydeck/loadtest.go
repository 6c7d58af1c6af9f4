package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/bilberrydeck/bilberrydeck/emulator"
	"github.com/bilberrydeck/bilberrydeck/loadtest"
)

// Values of -mode: the systems that loadtest compares, or all of them.
const (
	modeDaemons = "daemons"
	modeDirect  = "direct"
	modeFixed   = "fixed"
	modeAll     = "all"
)

// fixedQueueFactor is the queue length at the fixed limit, as a multiple of the slots.
const fixedQueueFactor = 1

func runLoadtest(ctx context.Context, e environment, args []string) error {
	f := newFlags(e, "loadtest", "[flags]",
		"Runs the overload scenario on four emulated services that call each other in a\n"+
			"chain, on loopback in one process: the last service slows down, demand surges\n"+
			"and customers retry aggressively. Compares daemons with direct calls that retry\n"+
			"at each hop, and with a fixed concurrency limit at each upstream.",
		"loadtest", "loadtest -mode all", "loadtest -mode daemons -rate 300 -surge 3 -slowness 5 -seed 2")
	s := emulator.DefaultScenario()
	mode := f.String("mode", modeDaemons, "system to run: "+strings.Join([]string{modeDaemons, modeDirect, modeFixed, modeAll}, ", "))
	f.Float64Var(&s.Rate, "rate", s.Rate, "requests per second before the surge")
	f.Float64Var(&s.Surge, "surge", s.Surge, "factor by which the rate grows during the overload")
	f.Float64Var(&s.Slowness, "slowness", s.Slowness, "factor by which the service time of the last service grows during the overload")
	f.IntVar(&s.UpstreamsPerService, "upstreams", s.UpstreamsPerService, "upstreams per service")
	f.IntVar(&s.Attempts, "tries", s.Attempts, "attempts of an impatient customer, including the first")
	f.DurationVar(&s.Steady, "steady", s.Steady, "duration of the steady phase")
	f.DurationVar(&s.Overload, "overload", s.Overload, "duration of the overload")
	f.DurationVar(&s.Calm, "calm", s.Calm, "duration of the phase after the overload")
	f.Uint64Var(&s.Seed, "seed", s.Seed, "seed of the arrival times")
	if err := parseFlags(f, args, 0, 0); err != nil {
		return err
	}
	if err := checkScenario(s); err != nil {
		return err
	}
	modes := []string{*mode}
	if *mode == modeAll {
		modes = []string{modeDirect, modeFixed, modeDaemons}
	}
	for _, m := range modes {
		if err := runMode(ctx, e, m, s); err != nil {
			return err
		}
	}
	return nil
}

// Upper limits of flags, so that a mistyped value does not exhaust the machine.
const (
	maxUpstreams = 20
	maxRate      = 20_000
)

func checkScenario(s emulator.Scenario) error {
	switch {
	case s.Rate <= 0 || s.Rate*s.Surge > maxRate:
		return usagef("-rate times -surge must be above 0 and at most %d", maxRate)
	case s.Surge <= 0 || s.Slowness < 1:
		return usagef("-surge must be above 0 and -slowness at least 1")
	case s.UpstreamsPerService < 1 || s.UpstreamsPerService > maxUpstreams:
		return usagef("-upstreams must be 1 to %d", maxUpstreams)
	case s.Attempts < 1 || s.Steady <= 0 || s.Overload <= 0 || s.Calm <= 0:
		return usagef("-tries, -steady, -overload and -calm must be above 0")
	}
	return nil
}

func runMode(ctx context.Context, e environment, mode string, s emulator.Scenario) error {
	fmt.Fprintf(e.stdout, "mode %s: %.0f requests/s, then %.0f requests/s against a bottleneck of %.0f requests/s\n",
		mode, s.Rate, s.Rate*s.Surge, s.Bottleneck())
	progress := func(phase string) { fmt.Fprintf(e.stdout, "phase %s\n", phase) }
	var r *loadtest.Result
	var err error
	switch mode {
	case modeDaemons:
		r, err = loadtest.Run(ctx, s, progress)
	case modeDirect:
		r, err = loadtest.RunDirect(ctx, s, 0, progress)
	case modeFixed:
		r, err = loadtest.RunDirect(ctx, s, fixedQueueFactor, progress)
	default:
		return usagef("unknown mode %q", mode)
	}
	if err != nil {
		return err
	}
	r.Print(e.stdout)
	fmt.Fprintf(e.stdout, "mode=%s %s\n", mode, r.Summary("done"))
	return nil
}
