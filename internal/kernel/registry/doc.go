// Package registry implements the micro-kernel: it registers the services of a process by name, starts and stops them in
// order, and runs the control thread.
package registry
