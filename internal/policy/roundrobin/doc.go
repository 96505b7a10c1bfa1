// Package roundrobin distributes the requests of a route between its services in proportion to their weights.
package roundrobin
