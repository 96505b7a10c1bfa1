// Package controlrun implements the command "figpier control run".
package controlrun
