// Package assignmentlist implements the command "figpier assignment list".
package assignmentlist
