// Package secure builds the mutual TLS configuration of listeners and clients
// from files, and checks the role in a peer's certificate.
//
// Each certificate has one URI subject alternative name with its role:
//
//	bilberrydeck://daemon/ID     a daemon or relay with the given id
//	bilberrydeck://control/ID    a control replica
//	bilberrydeck://operator/NAME a person or tool that publishes declarations
//
// The certificate authority of the settings signs only certificates of the
// system. Peers are verified by this URI and not by host name, since processes
// connect by IP address and VMs are replaced often.
package secure

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"net/url"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
)

// Role is the role of a certificate's holder. It determines which peers accept
// the certificate and which methods its holder may call.
type Role string

// The roles.
const (
	RoleDaemon   Role = "daemon"
	RoleControl  Role = "control"
	RoleOperator Role = "operator"
)

const uriScheme = "bilberrydeck"

// Identity is the role and the id in a certificate.
type Identity struct {
	Role Role
	ID   string
}

// String returns the URI of the identity, as in the certificate.
func (i Identity) String() string { return uriScheme + "://" + string(i.Role) + "/" + i.ID }

// Config holds the paths of the PEM files of a process. The zero value means no TLS.
type Config struct {
	Certificate string // certificate of the process, followed by intermediate certificates
	Key         string // private key of the certificate
	Authority   string // CA certificates of all peers
}

// Enabled reports whether at least one path is set.
func (c Config) Enabled() bool { return c != Config{} }

// FileError reports a file that is missing or unusable.
type FileError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("TLS file %q: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// RoleError reports a peer whose certificate does not have one of the allowed roles.
type RoleError struct {
	Have    Identity // zero if the certificate has none
	Allowed []Role
}

// Error implements error.
func (e *RoleError) Error() string {
	if e.Have == (Identity{}) {
		return fmt.Sprintf("certificate has no role, need one of %v", e.Allowed)
	}
	return fmt.Sprintf("role of %s is not one of %v", e.Have, e.Allowed)
}

// PlaintextError reports a listener address that is not allowed without TLS.
type PlaintextError struct {
	Address string
}

// Error implements error.
func (e *PlaintextError) Error() string {
	return fmt.Sprintf("address %q is not a loopback address, which requires TLS", e.Address)
}

// IdentityOf returns the identity in a certificate. ok is false if the certificate
// has no identity, more than one, or one with an unknown role.
func IdentityOf(cert *x509.Certificate) (id Identity, ok bool) {
	for _, uri := range cert.URIs {
		if uri.Scheme != uriScheme {
			continue
		}
		parsed, valid := parseIdentity(uri)
		if !valid || id != (Identity{}) {
			return Identity{}, false
		}
		id = parsed
	}
	return id, id != Identity{}
}

func parseIdentity(uri *url.URL) (Identity, bool) {
	id := Identity{Role: Role(uri.Host), ID: strings.TrimPrefix(uri.Path, "/")}
	known := slices.Contains([]Role{RoleDaemon, RoleControl, RoleOperator}, id.Role)
	return id, known && id.ID != "" && !strings.Contains(id.ID, "/")
}

// PeerIdentity returns the identity of the peer of a connection. It returns false if the
// certificate was not verified or has no valid identity.
func PeerIdentity(state tls.ConnectionState) (Identity, bool) {
	if len(state.VerifiedChains) == 0 || len(state.PeerCertificates) == 0 {
		return Identity{}, false
	}
	return IdentityOf(state.PeerCertificates[0])
}

// Server returns the TLS configuration of a listener. Clients must present a
// certificate signed by the authority, with one of the allowed roles.
func (c Config) Server(allowed ...Role) (*tls.Config, error) {
	certificate, authority, err := c.load()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		Certificates:     []tls.Certificate{certificate},
		ClientAuth:       tls.RequireAndVerifyClientCert,
		ClientCAs:        authority,
		VerifyConnection: func(s tls.ConnectionState) error { return checkRole(s, allowed) },
	}, nil
}

// Client returns the TLS configuration of a client that accepts servers with one of
// the allowed roles.
func (c Config) Client(allowed ...Role) (*tls.Config, error) {
	certificate, authority, err := c.load()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		// The standard verification includes the host name, which certificates of the
		// system do not contain. verifyServer verifies the chain and the role instead.
		InsecureSkipVerify: true,
		VerifyConnection:   func(s tls.ConnectionState) error { return verifyServer(s, authority, allowed) },
	}, nil
}

// verifyServer verifies the certificate chain of a server and its role.
func verifyServer(s tls.ConnectionState, authority *x509.CertPool, allowed []Role) error {
	if len(s.PeerCertificates) == 0 {
		return &RoleError{Allowed: allowed}
	}
	intermediates := x509.NewCertPool()
	for _, cert := range s.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	chains, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         authority,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return errors.Wrap(err, "verifying the certificate of the server")
	}
	s.VerifiedChains = chains
	return checkRole(s, allowed)
}

// checkRole returns a *RoleError if the peer does not have one of the allowed roles.
func checkRole(s tls.ConnectionState, allowed []Role) error {
	id, _ := PeerIdentity(s)
	if !slices.Contains(allowed, id.Role) {
		return &RoleError{Have: id, Allowed: allowed}
	}
	return nil
}

// load reads the certificate with its key, and the CA certificates.
func (c Config) load() (tls.Certificate, *x509.CertPool, error) {
	certificate, err := tls.LoadX509KeyPair(c.Certificate, c.Key)
	if err != nil {
		return certificate, nil, &FileError{File: c.Certificate, Cause: err}
	}
	pem, err := os.ReadFile(c.Authority)
	if err != nil {
		return certificate, nil, &FileError{File: c.Authority, Cause: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return certificate, nil, &FileError{File: c.Authority, Cause: errors.New("no certificate found")}
	}
	return certificate, pool, nil
}

// CheckListen checks the address of a listener. A process without TLS may listen only
// on loopback addresses: CheckListen returns a *PlaintextError for any other one, and
// otherwise logs that the listener does not use TLS.
func (c Config) CheckListen(lg *log.Logger, listener, address string) error {
	if c.Enabled() {
		return nil
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return errors.Wrapf(err, "address of the %s listener", listener)
	}
	ip := net.ParseIP(host)
	if ip == nil || !ip.IsLoopback() {
		return &PlaintextError{Address: address}
	}
	if lg != nil {
		lg.Warn().Str("event", "listen_without_tls").Str("listener", listener).Str("address", address).Msg("")
	}
	return nil
}
