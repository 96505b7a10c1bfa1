// Package stopping reports a node's readiness for new callers, and keeps serving open connections for a time during
// a planned stop.
package stopping
