// Package statemachines combines several state machines into one that a replicated log can drive.
package statemachines
