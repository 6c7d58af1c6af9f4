package integration

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// authority signs the certificates of one cluster.
type authority struct {
	dir         string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	issued      int64
}

func newAuthority(t *testing.T, dir string) *authority {
	t.Helper()
	a := &authority{dir: dir}
	a.certificate = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	a.key = a.issue(t, "authority", a.certificate, a.certificate, nil)
	return a
}

// issue writes NAME.pem and NAME.key and returns the new key. Without a signer the
// certificate is self-signed.
func (a *authority) issue(t *testing.T, name string, certificate, parent *x509.Certificate, signer *ecdsa.PrivateKey) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	if signer == nil {
		signer = key
	}
	der, err := x509.CreateCertificate(rand.Reader, certificate, parent, &key.PublicKey, signer)
	require.NoError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	writeFile(t, a.dir, name+".pem", string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})))
	writeFile(t, a.dir, name+".key", string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private})))
	return key
}

// role issues a certificate for a role and an id and returns the paths of its files.
func (a *authority) role(t *testing.T, role, id string) (certificate, key, authority string) {
	t.Helper()
	a.issued++
	name := role + "-" + id
	a.issue(t, name, &x509.Certificate{
		SerialNumber: big.NewInt(a.issued + 1), Subject: pkix.Name{CommonName: id},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		URIs:        []*url.URL{{Scheme: "bilberrydeck", Host: role, Path: "/" + id}},
	}, a.certificate, a.key)
	return a.dir + "/" + name + ".pem", a.dir + "/" + name + ".key", a.dir + "/authority.pem"
}

// tlsSection returns the tls section of a settings file, empty without TLS.
func (c *cluster) tlsSection(t *testing.T, role, id string) string {
	if c.authority == nil {
		return ""
	}
	certificate, key, authority := c.authority.role(t, role, id)
	return fmt.Sprintf(`"tls": {"certificate": %q, "key": %q, "authority": %q},`, certificate, key, authority)
}

// TestTLS guards against processes that cannot communicate over TLS, and against a
// configuration change that is accepted with the certificate of a daemon or without one.
func TestTLS(t *testing.T) {
	c := newCluster(t, true)
	certificate, key, authority := c.authority.role(t, "operator", "gwen")
	args := []string{"publish", "-number", "1", "-controls", strings.Join(c.addresses(), ","), "-authority", authority}
	dir := c.writeDeclarations(t, 4)
	out, errs, code := runCommand(t, append(args, "-certificate", certificate, "-key", key, dir)...)
	require.Equal(t, 0, code, errs)
	require.Contains(t, out, "is accepted as version 1")
	c.awaitChain(t)

	certificate, key, _ = c.authority.role(t, "daemon", "intruder")
	args[2] = "2"
	_, errs, code = runCommand(t, append(args, "-certificate", certificate, "-key", key, dir)...)
	require.Equal(t, 1, code, errs)
	require.Contains(t, errs, "role of bilberrydeck://daemon/intruder is not one of")
	_, errs, code = runCommand(t, "publish", "-number", "2", "-timeout", "3s", "-controls", strings.Join(c.addresses(), ","), dir)
	require.Equal(t, 1, code, errs)
}
