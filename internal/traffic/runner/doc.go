// Package runner prepares calls for the backend server beside a node: it waits for a slot, claims non-idempotent requests,
// and checks again what may have changed meanwhile.
package runner
