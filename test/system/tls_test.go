package system

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
)

// certificateAuthority signs the certificates of a fleet with TLS.
type certificateAuthority struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	file        string // path of the certificate in PEM
}

// newCertificateAuthority returns an authority with a new key and writes its certificate to a file.
func (f *fleet) newCertificateAuthority() *certificateAuthority {
	f.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(f.t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	assert.NilError(f.t, err)
	certificate, err := x509.ParseCertificate(der)
	assert.NilError(f.t, err)
	return &certificateAuthority{key: key, certificate: certificate, file: f.writePEM("authority", "CERTIFICATE", der)}
}

// writePEM writes DER bytes as a PEM block and returns the path of the file.
func (f *fleet) writePEM(name, kind string, der []byte) string {
	return f.writeFile(name, string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})))
}

// tlsSettings issues a certificate for a process and returns its TLS settings. They are empty in a fleet without TLS.
func (f *fleet) tlsSettings(p *process) string {
	f.t.Helper()
	if f.authority == nil {
		return ""
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(f.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.ParseIP(p.ip)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, f.authority.certificate, key.Public(), f.authority.key)
	assert.NilError(f.t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(f.t, err)
	return fmt.Sprintf(`"tls": {"authority": %q, "certificate": %q, "key": %q},`, f.authority.file,
		f.writePEM(p.name+".certificate", "CERTIFICATE", der), f.writePEM(p.name+".key", "PRIVATE KEY", private))
}

// httpsClient returns a client that trusts the fleet's authority and presents no certificate.
func (f *fleet) httpsClient() *http.Client {
	pool := x509.NewCertPool()
	pool.AddCert(f.authority.certificate)
	return &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}}
}

func TestEveryListenerExceptThoseForBackendServersUsesTLS(t *testing.T) {
	f := newFleet(t)
	f.authority = f.newCertificateAuthority()
	control := f.startControl("c1")
	a := f.startNode("a1", "a", control)
	b := f.startNode("b1", "b", control)
	f.startBackend("sa", a, "--next", "b")
	f.startBackend("sb", b)
	key := f.configure(control, "a", "b")
	client := f.httpsClient()
	callChain := func() (string, bool) {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "https://"+a.callerAddress()+"/chain?then=/leaf", strings.NewReader("whole"))
		assert.NilError(t, err)
		r.Header.Set(figpier.HeaderKey, key)
		answer, err := client.Do(r)
		if err != nil {
			return "", false
		}
		defer answer.Body.Close()
		body, err := io.ReadAll(answer.Body)
		return string(body), err == nil && answer.StatusCode == http.StatusOK
	}
	eventually(t, "a request passes through two nodes with TLS", func() bool {
		body, ok := callChain()
		return ok && body == "whole"
	})

	for _, address := range []string{a.callerAddress(), a.metricsAddress(), control[0].operatorAddress(), a.address(peerPort), a.messageAddress(), control[0].messageAddress()} {
		assert.Check(t, refusesPlainHTTP(address), "%s answers plain HTTP", address)
	}
	for _, address := range []string{b.address(peerPort), b.messageAddress(), control[0].messageAddress()} {
		assert.Check(t, f.requiresCertificate(address), "%s accepts a peer without a certificate", address)
	}
}

// requiresCertificate reports whether a listener closes a connection because the client presents no certificate.
func (f *fleet) requiresCertificate(address string) bool {
	f.t.Helper()
	pool := x509.NewCertPool()
	pool.AddCert(f.authority.certificate)
	c, err := tls.Dial("tcp", address, &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13})
	if err != nil {
		return false
	}
	defer c.Close()
	assert.NilError(f.t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err = c.Read(make([]byte, 1))
	return err != nil && strings.Contains(err.Error(), "certificate required")
}

// refusesPlainHTTP reports whether a listener closes a plain HTTP connection or answers it with 400 Bad Request, as
// net/http does on a TLS port.
func refusesPlainHTTP(address string) bool {
	answer, err := http.Get("http://" + address + "/")
	if err != nil {
		return true
	}
	defer answer.Body.Close()
	return answer.StatusCode == http.StatusBadRequest
}
