package backend

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/link/web"
)

// Error is the class of errors of announcements and answers of the backend server.
var Error = errs.Class("backend")

// Bounds on the connections to the backend server.
const (
	// maxIdleConnections bounds the idle connections kept; one that becomes idle beyond it is closed.
	maxIdleConnections = 512
	// idleTimeout is shorter than the common keep-alive timeouts of servers, so that the node closes first.
	idleTimeout = 4 * time.Second
	dialTimeout = time.Second
	// unacknowledgedTimeout is how long the backend server's host may leave data or a probe unacknowledged before the
	// connection is closed.
	unacknowledgedTimeout = time.Second
)

// Config holds the settings of a Server.
type Config struct {
	// Address is the loopback address and port to listen on.
	Address string
	// AnnouncementTimeout is the age at which an announcement expires unless a newer one has come.
	AnnouncementTimeout time.Duration
	// DrainNotice is how long new work is still accepted after the backend server has begun to drain, so that other nodes have
	// time to learn of it.
	DrainNotice time.Duration
	// Member is the node's own entry in the members list; its slots and draining state are filled in here, and its sequence
	// is added to.
	Member figpier.MemberConfig
}

// Server connects the node with its backend server. It implements figpier.Backend and figpier.CallServer.
type Server struct {
	config    Config
	clock     figpier.Clock
	control   figpier.ControlThread
	view      figpier.ConfigurationView
	admission figpier.Admission
	cutOffs   figpier.CutOffs
	runner    figpier.Runner
	counters  figpier.Counters
	log       figpier.RequestLog
	exit      http.Handler
	transport *web.Transport
	listener  *web.Server

	current atomic.Pointer[backendState]
	state   controlState // belongs to the control thread
}

// New returns a server that passes exit calls to a handler.
func New(c Config, exit http.Handler) *Server {
	return &Server{
		config:    c,
		exit:      exit,
		transport: newTransport(),
	}
}

func newTransport() *web.Transport {
	return web.NewTransport(web.TransportConfig{
		DialTimeout:           dialTimeout,
		UnacknowledgedTimeout: unacknowledgedTimeout,
		IdleTimeout:           idleTimeout,
		IdleConnections:       maxIdleConnections,
	})
}

// Name implements figpier.Service.
func (s *Server) Name() figpier.ServiceName { return figpier.BackendService }

// Start implements figpier.Service.
func (s *Server) Start(ctx context.Context, d figpier.Directory) (err error) {
	s.clock = d.Clock()
	s.control = d.Control()
	if s.view, err = figpier.FindView(d); err != nil {
		return err
	}
	if s.admission, err = figpier.FindAdmission(d); err != nil {
		return err
	}
	if s.cutOffs, err = figpier.FindCutOffs(d); err != nil {
		return err
	}
	if s.runner, err = figpier.FindRunner(d); err != nil {
		return err
	}
	if s.counters, err = figpier.FindCounters(d); err != nil {
		return err
	}
	if s.log, err = figpier.FindRequestLog(d); err != nil {
		return err
	}
	memory, err := figpier.FindRequestMemory(d)
	if err != nil {
		return err
	}
	s.listener, err = web.Listen(ctx, web.ServerConfig{Address: s.config.Address, Handler: s.handler(), Memory: memory})
	return err
}

// ListenAddress returns the IP address and port on which the server takes announcements and exit calls.
func (s *Server) ListenAddress() string { return s.listener.Address() }

// Stop implements figpier.Service.
func (s *Server) Stop(ctx context.Context) error { return s.listener.Shutdown(ctx) }
