package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/figpier/figpier"
)

// announceInterval is the time between two announcements to the node.
const announceInterval = 300 * time.Millisecond

// backendServer holds the flags and the counters of the stand-in.
type backendServer struct {
	address string
	// nodeAddress is the node's listener for announcements and outgoing calls.
	nodeAddress string
	slots       int
	serviceTime time.Duration
	// nextService is the service that /chain calls through the node.
	nextService string
	// nextAddress is the address that /chain calls instead of nextService, for measurements without nodes.
	nextAddress string
	// runs counts the requests executed, without /count and /drain.
	runs atomic.Int64
	// sawCallerKey is set if a request ever carried the caller's key, which nodes must remove.
	sawCallerKey atomic.Bool
	// runsByIdempotencyKey maps each idempotency key, a string, to an *atomic.Int64 that counts its executions.
	runsByIdempotencyKey sync.Map
	// exitClient sends the calls of /chain.
	exitClient      *http.Client
	noAnnouncements bool
	draining        atomic.Bool
}

func main() {
	s := &backendServer{}
	app := kingpin.New("backend", "A stand-in backend server.")
	app.Flag("address", "IP address and port to listen on.").Required().StringVar(&s.address)
	app.Flag("node", "Address of the node's listener for this backend server.").Required().StringVar(&s.nodeAddress)
	app.Flag("slots", "Number of concurrent requests to announce.").Default("16").IntVar(&s.slots)
	app.Flag("work", "Time that each request takes before it is answered.").Default("0s").DurationVar(&s.serviceTime)
	app.Flag("next", "Service that /chain calls.").StringVar(&s.nextService)
	app.Flag("mute", "Send no announcements to the node.").BoolVar(&s.noAnnouncements)
	app.Flag("next-address", "Address that /chain calls directly, without a node; overrides --next.").StringVar(&s.nextAddress)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := s.run(ctx); err != nil {
		log.Print(err)
	}
}

// run serves and announces the backend server until the context ends.
func (s *backendServer) run(ctx context.Context) error {
	proxy := &url.URL{Scheme: "http", Host: s.nodeAddress}
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	if s.nextAddress == "" {
		transport.Proxy = http.ProxyURL(proxy)
	}
	s.exitClient = &http.Client{Transport: transport}
	if !s.noAnnouncements {
		go s.announce(ctx)
	}
	h := &http.Server{Addr: s.address, Handler: s.handler(), ReadHeaderTimeout: time.Second}
	context.AfterFunc(ctx, func() { _ = h.Close() })
	return h.ListenAndServe()
}

// announce repeats the announcement until the context ends; it pauses while the server drains.
func (s *backendServer) announce(ctx context.Context) {
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	for {
		if !s.draining.Load() {
			s.announceOnce(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (s *backendServer) announceOnce(ctx context.Context) {
	body, err := json.Marshal(map[string]any{"address": s.address, "slots": s.slots})
	if err != nil {
		return
	}
	s.postToNode(ctx, "/figpier/announce", body)
}

// postToNode posts a body to a path of the node. Failures are ignored; a lost announcement is repeated, a lost drain is not.
func (s *backendServer) postToNode(ctx context.Context, path string, body []byte) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.nodeAddress+path, bytes.NewReader(body))
	if err != nil {
		return
	}
	answer, err := http.DefaultClient.Do(r)
	if err == nil {
		_ = answer.Body.Close()
	}
}

func (s *backendServer) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("/count", s.handleCount)
	m.HandleFunc("/drain", s.handleDrain)
	m.HandleFunc("/chain", s.withAccounting(s.handleChain))
	m.HandleFunc("/stream", s.withAccounting(s.handleStream))
	m.HandleFunc("/", s.withAccounting(s.handleEcho))
	return m
}

// withAccounting counts the execution, records whether the request carries the caller's key, and waits for the service time
// before it calls next.
func (s *backendServer) withAccounting(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.runs.Add(1)
		if k := r.Header.Get(figpier.HeaderIdempotencyKey); k != "" {
			n, _ := s.runsByIdempotencyKey.LoadOrStore(k, &atomic.Int64{})
			n.(*atomic.Int64).Add(1)
		}
		if r.Header.Get(figpier.HeaderKey) != "" {
			s.sawCallerKey.Store(true)
		}
		t := time.NewTimer(s.serviceTime)
		defer t.Stop()
		select {
		case <-t.C:
		case <-r.Context().Done():
			return
		}
		next(w, r)
	}
}

// handleCount returns the counters as JSON.
func (s *backendServer) handleCount(w http.ResponseWriter, _ *http.Request) {
	byKey := map[string]int64{}
	s.runsByIdempotencyKey.Range(func(k, n any) bool {
		byKey[k.(string)] = n.(*atomic.Int64).Load()
		return true
	})
	_ = json.NewEncoder(w).Encode(map[string]any{"runs": s.runs.Load(), "sawKey": s.sawCallerKey.Load(), "byKey": byKey})
}

// handleDrain stops the announcements and tells the node that the server drains.
func (s *backendServer) handleDrain(w http.ResponseWriter, r *http.Request) {
	s.draining.Store(true)
	s.postToNode(r.Context(), "/figpier/drain", nil)
	w.WriteHeader(http.StatusNoContent)
}

// handleEcho sends the request body back as it arrives, followed by its length in the trailer X-Length.
func (s *backendServer) handleEcho(w http.ResponseWriter, r *http.Request) {
	_ = http.NewResponseController(w).EnableFullDuplex()
	w.Header().Set("Trailer", "X-Length")
	n, err := io.Copy(w, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Length", strconv.FormatInt(n, 10))
}

// handleStream writes a line every 100 ms until the caller disconnects.
func (s *backendServer) handleStream(w http.ResponseWriter, r *http.Request) {
	tick := time.NewTicker(announceInterval / 3)
	defer tick.Stop()
	for {
		if _, err := w.Write([]byte("tick\n")); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-tick.C:
		}
	}
}

// nextURL returns the URL, without a path, that /chain calls.
func (s *backendServer) nextURL() string {
	if s.nextAddress != "" {
		return "http://" + s.nextAddress
	}
	return "http://" + s.nextService + figpier.ExitSuffix
}

// handleChain calls the path in the parameter "then" at the next service, with the request's method and body, and passes
// the answer on.
func (s *backendServer) handleChain(w http.ResponseWriter, r *http.Request) {
	target := s.nextURL() + r.URL.Query().Get("then")
	out, err := http.NewRequestWithContext(r.Context(), r.Method, target, r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	out.Header.Set(figpier.HeaderCall, r.Header.Get(figpier.HeaderCall))
	if k := r.Header.Get(figpier.HeaderIdempotencyKey); k != "" {
		out.Header.Set(figpier.HeaderIdempotencyKey, k)
	}
	response, err := s.exitClient.Do(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = response.Body.Close() }()
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	if _, err := io.Copy(flushingWriter{w}, response.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// flushingWriter flushes after each write, so that the caller gets each part of an answer as it comes.
type flushingWriter struct{ http.ResponseWriter }

// Write implements io.Writer.
func (f flushingWriter) Write(b []byte) (int, error) {
	n, err := f.ResponseWriter.Write(b)
	if err == nil {
		err = http.NewResponseController(f.ResponseWriter).Flush()
	}
	return n, err
}
