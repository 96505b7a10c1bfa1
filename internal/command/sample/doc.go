// Package sample implements the backend servers of the demonstration: booking, and the calendar service that it calls.
package sample
