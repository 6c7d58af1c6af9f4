package main

import (
	"context"
	"os"

	"github.com/bilberrydeck/bilberrydeck/process"
	"github.com/bilberrydeck/bilberrydeck/settings"
)

func runControl(ctx context.Context, e environment, args []string) error {
	f := newFlags(e, "control", "-settings FILE",
		"Runs a control replica. SIGTERM stops it; everything that it acknowledged is on\n"+
			"its disk.",
		"control -settings /etc/bilberrydeck/control.settings.json")
	file := f.String("settings", "", "settings file")
	if err := parseFlags(f, args, 0, 0); err != nil {
		return err
	}
	s, logger, closeLog, err := openSettings(e, *file, settings.LoadControl, func(s settings.Control) settings.Log { return s.Log })
	if err != nil {
		return err
	}
	defer closeLog()
	ctx, forced, stop := stopSignals(ctx)
	defer stop()
	unregister := context.AfterFunc(forced, func() { os.Exit(exitFailed) })
	defer unregister()
	return process.RunControl(ctx, s, logger)
}
