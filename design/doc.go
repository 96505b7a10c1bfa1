// Package design describes the operator API in goa's DSL; script/generate builds the packages under gen from it.
package design
