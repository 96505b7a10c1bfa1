// Package forward sends callers' requests from the node that they enter to a node beside a backend server, and makes further
// attempts where that is allowed.
package forward
