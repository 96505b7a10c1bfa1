package sample

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/zeebo/errs"

	"github.com/figpier/figpier"
)

// Error is the class of errors of a sample backend server.
var Error = errs.Class("sample backend server")

const (
	announcePath      = "/figpier/announce"
	announceInterval  = 500 * time.Millisecond
	readHeaderTimeout = 5 * time.Second
	stopTimeout       = 5 * time.Second
	// slots is the number of requests that the server announces it can run at once.
	slots = 16
)

// Config holds the addresses of a Server.
type Config struct {
	// Address is the IP address and port to listen on.
	Address string
	// NodeAddress is the IP address and port of the node's listener for this backend server.
	// The server sends its announcements there and uses it as the proxy for calls to other services.
	NodeAddress string
}

// Server is a backend server that announces itself to the node beside it.
type Server struct {
	config  Config
	handler http.Handler
	client  *http.Client
}

// newServer returns a server without a handler, which the caller sets.
func newServer(c Config) *Server {
	node := &url.URL{Scheme: "http", Host: c.NodeAddress}
	return &Server{
		config: c,
		client: &http.Client{Transport: &http.Transport{Proxy: http.ProxyURL(node)}},
	}
}

// Run serves requests and announces the server to its node until the context ends, then shuts down within stopTimeout.
func (s *Server) Run(ctx context.Context) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.config.Address)
	if err != nil {
		return Error.Wrap(err)
	}
	h := &http.Server{Handler: s.handler, ReadHeaderTimeout: readHeaderTimeout}
	served := make(chan error, 1)
	go func() { served <- h.Serve(l) }()
	s.sendHeartbeats(ctx)
	s.client.CloseIdleConnections()
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	err = h.Shutdown(stop)
	if serveErr := <-served; !errors.Is(serveErr, http.ErrServerClosed) {
		return Error.Wrap(serveErr)
	}
	return Error.Wrap(err)
}

// sendHeartbeats announces the server every announceInterval until the context ends.
func (s *Server) sendHeartbeats(ctx context.Context) {
	t := time.NewTicker(announceInterval)
	defer t.Stop()
	for {
		s.announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// announce sends one announcement and ignores failures, since the next one follows after announceInterval.
func (s *Server) announce(ctx context.Context) {
	body, err := json.Marshal(map[string]any{"address": s.config.Address, "slots": slots})
	if err != nil {
		return
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.config.NodeAddress+announcePath, bytes.NewReader(body))
	if err != nil {
		return
	}
	if answer, err := http.DefaultClient.Do(r); err == nil {
		_ = answer.Body.Close()
	}
}

// forward sends a request to the target through the node, without its body, and relays the response.
// A response that breaks off aborts the connection, so that the caller does not take it for complete.
func (s *Server) forward(w http.ResponseWriter, r *http.Request, target string) {
	out, err := http.NewRequestWithContext(r.Context(), r.Method, target, nil)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	// The call handle tells the node which request the exit call belongs to.
	for _, name := range []string{figpier.HeaderCall, figpier.HeaderIdempotencyKey} {
		if v := r.Header.Get(name); v != "" {
			out.Header.Set(name, v)
		}
	}
	answer, err := s.client.Do(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	w.Header().Set("Content-Type", answer.Header.Get("Content-Type"))
	w.WriteHeader(answer.StatusCode)
	if _, err := io.Copy(w, answer.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
