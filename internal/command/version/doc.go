// Package version implements the command "figpier version".
package version
