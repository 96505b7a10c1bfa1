package web

import (
	"context"
	"net/http"
	"sync"

	"github.com/figpier/figpier"
)

const (
	// ordinaryBytes is the memory that the requests on one connection may take without a reservation: a long head with 64 lines.
	ordinaryBytes = 32 << 10
	// headerLineBytes is the memory that a header line takes beyond its text: an entry in the header of the request that was received,
	// and one in that of the request that is passed on.
	headerLineBytes = 256
)

// account estimates the memory that the requests on one connection take, and reserves what exceeds ordinaryBytes.
type account struct {
	memory figpier.RequestMemory

	mu       sync.Mutex // guards the fields below
	used     int64
	reserved int64
	closed   bool
}

// add changes the estimate by a number of bytes. It returns false, and changes nothing, if no memory is left for more.
func (a *account) add(n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return n <= 0
	}
	wanted := max(0, a.used+n-ordinaryBytes)
	switch {
	case wanted > a.reserved && !a.memory.Reserve(wanted-a.reserved):
		return false
	case wanted < a.reserved:
		a.memory.Free(a.reserved - wanted)
	}
	a.used += n
	a.reserved = wanted
	return true
}

// extraordinary reports whether the requests need a reservation.
func (a *account) extraordinary() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reserved > 0
}

// close frees the reservation for good.
func (a *account) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	a.memory.Free(a.reserved)
	a.reserved = 0
}

// requestAccount is the part of one request in the account of its connection.
type requestAccount struct {
	connection *account

	mu   sync.Mutex // guards used
	used int64
}

// add adds to the estimate of the request, and returns false if no memory is left for more.
func (r *requestAccount) add(n int64) bool {
	if !r.connection.add(n) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.used += n
	return true
}

// release removes the request from the account of its connection.
func (r *requestAccount) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connection.add(-r.used)
	r.used = 0
}

// headerBytes returns the estimate for a header.
func headerBytes(h http.Header) int64 {
	total := 0
	for name, values := range h {
		for _, v := range values {
			total += len(name) + len(v) + headerLineBytes
		}
	}
	return int64(total)
}

// accountKey is the key of a request's account in its context.
type accountKey struct{}

// countRequests returns a handler that counts the memory of each request until it has been served. It aborts a request for which none is
// left. It closes a connection after a request that needed a reservation, so that an idle connection keeps none.
func countRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*serverConn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		a := &requestAccount{connection: &c.account}
		defer a.release()
		if c.readsHeads && r.ProtoMajor == 1 {
			c.beginRequest()
		} else if !a.add(headerBytes(r.Header)) {
			panic(http.ErrAbortHandler)
		}
		if r.ProtoMajor == 1 && c.account.extraordinary() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), accountKey{}, a)))
	})
}

// reserveBuffer reports whether a request may buffer a number of bytes until it has been served.
func reserveBuffer(ctx context.Context, n int64) bool {
	a, ok := ctx.Value(accountKey{}).(*requestAccount)
	return !ok || a.add(n)
}
