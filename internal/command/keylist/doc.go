// Package keylist implements the command "figpier key list".
package keylist
