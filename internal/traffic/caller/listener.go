package caller

import (
	"context"
	"crypto/tls"
	"net/http"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/link/web"
)

// lingerTime is how long requests on open connections are still answered during a planned stop.
const lingerTime = time.Second

// Config holds the settings of a Listener.
type Config struct {
	// Address is the IP address and port to listen on.
	Address string
	// TLS secures the listener; nil means plain HTTP, for loopback only.
	TLS *tls.Config
}

// Listener is the service, and the HTTP handler, that takes callers' requests.
type Listener struct {
	config   Config
	clock    figpier.Clock
	gate     figpier.Gate
	calls    figpier.CallServer
	backend  figpier.Backend
	counters figpier.Counters
	log      figpier.RequestLog
	server   *web.Server
}

// New returns a listener, to be started by the kernel.
func New(c Config) *Listener { return &Listener{config: c} }

// Name implements figpier.Service.
func (l *Listener) Name() figpier.ServiceName { return figpier.CallerListenerService }

// Start implements figpier.Service.
func (l *Listener) Start(ctx context.Context, d figpier.Directory) (err error) {
	l.clock = d.Clock()
	if l.gate, err = figpier.FindGate(d); err != nil {
		return err
	}
	if l.calls, err = figpier.FindCallServer(d); err != nil {
		return err
	}
	if l.backend, err = figpier.FindBackend(d); err != nil {
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
		Address: l.config.Address,
		TLS:     l.config.TLS,
		Handler: l,
		Linger:  lingerTime,
		Memory:  memory,
	})
	return err
}

// ListenAddress returns the IP address and port on which the listener takes requests.
func (l *Listener) ListenAddress() string { return l.server.Address() }

// Stop implements figpier.Service.
func (l *Listener) Stop(ctx context.Context) error { return l.server.Shutdown(ctx) }

// ServeHTTP implements http.Handler. It measures the time from the arrival of a request to the end of its answer.
func (l *Listener) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := l.clock.Now()
	if l.backend.Leaving() {
		// Tells the caller to open a new connection, before this one is closed under its next request.
		w.Header().Set("Connection", "close")
	}
	c, err := l.enter(r, began)
	if err != nil {
		refusal := web.AsRefusal(err)
		l.counters.Refused(refusal.Reason())
		l.log.Refused(c, refusal)
		if c != nil {
			w.Header().Set(figpier.HeaderRequestID, string(c.RequestID()))
		}
		web.RefuseEarly(w, refusal)
		return
	}
	l.calls.ServeCall(w, r, c)
	l.counters.Observe("entry", l.clock.Now().Sub(began))
}

// enter checks the form of a request and asks the gate to admit it.
func (l *Listener) enter(r *http.Request, received time.Time) (*figpier.Call, error) {
	if err := web.CheckRequest(r, figpier.HeaderKey); err != nil {
		return nil, err
	}
	return l.gate.Enter(r.Context(), figpier.NewArrival(figpier.ArrivalConfig{
		Method:         r.Method,
		Path:           r.URL.Path,
		Keys:           r.Header.Values(figpier.HeaderKey),
		IdempotencyKey: figpier.IdempotencyKey(r.Header.Get(figpier.HeaderIdempotencyKey)),
		Received:       received,
	}))
}
