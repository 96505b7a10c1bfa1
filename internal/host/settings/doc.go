// Package settings reads the settings file of a process and checks every field of it.
package settings
