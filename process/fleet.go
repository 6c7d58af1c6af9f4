package process

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"github.com/bilberrydeck/bilberrydeck/internal/tcpopt"
	"github.com/bilberrydeck/bilberrydeck/logging"
	"github.com/bilberrydeck/bilberrydeck/platform"
)

const (
	// collectorPercent lets the small heap of a process of a fleet grow to four
	// times its live part between collections.
	collectorPercent = 300
	// memoryShare is the part of the memory of a VM above which the collector
	// works harder. The rest is for stacks, the program itself and the kernel's
	// buffers, which count towards the limit of the VM.
	memoryShare = 0.5
	// controlConnectTimeout bounds a connection to a control replica. It covers a
	// connection across regions and is short enough to try two of them within the
	// time in which a change must be in force.
	controlConnectTimeout = 700 * time.Millisecond
)

// tuneFleetMemory sets the garbage collector for a process of a fleet.
func tuneFleetMemory(memoryBytes int64) {
	debug.SetGCPercent(collectorPercent)
	if memoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(memoryBytes) * memoryShare))
	}
}

// FleetOptions are what a process of a fleet is started with.
type FleetOptions struct {
	Settings string            // path of the platform's settings file
	Dial     map[string]string // addresses to dial in place of advertised ones
	Reload   <-chan os.Signal  // the settings file has changed
	Logger   *logging.Logger
}

// place is where an advertised address is reached.
func (o *FleetOptions) place(advertised string) string {
	if instead, ok := o.Dial[advertised]; ok {
		return instead
	}
	return advertised
}

// dialControl opens a connection to a control replica.
func (o *FleetOptions) dialControl(ctx context.Context, address string) (net.Conn, error) {
	return tcpopt.Dialer(controlConnectTimeout).DialContext(ctx, "tcp", o.place(address))
}

// serveHTTP serves a handler until ctx ends. Parts are done once the address is free again.
func serveHTTP(ctx context.Context, parts *sync.WaitGroup, address string, h http.Handler, logger *logging.Logger) error {
	l, err := tcpopt.Listen(ctx, address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout}
	parts.Go(func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			logger.Error().Str("address", address).Err(err).Msg("listener failed")
		}
	})
	parts.Go(func() {
		<-ctx.Done()
		_ = server.Close() // nothing of use is in flight at the end
	})
	return nil
}

// Limits of the connections of operators, upstreams and health checks.
const (
	headTimeout = 10 * time.Second
	idleTimeout = 60 * time.Second
)

// loadFleetSettings reads the settings and logs what is ignored of them.
func loadFleetSettings(path string, logger *logging.Logger) (platform.Settings, error) {
	s, warnings, err := platform.LoadSettings(path)
	if err != nil {
		return s, err
	}
	if len(warnings) > 0 {
		fields := make([]string, 0, len(warnings))
		for _, w := range warnings {
			fields = append(fields, w.Field)
		}
		logger.Info().Str("file", path).Strs("fields", fields).Msg("settings that are not used")
	}
	return s, nil
}

// fleetProcess is what the processes of a fleet have in common.
type fleetProcess struct {
	FleetOptions
	settings platform.Settings
}

// newFleetProcess reads the settings of a process.
func newFleetProcess(o FleetOptions) (fleetProcess, error) {
	s, err := loadFleetSettings(o.Settings, o.Logger)
	if err == nil {
		tuneFleetMemory(s.MemoryBytes)
	}
	return fleetProcess{o, s}, err
}
