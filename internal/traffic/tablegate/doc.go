// Package tablegate decides which callers' requests are admitted at a node that routes them by host name and path, as the
// routing table says.
package tablegate
