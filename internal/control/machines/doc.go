// Package machines combines several state machines into one that a replicated log can drive.
package machines
