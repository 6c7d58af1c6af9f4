package process

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/control"
	"github.com/bilberrydeck/bilberrydeck/declaration"
	"github.com/bilberrydeck/bilberrydeck/logging"
	"github.com/bilberrydeck/bilberrydeck/relay"
	"github.com/bilberrydeck/bilberrydeck/secure"
	"github.com/bilberrydeck/bilberrydeck/settings"
)

// statusInterval is the interval at which the statuses of daemons are copied from the feed
// server to the control server.
const statusInterval = time.Second

// RunControl runs a control replica until ctx is cancelled or its disk fails.
func RunControl(ctx context.Context, s settings.Control, logger *logging.Logger) error {
	files := tlsFiles(s.TLS)
	if err := checkListeners(files, logger, listener{"control", s.Listen}); err != nil {
		return err
	}
	config, err := controlConfig(s, logger)
	if err != nil {
		return err
	}
	source := &feedSource{}
	feedServer := relay.NewControlServer(relay.ControlConfig{
		Name: "control-" + strconv.FormatUint(s.ID, 10), Source: source, Logger: logger, Authorize: authorize(files),
	})
	config.Register = func(r grpc.ServiceRegistrar) { api.RegisterFeedServer(r, feedServer) }
	server, err := control.New(config)
	if err != nil {
		return err
	}
	source.ConfigSource = server.ConfigSource()
	runCtx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { feedServer.Run(runCtx) })
	wg.Go(func() { copyDaemonStatuses(runCtx, feedServer, server) })
	defer wg.Wait()
	defer cancel()
	logger.Info().Uint64("replica", s.ID).Str("address", s.Listen).Msg("control started")
	err = server.Run(ctx)
	logStopped(logger, "control", err)
	return err
}

func controlConfig(s settings.Control, logger *logging.Logger) (control.Config, error) {
	peers := map[uint64]string{s.ID: s.Listen}
	for _, p := range s.Peers {
		peers[p.ID] = p.Address
	}
	files := tlsFiles(s.TLS)
	server, serverErr := serverTLS(files, secure.RoleDaemon, secure.RoleControl, secure.RoleOperator)
	client, clientErr := clientTLS(files, secure.RoleControl)
	options, optionsErr := files.ServerOptions() // checks the role of the caller for each method
	return control.Config{
		ReplicaID:      s.ID,
		ListenAddress:  s.Listen,
		Peers:          peers,
		Dial:           s.Dial,
		Join:           s.Join,
		DataDirectory:  s.DataDir,
		ClaimShards:    s.ClaimShards,
		ServerTLS:      server,
		ClientTLS:      client,
		ServerOptions:  options,
		Logger:         logger,
		Seed:           newSeed(),
		Validate:       declaration.NewDocumentChecker().Check,
		ClaimRetention: s.ClaimRetention,
	}, errors.CombineErrors(serverErr, errors.CombineErrors(clientErr, optionsErr))
}

// copyDaemonStatuses copies the statuses of daemons at intervals until ctx is cancelled.
func copyDaemonStatuses(ctx context.Context, from *relay.ControlServer, to *control.Server) {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			to.StoreDaemonStatuses(from.DaemonStatuses(ctx))
		}
	}
}

// feedSource implements relay.Source with the configuration of the replica.
type feedSource struct{ *control.ConfigSource }

// ChangesSince implements relay.Source. The state machine keeps all removals of services, so it can
// compute the changes since any version.
func (s *feedSource) ChangesSince(version uint64) *api.ConfigDelta {
	newest, changed, removed := s.ConfigSource.ChangesSince(version)
	return &api.ConfigDelta{FromVersion: version, ToVersion: newest, Services: changed, RemovedServices: removed}
}

// Confirmation implements relay.Source. It reads the age before the version. If a newer
// version is applied in between, the confirmation is weaker but still true, since the version
// is an upper bound of the versions accepted before that time.
func (s *feedSource) Confirmation() (version uint64, age time.Duration, ok bool) {
	age, ok = s.ConfirmationAge()
	return s.Version(), age, ok
}
