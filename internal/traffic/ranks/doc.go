// Package ranks assigns each request its rank, the order in which requests are shed under overload, at the node that it
// enters.
package ranks
