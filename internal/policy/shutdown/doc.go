// Package shutdown decides which requests a process still takes during a planned stop, and when those in flight have to end.
package shutdown
