package process

import (
	"context"
	"strconv"
	"sync"

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

// RunControl runs a control replica until ctx ends or its disk fails.
func RunControl(ctx context.Context, s settings.Control, logger *logging.Logger) error {
	files := tlsFiles(s.TLS)
	if err := checkListeners(files, logger, listener{"control", s.Listen}); err != nil {
		return err
	}
	config, err := controlConfig(s, logger)
	if err != nil {
		return err
	}
	var feedServer *relay.ControlServer // needs the server below, which calls Register when it runs
	config.Register = func(r grpc.ServiceRegistrar) { api.RegisterFeedServer(r, feedServer) }
	server, err := control.New(config)
	if err != nil {
		return err
	}
	feedServer = relay.NewControlServer(relay.ControlConfig{
		Name: "control-" + strconv.FormatUint(s.ID, 10), Source: server.ConfigSource(), Log: logger,
		Authorize: authorize(files), OnReports: server.KeepReports,
	})
	running, end := context.WithCancel(ctx)
	var parts sync.WaitGroup
	parts.Go(func() { feedServer.Run(running) })
	defer parts.Wait()
	defer end()
	logger.Info().Uint64("replica", s.ID).Str("address", s.Listen).Msg("control started")
	err = server.Run(ctx)
	logger.Info().Uint64("replica", s.ID).Err(err).Msg("control stopped")
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
	options, optionsErr := files.ServerOptions() // who may call which method
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
		ClaimRetention: s.Retention,
	}, errors.CombineErrors(serverErr, errors.CombineErrors(clientErr, optionsErr))
}
