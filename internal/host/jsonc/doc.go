// Package jsonc reads files in JSON with comments. It rejects unknown, duplicate and missing fields, and reports every problem of
// a file with its line and field. A Document and its objects and fields are for use by one goroutine.
package jsonc
