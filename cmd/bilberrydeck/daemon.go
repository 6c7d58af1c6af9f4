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

func runDaemon(ctx context.Context, e environment, args []string) error {
	f := newFlags(e, "daemon", "-settings FILE",
		"Runs the daemon of one upstream. SIGTERM starts a graceful shutdown, which lets\n"+
			"all requests in flight finish; a second SIGTERM ends the process at once.",
		"daemon -settings /etc/bilberrydeck/daemon.settings.json")
	file := f.String("settings", "", "settings file")
	if err := parseFlags(f, args, 0, 0); err != nil {
		return err
	}
	s, logger, closeLog, err := openSettings(e, *file, settings.LoadDaemon, func(s settings.Daemon) settings.Log { return s.Log })
	if err != nil {
		return err
	}
	defer closeLog()
	daemon.TuneMemory()
	ctx, force, stop := stopSignals(ctx)
	defer stop()
	return process.RunDaemon(ctx, force, s, logger)
}

// openSettings loads the settings file of a process, opens its log and logs the
// warnings about the settings. The returned function closes the log.
func openSettings[S any](e environment, file string, load func(string) (S, settings.Problems, error),
	logOf func(S) settings.Log) (S, *logging.Logger, func(), error) {
	var none S
	if file == "" {
		return none, nil, nil, usagef("-settings is missing")
	}
	s, warnings, err := load(file)
	if err != nil {
		return none, nil, nil, err
	}
	logger, closeLog, err := process.OpenLog(logOf(s), e.stderr)
	if err != nil {
		return none, nil, nil, err
	}
	for _, w := range warnings {
		logger.Warn().Msg(w.String())
	}
	return s, logger, closeLog, nil
}

// stopSignals returns a context that is cancelled by the first SIGTERM or interrupt,
// for a graceful shutdown, and one that is cancelled by the second. The returned
// function stops the handling of signals and cancels both contexts.
func stopSignals(parent context.Context) (graceful, forced context.Context, stop func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	graceful, cancelGraceful := context.WithCancel(parent)
	forced, cancelForced := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		for _, cancel := range []func(){cancelGraceful, cancelForced} {
			select {
			case <-signals:
				cancel()
			case <-done:
				return
			}
		}
	}()
	return graceful, forced, func() {
		signal.Stop(signals)
		close(done)
		cancelGraceful()
		cancelForced()
	}
}
