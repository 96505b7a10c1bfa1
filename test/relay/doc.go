// Package relay forwards TCP connections for tests and can delay, drop or reset them.
package relay
