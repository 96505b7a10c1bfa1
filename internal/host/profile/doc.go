// Package profile reads and checks profile files, which are JSON with comments, and writes profiles as JSON.
package profile
