// Package operator serves the operator API: profiles, assignments, customer keys and status over HTTP.
package operator
