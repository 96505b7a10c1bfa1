// Package members implements the registry of a control instance: the nodes that announce themselves to it, and those that
// other control instances report.
package members
