// Package memory keeps a process within the memory that it may use.
package memory
