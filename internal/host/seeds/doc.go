// Package seeds provides the addresses of control instances and reloads them when the settings file changes.
package seeds
