// Package certificate builds the TLS configurations of a process from the certificate and key files that its settings name.
package certificate
