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
	s, logger, end, err := openSettings(e, *file, settings.LoadControl, func(s settings.Control) settings.Log { return s.Log })
	if err != nil {
		return err
	}
	defer end()
	ctx, forced, stop := stopSignals(ctx)
	defer stop()
	release := context.AfterFunc(forced, func() { os.Exit(exitFailed) })
	defer release()
	return process.RunControl(ctx, s, logger)
}
