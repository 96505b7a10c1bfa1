// Package factory provides the dependencies of the commands: the context and the standard streams.
package factory
