package main

import (
	"context"
	"os"

	"github.com/bilberrydeck/bilberrydeck/process"
	"github.com/bilberrydeck/bilberrydeck/settings"
)

func runControl(ctx context.Context, e env, args []string) error {
	f := newFlags(e, "control", "-settings FILE",
		"Runs a control replica. SIGTERM stops it; everything that it answered is on its\n"+
			"disk.",
		"control -settings /etc/bilberrydeck/control.settings.json")
	file := f.String("settings", "", "settings file")
	if err := parseFlags(f, args, 0, 0); err != nil {
		return err
	}
	if *file == "" {
		return usagef("-settings is missing")
	}
	s, warnings, err := settings.LoadControl(*file)
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
	ctx, forced, stop := stopSignals(ctx)
	defer stop()
	release := context.AfterFunc(forced, func() { os.Exit(exitFailed) })
	defer release()
	return process.RunControl(ctx, s, logger)
}
