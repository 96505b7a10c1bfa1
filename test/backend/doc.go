// Command backend is a stand-in backend server for tests. It announces itself to its node, counts the requests it executes
// and can call another service through the node.
package main
