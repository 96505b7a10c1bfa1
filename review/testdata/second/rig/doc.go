// Package rig starts the project's programs as separate processes on loopback addresses, with stand-ins of the platform around them:
// an operator, upstreams and callers. It records what was sent, answered and run.
package rig
