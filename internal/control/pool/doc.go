// Package pool implements a control instance's token pools: it holds a part of each customer's limit and grants tokens from it to the nodes that poll this instance.
package pool
