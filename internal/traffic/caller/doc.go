// Package caller listens for requests from outside callers and passes the admitted ones to the call server.
package caller
