// Package peer listens for calls from other nodes and passes them to the call server.
package peer
