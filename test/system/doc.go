// Package system tests a whole installation: control instances, nodes and backend servers run as processes on loopback
// addresses, and the tests stop, kill or freeze them, damage their data or cut their connections.
package system
