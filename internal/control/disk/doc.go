// Package disk stores the durable state of one member of the replicated log in a data folder.
//
// The folder holds the file "identity", written once; one segment "log-N" of checksummed records; and the snapshot that the segment names.
// Each write is one record. A record that a crash left incomplete at the end of the segment is dropped, as no message that depends on it was sent; any other fault is a DamagedError.
package disk
