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

func runFleetDaemon(ctx context.Context, e environment, args []string) error {
	return runFleet(ctx, e, args, "fleet-daemon",
		"Runs the daemon of one upstream in a fleet whose VMs discover each other through\n"+
			"seed addresses. SIGTERM starts a graceful shutdown, SIGHUP reloads the settings.",
		process.RunFleetDaemon)
}

func runFleetControl(ctx context.Context, e environment, args []string) error {
	return runFleet(ctx, e, args, "fleet-control",
		"Runs a control replica of a fleet whose VMs discover each other through seed\n"+
			"addresses. SIGTERM stops it, SIGHUP reloads the settings.",
		process.RunFleetControl)
}

// runFleet runs a process of a fleet with the settings file of the platform.
func runFleet(ctx context.Context, e environment, args []string, name, description string,
	run func(context.Context, process.FleetOptions) error) error {
	f := newFlags(e, name, "[-settings FILE] [-own FILE]", description, name+" -settings /etc/bilberrydeck/settings.toml")
	extraFile := f.String("own", "", "file with additional settings that the platform's file cannot hold")
	file := f.String("settings", os.Getenv(platform.SettingsVariable), "settings file of the platform; default is $"+platform.SettingsVariable)
	if err := parseFlags(f, args, 0, 0); err != nil {
		return err
	}
	if *file == "" {
		return usagef("-settings is missing and $%s is not set", platform.SettingsVariable)
	}
	var extra settings.Fleet
	if *extraFile != "" {
		var err error
		if extra, _, err = settings.LoadFleet(*extraFile); err != nil {
			return err
		}
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	ctx, forced, stop := stopSignals(ctx)
	defer stop()
	unregister := context.AfterFunc(forced, func() { os.Exit(exitFailed) })
	defer unregister()
	logger, flush := logging.NewProcess(e.stdout)
	defer flush()
	return run(ctx, process.FleetOptions{Settings: *file, Dial: extra.Dial, Limits: extra.Limits, Reload: reload, Logger: logger})
}
