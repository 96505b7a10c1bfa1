// Package architecture checks the module's source files against the rules of the code's shape on the developers' page.
package architecture
