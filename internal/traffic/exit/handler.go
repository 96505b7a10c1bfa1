package exit

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/link/web"
)

// Error is the class of errors of other nodes' answers.
var Error = errs.Class("exit")

// idleTimeout is how long an idle connection to another node is kept open.
const idleTimeout = 30 * time.Second

// Config holds the settings of a Handler.
type Config struct {
	// TLS secures connections to other nodes; nil means plain HTTP/2, for loopback only.
	TLS *tls.Config
	// PingAfter is how long a connection may be silent before it is pinged, how long the ping may then take, and the dial
	// timeout.
	PingAfter time.Duration
}

// Handler is the service, and the HTTP handler, that serves the backend server's exit calls.
type Handler struct {
	config    Config
	clock     figpier.Clock
	view      figpier.ConfigurationView
	handles   figpier.Handles
	router    figpier.Router
	decider   figpier.RetryDecider
	counters  figpier.Counters
	log       figpier.RequestLog
	transport *http.Transport
}

// New returns a handler, to be started by the kernel.
func New(c Config) *Handler {
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(c.TLS == nil)
	p.SetHTTP2(c.TLS != nil)
	return &Handler{
		config: c,
		transport: &http.Transport{
			TLSClientConfig:    c.TLS,
			Protocols:          p,
			DisableCompression: true,
			IdleConnTimeout:    idleTimeout,
			DialContext:        (&net.Dialer{Timeout: c.PingAfter}).DialContext,
			HTTP2:              &http.HTTP2Config{SendPingTimeout: c.PingAfter, PingTimeout: c.PingAfter},
		},
	}
}

// Name implements figpier.Service.
func (h *Handler) Name() figpier.ServiceName { return figpier.ExitService }

// Start implements figpier.Service.
func (h *Handler) Start(_ context.Context, d figpier.Directory) (err error) {
	h.clock = d.Clock()
	if h.view, err = figpier.FindView(d); err != nil {
		return err
	}
	if h.handles, err = figpier.FindHandles(d); err != nil {
		return err
	}
	if h.router, err = figpier.FindRouter(d); err != nil {
		return err
	}
	if h.decider, err = figpier.FindRetryDecider(d); err != nil {
		return err
	}
	if h.log, err = figpier.FindRequestLog(d); err != nil {
		return err
	}
	h.counters, err = figpier.FindCounters(d)
	return err
}

// Stop implements figpier.Service.
func (h *Handler) Stop(context.Context) error {
	h.transport.CloseIdleConnections()
	return nil
}

// ServeHTTP implements http.Handler: it serves one exit call, which ends at the latest with its own deadline or with the
// live call that it belongs to.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, l, ownHandle, err := h.resolveCall(r)
	defer h.handles.Close(ownHandle)
	if err == nil && !l.BeginExit() {
		err = figpier.Refuse(figpier.RefusalHandleUnknown)
	}
	if err != nil {
		h.refuse(w, c, web.AsRefusal(err))
		return
	}
	defer l.EndExit()
	defer web.SetRequestDeadline(w, c.Deadline().Sub(h.clock.Now()))()
	ctx, cancel := context.WithTimeout(r.Context(), c.Deadline().Sub(h.clock.Now()))
	defer cancel()
	defer context.AfterFunc(l.Context(), cancel)()
	if err := h.view.FollowMembers(ctx, c.Service()); err != nil {
		h.refuse(w, c, figpier.NewRefusal(figpier.RefusalConfig{Reason: figpier.RefusalNoUpstream, Detail: err.Error()}))
		return
	}
	h.runAttempts(ctx, w, r, c, l)
}

// resolveCall returns the call that an exit request makes and the live call that it belongs to. The handle is empty unless
// the live call was opened here; the caller of this method closes it, also after an error.
func (h *Handler) resolveCall(r *http.Request) (c *figpier.Call, l figpier.LiveCall, ownHandle figpier.Handle, err error) {
	if err := web.CheckRequest(r, figpier.HeaderCall); err != nil {
		return nil, nil, "", err
	}
	service := figpier.UpstreamService(strings.TrimSuffix(r.Host, figpier.ExitSuffix))
	route, err := h.matchRoute(service, r)
	if err != nil {
		return nil, nil, "", err
	}
	l, ownHandle, err = h.findLiveCall(r, route)
	if err != nil {
		return nil, nil, ownHandle, err
	}
	hop := l.Call().Config()
	hop.Service = service
	hop.Route = route.Pattern()
	hop.Idempotent = route.Idempotent()
	hop.IdempotencyKey = figpier.IdempotencyKey(r.Header.Get(figpier.HeaderIdempotencyKey))
	hop.Depth++
	if end := h.clock.Now().Add(route.Deadline()); end.Before(hop.Deadline) {
		hop.Deadline = end
	}
	return figpier.NewCall(hop), l, ownHandle, nil
}

// matchRoute returns the route of a service that the request matches.
func (h *Handler) matchRoute(s figpier.UpstreamService, r *http.Request) (*figpier.Route, error) {
	p, ok := h.view.Configuration().ProfileOf(s)
	if !ok {
		return nil, figpier.NewRefusal(figpier.RefusalConfig{Reason: figpier.RefusalNoProfile, Detail: string(s)})
	}
	route, ok := p.Match(r.Method, r.URL.Path)
	if !ok {
		return nil, figpier.Deny(h.view, h.clock.Now(), figpier.RefusalNoRoute)
	}
	return route, nil
}

// findLiveCall returns the live call of the presented handle. Without a handle it opens a live call of its own, which only
// open routes allow, and returns the handle of that.
func (h *Handler) findLiveCall(r *http.Request, route *figpier.Route) (l figpier.LiveCall, ownHandle figpier.Handle, err error) {
	handles := r.Header.Values(figpier.HeaderCall)
	if len(handles) == 1 {
		if l, ok := h.handles.Find(figpier.Handle(handles[0])); ok {
			return l, "", nil
		}
	}
	if len(handles) > 0 || !route.Open() {
		return nil, "", figpier.Refuse(figpier.RefusalHandleUnknown)
	}
	ownHandle, l = h.handles.Open(r.Context(), figpier.NewCall(figpier.CallConfig{
		RequestID: figpier.RequestID(rand.Text()),
		Priority:  route.Priority(),
		Rank:      figpier.MaxRank,
		Deadline:  h.clock.Now().Add(route.Deadline()),
	}))
	return l, ownHandle, nil
}

func (h *Handler) refuse(w http.ResponseWriter, c *figpier.Call, r *figpier.Refusal) {
	h.counters.Refused(r.Reason())
	h.log.Refused(c, r)
	web.WriteRefusal(w, r)
}
