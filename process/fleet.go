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

	"github.com/bilberrydeck/bilberrydeck/core/holding"
	"github.com/bilberrydeck/bilberrydeck/internal/httphold"
	"github.com/bilberrydeck/bilberrydeck/internal/tcpopt"
	"github.com/bilberrydeck/bilberrydeck/logging"
	"github.com/bilberrydeck/bilberrydeck/platform"
	"github.com/bilberrydeck/bilberrydeck/settings"
)

const (
	// gcPercent lets the heap of a fleet process, which is small, grow to four times its live
	// size between collections.
	gcPercent = 300
	// memoryLimitRatio is the soft memory limit of the Go runtime as a ratio of the memory of
	// the VM. The rest is for the program itself and the kernel's buffers, which count towards
	// the limit of the VM, and for stacks.
	memoryLimitRatio = 0.5
	// controlConnectTimeout limits the time to connect to a control replica. It covers a
	// connection across regions, and allows two attempts within the time in which a change
	// must become active.
	controlConnectTimeout = 700 * time.Millisecond
)

// bufferRatio is the part of the memory of the VM that buffered bodies of responses may take. Together
// with what the runtime adds to it, it leaves half of the VM to the connections and their buffers.
const bufferRatio = 0.125

// responseBufferBytes returns the memory for buffered bodies of responses, 0 for the default.
func responseBufferBytes(memoryBytes int64) int64 { return int64(float64(memoryBytes) * bufferRatio) }

// tuneFleetMemory configures the garbage collector for a fleet process.
func tuneFleetMemory(memoryBytes int64) {
	debug.SetGCPercent(gcPercent)
	if memoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(memoryBytes) * memoryLimitRatio))
	}
}

// FleetOptions holds the options with which a fleet process is started.
type FleetOptions struct {
	Settings string            // path of the platform's settings file
	Dial     map[string]string // address to dial by advertised address; only for those that differ
	Limits   settings.Limits   // of what is held for clients
	Reload   <-chan os.Signal  // signals that the settings file has changed
	Logger   *logging.Logger
}

// dialAddress returns the address to dial for an advertised address.
func (o *FleetOptions) dialAddress(advertised string) string {
	if address, ok := o.Dial[advertised]; ok {
		return address
	}
	return advertised
}

// dialControl opens a connection to a control replica.
func (o *FleetOptions) dialControl(ctx context.Context, address string) (net.Conn, error) {
	return tcpopt.Dialer(controlConnectTimeout).DialContext(ctx, "tcp", o.dialAddress(address))
}

// serveHTTP serves a handler until ctx is cancelled. The ledger accounts for its connections. It adds its
// goroutines to wg; they end after the listener is closed.
func serveHTTP(ctx context.Context, wg *sync.WaitGroup, address string, h http.Handler, ledger *holding.Ledger, logger *logging.Logger) error {
	l, err := tcpopt.Listen(ctx, address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	limited := httphold.Limit(server, l, ledger, holding.Clients)
	wg.Go(func() {
		if err := server.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
			logger.Error().Str("address", address).Err(err).Msg("listener failed")
		}
	})
	wg.Go(func() {
		<-ctx.Done()
		_ = server.Close() // requests in flight need no response during shutdown
	})
	return nil
}

// Timeouts of connections of operators, upstreams and health checks.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
)

// loadFleetSettings reads the settings and logs the fields that are ignored.
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
		logger.Info().Str("file", path).Strs("fields", fields).Msg("unknown settings ignored")
	}
	return s, nil
}

// fleetProcess holds what daemons and control replicas of a fleet have in common.
type fleetProcess struct {
	FleetOptions
	settings platform.Settings
	ledger   *holding.Ledger // of what the process holds for clients
}

// newFleetProcess reads the settings and configures the garbage collector.
func newFleetProcess(o FleetOptions) (fleetProcess, error) {
	s, err := loadFleetSettings(o.Settings, o.Logger)
	if err == nil {
		tuneFleetMemory(s.MemoryBytes)
	}
	return fleetProcess{FleetOptions: o, settings: s}, err
}
