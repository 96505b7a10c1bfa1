// Package print writes the results of commands as tables, JSON or lines of text.
package print
