// Package exchange copies the registries' members between the control instances by long polls.
package exchange
