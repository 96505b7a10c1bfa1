// Package delivery sends calls, which come from this node or from other nodes, to the backend server beside the node.
package delivery
