package web

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/figpier/figpier"
)

// Error is the class of errors of this package.
var Error = errs.Class("web")

// Default bounds for senders.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
	maxFrameBytes     = 64 << 10 // HTTP/2 senders keep a buffer of this size for each body of unknown length
)

// acceptRetryDelay is the wait after a failed accept; some requests end in it and free their file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// shutdownGrace is how long a shutdown whose context has ended still waits for connections whose answer has just been
// written: net/http counts them as active until their handler has returned.
const shutdownGrace = 100 * time.Millisecond

// acceptDrainTime is how long a shutdown still accepts connections, so that those which the kernel has already queued are served
// and not reset.
const acceptDrainTime = 20 * time.Millisecond

// ServerConfig holds the settings of a Server.
type ServerConfig struct {
	// Address is the IP address and port to listen on.
	Address string
	// TLS secures the listener, nil for plain HTTP on loopback.
	TLS *tls.Config
	// Handler answers the requests.
	Handler http.Handler
	// PingAfter is how long an HTTP/2 connection may be silent before it is pinged, and how long the answer may take; 0
	// for no pings.
	PingAfter time.Duration
	// Linger is how long a shutdown still serves requests on open connections after it has stopped accepting new ones, 0
	// for not at all.
	Linger time.Duration
	// Memory bounds the memory of requests that take more than an ordinary one; nil for no bound.
	Memory figpier.RequestMemory
	// OnlyHTTP1 refuses HTTP/2.
	OnlyHTTP1 bool
	// Limits returns the limits for new connections and is called for each of them; nil for the default bounds.
	Limits func() Limits
}

// LimitsConfig holds the fields of Limits; a value that is not positive stands for the default bound.
type LimitsConfig struct {
	// HeaderBytes is the greatest size of a request's head in bytes.
	HeaderBytes int
	// HeaderTimeout is how long a sender may take to send a request's head.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a sender may keep a connection without a request.
	IdleTimeout time.Duration
}

// Limits bound the requests on one connection. They are comparable.
type Limits struct {
	config LimitsConfig
}

// NewLimits returns the limits of a configuration.
func NewLimits(c LimitsConfig) Limits { return Limits{config: c} }

// Server listens on one port for HTTP/1.1 and HTTP/2. An http.Server can't change its limits, so the Server runs one for each
// set of limits that was in force and gives it the connections accepted meanwhile.
type Server struct {
	config   ServerConfig
	listener *onceListener
	ctx      context.Context
	// accepted is closed once no further connection is accepted.
	accepted chan struct{}

	mu sync.Mutex
	// current gets the new connections, which are served within limits.
	current *connListener
	limits  Limits
	// listeners are current and its predecessors, which go on serving the connections that they have.
	listeners []*connListener
}

// Listen opens the port and starts a server. When the context ends, the server closes at once.
func Listen(ctx context.Context, c ServerConfig) (*Server, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", c.Address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	s := &Server{config: c, listener: &onceListener{Listener: l}, ctx: ctx, accepted: make(chan struct{})}
	if c.Limits == nil {
		s.config.Limits = func() Limits { return Limits{} }
	}
	s.addListener(s.config.Limits())
	go s.accept()
	context.AfterFunc(ctx, s.close)
	return s, nil
}

// accept passes each new connection to the HTTP server for the current limits. It closes the listener once the time of
// stopAccepting is over.
func (s *Server) accept() {
	defer close(s.accepted)
	for {
		c, err := s.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
				s.closeListener()
				return
			}
			// The process may have run out of file descriptors; wait for some to be closed.
			s.waitToAccept()
			continue
		}
		s.currentListener().deliver(s.counted(c))
	}
}

// closeListener accepts the connections that the kernel has queued and closes the listener at once, which resets those that come in
// between.
func (s *Server) closeListener() {
	var queued []net.Conn
	if l, ok := s.listener.Listener.(*net.TCPListener); ok {
		queued, _ = takeQueued(l)
	}
	_ = s.listener.Close()
	for _, c := range queued {
		s.currentListener().deliver(s.counted(c))
	}
}

// counted returns a connection whose requests count towards the memory of requests.
func (s *Server) counted(c net.Conn) net.Conn {
	if s.config.Memory == nil {
		return c
	}
	return &serverConn{Conn: c, account: account{memory: s.config.Memory}, readsHeads: s.config.TLS == nil, inHead: true}
}

// stopAccepting closes the listener after acceptDrainTime, and returns once it is closed.
func (s *Server) stopAccepting(ctx context.Context) {
	if err := s.listener.setDeadline(time.Now().Add(acceptDrainTime)); err != nil {
		_ = s.listener.Close()
	}
	select {
	case <-s.accepted:
	case <-ctx.Done():
		_ = s.listener.Close()
	}
}

// waitToAccept waits for acceptRetryDelay or until the server's context ends.
func (s *Server) waitToAccept() {
	t := time.NewTimer(acceptRetryDelay)
	defer t.Stop()
	select {
	case <-s.ctx.Done():
	case <-t.C:
	}
}

// currentListener returns the listener for new connections, which is a new one if the limits have changed.
func (s *Server) currentListener() *connListener {
	limits := s.config.Limits()
	s.mu.Lock()
	defer s.mu.Unlock()
	if limits != s.limits {
		s.addListener(limits)
	}
	return s.current
}

// addListener starts an HTTP server with the given limits and makes it the one for new connections. The mutex must be held,
// except in Listen.
func (s *Server) addListener(limits Limits) {
	l := newConnListener(s.listener.Addr())
	server := newServer(s.config, limits)
	l.server = server
	s.current, s.limits = l, limits
	s.listeners = append(s.listeners, l)
	go func() {
		if s.config.TLS != nil {
			_ = server.ServeTLS(l, "", "")
			return
		}
		_ = server.Serve(l)
	}()
}

func (s *Server) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		_ = l.server.Close()
	}
}

func newServer(c ServerConfig, l Limits) *http.Server {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetHTTP2(c.TLS != nil && !c.OnlyHTTP1)
	p.SetUnencryptedHTTP2(c.TLS == nil && !c.OnlyHTTP1)
	return &http.Server{
		Handler:           resetUnfinished(countRequests(c.Handler)),
		ConnContext:       withConn,
		ConnState:         followConnState,
		TLSConfig:         c.TLS,
		Protocols:         p,
		ReadHeaderTimeout: positiveOr(l.config.HeaderTimeout, readHeaderTimeout),
		IdleTimeout:       positiveOr(l.config.IdleTimeout, idleTimeout),
		MaxHeaderBytes:    positiveOr(l.config.HeaderBytes, maxHeaderBytes),
		// The handler answers "OPTIONS *" with a refusal, like every other request without a path.
		DisableGeneralOptionsHandler: true,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  c.PingAfter,
			PingTimeout:      c.PingAfter,
			MaxReadFrameSize: maxFrameBytes,
		},
	}
}

// positiveOr returns a limit, or the default for one that is not positive, which net/http would take for no limit.
func positiveOr[T cmp.Ordered](limit, def T) T {
	var zero T
	if limit > zero {
		return limit
	}
	return def
}

// Address returns the IP address and port that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Shutdown stops accepting connections and waits for the requests in flight. Idle connections are closed only after the
// linger time, because a request that a caller sends while its connection is being closed gets no answer.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopAccepting(ctx)
	if s.config.Linger > 0 {
		t := time.NewTimer(s.config.Linger)
		defer t.Stop()
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
	bounded, cancel := withGrace(ctx)
	defer cancel()
	return Error.Wrap(s.shutdownAll(bounded))
}

// shutdownAll shuts all HTTP servers down at the same time and joins their errors.
func (s *Server) shutdownAll(ctx context.Context) error {
	s.mu.Lock()
	listeners := s.listeners
	s.mu.Unlock()
	failures := make([]error, len(listeners))
	var group sync.WaitGroup
	for i, l := range listeners {
		group.Go(func() { failures[i] = l.server.Shutdown(ctx) })
	}
	group.Wait()
	return errors.Join(failures...)
}

// withGrace returns a context derived from ctx, or one that lasts for shutdownGrace if ctx has already ended.
func withGrace(ctx context.Context) (context.Context, context.CancelFunc) {
	if ctx.Err() == nil {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(context.WithoutCancel(ctx), shutdownGrace)
}
