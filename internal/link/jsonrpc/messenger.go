package jsonrpc

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/zeebo/errs"

	"github.com/figpier/figpier"
)

// Error is the class of errors of this package.
var Error = errs.Class("messenger")

// codeHandlerFailed is the JSON-RPC error code for an error that a handler returned.
const codeHandlerFailed = 1

// RemoteError is an error that the other process answered with: its handler's error, or that it has no such method.
type RemoteError struct {
	text string
}

// Error implements error.
func (e *RemoteError) Error() string { return e.text }

// Config holds the settings of a Messenger.
type Config struct {
	// Address is the IP address and port to listen on, empty for a messenger that only sends.
	Address string
	// ServerTLS is the listener's TLS configuration, nil for plain TCP.
	ServerTLS *tls.Config
	// ClientTLS is the TLS configuration for connections to other processes, nil for plain TCP.
	ClientTLS *tls.Config
	// AnswerTimeout bounds a request whose context has no deadline.
	AnswerTimeout time.Duration
	// Compress compresses the connections that this messenger opens. Each takes some 2 MB at both ends for it.
	Compress bool
}

// Messenger implements figpier.Messenger with one connection to each address. Both ends of a connection may send requests.
type Messenger struct {
	config Config
	// handlers is guarded by mu too.
	handlers map[figpier.Method]figpier.MessageHandler
	listener net.Listener
	// ctx ends with the service, and the outgoing connections with it.
	ctx   context.Context
	bytes byteCounts

	mu sync.Mutex
	// outgoing holds the connections that this process opened, by address.
	outgoing map[string]*outgoingConn
	// incoming holds the connections that other processes opened.
	incoming map[*jsonrpc2.Conn]struct{}
}

// New returns a messenger; Start opens its listener.
func New(c Config) *Messenger {
	return &Messenger{
		config:   c,
		handlers: map[figpier.Method]figpier.MessageHandler{},
		outgoing: map[string]*outgoingConn{},
		incoming: map[*jsonrpc2.Conn]struct{}{},
	}
}

// Name implements figpier.Service.
func (m *Messenger) Name() figpier.ServiceName { return figpier.MessengerService }

// Handle implements figpier.Messenger.
func (m *Messenger) Handle(method figpier.Method, h figpier.MessageHandler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handlers[method] = h
}

// Start implements figpier.Service.
func (m *Messenger) Start(ctx context.Context, d figpier.Directory) error {
	m.ctx = ctx
	m.bytes.start(d)
	if m.config.Address == "" {
		return nil
	}
	l, err := listen(ctx, m.config)
	if err != nil {
		return Error.Wrap(err)
	}
	m.listener = l
	go m.accept(ctx)
	context.AfterFunc(ctx, func() { m.close() })
	return nil
}

func listen(ctx context.Context, c Config) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", c.Address)
	if err != nil || c.ServerTLS == nil {
		return l, err
	}
	return tls.NewListener(l, c.ServerTLS), nil
}

// Stop implements figpier.Service.
func (m *Messenger) Stop(context.Context) error {
	m.close()
	return nil
}

func (m *Messenger) close() {
	if m.listener != nil {
		_ = m.listener.Close()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.outgoing {
		_ = c.Close()
	}
	for c := range m.incoming {
		_ = c.Close()
	}
}

func (m *Messenger) accept(ctx context.Context) {
	for {
		c, err := m.listener.Accept()
		if err != nil {
			return
		}
		m.serve(ctx, c)
	}
}

// serve answers the requests on an accepted connection until it is closed, each in a goroutine of its own.
func (m *Messenger) serve(ctx context.Context, c net.Conn) {
	stream := jsonrpc2.NewBufferedStream(&acceptedConn{Conn: boundedConn{c}}, jsonrpc2.VarintObjectCodec{})
	h := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(m.dispatch))
	conn := jsonrpc2.NewConn(ctx, stream, h, jsonrpc2.SetLogger(log.Default()))
	m.mu.Lock()
	m.incoming[conn] = struct{}{}
	m.mu.Unlock()
	go func() {
		<-conn.DisconnectNotify()
		m.mu.Lock()
		delete(m.incoming, conn)
		m.mu.Unlock()
	}()
}

// dispatch passes a request to the handler of its method.
func (m *Messenger) dispatch(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	m.mu.Lock()
	h, ok := m.handlers[figpier.Method(r.Method)]
	m.mu.Unlock()
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method}
	}
	answer, err := h(ctx, func(message any) error {
		if r.Params == nil {
			return Error.New("%s: message without content", r.Method)
		}
		return Error.Wrap(json.Unmarshal(*r.Params, message))
	})
	if err != nil {
		return nil, &jsonrpc2.Error{Code: codeHandlerFailed, Message: err.Error()}
	}
	return answer, nil
}

// Request implements figpier.Messenger. After a failure of the connection, or a timeout in which nothing came over it, it closes
// the connection, so that the next request opens a new one; it keeps it if the caller cancelled the request, if the other process
// answered with an error, or if only this request had no answer, as others share the connection.
func (m *Messenger) Request(ctx context.Context, address string, method figpier.Method, message, answer any) error {
	if _, bounded := ctx.Deadline(); !bounded {
		c, cancel := context.WithTimeout(ctx, m.config.AnswerTimeout)
		defer cancel()
		ctx = c
	}
	conn, err := m.connection(ctx, address)
	if err != nil {
		return err
	}
	question, err := json.Marshal(message)
	if err != nil {
		return Error.Wrap(err)
	}
	var result json.RawMessage
	receivedBefore := conn.received.Load()
	err = conn.Call(ctx, string(method), json.RawMessage(question), &result)
	m.bytes.add(method, address, len(question), len(result))
	if err == nil && len(result) == 0 {
		return Error.New("%s to %s: an answer without content", method, address)
	}
	if err == nil {
		return Error.Wrap(json.Unmarshal(result, answer))
	}
	var remote *jsonrpc2.Error
	if errors.As(err, &remote) {
		return &RemoteError{text: remote.Message}
	}
	switch {
	case errors.Is(err, context.Canceled):
	case errors.Is(err, context.DeadlineExceeded) && conn.received.Load() > receivedBefore:
	default:
		m.closeOutgoing(address, conn)
	}
	return Error.New("%s to %s: %w", method, address, err)
}

// outgoingConn is a connection that this process opened.
type outgoingConn struct {
	*jsonrpc2.Conn
	// received is the number of bytes that came over it.
	received *atomic.Int64
}

// receivingConn counts the bytes that it receives.
type receivingConn struct {
	net.Conn
	received *atomic.Int64
}

// Read implements net.Conn.
func (c receivingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// connection returns the open connection to an address, or opens one.
func (m *Messenger) connection(ctx context.Context, address string) (*outgoingConn, error) {
	m.mu.Lock()
	conn, ok := m.outgoing[address]
	m.mu.Unlock()
	if ok {
		return conn, nil
	}
	c, err := dial(ctx, address, m.config.ClientTLS)
	if err != nil {
		return nil, figpier.NewUnreachedError(address, err)
	}
	c = boundedConn{m.bytes.link.Conn(address, c)}
	if !m.config.Compress {
		return m.addOutgoing(address, c), nil
	}
	compressed, err := openCompressed(c)
	if err != nil {
		_ = c.Close()
		return nil, figpier.NewUnreachedError(address, err)
	}
	return m.addOutgoing(address, compressed), nil
}

func dial(ctx context.Context, address string, t *tls.Config) (net.Conn, error) {
	if t == nil {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	return (&tls.Dialer{Config: t}).DialContext(ctx, "tcp", address)
}

// addOutgoing starts using an opened connection for its address. If another goroutine was first to open one, it closes c
// and returns that one.
func (m *Messenger) addOutgoing(address string, c net.Conn) *outgoingConn {
	m.mu.Lock()
	defer m.mu.Unlock()
	if other, ok := m.outgoing[address]; ok {
		_ = c.Close()
		return other
	}
	received := &atomic.Int64{}
	stream := jsonrpc2.NewBufferedStream(receivingConn{Conn: c, received: received}, jsonrpc2.VarintObjectCodec{})
	h := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(m.dispatch))
	conn := &outgoingConn{Conn: jsonrpc2.NewConn(m.ctx, stream, h, jsonrpc2.SetLogger(log.Default())), received: received}
	m.outgoing[address] = conn
	go func() {
		<-conn.DisconnectNotify()
		m.closeOutgoing(address, conn)
	}()
	return conn
}

// closeOutgoing closes a connection, and removes it unless a newer one to the address has taken its place.
func (m *Messenger) closeOutgoing(address string, conn *outgoingConn) {
	m.mu.Lock()
	if m.outgoing[address] == conn {
		delete(m.outgoing, address)
	}
	m.mu.Unlock()
	_ = conn.Close()
}
