// Package backend speaks HTTP with the backend server beside a node: it handles the backend server's announcements, sends it
// calls, and listens for the exit calls that it makes.
package backend
