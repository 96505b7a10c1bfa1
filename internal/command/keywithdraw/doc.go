// Package keywithdraw implements the command "figpier key withdraw".
package keywithdraw
