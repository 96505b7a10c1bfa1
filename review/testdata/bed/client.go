package bed

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Outcome is what a client or a calling upstream saw of one attempt.
type Outcome struct {
	// Sent is when the last byte of the request was sent, and Ended when the answer or the connection ended.
	Sent  time.Time
	Ended time.Time
	// Status is 0 if the connection ended without the head of an answer.
	Status    int
	Signature string
	// Whole means that the answer was complete.
	Whole bool
	Body  string
	Err   error
}

// String returns the outcome for the record.
func (o Outcome) String() string {
	if o.Status == 0 {
		return fmt.Sprintf("no answer after %.3f s: %v", o.Ended.Sub(o.Sent).Seconds(), o.Err)
	}
	return fmt.Sprintf("status %d, signature %q, whole %t, after %.3f s", o.Status, o.Signature, o.Whole, o.Ended.Sub(o.Sent).Seconds())
}

// Head returns the head of a request without its final empty line.
func Head(method, target, host, attempt string, deadline time.Duration, more ...string) string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, target, host, attempt, deadline.Milliseconds())
	for _, line := range more {
		head += line + "\r\n"
	}
	return head
}

// KeyHeader is the header line with the tenant's key.
const KeyHeader = "Authorization: Token " + Key

// Request sends a request without a body on a new connection and reads the answer, for at most the deadline and a second.
func Request(address, head string, deadline time.Duration) Outcome {
	var o Outcome
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		now := time.Now()
		return Outcome{Sent: now, Ended: now, Err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline + time.Second))
	if _, err := io.WriteString(c, head+"\r\n"); err != nil {
		now := time.Now()
		return Outcome{Sent: now, Ended: now, Err: err}
	}
	o.Sent = time.Now()
	o.Read(bufio.NewReader(c))
	return o
}

// Read reads an answer into the outcome.
func (o *Outcome) Read(r *bufio.Reader) {
	defer func() { o.Ended = time.Now() }()
	answer, err := http.ReadResponse(r, nil)
	if err != nil {
		o.Err = err
		return
	}
	defer answer.Body.Close()
	o.Status, o.Signature = answer.StatusCode, answer.Header.Get("X-Server-Signature")
	body, err := io.ReadAll(answer.Body)
	o.Whole, o.Body, o.Err = err == nil, string(body), err
}
