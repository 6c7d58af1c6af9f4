package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/bilberrydeck/bilberrydeck/daemon"
	"github.com/bilberrydeck/bilberrydeck/logging"
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
	s, logger, end, err := openSettings(e, *file, settings.LoadDaemon, func(s settings.Daemon) settings.Log { return s.Log })
	if err != nil {
		return err
	}
	defer end()
	daemon.TuneMemory()
	ctx, force, stop := stopSignals(ctx)
	defer stop()
	return process.RunDaemon(ctx, force, s, logger)
}

// openSettings loads the settings file of a process and opens its log, to which
// the warnings about the settings go. The returned function closes the log.
func openSettings[S any](e env, file string, load func(string) (S, settings.Problems, error),
	logOf func(S) settings.Log) (S, *logging.Logger, func(), error) {
	var none S
	if file == "" {
		return none, nil, nil, usagef("-settings is missing")
	}
	s, warnings, err := load(file)
	if err != nil {
		return none, nil, nil, err
	}
	logger, end, err := process.OpenLog(logOf(s), e.stderr)
	if err != nil {
		return none, nil, nil, err
	}
	for _, w := range warnings {
		logger.Warn().Msg(w.String())
	}
	return s, logger, end, nil
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
