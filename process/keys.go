package process

import (
	"crypto/tls"

	"google.golang.org/grpc"

	"github.com/bilberrydeck/bilberrydeck/logging"
	"github.com/bilberrydeck/bilberrydeck/relay"
	"github.com/bilberrydeck/bilberrydeck/secure"
	"github.com/bilberrydeck/bilberrydeck/settings"
)

// listener is an address that a process is about to listen on.
type listener struct{ name, address string }

// tlsFiles names the files of a process for the package secure.
func tlsFiles(s *settings.TLS) secure.Config {
	if s == nil {
		return secure.Config{}
	}
	return secure.Config{Certificate: s.Certificate, Key: s.Key, Authority: s.Authority}
}

// checkListeners applies the rule that a process without TLS listens only on
// loopback, and logs each listener that is not protected.
func checkListeners(files secure.Config, logger *logging.Logger, listeners ...listener) error {
	for _, l := range listeners {
		if err := files.CheckListen(logger, l.name, l.address); err != nil {
			return err
		}
	}
	return nil
}

// serverTLS returns the configuration of a listener, nil without TLS.
func serverTLS(files secure.Config, clients ...secure.Role) (*tls.Config, error) {
	if !files.Enabled() {
		return nil, nil
	}
	return files.Server(clients...)
}

// clientTLS returns the configuration of a client, nil without TLS.
func clientTLS(files secure.Config, servers ...secure.Role) (*tls.Config, error) {
	if !files.Enabled() {
		return nil, nil
	}
	return files.Client(servers...)
}

// entranceTLS returns the configuration of the entrance, nil for plain HTTP.
// Callers present a certificate of the authority; they need no role, since
// what they may do does not differ.
func entranceTLS(s *settings.TLS) (*tls.Config, error) {
	if s == nil || !s.Ingress {
		return nil, nil
	}
	config, err := tlsFiles(s).Server()
	if err != nil {
		return nil, err
	}
	config.VerifyConnection = nil // it checks the role
	return config, nil
}

// OperatorTLS returns the configuration of an operator's connections to
// control, nil without TLS.
func OperatorTLS(s *settings.TLS) (*tls.Config, error) {
	return clientTLS(tlsFiles(s), secure.RoleControl)
}

// feedServerOptions combines the options of the feed with those of TLS.
func feedServerOptions(files secure.Config) ([]grpc.ServerOption, error) {
	options, err := files.ServerOptions()
	return append(relay.ServerOptions(), options...), err
}

// authorize returns how feed servers learn who a subscriber is, nil without TLS.
func authorize(files secure.Config) relay.Authorize {
	if !files.Enabled() {
		return nil
	}
	return secure.FeedIdentity
}
