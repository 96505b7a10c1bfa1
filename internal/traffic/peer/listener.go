package peer

import (
	"context"
	"crypto/tls"
	"net/http"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/link/web"
	"github.com/figpier/figpier/internal/wire/codec"
)

// Config holds the settings of a Listener.
type Config struct {
	// Address is the IP address and port to listen on.
	Address string
	// TLS authenticates the other nodes; nil means plain HTTP/2, for loopback only.
	TLS *tls.Config
	// PingAfter is how long a connection may be silent before it is pinged, and how long the ping may then take.
	PingAfter time.Duration
	// Service is the service that the backend server beside the node runs.
	Service figpier.UpstreamService
}

// Listener is the service, and the HTTP handler, that takes other nodes' calls.
type Listener struct {
	config   Config
	clock    figpier.Clock
	view     figpier.ConfigurationView
	calls    figpier.CallServer
	counters figpier.Counters
	log      figpier.RequestLog
	server   *web.Server
}

// New returns a listener, to be started by the kernel.
func New(c Config) *Listener { return &Listener{config: c} }

// Name implements figpier.Service.
func (l *Listener) Name() figpier.ServiceName { return figpier.PeerListenerService }

// Start implements figpier.Service.
func (l *Listener) Start(ctx context.Context, d figpier.Directory) (err error) {
	l.clock = d.Clock()
	if l.view, err = figpier.FindView(d); err != nil {
		return err
	}
	if l.calls, err = figpier.FindCallServer(d); err != nil {
		return err
	}
	if l.counters, err = figpier.FindCounters(d); err != nil {
		return err
	}
	if l.log, err = figpier.FindRequestLog(d); err != nil {
		return err
	}
	memory, err := figpier.FindRequestMemory(d)
	if err != nil {
		return err
	}
	l.server, err = web.Listen(ctx, web.ServerConfig{
		Address:   l.config.Address,
		TLS:       l.config.TLS,
		Handler:   l,
		PingAfter: l.config.PingAfter,
		Memory:    memory,
	})
	return err
}

// ListenAddress returns the IP address and port on which the listener takes calls.
func (l *Listener) ListenAddress() string { return l.server.Address() }

// Stop implements figpier.Service.
func (l *Listener) Stop(ctx context.Context) error { return l.server.Shutdown(ctx) }

// ServeHTTP implements http.Handler. It measures the time from the arrival of a call to the end of its answer.
func (l *Listener) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := l.clock.Now()
	c, err := l.decodeCall(r, began)
	if err != nil {
		refusal := web.AsRefusal(err)
		l.counters.Refused(refusal.Reason())
		l.log.Refused(c, refusal)
		web.RefuseEarly(w, refusal)
		return
	}
	l.calls.ServeCall(w, r, c)
	l.counters.Observe("peer", l.clock.Now().Sub(began))
}

// decodeCall decodes the call in a request's envelope. Service, route and idempotency are not taken from the envelope but
// from this node's own profile.
func (l *Listener) decodeCall(r *http.Request, now time.Time) (*figpier.Call, error) {
	if err := web.CheckRequest(r, figpier.HeaderEnvelope); err != nil {
		return nil, err
	}
	envelopes := r.Header.Values(figpier.HeaderEnvelope)
	if len(envelopes) != 1 {
		return nil, figpier.Refuse(figpier.RefusalMalformed)
	}
	c, err := codec.DecodeEnvelope(envelopes[0], now)
	if err != nil {
		return nil, figpier.NewRefusal(figpier.RefusalConfig{Reason: figpier.RefusalMalformed, Detail: err.Error()})
	}
	profile, ok := l.view.Configuration().ProfileOf(l.config.Service)
	if !ok {
		return nil, figpier.Refuse(figpier.RefusalNoProfile)
	}
	route, ok := profile.Match(r.Method, r.URL.Path)
	if !ok {
		return nil, figpier.Deny(l.view, now, figpier.RefusalNoRoute)
	}
	if c.Customer == "" && !route.Open() {
		return nil, figpier.Deny(l.view, now, figpier.RefusalKeyMissing)
	}
	c.Service = l.config.Service
	c.Route = route.Pattern()
	c.Idempotent = route.Idempotent()
	return figpier.NewCall(c), nil
}
