package certificate

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier/internal/host/settings"
)

// issuer is a certificate authority that signs certificates for loopback addresses.
type issuer struct {
	t           *testing.T
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	file        string
}

func newIssuer(t *testing.T, name string) *issuer {
	t.Helper()
	i := &issuer{t: t}
	i.key = newKey(t)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, i.key.Public(), i.key)
	assert.NilError(t, err)
	i.certificate, err = x509.ParseCertificate(der)
	assert.NilError(t, err)
	i.file = writePEM(t, name, "CERTIFICATE", der)
	return i
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	return k
}

func writePEM(t *testing.T, name, kind string, der []byte) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

// newTLSSettings returns the settings of a process that has a certificate signed by the issuer and that trusts an authority.
func (i *issuer) newTLSSettings(authority *issuer) *settings.TLSSettings {
	i.t.Helper()
	key := newKey(i.t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, i.certificate, key.Public(), i.key)
	assert.NilError(i.t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(i.t, err)
	return &settings.TLSSettings{
		Authority:   authority.file,
		Certificate: writePEM(i.t, "certificate.pem", "CERTIFICATE", der),
		Key:         writePEM(i.t, "key.pem", "PRIVATE KEY", private),
	}
}

// handshake connects a client to a server and returns the server's error from the TLS handshake.
func handshake(t *testing.T, server, client *tls.Config) error {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		c, err := tls.Dial("tcp", l.Addr().String(), client)
		if err == nil {
			_, _ = c.Read(make([]byte, 1))
			_ = c.Close()
		}
	}()
	c, err := l.Accept()
	assert.NilError(t, err)
	defer c.Close()
	return c.(*tls.Conn).Handshake()
}

func TestPeersMustHaveATrustedCertificate(t *testing.T) {
	ours, theirs := newIssuer(t, "ours.pem"), newIssuer(t, "theirs.pem")
	node, err := Load(ours.newTLSSettings(ours))
	assert.NilError(t, err)
	other, err := Load(ours.newTLSSettings(ours))
	assert.NilError(t, err)
	untrusted, err := Load(theirs.newTLSSettings(ours))
	assert.NilError(t, err)

	assert.NilError(t, handshake(t, node.PeerServer(), other.PeerClient()))
	assert.Assert(t, handshake(t, node.PeerServer(), untrusted.PeerClient()) != nil)
	withoutCertificate := other.PeerClient().Clone()
	withoutCertificate.Certificates = nil
	assert.Assert(t, handshake(t, node.PeerServer(), withoutCertificate) != nil)
	assert.NilError(t, handshake(t, node.Public(), withoutCertificate))
	assert.Assert(t, handshake(t, untrusted.PeerServer(), other.PeerClient()) != nil)
}

func TestLoadWithoutSettingsDisablesTLS(t *testing.T) {
	s, err := Load(nil)
	assert.NilError(t, err)
	assert.Assert(t, s.Public() == nil && s.PeerServer() == nil && s.PeerClient() == nil)
}

func TestLoadErrorNamesTheInvalidFile(t *testing.T) {
	i := newIssuer(t, "authority.pem")
	s := i.newTLSSettings(i)
	s.Authority = s.Key
	_, err := Load(s)
	assert.ErrorContains(t, err, s.Key+" holds no certificate")
}
