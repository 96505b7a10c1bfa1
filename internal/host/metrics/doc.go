// Package metrics keeps the metrics of a process and serves them over HTTP in the Prometheus text format.
package metrics
