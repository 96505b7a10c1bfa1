// Package keygive implements the command "figpier key give".
package keygive
