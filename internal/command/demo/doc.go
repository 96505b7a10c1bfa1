// Package demo implements the command "figpier demo", which runs a small fleet in one process.
package demo
