// Package bed starts the programs of the deploy file on loopback addresses, with stand-ins for the platform, the operator, the
// clients and the upstreams, and records what they saw.
package bed
