package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/bilberrydeck/bilberrydeck/daemon"
	"github.com/bilberrydeck/bilberrydeck/process"
	"github.com/bilberrydeck/bilberrydeck/settings"
)

func runDaemon(ctx context.Context, e env, args []string) error {
	f := newFlags(e, "daemon", "-settings FILE",
		"Runs the daemon beside one upstream. SIGTERM starts a planned stop, which lets\n"+
			"all requests in flight finish; a second SIGTERM ends the process at once.",
		"daemon -settings /etc/bilberrydeck/daemon.settings.json")
	file := f.String("settings", "", "settings file")
	if err := parseFlags(f, args, 0, 0); err != nil {
		return err
	}
	if *file == "" {
		return usagef("-settings is missing")
	}
	s, warnings, err := settings.LoadDaemon(*file)
	if err != nil {
		return err
	}
	logger, end, err := process.OpenLog(s.Log, e.stderr)
	if err != nil {
		return err
	}
	defer end()
	for _, w := range warnings {
		logger.Warn().Msg(w.String())
	}
	daemon.TuneMemory()
	ctx, force, stop := stopSignals(ctx)
	defer stop()
	return process.RunDaemon(ctx, force, s, logger)
}

// stopSignals returns a context that ends at the first SIGTERM or interrupt,
// and one that ends at the second.
func stopSignals(parent context.Context) (planned, forced context.Context, stop func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	planned, endPlanned := context.WithCancel(parent)
	forced, endForced := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		for _, end := range []func(){endPlanned, endForced} {
			select {
			case <-signals:
				end()
			case <-done:
				return
			}
		}
	}()
	return planned, forced, func() {
		signal.Stop(signals)
		close(done)
		endPlanned()
		endForced()
	}
}
