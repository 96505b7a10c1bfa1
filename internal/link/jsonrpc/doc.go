// Package jsonrpc implements the messenger, which exchanges requests and answers with other processes of the system over
// JSON-RPC 2.0.
package jsonrpc
