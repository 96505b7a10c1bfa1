// Package operator is the client of the operator API.
package operator
