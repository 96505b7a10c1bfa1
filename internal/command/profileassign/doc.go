// Package profileassign implements the command "figpier profile assign".
package profileassign
