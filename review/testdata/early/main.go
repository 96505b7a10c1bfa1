// Command early has one of two upstreams answer some long requests before it has read them, and checks the rest of the bodies that it
// then reads.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"sync"
	"time"

	"github.com/figpier/figpier/review/testdata/bed"
)

const (
	clients   = 4
	perClient = 300
	// longEvery is how many requests of a client lie from one long request to the next.
	longEvery  = 20
	longBytes  = 1 << 20
	shortBytes = 1200
	// earlyShare is the share of its answers that the faulty upstream sends early.
	earlyShare = 0.02
	// pieceBytes and pieceGap make a client send some 3 MB a second.
	pieceBytes = 32 << 10
	pieceGap   = 10 * time.Millisecond
	// answerBytes is within the sizes of answers of a small deployment.
	answerBytes = 20000
	wordBytes   = 8
	deadline    = 5 * time.Second
)

// readBefore are the amounts of a body that the faulty upstream reads before an early answer, in turn.
var readBefore = []int{64 << 10, longBytes - 128<<10}

// word returns the bytes of a body at a multiple of wordBytes, which no other place of the body has.
func word(offset int) string { return fmt.Sprintf("%07d\n", offset/wordBytes) }

// server is an upstream that checks the bodies that it reads.
type server struct {
	bed    *bed.Bed
	faulty bool

	mu      sync.Mutex
	answers int
	early   int
	wrong   int
	// whole is how many of the wrong bodies ended like whole ones.
	whole int
}

func main() {
	b := bed.New()
	b.StartControls(3)
	entry := b.StartNode("sidecar-1", "huvo11a", "zone-1")
	nodes := []*bed.Node{b.StartNode("sidecar-2", "wuno96b", "zone-2"), b.StartNode("sidecar-3", "wuno96b", "zone-2")}
	b.Configure(
		[]string{bed.Route("r-upload", "jepu9.example", "/puka111/", "non_idempotent", deadline, "wuno96b", false)},
		[]string{bed.Service("huvo11a"), bed.Service("wuno96b")},
	)
	servers := []*server{{bed: b, faulty: b.Trouble}, {bed: b}}
	for i, n := range nodes {
		go b.StartUpstream(n, fmt.Sprintf("i-7f3a91c%d", i+1), servers[i].run).Beat()
		n.AwaitReady()
	}
	entry.AwaitReady()
	warmUps := 0
	served := bed.Await(20*time.Second, func() bool {
		warmUps++
		upload(b, entry.Outbound(), fmt.Sprintf("%08x%08x", 0, warmUps), shortBytes)
		return servers[0].count() > 0 && servers[1].count() > 0
	})
	if !served {
		b.Fail("the route is not served by both upstreams")
	}
	var group sync.WaitGroup
	for c := range clients {
		group.Go(func() {
			for i := range perClient {
				attempt, length := fmt.Sprintf("%08x%08x", c+1, i+1), shortBytes
				if i%longEvery == longEvery-1 {
					length = longBytes
				}
				o := upload(b, entry.Outbound(), attempt, length)
				b.Note("client: attempt %s of %d bytes: %v", attempt, length, o)
			}
		})
	}
	group.Wait()
	time.Sleep(time.Second)
	wrong := 0
	for i, s := range servers {
		b.Note("upstream %d: %d answers, %d of them early, %d bodies with other bytes than the client had sent there, %d of which ended like whole ones", i+1, s.answers, s.early, s.wrong, s.whole)
		wrong += s.wrong
	}
	if b.Trouble && servers[0].early == 0 {
		b.Fail("no long request came to the faulty upstream")
	}
	b.End(wrong > 0)
}

func (s *server) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answers
}

// countAnswer counts an answer, and returns whether to send it early, and after how much of the body.
func (s *server) countAnswer(long bool) (early bool, after int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers++
	if !s.faulty || !long || float64(s.early+1) > earlyShare*float64(s.answers) {
		return false, 0
	}
	s.early++
	return true, readBefore[s.early%len(readBefore)]
}

// run reads a request's body and answers it, the answer coming first if it is an early one. A body of a long request is in chunks.
func (s *server) run(u *bed.Upstream, c *bed.Conn, r *http.Request) bool {
	attempt, long := r.Header.Get("X-Attempt-Id"), r.ContentLength < 0
	body := &checkedBody{reader: r.Body}
	early, after := s.countAnswer(long)
	if early {
		body.read(after)
		err := u.Answer(c, r, "413 Content Too Large", strings.Repeat("a", answerBytes))
		s.bed.Note("upstream %s: attempt %s: answered 413 after %d bytes of the body: %v", u.ID, attempt, body.offset, err)
	}
	body.read(longBytes + 1)
	if body.found != "" {
		s.mu.Lock()
		s.wrong++
		if body.err == io.EOF {
			s.whole++
		}
		s.mu.Unlock()
		s.bed.Note("upstream %s: attempt %s: where byte %d of the body was due, it read %q instead of %q", u.ID, attempt, body.wrongAt, body.found, word(body.wrongAt))
	}
	s.bed.Note("upstream %s: attempt %s: read %d bytes of the body, then %v", u.ID, attempt, body.offset, body.err)
	if early {
		return body.err == io.EOF
	}
	return body.err == io.EOF && u.Answer(c, r, "200 OK", strings.Repeat("a", answerBytes)) == nil
}

// checkedBody compares a body with what the client sent.
type checkedBody struct {
	reader io.Reader
	offset int
	err    error
	// found are the first bytes that were not the client's, at wrongAt.
	found   string
	wrongAt int
}

// read reads up to an offset, or to the end or an error.
func (c *checkedBody) read(end int) {
	buffer := make([]byte, wordBytes)
	for c.offset < end && c.err == nil {
		if _, c.err = io.ReadFull(c.reader, buffer); c.err != nil {
			return
		}
		if c.found == "" && string(buffer) != word(c.offset) {
			c.found, c.wrongAt = string(buffer), c.offset
		}
		c.offset += wordBytes
	}
}

// upload sends a request on a new connection and reads the answer. Long bodies go in chunks, until the connection is closed.
func upload(b *bed.Bed, address, attempt string, length int) bed.Outcome {
	var o bed.Outcome
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return bed.Outcome{Sent: time.Now(), Ended: time.Now(), Err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline + time.Second))
	o.Sent = time.Now()
	framing := fmt.Sprintf("Content-Length: %d", length)
	if length == longBytes {
		framing = "Transfer-Encoding: chunked"
	}
	head := bed.Head("POST", "/puka111/upload", "jepu9.example", attempt, deadline, bed.KeyHeader, framing)
	if _, err := io.WriteString(c, head+"\r\n"); err != nil {
		return bed.Outcome{Sent: time.Now(), Ended: time.Now(), Err: err}
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		if length == longBytes {
			sendChunks(b, c, attempt, length)
			return
		}
		_, _ = c.Write(bodyText(0, length))
	}()
	o.Read(bufio.NewReader(c))
	<-sent
	return o
}

func bodyText(offset, end int) []byte {
	var text []byte
	for ; offset < end; offset += wordBytes {
		text = append(text, word(offset)...)
	}
	return text
}

func sendChunks(b *bed.Bed, c net.Conn, attempt string, length int) {
	chunks := httputil.NewChunkedWriter(c)
	for offset := 0; offset < length; offset += pieceBytes {
		if _, err := chunks.Write(bodyText(offset, offset+pieceBytes)); err != nil {
			b.Note("client: attempt %s: sent some %d bytes of the body, then %v", attempt, offset, err)
			return
		}
		time.Sleep(pieceGap)
	}
	if err := chunks.Close(); err == nil {
		_, _ = io.WriteString(c, "\r\n")
	}
}
