package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/bilberrydeck/bilberrydeck/emulator"
	"github.com/bilberrydeck/bilberrydeck/loadtest"
)

// The systems that loadtest compares.
const (
	modeDaemons = "daemons"
	modeDirect  = "direct"
	modeFixed   = "fixed"
	modeAll     = "all"
)

// fixedQueue is the queue of the fixed limit in multiples of the slots.
const fixedQueue = 1

func runLoadtest(ctx context.Context, e env, args []string) error {
	f := newFlags(e, "loadtest", "[flags]",
		"Runs the overload scenario on emulated services four deep, on loopback in\n"+
			"one process: a deep service slows, demand surges and customers retry hard.\n"+
			"Compares daemons with direct calls that retry at each hop, and with a fixed\n"+
			"concurrency limit at each upstream.",
		"loadtest", "loadtest -mode all", "loadtest -mode daemons -rate 300 -surge 3 -slowness 5 -seed 2")
	s := emulator.DefaultScenario()
	mode := f.String("mode", modeDaemons, "what to run: "+strings.Join([]string{modeDaemons, modeDirect, modeFixed, modeAll}, ", "))
	f.Float64Var(&s.Rate, "rate", s.Rate, "requests per second before the surge")
	f.Float64Var(&s.Surge, "surge", s.Surge, "factor on the rate during the overload")
	f.Float64Var(&s.Slowness, "slowness", s.Slowness, "factor on the service time of the deep service during the overload")
	f.IntVar(&s.UpstreamsPerService, "upstreams", s.UpstreamsPerService, "upstreams per service")
	f.IntVar(&s.Attempts, "tries", s.Attempts, "tries of an impatient customer")
	f.DurationVar(&s.Steady, "steady", s.Steady, "length of the steady phase")
	f.DurationVar(&s.Overload, "overload", s.Overload, "length of the overload")
	f.DurationVar(&s.Calm, "calm", s.Calm, "length of the phase after the overload")
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

// Upper bounds keep a mistyped value from exhausting the machine.
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

func runMode(ctx context.Context, e env, mode string, s emulator.Scenario) error {
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
		r, err = loadtest.RunDirect(ctx, s, fixedQueue, progress)
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
