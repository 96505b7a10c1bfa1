// Package handles keeps the calls that a node's backend server is running, by the random handles that the backend server
// presents with its exit calls.
package handles
