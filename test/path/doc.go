// Package path tests how nodes forward requests. The nodes, their callers and their backend servers run in the test's
// process, and the tests inject faults on the callers' side, between nodes and at the backend servers.
package path
