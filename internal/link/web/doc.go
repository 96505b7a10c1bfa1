// Package web holds the HTTP code that all listeners share: the server and the client transport, checks of requests, the
// copying of headers, refusals, and the streaming of answers.
package web
