// Package noderun implements the command "figpier node run".
package noderun
