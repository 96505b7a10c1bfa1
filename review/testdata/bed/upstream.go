package bed

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Upstream stands in for the application upstream of a node's machine. It serves one request at a time on a connection, answers 421
// to a request that names another instance, and leaves the rest to Run.
type Upstream struct {
	Node *Node
	ID   string
	Born time.Time
	// Run serves a request on its connection, and returns whether the connection stays open.
	Run func(u *Upstream, c *Conn, r *http.Request) (open bool)

	listener net.Listener

	mu       sync.Mutex
	sequence int
	stop     chan struct{}
	conns    map[net.Conn]struct{}
}

// Conn is a connection to an upstream.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
}

// StartUpstream starts an upstream beside a node. It does not send heartbeats yet.
func (b *Bed) StartUpstream(n *Node, id string, run func(u *Upstream, c *Conn, r *http.Request) bool) *Upstream {
	u := &Upstream{Node: n, ID: id, Born: time.Now(), Run: run, stop: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	l, err := net.Listen("tcp", net.JoinHostPort(n.IP, PortUpstream))
	if err != nil {
		b.Fail("%v", err)
	}
	u.listener = l
	go u.accept()
	b.Note("upstream %s of %s started beside %s", id, n.Service, n.Name)
	return u
}

func (u *Upstream) accept() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns[c] = struct{}{}
		u.mu.Unlock()
		go u.serve(&Conn{Conn: c, Reader: bufio.NewReader(c)})
	}
}

func (u *Upstream) serve(c *Conn) {
	defer func() {
		_ = c.Close()
		u.mu.Lock()
		delete(u.conns, c.Conn)
		u.mu.Unlock()
	}()
	for {
		r, err := http.ReadRequest(c.Reader)
		if err != nil {
			return
		}
		if r.Header.Get("X-Expected-Instance") != u.ID {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", r.Header.Get("X-Attempt-Id"))
			return
		}
		if !u.Run(u, c, r) {
			return
		}
	}
}

// Signature is what the upstream's answers carry.
func (u *Upstream) Signature(r *http.Request) string {
	return u.ID + "." + r.Header.Get("X-Attempt-Id")
}

// Answer writes a whole answer with the upstream's signature.
func (u *Upstream) Answer(c *Conn, r *http.Request, status, body string) error {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\nX-Server-Signature: %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		status, r.Header.Get("X-Attempt-Id"), u.Signature(r), len(body), body)
	return err
}

// HeartbeatBody returns the body of the next heartbeat.
func (u *Upstream) HeartbeatBody(state string) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	return fmt.Sprintf(`{"service":%q,"address":"%s","zone":%q,"version":"v1","slots":72,"state":%q,"warmup_remaining":"0ms","sequence":%d,"born":%d}`,
		u.Node.Service, net.JoinHostPort(u.Node.IP, PortUpstream), u.Node.Zone, state, u.sequence, u.Born.UnixMilli())
}

func (u *Upstream) url() string {
	return "http://" + net.JoinHostPort(u.Node.IP, portControl) + "/figpier/instances/" + u.ID
}

// Send sends the body of a heartbeat, and returns the status of the answer, 0 for none.
func (u *Upstream) Send(body string) int {
	status, _ := ask(http.MethodPut, u.url(), body)
	return status
}

// Delete deregisters the upstream, and returns the status of the answer, 0 for none.
func (u *Upstream) Delete() int {
	status, _ := ask(http.MethodDelete, u.url(), fmt.Sprintf(`{"born":%d}`, u.Born.UnixMilli()))
	return status
}

// Beat sends heartbeats as a ready upstream until StopBeating.
func (u *Upstream) Beat() {
	for {
		u.Send(u.HeartbeatBody("ready"))
		select {
		case <-u.stop:
			return
		case <-time.After(Heartbeat):
		}
	}
}

// StopBeating ends Beat.
func (u *Upstream) StopBeating() { close(u.stop) }

// Exit ends the upstream: it closes its listener and all connections.
func (u *Upstream) Exit() {
	_ = u.listener.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.conns {
		_ = c.Close()
	}
}

// Idle waits for a time, and returns false as soon as the other end closes the connection.
func (c *Conn) Idle(d time.Duration) bool {
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	if err := c.SetReadDeadline(time.Now().Add(d)); err != nil {
		return false
	}
	_, err := c.Reader.Peek(1)
	var timeout net.Error
	return err == nil || errors.As(err, &timeout) && timeout.Timeout()
}
