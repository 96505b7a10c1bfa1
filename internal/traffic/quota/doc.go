// Package quota enforces the limits of customers over all services. A node spends its own share of each limit, and then asks
// a control instance for tokens from a pool that the control instances hold for all nodes.
package quota
