// Package settingscheck implements the command "figpier settings check".
package settingscheck
