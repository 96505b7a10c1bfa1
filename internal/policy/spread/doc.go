// Package spread distributes the requests of a route between its services in proportion to their weights.
package spread
