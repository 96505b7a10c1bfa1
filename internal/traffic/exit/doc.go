// Package exit serves exit calls: the calls that the backend server beside a node makes to other services through the node.
package exit
