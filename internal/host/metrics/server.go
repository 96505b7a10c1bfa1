package metrics

import (
	"context"
	"crypto/tls"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/link/web"
)

const metricsPath = "/metrics"

// Config configures a Server.
type Config struct {
	// Address is the IP address and port to listen on, empty for no endpoint.
	Address string
	// TLS is the TLS configuration of the endpoint, nil for plain HTTP.
	TLS *tls.Config
}

// Server implements figpier.Counters and serves the metrics at /metrics.
type Server struct {
	address  string
	security *tls.Config
	counters *counters
	listener *web.Server
}

// New returns a server that has not started, with all refusal counters at zero.
func New(c Config) *Server {
	return &Server{address: c.Address, security: c.TLS, counters: newCounters()}
}

// Name implements figpier.Service.
func (s *Server) Name() figpier.ServiceName { return figpier.CounterService }

// Start implements figpier.Service.
func (s *Server) Start(ctx context.Context, d figpier.Directory) error {
	if s.address == "" {
		return nil
	}
	memory, err := figpier.FindRequestMemory(d)
	if err != nil {
		return err
	}
	l, err := web.Listen(ctx, web.ServerConfig{Address: s.address, TLS: s.security, Handler: s, Memory: memory})
	if err != nil {
		return err
	}
	s.listener = l
	return nil
}

// Stop implements figpier.Service.
func (s *Server) Stop(ctx context.Context) error {
	if s.listener == nil {
		return nil
	}
	return s.listener.Shutdown(ctx)
}

// Address returns the IP address and port that the server listens on, empty if it does not listen.
func (s *Server) Address() string {
	if s.listener == nil {
		return ""
	}
	return s.listener.Address()
}

// ServeHTTP implements http.Handler for the path /metrics, with the metrics of the Go runtime and the operating system process.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != metricsPath {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	s.counters.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
