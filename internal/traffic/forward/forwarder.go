package forward

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/link/bytecount"
	"github.com/figpier/figpier/internal/link/web"
	"github.com/figpier/figpier/internal/policy/comeback"
	"github.com/figpier/figpier/internal/policy/retrybudget"
)

// Bounds on the connections to other nodes.
const (
	maxIdleConnections = 64
	idleTimeout        = 30 * time.Second
	// dialTimeout leaves time for many round trips between regions.
	dialTimeout = 500 * time.Millisecond
	// unacknowledgedTimeout is how long data or a probe may stay unacknowledged before the connection is closed; it
	// leaves time for many round trips between regions.
	unacknowledgedTimeout = time.Second
)

// Config holds the settings of a Forwarder.
type Config struct {
	// Instance is the name of this node; calls to it are delivered without going over the network.
	Instance figpier.InstanceID
	// RetryShare is the greatest number of retries to a service for each first attempt.
	RetryShare float64
	// RetryWindow is the period over which attempts and retries are counted.
	RetryWindow time.Duration
	// FreeRetries is the number of retries to a service that each window allows in addition.
	FreeRetries float64
}

// Forwarder routes callers' requests to backend servers. It implements figpier.Forwarder.
type Forwarder struct {
	config    Config
	clock     figpier.Clock
	view      figpier.ConfigurationView
	ready     figpier.Readiness
	gate      figpier.Gate
	router    figpier.Router
	admission figpier.Admission
	deliverer figpier.Deliverer
	counters  figpier.Counters
	log       figpier.RequestLog
	transport *web.Transport
	// bytes counts the bytes of the connections to other nodes.
	bytes bytecount.Counts

	mu          sync.Mutex // guards the fields below
	retryBudget *retrybudget.Table
	// turns are those of the requests that found no member.
	turns comeback.Queue
}

// New returns a forwarder, to be started by the kernel.
func New(c Config) *Forwarder {
	f := &Forwarder{
		config:      c,
		retryBudget: retrybudget.New(retrybudget.Config{Share: c.RetryShare, Window: c.RetryWindow, MinRetries: c.FreeRetries}),
	}
	f.transport = web.NewTransport(web.TransportConfig{
		DialTimeout:           dialTimeout,
		UnacknowledgedTimeout: unacknowledgedTimeout,
		IdleTimeout:           idleTimeout,
		IdleConnections:       maxIdleConnections,
		Wrap:                  f.bytes.Conn,
	})
	return f
}

// Name implements figpier.Service.
func (f *Forwarder) Name() figpier.ServiceName { return figpier.ForwardService }

// Start implements figpier.Service.
func (f *Forwarder) Start(_ context.Context, d figpier.Directory) (err error) {
	f.clock = d.Clock()
	if f.view, err = figpier.FindView(d); err != nil {
		return err
	}
	if f.ready, err = figpier.FindReadiness(d); err != nil {
		return err
	}
	if f.gate, err = figpier.FindGate(d); err != nil {
		return err
	}
	if f.router, err = figpier.FindRouter(d); err != nil {
		return err
	}
	if f.admission, err = figpier.FindAdmission(d); err != nil {
		return err
	}
	if f.deliverer, err = figpier.FindDeliverer(d); err != nil {
		return err
	}
	if f.counters, err = figpier.FindCounters(d); err != nil {
		return err
	}
	if f.log, err = figpier.FindRequestLog(d); err != nil {
		return err
	}
	f.bytes.Start(d, "request_link_bytes", "")
	f.view.Subscribe(f.followServices)
	// The first configuration may have come before the subscription.
	f.followServices(f.view.Configuration())
	return nil
}

// Stop implements figpier.Service.
func (f *Forwarder) Stop(context.Context) error {
	f.transport.CloseIdleConnections()
	return nil
}

// followServices subscribes to the members of every service in the routing table, so that they are known before the first
// request.
func (f *Forwarder) followServices(c *figpier.Configuration) {
	if c.Table() == nil {
		return
	}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for _, s := range c.Table().Services() {
		// FollowMembers posts the subscription before it waits; the cancelled context skips the wait.
		_ = f.view.FollowMembers(cancelled, s.Name())
	}
}

// Forward implements figpier.Forwarder. The deadline of the call holds until the answer's body has been read, and so does the end of
// the node's requests in a shutdown.
func (f *Forwarder) Forward(ctx context.Context, i *figpier.Inbound) (*figpier.Answer, error) {
	ctx, release := web.WithEnding(ctx, f.ready.Ending())
	a, err := f.enterAndRun(ctx, i)
	if err != nil {
		release()
		return nil, err
	}
	answer := a.Config()
	answer.Body = web.NewWatchedBody(a.Body(), func(error) { release() })
	return figpier.NewAnswer(answer), nil
}

// enterAndRun admits a request and runs its attempts.
func (f *Forwarder) enterAndRun(ctx context.Context, i *figpier.Inbound) (*figpier.Answer, error) {
	if !web.Forwardable(i.Target()) {
		return nil, f.refused(nil, figpier.Refuse(figpier.RefusalMalformed))
	}
	var keys []string
	if i.Key() != "" {
		keys = []string{i.Key()}
	}
	c, err := f.gate.Enter(ctx, figpier.NewArrival(figpier.ArrivalConfig{
		Method:    i.Method(),
		Path:      i.Path(),
		Host:      i.Host(),
		ID:        i.ID(),
		Remaining: i.Remaining(),
		Keys:      keys,
		Received:  i.Received(),
	}))
	if err != nil {
		return nil, f.refused(c, web.AsRefusal(err))
	}
	if i, err = f.limitBody(i); err != nil {
		return nil, f.refused(c, web.AsRefusal(err))
	}
	bounded, cancel := context.WithTimeout(ctx, c.Deadline().Sub(f.clock.Now()))
	a, err := f.runAttempts(bounded, i, c)
	if err != nil {
		cancel()
		return nil, f.refused(c, web.AsRefusal(err))
	}
	body := web.NewWatchedBody(a.Body(), func(error) {
		cancel()
		f.counters.Observe("entry", f.clock.Now().Sub(i.Received()))
	})
	answer := a.Config()
	answer.Body = body
	return figpier.NewAnswer(answer), nil
}

// limitBody limits the body of a request to the size that the routing table allows; 0 there means no limit.
func (f *Forwarder) limitBody(i *figpier.Inbound) (*figpier.Inbound, error) {
	t := f.view.Configuration().Table()
	if t == nil || t.Limits().BodyBytes() == 0 {
		return i, nil
	}
	maxBytes := t.Limits().BodyBytes()
	if i.Length() > maxBytes {
		return nil, figpier.Refuse(figpier.RefusalBodyTooLarge)
	}
	if i.Length() >= 0 {
		return i, nil
	}
	c := i.Config()
	c.Body = http.MaxBytesReader(nil, c.Body, maxBytes)
	return figpier.NewInbound(c), nil
}

// refused counts and logs a refusal, and returns it.
func (f *Forwarder) refused(c *figpier.Call, r *figpier.Refusal) *figpier.Refusal {
	f.counters.Refused(r.Reason())
	f.log.Refused(c, r)
	return r
}
