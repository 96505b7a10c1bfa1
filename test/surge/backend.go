package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/figpier/figpier"
)

// Paths of requests, and the time between two announcements of a backend server.
const (
	highPriorityPath = "/hold"
	ordinaryPath     = "/browse"
	announceInterval = 300 * time.Millisecond
)

// chainServices are the services of the chain; each calls the one after it.
var chainServices = []string{"a", "b", "c"}

// backendConfig configures a backendServer.
type backendConfig struct {
	// NodeAddress is the node's listener for the backend server's announcements and outgoing calls.
	NodeAddress string
	// NextService is the service that each request calls, empty for none.
	NextService string
	// Slots is the number of requests that are executed at once; others wait in the server.
	Slots int
}

// backendServer is a stand-in backend server. A request holds a slot during its own work and the call to the next service.
type backendServer struct {
	config     backendConfig
	listener   net.Listener
	httpServer *http.Server
	exitClient *http.Client
	// slots is a semaphore with the capacity Slots.
	slots chan struct{}
	// announcedSlots is the number of slots in announcements, which a case may make differ from Slots.
	announcedSlots atomic.Int64
	// announcePaused suspends the announcements.
	announcePaused atomic.Bool
	// slowness returns the factor by which serviceTime is multiplied; nil means 1.
	slowness atomic.Pointer[func(time.Time) float64]
	// record counts executions; nil before the measurement starts.
	record atomic.Pointer[record]
}

func newBackendServer(c backendConfig) *backendServer {
	proxy := &url.URL{Scheme: "http", Host: c.NodeAddress}
	s := &backendServer{
		config: c,
		slots:  make(chan struct{}, c.Slots),
		exitClient: &http.Client{Transport: &http.Transport{
			Proxy:               http.ProxyURL(proxy),
			MaxIdleConnsPerHost: 1024,
		}},
	}
	s.announcedSlots.Store(int64(c.Slots))
	return s
}

// start listens on a free port, and serves and announces itself until the context ends.
func (s *backendServer) start(ctx context.Context) (err error) {
	s.listener, err = (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.httpServer = &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	go func() { _ = s.httpServer.Serve(s.listener) }()
	go s.announce(ctx)
	context.AfterFunc(ctx, func() { _ = s.httpServer.Close() })
	return nil
}

// announce repeats the announcement until the context ends. It takes the place of a load endpoint too, and reports no load.
func (s *backendServer) announce(ctx context.Context) {
	for ctx.Err() == nil {
		if !s.announcePaused.Load() {
			s.announceOnce(ctx)
		}
		pause(ctx, announceInterval)
	}
}

func (s *backendServer) announceOnce(ctx context.Context) {
	body, err := json.Marshal(map[string]any{"address": s.listener.Addr().String(), "slots": s.announcedSlots.Load()})
	if err != nil {
		return
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.config.NodeAddress+"/figpier/announce", bytes.NewReader(body))
	if err != nil {
		return
	}
	if answer, err := http.DefaultClient.Do(r); err == nil {
		_ = answer.Body.Close()
	}
}

// setSlowness sets the function that returns how many times longer than serviceTime a request takes.
func (s *backendServer) setSlowness(f func(time.Time) float64) { s.slowness.Store(&f) }

func (s *backendServer) currentServiceTime() time.Duration {
	f := s.slowness.Load()
	if f == nil {
		return serviceTime
	}
	return time.Duration((*f)(time.Now()) * float64(serviceTime))
}

// ServeHTTP waits for a slot, works for the current service time and calls the next service, if there is one.
func (s *backendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	s.recordRun(r)
	pause(r.Context(), s.currentServiceTime())
	if r.Context().Err() != nil {
		return
	}
	if s.config.NextService == "" {
		_, _ = fmt.Fprintln(w, "done")
		return
	}
	s.callNext(w, r)
}

// recordRun counts the execution for the attempt whose id is in the query.
func (s *backendServer) recordRun(r *http.Request) {
	id, err := strconv.Atoi(r.URL.Query().Get("attempt"))
	if rec := s.record.Load(); err == nil && rec != nil {
		rec.countRun(id)
	}
}

// callNext calls the next service through the node and answers with the status of its answer.
func (s *backendServer) callNext(w http.ResponseWriter, r *http.Request) {
	out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+s.config.NextService+figpier.ExitSuffix+r.URL.RequestURI(), nil)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	out.Header.Set(figpier.HeaderCall, r.Header.Get(figpier.HeaderCall))
	response, err := s.exitClient.Do(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = response.Body.Close() }()
	w.WriteHeader(response.StatusCode)
	_, _ = fmt.Fprintln(w, "passed on")
}

// addressCount is the number of addresses that freeAddress has returned.
var addressCount atomic.Int64

// freeAddress returns a loopback address and port that nothing else in this process uses; the id of the process keeps it
// apart from those of other processes.
func freeAddress() string {
	n := addressCount.Add(1)
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 64+pid>>8%64, 1+pid%250, 1+n%250, firstPort+n)
}

// firstPort is the number below the first port that freeAddress returns.
const firstPort = 20_000
