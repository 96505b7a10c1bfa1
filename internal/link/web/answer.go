package web

import (
	"net/http"
	"strconv"
	"time"

	"github.com/figpier/figpier"
)

// headerRetryAfterMillis carries a refusal's retry delay in milliseconds between nodes.
const headerRetryAfterMillis = figpier.HeaderPrefix + "Retry-After-Ms"

// StreamAnswer streams an answer to the caller with its headers unchanged. It returns an error if the answer breaks off or
// can't be written.
func StreamAnswer(w http.ResponseWriter, a *figpier.Answer) error {
	h := w.Header()
	for name, values := range a.Header() {
		h[name] = values
	}
	if _, hasType := a.Header()["Content-Type"]; !hasType {
		// Without an entry net/http guesses the type from the body.
		h["Content-Type"] = nil
	}
	if a.Length() >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.Length(), 10))
	}
	w.WriteHeader(a.Status())
	if a.Length() < 0 {
		// Send the head at once: the first part of a stream may come much later.
		if err := http.NewResponseController(w).Flush(); err != nil {
			return err
		}
	}
	return stream(w, a.Body(), a.Length())
}

// WriteRefusalHeaders answers another node with a refusal, which is written in headers without a body.
func WriteRefusalHeaders(w http.ResponseWriter, r *figpier.Refusal) {
	h := w.Header()
	h.Set(figpier.HeaderRefusal, string(r.Reason()))
	if r.NotRun() {
		h.Set(figpier.HeaderNotRun, figpier.NotRunMark)
	}
	if r.RetryAfter() > 0 {
		h.Set(headerRetryAfterMillis, strconv.FormatInt(r.RetryAfter().Milliseconds(), 10))
	}
	h["Content-Type"] = nil
	h.Set("Content-Length", "0")
	w.WriteHeader(r.Status())
}

// ParseRefusalHeaders parses a refusal that WriteRefusalHeaders wrote, and returns false if the answer is not a refusal. A refusal without
// the not-run mark counts as one whose request may have run.
func ParseRefusalHeaders(h http.Header) (*figpier.Refusal, bool) {
	reason := h.Get(figpier.HeaderRefusal)
	if reason == "" {
		return nil, false
	}
	notRun := h.Get(figpier.HeaderNotRun) == figpier.NotRunMark
	c := figpier.RefusalConfig{
		Reason:       figpier.RefusalReason(reason),
		MayHaveRun:   !notRun,
		ProvenNotRun: notRun,
	}
	if ms, err := strconv.Atoi(h.Get(headerRetryAfterMillis)); err == nil {
		c.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	return figpier.NewRefusal(c), true
}
