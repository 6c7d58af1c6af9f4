package process

import (
	"crypto/tls"

	"google.golang.org/grpc"

	"github.com/bilberrydeck/bilberrydeck/logging"
	"github.com/bilberrydeck/bilberrydeck/relay"
	"github.com/bilberrydeck/bilberrydeck/secure"
	"github.com/bilberrydeck/bilberrydeck/settings"
)

// listener is the name and the address of a listener to be opened.
type listener struct{ name, address string }

// tlsFiles converts the TLS settings, nil for none, to a secure.Config.
func tlsFiles(s *settings.TLS) secure.Config {
	if s == nil {
		return secure.Config{}
	}
	return secure.Config{Certificate: s.Certificate, Key: s.Key, Authority: s.Authority}
}

// checkListeners returns an error if a listener of a process without TLS is not on a loopback
// address, and logs each listener without TLS.
func checkListeners(files secure.Config, logger *logging.Logger, listeners ...listener) error {
	for _, l := range listeners {
		if err := files.CheckListen(logger, l.name, l.address); err != nil {
			return err
		}
	}
	return nil
}

// serverTLS returns the TLS configuration of a listener that accepts clients with one of the given
// roles, nil without TLS.
func serverTLS(files secure.Config, clients ...secure.Role) (*tls.Config, error) {
	if !files.Enabled() {
		return nil, nil
	}
	return files.Server(clients...)
}

// clientTLS returns the TLS configuration of a client that accepts servers with one of the given
// roles, nil without TLS.
func clientTLS(files secure.Config, servers ...secure.Role) (*tls.Config, error) {
	if !files.Enabled() {
		return nil, nil
	}
	return files.Client(servers...)
}

// ingressTLS returns the TLS configuration of the ingress listener, nil for plain HTTP. Clients
// present a certificate of the authority. They need no role, since all of them have the same
// permissions.
func ingressTLS(s *settings.TLS) (*tls.Config, error) {
	if s == nil || !s.Ingress {
		return nil, nil
	}
	config, err := tlsFiles(s).Server()
	if err != nil {
		return nil, err
	}
	config.VerifyConnection = nil // would check the role
	return config, nil
}

// OperatorTLS returns the TLS configuration of an operator's connections to control replicas, nil
// without TLS.
func OperatorTLS(s *settings.TLS) (*tls.Config, error) {
	return clientTLS(tlsFiles(s), secure.RoleControl)
}

// feedServerOptions returns the gRPC server options of a feed server, with those for TLS.
func feedServerOptions(files secure.Config) ([]grpc.ServerOption, error) {
	options, err := files.ServerOptions()
	return append(relay.ServerOptions(), options...), err
}

// authorize returns the function by which feed servers identify a subscriber, nil without TLS.
func authorize(files secure.Config) relay.Authorize {
	if !files.Enabled() {
		return nil
	}
	return secure.FeedIdentity
}
