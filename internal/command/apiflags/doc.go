// Package apiflags defines the flags shared by the commands that call the operator API.
package apiflags
