// Package bytecount counts the bytes of connections by the distance of the other process.
package bytecount
