// Package leaving takes a node out of service in a planned stop, so that no request in progress is cut off.
package leaving
