// Command figpier runs the nodes and control instances of an overload control layer for service call graphs,
// and the commands that operate it.
package main
