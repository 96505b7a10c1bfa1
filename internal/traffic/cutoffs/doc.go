// Package cutoffs keeps, for each route, the cut-offs that answers report from the hops below a node.
package cutoffs
