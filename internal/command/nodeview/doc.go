// Package nodeview implements the command "figpier node view".
package nodeview
