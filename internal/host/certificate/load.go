package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/zeebo/errs"

	"github.com/figpier/figpier/internal/host/settings"
)

// Error is the class of errors from loading certificates.
var Error = errs.Class("tls")

// Set holds the TLS configurations of a process. All are nil if the process does not use TLS.
type Set struct {
	public     *tls.Config
	peerServer *tls.Config
	peerClient *tls.Config
}

// Load reads the files that the settings name. Without settings it returns a set without TLS.
func Load(s *settings.TLSSettings) (*Set, error) {
	if s == nil {
		return &Set{}, nil
	}
	own, err := tls.LoadX509KeyPair(s.Certificate, s.Key)
	if err != nil {
		return nil, Error.New("%s and %s: %w", s.Certificate, s.Key, err)
	}
	data, err := os.ReadFile(s.Authority)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(data) {
		return nil, Error.New("%s holds no certificate in PEM format", s.Authority)
	}
	certificates := []tls.Certificate{own}
	return &Set{
		public: &tls.Config{
			MinVersion:   tls.VersionTLS12,
			Certificates: certificates,
		},
		peerServer: &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: certificates,
			ClientAuth:   tls.RequireAndVerifyClientCert,
			ClientCAs:    authority,
		},
		peerClient: &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: certificates,
			RootCAs:      authority,
		},
	}, nil
}

// Public returns the configuration of listeners for callers, operators and metrics collectors, which need no client certificate.
func (s *Set) Public() *tls.Config { return s.public }

// PeerServer returns the configuration of listeners for the system's own processes, which require a client certificate that the
// authority signed.
func (s *Set) PeerServer() *tls.Config { return s.peerServer }

// PeerClient returns the configuration of connections to the system's own processes, with a client certificate.
func (s *Set) PeerClient() *tls.Config { return s.peerClient }
