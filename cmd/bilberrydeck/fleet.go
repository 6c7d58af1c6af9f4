package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/bilberrydeck/bilberrydeck/logging"
	"github.com/bilberrydeck/bilberrydeck/platform"
	"github.com/bilberrydeck/bilberrydeck/process"
	"github.com/bilberrydeck/bilberrydeck/settings"
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
	run func(context.Context, process.FleetOptions) error) error {
	f := newFlags(e, name, "[-settings FILE] [-own FILE]", about, name+" -settings /etc/bilberrydeck/settings.toml")
	own := f.String("own", "", "further settings that the platform's file does not have")
	file := f.String("settings", os.Getenv(platform.SettingsVariable), "settings file of the platform; default is $"+platform.SettingsVariable)
	if err := parseFlags(f, args, 0, 0); err != nil {
		return err
	}
	if *file == "" {
		return usagef("-settings is missing and $%s is not set", platform.SettingsVariable)
	}
	var more settings.Fleet
	if *own != "" {
		var err error
		if more, _, err = settings.LoadFleet(*own); err != nil {
			return err
		}
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
	return run(ctx, process.FleetOptions{Settings: *file, Dial: more.Dial, Reload: reload, Logger: logger})
}
