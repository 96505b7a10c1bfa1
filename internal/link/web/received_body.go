package web

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// ReceivedBody is the body of a received request, which one goroutine may pass on while another answers the request. It keeps the HTTP
// server from reading and discarding bytes of the body between two reads of the first goroutine.
type ReceivedBody struct {
	io.ReadCloser
	started atomic.Bool
	ended   atomic.Bool
	sealed  atomic.Bool
	reading sync.Mutex // held during a read
}

// ReceiveBody replaces the body of a received request by a ReceivedBody, and returns it.
func ReceiveBody(r *http.Request) *ReceivedBody {
	b := &ReceivedBody{ReadCloser: r.Body}
	b.ended.Store(r.ContentLength == 0)
	r.Body = b
	return b
}

// errSealed reports a read of a body whose request has been refused or answered.
var errSealed = Error.New("the request has been refused or answered before its body was read")

// Read implements io.Reader. It fails once the body is sealed.
func (b *ReceivedBody) Read(p []byte) (int, error) {
	b.started.Store(true)
	b.reading.Lock()
	defer b.reading.Unlock()
	if b.sealed.Load() {
		return 0, errSealed
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.ended.Store(true)
	}
	return n, err
}

// Close implements io.Closer. It leaves the body to the HTTP server, which closes it when the handler returns: a close reads what is left.
func (b *ReceivedBody) Close() error { return nil }

// PrepareAnswer prepares for an answer that may begin before the body has been read to its end. On HTTP/1.1 the connection is then
// closed after the answer, because the rest of the body must not be read as another request.
func (b *ReceivedBody) PrepareAnswer(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor > 1 || b.ended.Load() {
		return
	}
	_ = http.NewResponseController(w).EnableFullDuplex()
	w.Header().Set("Connection", "close")
}

// PrepareRefusal prepares for a refusal: nothing more of the body is passed on. The connection is kept if no one has begun to read the
// body, which the HTTP server may then discard.
func (b *ReceivedBody) PrepareRefusal(w http.ResponseWriter, r *http.Request) {
	b.sealed.Store(true)
	if b.started.Load() {
		b.PrepareAnswer(w, r)
	}
}

// End lets no one read on. Each handler defers it. If the handler panics, which ends the connection in the middle of its answer, End also
// interrupts a read in progress and waits for it: the HTTP server waits for ever to close a connection on which another goroutine reads the
// end of a body meanwhile. After a whole answer the HTTP server discards what is left of the body, which an interrupted read would prevent.
func (b *ReceivedBody) End(w http.ResponseWriter) {
	b.sealed.Store(true)
	cause := recover()
	if cause == nil {
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	b.reading.Lock()
	defer b.reading.Unlock()
	panic(cause)
}
