// Command upload shows what becomes of long requests around a planned stop when the upstream pauses while it reads them.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/figpier/figpier/review/testdata/bed"
)

// Names of the day.
const (
	host    = "jepu9.example"
	prefix  = "/puka111/"
	service = "wuno96b"
)

const (
	deadline = 5 * time.Second
	// bodyBytes is the length of a request's body, half of max_body_bytes.
	bodyBytes = 32 << 20
	// readFirst is how much of it the upstream reads before it pauses for pauseTime.
	readFirst = 1 << 20
	pauseTime = 2500 * time.Millisecond
	// sentAfter is when the requests are sent, from the SIGTERM on.
	sentAfter = 300 * time.Millisecond
	requests  = 4
)

func main() {
	b := bed.New()
	b.StartControls(3)
	front := b.StartNode("sidecar-1", "huvo11a", "zone-1")
	stock := b.StartNode("sidecar-2", service, "zone-2")
	run := func(u *bed.Upstream, c *bed.Conn, r *http.Request) bool { return read(b, u, c, r) }
	go b.StartUpstream(front, "i-2b9e55d0", run).Beat()
	go b.StartUpstream(stock, "i-7f3a91c2", run).Beat()
	b.Configure(
		[]string{bed.Route("r-4xbxhc7", host, prefix, "non_idempotent", deadline, service, true)},
		[]string{bed.Service(service), bed.Service("huvo11a")},
	)
	front.AwaitReady()
	served := func() bool { return upload(b, front, fmt.Sprint("warm", time.Now().UnixNano()), 1000).Status == http.StatusOK }
	if !bed.Await(20*time.Second, served) {
		b.Fail("no request was served")
	}
	time.Sleep(bed.Contact + time.Second)

	var group sync.WaitGroup
	group.Go(front.Terminate)
	time.Sleep(sentAfter)
	outcomes := make([]bed.Outcome, requests)
	for i := range outcomes {
		group.Go(func() { outcomes[i] = upload(b, front, fmt.Sprint("book", i), bodyBytes) })
	}
	group.Wait()
	broken := false
	for i, o := range outcomes {
		if !o.Whole || o.Signature == "" {
			b.Note("LOST: book%d was broken off while its upstream was at work", i)
			broken = true
		}
	}
	b.End(broken)
}

// read reads a request at the upstream, with a pause if it is long, and answers it.
func read(b *bed.Bed, u *bed.Upstream, c *bed.Conn, r *http.Request) (open bool) {
	id := r.Header.Get("X-Attempt-Id")
	b.Note("upstream: %s arrives with a body of %d bytes", id, r.ContentLength)
	n, err := io.CopyN(io.Discard, r.Body, min(r.ContentLength, readFirst))
	if b.Trouble && err == nil && r.ContentLength > readFirst {
		b.Note("upstream: %s: reads nothing for %v", id, pauseTime)
		time.Sleep(pauseTime)
	}
	rest, err := io.Copy(io.Discard, r.Body)
	b.Note("upstream: %s: read %d bytes, error %v", id, n+rest, err)
	return err == nil && u.Answer(c, r, "200 OK", "booked") == nil
}

// upload sends a request with a body on a new connection, reads the answer meanwhile, and records the outcome.
func upload(b *bed.Bed, n *bed.Node, id string, length int) (o bed.Outcome) {
	defer func() { b.Note("client: %s: %v", id, o) }()
	o.Sent = time.Now()
	c, err := net.DialTimeout("tcp", n.Outbound(), time.Second)
	if err != nil {
		o.Err, o.Ended = err, time.Now()
		return o
	}
	defer c.Close()
	_ = c.SetDeadline(o.Sent.Add(deadline + time.Second))
	go func() {
		head := bed.Head(http.MethodPost, prefix+"2f", host, id, deadline, fmt.Sprintf("Content-Length: %d", length))
		_, _ = io.WriteString(c, head+"\r\n")
		_, _ = c.Write(make([]byte, length))
	}()
	o.Read(bufio.NewReader(c))
	return o
}
