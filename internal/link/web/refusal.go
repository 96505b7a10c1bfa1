package web

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/wire/message"
)

// AsRefusal returns the refusal in an error's chain. Any other error becomes a figpier.RefusalPeerFailed, because the
// outcome of the request is unknown.
func AsRefusal(err error) *figpier.Refusal {
	var r *figpier.Refusal
	if errors.As(err, &r) {
		return r
	}
	return figpier.NewRefusal(figpier.RefusalConfig{Reason: figpier.RefusalPeerFailed, Detail: err.Error()})
}

// earlyRefusalTimeout bounds a request that is refused before its deadline is known.
const earlyRefusalTimeout = 5 * time.Second

// RefuseEarly writes a refusal of a request whose deadline is not known yet.
func RefuseEarly(w http.ResponseWriter, r *figpier.Refusal) {
	defer SetRequestDeadline(w, earlyRefusalTimeout)()
	WriteRefusal(w, r)
}

// WriteRefusal answers a caller with a refusal, both in headers and as a JSON body. Retry-After is in whole seconds,
// rounded up.
func WriteRefusal(w http.ResponseWriter, r *figpier.Refusal) {
	h := w.Header()
	h.Set(figpier.HeaderRefusal, string(r.Reason()))
	if r.NotRun() {
		h.Set(figpier.HeaderNotRun, figpier.NotRunMark)
	}
	if r.RetryAfter() > 0 {
		seconds := int(math.Ceil(r.RetryAfter().Seconds()))
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
	h.Set("Content-Type", "application/json")
	w.WriteHeader(r.Status())
	body := message.Refusal{Reason: string(r.Reason()), Message: r.Error(), NotRun: r.NotRun()}
	_ = json.NewEncoder(w).Encode(body)
}
