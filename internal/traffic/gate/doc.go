// Package gate decides which callers' requests are admitted at a node that serves one service by its profile: it checks the
// route, the customer key and the customer's limits.
package gate
