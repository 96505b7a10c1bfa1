// Package quota divides the rate limit of a customer between the nodes and the control instances that enforce it.
package quota
