package secure

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// authority signs certificates for tests.
type authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{dir: t.TempDir()}
	a.key, a.cert = a.sign(t, "authority", &x509.Certificate{IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign})
	return a
}

// issue writes the files of a process with a certificate that contains the given URIs.
func (a *authority) issue(t *testing.T, name string, uris ...string) Config {
	template := &x509.Certificate{ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}}
	for _, uri := range uris {
		parsed, err := url.Parse(uri)
		require.NoError(t, err)
		template.URIs = append(template.URIs, parsed)
	}
	a.sign(t, name, template)
	file := func(suffix string) string { return filepath.Join(a.dir, suffix) }
	return Config{Certificate: file(name + ".crt"), Key: file(name + ".key"), Authority: file("authority.crt")}
}

// sign writes a certificate and its key. The first certificate is self-signed.
func (a *authority) sign(t *testing.T, name string, template *x509.Certificate) (*ecdsa.PrivateKey, *x509.Certificate) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template.SerialNumber = big.NewInt(time.Now().UnixNano())
	template.NotBefore, template.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	parent, signer := template, key
	if a.cert != nil {
		parent, signer = a.cert, a.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	for suffix, block := range map[string]*pem.Block{
		".crt": {Type: "CERTIFICATE", Bytes: der},
		".key": {Type: "PRIVATE KEY", Bytes: private},
	} {
		require.NoError(t, os.WriteFile(filepath.Join(a.dir, name+suffix), pem.EncodeToMemory(block), 0o600))
	}
	return key, cert
}

// testServices implements the tested methods with empty responses.
type testServices struct {
	api.UnimplementedControlServer
	api.UnimplementedReplicaServer
}

func (testServices) Publish(context.Context, *api.Change) (*api.ChangeResult, error) {
	return &api.ChangeResult{}, nil
}
func (testServices) Claim(context.Context, *api.ClaimRequest) (*api.ClaimResponse, error) {
	return &api.ClaimResponse{}, nil
}
func (testServices) Deliver(stream api.Replica_DeliverServer) error {
	return stream.SendAndClose(&api.DeliverSummary{})
}

// TestMethodRoles guards against a method that can be called with a role that is not
// allowed, with a certificate of another authority or with one without a role.
func TestMethodRoles(t *testing.T) {
	ca, otherCA := newAuthority(t), newAuthority(t)
	options, err := ca.issue(t, "server", "bilberrydeck://control/1").ServerOptions()
	require.NoError(t, err)
	server := grpc.NewServer(options...)
	api.RegisterControlServer(server, testServices{})
	api.RegisterReplicaServer(server, testServices{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)

	const ok, denied, unreachable = codes.OK, codes.PermissionDenied, codes.Unavailable
	otherDaemon := otherCA.issue(t, "x", "bilberrydeck://daemon/d1")
	otherDaemon.Authority = ca.issue(t, "unused").Authority
	for name, c := range map[string]struct {
		files                   Config
		publish, claim, deliver codes.Code
	}{
		"operator":     {ca.issue(t, "o", "bilberrydeck://operator/ann"), ok, denied, denied},
		"daemon":       {ca.issue(t, "d", "bilberrydeck://daemon/d1"), denied, ok, denied},
		"control":      {ca.issue(t, "c", "bilberrydeck://control/2"), denied, ok, ok},
		"no role":      {ca.issue(t, "n"), unreachable, unreachable, unreachable},
		"unknown role": {ca.issue(t, "u", "bilberrydeck://guest/x"), unreachable, unreachable, unreachable},
		"two roles":    {ca.issue(t, "t", "bilberrydeck://daemon/x", "bilberrydeck://operator/x"), unreachable, unreachable, unreachable},
		"other CA":     {otherDaemon, unreachable, unreachable, unreachable},
	} {
		t.Run(name, func(t *testing.T) {
			creds, err := c.files.ClientCredentials(RoleControl)
			require.NoError(t, err)
			conn, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(creds))
			require.NoError(t, err)
			defer conn.Close()
			_, err = api.NewControlClient(conn).Publish(t.Context(), &api.Change{})
			require.Equal(t, c.publish, status.Code(err), "%v", err)
			_, err = api.NewControlClient(conn).Claim(t.Context(), &api.ClaimRequest{})
			require.Equal(t, c.claim, status.Code(err), "%v", err)
			stream, err := api.NewReplicaClient(conn).Deliver(t.Context())
			if err == nil {
				_, err = stream.CloseAndRecv()
			}
			require.Equal(t, c.deliver, status.Code(err), "%v", err)
		})
	}
}

// TestClientVerifiesServer guards against a client that accepts a server with a role that
// is not allowed, a certificate of another authority or an old protocol version.
func TestClientVerifiesServer(t *testing.T) {
	ca, otherCA := newAuthority(t), newAuthority(t)
	client, err := ca.issue(t, "d", "bilberrydeck://daemon/d1").Client(RoleControl)
	require.NoError(t, err)
	require.Equal(t, uint16(tls.VersionTLS13), client.MinVersion)
	handshake := func(files Config) error {
		files.Authority = ca.issue(t, "unused").Authority
		server, err := files.Server(RoleDaemon)
		require.NoError(t, err)
		listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
		require.NoError(t, err)
		defer listener.Close()
		go func() {
			if conn, err := listener.Accept(); err == nil {
				_ = conn.(*tls.Conn).Handshake()
				conn.Close()
			}
		}()
		conn, err := tls.Dial("tcp", listener.Addr().String(), client)
		if err == nil {
			conn.Close()
		}
		return err
	}
	require.NoError(t, handshake(ca.issue(t, "c", "bilberrydeck://control/1")))
	var role *RoleError
	require.ErrorAs(t, handshake(ca.issue(t, "o", "bilberrydeck://daemon/d2")), &role)
	var unknown x509.UnknownAuthorityError
	require.ErrorAs(t, handshake(otherCA.issue(t, "c", "bilberrydeck://control/1")), &unknown)
}

// TestPlaintextOnlyOnLoopback guards against a listener without TLS to which other VMs can
// connect.
func TestPlaintextOnlyOnLoopback(t *testing.T) {
	for _, address := range []string{"127.0.0.1:80", "[::1]:80"} {
		require.NoError(t, Config{}.CheckListen(nil, "peer", address))
	}
	for _, address := range []string{"0.0.0.0:80", ":80", "192.0.2.1:80", "[::]:80", "localhost.example:80"} {
		var plaintext *PlaintextError
		require.ErrorAs(t, Config{}.CheckListen(nil, "peer", address), &plaintext)
		require.NoError(t, Config{Key: "k"}.CheckListen(nil, "peer", address))
	}
}

// TestUnusableFiles guards against a process that starts without TLS because a file is
// missing or empty.
func TestUnusableFiles(t *testing.T) {
	good := newAuthority(t).issue(t, "d", "bilberrydeck://daemon/d1")
	empty := filepath.Join(t.TempDir(), "empty")
	require.NoError(t, os.WriteFile(empty, nil, 0o600))
	for _, c := range []Config{
		{Certificate: good.Certificate},
		{Certificate: good.Certificate, Key: good.Key, Authority: empty},
		{Certificate: good.Certificate, Key: good.Key, Authority: empty + "-missing"},
	} {
		_, err := c.ServerOptions()
		var file *FileError
		require.ErrorAs(t, err, &file)
	}
}
