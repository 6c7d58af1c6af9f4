package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/bilberrydeck/bilberrydeck/logging"
	"github.com/bilberrydeck/bilberrydeck/platform"
	"github.com/bilberrydeck/bilberrydeck/process"
)

func runFleetDaemon(ctx context.Context, e env, args []string) error {
	return runFleet(ctx, e, args, "fleet-daemon",
		"Runs the daemon beside one upstream of a fleet whose VMs find each other from\n"+
			"seeds. SIGTERM starts a planned stop, SIGHUP reads the settings again.",
		process.RunFleetDaemon)
}

func runFleetControl(ctx context.Context, e env, args []string) error {
	return runFleet(ctx, e, args, "fleet-control",
		"Runs a control replica of a fleet whose VMs find each other from seeds. SIGTERM\n"+
			"stops it, SIGHUP reads the settings again.",
		process.RunFleetControl)
}

// runFleet runs a process of a fleet. Its settings file is the platform's.
func runFleet(ctx context.Context, e env, args []string, name, about string,
	run func(context.Context, string, <-chan os.Signal, *logging.Logger) error) error {
	f := newFlags(e, name, "[-settings FILE]", about, name+" -settings /etc/bilberrydeck/settings.toml")
	file := f.String("settings", os.Getenv(platform.SettingsVariable), "settings file of the platform; default is $"+platform.SettingsVariable)
	if err := parseFlags(f, args, 0, 0); err != nil {
		return err
	}
	if *file == "" {
		return usagef("-settings is missing and $%s is not set", platform.SettingsVariable)
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	ctx, forced, stop := stopSignals(ctx)
	defer stop()
	release := context.AfterFunc(forced, func() { os.Exit(exitFailed) })
	defer release()
	logger, flush := logging.NewProcess(e.stdout)
	defer flush()
	return run(ctx, *file, reload, logger)
}
