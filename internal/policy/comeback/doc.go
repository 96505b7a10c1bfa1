// Package comeback decides when refused callers shall come back.
//
// It answers this load pattern: a burst is refused, and all of its callers return after the same time, as a second burst that
// is refused again. Each caller gets a turn of its own instead, spaced by the time in which room for one request comes free, and
// more important ones get theirs first.
package comeback
