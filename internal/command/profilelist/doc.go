// Package profilelist implements the command "figpier profile list".
package profilelist
