// Package upstream keeps the announced state of the backend server beside a node and announces the node to the control
// instances. It doesn't depend on the protocol in which the backend server announces itself.
package upstream
