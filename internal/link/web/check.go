package web

import (
	"net/http"
	"strings"

	"github.com/figpier/figpier"
)

const (
	// maxIdempotencyKeyBytes is the greatest length of an idempotency key.
	maxIdempotencyKeyBytes = 256
	// minSearchedKeyBytes is the least length of a customer key that is searched for in the rest of a request; a shorter
	// one could occur there by chance.
	minSearchedKeyBytes = 8
)

// CheckRequest returns a *figpier.Refusal for a request that must not be passed on: one with an ambiguous path, with a header that
// only the system may set other than the allowed one, or with the customer key in a place that the backend server sees.
func CheckRequest(r *http.Request, allowed string) error {
	if !unambiguousTarget(r) {
		return refuseMalformed("path")
	}
	if name, found := FindReservedHeader(r.Header, allowed); found {
		return refuseReservedHeader(name)
	}
	if name, found := FindReservedHeader(r.Trailer, ""); found {
		return refuseReservedHeader(name)
	}
	idempotencyKeys := r.Header.Values(figpier.HeaderIdempotencyKey)
	if len(idempotencyKeys) > 1 || len(idempotencyKeys) == 1 && len(idempotencyKeys[0]) > maxIdempotencyKeyBytes {
		return refuseMalformed(figpier.HeaderIdempotencyKey)
	}
	return checkKeyNotRepeated(r)
}

func refuseMalformed(detail string) error {
	return figpier.NewRefusal(figpier.RefusalConfig{Reason: figpier.RefusalMalformed, Detail: detail})
}

func refuseReservedHeader(name string) error {
	return figpier.NewRefusal(figpier.RefusalConfig{Reason: figpier.RefusalHeaderReserved, Detail: name})
}

// unambiguousTarget reports whether all servers extract the same path from the request target. An escaped slash or
// backslash is read differently by different servers.
func unambiguousTarget(r *http.Request) bool {
	if r.URL.RawPath == "" {
		return figpier.SafePath(r.URL.Path)
	}
	raw := strings.ToLower(r.URL.RawPath)
	if strings.Contains(raw, "%2f") || strings.Contains(raw, "%5c") {
		return false
	}
	return figpier.SafePath(r.URL.Path)
}

// checkKeyNotRepeated refuses a request that has its customer key also in the path, the query or another header, where the
// backend server would see it.
func checkKeyNotRepeated(r *http.Request) error {
	for _, key := range r.Header[figpier.HeaderKey] {
		if len(key) < minSearchedKeyBytes {
			continue
		}
		if strings.Contains(r.URL.RawQuery, key) || strings.Contains(r.URL.Path, key) || headersContain(r.Header, key) {
			return figpier.NewRefusal(figpier.RefusalConfig{
				Reason: figpier.RefusalKeyMalformed,
				Detail: "the key is also elsewhere in the request",
			})
		}
	}
	return nil
}

func headersContain(h http.Header, key string) bool {
	for name, values := range h {
		if name == figpier.HeaderKey {
			continue
		}
		for _, v := range values {
			if strings.Contains(v, key) {
				return true
			}
		}
	}
	return false
}

// valuesWithoutKeys returns the header values that contain none of the customer keys.
func valuesWithoutKeys(values, keys []string) []string {
	var kept []string
	for _, v := range values {
		if !containsAny(v, keys) {
			kept = append(kept, v)
		}
	}
	return kept
}

func containsAny(v string, keys []string) bool {
	for _, key := range keys {
		if len(key) >= minSearchedKeyBytes && strings.Contains(v, key) {
			return true
		}
	}
	return false
}
