// Package admission implements figpier.Admission: it decides when the backend server beside a node runs a call.
package admission
