// Package logs writes the log of a process as one JSON object per line, and limits how many lines requests cause.
package logs
