package delivery

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/link/web"
	"github.com/figpier/figpier/internal/policy/retrybudget"
	"github.com/figpier/figpier/internal/wire/codec"
)

// Bounds on the connections to the backend server.
const (
	// maxIdleConnections bounds the idle connections kept; one that becomes idle beyond it is closed.
	maxIdleConnections = 512
	// idleTimeout is shorter than the keep-alive timeouts of common servers, so that the node closes first.
	idleTimeout = 4 * time.Second
	dialTimeout = time.Second
	// unacknowledgedTimeout is how long the backend server's host, which is the node's own, may leave data
	// unacknowledged before the connection is closed.
	unacknowledgedTimeout = time.Second
)

// runMemory is how long a run counts for the share of repeats: some times the length of a run, whose calls come while it lasts.
const runMemory = 2 * time.Second

// Config holds the settings of a Server.
type Config struct {
	// Address is the IP address and port to listen on for the calls of other nodes.
	Address string
	// Service is the service that the backend server beside the node runs.
	Service figpier.UpstreamService
}

// Server sends calls to the backend server, and listens for those of other nodes. It implements figpier.Deliverer.
type Server struct {
	config    Config
	clock     figpier.Clock
	view      figpier.ConfigurationView
	ready     figpier.Readiness
	admission figpier.Admission
	backend   figpier.Backend
	dialect   figpier.Dialect
	counters  figpier.Counters
	log       figpier.RequestLog
	transport *web.Transport
	listener  *web.Server

	mu   sync.Mutex // guards runs
	runs *retrybudget.Runs
}

// New returns a server, to be started by the kernel.
func New(c Config) *Server {
	return &Server{
		config: c,
		runs:   retrybudget.NewRuns(runMemory),
		transport: web.NewTransport(web.TransportConfig{
			DialTimeout:           dialTimeout,
			UnacknowledgedTimeout: unacknowledgedTimeout,
			IdleTimeout:           idleTimeout,
			IdleConnections:       maxIdleConnections,
		}),
	}
}

// Name implements figpier.Service.
func (s *Server) Name() figpier.ServiceName { return figpier.DeliveryService }

// Start implements figpier.Service.
func (s *Server) Start(ctx context.Context, d figpier.Directory) (err error) {
	s.clock = d.Clock()
	if s.view, err = figpier.FindView(d); err != nil {
		return err
	}
	if s.ready, err = figpier.FindReadiness(d); err != nil {
		return err
	}
	if s.admission, err = figpier.FindAdmission(d); err != nil {
		return err
	}
	if s.backend, err = figpier.FindBackend(d); err != nil {
		return err
	}
	if s.dialect, err = figpier.FindDialect(d); err != nil {
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
	s.listener, err = web.Listen(ctx, web.ServerConfig{Address: s.config.Address, Handler: s, OnlyHTTP1: true, Memory: memory})
	return err
}

// Stop implements figpier.Service.
func (s *Server) Stop(ctx context.Context) error { return s.listener.Shutdown(ctx) }

// ServeHTTP implements http.Handler for the calls of other nodes. The answer carries this node's cut-off.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := s.clock.Now()
	c, err := codec.DecodeEnvelope(r.Header.Get(figpier.HeaderEnvelope), now)
	if err != nil {
		s.refuse(w, nil, figpier.NewRefusal(figpier.RefusalConfig{Reason: figpier.RefusalMalformed, Detail: err.Error()}))
		return
	}
	c.RepeatShare = codec.ParseShare(r.Header.Get(figpier.HeaderRepeatShare))
	call := figpier.NewCall(c)
	defer web.SetRequestDeadline(w, c.Deadline.Sub(now))()
	ctx, release := web.WithEnding(r.Context(), s.ready.Ending())
	defer release()
	received := web.ReceiveBody(r)
	defer received.End(w)
	answer, err := s.deliverRemote(ctx, call, inbound(r, call, now))
	w.Header().Set(figpier.HeaderCutOff, strconv.FormatUint(uint64(s.admission.CutOff()), 10))
	if err != nil {
		received.PrepareRefusal(w, r)
		s.refuse(w, call, web.AsRefusal(err))
		return
	}
	received.PrepareAnswer(w, r)
	defer func() { _ = answer.Body().Close() }()
	if err := web.StreamAnswer(w, answer); err != nil {
		// Abort the connection, so that a truncated answer is not taken for a complete one.
		panic(http.ErrAbortHandler)
	}
}

// deliverRemote delivers a call of another node, unless this node is stopping and might end before the call.
func (s *Server) deliverRemote(ctx context.Context, c *figpier.Call, i *figpier.Inbound) (*figpier.Answer, error) {
	if err := s.ready.Take(i.Received(), c.Deadline(), c.Priority()); err != nil {
		return nil, err
	}
	return s.Deliver(ctx, c, i)
}

// inbound returns the request that another node forwarded.
func inbound(r *http.Request, c *figpier.Call, now time.Time) *figpier.Inbound {
	return figpier.NewInbound(figpier.InboundConfig{
		ID:       c.RequestID(),
		Method:   r.Method,
		Host:     r.Host,
		Target:   r.RequestURI,
		Received: now,
		Header:   web.EndToEnd(r.Header),
		Body:     r.Body,
		Length:   r.ContentLength,
	})
}

// refuse counts and logs a refusal, and answers another node with it. The call may be nil.
func (s *Server) refuse(w http.ResponseWriter, c *figpier.Call, r *figpier.Refusal) {
	s.counters.Refused(r.Reason())
	s.log.Refused(c, r)
	web.WriteRefusalHeaders(w, r)
}
