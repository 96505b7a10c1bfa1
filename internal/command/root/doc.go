// Package root implements the command "figpier": it registers the subcommands and maps errors to exit codes.
package root
