// Package status implements the command "figpier status".
package status
