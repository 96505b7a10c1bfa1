package operator

import (
	"context"
	"crypto/tls"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/link/web"
)

// Error is the class of errors of the operator API's server, which includes reading its token file.
var Error = errs.Class("operator")

// Config holds the settings of a Server.
type Config struct {
	// Instance is the name of the control instance.
	Instance figpier.InstanceID
	// Address is the IP address and port to listen on.
	Address string
	// Tokens are the operators who may use the API.
	Tokens []Token
	// TLS is the listener's TLS configuration, nil for plain HTTP on loopback.
	TLS *tls.Config
	// Log receives one entry for each edit, accepted or not.
	Log *logrus.Entry
}

// Server is the service that listens for requests to the operator API.
type Server struct {
	config   Config
	listener *web.Server
}

// New returns a server; Start opens its listener.
func New(c Config) *Server { return &Server{config: c} }

// Name implements figpier.Service.
func (s *Server) Name() figpier.ServiceName { return figpier.OperatorService }

// Start implements figpier.Service.
func (s *Server) Start(ctx context.Context, d figpier.Directory) error {
	c, err := figpier.FindCatalog(d)
	if err != nil {
		return Error.Wrap(err)
	}
	service := &apiService{
		editor: &editor{catalog: c},
		reader: newReader(s.config.Instance, c, d),
		log:    s.config.Log,
	}
	memory, err := figpier.FindRequestMemory(d)
	if err != nil {
		return err
	}
	s.listener, err = web.Listen(ctx, web.ServerConfig{
		Address: s.config.Address,
		TLS:     s.config.TLS,
		Handler: newHandler(service, s.config.Tokens),
		Memory:  memory,
	})
	return err
}

// Stop implements figpier.Service.
func (s *Server) Stop(ctx context.Context) error {
	if s.listener == nil {
		return nil
	}
	return s.listener.Shutdown(ctx)
}

// Address returns the IP address and port that the server listens on. The server must have been started.
func (s *Server) Address() string { return s.listener.Address() }
