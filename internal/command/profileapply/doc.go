// Package profileapply implements the command "figpier profile apply".
package profileapply
