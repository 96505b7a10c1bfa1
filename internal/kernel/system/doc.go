// Package system provides the clock of the operating system to the kernel.
package system
