// Package profileview implements the command "figpier profile view".
package profileview
